"""When the worker list must be asked for: at the start, and again whenever it was lost."""

from random import Random

MAX_DOUBLINGS = 6


class ListSubscription:
    __slots__ = ("is_subscribed", "retry_at", "failures")

    def __init__(self, on: bool) -> None:
        """`on`: the list comes by itself, or is subscribed to already."""
        self.is_subscribed, self.retry_at, self.failures = on, 0.0, 0

    def record_loss(self, now: float, first_s: float, most_s: float, random: Random) -> None:
        """Jitter and backoff: nodes that lost the list together must not ask together."""
        self.is_subscribed = False
        self.failures += 1
        wait = min(most_s, first_s * 2 ** min(self.failures, MAX_DOUBLINGS))
        self.retry_at = now + wait * (0.5 + random.random() / 2)

    def record_list(self) -> None:
        self.failures = 0

    def take_due(self, now: float) -> bool:
        """True once: it is to be asked for now."""
        if self.is_subscribed or now < self.retry_at:
            return False
        self.is_subscribed = True
        return True
