"""What a worker can do, where the list does not tell how full it is: ties among many dispatchers go by it.

One dispatcher among many has 0 or 1 own slots at nearly every worker, so nearly every comparison is a tie. A
tie that always goes the same way makes all dispatchers together send a key to one worker and no second one.
So ties are drawn, by how much of a fleet's work each worker should get. A lower own load still wins before.

| what is known | size |
| --- | --- |
| a nominal or rough weight | that, up to ABSURD times the usual one |
| an unusable one, or none | 1 |
| run times of its kind's jobs, and its own against its kind's | that, over how much longer they took |

A factor that is learned moves from 1 as far as the jobs seen go (K of them count as seen before), decays with
each job, and is bounded by LEAST_FACTOR and its inverse. O(1) for each entry and each job that ran.
"""

from collections.abc import Iterable, Sequence
from math import inf
from random import Random
from typing import Protocol

from finchladder.core.api import JobClass, Settings, WorkerEntry, WorkerStatus
from finchladder.core.dispatch.records import Worker
from finchladder.core.membership.watch_backoff import SMALL_FLEET

MAX_WEIGHT_RATIO = 16.0  # times the usual one: a weight beyond it is a fault of who wrote it
USUAL_WEIGHT_STEP = 1.02  # how far one weight moves the usual one: 57 entries in a row that say so, threefold
MAX_KINDS = 64  # of which speeds are learned: the list may name any
WORKER_PRIOR_JOBS, KIND_PRIOR_JOBS = (
    6.0,
    10.0,
)  # jobs that count as seen before: run times of one class differ by half and more
WORKER_DECAY, KIND_DECAY = 0.9, 0.99
MIN_SPEED = 1 / 16
MAX_RUN_TIME_RATIO = 8.0  # a single run time counts as so many usual ones at the most
MIN_MEAN_STEP = 0.02  # least weight of a new run time in the class's mean
OTHER_ZONE_CHANCE = (
    0.25  # chance of one in another zone, against one as large in the own: a crossing has its price
)


class KeyShares(Protocol):
    """A pool that knows how many keys each worker is in the pairs of."""

    def key_share(self, worker: Worker) -> float:
        """The worker's part of the keys over an even part."""


class TypicalWeight:
    """The usual weight of the list's entries: their median at first, then followed entry by entry. O(1) each.

    Not that of the first list for good: one that came while the fleet was overloaded holds low live weights,
    and all later ones would be taken for implausible.
    """

    __slots__ = ("weight",)

    def __init__(self) -> None:
        self.weight = 0.0  # 0: none was given yet

    def update(self, entries: Iterable[WorkerEntry]) -> None:
        """Takes in the entries of a list."""
        weights = [e.weight for e in entries if 0 < e.weight < inf and e.state is not WorkerStatus.REMOVED]
        if not self.weight and weights:
            self.weight = sorted(weights)[len(weights) // 2]
        for weight in weights:
            if weight != self.weight:
                self.weight *= USUAL_WEIGHT_STEP if weight > self.weight else 1 / USUAL_WEIGHT_STEP

    def is_plausible(self, weight: float) -> bool:
        """Whether a weight is near enough to the usual one to be used."""
        return 0 < weight <= MAX_WEIGHT_RATIO * self.weight


class WorkerCapacity:
    """Learned capacities, unitless, and the draw of ties by them."""

    __slots__ = ("settings", "typical_weight", "samples_by_kind", "run_times")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.typical_weight = TypicalWeight()
        # jobs that ran, and the sum of their run time ratios; both decay
        self.samples_by_kind: dict[str, list[float]] = {}
        # by class: the weight of the next run, and the mean in seconds at capacity 1
        self.run_times: dict[str, tuple[float, float]] = {}

    @property
    def draws_ties(self) -> bool:
        """Whether ties are drawn at all; a few dispatchers know the fleet by their own slots."""
        return self.settings.dispatchers > SMALL_FLEET and not self.settings.weights_report_load

    def update_weights(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        """Takes in the weights of a list."""
        if not self.draws_ties:
            return
        self.typical_weight.update(entries)
        for entry in entries:
            if (worker := workers.get(entry.worker)) is not None:
                is_plausible = self.typical_weight.is_plausible(entry.weight)
                worker.nominal_capacity = entry.weight if is_plausible else 1.0

    def record_run(self, worker: Worker, job_class: JobClass, run_time_s: float) -> None:
        """A job of that class has run to its end at that worker."""
        if not self.draws_ties or run_time_s <= 0:
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
        """Its capacity by all that is known; unitless, to be compared with others'."""
        kind_samples = self.samples_by_kind.get(worker.kind)
        kind_speed = _speed(kind_samples, KIND_PRIOR_JOBS) if kind_samples else 1.0
        return worker.nominal_capacity * kind_speed * _speed(worker.run_time_samples, WORKER_PRIOR_JOBS)

    def draw(
        self, candidates: Sequence[Worker], random: Random, key_shares: "KeyShares | None" = None
    ) -> Worker:
        """One of workers whose loads are alike, so that over all ties each gets work by its capacity.

        Of two the larger wins more often than its capacity says, as it meets its like, too; of many it need
        not.
        `key_shares`: the pool, if they are a key's pair; who is in more pairs wins less often.
        """
        power = 1 + 1 / (len(candidates) - 1)
        chances = []
        for worker in candidates:
            key_share = key_shares.key_share(worker) if key_shares is not None else 1.0
            capacity = self.capacity_of(worker) / key_share
            is_near = worker.zone == self.settings.zone
            chances.append(capacity**power * (1.0 if is_near else OTHER_ZONE_CHANCE))
        return weighted_choice(candidates, chances, random)


def weighted_choice(candidates: Sequence[Worker], chances: Sequence[float], random: Random) -> Worker:
    """One of them, drawn in proportion to its chance."""
    remaining = random.random() * sum(chances)
    for worker, chance in zip(candidates, chances, strict=True):
        remaining -= chance
        if remaining < 0:
            return worker
    return candidates[-1]


def _speed(samples: Iterable[float], prior_jobs: float) -> float:
    """How fast, 1 being usual: the inverse of the mean ratio, drawn to 1 where few jobs ran."""
    jobs, ratios = samples
    return min(1 / MIN_SPEED, max(MIN_SPEED, (prior_jobs + jobs) / (prior_jobs + ratios)))
