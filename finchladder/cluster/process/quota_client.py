"""A dispatcher's client of the quota account: requests grants, one message at a time; returns unused ones."""

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
RETRY_INTERVAL_S = 0.05  # interval between attempts while the account does not reply
RETURN_DELAY_S = 0.1  # returned grants wait this long for a message that is sent anyway
MAX_IDLE_INTERVAL_S = 60.0
MIN_RETRY_AFTER_S = 0.25  # other requests of the tenant wait for the refilled quota, too
UNANSWERED_POLL_INTERVAL_S = 0.25  # polling interval while the account does not reply and no request waits
UNREACHABLE_AFTER_S = 1.5  # longer than the election of a new holder takes
MAX_COST = 10**9  # larger costs are refused here, since a message holds 64-bit integers
RETRY_AFTER_TOO_LARGE_S = 10.0


@define(eq=False)
class _Waiter:
    """A request that waits for a reply of the account."""

    tenant: str
    cost: int
    outcome_future: "asyncio.Future[Reservation | QuotaRefusal]"


@define
class QuotaClient:
    """Reserves quota for the requests of one dispatcher.

    Attributes:
        node_name: Name of this dispatcher.
        peers: Sends requests to other processes.
        holder_address: Returns the peer address of the account's holder; empty while it is unknown.
    """

    node_name: str
    peers: Peers
    holder_address: Callable[[], str]
    _waiting: list[_Waiter] = field(factory=list)
    _returns: list[Reservation] = field(factory=list)
    _exhausted: ExhaustedTenants = field(factory=ExhaustedTenants)
    _changed: Signal = field(factory=Signal)
    _unanswered_since: float | None = None  # start of the first of the consecutive failed calls

    async def reserve(self, tenant: Tenant, cost: int, deadline: float) -> Reservation | QuotaRefusal:
        """Reserves the cost of one request at the account.

        Args:
            tenant: Tenant of the request, which has a limit.
            cost: Cost in units of the tenant's quota.
            deadline: Deadline for the reply of the account (monotonic seconds).
        """
        if cost > MAX_COST:
            return QuotaExhausted(RETRY_AFTER_TOO_LARGE_S)
        exhausted = self._exhausted.find(tenant.name, steady())
        if exhausted is not None:
            return exhausted
        outcome_future: asyncio.Future[Reservation | QuotaRefusal] = (
            asyncio.get_running_loop().create_future()
        )
        waiter = _Waiter(tenant.name, cost, outcome_future)
        self._waiting.append(waiter)
        self._changed.fire()
        is_resolved = False
        try:
            async with asyncio.timeout(max(0.0, deadline - steady())):
                outcome = await outcome_future
            is_resolved = True
        except TimeoutError:
            return QuotaUnavailable()
        finally:
            if not is_resolved:
                self._abandon(waiter)
        return outcome

    def return_reservation(self, reservation: Reservation) -> None:
        """Queues the return of a reservation that was not spent and will not be spent."""
        self._returns.append(reservation)
        self._changed.fire()

    def is_unreachable(self) -> bool:
        """Returns whether the account has not replied for a while although requests were sent."""
        return self._unanswered_since is not None and steady() - self._unanswered_since > UNREACHABLE_AFTER_S

    def _abandon(self, waiter: _Waiter) -> None:
        """Removes a waiter; quota that was granted to it meanwhile is returned."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if not waiter.outcome_future.done():
            waiter.outcome_future.cancel()
            return
        outcome = None if waiter.outcome_future.cancelled() else waiter.outcome_future.result()
        if isinstance(outcome, Reservation):
            self.return_reservation(outcome)

    async def run(self) -> None:
        """Sends waiting requests until it is cancelled; one message is in flight at a time.

        While the account does not reply, messages are sent even if no request waits: a dispatcher that is
        unready for that reason gets no requests.
        """
        while True:
            if not self._waiting:
                await self._changed.wait(self._idle_interval_s())
            if self._waiting or self._returns or self._unanswered_since is not None:
                await self._exchange()

    def _idle_interval_s(self) -> float:
        if self._unanswered_since is not None:
            return UNANSWERED_POLL_INTERVAL_S
        return RETURN_DELAY_S if self._returns else MAX_IDLE_INTERVAL_S

    async def _exchange(self) -> None:
        """Exchanges one message with the account; the returns in it are dropped if the outcome is unknown."""
        waiters, self._waiting = self._waiting, []
        request = self._reserve_message(waiters)
        requested_at = steady()
        reply = await self._call_holder(request)
        if reply is not None:
            self._unanswered_since = None
            self._deliver(waiters, reply, requested_at)
            return
        if self._unanswered_since is None:
            self._unanswered_since = requested_at
        self._waiting = [waiter for waiter in waiters if not waiter.outcome_future.done()] + self._waiting
        await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call_holder(self, request: ReserveQuota) -> QuotaReply | None:
        """Returns the holder's reply; None if there is no holder or it does not reply in time."""
        address = self.holder_address()
        if not address:
            return None
        try:
            reply = await self.peers.call(address, request, CALL_TIMEOUT_S)
        except ClusterError:
            return None
        return reply if isinstance(reply, QuotaReply) and reply.is_holder else None

    def _reserve_message(self, waiters: list[_Waiter]) -> ReserveQuota:
        """Returns a message for these waiters, with the grants that may be returned.

        A lapsed grant stays spent: if it were returned, it could be granted again in a window that does not
        contain the first grant. Only grants of the newest term are worth returning.
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

    def _deliver(self, waiters: list[_Waiter], reply: QuotaReply, requested_at: float) -> None:
        """Resolves the waiters; grants to waiters that have left meanwhile are returned."""
        for waiter, grant in zip(waiters, reply.grants, strict=False):
            if all(grant.granted):
                reservation = Reservation(
                    waiter.tenant, waiter.cost, reply.term, grant_valid_until(requested_at)
                )
                if waiter.outcome_future.done():
                    self.return_reservation(reservation)
                else:
                    waiter.outcome_future.set_result(reservation)
            else:
                self._reject(waiter, grant)

    def _reject(self, waiter: _Waiter, grant: QuotaGrant) -> None:
        now = steady()
        retry_after_s = max(MIN_RETRY_AFTER_S, grant.retry_after_ms / 1000)
        if self._exhausted.find(waiter.tenant, now) is None:
            event("quota.exhausted", tenant=waiter.tenant, cost=waiter.cost, retry_after_s=retry_after_s)
        if grant.is_exhausted:
            self._exhausted.record(waiter.tenant, retry_after_s, now)
        if not waiter.outcome_future.done():
            waiter.outcome_future.set_result(QuotaExhausted(retry_after_s))
