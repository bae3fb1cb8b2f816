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
from finchladder.core.membership.watch_backoff import FEW

ABSURD = 16.0  # times the usual one: a weight beyond it is a fault of who wrote it
TRACK = 1.02  # how far one weight moves the usual one: 57 entries in a row that say so, threefold
MOST_KINDS = 64  # of which speeds are learned: the list may name any
OWN_K, KIND_K = 6.0, 10.0  # jobs that count as seen before: run times of one class differ by half and more
OWN_FADE, KIND_FADE = 0.9, 0.99
LEAST_FACTOR = 1 / 16
MOST_RATIO = 8.0  # a single run time counts as so many usual ones at the most
RUN_STEP = 0.02  # least weight of a new run time in the class's mean
FAR = 0.25  # chance of one in another zone, against one as large in the own: a crossing has its price


class Portions(Protocol):
    def portion(self, w: Worker) -> float: ...


class Usual:
    """The usual weight of the list's entries: their median at first, then followed entry by entry. O(1) each.

    Not that of the first list for good: one that was told while the fleet was overloaded holds low live
    weights, and all later ones would be taken for absurd.
    """

    __slots__ = ("weight",)

    def __init__(self) -> None:
        self.weight = 0.0  # 0: none was told yet

    def told(self, entries: Iterable[WorkerEntry]) -> None:
        weights = [e.weight for e in entries if 0 < e.weight < inf and e.state is not WorkerStatus.REMOVED]
        if not self.weight and weights:
            self.weight = sorted(weights)[len(weights) // 2]
        for weight in weights:
            if weight != self.weight:
                self.weight *= TRACK if weight > self.weight else 1 / TRACK

    def believes(self, weight: float) -> bool:
        return 0 < weight <= ABSURD * self.weight


class Sizes:
    __slots__ = ("s", "usual", "kinds", "runs")

    def __init__(self, settings: Settings) -> None:
        self.s, self.usual = settings, Usual()
        self.kinds: dict[str, list[float]] = {}  # jobs seen, and the sum of their ratios; both decayed
        self.runs: dict[str, tuple[float, float]] = {}  # by class: the next one's weight, the mean at size 1

    @property
    def draws(self) -> bool:
        """Whether ties are drawn at all; a few dispatchers know the fleet by their own slots."""
        return self.s.dispatchers > FEW and not self.s.weights_report_load

    def told(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        if not self.draws:
            return
        self.usual.told(entries)
        for e in entries:
            if (w := workers.get(e.worker)) is not None:
                w.size = e.weight if self.usual.believes(e.weight) else 1.0

    def ran(self, w: Worker, cls: JobClass, took_s: float) -> None:
        """A job of that class was served there, and took so long from its start."""
        if not self.draws or took_s <= 0:
            return
        kind = self.kinds.get(w.kind, [0.0, 0.0])
        if len(self.kinds) < MOST_KINDS:
            self.kinds[w.kind] = kind
        of_kind = _factor(kind, KIND_K)
        at_one = took_s * w.size * of_kind
        step, mean = self.runs.get(cls.name, (1.0, at_one))
        mean += step * (min(at_one, MOST_RATIO * mean) - mean)
        self.runs[cls.name] = max(RUN_STEP, step / (1 + step)), mean
        ratio = min(MOST_RATIO, took_s * w.size / mean)
        kind[0], kind[1] = kind[0] * KIND_FADE + 1, kind[1] * KIND_FADE + ratio
        seen, ratios = w.pace
        w.pace = seen * OWN_FADE + 1, ratios * OWN_FADE + min(MOST_RATIO, at_one / mean)

    def of(self, w: Worker) -> float:
        """Its size by all that is known; unitless, to be set against others'."""
        kind = self.kinds.get(w.kind)
        return w.size * (_factor(kind, KIND_K) if kind else 1.0) * _factor(w.pace, OWN_K)

    def draw(self, able: Sequence[Worker], random: Random, homes: "Portions | None" = None) -> Worker:
        """One of workers whose loads are alike, so that over all ties each gets work by its size.

        Of two the larger wins more often than its size says, as it meets its like, too; of many it need not.
        `homes`: in a pool that has them as homes of a key; who is home to more keys wins less often.
        """
        power = 1 + 1 / (len(able) - 1)
        chances = []
        for w in able:
            size = self.of(w) / (homes.portion(w) if homes is not None else 1.0)
            chances.append(size**power * (1.0 if w.zone == self.s.zone else FAR))
        return one_of(able, chances, random)


def one_of(able: Sequence[Worker], chances: Sequence[float], random: Random) -> Worker:
    """One by chance, in proportion to its own."""
    at = random.random() * sum(chances)
    for w, chance in zip(able, chances, strict=True):
        at -= chance
        if at < 0:
            return w
    return able[-1]


def _factor(seen: Iterable[float], before: float) -> float:
    """How fast, 1 being usual: the inverse of the mean ratio, drawn to 1 where few were seen."""
    jobs, ratios = seen
    return min(1 / LEAST_FACTOR, max(LEAST_FACTOR, (before + jobs) / (before + ratios)))
