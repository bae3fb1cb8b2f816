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
from finchladder.cluster.types.messages import QuotaDemand, QuotaGrant, QuotaReply, QuotaReturn, ReserveQuota

CALL_TIMEOUT_S = 0.3
RETRY_INTERVAL_S = 0.05  # while no account answers
RETURN_DELAY_S = 0.1  # returns wait so long for a message that goes anyway
IDLE_WAIT_S = 60.0
MIN_RETRY_AFTER_S = 0.25  # others of the tenant wait for what is refilled, too
PROBE_INTERVAL_S = 0.25  # while the account does not answer and nothing waits
UNREACHABLE_AFTER_S = 1.5  # longer than it takes to follow a lost holder
MAX_COST = 10**9  # larger ones are refused here; a message holds integers of 64 bits
RETRY_AFTER_TOO_LARGE_S = 10.0


@define(eq=False)
class _Waiter:
    """A request that waits for an answer of the account."""

    tenant: str
    cost: int
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
    _failing_since: float | None = None  # when the first of the calls was made that all failed until now

    async def reserve(self, tenant: Tenant, cost: int, give_up_at: float) -> Reservation | QuotaRefusal:
        """Asks the account for the cost of one request.

        Args:
            tenant: Its tenant, which has a limit.
            cost: Units of the tenant's quota.
            give_up_at: Until when the account may answer (monotonic seconds).
        """
        if cost > MAX_COST:
            return QuotaExhausted(RETRY_AFTER_TOO_LARGE_S)
        exhausted = self._exhausted.find(tenant.name, steady())
        if exhausted is not None:
            return exhausted
        answer: asyncio.Future[Reservation | QuotaRefusal] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(tenant.name, cost, answer)
        self._waiting.append(waiter)
        self._changed.fire()
        is_answered = False
        try:
            async with asyncio.timeout(max(0.0, give_up_at - steady())):
                outcome = await answer
            is_answered = True
        except TimeoutError:
            return QuotaUnavailable()
        finally:
            if not is_answered:
                self._abandon(waiter)
        return outcome

    def give_back(self, reservation: Reservation) -> None:
        """Returns a reservation that was not spent and will not be."""
        self._returns.append(reservation)
        self._changed.fire()

    def is_unreachable(self) -> bool:
        """Whether the account has not answered for a while, although it was asked."""
        return self._failing_since is not None and steady() - self._failing_since > UNREACHABLE_AFTER_S

    def _abandon(self, waiter: _Waiter) -> None:
        """Forgets a waiter; quota that was granted to it meanwhile is returned."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if not waiter.answer.done():
            waiter.answer.cancel()
            return
        outcome = None if waiter.answer.cancelled() else waiter.answer.result()
        if isinstance(outcome, Reservation):
            self.give_back(outcome)

    async def run(self) -> None:
        """Sends what waits until it is cancelled; one message is under way at a time.

        While the account does not answer it is asked without a need, too: a dispatcher that is not ready for
        that reason gets no requests.
        """
        while True:
            if not self._waiting:
                await self._changed.wait(self._idle_wait_s())
            if self._waiting or self._returns or self._failing_since is not None:
                await self._exchange()

    def _idle_wait_s(self) -> float:
        if self._failing_since is not None:
            return PROBE_INTERVAL_S
        return RETURN_DELAY_S if self._returns else IDLE_WAIT_S

    async def _exchange(self) -> None:
        """One message to the account; what it returns is dropped if the outcome is unknown."""
        waiters, self._waiting = self._waiting, []
        request = self._request(waiters)
        asked_at = steady()
        reply = await self._ask(request)
        if reply is not None:
            self._failing_since = None
            self._deliver(waiters, reply, asked_at)
            return
        if self._failing_since is None:
            self._failing_since = asked_at
        self._waiting = [waiter for waiter in waiters if not waiter.answer.done()] + self._waiting
        await asyncio.sleep(RETRY_INTERVAL_S)

    async def _ask(self, request: ReserveQuota) -> QuotaReply | None:
        """The holder's reply; None if there is no holder, or none that answers in time."""
        address = self.holder_address()
        if not address:
            return None
        try:
            reply = await self.peers.call(address, request, CALL_TIMEOUT_S)
        except ClusterError:
            return None
        return reply if isinstance(reply, QuotaReply) and reply.is_holder else None

    def _request(self, waiters: list[_Waiter]) -> ReserveQuota:
        """A message for these waiters, with what may be returned.

        A grant that has lapsed stays spent: given back, it could be granted again in a window that the first
        grant lies outside of. Only what the newest term granted is worth returning.
        """
        now = steady()
        returns = [reservation for reservation in self._returns if reservation.is_valid(now)]
        self._returns = []
        term = max((reservation.term for reservation in returns), default=0)
        returned: dict[str, int] = {}
        for reservation in returns:
            if reservation.term == term:
                returned[reservation.tenant] = returned.get(reservation.tenant, 0) + reservation.units
        return ReserveQuota(
            sender=self.node_name,
            demands=tuple(QuotaDemand(waiter.tenant, (waiter.cost,)) for waiter in waiters),
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
                self._refuse(waiter, grant)

    def _refuse(self, waiter: _Waiter, grant: QuotaGrant) -> None:
        now = steady()
        retry_after_s = max(MIN_RETRY_AFTER_S, grant.retry_after_ms / 1000)
        if self._exhausted.find(waiter.tenant, now) is None:
            event("quota.exhausted", tenant=waiter.tenant, cost=waiter.cost, retry_after_s=retry_after_s)
        if grant.is_exhausted:
            self._exhausted.record(waiter.tenant, retry_after_s, now)
        if not waiter.answer.done():
            waiter.answer.set_result(QuotaExhausted(retry_after_s))
