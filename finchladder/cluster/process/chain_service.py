"""A core process's part in the chain: stores what comes down; as head takes writes and confirms the view."""

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

REPLICATE_TIMEOUT_S = 1.2  # for all members behind one
MIN_BYTES_PER_S = 1_000_000  # so much longer where much is to be stored
FETCH_TIMEOUT_S = 1.0
CONFIRM_INTERVAL_S = 0.3
READ_TIMEOUT_S = 0.4


@define
class ChainService:
    """`acknowledged` is the newest state that all members of a chain are known to hold; only it is shown
    outside.
    """

    agreement: ViewAgreement
    lease: GrantedLease
    acknowledged: ControlState = field(factory=ControlState)
    changed: Signal = field(factory=Signal)
    write_lock: asyncio.Lock = field(factory=asyncio.Lock)
    confirmed_view: int = 0  # as head: the view that its chain has confirmed
    last_confirm_problem: str = ""
    confirmed_at: float = -1e9  # when a confirmation began that went through, here or above
    last_request_view: int = 0  # as member: the view of the predecessor's last request
    last_request_at: float = -1e9
    started_view: int = 0  # as head: the last view whose confirmation it has begun
    renewable_until: float | None = None  # when the lease may last have been renewed before `started_view`

    @property
    def view(self) -> View:
        """The newest decided view."""
        return self.agreement.view

    @property
    def is_head(self) -> bool:
        """Whether this process takes writes."""
        head = self.view.head
        return head is not None and head.disk_id == self.agreement.me.disk_id

    # --- as member ----------------------------------------------------------------------------------------

    async def on_replicate(self, request: Replicate) -> Replicated:
        """A message from the predecessor."""
        agreement = self.agreement
        began = steady()
        async with agreement.lock:
            view = agreement.view
            if view.position(agreement.me.disk_id) is None:
                return Replicated(False, view, problem=f"{agreement.me.name} is not in the chain")
            if request.view == view.number:
                self.last_request_view, self.last_request_at = view.number, began
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
        self._acknowledge(replica, view, began)
        return Replicated(True, view)

    async def _store(self, replica: Replica) -> None:
        await self.agreement.store.save(replica=replica)
        self.agreement.replica = replica

    async def _forward(self, view: View, replica: Replica, operation: Operation | None) -> str:
        """Has all members behind this one store the same; empty if they did, else the problem."""
        successor = view.successor(self.agreement.me.disk_id)
        if successor is None:
            return ""
        sequence = replica.state.sequence
        reply = await self._send(successor, Replicate(view.number, sequence, operation))
        if reply.needs_state:
            reply = await self._send(successor, Replicate(view.number, sequence, None, replica.state))
        await self.agreement.learn(reply.view)
        return "" if reply.stored else reply.problem or "not stored"

    async def _send(self, successor: Member, request: Replicate) -> Replicated:
        timeout_s = REPLICATE_TIMEOUT_S + _bytes_in(request) / MIN_BYTES_PER_S
        try:
            reply = await self.agreement.call_member(successor, request, timeout_s)
        except ClusterError as error:
            return Replicated(False, self.view, problem=str(error))
        if not isinstance(reply, Replicated):
            return Replicated(False, self.view, problem=f"unexpected {type(reply).__name__}")
        return reply

    def _acknowledge(self, replica: Replica, view: View, began: float) -> None:
        """All members from here to the tail hold it, and those before sent it on after storing it."""
        self.confirmed_at = max(self.confirmed_at, began)
        if replica.state_view != view.number or replica.state.sequence < self.acknowledged.sequence:
            return
        if replica.state != self.acknowledged:
            self.acknowledged = replica.state
            self.changed.fire()

    # --- as head ------------------------------------------------------------------------------------------

    async def confirm(self) -> bool:
        """Has the whole chain confirm what the head holds; True if all did."""
        async with self.write_lock:
            return await self.confirm_locked()

    async def confirm_locked(self) -> bool:
        """The same with the write lock held."""
        agreement, began = self.agreement, steady()
        view = agreement.view
        if not self.is_head:
            return False
        if self.started_view != view.number:
            self.started_view, self.renewable_until = view.number, self._renewable_until(view)
        beginning = await self._initial_replica(view)
        async with agreement.lock:
            if not self.is_head or agreement.view.number != view.number or beginning is None:
                return False
            if agreement.replica.state_view != view.number:
                await self._store(chain.adopt(beginning, view.number))
            replica = agreement.replica
        problem = await self._forward(view, replica, None)
        if problem:
            if problem != self.last_confirm_problem:
                event("chain.confirmation_failed", view=view.number, problem=problem)
            self.last_confirm_problem = problem
            return False
        self._acknowledge(replica, view, began)
        if self.confirmed_view != view.number:
            self.confirmed_view = view.number
            self.lease.confirm(steady() if self.renewable_until is None else self.renewable_until)
            event("chain.confirmed", view=view.number, sequence=replica.state.sequence)
        return self.view.number == view.number

    def _renewable_until(self, view: View) -> float | None:
        """The last moment at which the placer's lease can have been renewed before this view, before the head
        stores the state in it; None: unknown. Only a head renews, and only as the whole chain of its view
        confirms it: one that was the head before knows when; a member that had stored the state in that view
        knows when it was last asked, and has confirmed nothing since it learned of this one.
        """
        before = view.number - 1
        if self.confirmed_view == before and self.lease.renewed_at is not None:
            return self.lease.renewed_at
        agreement = self.agreement
        if agreement.replica.state_view != before or agreement.adopted_at < agreement.started_at:
            return None
        return self.last_request_at if self.last_request_view == before else agreement.adopted_at

    async def _initial_replica(self, view: View) -> Replica | None:
        """What the head of a view begins with: its own replica, or the newest of all members' where there are
        no survivors; None if that can't be had.
        """
        own = self.agreement.replica
        if own.state_view == view.number or view.survivors:
            return own
        others = [m for m in view.chain if m.disk_id != self.agreement.me.disk_id]
        call = self.agreement.peers.call
        replies = await call_all(
            [call(m.peer_address, FetchReplica(view.number), FETCH_TIMEOUT_S) for m in others]
        )
        found = [own]
        for reply in replies:
            if not isinstance(reply, ReplicaReply):
                return None
            if reply.state is None:
                await self.agreement.learn(reply.view)
                return None
            found.append(Replica(reply.state_view, reply.state))
        return chain.newest(found)

    async def on_fetch(self, request: FetchReplica) -> ReplicaReply:
        """The replica of this member, once it knows the view and stores nothing of older ones any more."""
        agreement = self.agreement
        async with agreement.lock:
            view, replica = agreement.view, agreement.replica
        if view.number != request.view or view.position(agreement.me.disk_id) is None:
            return ReplicaReply(view)
        return ReplicaReply(view, replica.state_view, replica.state)

    async def confirmed_state(self) -> ControlState | None:
        """With the write lock held: the state that the next write builds on; None if it can't be known."""
        held = self.agreement.replica
        settled = self.confirmed_view == self.view.number and held.state == self.acknowledged
        if not settled and not await self.confirm_locked():
            return None
        return self.agreement.replica.state

    async def write(self, operation: Operation) -> bool:
        """With the write lock held: True once the whole chain stored it; False: it may or may not last."""
        agreement, began = self.agreement, steady()
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
        self._acknowledge(replica, view, began)
        return True

    async def run_confirmations(self) -> None:
        """As head: confirms the chain again and again, at once when the view has changed."""
        while True:
            view = self.view
            if self.is_head and self.agreement.is_healthy():
                try:
                    await self.confirm()
                except ClusterError as error:
                    event("chain.storage_failed", problem=str(error))
            if self.view.number == view.number:
                await self.agreement.changed.wait(CONFIRM_INTERVAL_S)

    # --- as tail ------------------------------------------------------------------------------------------

    async def on_read(self, _: ReadState) -> StateReply:
        """The newest acknowledged state, if no later view can have begun before this was asked."""
        agreement = self.agreement
        view, replica = agreement.view, agreement.replica
        tail = view.tail
        if tail is None or tail.disk_id != agreement.me.disk_id or replica.state_view != view.number:
            return StateReply(None, f"{agreement.me.name} is not the tail")
        if not await self._view_is_newest(view):
            return StateReply(None, f"view {view.number} is not confirmed by a majority")
        return StateReply(replica.state)

    async def _view_is_newest(self, view: View) -> bool:
        """Asks a majority of the voters; one that has accepted a later view speaks against it."""
        agreement = self.agreement
        ping = Ping(agreement.me, view.number, False)
        others = [v.peer_address for v in view.voters if v.disk_id != agreement.me.disk_id]
        replies = await call_all([agreement.peers.call(a, ping, READ_TIMEOUT_S) for a in others])
        pongs = [r for r in replies if isinstance(r, Pong)]
        if view.has_voter(agreement.me.disk_id):
            pongs.append(agreement.pong(view.number))
        known = {v.disk_id for v in view.voters}
        agreeing = {
            p.sender.disk_id
            for p in pongs
            if p.sender.disk_id in known and p.view == view.number and not p.has_accepted
        }
        return len(agreeing) >= view.quorum

    async def read(self) -> ControlState:
        """The newest acknowledged state, from the tail; ClusterError where it can't be had."""
        tail = self.view.tail
        if tail is None:
            raise PeerRefusedError("ReadState", "", "there is no chain")
        if tail.disk_id == self.agreement.me.disk_id:
            reply = await self.on_read(ReadState())
        else:
            answer = await self.agreement.call_member(tail, ReadState(), 2 * READ_TIMEOUT_S)
            reply = answer if isinstance(answer, StateReply) else StateReply(None, "unexpected reply")
        if reply.state is None:
            raise PeerRefusedError("ReadState", tail.name, reply.problem)
        return reply.state


def _bytes_in(request: Replicate) -> int:
    """About the size of a message: that of the document in it."""
    if request.state is not None:
        return len(request.state.document)
    return len(request.operation.document) if isinstance(request.operation, SetConfiguration) else 0
