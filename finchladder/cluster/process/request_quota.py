"""Quota reservation of one request, from its admission to the end of its last attempt."""

from typing import Protocol

from attrs import define

from finchladder.cluster.tenancy.reservations import QuotaRefusal, QuotaUnavailable, Reservation
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.peers import steady


class QuotaSource(Protocol):
    """Source of quota reservations."""

    async def reserve(self, tenant: Tenant, cost: int, deadline: float) -> Reservation | QuotaRefusal:
        """Returns a reservation for one request, or the reason why there is none."""
        ...

    def return_reservation(self, reservation: Reservation) -> None:
        """Returns a reservation that was not spent to the account."""
        ...


class NoAccount:
    """Quota source of a dispatcher without a quota account: it refuses every reservation."""

    async def reserve(self, tenant: Tenant, cost: int, deadline: float) -> Reservation | QuotaRefusal:
        """Refuses the reservation."""
        return QuotaUnavailable()

    def return_reservation(self, reservation: Reservation) -> None:
        """Does nothing, since no reservation was granted."""


@define
class RequestQuota:
    """The quota reservation of one request; a request without a tenant or a limit needs none.

    The reservation is spent before an attempt is sent. If the attempt certainly did not run, the reservation
    is restored for the next attempt.

    Attributes:
        reserve_by: Time until which the request waits for a reservation: later, no worker could respond
            before the client gives up (monotonic seconds).
    """

    source: QuotaSource
    tenant: Tenant | None
    cost: int
    reserve_by: float
    _reservation: Reservation | None = None
    _spent: Reservation | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the request counts against a quota."""
        return self.tenant is not None and self.tenant.is_limited

    def is_reserved(self) -> bool:
        """Returns whether an attempt may be sent now."""
        if not self.is_limited:
            return True
        return self._reservation is not None and self._reservation.is_valid(steady())

    async def reserve(self) -> QuotaRefusal | None:
        """Reserves quota for the next attempt; returns the refusal, if there is one.

        An expired reservation is not returned to the account, so the cost of the request then counts twice.
        """
        if self.tenant is None or self.is_reserved():
            return None
        self._reservation = None
        outcome = await self.source.reserve(self.tenant, self.cost, self.reserve_by)
        if not isinstance(outcome, Reservation):
            return outcome
        self._reservation = outcome
        return None

    def spend(self) -> None:
        """Spends the reservation on an attempt that is sent now."""
        self._spent, self._reservation = self._reservation, None

    def restore(self) -> None:
        """Restores the reservation after an attempt that certainly did not run."""
        self._reservation, self._spent = self._spent, None

    def release(self) -> None:
        """Returns an unspent reservation to the account at the end of the request."""
        if self._reservation is not None:
            self.source.return_reservation(self._reservation)
            self._reservation = None
