"""When what is due next: one alarm for each key, exact, without a clock."""

from heapq import heapify, heappop, heappush
from math import inf


class Alarms:
    """Put and drop O(log n). An alarm that was moved or dropped leaves an entry behind; there are never more
    of these than alarms, and a few."""

    __slots__ = ("at", "heap")

    def __init__(self) -> None:
        self.at: dict[str, float] = {}
        self.heap: list[tuple[float, str]] = []

    def put(self, key: str, at: float) -> None:
        """`at` in seconds; an earlier alarm of this key is off."""
        self.at[key] = at
        heappush(self.heap, (at, key))
        self._sweep()

    def drop(self, key: str) -> None:
        if self.at.pop(key, None) is not None:
            self._sweep()

    def next(self) -> float:
        """When the first one is due; inf: there is none."""
        while self.heap and self.at.get(self.heap[0][1]) != self.heap[0][0]:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else inf

    def due(self, now: float) -> str | None:
        """Takes out the first one that is due at `now`; None: none is."""
        if self.next() > now:
            return None
        _, key = heappop(self.heap)
        del self.at[key]
        self._sweep()
        return key

    def _sweep(self) -> None:
        if len(self.heap) > 2 * len(self.at) + 16:
            self.heap = [(at, key) for key, at in self.at.items()]
            heapify(self.heap)
