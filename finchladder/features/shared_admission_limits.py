"""A door's limits where dispatchers share them: an address has its rate at all of them together.

Each address has a bucket of this dispatcher's share, which needs nobody. Only when one is turned away its
budget is claimed: others are asked for theirs of it (core/peers). So an address that comes to one dispatcher
alone gets nearly the whole rate within a few seconds, and one that comes to all gets no more than that.
"""

from collections import OrderedDict

from finchladder.config.options import DoorOptions
from finchladder.core.peers.bucket import Bucket
from finchladder.core.peers.exchange import Family, Peers

MOST_WAIT_S = 2.0  # told to one that is turned away: by then others may have lent some


class SharedBuckets:
    """As `door.Buckets`. Bounds: `max_keys` addresses; of those so many are shared as core/peers allows."""

    def __init__(self, peers: Peers, name: str, options: DoorOptions, least: int) -> None:
        """`least`: dispatchers that there are at the least."""
        self.peers, self.start, self.options = peers, f"{name}:", options
        self.family = Family(options.rate, least, self._bucket)
        peers.families[self.start] = self.family
        self.of: OrderedDict[str, Bucket] = OrderedDict()  # by budget's name, the least recently seen first
        self.now = 0.0

    def take(self, now: float, address: str) -> float:
        """0.0, or the seconds until one may come again."""
        name, self.now = self.start + address, now
        bucket = self.of.get(name)
        if bucket is None:
            own = self.peers.alone(self.options.rate, self.family.least, now)
            bucket = self._bucket(name, own)
        self.of.move_to_end(name)
        if name not in self.peers.buckets:
            alone = self.peers.alone(self.options.rate, self.family.least, now)
            if alone != bucket.right:
                bucket.fixed = alone
                bucket.allow(now, alone, float("inf"))
        if bucket.take(now):
            return 0.0
        self.peers.claim(now, name, self.family)
        return min(MOST_WAIT_S, bucket.wait_s(now))

    def _bucket(self, name: str, own: float) -> Bucket:
        """One that is there already must not begin anew with a whole token."""
        bucket = self.of.get(name)
        if bucket is None:
            burst_s = (self.options.burst - 1) / self.options.rate
            kept = self.peers.buckets.get(name)  # of one that had to leave this table while it was shared
            bucket = self.of[name] = kept or Bucket(own, self.now, 1.0, burst_s, holds=True)
            if len(self.of) > self.options.max_keys:
                self.of.popitem(last=False)
        return bucket
