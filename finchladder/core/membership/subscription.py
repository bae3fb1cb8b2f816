"""When the worker list must be asked for: at the start, and again whenever it was lost."""

from random import Random

MOST_DOUBLINGS = 6


class Asking:
    __slots__ = ("on", "at", "failures")

    def __init__(self, on: bool) -> None:
        """`on`: the list comes by itself, or is subscribed to already."""
        self.on, self.at, self.failures = on, 0.0, 0

    def lost(self, now: float, first_s: float, most_s: float, random: Random) -> None:
        """Jitter and backoff: nodes that lost the list together must not ask together."""
        self.on = False
        self.failures += 1
        wait = min(most_s, first_s * 2 ** min(self.failures, MOST_DOUBLINGS))
        self.at = now + wait * (0.5 + random.random() / 2)

    def heard(self) -> None:
        self.failures = 0

    def due(self, now: float) -> bool:
        """True once: it is to be asked for now."""
        if self.on or now < self.at:
            return False
        self.on = True
        return True
