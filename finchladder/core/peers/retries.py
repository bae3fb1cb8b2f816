"""A route's retry budget whose floor is one of all dispatchers together: first sends still allow their share.

| part of the budget | whose | why it holds |
| --- | --- | --- |
| share x first sends | one's own first sends | over all it adds up to share x all first sends, without talk |
| least_per_s | all dispatchers' | a bucket of what the escrow allows |
"""

from finchladder.core.peers.bucket import Bucket
from finchladder.core.routing.retry_budget import Budget
from finchladder.core.routing.routes import RetryBudget


class SharedBudget(Budget):
    __slots__ = ("bucket",)

    def __init__(self, rule: RetryBudget, bucket: Bucket) -> None:
        self.bucket = bucket
        super().__init__(rule)

    def tune(self, rule: RetryBudget) -> None:
        super().tune(rule)
        self.floor = 0.0

    def left(self, now: float) -> bool:
        return super().left(now) or self.bucket.left(now)

    def take(self, now: float) -> bool:
        if not super().left(now):
            return self.bucket.take(now)
        self._present(now)[2] += 1
        self.spent += 1
        return True
