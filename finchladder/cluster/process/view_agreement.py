"""A core process's part in agreeing on views: its durable votes, its proposals, and who answers."""

import asyncio
from random import Random
from typing import Any

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.replication import agreement
from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.replication.membership import MemberStatus, ReplicationLimits, first_view, next_view
from finchladder.cluster.storage.interface import DurableStore
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import call_all, steady
from finchladder.cluster.types.errors import ClusterError, PeerUnreachableError
from finchladder.cluster.types.members import Ballot, Member, View
from finchladder.cluster.types.messages import (
    Accept,
    Accepted,
    Learn,
    Ping,
    Pong,
    Prepare,
    Promise,
    Reply,
    Request,
)

PING_INTERVAL_S = 0.2
PING_TIMEOUT_S = 0.4
SUSPICION_TIMEOUT_S = 0.75  # without an answer
DISK_STALL_TIMEOUT_S = 0.6  # a disk that answers no write counts as failed
VOTE_TIMEOUT_S = 0.6
MAX_PROPOSAL_BACKOFF_S = 0.25
UNKNOWN_VIEW = -1  # state view of a member that was not heard yet
BOOTSTRAP_TIMEOUT_S = 1.0  # how long the first view waits for all seeds
PROPOSAL_STAGGER_S = 0.12  # so much later each next voter proposes
UNDECIDED_TIMEOUT_S = 1.0  # after which a vote of which nobody told the outcome is brought to an end


@define
class PeerStatus:
    """What a member last said of itself."""

    pong: Pong
    received_at: float


@define
class ViewAgreement:
    """State of the agreement in one process. `lock` orders all changes of durable state."""

    me: Member
    store: DurableStore
    peers: Peers
    limits: ReplicationLimits
    seeds: tuple[str, ...]  # peer addresses
    founder: bool
    acceptor: Acceptor
    replica: Replica
    random: Random
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    changed: Signal = field(factory=Signal)
    peer_statuses: dict[str, PeerStatus] = field(factory=dict)
    join_requests: dict[str, tuple[Member, float]] = field(factory=dict)
    started_at: float = field(factory=steady)
    adopted_at: float = -1e9  # when the present view was learned
    highest_round: int = 0
    accepted_at: float = field(factory=steady)  # when the last vote was cast
    shutting_down: bool = False  # the process is about to end
    change_needed_since: float | None = None

    @property
    def view(self) -> View:
        """The newest decided view that this process knows."""
        return self.acceptor.view

    def may_vote(self) -> bool:
        """Whether this process is an acceptor of the next view."""
        if self.view.number == 0:
            return self.founder
        return self.view.has_voter(self.me.disk_id)

    def is_healthy(self) -> bool:
        """Whether the own disk takes writes."""
        return not self.store.failed and self.store.stalled_s() < DISK_STALL_TIMEOUT_S

    def pong(self, known_view: int) -> Pong:
        """What this process says of itself to one that knows that view."""
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

    # --- as acceptor --------------------------------------------------------------------------------------

    async def on_ping(self, request: Ping) -> Pong:
        """Another member looks whether this one is there."""
        if request.wants_to_join:
            self.join_requests[request.sender.disk_id] = request.sender, steady()
        return self.pong(request.view)

    async def on_prepare(self, request: Prepare) -> Promise:
        """First phase."""
        async with self.lock:
            acceptor, reply = agreement.prepare(self.acceptor, self.may_vote(), request)
            if acceptor != self.acceptor:
                await self.store.save(acceptor=acceptor)
                self.acceptor = acceptor
            return reply

    async def on_accept(self, request: Accept) -> Accepted:
        """Second phase."""
        async with self.lock:
            acceptor, reply = agreement.accept(self.acceptor, self.may_vote(), request)
            if acceptor != self.acceptor:
                await self.store.save(acceptor=acceptor)
                self.acceptor, self.accepted_at = acceptor, steady()
            return reply

    async def on_learn(self, request: Learn) -> Learn:
        """A decided view is told."""
        await self.learn(request.view)
        return Learn(self.view)

    async def learn(self, view: View) -> None:
        """Takes over a newer decided view."""
        if view.number <= self.view.number:
            return
        async with self.lock:
            acceptor = agreement.learn(self.acceptor, view)
            if acceptor == self.acceptor:
                return
            await self.store.save(acceptor=acceptor)
            self.acceptor = acceptor
        self.change_needed_since, self.adopted_at = None, steady()
        self._forget_former_members()
        event(
            "view.adopted",
            number=view.number,
            chain=[m.name for m in view.chain],
            voters=[m.name for m in view.voters],
            survivors=view.survivors,
        )
        self.changed.fire()

    def _forget_former_members(self) -> None:
        """What was heard of disks that are lost would grow with each of them."""
        members = {m.disk_id for group in (self.view.members(), *self.view.state_sources) for m in group}
        now = steady()
        self.peer_statuses = {
            d: h
            for d, h in self.peer_statuses.items()
            if d in members or now - h.received_at < SUSPICION_TIMEOUT_S
        }
        self.join_requests = {d: w for d, w in self.join_requests.items() if now - w[1] < SUSPICION_TIMEOUT_S}

    # --- failure detection --------------------------------------------------------------------------------

    def ping_targets(self) -> set[str]:
        """Addresses that are asked whether they are there."""
        addresses = {member.peer_address for member in self.view.members()}
        addresses.update(self.seeds)
        now = steady()
        addresses.update(
            m.peer_address for m, at in self.join_requests.values() if now - at < SUSPICION_TIMEOUT_S
        )
        addresses.discard(self.me.peer_address)
        return addresses

    async def run_pings(self) -> None:
        """Asks all contacts again and again; a ping that is not answered holds up no other."""
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                ping = Ping(self.me, self.view.number, self.wants_to_join())
                for address in sorted(self.ping_targets()):
                    task = asyncio.create_task(self._ping(address, ping))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(PING_INTERVAL_S)
        finally:
            for task in running:
                task.cancel()

    def wants_to_join(self) -> bool:
        """Whether this process asks to be let into the chain."""
        return self.view.position(self.me.disk_id) is None and self.is_healthy() and not self.shutting_down

    async def _ping(self, address: str, ping: Ping) -> None:
        try:
            reply = await self.peers.call(address, ping, PING_TIMEOUT_S)
            if not isinstance(reply, Pong):
                return
            self.peer_statuses[reply.sender.disk_id] = PeerStatus(reply, steady())
            if reply.newer_view is not None:
                await self.learn(reply.newer_view)
        except ClusterError:
            return  # not heard, or the own disk refuses: both show in `alive`

    def alive_members(self) -> dict[str, MemberStatus]:
        """Members that answered lately, this one among them."""
        now = steady()
        fresh = {
            disk_id: MemberStatus(
                heard.pong.sender, heard.pong.state_view, heard.pong.disk_healthy, heard.pong.shutting_down
            )
            for disk_id, heard in self.peer_statuses.items()
            if now - heard.received_at < SUSPICION_TIMEOUT_S
        }
        if now - self.adopted_at < SUSPICION_TIMEOUT_S:
            for member in self.view.chain:  # not heard yet is not silent
                fresh.setdefault(member.disk_id, MemberStatus(member, UNKNOWN_VIEW, True))
        fresh[self.me.disk_id] = MemberStatus(
            self.me, self.replica.state_view, self.is_healthy(), self.shutting_down
        )
        return fresh

    def stored_state_views(self) -> dict[str, int]:
        """By disk id, the view in which each member stored the state when it was heard last."""
        return {disk_id: heard.pong.state_view for disk_id, heard in self.peer_statuses.items()}

    def joining_members(self) -> list[Member]:
        """Members that asked to be let in lately."""
        now = steady()
        return [member for member, at in self.join_requests.values() if now - at < SUSPICION_TIMEOUT_S]

    def quorum_is_lost(self) -> bool:
        """Whether as many machines answer as a majority takes, but too few of the voters: others came back
        without their disks. What was acknowledged last may then be known to a voter that does not answer.
        """
        answering = self.alive_members()
        names = {status.member.name for status in answering.values()}
        voting = sum(voter.disk_id in answering for voter in self.view.voters)
        return 2 * len(names) > len(self.view.voters) > 0 and voting < self.view.quorum

    async def call_member(self, member: Member, request: Request, timeout_s: float) -> Reply:
        """Calls a member of the chain; ClusterError without an answer, and as soon as the view leaves it out:
        whatever it answered then would be of no use.
        """
        call = asyncio.ensure_future(self.peers.call(member.peer_address, request, timeout_s))
        try:
            while not call.done() and self.view.position(member.disk_id) is not None:
                change = asyncio.ensure_future(self.changed.wait(timeout_s))
                both: set[asyncio.Future[Any]] = {call, change}
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
                change.cancel()
            if call.done():
                return call.result()
            raise PeerUnreachableError(type(request).__name__, member.name, "it has left the chain")
        finally:
            if not call.done():
                call.cancel()

    async def leave_chain(self, timeout_s: float) -> bool:
        """Has the others go on without this process, which is about to end; True if they do in time."""
        if len(self.view.chain) <= self.limits.min_chain_length:
            return False
        self.shutting_down = True
        until = steady() + timeout_s
        while self.view.position(self.me.disk_id) is not None:
            left = until - steady()
            if left <= 0:
                return False
            await self.changed.wait(left)
        return True

    # --- as proposer --------------------------------------------------------------------------------------

    def view_to_propose(self) -> View | None:
        """The view that should be proposed now."""
        if not self.may_vote() or not self.is_healthy():
            return None
        if self.view.number == 0:
            return self._bootstrap_view()
        following = next_view(
            self.view, self.alive_members(), self.joining_members(), self.limits, self.stored_state_views()
        )
        return following or self._undecided_view()

    def _undecided_view(self) -> View | None:
        """What this process voted for without learning of a decision: until there is one, nobody may read."""
        waited = steady() - self.accepted_at
        return self.acceptor.accepted if waited > UNDECIDED_TIMEOUT_S else None

    def _bootstrap_view(self) -> View | None:
        seeds = {self.me.peer_address, *self.seeds}
        found = [
            s.member for s in self.alive_members().values() if s.healthy and s.member.peer_address in seeds
        ]
        waited = steady() - self.started_at
        if len(found) < len(seeds) and waited < BOOTSTRAP_TIMEOUT_S:
            return None
        if len(found) <= len(seeds) // 2:
            return None
        return first_view(found, self.limits)

    def is_my_turn(self) -> bool:
        """Voters propose one after the other, in an order that all share."""
        now = steady()
        if self.change_needed_since is None:
            self.change_needed_since = now
        alive = self.alive_members()
        order = sorted(v.disk_id for v in self.view.voters if v.disk_id in alive) or [self.me.disk_id]
        rank = order.index(self.me.disk_id) if self.me.disk_id in order else len(order)
        return now - self.change_needed_since >= rank * PROPOSAL_STAGGER_S

    async def propose_if_needed(self) -> None:
        """Proposes a view if one is wanted and it is this process's turn."""
        wanted = self.view_to_propose()
        if wanted is None:
            self.change_needed_since = None
            return
        if not self.is_my_turn():
            return
        if not await self.propose(wanted):
            await asyncio.sleep(self.random.uniform(0.2, 1.0) * MAX_PROPOSAL_BACKOFF_S)

    def _voter_addresses(self) -> list[str]:
        if self.view.number == 0:
            return sorted({self.me.peer_address, *self.seeds})
        return [voter.peer_address for voter in self.view.voters]

    async def propose(self, proposal: View) -> bool:
        """Tries to have the view decided; True if one was."""
        base, addresses = self.view, self._voter_addresses()
        quorum = len(addresses) // 2 + 1
        self.highest_round = max(self.highest_round, self.acceptor.promised.round) + 1
        ballot = Ballot(self.highest_round, self.me.disk_id)
        replies = await self._request_votes(addresses, Prepare(base.number + 1, ballot), quorum)
        promises = [reply for reply in replies if isinstance(reply, Promise)]
        await self._learn_from(promises)
        granted = [p for p in promises if p.granted]
        if len(granted) < quorum or self.view.number != base.number:
            return False
        view = agreement.value_to_propose(granted) or proposal
        replies = await self._request_votes(addresses, Accept(ballot, view), quorum)
        accepted = [reply for reply in replies if isinstance(reply, Accepted)]
        await self._learn_from(accepted)
        if sum(a.granted for a in accepted) < quorum:
            return False
        await self.learn(view)
        others = {m.peer_address for m in (*view.members(), *base.members())} - {self.me.peer_address}
        await call_all([self.peers.call(address, Learn(view), VOTE_TIMEOUT_S) for address in sorted(others)])
        return True

    async def _request_votes(
        self, addresses: list[str], request: Prepare | Accept, quorum: int
    ) -> list[Reply]:
        """The replies of all voters, or of those who answered by the time when a quorum has granted it."""
        tasks = [asyncio.create_task(self._request_vote(address, request)) for address in addresses]
        try:
            while True:
                replies = [reply for task in tasks if task.done() and (reply := task.result()) is not None]
                granted = sum(isinstance(r, Promise | Accepted) and r.granted for r in replies)
                pending = [task for task in tasks if not task.done()]
                if not pending or granted >= quorum:
                    return replies
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _request_vote(self, address: str, request: Prepare | Accept) -> Reply | None:
        try:
            if address != self.me.peer_address:
                return await self.peers.call(address, request, VOTE_TIMEOUT_S)
            if isinstance(request, Prepare):
                return await self.on_prepare(request)
            return await self.on_accept(request)
        except ClusterError:
            return None

    async def _learn_from(self, replies: list[Promise] | list[Accepted]) -> None:
        for reply in replies:
            self.highest_round = max(self.highest_round, reply.promised.round)
            await self.learn(reply.view)
