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
from finchladder.core.dispatch.worker_capacity import KeyShares, UsualWeight, WorkerCapacity, weighted_choice

NEXT_JOB_LOAD = 0.25  # the next job, in requests a core: no setting tells of cores, four are the usual
CROSSING_COST_RUNS = 0.3  # a crossing between zones counts as so much of a mean run
SURVEY_INTERVAL_S = 0.25
MAX_SURVEYED = 256  # workers at most, evenly through the fleet
FETCH_COST_RUNS = 2.0  # in runs of a mean job: what a job has to wait for where its key is not kept
COMMON_PERCENTILE, RUN_TIME_STEP = (
    0.4,
    0.1,
)  # the percentile of running times that is taken for common, and how fast it moves
BETTER_SHARE = 0.25  # the part of the fleet whose worst is taken as what can be had elsewhere
NEVER_FINISHES = float("inf")


class WorkerLoad:
    __slots__ = (
        "capacities",
        "max_capacity",
        "mean_capacity",
        "finish_elsewhere",
        "next_survey_at",
        "common_run_times_s",
        "settings",
        "learned_capacity",
        "usual_weight",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.usual_weight = (
            UsualWeight()
        )  # what is far larger is unusable: it would make all others look full for good
        self.learned_capacity = WorkerCapacity(settings)  # what ties go by where the weights are not live
        self.capacities: dict[str, float] = {}  # by kind: the largest weight that was told
        self.max_capacity = 0.0  # of all kinds
        self.mean_capacity = 0.0  # of the warm ones, by what sizes their kinds have; 0: not known
        self.finish_elsewhere = NEVER_FINISHES  # what the better workers offer, as a `finish`
        self.next_survey_at = 0.0
        self.common_run_times_s: dict[
            str, float
        ] = {}  # by class: a common running time on the largest, without a fetch

    @property
    def draws_ties(self) -> bool:
        """Whether ties are drawn: own slots tell too little of how full the workers are."""
        return self.max_capacity > 0 or self.learned_capacity.draws_ties

    def record_run(self, w: Worker, cls: JobClass, took_s: float) -> None:
        """A job that fetched took longer than most: a low percentile is hardly moved by it."""
        self.learned_capacity.record_run(w, cls, took_s)
        if w.weight:
            took_s *= self.capacities[w.kind] / self.max_capacity
            run = self.common_run_times_s.get(cls.name, cls.latency_target_s)
            self.common_run_times_s[cls.name] = run * (
                1 + RUN_TIME_STEP * (COMMON_PERCENTILE if took_s > run else COMMON_PERCENTILE - 1)
            )

    def finishes_in_time(
        self, w: Worker, cls: JobClass, waited_s: float, mean_run_s: float, fetch: float
    ) -> bool:
        """Whether a job would be done within its aim there, and not much later than elsewhere.

        `fetch`: mean runs that it takes longer, as the worker does not keep what it needs.
        """
        if not w.weight:
            return True
        if w.expected_finish > self.finish_elsewhere + FETCH_COST_RUNS:
            return False
        run = self.common_run_times_s.get(cls.name, cls.latency_target_s)
        slow = self.max_capacity / self.capacities[w.kind]
        return (
            waited_s + (w.expected_finish - slow + fetch) * mean_run_s + run * slow
            <= cls.latency_target_s + cls.run_time_allowance * run
        )

    def update_weights(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        if not self.settings.weights_report_load:
            return self.learned_capacity.update_weights(workers, entries)
        self.usual_weight.update(entries)
        for e in entries:
            larger = e.weight > self.capacities.get(e.kind, 0.0) and e.state is not WorkerStatus.REMOVED
            if larger and self.usual_weight.is_plausible(e.weight):
                self.capacities[e.kind] = e.weight
                self.max_capacity = max(self.max_capacity, e.weight)
        for e in entries:
            if (w := workers.get(e.worker)) is None:
                continue
            w.weight, w.expected_finish = (
                0.0,
                1.0,
            )  # an unusable weight must not leave that of another kind behind
            if self.usual_weight.is_plausible(e.weight) and (size := self.capacities.get(e.kind)):
                w.weight, w.expected_finish = (
                    e.weight,
                    max(1.0, size / e.weight - 1 + NEXT_JOB_LOAD) * self.max_capacity / size,
                )

    def survey(self, now: float, workers: dict[str, Worker], fit: Callable[[Worker], bool]) -> None:
        """With each list: says anew what can be had elsewhere, if that is due."""
        if now < self.next_survey_at:
            return
        self.next_survey_at = now + SURVEY_INTERVAL_S
        step = max(1, len(workers) // MAX_SURVEYED)
        fits = [w for w in islice(workers.values(), 0, None, step) if fit(w)]
        found = sorted(w.expected_finish for w in fits)
        self.finish_elsewhere = found[int(BETTER_SHARE * len(found))] if found else NEVER_FINISHES
        sizes = [self.capacities[w.kind] for w in fits if w.weight]
        self.mean_capacity = sum(sizes) / len(sizes) if sizes else self.mean_capacity

    def relative_capacity(self, w: Worker) -> float:
        """Its full size over the mean of the warm ones; 1 where that is not known."""
        return self.capacities[w.kind] / self.mean_capacity if w.weight and self.mean_capacity else 1.0

    def draw(
        self, able: Sequence[Worker], zone: str, random: Random, homes: KeyShares | None = None
    ) -> Worker:
        """One of workers whose loads are alike. Without weights the last one, those in the own zone first.

        `homes`: they are homes of a key in that pool.
        """
        if len(able) == 1:
            return able[0]
        if self.learned_capacity.draws_ties:
            return self.learned_capacity.draw(able, random, homes)
        if not self.max_capacity:
            return [w for w in able if w.zone == zone or all(other.zone != zone for other in able)][-1]
        chances = [1.0 / (w.expected_finish + CROSSING_COST_RUNS * (w.zone != zone)) ** 2 for w in able]
        return weighted_choice(able, chances, random)
