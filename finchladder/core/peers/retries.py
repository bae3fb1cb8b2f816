"""Retry budget of a route whose minimum rate is shared by all dispatchers.

| part of the budget | scope | why the limit holds |
| --- | --- | --- |
| share x first sends | own first sends | adds up to share x all first sends, without messages |
| least_per_s | all dispatchers | a token bucket at the rate that the escrow allows |
"""

from finchladder.core.peers.bucket import Bucket
from finchladder.core.routing.retry_budget import RetryBudgetWindow
from finchladder.core.routing.routes import RetryBudget


class SharedRetryBudget(RetryBudgetWindow):
    """Retry budget whose minimum rate comes from a bucket that all dispatchers share."""

    __slots__ = ("bucket",)

    def __init__(self, rule: RetryBudget, bucket: Bucket) -> None:
        self.bucket = bucket
        super().__init__(rule)

    def reconfigure(self, rule: RetryBudget) -> None:
        super().reconfigure(rule)
        self.floor = 0.0

    def may_retry(self, now: float) -> bool:
        return super().may_retry(now) or self.bucket.has_token(now)

    def try_spend(self, now: float) -> bool:
        if not super().may_retry(now):
            return self.bucket.take(now)
        self._current_slice(now)[2] += 1
        self.retries += 1
        return True
