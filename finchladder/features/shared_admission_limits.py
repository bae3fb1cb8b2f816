"""Admission limits shared between dispatchers: the rate of an address applies to all of them together.

Each address has a local bucket with this dispatcher's share of the rate, which needs no messages. Its budget
is claimed from the peers (core/peers) only after a rejection. An address that uses a single dispatcher
therefore gets nearly the complete rate within a few seconds, and one that uses all of them gets no more than
the rate.
"""

from collections import OrderedDict

from finchladder.config.options import DoorOptions
from finchladder.core.peers.bucket import Bucket
from finchladder.core.peers.exchange import BudgetFamily, Peers

MAX_RETRY_AFTER_S = 2.0  # longest announced wait; after it, peers may have lent some of their rate


class SharedTokenBuckets:
    """Token buckets by address, like `admission_limits.TokenBuckets` but shared between dispatchers.

    At most `max_keys` addresses are stored; core/peers limits how many of them are shared.
    """

    def __init__(self, peers: Peers, name: str, options: DoorOptions, min_dispatchers: int) -> None:
        """Registers the family of buckets with the peers.

        Args:
            peers: The exchange with other dispatchers.
            name: The limit's unique name.
            options: Rate, burst and number of addresses.
            min_dispatchers: The minimum number of dispatchers.
        """
        self.peers, self.prefix, self.options = peers, f"{name}:", options
        self.family = BudgetFamily(options.rate, min_dispatchers, self._bucket)
        peers.families[self.prefix] = self.family
        # by the budget's name, the least recently seen first
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()
        self.now = 0.0

    def take(self, now: float, address: str) -> float:
        """Takes a token; returns 0.0, or the seconds until a retry may succeed."""
        name, self.now = self.prefix + address, now
        bucket = self.buckets.get(name)
        if bucket is None:
            own = self.peers.unshared_rate(self.options.rate, self.family.min_dispatchers, now)
            bucket = self._bucket(name, own)
        self.buckets.move_to_end(name)
        if name not in self.peers.buckets:
            alone = self.peers.unshared_rate(self.options.rate, self.family.min_dispatchers, now)
            if alone != bucket.rate:
                bucket.guaranteed_rate = alone
                bucket.set_rate(now, alone, float("inf"))
        if bucket.take(now):
            return 0.0
        self.peers.claim(now, name, self.family)
        return min(MAX_RETRY_AFTER_S, bucket.wait_s(now))

    def _bucket(self, name: str, own: float) -> Bucket:
        """Returns a bucket; an existing one is reused, because a new one would start with a token."""
        bucket = self.buckets.get(name)
        if bucket is None:
            burst_s = (self.options.burst - 1) / self.options.rate
            shared = self.peers.buckets.get(name)  # peers may share a bucket that was evicted here
            bucket = self.buckets[name] = shared or Bucket(own, self.now, 1.0, burst_s, keeps_tokens=True)
            if len(self.buckets) > self.options.max_keys:
                self.buckets.popitem(last=False)
        return bucket
