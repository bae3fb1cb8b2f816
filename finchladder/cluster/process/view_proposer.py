"""The Paxos proposer of a control process: decides when to propose which view, and runs both phases."""

import asyncio
from random import Random

from attrs import define

from finchladder.cluster.process.failure_detection import PING_INTERVAL_S, FailureDetector
from finchladder.cluster.process.view_agreement import ViewAgreement
from finchladder.cluster.replication import agreement as paxos
from finchladder.cluster.replication.membership import first_view, next_view
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import call_all, steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import Ballot, View
from finchladder.cluster.types.messages import Accept, Accepted, Learn, Prepare, Promise, Reply

VOTE_TIMEOUT_S = 0.6
PROPOSAL_INTERVAL_S = PING_INTERVAL_S / 2
MAX_PROPOSAL_BACKOFF_S = 0.25
BACKOFF_JITTER = (0.2, 1.0)  # range of the random factor of MAX_PROPOSAL_BACKOFF_S
BOOTSTRAP_TIMEOUT_S = 1.0  # time after the start from which a majority of the seeds suffices
# Each live voter waits this much longer than the one ranked before it until it proposes a view, so that
# voters do not preempt each other's ballots.
PROPOSAL_STAGGER_S = 0.12
UNDECIDED_TIMEOUT_S = 1.0  # time after its vote from which a voter proposes an undecided view again


@define
class ViewProposer:
    """Proposes the next view whenever members have failed, joined or started to shut down.

    `founders`: peer addresses of the processes that form the first view. They never change, because processes
    with different founders could decide different first views.
    """

    agreement: ViewAgreement
    detector: FailureDetector
    peers: Peers
    random: Random
    founders: tuple[str, ...]
    highest_round: int = 0  # highest round of all ballots that were sent or received
    change_needed_since: float | None = None

    @property
    def view(self) -> View:
        """The newest decided view that this process has learned."""
        return self.agreement.view

    def reset_proposal_delay(self) -> None:
        """Restarts the delay of this process's proposals after a view was adopted."""
        self.change_needed_since = None

    async def run(self) -> None:
        """Proposes views until it is cancelled."""
        while True:
            await self.propose_if_needed()
            await asyncio.sleep(PROPOSAL_INTERVAL_S)

    async def propose_if_needed(self) -> None:
        """Proposes a view if one is needed and the delay of this process has passed."""
        proposal = self.view_to_propose()
        if proposal is None:
            self.change_needed_since = None
            return
        if not self.is_proposal_due():
            return
        if not await self.propose(proposal):
            await asyncio.sleep(self.random.uniform(*BACKOFF_JITTER) * MAX_PROPOSAL_BACKOFF_S)

    def view_to_propose(self) -> View | None:
        """Returns the view that should follow the current one; None if no change is needed or possible."""
        if not self.agreement.may_vote() or not self.agreement.is_healthy():
            return None
        if self.view.number == 0:
            return self._bootstrap_view()
        detector = self.detector
        following = next_view(
            self.view,
            detector.alive_members(),
            detector.joining_members(),
            self.agreement.limits,
            detector.stored_state_views(),
        )
        return following or self._undecided_view()

    def _undecided_view(self) -> View | None:
        """Returns the accepted view if it is still undecided; reads are rejected until it is decided."""
        waited_s = steady() - self.agreement.accepted_at
        return self.agreement.acceptor.accepted if waited_s > UNDECIDED_TIMEOUT_S else None

    def _bootstrap_view(self) -> View | None:
        """Returns the first view, or None while too few seeds are healthy.

        All seeds are needed at first; after BOOTSTRAP_TIMEOUT_S a majority of healthy seeds suffices.
        """
        seeds = self._founder_addresses()
        alive = self.detector.alive_members().values()
        found = [status.member for status in alive if status.healthy and status.member.peer_address in seeds]
        waited_s = steady() - self.agreement.started_at
        if len(found) < len(seeds) and waited_s < BOOTSTRAP_TIMEOUT_S:
            return None
        if len(found) <= len(seeds) // 2:
            return None
        return first_view(found, self.agreement.limits)

    def is_proposal_due(self) -> bool:
        """Returns whether the delay for this process's rank among the live voters has passed.

        The delay begins when this process first needs a change.
        """
        now = steady()
        if self.change_needed_since is None:
            self.change_needed_since = now
        disk_id = self.agreement.me.disk_id
        alive = self.detector.alive_members()
        order = sorted(voter.disk_id for voter in self.view.voters if voter.disk_id in alive) or [disk_id]
        rank = order.index(disk_id) if disk_id in order else len(order)
        return now - self.change_needed_since >= rank * PROPOSAL_STAGGER_S

    async def propose(self, proposal: View) -> bool:
        """Runs both phases of Paxos; returns whether a view was decided.

        The decided view may be another one that a voter has already accepted.
        """
        base = self.view
        addresses = self._voter_addresses()
        quorum = len(addresses) // 2 + 1
        ballot = self._next_ballot()
        replies = await self._request_votes(addresses, Prepare(base.number + 1, ballot), quorum)
        promises = [reply for reply in replies if isinstance(reply, Promise)]
        await self._learn_from(promises)
        granted = [promise for promise in promises if promise.granted]
        if len(granted) < quorum or self.view.number != base.number:
            return False
        view = paxos.value_to_propose(granted) or proposal
        replies = await self._request_votes(addresses, Accept(ballot, view), quorum)
        accepted = [reply for reply in replies if isinstance(reply, Accepted)]
        await self._learn_from(accepted)
        if sum(reply.granted for reply in accepted) < quorum:
            return False
        await self._announce(view, base)
        return True

    def _next_ballot(self) -> Ballot:
        self.highest_round = max(self.highest_round, self.agreement.acceptor.promised.round) + 1
        return Ballot(self.highest_round, self.agreement.me.disk_id)

    def _founder_addresses(self) -> set[str]:
        return {self.agreement.me.peer_address, *self.founders}

    def _voter_addresses(self) -> list[str]:
        if self.view.number == 0:
            return sorted(self._founder_addresses())
        return [voter.peer_address for voter in self.view.voters]

    async def _announce(self, view: View, former: View) -> None:
        """Adopts a decided view and sends it to the members of both views."""
        await self.agreement.learn(view)
        addresses = {member.peer_address for member in (*view.members(), *former.members())}
        addresses.discard(self.agreement.me.peer_address)
        await call_all(
            [self.peers.call(address, Learn(view), VOTE_TIMEOUT_S) for address in sorted(addresses)]
        )

    async def _request_votes(
        self, addresses: list[str], request: Prepare | Accept, quorum: int
    ) -> list[Reply]:
        """Returns the replies of all voters, or those received until a quorum has granted the request.

        The remaining calls to other voters are then cancelled. The local vote continues to be written.
        """
        own_address = self.agreement.me.peer_address
        by_address = {
            address: asyncio.create_task(self._request_vote(address, request)) for address in addresses
        }
        tasks = list(by_address.values())
        try:
            while True:
                finished = [task.result() for task in tasks if task.done()]
                replies = [reply for reply in finished if reply is not None]
                granted = sum(isinstance(reply, Promise | Accepted) and reply.granted for reply in replies)
                pending = [task for task in tasks if not task.done()]
                if not pending or granted >= quorum:
                    return replies
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for address, task in by_address.items():
                if address != own_address:
                    task.cancel()

    async def _request_vote(self, address: str, request: Prepare | Accept) -> Reply | None:
        try:
            if address != self.agreement.me.peer_address:
                return await self.peers.call(address, request, VOTE_TIMEOUT_S)
            if isinstance(request, Prepare):
                return await self.agreement.on_prepare(request)
            return await self.agreement.on_accept(request)
        except ClusterError:
            return None  # a missing vote counts as not granted

    async def _learn_from(self, replies: list[Promise] | list[Accepted]) -> None:
        """Adopts higher rounds and newer decided views from the voters' replies."""
        for reply in replies:
            self.highest_round = max(self.highest_round, reply.promised.round)
            await self.agreement.learn(reply.view)
