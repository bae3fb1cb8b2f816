"""Retry-After values that spread the retries of clients that are rejected together.

Without a spread they would come back together, and most of them would be rejected again.
"""

from random import Random

STRATA = 64  # equal intervals of the range; each is used once before any is used again
MIN_FRACTION = 0.25  # lower end of the range, as a fraction of `max_s`


class RetryAfterSampler:
    """Draws from a quarter of a longest pause up to all of it, by stratified sampling."""

    def __init__(self, max_s: float, random: Random) -> None:
        self.max_s, self.random = max_s, random
        self.strata: list[int] = []  # strata not used yet in the current pass

    def next_s(self, useful_s: float) -> float:
        """Returns the next Retry-After value in seconds; 0 (no header) if no pause is of use.

        `useful_s`: the longest pause after which a retry can still be served. The pause is not longer, nor
        longer than `max_s`, up to which clients follow it.
        """
        longest_s = min(self.max_s, useful_s)
        if longest_s <= 0:
            return 0.0
        if not self.strata:
            self.strata = list(range(STRATA))
            self.random.shuffle(self.strata)
        position = (self.strata.pop() + self.random.random()) / STRATA
        return longest_s * (MIN_FRACTION + (1 - MIN_FRACTION) * position)
