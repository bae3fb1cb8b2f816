"""The queues of jobs that wait for a worker: one for each priority and class, in it by key."""

from collections.abc import Callable

from finchladder.core.dispatch.placement import MAX_CANDIDATES
from finchladder.core.dispatch.records import Job, QueuedJobs, QueueKey
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates


class JobQueues:
    """Served by priority, then by what the class is worth for each second of work."""

    def __init__(self, state: DispatcherState, estimates: WorkEstimates) -> None:
        self.state = state
        self.estimates = estimates
        self.by_class: dict[QueueKey, QueuedJobs] = {(0, name): QueuedJobs() for name in state.classes}

    def add(self, job: Job) -> None:
        """The job waits from now on."""
        self.by_class.setdefault(job.queue_key, QueuedJobs()).setdefault(job.key, {})[job.id] = job
        self.state.job_schedule.add_queued(job)

    def remove(self, job: Job) -> None:
        """The job waits no more; nothing happens if it did not."""
        queue = self.by_class.get(job.queue_key)
        if queue and job.id in queue.get(job.key, ()):
            self.state.job_schedule.remove_queued(job)
            del queue[job.key][job.id]
            if not queue[job.key]:
                del queue[job.key]

    def place(self, try_to_place: Callable[[Job], bool]) -> None:
        """Best class first; in it a few keys in turn, one failure a key: a hot key must not block the rest.

        `try_to_place` takes the job out of its queue, or returns False.
        """
        for queue in self.by_class.values():
            for _ in range(min(len(queue), MAX_CANDIDATES)):
                key, jobs = queue.popitem(last=False)
                queue[key] = jobs
                while key in queue and try_to_place(next(iter(jobs.values()))):
                    pass

    def sort(self) -> None:
        """Puts the queues in the order in which they are served, as running times have changed."""
        names = sorted(self.by_class, key=self._rank, reverse=True)
        self.by_class = {name: self.by_class[name] for name in names}

    def _rank(self, queue_key: QueueKey) -> tuple[int, float]:
        priority, name = queue_key
        value = self.state.classes[name].value
        if self.state.settings.value_per_work:  # the settings give values for each second of work already
            return priority, value
        return priority, value / self.estimates.mean_run_times_s[name]
