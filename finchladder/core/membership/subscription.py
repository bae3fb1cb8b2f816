"""Subscription to the worker list: when to request it, initially and after each loss."""

from random import Random

MAX_DOUBLINGS = 6


class ListSubscription:
    """State of the subscription to the worker list; times are in seconds."""

    __slots__ = ("is_subscribed", "retry_at", "failures")

    def __init__(self, on: bool) -> None:
        """`on`: whether the list is pushed without a request, or was requested already."""
        self.is_subscribed, self.retry_at, self.failures = on, 0.0, 0

    def record_loss(self, now: float, first_s: float, most_s: float, random: Random) -> None:
        """Schedules a retry with backoff and jitter, as all dispatchers usually lose the list at once."""
        self.is_subscribed = False
        self.failures += 1
        backoff_s = min(most_s, first_s * 2 ** min(self.failures, MAX_DOUBLINGS))
        self.retry_at = now + backoff_s * (0.5 + random.random() / 2)

    def record_list(self) -> None:
        """Records a received list, which resets the backoff."""
        self.failures = 0

    def take_due(self, now: float) -> bool:
        """Returns True once when the list is to be requested now."""
        if self.is_subscribed or now < self.retry_at:
            return False
        self.is_subscribed = True
        return True
