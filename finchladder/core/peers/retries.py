"""A route's retry budget whose floor is one of all dispatchers together: first sends still allow their share.

| part of the budget | whose | why it holds |
| --- | --- | --- |
| share x first sends | one's own first sends | over all it adds up to share x all first sends, without talk |
| least_per_s | all dispatchers' | a bucket of what the escrow allows |
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
