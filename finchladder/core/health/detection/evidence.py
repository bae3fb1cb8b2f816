"""What endings prove of a real server: a sequential test (Wald 1945) of bad against like the others.

Each ending adds the logarithm of how much likelier it is at a bad one than at one like the fleet, so evidence
of several dispatchers adds up, in any order, and little of it is judged as far as it goes. A case is opened
by a first bad ending and counts from then on, as Page's test does (1954): a good past hides no fault.

| fleet's own rate of bad endings | a bad one fails | a bad ending adds | a good one | break-even |
| --- | --- | --- | --- | --- |
| 0.01 and less | 0.51 | 3.9 | -0.69 | 0.15 |
| 0.1 | 0.55 | 1.7 | -0.69 | 0.29 |
| 0.3 | 0.65 | 0.8 | -0.69 | 0.47 |
| 0.6 and more | 0.8 | 0.3 | -0.69 | 0.71 |

Where all fail alike nobody is a bad one. Counts fade by time (FADE_S) and with each ending (EACH).
"""

from math import exp, log

from finchladder.core.health.outlier_ejection import AttemptSignal

LEAST_RATE, MOST_RATE = 0.01, 0.6  # of bad endings, as the fleet's own
FADE_S, EACH = 8.0, 0.98
RATE_S = 5.0  # after which an ending counts by 1/e in the fleet's own rate
PRIOR = 20.0  # endings at LEAST_RATE that count as seen
SLOW = 5.0  # times the usual running time of its class and kind: from there on a job was too slow
HALF = 0.5
# silence may be a queue: who sends it little hears nothing of its other jobs
WEIGHTS = {
    AttemptSignal.FAILED: 1.0,
    AttemptSignal.SILENT: HALF,
    AttemptSignal.LINK: 1.0,
    AttemptSignal.OVERTAKEN: HALF,
}
STEP = 0.05  # how far one running time moves the usual one
MOST_USUAL = 256  # the list may name any kind
CLIP = 3.0  # a running time counts as so many usual ones at the most


def weights(rate: float) -> tuple[float, float]:
    """What a bad and a good ending add, by the fleet's own rate of bad ones."""
    p = min(MOST_RATE, max(LEAST_RATE, rate))
    q = (1 + p) / 2
    return log(q / p), log((1 - q) / (1 - p))


class Case:
    """One's own counts of one subject, since a first bad ending was seen or heard of."""

    __slots__ = ("bad", "link", "good", "opened", "at")

    def __init__(self, now: float) -> None:
        self.bad = self.link = self.good = 0.0
        self.opened = self.at = now

    def fade(self, now: float, each: float = 1.0) -> None:
        by = each * exp((self.at - now) / FADE_S)
        self.bad, self.link, self.good, self.at = self.bad * by, self.link * by, self.good * by, now

    def add(self, now: float, sign: AttemptSignal, weight: float) -> None:
        self.fade(now, EACH)
        if sign is AttemptSignal.GOOD:
            self.good += 1.0 - weight
            self.bad += weight
        elif sign is AttemptSignal.LINK:
            self.link += weight
        else:
            self.bad += weight


class Rate:
    """Bad endings among all lately, fading."""

    __slots__ = ("ended", "bad", "at")

    def __init__(self, now: float) -> None:
        self.ended = self.bad = 0.0
        self.at = now

    def add(self, now: float, bad: bool) -> None:
        self.fade(now)
        self.ended += 1
        self.bad += bad

    def fade(self, now: float) -> None:
        by = exp((self.at - now) / RATE_S)
        self.ended, self.bad, self.at = self.ended * by, self.bad * by, now

    def of(self, ended: float = 0.0, bad: float = 0.0) -> float:
        """With what others saw."""
        return (LEAST_RATE * PRIOR + self.bad + bad) / (PRIOR + self.ended + ended)


class Usual:
    """Running times of each class at each kind, as they mostly are."""

    __slots__ = ("of",)

    def __init__(self) -> None:
        self.of: dict[tuple[str, str], tuple[float, float]] = {}  # mean, and the weight of the next one

    def slow(self, job_class: str, kind: str, ran_s: float) -> bool:
        """Whether a job ran far too long; takes account of it. 0: not known."""
        if ran_s <= 0 or (len(self.of) >= MOST_USUAL and (job_class, kind) not in self.of):
            return False
        mean, step = self.of.get((job_class, kind), (ran_s, 1.0))
        slow = step < 0.2 and ran_s > SLOW * mean
        mean += step * (min(ran_s, CLIP * mean) - mean)
        self.of[job_class, kind] = mean, max(STEP, step / (1 + step))
        return slow
