"""Changes of the configuration: taken by the head, forwarded to it by everybody else."""

import asyncio

from attrs import define

from finchladder.cluster.configuration import changes
from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import result_within
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import Submit, Submitted
from finchladder.cluster.types.operations import ControlState, SetConfiguration

TAKEN, INVALID, CONFLICT, UNCLEAR = 200, 400, 412, 503
FORWARD_MARGIN_S = 0.05
LARGE_BODY = 64 << 10


def unclear(problem: str) -> Submitted:
    """The change may or may not be taken; its sender asks again."""
    return Submitted(UNCLEAR, 0, problem)


@define
class Changes:
    """Takes the operator's changes."""

    chain: ChainService

    async def submit(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """Here if this is the head, else there. `deadline_s`: from now."""
        if self.chain.is_head:
            return await self.take(base, patch, body, deadline_s)
        head = self.chain.view.head
        if head is None:
            return unclear("there is no chain")
        request = Submit(base, patch, body, int((deadline_s - FORWARD_MARGIN_S) * 1000))
        try:
            reply = await self.chain.voting.call_member(head, request, deadline_s)
        except ClusterError as error:
            return unclear(str(error))
        return reply if isinstance(reply, Submitted) else unclear("unexpected reply")

    async def on_submit(self, request: Submit) -> Submitted:
        """Forwarded by another process; it is not forwarded again."""
        if not self.chain.is_head:
            return unclear(f"{self.chain.voting.me.name} is not the head")
        return await self.take(request.base, request.patch, request.body, request.deadline_ms / 1000)

    async def take(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """As head: checks, stores and acknowledges; the work goes on when the caller's time is over."""
        until = steady() + deadline_s
        work = asyncio.ensure_future(self._take_in_turn(base, patch, body, until))
        try:
            outcome = await result_within(work, deadline_s)
        except ClusterError as error:
            return unclear(str(error))
        return outcome or unclear("no answer from the chain in time")

    async def _take_in_turn(self, base: int, patch: bool, body: bytes, until: float) -> Submitted:
        async with self.chain.write_lock:
            if steady() > until:
                return unclear("waited too long for changes before it")
            return await self._take(base, patch, body)

    async def _take(self, base: int, patch: bool, body: bytes) -> Submitted:
        state = await self.chain.ready_to_write()
        if state is None:
            return unclear("the chain does not answer")
        digest = changes.change_digest(base, patch, body)
        for revision in state.accepted_revisions:
            if revision.digest == digest:
                return Submitted(TAKEN, revision.version)
        if base != state.version:
            problem = f"version {state.version} is in place"
            return await self._refused(Submitted(CONFLICT, state.version, problem))
        candidate = await self._checked(state, patch, body)
        if isinstance(candidate, changes.InvalidChange):
            return await self._refused(Submitted(INVALID, state.version, candidate.problem))
        operation = SetConfiguration(base, candidate.version, digest, candidate.document)
        if not await self.chain.write(operation):
            return unclear("the chain did not store it in time")
        event("configuration.taken", version=candidate.version, base=base, bytes=len(candidate.document))
        return Submitted(TAKEN, candidate.version)

    async def _refused(self, outcome: Submitted) -> Submitted:
        """A refusal counts only if no later view had begun: a head that was replaced knows an old state."""
        if await self.chain.confirm_locked():
            return outcome
        return unclear("the chain does not confirm this head")

    async def _checked(
        self, state: ControlState, patch: bool, body: bytes
    ) -> changes.ValidChange | changes.InvalidChange:
        """Large ones are checked in a thread, so that the loop goes on."""
        arguments = state.document, state.version, patch, body
        if len(body) + len(state.document) < LARGE_BODY:
            return changes.validate_change(*arguments)
        return await asyncio.to_thread(changes.validate_change, *arguments)
