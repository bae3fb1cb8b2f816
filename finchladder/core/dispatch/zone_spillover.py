"""Zone spillover: a share of the work goes to another zone while its own is full, without flapping.

Free capacity at home is reckoned as if what runs in other zones ran there: slots that spilling itself frees
are no reason to end it. Every change waits out a time, longer if it is soon undone; the return goes by steps.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MAX_WAIT_FACTOR = 8.0  # times that a change waits longer when the last one was soon undone


class SpilloverState(Enum):
    """Where the work goes."""

    HOME = "home"
    SPILLING = "spilling"
    RETURNING = "returning"


class SpilloverEvent(Enum):
    """What changes the state, see TRANSITIONS."""

    HOME_FULL = "full"  # home has been full for full_s, and another zone is not
    HOME_HAS_CAPACITY = "room"  # home has had capacity for all of it for back_s
    RETURNED = "done"  # nothing is sent away any more
    NO_TARGET = "nowhere"  # all other zones have been full for full_s


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
    full_at: float = 0.05  # free part of a zone's slots at which it is full
    back_at: float = 0.2  # free part that home must have, with all that is away counted in
    refused_at: float = 0.1  # part of the sends that a zone's real servers turned away at which it is full
    full_s: float = 0.5
    back_s: float = 5.0
    ramp_s: float = 5.0  # in which all of it comes home

    def __post_init__(self) -> None:
        if not 0 <= self.full_at < self.back_at <= 1:
            raise ValueError("spill: full_at must be from 0 and below back_at, that at most 1")
        if not 0 < self.refused_at <= 1:
            raise ValueError("spill: refused_at must be above 0 and at most 1")
        for name in ("full_s", "back_s", "ramp_s"):
            if not 0.1 <= getattr(self, name) <= 600:
                raise ValueError(f"spill: {name} must be from 0.1 to 600")


class ZoneLoad(NamedTuple):
    """What is seen of a zone: slots of its ready real servers, those free, and sends since the last look.

    `open`: slots of those real servers that would take a job now, busy ones among them. Where slots are only
    learned from what is sent, few seem free of those that are not asked for more. None: as many as are free.
    """

    slots: float
    free: float
    sent: int = 0
    rejected: int = 0
    open_slots: float | None = None

    @property
    def free_share(self) -> float:
        """The part of its slots that is free, 0 to 1."""
        return self.free / self.slots if self.slots > 0 else 0.0

    @property
    def open_share(self) -> float:
        """The part of its slots at workers that would take a job now, 0 to 1."""
        if self.open_slots is None:
            return self.free_share
        return self.open_slots / self.slots if self.slots > 0 else 0.0


class ZoneSpillover:
    """Decides for one dispatcher and kind of machine how much of its work goes to which other zone."""

    __slots__ = (
        "settings",
        "state",
        "target",
        "share_away",
        "credit",
        "full_since",
        "capacity_since",
        "no_target_since",
        "wait_factor",
        "changed_at",
        "observed_at",
    )

    def __init__(self, settings: SpilloverSettings) -> None:
        self.settings = settings
        self.state = SpilloverState.HOME
        self.target: str | None = None
        self.share_away = 0.0  # of the work that goes away
        self.credit = 0.0
        self.full_since: float | None = None
        self.capacity_since: float | None = None
        self.no_target_since: float | None = None  # since then all other zones are full
        self.wait_factor = 1.0  # times that full_s and back_s count
        self.changed_at: float | None = None  # when home was last left, or spilling begun anew
        self.observed_at = 0.0

    def observe(
        self, now: float, home: ZoneLoad, others: Mapping[str, ZoneLoad], load_away: float = 0.0
    ) -> None:
        """Takes in the loads of all zones; to be called every 100 ms or so.

        `load_away`: slots that work of this zone takes elsewhere. Ties go to the zone first by name.
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
        self._adapt_share(elapsed_s, home, is_full)

    def _choose_target(self, others: Mapping[str, ZoneLoad]) -> None:
        """The other zone with the most open slots, unless the present one still does."""
        target = others.get(self.target) if self.target is not None else None
        if self.state is not SpilloverState.HOME and target is not None and not self._is_full(target):
            return
        candidates = [zone for zone in sorted(others) if others[zone].open_share >= self.settings.back_at]
        self.target = max(candidates, key=lambda z: others[z].open_share * others[z].slots, default=None)

    def _adapt_share(self, elapsed_s: float, home: ZoneLoad, is_full: bool) -> None:
        settings = self.settings
        if self.state is SpilloverState.RETURNING:
            self.share_away = max(0.0, self.share_away - elapsed_s / settings.ramp_s)
        if self.state is not SpilloverState.SPILLING:
            return
        if self.target is None:  # it was too much for the others
            self.share_away *= max(0.0, 1 - elapsed_s / settings.full_s)
        elif is_full:
            step = max(0.1, self.share_away) * elapsed_s / settings.full_s
            self.share_away = min(1.0, self.share_away + step)
        elif home.free_share >= settings.back_at:  # more goes away than must
            self.share_away *= max(0.0, 1 - elapsed_s / settings.ramp_s)

    def next_zone(self) -> str | None:
        """The zone that the next job goes to; None: home. Evenly, so many of each hundred."""
        if self.target is None:
            return None
        self.credit += self.share_away
        if self.credit < 1 - 1e-9:
            return None
        self.credit -= 1
        return self.target

    def _is_full(self, zone: ZoneLoad) -> bool:
        return zone.open_share <= self.settings.full_at or zone.rejected > self.settings.refused_at * max(
            zone.sent, 1
        )

    def _changed_recently(self, now: float) -> bool:
        """Whether the change before was so near that it is to be waited for longer."""
        return (
            self.changed_at is not None and now - self.changed_at < 2 * MAX_WAIT_FACTOR * self.settings.back_s
        )

    def _due_event(self, now: float) -> SpilloverEvent | None:
        nowhere = self.no_target_since is not None and now - self.no_target_since >= self.settings.full_s
        if self.state is not SpilloverState.HOME and nowhere:
            return SpilloverEvent.NO_TARGET
        if not self._changed_recently(now):
            self.wait_factor = 1.0
        wait = (
            self.wait_factor if self.state is SpilloverState.HOME else 1.0
        )  # the way back to a zone that was left is short
        if self.full_since is not None and now - self.full_since >= self.settings.full_s * wait:
            return (
                SpilloverEvent.HOME_FULL
                if self.state is not SpilloverState.SPILLING and self.target is not None
                else None
            )
        if self.state is SpilloverState.SPILLING and self.capacity_since is not None:
            return (
                SpilloverEvent.HOME_HAS_CAPACITY
                if now - self.capacity_since >= self.settings.back_s * self.wait_factor
                else None
            )
        return (
            SpilloverEvent.RETURNED
            if self.state is SpilloverState.RETURNING and self.share_away <= 0
            else None
        )

    def _change_state(self, sign: SpilloverEvent, now: float) -> None:
        self.state = TRANSITIONS[self.state, sign]
        if sign is SpilloverEvent.HOME_FULL:
            self.wait_factor = (
                min(MAX_WAIT_FACTOR, 2 * self.wait_factor) if self._changed_recently(now) else 1.0
            )
            self.changed_at = now
            self.share_away = max(self.share_away, 0.1)
            self.capacity_since = None
        elif self.state is SpilloverState.HOME:
            self.share_away = self.credit = 0.0
            self.full_since = None  # from home, home must be full for full_s again


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Since when a condition has held without a break; None: it does not hold."""
    if not holds:
        return None
    return now if since is None else since
