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
from finchladder.core.membership.watch_backoff import FEW

FADE = 0.1  # part that a count loses with each turn; at 1 - FADE it is forgotten
HOT_MIN = 50.0  # requests seen before a key's share of them is believed
ENOUGH = 50.0  # requests, for counts of one among many to fade: they hold what the last 500 asked for
UNSEEN = 25.0  # requests for no key of note that one among many counts as seen before
SPREAD = 8.0  # a home of a hot key gets an eighth of what it can do from it: other keys live there, too
GOLDEN = (5**0.5 - 1) / 2
MOST = 16384  # keys counted at once, about 300 bytes each: beyond it a new key counts as not seen


def faded(count: float, turns: int) -> float:
    for _ in range(turns):
        if count <= 1 - FADE:
            return 0.0
        count *= 1 - FADE
    return count


class KeyCounts:
    """Costs: add, count O(log count); fade O(1), where fading all at once would cost O(keys)."""

    __slots__ = ("seen", "total", "turn", "s", "fresh", "turn_at")

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s = settings
        self.fresh = 0.0  # seen since the last turn
        # among the homes of a hot key, 0 to 1, see `homes`; not from the number, that all may be told alike
        self.turn_at = Random(f"{seed}/homes").random() if self.many else 0.0
        self.seen: OrderedDict[int, tuple[float, int]] = OrderedDict()  # the count, and as of which turn
        self.total, self.turn = 0.0, 0

    @property
    def many(self) -> bool:
        return self.s.dispatchers > FEW and not self.s.weights_report_load

    def add(self, key: int) -> None:
        self.total += 1
        self.fresh += 1
        if (held := self.seen.get(key)) is None:
            self._tidy()
            if len(self.seen) < MOST:
                self.seen[key] = 1.0, self.turn
            return
        count, turn = held
        self.seen[key] = faded(count, self.turn - turn) + 1, self.turn

    def _tidy(self) -> None:
        """Looks at two others for each that comes, so that the table shrinks again."""
        for _ in range(min(2, len(self.seen))):
            oldest, (count, turn) = self.seen.popitem(last=False)
            if faded(count, self.turn - turn):
                self.seen[oldest] = count, turn

    def count(self, key: int) -> float:
        count, turn = self.seen.get(key, (0.0, self.turn))
        return faded(count, self.turn - turn)

    def share(self, key: int) -> float:
        return self.count(key) / self.total if self.total else 0.0

    def homes(self, key: int, workers: int) -> tuple[int, int]:
        """How many pairs of workers the key's traffic needs, and the one whose turn it is.

        Each node sees only its own few jobs of a hot key, so all would find its one pair calm and bury it;
        but each sees what share of the traffic the key has, and comes to much the same number of homes. They
        are the first ones round the key's rings, so one that takes it for hotter only adds some.
        """
        if not self.many:
            part = self.share(key) if self.total > HOT_MIN else 0.0
            homes = int(part * workers) or 1
            return homes, int(self.count(key)) % homes if homes > 1 else 0
        part = max(0.0, self.count(key) - 1) / (self.total + UNSEEN)
        # no more than there surely are: who begins past the last pair begins with the first, as all would
        homes = min(int(SPREAD * part * workers), workers // 2)
        if homes < 2:
            return 1, 0
        # counts come to rest at the same figure at all: each goes round in steps that fill the whole evenly,
        # from a place of its own
        self.turn_at = (self.turn_at + GOLDEN) % 1.0
        return homes, int(self.turn_at * homes)

    def fade(self) -> None:
        if self.many and self.fresh < ENOUGH:
            return
        self.fresh = 0.0
        self.turn += 1
        self.total *= 1 - FADE
