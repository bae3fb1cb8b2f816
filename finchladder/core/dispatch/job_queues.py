"""The queues of jobs that wait for a worker: one per priority and class, grouped by key within each."""

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heapreplace
from itertools import islice

from finchladder.core.dispatch.placement import MAX_CANDIDATES
from finchladder.core.dispatch.records import Job, QueuedJobs, QueueKey
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates

# Sort key of a queued job within its priority: the latest start that leaves time for its run, and its serial
# number.
Urgency = tuple[float, int]
Priority = tuple[int, int]  # of a route, and of a job class; higher ones are served first


class JobQueues:
    """The queues of waiting jobs, served by priority, then by the time at which each job must start."""

    def __init__(self, state: DispatcherState, estimates: WorkEstimates) -> None:
        self.state = state
        self.estimates = estimates
        self.by_class: dict[QueueKey, QueuedJobs] = {(0, name): QueuedJobs() for name in state.classes}

    def add(self, job: Job) -> None:
        """Queues a job, behind those of its class and key that must start before it."""
        self.state.job_schedule.add_queued(job)
        queue = self.by_class.setdefault(job.queue_key, QueuedJobs())
        jobs = queue.setdefault(job.key, {})
        is_last = not jobs or self._urgency(_last(jobs)) <= self._urgency(job)
        jobs[job.id] = job
        if not is_last:
            queue[job.key] = dict(sorted(jobs.items(), key=lambda item: self._urgency(item[1])))

    def remove(self, job: Job) -> None:
        """Removes a job; does nothing if it is not queued."""
        queue = self.by_class.get(job.queue_key)
        if queue and job.id in queue.get(job.key, ()):
            self.state.job_schedule.remove_queued(job)
            del queue[job.key][job.id]
            if not queue[job.key]:
                del queue[job.key]

    def place(self, try_to_place: Callable[[Job], bool]) -> None:
        """Places queued jobs, those of the highest priority first.

        Of each queue of a priority up to MAX_CANDIDATES keys are tried, in turn, so that a hot key does not
        block the others. Of these the job that must start first is tried next, until a job of each key can't
        be placed. A job that was sent before has fewer workers left, so it blocks no other of its key.
        `try_to_place` removes the job from its queue, or returns False.
        """
        if not any(self.by_class.values()):
            return
        for priority in sorted({self._priority(queue_key) for queue_key in self.by_class}, reverse=True):
            self._place_priority(priority, try_to_place)

    def _place_priority(self, priority: Priority, try_to_place: Callable[[Job], bool]) -> None:
        # with the number of jobs of the key that were tried in vain
        candidates = [
            (*self._urgency(_first(queue[key])), queue, key, 0) for queue, key in self._rotate(priority)
        ]
        heapify(candidates)
        while candidates:
            _, _, queue, key, skipped = candidates[0]
            job = _job_at(queue.get(key, {}), skipped)
            if job is not None and not try_to_place(job):
                skipped = skipped + 1 if job.attempts else len(queue[key])
            following = _job_at(queue.get(key, {}), skipped)
            if following is None:
                heappop(candidates)
            else:
                heapreplace(candidates, (*self._urgency(following), queue, key, skipped))

    def _rotate(self, priority: Priority) -> Iterator[tuple[QueuedJobs, int | None]]:
        """Yields the keys to try in each queue of the priority, and moves them to the end of their queue."""
        for queue_key, queue in self.by_class.items():
            if self._priority(queue_key) == priority:
                for _ in range(min(len(queue), MAX_CANDIDATES)):
                    key, jobs = queue.popitem(last=False)
                    queue[key] = jobs
                    yield queue, key

    def _priority(self, queue_key: QueueKey) -> Priority:
        route_priority, class_name = queue_key
        return route_priority, self.state.classes[class_name].priority

    def _urgency(self, job: Job) -> Urgency:
        return job.deadline - self.estimates.remaining_work_s(job), job.serial


def _first(jobs: dict[str, Job]) -> Job:
    return next(iter(jobs.values()))


def _job_at(jobs: dict[str, Job], index: int) -> Job | None:
    return next(islice(jobs.values(), index, None), None)


def _last(jobs: dict[str, Job]) -> Job:
    return next(reversed(jobs.values()))
