"""The quota account: one token bucket for each tenant, kept in memory by one process at a time.

A term of the account begins when a process becomes its holder. The buckets are then empty, because the former
holder may have granted all units of its buckets. Therefore both holders together never grant more in any
interval than a single bucket would. Callers pass the time in monotonic seconds of the holder.
"""

from collections.abc import Iterable
from math import ceil, inf

from attrs import define, field

from finchladder.cluster.tenancy.quota_rule import BucketLimits, QuotaRule
from finchladder.cluster.tenancy.tenants import QuotaUnit, Tenant

MS_PER_S = 1000
MAX_RETRY_AFTER_MS = 10_000  # clients do not wait longer than this for a response


@define
class TokenBucket:
    """Token bucket of one tenant; `level` is in units and may fall below zero by at most `max_debt`.

    While the level is above zero, a request is granted even if its cost exceeds the level by up to
    `max_debt`. Otherwise, if a tenant exceeds its limit, small requests would use up the units, and hardly
    any large request would be granted.
    """

    limits: BucketLimits
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Adds the units for the time since the last call; none if `now` is earlier than in that call."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = max(now, self.updated_at)
        self.add(elapsed_s * self.limits.refill_per_s)

    def add(self, units: float) -> None:
        """Adds units up to the capacity."""
        self.level = min(self.limits.capacity, self.level + units)

    def apply_limits(self, limits: BucketLimits) -> None:
        """Replaces the limits, and reduces the level to the new capacity if it is higher."""
        self.limits = limits
        self.level = min(self.level, limits.capacity)

    def try_withdraw(self, units: float) -> bool:
        """Withdraws the units if the level is above zero and will not fall below `-max_debt`."""
        if self.level <= 0 or self.level < units - self.limits.max_debt:
            return False
        self.level -= units
        return True

    def seconds_until(self, units: float) -> float:
        """Seconds until the units can be withdrawn if no other request is granted; inf if they never can."""
        required_level = max(0.0, units - self.limits.max_debt)
        if required_level > self.limits.capacity:
            return inf
        return max(0.0, (required_level - self.level) / self.limits.refill_per_s)


@define
class QuotaAccount:
    """Token buckets of one term of the account.

    Attributes:
        rule: Rule that the grants must satisfy.
        term: Number of the current term; 0 if none has begun.
        started_at: Time from which on the buckets of the current term are refilled.
    """

    rule: QuotaRule
    term: int = 0
    started_at: float = 0.0
    _buckets: dict[tuple[str, QuotaUnit], TokenBucket] = field(factory=dict)

    def begin_term(self, term: int, now: float) -> None:
        """Begins a term with empty buckets, unless it is the current one."""
        if term == self.term:
            return
        self.term = term
        self.started_at = now
        self._buckets.clear()

    def reserve(self, tenant: Tenant, costs: Iterable[int], now: float) -> tuple[bool, ...]:
        """Withdraws the costs of several requests in order; returns for each one whether it is granted."""
        bucket = self._bucket(tenant, now)
        if bucket is None:
            return tuple(True for _ in costs)
        return tuple(bucket.try_withdraw(cost) for cost in costs)

    def return_units(self, tenant: Tenant, units: int, term: int, now: float) -> None:
        """Adds unspent units to the bucket, except those of another term, which another bucket granted."""
        bucket = self._bucket(tenant, now)
        if bucket is not None and term == self.term:
            bucket.add(units)

    def retry_after_ms(self, tenant: Tenant, cost: int, now: float) -> int:
        """Milliseconds until the cost can be granted, at most MAX_RETRY_AFTER_MS; 0 without a limit."""
        bucket = self._bucket(tenant, now)
        if bucket is None:
            return 0
        return ceil(min(MAX_RETRY_AFTER_MS, bucket.seconds_until(cost) * MS_PER_S))

    def is_exhausted(self, tenant: Tenant, now: float) -> bool:
        """Whether no request of the tenant would be granted now, whatever its cost."""
        bucket = self._bucket(tenant, now)
        return bucket is not None and bucket.level <= 0

    def _bucket(self, tenant: Tenant, now: float) -> TokenBucket | None:
        """The tenant's refilled bucket with the currently configured limits; None without a limit.

        The bucket of a removed tenant is kept, so that the tenant cannot spend its quota twice if it is added
        again. A tenant whose quota unit changes gets a new bucket.
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
