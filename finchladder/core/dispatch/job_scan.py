"""Scan scheduling for open jobs: when each must be examined again, and whether its answer is due."""

from finchladder.core.api import Effect, JobClass
from finchladder.core.dispatch.records import Job
from finchladder.core.dispatch.rules import SendingRules
from finchladder.core.dispatch.state import SWEEPS_PER_SCAN, DispatcherState
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
        if job.job_class.effect is Effect.KEYED and not job.outstanding:
            ends_at = (self.rules.deduplication_end(job, attempt) for attempt in job.possibly_run_attempts())
            due_at = min([due_at, *ends_at])
        self.state.job_schedule.schedule(job, due_at)

    def pop_due(self) -> list[Job]:
        """Returns the open jobs for which a deadline may be due, in order of arrival."""
        state = self.state
        max_waits_s = {c.name: self.max_wait_s(c) for c in state.settings.classes}
        no_retries = self.rules.retry_tokens < 1
        jobs = state.job_schedule.pop_due(state.now, max_waits_s, no_retries)
        return [job for job in jobs if not job.is_done and state.jobs.get(job.id) is job]

    def answer_due_at(self, job: Job) -> float:
        """Returns when to answer the client at the latest, whatever the state of the attempts."""
        state = self.state
        scan_interval_s = (SWEEPS_PER_SCAN + 1) * state.sweep_interval_s
        return job.deadline - scan_interval_s - 2 * state.settings.clock_tick_s

    def should_give_up(self, job: Job) -> bool:
        """Whether a job without attempts in flight can't be answered in time, or must not be sent again."""
        if job.must_wait:
            return False
        is_late = self.state.now > job.arrived_at + self.max_wait_s(job.job_class)
        return is_late or not self.rules.is_resend_allowed(job)

    def max_wait_s(self, job_class: JobClass) -> float:
        """Returns how long a job of the class may wait for its start and still be answered in time."""
        mean_run_time_s = self.estimates.mean_run_times_s[job_class.name]
        return job_class.latency_target_s + max(0.0, job_class.run_time_allowance - 1) * mean_run_time_s
