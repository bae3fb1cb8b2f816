"""Serves the quota account at the holder of the placer's lease."""

from collections.abc import Callable

from attrs import define, field, frozen

from finchladder.cluster.process.log import event
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.tenancy.quota_account import QuotaAccount
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.tenancy.tenant_limits import TenantLimits
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import QuotaDemand, QuotaGrant, QuotaReply, ReserveQuota

NOT_THE_HOLDER = QuotaReply(is_holder=False)


@frozen
class Term:
    """A term of the account: one election of its holder.

    `began_at`: a moment after which no former holder granted anything (monotonic seconds of this process).
    """

    number: int
    began_at: float


@define
class QuotaService:
    """Grants quota while this process holds the account, which is looked at in the step that grants.

    Attributes:
        current_term: The term while this process holds the account; None while it does not.
        document: The newest acknowledged configuration, JSON; empty if there is none.
        account: The buckets of the present term, or of the last one that this process held.
    """

    current_term: Callable[[], Term | None]
    document: Callable[[], bytes]
    account: QuotaAccount
    _limits: TenantLimits = field(factory=TenantLimits)

    @classmethod
    def build(cls, role: PlacerLeaseService, rule: QuotaRule) -> "QuotaService":
        """A service whose terms are the elections of the placer."""

        def current_term() -> Term | None:
            return Term(role.lease.token, role.vacant_since) if role.is_held() else None

        return cls(current_term, lambda: role.chain.acknowledged.document, QuotaAccount(rule))

    def on_reserve(self, request: ReserveQuota) -> QuotaReply:
        """Takes back what the dispatcher returns, then grants what it needs and there is."""
        now = steady()
        term = self.current_term()
        if term is None:
            return NOT_THE_HOLDER
        self._begin(term)
        for returned in request.returns:
            tenant = self._tenant(returned.tenant)
            if tenant is not None:
                self.account.return_units(tenant, returned.units, request.returned_term, now)
        grants = tuple(self._grant(need, now) for need in request.demands)
        return QuotaReply(is_holder=True, term=self.account.term, grants=grants)

    def _begin(self, term: Term) -> None:
        """Begins a term with an account that was empty when the former holder ended, and refills since."""
        if self.account.term != term.number:
            self.account.begin_term(term.number, term.began_at)
            event("quota.term_began", term=term.number)

    def _tenant(self, name: str) -> Tenant | None:
        return self._limits.tenant(self.document(), name)

    def _grant(self, need: QuotaDemand, now: float) -> QuotaGrant:
        """Grants in order; a tenant that this process does not know yet gets nothing for the moment."""
        tenant = self._tenant(need.tenant)
        if tenant is None:
            return QuotaGrant(need.tenant, (False,) * len(need.costs))
        granted = self.account.reserve(tenant, need.costs, now)
        refused = [cost for cost, is_granted in zip(need.costs, granted, strict=True) if not is_granted]
        if not refused:
            return QuotaGrant(need.tenant, granted)
        retry_after_ms = self.account.retry_after_ms(tenant, min(refused), now)
        return QuotaGrant(need.tenant, granted, retry_after_ms, self.account.is_exhausted(tenant, now))
