"""The Paxos acceptor and learner of a control process, with its durable votes and newest decided view."""

import asyncio
from collections.abc import Callable
from typing import Any

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.replication import agreement
from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.replication.membership import ReplicationLimits
from finchladder.cluster.storage.interface import DurableStore
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import (
    Accept,
    Accepted,
    Learn,
    Pong,
    Prepare,
    Promise,
    Reply,
    Request,
)

DISK_STALL_TIMEOUT_S = 0.6  # a disk counts as failed while any write has been pending for longer


@define
class ViewAgreement:
    """Durable state of one control process, which is a Paxos acceptor and learner.

    `lock` serializes all changes of the durable state. When a newer decided view is durable, the
    `adoption_listeners` are called, and then `changed` fires.
    """

    me: Member
    store: DurableStore
    peers: Peers
    limits: ReplicationLimits
    founder: bool  # whether this process may vote on the first view
    acceptor: Acceptor
    replica: Replica
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    changed: Signal = field(factory=Signal)
    adoption_listeners: list[Callable[[], None]] = field(factory=list)
    started_at: float = field(factory=steady)
    adopted_at: float = -1e9  # time at which the current view was adopted
    accepted_at: float = field(factory=steady)  # time of the last vote
    shutting_down: bool = False

    @property
    def view(self) -> View:
        """The newest decided view that this process has learned."""
        return self.acceptor.view

    def may_vote(self) -> bool:
        """Returns whether this process is an acceptor for the next view."""
        if self.view.number == 0:
            return self.founder
        return self.view.has_voter(self.me.disk_id)

    def is_healthy(self) -> bool:
        """Returns whether the local disk accepts writes."""
        return not self.store.last_write_failed and self.store.pending_write_age_s() < DISK_STALL_TIMEOUT_S

    def pong(self, known_view: int) -> Pong:
        """Returns the status of this process, for a peer whose newest view has the number `known_view`."""
        view = self.view
        return Pong(
            sender=self.me,
            view=view.number,
            newer_view=view if view.number > known_view else None,
            state_view=self.replica.state_view,
            sequence=self.replica.state.sequence,
            disk_healthy=self.is_healthy(),
            has_accepted=self.acceptor.accepted is not None,
            shutting_down=self.shutting_down,
        )

    async def on_prepare(self, request: Prepare) -> Promise:
        """Handles the first phase of Paxos; the promise is durable before the reply is sent."""
        async with self.lock:
            acceptor, reply = agreement.prepare(self.acceptor, self.may_vote(), request)
            if acceptor != self.acceptor:
                await self.store.save(acceptor=acceptor)
                self.acceptor = acceptor
            return reply

    async def on_accept(self, request: Accept) -> Accepted:
        """Handles the second phase of Paxos; the vote is durable before the reply is sent."""
        async with self.lock:
            acceptor, reply = agreement.accept(self.acceptor, self.may_vote(), request)
            if acceptor != self.acceptor:
                await self.store.save(acceptor=acceptor)
                self.acceptor = acceptor
                self.accepted_at = steady()
            return reply

    async def on_learn(self, request: Learn) -> Learn:
        """Adopts a decided view from a proposer; the reply holds the newest view of this process."""
        await self.learn(request.view)
        return Learn(self.view)

    async def learn(self, view: View) -> None:
        """Adopts a decided view if it is newer than the current one."""
        if view.number <= self.view.number:
            return
        async with self.lock:
            acceptor = agreement.learn(self.acceptor, view)
            if acceptor == self.acceptor:
                return
            await self.store.save(acceptor=acceptor)
            self.acceptor = acceptor
        self.adopted_at = steady()
        for notify in self.adoption_listeners:
            notify()
        event(
            "view.adopted",
            number=view.number,
            chain=[member.name for member in view.chain],
            voters=[member.name for member in view.voters],
            survivors=view.survivors,
        )
        self.changed.fire()

    async def call_member(self, member: Member, request: Request, timeout_s: float) -> Reply:
        """Calls a member of the chain; cancels the call once a newer view excludes the member.

        Raises:
            ClusterError: The member sent no reply, rejected the request, or is no longer in the chain.
        """
        call = asyncio.ensure_future(self.peers.call(member.peer_address, request, timeout_s))
        change: asyncio.Future[bool] | None = None
        try:
            while not call.done() and self.view.position(member.disk_id) is not None:
                change = asyncio.ensure_future(self.changed.wait(timeout_s))
                pending: set[asyncio.Future[Any]] = {call, change}
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                change.cancel()
            if call.done():
                return call.result()
            raise PeerUnreachableError(
                type(request).__name__, member.name, "the member is no longer in the chain"
            )
        finally:
            if change is not None:
                change.cancel()
            if not call.done():
                call.cancel()

    async def leave_chain(self, timeout_s: float) -> bool:
        """Announces the shutdown of this process, and waits until a view whose chain excludes it is adopted.

        Returns False if the timeout passes first. A process does not leave a chain of the minimum length,
        because the remaining members could lose acknowledged state.
        """
        if len(self.view.chain) <= self.limits.min_chain_length:
            return False
        self.shutting_down = True
        deadline = steady() + timeout_s
        while self.view.position(self.me.disk_id) is not None:
            remaining_s = deadline - steady()
            if remaining_s <= 0:
                return False
            await self.changed.wait(remaining_s)
        return True
