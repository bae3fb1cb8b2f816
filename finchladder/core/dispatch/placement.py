"""Worker selection for a job.

The base is the algorithm described in `choice`: two hashes of a job's key select two ready workers of the
required kind. The one with fewer slots in flight from this dispatcher wins (a tie goes to the second), and
gets the job if it is under its load threshold. Otherwise, and for jobs without a key, the least loaded ready
worker gets it. All pairs of a key are tried before any other worker. In a large fleet ties are broken at
random.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from finchladder.core.dispatch.choice import first_accepting, least_loaded
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.rules import SendingRules
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates
from finchladder.core.dispatch.worker_index import PoolIndex
from finchladder.core.dispatch.worker_load import FETCH_COST_RUNS

MAX_CANDIDATES = 12  # workers, pairs or queued keys examined per selection; bounds its cost in large fleets
# Minimum number of pairs tried for a key: its owners on the rings, and the next pair. With more pairs, a key
# would evict the data of other keys from the workers' caches.
MIN_PAIRS = 2


class Placement:
    """Selects workers for jobs; `SendingRules` decides whether a job may be sent at all."""

    def __init__(
        self,
        state: DispatcherState,
        rules: SendingRules,
        estimates: WorkEstimates,
        pools_of: Callable[[Job], Iterable[PoolIndex]],
    ) -> None:
        """`pools_of`: returns the pools that a job may be sent to, in the order of preference."""
        self.state = state
        self.rules = rules
        self.estimates = estimates
        self.pools_of = pools_of

    def choose(self, job: Job) -> Worker | None:
        """Returns the worker to send the job to, or None if it may not be sent or no worker accepts it."""
        if not self.rules.is_resend_allowed(job):
            return None
        for pool in self.pools_of(job):
            if (worker := self._choose_from(pool, job)) is not None:
                return worker
        return None

    def _choose_from(self, pool: PoolIndex, job: Job) -> Worker | None:
        if job.key is None:
            return self._choose_least_loaded(job, pool)
        # Jobs that the first pair rejects go to the next workers on the key's rings. All dispatchers find the
        # same few workers, which then cache the key's data. With random workers, each job would need a fetch.
        state = self.state
        rejecting: list[Worker] = []
        for pair in self._pairs(pool, job.key):
            if candidates := least_loaded(w for w in pair if self._accepts(job, w)):
                return state.worker_load.draw(candidates, state.settings.zone, state.random, pool)
            rejecting += pair
        starting = self._slow_start_candidates(job, pool)
        if starting:
            return state.worker_load.draw(starting, state.settings.zone, state.random)
        if any(self.rules.is_permitted(job, w) for w in rejecting):
            return None  # the job waits: elsewhere it would need a fetch and evict data of other keys
        return self._choose_least_loaded(job, pool)

    def _choose_least_loaded(self, job: Job, pool: PoolIndex) -> Worker | None:
        """Selects the least loaded accepting worker; if the first few reject, that of a random sample."""
        if self.state.worker_load.breaks_ties_at_random:
            return self._draw_least_loaded(job, pool)
        by_load = pool.workers_by_load(MAX_CANDIDATES)
        chosen, rejecting = first_accepting(
            by_load, lambda w: self.is_under_threshold(w) and self.rules.is_permitted(job, w)
        )
        if pool.size > MAX_CANDIDATES:
            self.state.worker_index.defer(rejecting)
            if chosen is None:
                chosen = self._choose_from_sample(job, pool)
        return chosen

    def _choose_from_sample(self, job: Job, pool: PoolIndex) -> Worker | None:
        zone = self.state.settings.zone
        others = pool.random_workers(self.state.random, MAX_CANDIDATES)
        candidates = [w for w in others if self.is_under_threshold(w) and self.rules.is_permitted(job, w)]
        return min(candidates, key=lambda w: (w.load, w.zone != zone), default=None)

    def _draw_least_loaded(self, job: Job, pool: PoolIndex) -> Worker | None:
        state = self.state
        starting = self._slow_start_candidates(job, pool) if job.key is None else []
        by_load = pool.workers_by_load(MAX_CANDIDATES)
        others = pool.random_workers(state.random, MAX_CANDIDATES)
        fetch_runs = 0.0 if job.key is None else FETCH_COST_RUNS
        examined = [*by_load, *others, *starting]
        candidates = least_loaded(w for w in examined if self._accepts(job, w, fetch_runs))
        if not candidates:
            return None
        return state.worker_load.draw(candidates, state.settings.zone, state.random)

    def _slow_start_candidates(self, job: Job, pool: PoolIndex) -> list[Worker]:
        """Returns the least loaded workers in slow start that have credit for the job.

        Returns none if no live weights are known. A job evicts nothing from the caches of these workers, as
        they are still empty.
        """
        state = self.state
        if not state.worker_load.max_capacity:
            return []
        sampled = state.slow_start.sample(state.worker_index.slow_starting, MAX_CANDIDATES, state.random)
        allowed = (w for w in sampled if self.rules.slow_start_allows(job, w) and pool in w.pools)
        return least_loaded(w for w in allowed if self._accepts(job, w, FETCH_COST_RUNS))

    def _accepts(self, job: Job, worker: Worker, fetch_runs: float = 0.0) -> bool:
        """Whether the worker may get the job now, and would finish it in time by its live weight.

        `fetch_runs`: additional mean running times if the worker does not cache the key's data.
        """
        if not (self.is_under_threshold(worker) and self.rules.is_permitted(job, worker)):
            return False
        state = self.state
        mean_run_time_s = self.estimates.expected_mean_run_time_s()
        return state.worker_load.finishes_in_time(
            worker, job.job_class, job.deadline - state.now, mean_run_time_s, fetch_runs
        )

    def _pairs(self, pool: PoolIndex, key: int) -> Iterator[list[Worker]]:
        """Returns the key's pairs in the order to try; a hot key has as many pairs as its traffic needs."""
        pairs, first = self.state.key_frequency.next_pair(key, pool.size)
        return islice(pool.walk_pairs(key, max(MIN_PAIRS, pairs), first), MAX_CANDIDATES)

    def is_under_threshold(self, worker: Worker) -> bool:
        """Whether the worker's load is below its threshold and the worker is not known to be full.

        A worker is full during its backoff, and while an attempt there has not started within
        `start_grace_s`.
        """
        state = self.state
        if worker.load >= worker.load_threshold or state.now < worker.backoff_until:
            return False
        if worker.unstarted_attempts and state.settings.reports_start:
            oldest_sent_at = next(iter(worker.unstarted_attempts.values()))
            return state.observed_now - oldest_sent_at <= state.start_grace_s
        return True
