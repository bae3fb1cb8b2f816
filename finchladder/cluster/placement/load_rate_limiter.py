"""How many loads from the weight store may still begin; times are passed in.

A placer begins at most `rate_s` x `window_s` loads in any window. The rule allows `overage` times as many and
a few more; until a new placer knows what the one before it began, it counts with the most that this may have
been, and uses what the rule leaves beyond. It learns it from two sides: placement records tell the loads that
were announced, and what workers have taken beyond their records counts as loads of this moment.
"""

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from finchladder.cluster.types.workers import PlacementRecord

RULE_EXTRA_LOADS = 3  # loads that the rule allows beyond the rate


@define
class LoadRateLimiter:
    """Loads that this placer began, or assumes that others did."""

    max_loads_per_s: float
    window_s: float
    allowed_overage: float
    predecessor_unknown_until: float = 0.0  # up to then others' loads count in the window
    load_times: deque[float] = field(factory=deque)

    def assume_exhausted(self, until: float) -> None:
        """Another placer may have begun all that it may, up to that moment."""
        self.load_times = deque([until] * self.max_loads)
        self.predecessor_unknown_until = until + self.window_s

    def restore(self, load_times: Iterable[float]) -> None:
        """What others began lately is known, unless it is more than one placer begins."""
        self.load_times = deque(sorted(load_times)[-self.max_loads :])
        if len(self.load_times) < self.max_loads:
            self.predecessor_unknown_until = 0.0

    @property
    def max_loads(self) -> int:
        """Loads that one window may hold."""
        return max(1, int(self.max_loads_per_s * self.window_s))

    def allows(self, now: float) -> bool:
        """Whether another load may begin."""
        return self.remaining(now) > 0

    def remaining(self, now: float) -> int:
        """How many loads may begin now."""
        while self.load_times and self.load_times[0] <= now - self.window_s:
            self.load_times.popleft()
        most = self.hard_max_loads if now < self.predecessor_unknown_until else self.max_loads
        return most - len(self.load_times)

    @property
    def hard_max_loads(self) -> int:
        """Loads that the rule allows in one window, less one for clocks that differ."""
        return max(
            self.max_loads,
            int(self.max_loads_per_s * self.window_s * self.allowed_overage + RULE_EXTRA_LOADS) - 1,
        )

    def record(self, now: float) -> None:
        """A load may have begun."""
        self.load_times.append(now)

    def withdraw(self, recorded_at: float) -> None:
        """The load that was noted at that moment has not begun."""
        if recorded_at in self.load_times:
            self.load_times.remove(recorded_at)


@frozen
class AnnouncedLoads:
    """What one placement record tells: when loads from the store began at the worker."""

    serial: int
    load_times: tuple[float, ...]


@define
class AnnouncedLoadLog:
    """Loads from the store that placers announced, as any member of the core sees them. A record is older
    than the moment at which it is seen, so a load counts for no shorter than it should.
    """

    window_s: float
    by_worker_and_token: dict[tuple[str, int], AnnouncedLoads] = field(
        factory=dict
    )  # by instance and fencing token

    def record(self, now: float, records: Iterable[PlacementRecord]) -> None:
        """These records are known now. O(records)."""
        for record in records:
            key = record.instance, record.token
            known = self.by_worker_and_token.get(key)
            if record.load_ages_ms and (known is None or known.serial < record.serial):
                began = tuple(now - age_ms / 1000 for age_ms in record.load_ages_ms)
                self.by_worker_and_token[key] = AnnouncedLoads(record.serial, began)

    def expire(self, now: float) -> None:
        """Drops what lies before the window."""
        since = now - self.window_s
        self.by_worker_and_token = {
            key: a for key, a in self.by_worker_and_token.items() if max(a.load_times) > since
        }

    def recent_loads(self, now: float, instances: Iterable[str]) -> list[float]:
        """When loads at these workers began, as far as that lies in the window."""
        wanted, since = set(instances), now - self.window_s
        return [
            at
            for (instance, _), announced in self.by_worker_and_token.items()
            if instance in wanted
            for at in announced.load_times
            if at > since
        ]
