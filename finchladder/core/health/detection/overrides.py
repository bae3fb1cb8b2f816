"""Operator overrides of the outlier detector, issued at any dispatcher and gossiped until they expire.

| stored override of the worker | event | result |
| --- | --- | --- |
| none | an override arrives | it is stored, unless it has expired or the table is full |
| any | one with a higher (stamp, issuer) arrives | it replaces the stored one |
| any | one with an equal or lower (stamp, issuer) arrives | no change |
| any | the stored override expires | it is removed |

A stamp is a Lamport timestamp: one more than the highest stamp among the stored overrides. Of two overrides
the later one therefore wins if its issuer had received the earlier one. Of two concurrent ones with equal
stamps, that of the issuer whose name sorts last wins. Clocks of different hosts are not compared: an override
is sent with its remaining time. The stance "let" revokes an override; it is stored and gossiped at least for
the time that the revoked override had left.
"""

from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from finchladder.core.api import OperatorOverrides

STANCES = ("out", "in", "let")  # eject the worker, prevent its ejection, revoke an override
MAX_OVERRIDES = 64  # maximum number of stored ones
MAX_NEW_PER_PACKET = 4  # maximum number of new overrides in one packet
MAX_OVERRIDE_S = 86_400.0
MAX_REASON_LENGTH, MAX_WORKER_NAME_LENGTH = 80, 64
MAX_STAMP = 1 << 50


class Override(NamedTuple):
    """An operator's override of the outlier detector for one worker."""

    worker: str
    stance: str
    left_s: float  # time until it expires
    stamp: int  # Lamport timestamp
    issuer: str  # the dispatcher at which the operator issued it
    reason: str

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size, in bytes."""
        return len(self.worker.encode()) + len(self.reason.encode()) + len(self.issuer) + 28


def has_invalid_values(overrides: Iterable[Override]) -> bool:
    """Whether a value of any override is out of range."""
    return not all(
        o.stance in STANCES
        and isfinite(o.left_s)
        and 0 <= o.left_s <= MAX_OVERRIDE_S
        and 0 <= o.stamp <= MAX_STAMP
        and 0 < len(o.worker) <= MAX_WORKER_NAME_LENGTH
        and len(o.reason) <= MAX_REASON_LENGTH
        for o in overrides
    )


class OverrideTable:
    """The latest override of each worker. Times are in seconds of the caller's clock."""

    def __init__(self, dispatcher: str, repeats: int) -> None:
        """Creates an empty table.

        Args:
            dispatcher: Name of this dispatcher.
            repeats: Number of packets in which a new override is sent first.
        """
        self.dispatcher, self.repeats = dispatcher, repeats
        self.entries: dict[str, tuple[Override, float]] = {}  # override and time of its expiry, by worker
        self.pending: dict[str, int] = {}  # number of packets left in which it is sent first, by worker
        self.next_index = 0  # counts packets: selects the override that is repeated in turn
        self.has_changed = False  # set whenever `entries` changes; reset by the caller

    def issue(self, now: float, worker: str, stance: str, for_s: float, reason: str) -> Override:
        """Stores a new override of this dispatcher and returns it.

        Raises:
            ValueError: There is no override to revoke, or the table is full.
        """
        self.remove_expired(now)
        previous = self.entries.get(worker)
        if stance == "let":
            if previous is None or previous[0].stance == "let":
                raise ValueError(f"no override of {worker} to revoke")
            for_s = max(for_s, previous[1] - now)
        elif previous is None and len(self.entries) >= MAX_OVERRIDES:
            raise ValueError(f"too many overrides: {MAX_OVERRIDES} are stored, the maximum")
        stamp = max((o.stamp for o, _ in self.entries.values()), default=0) + 1
        override = Override(worker, stance, min(for_s, MAX_OVERRIDE_S), stamp, self.dispatcher, reason)
        self._store(now, override)
        return override

    def merge(self, now: float, override: Override) -> bool:
        """Stores a received override if it is newer than the stored one; returns whether it was stored."""
        self.remove_expired(now)
        found = self.entries.get(override.worker)
        if override.left_s <= 0 or (found is None and len(self.entries) >= MAX_OVERRIDES):
            return False
        if found is not None and (override.stamp, override.issuer) <= (found[0].stamp, found[0].issuer):
            return False
        self._store(now, override)
        return True

    def _store(self, now: float, override: Override) -> None:
        self.entries[override.worker] = override, now + override.left_s
        self.pending[override.worker] = self.repeats
        self.has_changed = True

    def remove_expired(self, now: float) -> None:
        """Removes the overrides that have expired."""
        for worker in [w for w, (_, until) in self.entries.items() if now >= until]:
            del self.entries[worker]
            self.pending.pop(worker, None)
            self.has_changed = True

    def select(self, now: float, room: int) -> list[Override]:
        """Returns at most `room` bytes of overrides for a packet: new ones, then the next of all in turn."""
        self.remove_expired(now)
        selected: list[Override] = []
        workers = list(self.entries)
        if workers:
            self.next_index += 1
        for worker in (
            [*list(self.pending)[:MAX_NEW_PER_PACKET], *workers[self.next_index % len(workers) :][:1]]
            if workers
            else []
        ):
            o, until = self.entries[worker]
            o = o._replace(left_s=until - now)
            if o.size_bytes > room or o in selected:
                continue
            room -= o.size_bytes
            selected.append(o)
            left = self.pending.pop(worker, 0) - 1
            if left > 0:
                self.pending[worker] = left
        return selected

    def as_event(self, now: float) -> OperatorOverrides:
        """Returns the active overrides as an event for the dispatcher."""
        return OperatorOverrides(
            {w: (o.stance == "out", until - now, o.reason) for w, (o, until) in self.active(now).items()}
        )

    def active(self, now: float) -> dict[str, tuple[Override, float]]:
        """Returns the overrides that are not revoked, by worker, with the time at which each expires."""
        self.remove_expired(now)
        return {w: (o, until) for w, (o, until) in self.entries.items() if o.stance != "let"}
