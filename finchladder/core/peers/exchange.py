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
from finchladder.core.peers.escrow import KEPT, Budget, Escrow
from finchladder.core.peers.membership import Members, Say, Timing
from finchladder.core.peers.messages import ROOM, Grant, Kind, Packet, Part, Row, Rumour, Standing, Want, flaw
from finchladder.core.peers.state_rows import REFRESH_S, Rows
from finchladder.core.peers.sums import Sums, Total

GOSSIP_S = 0.1
ROW_S = 0.5
WANTS_AGE_S = 4.0  # a want that is older is not answered: a lease would be half over
MOST_BUDGETS = 128  # that come and go with who asks; those that are configured are not counted
IDLE_S = 10.0  # after which such a one goes, if nothing of it is lent or wanted
LAST_WORDS = 5
AT_ONCE, PRESSING_S = 3, 0.5  # members that are told of a bad real server at a time, and for how long
UNWELL = 3  # of members.py: some lost datagrams prove nothing of real servers
HEARSAY_S, FRESH_S = 2.0, 0.1  # what others say is handed on so often at the least; if it is of bad ones
CHANGED = 0.2  # by so much a want must change to be told before its time
Packets = list[tuple[str, Packet]]


class Rule(NamedTuple):
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


class Family(NamedTuple):
    """Budgets of one kind that come and go, as one for each client's address."""

    limit: float
    least: int
    bucket: Callable[[str, float], Bucket]  # of that name, and what is its own a second


class Peers:
    """Feed it `hear` and `turn`; both return what is to be sent, by the receiver's name."""

    def __init__(
        self,
        own: str,
        names: Iterable[str],
        seed: int,
        incarnation: int,
        now: float,
        rule: Rule | None = None,
        counts: Callable[[], dict[int, float]] = dict,
    ) -> None:
        """`counts`: own slots in flight by real server's number, when a wave begins."""
        self.own, self.rule, self.counts = own, rule or Rule(), counts
        self.random = random = Random(f"{seed}/peers")
        self.boot = random.getrandbits(32)
        self.members = Members(own, names, incarnation, now, random, self.rule.timing)
        self.rows = Rows(own, self.boot, self.members.repeats)
        self.escrow = Escrow(own, self.boot, now)
        self.sums = Sums(own)
        self.buckets: dict[str, Bucket] = {}
        self.families: dict[str, Family] = {}  # by what their names begin with
        self.idle: dict[str, float] = {}  # budgets of families, and when they were last of any use
        self.gossip_at = now + random.random() * GOSSIP_S
        self.row_at = now + random.random() * ROW_S
        self.wave_at = now + random.random() * (self.rule.wave_s or 1.0)
        self.written: tuple[float, dict[str, float]] = 0.0, {}
        self.conflicts = 0  # packets in one's own name from another process
        self.dropped: dict[str, int] = {}
        self.evidence: Evidence | None = None
        self.orders = OverrideTable(own, self.members.repeats)
        self.pressing_until = self.hearsay_at = self.rated_at = now
        self.rated = 0.0, 0.0, 1  # endings that others tell of, bad ones of them, and how many tell
        self.changed: dict[str, None] = {}  # whose words of real servers have, since they were handed on

    # --- budgets

    def share(self, name: str, limit: float, now: float, least: int = 1) -> Bucket:
        """Has a budget of `limit` a second shared, and returns this dispatcher's part of it.

        `least`: dispatchers that are known to exist whatever the list says.
        """
        budget = self.escrow.budgets.get(name)
        if budget is None:
            budget = self._budget(name, limit, least)
            self.buckets[name] = Bucket(budget.own, now, -self.random.random())
        budget.limit = limit
        self._allow(now, name)
        return self.buckets[name]

    def _budget(self, name: str, limit: float, least: int) -> Budget:
        budget = self.escrow.budgets[name] = Budget(name, limit, max(len(self.members.of), least))
        return budget

    def alone(self, limit: float, least: int, now: float) -> float:
        """What is one's own of a budget that nobody has asked others for."""
        own = limit / max(len(self.members.of), least)
        return own if now >= self.escrow.whole_at else KEPT * own

    def claim(self, now: float, name: str, family: Family) -> None:
        """Others are asked for some of it, and may ask for it. Without room, it stays one's own share."""
        if name not in self.escrow.budgets:
            if len(self.idle) >= MOST_BUDGETS:
                return
            budget = self._budget(name, family.limit, family.least)
            self.buckets[name] = family.bucket(name, budget.own)
            self._allow(now, name)
        self.idle[name] = now

    def _asked(self, now: float, rows: list[Row]) -> None:
        """Budgets of families that others want, nobody here has asked for: one's share can be lent."""
        for name in {w.budget for row in rows for w in row.wants if w.rate > 0} - self.escrow.budgets.keys():
            for start, family in self.families.items():
                if name.startswith(start):
                    self.claim(now, name, family)
                    break

    def _shed(self, now: float) -> None:
        for name, at in list(self.idle.items()):
            budget = self.escrow.budgets[name]
            used = self.escrow.lent(name) or self.escrow.borrowed(now, name)
            if used or budget.need > CHANGED * budget.own:
                self.idle[name] = now
            elif now - at > IDLE_S:
                del self.idle[name], self.buckets[name], self.escrow.budgets[name]

    def listed(self, now: float, names: Iterable[str], least: int = 1) -> None:
        """Another list of dispatchers holds."""
        self.members.listed(names)
        self.rows.repeats = self.members.repeats
        for name, b in self.escrow.budgets.items():
            b.listed = max(len(self.members.of), least)
            self._allow(now, name)

    def _allow(self, now: float, name: str) -> None:
        right = self.escrow.right(now, name)
        bucket = self.buckets[name]
        # at the first end of a lease, until this is looked at again, nothing counts that was borrowed
        bucket.fixed = right - self.escrow.borrowed(now, name)
        bucket.allow(now, right, self.escrow.holds_until(now, name))

    # --- hearing

    def hear(self, now: float, p: Packet) -> Packets:
        """A packet that was decoded. What is unusable or of nobody's is counted and changes nothing."""
        if p.sender == self.own:
            if p.boot != self.boot:
                self.conflicts += 1
            return []
        if p.sender not in self.members.of:
            return self._drop("unlisted")
        if flaw(p) is not None:
            return self._drop("flaw")
        said = self.members.hear(now, p)
        for row in p.rows:
            if row.owner in self.members.of:
                before = self.rows.held.get(row.owner)
                if self.rows.merge(now, row) and self.evidence is not None:
                    self._heard_of_servers(now, row, before[0].says if before is not None else ())
        for order in p.orders:
            self.orders.merge(now, order)
        taken = [self.escrow.take(now, p.sender, p.boot, g) for g in p.grants]
        back = [self.escrow.returned_to(p.boot, r) for r in p.returns]
        if any(taken) or any(back):
            self._rights(now)
        told = [self._packet(now, s) for s in said]
        if p.part is not None:
            told += self._parts(self.sums.hear(now, p.sender, p.part))
        if (told_of := self.members.corrects(p)) is not None and not said:
            told.append((p.sender, self._plain(Kind.WORD)._replace(rumours=(told_of,))))
        return told

    def _heard_of_servers(self, now: float, row: Row, before: tuple[WorkerReport, ...]) -> None:
        if not (row.says or before):
            return
        self.changed[row.owner] = None
        assert self.evidence is not None
        known = {s.subject_id for s in before if s.bad + s.link >= MIN_URGENT_BAD_ATTEMPTS}
        new = [
            s.subject_id
            for s in row.says
            if s.bad + s.link >= MIN_URGENT_BAD_ATTEMPTS and s.subject_id not in known
        ]
        if not all(map(self.evidence.is_ejected, new)):
            self.pressing_until = now + PRESSING_S
            self.rows.first[row.owner] = None

    def _drop(self, why: str) -> Packets:
        self.dropped[why] = self.dropped.get(why, 0) + 1
        return []

    # --- saying

    def next_at(self) -> float:
        waves = [self.wave_at] if self.rule.wave_s else []
        return min([self.members.next_at(), self.gossip_at, *waves])

    def turn(self, now: float) -> Packets:
        """What is due by now; to be called at `next_at`, or later."""
        told = [self._packet(now, s) for s in self.members.turn(now)]
        if now >= self.gossip_at:
            self.gossip_at = now + GOSSIP_S
            told += self._gossip(now)
        if self.rule.wave_s and now >= self.wave_at:
            self.wave_at = max(self.wave_at + self.rule.wave_s, now + self.rule.wave_s / 2)
            told += self._parts(self.sums.begin(now, self.members.alive(), self.counts()))
        return told

    def _gossip(self, now: float) -> Packets:
        told: Packets = []
        rows: list[Row] = []
        if self.evidence is not None and self.evidence.has_urgent_report():
            self.row_at, self.pressing_until = now, now + PRESSING_S
            self.rows.first[self.own] = None
        if self.escrow.budgets or self.families:
            rows = [r for r in self.rows.others(now, WANTS_AGE_S) if self._there(r)]
            self._asked(now, rows)
        if now >= self.row_at:
            self._shed(now)
            self.rows.forget(now, self.members.of)
            if self.escrow.budgets or self.evidence is not None:
                self._row(now)
        grants = self.escrow.give(now, rows)
        by: dict[str, list[Grant]] = {}
        for to, grant in grants:
            by.setdefault(to, []).append(grant)
        for to, some in by.items():
            while some:
                n, room = 0, ROOM
                while n < len(some) and some[n].room <= room:
                    room -= some[n].room
                    n += 1
                told.append((to, self._plain(Kind.WORD)._replace(grants=tuple(some[: n or 1]))))
                some = some[n or 1 :]
        for to, back in self.escrow.give_back(now):
            told.append((to, self._plain(Kind.WORD)._replace(returns=(back,))))
        self._rights(now)
        if self.members.hot or self.rows.tell or self.orders.pending:
            to_all = AT_ONCE if now < self.pressing_until else 1
            told += [self._packet(now, Say(Kind.WORD, to)) for to in self.members.some_alive(to_all)]
        return told

    def _there(self, row: Row) -> bool:
        held = self.members.of.get(row.owner)
        return held is not None and held.standing is not Standing.GONE

    def _row(self, now: float) -> None:
        self.row_at = now + ROW_S
        for name, bucket in self.buckets.items():
            self.escrow.budgets[name].need = bucket.needs(now)
        wants = [
            Want(n, self.escrow.wants(now, n), self.escrow.borrowed(now, n), float(self.buckets[n].spent))
            for n in self.escrow.budgets
        ]
        at, before = self.written
        now_wanted = {w.budget: w.rate for w in wants}
        news = any(
            abs(rate - before.get(n, 0.0)) > CHANGED * max(rate, before.get(n, 0.0))
            for n, rate in now_wanted.items()
        )
        # who wants anything says it again while the leases of what it has go on
        wanting = any(now_wanted.values()) and now - at >= 2 * ROW_S
        own = None
        if self.evidence is not None:
            news = news or self.evidence.has_urgent_report()
            own = self.evidence.own_report(now)
            said = self.rows.held.get(self.own)
            # also that nothing is in question any more
            open_ = own.worker_reports or (said is not None and said[0].says)
            wanting = wanting or (bool(open_) and now - at >= ROW_S)
        if news or wanting or now - at >= REFRESH_S:
            self.written = now, now_wanted
            self.rows.write(now, self.members.me.incarnation, wants, own)

    def _rights(self, now: float) -> None:
        for name in self.escrow.budgets:
            self._allow(now, name)

    def _plain(self, kind: Kind) -> Packet:
        return Packet(kind, self.own, self.boot, self.members.me.incarnation)

    def _packet(self, now: float, s: Say) -> tuple[str, Packet]:
        rumours = self.members.rumours(s.to, ROOM // 2)
        room = ROOM - sum(r.room for r in rumours)
        orders = self.orders.select(now, room // 2)
        room -= sum(o.room for o in orders)
        rows = self.rows.some(now, s.to, room)
        return s.to, self._plain(s.kind)._replace(
            number=s.number, about=s.about, rumours=tuple(rumours), rows=tuple(rows), orders=tuple(orders)
        )

    def _parts(self, parts: list[tuple[str, Part]]) -> Packets:
        return [(to, self._plain(Kind.WORD)._replace(part=part)) for to, part in parts]

    def leave(self, now: float) -> Packets:
        """The last words of a process that leaves in good order: nobody need suspect it first."""
        me = self.members.me
        last = Rumour(self.own, me.incarnation, Standing.GONE)
        word = self._plain(Kind.WORD)._replace(rumours=(last,))
        return [(to, word) for to in self.members.some_alive(LAST_WORDS)]

    # --- what is made of it

    def hearsay(self, now: float) -> PeerReports | None:
        """What others say of real servers, if it is due to be handed on."""
        if self.evidence is None or now < self.hearsay_at - (HEARSAY_S - FRESH_S) * bool(self.changed):
            return None
        if now >= self.rated_at:
            self.rated_at = now + HEARSAY_S / 2
            rows = [r for r in self.rows.others(now, 2 * WANTS_AGE_S) if self._there(r)]
            self.rated = sum(r.ended for r in rows), sum(min(r.bad, r.ended) for r in rows), len(rows) + 1
        told = []
        for owner in self.changed:
            if (found := self.rows.held.get(owner)) is not None:
                told.append(PeerReport(owner, found[0].zone, self.rows.age_s(now, owner), found[0].says))
        self.changed, self.hearsay_at = {}, now + HEARSAY_S
        return PeerReports(tuple(told), *self.rated, self.members.health >= UNWELL)

    def total(self, now: float) -> Total | None:
        return self.sums.total(now) if self.rule.wave_s else None

    def show(self, now: float) -> dict[str, Any]:
        """All of it for whoever asks; times are ages in seconds."""
        budgets = []
        for name, b in self.escrow.budgets.items():
            bucket = self.buckets[name]
            spent, known = self.rows.spent(now, name)
            budgets.append(
                {
                    "name": name,
                    "limit_per_s": b.limit,
                    "own_per_s": b.own,
                    "listed": b.listed,
                    "right_per_s": self.escrow.right(now, name),
                    "lent_per_s": self.escrow.lent(name),
                    "borrowed_per_s": self.escrow.borrowed(now, name),
                    "needed_per_s": b.need,
                    "spent": bucket.spent,
                    "refused": bucket.refused,
                    "spent_by_all": spent,
                    "known_of": known,
                }
            )
        total = self.total(now)
        return {
            "name": self.own,
            "incarnation": self.members.me.incarnation,
            "unwell": self.members.health,
            "members": [
                {
                    "name": m.name,
                    "standing": m.standing.name.lower(),
                    "incarnation": m.incarnation,
                    "since_s": round(now - m.since, 3),
                    "heard_s": round(now - m.heard_at, 3) if m.heard_at >= 0 else None,
                }
                for _, m in sorted(self.members.of.items())
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
            "name_conflicts": self.conflicts,
        }
