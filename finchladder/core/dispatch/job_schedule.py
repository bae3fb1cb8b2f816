"""A schedule of the open jobs, so that a scan examines only those for which a deadline can be due.

`pop_due` returns every job for which a deadline can be due, in order of arrival, and some for which none is:
the caller checks each job and schedules it again. `schedule`, `add_queued`, `remove_queued` and `remove` take
O(1), `pop_due` O(d log d) for d returned jobs. Memory: two entries per open job.
"""

from collections.abc import Iterable, Mapping

from finchladder.core.dispatch.records import Job
from finchladder.core.timing_wheel import TimingWheel


class JobSchedule:
    """Open jobs by their next deadline, and queued jobs also by the end of their clients' time."""

    def __init__(self, classes: Iterable[str], width_s: float) -> None:
        self.slot_width_s = width_s
        self.by_due_time: TimingWheel[Job] = TimingWheel(width_s)
        # queued jobs by timeout: the running time of a class is learned, and changes for all its jobs at once
        self.queued_by_class: dict[str, TimingWheel[Job]] = {name: TimingWheel(width_s) for name in classes}
        # queued jobs that may have run: whether they can be sent depends on the remaining retry tokens
        self.queued_retries: dict[int, Job] = {}

    def schedule(self, job: Job, at: float) -> None:
        """Schedules the job to be returned by the first `pop_due` at or after `at` (seconds), or earlier."""
        self.by_due_time.put(job.serial, job, at)

    def add_queued(self, job: Job) -> None:
        self.queued_by_class[job.job_class.name].put(job.serial, job, job.deadline)
        if any(job.possibly_run_attempts()):
            self.queued_retries[job.serial] = job

    def remove_queued(self, job: Job) -> None:
        self.queued_by_class[job.job_class.name].drop(job.serial)
        self.queued_retries.pop(job.serial, None)

    def remove(self, job: Job) -> None:
        """Removes the job from the schedule by deadline; it stays queued until `remove_queued`."""
        self.by_due_time.drop(job.serial)

    def pop_due(self, now: float, times_needed_s: Mapping[str, float], no_retries: bool) -> list[Job]:
        """Returns the jobs that may be due and removes them from the schedule by deadline.

        Args:
            now: The current time.
            times_needed_s: The time that a queued job of each class needs until its answer.
            no_retries: No retry token is left, so all queued jobs that may have run are due.
        """
        found = {job.serial: job for job in self.by_due_time.pop_due(now)}
        for name, needed_s in times_needed_s.items():
            # The caller compares `deadline - needed_s` with `now`, which may round differently from this
            # addition. One slot width is added, so that no due job is missed.
            for job in self.queued_by_class[name].pop_due(now + needed_s + self.slot_width_s):
                # the job stays queued until `remove_queued` is called
                self.queued_by_class[name].put(job.serial, job, job.deadline)
                found[job.serial] = job
        if no_retries:
            found.update(self.queued_retries)
        return [found[serial] for serial in sorted(found)]
