"""Membership: merges the endpoint lists of several sources into the list of workers in use.

Input: `Report` (a full list, or changed entries) and heartbeats of the sources, each with the time, and
`apply_due` at `next_due`. Output: `Decision`, the changes of the merged list.

- The first live source is the leader. It determines the members; another source takes over when it is lost.
- A draining notice of any source applies to the incarnation of the worker that it names and to earlier ones.
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
    BEHIND = "behind"  # `source` reported a list `number` versions older than its last; it is pending
    ANEW = "anew"  # `source` has restarted: the pending list, or one of another epoch, is in use
    HOLDING = "holding"  # `number` entries were removed at once: they stay until confirmed
    RELEASED = "released"  # `number` of them are removed
    RETURNED = "returned"  # each held entry is listed again or removed
    FLAPS = "flaps"  # the workers `names` are flapping: they are used again only once they are stable
    DISAGREE = "disagree"  # `source`, not the leader, disagrees on `number` entries, `names` first
    AGREED = "agreed"  # the disagreement ended
    OLD = "old"  # the list in use is so old that any other replaces it
    FULL = "full"  # `source` lists `number` entries more than are stored


class Fact(NamedTuple):
    """A change that is logged."""

    kind: FactKind
    source: str = ""
    names: tuple[str, ...] = ()  # the first of the affected workers
    number: int = 0
    seconds: float = 0.0


class Decision(NamedTuple):
    """Changes of the merged list; entries of workers that are not ready precede the others.

    The first decision that has entries is FULL (STALE if no source is live), all others are PATCH. If
    `workers.entries` is empty, there is nothing to apply.
    """

    workers: WorkerList
    addresses: dict[str, Address]
    facts: tuple[Fact, ...] = ()


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the merge. Shares refer to the listed entries that are not draining; times are seconds."""

    max_vanish: float = 0.5  # removals without draining beyond this share are held; 1: never
    # removals within this window are counted together: the leases of workers that fail at the same time
    # expire over one lease duration
    vanish_window_s: float = 10.0
    hold_s: float = 900.0  # an unconfirmed removal is applied after this time, if other workers are ready
    # an older stored list is not loaded; an older list in use may be replaced by any other
    max_age_s: float = 3600.0
    # a source of higher preference must be live for this time before it becomes the leader
    settle_s: float = 5.0
    back_s: float = 1.5  # a source that reports older versions for this time must have restarted
    flap_most: int = 3  # number of times that an entry may stop being ready within `flap_window_s`
    flap_window_s: float = 60.0
    flap_hold_s: float = 1.5  # a flapping entry must be ready for this time before use

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

    __hash__ = object.__hash__  # Enum.__hash__ takes longer than the rest of a dictionary look-up

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    HELD = "held"  # no longer listed, but part of a mass removal: still treated as ready
    DAMPED = "damped"  # reported as ready, but flapping


class SourceVerdict(Enum):
    """Combined status of one worker over all sources."""

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
    ): B.HELD,  # the worker was removed within the window, before the mass removal was detected
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


UNAVAILABLE = frozenset({B.ABSENT, B.DRAINING, B.DAMPED})  # states in which a worker receives no new jobs
REACHABLE_STATUSES = frozenset({SourceStatus.LIVE, SourceStatus.CATCHING_UP, SourceStatus.BEHIND})


class MemberRecord:
    """One worker of the merged list; `entry.state` is the reported status, `state` the one that applies."""

    __slots__ = ("state", "entry", "address")

    def __init__(self, state: MemberState, entry: WorkerEntry, address: Address) -> None:
        self.state, self.entry, self.address = state, entry, address

    def effective(self) -> tuple[WorkerEntry, Address]:
        """Returns the entry, with the status that applies, and the address."""
        state = STATUS_OF_STATE[self.state]
        return (self.entry if self.entry.state is state else self.entry._replace(state=state)), self.address


EffectiveEntry = tuple[WorkerEntry, Address]


class Membership:
    """Merges the lists of sources, which are given in order of preference.

    A change costs O(changed entries x sources), a full list O(its entries), and a change of the leader or of
    a source's status O(entries of both lists); no other cost grows with the fleet.
    """

    def __init__(self, sources: Sequence[Source], settings: MembershipSettings) -> None:
        self.settings = settings
        self.source_states = [SourceState(source, rank) for rank, source in enumerate(sources)]
        self.by_name = {src.source.name: src for src in self.source_states}
        if len(self.by_name) < len(self.source_states) or not self.source_states:
            raise ValueError("membership: at least one source is required, and source names must be unique")
        self.leader: SourceState | None = None
        self.drain_sources: list[SourceState] = []  # sources whose draining notices apply; the leader first
        self.live_followers: list[SourceState] = []  # live sources except the leader
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
        self.pending_names: dict[str, None] = {}  # names of reported entries that are not processed yet
        # entries before the current step changed them
        self._entries_before: dict[str, EffectiveEntry | None] = {}
        self._damped: list[str] = []
        self._facts: list[Fact] = []

    # --- input

    def report(self, now: float, r: Report) -> Decision:
        """Applies a report.

        Raises:
            KeyError: The source was not given at construction.
        """
        src = self.by_name[r.source]
        if r.workers.kind is ListKind.STALE and r.age_s > self.settings.max_age_s:
            self._add_fact(FactKind.OLD, src, seconds=r.age_s)
            return self._step(now, src, lambda: NOTHING)
        return self._step(now, src, lambda: src.report(now, r))

    def record_heartbeat(self, now: float, source: str, in_step: bool = True) -> Decision:
        """Records that a source is alive and has nothing new."""
        src = self.by_name[source]
        return self._step(now, src, lambda: src.record_heartbeat(now, in_step))

    def apply_due(self, now: float) -> Decision:
        """Applies the changes due at `now`; call it at `next_due`. Additional calls are harmless."""
        return self._step(now, None, lambda: NOTHING)

    # --- queries

    @property
    def has_list(self) -> bool:
        """Whether a list is known; an empty stored list does not count."""
        return bool(self.members) or any(src.is_live for src in self.source_states)

    def age_s(self, now: float) -> float:
        """Returns the seconds since the list in use was last known to be valid."""
        return inf if self.leader is None else now - self.leader.valid_at

    @property
    def next_due(self) -> float:
        """Time at which `apply_due` may have an effect; -inf: now, inf: never."""
        s, leader = self.settings, self.leader
        if self.pending_names:
            return -inf
        times = [
            self.mass_removal_guard.next_due(self._listed_count()),
            self.flap_damping.next_due(),
            self.disagreements.next_due(),
        ]
        for src in self.source_states:
            times.append(src.next_expiry_at)
            if src.status in REACHABLE_STATUSES:
                times.append(src.received_at + src.source.silence_timeout_s)
            if src.status is SourceStatus.BEHIND:
                times.append(src.since if self.is_outdated else src.since + s.back_s)
            if leader is not None and src.is_live and src.rank < leader.rank:
                times.append(src.since + s.settle_s)
            if src is not leader and src in self.drain_sources and not src.is_live:
                times.append(src.valid_at + s.max_age_s)
        if leader is not None and not self.is_outdated and not any(src.is_live for src in self.source_states):
            times.append(leader.valid_at + s.max_age_s)
        return min(times)

    # --- one step

    def _step(self, now: float, reporter: SourceState | None, apply: Callable[[], SourceUpdate]) -> Decision:
        old_statuses = [src.status for src in self.source_states]
        names = self._apply_timeouts(now)
        if reporter is not None:
            first, update = not reporter.has_list, self._record_update(now, reporter, apply())
            if not (first and reporter.is_live):  # a first list that is not live has no effect
                names |= update
        status_changes = [
            (src, old_status)
            for src, old_status in zip(self.source_states, old_statuses, strict=True)
            if src.status is not old_status
        ]
        for src, old_status in status_changes:
            self._record_status_change(now, src, old_status)
        names |= self._choose_leader(now)
        for (
            src,
            old_status,
        ) in status_changes:  # the entries of `src` began or ceased to apply in addition to the leader's
            if (
                self.leader is not None
                and src is not self.leader
                and SourceStatus.LIVE in (old_status, src.status)
            ):
                names |= _diff_names(src, self.leader)
        names |= self._select_drain_sources(now)
        if self.leader is not None:
            self._process_names(now, names, self.leader)
        self._advance_guard(now)
        self._undamp_stable_workers(now)
        self._report_disagreements(now)
        return self._build_decision(now)

    def _apply_timeouts(self, now: float) -> dict[str, None]:
        names: dict[str, None] = {}
        for src in self.source_states:
            if src.status is SourceStatus.BEHIND and (
                self.is_outdated or now >= src.since + self.settings.back_s
            ):
                names |= self._record_update(now, src, src.commit_restarted(now))
            if src.status in REACHABLE_STATUSES and now >= src.received_at + src.source.silence_timeout_s:
                names |= src.record_loss(now).names
            names |= src.expire_departures(now)
        return names

    def _record_update(self, now: float, src: SourceState, update: SourceUpdate) -> dict[str, None]:
        if update.stale:
            if src.source.name not in self.dropped:
                self._add_fact(FactKind.STALE, src)
            self.dropped.add(src.source.name)
        elif update.names:
            self.dropped.discard(src.source.name)
        if update.versions_behind:
            self._add_fact(FactKind.BEHIND, src, number=update.versions_behind)
        if update.restarted:
            self._add_fact(FactKind.ANEW, src, number=len(src.table))
        if update.omitted:
            self._add_fact(FactKind.FULL, src, number=update.omitted)
        return update.names

    def _record_status_change(self, now: float, src: SourceState, old_status: SourceStatus) -> None:
        name = src.source.name
        if src.status is SourceStatus.LOST and old_status in (SourceStatus.LIVE, SourceStatus.BEHIND):
            self.lost.add(name)
            self._add_fact(FactKind.LOST, src, number=len(src.table), seconds=now - src.received_at)
        elif src.is_live and name in self.lost:
            self.lost.discard(name)
            self._add_fact(FactKind.BACK, src)

    def _choose_leader(self, now: float) -> dict[str, None]:
        """Selects the leader; if it changed, returns the names to evaluate again."""
        current = self.leader
        live = [src for src in self.source_states if src.is_live]
        if live:
            self.is_outdated = False
        elif (
            current is not None and not self.is_outdated and now >= current.valid_at + self.settings.max_age_s
        ):
            self.is_outdated = True
            self._add_fact(FactKind.OLD, current, seconds=now - current.valid_at)
        if current is not None and (
            current.is_live or (current.status is SourceStatus.BEHIND and not self.is_outdated)
        ):
            new = next(
                (
                    src
                    for src in live
                    if src.rank < current.rank and now >= src.since + self.settings.settle_s
                ),
                current,
            )
        else:
            candidates = live or (
                [current] if current is not None else [src for src in self.source_states if src.has_list]
            )
            if not candidates:
                return {}
            new = candidates[0]
        if new is current:
            return {}
        self.leader = new
        self._add_fact(FactKind.LEADS, new, number=len(new.table))
        self.disagreements.clear()
        if current is None:
            return dict.fromkeys(new.table)
        return _diff_names(current, new)

    def _select_drain_sources(self, now: float) -> dict[str, None]:
        """Selects the sources whose draining notices apply; a lost one is included until its list is too old.

        Returns:
            The names with notices of a source that is no longer included.
        """
        previous, leader = self.drain_sources, self.leader
        self.live_followers = [src for src in self.source_states if src.is_live and src is not leader]
        self.drain_sources = [leader] if leader is not None else []
        for src in self.source_states:
            is_recent = src.is_live or now < src.valid_at + self.settings.max_age_s
            if src is not leader and src.has_list and is_recent and not src.source.is_stored_list:
                self.drain_sources.append(src)
        names: dict[str, None] = {}
        for src in previous:
            if src not in self.drain_sources:
                names |= src.draining_names()
        return names

    # --- one worker

    def _process_names(self, now: float, names: dict[str, None], leader: SourceState) -> None:
        """Processes removed and draining workers at once, to detect mass removals, and the rest in slices."""
        immediate: list[str] = []
        for name in names:
            if name not in leader.table or any(name in src.may_drain for src in self.drain_sources):
                self.pending_names.pop(name, None)
                immediate.append(name)
            else:
                self.pending_names[name] = None
        if len(immediate) > SLICE_SIZE:
            immediate = self._defer_mass_removal(now, immediate, leader)
        for name in immediate:
            self._evaluate(now, name, leader)
        for name in list(islice(self.pending_names, SLICE_SIZE)):
            del self.pending_names[name]
            self._evaluate(now, name, leader)

    def _defer_mass_removal(self, now: float, names: list[str], leader: SourceState) -> list[str]:
        """Defers a mass removal to later slices, and returns the other names."""
        removed = {
            name: None
            for name in names
            if (member := self.members.get(name)) is not None
            and member.state not in UNAVAILABLE
            and not leader.lists(name)
            and not self._is_removal_confirmed(name, member.entry.started_at)
        }
        self._detect_mass_removal(now, removed)
        if not self.mass_removal_guard.is_protecting:
            return names
        self.pending_names |= removed
        return [name for name in names if name not in removed]

    def _is_removal_confirmed(self, name: str, started_at: float) -> bool:
        """Whether a live follower stores the worker's departure, or a source reported it as draining."""
        return any(name in src.departures for src in self.live_followers) or any(
            src.draining_start(name) >= started_at for src in self.drain_sources
        )

    def _evaluate(self, now: float, name: str, leader: SourceState) -> None:
        source_entry = leader.table.get(name)
        if self.live_followers or self.disagreements.reported or self.disagreements.unreported:
            self.disagreements.compare(now, name, leader, self.live_followers)
        if source_entry is None or source_entry.address is None:
            return self._evaluate_missing(now, name)
        entry, address = source_entry.entry, source_entry.address
        newest = entry.started_at if entry.started_at != ANY_START else -1.0
        draining_start = max(src.draining_start(name) for src in self.drain_sources)
        for src in self.live_followers:
            other = src.table.get(name)
            if (
                other is not None
                and other.address is not None
                and newest < other.entry.started_at < ANY_START
            ):
                entry, address, newest = other.entry, other.address, other.entry.started_at
        member = self.members.get(name)
        state = member.state if member is not None else MemberState.ABSENT
        if draining_start >= entry.started_at:
            verdict = SourceVerdict.DRAINING
        elif state in UNAVAILABLE and (
            state is MemberState.DAMPED or self.flap_damping.is_flapping(now, name)
        ):
            verdict = SourceVerdict.FLAPPING
        else:
            verdict = SourceVerdict.READY
        if entry.started_at == ANY_START:  # a draining notice, and no source knows the worker's start
            entry = entry._replace(started_at=member.entry.started_at if member is not None else 0.0)
        if self.mass_removal_guard.recent_removals or self.mass_removal_guard.retained:
            self.mass_removal_guard.record_return(now, name)
        self._set_state(now, name, verdict, entry, address)

    def _evaluate_missing(self, now: float, name: str) -> None:
        """Evaluates a worker that the leader does not list."""
        member = self.members.get(name) or self.mass_removal_guard.recent_removals.get(name)
        if member is None:
            return
        if self._is_removal_confirmed(name, member.entry.started_at):
            self.mass_removal_guard.resolve(name)
            verdict = SourceVerdict.GONE
        elif not isinstance(
            member, MemberRecord
        ):  # the worker is removed already, and the removal is not confirmed yet
            return
        elif member.state in UNAVAILABLE:
            verdict = SourceVerdict.GONE
        elif self.mass_removal_guard.is_protecting:
            self.mass_removal_guard.retain(name)
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
            return  # not all removals are recorded before all names are processed
        while (
            event := self.mass_removal_guard.advance(
                now, self._listed_count(), self.counts[MemberState.READY]
            )
        ) is not None:
            if event is GuardEvent.NONE_RETAINED:
                self._add_fact(FactKind.RETURNED, self.leader)
                continue
            released = [
                name
                for name in self.mass_removal_guard.retained
                if event is GuardEvent.BELOW_THRESHOLD or not self._is_listed_elsewhere(name)
            ]
            for name in released:
                member = self.members[name]
                self.mass_removal_guard.resolve(name)
                self._set_state(now, name, SourceVerdict.GONE, member.entry, member.address)
            if released:
                self._add_fact(FactKind.RELEASED, self.leader, released, len(released))

    def _detect_mass_removal(self, now: float, deferred: dict[str, None]) -> None:
        restored = self.mass_removal_guard.detect_mass_removal(now, self._listed_count(), len(deferred))
        if restored is None:
            return
        for name, removal in restored.items():
            self._set_state(now, name, SourceVerdict.MASS_REMOVAL, removal.entry, removal.address)
        names = [*islice(restored, MAX_NAMES_IN_FACT), *islice(deferred, MAX_NAMES_IN_FACT)]
        self._add_fact(
            FactKind.HOLDING, self.leader, names, len(restored) + len(deferred), self.settings.vanish_window_s
        )

    def _is_listed_elsewhere(self, name: str) -> bool:
        """Whether another live source lists the worker."""
        return any(src.lists(name) for src in self.live_followers)

    def _undamp_stable_workers(self, now: float) -> None:
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
        kind: FactKind,
        src: SourceState | None,
        names: Sequence[str] = (),
        number: int = 0,
        seconds: float = 0.0,
    ) -> None:
        source = src.source.name if src is not None else ""
        self._facts.append(Fact(kind, source, tuple(names[:MAX_NAMES_IN_FACT]), number, seconds))

    def _build_decision(self, now: float) -> Decision:
        not_ready: list[WorkerEntry] = []
        ready: list[WorkerEntry] = []
        addresses: dict[str, Address] = {}
        for name, before in self._entries_before.items():
            member = self.members.get(name)
            old_status = before[0].state if before is not None else WorkerStatus.REMOVED
            if member is None:
                if before is not None:
                    not_ready.append(before[0]._replace(state=WorkerStatus.REMOVED))
                state = WorkerStatus.REMOVED
            else:
                entry, address = effective = member.effective()
                state = entry.state
                if before is None or not _is_equivalent(before, effective):
                    (ready if state is WorkerStatus.READY else not_ready).append(entry)
                    addresses[name] = address
            if old_status is WorkerStatus.READY and state is not WorkerStatus.READY:
                self.flap_damping.record_departure(now, name)
        entries = (*not_ready, *ready)
        kind = ListKind.PATCH
        if entries and not self.has_begun:
            self.has_begun = True
            kind = ListKind.FULL if any(src.is_live for src in self.source_states) else ListKind.STALE
        facts, self._facts, self._entries_before = tuple(self._facts), [], {}
        return Decision(WorkerList(kind, entries), addresses, facts)


def _is_equivalent(a: EffectiveEntry, b: EffectiveEntry) -> bool:
    """Whether two entries are equal except for their weight, which no decision uses."""
    return a[0][:-1] == b[0][:-1] and a[1] == b[1]


def _diff_names(a: SourceState, b: SourceState) -> dict[str, None]:
    """Returns the names whose entries differ between two sources, or whose departures one of them stores."""
    names = {name: None for name, source_entry in a.table.items() if b.table.get(name) != source_entry}
    names.update((name, None) for name in b.table if name not in a.table)
    for departures in (a.departures, a.drains_before_restart, b.departures, b.drains_before_restart):
        names.update(dict.fromkeys(departures))
    return names
