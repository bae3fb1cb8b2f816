"""Quota of one request, from its admission to the end of its last attempt."""

from typing import Protocol

from attrs import define

from finchladder.cluster.tenancy.reservations import QuotaRefusal, QuotaUnavailable, Reservation
from finchladder.cluster.tenancy.tenants import Tenant
from finchladder.cluster.transport.peers import steady


class QuotaSource(Protocol):
    """Grants quota."""

    async def reserve(self, tenant: Tenant, cost: int, give_up_at: float) -> Reservation | QuotaRefusal:
        """A reservation for one request, or why there is none."""
        ...

    def give_back(self, reservation: Reservation) -> None:
        """Returns a reservation that was not spent."""
        ...


class NoAccount:
    """Source of a dispatcher that has no account to ask: nothing is granted."""

    async def reserve(self, tenant: Tenant, cost: int, give_up_at: float) -> Reservation | QuotaRefusal:
        """No reservation."""
        return QuotaUnavailable()

    def give_back(self, reservation: Reservation) -> None:
        """There is none to return."""


@define
class RequestQuota:
    """The reservation of one request. Without a tenant, or without a limit, nothing is reserved.

    An attempt spends the reservation before it is sent. An attempt that certainly did not run gives it back
    to the request, for the next attempt.
    """

    source: QuotaSource
    tenant: Tenant | None
    cost: int
    max_wait_s: float
    _reservation: Reservation | None = None
    _spent: Reservation | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the request counts against a quota."""
        return self.tenant is not None and self.tenant.is_limited

    def is_reserved(self) -> bool:
        """Whether an attempt may be sent at this moment."""
        if not self.is_limited:
            return True
        return self._reservation is not None and self._reservation.is_valid(steady())

    async def reserve(self) -> QuotaRefusal | None:
        """Reserves quota for the next attempt; one that has lapsed is lost, and its cost counts twice."""
        if self.tenant is None or self.is_reserved():
            return None
        self._reservation = None
        outcome = await self.source.reserve(self.tenant, self.cost, steady() + self.max_wait_s)
        if not isinstance(outcome, Reservation):
            return outcome
        self._reservation = outcome
        return None

    def spend(self) -> None:
        """Spends the reservation for an attempt that is sent now."""
        self._spent, self._reservation = self._reservation, None

    def restore(self) -> None:
        """Takes the reservation back from an attempt that certainly did not run."""
        self._reservation, self._spent = self._spent, None

    def release(self) -> None:
        """Returns what was not spent; the request is over."""
        if self._reservation is not None:
            self.source.give_back(self._reservation)
            self._reservation = None
