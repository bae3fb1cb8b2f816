"""One dispatcher among its peers: what it hears, what it says and when, and what it makes of it.

Members, rows, escrow and sums are units of their own; this one packs what they have to say into packets, and
hands each packet to all of them. Nothing that serves a job calls it or waits for it: it is told how much is
asked of each budget, and tells what may be used.

| what it says | how often | to whom |
| --- | --- | --- |
| a ping | each period | one member, in turn (members.py) |
| a word with news | each GOSSIP_S, while there are any | one member, drawn |
| its row | when its wants change by a fifth, at most each ROW_S; else each REFRESH_S | with any of them |
| a grant, a return | at once | who asked, who gave |
| parts of sums | each wave_s | log2 n members (sums.py) |
| its row, of real servers | after a bad ending, each ROW_S while one is in question | AT_ONCE members |
| the operator's words | with any of them | |
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
    WorkerReport,
)
from finchladder.core.peers.bucket import Bucket
from finchladder.core.peers.escrow import UNLENDABLE_SHARE, Budget, Escrow
from finchladder.core.peers.membership import MemberList, ProbeMessage, Timing
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
MAX_DEMAND_AGE_S = 4.0  # a want that is older is not answered: a lease would be half over
MAX_DYNAMIC_BUDGETS = 128  # that come and go with who asks; those that are configured are not counted
BUDGET_IDLE_TIMEOUT_S = 10.0  # after which such a one goes, if nothing of it is lent or wanted
LEAVE_RECIPIENTS = 5
URGENT_FANOUT, URGENT_PERIOD_S = (
    3,
    0.5,
)  # members that are told of a bad real server at a time, and for how long
UNHEALTHY_SCORE = 3  # of members.py: some lost datagrams prove nothing of real servers
REPORT_INTERVAL_S, URGENT_REPORT_INTERVAL_S = (
    2.0,
    0.1,
)  # what others say is handed on so often at the least; if it is of bad ones
CHANGE_THRESHOLD = 0.2  # by so much a want must change to be told before its time
Packets = list[tuple[str, Packet]]


class ExchangeSettings(NamedTuple):
    """How this dispatcher takes part. `wave_s` 0: counts are not shared."""

    timing: Timing = Timing()
    wave_s: float = 0.0


class Evidence(Protocol):
    """What this dispatcher has to say of real servers."""

    def has_urgent_report(self) -> bool: ...  # a bad ending that was not told yet
    def own_report(self, now: float) -> OwnReport: ...
    def is_ejected(
        self, subject_id: int
    ) -> bool: ...  # held out here already: more words change nothing soon


class BudgetFamily(NamedTuple):
    """Budgets of one kind that come and go, as one for each client's address."""

    limit: float
    min_dispatchers: int
    make_bucket: Callable[[str, float], Bucket]  # of that name, and what is its own a second


class Peers:
    """Feed it `hear` and `turn`; both return what is to be sent, by the receiver's name."""

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
        """`counts`: own slots in flight by real server's number, when a wave begins."""
        self.name, self.settings, self.own_counts = name, settings or ExchangeSettings(), own_counts
        self.random = random = Random(f"{seed}/peers")
        self.boot = random.getrandbits(32)
        self.members = MemberList(name, names, incarnation, now, random, self.settings.timing)
        self.rows = RowTable(name, self.boot, self.members.repeats)
        self.escrow = Escrow(name, self.boot, now)
        self.sums = FleetSums(name)
        self.buckets: dict[str, Bucket] = {}
        self.families: dict[str, BudgetFamily] = {}  # by what their names begin with
        self.last_used_at: dict[str, float] = {}  # budgets of families, and when they were last of any use
        self.next_gossip_at = now + random.random() * GOSSIP_INTERVAL_S
        self.next_row_at = now + random.random() * ROW_INTERVAL_S
        self.next_wave_at = now + random.random() * (self.settings.wave_s or 1.0)
        self.last_row: tuple[float, dict[str, float]] = 0.0, {}
        self.name_conflicts = 0  # packets in one's own name from another process
        self.dropped: dict[str, int] = {}
        self.evidence: Evidence | None = None
        self.orders = OverrideTable(name, self.members.repeats)
        self.urgent_until = self.next_report_at = self.next_totals_at = now
        self.peer_totals = 0.0, 0.0, 1  # endings that others tell of, bad ones of them, and how many tell
        self.changed_owners: dict[
            str, None
        ] = {}  # whose words of real servers have, since they were handed on

    # --- budgets

    def share(self, name: str, limit: float, now: float, least: int = 1) -> Bucket:
        """Has a budget of `limit` a second shared, and returns this dispatcher's part of it.

        `least`: dispatchers that are known to exist whatever the list says.
        """
        budget = self.escrow.budgets.get(name)
        if budget is None:
            budget = self._add_budget(name, limit, least)
            self.buckets[name] = Bucket(budget.own_share, now, -self.random.random())
        budget.limit = limit
        self._update_rate(now, name)
        return self.buckets[name]

    def _add_budget(self, name: str, limit: float, least: int) -> Budget:
        budget = self.escrow.budgets[name] = Budget(name, limit, max(len(self.members.by_name), least))
        return budget

    def unshared_rate(self, limit: float, least: int, now: float) -> float:
        """What is one's own of a budget that nobody has asked others for."""
        own = limit / max(len(self.members.by_name), least)
        return own if now >= self.escrow.full_share_at else UNLENDABLE_SHARE * own

    def claim(self, now: float, name: str, family: BudgetFamily) -> None:
        """Others are asked for some of it, and may ask for it. Without room, it stays one's own share."""
        if name not in self.escrow.budgets:
            if len(self.last_used_at) >= MAX_DYNAMIC_BUDGETS:
                return
            budget = self._add_budget(name, family.limit, family.min_dispatchers)
            self.buckets[name] = family.make_bucket(name, budget.own_share)
            self._update_rate(now, name)
        self.last_used_at[name] = now

    def _claim_requested(self, now: float, rows: list[Row]) -> None:
        """Budgets of families that others want, nobody here has asked for: one's share can be lent."""
        for name in {
            w.budget for row in rows for w in row.demands if w.rate > 0
        } - self.escrow.budgets.keys():
            for start, family in self.families.items():
                if name.startswith(start):
                    self.claim(now, name, family)
                    break

    def _remove_idle_budgets(self, now: float) -> None:
        for name, at in list(self.last_used_at.items()):
            budget = self.escrow.budgets[name]
            used = self.escrow.lent_rate(name) or self.escrow.borrowed_rate(now, name)
            if used or budget.demand > CHANGE_THRESHOLD * budget.own_share:
                self.last_used_at[name] = now
            elif now - at > BUDGET_IDLE_TIMEOUT_S:
                del self.last_used_at[name], self.buckets[name], self.escrow.budgets[name]

    def set_dispatchers(self, now: float, names: Iterable[str], least: int = 1) -> None:
        """Another list of dispatchers holds."""
        self.members.set_names(names)
        self.rows.repeats = self.members.repeats
        for name, b in self.escrow.budgets.items():
            b.dispatchers = max(len(self.members.by_name), least)
            self._update_rate(now, name)

    def _update_rate(self, now: float, name: str) -> None:
        right = self.escrow.usable_rate(now, name)
        bucket = self.buckets[name]
        # at the first end of a lease, until this is looked at again, nothing counts that was borrowed
        bucket.guaranteed_rate = right - self.escrow.borrowed_rate(now, name)
        bucket.set_rate(now, right, self.escrow.rate_valid_until(now, name))

    # --- hearing

    def receive(self, now: float, p: Packet) -> Packets:
        """A packet that was decoded. What is unusable or of nobody's is counted and changes nothing."""
        if p.sender == self.name:
            if p.boot != self.boot:
                self.name_conflicts += 1
            return []
        if p.sender not in self.members.by_name:
            return self._drop("unlisted")
        if validation_error(p) is not None:
            return self._drop("flaw")
        said = self.members.receive(now, p)
        for row in p.rows:
            if row.owner in self.members.by_name:
                before = self.rows.by_owner.get(row.owner)
                if self.rows.merge(now, row) and self.evidence is not None:
                    self._record_reports(now, row, before[0].worker_reports if before is not None else ())
        for order in p.orders:
            self.orders.merge(now, order)
        taken = [self.escrow.accept_grant(now, p.sender, p.boot, g) for g in p.grants]
        back = [self.escrow.accept_return(p.boot, r) for r in p.returns]
        if any(taken) or any(back):
            self._update_rates(now)
        told = [self._build_packet(now, s) for s in said]
        if p.partial_sum is not None:
            told += self._sum_packets(self.sums.receive(now, p.sender, p.partial_sum))
        if (told_of := self.members.correction_for(p)) is not None and not said:
            told.append((p.sender, self._empty_packet(PacketKind.GOSSIP)._replace(updates=(told_of,))))
        return told

    def _record_reports(self, now: float, row: Row, before: tuple[WorkerReport, ...]) -> None:
        if not (row.worker_reports or before):
            return
        self.changed_owners[row.owner] = None
        assert self.evidence is not None
        known = {s.subject_id for s in before if s.bad + s.link >= MIN_URGENT_BAD_ATTEMPTS}
        new = [
            s.subject_id
            for s in row.worker_reports
            if s.bad + s.link >= MIN_URGENT_BAD_ATTEMPTS and s.subject_id not in known
        ]
        if not all(map(self.evidence.is_ejected, new)):
            self.urgent_until = now + URGENT_PERIOD_S
            self.rows.urgent[row.owner] = None

    def _drop(self, why: str) -> Packets:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        return []

    # --- saying

    def next_at(self) -> float:
        waves = [self.next_wave_at] if self.settings.wave_s else []
        return min([self.members.next_at(), self.next_gossip_at, *waves])

    def tick(self, now: float) -> Packets:
        """What is due by now; to be called at `next_at`, or later."""
        told = [self._build_packet(now, s) for s in self.members.tick(now)]
        if now >= self.next_gossip_at:
            self.next_gossip_at = now + GOSSIP_INTERVAL_S
            told += self._gossip(now)
        if self.settings.wave_s and now >= self.next_wave_at:
            self.next_wave_at = max(self.next_wave_at + self.settings.wave_s, now + self.settings.wave_s / 2)
            told += self._sum_packets(self.sums.begin_wave(now, self.members.alive(), self.own_counts()))
        return told

    def _gossip(self, now: float) -> Packets:
        told: Packets = []
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
        by: dict[str, list[Grant]] = {}
        for to, grant in grants:
            by.setdefault(to, []).append(grant)
        for to, some in by.items():
            while some:
                n, room = 0, MAX_PAYLOAD_BYTES
                while n < len(some) and some[n].room <= room:
                    room -= some[n].room
                    n += 1
                told.append(
                    (to, self._empty_packet(PacketKind.GOSSIP)._replace(grants=tuple(some[: n or 1])))
                )
                some = some[n or 1 :]
        for to, back in self.escrow.return_unneeded(now):
            told.append((to, self._empty_packet(PacketKind.GOSSIP)._replace(returns=(back,))))
        self._update_rates(now)
        if self.members.pending_updates or self.rows.repeats_left or self.orders.pending:
            to_all = URGENT_FANOUT if now < self.urgent_until else 1
            told += [
                self._build_packet(now, ProbeMessage(PacketKind.GOSSIP, to))
                for to in self.members.sample_alive(to_all)
            ]
        return told

    def _is_present(self, row: Row) -> bool:
        held = self.members.by_name.get(row.owner)
        return held is not None and held.status is not MemberStatus.GONE

    def _write_row(self, now: float) -> None:
        self.next_row_at = now + ROW_INTERVAL_S
        for name, bucket in self.buckets.items():
            self.escrow.budgets[name].demand = bucket.update_demand(now)
        wants = [
            Demand(
                n,
                self.escrow.excess_demand(now, n),
                self.escrow.borrowed_rate(now, n),
                float(self.buckets[n].spent),
            )
            for n in self.escrow.budgets
        ]
        at, before = self.last_row
        now_wanted = {w.budget: w.rate for w in wants}
        news = any(
            abs(rate - before.get(n, 0.0)) > CHANGE_THRESHOLD * max(rate, before.get(n, 0.0))
            for n, rate in now_wanted.items()
        )
        # who wants anything says it again while the leases of what it has go on
        wanting = any(now_wanted.values()) and now - at >= 2 * ROW_INTERVAL_S
        own = None
        if self.evidence is not None:
            news = news or self.evidence.has_urgent_report()
            own = self.evidence.own_report(now)
            said = self.rows.by_owner.get(self.name)
            # also that nothing is in question any more
            open_ = own.worker_reports or (said is not None and said[0].worker_reports)
            wanting = wanting or (bool(open_) and now - at >= ROW_INTERVAL_S)
        if news or wanting or now - at >= REFRESH_INTERVAL_S:
            self.last_row = now, now_wanted
            self.rows.write(now, self.members.own_member.incarnation, wants, own)

    def _update_rates(self, now: float) -> None:
        for name in self.escrow.budgets:
            self._update_rate(now, name)

    def _empty_packet(self, kind: PacketKind) -> Packet:
        return Packet(kind, self.name, self.boot, self.members.own_member.incarnation)

    def _build_packet(self, now: float, s: ProbeMessage) -> tuple[str, Packet]:
        rumours = self.members.select_updates(s.to, MAX_PAYLOAD_BYTES // 2)
        room = MAX_PAYLOAD_BYTES - sum(r.room for r in rumours)
        orders = self.orders.select(now, room // 2)
        room -= sum(o.room for o in orders)
        rows = self.rows.select_rows(now, s.to, room)
        return s.to, self._empty_packet(s.kind)._replace(
            sequence=s.sequence,
            target=s.target,
            updates=tuple(rumours),
            rows=tuple(rows),
            orders=tuple(orders),
        )

    def _sum_packets(self, parts: list[tuple[str, PartialSum]]) -> Packets:
        return [(to, self._empty_packet(PacketKind.GOSSIP)._replace(partial_sum=part)) for to, part in parts]

    def leave(self, now: float) -> Packets:
        """The last words of a process that leaves in good order: nobody need suspect it first."""
        me = self.members.own_member
        last = MemberUpdate(self.name, me.incarnation, MemberStatus.GONE)
        word = self._empty_packet(PacketKind.GOSSIP)._replace(updates=(last,))
        return [(to, word) for to in self.members.sample_alive(LEAVE_RECIPIENTS)]

    # --- what is made of it

    def take_reports(self, now: float) -> PeerReports | None:
        """What others say of real servers, if it is due to be handed on."""
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
        told = []
        for owner in self.changed_owners:
            if (found := self.rows.by_owner.get(owner)) is not None:
                told.append(
                    PeerReport(owner, found[0].zone, self.rows.age_s(now, owner), found[0].worker_reports)
                )
        self.changed_owners, self.next_report_at = {}, now + REPORT_INTERVAL_S
        return PeerReports(tuple(told), *self.peer_totals, self.members.health_score >= UNHEALTHY_SCORE)

    def total(self, now: float) -> Total | None:
        return self.sums.total(now) if self.settings.wave_s else None

    def show(self, now: float) -> dict[str, Any]:
        """All of it for whoever asks; times are ages in seconds."""
        budgets = []
        for name, b in self.escrow.budgets.items():
            bucket = self.buckets[name]
            spent, known = self.rows.total_spent(now, name)
            budgets.append(
                {
                    "name": name,
                    "limit_per_s": b.limit,
                    "own_per_s": b.own_share,
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
