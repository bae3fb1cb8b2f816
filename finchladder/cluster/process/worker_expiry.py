"""Detects lost workers by missing heartbeats, and removes expired entries.

The owner of a worker is the control process that receives its heartbeats. An origin is the name of one
incarnation of a control process.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_sessions import WorkerSessions
from finchladder.cluster.sessions.heartbeat_timeouts import loss_timeout_s
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.workers import SessionPhase, WorkerRecord

CHECK_INTERVAL_S = 0.25
MAX_CHECK_DELAY_S = 0.5  # if a check is delayed by more, this process was stalled
CLEANUP_INTERVAL_S = 5.0
OWNER_TIMEOUT_S = 4.0  # time without an update after which an owner counts as unreachable
OWNER_RETENTION_S = 60.0
NEVER = -1e9

LIVE_PHASES = (SessionPhase.READY, SessionPhase.DRAINING)
FINAL_PHASES = (SessionPhase.LOST, SessionPhase.DEREGISTERED)


@define
class WorkerExpiry:
    """Checks the workers that this process owns, and those of unreachable owners.

    `is_running(address, instance)`: queries the worker itself; `is_chain_confirmed`: returns whether the
    chain was recently confirmed.
    """

    tables: ReplicatedTables
    sessions: WorkerSessions
    updates: UpdateServer
    heartbeat_s: float
    is_running: Callable[[str, str], Awaitable[bool]]
    is_chain_confirmed: Callable[[], bool]
    owners_last_seen_at: dict[str, float] = field(factory=dict)  # time of the last update, keyed by origin
    workers_responded_at: dict[str, float] = field(factory=dict)  # time of the last response, by instance
    _cleaned_up_at: float = field(factory=steady, init=False)
    _checked_at: float = field(factory=steady, init=False)
    _resumed_at: float = field(default=NEVER, init=False)  # end of the last stall of this process

    async def run(self) -> None:
        """Checks all workers periodically."""
        while True:
            self.expire_own_workers()
            await self.expire_orphans()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def record_owner_update(self, origin: str) -> None:
        """Records that an update from the origin was received."""
        self.owners_last_seen_at[origin] = steady()

    def expire_own_workers(self) -> None:
        """Marks owned workers without recent heartbeats as lost, and removes expired entries.

        Heartbeats that arrived while this process was stalled may not have been read yet. Therefore the
        timeout of its workers begins again when it resumes.
        """
        now = steady()
        if now - self._checked_at > CHECK_INTERVAL_S + MAX_CHECK_DELAY_S:
            self._resumed_at = now
        self._checked_at = now
        self._clean_up(now)
        timeout_s = loss_timeout_s(self.heartbeat_s)
        for instance, worker in list(self.tables.workers.items()):
            record = worker.record
            if record.phase in LIVE_PHASES and record.owner == self.tables.origin:
                heartbeat = self.sessions.last_heartbeats.get(instance)
                if heartbeat is None:
                    continue
                if now - max(heartbeat.received_at, self._resumed_at) > timeout_s:
                    self._declare_lost(record, heartbeat.sequence)

    async def expire_orphans(self) -> None:
        """Marks workers as lost that do not respond to this process and whose owner is unreachable.

        The owner may be unreachable only from this process, and still receive heartbeats of its workers. A
        process that the chain has not confirmed recently marks no such worker as lost.
        """
        if not self.is_chain_confirmed():
            return
        now = steady()
        orphans = [w.record for w in self.tables.workers.values() if self._is_orphan(w.record, now)]
        responses = await asyncio.gather(*(self.is_running(r.address, r.instance) for r in orphans))
        for record, is_responding in zip(orphans, responses, strict=True):
            if is_responding:
                self.workers_responded_at[record.instance] = now
            elif self._is_orphan(record, now) and self.tables.workers[record.instance].record == record:
                self._declare_lost(record, record.sequence)

    def _is_orphan(self, record: WorkerRecord, now: float) -> bool:
        if record.owner == self.tables.origin or record.phase in FINAL_PHASES:
            return False
        owner_last_seen_at = self.owners_last_seen_at.setdefault(record.owner, now)
        responded_at = self.workers_responded_at.get(record.instance, owner_last_seen_at)
        return now - max(owner_last_seen_at, responded_at) > OWNER_TIMEOUT_S + loss_timeout_s(
            self.heartbeat_s
        )

    def _declare_lost(self, record: WorkerRecord, sequence: int) -> None:
        lost = msgspec.structs.replace(
            record, phase=SessionPhase.LOST, sequence=sequence, owner=self.tables.origin
        )
        if self.tables.put_worker(lost):
            event("worker.lost", instance=record.instance, address=record.address)
            self.updates.changed.fire()

    def _clean_up(self, now: float) -> None:
        if now - self._cleaned_up_at <= CLEANUP_INTERVAL_S:
            return
        self._cleaned_up_at = now
        for instance in self.tables.expire_ended_workers(now):
            self.sessions.forget(instance)
            self.workers_responded_at.pop(instance, None)
        self.tables.expire_origins(now)
        self.updates.expire_subscribers(now)
        self.owners_last_seen_at = {
            origin: last_seen_at
            for origin, last_seen_at in self.owners_last_seen_at.items()
            if now - last_seen_at < OWNER_RETENTION_S
        }
