"""Queue of complete messages that were received but not parsed yet, by job class and lateness."""

from collections import OrderedDict
from collections.abc import Sequence
from heapq import heapify, heappop, heappush
from typing import Generic, NamedTuple, TypeVar

from finchladder.core.api import JobClass

# Fraction of its latency target that a job may wait unread and still be answered in time.
MAX_IN_TIME_QUEUED = 0.5
# Fraction of its latency target that the oldest job may wait while jobs are read in order of arrival. Beyond
# it, the newest job is read first.
MAX_FIFO_QUEUED = 0.2
# The heap of deadlines is compacted if it has more than MIN_HEAP_SIZE entries plus MAX_HEAP_ENTRIES_PER_ITEM
# per queued item.
MIN_HEAP_SIZE = 64
MAX_HEAP_ENTRIES_PER_ITEM = 4

ItemT = TypeVar("ItemT")


class _Position(NamedTuple, Generic[ItemT]):
    """The position of an item in the queues."""

    queue: OrderedDict[ItemT, float]
    sequence: int  # sequence number of its valid heap entry


class UnreadQueue(Generic[ItemT]):
    """Queued items: per class one queue of items in time, and one of items past their latency target.

    Each item has the time at which its client first sent it, as far as known, and a deadline by which it must
    be rejected. Times are in seconds of the caller's clock. Methods take O(classes), and O(log n) for the
    deadlines. At most 64 deadlines plus 4 per item are stored.
    """

    def __init__(self, classes: Sequence[JobClass]) -> None:
        # OrderedDict, as a plain dict scans all entries removed at its start to find the first one
        self.in_time: dict[str, OrderedDict[ItemT, float]] = {c.name: OrderedDict() for c in classes}
        self.late: dict[str, OrderedDict[ItemT, float]] = {c.name: OrderedDict() for c in classes}
        self.positions: dict[ItemT, _Position[ItemT]] = {}
        # heap of (deadline, sequence, item); only the entry with the item's sequence number is valid
        self.deadlines: list[tuple[float, int, ItemT]] = []
        self.last_sequence = 0

    @property
    def size(self) -> int:
        """Number of queued items."""
        return len(self.positions)

    def add(self, now: float, job_class: JobClass, item: ItemT, sent_at: float, reject_at: float) -> None:
        """Queues an item.

        Args:
            now: The current time.
            job_class: The item's class, one of those passed to the constructor.
            item: The item; it must not be queued already.
            sent_at: When its client first sent the request.
            reject_at: The deadline by which the item must be rejected.
        """
        queues = self.in_time if now - sent_at < job_class.latency_target_s else self.late
        queue = queues[job_class.name]
        queue[item] = sent_at
        self.last_sequence += 1
        self.positions[item] = _Position(queue, self.last_sequence)
        heappush(self.deadlines, (reject_at, self.last_sequence, item))
        if len(self.deadlines) > MIN_HEAP_SIZE + MAX_HEAP_ENTRIES_PER_ITEM * len(self.positions):
            self.deadlines = [entry for entry in self.deadlines if self._is_valid(entry)]
            heapify(self.deadlines)

    def remove(self, item: ItemT) -> None:
        """Removes an item whose client has disconnected; does nothing if it is not queued."""
        if (position := self.positions.pop(item, None)) is not None:
            del position.queue[item]

    def pop_in_time(self, now: float, classes: Sequence[JobClass]) -> ItemT | None:
        """Removes and returns an item of the first class with an item that can be answered in time.

        This is the oldest item, or the newest one if the oldest has waited for MAX_FIFO_QUEUED of the latency
        target: then most items hardly wait and a few wait until their deadline, instead of all being late.

        Args:
            now: The current time.
            classes: All classes, the most valuable first.

        Returns:
            The item; None if none can be answered in time.
        """
        for job_class in classes:
            self._move_late(now, job_class)
            if queue := self.in_time[job_class.name]:
                item, sent_at = next(iter(queue.items()))
                if now - sent_at >= MAX_FIFO_QUEUED * job_class.latency_target_s:
                    item = next(reversed(queue))
                self.remove(item)
                return item
        return None

    def pop_newest(self, classes: Sequence[JobClass]) -> ItemT | None:
        """Removes and returns the newest item of the first nonempty class, a late one if there is one.

        Args:
            classes: All classes, the most valuable first.

        Returns:
            The item; None if the queue is empty.
        """
        for job_class in classes:
            if queue := self.late[job_class.name] or self.in_time[job_class.name]:
                item = next(reversed(queue))
                self.remove(item)
                return item
        return None

    def pop_expired(self, now: float) -> ItemT | None:
        """Removes and returns the item with the earliest deadline if it has passed, otherwise None."""
        while self.deadlines and (self.deadlines[0][0] <= now or not self._is_valid(self.deadlines[0])):
            entry = heappop(self.deadlines)
            if self._is_valid(entry):
                self.remove(entry[2])
                return entry[2]
        return None

    def pop_least_valuable(self, classes: Sequence[JobClass]) -> ItemT | None:
        """Removes and returns the oldest late item of the least valuable class that has one.

        Without late items, it is the oldest item of the least valuable class that has any.

        Args:
            classes: All classes, the most valuable first.

        Returns:
            The item; None if the queue is empty.
        """
        for queues in (self.late, self.in_time):
            for job_class in reversed(classes):
                if queue := queues[job_class.name]:
                    item = next(iter(queue))
                    self.remove(item)
                    return item
        return None

    def _move_late(self, now: float, job_class: JobClass) -> None:
        """Moves items that can no longer be answered in time to the late queue of their class."""
        in_time, late = self.in_time[job_class.name], self.late[job_class.name]
        max_age_s = MAX_IN_TIME_QUEUED * job_class.latency_target_s
        while in_time and now - in_time[item := next(iter(in_time))] >= max_age_s:
            late[item] = in_time.pop(item)
            self.positions[item] = _Position(late, self.positions[item].sequence)

    def _is_valid(self, entry: tuple[float, int, ItemT]) -> bool:
        """Whether the entry is the current deadline of a queued item."""
        position = self.positions.get(entry[2])
        return position is not None and position.sequence == entry[1]
