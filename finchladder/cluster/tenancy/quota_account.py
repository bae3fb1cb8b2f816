"""The account of all quotas: one token bucket for each tenant, held in memory by one process at a time.

A term begins with empty buckets: the former holder may have granted all that it had until that moment. Over a
span that crosses the change both together grant no more than one bucket would. Times are monotonic seconds of
the holder, passed in.
"""

from collections.abc import Iterable
from math import ceil, inf

from attrs import define, field

from finchladder.cluster.tenancy.quota_rule import BucketLimits, QuotaRule
from finchladder.cluster.tenancy.tenants import QuotaUnit, Tenant

MS_PER_S = 1000
MAX_RETRY_AFTER_MS = 10_000  # a client has given up by then


@define
class TokenBucket:
    """Quota of one tenant that can be granted. `level`: units, below zero by `max_debt` at the most.

    While there is anything left a request is granted whatever it costs, up to `max_debt`: else a tenant over
    its limit would have its small requests served and hardly a large one.
    """

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
        """Withdraws the units if something is left, and enough of it for what exceeds `max_debt`."""
        if self.level <= 0 or self.level < units - self.limits.max_debt:
            return False
        self.level -= units
        return True

    def seconds_until(self, units: float) -> float:
        """Seconds until that many units could be withdrawn, if nobody else does; inf: never."""
        needed = max(0.0, units - self.limits.max_debt)
        if needed > self.limits.capacity:
            return inf
        return max(0.0, (needed - self.level) / self.limits.refill_per_s)


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
    _buckets: dict[tuple[str, QuotaUnit], TokenBucket] = field(factory=dict)

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

    def return_units(self, tenant: Tenant, units: int, term: int, now: float) -> None:
        """Takes back what was granted in this term and not spent; of another term it never left this one."""
        bucket = self._bucket(tenant, now)
        if bucket is not None and term == self.term:
            bucket.add(units)

    def retry_after_ms(self, tenant: Tenant, cost: int, now: float) -> int:
        """Milliseconds until that cost could be granted; 0 without a limit."""
        bucket = self._bucket(tenant, now)
        if bucket is None:
            return 0
        return ceil(min(MAX_RETRY_AFTER_MS, bucket.seconds_until(cost) * MS_PER_S))

    def is_exhausted(self, tenant: Tenant, now: float) -> bool:
        """Whether no request would be granted now, whatever it costs."""
        bucket = self._bucket(tenant, now)
        return bucket is not None and bucket.level <= 0

    def _bucket(self, tenant: Tenant, now: float) -> TokenBucket | None:
        """The tenant's bucket, refilled, with the limits as configured now; None without a limit.

        A bucket outlives its tenant's removal, so one that is put back keeps what it has spent. Another unit
        begins with another bucket.
        """
        if not tenant.is_limited:
            return None
        limits = self.rule.bucket_limits(tenant.rate_per_s, tenant.burst)
        key = (tenant.name, tenant.unit)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = TokenBucket(limits, 0.0, self.started_at)
            self._buckets[key] = bucket
        bucket.refill(now)
        bucket.apply_limits(limits)
        return bucket
