"""Exchange of one dispatcher with its peers: processes received packets and decides what to send and when.

The member list, the state rows, the escrow and the sums are separate units. This module packs their output
into packets, and passes each received packet to all of them. No code that serves a job calls it or waits for
it: it receives the demand on each budget, and returns the rate that may be used.

| sent | how often | receivers |
| --- | --- | --- |
| a ping | every period | one member in rotation (membership.py) |
| a packet with updates | every GOSSIP_INTERVAL_S, while there are any | one random member |
| the own row, if a demand changed by a fifth | at most every ROW_INTERVAL_S | with any of these packets |
| the own row otherwise | every REFRESH_INTERVAL_S | with any of these packets |
| a grant, a return | at once | the borrower, the owner |
| partial sums | every wave_s | log2 n members (sums.py) |
| reports on workers | after a failure, every ROW_INTERVAL_S while a case is open | URGENT_FANOUT members |
| overrides of operators | new ones first, others in rotation | with any of these packets |
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple, Protocol

from finchladder.core.api import PeerReports
from finchladder.core.health.detection.overrides import OverrideTable
from finchladder.core.health.detection.reports import (
    MIN_URGENT_BAD_ATTEMPTS,
    OwnReport,
    PeerReport,
    SubjectReport,
)
from finchladder.core.peers.bucket import Bucket
from finchladder.core.peers.escrow import UNLENDABLE_FRACTION, Budget, Escrow
from finchladder.core.peers.membership import MemberList, OutgoingMessage, Timing
from finchladder.core.peers.messages import (
    MAX_PAYLOAD_BYTES,
    Demand,
    Grant,
    MemberStatus,
    MemberUpdate,
    Packet,
    PacketKind,
    PartialSum,
    Row,
    validation_error,
)
from finchladder.core.peers.state_rows import REFRESH_INTERVAL_S, RowTable
from finchladder.core.peers.sums import FleetSums, Total

GOSSIP_INTERVAL_S = 0.1
ROW_INTERVAL_S = 0.5
MAX_DEMAND_AGE_S = 4.0  # older demands get no grant: half of the lease would have passed on arrival
MAX_DYNAMIC_BUDGETS = 128  # budgets that are created on demand; configured budgets are not counted
# a budget created on demand is removed after this, unless it is lent, borrowed or in demand
BUDGET_IDLE_TIMEOUT_S = 10.0
LEAVE_RECIPIENTS = 5
URGENT_FANOUT, URGENT_PERIOD_S = (
    3,
    0.5,
)  # members that receive an urgent report on a worker, and for how long
# health score (membership.py) from which `PeerReports` marks this process as unhealthy; it is above 1, as
# a few lost datagrams prove nothing about workers
UNHEALTHY_SCORE = 3
REPORT_INTERVAL_S, URGENT_REPORT_INTERVAL_S = (
    2.0,
    0.1,
)  # delivery intervals of peers' reports: without new reports, and while new ones are pending
CHANGE_THRESHOLD = 0.2  # relative change of a demand that causes an early row
Packets = list[tuple[str, Packet]]


class ExchangeSettings(NamedTuple):
    """Settings of the exchange. With `wave_s` 0, slots in flight are not shared."""

    timing: Timing = Timing()
    wave_s: float = 0.0


class Evidence(Protocol):
    """Source of this dispatcher's reports on workers."""

    def has_urgent_report(self) -> bool: ...  # whether a failure has not been reported to peers yet
    def own_report(self, now: float) -> OwnReport: ...
    # whether this dispatcher has ejected the subject; further reports on it are not urgent then
    def is_ejected(self, subject_id: int) -> bool: ...


class BudgetFamily(NamedTuple):
    """Budgets of one kind that are created on demand, such as one per client address."""

    limit: float
    min_dispatchers: int
    # makes a bucket from the budget's name and the own rate per second
    make_bucket: Callable[[str, float], Bucket]


class Peers:
    """State machine of the exchange; `receive` and `tick` return packets to send, by receiver."""

    def __init__(
        self,
        name: str,
        names: Iterable[str],
        seed: int,
        incarnation: int,
        now: float,
        settings: ExchangeSettings | None = None,
        own_counts: Callable[[], dict[int, float]] = dict,
    ) -> None:
        """`own_counts`: returns the own slots in flight by worker number; called once per wave."""
        self.name, self.settings, self.own_counts = name, settings or ExchangeSettings(), own_counts
        self.random = random = Random(f"{seed}/peers")
        self.boot = random.getrandbits(32)
        self.members = MemberList(name, names, incarnation, now, random, self.settings.timing)
        self.rows = RowTable(name, self.boot, self.members.repeats)
        self.escrow = Escrow(name, self.boot, now)
        self.sums = FleetSums(name)
        self.buckets: dict[str, Bucket] = {}
        self.families: dict[str, BudgetFamily] = {}  # by prefix of the budgets' names
        self.last_used_at: dict[str, float] = {}  # of the budgets created on demand
        self.next_gossip_at = now + random.random() * GOSSIP_INTERVAL_S
        self.next_row_at = now + random.random() * ROW_INTERVAL_S
        self.next_wave_at = now + random.random() * (self.settings.wave_s or 1.0)
        self.last_row: tuple[float, dict[str, float]] = 0.0, {}
        self.name_conflicts = 0  # packets from another process that uses this dispatcher's name
        self.dropped: dict[str, int] = {}
        self.evidence: Evidence | None = None
        self.orders = OverrideTable(name, self.members.repeats)
        self.urgent_until = self.next_report_at = self.next_totals_at = now
        self.peer_totals = (
            0.0,
            0.0,
            1,
        )  # attempts that peers reported, failed ones of these, number of reporters including this dispatcher
        # peers whose reports on workers changed since `take_reports` last returned them
        self.changed_owners: dict[str, None] = {}

    # --- budgets

    def register_budget(self, name: str, limit: float, now: float, least: int = 1) -> Bucket:
        """Shares a budget of `limit` per second, and returns the bucket with this dispatcher's part of it.

        `least`: minimum number of dispatchers, used if the member list is shorter.
        """
        budget = self.escrow.budgets.get(name)
        if budget is None:
            budget = self._add_budget(name, limit, least)
            self.buckets[name] = Bucket(budget.own_rate_per_s, now, -self.random.random())
        budget.limit = limit
        self._update_rate(now, name)
        return self.buckets[name]

    def _add_budget(self, name: str, limit: float, least: int) -> Budget:
        budget = self.escrow.budgets[name] = Budget(name, limit, max(len(self.members.by_name), least))
        return budget

    def unshared_rate(self, limit: float, least: int, now: float) -> float:
        """Returns the own rate per second of a budget that is not shared yet."""
        own_rate = limit / max(len(self.members.by_name), least)
        return own_rate if now >= self.escrow.full_rate_at else UNLENDABLE_FRACTION * own_rate

    def claim(self, now: float, name: str, family: BudgetFamily) -> None:
        """Creates the shared budget `name` of a family, or postpones its removal if it exists.

        If there are MAX_DYNAMIC_BUDGETS already, the budget is not shared: its rate stays `unshared_rate`.
        """
        if name not in self.escrow.budgets:
            if len(self.last_used_at) >= MAX_DYNAMIC_BUDGETS:
                return
            budget = self._add_budget(name, family.limit, family.min_dispatchers)
            self.buckets[name] = family.make_bucket(name, budget.own_rate_per_s)
            self._update_rate(now, name)
        self.last_used_at[name] = now

    def _claim_requested(self, now: float, rows: list[Row]) -> None:
        """Creates family budgets that only peers demand, so that the own rate can be lent."""
        for name in {
            w.budget for row in rows for w in row.demands if w.rate > 0
        } - self.escrow.budgets.keys():
            for prefix, family in self.families.items():
                if name.startswith(prefix):
                    self.claim(now, name, family)
                    break

    def _remove_idle_budgets(self, now: float) -> None:
        for name, used_at in list(self.last_used_at.items()):
            budget = self.escrow.budgets[name]
            used = self.escrow.lent_rate(name) or self.escrow.borrowed_rate(now, name)
            if used or budget.demand > CHANGE_THRESHOLD * budget.own_rate_per_s:
                self.last_used_at[name] = now
            elif now - used_at > BUDGET_IDLE_TIMEOUT_S:
                del self.last_used_at[name], self.buckets[name], self.escrow.budgets[name]

    def set_dispatchers(self, now: float, names: Iterable[str], least: int = 1) -> None:
        """Replaces the list of dispatchers; at least `least` are assumed to exist."""
        self.members.set_names(names)
        self.rows.repeats = self.members.repeats
        for name, b in self.escrow.budgets.items():
            b.dispatchers = max(len(self.members.by_name), least)
            self._update_rate(now, name)

    def _update_rate(self, now: float, name: str) -> None:
        rate = self.escrow.usable_rate(now, name)
        bucket = self.buckets[name]
        # once the first lease expires, no borrowed rate is used until the next update of the rate
        bucket.guaranteed_rate = rate - self.escrow.borrowed_rate(now, name)
        bucket.set_rate(now, rate, self.escrow.rate_valid_until(now, name))

    # --- receiving

    def receive(self, now: float, p: Packet) -> Packets:
        """Processes a decoded packet. An invalid one, or one of an unlisted sender, is only counted."""
        if p.sender == self.name:
            if p.boot != self.boot:
                self.name_conflicts += 1
            return []
        if p.sender not in self.members.by_name:
            return self._drop("unlisted")
        if validation_error(p) is not None:
            return self._drop("flaw")
        replies = self.members.receive(now, p)
        for row in p.rows:
            if row.owner in self.members.by_name:
                previous = self.rows.by_owner.get(row.owner)
                if self.rows.merge(now, row) and self.evidence is not None:
                    self._record_reports(
                        now, row, previous[0].subject_reports if previous is not None else ()
                    )
        for order in p.orders:
            self.orders.merge(now, order)
        accepted = [self.escrow.accept_grant(now, p.sender, p.boot, g) for g in p.grants]
        returned = [self.escrow.accept_return(p.boot, r) for r in p.returns]
        if any(accepted) or any(returned):
            self._update_rates(now)
        packets = [self._build_packet(now, reply) for reply in replies]
        if p.partial_sum is not None:
            packets += self._sum_packets(self.sums.receive(now, p.sender, p.partial_sum))
        if (correction := self.members.correction_for(p)) is not None and not replies:
            packets.append((p.sender, self._empty_packet(PacketKind.GOSSIP)._replace(updates=(correction,))))
        return packets

    def _record_reports(self, now: float, row: Row, previous: tuple[SubjectReport, ...]) -> None:
        if not (row.subject_reports or previous):
            return
        self.changed_owners[row.owner] = None
        assert self.evidence is not None
        known = {s.subject_id for s in previous if s.bad + s.link >= MIN_URGENT_BAD_ATTEMPTS}
        new_subjects = [
            s.subject_id
            for s in row.subject_reports
            if s.bad + s.link >= MIN_URGENT_BAD_ATTEMPTS and s.subject_id not in known
        ]
        if not all(map(self.evidence.is_ejected, new_subjects)):
            self.urgent_until = now + URGENT_PERIOD_S
            self.rows.urgent[row.owner] = None

    def _drop(self, reason: str) -> Packets:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1
        return []

    # --- sending

    def next_due(self) -> float:
        """Returns the time at which `tick` next has something to do."""
        waves = [self.next_wave_at] if self.settings.wave_s else []
        return min([self.members.next_due(), self.next_gossip_at, *waves])

    def tick(self, now: float) -> Packets:
        """Returns the packets due at `now`; call it at `next_due` or later."""
        packets = [self._build_packet(now, s) for s in self.members.tick(now)]
        if now >= self.next_gossip_at:
            self.next_gossip_at = now + GOSSIP_INTERVAL_S
            packets += self._gossip(now)
        if self.settings.wave_s and now >= self.next_wave_at:
            self.next_wave_at = max(self.next_wave_at + self.settings.wave_s, now + self.settings.wave_s / 2)
            packets += self._sum_packets(self.sums.begin_wave(now, self.members.alive(), self.own_counts()))
        return packets

    def _gossip(self, now: float) -> Packets:
        packets: Packets = []
        rows: list[Row] = []
        if self.evidence is not None and self.evidence.has_urgent_report():
            self.next_row_at, self.urgent_until = now, now + URGENT_PERIOD_S
            self.rows.urgent[self.name] = None
        if self.escrow.budgets or self.families:
            rows = [r for r in self.rows.rows_of_peers(now, MAX_DEMAND_AGE_S) if self._is_present(r)]
            self._claim_requested(now, rows)
        if now >= self.next_row_at:
            self._remove_idle_budgets(now)
            self.rows.remove_expired(now, self.members.by_name)
            if self.escrow.budgets or self.evidence is not None:
                self._write_row(now)
        grants = self.escrow.lend(now, rows)
        by_borrower: dict[str, list[Grant]] = {}
        for to, grant in grants:
            by_borrower.setdefault(to, []).append(grant)
        for to, batch in by_borrower.items():
            while batch:
                n, free_bytes = 0, MAX_PAYLOAD_BYTES
                while n < len(batch) and batch[n].size_bytes <= free_bytes:
                    free_bytes -= batch[n].size_bytes
                    n += 1
                packets.append(
                    (to, self._empty_packet(PacketKind.GOSSIP)._replace(grants=tuple(batch[: n or 1])))
                )
                batch = batch[n or 1 :]
        for to, grant_return in self.escrow.return_unneeded(now):
            packets.append((to, self._empty_packet(PacketKind.GOSSIP)._replace(returns=(grant_return,))))
        self._update_rates(now)
        if self.members.pending_updates or self.rows.repeats_left or self.orders.pending:
            fanout = URGENT_FANOUT if now < self.urgent_until else 1
            packets += [
                self._build_packet(now, OutgoingMessage(PacketKind.GOSSIP, to))
                for to in self.members.sample_alive(fanout)
            ]
        return packets

    def _is_present(self, row: Row) -> bool:
        member = self.members.by_name.get(row.owner)
        return member is not None and member.status is not MemberStatus.GONE

    def _write_row(self, now: float) -> None:
        self.next_row_at = now + ROW_INTERVAL_S
        for name, bucket in self.buckets.items():
            self.escrow.budgets[name].demand = bucket.update_demand(now)
        demands = [
            Demand(
                n,
                self.escrow.excess_demand(now, n),
                self.escrow.borrowed_rate(now, n),
                float(self.buckets[n].spent),
            )
            for n in self.escrow.budgets
        ]
        written_at, previous = self.last_row
        excess_demands = {w.budget: w.rate for w in demands}
        has_changed = any(
            abs(rate - previous.get(n, 0.0)) > CHANGE_THRESHOLD * max(rate, previous.get(n, 0.0))
            for n, rate in excess_demands.items()
        )
        # a demand is published again so that the owners renew its leases before they expire
        is_repeat_due = any(excess_demands.values()) and now - written_at >= 2 * ROW_INTERVAL_S
        own_report = None
        if self.evidence is not None:
            has_changed = has_changed or self.evidence.has_urgent_report()
            own_report = self.evidence.own_report(now)
            published = self.rows.by_owner.get(self.name)
            # after the last case is closed, one more row without reports is published
            open_cases = own_report.subject_reports or (
                published is not None and published[0].subject_reports
            )
            is_repeat_due = is_repeat_due or (bool(open_cases) and now - written_at >= ROW_INTERVAL_S)
        if has_changed or is_repeat_due or now - written_at >= REFRESH_INTERVAL_S:
            self.last_row = now, excess_demands
            self.rows.write(now, self.members.own_member.incarnation, demands, own_report)

    def _update_rates(self, now: float) -> None:
        for name in self.escrow.budgets:
            self._update_rate(now, name)

    def _empty_packet(self, kind: PacketKind) -> Packet:
        return Packet(kind, self.name, self.boot, self.members.own_member.incarnation)

    def _build_packet(self, now: float, message: OutgoingMessage) -> tuple[str, Packet]:
        updates = self.members.select_updates(message.to, MAX_PAYLOAD_BYTES // 2)
        free_bytes = MAX_PAYLOAD_BYTES - sum(r.size_bytes for r in updates)
        overrides = self.orders.select(now, free_bytes // 2)
        free_bytes -= sum(o.size_bytes for o in overrides)
        rows = self.rows.select_rows(now, message.to, free_bytes)
        return message.to, self._empty_packet(message.kind)._replace(
            sequence=message.sequence,
            target=message.target,
            updates=tuple(updates),
            rows=tuple(rows),
            orders=tuple(overrides),
        )

    def _sum_packets(self, parts: list[tuple[str, PartialSum]]) -> Packets:
        return [(to, self._empty_packet(PacketKind.GOSSIP)._replace(partial_sum=part)) for to, part in parts]

    def leave(self, now: float) -> Packets:
        """Returns the packets that announce a graceful shutdown, to avoid the suspicion timeout."""
        own_member = self.members.own_member
        update = MemberUpdate(self.name, own_member.incarnation, MemberStatus.GONE)
        packet = self._empty_packet(PacketKind.GOSSIP)._replace(updates=(update,))
        return [(to, packet) for to in self.members.sample_alive(LEAVE_RECIPIENTS)]

    # --- results

    def take_reports(self, now: float) -> PeerReports | None:
        """Returns the peers' reports on workers if they are due for delivery."""
        if self.evidence is None or now < self.next_report_at - (
            REPORT_INTERVAL_S - URGENT_REPORT_INTERVAL_S
        ) * bool(self.changed_owners):
            return None
        if now >= self.next_totals_at:
            self.next_totals_at = now + REPORT_INTERVAL_S / 2
            rows = [r for r in self.rows.rows_of_peers(now, 2 * MAX_DEMAND_AGE_S) if self._is_present(r)]
            self.peer_totals = (
                sum(r.ended for r in rows),
                sum(min(r.bad, r.ended) for r in rows),
                len(rows) + 1,
            )
        reports = []
        for owner in self.changed_owners:
            if (stored := self.rows.by_owner.get(owner)) is not None:
                reports.append(
                    PeerReport(owner, stored[0].zone, self.rows.age_s(now, owner), stored[0].subject_reports)
                )
        self.changed_owners, self.next_report_at = {}, now + REPORT_INTERVAL_S
        return PeerReports(tuple(reports), *self.peer_totals, self.members.health_score >= UNHEALTHY_SCORE)

    def total(self, now: float) -> Total | None:
        return self.sums.total(now) if self.settings.wave_s else None

    def show(self, now: float) -> dict[str, Any]:
        """Returns the state as a JSON object; times are ages in seconds."""
        budgets = []
        for name, b in self.escrow.budgets.items():
            bucket = self.buckets[name]
            spent, known = self.rows.total_spent(now, name)
            budgets.append(
                {
                    "name": name,
                    "limit_per_s": b.limit,
                    "own_per_s": b.own_rate_per_s,
                    "listed": b.dispatchers,
                    "right_per_s": self.escrow.usable_rate(now, name),
                    "lent_per_s": self.escrow.lent_rate(name),
                    "borrowed_per_s": self.escrow.borrowed_rate(now, name),
                    "needed_per_s": b.demand,
                    "spent": bucket.spent,
                    "refused": bucket.rejected,
                    "spent_by_all": spent,
                    "known_of": known,
                }
            )
        total = self.total(now)
        return {
            "name": self.name,
            "incarnation": self.members.own_member.incarnation,
            "unwell": self.members.health_score,
            "members": [
                {
                    "name": m.name,
                    "standing": m.status.name.lower(),
                    "incarnation": m.incarnation,
                    "since_s": round(now - m.since, 3),
                    "heard_s": round(now - m.last_seen_at, 3) if m.last_seen_at >= 0 else None,
                }
                for _, m in sorted(self.members.by_name.items())
            ],
            "budgets": budgets,
            "counts": None
            if total is None
            else {
                "members": total.members,
                "age_s": round(total.age_s, 3),
                "in_flight": sum(total.counts.values()),
            },
            "dropped": self.dropped,
            "name_conflicts": self.name_conflicts,
        }
