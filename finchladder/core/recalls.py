"""When discovery is called again after a call that failed or a watch that was lost.

One service answers all dispatchers of a fleet, and it may be overbooked. Lost watches are mostly lost by all
at once, and calls repeated in step keep it overbooked for good. So the waits grow with the number of callers:
however many they are, they make some CALLS_A_SECOND together, spread evenly by a draw of each.

| the call before | the next one |
| --- | --- |
| brought news, or a watch was lost that had | after the first wait, drawn from nothing up to it |
| failed, or brought nothing | after twice the wait before, the last half of it drawn, up to the most |
"""

from random import Random

FIRST_S, MOST_S = 0.1, 0.8  # of a few dispatchers
CALLS_A_SECOND = 10.0
LONGEST_S = 4.0  # news counts as told after 6 s, whether it came or not: no longer wait lies between two tries


class Recalls:
    """Seconds to wait; `dispatchers`: how many call the same discovery, as the settings say."""

    __slots__ = ("first_s", "most_s", "random", "wait_s")

    def __init__(self, dispatchers: int, random: Random) -> None:
        self.most_s = min(LONGEST_S, max(MOST_S, dispatchers / CALLS_A_SECOND))
        self.first_s = FIRST_S * self.most_s / MOST_S
        self.random, self.wait_s = random, self.first_s

    def after(self, news: bool) -> float:
        """`news`: whether anything new came since the wait before."""
        if news:
            self.wait_s = 2 * self.first_s
            return self.wait_s * self.random.random()
        self.wait_s = min(2 * self.wait_s, self.most_s)
        return self.wait_s * (1 + self.random.random()) / 2
