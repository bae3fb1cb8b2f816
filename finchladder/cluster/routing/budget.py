"""Retry budgets: this dispatcher's share of what the fleet may repeat at each service; times are passed in.

In every window the fleet may repeat `ratio` x the requests + `slack`. A dispatcher spends at most `ratio` of
its own requests of the last window, and an even part of the slack; while it does not know how many
dispatchers there are it takes the number for large. Half of each is kept back for what crosses the edges of
windows.
"""

from collections import deque

from attrs import define, field

KEPT_BACK = 0.5
UNKNOWN_DISPATCHERS = 64


@define
class RetryBudget:
    """Of one service."""

    ratio: float
    slack: float
    window_s: float
    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def arrived(self, now: float) -> None:
        """A request of a client came in."""
        self._forget(now)
        self.requests.append(now)

    def spend(self, now: float, dispatchers: int) -> bool:
        """Takes one repeat out of the budget; False if there is none."""
        self._forget(now)
        shares = dispatchers or UNKNOWN_DISPATCHERS
        allowed = KEPT_BACK * (self.ratio * len(self.requests) + self.slack / shares)
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window_s:
                times.popleft()
