"""Zone spill: a part of the work goes to another zone while its own is full, and comes back without flapping.

Room at home is reckoned with what runs away from home as if it ran there: slots that spilling itself frees
are no reason to end it. Every change waits out a time, longer if it is soon undone; the return goes by steps.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

AGAIN_MOST = 8.0  # times that a change waits longer when the last one was soon undone


class State(Enum):
    HOME = "home"
    SPILLING = "spilling"
    RETURNING = "returning"


class Sign(Enum):
    FULL = "full"  # home has been full for full_s, and another zone has room
    ROOM = "room"  # home has had room for all of it for back_s
    DONE = "done"  # nothing is sent away any more
    NOWHERE = "nowhere"  # no other zone has had room for full_s


TRANSITIONS = {
    (State.HOME, Sign.FULL): State.SPILLING,
    (State.SPILLING, Sign.ROOM): State.RETURNING,
    (State.SPILLING, Sign.NOWHERE): State.HOME,
    (State.RETURNING, Sign.FULL): State.SPILLING,
    (State.RETURNING, Sign.DONE): State.HOME,
    (State.RETURNING, Sign.NOWHERE): State.HOME,
}


@dataclass(frozen=True, slots=True)
class SpillSettings:
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


class Zone(NamedTuple):
    """What is seen of a zone: slots of its ready real servers, those free, and sends since the last look.

    `open`: slots of those real servers that would take a job now, busy ones among them. Where slots are only
    learned from what is sent, few seem free of those that are not asked for more. None: as many as are free.
    """

    slots: float
    free: float
    sent: int = 0
    refused: int = 0
    open: float | None = None

    @property
    def free_part(self) -> float:
        return self.free / self.slots if self.slots > 0 else 0.0

    @property
    def open_part(self) -> float:
        return self.free_part if self.open is None else self.open / self.slots if self.slots > 0 else 0.0


class Spill:
    """To be told of all zones every 100 ms or so; asked for each job that home would get."""

    __slots__ = (
        "s",
        "state",
        "target",
        "part",
        "credit",
        "full_since",
        "room_since",
        "none_since",
        "wait",
        "changed_at",
        "looked_at",
    )

    def __init__(self, settings: SpillSettings) -> None:
        self.s = settings
        self.state = State.HOME
        self.target: str | None = None
        self.part = 0.0  # of the work that goes away
        self.credit = 0.0
        self.full_since: float | None = None
        self.room_since: float | None = None
        self.none_since: float | None = None  # since then no other zone has room
        self.wait = 1.0  # times that full_s and back_s count
        self.changed_at: float | None = None  # when home was last left, or spilling begun anew
        self.looked_at = 0.0

    def observe(self, now: float, home: Zone, others: Mapping[str, Zone], away: float = 0.0) -> None:
        """`away`: slots that work of this zone takes elsewhere. Ties go to the zone first by name."""
        took, self.looked_at = max(0.0, now - self.looked_at), now
        full = self._is_full(home)
        room = not full and home.slots > 0 and (home.free - away) / home.slots >= self.s.back_at
        self.full_since = (now if self.full_since is None else self.full_since) if full else None
        self.room_since = (now if self.room_since is None else self.room_since) if room else None
        target = others.get(self.target) if self.target is not None else None
        if self.state is State.HOME or target is None or self._is_full(target):
            open_ = [z for z in sorted(others) if others[z].open_part >= self.s.back_at]
            self.target = max(open_, key=lambda z: others[z].open_part * others[z].slots, default=None)
        lacking = self.target is None
        self.none_since = (now if self.none_since is None else self.none_since) if lacking else None
        if (sign := self._sign(now)) is not None:
            self._go(sign, now)
        if self.state is State.SPILLING and lacking:
            self.part *= max(0.0, 1 - took / self.s.full_s)  # it was too much for the others
        elif self.state is State.SPILLING and full:
            self.part = min(1.0, self.part + max(0.1, self.part) * took / self.s.full_s)
        elif self.state is State.SPILLING and home.free_part >= self.s.back_at:
            self.part *= max(0.0, 1 - took / self.s.ramp_s)  # more goes away than must
        elif self.state is State.RETURNING:
            self.part = max(0.0, self.part - took / self.s.ramp_s)

    def away(self) -> str | None:
        """The zone that the next job goes to; None: home. Evenly, so many of each hundred."""
        if self.target is None:
            return None
        self.credit += self.part
        if self.credit < 1 - 1e-9:
            return None
        self.credit -= 1
        return self.target

    def _is_full(self, zone: Zone) -> bool:
        return zone.open_part <= self.s.full_at or zone.refused > self.s.refused_at * max(zone.sent, 1)

    def _soon(self, now: float) -> bool:
        """Whether the change before was so near that it is to be waited for longer."""
        return self.changed_at is not None and now - self.changed_at < 2 * AGAIN_MOST * self.s.back_s

    def _sign(self, now: float) -> Sign | None:
        nowhere = self.none_since is not None and now - self.none_since >= self.s.full_s
        if self.state is not State.HOME and nowhere:
            return Sign.NOWHERE
        if not self._soon(now):
            self.wait = 1.0
        wait = self.wait if self.state is State.HOME else 1.0  # the way back to a zone that was left is short
        if self.full_since is not None and now - self.full_since >= self.s.full_s * wait:
            return Sign.FULL if self.state is not State.SPILLING and self.target is not None else None
        if self.state is State.SPILLING and self.room_since is not None:
            return Sign.ROOM if now - self.room_since >= self.s.back_s * self.wait else None
        return Sign.DONE if self.state is State.RETURNING and self.part <= 0 else None

    def _go(self, sign: Sign, now: float) -> None:
        self.state = TRANSITIONS[self.state, sign]
        if sign is Sign.FULL:
            self.wait = min(AGAIN_MOST, 2 * self.wait) if self._soon(now) else 1.0
            self.changed_at = now
            self.part = max(self.part, 0.1)
            self.room_since = None
        elif self.state is State.HOME:
            self.part = self.credit = 0.0
            self.full_since = None  # from home, home must be full for full_s again
