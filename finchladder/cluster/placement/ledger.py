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

    def know(self, began: Iterable[float]) -> None:
        """What others began lately is known, unless it is more than one placer begins."""
        self.began = deque(sorted(began)[-self.most :])
        if len(self.began) < self.most:
            self.unknown_until = 0.0

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

    def withdraw(self, at: float) -> None:
        """The load that was noted at that moment has not begun."""
        if at in self.began:
            self.began.remove(at)


@frozen
class Announced:
    """What one placement record tells: when loads from the store began at the worker."""

    serial: int
    began: tuple[float, ...]


@define
class ObservedLoads:
    """Loads from the store that placers announced, as any member of the core sees them. A record is older
    than the moment at which it is seen, so a load counts for no shorter than it should.
    """

    window_s: float
    by_worker: dict[tuple[str, int], Announced] = field(factory=dict)  # by instance and fencing token

    def note(self, now: float, records: Iterable[PlacementRecord]) -> None:
        """These records are known now. O(records)."""
        for record in records:
            key = record.instance, record.token
            known = self.by_worker.get(key)
            if record.load_ages_ms and (known is None or known.serial < record.serial):
                began = tuple(now - age_ms / 1000 for age_ms in record.load_ages_ms)
                self.by_worker[key] = Announced(record.serial, began)

    def forget(self, now: float) -> None:
        """Drops what lies before the window."""
        since = now - self.window_s
        self.by_worker = {key: a for key, a in self.by_worker.items() if max(a.began) > since}

    def within(self, now: float, instances: Iterable[str]) -> list[float]:
        """When loads at these workers began, as far as that lies in the window."""
        wanted, since = set(instances), now - self.window_s
        return [
            at
            for (instance, _), announced in self.by_worker.items()
            if instance in wanted
            for at in announced.began
            if at > since
        ]
