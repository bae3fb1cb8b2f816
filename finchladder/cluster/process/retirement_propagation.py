"""Propagates a worker's retirement, its drain or deregistration, before its call is acknowledged."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field

from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.operations import WorkerRetirement
from finchladder.cluster.types.workers import SessionPhase, Stamp

PROPAGATION_TIMEOUT_S = 0.5  # maximum wait for live subscribers, which may be slow or unreachable
PROPAGATION_POLL_INTERVAL_S = 0.02


@define
class RetirementPropagation:
    """Stores retirements in the chain and waits until subscribers have received them.

    `record`: stores a retirement in the chain; returns True once it is stored.
    """

    name: str
    tables: ReplicatedTables
    updates: UpdateServer
    record: Callable[[WorkerRetirement], Awaitable[bool]]
    acknowledged: set[str] = field(factory=set)  # instances whose retirement was acknowledged here

    async def propagate(self, instance: str) -> bool:
        """Returns whether the retirement is stored in the chain and a majority of voters has its record.

        Every dispatcher that is connected to a majority of the voters then receives the record in time.
        """
        worker = self.tables.workers.get(instance)
        if worker is None or worker.record.phase is SessionPhase.READY:
            return False
        if instance in self.acknowledged:
            return True
        record = worker.record
        retirement = WorkerRetirement(instance, record.sequence, record.phase is SessionPhase.DEREGISTERED)
        is_stored, is_known = await asyncio.gather(
            self.record(retirement), self._wait_for_subscribers(worker.stamp)
        )
        if not is_stored or not is_known:
            return False
        self.acknowledged.add(instance)
        return True

    async def _wait_for_subscribers(self, stamp: Stamp) -> bool:
        """Waits for the live subscribers; returns whether any of them and most voters have the record."""
        deadline = steady() + PROPAGATION_TIMEOUT_S
        while True:
            subscribers = [s for s in self.updates.live_subscribers() if s.long_polls]
            all_have_record = bool(subscribers) and all(s.has(stamp) for s in subscribers)
            if all_have_record or steady() >= deadline:
                break
            await asyncio.sleep(PROPAGATION_POLL_INTERVAL_S)
        return any(s.has(stamp) for s in subscribers) and self._has_majority(stamp)

    def _has_majority(self, stamp: Stamp) -> bool:
        """Returns whether a majority of the voters has the record, counting this process if it is a voter.

        A subscriber that has not pulled recently is not counted: it may have ended and lost its tables.
        """
        voters = {voter.name for voter in self.updates.view().voters}
        names_with_record = {
            s.name for s in self.updates.live_subscribers() if not s.is_dispatcher and s.has(stamp)
        }
        names_with_record.add(self.name)
        return 2 * len(voters & names_with_record) > len(voters)
