"""State of one source of the endpoint list: its reports in order, and whether they are current.

A source is in step while its reports are the newest ones. A source that was unreachable may replay old
entries, and one that was restored or lags may report an older list: such reports are pending, separate from
the table in use, until they are known to be current. `TRANSITIONS` is the complete state table; a pair that
is not in it is a bug.
"""

from collections import OrderedDict
from enum import Enum
from math import inf
from typing import NamedTuple

from finchladder.core.api import ListKind, WorkerEntry, WorkerList, WorkerStatus

Address = tuple[str, int]  # host as numbers, port

ANY_START = inf  # `started_at` of a DRAINING entry: a notice that applies to every incarnation
MAX_NAMES = 50_000  # names that one source may list: 20 MB
DEPARTURE_TTL_S = 300.0  # departures are stored for this time, as other sources may report them late
MAX_DEPARTURES = 16_384  # stored departures; the oldest is evicted first


class Source(NamedTuple):
    """A source of the endpoint list, with its name in the log.

    It is lost after `silence_timeout_s` seconds without a message. A source with `is_stored_list` reports a
    stored list once: it is never live, so any other source has precedence.
    """

    name: str
    silence_timeout_s: float = 3.0
    is_stored_list: bool = False


class Report(NamedTuple):
    """Report of a source.

    `workers.kind`: FULL (missing entries are removed), PATCH (changed entries), or STALE (all entries as last
    known, an initial list).

    `version` orders the reports of one source within one `epoch` (etcd: revision and cluster id; discovery:
    index and ""). An entry without an address is a draining notice (its `started_at` is ANY_START, unless the
    incarnation is known). `in_step`: no outdated entries will follow.
    """

    source: str
    version: int
    workers: WorkerList
    addresses: dict[str, Address]
    epoch: str = ""
    in_step: bool = True
    age_s: float = 0.0  # STALE: time since the list was last known to be valid


class SourceEntry(NamedTuple):
    """Entry of a source for one worker; without an address it is only a draining notice."""

    entry: WorkerEntry
    address: Address | None


class SourceStatus(Enum):
    """Whether a source's reports are current."""

    NEVER = "never"  # it has not reported a full list yet
    LIVE = "live"  # in step: its reports apply as they arrive
    LOST = "lost"  # no message for silence_timeout_s, or a stored list: its last list stays in use
    # reachable, but may repeat older changes: its reports are pending, and its last list stays in use
    CATCHING_UP = "catching"
    BEHIND = "behind"  # it reported a list older than its last one, which is pending


class SourceEvent(Enum):
    """Events that change a source's status."""

    BEFORE = "before"  # it reported a stored list
    IN_STEP = "in step"
    REPLAY = "replay"  # reachable, but older changes may still arrive
    OLDER = "older"  # its full list, including later changes, has an older version
    CAUGHT_UP = "caught up"  # the older list has reached the version of the last one
    ANEW = "anew"  # the list stayed older for so long that the source must have restarted
    QUIET = "quiet"  # no message for silence_timeout_s
    UNDONE = "undone"  # no message for silence_timeout_s, before its first list was in step


S = SourceStatus
TRANSITIONS = {
    (S.NEVER, SourceEvent.BEFORE): S.LOST,
    (S.NEVER, SourceEvent.IN_STEP): S.LIVE,
    (S.NEVER, SourceEvent.REPLAY): S.CATCHING_UP,
    (S.LIVE, SourceEvent.IN_STEP): S.LIVE,
    (S.LIVE, SourceEvent.REPLAY): S.LIVE,
    (S.LIVE, SourceEvent.OLDER): S.BEHIND,
    (S.LIVE, SourceEvent.QUIET): S.LOST,
    (S.LOST, SourceEvent.IN_STEP): S.LIVE,
    (S.LOST, SourceEvent.REPLAY): S.CATCHING_UP,
    (S.LOST, SourceEvent.OLDER): S.BEHIND,
    (S.CATCHING_UP, SourceEvent.IN_STEP): S.LIVE,
    (S.CATCHING_UP, SourceEvent.REPLAY): S.CATCHING_UP,
    (S.CATCHING_UP, SourceEvent.OLDER): S.BEHIND,
    (S.CATCHING_UP, SourceEvent.QUIET): S.LOST,
    (S.CATCHING_UP, SourceEvent.UNDONE): S.NEVER,
    (S.BEHIND, SourceEvent.OLDER): S.BEHIND,
    (S.BEHIND, SourceEvent.CAUGHT_UP): S.LIVE,
    (S.BEHIND, SourceEvent.ANEW): S.LIVE,
    (S.BEHIND, SourceEvent.QUIET): S.LOST,
}


class Departure(NamedTuple):
    """A worker that a source no longer lists, or that it reported before its list restarted."""

    noted_at: float
    drained_start: float | None  # start time of the incarnation that was draining before


class _PendingList:
    """Reported entries that are not committed; `is_full`: they replace the table instead of changing it."""

    def __init__(self, epoch: str, version: int, is_full: bool) -> None:
        self.epoch, self.version, self.is_full = epoch, version, is_full
        self.entries: dict[str, SourceEntry | None] = {}
        self.drained: dict[str, float] = {}  # incarnations that were draining before their removal


class SourceUpdate(NamedTuple):
    """Result of a report; `names` are those whose entries of the source may have changed."""

    names: dict[str, None]
    stale: bool = False  # the report does not follow the last one and was dropped
    # number of versions by which a list is older than the last one, if it has just become pending
    versions_behind: int = 0
    restarted: bool = False
    omitted: int = 0  # number of names beyond MAX_NAMES


NOTHING = SourceUpdate({})


class SourceState:
    """State of one source. A call costs O(reported entries), or O(list) where a pending list is committed."""

    def __init__(self, source: Source, rank: int) -> None:
        self.source, self.rank = source, rank
        self.status = S.NEVER
        self.since = 0.0  # time of the last change of `status`
        self.received_at = 0.0
        self.valid_at = 0.0  # time at which its table was last known to be valid
        self.epoch, self.version = "", -1
        self.has_list = False
        self.table: dict[str, SourceEntry] = {}
        self.pending: _PendingList | None = None
        self.departures: OrderedDict[str, Departure] = OrderedDict()
        self.drains_before_restart: OrderedDict[str, Departure] = (
            OrderedDict()
        )  # draining notices from before its restart
        self.may_drain: set[str] = set()  # superset of the workers for which `draining_start` returns a time

    @property
    def is_live(self) -> bool:
        """Whether the source is in step."""
        return self.status is S.LIVE

    def _apply(self, now: float, event: SourceEvent) -> None:
        try:
            new_status = TRANSITIONS[self.status, event]
        except KeyError:
            raise ValueError(f"a source that is {self.status.value} can't be {event.value}") from None
        if new_status is not self.status:
            self.status, self.since = new_status, now
        if new_status is S.LIVE:
            self.valid_at = now

    # --- input

    def report(self, now: float, r: Report) -> SourceUpdate:
        """Applies a report and returns the affected names."""
        kind = r.workers.kind
        if kind is ListKind.BROKEN:
            return NOTHING
        if kind is ListKind.STALE:
            if self.status is not S.NEVER or self.pending is not None:
                return SourceUpdate({}, stale=True)
            self.valid_at = now - r.age_s
            self._apply(now, SourceEvent.BEFORE)
            return self._commit(now, self._add_entries(_PendingList(r.epoch, r.version, True), r), {})
        self.received_at = now
        if kind is ListKind.FULL:
            return self._apply_full(now, r)
        return self._apply_patch(now, r)

    def record_heartbeat(self, now: float, in_step: bool) -> SourceUpdate:
        """Records that the source is alive and has nothing new."""
        self.received_at = now
        if not self.has_list and self.pending is None:
            return NOTHING
        self._apply(now, self._event_of(in_step))
        return (
            self._commit(now, self.pending, {})
            if self.is_live and self.pending is not None
            else self._behind_update()
        )

    def record_loss(self, now: float) -> SourceUpdate:
        """Marks the source as lost after `silence_timeout_s`; a pending list remains pending."""
        before = self._older_pending_names()
        self._apply(now, SourceEvent.QUIET if self.has_list else SourceEvent.UNDONE)
        return SourceUpdate(before)

    def commit_restarted(self, now: float) -> SourceUpdate:
        """Commits the pending older list: the source has restarted its versions."""
        assert self.pending is not None
        before = self._older_pending_names()
        self._apply(now, SourceEvent.ANEW)
        return self._commit(now, self.pending, before)

    def _older_pending_names(self) -> dict[str, None]:
        """Returns the names of a pending older list, whose draining notices apply while it is pending."""
        behind = self.status is S.BEHIND
        return dict.fromkeys(self.pending.entries) if behind and self.pending is not None else {}

    def _behind_update(self) -> SourceUpdate:
        return SourceUpdate(self._older_pending_names()) if self.status is S.BEHIND else NOTHING

    def _event_of(self, in_step: bool) -> SourceEvent:
        if self.pending is not None and self.pending.is_full and self._is_older(self.pending):
            return SourceEvent.OLDER
        return SourceEvent.IN_STEP if in_step else SourceEvent.REPLAY

    def _is_older(self, new: _PendingList) -> bool:
        return self.has_list and new.epoch == self.epoch and new.version < self.version

    def _apply_full(self, now: float, r: Report) -> SourceUpdate:
        before = self._older_pending_names()
        self.pending = self._add_entries(_PendingList(r.epoch, r.version, True), r)
        if self._is_older(self.pending):
            is_first = self.status is not S.BEHIND
            self._apply(now, SourceEvent.OLDER)
            return SourceUpdate(
                before | self._older_pending_names(),
                versions_behind=self.version - r.version if is_first else 0,
            )
        self._apply(now, SourceEvent.CAUGHT_UP if self.status is S.BEHIND else self._event_of(r.in_step))
        return self._commit(now, self.pending, before) if self.is_live else NOTHING

    def _apply_patch(self, now: float, r: Report) -> SourceUpdate:
        pending = self.pending or _PendingList(self.epoch, self.version, False)
        if not (self.has_list or self.pending) or r.epoch != pending.epoch or r.version < pending.version:
            return SourceUpdate({}, stale=True)
        before = self._older_pending_names()
        self.pending = self._add_entries(pending, r)
        if self.status is S.BEHIND and not self._is_older(pending):
            self._apply(now, SourceEvent.CAUGHT_UP)
        else:
            self._apply(now, self._event_of(r.in_step))
        if self.is_live:
            return self._commit(now, pending, before)
        if before:
            return SourceUpdate({e.worker: None for e in r.workers.entries})
        return self._behind_update()

    def _add_entries(self, pending: _PendingList, r: Report) -> _PendingList:
        pending.version = r.version
        entries, address = pending.entries, r.addresses.get
        for e in r.workers.entries:
            before = entries.get(e.worker)
            if e.state is not WorkerStatus.REMOVED:
                entries[e.worker] = SourceEntry(e, address(e.worker))
                if e.state is WorkerStatus.DRAINING:
                    self.may_drain.add(e.worker)
            else:
                entries[e.worker] = None
                if before is not None and before.entry.state is WorkerStatus.DRAINING:
                    pending.drained[e.worker] = before.entry.started_at
        return pending

    def _commit(self, now: float, pending: _PendingList, names: dict[str, None]) -> SourceUpdate:
        """Commits a pending list to the table; `names` are reported as affected in any case."""
        is_restarted = self.has_list and (pending.epoch != self.epoch or pending.version < self.version)
        omitted = 0
        table = self.table
        if pending.is_full:
            for name in [name for name in table if name not in pending.entries]:
                names[name] = None
                self._remove(now, name, is_restarted)
        for name, entry in pending.entries.items():
            old = table.get(name)
            if entry is None:
                if old is not None or name in pending.drained:
                    names[name] = None
                    self._remove(now, name, is_restarted, pending.drained.get(name))
            elif old is None and len(table) >= MAX_NAMES:
                omitted += 1
            elif old != entry:
                names[name] = None
                table[name] = entry
                if self.departures or self.drains_before_restart or is_restarted:
                    self._record_listed(now, name, entry, old if is_restarted else None)
        self.epoch, self.version, self.has_list, self.pending = pending.epoch, pending.version, True, None
        return SourceUpdate(names, restarted=is_restarted, omitted=omitted)

    def _record_listed(self, now: float, name: str, entry: SourceEntry, before: SourceEntry | None) -> None:
        """Removes a stored departure; `before`: the entry from before a restart of the source."""
        self.departures.pop(name, None)
        self.drains_before_restart.pop(name, None)
        if (
            before is not None
            and before.entry.state is WorkerStatus.DRAINING
            and entry.entry.state is WorkerStatus.READY
        ):
            self._record_departure(self.drains_before_restart, name, Departure(now, before.entry.started_at))

    def _remove(self, now: float, name: str, is_restarted: bool, drained: float | None = None) -> None:
        """Removes an entry and stores its departure, unless a restarted list merely lacks a ready entry.

        `drained`: the incarnation that was draining.
        """
        entry = self.table.pop(name, None)
        if drained is None and entry is not None and entry.entry.state is WorkerStatus.DRAINING:
            drained = entry.entry.started_at
        self.drains_before_restart.pop(name, None)
        self.departures.pop(name, None)
        if drained is not None or not is_restarted:
            self._record_departure(self.departures, name, Departure(now, drained))

    def _record_departure(
        self, departures: OrderedDict[str, Departure], name: str, departure: Departure
    ) -> None:
        departures[name] = departure
        if departure.drained_start is not None:
            self.may_drain.add(name)
        if len(departures) > MAX_DEPARTURES:
            departures.popitem(last=False)

    # --- queries

    def lists(self, name: str) -> bool:
        """Whether the source lists the worker as a member."""
        entry = self.table.get(name)
        return entry is not None and entry.address is not None

    def draining_start(self, name: str) -> float:
        """Returns the latest start of the worker that the source reported as draining; -inf: none."""
        if name not in self.may_drain:
            return -inf
        found = -inf
        entry = self.table.get(name)
        pending_entry = self.pending.entries.get(name) if self.pending is not None else None
        for candidate in (entry, pending_entry if self.status is S.BEHIND else None):
            if candidate is not None and candidate.entry.state is WorkerStatus.DRAINING:
                found = max(found, candidate.entry.started_at)
        for departures in (self.departures, self.drains_before_restart):
            if (departure := departures.get(name)) is not None and departure.drained_start is not None:
                found = max(found, departure.drained_start)
        if found == -inf and pending_entry is None:
            self.may_drain.discard(name)
        return found

    def draining_names(self) -> dict[str, None]:
        """Returns the workers that the source reports as draining, or whose departures are stored."""
        names = {
            name: None for name, entry in self.table.items() if entry.entry.state is WorkerStatus.DRAINING
        }
        return names | dict.fromkeys(self.departures) | dict.fromkeys(self.drains_before_restart)

    @property
    def next_expiry_at(self) -> float:
        """Time at which the oldest stored departure expires."""
        return min(
            (
                next(iter(m.values())).noted_at + DEPARTURE_TTL_S
                for m in (self.departures, self.drains_before_restart)
                if m
            ),
            default=inf,
        )

    def expire_departures(self, now: float) -> dict[str, None]:
        """Removes expired departures and returns their names."""
        names: dict[str, None] = {}
        for departures in (self.departures, self.drains_before_restart):
            while departures and next(iter(departures.values())).noted_at + DEPARTURE_TTL_S <= now:
                names[departures.popitem(last=False)[0]] = None
        return names
