"""What a dispatcher knows of quota: reservations of requests, and tenants that have none left.

Times are monotonic seconds of the dispatcher, passed in.
"""

from attrs import define, field, frozen

from finchladder.cluster.tenancy.quota_rule import GRANT_VALIDITY_S

MAX_EXHAUSTION_CACHE_S = 0.25  # for which a dispatcher asks nobody after a tenant was found exhausted


@frozen
class Reservation:
    """Quota that the account granted to one request.

    Attributes:
        tenant: Name of the tenant.
        units: What was granted.
        term: Term of the account that granted it.
        valid_until: The request may be sent before.
    """

    tenant: str
    units: int
    term: int
    valid_until: float

    def is_valid(self, now: float) -> bool:
        """Whether the request may be sent at this moment."""
        return now < self.valid_until


def grant_valid_until(asked_at: float) -> float:
    """Until when a grant may be used; the account made it after `asked_at`."""
    return asked_at + GRANT_VALIDITY_S


@frozen
class QuotaExhausted:
    """The tenant has no quota left for the request; `retry_after_s`: when it could have."""

    retry_after_s: float


@frozen
class QuotaUnavailable:
    """The account did not answer in time."""


QuotaRefusal = QuotaExhausted | QuotaUnavailable


@frozen
class _Exhaustion:
    until: float
    retry_at: float


@define
class ExhaustedTenants:
    """Tenants that the account refused a moment ago: all their requests are refused without asking.

    What a request costs makes no difference, or only the small ones of a tenant over its limit
    would be served.
    """

    _by_tenant: dict[str, _Exhaustion] = field(factory=dict)

    def record(self, tenant: str, retry_after_s: float, now: float) -> None:
        """Remembers that the account refused a request, which it may grant after `retry_after_s`."""
        until = now + min(retry_after_s, MAX_EXHAUSTION_CACHE_S)
        self._by_tenant[tenant] = _Exhaustion(until, now + retry_after_s)

    def find(self, tenant: str, now: float) -> QuotaExhausted | None:
        """Why a request is refused without asking; None if the account is to be asked."""
        exhaustion = self._by_tenant.get(tenant)
        if exhaustion is None or now >= exhaustion.until:
            return None
        return QuotaExhausted(exhaustion.retry_at - now)
