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

ACCEPTED, INVALID, CONFLICT, OUTCOME_UNKNOWN = 200, 400, 412, 503
FORWARD_MARGIN_S = 0.05
LARGE_BODY_BYTES = 64 << 10


def outcome_unknown(problem: str) -> Submitted:
    """The change may or may not be taken; its sender asks again."""
    return Submitted(OUTCOME_UNKNOWN, 0, problem)


@define
class ConfigurationChanges:
    """Takes the operator's changes."""

    chain: ChainService

    async def submit(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """Here if this is the head, else there. `deadline_s`: from now."""
        if self.chain.is_head:
            return await self.submit_at_head(base, patch, body, deadline_s)
        head = self.chain.view.head
        if head is None:
            return outcome_unknown("there is no chain")
        request = Submit(base, patch, body, int((deadline_s - FORWARD_MARGIN_S) * 1000))
        try:
            reply = await self.chain.agreement.call_member(head, request, deadline_s)
        except ClusterError as error:
            return outcome_unknown(str(error))
        return reply if isinstance(reply, Submitted) else outcome_unknown("unexpected reply")

    async def on_submit(self, request: Submit) -> Submitted:
        """Forwarded by another process; it is not forwarded again."""
        if not self.chain.is_head:
            return outcome_unknown(f"{self.chain.agreement.me.name} is not the head")
        return await self.submit_at_head(
            request.base, request.patch, request.body, request.deadline_ms / 1000
        )

    async def submit_at_head(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """As head: checks, stores and acknowledges; the work goes on when the caller's time is over."""
        until = steady() + deadline_s
        work = asyncio.ensure_future(self._submit_in_order(base, patch, body, until))
        try:
            outcome = await result_within(work, deadline_s)
        except ClusterError as error:
            return outcome_unknown(str(error))
        return outcome or outcome_unknown("no answer from the chain in time")

    async def _submit_in_order(self, base: int, patch: bool, body: bytes, until: float) -> Submitted:
        async with self.chain.write_lock:
            if steady() > until:
                return outcome_unknown("waited too long for changes before it")
            return await self._apply(base, patch, body)

    async def _apply(self, base: int, patch: bool, body: bytes) -> Submitted:
        state = await self.chain.confirmed_state()
        if state is None:
            return outcome_unknown("the chain does not answer")
        digest = changes.change_digest(base, patch, body)
        for revision in state.accepted_revisions:
            if revision.digest == digest:
                return Submitted(ACCEPTED, revision.version)
        if base != state.version:
            problem = f"version {state.version} is in place"
            return await self._confirmed_rejection(Submitted(CONFLICT, state.version, problem))
        candidate = await self._validate(state, patch, body)
        if isinstance(candidate, changes.InvalidChange):
            return await self._confirmed_rejection(Submitted(INVALID, state.version, candidate.problem))
        operation = SetConfiguration(base, candidate.version, digest, candidate.document)
        if not await self.chain.write(operation):
            return outcome_unknown("the chain did not store it in time")
        event("configuration.accepted", version=candidate.version, base=base, bytes=len(candidate.document))
        return Submitted(ACCEPTED, candidate.version)

    async def _confirmed_rejection(self, outcome: Submitted) -> Submitted:
        """A refusal counts only if no later view had begun: a head that was replaced knows an old state."""
        if await self.chain.confirm_locked():
            return outcome
        return outcome_unknown("the chain does not confirm this head")

    async def _validate(
        self, state: ControlState, patch: bool, body: bytes
    ) -> changes.ValidChange | changes.InvalidChange:
        """Large ones are checked in a thread, so that the loop goes on."""
        arguments = state.document, state.version, patch, body
        if len(body) + len(state.document) < LARGE_BODY_BYTES:
            return changes.validate_change(*arguments)
        return await asyncio.to_thread(changes.validate_change, *arguments)
