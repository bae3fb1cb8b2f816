"""Which open jobs a scan must look at, without a look at the others.

It hands out every job for which something can be due, in the order of arrival, and some for which nothing is:
the caller judges each by its own rules and watches it again. Costs: watch, hold, drop O(1); due O(d log d)
for d jobs handed out. Memory: two entries for each open job.
"""

from collections.abc import Iterable, Mapping

from finchladder.core.dispatch.records import Job
from finchladder.core.timing_wheel import TimingWheel


class JobSchedule:
    def __init__(self, classes: Iterable[str], width_s: float) -> None:
        self.slot_width_s = width_s
        self.by_due_time: TimingWheel[Job] = TimingWheel(
            width_s
        )  # by the next time at which something of it can be due
        # held jobs by arrival: how long a class may wait is learned, and moves for all of its jobs at once
        self.queued_by_class: dict[str, TimingWheel[Job]] = {name: TimingWheel(width_s) for name in classes}
        self.queued_retries: dict[
            int, Job
        ] = {}  # held jobs that may have run: they depend on the retries left

    def schedule(self, job: Job, at: float) -> None:
        """Look at it at `at` (seconds) at the latest."""
        self.by_due_time.put(job.serial, job, at)

    def add_queued(self, job: Job) -> None:
        self.queued_by_class[job.job_class.name].put(job.serial, job, job.arrived_at)
        if any(job.possibly_run_attempts()):
            self.queued_retries[job.serial] = job

    def remove_queued(self, job: Job) -> None:
        self.queued_by_class[job.job_class.name].drop(job.serial)
        self.queued_retries.pop(job.serial, None)

    def remove(self, job: Job) -> None:
        self.by_due_time.drop(job.serial)

    def pop_due(self, now: float, waits: Mapping[str, float], no_retries: bool) -> list[Job]:
        """`waits`: seconds that a held job of each class may be old. Watches none of them any more."""
        found = {job.serial: job for job in self.by_due_time.pop_due(now)}
        for name, wait in waits.items():
            # a slot more than due: now - wait may round to less than what arrived + wait is compared with
            for job in self.queued_by_class[name].pop_due(now - wait + self.slot_width_s):
                self.queued_by_class[name].put(
                    job.serial, job, job.arrived_at
                )  # held until the caller says otherwise
                found[job.serial] = job
        if no_retries:
            found.update(self.queued_retries)
        return [found[serial] for serial in sorted(found)]
