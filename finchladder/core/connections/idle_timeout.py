"""How long a kept connection to a real server may lie idle and still be used."""

RELEARN_S = 30.0  # seconds without a kept connection found dead, for it to be trusted twice as long again
MIN_IDLE_S = 0.05  # seconds: doubled again from here


class AdaptiveIdleTimeout:
    """Idle times in seconds, from `most` downwards; times in seconds of the caller's clock.

    Some machine on the way may drop idle connections long before the time in the settings, and says so only
    when the next request comes: that one ends as a reset, and may not be sent again. So each such end halves
    the idle time at which a connection is still used.
    """

    def __init__(self, now: float, most: float) -> None:
        self.max_idle_s = most
        self._value, self._since = most, now

    def record_reset(self, now: float, idle: float) -> None:
        """One that had been idle for so long was reset at its next request."""
        self._value, self._since = min(self._value, idle / 2), now

    def limit_s(self, now: float) -> float:
        if self._value < self.max_idle_s and now > self._since + RELEARN_S:
            self._value, self._since = min(self.max_idle_s, 2 * max(self._value, MIN_IDLE_S)), now
        return self._value
