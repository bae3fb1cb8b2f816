"""Hedging: when a second copy is sent, and what share of the jobs may get one.

As in "The tail at scale" (Dean and Barroso, CACM 2013): a copy goes out once the first has taken longer than
most do, so few are sent, and whichever ends first counts.
"""

from math import ceil, exp, floor, log

RELATIVE_ERROR = 0.02  # relative, of a percentile
LOG_BUCKET_GROWTH = log(
    (1 + RELATIVE_ERROR) / (1 - RELATIVE_ERROR)
)  # of the bounds of neighbouring buckets, as a logarithm
MIN_LATENCY_S, MAX_LATENCY_S = 1e-3, 3600.0  # times are counted as within these: 378 buckets at the most
MIN_SAMPLES_BEYOND = 10.0  # samples that should lie past a percentile before it is believed
DECAY_SAMPLES = 1000.0  # samples before old ones begin to fade
DECAY_FACTOR = 0.5
ESTIMATE_INTERVAL = 32  # new samples until the percentile is worked out again
MAX_HEDGE_TOKENS = 10.0  # copies that can be saved up


class LatencyPercentile:
    """One percentile of the running times of late: fixed buckets whose bounds grow by a constant factor.

    DDSketch (Masson, Rim and Lee, VLDB 2019): each percentile is known within ERROR of its value. Once it
    holds KEEP samples, or twice what the percentile needs, all counts are halved, so that what is old fades.
    A time costs O(1), and each CHANGED-th one O(buckets log buckets). `add` takes seconds.
    """

    __slots__ = ("percentile", "buckets", "total", "new_count", "value_s")

    def __init__(self, percentile: float) -> None:
        self.percentile = percentile
        self.buckets: dict[int, float] = {}
        self.total, self.new_count = 0.0, 0
        self.value_s: float | None = None  # None: too little is known

    @property
    def min_samples(self) -> float:
        return MIN_SAMPLES_BEYOND / (1 - self.percentile / 100)

    def add(self, took_s: float) -> None:
        number = ceil(log(min(max(took_s, MIN_LATENCY_S), MAX_LATENCY_S) / MIN_LATENCY_S) / LOG_BUCKET_GROWTH)
        self.buckets[number] = self.buckets.get(number, 0.0) + 1
        self.total += 1
        self.new_count += 1
        if self.total >= max(DECAY_SAMPLES, 2 * self.min_samples):
            self.buckets = {n: c * DECAY_FACTOR for n, c in self.buckets.items() if c > DECAY_FACTOR}
            self.total = sum(self.buckets.values())
        if self.new_count >= ESTIMATE_INTERVAL and self.total >= self.min_samples:
            self.new_count = 0
            self.value_s = self._estimate_s()

    def add_longer_than(self, took_s: float) -> None:
        """A time that was cut off tells nothing, unless it was past the percentile already."""
        if self.value_s is not None and took_s >= self.value_s:
            self.add(took_s)

    def _estimate_s(self) -> float:
        rank = floor(self.percentile / 100 * (self.total - 1))
        passed, number = 0.0, 0
        for number in sorted(self.buckets):
            passed += self.buckets[number]
            if passed > rank:
                break
        return (
            MIN_LATENCY_S * exp(number * LOG_BUCKET_GROWTH) * (1 - RELATIVE_ERROR)
        )  # the middle of its bucket


class HedgeBudget:
    """Second copies are at no moment more than a share of the first sends so far."""

    __slots__ = ("share", "tokens")

    def __init__(self, share: float) -> None:
        self.share, self.tokens = share, 0.0

    def record_first_send(self) -> None:
        """A job was sent for the first time."""
        self.tokens = min(self.tokens + self.share, MAX_HEDGE_TOKENS)

    def has_token(self) -> bool:
        return self.tokens >= 1

    def take_token(self) -> None:
        self.tokens -= 1
