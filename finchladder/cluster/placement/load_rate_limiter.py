"""Rate limit of loads from the weight store over a sliding window; times are passed in.

A placer begins at most `max_loads_per_s` x `window_s` loads in any window. The rule allows `allowed_overage`
times as many and a few more. Until a new placer knows what its predecessor began, it assumes the most that
the predecessor may have begun, and uses only what the rule leaves beyond. It learns it from two sources:
placement records announce loads, and orders that workers have taken beyond their records count as loads that
begin now.
"""

from collections import deque
from collections.abc import Iterable

from attrs import define, field

RULE_EXTRA_LOADS = 3  # loads that the rule allows in a window beyond the rate
CLOCK_SAFETY_LOADS = 1  # left unused, since the clocks of the placer and the weight store differ


@define
class LoadRateLimiter:
    """Log of the loads that this placer began, or assumes that its predecessor did."""

    max_loads_per_s: float
    window_s: float
    allowed_overage: float
    predecessor_unknown_until: float = 0.0  # up to then assumed loads are in the window
    load_times: deque[float] = field(factory=deque)

    def assume_exhausted(self, until: float) -> None:
        """Assumes that a predecessor used its full budget at this moment."""
        self.load_times = deque([until] * self.max_loads)
        self.predecessor_unknown_until = until + self.window_s

    def restore(self, load_times: Iterable[float]) -> None:
        """Replaces assumed loads by known ones; the newest, if there are more than one placer may begin."""
        self.load_times = deque(sorted(load_times)[-self.max_loads :])
        if len(self.load_times) < self.max_loads:
            self.predecessor_unknown_until = 0.0

    @property
    def max_loads(self) -> int:
        """Loads that one placer may begin in a window."""
        return max(1, int(self.max_loads_per_s * self.window_s))

    @property
    def hard_max_loads(self) -> int:
        """Loads that all placers together may begin in a window."""
        rule_limit = int(self.max_loads_per_s * self.window_s * self.allowed_overage + RULE_EXTRA_LOADS)
        return max(self.max_loads, rule_limit - CLOCK_SAFETY_LOADS)

    def allows(self, now: float) -> bool:
        """Whether another load may begin."""
        return self.remaining(now) > 0

    def remaining(self, now: float) -> int:
        """How many loads may begin now."""
        while self.load_times and self.load_times[0] <= now - self.window_s:
            self.load_times.popleft()
        limit = self.hard_max_loads if now < self.predecessor_unknown_until else self.max_loads
        return limit - len(self.load_times)

    def record(self, now: float) -> None:
        """Counts a load that may begin now."""
        self.load_times.append(now)

    def withdraw(self, recorded_at: float) -> None:
        """Removes a load that was recorded at that moment and did not begin."""
        if recorded_at in self.load_times:
            self.load_times.remove(recorded_at)
