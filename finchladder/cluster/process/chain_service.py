"""Chain replication in a control process: it stores operations, writes as head and serves reads as tail."""

import asyncio

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.process.view_agreement import ViewAgreement
from finchladder.cluster.replication import chain
from finchladder.cluster.replication.chain import AlreadyStored, Reject, Replica, RequestFullState
from finchladder.cluster.replication.lease import GrantedLease
from finchladder.cluster.transport.peers import call_all, steady
from finchladder.cluster.types.errors import ClusterError, PeerRefusedError
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import (
    FetchReplica,
    Ping,
    Pong,
    ReadState,
    ReplicaReply,
    Replicate,
    Replicated,
    StateReply,
)
from finchladder.cluster.types.operations import ControlState, Operation, SetConfiguration

REPLICATE_TIMEOUT_S = 1.2  # time for all successors to store an operation
MIN_BYTES_PER_S = 1_000_000  # minimum transfer rate; size / rate is added to the timeout of a message
FETCH_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 0.4


@define
class ChainService:
    """Chain replication in one control process.

    Attributes:
        confirm_interval_s: Seconds between two confirmations by the head.
        acknowledged: The newest state that all members of a chain are known to have stored; only this state
            is visible outside of the chain.
        write_lock: Held by the head from the validation of an operation until the operation has ended.
        confirmed_view: Number of the last view in which the chain has confirmed this process as head.
        confirmed_at: Start of the last request to replicate or confirm a state that succeeded at this process
            and all its successors.
        last_request_view: Number of the view of the last request from the predecessor.
        last_request_at: Arrival time of that request.
        started_view: Number of the last view in which this process, as head, has begun a confirmation.
        renewable_until: Latest time at which the lease can have been renewed before `started_view`; None:
            unknown.
    """

    agreement: ViewAgreement
    lease: GrantedLease
    confirm_interval_s: float
    acknowledged: ControlState = field(factory=ControlState)
    changed: Signal = field(factory=Signal)
    write_lock: asyncio.Lock = field(factory=asyncio.Lock)
    confirmed_view: int = 0
    last_confirm_problem: str = ""
    confirmed_at: float = -1e9
    last_request_view: int = 0
    last_request_at: float = -1e9
    started_view: int = 0
    renewable_until: float | None = None

    @property
    def view(self) -> View:
        """The newest decided view."""
        return self.agreement.view

    @property
    def is_head(self) -> bool:
        """Whether this process is the head of the chain, which accepts writes."""
        head = self.view.head
        return head is not None and head.disk_id == self.agreement.me.disk_id

    # --- as member ----------------------------------------------------------------------------------------

    async def on_replicate(self, request: Replicate) -> Replicated:
        """Handles an operation, a full state or a confirmation from the predecessor."""
        agreement = self.agreement
        began_at = steady()
        async with agreement.lock:
            view = agreement.view
            if view.position(agreement.me.disk_id) is None:
                return Replicated(False, view, problem=f"{agreement.me.name} is not in the chain")
            if request.view == view.number:
                self.last_request_view, self.last_request_at = view.number, began_at
            outcome = chain.receive(agreement.replica, view.number, request)
            if isinstance(outcome, Reject):
                return Replicated(False, view, problem=f"{agreement.me.name}: {outcome.problem}")
            if isinstance(outcome, RequestFullState):
                return Replicated(False, view, needs_state=True)
            if not isinstance(outcome, AlreadyStored):
                await self._store(outcome.replica)
            replica = agreement.replica
        operation = None if request.state is not None else request.operation
        problem = await self._forward(view, replica, operation)
        if problem:
            return Replicated(False, agreement.view, problem=problem)
        self._acknowledge(replica, view, began_at)
        return Replicated(True, view)

    async def _store(self, replica: Replica) -> None:
        await self.agreement.store.save(replica=replica)
        self.agreement.replica = replica

    async def _forward(self, view: View, replica: Replica, operation: Operation | None) -> str:
        """Replicates to all successors; returns the problem, or an empty string once all have stored it."""
        successor = view.successor(self.agreement.me.disk_id)
        if successor is None:
            return ""
        sequence = replica.state.sequence
        reply = await self._send(successor, Replicate(view.number, sequence, operation))
        if reply.needs_state:
            reply = await self._send(successor, Replicate(view.number, sequence, None, replica.state))
        await self.agreement.learn(reply.view)
        return "" if reply.stored else reply.problem or "the successor did not store the operation"

    async def _send(self, successor: Member, request: Replicate) -> Replicated:
        timeout_s = REPLICATE_TIMEOUT_S + _message_bytes(request) / MIN_BYTES_PER_S
        try:
            reply = await self.agreement.call_member(successor, request, timeout_s)
        except ClusterError as error:
            return Replicated(False, self.view, problem=str(error))
        if not isinstance(reply, Replicated):
            return Replicated(
                False, self.view, problem=f"the successor sent an unexpected {type(reply).__name__}"
            )
        return reply

    def _acknowledge(self, replica: Replica, view: View, began_at: float) -> None:
        """Records that every member has stored the replica: members store it before they forward it."""
        self.confirmed_at = max(self.confirmed_at, began_at)
        if replica.state_view != view.number or replica.state.sequence < self.acknowledged.sequence:
            return
        if replica.state != self.acknowledged:
            self.acknowledged = replica.state
            self.changed.fire()

    # --- as head ------------------------------------------------------------------------------------------

    async def confirm(self) -> bool:
        """As head, requests that all members confirm that they have stored its state in the current view.

        Returns whether they have, and the view is still the current one.
        """
        async with self.write_lock:
            return await self.confirm_locked()

    async def confirm_locked(self) -> bool:
        """Does the same as `confirm` for a caller that holds the write lock."""
        began_at = steady()
        view = self.agreement.view
        if not self.is_head:
            return False
        if self.started_view != view.number:
            self.renewable_until = self._renewable_until(view)
            self.started_view = view.number
        replica = await self._replica_as_head(view)
        if replica is None:
            return False
        problem = await self._forward(view, replica, None)
        if problem:
            if problem != self.last_confirm_problem:
                event("chain.confirmation_failed", view=view.number, problem=problem)
            self.last_confirm_problem = problem
            return False
        self._acknowledge(replica, view, began_at)
        if self.confirmed_view != view.number:
            self._record_first_confirmation(view, replica)
        return self.view.number == view.number

    async def _replica_as_head(self, view: View) -> Replica | None:
        """Returns the head's replica after it was stored in the view.

        Returns None if the view has changed, or if a member that may have newer state does not reply.
        """
        agreement = self.agreement
        initial = await self._initial_replica(view)
        async with agreement.lock:
            if not self.is_head or agreement.view.number != view.number or initial is None:
                return None
            if agreement.replica.state_view != view.number:
                await self._store(chain.enter_view(initial, view.number))
            return agreement.replica

    def _record_first_confirmation(self, view: View, replica: Replica) -> None:
        self.confirmed_view = view.number
        self.lease.confirm(steady() if self.renewable_until is None else self.renewable_until)
        event("chain.confirmed", view=view.number, sequence=replica.state.sequence)

    def _renewable_until(self, view: View) -> float | None:
        """Returns the latest time at which a former head can have renewed the placer's lease; None: unknown.

        This method runs before the head stores the state in the new view. Only a head renews the lease, and
        only after the whole chain of its view has confirmed the view. If this process was the former head, it
        has recorded the time of the last renewal; if its view was never confirmed, the lease was not renewed
        in that view. If this process was another member and had stored the state in the former view, it has
        recorded when its predecessor last requested a confirmation. It has confirmed nothing since it adopted
        the new view.
        """
        before = view.number - 1
        if self.confirmed_view == before and self.lease.renewed_at is not None:
            return self.lease.renewed_at
        if self.started_view == before and self.confirmed_view < before:
            return self.renewable_until
        agreement = self.agreement
        if agreement.replica.state_view != before or agreement.adopted_at < agreement.started_at:
            return None
        return self.last_request_at if self.last_request_view == before else agreement.adopted_at

    async def _initial_replica(self, view: View) -> Replica | None:
        """Returns the replica with which the head begins a view; None if a required member does not reply.

        This is the head's own replica, or in a view without survivors the newest replica of all members.
        """
        own = self.agreement.replica
        if own.state_view == view.number or view.survivors:
            return own
        others = [member for member in view.chain if member.disk_id != self.agreement.me.disk_id]
        call = self.agreement.peers.call
        replies = await call_all(
            [call(member.peer_address, FetchReplica(view.number), FETCH_TIMEOUT_S) for member in others]
        )
        replicas = [own]
        for reply in replies:
            if not isinstance(reply, ReplicaReply):
                return None
            if reply.state is None:
                await self.agreement.learn(reply.view)
                return None
            replicas.append(Replica(reply.state_view, reply.state))
        return chain.newest_replica(replicas)

    async def on_fetch(self, request: FetchReplica) -> ReplicaReply:
        """Replies with this member's replica if the requested view is the current one.

        The lock ensures that no operation of an older view is being stored.
        """
        agreement = self.agreement
        async with agreement.lock:
            view, replica = agreement.view, agreement.replica
        if view.number != request.view or view.position(agreement.me.disk_id) is None:
            return ReplicaReply(view)
        return ReplicaReply(view, replica.state_view, replica.state)

    async def confirmed_state(self) -> ControlState | None:
        """Returns the state to which the next write applies, or None if the chain does not confirm it.

        The caller holds the write lock.
        """
        is_confirmed = (
            self.confirmed_view == self.view.number and self.agreement.replica.state == self.acknowledged
        )
        if not is_confirmed and not await self.confirm_locked():
            return None
        return self.agreement.replica.state

    async def write(self, operation: Operation) -> bool:
        """Replicates an operation; the caller holds the write lock.

        Returns:
            True once all members have stored it; False if its outcome is unknown or this process is not a
            confirmed head.
        """
        agreement = self.agreement
        began_at = steady()
        async with agreement.lock:
            view = agreement.view
            if not self.is_head or self.confirmed_view != view.number:
                return False
            await self._store(chain.execute(agreement.replica, operation))
            replica = agreement.replica
        problem = await self._forward(view, replica, operation)
        if problem:
            sequence = replica.state.sequence
            event("chain.write_outcome_unknown", view=view.number, sequence=sequence, problem=problem)
            return False
        self._acknowledge(replica, view, began_at)
        return True

    async def run_confirmations(self) -> None:
        """As head, confirms the chain periodically, and at once when the view changes."""
        while True:
            view = self.view
            if self.is_head and self.agreement.is_healthy():
                try:
                    await self.confirm()
                except ClusterError as error:
                    event("chain.storage_failed", problem=str(error))
            if self.view.number == view.number:
                await self.agreement.changed.wait(self.confirm_interval_s)

    def unconfirmed_reason(self) -> str:
        """Returns why the chain may not have confirmed this process, as a text for the log."""
        view, me = self.view, self.agreement.me
        position = view.position(me.disk_id)
        if position is None:
            return f"{me.name} is not in the chain of view {view.number}"
        if position == 0:
            return self.last_confirm_problem or f"the chain of view {view.number} has not replied"
        if self.last_request_view == view.number:
            return f"a successor in view {view.number} has not confirmed"
        return f"{view.chain[position - 1].name}, the predecessor in view {view.number}, has sent no request"

    # --- as tail ------------------------------------------------------------------------------------------

    async def on_read(self, _: ReadState) -> StateReply:
        """As tail, replies with the newest state, unless a later view may have been decided already."""
        agreement = self.agreement
        view, replica = agreement.view, agreement.replica
        tail = view.tail
        if tail is None or tail.disk_id != agreement.me.disk_id or replica.state_view != view.number:
            return StateReply(None, f"{agreement.me.name} is not the tail of the chain")
        if not await self._view_is_newest(view):
            return StateReply(None, f"view {view.number} is not confirmed by a majority of its voters")
        return StateReply(replica.state)

    async def _view_is_newest(self, view: View) -> bool:
        """Returns whether a majority of the voters has neither learned nor accepted a later view."""
        agreement = self.agreement
        ping = Ping(agreement.me, view.number, False)
        others = [voter.peer_address for voter in view.voters if voter.disk_id != agreement.me.disk_id]
        replies = await call_all([agreement.peers.call(address, ping, READ_TIMEOUT_S) for address in others])
        pongs = [reply for reply in replies if isinstance(reply, Pong)]
        if view.has_voter(agreement.me.disk_id):
            pongs.append(agreement.pong(view.number))
        voter_ids = {voter.disk_id for voter in view.voters}
        agreeing = {
            pong.sender.disk_id
            for pong in pongs
            if pong.sender.disk_id in voter_ids and pong.view == view.number and not pong.has_accepted
        }
        return len(agreeing) >= view.quorum

    async def read(self) -> ControlState:
        """Returns the newest acknowledged state, as confirmed by the tail.

        Raises:
            ClusterError: There is no chain, or its tail can't confirm a state.
        """
        tail = self.view.tail
        if tail is None:
            raise PeerRefusedError("ReadState", "", "no view has been decided yet, so the chain has no tail")
        if tail.disk_id == self.agreement.me.disk_id:
            reply = await self.on_read(ReadState())
        else:
            response = await self.agreement.call_member(tail, ReadState(), 2 * READ_TIMEOUT_S)
            reply = (
                response
                if isinstance(response, StateReply)
                else StateReply(None, "the tail replied with an unexpected message")
            )
        if reply.state is None:
            raise PeerRefusedError("ReadState", tail.name, reply.problem)
        return reply.state


def _message_bytes(request: Replicate) -> int:
    """Returns the approximate size of a message: the size of its configuration document."""
    if request.state is not None:
        return len(request.state.document)
    return len(request.operation.document) if isinstance(request.operation, SetConfiguration) else 0
