"""Membership: merges the endpoint lists of several sources into the list of workers in use.

Input: `Report` (a full list, or changed entries) and `heard` (alive, nothing new), each with the time, and
`due` at `next_due`. Output: `Decided`, the changes of the merged list.

- One source leads: the first that is live. It determines the members; another takes over when it is lost.
- A draining notice of any source holds, for the incarnation of the worker that it names and earlier ones.
- Of two incarnations of a worker the newer counts, whichever source reports it.
- Mass removals and flapping entries are not applied at once (removal_guards.py).
- Reports that are out of order wait until their state is known (sources.py).
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

SLICE_SIZE = 256  # ready entries that one step processes: about 2 ms
MAX_NAMES_IN_FACT = 3


class FactKind(Enum):
    """Kinds of logged facts, with the meaning of `Fact.number` and `Fact.seconds` for each."""

    LEADS = "leads"  # `source` leads from now on; number: its entries
    LOST = "lost"  # no message of `source` for `seconds`; number: its last entries
    BACK = "back"  # `source` is in step again
    STALE = "stale"  # a report of `source` does not follow its previous one, and was dropped
    BEHIND = "behind"  # `source` reports a list `number` versions older than its last, which is pending
    ANEW = "anew"  # `source` has restarted: the pending list, or one of another epoch, is in use
    HOLDING = "holding"  # `number` entries were removed at once: they stay until confirmed
    RELEASED = "released"  # `number` of them are removed
    RETURNED = "returned"  # each held entry is listed again or removed
    FLAPS = "flaps"  # `names` are flapping: they must be stable first
    DISAGREE = "disagree"  # `source`, not the leader, disagrees on `number` entries, `names` first
    AGREED = "agreed"  # the disagreement ended
    OLD = "old"  # the list in use is so old that any other replaces it
    FULL = "full"  # `source` lists `number` entries more than are stored


class Fact(NamedTuple):
    """A noteworthy change, for the log."""

    what: FactKind
    source: str = ""
    names: tuple[str, ...] = ()  # the first few concerned
    number: int = 0
    seconds: float = 0.0


class Decided(NamedTuple):
    """Changes of the merged list, with entries that are not ready first.

    The first one that has entries is FULL (STALE if from a stored list), all others are PATCH. There is
    nothing to apply if `workers.entries` is empty.
    """

    workers: WorkerList
    addresses: dict[str, Address]
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the merge. Shares are of the listed entries that are not draining; times are in seconds."""

    max_vanish: float = 0.5  # larger removals without draining are held; 1: never held
    vanish_window_s: float = (
        10.0  # the window of a mass removal: leases cut off together expire over their full term
    )
    hold_s: float = 900.0  # an unconfirmed removal is applied after this, if others are ready
    max_age_s: float = 3600.0  # an older list is neither loaded at start nor protected from replacement
    settle_s: float = 5.0  # a preferred source must be live this long before it leads again
    back_s: float = 1.5  # a source that reports older versions for so long has restarted
    flap_most: int = 3  # times that an entry may stop being ready within `flap_window_s`
    flap_window_s: float = 60.0
    flap_hold_s: float = 1.5  # a flapping entry must be ready for so long

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
    """State of one worker in the merged list."""

    __hash__ = object.__hash__  # Enum's own takes longer than the rest of a look-up

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    HELD = "held"  # no longer listed, but part of a mass removal: state unchanged
    DAMPED = "damped"  # reported as ready, but flapping


class SourceVerdict(Enum):
    """Combined statement of all sources about one worker."""

    __hash__ = object.__hash__

    READY = "ready"
    FLAPPING = "flaps"  # ready, but flapping
    DRAINING = "draining"
    GONE = "gone"
    MASS_REMOVAL = "mass"  # part of a mass removal


B = Belief
TRANSITIONS = {
    (B.ABSENT, SourceVerdict.READY): B.READY,
    (B.ABSENT, SourceVerdict.FLAPPING): B.DAMPED,
    (B.ABSENT, SourceVerdict.DRAINING): B.DRAINING,
    (B.ABSENT, SourceVerdict.GONE): B.ABSENT,
    (
        B.ABSENT,
        SourceVerdict.MASS_REMOVAL,
    ): B.HELD,  # removed within the window, before the limit was exceeded
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


UNAVAILABLE = frozenset({B.ABSENT, B.DRAINING, B.DAMPED})  # receives no new jobs
REACHABLE_STANDINGS = frozenset({Standing.LIVE, Standing.CATCHING_UP, Standing.BEHIND})


class MemberRecord:
    """One worker of the merged list; `entry.state` is as reported, `belief` is what applies."""

    __slots__ = ("belief", "entry", "address")

    def __init__(self, belief: Belief, entry: WorkerEntry, address: Address) -> None:
        self.belief, self.entry, self.address = belief, entry, address

    def effective(self) -> tuple[WorkerEntry, Address]:
        """Returns the entry, in the state that applies, and the address."""
        state = STATES[self.belief]
        return (self.entry if self.entry.state is state else self.entry._replace(state=state)), self.address


EffectiveEntry = tuple[WorkerEntry, Address]


class Membership:
    """Merges the lists of sources, which are given in order of preference.

    A change costs O(changed entries x sources), a full list O(its entries), and a change of the leader or of
    a source's standing O(entries of both lists); no other cost grows with the fleet.
    """

    def __init__(self, sources: Sequence[Source], settings: MembershipSettings) -> None:
        self.settings = settings
        self.source_states = [SourceState(source, rank) for rank, source in enumerate(sources)]
        self.by_name = {t.source.name: t for t in self.source_states}
        if len(self.by_name) < len(self.source_states) or not self.source_states:
            raise ValueError("membership: sources are needed, each with a name of its own")
        self.lead: SourceState | None = None
        self.drain_sources: list[SourceState] = []  # whose draining notices apply; the leader first
        self.others: list[SourceState] = []  # live sources but the leader
        self.members: dict[str, MemberRecord] = {}
        self.counts = dict.fromkeys(Belief, 0)
        self.mass_removal_guard = MassRemovalGuard(
            settings.max_vanish, settings.vanish_window_s, settings.hold_s
        )
        self.flap_damping = FlapDamping(settings.flap_most, settings.flap_window_s, settings.flap_hold_s)
        self.differing = Differing()
        self.dropped: set[str] = set()  # sources whose reports were dropped since the last accepted one
        self.lost: set[str] = set()  # sources that were live and are now lost
        self.began = self.old = False
        self.pending_names: dict[str, None] = {}  # reported, not processed yet
        self._before: dict[str, EffectiveEntry | None] = {}  # entries before the current step changed them
        self._damped: list[str] = []
        self._facts: list[Fact] = []

    # --- input

    def report(self, now: float, r: Report) -> Decided:
        """Applies a report.

        Raises:
            KeyError: The source was not given at construction.
        """
        t = self.by_name[r.source]
        if r.workers.kind is ListKind.STALE and r.age_s > self.settings.max_age_s:
            self._tell(FactKind.OLD, t, seconds=r.age_s)
            return self._step(now, t, lambda: NOTHING)
        return self._step(now, t, lambda: t.report(now, r))

    def heard(self, now: float, source: str, in_step: bool = True) -> Decided:
        """Records that a source is alive and has nothing new."""
        t = self.by_name[source]
        return self._step(now, t, lambda: t.heard(now, in_step))

    def due(self, now: float) -> Decided:
        """Applies what is due at `now`; call it at `next_due`. Additional calls are harmless."""
        return self._step(now, None, lambda: NOTHING)

    # --- queries

    @property
    def up(self) -> bool:
        """Whether a list is known; an empty stored list does not count."""
        return bool(self.members) or any(t.is_live for t in self.source_states)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the list in use was last known to be valid."""
        return inf if self.lead is None else now - self.lead.valid_at

    @property
    def next_due(self) -> float:
        """Time at which `due` may have an effect; -inf: now, inf: never."""
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

    # --- one step

    def _step(self, now: float, teller: SourceState | None, act: Callable[[], SourceUpdate]) -> Decided:
        before = [t.standing for t in self.source_states]
        names = self._time(now)
        if teller is not None:
            first, update = not teller.listed, self._heed(now, teller, act())
            if not (first and teller.is_live):  # otherwise its entries had no effect before
                names |= update
        turned = [
            (t, was) for t, was in zip(self.source_states, before, strict=True) if t.standing is not was
        ]
        for t, was in turned:
            self._note(now, t, was)
        names |= self._choose(now)
        for t, was in turned:  # whether its entries apply beside the leader's has changed
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

    def _heed(self, now: float, t: SourceState, update: SourceUpdate) -> dict[str, None]:
        if update.stale:
            if t.source.name not in self.dropped:
                self._tell(FactKind.STALE, t)
            self.dropped.add(t.source.name)
        elif update.names:
            self.dropped.discard(t.source.name)
        if update.versions_behind:
            self._tell(FactKind.BEHIND, t, number=update.versions_behind)
        if update.restarted:
            self._tell(FactKind.ANEW, t, number=len(t.table))
        if update.left_out:
            self._tell(FactKind.FULL, t, number=update.left_out)
        return update.names

    def _note(self, now: float, t: SourceState, was: Standing) -> None:
        name = t.source.name
        if t.standing is Standing.LOST and was in (Standing.LIVE, Standing.BEHIND):
            self.lost.add(name)
            self._tell(FactKind.LOST, t, number=len(t.table), seconds=now - t.received_at)
        elif t.is_live and name in self.lost:
            self.lost.discard(name)
            self._tell(FactKind.BACK, t)

    def _choose(self, now: float) -> dict[str, None]:
        """Selects the leader and returns the names to evaluate again if it changed."""
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
        """Selects the sources whose notices apply. Those of a lost source apply until its list is too old."""
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

    # --- one worker

    def _go_through(self, now: float, names: dict[str, None], lead: SourceState) -> None:
        """Processes removed and draining workers at once, to detect mass removals, and the rest in slices."""
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
        """Defers a mass removal to later slices, and returns the other names."""
        vanish = {
            name: None
            for name in names
            if (member := self.members.get(name)) is not None
            and member.belief not in UNAVAILABLE
            and not lead.lists(name)
            and not self._confirmed(name, member.entry.started_at)
        }
        self._mass(now, vanish)
        if not self.mass_removal_guard.is_protecting:
            return names
        self.pending_names |= vanish
        return [name for name in names if name not in vanish]

    def _confirmed(self, name: str, born: float) -> bool:
        """Whether another source confirms the removal, or the worker was draining."""
        return any(name in t.departures for t in self.others) or any(
            t.draining_start(name) >= born for t in self.drain_sources
        )

    def _judge(self, now: float, name: str, lead: SourceState) -> None:
        source_entry = lead.table.get(name)
        if self.others or self.differing.told or self.differing.new:
            self.differing.see(now, name, lead, self.others)
        if source_entry is None or source_entry.address is None:
            return self._missing(now, name)
        entry, address = source_entry.entry, source_entry.address
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
        member = self.members.get(name)
        belief = member.belief if member is not None else Belief.ABSENT
        if drains >= entry.started_at:
            verdict = SourceVerdict.DRAINING
        elif belief in UNAVAILABLE and (belief is Belief.DAMPED or self.flap_damping.is_flapping(now, name)):
            verdict = SourceVerdict.FLAPPING
        else:
            verdict = SourceVerdict.READY
        if entry.started_at == ANY_START:  # a notice; nothing newer is known of the worker
            entry = entry._replace(started_at=member.entry.started_at if member is not None else 0.0)
        if self.mass_removal_guard.recent_removals or self.mass_removal_guard.held:
            self.mass_removal_guard.record_return(now, name)
        self._set(now, name, verdict, entry, address)

    def _missing(self, now: float, name: str) -> None:
        """Evaluates a worker that the leader does not list."""
        member = self.members.get(name) or self.mass_removal_guard.recent_removals.get(name)
        if member is None:
            return
        if self._confirmed(name, member.entry.started_at):
            self.mass_removal_guard.resolve(name)
            verdict = SourceVerdict.GONE
        elif not isinstance(member, MemberRecord):  # removed before, still unconfirmed
            return
        elif member.belief in UNAVAILABLE:
            verdict = SourceVerdict.GONE
        elif self.mass_removal_guard.is_protecting:
            self.mass_removal_guard.hold(name)
            verdict = SourceVerdict.MASS_REMOVAL
        else:
            self.mass_removal_guard.record_removal(now, name, member.entry, member.address)
            verdict = SourceVerdict.GONE
        self._set(now, name, verdict, member.entry, member.address)

    def _set(
        self, now: float, name: str, verdict: SourceVerdict, entry: WorkerEntry, address: Address
    ) -> None:
        member = self.members.get(name)
        if name not in self._before:
            self._before[name] = member.effective() if member is not None else None
        old = member.belief if member is not None else Belief.ABSENT
        new = TRANSITIONS[old, verdict]
        if new is not old:
            self.counts[old] -= 1
            self.counts[new] += 1
        if new is Belief.ABSENT:
            self.members.pop(name, None)
        elif member is None:
            self.members[name] = MemberRecord(new, entry, address)
        else:
            member.belief, member.entry, member.address = new, entry, address
        if new is Belief.DAMPED:
            self.flap_damping.damp(now, name)
            if old is not Belief.DAMPED:
                self._damped.append(name)
        elif old is Belief.DAMPED:
            self.flap_damping.undamp(name)

    # --- all workers

    def _listed(self) -> int:
        return self.counts[Belief.READY] + self.counts[Belief.HELD] + self.counts[Belief.DAMPED]

    def _guard(self, now: float) -> None:
        self._mass(now, {})
        if self.pending_names:
            return  # the held ones are known once all names are processed
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
                member = self.members[name]
                self.mass_removal_guard.resolve(name)
                self._set(now, name, SourceVerdict.GONE, member.entry, member.address)
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
            member = self.members[name]
            self._set(now, name, SourceVerdict.READY, member.entry, member.address)

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
            member = self.members.get(name)
            was = before[0].state if before is not None else WorkerStatus.REMOVED
            if member is None:
                if before is not None:
                    first.append(before[0]._replace(state=WorkerStatus.REMOVED))
                state = WorkerStatus.REMOVED
            else:
                entry, address = shown = member.effective()
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
    """Whether two entries are equal but for their weight, which no decision uses."""
    return a[0][:-1] == b[0][:-1] and a[1] == b[1]


def _unlike(a: SourceState, b: SourceState) -> dict[str, None]:
    """Returns the names on which two sources differ, or of which they remember departures."""
    names = {name: None for name, source_entry in a.table.items() if b.table.get(name) != source_entry}
    names.update((name, None) for name in b.table if name not in a.table)
    for marks in (a.departures, a.drains_before_restart, b.departures, b.drains_before_restart):
        names.update(dict.fromkeys(marks))
    return names
