"""Retry budget: this dispatcher's share of the retries that the fleet may send to a service.

In every window the fleet may send at most `ratio` x its requests + `slack` retries. A dispatcher's share is
`ratio` x its own requests of the last window plus an equal part of the slack. While the number of dispatchers
is unknown, it assumes ASSUMED_DISPATCHERS. It uses only half of its share, because retries of two overlapping
windows may fall into one window of the fleet.
"""

from collections import deque
from collections.abc import Callable

from attrs import define, field

WINDOW_OVERLAP_FACTOR = 0.5
ASSUMED_DISPATCHERS = 64  # number of dispatchers that is assumed while it is unknown


@define
class RetryBudget:
    """Retry budget of one service; callers pass the time in monotonic seconds."""

    ratio: float
    slack: float
    window_s: float
    request_times: deque[float] = field(factory=deque)
    retry_times: deque[float] = field(factory=deque)

    def record_request(self, now: float) -> None:
        """Counts a client request, which adds `ratio` retries to the budget."""
        self._expire(now)
        self.request_times.append(now)

    def try_withdraw(self, now: float, dispatcher_count: int) -> bool:
        """Withdraws one retry; False if the budget is exhausted. `dispatcher_count` is 0 if unknown."""
        self._expire(now)
        own_slack = self.slack / (dispatcher_count or ASSUMED_DISPATCHERS)
        max_retries = WINDOW_OVERLAP_FACTOR * (self.ratio * len(self.request_times) + own_slack)
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
    """Retry budgets of all services.

    Attributes:
        make_budget: Creates the budget of a service at its first request.
        dispatcher_count: Returns the number of dispatchers that share the budgets; 0 if unknown.
    """

    make_budget: Callable[[], RetryBudget]
    dispatcher_count: Callable[[], int]
    _by_service: dict[str, RetryBudget] = field(factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Counts a client request to a service."""
        self._budget(service).record_request(now)

    def try_withdraw(self, service: str, now: float) -> bool:
        """Withdraws one retry from the budget of a service; False if the budget is exhausted."""
        return self._budget(service).try_withdraw(now, self.dispatcher_count())

    def _budget(self, service: str) -> RetryBudget:
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = self.make_budget()
        return budget
