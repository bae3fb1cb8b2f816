"""The operator's word of a real server, said at any dispatcher and told on by all until it is over.

| a word comes | what is held then |
| --- | --- |
| of a server of which none is held | it, unless its time is over |
| of a higher (stamp, by) than the one held | it |
| the same or lower | as before |
| its time is over | nothing |

A stamp is one more than any that its sayer had heard of, so of two the later counts wherever one had heard of
the other, and of two at once the one by the higher name. Clocks are not compared: a word is told with what
is left of its time. `let` takes a word back: it is held and told on for the time that the word had left.
"""

from collections.abc import Iterable
from math import isfinite
from typing import NamedTuple

from finchladder.core.api import OperatorOverrides

STANCES = ("out", "in", "let")
MOST = 64  # words at one time; beyond it a new one is refused
MOST_TOLD = 4  # with one packet
MOST_S = 86_400.0
MAX_REASON_LENGTH, MAX_WORKER_NAME_LENGTH = 80, 64
MOST_STAMP = 1 << 50


class Override(NamedTuple):
    worker: str
    stance: str
    left_s: float
    stamp: int
    issuer: str  # the dispatcher at which it was said
    reason: str

    @property
    def room(self) -> int:
        return len(self.worker.encode()) + len(self.reason.encode()) + len(self.issuer) + 28


def has_invalid_values(orders: Iterable[Override]) -> bool:
    return not all(
        o.stance in STANCES
        and isfinite(o.left_s)
        and 0 <= o.left_s <= MOST_S
        and 0 <= o.stamp <= MOST_STAMP
        and 0 < len(o.worker) <= MAX_WORKER_NAME_LENGTH
        and len(o.reason) <= MAX_REASON_LENGTH
        for o in orders
    )


class OverrideTable:
    def __init__(self, own: str, repeats: int) -> None:
        self.own, self.repeats = own, repeats
        self.held: dict[
            str, tuple[Override, float]
        ] = {}  # by server: and until when it holds, by one's own clock
        self.pending: dict[str, int] = {}
        self.turn = 0
        self.has_changed = False  # since it was last looked at

    def issue(self, now: float, server: str, stance: str, for_s: float, why: str) -> Override:
        """ValueError says in one line why not."""
        self.forget(now)
        before = self.held.get(server)
        if stance == "let":
            if before is None or before[0].stance == "let":
                raise ValueError(f"nobody has said anything of {server}")
            for_s = max(for_s, before[1] - now)
        elif before is None and len(self.held) >= MOST:
            raise ValueError(f"{MOST} words hold already, and more is not kept")
        stamp = max((o.stamp for o, _ in self.held.values()), default=0) + 1
        order = Override(server, stance, min(for_s, MOST_S), stamp, self.own, why)
        self._hold(now, order)
        return order

    def merge(self, now: float, o: Override) -> bool:
        """Whether it is news."""
        self.forget(now)
        found = self.held.get(o.worker)
        if o.left_s <= 0 or (found is None and len(self.held) >= MOST):
            return False
        if found is not None and (o.stamp, o.issuer) <= (found[0].stamp, found[0].issuer):
            return False
        self._hold(now, o)
        return True

    def _hold(self, now: float, o: Override) -> None:
        self.held[o.worker] = o, now + o.left_s
        self.pending[o.worker] = self.repeats
        self.has_changed = True

    def forget(self, now: float) -> None:
        for server in [s for s, (_, until) in self.held.items() if now >= until]:
            del self.held[server]
            self.pending.pop(server, None)
            self.has_changed = True

    def select(self, now: float, room: int) -> list[Override]:
        """For one packet: news first, and one of the rest in turn."""
        self.forget(now)
        told: list[Override] = []
        names = list(self.held)
        if names:
            self.turn += 1
        for server in (
            [*list(self.pending)[:MOST_TOLD], *names[self.turn % len(names) :][:1]] if names else []
        ):
            o, until = self.held[server]
            o = o._replace(left_s=until - now)
            if o.room > room or o in told:
                continue
            room -= o.room
            told.append(o)
            left = self.pending.pop(server, 0) - 1
            if left > 0:
                self.pending[server] = left
        return told

    def as_event(self, now: float) -> OperatorOverrides:
        """For the decisions."""
        return OperatorOverrides(
            {s: (o.stance == "out", until - now, o.reason) for s, (o, until) in self.active(now).items()}
        )

    def active(self, now: float) -> dict[str, tuple[Override, float]]:
        """Those that hold, by server, and until when."""
        self.forget(now)
        return {s: (o, until) for s, (o, until) in self.held.items() if o.stance != "let"}
