"""Concurrency of a route: so many of its jobs are open at once, and a bounded queue of others waits.

A job that waits was never sent, so to refuse it is harmless.
"""

from bisect import bisect_left, insort

from finchladder.core.routing.routes import Queue, QueueOrder

Rank = tuple[float, float, int, str]  # the least goes first; the last is the job's id


class Limiter:
    """Places and queue of one route. To wait and to be dropped cost O(log n), and up to n moved pointers."""

    __slots__ = ("most", "queue", "open", "order", "ranks")

    def __init__(self, most: int, queue: Queue) -> None:
        self.most, self.queue = most, queue
        self.open = 0  # may be above `most` after a reload that lowered it
        self.order: list[Rank] = []
        self.ranks: dict[str, Rank] = {}

    def enter(self) -> bool:
        """Takes a place, if one is free. Whoever waits is to be let in by `next` as soon as one is."""
        if self.open >= self.most:
            return False
        self.open += 1
        return True

    def wait(self, id: str, worth: float, deadline: float, serial: int) -> str | None:
        """Queues a job. Returns whom there is no room for now, maybe the same: to be refused and dropped."""
        self.put(id, worth, deadline, serial)
        return self.order[-1][-1] if len(self.order) > self.queue.length else None

    def put(self, id: str, worth: float, deadline: float, serial: int) -> None:
        """Queues a job that has waited already, under rules that were others."""
        rank = self.ranks[id] = self.rank(id, worth, deadline, serial)
        insort(self.order, rank)

    def rank(self, id: str, worth: float, deadline: float, serial: int) -> Rank:
        if self.queue.order is QueueOrder.WORTH:
            return -worth, deadline, serial, id
        return 0.0, deadline if self.queue.order is QueueOrder.DEADLINE else 0.0, serial, id

    def next(self) -> str | None:
        """The job whose turn it is, out of the queue and with a place; None: none waits, or none is free."""
        if self.open >= self.most or not self.order:
            return None
        self.open += 1
        id = self.order.pop(0)[-1]
        del self.ranks[id]
        return id

    def leave(self) -> None:
        """A job that had a place is answered."""
        self.open -= 1

    def drop(self, id: str) -> None:
        """A job waits no more, if it did."""
        if (rank := self.ranks.pop(id, None)) is not None:
            del self.order[bisect_left(self.order, rank)]
