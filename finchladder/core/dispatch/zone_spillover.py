"""Zone spillover: sends a share of the work to another zone while the home zone is full, without flapping.

Free capacity of the home zone is computed as if the spilled work ran there, as the slots that spillover frees
are no reason to end it. Each state change requires its condition to hold for a time, which is longer if
spilling started again soon after its last start. Work returns to the home zone gradually.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

# Limit of `duration_factor`, which doubles each time that spilling starts again soon after its last start.
MAX_DURATION_FACTOR = 8.0


class SpilloverState(Enum):
    """Whether work is sent to another zone."""

    HOME = "home"
    SPILLING = "spilling"
    RETURNING = "returning"


class SpilloverEvent(Enum):
    """Causes of state changes, see TRANSITIONS."""

    HOME_FULL = "full"  # the home zone has been full for full_s, and another zone is not full
    HOME_HAS_CAPACITY = "room"  # the home zone has had enough free slots for all work for back_s
    RETURNED = "done"  # no work is spilled any more
    NO_TARGET = "nowhere"  # for full_s, no other zone has had enough open slots


TRANSITIONS = {
    (SpilloverState.HOME, SpilloverEvent.HOME_FULL): SpilloverState.SPILLING,
    (SpilloverState.SPILLING, SpilloverEvent.HOME_HAS_CAPACITY): SpilloverState.RETURNING,
    (SpilloverState.SPILLING, SpilloverEvent.NO_TARGET): SpilloverState.HOME,
    (SpilloverState.RETURNING, SpilloverEvent.HOME_FULL): SpilloverState.SPILLING,
    (SpilloverState.RETURNING, SpilloverEvent.RETURNED): SpilloverState.HOME,
    (SpilloverState.RETURNING, SpilloverEvent.NO_TARGET): SpilloverState.HOME,
}


@dataclass(frozen=True, slots=True)
class SpilloverSettings:
    """Settings of zone spillover, named like the keys in section [spill] of the operator's configuration."""

    full_at: float = 0.05  # a zone whose share of open slots is at most this is full
    # Share of slots of the home zone that must be free, with all work there, before work returns. Also the
    # minimum share of open slots of a new target zone.
    back_at: float = 0.2
    refused_at: float = 0.1  # a zone whose workers reject more than this share of the sends is full
    full_s: float = 0.5  # time for which the home zone must be full before spilling starts
    back_s: float = 5.0  # time for which `back_at` must be met before work returns
    ramp_s: float = 5.0  # time in which the share of spilled work decreases from 1 to 0

    def __post_init__(self) -> None:
        if not 0 <= self.full_at < self.back_at <= 1:
            raise ValueError("spill: full_at must be at least 0 and below back_at, and back_at at most 1")
        if not 0 < self.refused_at <= 1:
            raise ValueError("spill: refused_at must be above 0 and at most 1")
        for name in ("full_s", "back_s", "ramp_s"):
            if not 0.1 <= getattr(self, name) <= 600:
                raise ValueError(f"spill: {name} must be from 0.1 to 600")


class ZoneLoad(NamedTuple):
    """An observation of a zone: slots of its ready workers, free slots, and sends since the last observation.

    `open_slots`: all slots, busy and free, of the workers that would accept a job now; None: the same as
    `free`. Slots are learned from the jobs sent, so a worker that is sent few jobs seems to have few slots.
    """

    slots: float
    free: float
    sent: int = 0
    rejected: int = 0
    open_slots: float | None = None

    @property
    def free_fraction(self) -> float:
        """The share of free slots, 0 to 1."""
        return self.free / self.slots if self.slots > 0 else 0.0

    @property
    def open_fraction(self) -> float:
        """The share of the zone's slots that belong to workers that would accept a job now, 0 to 1."""
        if self.open_slots is None:
            return self.free_fraction
        return self.open_slots / self.slots if self.slots > 0 else 0.0


class ZoneSpillover:
    """Decides how much work of one worker kind this dispatcher sends to which other zone."""

    __slots__ = (
        "settings",
        "state",
        "target",
        "spilled_fraction",
        "credit",
        "full_since",
        "capacity_since",
        "no_target_since",
        "duration_factor",
        "spilling_started_at",
        "observed_at",
    )

    def __init__(self, settings: SpilloverSettings) -> None:
        self.settings = settings
        self.state = SpilloverState.HOME
        self.target: str | None = None
        self.spilled_fraction = 0.0  # share of new jobs sent to the target zone
        self.credit = 0.0  # fraction of a job to spill; the next job is spilled when it reaches 1
        self.full_since: float | None = None  # since when the home zone has been full
        self.capacity_since: float | None = None  # since when the home zone has had slots for all work
        self.no_target_since: float | None = None  # since when there has been no target zone
        self.duration_factor = 1.0  # factor on full_s and back_s in some states
        self.spilling_started_at: float | None = None  # time of the last start of spilling
        self.observed_at = 0.0

    def observe(
        self, now: float, home: ZoneLoad, others: Mapping[str, ZoneLoad], load_away: float = 0.0
    ) -> None:
        """Updates the state from the loads of all zones; to be called about every 100 ms.

        `load_away`: slots in flight from this dispatcher in other zones. Among equal zones the first by name
        is the target.
        """
        elapsed_s = max(0.0, now - self.observed_at)
        self.observed_at = now
        is_full = self._is_full(home)
        has_capacity = (
            not is_full and home.slots > 0 and (home.free - load_away) / home.slots >= self.settings.back_at
        )
        self.full_since = _since(self.full_since, is_full, now)
        self.capacity_since = _since(self.capacity_since, has_capacity, now)
        self._choose_target(others)
        self.no_target_since = _since(self.no_target_since, self.target is None, now)
        event = self._due_event(now)
        if event is not None:
            self._change_state(event, now)
        self._adapt_spilled_fraction(elapsed_s, home, is_full)

    def _choose_target(self, others: Mapping[str, ZoneLoad]) -> None:
        """Selects the other zone with the most open slots, but keeps a current target that is not full."""
        target = others.get(self.target) if self.target is not None else None
        if self.state is not SpilloverState.HOME and target is not None and not self._is_full(target):
            return
        candidates = [zone for zone in sorted(others) if others[zone].open_fraction >= self.settings.back_at]
        self.target = max(candidates, key=lambda z: others[z].open_fraction * others[z].slots, default=None)

    def _adapt_spilled_fraction(self, elapsed_s: float, home: ZoneLoad, is_full: bool) -> None:
        settings = self.settings
        if self.state is SpilloverState.RETURNING:
            self.spilled_fraction = max(0.0, self.spilled_fraction - elapsed_s / settings.ramp_s)
        if self.state is not SpilloverState.SPILLING:
            return
        if self.target is None:  # the other zones are full as well
            self.spilled_fraction *= max(0.0, 1 - elapsed_s / settings.full_s)
        elif is_full:
            step = max(0.1, self.spilled_fraction) * elapsed_s / settings.full_s
            self.spilled_fraction = min(1.0, self.spilled_fraction + step)
        elif home.free_fraction >= settings.back_at:  # more work is spilled than necessary
            self.spilled_fraction *= max(0.0, 1 - elapsed_s / settings.ramp_s)

    def next_zone(self) -> str | None:
        """Returns the zone for the next job, None for the home zone. The spilled jobs are spaced evenly."""
        if self.target is None:
            return None
        self.credit += self.spilled_fraction
        if self.credit < 1 - 1e-9:
            return None
        self.credit -= 1
        return self.target

    def _is_full(self, zone: ZoneLoad) -> bool:
        return zone.open_fraction <= self.settings.full_at or zone.rejected > self.settings.refused_at * max(
            zone.sent, 1
        )

    def _has_started_recently(self, now: float) -> bool:
        """Whether spilling last started so recently that the factor on full_s and back_s is kept."""
        return (
            self.spilling_started_at is not None
            and now - self.spilling_started_at < 2 * MAX_DURATION_FACTOR * self.settings.back_s
        )

    def _due_event(self, now: float) -> SpilloverEvent | None:
        has_no_target = (
            self.no_target_since is not None and now - self.no_target_since >= self.settings.full_s
        )
        if self.state is not SpilloverState.HOME and has_no_target:
            return SpilloverEvent.NO_TARGET
        if not self._has_started_recently(now):
            self.duration_factor = 1.0
        # while work returns to the home zone, spilling resumes after full_s without the factor
        duration_factor = self.duration_factor if self.state is SpilloverState.HOME else 1.0
        if self.full_since is not None and now - self.full_since >= self.settings.full_s * duration_factor:
            return (
                SpilloverEvent.HOME_FULL
                if self.state is not SpilloverState.SPILLING and self.target is not None
                else None
            )
        if self.state is SpilloverState.SPILLING and self.capacity_since is not None:
            return (
                SpilloverEvent.HOME_HAS_CAPACITY
                if now - self.capacity_since >= self.settings.back_s * self.duration_factor
                else None
            )
        return (
            SpilloverEvent.RETURNED
            if self.state is SpilloverState.RETURNING and self.spilled_fraction <= 0
            else None
        )

    def _change_state(self, event: SpilloverEvent, now: float) -> None:
        self.state = TRANSITIONS[self.state, event]
        if event is SpilloverEvent.HOME_FULL:
            self.duration_factor = (
                min(MAX_DURATION_FACTOR, 2 * self.duration_factor) if self._has_started_recently(now) else 1.0
            )
            self.spilling_started_at = now
            self.spilled_fraction = max(self.spilled_fraction, 0.1)
            self.capacity_since = None
        elif self.state is SpilloverState.HOME:
            self.spilled_fraction = self.credit = 0.0
            self.full_since = None  # the home zone must be full for full_s again


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Returns the time since which a condition has held continuously, None if it does not hold."""
    if not holds:
        return None
    return now if since is None else since
