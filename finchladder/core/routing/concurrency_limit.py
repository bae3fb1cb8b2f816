"""Concurrency of a route: so many of its jobs are open at once, and a bounded queue of others waits.

A job that waits was never sent, so to refuse it is harmless.
"""

from bisect import bisect_left, insort

from finchladder.core.routing.routes import Queue, QueueOrder

Rank = tuple[float, float, int, str]  # the least goes first; the last is the job's id


class ConcurrencyLimiter:
    """Places and queue of one route. To wait and to be dropped cost O(log n), and up to n moved pointers."""

    __slots__ = ("max_open", "queue", "open_count", "waiting", "rank_by_id")

    def __init__(self, most: int, queue: Queue) -> None:
        self.max_open, self.queue = most, queue
        self.open_count = 0  # may be above `most` after a reload that lowered it
        self.waiting: list[Rank] = []
        self.rank_by_id: dict[str, Rank] = {}

    def try_acquire(self) -> bool:
        """Takes a place, if one is free. Whoever waits is to be let in by `next` as soon as one is."""
        if self.open_count >= self.max_open:
            return False
        self.open_count += 1
        return True

    def enqueue(self, id: str, worth: float, deadline: float, serial: int) -> str | None:
        """Queues a job. Returns whom there is no room for now, maybe the same: to be refused and dropped."""
        self.requeue(id, worth, deadline, serial)
        return self.waiting[-1][-1] if len(self.waiting) > self.queue.length else None

    def requeue(self, id: str, worth: float, deadline: float, serial: int) -> None:
        """Queues a job that has waited already, under rules that were others."""
        rank = self.rank_by_id[id] = self.rank_of(id, worth, deadline, serial)
        insort(self.waiting, rank)

    def rank_of(self, id: str, worth: float, deadline: float, serial: int) -> Rank:
        if self.queue.order is QueueOrder.WORTH:
            return -worth, deadline, serial, id
        return 0.0, deadline if self.queue.order is QueueOrder.DEADLINE else 0.0, serial, id

    def dequeue(self) -> str | None:
        """The job whose turn it is, out of the queue and with a place; None: none waits, or none is free."""
        if self.open_count >= self.max_open or not self.waiting:
            return None
        self.open_count += 1
        id = self.waiting.pop(0)[-1]
        del self.rank_by_id[id]
        return id

    def release(self) -> None:
        """A job that had a place is answered."""
        self.open_count -= 1

    def remove(self, id: str) -> None:
        """A job waits no more, if it did."""
        if (rank := self.rank_by_id.pop(id, None)) is not None:
            del self.waiting[bisect_left(self.waiting, rank)]
