"""Hedging: when a second copy is sent, and what share of the jobs may get one.

As in "The tail at scale" (Dean and Barroso, CACM 2013): a copy goes out once the first has taken longer than
most do, so few are sent, and whichever ends first counts.
"""

from math import ceil, exp, floor, log

ERROR = 0.02  # relative, of a percentile
GROWTH = log((1 + ERROR) / (1 - ERROR))  # of the bounds of neighbouring buckets, as a logarithm
LEAST_S, MOST_S = 1e-3, 3600.0  # times are counted as within these: 378 buckets at the most
BEYOND = 10.0  # samples that should lie past a percentile before it is believed
KEEP = 1000.0  # samples before old ones begin to fade
HALF = 0.5
CHANGED = 32  # new samples until the percentile is worked out again
SAVED = 10.0  # copies that can be saved up


class Times:
    """One percentile of the running times of late: fixed buckets whose bounds grow by a constant factor.

    DDSketch (Masson, Rim and Lee, VLDB 2019): each percentile is known within ERROR of its value. Once it
    holds KEEP samples, or twice what the percentile needs, all counts are halved, so that what is old fades.
    A time costs O(1), and each CHANGED-th one O(buckets log buckets). `add` takes seconds.
    """

    __slots__ = ("percentile", "buckets", "total", "changed", "value_s")

    def __init__(self, percentile: float) -> None:
        self.percentile = percentile
        self.buckets: dict[int, float] = {}
        self.total, self.changed = 0.0, 0
        self.value_s: float | None = None  # None: too little is known

    @property
    def needed(self) -> float:
        return BEYOND / (1 - self.percentile / 100)

    def add(self, took_s: float) -> None:
        number = ceil(log(min(max(took_s, LEAST_S), MOST_S) / LEAST_S) / GROWTH)
        self.buckets[number] = self.buckets.get(number, 0.0) + 1
        self.total += 1
        self.changed += 1
        if self.total >= max(KEEP, 2 * self.needed):
            self.buckets = {n: c * HALF for n, c in self.buckets.items() if c > HALF}
            self.total = sum(self.buckets.values())
        if self.changed >= CHANGED and self.total >= self.needed:
            self.changed = 0
            self.value_s = self._worked_out()

    def add_longer_than(self, took_s: float) -> None:
        """A time that was cut off tells nothing, unless it was past the percentile already."""
        if self.value_s is not None and took_s >= self.value_s:
            self.add(took_s)

    def _worked_out(self) -> float:
        rank = floor(self.percentile / 100 * (self.total - 1))
        passed, number = 0.0, 0
        for number in sorted(self.buckets):
            passed += self.buckets[number]
            if passed > rank:
                break
        return LEAST_S * exp(number * GROWTH) * (1 - ERROR)  # the middle of its bucket


class Allowance:
    """Second copies are at no moment more than a share of the first sends so far."""

    __slots__ = ("share", "saved")

    def __init__(self, share: float) -> None:
        self.share, self.saved = share, 0.0

    def sent(self) -> None:
        """A job was sent for the first time."""
        self.saved = min(self.saved + self.share, SAVED)

    def left(self) -> bool:
        return self.saved >= 1

    def take(self) -> None:
        self.saved -= 1
