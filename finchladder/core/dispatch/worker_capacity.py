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
    def key_share(self, w: Worker) -> float: ...


class UsualWeight:
    """The usual weight of the list's entries: their median at first, then followed entry by entry. O(1) each.

    Not that of the first list for good: one that was told while the fleet was overloaded holds low live
    weights, and all later ones would be taken for absurd.
    """

    __slots__ = ("weight",)

    def __init__(self) -> None:
        self.weight = 0.0  # 0: none was told yet

    def update(self, entries: Iterable[WorkerEntry]) -> None:
        weights = [e.weight for e in entries if 0 < e.weight < inf and e.state is not WorkerStatus.REMOVED]
        if not self.weight and weights:
            self.weight = sorted(weights)[len(weights) // 2]
        for weight in weights:
            if weight != self.weight:
                self.weight *= USUAL_WEIGHT_STEP if weight > self.weight else 1 / USUAL_WEIGHT_STEP

    def is_plausible(self, weight: float) -> bool:
        return 0 < weight <= MAX_WEIGHT_RATIO * self.weight


class WorkerCapacity:
    __slots__ = ("settings", "usual_weight", "samples_by_kind", "run_times")

    def __init__(self, settings: Settings) -> None:
        self.settings, self.usual_weight = settings, UsualWeight()
        self.samples_by_kind: dict[
            str, list[float]
        ] = {}  # jobs seen, and the sum of their ratios; both decayed
        self.run_times: dict[
            str, tuple[float, float]
        ] = {}  # by class: the next one's weight, the mean at size 1

    @property
    def draws_ties(self) -> bool:
        """Whether ties are drawn at all; a few dispatchers know the fleet by their own slots."""
        return self.settings.dispatchers > SMALL_FLEET and not self.settings.weights_report_load

    def update_weights(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        if not self.draws_ties:
            return
        self.usual_weight.update(entries)
        for e in entries:
            if (w := workers.get(e.worker)) is not None:
                w.nominal_capacity = e.weight if self.usual_weight.is_plausible(e.weight) else 1.0

    def record_run(self, w: Worker, cls: JobClass, took_s: float) -> None:
        """A job of that class was served there, and took so long from its start."""
        if not self.draws_ties or took_s <= 0:
            return
        kind = self.samples_by_kind.get(w.kind, [0.0, 0.0])
        if len(self.samples_by_kind) < MAX_KINDS:
            self.samples_by_kind[w.kind] = kind
        of_kind = _speed(kind, KIND_PRIOR_JOBS)
        at_one = took_s * w.nominal_capacity * of_kind
        step, mean = self.run_times.get(cls.name, (1.0, at_one))
        mean += step * (min(at_one, MAX_RUN_TIME_RATIO * mean) - mean)
        self.run_times[cls.name] = max(MIN_MEAN_STEP, step / (1 + step)), mean
        ratio = min(MAX_RUN_TIME_RATIO, took_s * w.nominal_capacity / mean)
        kind[0], kind[1] = kind[0] * KIND_DECAY + 1, kind[1] * KIND_DECAY + ratio
        seen, ratios = w.run_time_samples
        w.run_time_samples = (
            seen * WORKER_DECAY + 1,
            ratios * WORKER_DECAY + min(MAX_RUN_TIME_RATIO, at_one / mean),
        )

    def capacity_of(self, w: Worker) -> float:
        """Its size by all that is known; unitless, to be set against others'."""
        kind = self.samples_by_kind.get(w.kind)
        return (
            w.nominal_capacity
            * (_speed(kind, KIND_PRIOR_JOBS) if kind else 1.0)
            * _speed(w.run_time_samples, WORKER_PRIOR_JOBS)
        )

    def draw(self, able: Sequence[Worker], random: Random, homes: "KeyShares | None" = None) -> Worker:
        """One of workers whose loads are alike, so that over all ties each gets work by its size.

        Of two the larger wins more often than its size says, as it meets its like, too; of many it need not.
        `homes`: in a pool that has them as homes of a key; who is home to more keys wins less often.
        """
        power = 1 + 1 / (len(able) - 1)
        chances = []
        for w in able:
            size = self.capacity_of(w) / (homes.key_share(w) if homes is not None else 1.0)
            chances.append(size**power * (1.0 if w.zone == self.settings.zone else OTHER_ZONE_CHANCE))
        return weighted_choice(able, chances, random)


def weighted_choice(able: Sequence[Worker], chances: Sequence[float], random: Random) -> Worker:
    """One by chance, in proportion to its own."""
    at = random.random() * sum(chances)
    for w, chance in zip(able, chances, strict=True):
        at -= chance
        if at < 0:
            return w
    return able[-1]


def _speed(seen: Iterable[float], before: float) -> float:
    """How fast, 1 being usual: the inverse of the mean ratio, drawn to 1 where few were seen."""
    jobs, ratios = seen
    return min(1 / MIN_SPEED, max(MIN_SPEED, (before + jobs) / (before + ratios)))
