"""Estimated load of each worker from all dispatchers together, by the live weights of the endpoint list.

In a fleet with many dispatchers, the slots in flight from one of them show next to nothing of a worker's
queue. A live weight does: it is the worker's capacity divided by 1 + requests in flight per core, is the same
for all dispatchers, and is one or two seconds old. `expected_finish` is the time from arrival to finish of a
mean job at a worker, in running times of a mean job on the largest worker. It excludes workers and breaks
ties, but never overrides a lower local load:

| condition | effect |
| --- | --- |
| no weight, an implausible one, or weights that do not report load | none |
| the job would finish later than elsewhere by more than a fetch | worker skipped |
| the job would finish after its latency target | worker skipped; a job of another class may be sent there |
| the same, only due to the fetch at a worker in no pair of the key | skipped; the job waits for its pairs |
| equal loads | random choice by the inverse square of the expected finish, as all dispatchers see the same |

O(1) per entry of a list. Sampling the fleet takes O(MAX_SAMPLED_WORKERS), once per SAMPLE_INTERVAL_S at most.
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

NEXT_JOB_LOAD = 0.25  # requests per core that one more job adds; four cores, as no setting gives the number
CROSS_ZONE_COST_RUNS = 0.3  # cost of a request to another zone, in mean running times
SAMPLE_INTERVAL_S = 0.25
MAX_SAMPLED_WORKERS = 256  # spread evenly over the fleet
FETCH_COST_RUNS = 2.0  # mean running times that a job takes longer if its key's data is not cached
COMMON_PERCENTILE = 0.4  # percentile, 0 to 1, of running times that is typical of jobs without a fetch
RUN_TIME_STEP = 0.1  # relative step of the percentile estimate per running time
FINISH_PERCENTILE = 0.25  # percentile, 0 to 1, of expected finishes that counts as available elsewhere
NEVER_FINISHES = float("inf")


class WorkerLoad:
    """Capacities and loads of the workers by live weights, and random tie-breaking."""

    __slots__ = (
        "capacities",
        "max_capacity",
        "mean_capacity",
        "finish_elsewhere",
        "next_sample_at",
        "common_run_times_s",
        "settings",
        "learned_capacity",
        "typical_weight",
    )

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.typical_weight = TypicalWeight()  # a far larger weight would make all other workers look full
        self.learned_capacity = WorkerCapacity(settings)  # breaks ties if weights do not report load
        self.capacities: dict[str, float] = {}  # largest weight by kind
        self.max_capacity = 0.0  # largest weight of all kinds
        self.mean_capacity = 0.0  # mean of workers past slow start; 0: unknown
        self.finish_elsewhere = NEVER_FINISHES  # FINISH_PERCENTILE of `expected_finish`
        self.next_sample_at = 0.0
        self.common_run_times_s: dict[str, float] = {}  # class to run time on the largest worker

    @property
    def draws_ties(self) -> bool:
        """Whether ties are broken at random, as the local loads show too little of the workers' loads."""
        return self.max_capacity > 0 or self.learned_capacity.draws_ties

    def record_run(self, worker: Worker, job_class: JobClass, run_time_s: float) -> None:
        """Records a run time. Those that include a fetch are longer and hardly change a low percentile."""
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
        """Whether a job would finish within its latency target, and not much later than elsewhere.

        `fetch_runs`: additional mean running times if the worker does not cache the key's data.
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
        """Updates the capacities and loads from the weights of a list. O(entries)."""
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
        # reset, so that no earlier weight remains if the new one is implausible: it may be of another kind
        worker.weight = 0.0
        worker.expected_finish = 1.0
        capacity = self.capacities.get(entry.kind)
        if capacity and self.typical_weight.is_plausible(entry.weight):
            worker.weight = entry.weight
            requests_per_core = max(1.0, capacity / entry.weight - 1 + NEXT_JOB_LOAD)
            worker.expected_finish = requests_per_core * self.max_capacity / capacity

    def sample_fleet(
        self, now: float, workers: dict[str, Worker], is_eligible: Callable[[Worker], bool]
    ) -> None:
        """Updates `finish_elsewhere` and `mean_capacity` from a sample, if due; called with each list."""
        if now < self.next_sample_at:
            return
        self.next_sample_at = now + SAMPLE_INTERVAL_S
        step = max(1, len(workers) // MAX_SAMPLED_WORKERS)
        sample = [w for w in islice(workers.values(), 0, None, step) if is_eligible(w)]
        finishes = sorted(w.expected_finish for w in sample)
        self.finish_elsewhere = (
            finishes[int(FINISH_PERCENTILE * len(finishes))] if finishes else NEVER_FINISHES
        )
        capacities = [self.capacities[w.kind] for w in sample if w.weight]
        self.mean_capacity = sum(capacities) / len(capacities) if capacities else self.mean_capacity

    def relative_capacity(self, worker: Worker) -> float:
        """Returns the worker's capacity relative to the mean of the warm workers; 1 if unknown."""
        return (
            self.capacities[worker.kind] / self.mean_capacity if worker.weight and self.mean_capacity else 1.0
        )

    def draw(
        self, candidates: Sequence[Worker], zone: str, random: Random, key_shares: KeyShares | None = None
    ) -> Worker:
        """Breaks a tie between workers; without weights the last one wins, the local zone first.

        `key_shares`: the pool, if the candidates are a key's pair.
        """
        if len(candidates) == 1:
            return candidates[0]
        if self.learned_capacity.draws_ties:
            return self.learned_capacity.draw(candidates, random, key_shares)
        if not self.max_capacity:
            return [
                w for w in candidates if w.zone == zone or all(other.zone != zone for other in candidates)
            ][-1]
        chances = [
            1.0 / (w.expected_finish + CROSS_ZONE_COST_RUNS * (w.zone != zone)) ** 2 for w in candidates
        ]
        return weighted_choice(candidates, chances, random)
