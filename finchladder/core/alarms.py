"""A priority queue of alarms, one per key. Alarms are never due early; callers pass the current time."""

from heapq import heapify, heappop, heappush
from math import inf


class Alarms:
    """The alarms by key. `put` and `drop` take O(log n).

    An alarm that is moved or dropped leaves a stale heap entry. There are at most as many stale entries as
    alarms, plus 16.
    """

    __slots__ = ("due_at", "heap")

    def __init__(self) -> None:
        self.due_at: dict[str, float] = {}
        self.heap: list[tuple[float, str]] = []

    def put(self, key: str, at: float) -> None:
        """Sets the alarm of a key to `at` in seconds, replacing an earlier one."""
        self.due_at[key] = at
        heappush(self.heap, (at, key))
        self._compact()

    def drop(self, key: str) -> None:
        if self.due_at.pop(key, None) is not None:
            self._compact()

    def next_due_at(self) -> float:
        """Returns when the first alarm is due, inf if there is none."""
        while self.heap and self.due_at.get(self.heap[0][1]) != self.heap[0][0]:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else inf

    def pop_due(self, now: float) -> str | None:
        """Removes and returns the key of the first alarm that is due at `now`, None if none is."""
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
