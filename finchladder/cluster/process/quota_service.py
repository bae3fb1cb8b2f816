"""The quota account, served by the holder of the placer's lease."""

from collections.abc import Callable

from attrs import define, field, frozen

from finchladder.cluster.process.log import event
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.tenancy.quota_account import QuotaAccount
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.tenancy.tenant_lookup import TenantLookup
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import QuotaDemand, QuotaGrant, QuotaReply, ReserveQuota

NOT_THE_HOLDER = QuotaReply(is_holder=False)


@frozen
class Term:
    """A term of the account, which begins with the election of its holder.

    `began_at`: a time after which no former holder granted any quota (monotonic seconds of this process).
    """

    number: int
    began_at: float


@define
class QuotaService:
    """Grants quota while this process holds the account; no await separates this check from the grant.

    Attributes:
        current_term: Returns the current term; None if this process does not hold the account.
        document: Returns the newest acknowledged configuration as JSON; empty if there is none.
        account: Token buckets of the current term, or of the last term of this process.
    """

    current_term: Callable[[], Term | None]
    document: Callable[[], bytes]
    account: QuotaAccount
    _tenant_lookup: TenantLookup = field(factory=TenantLookup)

    @classmethod
    def build(cls, lease_service: PlacerLeaseService, rule: QuotaRule) -> "QuotaService":
        """Creates a service whose terms begin with the elections of the placer."""

        def current_term() -> Term | None:
            return (
                Term(lease_service.lease.token, lease_service.vacant_since)
                if lease_service.is_held()
                else None
            )

        return cls(current_term, lambda: lease_service.chain.acknowledged.document, QuotaAccount(rule))

    def on_reserve(self, request: ReserveQuota) -> QuotaReply:
        """Adds the returned units to the account, then grants the requested quota as far as available."""
        now = steady()
        term = self.current_term()
        if term is None:
            return NOT_THE_HOLDER
        self._begin_term(term)
        for returned in request.returns:
            tenant = self._tenant(returned.tenant)
            if tenant is not None:
                self.account.return_units(tenant, returned.units, request.returned_term, now)
        grants = tuple(self._grant(demand, now) for demand in request.demands)
        return QuotaReply(is_holder=True, term=self.account.term, grants=grants)

    def _begin_term(self, term: Term) -> None:
        """Begins a term with buckets that were empty at `began_at` and have been refilled since then."""
        if self.account.term != term.number:
            self.account.begin_term(term.number, term.began_at)
            event("quota.term_began", term=term.number)

    def _tenant(self, name: str) -> Tenant | None:
        return self._tenant_lookup.tenant(self.document(), name)

    def _grant(self, demand: QuotaDemand, now: float) -> QuotaGrant:
        """Grants the costs in order; grants nothing to a tenant that this process's configuration lacks."""
        tenant = self._tenant(demand.tenant)
        if tenant is None:
            return QuotaGrant(demand.tenant, (False,) * len(demand.costs))
        granted = self.account.reserve(tenant, demand.costs, now)
        refused = [cost for cost, is_granted in zip(demand.costs, granted, strict=True) if not is_granted]
        if not refused:
            return QuotaGrant(demand.tenant, granted)
        retry_after_ms = self.account.retry_after_ms(tenant, min(refused), now)
        return QuotaGrant(demand.tenant, granted, retry_after_ms, self.account.is_exhausted(tenant, now))
