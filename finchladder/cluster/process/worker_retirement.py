"""Stores retirements of workers, their drains and deregistrations, in the chain before acknowledgment.

The tables of workers are only in memory, and all control processes may restart at once. A dispatcher that was
disconnected when a drain was acknowledged would then continue to use the worker. Therefore the stored
retirements are applied to the tables again. Retirements that arrive together, for example when a zone is
drained, are stored in one operation.
"""

import asyncio

from attrs import define, field

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import result_within
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import RetireWorker, RetireWorkerReply
from finchladder.cluster.types.operations import (
    ControlState,
    RecordRetirements,
    WorkerRetirement,
    is_retired,
)

RECORD_TIMEOUT_S = 0.7  # shorter than the 1 s after which a worker calls the next control process
# The chain keeps a retirement twice as long as the tables keep an ended worker. By then every connected
# dispatcher has received it, and a dispatcher that starts later gets no record of the worker.
RETENTION_S = 120.0


@define
class RetirementRecorder:
    """Forwards retirements to the head of the chain, or as head writes them to the chain."""

    chain: ChainService
    pending: dict[str, WorkerRetirement] = field(factory=dict)  # retirements to store, by instance
    _first_read_at: dict[str, float] = field(
        factory=dict, init=False
    )  # time at which this process first found a retirement in the chain, keyed by instance

    async def record(self, retirement: WorkerRetirement) -> bool:
        """Stores a retirement in the chain; returns True once it is stored."""
        if is_retired(self.chain.acknowledged, retirement):
            return True
        if self.chain.is_head:
            return await self._record_as_head(retirement)
        head = self.chain.view.head
        if head is None:
            return False
        try:
            reply = await self.chain.agreement.call_member(head, RetireWorker(retirement), RECORD_TIMEOUT_S)
        except ClusterError as error:
            event("worker.retirement_failed", instance=retirement.instance, problem=str(error))
            return False
        return isinstance(reply, RetireWorkerReply) and reply.stored

    async def on_retire(self, request: RetireWorker) -> RetireWorkerReply:
        """Handles a retirement that another process forwarded; it is not forwarded again."""
        return RetireWorkerReply(self.chain.is_head and await self._record_as_head(request.retirement))

    async def _record_as_head(self, retirement: WorkerRetirement) -> bool:
        """Writes a retirement to the chain; the write continues after the timeout."""
        write = asyncio.ensure_future(self._write_pending(retirement))
        try:
            return await result_within(write, RECORD_TIMEOUT_S) or False
        except ClusterError as error:
            event("worker.retirement_failed", instance=retirement.instance, problem=str(error))
            return False

    async def _write_pending(self, retirement: WorkerRetirement) -> bool:
        self.pending[retirement.instance] = retirement
        async with self.chain.write_lock:
            state = await self.chain.confirmed_state()
            if state is None:
                return False
            if is_retired(state, retirement):
                self._discard_pending({retirement.instance: retirement})
                return True
            batch = dict(self.pending)
            forgotten = tuple(self._expired(state) - batch.keys())
            if not await self.chain.write(RecordRetirements(tuple(batch.values()), forgotten)):
                return False
            self._first_read_at |= dict.fromkeys(batch, steady())
            self._discard_pending(batch)
            return True

    def _expired(self, state: ControlState) -> set[str]:
        """Returns the instances whose retirements are older than RETENTION_S.

        A new head counts the age from the time at which it first found the retirement in the chain.
        """
        now = steady()
        first_read_at = self._first_read_at
        self._first_read_at = {r.instance: first_read_at.get(r.instance, now) for r in state.retirements}
        return {instance for instance, at in self._first_read_at.items() if now - at > RETENTION_S}

    def _discard_pending(self, stored: dict[str, WorkerRetirement]) -> None:
        self.pending = {
            instance: retirement
            for instance, retirement in self.pending.items()
            if stored.get(instance) != retirement
        }
