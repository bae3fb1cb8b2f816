"""Sessions of workers with control processes: heartbeats, draining, expiry; the tables that others pull."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from attrs import define, field

from finchladder.cluster.configuration.compression import DocumentCompressor
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.members import View
from finchladder.cluster.types.messages import PullUpdates, Update
from finchladder.cluster.types.operations import ControlState, WorkerRetirement
from finchladder.cluster.types.worker_api import Heartbeat, loaded_models
from finchladder.cluster.types.workers import SessionPhase, Stamp, WorkerRecord

MISSED_HEARTBEATS = 2.5  # silence after which a worker counts as lost
HEARTBEAT_SLACK_S = 0.4
READER_S = 2.5  # a reader that has not pulled for so long is not waited for
HAND_ON_S = 0.5  # how long a draining worker's acknowledgement waits for the readers
HAND_ON_LOOK_S = 0.02
FORGET_S = 60.0  # after which readers and origins that are silent are forgotten
FORGET_LOOK_S = 5.0  # between two looks at what may be forgotten
ORPHAN_S = 4.0  # how long an owner may be silent before others judge its workers
LONGEST_WAIT_S = 2.0
SPACING_PER_EDGE_S = (
    0.001  # what a dispatcher waits between two answers with news, for each dispatcher there is
)
LONGEST_SPACING_S = 0.25
URGENT_LOOK_S = 0.02  # between two looks at whether what is held back for a moment is urgent
EDGES_COUNTED_S = 0.1  # between two counts of the dispatchers
DRAINING = "draining"  # the state that a worker tells before it leaves


@define
class Reader:
    """A process that pulls from this one."""

    vector: dict[str, int]
    seen_at: float
    is_edge: bool
    waits: bool  # it learns of changes here at once; others look from time to time
    told_at: float = -1e9  # when it was last answered with news that it waited for

    def has(self, stamp: Stamp) -> bool:
        """Whether it has the record with that stamp, or a newer one."""
        return self.vector.get(stamp.origin, 0) >= stamp.counter


@define
class LastHeartbeat:
    """The last call of a worker whose session this process owns."""

    sequence: int
    at: float


@define
class SessionsService:
    """`state` and `view` tell what else a pull brings, `confirmed` whether the chain answered lately,
    `quorum_lost` whether too few voters answer although most of the core does;
    `is_there(address, instance)` asks a worker itself; `record_end` has the chain store a drain or end.
    """

    name: str
    tables: ReplicatedTables
    heartbeat_s: float
    state: Callable[[], ControlState]
    view: Callable[[], View]
    placer: Callable[[], str]
    confirmed: Callable[[], bool]
    is_there: Callable[[str, str], Awaitable[bool]]
    record_end: Callable[[WorkerRetirement], Awaitable[bool]]
    quorum_lost: Callable[[], bool]
    changed: Signal = field(factory=Signal)
    readers: dict[str, Reader] = field(factory=dict)
    packer: DocumentCompressor = field(factory=DocumentCompressor)
    edge_count: int = 0  # dispatchers that had pulled lately at `edges_counted_at`
    edges_counted_at: float = -1e9
    last_heartbeats: dict[str, LastHeartbeat] = field(factory=dict)
    origins: dict[str, float] = field(factory=dict)  # when each other origin was last heard
    told: set[str] = field(factory=set)  # instances whose drain or end was acknowledged here
    ended: tuple[WorkerRetirement, ...] = ()  # those of the chain that the tables were told
    answered_at: dict[str, float] = field(factory=dict)  # when workers of silent owners last answered
    started_at: float = field(factory=steady)
    forgot_at: float = field(factory=steady)  # when former lives were last looked at

    # --- workers ------------------------------------------------------------------------------------------

    async def on_heartbeat(self, instance: str, heartbeat: Heartbeat) -> bool:
        """True if the call may be acknowledged."""
        now = steady()
        known = self.tables.workers.get(instance)
        heard = self.last_heartbeats.get(instance)
        last = max(known.record.sequence if known else -1, heard.sequence if heard else -1)
        if known is not None and known.record.phase is SessionPhase.DEREGISTERED:
            return await self._handed_on(instance)
        if heartbeat.sequence < last:
            return heartbeat.state != DRAINING or await self._handed_on(instance)
        self.last_heartbeats[instance] = LastHeartbeat(heartbeat.sequence, now)
        record = self._record(instance, heartbeat)
        if known is not None and _same(known.record, record):
            return record.phase is SessionPhase.READY or await self._handed_on(instance)
        self.tables.put_worker(record)
        self.changed.fire()
        if known is None or known.record.phase is not record.phase:
            event(
                "worker.session",
                instance=instance,
                phase=record.phase.value,
                address=record.address,
                models=[h.model for h in record.loaded_models],
            )
        return record.phase is SessionPhase.READY or await self._handed_on(instance)

    def _record(self, instance: str, heartbeat: Heartbeat) -> WorkerRecord:
        return WorkerRecord(
            instance=instance,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            phase=SessionPhase.DRAINING if heartbeat.state == DRAINING else SessionPhase.READY,
            sequence=heartbeat.sequence,
            owner=self.tables.origin,
            loaded_models=loaded_models(heartbeat.models),
            remaining_ms=None if heartbeat.remaining_ms is None else int(heartbeat.remaining_ms),
        )

    async def on_leave(self, instance: str) -> bool:
        """A worker has left for good. True if the call may be acknowledged."""
        known = self.tables.workers.get(instance)
        if known is None or known.record.phase is not SessionPhase.DEREGISTERED:
            # one that is unknown here may be known to those that this process does not hear
            record = _unknown_worker(instance) if known is None else known.record
            gone = msgspec.structs.replace(record, phase=SessionPhase.DEREGISTERED, owner=self.tables.origin)
            self.tables.put_worker(gone)
            self.changed.fire()
            event(
                "worker.session",
                instance=instance,
                phase=SessionPhase.DEREGISTERED.value,
                address=gone.address,
            )
        return await self._handed_on(instance)

    def take_ended(self, ended: tuple[WorkerRetirement, ...]) -> None:
        """Drains and ends that the chain has stored count here, too, also after all tables were lost."""
        if ended is self.ended:
            return
        before, self.ended = frozenset(self.ended), ended
        for end in ended:
            if end not in before:
                self._take_end(end)

    def _take_end(self, end: WorkerRetirement) -> None:
        known = self.tables.workers.get(end.instance)
        if known is None:
            self.tables.put_worker(_unknown_worker(end.instance))
        elif _is_news(end, known.record):
            phase = SessionPhase.DEREGISTERED if end.deregistered else SessionPhase.DRAINING
            sequence = max(end.sequence, known.record.sequence)
            self.tables.put_worker(msgspec.structs.replace(known.record, phase=phase, sequence=sequence))
        else:
            return
        self.changed.fire()

    async def _handed_on(self, instance: str) -> bool:
        """Has the chain store that a worker takes no more requests, and waits until the live readers know.
        True if a majority of the voters does: whoever is in touch with them learns of it in time.
        """
        worker = self.tables.workers.get(instance)
        if worker is None or worker.record.phase is SessionPhase.READY:
            return False
        if instance in self.told:
            return True
        record = worker.record
        end = WorkerRetirement(instance, record.sequence, record.phase is SessionPhase.DEREGISTERED)
        stored, known = await asyncio.gather(self.record_end(end), self._spread(worker.stamp))
        if not stored or not known:
            return False
        self.told.add(instance)
        return True

    async def _spread(self, stamp: Stamp) -> bool:
        """Waits for the live readers; whether most voters have the record with that stamp."""
        until = steady() + HAND_ON_S
        while True:
            live = [r for r in self.readers.values() if r.waits and steady() - r.seen_at < READER_S]
            all_have_it = bool(live) and all(r.has(stamp) for r in live)
            if all_have_it or steady() >= until:
                break
            await asyncio.sleep(HAND_ON_LOOK_S)
        return any(r.has(stamp) for r in live) and self._has_majority(stamp)

    def _has_majority(self, stamp: Stamp) -> bool:
        """Whether most voters have a record, this process counted if it is one. A reader that has not been
        heard lately may have ended, and what it had in memory with it.
        """
        now, voters = steady(), {voter.name for voter in self.view().voters}
        having = {
            name
            for name, r in self.readers.items()
            if not r.is_edge and r.has(stamp) and now - r.seen_at < READER_S
        }
        having.add(self.name)
        return 2 * len(voters & having) > len(voters)

    @property
    def patience_s(self) -> float:
        """Silence after which a worker is lost."""
        return MISSED_HEARTBEATS * self.heartbeat_s + HEARTBEAT_SLACK_S

    def expire(self) -> None:
        """Judges own workers that are silent, and forgets what ended long ago."""
        now = steady()
        self._forget_former_lives(now)
        for instance, worker in list(self.tables.workers.items()):
            record = worker.record
            if (
                record.phase in (SessionPhase.READY, SessionPhase.DRAINING)
                and record.owner == self.tables.origin
            ):
                heard = self.last_heartbeats.get(instance)
                if heard is not None and now - heard.at > self.patience_s:
                    self._lose(record, heard.sequence)

    async def judge_orphans(self) -> None:
        """Workers whose owner is silent are lost only if they do not answer themselves: the owner may be cut
        off from this process and not from them. Who is cut off from the chain judges nobody.
        """
        if not self.confirmed():
            return
        now = steady()
        orphans = [w.record for w in self.tables.workers.values() if self._is_orphan(w.record, now)]
        answers = await asyncio.gather(*(self.is_there(r.address, r.instance) for r in orphans))
        for record, answered in zip(orphans, answers, strict=True):
            if answered:
                self.answered_at[record.instance] = now
            elif self._is_orphan(record, now) and self.tables.workers[record.instance].record == record:
                self._lose(record, record.sequence)

    def _is_orphan(self, record: WorkerRecord, now: float) -> bool:
        if record.owner == self.tables.origin or record.phase in (
            SessionPhase.LOST,
            SessionPhase.DEREGISTERED,
        ):
            return False
        heard_at = self.origins.setdefault(record.owner, now)
        answered_at = self.answered_at.get(record.instance, heard_at)
        return now - max(heard_at, answered_at) > ORPHAN_S + self.patience_s

    def _lose(self, record: WorkerRecord, sequence: int) -> None:
        lost = msgspec.structs.replace(
            record, phase=SessionPhase.LOST, sequence=sequence, owner=self.tables.origin
        )
        if self.tables.put_worker(lost):
            event("worker.lost", instance=record.instance, address=record.address)
            self.changed.fire()

    def _forget_former_lives(self, now: float) -> None:
        if now - self.forgot_at > FORGET_LOOK_S:
            self.forgot_at = now
            for instance in self.tables.expire_ended_workers(now):
                self.last_heartbeats.pop(instance, None)
                self.answered_at.pop(instance, None)
                self.told.discard(instance)
            self.tables.expire_origins(now)
            self.readers = {name: r for name, r in self.readers.items() if now - r.seen_at < FORGET_S}
            self.origins = {origin: at for origin, at in self.origins.items() if now - at < FORGET_S}

    # --- readers ------------------------------------------------------------------------------------------

    async def on_pull(self, pull: PullUpdates) -> Update:
        """Answers at once if the reader misses anything, else when something changes or its wait is over."""
        self._note(pull)
        until = steady() + min(pull.wait_ms / 1000, LONGEST_WAIT_S)
        while not self._has_news(pull):
            left = until - steady()
            if left <= 0 or not await self.changed.wait(left):
                break
        await self._space_out(pull)
        reader = self._note(pull)
        if self._has_news(pull):
            reader.told_at = steady()
        return self._delta(pull)

    def _note(self, pull: PullUpdates) -> Reader:
        known = self.readers.get(pull.sender)
        told_at = -1e9 if known is None else known.told_at
        if known is None:
            self.edges_counted_at = -1e9
        reader = Reader(pull.vector, steady(), pull.is_dispatcher, pull.wait_ms > 0, told_at)
        self.readers[pull.sender] = reader
        return reader

    def spacing_s(self) -> float:
        """Seconds between two answers with news to one dispatcher: what comes meanwhile travels together."""
        return min(LONGEST_SPACING_S, SPACING_PER_EDGE_S * self.edges())

    async def _space_out(self, pull: PullUpdates) -> None:
        """Holds news back for a moment after the last, unless it takes a worker out of use."""
        if not pull.is_dispatcher or not pull.wait_ms:
            return
        until = self.readers[pull.sender].told_at + self.spacing_s()
        while (left := until - steady()) > 0 and self._has_news(pull) and not self._is_urgent(pull):
            await asyncio.sleep(min(left, URGENT_LOOK_S))  # changes are many: not each of them is looked at

    def _is_urgent(self, pull: PullUpdates) -> bool:
        """Whether a newer configuration or view, a drain, a loss or an end of a worker is among the news."""
        if self.state().version > pull.version or self.view().number > pull.view:
            return True
        workers, _ = self.tables.records_after(pull.vector)
        return any(w.record.phase is not SessionPhase.READY for w in workers)

    def _has_news(self, pull: PullUpdates) -> bool:
        newer = self.state().version > pull.version or self.view().number > pull.view
        return newer or self.tables.is_ahead(pull.vector)

    def _delta(self, pull: PullUpdates) -> Update:
        state, view = self.state(), self.view()
        workers, placements = self.tables.records_after(pull.vector)
        return Update(
            origin=self.tables.origin,
            vector=self.tables.advertised_vector(),
            view=view if view.number > pull.view else None,
            workers=workers,
            placements=placements,
            version=state.version,
            document=self.packer.compress(state.document) if state.version > pull.version else b"",
            knows_all_workers=self.is_complete(),
            is_full=not pull.vector,
            placer=self.placer(),
            dispatchers=self.edges(),
            chain_confirmed=self.confirmed(),
            quorum_lost=self.quorum_lost(),
        )

    def is_complete(self) -> bool:
        """Whether every live worker must have called since this process began."""
        return steady() - self.started_at > (MISSED_HEARTBEATS + 1) * self.heartbeat_s + 1.0

    def edges(self) -> int:
        """Dispatchers that have pulled lately."""
        now = steady()
        if now - self.edges_counted_at > EDGES_COUNTED_S:
            self.edges_counted_at = now
            self.edge_count = sum(r.is_edge and now - r.seen_at < READER_S for r in self.readers.values())
        return self.edge_count


def _unknown_worker(instance: str) -> WorkerRecord:
    """What is told of a worker that has ended and of which nothing else is known."""
    return WorkerRecord(instance, "", "", "", 0, SessionPhase.DEREGISTERED, 0, "")


def _is_news(end: WorkerRetirement, record: WorkerRecord) -> bool:
    """Whether a stored drain or end takes that worker out of use."""
    if end.deregistered:
        return record.phase is not SessionPhase.DEREGISTERED
    return record.phase is SessionPhase.READY and record.sequence <= end.sequence


def _same(known: WorkerRecord, new: WorkerRecord) -> bool:
    """Whether a heartbeat tells nothing that the others need."""
    return msgspec.structs.replace(known, sequence=new.sequence) == new
