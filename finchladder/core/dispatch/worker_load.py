"""How full each worker is for all dispatchers together, by the live weights of the list.

Where a fleet has many dispatchers, a worker's own slots in flight at one of them say next to nothing of its
queue. A live weight does: it is the worker's size divided by 1 + requests held per core, the same for all
dispatchers and a second or two old. Unitless `finish`: how long a mean job takes there, its wait included,
in runs of a mean job on the largest worker. It narrows and breaks ties, and never overrules a lower load:

| what is known of the two, or of the one | what follows |
| --- | --- |
| no weight, an absurd one, or not live | as without it |
| it would finish later than elsewhere by more than a fetch | passed over |
| it would finish later than the job's aim allows | passed over: a job of the other class may still go there |
| the job is not at home there, and with a fetch it would | passed over: it waits for one of its homes |
| loads are alike | drawn, by the square of how soon each would finish: all are told the same at once |

O(1) for each entry of a list; the bar O(workers), at most once in LOOK_EVERY_S.
"""

from collections.abc import Callable, Sequence
from itertools import islice
from random import Random

from finchladder.core.api import JobClass, Settings, WorkerEntry, WorkerStatus
from finchladder.core.dispatch.records import Worker
from finchladder.core.dispatch.worker_capacity import Portions, Sizes, Usual, one_of

ONE = 0.25  # the next job, in requests a core: no setting tells of cores, four are the usual
FAR = 0.3  # a crossing between zones counts as so much of a mean run
LOOK_EVERY_S = 0.25
LOOK_AT = 256  # workers at most, evenly through the fleet
FETCH = 2.0  # in runs of a mean job: what a job has to wait for where its key is not kept
COMMON, STEP = 0.4, 0.1  # the percentile of running times that is taken for common, and how fast it moves
BEST = 0.25  # the part of the fleet whose worst is taken as what can be had elsewhere
NEVER = float("inf")


class Crowd:
    __slots__ = ("sizes", "top", "mean", "elsewhere", "look_at", "runs", "s", "untold", "usual")

    def __init__(self, settings: Settings) -> None:
        self.s = settings
        self.usual = Usual()  # what is far larger is unusable: it would make all others look full for good
        self.untold = Sizes(settings)  # what ties go by where the weights are not live
        self.sizes: dict[str, float] = {}  # by kind: the largest weight that was told
        self.top = 0.0  # of all kinds
        self.mean = 0.0  # of the warm ones, by what sizes their kinds have; 0: not known
        self.elsewhere = NEVER  # what the better workers offer, as a `finish`
        self.look_at = 0.0
        self.runs: dict[str, float] = {}  # by class: a common running time on the largest, without a fetch

    @property
    def draws(self) -> bool:
        """Whether ties are drawn: own slots tell too little of how full the workers are."""
        return self.top > 0 or self.untold.draws

    def ran(self, w: Worker, cls: JobClass, took_s: float) -> None:
        """A job that fetched took longer than most: a low percentile is hardly moved by it."""
        self.untold.ran(w, cls, took_s)
        if w.weight:
            took_s *= self.sizes[w.kind] / self.top
            run = self.runs.get(cls.name, cls.latency_target_s)
            self.runs[cls.name] = run * (1 + STEP * (COMMON if took_s > run else COMMON - 1))

    def in_time(self, w: Worker, cls: JobClass, waited_s: float, mean_run_s: float, fetch: float) -> bool:
        """Whether a job would be done within its aim there, and not much later than elsewhere.

        `fetch`: mean runs that it takes longer, as the worker does not keep what it needs.
        """
        if not w.weight:
            return True
        if w.finish > self.elsewhere + FETCH:
            return False
        run = self.runs.get(cls.name, cls.latency_target_s)
        slow = self.top / self.sizes[w.kind]
        return (
            waited_s + (w.finish - slow + fetch) * mean_run_s + run * slow
            <= cls.latency_target_s + cls.run_time_allowance * run
        )

    def told(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        if not self.s.weights_report_load:
            return self.untold.told(workers, entries)
        self.usual.told(entries)
        for e in entries:
            larger = e.weight > self.sizes.get(e.kind, 0.0) and e.state is not WorkerStatus.REMOVED
            if larger and self.usual.believes(e.weight):
                self.sizes[e.kind] = e.weight
                self.top = max(self.top, e.weight)
        for e in entries:
            if (w := workers.get(e.worker)) is None:
                continue
            w.weight, w.finish = 0.0, 1.0  # an unusable weight must not leave that of another kind behind
            if self.usual.believes(e.weight) and (size := self.sizes.get(e.kind)):
                w.weight, w.finish = e.weight, max(1.0, size / e.weight - 1 + ONE) * self.top / size

    def look(self, now: float, workers: dict[str, Worker], fit: Callable[[Worker], bool]) -> None:
        """With each list: says anew what can be had elsewhere, if that is due."""
        if now < self.look_at:
            return
        self.look_at = now + LOOK_EVERY_S
        step = max(1, len(workers) // LOOK_AT)
        fits = [w for w in islice(workers.values(), 0, None, step) if fit(w)]
        found = sorted(w.finish for w in fits)
        self.elsewhere = found[int(BEST * len(found))] if found else NEVER
        sizes = [self.sizes[w.kind] for w in fits if w.weight]
        self.mean = sum(sizes) / len(sizes) if sizes else self.mean

    def size(self, w: Worker) -> float:
        """Its full size over the mean of the warm ones; 1 where that is not known."""
        return self.sizes[w.kind] / self.mean if w.weight and self.mean else 1.0

    def draw(
        self, able: Sequence[Worker], zone: str, random: Random, homes: Portions | None = None
    ) -> Worker:
        """One of workers whose loads are alike. Without weights the last one, those in the own zone first.

        `homes`: they are homes of a key in that pool.
        """
        if len(able) == 1:
            return able[0]
        if self.untold.draws:
            return self.untold.draw(able, random, homes)
        if not self.top:
            return [w for w in able if w.zone == zone or all(other.zone != zone for other in able)][-1]
        chances = [1.0 / (w.finish + FAR * (w.zone != zone)) ** 2 for w in able]
        return one_of(able, chances, random)
