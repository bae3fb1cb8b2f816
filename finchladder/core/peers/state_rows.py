"""What each dispatcher says of itself, as values that merge: the newest row of an owner counts.

| a row comes | what is held then |
| --- | --- |
| of an owner that is not listed, or oneself | nothing of it |
| older than FORGET_S | nothing of it |
| higher (incarnation, order) than the one held | the new one |
| the same or lower | as before; of the same the lower age |

Merging commutes, is idempotent and associative, and needs no order. An owner's row of a former life, which
comes back to it, makes nothing but its own next one higher. What is not renewed is forgotten after FORGET_S,
with its owner's totals: one that starts anew counts from 0, once.

A sum over all is that of the rows held: of those that nobody renews it ages with them, to what oneself has.
Costs: a merge O(1), rows for a packet O(MOST_ROWS). Memory: a row for each listed member.
"""

from collections.abc import Iterable

from finchladder.core.health.detection.reports import OwnReport
from finchladder.core.peers.messages import Row, Want

FORGET_S = 30.0
REFRESH_S = 4.0  # a row is written anew at least so often
MOST_ROWS = 6  # with one packet
MOST_WANTS = 8  # in one row; of more those that want most
HOT_AGE_S = 3.0  # rows younger than that are told first, and so often as rumours


class Rows:
    def __init__(self, own: str, boot: int, repeats: int) -> None:
        self.own, self.boot, self.repeats = own, boot, repeats
        self.held: dict[str, tuple[Row, float]] = {}  # and when it came here
        self.tell: dict[str, int] = {}  # owners of rows that are news: how often still
        self.first: dict[str, None] = {}  # of those, whose news can't wait
        self.order = 0
        self.turn: list[str] = []  # of the other rows, which fill what room is left
        self.merged = self.stale = 0

    def write(
        self, now: float, incarnation: int, wants: Iterable[Want], own: OwnReport | None = None
    ) -> None:
        """One's own row, anew. Of equal budgets none may stand twice. `own`: one's word of real servers."""
        told = sorted(wants, key=lambda w: (-w.rate, w.budget))[:MOST_WANTS]
        self.order += 1
        row = Row(self.own, self.boot, incarnation, self.order, 0.0, now, tuple(told))
        if own is not None:
            row = row._replace(
                zone=own.zone, ended=own.attempts, bad=own.bad_attempts, says=own.worker_reports
            )
        self._hold(now, row)

    def merge(self, now: float, row: Row) -> bool:
        """Whether it is news. The owner is listed; whoever calls this has seen to that."""
        if row.owner == self.own:
            if row.boot != self.boot:
                self.order = max(self.order, row.order)
            return False
        if row.age_s >= FORGET_S:
            self.stale += 1
            return False
        if (found := self.held.get(row.owner)) is not None:
            held, since = found
            if (row.incarnation, row.order) <= (held.incarnation, held.order):
                if row == held._replace(age_s=row.age_s) and row.age_s < held.age_s + now - since:
                    self.held[row.owner] = row, now
                return False
        self._hold(now, row)
        self.merged += 1
        return True

    def _hold(self, now: float, row: Row) -> None:
        self.held[row.owner] = row, now
        if row.age_s < HOT_AGE_S:
            self.tell.pop(row.owner, None)
            self.tell[row.owner] = self.repeats

    def age_s(self, now: float, owner: str) -> float:
        row, since = self.held[owner]
        return row.age_s + max(0.0, now - since)

    def forget(self, now: float, listed: Iterable[str]) -> None:
        keep = set(listed)
        for owner in [o for o in self.held if o not in keep or self.age_s(now, o) >= FORGET_S]:
            del self.held[owner]
            self.tell.pop(owner, None)

    def others(self, now: float, most_age_s: float) -> list[Row]:
        """Rows of others that are no older than that, their age as of now."""
        return [
            row._replace(age_s=age)
            for owner, (row, _) in self.held.items()
            if owner != self.own and (age := self.age_s(now, owner)) <= most_age_s
        ]

    def spent(self, now: float, budget: str) -> tuple[float, int]:
        """What all have taken out of it, and of how many that is known."""
        found = [w.spent for row, _ in self.held.values() for w in row.wants if w.budget == budget]
        return sum(found), len(found)

    def some(self, now: float, to: str, room: int, names: int = MOST_ROWS) -> list[Row]:
        """For one packet: news first, those told least often before others, then the rest in turn."""
        told: list[Row] = []
        self.first = {o: None for o in self.first if o in self.tell}
        for owner in [*self.first, *(o for o in self.tell if o not in self.first)]:
            if len(told) >= names:
                return told
            row, _ = self.held[owner]
            if owner == to or row.room > room:
                continue
            room -= row.room
            told.append(row._replace(age_s=self.age_s(now, owner)))
            left = self.tell.pop(owner) - 1
            if left > 0:
                self.tell[owner] = left
        for _ in range(min(2, names - len(told), len(self.held))):
            if not self.turn:
                self.turn = list(self.held)
            owner = self.turn.pop()
            found = self.held.get(owner)
            if found is None or owner == to or any(r.owner == owner for r in told) or found[0].room > room:
                continue
            room -= found[0].room
            told.append(found[0]._replace(age_s=self.age_s(now, owner)))
        return told
