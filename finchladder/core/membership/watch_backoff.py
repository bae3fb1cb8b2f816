"""Backoff of calls to discovery, after a call that failed or a watch that was lost.

One service of limited capacity answers all dispatchers of a fleet; calls are queued there, and may time out.
Usually all watches are lost at once: simultaneous calls, or early retries, would keep the service overloaded.
So, in addition to the backoff of a small fleet, each dispatcher waits a random part of a time that grows with
the number of dispatchers: together they make about CALLS_PER_S calls, evenly spread. The wait has two upper
bounds, as a change must be propagated in a fixed time regardless of that number (watch.py). Meanwhile each
dispatcher uses its last list.

| previous call | backoff of a small fleet | random part of the spread |
| --- | --- | --- |
| returned changes, or a watch that had returned some was lost | up to 2 * MIN_BACKOFF_S | any |
| failed, or returned nothing | twice the last wait up to MAX_BACKOFF_S, half of it random | the second half |
"""

from random import Random

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.8  # backoff of a small fleet, in seconds
SMALL_FLEET = 8  # up to this number of dispatchers the backoff needs no spread
CALLS_PER_S = 10.0  # total rate of calls of the dispatchers beyond SMALL_FLEET


class WatchBackoff:
    """Draws the waits before calls, in seconds.

    `dispatchers` is the configured number that call the same discovery, or 1 where a local agent pushes the
    changes. A wait is at most `away_s` after an open watch was lost, and `retry_s` after a failed call.
    """

    __slots__ = ("spread_s", "random", "backoff_s", "away_s", "retry_s")

    def __init__(self, dispatchers: int, random: Random, away_s: float, retry_s: float) -> None:
        self.spread_s = max(0, dispatchers - SMALL_FLEET) / CALLS_PER_S
        self.random, self.backoff_s, self.away_s, self.retry_s = random, MIN_BACKOFF_S, away_s, retry_s

    def next_backoff_s(self, opened: bool, has_changed: bool) -> float:
        """Returns the next backoff, in seconds.

        Args:
            opened: Whether the last watch was open.
            has_changed: Whether a change arrived since the last backoff.
        """
        draw = self.random.random()
        most_s = self.away_s if opened else self.retry_s
        if has_changed:
            self.backoff_s = MIN_BACKOFF_S
            return min(most_s, 2 * MIN_BACKOFF_S + self.spread_s) * draw
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)
        return min(most_s, self.backoff_s + self.spread_s) * (1 + draw) / 2
