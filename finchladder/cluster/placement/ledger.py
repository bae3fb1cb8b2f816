"""How many loads from the weight store may still begin; times are passed in.

A placer begins at most `rate_s` x `window_s` loads in any window. The rule allows `overage` times as many and
a few more; a new placer does not know what the one before it began, counts with the most that it may have
begun, and uses what the rule leaves beyond that.
"""

from collections import deque

from attrs import define, field

RULE_SLACK = 3  # loads that the rule allows beyond the rate


@define
class LoadLedger:
    """Loads that this placer began, or assumes that others did."""

    rate_s: float
    window_s: float
    overage: float
    unknown_until: float = 0.0  # up to then others' loads count in the window
    began: deque[float] = field(factory=deque)

    def assume_full(self, until: float) -> None:
        """Another placer may have begun all that it may, up to that moment."""
        self.began = deque([until] * self.most)
        self.unknown_until = until + self.window_s

    @property
    def most(self) -> int:
        """Loads that one window may hold."""
        return max(1, int(self.rate_s * self.window_s))

    def allows(self, now: float) -> bool:
        """Whether another load may begin."""
        return self.left(now) > 0

    def left(self, now: float) -> int:
        """How many loads may begin now."""
        while self.began and self.began[0] <= now - self.window_s:
            self.began.popleft()
        most = self.hard_most if now < self.unknown_until else self.most
        return most - len(self.began)

    @property
    def hard_most(self) -> int:
        """Loads that the rule allows in one window, less one for clocks that differ."""
        return max(self.most, int(self.rate_s * self.window_s * self.overage + RULE_SLACK) - 1)

    def note(self, now: float) -> None:
        """A load may have begun."""
        self.began.append(now)
