"""The queues of jobs that wait for a worker: one per priority and class, grouped by key within each."""

from collections.abc import Callable

from finchladder.core.dispatch.placement import MAX_CANDIDATES
from finchladder.core.dispatch.records import Job, QueuedJobs, QueueKey
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates


class JobQueues:
    """The queues of waiting jobs, served by priority, then by the value of the class per second of work."""

    def __init__(self, state: DispatcherState, estimates: WorkEstimates) -> None:
        self.state = state
        self.estimates = estimates
        self.by_class: dict[QueueKey, QueuedJobs] = {(0, name): QueuedJobs() for name in state.classes}

    def add(self, job: Job) -> None:
        """Queues a job."""
        self.by_class.setdefault(job.queue_key, QueuedJobs()).setdefault(job.key, {})[job.id] = job
        self.state.job_schedule.add_queued(job)

    def remove(self, job: Job) -> None:
        """Removes a job; does nothing if it is not queued."""
        queue = self.by_class.get(job.queue_key)
        if queue and job.id in queue.get(job.key, ()):
            self.state.job_schedule.remove_queued(job)
            del queue[job.key][job.id]
            if not queue[job.key]:
                del queue[job.key]

    def place(self, try_to_place: Callable[[Job], bool]) -> None:
        """Places queued jobs, queue by queue in the order set by `sort`.

        In each queue up to MAX_CANDIDATES keys are tried round-robin, each until its first job that can't be
        placed, so that a hot key does not block the others. `try_to_place` removes the job from its queue, or
        returns False.
        """
        for queue in self.by_class.values():
            for _ in range(min(len(queue), MAX_CANDIDATES)):
                key, jobs = queue.popitem(last=False)
                queue[key] = jobs
                while key in queue and try_to_place(next(iter(jobs.values()))):
                    pass

    def sort(self) -> None:
        """Sorts the queues into the order of service, which changes with the estimated running times."""
        names = sorted(self.by_class, key=self._rank, reverse=True)
        self.by_class = {name: self.by_class[name] for name in names}

    def _rank(self, queue_key: QueueKey) -> tuple[int, float]:
        priority, name = queue_key
        value = self.state.classes[name].value
        if self.state.settings.value_per_work:  # the configured values are already per second of work
            return priority, value
        return priority, value / self.estimates.mean_run_times_s[name]
