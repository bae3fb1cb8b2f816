"""When what is due next: one alarm for each key, exact, without a clock."""

from heapq import heapify, heappop, heappush
from math import inf


class Alarms:
    """Put and drop O(log n). An alarm that was moved or dropped leaves an entry behind; there are never more
    of these than alarms, and a few."""

    __slots__ = ("due_at", "heap")

    def __init__(self) -> None:
        self.due_at: dict[str, float] = {}
        self.heap: list[tuple[float, str]] = []

    def put(self, key: str, at: float) -> None:
        """`at` in seconds; an earlier alarm of this key is off."""
        self.due_at[key] = at
        heappush(self.heap, (at, key))
        self._compact()

    def drop(self, key: str) -> None:
        if self.due_at.pop(key, None) is not None:
            self._compact()

    def next_due_at(self) -> float:
        """When the first one is due; inf: there is none."""
        while self.heap and self.due_at.get(self.heap[0][1]) != self.heap[0][0]:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else inf

    def pop_due(self, now: float) -> str | None:
        """Takes out the first one that is due at `now`; None: none is."""
        if self.next_due_at() > now:
            return None
        _, key = heappop(self.heap)
        del self.due_at[key]
        self._compact()
        return key

    def _compact(self) -> None:
        if len(self.heap) > 2 * len(self.due_at) + 16:
            self.heap = [(at, key) for key, at in self.due_at.items()]
            heapify(self.heap)
