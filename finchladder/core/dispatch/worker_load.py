"""How full each worker is for all dispatchers together, by the live weights of the list.

Where a fleet has many dispatchers, a worker's own slots in flight at one of them say next to nothing of its
queue. A live weight does: it is the worker's size divided by 1 + requests held per core, the same for all
dispatchers and a second or two old. Unitless `expected_finish`: how long a mean job takes there, its wait
included, in runs of a mean job on the largest worker. It narrows and breaks ties, and never overrules a lower
load:

| what is known of the two, or of the one | what follows |
| --- | --- |
| no weight, an implausible one, or not live | as without it |
| it would finish later than elsewhere by more than a fetch | passed over |
| it would finish later than the job's latency target allows | passed over: another class may go there |
| it is in no pair of the job's key, and with a fetch it would | passed over: the job waits for its pairs |
| loads are alike | drawn, by the square of how soon each would finish: all dispatchers see the same |

O(1) for each entry of a list; a survey O(MAX_SURVEYED), at most once in SURVEY_INTERVAL_S.
"""

from collections.abc import Callable, Sequence
from itertools import islice
from random import Random

from finchladder.core.api import JobClass, Settings, WorkerEntry, WorkerStatus
from finchladder.core.dispatch.records import Worker
from finchladder.core.dispatch.worker_capacity import (
    KeyShares,
    TypicalWeight,
    WorkerCapacity,
    weighted_choice,
)

NEXT_JOB_LOAD = 0.25  # the next job, in requests a core: no setting tells of cores, four are the usual
CROSSING_COST_RUNS = 0.3  # a crossing between zones counts as so much of a mean run
SURVEY_INTERVAL_S = 0.25
MAX_SURVEYED = 256  # workers at most, evenly through the fleet
FETCH_COST_RUNS = 2.0  # mean runs that a job waits longer where its key is not cached
COMMON_PERCENTILE = 0.4  # of running times, 0 to 1: one that a job without a fetch commonly has
RUN_TIME_STEP = 0.1  # how far one running time moves the percentile
BETTER_SHARE = 0.25  # the share of the fleet whose last to finish is what can be had elsewhere
NEVER_FINISHES = float("inf")


class WorkerLoad:
    """Capacities and loads of the workers by live weights, and the draw of ties."""

    __slots__ = (
        "capacities",
        "max_capacity",
        "mean_capacity",
        "finish_elsewhere",
        "next_survey_at",
        "common_run_times_s",
        "settings",
        "learned_capacity",
        "typical_weight",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.typical_weight = TypicalWeight()  # one far larger would make all others look full for good
        self.learned_capacity = WorkerCapacity(settings)  # what ties go by where the weights are not live
        self.capacities: dict[str, float] = {}  # by kind: the largest weight that was given
        self.max_capacity = 0.0  # of all kinds
        self.mean_capacity = 0.0  # of the workers past slow start; 0: not known
        self.finish_elsewhere = NEVER_FINISHES  # the `expected_finish` of the better workers
        self.next_survey_at = 0.0
        self.common_run_times_s: dict[str, float] = {}  # by class, on the largest worker

    @property
    def draws_ties(self) -> bool:
        """Whether ties are drawn: own slots say too little of how full the workers are."""
        return self.max_capacity > 0 or self.learned_capacity.draws_ties

    def record_run(self, worker: Worker, job_class: JobClass, run_time_s: float) -> None:
        """A job has run to its end. One that fetched took longer, and hardly moves a low percentile."""
        self.learned_capacity.record_run(worker, job_class, run_time_s)
        if not worker.weight:
            return
        run_time_s *= self.capacities[worker.kind] / self.max_capacity
        common_s = self.common_run_times_s.get(job_class.name, job_class.latency_target_s)
        direction = COMMON_PERCENTILE if run_time_s > common_s else COMMON_PERCENTILE - 1
        self.common_run_times_s[job_class.name] = common_s * (1 + RUN_TIME_STEP * direction)

    def finishes_in_time(
        self, worker: Worker, job_class: JobClass, waited_s: float, mean_run_s: float, fetch_runs: float
    ) -> bool:
        """Whether a job would end within its latency target there, and not much later than elsewhere.

        `fetch_runs`: mean runs that it takes longer, as the worker does not cache what it needs.
        """
        if not worker.weight:
            return True
        if worker.expected_finish > self.finish_elsewhere + FETCH_COST_RUNS:
            return False
        run_s = self.common_run_times_s.get(job_class.name, job_class.latency_target_s)
        slowness = self.max_capacity / self.capacities[worker.kind]
        queued_s = (worker.expected_finish - slowness + fetch_runs) * mean_run_s
        target_s = job_class.latency_target_s + job_class.run_time_allowance * run_s
        return waited_s + queued_s + run_s * slowness <= target_s

    def update_weights(self, workers: dict[str, Worker], entries: Sequence[WorkerEntry]) -> None:
        """Takes in the weights of a list. O(entries)."""
        if not self.settings.weights_report_load:
            self.learned_capacity.update_weights(workers, entries)
            return
        self.typical_weight.update(entries)
        for entry in entries:
            self._update_capacity(entry)
        for entry in entries:
            if (worker := workers.get(entry.worker)) is not None:
                self._update_expected_finish(worker, entry)

    def _update_capacity(self, entry: WorkerEntry) -> None:
        is_larger = entry.weight > self.capacities.get(entry.kind, 0.0)
        if not is_larger or entry.state is WorkerStatus.REMOVED:
            return
        if self.typical_weight.is_plausible(entry.weight):
            self.capacities[entry.kind] = entry.weight
            self.max_capacity = max(self.max_capacity, entry.weight)

    def _update_expected_finish(self, worker: Worker, entry: WorkerEntry) -> None:
        # an unusable weight must not leave that of another kind behind
        worker.weight = 0.0
        worker.expected_finish = 1.0
        capacity = self.capacities.get(entry.kind)
        if capacity and self.typical_weight.is_plausible(entry.weight):
            worker.weight = entry.weight
            requests_per_core = max(1.0, capacity / entry.weight - 1 + NEXT_JOB_LOAD)
            worker.expected_finish = requests_per_core * self.max_capacity / capacity

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
