"""Membership: which real servers are believed to be there, where several sources tell of them.

What goes in: `Report` (a whole list, or changed entries) and `heard` (nothing new, but alive), each with the
time; `due` when `next_due` has come. What comes out: `Decided`, the differences of the believed list.

- One source leads: the first that is live. It says who is there. Another takes over when it is lost.
- Any source's word that a real server drains holds, for the start that it is about and those before.
- Of two starts of one real server the newer counts, whoever tells of it.
- A mass that vanishes at once, and what comes and goes too often, is not believed at once (vanishing.py).
- What a source tells out of its order waits until it is clear what it is (sources.py).
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from math import inf
from typing import NamedTuple

from finchladder.core.api import ListKind, WorkerEntry, WorkerList, WorkerStatus
from finchladder.core.membership.disagreement import DISAGREE_S, Differing
from finchladder.core.membership.removal_guards import FlapDamping, GuardEvent, MassRemovalGuard
from finchladder.core.membership.sources import ANY_START as ANY_START
from finchladder.core.membership.sources import NOTHING, SourceState, SourceUpdate, Standing
from finchladder.core.membership.sources import Address as Address
from finchladder.core.membership.sources import Report as Report
from finchladder.core.membership.sources import Source as Source

SLICE_SIZE = 256  # entries told to be ready that one step goes through: some 2 ms
MAX_NAMES_IN_FACT = 3


class FactKind(Enum):
    """What is worth a line in the log; `Fact.number` and `Fact.seconds` as said here."""

    LEADS = "leads"  # `source` is followed from now on; number: entries that it lists
    LOST = "lost"  # nothing was heard of `source` for so long; number: entries it last told
    BACK = "back"  # `source` is in step again, after so long
    STALE = "stale"  # a report of `source` does not follow on what it told before, and was dropped
    BEHIND = "behind"  # `source` tells a list that is so many versions older than its last: it is doubted
    ANEW = "anew"  # `source` has begun anew: the doubted list, or one of another epoch, holds
    HOLDING = "holding"  # so many entries vanished at once: they stay until a second sign
    RELEASED = "released"  # so many of them are gone
    RETURNED = "returned"  # of all that were held, each is listed again or gone
    FLAPS = "flaps"  # `names` came and went too often: they must be steady first
    DISAGREE = "disagree"  # `source`, who does not lead, says otherwise of so many entries, `names` first
    AGREED = "agreed"  # it does no more
    OLD = "old"  # the list in use was last told so long ago that any other is taken
    FULL = "full"  # `source` tells so many entries more than are kept


class Fact(NamedTuple):
    what: FactKind
    source: str = ""
    names: tuple[str, ...] = ()  # the first few concerned
    number: int = 0
    seconds: float = 0.0


class Decided(NamedTuple):
    """What has changed of the believed list: what RealServers.update takes, what is not ready first.

    The first one that has entries is WHOLE (of a list of before: STALE), all others are PATCH. There is
    nothing to apply where `workers.entries` is empty.
    """

    workers: WorkerList
    addresses: dict[str, Address]
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Shares are of the believed entries that do not drain; times are seconds."""

    max_vanish: float = 0.5  # more gone at once, without having drained, is not believed; 1: always believed
    vanish_window_s: float = 10.0  # what "at once" means: leases that were cut off end over their whole time
    hold_s: float = 900.0  # held without a second sign for so long, it is believed where others are ready
    max_age_s: float = 3600.0  # beyond it a list is not started with, and protects itself no more
    settle_s: float = 5.0  # a better source must have been live for so long before it leads again
    back_s: float = 1.5  # a source that tells older versions for so long has begun anew
    flap_most: int = 3  # times that an entry may stop being ready within `flap_window_s`
    flap_window_s: float = 60.0
    flap_hold_s: float = 1.5  # beyond that it must have been ready for so long

    def __post_init__(self) -> None:
        bounds = {
            "max_vanish": (0.05, 1.0),
            "vanish_window_s": (1.0, 300.0),
            "hold_s": (10.0, 86_400.0),
            "max_age_s": (60.0, 2_592_000.0),
            "settle_s": (0.0, 600.0),
            "back_s": (0.0, 600.0),
            "flap_most": (1, 100),
            "flap_window_s": (1.0, 3600.0),
            "flap_hold_s": (0.1, 60.0),
        }
        for name, (least, most) in bounds.items():
            if not least <= getattr(self, name) <= most:
                raise ValueError(f"membership: {name} must be from {least:g} to {most:g}")


class Belief(Enum):
    """What is believed of one real server."""

    __hash__ = object.__hash__  # Enum's own takes longer than the rest of a look-up

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    HELD = "held"  # listed no more, but so many vanished with it that it stays as it was
    DAMPED = "damped"  # told to be ready, but it came and went too often


class SourceVerdict(Enum):
    """What the sources, taken together, say of it."""

    __hash__ = object.__hash__

    READY = "ready"
    FLAPPING = "flaps"  # ready, and it has come and gone too often
    DRAINING = "draining"
    GONE = "gone"
    MASS_REMOVAL = "mass"  # gone, with too many others


B = Belief
TRANSITIONS = {
    (B.ABSENT, SourceVerdict.READY): B.READY,
    (B.ABSENT, SourceVerdict.FLAPPING): B.DAMPED,
    (B.ABSENT, SourceVerdict.DRAINING): B.DRAINING,
    (B.ABSENT, SourceVerdict.GONE): B.ABSENT,
    (B.ABSENT, SourceVerdict.MASS_REMOVAL): B.HELD,  # vanished within the window, before there were too many
    (B.READY, SourceVerdict.READY): B.READY,
    (B.READY, SourceVerdict.DRAINING): B.DRAINING,
    (B.READY, SourceVerdict.GONE): B.ABSENT,
    (B.READY, SourceVerdict.MASS_REMOVAL): B.HELD,
    (B.DRAINING, SourceVerdict.READY): B.READY,
    (B.DRAINING, SourceVerdict.FLAPPING): B.DAMPED,
    (B.DRAINING, SourceVerdict.DRAINING): B.DRAINING,
    (B.DRAINING, SourceVerdict.GONE): B.ABSENT,
    (B.HELD, SourceVerdict.READY): B.READY,
    (B.HELD, SourceVerdict.DRAINING): B.DRAINING,
    (B.HELD, SourceVerdict.GONE): B.ABSENT,
    (B.HELD, SourceVerdict.MASS_REMOVAL): B.HELD,
    (B.DAMPED, SourceVerdict.READY): B.READY,
    (B.DAMPED, SourceVerdict.FLAPPING): B.DAMPED,
    (B.DAMPED, SourceVerdict.DRAINING): B.DRAINING,
    (B.DAMPED, SourceVerdict.GONE): B.ABSENT,
}
STATES = {
    B.ABSENT: WorkerStatus.REMOVED,
    B.READY: WorkerStatus.READY,
    B.DRAINING: WorkerStatus.DRAINING,
    B.HELD: WorkerStatus.READY,
    B.DAMPED: WorkerStatus.DRAINING,
}


UNAVAILABLE = frozenset({B.ABSENT, B.DRAINING, B.DAMPED})  # what gets nothing new
REACHABLE_STANDINGS = frozenset({Standing.LIVE, Standing.CATCHING_UP, Standing.BEHIND})


class MemberRecord:
    """One real server of the list; `entry.state` is the sources' word, `belief` what holds."""

    __slots__ = ("belief", "entry", "address")

    def __init__(self, belief: Belief, entry: WorkerEntry, address: Address) -> None:
        self.belief, self.entry, self.address = belief, entry, address

    def effective(self) -> tuple[WorkerEntry, Address]:
        state = STATES[self.belief]
        return (self.entry if self.entry.state is state else self.entry._replace(state=state)), self.address


EffectiveEntry = tuple[WorkerEntry, Address]


class Membership:
    """Sources best first. A change costs O(entries changed x sources), a whole list O(its entries), another
    leader or a source that is lost or back O(entries of both lists); nothing else grows with the fleet.
    """

    def __init__(self, sources: Sequence[Source], settings: MembershipSettings) -> None:
        self.settings = settings
        self.source_states = [SourceState(source, rank) for rank, source in enumerate(sources)]
        self.by_name = {t.source.name: t for t in self.source_states}
        if len(self.by_name) < len(self.source_states) or not self.source_states:
            raise ValueError("membership: sources are needed, each with a name of its own")
        self.lead: SourceState | None = None
        self.drain_sources: list[SourceState] = []  # whose drains hold; the leader first
        self.others: list[SourceState] = []  # who is live and does not lead
        self.members: dict[str, MemberRecord] = {}
        self.counts = dict.fromkeys(Belief, 0)
        self.mass_removal_guard = MassRemovalGuard(
            settings.max_vanish, settings.vanish_window_s, settings.hold_s
        )
        self.flap_damping = FlapDamping(settings.flap_most, settings.flap_window_s, settings.flap_hold_s)
        self.differing = Differing()
        self.dropped: set[str] = set()  # sources whose reports were dropped since one was taken
        self.lost: set[str] = set()  # sources that were live, and are lost
        self.began = self.old = False
        self.pending_names: dict[str, None] = {}  # told of, and not gone through yet
        self._before: dict[str, EffectiveEntry | None] = {}  # of what the step has touched
        self._damped: list[str] = []
        self._facts: list[Fact] = []

    # --- what goes in

    def report(self, now: float, r: Report) -> Decided:
        """KeyError: a source that was not named at the start."""
        t = self.by_name[r.source]
        if r.workers.kind is ListKind.STALE and r.age_s > self.settings.max_age_s:
            self._tell(FactKind.OLD, t, seconds=r.age_s)
            return self._step(now, t, lambda: NOTHING)
        return self._step(now, t, lambda: t.report(now, r))

    def heard(self, now: float, source: str, in_step: bool = True) -> Decided:
        """There is nothing new, but the source is there."""
        t = self.by_name[source]
        return self._step(now, t, lambda: t.heard(now, in_step))

    def due(self, now: float) -> Decided:
        """What the time brings; to be called at `next_due`, and harmless at any other time."""
        return self._step(now, None, lambda: NOTHING)

    # --- what can be asked

    @property
    def up(self) -> bool:
        """Whether there is a list; an empty one from before is none."""
        return bool(self.members) or any(t.is_live for t in self.source_states)

    def age_s(self, now: float) -> float:
        """Since the list in use was last known to hold."""
        return inf if self.lead is None else now - self.lead.valid_at

    @property
    def next_due(self) -> float:
        """The time at which `due` may change something; -inf: now, inf: at none."""
        s, lead = self.settings, self.lead
        if self.pending_names:
            return -inf
        times = [
            self.mass_removal_guard.next_due(self._listed()),
            self.flap_damping.next_due(),
            self.differing.next_due(),
        ]
        for t in self.source_states:
            times.append(t.next_expiry_at)
            if t.standing in REACHABLE_STANDINGS:
                times.append(t.received_at + t.source.quiet_s)
            if t.standing is Standing.BEHIND:
                times.append(t.since if self.old else t.since + s.back_s)
            if lead is not None and t.is_live and t.rank < lead.rank:
                times.append(t.since + s.settle_s)
            if t is not lead and t in self.drain_sources and not t.is_live:
                times.append(t.valid_at + s.max_age_s)
        if lead is not None and not self.old and not any(t.is_live for t in self.source_states):
            times.append(lead.valid_at + s.max_age_s)
        return min(times)

    # --- a step

    def _step(self, now: float, teller: SourceState | None, act: Callable[[], SourceUpdate]) -> Decided:
        before = [t.standing for t in self.source_states]
        names = self._time(now)
        if teller is not None:
            first, told = not teller.listed, self._heed(now, teller, act())
            if not (first and teller.is_live):  # else nothing hung on its words before
                names |= told
        turned = [
            (t, was) for t, was in zip(self.source_states, before, strict=True) if t.standing is not was
        ]
        for t, was in turned:
            self._note(now, t, was)
        names |= self._choose(now)
        for t, was in turned:  # whether its words count where they are not the leader's
            if self.lead is not None and t is not self.lead and Standing.LIVE in (was, t.standing):
                names |= _unlike(t, self.lead)
        names |= self._weigh(now)
        if self.lead is not None:
            self._go_through(now, names, self.lead)
        self._guard(now)
        self._undamp(now)
        self._differ(now)
        return self._decided(now)

    def _time(self, now: float) -> dict[str, None]:
        names: dict[str, None] = {}
        for t in self.source_states:
            if t.standing is Standing.BEHIND and (self.old or now >= t.since + self.settings.back_s):
                names |= self._heed(now, t, t.anew(now))
            if t.standing in REACHABLE_STANDINGS and now >= t.received_at + t.source.quiet_s:
                names |= t.quiet(now).names
            names |= t.expire_departures(now)
        return names

    def _heed(self, now: float, t: SourceState, told: SourceUpdate) -> dict[str, None]:
        if told.stale:
            if t.source.name not in self.dropped:
                self._tell(FactKind.STALE, t)
            self.dropped.add(t.source.name)
        elif told.names:
            self.dropped.discard(t.source.name)
        if told.versions_behind:
            self._tell(FactKind.BEHIND, t, number=told.versions_behind)
        if told.restarted:
            self._tell(FactKind.ANEW, t, number=len(t.table))
        if told.left_out:
            self._tell(FactKind.FULL, t, number=told.left_out)
        return told.names

    def _note(self, now: float, t: SourceState, was: Standing) -> None:
        name = t.source.name
        if t.standing is Standing.LOST and was in (Standing.LIVE, Standing.BEHIND):
            self.lost.add(name)
            self._tell(FactKind.LOST, t, number=len(t.table), seconds=now - t.received_at)
        elif t.is_live and name in self.lost:
            self.lost.discard(name)
            self._tell(FactKind.BACK, t)

    def _choose(self, now: float) -> dict[str, None]:
        """Who leads, and of whom it must be judged anew if that has changed."""
        cur = self.lead
        live = [t for t in self.source_states if t.is_live]
        if live:
            self.old = False
        elif cur is not None and not self.old and now >= cur.valid_at + self.settings.max_age_s:
            self.old = True
            self._tell(FactKind.OLD, cur, seconds=now - cur.valid_at)
        if cur is not None and (cur.is_live or (cur.standing is Standing.BEHIND and not self.old)):
            new = next(
                (t for t in live if t.rank < cur.rank and now >= t.since + self.settings.settle_s), cur
            )
        else:
            found = live or ([cur] if cur is not None else [t for t in self.source_states if t.listed])
            if not found:
                return {}
            new = found[0]
        if new is cur:
            return {}
        self.lead = new
        self._tell(FactKind.LEADS, new, number=len(new.table))
        self.differing.clear()
        if cur is None:
            return dict.fromkeys(new.table)
        return _unlike(cur, new)

    def _weigh(self, now: float) -> dict[str, None]:
        """Whose words count. Drains of a lost source hold until its list is too old."""
        was, lead = self.drain_sources, self.lead
        self.others = [t for t in self.source_states if t.is_live and t is not lead]
        self.drain_sources = [lead] if lead is not None else []
        for t in self.source_states:
            lately = t.is_live or now < t.valid_at + self.settings.max_age_s
            if t is not lead and t.listed and lately and not t.source.past:
                self.drain_sources.append(t)
        names: dict[str, None] = {}
        for t in was:
            if t not in self.drain_sources:
                names |= t.draining_names()
        return names

    # --- one real server

    def _go_through(self, now: float, names: dict[str, None], lead: SourceState) -> None:
        """What is gone or drains at once, as a mass is only seen whole; the rest in slices."""
        at_once: list[str] = []
        for name in names:
            if name not in lead.table or any(name in t.may_drain for t in self.drain_sources):
                self.pending_names.pop(name, None)
                at_once.append(name)
            else:
                self.pending_names[name] = None
        if len(at_once) > SLICE_SIZE:
            at_once = self._hold_first(now, at_once, lead)
        for name in at_once:
            self._judge(now, name, lead)
        for name in list(islice(self.pending_names, SLICE_SIZE)):
            del self.pending_names[name]
            self._judge(now, name, lead)

    def _hold_first(self, now: float, names: list[str], lead: SourceState) -> list[str]:
        """Where too many vanish, nothing of that shows: it may wait its turn. The others are returned."""
        vanish = {
            name: None
            for name in names
            if (b := self.members.get(name)) is not None
            and b.belief not in UNAVAILABLE
            and not lead.lists(name)
            and not self._confirmed(name, b.entry.started_at)
        }
        self._mass(now, vanish)
        if not self.mass_removal_guard.is_protecting:
            return names
        self.pending_names |= vanish
        return [name for name in names if name not in vanish]

    def _confirmed(self, name: str, born: float) -> bool:
        """Whether there is a second sign that it is gone, or it has drained."""
        return any(name in t.departures for t in self.others) or any(
            t.draining_start(name) >= born for t in self.drain_sources
        )

    def _judge(self, now: float, name: str, lead: SourceState) -> None:
        word = lead.table.get(name)
        if self.others or self.differing.told or self.differing.new:
            self.differing.see(now, name, lead, self.others)
        if word is None or word.address is None:
            return self._missing(now, name)
        entry, address = word.entry, word.address
        newest = entry.started_at if entry.started_at != ANY_START else -1.0
        drains = max(t.draining_start(name) for t in self.drain_sources)
        for t in self.others:
            other = t.table.get(name)
            if (
                other is not None
                and other.address is not None
                and newest < other.entry.started_at < ANY_START
            ):
                entry, address, newest = other.entry, other.address, other.entry.started_at
        b = self.members.get(name)
        belief = b.belief if b is not None else Belief.ABSENT
        if drains >= entry.started_at:
            says = SourceVerdict.DRAINING
        elif belief in UNAVAILABLE and (belief is Belief.DAMPED or self.flap_damping.is_flapping(now, name)):
            says = SourceVerdict.FLAPPING
        else:
            says = SourceVerdict.READY
        if entry.started_at == ANY_START:  # a notice, and of the real server itself nothing newer is known
            entry = entry._replace(started_at=b.entry.started_at if b is not None else 0.0)
        if self.mass_removal_guard.recent_removals or self.mass_removal_guard.held:
            self.mass_removal_guard.record_return(now, name)
        self._set(now, name, says, entry, address)

    def _missing(self, now: float, name: str) -> None:
        """Who leads does not list it."""
        b = self.members.get(name) or self.mass_removal_guard.recent_removals.get(name)
        if b is None:
            return
        if self._confirmed(name, b.entry.started_at):
            self.mass_removal_guard.resolve(name)
            says = SourceVerdict.GONE
        elif not isinstance(b, MemberRecord):  # vanished before, and no second sign of it
            return
        elif b.belief in UNAVAILABLE:
            says = SourceVerdict.GONE
        elif self.mass_removal_guard.is_protecting:
            self.mass_removal_guard.hold(name)
            says = SourceVerdict.MASS_REMOVAL
        else:
            self.mass_removal_guard.record_removal(now, name, b.entry, b.address)
            says = SourceVerdict.GONE
        self._set(now, name, says, b.entry, b.address)

    def _set(self, now: float, name: str, says: SourceVerdict, entry: WorkerEntry, address: Address) -> None:
        b = self.members.get(name)
        if name not in self._before:
            self._before[name] = b.effective() if b is not None else None
        old = b.belief if b is not None else Belief.ABSENT
        new = TRANSITIONS[old, says]
        if new is not old:
            self.counts[old] -= 1
            self.counts[new] += 1
        if new is Belief.ABSENT:
            self.members.pop(name, None)
        elif b is None:
            self.members[name] = MemberRecord(new, entry, address)
        else:
            b.belief, b.entry, b.address = new, entry, address
        if new is Belief.DAMPED:
            self.flap_damping.damp(now, name)
            if old is not Belief.DAMPED:
                self._damped.append(name)
        elif old is Belief.DAMPED:
            self.flap_damping.undamp(name)

    # --- all of them

    def _listed(self) -> int:
        return self.counts[Belief.READY] + self.counts[Belief.HELD] + self.counts[Belief.DAMPED]

    def _guard(self, now: float) -> None:
        self._mass(now, {})
        if self.pending_names:
            return  # who is held is known once all have been gone through
        while (
            turn := self.mass_removal_guard.advance(now, self._listed(), self.counts[Belief.READY])
        ) is not None:
            if turn is GuardEvent.NONE_HELD:
                self._tell(FactKind.RETURNED, self.lead)
                continue
            over = [
                name
                for name in self.mass_removal_guard.held
                if turn is GuardEvent.BELOW_THRESHOLD or not self._elsewhere(name)
            ]
            for name in over:
                b = self.members[name]
                self.mass_removal_guard.resolve(name)
                self._set(now, name, SourceVerdict.GONE, b.entry, b.address)
            if over:
                self._tell(FactKind.RELEASED, self.lead, over, len(over))

    def _mass(self, now: float, more: dict[str, None]) -> None:
        back = self.mass_removal_guard.detect_mass_removal(now, self._listed(), len(more))
        if back is None:
            return
        for name, gone in back.items():
            self._set(now, name, SourceVerdict.MASS_REMOVAL, gone.entry, gone.address)
        names = [*islice(back, MAX_NAMES_IN_FACT), *islice(more, MAX_NAMES_IN_FACT)]
        self._tell(FactKind.HOLDING, self.lead, names, len(back) + len(more), self.settings.vanish_window_s)

    def _elsewhere(self, name: str) -> bool:
        """Whether another live source lists it."""
        return any(t.lists(name) for t in self.others)

    def _undamp(self, now: float) -> None:
        if self._damped:
            self._tell(FactKind.FLAPS, self.lead, self._damped, len(self._damped))
            self._damped = []
        none_left = not self.counts[Belief.READY] and not self.counts[Belief.HELD]
        for name in list(self.flap_damping.damped) if none_left else self.flap_damping.find_stable(now):
            b = self.members[name]
            self._set(now, name, SourceVerdict.READY, b.entry, b.address)

    def _differ(self, now: float) -> None:
        if found := self.differing.due(now):
            source, names = found
            self._facts.append(
                Fact(FactKind.DISAGREE, source, tuple(names[:MAX_NAMES_IN_FACT]), len(names), DISAGREE_S)
            )
        if self.differing.over():
            self._tell(FactKind.AGREED, self.lead)

    def _tell(
        self,
        what: FactKind,
        t: SourceState | None,
        names: Sequence[str] = (),
        number: int = 0,
        seconds: float = 0.0,
    ) -> None:
        source = t.source.name if t is not None else ""
        self._facts.append(Fact(what, source, tuple(names[:MAX_NAMES_IN_FACT]), number, seconds))

    def _decided(self, now: float) -> Decided:
        first: list[WorkerEntry] = []
        rest: list[WorkerEntry] = []
        addresses: dict[str, Address] = {}
        for name, before in self._before.items():
            b = self.members.get(name)
            was = before[0].state if before is not None else WorkerStatus.REMOVED
            if b is None:
                if before is not None:
                    first.append(before[0]._replace(state=WorkerStatus.REMOVED))
                state = WorkerStatus.REMOVED
            else:
                entry, address = shown = b.effective()
                state = entry.state
                if before is None or not _alike(before, shown):
                    (rest if state is WorkerStatus.READY else first).append(entry)
                    addresses[name] = address
            if was is WorkerStatus.READY and state is not WorkerStatus.READY:
                self.flap_damping.record_departure(now, name)
        entries = (*first, *rest)
        kind = ListKind.PATCH
        if entries and not self.began:
            self.began = True
            kind = ListKind.FULL if any(t.is_live for t in self.source_states) else ListKind.STALE
        facts, self._facts, self._before = tuple(self._facts), [], {}
        return Decided(WorkerList(kind, entries), addresses, facts)


def _alike(a: EffectiveEntry, b: EffectiveEntry) -> bool:
    """But for their weight, which no decision goes by."""
    return a[0][:-1] == b[0][:-1] and a[1] == b[1]


def _unlike(a: SourceState, b: SourceState) -> dict[str, None]:
    """Names of which the two say otherwise, or remember something."""
    names = {name: None for name, word in a.table.items() if b.table.get(name) != word}
    names.update((name, None) for name in b.table if name not in a.table)
    for marks in (a.departures, a.drains_before_restart, b.departures, b.drains_before_restart):
        names.update(dict.fromkeys(marks))
    return names
