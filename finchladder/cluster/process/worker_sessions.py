"""Sessions of the workers that send heartbeats to this control process, drain or deregister."""

import msgspec
from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.retirement_propagation import RetirementPropagation
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.operations import WorkerRetirement
from finchladder.cluster.types.worker_api import Heartbeat, loaded_models
from finchladder.cluster.types.workers import SessionPhase, StampedWorker, WorkerRecord

MAX_REMAINING_MS = 24 * 3600 * 1000  # longer times until a preemption have the same effect as this one
DRAINING_STATE = "draining"  # value of `state` in the heartbeats of a draining worker


@define
class LastHeartbeat:
    """The last heartbeat of a worker whose session this process owns."""

    sequence: int
    received_at: float


@define
class WorkerSessions:
    """Converts heartbeats and deregistrations of workers into records of the replicated tables."""

    tables: ReplicatedTables
    retirements: RetirementPropagation
    changed: Signal
    last_heartbeats: dict[str, LastHeartbeat] = field(factory=dict)  # keyed by instance
    _applied_retirements: tuple[WorkerRetirement, ...] = field(default=(), init=False)

    async def on_heartbeat(self, instance: str, heartbeat: Heartbeat) -> bool:
        """Updates the worker's record; returns whether the heartbeat may be acknowledged.

        A heartbeat of a draining or deregistered worker is acknowledged only after the propagation of its
        retirement.
        """
        known = self.tables.workers.get(instance)
        if known is not None and known.record.phase is SessionPhase.DEREGISTERED:
            return await self.retirements.propagate(instance)
        if heartbeat.sequence < self._last_sequence(instance, known):
            return heartbeat.state != DRAINING_STATE or await self.retirements.propagate(instance)
        self.last_heartbeats[instance] = LastHeartbeat(heartbeat.sequence, steady())
        record = self._record(instance, heartbeat)
        if known is None or not _is_unchanged(known.record, record):
            self._put(record, known)
        return record.phase is SessionPhase.READY or await self.retirements.propagate(instance)

    async def on_deregister(self, instance: str) -> bool:
        """Marks a worker as permanently deregistered; returns whether the call may be acknowledged."""
        known = self.tables.workers.get(instance)
        if known is None or known.record.phase is not SessionPhase.DEREGISTERED:
            # a worker that is unknown here may be known to processes that this one cannot reach
            record = _unknown_worker(instance) if known is None else known.record
            deregistered = msgspec.structs.replace(
                record, phase=SessionPhase.DEREGISTERED, owner=self.tables.origin
            )
            self.tables.put_worker(deregistered)
            self.changed.fire()
            event(
                "worker.session",
                instance=instance,
                phase=SessionPhase.DEREGISTERED.value,
                address=deregistered.address,
            )
        return await self.retirements.propagate(instance)

    def apply_retirements(self, retirements: tuple[WorkerRetirement, ...]) -> None:
        """Applies the retirements stored in the chain to the replicated tables, which may lack them."""
        if retirements is self._applied_retirements:
            return
        applied = frozenset(self._applied_retirements)
        self._applied_retirements = retirements
        for retirement in retirements:
            if retirement not in applied:
                self._apply_retirement(retirement)

    def forget(self, instance: str) -> None:
        """Drops the data of a worker that was removed from the tables."""
        self.last_heartbeats.pop(instance, None)
        self.retirements.acknowledged.discard(instance)

    def _last_sequence(self, instance: str, known: StampedWorker | None) -> int:
        last_heartbeat = self.last_heartbeats.get(instance)
        recorded = known.record.sequence if known else -1
        received = last_heartbeat.sequence if last_heartbeat else -1
        return max(recorded, received)

    def _record(self, instance: str, heartbeat: Heartbeat) -> WorkerRecord:
        is_draining = heartbeat.state == DRAINING_STATE
        return WorkerRecord(
            instance=instance,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            phase=SessionPhase.DRAINING if is_draining else SessionPhase.READY,
            sequence=heartbeat.sequence,
            owner=self.tables.origin,
            loaded_models=loaded_models(heartbeat.models),
            remaining_ms=_remaining_ms(heartbeat.remaining_ms),
        )

    def _put(self, record: WorkerRecord, known: StampedWorker | None) -> None:
        self.tables.put_worker(record)
        self.changed.fire()
        if known is None or known.record.phase is not record.phase:
            event(
                "worker.session",
                instance=record.instance,
                phase=record.phase.value,
                address=record.address,
                models=[loaded.model for loaded in record.loaded_models],
            )

    def _apply_retirement(self, retirement: WorkerRetirement) -> None:
        known = self.tables.workers.get(retirement.instance)
        if known is None:
            self.tables.put_worker(_unknown_worker(retirement.instance))
        elif _retires(retirement, known.record):
            phase = SessionPhase.DEREGISTERED if retirement.deregistered else SessionPhase.DRAINING
            sequence = max(retirement.sequence, known.record.sequence)
            self.tables.put_worker(msgspec.structs.replace(known.record, phase=phase, sequence=sequence))
        else:
            return
        self.changed.fire()


def _remaining_ms(announced_ms: float | None) -> int | None:
    """Returns the announced time until the worker is preempted, in whole milliseconds within its bounds."""
    return None if announced_ms is None else int(min(max(announced_ms, 0.0), MAX_REMAINING_MS))


def _unknown_worker(instance: str) -> WorkerRecord:
    """Returns a record that marks a worker as deregistered about which nothing else is known."""
    return WorkerRecord(
        instance=instance,
        service="",
        address="",
        zone="",
        slots=0,
        phase=SessionPhase.DEREGISTERED,
        sequence=0,
        owner="",
    )


def _retires(retirement: WorkerRetirement, record: WorkerRecord) -> bool:
    """Returns whether a stored retirement changes the phase of the worker's record."""
    if retirement.deregistered:
        return record.phase is not SessionPhase.DEREGISTERED
    return record.phase is SessionPhase.READY and record.sequence <= retirement.sequence


def _is_unchanged(known: WorkerRecord, received: WorkerRecord) -> bool:
    """Returns whether the records differ at most in the sequence number, which alone is not replicated."""
    return msgspec.structs.replace(known, sequence=received.sequence) == received
