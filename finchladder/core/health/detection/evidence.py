"""Evidence that a worker is bad: a sequential probability ratio test (Wald 1945) over the attempts there.

Each attempt adds the logarithm of a likelihood ratio: the probability of its outcome at a bad worker divided
by that at a worker with the fleet's base rate of bad attempts. The evidence of several dispatchers therefore
adds up in any order, and few attempts yield a score near 0. Counting starts with the first bad
attempt, as in Page's CUSUM test (1954), so that earlier good attempts do not mask a new fault.

| base rate of bad attempts | rate at a bad worker | a bad attempt adds | a good one adds | score 0 at rate |
| --- | --- | --- | --- | --- |
| 0.01 and less | 0.51 | 3.9 | -0.69 | 0.15 |
| 0.1 | 0.55 | 1.7 | -0.69 | 0.29 |
| 0.3 | 0.65 | 0.8 | -0.69 | 0.47 |
| 0.6 and more | 0.8 | 0.3 | -0.69 | 0.71 |

The last column is the rate of bad attempts at which a worker's score neither rises nor falls on average. If
all workers fail at the same rate, none of them is an outlier. Counts decay with time (DECAY_S) and with
each attempt (DECAY_PER_ATTEMPT).
"""

from math import exp, log

from finchladder.core.health.outlier_ejection import AttemptSignal

MIN_BASE_RATE, MAX_BASE_RATE = 0.01, 0.6  # limits of the fleet's base rate of bad attempts
# time after which a count has decayed to 1/e; factor applied to all counts with each new attempt
DECAY_S, DECAY_PER_ATTEMPT = 8.0, 0.98
RATE_DECAY_S = 5.0  # time after which an attempt's weight in the base rate is 1/e
PRIOR_ATTEMPTS = 20.0  # attempts with a bad rate of MIN_BASE_RATE that are added to the observed ones
SLOW_FACTOR = 5.0  # a run time above this multiple of the mean of its class and kind is slow
HALF_WEIGHT = 0.5
# weight of an attempt as a bad one: half for silent and overtaken attempts, as they may only have waited in
# the worker's queue: a dispatcher that sends few jobs to a worker has too few others to detect this
WEIGHTS = {
    AttemptSignal.FAILED: 1.0,
    AttemptSignal.SILENT: HALF_WEIGHT,
    AttemptSignal.LINK: 1.0,
    AttemptSignal.OVERTAKEN: HALF_WEIGHT,
}
MIN_STEP = 0.05  # final weight of a new run time in the mean; it starts at 1 and decreases
MAX_BASELINES = 256  # maximum number of means: endpoint lists may name any kind of worker
MAX_RUN_TIME_FACTOR = 3.0  # a longer run time is reduced to this multiple of the mean


def log_likelihood_ratios(base_rate: float) -> tuple[float, float]:
    """Returns what a bad and a good attempt add to the score at this base rate of bad attempts."""
    p = min(MAX_BASE_RATE, max(MIN_BASE_RATE, base_rate))
    q = (1 + p) / 2
    return log(q / p), log((1 - q) / (1 - p))


class Evidence:
    """This dispatcher's decaying counts of attempts at one subject, from its first bad attempt on.

    The bad attempt that opens the counts is this dispatcher's own or one reported by a peer.
    """

    __slots__ = ("bad", "link", "good", "opened_at", "updated_at")

    def __init__(self, now: float) -> None:
        self.bad = self.link = self.good = 0.0
        self.opened_at = self.updated_at = now

    def decay(self, now: float, factor: float = 1.0) -> None:
        """Decays the counts for the time up to `now`, and multiplies them by `factor`."""
        by = factor * exp((self.updated_at - now) / DECAY_S)
        self.bad, self.link, self.good, self.updated_at = self.bad * by, self.link * by, self.good * by, now

    def add(self, now: float, signal: AttemptSignal, bad_weight: float) -> None:
        """Counts an attempt; `bad_weight` from 0 to 1 is the part of it that counts as bad."""
        self.decay(now, DECAY_PER_ATTEMPT)
        if signal is AttemptSignal.GOOD:
            self.good += 1.0 - bad_weight
            self.bad += bad_weight
        elif signal is AttemptSignal.LINK:
            self.link += bad_weight
        else:
            self.bad += bad_weight


class BaseRate:
    """Share of bad attempts among recent attempts at all workers; the counts decay with time."""

    __slots__ = ("attempts", "bad_attempts", "updated_at")

    def __init__(self, now: float) -> None:
        self.attempts = self.bad_attempts = 0.0
        self.updated_at = now

    def add(self, now: float, is_bad: bool) -> None:
        """Counts an attempt."""
        self.decay(now)
        self.attempts += 1
        self.bad_attempts += is_bad

    def decay(self, now: float) -> None:
        """Decays the counts for the time up to `now`."""
        by = exp((self.updated_at - now) / RATE_DECAY_S)
        self.attempts, self.bad_attempts, self.updated_at = self.attempts * by, self.bad_attempts * by, now

    def value(self, peer_attempts: float = 0.0, peer_bad_attempts: float = 0.0) -> float:
        """Returns the rate over the attempts of this dispatcher, its peers and the prior."""
        return (MIN_BASE_RATE * PRIOR_ATTEMPTS + self.bad_attempts + peer_bad_attempts) / (
            PRIOR_ATTEMPTS + self.attempts + peer_attempts
        )


class RunTimeBaseline:
    """Moving average of the run time of each job class on each kind of worker."""

    __slots__ = ("means",)

    def __init__(self) -> None:
        # mean in seconds, and the weight of the next run time in it, by class and kind of worker
        self.means: dict[tuple[str, str], tuple[float, float]] = {}

    def is_slow(self, job_class: str, kind: str, run_time_s: float) -> bool:
        """Updates the mean, and returns whether the run time exceeds SLOW_FACTOR times the mean before.

        An unknown run time (0) is ignored, and none is slow before the mean has enough run times.
        """
        if run_time_s <= 0 or (len(self.means) >= MAX_BASELINES and (job_class, kind) not in self.means):
            return False
        mean, step = self.means.get((job_class, kind), (run_time_s, 1.0))
        slow = step < 0.2 and run_time_s > SLOW_FACTOR * mean
        mean += step * (min(run_time_s, MAX_RUN_TIME_FACTOR * mean) - mean)
        self.means[job_class, kind] = mean, max(MIN_STEP, step / (1 + step))
        return slow
