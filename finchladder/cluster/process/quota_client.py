"""A dispatcher's client of the quota account: requests grants and returns those that are not used."""

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
RETRY_INTERVAL_S = 0.05  # time between a failed call and the next one
RETURN_DELAY_S = 0.1  # unused grants are returned with the next request, at the latest after this time
MAX_IDLE_INTERVAL_S = 60.0
MIN_RETRY_AFTER_S = 0.25  # earlier retries would compete with other requests for the refilled quota
UNANSWERED_POLL_INTERVAL_S = 0.25  # polling interval while the account does not reply and no request waits
UNREACHABLE_AFTER_S = 1.5  # time of failed calls; longer than an election of a holder takes
MAX_COST = 10**9  # larger costs are rejected here, since integers in messages have only 64 bits
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
    _unanswered_since: float | None = None  # start of the first failed call since the last reply

    async def reserve(self, tenant: Tenant, cost: int, deadline: float) -> Reservation | QuotaRefusal:
        """Reserves the cost of one request at the account.

        While the account is unreachable, requests are refused without waiting.

        Args:
            tenant: Tenant of the request; it must have a limit.
            cost: Cost in units of the tenant's quota.
            deadline: Latest time to wait for the reply of the account (monotonic seconds).
        """
        if cost > MAX_COST:
            return QuotaExhausted(RETRY_AFTER_TOO_LARGE_S)
        if self.is_unreachable():
            return QuotaUnavailable()
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
        """Queues a reservation that will not be spent to be returned to the account."""
        self._returns.append(reservation)
        self._changed.fire()

    def is_unreachable(self) -> bool:
        """Returns whether all calls to the account have failed for longer than UNREACHABLE_AFTER_S."""
        return self._unanswered_since is not None and steady() - self._unanswered_since > UNREACHABLE_AFTER_S

    def _abandon(self, waiter: _Waiter) -> None:
        """Removes a waiter whose request no longer waits, and returns quota that was already granted."""
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
        """Exchanges one message with the account.

        If there is no reply, the demands are sent again, but not the returned grants, since the account may
        have received them.
        """
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
        if self.is_unreachable():
            self._refuse_waiting()
        await asyncio.sleep(RETRY_INTERVAL_S)

    def _refuse_waiting(self) -> None:
        """Refuses all waiting requests, as no reply is expected any more while their clients wait."""
        waiters, self._waiting = self._waiting, []
        for waiter in waiters:
            if not waiter.outcome_future.done():
                waiter.outcome_future.set_result(QuotaUnavailable())

    async def _call_holder(self, request: ReserveQuota) -> QuotaReply | None:
        """Returns the reply of the account's holder; None if it is unknown or does not reply in time."""
        address = self.holder_address()
        if not address:
            return None
        try:
            reply = await self.peers.call(address, request, CALL_TIMEOUT_S)
        except ClusterError:
            return None
        return reply if isinstance(reply, QuotaReply) and reply.is_holder else None

    def _reserve_message(self, waiters: list[_Waiter]) -> ReserveQuota:
        """Returns a message with the demands of these waiters and the unused grants.

        An expired grant is not returned: its units could be granted again within a window of the quota rule
        that does not contain the first grant. Grants of older terms are not returned, because the account
        ignores units of another term.
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
        """Passes the grants to the waiters; grants for requests that no longer wait are returned."""
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
