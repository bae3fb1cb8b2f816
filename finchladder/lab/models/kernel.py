"""Virtual time: a heap of events. Events of one time run in the order in which they were asked for."""

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import inf


class Event:
    """What `at` returns, to cancel it by. `call` is None once it has run or was cancelled."""

    __slots__ = ("time", "call")

    def __init__(self, time: float, call: Callable[[], object] | None) -> None:
        self.time, self.call = time, call


class Kernel:
    """Runs calls in the order of their times. Time is in seconds and stands still while a call runs.

    Cost: O(log n) an event. Cancelled events are swept once they are more than half of the heap, so that it
    holds at most twice the events that are pending, and a few more.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._heap: list[tuple[float, int, Event]] = []
        self._count = 0  # of events so far: the order of those of one time
        self._cancelled = 0

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def at(self, time: float, call: Callable[[], object]) -> Event:
        """ValueError: the time has passed, or is no time."""
        if not self.now <= time < inf:
            raise ValueError(f"an event at {time}, but it is {self.now}")
        event = Event(time, call)
        self._count += 1
        heappush(self._heap, (time, self._count, event))
        return event

    def after(self, delay_s: float, call: Callable[[], object]) -> Event:
        return self.at(self.now + delay_s, call)

    def cancel(self, event: Event) -> None:
        """An event that has run, or was cancelled, is left alone."""
        if event.call is None:
            return
        event.call = None
        self._cancelled += 1
        if self._cancelled > 16 + len(self._heap) // 2:
            self._heap = [e for e in self._heap if e[2].call is not None]
            heapify(self._heap)
            self._cancelled = 0

    def next_due(self) -> float | None:
        """Time of the next event; None: there is none."""
        while self._heap and self._heap[0][2].call is None:
            heappop(self._heap)
            self._cancelled -= 1
        return self._heap[0][0] if self._heap else None

    def step(self) -> bool:
        """Runs the next event; False: there is none."""
        while self._heap:
            due, _, event = heappop(self._heap)
            call, event.call = event.call, None
            if call is not None:
                self.now = due
                call()
                return True
            self._cancelled -= 1
        return False

    def run(self, until: float = inf) -> int:
        """Runs all events up to `until`, itself included; then it is `until`. Returns how many were run."""
        count = 0
        while self._heap and self._heap[0][0] <= until:
            due, _, event = heappop(self._heap)
            call, event.call = event.call, None
            if call is None:
                self._cancelled -= 1
                continue
            self.now = due
            call()
            count += 1
        if until < inf:
            self.now = max(self.now, until)
        return count
