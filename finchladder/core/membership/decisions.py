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
from finchladder.core.membership.disagreement import DISAGREE_S, DisagreementTracker
from finchladder.core.membership.removal_guards import FlapDamping, GuardEvent, MassRemovalGuard
from finchladder.core.membership.sources import ANY_START as ANY_START
from finchladder.core.membership.sources import NOTHING, SourceState, SourceStatus, SourceUpdate
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

    kind: FactKind
    source: str = ""
    names: tuple[str, ...] = ()  # the first few concerned
    number: int = 0
    seconds: float = 0.0


class Decision(NamedTuple):
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


class MemberState(Enum):
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


B = MemberState
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
STATUS_OF_STATE = {
    B.ABSENT: WorkerStatus.REMOVED,
    B.READY: WorkerStatus.READY,
    B.DRAINING: WorkerStatus.DRAINING,
    B.HELD: WorkerStatus.READY,
    B.DAMPED: WorkerStatus.DRAINING,
}


UNAVAILABLE = frozenset({B.ABSENT, B.DRAINING, B.DAMPED})  # receives no new jobs
REACHABLE_STANDINGS = frozenset({SourceStatus.LIVE, SourceStatus.CATCHING_UP, SourceStatus.BEHIND})


class MemberRecord:
    """One worker of the merged list; `entry.state` is as reported, `belief` is what applies."""

    __slots__ = ("state", "entry", "address")

    def __init__(self, state: MemberState, entry: WorkerEntry, address: Address) -> None:
        self.state, self.entry, self.address = state, entry, address

    def effective(self) -> tuple[WorkerEntry, Address]:
        """Returns the entry, in the state that applies, and the address."""
        state = STATUS_OF_STATE[self.state]
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
        self.leader: SourceState | None = None
        self.drain_sources: list[SourceState] = []  # whose draining notices apply; the leader first
        self.live_followers: list[SourceState] = []  # live sources but the leader
        self.members: dict[str, MemberRecord] = {}
        self.counts = dict.fromkeys(MemberState, 0)
        self.mass_removal_guard = MassRemovalGuard(
            settings.max_vanish, settings.vanish_window_s, settings.hold_s
        )
        self.flap_damping = FlapDamping(settings.flap_most, settings.flap_window_s, settings.flap_hold_s)
        self.disagreements = DisagreementTracker()
        self.dropped: set[str] = set()  # sources whose reports were dropped since the last accepted one
        self.lost: set[str] = set()  # sources that were live and are now lost
        self.has_begun = self.is_outdated = False
        self.pending_names: dict[str, None] = {}  # reported, not processed yet
        self._entries_before: dict[
            str, EffectiveEntry | None
        ] = {}  # entries before the current step changed them
        self._damped: list[str] = []
        self._facts: list[Fact] = []

    # --- input

    def report(self, now: float, r: Report) -> Decision:
        """Applies a report.

        Raises:
            KeyError: The source was not given at construction.
        """
        t = self.by_name[r.source]
        if r.workers.kind is ListKind.STALE and r.age_s > self.settings.max_age_s:
            self._add_fact(FactKind.OLD, t, seconds=r.age_s)
            return self._step(now, t, lambda: NOTHING)
        return self._step(now, t, lambda: t.report(now, r))

    def record_heartbeat(self, now: float, source: str, in_step: bool = True) -> Decision:
        """Records that a source is alive and has nothing new."""
        t = self.by_name[source]
        return self._step(now, t, lambda: t.record_heartbeat(now, in_step))

    def apply_due(self, now: float) -> Decision:
        """Applies what is due at `now`; call it at `next_due`. Additional calls are harmless."""
        return self._step(now, None, lambda: NOTHING)

    # --- queries

    @property
    def has_list(self) -> bool:
        """Whether a list is known; an empty stored list does not count."""
        return bool(self.members) or any(t.is_live for t in self.source_states)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the list in use was last known to be valid."""
        return inf if self.leader is None else now - self.leader.valid_at

    @property
    def next_due(self) -> float:
        """Time at which `due` may have an effect; -inf: now, inf: never."""
        s, lead = self.settings, self.leader
        if self.pending_names:
            return -inf
        times = [
            self.mass_removal_guard.next_due(self._listed_count()),
            self.flap_damping.next_due(),
            self.disagreements.next_due(),
        ]
        for t in self.source_states:
            times.append(t.next_expiry_at)
            if t.status in REACHABLE_STANDINGS:
                times.append(t.received_at + t.source.silence_timeout_s)
            if t.status is SourceStatus.BEHIND:
                times.append(t.since if self.is_outdated else t.since + s.back_s)
            if lead is not None and t.is_live and t.rank < lead.rank:
                times.append(t.since + s.settle_s)
            if t is not lead and t in self.drain_sources and not t.is_live:
                times.append(t.valid_at + s.max_age_s)
        if lead is not None and not self.is_outdated and not any(t.is_live for t in self.source_states):
            times.append(lead.valid_at + s.max_age_s)
        return min(times)

    # --- one step

    def _step(self, now: float, teller: SourceState | None, act: Callable[[], SourceUpdate]) -> Decision:
        before = [t.status for t in self.source_states]
        names = self._apply_timeouts(now)
        if teller is not None:
            first, update = not teller.has_list, self._record_update(now, teller, act())
            if not (first and teller.is_live):  # otherwise its entries had no effect before
                names |= update
        turned = [(t, was) for t, was in zip(self.source_states, before, strict=True) if t.status is not was]
        for t, was in turned:
            self._record_status_change(now, t, was)
        names |= self._choose_leader(now)
        for t, was in turned:  # whether its entries apply beside the leader's has changed
            if self.leader is not None and t is not self.leader and SourceStatus.LIVE in (was, t.status):
                names |= _differing_names(t, self.leader)
        names |= self._select_drain_sources(now)
        if self.leader is not None:
            self._process_names(now, names, self.leader)
        self._advance_guard(now)
        self._release_stable(now)
        self._report_disagreements(now)
        return self._build_decision(now)

    def _apply_timeouts(self, now: float) -> dict[str, None]:
        names: dict[str, None] = {}
        for t in self.source_states:
            if t.status is SourceStatus.BEHIND and (
                self.is_outdated or now >= t.since + self.settings.back_s
            ):
                names |= self._record_update(now, t, t.commit_restarted(now))
            if t.status in REACHABLE_STANDINGS and now >= t.received_at + t.source.silence_timeout_s:
                names |= t.mark_lost(now).names
            names |= t.expire_departures(now)
        return names

    def _record_update(self, now: float, t: SourceState, update: SourceUpdate) -> dict[str, None]:
        if update.stale:
            if t.source.name not in self.dropped:
                self._add_fact(FactKind.STALE, t)
            self.dropped.add(t.source.name)
        elif update.names:
            self.dropped.discard(t.source.name)
        if update.versions_behind:
            self._add_fact(FactKind.BEHIND, t, number=update.versions_behind)
        if update.restarted:
            self._add_fact(FactKind.ANEW, t, number=len(t.table))
        if update.omitted:
            self._add_fact(FactKind.FULL, t, number=update.omitted)
        return update.names

    def _record_status_change(self, now: float, t: SourceState, was: SourceStatus) -> None:
        name = t.source.name
        if t.status is SourceStatus.LOST and was in (SourceStatus.LIVE, SourceStatus.BEHIND):
            self.lost.add(name)
            self._add_fact(FactKind.LOST, t, number=len(t.table), seconds=now - t.received_at)
        elif t.is_live and name in self.lost:
            self.lost.discard(name)
            self._add_fact(FactKind.BACK, t)

    def _choose_leader(self, now: float) -> dict[str, None]:
        """Selects the leader and returns the names to evaluate again if it changed."""
        cur = self.leader
        live = [t for t in self.source_states if t.is_live]
        if live:
            self.is_outdated = False
        elif cur is not None and not self.is_outdated and now >= cur.valid_at + self.settings.max_age_s:
            self.is_outdated = True
            self._add_fact(FactKind.OLD, cur, seconds=now - cur.valid_at)
        if cur is not None and (cur.is_live or (cur.status is SourceStatus.BEHIND and not self.is_outdated)):
            new = next(
                (t for t in live if t.rank < cur.rank and now >= t.since + self.settings.settle_s), cur
            )
        else:
            found = live or ([cur] if cur is not None else [t for t in self.source_states if t.has_list])
            if not found:
                return {}
            new = found[0]
        if new is cur:
            return {}
        self.leader = new
        self._add_fact(FactKind.LEADS, new, number=len(new.table))
        self.disagreements.clear()
        if cur is None:
            return dict.fromkeys(new.table)
        return _differing_names(cur, new)

    def _select_drain_sources(self, now: float) -> dict[str, None]:
        """Selects the sources whose notices apply. Those of a lost source apply until its list is too old."""
        was, lead = self.drain_sources, self.leader
        self.live_followers = [t for t in self.source_states if t.is_live and t is not lead]
        self.drain_sources = [lead] if lead is not None else []
        for t in self.source_states:
            lately = t.is_live or now < t.valid_at + self.settings.max_age_s
            if t is not lead and t.has_list and lately and not t.source.is_stored_list:
                self.drain_sources.append(t)
        names: dict[str, None] = {}
        for t in was:
            if t not in self.drain_sources:
                names |= t.draining_names()
        return names

    # --- one worker

    def _process_names(self, now: float, names: dict[str, None], lead: SourceState) -> None:
        """Processes removed and draining workers at once, to detect mass removals, and the rest in slices."""
        at_once: list[str] = []
        for name in names:
            if name not in lead.table or any(name in t.may_drain for t in self.drain_sources):
                self.pending_names.pop(name, None)
                at_once.append(name)
            else:
                self.pending_names[name] = None
        if len(at_once) > SLICE_SIZE:
            at_once = self._defer_mass_removal(now, at_once, lead)
        for name in at_once:
            self._evaluate(now, name, lead)
        for name in list(islice(self.pending_names, SLICE_SIZE)):
            del self.pending_names[name]
            self._evaluate(now, name, lead)

    def _defer_mass_removal(self, now: float, names: list[str], lead: SourceState) -> list[str]:
        """Defers a mass removal to later slices, and returns the other names."""
        vanish = {
            name: None
            for name in names
            if (member := self.members.get(name)) is not None
            and member.state not in UNAVAILABLE
            and not lead.lists(name)
            and not self._is_confirmed(name, member.entry.started_at)
        }
        self._detect_mass_removal(now, vanish)
        if not self.mass_removal_guard.is_protecting:
            return names
        self.pending_names |= vanish
        return [name for name in names if name not in vanish]

    def _is_confirmed(self, name: str, born: float) -> bool:
        """Whether another source confirms the removal, or the worker was draining."""
        return any(name in t.departures for t in self.live_followers) or any(
            t.draining_start(name) >= born for t in self.drain_sources
        )

    def _evaluate(self, now: float, name: str, lead: SourceState) -> None:
        source_entry = lead.table.get(name)
        if self.live_followers or self.disagreements.reported or self.disagreements.unreported:
            self.disagreements.compare(now, name, lead, self.live_followers)
        if source_entry is None or source_entry.address is None:
            return self._evaluate_missing(now, name)
        entry, address = source_entry.entry, source_entry.address
        newest = entry.started_at if entry.started_at != ANY_START else -1.0
        drains = max(t.draining_start(name) for t in self.drain_sources)
        for t in self.live_followers:
            other = t.table.get(name)
            if (
                other is not None
                and other.address is not None
                and newest < other.entry.started_at < ANY_START
            ):
                entry, address, newest = other.entry, other.address, other.entry.started_at
        member = self.members.get(name)
        belief = member.state if member is not None else MemberState.ABSENT
        if drains >= entry.started_at:
            verdict = SourceVerdict.DRAINING
        elif belief in UNAVAILABLE and (
            belief is MemberState.DAMPED or self.flap_damping.is_flapping(now, name)
        ):
            verdict = SourceVerdict.FLAPPING
        else:
            verdict = SourceVerdict.READY
        if entry.started_at == ANY_START:  # a notice; nothing newer is known of the worker
            entry = entry._replace(started_at=member.entry.started_at if member is not None else 0.0)
        if self.mass_removal_guard.recent_removals or self.mass_removal_guard.held:
            self.mass_removal_guard.record_return(now, name)
        self._set_state(now, name, verdict, entry, address)

    def _evaluate_missing(self, now: float, name: str) -> None:
        """Evaluates a worker that the leader does not list."""
        member = self.members.get(name) or self.mass_removal_guard.recent_removals.get(name)
        if member is None:
            return
        if self._is_confirmed(name, member.entry.started_at):
            self.mass_removal_guard.resolve(name)
            verdict = SourceVerdict.GONE
        elif not isinstance(member, MemberRecord):  # removed before, still unconfirmed
            return
        elif member.state in UNAVAILABLE:
            verdict = SourceVerdict.GONE
        elif self.mass_removal_guard.is_protecting:
            self.mass_removal_guard.hold(name)
            verdict = SourceVerdict.MASS_REMOVAL
        else:
            self.mass_removal_guard.record_removal(now, name, member.entry, member.address)
            verdict = SourceVerdict.GONE
        self._set_state(now, name, verdict, member.entry, member.address)

    def _set_state(
        self, now: float, name: str, verdict: SourceVerdict, entry: WorkerEntry, address: Address
    ) -> None:
        member = self.members.get(name)
        if name not in self._entries_before:
            self._entries_before[name] = member.effective() if member is not None else None
        old = member.state if member is not None else MemberState.ABSENT
        new = TRANSITIONS[old, verdict]
        if new is not old:
            self.counts[old] -= 1
            self.counts[new] += 1
        if new is MemberState.ABSENT:
            self.members.pop(name, None)
        elif member is None:
            self.members[name] = MemberRecord(new, entry, address)
        else:
            member.state, member.entry, member.address = new, entry, address
        if new is MemberState.DAMPED:
            self.flap_damping.damp(now, name)
            if old is not MemberState.DAMPED:
                self._damped.append(name)
        elif old is MemberState.DAMPED:
            self.flap_damping.undamp(name)

    # --- all workers

    def _listed_count(self) -> int:
        return (
            self.counts[MemberState.READY] + self.counts[MemberState.HELD] + self.counts[MemberState.DAMPED]
        )

    def _advance_guard(self, now: float) -> None:
        self._detect_mass_removal(now, {})
        if self.pending_names:
            return  # the held ones are known once all names are processed
        while (
            turn := self.mass_removal_guard.advance(now, self._listed_count(), self.counts[MemberState.READY])
        ) is not None:
            if turn is GuardEvent.NONE_HELD:
                self._add_fact(FactKind.RETURNED, self.leader)
                continue
            over = [
                name
                for name in self.mass_removal_guard.held
                if turn is GuardEvent.BELOW_THRESHOLD or not self._is_listed_elsewhere(name)
            ]
            for name in over:
                member = self.members[name]
                self.mass_removal_guard.resolve(name)
                self._set_state(now, name, SourceVerdict.GONE, member.entry, member.address)
            if over:
                self._add_fact(FactKind.RELEASED, self.leader, over, len(over))

    def _detect_mass_removal(self, now: float, more: dict[str, None]) -> None:
        back = self.mass_removal_guard.detect_mass_removal(now, self._listed_count(), len(more))
        if back is None:
            return
        for name, gone in back.items():
            self._set_state(now, name, SourceVerdict.MASS_REMOVAL, gone.entry, gone.address)
        names = [*islice(back, MAX_NAMES_IN_FACT), *islice(more, MAX_NAMES_IN_FACT)]
        self._add_fact(
            FactKind.HOLDING, self.leader, names, len(back) + len(more), self.settings.vanish_window_s
        )

    def _is_listed_elsewhere(self, name: str) -> bool:
        """Whether another live source lists it."""
        return any(t.lists(name) for t in self.live_followers)

    def _release_stable(self, now: float) -> None:
        if self._damped:
            self._add_fact(FactKind.FLAPS, self.leader, self._damped, len(self._damped))
            self._damped = []
        none_left = not self.counts[MemberState.READY] and not self.counts[MemberState.HELD]
        for name in list(self.flap_damping.damped) if none_left else self.flap_damping.find_stable(now):
            member = self.members[name]
            self._set_state(now, name, SourceVerdict.READY, member.entry, member.address)

    def _report_disagreements(self, now: float) -> None:
        if found := self.disagreements.take_due(now):
            source, names = found
            self._facts.append(
                Fact(FactKind.DISAGREE, source, tuple(names[:MAX_NAMES_IN_FACT]), len(names), DISAGREE_S)
            )
        if self.disagreements.take_ended():
            self._add_fact(FactKind.AGREED, self.leader)

    def _add_fact(
        self,
        what: FactKind,
        t: SourceState | None,
        names: Sequence[str] = (),
        number: int = 0,
        seconds: float = 0.0,
    ) -> None:
        source = t.source.name if t is not None else ""
        self._facts.append(Fact(what, source, tuple(names[:MAX_NAMES_IN_FACT]), number, seconds))

    def _build_decision(self, now: float) -> Decision:
        first: list[WorkerEntry] = []
        rest: list[WorkerEntry] = []
        addresses: dict[str, Address] = {}
        for name, before in self._entries_before.items():
            member = self.members.get(name)
            was = before[0].state if before is not None else WorkerStatus.REMOVED
            if member is None:
                if before is not None:
                    first.append(before[0]._replace(state=WorkerStatus.REMOVED))
                state = WorkerStatus.REMOVED
            else:
                entry, address = shown = member.effective()
                state = entry.state
                if before is None or not _is_equivalent(before, shown):
                    (rest if state is WorkerStatus.READY else first).append(entry)
                    addresses[name] = address
            if was is WorkerStatus.READY and state is not WorkerStatus.READY:
                self.flap_damping.record_departure(now, name)
        entries = (*first, *rest)
        kind = ListKind.PATCH
        if entries and not self.has_begun:
            self.has_begun = True
            kind = ListKind.FULL if any(t.is_live for t in self.source_states) else ListKind.STALE
        facts, self._facts, self._entries_before = tuple(self._facts), [], {}
        return Decision(WorkerList(kind, entries), addresses, facts)


def _is_equivalent(a: EffectiveEntry, b: EffectiveEntry) -> bool:
    """Whether two entries are equal but for their weight, which no decision uses."""
    return a[0][:-1] == b[0][:-1] and a[1] == b[1]


def _differing_names(a: SourceState, b: SourceState) -> dict[str, None]:
    """Returns the names on which two sources differ, or of which they remember departures."""
    names = {name: None for name, source_entry in a.table.items() if b.table.get(name) != source_entry}
    names.update((name, None) for name in b.table if name not in a.table)
    for marks in (a.departures, a.drains_before_restart, b.departures, b.drains_before_restart):
        names.update(dict.fromkeys(marks))
    return names
