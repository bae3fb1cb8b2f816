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
from finchladder.cluster.transport.peers import all_of, steady
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

PING_S = 0.2
PING_TIMEOUT_S = 0.4
SUSPECT_S = 0.75  # without an answer
STALL_S = 0.6  # a disk that answers no write counts as failed
VOTE_TIMEOUT_S = 0.6
BACKOFF_S = 0.25
NOT_KNOWN = -1  # state view of a member that was not heard yet
FOUND_S = 1.0  # how long the first view waits for all seeds
RANK_STEP_S = 0.12  # so much later each next voter proposes
UNDECIDED_S = 1.0  # after which a vote of which nobody told the outcome is brought to an end


@define
class Heard:
    """What a member last said of itself."""

    pong: Pong
    at: float


@define
class Voting:
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
    heard: dict[str, Heard] = field(factory=dict)
    wants_in: dict[str, tuple[Member, float]] = field(factory=dict)
    started_at: float = field(factory=steady)
    adopted_at: float = -1e9  # when the present view was learned
    highest_round: int = 0
    accepted_at: float = field(factory=steady)  # when the last vote was cast
    leaving: bool = False  # the process is about to end
    needed_since: float | None = None

    @property
    def view(self) -> View:
        """The newest decided view that this process knows."""
        return self.acceptor.view

    def may_vote(self) -> bool:
        """Whether this process is an acceptor of the next view."""
        if self.view.number == 0:
            return self.founder
        return self.view.has_voter(self.me.disk_id)

    def healthy(self) -> bool:
        """Whether the own disk takes writes."""
        return not self.store.failed and self.store.stalled_s() < STALL_S

    def pong(self, known_view: int) -> Pong:
        """What this process says of itself to one that knows that view."""
        view = self.view
        return Pong(
            sender=self.me,
            view=view.number,
            newer_view=view if view.number > known_view else None,
            state_view=self.replica.state_view,
            sequence=self.replica.state.sequence,
            disk_healthy=self.healthy(),
            has_accepted=self.acceptor.accepted is not None,
            shutting_down=self.leaving,
        )

    # --- as acceptor --------------------------------------------------------------------------------------

    async def on_ping(self, request: Ping) -> Pong:
        """Another member looks whether this one is there."""
        if request.wants_to_join:
            self.wants_in[request.sender.disk_id] = request.sender, steady()
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
        self.needed_since, self.adopted_at = None, steady()
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
        self.heard = {d: h for d, h in self.heard.items() if d in members or now - h.at < SUSPECT_S}
        self.wants_in = {d: w for d, w in self.wants_in.items() if now - w[1] < SUSPECT_S}

    # --- failure detection --------------------------------------------------------------------------------

    def contacts(self) -> set[str]:
        """Addresses that are asked whether they are there."""
        addresses = {member.peer_address for member in self.view.members()}
        addresses.update(self.seeds)
        now = steady()
        addresses.update(m.peer_address for m, at in self.wants_in.values() if now - at < SUSPECT_S)
        addresses.discard(self.me.peer_address)
        return addresses

    async def ping_all(self) -> None:
        """Asks all contacts again and again; a ping that is not answered holds up no other."""
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                ping = Ping(self.me, self.view.number, self.wants_to_join())
                for address in sorted(self.contacts()):
                    task = asyncio.create_task(self._ping(address, ping))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(PING_S)
        finally:
            for task in running:
                task.cancel()

    def wants_to_join(self) -> bool:
        """Whether this process asks to be let into the chain."""
        return self.view.position(self.me.disk_id) is None and self.healthy() and not self.leaving

    async def _ping(self, address: str, ping: Ping) -> None:
        try:
            reply = await self.peers.call(address, ping, PING_TIMEOUT_S)
            if not isinstance(reply, Pong):
                return
            self.heard[reply.sender.disk_id] = Heard(reply, steady())
            if reply.newer_view is not None:
                await self.learn(reply.newer_view)
        except ClusterError:
            return  # not heard, or the own disk refuses: both show in `alive`

    def alive(self) -> dict[str, MemberStatus]:
        """Members that answered lately, this one among them."""
        now = steady()
        fresh = {
            disk_id: MemberStatus(
                heard.pong.sender, heard.pong.state_view, heard.pong.disk_healthy, heard.pong.shutting_down
            )
            for disk_id, heard in self.heard.items()
            if now - heard.at < SUSPECT_S
        }
        if now - self.adopted_at < SUSPECT_S:
            for member in self.view.chain:  # not heard yet is not silent
                fresh.setdefault(member.disk_id, MemberStatus(member, NOT_KNOWN, True))
        fresh[self.me.disk_id] = MemberStatus(self.me, self.replica.state_view, self.healthy(), self.leaving)
        return fresh

    def stored_views(self) -> dict[str, int]:
        """By disk id, the view in which each member stored the state when it was heard last."""
        return {disk_id: heard.pong.state_view for disk_id, heard in self.heard.items()}

    def joining(self) -> list[Member]:
        """Members that asked to be let in lately."""
        now = steady()
        return [member for member, at in self.wants_in.values() if now - at < SUSPECT_S]

    def quorum_is_lost(self) -> bool:
        """Whether as many machines answer as a majority takes, but too few of the voters: others came back
        without their disks. What was acknowledged last may then be known to a voter that does not answer.
        """
        answering = self.alive()
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

    async def leave(self, patience_s: float) -> bool:
        """Has the others go on without this process, which is about to end; True if they do in time."""
        if len(self.view.chain) <= self.limits.min_chain_length:
            return False
        self.leaving = True
        until = steady() + patience_s
        while self.view.position(self.me.disk_id) is not None:
            left = until - steady()
            if left <= 0:
                return False
            await self.changed.wait(left)
        return True

    # --- as proposer --------------------------------------------------------------------------------------

    def wanted_view(self) -> View | None:
        """The view that should be proposed now."""
        if not self.may_vote() or not self.healthy():
            return None
        if self.view.number == 0:
            return self._founding_view()
        following = next_view(self.view, self.alive(), self.joining(), self.limits, self.stored_views())
        return following or self._undecided()

    def _undecided(self) -> View | None:
        """What this process voted for without learning of a decision: until there is one, nobody may read."""
        waited = steady() - self.accepted_at
        return self.acceptor.accepted if waited > UNDECIDED_S else None

    def _founding_view(self) -> View | None:
        seeds = {self.me.peer_address, *self.seeds}
        found = [s.member for s in self.alive().values() if s.healthy and s.member.peer_address in seeds]
        waited = steady() - self.started_at
        if len(found) < len(seeds) and waited < FOUND_S:
            return None
        if len(found) <= len(seeds) // 2:
            return None
        return first_view(found, self.limits)

    def is_my_turn(self) -> bool:
        """Voters propose one after the other, in an order that all share."""
        now = steady()
        if self.needed_since is None:
            self.needed_since = now
        alive = self.alive()
        order = sorted(v.disk_id for v in self.view.voters if v.disk_id in alive) or [self.me.disk_id]
        rank = order.index(self.me.disk_id) if self.me.disk_id in order else len(order)
        return now - self.needed_since >= rank * RANK_STEP_S

    async def consider(self) -> None:
        """Proposes a view if one is wanted and it is this process's turn."""
        wanted = self.wanted_view()
        if wanted is None:
            self.needed_since = None
            return
        if not self.is_my_turn():
            return
        if not await self.propose(wanted):
            await asyncio.sleep(self.random.uniform(0.2, 1.0) * BACKOFF_S)

    def _voter_addresses(self) -> list[str]:
        if self.view.number == 0:
            return sorted({self.me.peer_address, *self.seeds})
        return [voter.peer_address for voter in self.view.voters]

    async def propose(self, wanted: View) -> bool:
        """Tries to have the view decided; True if one was."""
        base, addresses = self.view, self._voter_addresses()
        quorum = len(addresses) // 2 + 1
        self.highest_round = max(self.highest_round, self.acceptor.promised.round) + 1
        ballot = Ballot(self.highest_round, self.me.disk_id)
        replies = await self._ask(addresses, Prepare(base.number + 1, ballot), quorum)
        promises = [reply for reply in replies if isinstance(reply, Promise)]
        await self._look_at(promises)
        granted = [p for p in promises if p.granted]
        if len(granted) < quorum or self.view.number != base.number:
            return False
        view = agreement.bound_value(granted) or wanted
        replies = await self._ask(addresses, Accept(ballot, view), quorum)
        accepted = [reply for reply in replies if isinstance(reply, Accepted)]
        await self._look_at(accepted)
        if sum(a.granted for a in accepted) < quorum:
            return False
        await self.learn(view)
        others = {m.peer_address for m in (*view.members(), *base.members())} - {self.me.peer_address}
        await all_of([self.peers.call(address, Learn(view), VOTE_TIMEOUT_S) for address in sorted(others)])
        return True

    async def _ask(self, addresses: list[str], request: Prepare | Accept, quorum: int) -> list[Reply]:
        """The replies of all voters, or of those who answered by the time when a quorum has granted it."""
        tasks = [asyncio.create_task(self._ask_one(address, request)) for address in addresses]
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

    async def _ask_one(self, address: str, request: Prepare | Accept) -> Reply | None:
        try:
            if address != self.me.peer_address:
                return await self.peers.call(address, request, VOTE_TIMEOUT_S)
            if isinstance(request, Prepare):
                return await self.on_prepare(request)
            return await self.on_accept(request)
        except ClusterError:
            return None

    async def _look_at(self, replies: list[Promise] | list[Accepted]) -> None:
        for reply in replies:
            self.highest_round = max(self.highest_round, reply.promised.round)
            await self.learn(reply.view)
