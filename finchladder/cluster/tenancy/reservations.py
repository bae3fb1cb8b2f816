"""Quota state at a dispatcher: reservations of requests, and tenants whose quota is exhausted.

Callers pass the time in monotonic seconds of the dispatcher.
"""

from attrs import define, field, frozen

from finchladder.cluster.tenancy.quota_rule import GRANT_VALIDITY_S

# Maximum time for which a dispatcher rejects requests of an exhausted tenant without a call to the account.
MAX_EXHAUSTION_CACHE_S = 0.25


@frozen
class Reservation:
    """Quota that the account granted to one request.

    Attributes:
        tenant: Name of the tenant.
        units: Number of granted units.
        term: Term of the account that granted them.
        valid_until: Time before which the request must be sent to a worker.
    """

    tenant: str
    units: int
    term: int
    valid_until: float

    def is_valid(self, now: float) -> bool:
        """Whether the request may be sent now."""
        return now < self.valid_until


def grant_valid_until(requested_at: float) -> float:
    """Time until which a grant may be used if the dispatcher requested it at `requested_at`."""
    return requested_at + GRANT_VALIDITY_S


@frozen
class QuotaExhausted:
    """The tenant's quota does not cover the request; it may do so after `retry_after_s` seconds."""

    retry_after_s: float


@frozen
class QuotaUnavailable:
    """The holder of the account did not reply in time."""


QuotaRefusal = QuotaExhausted | QuotaUnavailable


@frozen
class _Exhaustion:
    until: float
    retry_at: float


@define
class ExhaustedTenants:
    """Tenants that were rejected recently; their requests are rejected without a call to the account.

    This does not depend on the cost of a request. Otherwise, if a tenant exceeds its limit, only its small
    requests would be served.
    """

    _by_tenant: dict[str, _Exhaustion] = field(factory=dict)

    def record(self, tenant: str, retry_after_s: float, now: float) -> None:
        """Records that the account rejected a request, and may grant it after `retry_after_s` seconds."""
        until = now + min(retry_after_s, MAX_EXHAUSTION_CACHE_S)
        self._by_tenant[tenant] = _Exhaustion(until, now + retry_after_s)

    def find(self, tenant: str, now: float) -> QuotaExhausted | None:
        """The reason to reject a request without a call to the account; None if quota should be requested."""
        exhaustion = self._by_tenant.get(tenant)
        if exhaustion is None or now >= exhaustion.until:
            return None
        return QuotaExhausted(exhaustion.retry_at - now)
