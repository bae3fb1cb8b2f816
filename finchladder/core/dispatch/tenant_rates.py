"""Tenant quotas: request rates that dispatchers report to each other, and admission within a quota."""

import struct
from collections.abc import Iterable

from finchladder.core.api import Action, Broadcast, PeerMessage, Settings

REPORT_INTERVAL_S = 0.3
RATE_VALIDITY_S = 8 * REPORT_INTERVAL_S  # for which the rates received from a peer are used
RATE_SMOOTHING = 0.3  # weight of the latest period in the moving average of a rate


class PeerTenantRates:
    """The latest rates in requests per second that each peer reported, by tenant."""

    __slots__ = ("tenant_count", "by_peer")

    def __init__(self, tenant_count: int) -> None:
        """`tenant_count`: number of tenants; all dispatchers have the same tenants in the same order."""
        self.tenant_count = tenant_count
        self.by_peer: dict[int, tuple[float, tuple[float, ...]]] = {}  # time of receipt, and the rates

    @staticmethod
    def encode(rates: Iterable[float]) -> bytes:
        """Encodes the message to the peers: a little-endian 32-bit float per tenant."""
        return b"".join(struct.pack("<f", rate) for rate in rates)

    def receive(self, now: float, message: PeerMessage) -> None:
        """Stores a peer's rates. A message of another length has another format and is ignored."""
        if len(message.data) == 4 * self.tenant_count:
            rates = struct.unpack(f"<{self.tenant_count}f", message.data)
            self.by_peer[message.sender] = now, rates

    def total_rps(self, tenant_index: int, since: float) -> float:
        """Returns the sum of the peers' rates of a tenant that were received after `since`."""
        return sum(rates[tenant_index] for at, rates in self.by_peer.values() if at > since)


class TenantQuota:
    """Admits the fraction of a tenant's requests that is within its quota for all dispatchers together."""

    def __init__(self, quota_rps: float) -> None:
        self.quota_rps = quota_rps
        self.own_rps = 0.0
        self.peers_rps = 0.0
        self.request_count = 0  # requests of the current report period
        self.credit = 0.0  # fraction of the next request that is within the quota

    def admit(self) -> bool:
        """Counts a request; returns whether it is within the quota."""
        self.request_count += 1
        self.credit += min(1.0, self.quota_rps / max(self.own_rps + self.peers_rps, self.quota_rps))
        if self.credit < 1:
            return False
        self.credit -= 1
        return True


class TenantQuotas:
    """The quotas of all tenants, and the reports of their rates to the peers."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.by_tenant = {tenant.name: TenantQuota(tenant.quota_rps) for tenant in settings.tenants}
        self.peer_rates = PeerTenantRates(len(self.by_tenant))
        self.next_report_at = 0.0

    def admit(self, tenant: str | None) -> bool:
        """Counts a request; returns whether it is within its tenant's quota, True if there is no quota."""
        quota = self.by_tenant.get(tenant) if tenant is not None else None
        return quota is None or quota.admit()

    def report(self, now: float) -> list[Action]:
        """Once per interval, updates all tenants' rates and returns the report to the peers, if enabled."""
        if not self.by_tenant or now < self.next_report_at:
            return []
        is_first = not self.next_report_at
        for index, quota in enumerate(self.by_tenant.values()):
            smoothing = 1.0 if is_first else RATE_SMOOTHING
            quota.own_rps += smoothing * (quota.request_count / REPORT_INTERVAL_S - quota.own_rps)
            quota.request_count = 0
            quota.peers_rps = self._peers_rps(index, quota, now - RATE_VALIDITY_S)
        self.next_report_at = now + REPORT_INTERVAL_S
        if not self.settings.may_message_peers:
            return []
        return [Broadcast(PeerTenantRates.encode(quota.own_rps for quota in self.by_tenant.values()))]

    def _peers_rps(self, tenant_index: int, quota: TenantQuota, since: float) -> float:
        """Returns the tenant's total rate at the peers. Without reports, assumes the same rate at each."""
        if self.settings.may_message_peers:
            return self.peer_rates.total_rps(tenant_index, since)
        return quota.own_rps * (self.settings.dispatchers - 1)
