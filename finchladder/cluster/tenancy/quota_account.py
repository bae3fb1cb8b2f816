"""The account of all quotas: one token bucket for each tenant, held in memory by one process at a time.

A term begins with empty buckets: the former holder may have granted all that it had until that moment. Over a
span that crosses the change both together grant no more than one bucket would. Times are monotonic seconds of
the holder, passed in.
"""

from collections.abc import Iterable
from math import ceil

from attrs import define, field

from finchladder.cluster.tenancy.quota_rule import BucketLimits, QuotaRule
from finchladder.cluster.tenancy.tenants import Tenant

MS_PER_S = 1000
MAX_RETRY_AFTER_MS = 10_000  # a client has given up by then


@define
class TokenBucket:
    """Quota of one tenant that can be granted. `level`: units, below zero after one large request."""

    limits: BucketLimits
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Adds what has come since the last call; a clock that went back adds nothing."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.add(elapsed_s * self.limits.refill_per_s)

    def add(self, units: float) -> None:
        """Adds units up to the capacity."""
        self.level = min(self.limits.capacity, self.level + units)

    def apply_limits(self, limits: BucketLimits) -> None:
        """Replaces the limits; a level above the new capacity is cut to it."""
        self.limits = limits
        self.level = min(self.level, limits.capacity)

    def try_withdraw(self, units: float) -> bool:
        """Withdraws the units if they are there; a request above the capacity needs a full bucket."""
        if self.level < min(units, self.limits.capacity):
            return False
        self.level -= units
        return True

    def seconds_until(self, units: float) -> float:
        """Seconds until that many units could be withdrawn, if nobody else does."""
        missing = min(units, self.limits.capacity) - self.level
        return max(0.0, missing / self.limits.refill_per_s)


@define
class QuotaAccount:
    """Buckets of one term of the account.

    Attributes:
        rule: What the grants have to keep.
        term: Number of the term; 0: none has begun.
        started_at: When the term began.
    """

    rule: QuotaRule
    term: int = 0
    started_at: float = 0.0
    _buckets: dict[str, TokenBucket] = field(factory=dict)

    def begin_term(self, term: int, now: float) -> None:
        """Begins a term with empty buckets, unless it has begun already."""
        if term == self.term:
            return
        self.term = term
        self.started_at = now
        self._buckets.clear()

    def reserve(self, tenant: Tenant, costs: Iterable[int], now: float) -> tuple[bool, ...]:
        """For each of the costs, in order, whether it is granted."""
        bucket = self._bucket(tenant, now)
        if bucket is None:
            return tuple(True for _ in costs)
        return tuple(bucket.try_withdraw(cost) for cost in costs)

    def give_back(self, tenant: Tenant, units: int, term: int, now: float) -> None:
        """Takes back what was granted in this term and not spent; of another term it never left this one."""
        bucket = self._bucket(tenant, now)
        if bucket is not None and term == self.term:
            bucket.add(units)

    def retry_after_ms(self, tenant: Tenant, cost: int, now: float) -> int:
        """Milliseconds until that cost could be granted; 0 without a limit."""
        bucket = self._bucket(tenant, now)
        if bucket is None:
            return 0
        return min(MAX_RETRY_AFTER_MS, ceil(bucket.seconds_until(cost) * MS_PER_S))

    def _bucket(self, tenant: Tenant, now: float) -> TokenBucket | None:
        """The tenant's bucket, refilled, with the limits as configured now; None without a limit.

        A bucket outlives its tenant's removal, so one that is put back keeps what it has spent.
        """
        if not tenant.is_limited:
            return None
        limits = self.rule.bucket_limits(tenant.rate_per_s, tenant.burst)
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            bucket = TokenBucket(limits, 0.0, self.started_at)
            self._buckets[tenant.name] = bucket
        bucket.refill(now)
        bucket.apply_limits(limits)
        return bucket
