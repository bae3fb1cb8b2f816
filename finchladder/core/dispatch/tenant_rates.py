"""Tenants' quotas: the rates that dispatchers report to each other, and which requests are within a quota."""

import struct
from collections.abc import Iterable

from finchladder.core.api import Action, Broadcast, PeerMessage, Settings

REPORT_TARGETS = 8  # a peer's rates count for so many report periods (of one shortest latency target each)
RATE_SMOOTHING = 0.3  # weight of the latest period in a moving rate


class PeerTenantRates:
    """One row of rates (requests a second) for each peer: the last that it reported."""

    __slots__ = ("tenant_count", "by_peer")

    def __init__(self, tenant_count: int) -> None:
        """`tenant_count`: all dispatchers have the same tenants, in the same order."""
        self.tenant_count = tenant_count
        self.by_peer: dict[int, tuple[float, tuple[float, ...]]] = {}  # when it came, and the rates

    @staticmethod
    def encode(rates: Iterable[float]) -> bytes:
        """The message to the peers: a little-endian 32-bit float for each tenant."""
        return b"".join(struct.pack("<f", rate) for rate in rates)

    def receive(self, now: float, message: PeerMessage) -> None:
        """A message of another length is another version's, and left out."""
        if len(message.data) == 4 * self.tenant_count:
            rates = struct.unpack(f"<{self.tenant_count}f", message.data)
            self.by_peer[message.sender] = now, rates

    def total_rps(self, tenant_index: int, since: float) -> float:
        """The sum of the peers' rates of a tenant, as reported after `since`."""
        return sum(rates[tenant_index] for at, rates in self.by_peer.values() if at > since)


class TenantQuota:
    """What part of a tenant's requests is within its quota, by the rate that all dispatchers see of it."""

    def __init__(self, quota_rps: float) -> None:
        self.quota_rps = quota_rps
        self.own_rps = 0.0
        self.peers_rps = 0.0
        self.request_count = 0  # in the current report period
        self.credit = 0.0  # requests

    def admit(self) -> bool:
        """Counts a request; whether it is within the quota."""
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
        """Counts a request; whether it is within its tenant's quota. Unknown tenants have none to exceed."""
        quota = self.by_tenant.get(tenant) if tenant is not None else None
        return quota is None or quota.admit()

    def report(self, now: float, period_s: float) -> list[Action]:
        """Once a period takes each tenant's rates anew, and reports them to the peers where it can."""
        if not self.by_tenant or now < self.next_report_at:
            return []
        is_first = not self.next_report_at
        for index, quota in enumerate(self.by_tenant.values()):
            smoothing = 1.0 if is_first else RATE_SMOOTHING
            quota.own_rps += smoothing * (quota.request_count / period_s - quota.own_rps)
            quota.request_count = 0
            quota.peers_rps = self._peers_rps(index, quota, now - REPORT_TARGETS * period_s)
        self.next_report_at = now + period_s
        if not self.settings.may_message_peers:
            return []
        return [Broadcast(PeerTenantRates.encode(quota.own_rps for quota in self.by_tenant.values()))]

    def _peers_rps(self, tenant_index: int, quota: TenantQuota, since: float) -> float:
        """Without reports all dispatchers are taken to see the same rate."""
        if self.settings.may_message_peers:
            return self.peer_rates.total_rps(tenant_index, since)
        return quota.own_rps * (self.settings.dispatchers - 1)
