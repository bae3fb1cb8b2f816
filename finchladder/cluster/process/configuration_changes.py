"""Configuration changes: the head of the chain applies them, other processes forward them to the head."""

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
FORWARD_MARGIN_S = 0.05  # part of the caller's time that is reserved for the round trip to the head
MAX_LOGGED_PROBLEM_CHARS = 200  # problems contain route, service and tenant names without a length limit
# A change is validated in a thread if its body and the stored document together have at least this size.
LARGE_VALIDATION_BYTES = 64 << 10


def outcome_unknown(problem: str) -> Submitted:
    """Returns the reply for a change whose outcome is unknown; the operator's client then retries."""
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
    """Validates the operator's configuration changes, stores them in the chain, and returns outcomes."""

    chain: ChainService

    async def submit(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """Submits a change to the head, which is this process or another one.

        Args:
            base: Version that the change is based on.
            patch: Whether the body is a patch rather than a full document.
            body: The change as JSON.
            deadline_s: Seconds from now within which the caller needs the outcome.
        """
        if self.chain.is_head:
            return await self.submit_at_head(base, patch, body, deadline_s)
        head = self.chain.view.head
        if head is None:
            return outcome_unknown("no view has been decided yet, so the chain has no head")
        request = Submit(base, patch, body, int((deadline_s - FORWARD_MARGIN_S) * 1000))
        try:
            reply = await self.chain.agreement.call_member(head, request, deadline_s)
        except ClusterError as error:
            return outcome_unknown(str(error))
        return (
            reply
            if isinstance(reply, Submitted)
            else outcome_unknown("the head replied with an unexpected message")
        )

    async def on_submit(self, request: Submit) -> Submitted:
        """Handles a change that another process forwarded; it is not forwarded again."""
        if not self.chain.is_head:
            return outcome_unknown(f"{self.chain.agreement.me.name} is not the head of the chain")
        return await self.submit_at_head(
            request.base, request.patch, request.body, request.deadline_ms / 1000
        )

    async def submit_at_head(self, base: int, patch: bool, body: bytes, deadline_s: float) -> Submitted:
        """Applies a change as head; a change that is being applied at the deadline is completed."""
        deadline = steady() + deadline_s
        work = asyncio.ensure_future(self._submit_in_order(base, patch, body, deadline))
        try:
            outcome = await result_within(work, deadline_s)
        except ClusterError as error:
            return outcome_unknown(str(error))
        return outcome or outcome_unknown("the chain did not store the change before the deadline")

    async def _submit_in_order(self, base: int, patch: bool, body: bytes, deadline: float) -> Submitted:
        async with self.chain.write_lock:
            if steady() > deadline:
                return outcome_unknown("the deadline passed while earlier changes were applied")
            return await self._apply(base, patch, body)

    async def _apply(self, base: int, patch: bool, body: bytes) -> Submitted:
        state = await self.chain.confirmed_state()
        if state is None:
            return outcome_unknown("the chain did not confirm its state")
        digest = changes.change_digest(base, patch, body)
        for revision in state.accepted_revisions:
            if revision.digest == digest:
                return Submitted(ACCEPTED, revision.version)
        if base != state.version:
            problem = f"version {state.version} is in force, and the change is based on another one"
            return await self._confirmed_rejection(base, Submitted(CONFLICT, state.version, problem))
        candidate = await self._validate(state, patch, body)
        if isinstance(candidate, changes.InvalidChange):
            return await self._confirmed_rejection(base, Submitted(INVALID, state.version, candidate.problem))
        operation = SetConfiguration(base, candidate.version, digest, candidate.document)
        if not await self.chain.write(operation):
            return outcome_unknown("the chain did not store the change in time")
        event("configuration.committed", version=candidate.version, base=base, bytes=len(candidate.document))
        return Submitted(ACCEPTED, candidate.version)

    async def _confirmed_rejection(self, base: int, outcome: Submitted) -> Submitted:
        """Returns the rejection once the chain has confirmed this process as its head.

        Otherwise a head that was replaced could reject changes because its state is outdated.
        """
        if await self.chain.confirm_locked():
            _log_rejection(base, outcome)
            return outcome
        return outcome_unknown("the chain did not confirm this process as its head")

    async def _validate(
        self, state: ControlState, patch: bool, body: bytes
    ) -> changes.ValidChange | changes.InvalidChange:
        """Returns the resulting document, or the reason why the change is invalid.

        Changes with at least LARGE_VALIDATION_BYTES are validated in a thread, so that they do not block the
        event loop.
        """
        validate = partial(changes.validate_change, state.document, state.version, patch, body)
        if len(body) + len(state.document) < LARGE_VALIDATION_BYTES:
            return validate()
        return await asyncio.to_thread(validate)
