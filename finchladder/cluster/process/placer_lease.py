"""The placer's lease: the head of the chain grants it to at most one process at a time, and renews it."""

import asyncio

from attrs import define, field

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.log import event
from finchladder.cluster.replication.lease import RENEWALS_PER_LEASE, HeldLease
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import ClaimLease, LeaseReply, ReleaseLease, RenewLease, Request
from finchladder.cluster.types.operations import ClaimPlacer

RENEW_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.2
REJECTED = LeaseReply(False, 0)


@define
class PlacerLeaseService:
    """The placer's lease in one control process, which grants it as head and claims it as candidate.

    Attributes:
        chain: The replication chain, whose head grants the lease.
        lease: The lease that this process holds or has held.
        last_order_at: Time at which this process last sent an order to a worker; initially its start.
        latest_token: The highest fencing token that this process has received.
        reacquired: Whether this process or a former incarnation of it was also the previous holder.
        vacant_since: Start of the time before the last grant to this process in which certainly no process
            held the lease (monotonic seconds).
    """

    chain: ChainService
    lease: HeldLease
    last_order_at: float = field(factory=steady)
    latest_token: int = 0
    reacquired: bool = False
    vacant_since: float = 0.0

    @property
    def me(self) -> Member:
        """This process as a member."""
        return self.chain.agreement.me

    def is_held(self) -> bool:
        """Returns whether this process holds the lease and may send orders now."""
        return self.lease.is_valid(steady())

    # --- as head ------------------------------------------------------------------------------------------

    async def on_renew(self, request: RenewLease) -> LeaseReply:
        """Renews the lease if the chain confirms this process as head after the request has arrived."""
        if not await self.chain.confirm():
            return REJECTED
        state = self.chain.acknowledged
        if state.placer != request.holder or state.fence_token != request.token:
            return LeaseReply(False, state.fence_token)
        self.chain.lease.renew(steady())
        return LeaseReply(True, state.fence_token)

    async def on_claim(self, request: ClaimLease) -> LeaseReply:
        """Grants a free lease with the next fencing token; the last holder can reacquire it at once."""
        async with self.chain.write_lock:
            state = await self.chain.confirmed_state()
            if state is None:
                return REJECTED
            wait_s = self._claim_delay_s(state.placer, request.holder)
            if wait_s is None or wait_s > 0 or request.token != state.fence_token:
                return LeaseReply(False, state.fence_token, int((wait_s or 0) * 1000))
            vacant_s = self.chain.lease.vacant_s(steady())
            if not await self.chain.write(ClaimPlacer(request.holder, state.fence_token)):
                return REJECTED
            self.chain.lease.renew(steady())
            return LeaseReply(True, state.fence_token + 1, vacant_ms=int(vacant_s * 1000))

    def _claim_delay_s(self, holder: str, claimant: str) -> float | None:
        """Returns the seconds until the claim may be granted; None if unknown.

        They are 0 if no process has held the lease yet or the claimant was the last holder.
        """
        chain = self.chain.view.chain
        holder_left = all(member.name != holder for member in chain)
        wait_s = self.chain.lease.wait_s(steady(), holder_left=holder_left)
        return 0.0 if holder in ("", claimant) and wait_s is not None else wait_s

    async def on_release(self, request: ReleaseLease) -> LeaseReply:
        """Releases the lease; a successor then waits only for the exclusion window after the last order."""
        state = self.chain.acknowledged
        if state.placer == request.holder and state.fence_token == request.token:
            self.chain.lease.release(steady(), request.idle_ms / 1000)
        return LeaseReply(True, state.fence_token)

    # --- as candidate and holder --------------------------------------------------------------------------

    async def _call_head(self, request: Request) -> LeaseReply:
        head = self.chain.view.head
        if head is None:
            return REJECTED
        if head.disk_id == self.me.disk_id:
            return await self._handle_locally(request)
        reply = await self.chain.agreement.call_member(head, request, RENEW_TIMEOUT_S)
        return reply if isinstance(reply, LeaseReply) else REJECTED

    async def _handle_locally(self, request: Request) -> LeaseReply:
        if isinstance(request, RenewLease):
            return await self.on_renew(request)
        if isinstance(request, ClaimLease):
            return await self.on_claim(request)
        if isinstance(request, ReleaseLease):
            return await self.on_release(request)
        return REJECTED

    async def run(self) -> None:
        """Renews the lease while this process is the holder, and otherwise tries to claim it."""
        while True:
            try:
                await self._renew_or_claim()
            except ClusterError as error:
                event("placer.head_unreachable", problem=str(error))
            await asyncio.sleep(
                self.lease.lease_s / RENEWALS_PER_LEASE if self.is_held() else POLL_INTERVAL_S
            )

    async def _renew_or_claim(self) -> None:
        requested_at = steady()
        state = self.chain.acknowledged
        self.latest_token = max(self.latest_token, state.fence_token)
        if self.lease.token and state.placer == self.me.name and state.fence_token == self.lease.token:
            await self._renew(requested_at)
        elif self._is_candidate():
            await self._claim(requested_at, reacquired=state.placer == self.me.name)

    async def _renew(self, requested_at: float) -> None:
        """Renews the lease, which is also possible after its expiry until another process gets it."""
        reply = await self._call_head(RenewLease(self.me.name, self.lease.token))
        if reply.granted:
            self.lease.extend(requested_at, reply.token)
        elif reply.token:
            self.lease.drop()

    async def _claim(self, requested_at: float, reacquired: bool) -> None:
        reply = await self._call_head(ClaimLease(self.me.name, self.latest_token))
        self.latest_token = max(self.latest_token, reply.token)
        if reply.granted:
            self.reacquired = reacquired
            self.vacant_since = steady() - reply.vacant_ms / 1000
            self.lease.extend(requested_at, reply.token)
            event("placer.elected", token=reply.token)
        elif reply.retry_after_ms:
            # waits no longer than until the next view change, which may free the lease earlier
            await self.chain.agreement.changed.wait(reply.retry_after_ms / 1000)

    def _is_candidate(self) -> bool:
        """Returns whether this process may claim the lease, as every member of the chain may."""
        return self.chain.view.position(self.me.disk_id) is not None

    async def release(self) -> None:
        """Releases the lease before this process ends."""
        if not self.is_held():
            return
        self.lease.drop()
        idle_ms = int((steady() - self.last_order_at) * 1000)
        try:
            await self._call_head(ReleaseLease(self.me.name, self.lease.token, idle_ms))
        except ClusterError as error:
            event("placer.head_unreachable", problem=str(error))
