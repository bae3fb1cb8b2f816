"""Retry budgets: this dispatcher's share of what the fleet may repeat at each service; times are passed in.

In every window the fleet may repeat `ratio` x the requests + `slack`. A dispatcher spends at most `ratio` of
its own requests of the last window, and an even part of the slack; while it does not know how many
dispatchers there are it takes the number for large. Half of each is kept back for what crosses the edges of
windows.
"""

from collections import deque

from attrs import define, field

WINDOW_OVERLAP_FACTOR = 0.5
ASSUMED_DISPATCHERS = 64


@define
class RetryBudget:
    """Of one service."""

    ratio: float
    slack: float
    window_s: float
    request_times: deque[float] = field(factory=deque)
    retry_times: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """A request of a client came in."""
        self._expire(now)
        self.request_times.append(now)

    def try_withdraw(self, now: float, dispatcher_count: int) -> bool:
        """Takes one repeat out of the budget; False if there is none."""
        self._expire(now)
        shares = dispatcher_count or ASSUMED_DISPATCHERS
        allowed = WINDOW_OVERLAP_FACTOR * (self.ratio * len(self.request_times) + self.slack / shares)
        if len(self.retry_times) + 1 > allowed:
            return False
        self.retry_times.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= now - self.window_s:
                times.popleft()
