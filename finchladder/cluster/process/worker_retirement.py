"""Drains and ends of workers, stored by the chain before they are acknowledged.

The tables of workers live in memory: all core processes may end at once, and a dispatcher that was cut off
when a drain was acknowledged would go on using that worker. What the chain has stored is put into the tables
again. Many that come at once, as when a zone is emptied, travel together.
"""

import asyncio

from attrs import define, field

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import result_within
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import RetireWorker, RetireWorkerReply
from finchladder.cluster.types.operations import RecordRetirements, WorkerRetirement, is_retired

RECORD_TIMEOUT_S = 0.7  # a worker calls the next control process after a second


@define
class RetirementRecorder:
    """Hands ends to the head; as head takes them down the chain."""

    chain: ChainService
    pending: dict[str, WorkerRetirement] = field(factory=dict)  # by instance, not stored yet

    async def record(self, retirement: WorkerRetirement) -> bool:
        """True once the chain has stored it."""
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
            event("worker.end_unheard", instance=retirement.instance, problem=str(error))
            return False
        return isinstance(reply, RetireWorkerReply) and reply.stored

    async def on_retire(self, request: RetireWorker) -> RetireWorkerReply:
        """Forwarded by another process; it is not forwarded again."""
        return RetireWorkerReply(self.chain.is_head and await self._record_as_head(request.retirement))

    async def _record_as_head(self, retirement: WorkerRetirement) -> bool:
        """As head; the write goes on when the time is over."""
        work = asyncio.ensure_future(self._write_pending(retirement))
        try:
            return await result_within(work, RECORD_TIMEOUT_S) or False
        except ClusterError as error:
            event("worker.end_unheard", instance=retirement.instance, problem=str(error))
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
            if not await self.chain.write(RecordRetirements(tuple(batch.values()))):
                return False
            self._discard_pending(batch)
            return True

    def _discard_pending(self, stored: dict[str, WorkerRetirement]) -> None:
        self.pending = {i: end for i, end in self.pending.items() if stored.get(i) != end}
