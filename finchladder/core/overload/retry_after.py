"""Retry-After values that spread the retries of clients that are rejected together."""

from random import Random

STRATA = 64  # equal intervals of the range; each is used once before any is used again
MIN_FRACTION = 0.25  # lower end of the range, as a fraction of `max_s`


class RetryAfterSampler:
    """Draws from `max_s` / 4 to `max_s` seconds by stratified sampling; 0 (no header) if `max_s` is 0."""

    def __init__(self, max_s: float, random: Random) -> None:
        self.max_s, self.random = max_s, random
        self.strata: list[int] = []  # strata not used yet in the current pass

    def next_s(self) -> float:
        """Returns the next Retry-After value in seconds."""
        if not self.max_s:
            return 0.0
        if not self.strata:
            self.strata = list(range(STRATA))
            self.random.shuffle(self.strata)
        position = (self.strata.pop() + self.random.random()) / STRATA
        return self.max_s * (MIN_FRACTION + (1 - MIN_FRACTION) * position)
