"""What a worker can do, where the list does not tell how full it is: ties among many dispatchers go by it.

One dispatcher among many has 0 or 1 own slots at nearly every worker, so nearly every comparison is a tie. A
tie that always goes the same way makes all dispatchers together send a key to one worker and no second one.
So ties are drawn, by how much of a fleet's work each worker should get. A lower own load still wins before.

| what is known | size |
| --- | --- |
| a nominal or rough weight | that, within ABSURD times the median of the first list that told any |
| an unusable one, or none | 1 |
| run times of its kind's jobs, and its own against its kind's | that, over how much longer they took |

A factor that is learned moves from 1 as far as the jobs seen go (K of them count as seen before), decays with
each job, and is bounded by LEAST_FACTOR and its inverse. O(1) for each entry and each job that ran.
"""

from collections.abc import Iterable, Sequence
from math import inf
from random import Random
from typing import Protocol

from finchladder.core.api import JobClass, Settings, State, WorkerEntry
from finchladder.core.recalls import FEW
from finchladder.core.records import Worker

ABSURD = 16.0  # times the median: a weight beyond it is a fault of who wrote it
OWN_K, KIND_K = 6.0, 10.0  # jobs that count as seen before: run times of one class differ by half and more
OWN_FADE, KIND_FADE = 0.9, 0.99
LEAST_FACTOR = 1 / 16
MOST_RATIO = 8.0  # a single run time counts as so many usual ones at the most
RUN_STEP = 0.02  # least weight of a new run time in the class's mean
FAR = 0.25  # chance of one in another zone, against one as large in the own: a crossing has its price


class Portions(Protocol):
    def portion(self, w: Worker) -> float: ...


class Sizes:
    """`draws`: whether ties are drawn at all; a few dispatchers know the fleet by their own slots."""

    __slots__ = ("draws", "zone", "bound", "kinds", "runs")

    def __init__(self, settings: Settings) -> None:
        self.draws = settings.dispatchers > FEW and not settings.weights_live
        self.zone = settings.zone
        self.bound = 0.0  # weights above it are unusable; 0: none was told yet
        self.kinds: dict[str, list[float]] = {}  # jobs seen, and the sum of their ratios; both decayed
        self.runs: dict[str, tuple[float, float]] = {}  # by class: the next one's weight, the mean at size 1

    def told(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        if not self.draws:
            return
        self.bound = self.bound or most_usable(entries)
        for e in entries:
            if (w := workers.get(e.worker)) is not None:
                w.size = e.weight if 0 < e.weight <= self.bound else 1.0

    def ran(self, w: Worker, cls: JobClass, took_s: float) -> None:
        """A job of that class was served there, and took so long from its start."""
        if not self.draws or took_s <= 0:
            return
        kind = self.kinds.setdefault(w.kind, [0.0, 0.0])
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
            chances.append(size**power * (1.0 if w.zone == self.zone else FAR))
        at = random.random() * sum(chances)
        for w, chance in zip(able, chances, strict=True):
            at -= chance
            if at < 0:
                return w
        return able[-1]


def most_usable(entries: Iterable[WorkerEntry]) -> float:
    """The largest weight that is believed, by the first list that tells any; 0: it tells none. O(n log n)."""
    usable = sorted(e.weight for e in entries if 0 < e.weight < inf and e.state is not State.GONE)
    return ABSURD * usable[len(usable) // 2] if usable else 0.0


def _factor(seen: Iterable[float], before: float) -> float:
    """How fast, 1 being usual: the inverse of the mean ratio, drawn to 1 where few were seen."""
    jobs, ratios = seen
    return min(1 / LEAST_FACTOR, max(LEAST_FACTOR, (before + jobs) / (before + ratios)))
