"""Serves the quota account at the holder of the placer's lease."""

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.tenancy.quota_account import QuotaAccount
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.tenancy.tenant_limits import TenantLimits
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import QuotaGrant, QuotaNeed, QuotaReply, ReserveQuota

NOT_THE_HOLDER = QuotaReply(is_holder=False)


@define
class QuotaService:
    """Grants quota while this process holds the lease; the lease is looked at in the step that grants.

    Attributes:
        role: The lease; its fencing token is the term of the account.
        account: The buckets of the present term, or of the last one that this process held.
    """

    role: PlacerLeaseService
    account: QuotaAccount
    _limits: TenantLimits = field(factory=TenantLimits)

    @classmethod
    def build(cls, role: PlacerLeaseService, rule: QuotaRule) -> "QuotaService":
        """A service without a term; the first one begins with the first election of this process."""
        return cls(role, QuotaAccount(rule))

    def on_reserve(self, request: ReserveQuota) -> QuotaReply:
        """Takes back what the dispatcher returns, then grants what it needs and there is."""
        now = steady()
        if not self.role.is_held():
            return NOT_THE_HOLDER
        self._begin_term()
        for returned in request.returns:
            tenant = self._tenant(returned.tenant)
            if tenant is not None:
                self.account.give_back(tenant, returned.units, request.returned_term, now)
        grants = tuple(self._grant(need, now) for need in request.needs)
        return QuotaReply(is_holder=True, term=self.account.term, grants=grants)

    def _begin_term(self) -> None:
        """Begins a new account at the moment of the election: the former holder granted until then."""
        if self.account.term != self.role.lease.token:
            self.account.begin_term(self.role.lease.token, self.role.elected_at)
            event("quota.term_began", term=self.account.term)

    def _tenant(self, name: str) -> Tenant | None:
        return self._limits.tenant(self.role.chain.acknowledged.document, name)

    def _grant(self, need: QuotaNeed, now: float) -> QuotaGrant:
        """Grants in order; a tenant that this process does not know yet gets nothing for the moment."""
        tenant = self._tenant(need.tenant)
        if tenant is None:
            return QuotaGrant(need.tenant, (False,) * len(need.costs))
        granted = self.account.reserve(tenant, need.costs, now)
        refused = [cost for cost, is_granted in zip(need.costs, granted, strict=True) if not is_granted]
        if not refused:
            return QuotaGrant(need.tenant, granted)
        return QuotaGrant(need.tenant, granted, self.account.retry_after_ms(tenant, min(refused), now))
