"""Failure detection between control processes: pings, alive members and requests to join."""

import asyncio

from attrs import define, field, frozen

from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.view_agreement import ViewAgreement
from finchladder.cluster.replication.membership import MemberStatus
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import Ping, Pong

PING_INTERVAL_S = 0.2
PING_TIMEOUT_S = 0.4
SUSPICION_TIMEOUT_S = 0.75  # a member that has not replied for longer is suspected to have failed
UNKNOWN_VIEW = -1  # value of `state_view` for a member that has not replied yet


@frozen
class PeerStatus:
    """The last status of a member, and the time at which it was received."""

    pong: Pong
    received_at: float


@frozen
class JoinRequest:
    """A process that requests to join the chain, and the time of its last request."""

    member: Member
    received_at: float


@define
class FailureDetector:
    """Pings the other control processes, and derives from their replies which of them are alive."""

    agreement: ViewAgreement
    peers: Peers
    seeds: SeedList
    peer_statuses: dict[str, PeerStatus] = field(factory=dict)  # keyed by disk id
    join_requests: dict[str, JoinRequest] = field(factory=dict)  # keyed by disk id

    async def on_ping(self, request: Ping) -> Pong:
        """Replies with the status of this process, and records a request to join."""
        if request.wants_to_join:
            self.join_requests[request.sender.disk_id] = JoinRequest(request.sender, steady())
        return self.agreement.pong(request.view)

    def forget_former_members(self) -> None:
        """Drops the status of former members, so that it does not accumulate with every replaced disk."""
        view = self.agreement.view
        members = {member.disk_id for group in (view.members(), *view.state_sources) for member in group}
        now = steady()
        self.peer_statuses = {
            disk_id: status
            for disk_id, status in self.peer_statuses.items()
            if disk_id in members or now - status.received_at < SUSPICION_TIMEOUT_S
        }
        self.join_requests = {
            disk_id: request
            for disk_id, request in self.join_requests.items()
            if now - request.received_at < SUSPICION_TIMEOUT_S
        }

    def ping_targets(self) -> set[str]:
        """Returns the peer addresses of members, seeds and processes that request to join."""
        addresses = {member.peer_address for member in self.agreement.view.members()}
        addresses.update(self.seeds.addresses)
        addresses.update(member.peer_address for member in self.joining_members())
        addresses.discard(self.agreement.me.peer_address)
        return addresses

    async def run_pings(self) -> None:
        """Pings all targets at a fixed interval without waiting for the replies to earlier pings."""
        running: set[asyncio.Task[None]] = set()
        try:
            while True:
                ping = Ping(self.agreement.me, self.agreement.view.number, self.wants_to_join())
                for address in sorted(self.ping_targets()):
                    task = asyncio.create_task(self._ping(address, ping))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(PING_INTERVAL_S)
        finally:
            for task in running:
                task.cancel()

    def wants_to_join(self) -> bool:
        """Returns whether this process requests to join the chain."""
        agreement = self.agreement
        is_member = agreement.view.position(agreement.me.disk_id) is not None
        return not is_member and agreement.is_healthy() and not agreement.shutting_down

    async def _ping(self, address: str, ping: Ping) -> None:
        try:
            reply = await self.peers.call(address, ping, PING_TIMEOUT_S)
            if not isinstance(reply, Pong):
                return
            self.peer_statuses[reply.sender.disk_id] = PeerStatus(reply, steady())
            if reply.newer_view is not None:
                await self.agreement.learn(reply.newer_view)
        except ClusterError:
            # nothing to do: `alive_members` leaves out a peer without a recent reply, and reports whether
            # this process is healthy
            return

    def alive_members(self) -> dict[str, MemberStatus]:
        """Returns the members that are not suspected, including this process, keyed by disk id."""
        agreement = self.agreement
        now = steady()
        alive = {
            disk_id: MemberStatus(
                status.pong.sender,
                status.pong.state_view,
                status.pong.disk_healthy,
                status.pong.shutting_down,
            )
            for disk_id, status in self.peer_statuses.items()
            if now - status.received_at < SUSPICION_TIMEOUT_S
        }
        if now - agreement.adopted_at < SUSPICION_TIMEOUT_S:
            # members of a new view may not have had time to reply
            for member in agreement.view.chain:
                alive.setdefault(member.disk_id, MemberStatus(member, UNKNOWN_VIEW, True))
        alive[agreement.me.disk_id] = MemberStatus(
            agreement.me, agreement.replica.state_view, agreement.is_healthy(), agreement.shutting_down
        )
        return alive

    def stored_state_views(self) -> dict[str, int]:
        """Returns the number of the view in which each member last stored the state, keyed by disk id.

        The numbers are those of the last replies.
        """
        return {disk_id: status.pong.state_view for disk_id, status in self.peer_statuses.items()}

    def joining_members(self) -> list[Member]:
        """Returns the processes that requested to join within the suspicion timeout."""
        now = steady()
        return [
            request.member
            for request in self.join_requests.values()
            if now - request.received_at < SUSPICION_TIMEOUT_S
        ]

    def is_quorum_lost(self) -> bool:
        """Returns whether as many machines reply as form a majority, but no majority of the voters.

        Some machines have then restarted with empty disks, and the last acknowledged operations may be stored
        only by a voter that does not reply.
        """
        view = self.agreement.view
        alive = self.alive_members()
        names = {status.member.name for status in alive.values()}
        alive_voters = sum(voter.disk_id in alive for voter in view.voters)
        return 2 * len(names) > len(view.voters) > 0 and alive_voters < view.quorum
