"""How many loads from the weight store may still begin; times are passed in.

Every window of `window_s` may hold `rate_s` x `window_s` loads. A new placer does not know what the one
before it has begun, and counts the window that ends at its own beginning as full.
"""

from collections import deque

from attrs import define, field


@define
class LoadLedger:
    """Loads that this placer began, or assumes that others did."""

    rate_s: float
    window_s: float
    began: deque[float] = field(factory=deque)

    def assume_full(self, now: float) -> None:
        """Others may have begun all that the window allows, up to now."""
        self.began = deque([now] * self.most)

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
        return self.most - len(self.began)

    def note(self, now: float) -> None:
        """A load may have begun."""
        self.began.append(now)
