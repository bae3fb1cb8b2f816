"""Tenants' shares: what peers told of their rates, the message and how long it counts, and who is within."""

import struct
from collections.abc import Collection, Iterable

from finchladder.core.api import PeerMessage, Settings


class PeerTenantRates:
    """One row of rates (requests a second) for each peer: the last that it told."""

    __slots__ = ("tenant_count", "by_peer")

    def __init__(self, count: int) -> None:
        """`count` of tenants: all dispatchers name the same, in the same order."""
        self.tenant_count = count
        self.by_peer: dict[int, tuple[float, tuple[float, ...]]] = {}  # by peer: when, and the rates

    @staticmethod
    def encode(rates: Iterable[float]) -> bytes:
        return b"".join(struct.pack("<f", rate) for rate in rates)

    def receive(self, now: float, e: PeerMessage) -> None:
        """A message of another length is another version's, and left out."""
        if len(e.data) == 4 * self.tenant_count:
            self.by_peer[e.sender] = now, struct.unpack(f"<{self.tenant_count}f", e.data)

    def total_rps(self, n: int, since: float) -> float:
        """Of the n-th tenant's rates, as told after `since`."""
        return sum(rates[n] for at, rates in self.by_peer.values() if at > since)

    def update_quotas(
        self, now: float, shares: "Collection[TenantQuota]", period: float, first: bool, s: Settings
    ) -> bytes:
        """Takes each tenant's own rate over the period that ends, and its peers'; the message to them."""
        for n, t in enumerate(shares):
            t.own_rps += (1.0 if first else 0.3) * (t.request_count / period - t.own_rps)
            t.request_count = 0
            t.peers_rps = (
                self.total_rps(n, now - 8 * period)
                if s.may_message_peers
                else t.own_rps * (s.dispatchers - 1)
            )
        return self.encode(t.own_rps for t in shares)


class TenantQuota:
    """What part of a tenant's requests is within its share, by the rate that all dispatchers see of it."""

    def __init__(self, quota: float) -> None:
        self.quota_rps = quota
        self.own_rps, self.peers_rps = 0.0, 0.0  # requests a second
        self.request_count, self.credit = 0, 0.0

    def admit(self) -> bool:
        self.request_count += 1
        self.credit += min(1.0, self.quota_rps / max(self.own_rps + self.peers_rps, self.quota_rps))
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
