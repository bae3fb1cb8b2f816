"""Two guards of the believed list: against a mass that vanishes at once, and against entries that flap.

Neither ever keeps a real server in use that was told to drain.
"""

from collections import OrderedDict
from enum import Enum
from math import inf
from typing import NamedTuple

from finchladder.core.api import WorkerEntry

CALM_S = 1.0  # nobody has come back for so long: who is still away stays away
MOST_FLAPS = 16_384  # real servers whose leavings are counted; the one that left longest ago goes first


class Guard(Enum):
    CALM = "calm"  # who vanishes is believed gone
    HOLDING = "holding"  # who vanishes, or has within the window, stays until a second sign


class Turn(Enum):
    MASS = "mass"  # more than the share vanished within the window
    OVER = "over"  # none is held any more
    FEW = "few"  # the others came back, or new ones: no more than the share is away, and nobody comes back
    WAITED = "waited"  # held for hold_s; those that nobody else lists are gone, if others are ready


TRANSITIONS = {
    (Guard.CALM, Turn.MASS): Guard.HOLDING,
    (Guard.HOLDING, Turn.OVER): Guard.CALM,
    (Guard.HOLDING, Turn.FEW): Guard.CALM,
    (Guard.HOLDING, Turn.WAITED): Guard.HOLDING,
}


class Gone(NamedTuple):
    at: float
    entry: WorkerEntry
    address: tuple[str, int]


class Vanishing:
    """Who vanished without having drained: within the window while CALM, who is held while HOLDING.

    Each call costs O(1), but for what it returns and, once for each, what leaves the window.
    """

    def __init__(self, share: float, window_s: float, hold_s: float) -> None:
        self.share, self.window_s, self.hold_s = share, window_s, hold_s
        self.guard = Guard.CALM
        self.gone: OrderedDict[str, Gone] = OrderedDict()
        self.held: dict[str, None] = {}
        self.until = inf  # when those that are held have waited long enough
        self.back_at = 0.0  # when one of them last came back

    @property
    def holding(self) -> bool:
        return self.guard is Guard.HOLDING

    def vanished(self, now: float, name: str, entry: WorkerEntry, address: tuple[str, int]) -> None:
        self.gone[name] = Gone(now, entry, address)

    def settled(self, name: str) -> None:
        """It is listed again, or known to be gone."""
        self.gone.pop(name, None)
        self.held.pop(name, None)

    def came_back(self, now: float, name: str) -> None:
        if name in self.held:
            self.back_at = now
        self.settled(name)

    def hold(self, name: str) -> None:
        self.held[name] = None

    def mass(self, now: float, listed: int, more: int = 0) -> dict[str, Gone] | None:
        """Who is to be put back: all of the window, if those are too many beside so many that are listed.

        `more`: of those that are listed, so many vanish now. None: they are not too many.
        """
        while self.gone and next(iter(self.gone.values())).at + self.window_s <= now:
            self.gone.popitem(last=False)
        if self.holding or len(self.gone) + more <= self.share * (listed + len(self.gone)):
            return None
        self.guard = TRANSITIONS[self.guard, Turn.MASS]
        self.until, self.back_at = now + self.hold_s, now
        back, self.gone = dict(self.gone), OrderedDict()
        self.held = dict.fromkeys(back)
        return back

    def due(self, now: float, listed: int, others: int) -> Turn | None:
        """What the time brings. `listed` includes who is held, `others` are ready and are not."""
        if not self.holding:
            return None
        if not self.held:
            turn = Turn.OVER
        elif self._few(listed) and now >= self.back_at + CALM_S:
            turn = Turn.FEW
        elif now >= self.until:
            self.until = now + self.hold_s
            if not others:
                return None
            turn = Turn.WAITED
        else:
            return None
        self.guard = TRANSITIONS[self.guard, turn]
        return turn

    def _few(self, listed: int) -> bool:
        return len(self.held) <= self.share * listed

    def next_due(self, listed: int) -> float:
        if not self.holding:
            return inf
        if not self.held:
            return -inf
        return min(self.until, self.back_at + CALM_S if self._few(listed) else inf)


class Flaps:
    """Who stopped being ready how often; one that did so too often must have been ready for a while."""

    def __init__(self, most: int, window_s: float, hold_s: float) -> None:
        self.most, self.window_s, self.hold_s = most, window_s, hold_s
        self.left: OrderedDict[str, tuple[float, ...]] = OrderedDict()  # the last `most` times of each
        self.damped: OrderedDict[str, float] = OrderedDict()  # since when each is ready

    def leaves(self, now: float, name: str) -> None:
        self.left[name] = (*self.left.get(name, ()), now)[-self.most :]
        self.left.move_to_end(name)
        while len(self.left) > MOST_FLAPS or next(iter(self.left.values()))[-1] + self.window_s <= now:
            self.left.popitem(last=False)

    def too_often(self, now: float, name: str) -> bool:
        times = self.left.get(name, ())
        return len(times) == self.most and times[0] + self.window_s > now

    def damp(self, now: float, name: str) -> None:
        self.damped.setdefault(name, now)

    def let_go(self, name: str) -> None:
        self.damped.pop(name, None)

    def steady(self, now: float) -> list[str]:
        """Who has been ready for long enough."""
        found = []
        for name, since in self.damped.items():
            if since + self.hold_s > now:
                break
            found.append(name)
        return found

    def next_due(self) -> float:
        return next(iter(self.damped.values()), inf) + self.hold_s
