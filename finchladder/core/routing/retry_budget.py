"""Retry budget: limits retries to a share of the first sends of a sliding window.

As in Finagle's RetryBudget (Twitter, 2015), each first send adds a share of a token, each retry takes one,
both expire with a sliding window, and a minimum rate of retries is always allowed. Beyond that minimum rate,
a failing fleet receives at most 1 + share times the sends that it would receive without retries, however
many attempts a job may have.
"""

from finchladder.core.routing.routes import RetryBudget

SLICE_COUNT = 10  # number of slices of the window; the counts of one slice expire together
ROUNDING_TOLERANCE = 1e-9  # the product of `share` and first sends may be rounded down


class RetryBudgetWindow:
    """Counts first sends and retries in a sliding window, and limits the retries.

    In the last SLICE_COUNT slices, which with the current one cover 0.9 to 1 times `window_s`, retries are
    at most share x first sends + least_per_s x 0.9 x window_s. Times are seconds of the caller's clock. A
    call costs O(1 + expired slices); memory is SLICE_COUNT pairs of counts.
    """

    __slots__ = ("share", "floor", "window_s", "slice_s", "slices", "first_sends", "retries")

    def __init__(self, rule: RetryBudget) -> None:
        self.window_s, self.slice_s = rule.window_s, rule.window_s / SLICE_COUNT
        self.slices: list[list[int]] = []  # [slice number, first sends, retries]; oldest first
        self.first_sends = self.retries = 0  # sums over all slices
        self.reconfigure(rule)

    def reconfigure(self, rule: RetryBudget) -> None:
        """Replaces the limits, except the window length; the counts are preserved."""
        self.share, self.floor = rule.share, rule.least_per_s * self.slice_s * (SLICE_COUNT - 1)

    def record_first_send(self, now: float) -> None:
        """Counts the first send of a job."""
        self._current_slice(now)[1] += 1
        self.first_sends += 1

    def may_retry(self, now: float) -> bool:
        """Whether the budget allows one more retry."""
        self._current_slice(now)
        return self.retries + 1 <= self.share * self.first_sends + self.floor + ROUNDING_TOLERANCE

    def try_spend(self, now: float) -> bool:
        """Counts a retry if the budget allows it, and returns whether it does."""
        if not self.may_retry(now):
            return False
        self._current_slice(now)[2] += 1
        self.retries += 1
        return True

    def _current_slice(self, now: float) -> list[int]:
        number = int(now / self.slice_s)
        while self.slices and self.slices[0][0] <= number - SLICE_COUNT:
            _, firsts, spent = self.slices.pop(0)
            self.first_sends -= firsts
            self.retries -= spent
        if not self.slices or self.slices[-1][0] < number:
            self.slices.append([number, 0, 0])
        return self.slices[-1]
