"""How often each key was asked for of late: counts that fade, each when it is next looked at."""

from collections import OrderedDict

FADE = 0.1  # part that a count loses with each turn; at 1 - FADE it is forgotten
HOT_MIN = 50.0  # requests seen before a key's share of them is believed
MOST = 16384  # keys counted at once, about 300 bytes each: beyond it a new key counts as not seen


def faded(count: float, turns: int) -> float:
    for _ in range(turns):
        if count <= 1 - FADE:
            return 0.0
        count *= 1 - FADE
    return count


class KeyCounts:
    """Costs: add, count O(log count); fade O(1), where fading all at once would cost O(keys)."""

    __slots__ = ("seen", "total", "turn")

    def __init__(self) -> None:
        self.seen: OrderedDict[int, tuple[float, int]] = OrderedDict()  # the count, and as of which turn
        self.total, self.turn = 0.0, 0

    def add(self, key: int) -> None:
        self.total += 1
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
        but each sees what share of the traffic the key has, and comes to the same number of homes.
        """
        part = self.share(key) if self.total > HOT_MIN else 0.0
        homes = int(part * workers) or 1
        return homes, int(self.count(key)) % homes if homes > 1 else 0

    def fade(self) -> None:
        self.turn += 1
        self.total *= 1 - FADE
