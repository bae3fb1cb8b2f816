"""The central store that real servers fetch keys from, and where jobs save their state."""

from collections import OrderedDict
from heapq import heappop, heappush, heapreplace

MOST_SAVED = 100_000  # saved states; beyond it the oldest is forgotten


class StoreModel:
    """Carries out `fetches` at once; more wait in turn, in the order in which they were asked for.

    What is asked for is carried out, whoever still wants it: so its end is known when it is asked for.
    Cost: O(log n) in the fetches under way.
    """

    def __init__(self, fetches: int = 1_000_000) -> None:
        self.fetches = fetches
        self._ends: list[float] = []  # heap: when each lane that is in use is free again
        self._saved: OrderedDict[str, float] = OrderedDict()

    def fetch(self, now: float, takes_s: float) -> float:
        """The time at which a fetch that is asked for now has come."""
        while self._ends and self._ends[0] <= now:
            heappop(self._ends)
        if len(self._ends) < self.fetches:
            heappush(self._ends, now + takes_s)
            return now + takes_s
        end = self._ends[0] + takes_s
        heapreplace(self._ends, end)
        return end

    def busy(self, now: float) -> int:
        """Lanes in use at `now`."""
        return sum(end > now for end in self._ends)

    def save(self, job: str, done: float) -> None:
        """`done`: work of the job (a request's id) that need not be done again, seconds at speed 1."""
        self._saved[job] = done
        self._saved.move_to_end(job)
        if len(self._saved) > MOST_SAVED:
            self._saved.popitem(last=False)

    def saved(self, job: str) -> float:
        return self._saved.get(job, 0.0)

    def forget(self, job: str) -> None:
        self._saved.pop(job, None)
