"""Tenants' shares: what peers told of their rates, the message and how long it counts, and who is within."""

import struct
from collections.abc import Collection, Iterable

from finchladder.core.api import PeerMessage, Settings


class Told:
    """One row of rates (requests a second) for each peer: the last that it told."""

    __slots__ = ("count", "of")

    def __init__(self, count: int) -> None:
        """`count` of tenants: all dispatchers name the same, in the same order."""
        self.count = count
        self.of: dict[int, tuple[float, tuple[float, ...]]] = {}  # by peer: when, and the rates

    @staticmethod
    def message(rates: Iterable[float]) -> bytes:
        return b"".join(struct.pack("<f", rate) for rate in rates)

    def take(self, now: float, e: PeerMessage) -> None:
        """A message of another length is another version's, and left out."""
        if len(e.data) == 4 * self.count:
            self.of[e.sender] = now, struct.unpack(f"<{self.count}f", e.data)

    def sum(self, n: int, since: float) -> float:
        """Of the n-th tenant's rates, as told after `since`."""
        return sum(rates[n] for at, rates in self.of.values() if at > since)

    def count_up(
        self, now: float, shares: "Collection[Share]", period: float, first: bool, s: Settings
    ) -> bytes:
        """Takes each tenant's own rate over the period that ends, and its peers'; the message to them."""
        for n, t in enumerate(shares):
            t.own += (1.0 if first else 0.3) * (t.count / period - t.own)
            t.count = 0
            t.peers = self.sum(n, now - 8 * period) if s.may_message_peers else t.own * (s.dispatchers - 1)
        return self.message(t.own for t in shares)


class Share:
    """What part of a tenant's requests is within its share, by the rate that all dispatchers see of it."""

    def __init__(self, quota: float) -> None:
        self.quota = quota
        self.own, self.peers = 0.0, 0.0  # requests a second
        self.count, self.credit = 0, 0.0

    def in_share(self) -> bool:
        self.count += 1
        self.credit += min(1.0, self.quota / max(self.own + self.peers, self.quota))
        if self.credit < 1:
            return False
        self.credit -= 1
        return True
