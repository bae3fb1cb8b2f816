"""A dispatcher's side of the quota account: asks for grants, one message at a time, and returns the rest."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.tenancy.reservations import (
    ExhaustedTenants,
    QuotaExhausted,
    QuotaRefusal,
    QuotaUnavailable,
    Reservation,
    grant_valid_until,
)
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import QuotaNeed, QuotaReply, QuotaReturn, ReserveQuota

CALL_TIMEOUT_S = 0.3
RETRY_INTERVAL_S = 0.05  # while no account answers
RETURN_DELAY_S = 0.1  # returns wait so long for a message that goes anyway
IDLE_WAIT_S = 60.0
MIN_RETRY_AFTER_S = 0.05


@define(eq=False)
class _Waiter:
    """A request that waits for an answer of the account."""

    tenant: str
    cost: int
    give_up_at: float
    answer: "asyncio.Future[Reservation | QuotaRefusal]"


@define
class QuotaClient:
    """Reserves quota for the requests of one dispatcher.

    Attributes:
        node_name: Name of this dispatcher.
        peers: Calls to other processes.
        holder_address: Peer address of the holder of the account; empty while it is unknown.
    """

    node_name: str
    peers: Peers
    holder_address: Callable[[], str]
    _waiting: list[_Waiter] = field(factory=list)
    _returns: list[Reservation] = field(factory=list)
    _exhausted: ExhaustedTenants = field(factory=ExhaustedTenants)
    _changed: Signal = field(factory=Signal)

    async def reserve(
        self, tenant: Tenant, cost: int, give_up_at: float, replaced: Reservation | None = None
    ) -> Reservation | QuotaRefusal:
        """Asks the account for the cost of one request.

        Args:
            tenant: Its tenant, which has a limit.
            cost: Units of the tenant's quota.
            give_up_at: Until when the account may answer (monotonic seconds).
            replaced: An unspent reservation of the same request; it is returned in the same message.
        """
        if replaced is None:
            exhausted = self._exhausted.find(tenant.name, cost, steady())
            if exhausted is not None:
                return exhausted
        answer: asyncio.Future[Reservation | QuotaRefusal] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tenant.name, cost, give_up_at, answer)
        if replaced is None:
            self._waiting.append(waiter)
        else:
            self._returns.append(replaced)
            self._waiting.insert(0, waiter)
        self._changed.fire()
        try:
            async with asyncio.timeout(max(0.0, give_up_at - steady())):
                return await answer
        except TimeoutError:
            return QuotaUnavailable()
        finally:
            self._abandon(waiter)

    def give_back(self, reservation: Reservation) -> None:
        """Returns a reservation that was not spent and will not be."""
        self._returns.append(reservation)
        self._changed.fire()

    def _abandon(self, waiter: _Waiter) -> None:
        """Forgets a waiter; quota that was granted to it meanwhile is returned."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if not waiter.answer.done():
            waiter.answer.cancel()

    async def run(self) -> None:
        """Sends what waits until it is cancelled; one message is under way at a time."""
        while True:
            if not self._waiting:
                await self._changed.wait(RETURN_DELAY_S if self._returns else IDLE_WAIT_S)
            if self._waiting or self._returns:
                await self._exchange()

    async def _exchange(self) -> None:
        """One message to the account; what it returns is dropped if the outcome is unknown."""
        address = self.holder_address()
        if not address:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        waiters, self._waiting = self._waiting, []
        request = self._request(waiters)
        asked_at = steady()
        try:
            reply = await self.peers.call(address, request, CALL_TIMEOUT_S)
        except ClusterError:
            reply = None
        if isinstance(reply, QuotaReply) and reply.is_holder:
            self._deliver(waiters, reply, asked_at)
            return
        self._waiting = [waiter for waiter in waiters if not waiter.answer.done()] + self._waiting
        await asyncio.sleep(RETRY_INTERVAL_S)

    def _request(self, waiters: list[_Waiter]) -> ReserveQuota:
        """A message for these waiters; only what the newest term granted is worth returning."""
        returns, self._returns = self._returns, []
        term = max((reservation.term for reservation in returns), default=0)
        returned: dict[str, int] = {}
        for reservation in returns:
            if reservation.term == term:
                returned[reservation.tenant] = returned.get(reservation.tenant, 0) + reservation.units
        return ReserveQuota(
            sender=self.node_name,
            needs=tuple(QuotaNeed(waiter.tenant, (waiter.cost,)) for waiter in waiters),
            returns=tuple(QuotaReturn(tenant, units) for tenant, units in returned.items()),
            returned_term=term,
        )

    def _deliver(self, waiters: list[_Waiter], reply: QuotaReply, asked_at: float) -> None:
        """Answers the waiters; those that have left meanwhile return what they got."""
        for waiter, grant in zip(waiters, reply.grants, strict=False):
            if all(grant.granted):
                reservation = Reservation(waiter.tenant, waiter.cost, reply.term, grant_valid_until(asked_at))
                if waiter.answer.done():
                    self.give_back(reservation)
                else:
                    waiter.answer.set_result(reservation)
            else:
                self._refuse(waiter, max(MIN_RETRY_AFTER_S, grant.retry_after_ms / 1000))

    def _refuse(self, waiter: _Waiter, retry_after_s: float) -> None:
        now = steady()
        if self._exhausted.find(waiter.tenant, waiter.cost, now) is None:
            event("quota.exhausted", tenant=waiter.tenant, cost=waiter.cost, retry_after_s=retry_after_s)
        self._exhausted.record(waiter.tenant, waiter.cost, retry_after_s, now)
        if not waiter.answer.done():
            waiter.answer.set_result(QuotaExhausted(retry_after_s))
