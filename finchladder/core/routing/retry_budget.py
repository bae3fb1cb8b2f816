"""Retry budget: how many resends the first sends of a short while allow.

As Finagle's RetryBudget (Twitter, 2015): first sends deposit a share of a token each, resends take one, both
are forgotten after a while, and a few a second are allowed however little is sent. A fleet that fails is then
sent at most 1 + share times what it would be sent without retries, whatever attempts a job may have.
"""

from finchladder.core.routing.routes import RetryBudget

SLICES = 10  # of the window: what is counted is forgotten a slice at a time
NEAR = 1e-9  # shares are not exact


class Budget:
    """O(1) a call, but for slices that have passed; SLICES pairs of counts are held.

    At any moment, of the last SLICES slices (the present one included, so 0.9 to 1 window): resends are at
    most share x first sends + least_per_s x 0.9 window.
    """

    __slots__ = ("share", "floor", "window_s", "width_s", "slices", "firsts", "spent")

    def __init__(self, rule: RetryBudget) -> None:
        self.window_s, self.width_s = rule.window_s, rule.window_s / SLICES
        self.slices: list[list[int]] = []  # number, first sends, resends; oldest first
        self.firsts = self.spent = 0  # of all slices
        self.tune(rule)

    def tune(self, rule: RetryBudget) -> None:
        """Other figures for the same window: what was counted stays."""
        self.share, self.floor = rule.share, rule.least_per_s * self.width_s * (SLICES - 1)

    def sent(self, now: float) -> None:
        """A job was sent for the first time."""
        self._present(now)[1] += 1
        self.firsts += 1

    def left(self, now: float) -> bool:
        """Whether one more resend is allowed."""
        self._present(now)
        return self.spent + 1 <= self.share * self.firsts + self.floor + NEAR

    def take(self, now: float) -> bool:
        """Takes a resend out of it, if there is one left."""
        if not self.left(now):
            return False
        self._present(now)[2] += 1
        self.spent += 1
        return True

    def _present(self, now: float) -> list[int]:
        number = int(now / self.width_s)
        while self.slices and self.slices[0][0] <= number - SLICES:
            _, firsts, spent = self.slices.pop(0)
            self.firsts -= firsts
            self.spent -= spent
        if not self.slices or self.slices[-1][0] < number:
            self.slices.append([number, 0, 0])
        return self.slices[-1]
