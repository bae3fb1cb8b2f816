"""Rate limit of loads from the weight store over a sliding window; callers pass the time.

A placer starts at most `max_loads_per_s` x `window_s` loads in any window. The operators' rule allows
`allowed_overage` times as many plus RULE_EXTRA_LOADS. Until a new placer knows which loads its predecessor
started, it assumes that the predecessor used its full limit, and starts only the loads that the rule allows
beyond it. It learns them from two sources: placement records, which announce loads, and the reports of
workers. Each order that a worker accepted without an announcement counts as a load that starts now.
"""

from collections import deque
from collections.abc import Iterable

from attrs import define, field

RULE_EXTRA_LOADS = 3  # number of loads per window that the rule allows in addition to the rate
CLOCK_SAFETY_LOADS = 1  # number of allowed loads not used, since the weight store has another clock


@define
class LoadRateLimiter:
    """Limits loads per window by the loads of this placer and the assumed loads of its predecessor."""

    max_loads_per_s: float
    window_s: float
    allowed_overage: float
    predecessor_unknown_until: float = 0.0  # time until which assumed loads count; 0 if none are assumed
    load_times: deque[float] = field(factory=deque)

    def assume_exhausted(self, until: float) -> None:
        """Assumes that a predecessor used its full limit at the time `until`."""
        self.load_times = deque([until] * self.max_loads)
        self.predecessor_unknown_until = until + self.window_s

    def restore(self, load_times: Iterable[float]) -> None:
        """Replaces assumed loads by the newest known ones, at most as many as one placer may start."""
        self.load_times = deque(sorted(load_times)[-self.max_loads :])
        if len(self.load_times) < self.max_loads:
            self.predecessor_unknown_until = 0.0

    @property
    def max_loads(self) -> int:
        """Maximum number of loads that one placer may start in a window."""
        return max(1, int(self.max_loads_per_s * self.window_s))

    @property
    def hard_max_loads(self) -> int:
        """Maximum number of loads that all placers together may start in a window."""
        rule_limit = int(self.max_loads_per_s * self.window_s * self.allowed_overage + RULE_EXTRA_LOADS)
        return max(self.max_loads, rule_limit - CLOCK_SAFETY_LOADS)

    def allows(self, now: float) -> bool:
        """Whether another load may start now."""
        return self.remaining(now) > 0

    def remaining(self, now: float) -> int:
        """Number of loads that may start now."""
        while self.load_times and self.load_times[0] <= now - self.window_s:
            self.load_times.popleft()
        limit = self.hard_max_loads if now < self.predecessor_unknown_until else self.max_loads
        return limit - len(self.load_times)

    def record(self, now: float) -> None:
        """Counts a load that starts now."""
        self.load_times.append(now)

    def withdraw(self, recorded_at: float) -> None:
        """Removes a load that was recorded at `recorded_at` but did not start."""
        if recorded_at in self.load_times:
            self.load_times.remove(recorded_at)
