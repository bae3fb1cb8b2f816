"""How often each key was asked for of late: counts that fade, each when it is next looked at.

| how many share the fleet | counts fade | a key's share of the traffic | pairs of homes |
| --- | --- | --- | --- |
| up to FEW | each turn | its part of the count | its share of the workers |
| more | each turn with ENOUGH new ones | the same without its latest request | SPREAD times as many |

One of many sees a few requests in a turn: counts that fade by time never come to HOT_MIN there, and no key is
ever taken for hot. A key that was seen once is one that happened to come, so its latest request is left out.
Its homes are then more, as all dispatchers together would still bury the two that would do by the mean.
"""

from collections import OrderedDict
from random import Random

from finchladder.core.api import Settings
from finchladder.core.membership.watch_backoff import SMALL_FLEET

DECAY = 0.1  # part that a count loses with each turn; at 1 - FADE it is forgotten
MIN_REQUESTS = 50.0  # requests seen before a key's share of them is believed
REQUESTS_PER_DECAY = (
    50.0  # requests, for counts of one among many to fade: they hold what the last 500 asked for
)
PRIOR_REQUESTS = 25.0  # requests for no key of note that one among many counts as seen before
HOT_KEY_SPREAD = (
    8.0  # a home of a hot key gets an eighth of what it can do from it: other keys live there, too
)
GOLDEN_RATIO = (5**0.5 - 1) / 2
MAX_KEYS = 16384  # keys counted at once, about 300 bytes each: beyond it a new key counts as not seen


def decayed(count: float, turns: int) -> float:
    for _ in range(turns):
        if count <= 1 - DECAY:
            return 0.0
        count *= 1 - DECAY
    return count


class KeyFrequency:
    """Costs: add, count O(log count); fade O(1), where fading all at once would cost O(keys)."""

    __slots__ = ("counts", "total", "epoch", "settings", "added_since_decay", "pair_phase")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.added_since_decay = 0.0  # seen since the last turn
        # among the homes of a hot key, 0 to 1, see `homes`; not from the number, that all may be told alike
        self.pair_phase = Random(f"{seed}/homes").random() if self.is_large_fleet else 0.0
        self.counts: OrderedDict[int, tuple[float, int]] = OrderedDict()  # the count, and as of which turn
        self.total, self.epoch = 0.0, 0

    @property
    def is_large_fleet(self) -> bool:
        return self.settings.dispatchers > SMALL_FLEET and not self.settings.weights_report_load

    def add(self, key: int) -> None:
        self.total += 1
        self.added_since_decay += 1
        if (held := self.counts.get(key)) is None:
            self._evict_decayed()
            if len(self.counts) < MAX_KEYS:
                self.counts[key] = 1.0, self.epoch
            return
        count, turn = held
        self.counts[key] = decayed(count, self.epoch - turn) + 1, self.epoch

    def _evict_decayed(self) -> None:
        """Looks at two others for each that comes, so that the table shrinks again."""
        for _ in range(min(2, len(self.counts))):
            oldest, (count, turn) = self.counts.popitem(last=False)
            if decayed(count, self.epoch - turn):
                self.counts[oldest] = count, turn

    def count(self, key: int) -> float:
        count, turn = self.counts.get(key, (0.0, self.epoch))
        return decayed(count, self.epoch - turn)

    def share(self, key: int) -> float:
        return self.count(key) / self.total if self.total else 0.0

    def next_pair(self, key: int, workers: int) -> tuple[int, int]:
        """How many pairs of workers the key's traffic needs, and the one whose turn it is.

        Each node sees only its own few jobs of a hot key, so all would find its one pair calm and bury it;
        but each sees what share of the traffic the key has, and comes to much the same number of homes. They
        are the first ones round the key's rings, so one that takes it for hotter only adds some.
        """
        if not self.is_large_fleet:
            part = self.share(key) if self.total > MIN_REQUESTS else 0.0
            homes = int(part * workers) or 1
            return homes, int(self.count(key)) % homes if homes > 1 else 0
        part = max(0.0, self.count(key) - 1) / (self.total + PRIOR_REQUESTS)
        # no more than there surely are: who begins past the last pair begins with the first, as all would
        homes = min(int(HOT_KEY_SPREAD * part * workers), workers // 2)
        if homes < 2:
            return 1, 0
        # counts come to rest at the same figure at all: each goes round in steps that fill the whole evenly,
        # from a place of its own
        self.pair_phase = (self.pair_phase + GOLDEN_RATIO) % 1.0
        return homes, int(self.pair_phase * homes)

    def decay(self) -> None:
        if self.is_large_fleet and self.added_since_decay < REQUESTS_PER_DECAY:
            return
        self.added_since_decay = 0.0
        self.epoch += 1
        self.total *= 1 - DECAY
