"""Learned worker capacities, used to break ties in large fleets where the list does not report loads.

In a large fleet, one dispatcher has 0 or 1 slots in flight at nearly every worker, so nearly every comparison
of loads is a tie. If ties always went the same way, all dispatchers would send the requests of a key to the
same worker. So ties are broken at random, in proportion to the worker's capacity. A lower local load still
wins.

| known | capacity |
| --- | --- |
| a plausible static weight (above 0, up to MAX_WEIGHT_RATIO times the typical weight) | the weight |
| an implausible weight, or none | 1 |
| run times of the kind and of the worker | as above, times the learned speeds of the kind and of the worker |

A learned speed starts at 1, counts KIND_PRIOR_JOBS or WORKER_PRIOR_JOBS runs at speed 1 as its prior, gives
less weight to old runs with each new one, and is bounded by MIN_SPEED and its inverse. O(1) per list entry
and per run.
"""

from collections.abc import Iterable, Sequence
from math import inf
from random import Random
from typing import Protocol

from finchladder.core.api import JobClass, Settings, WorkerEntry, WorkerStatus
from finchladder.core.dispatch.records import Worker
from finchladder.core.membership.watch_backoff import SMALL_FLEET

MAX_WEIGHT_RATIO = 16.0  # limit in multiples of the typical weight; a larger weight is a configuration error
# Factor on the typical weight for each listed weight above it, divisor for each below it. 57 steps in the
# same direction change it threefold.
TYPICAL_WEIGHT_STEP = 1.02
MAX_KINDS = 64  # machine kinds whose speed is learned; the endpoint list may contain any number of kinds
# Number of assumed earlier runs at speed 1. Run times of one class differ by half and more, so a speed must
# not follow the first few of them.
WORKER_PRIOR_JOBS, KIND_PRIOR_JOBS = 6.0, 10.0
WORKER_DECAY, KIND_DECAY = 0.9, 0.99  # factors on the weight of earlier runs, applied with each new run
MIN_SPEED = 1 / 16
MAX_RUN_TIME_RATIO = 8.0  # a longer run counts as this many mean run times of its class
MIN_MEAN_STEP = 0.02  # minimum weight of a new run time in the mean of its class
# Chance that a worker in another zone is drawn, relative to one of equal capacity in the local zone: traffic
# between zones costs extra.
CROSS_ZONE_CHANCE = 0.25


class KeyShares(Protocol):
    """A pool that provides the share of the keys whose pairs contain a given worker."""

    def key_share(self, worker: Worker) -> float:
        """Returns the worker's share of the keys, relative to an equal share."""


class TypicalWeight:
    """The typical weight of list entries: the median of the first list, then adapted per entry in O(1).

    It must adapt: a first list that is received while the fleet is overloaded has low live weights, and all
    later weights would be implausible.
    """

    __slots__ = ("weight",)

    def __init__(self) -> None:
        self.weight = 0.0  # 0: no weight received yet

    def update(self, entries: Iterable[WorkerEntry]) -> None:
        """Adapts the typical weight to the entries of a list."""
        weights = [e.weight for e in entries if 0 < e.weight < inf and e.state is not WorkerStatus.REMOVED]
        if not self.weight and weights:
            self.weight = sorted(weights)[len(weights) // 2]
        for weight in weights:
            if weight != self.weight:
                self.weight *= TYPICAL_WEIGHT_STEP if weight > self.weight else 1 / TYPICAL_WEIGHT_STEP

    def is_plausible(self, weight: float) -> bool:
        """Whether a weight is positive and not far above the typical one."""
        return 0 < weight <= MAX_WEIGHT_RATIO * self.weight


class WorkerCapacity:
    """Learned relative capacities of workers, and random tie-breaking by them."""

    __slots__ = ("settings", "typical_weight", "samples_by_kind", "run_times")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.typical_weight = TypicalWeight()
        # by kind: number of runs, and sum of their run times divided by the mean of their class; both decay
        self.samples_by_kind: dict[str, list[float]] = {}
        # by class name: the weight that the next run time gets in the mean, and the mean in seconds for a
        # worker of capacity 1
        self.run_times: dict[str, tuple[float, float]] = {}

    @property
    def breaks_ties_at_random(self) -> bool:
        """Whether ties are broken by learned capacities.

        This is not needed in a small fleet, where the local loads suffice, or if the weights report load.
        """
        return self.settings.dispatchers > SMALL_FLEET and not self.settings.weights_report_load

    def update_weights(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        """Sets the nominal capacities from the static weights of a list."""
        if not self.breaks_ties_at_random:
            return
        self.typical_weight.update(entries)
        for entry in entries:
            if (worker := workers.get(entry.worker)) is not None:
                is_plausible = self.typical_weight.is_plausible(entry.weight)
                worker.nominal_capacity = entry.weight if is_plausible else 1.0

    def record_run(self, worker: Worker, job_class: JobClass, run_time_s: float) -> None:
        """Records the run time of a job of that class at the worker."""
        if not self.breaks_ties_at_random or run_time_s <= 0:
            return
        kind_samples = self.samples_by_kind.get(worker.kind, [0.0, 0.0])
        if len(self.samples_by_kind) < MAX_KINDS:
            self.samples_by_kind[worker.kind] = kind_samples
        kind_speed = _speed(kind_samples, KIND_PRIOR_JOBS)
        normalised_s = run_time_s * worker.nominal_capacity * kind_speed
        step, mean_s = self.run_times.get(job_class.name, (1.0, normalised_s))
        mean_s += step * (min(normalised_s, MAX_RUN_TIME_RATIO * mean_s) - mean_s)
        self.run_times[job_class.name] = max(MIN_MEAN_STEP, step / (1 + step)), mean_s
        kind_ratio = min(MAX_RUN_TIME_RATIO, run_time_s * worker.nominal_capacity / mean_s)
        kind_samples[0] = kind_samples[0] * KIND_DECAY + 1
        kind_samples[1] = kind_samples[1] * KIND_DECAY + kind_ratio
        jobs, ratios = worker.run_time_samples
        worker_ratio = min(MAX_RUN_TIME_RATIO, normalised_s / mean_s)
        worker.run_time_samples = (jobs * WORKER_DECAY + 1, ratios * WORKER_DECAY + worker_ratio)

    def capacity_of(self, worker: Worker) -> float:
        """Returns the estimated capacity of a worker relative to other workers."""
        kind_samples = self.samples_by_kind.get(worker.kind)
        kind_speed = _speed(kind_samples, KIND_PRIOR_JOBS) if kind_samples else 1.0
        return worker.nominal_capacity * kind_speed * _speed(worker.run_time_samples, WORKER_PRIOR_JOBS)

    def draw(
        self, candidates: Sequence[Worker], random: Random, key_shares: "KeyShares | None" = None
    ) -> Worker:
        """Breaks a tie at random, so that in the long run each worker gets work by its capacity.

        Of two candidates the larger one must win more often than in proportion to its capacity, as it is also
        drawn against equally large ones; with many candidates this correction is not needed.

        `key_shares`: the pool of the candidates if they are a key's pair. A worker with more keys wins less
        often.
        """
        power = 1 + 1 / (len(candidates) - 1)
        chances = []
        for worker in candidates:
            key_share = key_shares.key_share(worker) if key_shares is not None else 1.0
            capacity = self.capacity_of(worker) / key_share
            is_local = worker.zone == self.settings.zone
            chances.append(capacity**power * (1.0 if is_local else CROSS_ZONE_CHANCE))
        return weighted_choice(candidates, chances, random)


def weighted_choice(candidates: Sequence[Worker], chances: Sequence[float], random: Random) -> Worker:
    """Draws one of the candidates in proportion to their chances."""
    remaining = random.random() * sum(chances)
    for worker, chance in zip(candidates, chances, strict=True):
        remaining -= chance
        if remaining < 0:
            return worker
    return candidates[-1]


def _speed(samples: Iterable[float], prior_jobs: float) -> float:
    """Returns a speed relative to the mean from the number of runs and the sum of relative run times."""
    jobs, ratios = samples
    return min(1 / MIN_SPEED, max(MIN_SPEED, (prior_jobs + jobs) / (prior_jobs + ratios)))
