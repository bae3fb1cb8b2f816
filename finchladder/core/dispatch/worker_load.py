"""Estimated load of each worker from all dispatchers together, by the live weights of the endpoint list.

In a fleet with many dispatchers, the slots in flight from one of them say almost nothing about the length of
a worker's queue. A live weight does: it is the worker's capacity divided by (1 + requests in flight per
core), is the same for all dispatchers, and is one or two seconds old. `expected_finish` is derived from it:
the time from arrival to finish of a job of mean length at the worker, in multiples of the running time of
such a job on an idle worker of the largest capacity. A worker may be skipped because of it, and ties between
equal local loads are broken by it, but it never outweighs a lower local load:

| condition | effect |
| --- | --- |
| the weight is missing or implausible, or weights do not report load | none |
| `expected_finish` exceeds `finish_elsewhere` by more than FETCH_COST_RUNS | worker skipped |
| the job would finish after its client's timeout | worker skipped; a job with more time may be sent there |
| as above, but in time without a fetch | worker skipped; a job with a key may wait for the key's pairs |
| equal local loads | random choice by the inverse square of `expected_finish` |

The choice is random because all dispatchers have the same weights and would otherwise choose the same worker.

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

NEXT_JOB_LOAD = 0.25  # requests per core that one more job adds, for an assumed 4 cores: no setting has it
CROSS_ZONE_COST_RUNS = 0.3  # cost of a request to another zone, in mean running times
SAMPLE_INTERVAL_S = 0.25
MAX_SAMPLED_WORKERS = 256  # spread evenly over the fleet; up to 511, as the step is rounded down
FETCH_COST_RUNS = 2.0  # extra time of a job if its key's data is not cached, in mean running times
COMMON_PERCENTILE = 0.4  # quantile of running times that is typical of jobs without a fetch
RUN_TIME_STEP = 0.1  # step of the quantile estimate per recorded run, as a fraction of the estimate
FINISH_PERCENTILE = 0.25  # quantile of `expected_finish` that a job is assumed to get elsewhere
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
        # weights far above it are ignored: they would make all other workers look full
        self.typical_weight = TypicalWeight()
        # breaks ties between workers in a large fleet, unless `weights_report_load` is set
        self.learned_capacity = WorkerCapacity(settings)
        self.capacities: dict[str, float] = {}  # largest weight by kind
        self.max_capacity = 0.0  # largest weight of all kinds
        self.mean_capacity = 0.0  # mean capacity of workers past slow start; 0: unknown
        self.finish_elsewhere = NEVER_FINISHES  # FINISH_PERCENTILE of the sampled `expected_finish`
        self.next_sample_at = 0.0
        # by class name: typical run time without a fetch on a worker of the largest capacity
        self.common_run_times_s: dict[str, float] = {}

    @property
    def breaks_ties_at_random(self) -> bool:
        """Whether ties are broken at random, as the local load is only a small part of a worker's load."""
        return self.max_capacity > 0 or self.learned_capacity.breaks_ties_at_random

    def record_run(self, worker: Worker, job_class: JobClass, run_time_s: float) -> None:
        """Records a run time. Those that include a fetch are longer and hardly change a low percentile."""
        self.learned_capacity.record_run(worker, job_class, run_time_s)
        if not worker.weight:
            return
        run_time_s *= self.capacities[worker.kind] / self.max_capacity
        common_s = self.common_run_times_s.get(job_class.name, run_time_s)
        direction = COMMON_PERCENTILE if run_time_s > common_s else COMMON_PERCENTILE - 1
        self.common_run_times_s[job_class.name] = common_s * (1 + RUN_TIME_STEP * direction)

    def finishes_in_time(
        self, worker: Worker, job_class: JobClass, remaining_s: float, mean_run_s: float, fetch_runs: float
    ) -> bool:
        """Whether a job would finish before its client's timeout, and not much later than elsewhere.

        `fetch_runs`: additional mean running times if the worker does not cache the key's data.
        """
        if not worker.weight:
            return True
        if worker.expected_finish > self.finish_elsewhere + FETCH_COST_RUNS:
            return False
        run_s = self.common_run_times_s.get(job_class.name, 0.0)
        slowness = self.max_capacity / self.capacities[worker.kind]
        queued_s = (worker.expected_finish - slowness + fetch_runs) * mean_run_s
        return queued_s + run_s * slowness <= remaining_s

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
        # reset first: an earlier weight must not stay if the new one is implausible, as the kind may differ
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
        """Updates `finish_elsewhere` and `mean_capacity` from a sample of the workers, if one is due.

        Must be called after each endpoint list update if the weights report load.
        """
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
        """Returns one of the tied workers, drawn at random if weights or learned capacities are used.

        Otherwise it is the last candidate in the local zone, or the last one if none is there. `key_shares`:
        the pool of the candidates if they are a key's pair.
        """
        if len(candidates) == 1:
            return candidates[0]
        if self.learned_capacity.breaks_ties_at_random:
            return self.learned_capacity.draw(candidates, random, key_shares)
        if not self.max_capacity:
            return [
                w for w in candidates if w.zone == zone or all(other.zone != zone for other in candidates)
            ][-1]
        chances = [
            1.0 / (w.expected_finish + CROSS_ZONE_COST_RUNS * (w.zone != zone)) ** 2 for w in candidates
        ]
        return weighted_choice(candidates, chances, random)
