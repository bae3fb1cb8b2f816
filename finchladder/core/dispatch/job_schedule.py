"""Which open jobs a scan must look at, without a look at the others.

It hands out every job for which something can be due, in the order of arrival, and some for which nothing is:
the caller judges each by its own rules and watches it again. Costs: watch, hold, drop O(1); due O(d log d)
for d jobs handed out. Memory: two entries for each open job.
"""

from collections.abc import Iterable, Mapping

from finchladder.core.dispatch.records import Job
from finchladder.core.timing_wheel import Wheel


class Agenda:
    def __init__(self, classes: Iterable[str], width_s: float) -> None:
        self.width_s = width_s
        self.watched: Wheel[Job] = Wheel(width_s)  # by the next time at which something of it can be due
        # held jobs by arrival: how long a class may wait is learned, and moves for all of its jobs at once
        self.waiting: dict[str, Wheel[Job]] = {name: Wheel(width_s) for name in classes}
        self.spent: dict[int, Job] = {}  # held jobs that may have run: they depend on the retries left

    def watch(self, job: Job, at: float) -> None:
        """Look at it at `at` (seconds) at the latest."""
        self.watched.put(job.serial, job, at)

    def hold(self, job: Job) -> None:
        self.waiting[job.cls.name].put(job.serial, job, job.arrived)
        if any(job.may_have_run()):
            self.spent[job.serial] = job

    def unhold(self, job: Job) -> None:
        self.waiting[job.cls.name].drop(job.serial)
        self.spent.pop(job.serial, None)

    def drop(self, job: Job) -> None:
        self.watched.drop(job.serial)

    def due(self, now: float, waits: Mapping[str, float], no_retries: bool) -> list[Job]:
        """`waits`: seconds that a held job of each class may be old. Watches none of them any more."""
        found = {job.serial: job for job in self.watched.due(now)}
        for name, wait in waits.items():
            # a slot more than due: now - wait may round to less than what arrived + wait is compared with
            for job in self.waiting[name].due(now - wait + self.width_s):
                self.waiting[name].put(job.serial, job, job.arrived)  # held until the caller says otherwise
                found[job.serial] = job
        if no_retries:
            found.update(self.spent)
        return [found[serial] for serial in sorted(found)]
