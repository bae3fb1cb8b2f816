"""When discovery is called again, after a call that failed or a watch that was lost.

One service of some capacity answers all dispatchers of a fleet; calls wait there in turn, and fail if that
takes too long. Watches are mostly lost by all at once: calls in step, or repeated soon, keep it overbooked.
So, beside the waits of a few dispatchers, each waits a drawn part of a time that grows with their number: all
together make some CALLS_A_SECOND, evenly, as far as two bounds let them: a change counts as told some time
after it could be had (watching.py), however many call. Service goes on meanwhile by the list that each has.

| the call before | the next one: waits of a few | and of the spread |
| --- | --- | --- |
| brought news, or a watch was lost that had | up to twice FIRST_S | any part |
| failed, or brought nothing | twice the wait before up to MOST_S, its last half drawn | the last half of it |
"""

from random import Random

MIN_WAIT_S, MAX_WAIT_S = 0.1, 0.8  # of a few dispatchers
SMALL_FLEET = 8
CALLS_PER_S = 10.0  # of all others together


class WatchBackoff:
    """Seconds to wait; `dispatchers`: how many call the same discovery, as the settings say.

    To be 1 where changes come unasked: an agent beside each answers it at no cost. No wait is over `away_s`
    after a watch that was open, or over `retry_s` after a call that failed.
    """

    __slots__ = ("spread_s", "random", "wait_s", "away_s", "retry_s")

    def __init__(self, dispatchers: int, random: Random, away_s: float, retry_s: float) -> None:
        self.spread_s = max(0, dispatchers - SMALL_FLEET) / CALLS_PER_S
        self.random, self.wait_s, self.away_s, self.retry_s = random, MIN_WAIT_S, away_s, retry_s

    def next_wait_s(self, opened: bool, news: bool) -> float:
        """`opened`: the watch before was open; `news`: something new came since the wait before."""
        draw = self.random.random()
        most_s = self.away_s if opened else self.retry_s
        if news:
            self.wait_s = MIN_WAIT_S
            return min(most_s, 2 * MIN_WAIT_S + self.spread_s) * draw
        self.wait_s = min(2 * self.wait_s, MAX_WAIT_S)
        return min(most_s, self.wait_s + self.spread_s) * (1 + draw) / 2
