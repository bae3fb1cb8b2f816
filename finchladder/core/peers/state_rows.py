"""Replicated state rows, one per dispatcher: the newest row of each owner is stored.

| received row | stored row |
| --- | --- |
| of an owner that is not listed, or of this dispatcher | unchanged |
| older than ROW_TTL_S | unchanged |
| higher (incarnation, sequence) than the stored one | the received one |
| equal or lower | unchanged; of equal rows the one with the lower age |

Merging is commutative, idempotent and associative, so rows may arrive in any order. If an owner receives its
row from before a restart, it only raises the sequence of its next row. A row that is not renewed is removed
after ROW_TTL_S, with its owner's totals; the totals of a restarted owner begin at 0, once.

A total over all dispatchers is the sum over the stored rows. Without renewal it shrinks as rows expire, down
to the own row. Costs: O(1) per merge, O(MAX_ROWS_PER_PACKET) per packet. Memory: a row per listed member.
"""

from collections.abc import Iterable

from finchladder.core.health.detection.reports import OwnReport
from finchladder.core.peers.messages import Demand, Row

ROW_TTL_S = 30.0
REFRESH_INTERVAL_S = 4.0  # longest time between two versions of the own row
MAX_ROWS_PER_PACKET = 6  # rows in one packet
MAX_DEMANDS_PER_ROW = 8  # demands beyond this number are omitted, the smallest first
MAX_NEW_ROW_AGE_S = 3.0  # younger rows have priority, and are sent as often as member updates


class RowTable:
    """Stored rows by owner, and which of them are still to be sent."""

    def __init__(self, name: str, boot: int, repeats: int) -> None:
        self.name, self.boot, self.repeats = name, boot, repeats
        self.by_owner: dict[str, tuple[Row, float]] = {}  # row and its time of receipt
        # owners of new rows, with the number of packets that each row is still to be sent in
        self.repeats_left: dict[str, int] = {}
        self.urgent: dict[str, None] = {}  # owners in `repeats_left` whose rows are sent first
        self.sequence = 0
        self.rotation: list[str] = []  # owners of other rows, which fill the remaining space
        self.merged = self.stale = 0

    def write(
        self, now: float, incarnation: int, demands: Iterable[Demand], own_report: OwnReport | None = None
    ) -> None:
        """Writes the own row. `demands`: at most one per budget. `own_report`: the own report on workers."""
        largest = sorted(demands, key=lambda w: (-w.rate, w.budget))[:MAX_DEMANDS_PER_ROW]
        self.sequence += 1
        row = Row(self.name, self.boot, incarnation, self.sequence, 0.0, now, tuple(largest))
        if own_report is not None:
            row = row._replace(
                zone=own_report.zone,
                ended=own_report.attempts,
                bad=own_report.bad_attempts,
                subject_reports=own_report.subject_reports,
            )
        self._store(now, row)

    def merge(self, now: float, row: Row) -> bool:
        """Merges a row and returns whether it is new; the caller ensures that the owner is listed."""
        if row.owner == self.name:
            if row.boot != self.boot:
                self.sequence = max(self.sequence, row.sequence)
            return False
        if row.age_s >= ROW_TTL_S:
            self.stale += 1
            return False
        if (found := self.by_owner.get(row.owner)) is not None:
            stored, received_at = found
            if (row.incarnation, row.sequence) <= (stored.incarnation, stored.sequence):
                if row == stored._replace(age_s=row.age_s) and row.age_s < stored.age_s + now - received_at:
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
        row, received_at = self.by_owner[owner]
        return row.age_s + max(0.0, now - received_at)

    def remove_expired(self, now: float, listed: Iterable[str]) -> None:
        keep = set(listed)
        for owner in [o for o in self.by_owner if o not in keep or self.age_s(now, o) >= ROW_TTL_S]:
            del self.by_owner[owner]
            self.repeats_left.pop(owner, None)

    def rows_of_peers(self, now: float, max_age_s: float) -> list[Row]:
        """Returns the rows of other dispatchers up to an age, with their current age."""
        return [
            row._replace(age_s=age)
            for owner, (row, _) in self.by_owner.items()
            if owner != self.name and (age := self.age_s(now, owner)) <= max_age_s
        ]

    def total_spent(self, now: float, budget: str) -> tuple[float, int]:
        """Returns the tokens taken from a budget in total, and the number of dispatchers that report them."""
        found = [w.spent for row, _ in self.by_owner.values() for w in row.demands if w.budget == budget]
        return sum(found), len(found)

    def select_rows(
        self, now: float, to: str, free_bytes: int, max_rows: int = MAX_ROWS_PER_PACKET
    ) -> list[Row]:
        """Selects rows for one packet: urgent ones, new ones (least recently sent first), two others."""
        selected: list[Row] = []
        self.urgent = {o: None for o in self.urgent if o in self.repeats_left}
        for owner in [*self.urgent, *(o for o in self.repeats_left if o not in self.urgent)]:
            if len(selected) >= max_rows:
                return selected
            row, _ = self.by_owner[owner]
            if owner == to or row.size_bytes > free_bytes:
                continue
            free_bytes -= row.size_bytes
            selected.append(row._replace(age_s=self.age_s(now, owner)))
            repeats = self.repeats_left.pop(owner) - 1
            if repeats > 0:
                self.repeats_left[owner] = repeats
        for _ in range(min(2, max_rows - len(selected), len(self.by_owner))):
            if not self.rotation:
                self.rotation = list(self.by_owner)
            owner = self.rotation.pop()
            found = self.by_owner.get(owner)
            if (
                found is None
                or owner == to
                or any(r.owner == owner for r in selected)
                or found[0].size_bytes > free_bytes
            ):
                continue
            free_bytes -= found[0].size_bytes
            selected.append(found[0]._replace(age_s=self.age_s(now, owner)))
        return selected
