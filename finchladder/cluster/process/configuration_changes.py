"""Changes of the configuration: applied by the head of the chain, forwarded to it by other processes."""

import asyncio
from functools import partial

from attrs import define

from finchladder.cluster.configuration import changes
from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import result_within
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import Submit, Submitted
from finchladder.cluster.types.operations import ControlState, SetConfiguration

ACCEPTED = 200
INVALID = 400
CONFLICT = 412
OUTCOME_UNKNOWN = 503
FORWARD_MARGIN_S = 0.05  # of the deadline, for the way to the head and back
MAX_LOGGED_PROBLEM_CHARS = 200  # it names routes, services and tenants, whose names have no bound
LARGE_BODY_BYTES = 64 << 10  # larger ones are validated in a thread


def outcome_unknown(problem: str) -> Submitted:
    """The change may or may not be accepted; its sender retries."""
    return Submitted(OUTCOME_UNKNOWN, 0, problem)


def _log_rejection(base: int, outcome: Submitted) -> None:
    event(
        "configuration.rejected",
        base=base,
        version=outcome.version,
        status=outcome.status,
        problem=outcome.problem[:MAX_LOGGED_PROBLEM_CHARS],
    )


@define
class ConfigurationChanges:
    """Validates, stores and acknowledges the operator's changes."""

    chain: ChainService

    async def submit(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """Submits a change at the head, here or on another process.

        Args:
            base: Version that the change builds on.
            patch: Whether the body is a patch rather than a full document.
            body: The change, JSON.
            deadline_s: Seconds from now until the caller needs an answer.
        """
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
        """Handles a change that another process forwarded; it is not forwarded again."""
        if not self.chain.is_head:
            return outcome_unknown(f"{self.chain.agreement.me.name} is not the head")
        return await self.submit_at_head(
            request.base, request.patch, request.body, request.deadline_ms / 1000
        )

    async def submit_at_head(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """As head, applies a change; the work continues after the deadline of the caller."""
        deadline = steady() + deadline_s
        work = asyncio.ensure_future(self._submit_in_order(base, patch, body, deadline))
        try:
            outcome = await result_within(work, deadline_s)
        except ClusterError as error:
            return outcome_unknown(str(error))
        return outcome or outcome_unknown("no answer from the chain in time")

    async def _submit_in_order(self, base: int, patch: bool, body: bytes, deadline: float) -> Submitted:
        async with self.chain.write_lock:
            if steady() > deadline:
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
            return await self._confirmed_rejection(base, Submitted(CONFLICT, state.version, problem))
        candidate = await self._validate(state, patch, body)
        if isinstance(candidate, changes.InvalidChange):
            return await self._confirmed_rejection(base, Submitted(INVALID, state.version, candidate.problem))
        operation = SetConfiguration(base, candidate.version, digest, candidate.document)
        if not await self.chain.write(operation):
            return outcome_unknown("the chain did not store it in time")
        event("configuration.committed", version=candidate.version, base=base, bytes=len(candidate.document))
        return Submitted(ACCEPTED, candidate.version)

    async def _confirmed_rejection(self, base: int, outcome: Submitted) -> Submitted:
        """The rejection, if the chain confirms this head: a replaced head rejects by an outdated state."""
        if await self.chain.confirm_locked():
            _log_rejection(base, outcome)
            return outcome
        return outcome_unknown("the chain does not confirm this head")

    async def _validate(
        self, state: ControlState, patch: bool, body: bytes
    ) -> changes.ValidChange | changes.InvalidChange:
        """The resulting document; large ones are validated in a thread so as not to stall the event loop."""
        validate = partial(changes.validate_change, state.document, state.version, patch, body)
        if len(body) + len(state.document) < LARGE_BODY_BYTES:
            return validate()
        return await asyncio.to_thread(validate)
