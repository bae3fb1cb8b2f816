"""Hedged requests: when a hedge is sent, and what share of the jobs may be hedged.

A hedge is a second attempt of a job while the first is still open. As in "The tail at scale" (Dean and
Barroso, CACM 2013), it is sent once the first attempt has taken longer than a high percentile of the
latencies, so few are sent, and the first answer counts.
"""

from math import ceil, exp, floor, log

RELATIVE_ERROR = 0.02  # maximum relative error of an estimated percentile
# logarithm of the ratio of a bucket's upper bound to its lower bound
LOG_BUCKET_GROWTH = log((1 + RELATIVE_ERROR) / (1 - RELATIVE_ERROR))
MIN_LATENCY_S, MAX_LATENCY_S = 1e-3, 3600.0  # latencies are clamped to this range: at most 378 buckets
MIN_SAMPLES_BEYOND = 10.0  # minimum expected number of samples beyond the percentile for an estimate
DECAY_SAMPLES = 1000.0  # number of samples at which counts are decayed; higher at high percentiles
DECAY_FACTOR = 0.5
ESTIMATE_INTERVAL = 32  # number of new samples between two estimates
MAX_HEDGE_TOKENS = 10.0  # maximum number of accumulated tokens; a hedge takes one


class LatencyPercentile:
    """Estimates one percentile of recent latencies, in seconds, from logarithmic buckets.

    DDSketch (Masson, Rim and Lee, VLDB 2019): the estimate is within RELATIVE_ERROR of the true value. At
    DECAY_SAMPLES samples or twice `min_samples`, whichever is more, all counts are halved, so that old
    samples lose weight. A sample costs O(1), and each ESTIMATE_INTERVAL-th one O(buckets log buckets).
    """

    __slots__ = ("percentile", "buckets", "total", "new_count", "value_s")

    def __init__(self, percentile: float) -> None:
        self.percentile = percentile
        self.buckets: dict[int, float] = {}
        self.total, self.new_count = 0.0, 0
        self.value_s: float | None = None  # estimated percentile of the latencies; None: too few samples

    @property
    def min_samples(self) -> float:
        """Minimum number of samples for an estimate."""
        return MIN_SAMPLES_BEYOND / (1 - self.percentile / 100)

    def add(self, latency_s: float) -> None:
        """Adds the latency of a completed attempt."""
        number = ceil(
            log(min(max(latency_s, MIN_LATENCY_S), MAX_LATENCY_S) / MIN_LATENCY_S) / LOG_BUCKET_GROWTH
        )
        self.buckets[number] = self.buckets.get(number, 0.0) + 1
        self.total += 1
        self.new_count += 1
        if self.total >= max(DECAY_SAMPLES, 2 * self.min_samples):
            self.buckets = {n: c * DECAY_FACTOR for n, c in self.buckets.items() if c > DECAY_FACTOR}
            self.total = sum(self.buckets.values())
        if self.new_count >= ESTIMATE_INTERVAL and self.total >= self.min_samples:
            self.new_count = 0
            self.value_s = self._estimate_s()

    def add_longer_than(self, latency_s: float) -> None:
        """Adds an attempt that was cut off after `latency_s`, so that its latency would have been longer.

        It is counted as a sample of `latency_s` only if that is at least the estimated percentile.
        """
        if self.value_s is not None and latency_s >= self.value_s:
            self.add(latency_s)

    def _estimate_s(self) -> float:
        rank = floor(self.percentile / 100 * (self.total - 1))
        passed, number = 0.0, 0
        for number in sorted(self.buckets):
            passed += self.buckets[number]
            if passed > rank:
                break
        # the value whose relative distance from both bounds of the bucket is RELATIVE_ERROR
        return MIN_LATENCY_S * exp(number * LOG_BUCKET_GROWTH) * (1 - RELATIVE_ERROR)


class HedgeBudget:
    """Token budget that limits hedges to a share of the jobs' first sends."""

    __slots__ = ("share", "tokens")

    def __init__(self, share: float) -> None:
        self.share, self.tokens = share, 0.0

    def record_first_send(self) -> None:
        """Adds `share` of a token for a job's first send."""
        self.tokens = min(self.tokens + self.share, MAX_HEDGE_TOKENS)

    def has_token(self) -> bool:
        """Whether the budget allows one more hedge."""
        return self.tokens >= 1

    def take_token(self) -> None:
        """Takes the token of one hedge; the caller must have checked `has_token`."""
        self.tokens -= 1
