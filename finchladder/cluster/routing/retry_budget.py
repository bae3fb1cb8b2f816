"""Retry budget: this dispatcher's share of the retries that the fleet may send to a service.

In every window the fleet may retry `ratio` x its requests + `slack` times. A dispatcher spends at most
`ratio` x its own requests of the last window, and an equal part of the slack; while the number of dispatchers
is unknown, it assumes many. It spends half of both, since retries of two overlapping windows may fall into
one window of the fleet.
"""

from collections import deque
from collections.abc import Callable

from attrs import define, field

WINDOW_OVERLAP_FACTOR = 0.5
ASSUMED_DISPATCHERS = 64  # while their number is unknown


@define
class RetryBudget:
    """Budget of one service; times are passed in (monotonic seconds)."""

    ratio: float
    slack: float
    window_s: float
    request_times: deque[float] = field(factory=deque)
    retry_times: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """Counts a client's request, which earns a part of a retry."""
        self._expire(now)
        self.request_times.append(now)

    def try_withdraw(self, now: float, dispatcher_count: int) -> bool:
        """Takes one retry out of the budget; False if it is exhausted. `dispatcher_count` 0: unknown."""
        self._expire(now)
        slack_share = self.slack / (dispatcher_count or ASSUMED_DISPATCHERS)
        max_retries = WINDOW_OVERLAP_FACTOR * (self.ratio * len(self.request_times) + slack_share)
        if len(self.retry_times) + 1 > max_retries:
            return False
        self.retry_times.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= now - self.window_s:
                times.popleft()


@define
class RetryBudgets:
    """Budgets of all services.

    Attributes:
        make_budget: Makes the budget of a service at its first request.
        dispatcher_count: How many dispatchers share the budgets; 0: unknown.
    """

    make_budget: Callable[[], RetryBudget]
    dispatcher_count: Callable[[], int]
    _by_service: dict[str, RetryBudget] = field(factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Counts a client's request to that service."""
        self._budget(service).record_request(now)

    def try_withdraw(self, service: str, now: float) -> bool:
        """Takes one retry out of the budget of that service; False if it is exhausted."""
        return self._budget(service).try_withdraw(now, self.dispatcher_count())

    def _budget(self, service: str) -> RetryBudget:
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = self.make_budget()
        return budget
