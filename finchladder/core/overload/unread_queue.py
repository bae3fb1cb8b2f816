"""Queue of messages that were received but not parsed yet, by priority and latest time to be read."""

from bisect import bisect_left, insort
from collections.abc import Iterable
from typing import Generic, NamedTuple, TypeVar

ItemT = TypeVar("ItemT")

MAX_EXAMINED = 16  # entries examined by `can_serve`, evenly spaced from the last one; bounds its cost


class _Entry(NamedTuple, Generic[ItemT]):
    """An item in the queue; entries are ordered by `read_by`, then by arrival."""

    read_by: float
    sequence: int
    item: ItemT


class _Position(NamedTuple, Generic[ItemT]):
    """The position of an item: the list that has it, and its entry there."""

    queue: list[_Entry[ItemT]]
    entry: _Entry[ItemT]


class UnreadQueue(Generic[ItemT]):
    """Queued items, served by priority, and within a priority in the order of the latest time to read them.

    Items for which no turn is expected by then are kept apart: they are read only if no others are left.

    Times are in seconds of the caller's clock. Methods take O(priorities + log n) comparisons for n queued
    items, and move up to n references.
    """

    def __init__(self, priorities: Iterable[int]) -> None:
        """`priorities`: those of all items; higher ones are served first."""
        self.by_priority: dict[int, list[_Entry[ItemT]]] = {p: [] for p in sorted(priorities, reverse=True)}
        self.unservable: list[_Entry[ItemT]] = []
        self.positions: dict[ItemT, _Position[ItemT]] = {}
        self.last_sequence = 0

    @property
    def size(self) -> int:
        """Number of queued items."""
        return len(self.positions)

    def add(self, priority: int, item: ItemT, read_by: float) -> None:
        """Queues an item.

        Args:
            priority: Its priority, one of those passed to the constructor.
            item: The item; it must not be queued already.
            read_by: The time from which reading it is of no use to its client any more.
        """
        self._insert(self.by_priority[priority], item, read_by)

    def add_unservable(self, item: ItemT, read_by: float) -> None:
        """Queues an item for which no turn is expected by `read_by`; it must not be queued already."""
        self._insert(self.unservable, item, read_by)

    def _insert(self, queue: list[_Entry[ItemT]], item: ItemT, read_by: float) -> None:
        self.last_sequence += 1
        entry = _Entry(read_by, self.last_sequence, item)
        insort(queue, entry)
        self.positions[item] = _Position(queue, entry)

    def remove(self, item: ItemT) -> None:
        """Removes an item whose client has disconnected; does nothing if it is not queued."""
        if (position := self.positions.pop(item, None)) is not None:
            del position.queue[bisect_left(position.queue, position.entry)]

    def can_serve(self, now: float, priority: int, read_by: float, rate: float) -> bool:
        """Returns whether an item could be read in time without another one of its priority being too late.

        Args:
            now: The current time.
            priority: The priority of the item, which is not queued yet.
            read_by: The latest time to read it.
            rate: The number of items that are read per second.
        """
        ahead = sum(len(queue) for other, queue in self.by_priority.items() if other > priority)
        queue = self.by_priority[priority]
        position = bisect_left(queue, (read_by, self.last_sequence + 1))
        if now + (ahead + position) / rate > read_by:
            return False
        step = 1 + (len(queue) - position) // MAX_EXAMINED
        return all(
            now + (ahead + later + 1) / rate <= queue[later].read_by
            for later in range(len(queue) - 1, position - 1, -step)
        )

    def pop_next(self) -> ItemT | None:
        """Removes and returns the item that is served next; None if the queue is empty."""
        for queue in self.by_priority.values():
            if queue:
                return self._pop(queue[0])
        return self.pop_unservable()

    def pop_unservable(self) -> ItemT | None:
        """Removes and returns the unservable item whose client has the least time left, None without any."""
        return self._pop(self.unservable[0]) if self.unservable else None

    def pop_last(self) -> ItemT | None:
        """Removes and returns the item that would be served last; None if the queue is empty."""
        for queue in (self.unservable, *reversed(self.by_priority.values())):
            if queue:
                return self._pop(queue[-1])
        return None

    def pop_expired(self, now: float) -> ItemT | None:
        """Removes and returns the item with the earliest `read_by` if that has passed, otherwise None."""
        heads = [queue[0] for queue in (*self.by_priority.values(), self.unservable) if queue]
        if not heads or (first := min(heads)).read_by > now:
            return None
        return self._pop(first)

    def _pop(self, entry: _Entry[ItemT]) -> ItemT:
        self.remove(entry.item)
        return entry.item
