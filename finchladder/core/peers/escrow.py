"""Escrow of a rate budget that dispatchers share: rates are lent by lease and never exceed the limit.

Each listed dispatcher owns the rate limit / dispatchers. It never lends UNLENDABLE_FRACTION of its own rate.
While it does not need the rest, it lends that to dispatchers that report excess demand. At any time only one
dispatcher may use a lent rate:

| state of a rate | its owner may use it | the borrower may use it |
| --- | --- | --- |
| not lent | yes; for LEASE_S + margin after a start, only the unlendable fraction | no |
| lent at `t` for a row written at `r` | from t + LEASE_S + margin, own clock | until r + LEASE_S, own clock |
| the grant is lost or arrives too late | likewise | never |
| renewed or increased, at `t2` for `r2` | from t2 + LEASE_S + margin | until r2 + LEASE_S |
| reduced | never: the message might be lost; the lease expires instead | - |
| returned, as of `r` | once the return arrives | no longer, from before the return is sent |
| renewed for a later `r`, meanwhile | as if it had not been returned | the renewal may arrive, and counts |
| the owner has restarted | after LEASE_S + margin; UNLENDABLE_FRACTION at once | until the lease expires |
| the borrower has restarted | from t + LEASE_S + margin | never: `boot` differs |

The total holds for links that are cut, delayed, duplicating or one-way: a grant answers a row that its
borrower wrote before, so `r` (`requested_at`) precedes `t` in true time. The borrower stops LEASE_S after
`r`, and the owner starts LEASE_S + margin after `t`. The margin covers clocks whose rates differ by up to
MAX_CLOCK_DRIFT. No wall clock is read, and clocks of different dispatchers are never compared. The leases
follow Doorman; as with escrowed counters (O'Neil 1986), the dispatchers themselves hold the rates, so each
side of a network partition keeps the rates of its members.

Cost: a rate whose grant arrives too late is unused for LEASE_S + margin. Memory: MAX_GRANTS lent and
MAX_GRANTS borrowed grants, one per borrower and budget. A grant is sent once per row that requests it, and
renewed at most every RENEW_INTERVAL_S.
"""

from collections.abc import Iterable
from typing import NamedTuple

from finchladder.core.peers.messages import Demand, Grant, Return, Row

UNLENDABLE_FRACTION = 0.1  # fraction of the own rate that is never lent
LEASE_S = 8.0
# largest relative difference between two clock rates; quartz crystals differ by 0.0001
MAX_CLOCK_DRIFT = 0.005
MARGIN_S = 2 * MAX_CLOCK_DRIFT * LEASE_S + 0.02
RENEW_INTERVAL_S = 2.0  # shortest time between two renewals of one grant
MIN_GRANT_FRACTION = 0.02  # smallest grant, as a fraction of the own rate: less is not worth a message
# a lender covers this multiple of its equal part of a shortage, as some dispatchers cannot lend
OVERLENDING_FACTOR = 1.5
MAX_GRANTS = 1024
RETURN_THRESHOLD = 0.7  # a dispatcher that needs less than this fraction of its borrowed rate returns grants


class LentGrant(NamedTuple):
    """A grant that this dispatcher has lent."""

    serial: int
    borrower: str
    boot: int
    budget: str
    rate: float
    until: float  # on the owner's clock
    sent_at: float
    requested_at: float  # when the answered row was written, on the borrower's clock


class BorrowedGrant(NamedTuple):
    """A grant that this dispatcher has borrowed."""

    owner: str
    owner_boot: int
    serial: int
    budget: str
    rate: float
    until: float  # on the borrower's clock
    requested_at: float


class Budget:
    """One dispatcher's share of a budget, and its demand."""

    __slots__ = ("name", "limit", "dispatchers", "demand")

    def __init__(self, name: str, limit: float, dispatchers: int) -> None:
        """`limit`: total rate per second. `dispatchers`: number that have a share, this one included."""
        self.name, self.limit, self.dispatchers = name, limit, max(1, dispatchers)
        self.demand = 0.0  # requests per second of this dispatcher, granted or not

    @property
    def own_rate_per_s(self) -> float:
        return self.limit / self.dispatchers


class Escrow:
    """Budgets and grants of one dispatcher. The usable rates of all dispatchers never exceed the limit."""

    def __init__(self, name: str, boot: int, now: float) -> None:
        self.name, self.boot = name, boot
        self.full_rate_at = now + LEASE_S + MARGIN_S  # leases from before a restart have expired by then
        self.budgets: dict[str, Budget] = {}
        self.lent_grants: dict[int, LentGrant] = {}
        # key: owner, boot of the owner, serial
        self.borrowed_grants: dict[tuple[str, int, int], BorrowedGrant] = {}
        # returned grants, which are not accepted again, with the time at which the record is removed
        self.returned_until: dict[tuple[str, int, int], float] = {}
        self.serial = 0

    # --- usable rates

    def lent_rate(self, name: str) -> float:
        return sum(g.rate for g in self.lent_grants.values() if g.budget == name)

    def borrowed_rate(self, now: float, name: str) -> float:
        return sum(t.rate for t in self.borrowed_grants.values() if t.budget == name and now < t.until)

    def usable_rate(self, now: float, name: str) -> float:
        """Returns the rate per second that this dispatcher may use of the budget now."""
        b = self.budgets[name]
        own_rate = b.own_rate_per_s if now >= self.full_rate_at else UNLENDABLE_FRACTION * b.own_rate_per_s
        return max(0.0, own_rate - self.lent_rate(name)) + self.borrowed_rate(now, name)

    def rate_valid_until(self, now: float, name: str) -> float:
        """Returns the time at which the next borrowed lease of the budget expires; inf: none is borrowed."""
        expiries = (t.until for t in self.borrowed_grants.values() if t.budget == name and now < t.until)
        return min(expiries, default=float("inf"))

    def excess_demand(self, now: float, name: str) -> float:
        """Returns the demand per second beyond the own rate, including demand that borrowed rates cover."""
        b = self.budgets[name]
        own_rate = b.own_rate_per_s if now >= self.full_rate_at else UNLENDABLE_FRACTION * b.own_rate_per_s
        return max(0.0, b.demand - max(0.0, own_rate - self.lent_rate(name)))

    # --- lending

    def lend(self, now: float, rows: Iterable[Row]) -> list[tuple[str, Grant]]:
        """Lends unused rates in proportion to the excess demands. `rows`: recent rows of the peers."""
        self._remove_expired(now)
        requests_by_budget: dict[str, list[tuple[Row, Demand]]] = {}
        for row in rows:
            for demand in row.demands:
                if demand.rate > 0 and demand.budget in self.budgets:
                    requests_by_budget.setdefault(demand.budget, []).append((row, demand))
        grants: list[tuple[str, Grant]] = []
        for name, requests in requests_by_budget.items():
            grants += self._lend_budget(now, self.budgets[name], requests)
        return grants

    def _lend_budget(
        self, now: float, b: Budget, requests: list[tuple[Row, Demand]]
    ) -> list[tuple[str, Grant]]:
        lent = self.lent_rate(b.name)
        spare = min((1 - UNLENDABLE_FRACTION) * b.own_rate_per_s, b.own_rate_per_s - b.demand) - lent
        # lent rate that this dispatcher needs itself again: grants of this total are not renewed
        overlent = max(0.0, -spare)
        if now < self.full_rate_at:
            spare = 0.0
        missing = {row.owner: max(0.0, demand.rate - demand.borrowed) for row, demand in requests}
        total_missing = sum(missing.values())
        lenders = max(1, b.dispatchers - len(requests))
        granted = {(g.borrower, g.boot): g for g in self.lent_grants.values() if g.budget == b.name}
        grants: list[tuple[str, Grant]] = []
        for row, _ in requests:
            g = granted.get((row.owner, row.boot))
            if g is not None and row.requested_at <= g.requested_at:  # the grant already answers this row
                continue
            extra_rate = 0.0
            if spare > MIN_GRANT_FRACTION * b.own_rate_per_s and total_missing > 0:
                shortage = missing[row.owner]
                # other owners lend as well; a borrower that received too little requests again
                extra_rate = min(spare * shortage / total_missing, OVERLENDING_FACTOR * shortage / lenders)
            if extra_rate < MIN_GRANT_FRACTION * b.own_rate_per_s:
                extra_rate = 0.0
            if g is None:
                if not extra_rate or len(self.lent_grants) >= MAX_GRANTS:
                    continue
                self.serial += 1
                serial, rate = self.serial, extra_rate
            else:
                if overlent > 0:
                    overlent -= g.rate
                    continue
                if not extra_rate and now < g.sent_at + RENEW_INTERVAL_S:
                    continue
                serial, rate = g.serial, g.rate + extra_rate
            lent_until = now + LEASE_S + MARGIN_S
            self.lent_grants[serial] = LentGrant(
                serial, row.owner, row.boot, b.name, rate, lent_until, now, row.requested_at
            )
            grants.append((row.owner, Grant(serial, b.name, rate, row.requested_at, row.boot)))
        return grants

    # --- borrowing

    def accept_grant(self, now: float, owner: str, owner_boot: int, g: Grant) -> bool:
        """Stores a received grant. Returns False if it is for another incarnation, expired or superseded."""
        key = owner, owner_boot, g.serial
        if g.boot != self.boot or g.budget not in self.budgets or key in self.returned_until:
            return False
        until = g.requested_at + LEASE_S
        if until <= now or g.requested_at > now:  # `requested_at` is this dispatcher's own time
            return False
        previous = self.borrowed_grants.get(key)
        if previous is None and len(self.borrowed_grants) >= MAX_GRANTS:
            return False
        if previous is not None and previous.until >= until:
            return False
        self.borrowed_grants[key] = BorrowedGrant(
            owner, owner_boot, g.serial, g.budget, g.rate, until, g.requested_at
        )
        return True

    def return_unneeded(self, now: float) -> list[tuple[str, Return]]:
        """Stops using borrowed rates that are hardly needed; returns the messages to send, by owner."""
        returns: list[tuple[str, Return]] = []
        for name in self.budgets:
            borrowed = self.borrowed_rate(now, name)
            missing = self.excess_demand(now, name)
            if not borrowed or missing >= RETURN_THRESHOLD * borrowed:
                continue
            for key, t in [
                (k, t) for k, t in self.borrowed_grants.items() if t.budget == name and now < t.until
            ]:
                if borrowed - t.rate < missing:
                    continue
                borrowed -= t.rate
                del self.borrowed_grants[key]
                if len(self.returned_until) < 4 * MAX_GRANTS:
                    # the owner rejects this return if it has since renewed the grant for a later row
                    self.returned_until[key] = t.until
                    returns.append((t.owner, Return(t.serial, t.owner_boot, t.requested_at)))
        return returns

    def accept_return(self, borrower_boot: int, r: Return) -> bool:
        """Applies a borrower's return of a grant, and returns whether it was valid.

        A grant that was renewed after the returned one stays lent: the renewal may still reach the borrower,
        which would then use it.
        """
        g = self.lent_grants.get(r.serial)
        if r.boot != self.boot or g is None or g.boot != borrower_boot or g.requested_at > r.requested_at:
            return False
        del self.lent_grants[r.serial]
        return True

    def _remove_expired(self, now: float) -> None:
        self.lent_grants = {n: g for n, g in self.lent_grants.items() if now < g.until}
        self.borrowed_grants = {k: t for k, t in self.borrowed_grants.items() if now < t.until}
        self.returned_until = {k: until for k, until in self.returned_until.items() if now < until}
