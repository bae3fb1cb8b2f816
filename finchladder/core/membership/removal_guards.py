"""Two guards of the merged list: against mass removals, and against flapping entries.

Neither retains a worker that was reported as draining.
"""

from collections import OrderedDict
from enum import Enum
from math import inf
from typing import NamedTuple

from finchladder.core.api import WorkerEntry

RETURN_QUIET_S = 1.0  # removals are final if no held worker has returned for this time
# workers with stored departures; the one that departed least recently is evicted first
MAX_FLAPPING_WORKERS = 16_384


class GuardState(Enum):
    """State of the guard against mass removals."""

    NORMAL = "calm"  # removals are applied
    PROTECTING = "holding"  # removed workers, also those of the window, are held until confirmed


class GuardEvent(Enum):
    """Events that change the guard's state."""

    MASS_REMOVAL = "mass"  # more than the allowed fraction was removed within the window
    NONE_RETAINED = "over"  # no removal is held anymore
    # enough workers returned or joined: at most the allowed fraction is held, and none returned lately
    BELOW_THRESHOLD = "few"
    # retention_s has passed; held workers that no other source lists are removed, if others are ready
    RETENTION_EXPIRED = "waited"


TRANSITIONS = {
    (GuardState.NORMAL, GuardEvent.MASS_REMOVAL): GuardState.PROTECTING,
    (GuardState.PROTECTING, GuardEvent.NONE_RETAINED): GuardState.NORMAL,
    (GuardState.PROTECTING, GuardEvent.BELOW_THRESHOLD): GuardState.NORMAL,
    (GuardState.PROTECTING, GuardEvent.RETENTION_EXPIRED): GuardState.PROTECTING,
}


class Removal(NamedTuple):
    """A worker that left the list without draining, with its last entry."""

    removed_at: float
    entry: WorkerEntry
    address: tuple[str, int]


class MassRemovalGuard:
    """Records removals without draining: in NORMAL state those of the window, in PROTECTING the held ones.

    Each call costs O(1), plus O(1) for each returned removal and for each one that leaves the window.
    """

    def __init__(self, max_fraction: float, window_s: float, retention_s: float) -> None:
        self.max_fraction, self.window_s, self.retention_s = max_fraction, window_s, retention_s
        self.state = GuardState.NORMAL
        self.recent_removals: OrderedDict[str, Removal] = OrderedDict()
        self.retained: dict[str, None] = {}
        self.retained_until = inf  # time until which the held removals wait for a confirmation
        self.last_return_at = 0.0  # time at which a held worker was last listed again

    @property
    def is_protecting(self) -> bool:
        """Whether removals are currently held back."""
        return self.state is GuardState.PROTECTING

    def record_removal(self, now: float, name: str, entry: WorkerEntry, address: tuple[str, int]) -> None:
        """Records a worker that left the list without draining."""
        self.recent_removals[name] = Removal(now, entry, address)

    def resolve(self, name: str) -> None:
        """Discards the removal of a worker that is listed again or confirmed as removed."""
        self.recent_removals.pop(name, None)
        self.retained.pop(name, None)

    def record_return(self, now: float, name: str) -> None:
        """Records a worker that is listed again."""
        if name in self.retained:
            self.last_return_at = now
        self.resolve(name)

    def retain(self, name: str) -> None:
        """Holds back the removal of a worker."""
        self.retained[name] = None

    def detect_mass_removal(self, now: float, listed: int, more: int = 0) -> dict[str, Removal] | None:
        """Detects a mass removal.

        Args:
            now: Current time, in seconds.
            listed: Number of listed workers.
            more: Number of these that are being removed now.

        Returns:
            The removals of the window, which the caller restores, or None if there is no mass removal.
        """
        while (
            self.recent_removals
            and next(iter(self.recent_removals.values())).removed_at + self.window_s <= now
        ):
            self.recent_removals.popitem(last=False)
        if self.is_protecting or len(self.recent_removals) + more <= self.max_fraction * (
            listed + len(self.recent_removals)
        ):
            return None
        self.state = TRANSITIONS[self.state, GuardEvent.MASS_REMOVAL]
        self.retained_until, self.last_return_at = now + self.retention_s, now
        removals, self.recent_removals = dict(self.recent_removals), OrderedDict()
        self.retained = dict.fromkeys(removals)
        return removals

    def advance(self, now: float, listed: int, others: int) -> GuardEvent | None:
        """Returns the event due at `now`, if any.

        `listed`: number of listed workers, including held ones. `others`: number of ready workers not held.
        """
        if not self.is_protecting:
            return None
        if not self.retained:
            event = GuardEvent.NONE_RETAINED
        elif self._is_below_threshold(listed) and now >= self.last_return_at + RETURN_QUIET_S:
            event = GuardEvent.BELOW_THRESHOLD
        elif now >= self.retained_until:
            self.retained_until = now + self.retention_s
            if not others:
                return None
            event = GuardEvent.RETENTION_EXPIRED
        else:
            return None
        self.state = TRANSITIONS[self.state, event]
        return event

    def _is_below_threshold(self, listed: int) -> bool:
        return len(self.retained) <= self.max_fraction * listed

    def next_due(self, listed: int) -> float:
        """Returns when `advance` next has an effect; inf: never."""
        if not self.is_protecting:
            return inf
        if not self.retained:
            return -inf
        return min(
            self.retained_until,
            self.last_return_at + RETURN_QUIET_S if self._is_below_threshold(listed) else inf,
        )


class FlapDamping:
    """Counts how often workers stop being ready; flapping ones must stay ready for a while before use."""

    def __init__(self, max_departures: int, window_s: float, min_ready_s: float) -> None:
        self.max_departures, self.window_s, self.min_ready_s = max_departures, window_s, min_ready_s
        self.departures: OrderedDict[str, tuple[float, ...]] = (
            OrderedDict()
        )  # times of the last `max_departures` departures of each worker
        self.damped: OrderedDict[str, float] = OrderedDict()  # time since which each worker is ready

    def record_departure(self, now: float, name: str) -> None:
        """Records that a worker stopped being ready."""
        self.departures[name] = (*self.departures.get(name, ()), now)[-self.max_departures :]
        self.departures.move_to_end(name)
        while (
            len(self.departures) > MAX_FLAPPING_WORKERS
            or next(iter(self.departures.values()))[-1] + self.window_s <= now
        ):
            self.departures.popitem(last=False)

    def is_flapping(self, now: float, name: str) -> bool:
        """Whether a worker stopped being ready too often within the window."""
        times = self.departures.get(name, ())
        return len(times) == self.max_departures and times[0] + self.window_s > now

    def damp(self, now: float, name: str) -> None:
        """Begins the waiting time of a flapping worker."""
        self.damped.setdefault(name, now)

    def undamp(self, name: str) -> None:
        """Ends the damping of a worker."""
        self.damped.pop(name, None)

    def find_stable(self, now: float) -> list[str]:
        """Returns the damped workers that have been ready for long enough."""
        found = []
        for name, since in self.damped.items():
            if since + self.min_ready_s > now:
                break
            found.append(name)
        return found

    def next_due(self) -> float:
        """Returns when the first damped worker becomes stable; inf: never."""
        return next(iter(self.damped.values()), inf) + self.min_ready_s
