"""How often each key was requested lately: counts that decay, each when it is next read.

| dispatchers | counts decay | a key's share of the traffic | pairs of workers |
| --- | --- | --- | --- |
| up to SMALL_FLEET | at each call of `decay` | its part of the total | its share of the workers |
| more | at calls with REQUESTS_PER_DECAY new ones | without its latest request | HOT_KEY_SPREAD times that |

One dispatcher of many sees a few requests between two calls: counts that decay by time never come to
MIN_REQUESTS there, and no key is ever taken for hot. A key that was seen once may have come by chance, so
its latest request is left out. It gets more pairs, as all dispatchers together would overload the two
workers that suffice by the mean.
"""

from collections import OrderedDict
from random import Random

from finchladder.core.api import Settings
from finchladder.core.membership.watch_backoff import SMALL_FLEET

DECAY = 0.1  # share that a count loses with each epoch; at 1 - DECAY it is forgotten
MIN_REQUESTS = 50.0  # requests counted before a key's share of them is believed
REQUESTS_PER_DECAY = 50.0  # in a large fleet: counts hold what the last 500 requests asked for
PRIOR_REQUESTS = 25.0  # in a large fleet: requests for other keys that count as seen before
HOT_KEY_SPREAD = 8.0  # a worker gives an eighth of its capacity to one hot key: it serves other keys, too
GOLDEN_RATIO = (5**0.5 - 1) / 2
MAX_KEYS = 16384  # keys counted at once, about 300 bytes each; beyond it a new key counts as not seen


def decayed(count: float, epochs: int) -> float:
    """A count after so many epochs."""
    for _ in range(epochs):
        if count <= 1 - DECAY:
            return 0.0
        count *= 1 - DECAY
    return count


class KeyFrequency:
    """Counts of keys. `add` and `count` cost O(log count), `decay` O(1): a count decays when it is read."""

    __slots__ = ("counts", "total", "epoch", "settings", "added_since_decay", "pair_phase")

    def __init__(self, settings: Settings, seed: int) -> None:
        """`seed`: of this dispatcher's place among the pairs of a hot key."""
        self.settings = settings
        self.added_since_decay = 0.0  # requests
        # 0 to 1, where in a hot key's pairs the next request goes; drawn, as all dispatchers count alike
        self.pair_phase = Random(f"{seed}/homes").random() if self.is_large_fleet else 0.0
        self.counts: OrderedDict[int, tuple[float, int]] = OrderedDict()  # the count, and as of which epoch
        self.total = 0.0
        self.epoch = 0

    @property
    def is_large_fleet(self) -> bool:
        """Whether this dispatcher sees too little of the traffic to count by time."""
        return self.settings.dispatchers > SMALL_FLEET and not self.settings.weights_report_load

    def add(self, key: int) -> None:
        """A request for the key has come."""
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
        """Examines two keys for each that comes, so that the table shrinks again."""
        for _ in range(min(2, len(self.counts))):
            oldest, (count, epoch) = self.counts.popitem(last=False)
            if decayed(count, self.epoch - epoch):
                self.counts[oldest] = count, epoch

    def count(self, key: int) -> float:
        """Requests for the key, decayed."""
        count, epoch = self.counts.get(key, (0.0, self.epoch))
        return decayed(count, self.epoch - epoch)

    def share(self, key: int) -> float:
        """The key's share of all requests, 0 to 1."""
        return self.count(key) / self.total if self.total else 0.0

    def next_pair(self, key: int, workers: int) -> tuple[int, int]:
        """How many pairs of workers the key's traffic needs, and the index of the one whose turn it is.

        Each dispatcher sees only its own few jobs of a hot key, so all would find its one pair idle and
        overload it; but each sees what share of the traffic the key has, and comes to much the same number
        of pairs. They are the first ones round the key's rings, so one that takes it for hotter only adds
        some.
        """
        if not self.is_large_fleet:
            share = self.share(key) if self.total > MIN_REQUESTS else 0.0
            pairs = int(share * workers) or 1
            return pairs, int(self.count(key)) % pairs if pairs > 1 else 0
        share = max(0.0, self.count(key) - 1) / (self.total + PRIOR_REQUESTS)
        # no more than there surely are: an index past the last pair would begin with the first one at all
        pairs = min(int(HOT_KEY_SPREAD * share * workers), workers // 2)
        if pairs < 2:
            return 1, 0
        # steps of the golden ratio spread each dispatcher's requests evenly, from its own starting point
        self.pair_phase = (self.pair_phase + GOLDEN_RATIO) % 1.0
        return pairs, int(self.pair_phase * pairs)

    def decay(self) -> None:
        """Begins a new epoch, in a large fleet only if enough requests have come."""
        if self.is_large_fleet and self.added_since_decay < REQUESTS_PER_DECAY:
            return
        self.added_since_decay = 0.0
        self.epoch += 1
        self.total *= 1 - DECAY
