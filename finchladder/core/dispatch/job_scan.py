"""Scan scheduling for open jobs: when each must be examined again, and whether its answer is due."""

from finchladder.core.api import Effect
from finchladder.core.dispatch.records import Job
from finchladder.core.dispatch.rules import SendingRules
from finchladder.core.dispatch.state import SWEEP_INTERVAL_S, SWEEPS_PER_SCAN, DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates


class JobScan:
    """Schedules open jobs for the next scan at which one of their deadlines can be due."""

    def __init__(self, state: DispatcherState, rules: SendingRules, estimates: WorkEstimates) -> None:
        self.state = state
        self.rules = rules
        self.estimates = estimates
        self.next_at = 0.0

    def schedule(self, job: Job) -> None:
        """Schedules the job for when its answer is due, an attempt stalls or it may no longer be resent."""
        due_at = min([self.answer_due_at(job), *map(self.state.stall_due_at, job.attempts)])
        if not job.outstanding and job.work_hint_s is not None:
            due_at = min(due_at, self.latest_start(job))
        if job.job_class.effect is Effect.KEYED and not job.outstanding:
            ends_at = (self.rules.deduplication_end(job, attempt) for attempt in job.possibly_run_attempts())
            due_at = min([due_at, *ends_at])
        self.state.job_schedule.schedule(job, due_at)

    def pop_due(self) -> list[Job]:
        """Returns the open jobs for which a deadline may be due, in order of arrival."""
        state = self.state
        times_needed_s = {
            c.name: self.estimates.expected_run_time_s(c.name) + self.answer_margin_s
            for c in state.settings.classes
        }
        no_retries = self.rules.retry_tokens < 1
        jobs = state.job_schedule.pop_due(state.now, times_needed_s, no_retries)
        return [job for job in jobs if not job.is_done and state.jobs.get(job.id) is job]

    @property
    def answer_margin_s(self) -> float:
        """How long before its client's timeout a job must be answered, as the next scan may be too late."""
        return (SWEEPS_PER_SCAN + 1) * SWEEP_INTERVAL_S + 2 * self.state.settings.clock_tick_s

    def answer_due_at(self, job: Job) -> float:
        """Returns when to answer the client at the latest, whatever the state of the attempts."""
        return job.deadline - self.answer_margin_s

    def latest_start(self, job: Job) -> float:
        """Returns the latest time at which the job can start and still be answered before the timeout."""
        return self.answer_due_at(job) - self.estimates.remaining_work_s(job)

    def retry_after_s(self, deadline: float, work_s: float) -> float:
        """Returns how long a rejected client should stay away; 0 if it has no time for another run.

        A slot becomes free when a running job ends, after about a mean running time. The pause leaves the
        client the time for the run of its retry: as long as no job has run, half of its time.

        Args:
            deadline: When the client gives up.
            work_s: How long the job runs.
        """
        useful_s = deadline - self.answer_margin_s - work_s - self.state.now
        slot_free_s = self.estimates.expected_mean_run_time_s() or useful_s / 2
        return max(0.0, min(self.state.settings.max_retry_after_s, slot_free_s, useful_s))

    def should_give_up(self, job: Job) -> bool:
        """Whether a job without attempts in flight can't be answered in time, or must not be sent again."""
        if job.must_wait:
            return False
        return self.state.now > self.latest_start(job) or not self.rules.is_resend_allowed(job)
