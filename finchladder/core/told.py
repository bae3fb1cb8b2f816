"""What peers told of their tenants' rates: the message, and how long it counts."""

import struct
from collections.abc import Iterable

from finchladder.core.api import PeerMessage


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
