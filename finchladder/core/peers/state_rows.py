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
from finchladder.core.peers.messages import Demand, Row

ROW_TTL_S = 30.0
REFRESH_INTERVAL_S = 4.0  # a row is written anew at least so often
MAX_ROWS_PER_PACKET = 6  # with one packet
MAX_DEMANDS_PER_ROW = 8  # in one row; of more those that want most
MAX_NEW_ROW_AGE_S = 3.0  # rows younger than that are told first, and so often as rumours


class RowTable:
    def __init__(self, name: str, boot: int, repeats: int) -> None:
        self.name, self.boot, self.repeats = name, boot, repeats
        self.by_owner: dict[str, tuple[Row, float]] = {}  # and when it came here
        self.repeats_left: dict[str, int] = {}  # owners of rows that are news: how often still
        self.urgent: dict[str, None] = {}  # of those, whose news can't wait
        self.sequence = 0
        self.rotation: list[str] = []  # of the other rows, which fill what room is left
        self.merged = self.stale = 0

    def write(
        self, now: float, incarnation: int, wants: Iterable[Demand], own: OwnReport | None = None
    ) -> None:
        """One's own row, anew. Of equal budgets none may stand twice. `own`: one's word of real servers."""
        told = sorted(wants, key=lambda w: (-w.rate, w.budget))[:MAX_DEMANDS_PER_ROW]
        self.sequence += 1
        row = Row(self.name, self.boot, incarnation, self.sequence, 0.0, now, tuple(told))
        if own is not None:
            row = row._replace(
                zone=own.zone, ended=own.attempts, bad=own.bad_attempts, worker_reports=own.worker_reports
            )
        self._store(now, row)

    def merge(self, now: float, row: Row) -> bool:
        """Whether it is news. The owner is listed; whoever calls this has seen to that."""
        if row.owner == self.name:
            if row.boot != self.boot:
                self.sequence = max(self.sequence, row.sequence)
            return False
        if row.age_s >= ROW_TTL_S:
            self.stale += 1
            return False
        if (found := self.by_owner.get(row.owner)) is not None:
            held, since = found
            if (row.incarnation, row.sequence) <= (held.incarnation, held.sequence):
                if row == held._replace(age_s=row.age_s) and row.age_s < held.age_s + now - since:
                    self.by_owner[row.owner] = row, now
                return False
        self._store(now, row)
        self.merged += 1
        return True

    def _store(self, now: float, row: Row) -> None:
        self.by_owner[row.owner] = row, now
        if row.age_s < MAX_NEW_ROW_AGE_S:
            self.repeats_left.pop(row.owner, None)
            self.repeats_left[row.owner] = self.repeats

    def age_s(self, now: float, owner: str) -> float:
        row, since = self.by_owner[owner]
        return row.age_s + max(0.0, now - since)

    def remove_expired(self, now: float, listed: Iterable[str]) -> None:
        keep = set(listed)
        for owner in [o for o in self.by_owner if o not in keep or self.age_s(now, o) >= ROW_TTL_S]:
            del self.by_owner[owner]
            self.repeats_left.pop(owner, None)

    def rows_of_peers(self, now: float, most_age_s: float) -> list[Row]:
        """Rows of others that are no older than that, their age as of now."""
        return [
            row._replace(age_s=age)
            for owner, (row, _) in self.by_owner.items()
            if owner != self.name and (age := self.age_s(now, owner)) <= most_age_s
        ]

    def total_spent(self, now: float, budget: str) -> tuple[float, int]:
        """What all have taken out of it, and of how many that is known."""
        found = [w.spent for row, _ in self.by_owner.values() for w in row.demands if w.budget == budget]
        return sum(found), len(found)

    def select_rows(self, now: float, to: str, room: int, names: int = MAX_ROWS_PER_PACKET) -> list[Row]:
        """For one packet: news first, those told least often before others, then the rest in turn."""
        told: list[Row] = []
        self.urgent = {o: None for o in self.urgent if o in self.repeats_left}
        for owner in [*self.urgent, *(o for o in self.repeats_left if o not in self.urgent)]:
            if len(told) >= names:
                return told
            row, _ = self.by_owner[owner]
            if owner == to or row.room > room:
                continue
            room -= row.room
            told.append(row._replace(age_s=self.age_s(now, owner)))
            left = self.repeats_left.pop(owner) - 1
            if left > 0:
                self.repeats_left[owner] = left
        for _ in range(min(2, names - len(told), len(self.by_owner))):
            if not self.rotation:
                self.rotation = list(self.by_owner)
            owner = self.rotation.pop()
            found = self.by_owner.get(owner)
            if found is None or owner == to or any(r.owner == owner for r in told) or found[0].room > room:
                continue
            room -= found[0].room
            told.append(found[0]._replace(age_s=self.age_s(now, owner)))
        return told
