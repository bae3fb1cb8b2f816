"""Concurrency limit of a route: a maximum number of open jobs, and a bounded queue of waiting ones.

A job is open from its dispatch to its answer, and takes one slot of the limit.

A queued job was never sent to a worker, so it can be rejected without side effects.
"""

from bisect import bisect_left, insort

from finchladder.core.routing.routes import Queue, QueueOrder

# sort key in the queue: (-value, deadline, serial, job id); the job with the lowest key is dequeued first
Rank = tuple[float, float, int, str]


class ConcurrencyLimiter:
    """Counts the open jobs of one route and orders its queue.

    An insertion into the queue or a removal costs O(log n) comparisons and moves up to n pointers.
    """

    __slots__ = ("max_open", "queue", "open_count", "waiting", "rank_by_id")

    def __init__(self, max_open: int, queue: Queue) -> None:
        self.max_open, self.queue = max_open, queue
        self.open_count = 0  # may exceed `max_open` after a reload that lowered it
        self.waiting: list[Rank] = []
        self.rank_by_id: dict[str, Rank] = {}

    def try_acquire(self) -> bool:
        """Takes a slot if one is free, and returns whether one was.

        The caller must call `dequeue` whenever a slot is released: the queue is not considered here.
        """
        if self.open_count >= self.max_open:
            return False
        self.open_count += 1
        return True

    def enqueue(self, id: str, value: float, deadline: float, serial: int) -> str | None:
        """Queues a job.

        Returns:
            The id of the job that exceeds the queue's length, possibly this one, which the caller must
            reject and remove; None if there is none.
        """
        self.requeue(id, value, deadline, serial)
        return self.waiting[-1][-1] if len(self.waiting) > self.queue.length else None

    def requeue(self, id: str, value: float, deadline: float, serial: int) -> None:
        """Queues a job without a check of the length, e.g. one that was queued before a reload."""
        rank = self.rank_by_id[id] = self.rank_of(id, value, deadline, serial)
        insort(self.waiting, rank)

    def rank_of(self, id: str, value: float, deadline: float, serial: int) -> Rank:
        """Returns the sort key of a job in the configured queue order."""
        if self.queue.order is QueueOrder.WORTH:
            return -value, deadline, serial, id
        return 0.0, deadline if self.queue.order is QueueOrder.DEADLINE else 0.0, serial, id

    def dequeue(self) -> str | None:
        """Removes the first job of the queue and takes a slot for it.

        Returns:
            The job's id, or None if the queue is empty or no slot is free.
        """
        if self.open_count >= self.max_open or not self.waiting:
            return None
        self.open_count += 1
        id = self.waiting.pop(0)[-1]
        del self.rank_by_id[id]
        return id

    def release(self) -> None:
        """Frees the slot of a job that was answered or whose client disconnected."""
        self.open_count -= 1

    def remove(self, id: str) -> None:
        """Removes a job from the queue, if it is queued."""
        if (rank := self.rank_by_id.pop(id, None)) is not None:
            del self.waiting[bisect_left(self.waiting, rank)]
