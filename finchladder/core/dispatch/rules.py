"""Sending rules: whether a job may be sent again, and whether it may be sent to a given worker.

The effect class limits resends of a job that may have run: an UNSAFE job is never sent again, a KEYED job
only within its deduplication window and to the workers that drop its duplicates.
"""

from functools import partial

from finchladder.core.api import NEVER_RAN, DeduplicationScope, Effect
from finchladder.core.dispatch.records import Attempt, Job, Worker
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates
from finchladder.core.dispatch.worker_load import FETCH_COST_RUNS
from finchladder.core.health.outlier_ejection import SUSPECT_THRESHOLD

RETRY_TOKENS_PER_REQUEST = 0.2  # tokens per new request, for retries of jobs that may have run
MAX_RETRY_TOKENS = 10.0  # reached while there are no failures, so that the first ones can be retried


class SendingRules:
    """Checks each send against the job's effect class and limits and the worker's health."""

    def __init__(self, state: DispatcherState, estimates: WorkEstimates) -> None:
        self.state = state
        self.estimates = estimates
        self.retry_tokens = MAX_RETRY_TOKENS

    def add_retry_tokens(self) -> None:
        """Adds the retry tokens for a new request."""
        self.retry_tokens = min(self.retry_tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS)

    def is_resend_allowed(self, job: Job) -> bool:
        """Whether the job may be sent (again) at all, to any worker."""
        state = self.state
        if len(job.attempts) >= job.max_attempts:
            return False
        if state.now >= job.deadline - 2 * state.settings.clock_tick_s:
            return False
        effect = job.job_class.effect
        for attempt in job.possibly_run_attempts():
            if self.retry_tokens < 1:  # limits the retry load on a fleet with many failures
                return False
            if effect is Effect.UNSAFE or (attempt.ending is None and not state.settings.may_hedge):
                return False
            if effect is Effect.KEYED and state.now >= self.deduplication_end(job, attempt):
                return False
        return True

    def is_permitted(self, job: Job, worker: Worker) -> bool:
        """Whether the rules and the worker's health allow sending this job to the worker."""
        state = self.state
        if not worker.is_ready:
            return False
        if job.attempts and not all(self._may_follow(job, attempt, worker) for attempt in job.attempts):
            return False
        if worker.failure_rate > SUSPECT_THRESHOLD and not state.health.may_receive(
            state.now, job, worker, state.worker_index
        ):
            return False
        return not state.worker_index.is_slow_starting(worker, state.now) or self.slow_start_allows(
            job, worker
        )

    def slow_start_allows(self, job: Job, worker: Worker) -> bool:
        """Whether this dispatcher's share of the capacity of a worker in slow start suffices for the job."""
        state = self.state
        capacity = state.worker_load.relative_capacity(worker) if state.slow_start.is_large_fleet else 1.0
        rate = self.estimates.warm_rate * capacity
        max_cost_s = self.estimates.mean_run_time_s() * (1 + FETCH_COST_RUNS)
        cost_s = partial(self.estimates.slow_start_cost_s, job, worker)
        return state.slow_start.allows(worker, state.now, rate, max_cost_s, cost_s)

    def _may_follow(self, job: Job, attempt: Attempt, worker: Worker) -> bool:
        """Whether a job with this earlier attempt may be sent to the worker.

        A job is never sent twice to one worker, and a KEYED job that may have run is only sent to workers
        that drop its duplicates.
        """
        if attempt.worker is worker:
            return False
        if attempt.ending in NEVER_RAN or job.job_class.effect is not Effect.KEYED:
            return True
        scope = job.job_class.deduplication_scope
        if scope is DeduplicationScope.ALL:
            return True
        if scope is DeduplicationScope.ZONE:
            return attempt.worker.zone == worker.zone
        return attempt.worker.cell == worker.cell

    def deduplication_end(self, job: Job, attempt: Attempt) -> float:
        """Returns when resends of a KEYED job must stop: later, workers may run a duplicate of an attempt."""
        window_s = job.job_class.deduplication_window_s
        return attempt.sent_at + window_s - 2 * self.state.settings.clock_tick_s

    def start_within_s(self, job: Job) -> float:
        """Returns for how many seconds a send may wait for a connection; 0: no limit.

        A resend of a KEYED job must start within the deduplication window of every attempt that may have run.
        """
        if job.job_class.effect is not Effect.KEYED:
            return 0.0
        now = self.state.now
        return min((self.deduplication_end(job, a) - now for a in job.possibly_run_attempts()), default=0.0)

    def is_client_retry_harmless(self, job: Job) -> bool:
        """Whether a client retry cannot make the job run more often than its effect class allows."""
        job_class = job.job_class
        if job_class.effect is Effect.SAFE:
            return True
        if job_class.effect is Effect.KEYED and job_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        return not any(job.possibly_run_attempts())
