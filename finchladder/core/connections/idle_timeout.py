"""Adaptive idle timeout of connections to workers."""

RELEARN_S = 30.0  # time after the last change of the limit until it is doubled
MIN_IDLE_S = 0.05  # a limit below this is doubled from here


class AdaptiveIdleTimeout:
    """Adapts how long a connection may be idle and still be reused; at most `max_idle_s`.

    A middlebox may drop idle connections long before the configured timeout, and the loss is noticed only
    when the next request ends in a reset, which may not be retried. So a reset after some idle
    time lowers the limit to half of that time, and each RELEARN_S without a reset doubles the limit.
    Times are in seconds of the caller's clock.
    """

    def __init__(self, now: float, max_idle_s: float) -> None:
        self.max_idle_s = max_idle_s
        self._limit_s, self._changed_at = max_idle_s, now

    def record_reset(self, now: float, idle_s: float) -> None:
        """Records that a connection was reset at its next request after `idle_s` seconds of idle time."""
        self._limit_s, self._changed_at = min(self._limit_s, idle_s / 2), now

    def limit_s(self, now: float) -> float:
        """Returns the longest idle time after which a connection may still be reused."""
        if self._limit_s < self.max_idle_s and now > self._changed_at + RELEARN_S:
            self._limit_s, self._changed_at = min(self.max_idle_s, 2 * max(self._limit_s, MIN_IDLE_S)), now
        return self._limit_s
