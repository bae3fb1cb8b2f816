"""Retry budget: how many resends the first sends of a short while allow.

As Finagle's RetryBudget (Twitter, 2015): first sends deposit a share of a token each, resends take one, both
are forgotten after a while, and a few a second are allowed however little is sent. A fleet that fails is then
sent at most 1 + share times what it would be sent without retries, whatever attempts a job may have.
"""

from finchladder.core.routing.routes import RetryBudget

SLICE_COUNT = 10  # of the window: what is counted is forgotten a slice at a time
ROUNDING_TOLERANCE = 1e-9  # shares are not exact


class RetryBudgetWindow:
    """O(1) a call, but for slices that have passed; SLICES pairs of counts are held.

    At any moment, of the last SLICES slices (the present one included, so 0.9 to 1 window): resends are at
    most share x first sends + least_per_s x 0.9 window.
    """

    __slots__ = ("share", "floor", "window_s", "slice_s", "slices", "first_sends", "retries")

    def __init__(self, rule: RetryBudget) -> None:
        self.window_s, self.slice_s = rule.window_s, rule.window_s / SLICE_COUNT
        self.slices: list[list[int]] = []  # number, first sends, resends; oldest first
        self.first_sends = self.retries = 0  # of all slices
        self.reconfigure(rule)

    def reconfigure(self, rule: RetryBudget) -> None:
        """Other figures for the same window: what was counted stays."""
        self.share, self.floor = rule.share, rule.least_per_s * self.slice_s * (SLICE_COUNT - 1)

    def record_first_send(self, now: float) -> None:
        """A job was sent for the first time."""
        self._current_slice(now)[1] += 1
        self.first_sends += 1

    def may_retry(self, now: float) -> bool:
        """Whether one more resend is allowed."""
        self._current_slice(now)
        return self.retries + 1 <= self.share * self.first_sends + self.floor + ROUNDING_TOLERANCE

    def try_spend(self, now: float) -> bool:
        """Takes a resend out of it, if there is one left."""
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
