"""Request frequency of keys: decaying counts, each decayed when it is next read.

| dispatchers | counts decay | a key's share of the traffic | number of its pairs of workers |
| --- | --- | --- | --- |
| up to SMALL_FLEET | at each call of `decay` | count / total | share * workers |
| more | at calls after REQUESTS_PER_DECAY requests | (count - 1) / total | HOT_KEY_SPREAD * share * workers |

In a large fleet one dispatcher receives only a few requests between two calls of `decay`. Counts that decay
by time would never reach MIN_REQUESTS there, and no key would be detected as hot. A single request does not
show that a key is frequent, so one request of each key is not counted. A hot key gets more pairs there, as
all dispatchers together would overload the two workers that suffice on average.
"""

from collections import OrderedDict
from random import Random

from finchladder.core.api import Settings
from finchladder.core.membership.watch_backoff import SMALL_FLEET

DECAY = 0.1  # fraction that a count loses per epoch; a count of at most 1 - DECAY is removed
MIN_REQUESTS = 50.0  # total count above which the share of a key is significant
REQUESTS_PER_DECAY = 50.0  # only used in a large fleet: counts then cover about the last 500 requests
PRIOR_REQUESTS = 25.0  # only used in a large fleet: assumed earlier requests for other keys
HOT_KEY_SPREAD = 8.0  # a worker serves other keys too, so a hot key may use an eighth of its capacity
GOLDEN_RATIO = (5**0.5 - 1) / 2
MAX_KEYS = 16384  # counted keys, about 300 bytes each; further new keys are not counted


def decayed(count: float, epochs: int) -> float:
    """Returns the count after that many epochs, 0 if it has become negligible."""
    for _ in range(epochs):
        if count <= 1 - DECAY:
            return 0.0
        count *= 1 - DECAY
    return count


class KeyFrequency:
    """Decaying request counts of keys. `add` and `count` take O(log count), `decay` takes O(1)."""

    __slots__ = ("counts", "total", "epoch", "settings", "added_since_decay", "pair_phase")

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed`: seeds the random choice of the pair of workers that is used first for a hot key."""
        self.settings = settings
        self.added_since_decay = 0.0  # requests counted since the last decay
        # Selects the pair of workers for the next request of a hot key, as a fraction (0 to 1) of the number
        # of its pairs. The initial value is random: all dispatchers count similar numbers of requests for a
        # key, so that otherwise they would all use the same pair at the same time.
        self.pair_phase = Random(f"{seed}/homes").random() if self.is_large_fleet else 0.0
        self.counts: OrderedDict[int, tuple[float, int]] = OrderedDict()  # count, epoch of last update
        self.total = 0.0
        self.epoch = 0

    @property
    def is_large_fleet(self) -> bool:
        """Whether this dispatcher receives too few requests to let the counts decay by time."""
        return self.settings.dispatchers > SMALL_FLEET and not self.settings.weights_report_load

    def add(self, key: int) -> None:
        """Counts a request for the key."""
        self.total += 1
        self.added_since_decay += 1
        counted = self.counts.get(key)
        if counted is None:
            self._evict_decayed()
            if len(self.counts) < MAX_KEYS:
                self.counts[key] = 1.0, self.epoch
            return
        count, epoch = counted
        self.counts[key] = decayed(count, self.epoch - epoch) + 1, self.epoch

    def _evict_decayed(self) -> None:
        """Examines the two oldest keys and removes those that have decayed.

        Called for each new key. As two are examined for each that is added, the table can shrink.
        """
        for _ in range(min(2, len(self.counts))):
            oldest, (count, epoch) = self.counts.popitem(last=False)
            if decayed(count, self.epoch - epoch):
                self.counts[oldest] = count, epoch

    def count(self, key: int) -> float:
        """Returns the decayed number of requests for the key."""
        count, epoch = self.counts.get(key, (0.0, self.epoch))
        return decayed(count, self.epoch - epoch)

    def traffic_fraction(self, key: int) -> float:
        """Returns the key's share of all requests, 0 to 1."""
        return self.count(key) / self.total if self.total else 0.0

    def next_pair(self, key: int, workers: int) -> tuple[int, int]:
        """Returns how many pairs of workers the key's traffic needs, and the index of the next pair to use.

        Each dispatcher sees only its own few jobs of a hot key, so with a single pair all dispatchers would
        find it idle and overload it. But each can measure the key's share of the traffic, so all compute
        about the same number of pairs. These are the first pairs on the key's rings, so that a higher
        estimate only adds pairs.
        """
        if not self.is_large_fleet:
            share = self.traffic_fraction(key) if self.total > MIN_REQUESTS else 0.0
            pairs = int(share * workers) or 1
            return pairs, int(self.count(key)) % pairs if pairs > 1 else 0
        share = max(0.0, self.count(key) - 1) / (self.total + PRIOR_REQUESTS)
        # limited to the pairs that certainly exist, as an index past the last would select the first pair
        pairs = min(int(HOT_KEY_SPREAD * share * workers), workers // 2)
        if pairs < 2:
            return 1, 0
        # steps of the golden ratio spread the requests of each dispatcher evenly from its random start
        self.pair_phase = (self.pair_phase + GOLDEN_RATIO) % 1.0
        return pairs, int(self.pair_phase * pairs)

    def decay(self) -> None:
        """Starts a new epoch; in a large fleet only after REQUESTS_PER_DECAY requests."""
        if self.is_large_fleet and self.added_since_decay < REQUESTS_PER_DECAY:
            return
        self.added_since_decay = 0.0
        self.epoch += 1
        self.total *= 1 - DECAY
