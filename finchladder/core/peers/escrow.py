"""A budget that all dispatchers share: rights to so much a second, lent for a while, never more than all.

Each listed dispatcher owns limit / listed. A part of that, KEPT, it never lends; the rest it lends to those
that tell they want more, while it does not need it. A right is used by one of them at any moment:

| right of one | its owner may use it | the borrower may use it |
| --- | --- | --- |
| not lent | yes; after a start, for LEASE_S + margin, only what is never lent | no |
| lent at `t` for a row of `asked` | from t + LEASE_S + margin, own clock | until asked + LEASE_S, own clock |
| the grant is lost, or comes too late | likewise | never |
| renewed or larger, at `t2` for `asked2` | from t2 + LEASE_S + margin | until asked2 + LEASE_S |
| made smaller | never: it might not be heard; it runs out | - |
| given back, as of `asked` | from when that comes | from before it is said never again |
| renewed for a later `asked`, meanwhile | as if it was not given back | it may come, and count |
| the owner has died, and is back | after LEASE_S + margin; what it never lends at once | to its end |
| the borrower has died | from t + LEASE_S + margin | never: `boot` is another's |

Why the sum holds however links are cut, late, doubled or one-way: a grant answers a row that its borrower
wrote before, so `asked` was before `t` in true time, and the borrower's time is over LEASE_S after `asked`;
the owner's begins LEASE_S + margin after `t`. The margin is for clocks whose seconds differ by up to DRIFT.
No wall clock is read, and none is compared with another's. As in Doorman, leases; as with escrowed counters
(O'Neil 1986), the rights are in the dispatchers themselves, so each part of a split has its members' rights.

What it costs: a right that comes too late is used by nobody for LEASE_S + margin. Memory: MOST_GRANTS given
and MOST_GRANTS taken, one for each borrower and budget; one is told once for each row that asks, and
renewed not more often than each RENEW_S.
"""

from collections.abc import Iterable
from typing import NamedTuple

from finchladder.core.peers.messages import Demand, Grant, Return, Row

UNLENDABLE_SHARE = 0.1  # of one's own, never lent
LEASE_S = 8.0
MAX_CLOCK_DRIFT = 0.005  # that two clocks' seconds differ at the most; a crystal's differ by 0.0001
MARGIN_S = 2 * MAX_CLOCK_DRIFT * LEASE_S + 0.02
RENEW_INTERVAL_S = 2.0  # between grants of one right to one borrower
MIN_GRANT_SHARE = 0.02  # of one's own share: less is not worth a grant
OVERLENDING_FACTOR = 1.5  # times one's part of what another lacks: not all of the others have some to spare
MAX_GRANTS = 1024
RETURN_THRESHOLD = 0.7  # of what is borrowed: who needs less of it returns some


class LentGrant(NamedTuple):
    serial: int
    borrower: str
    boot: int
    budget: str
    rate: float
    until: float  # by the owner's clock
    sent_at: float
    requested_at: float  # of the row that it answers, by the borrower's clock


class BorrowedGrant(NamedTuple):
    owner: str
    owner_boot: int
    serial: int
    budget: str
    rate: float
    until: float  # by the borrower's clock
    requested_at: float


class Budget:
    """Of one dispatcher: what it owns, and what it would use."""

    __slots__ = ("name", "limit", "dispatchers", "demand")

    def __init__(self, name: str, limit: float, dispatchers: int) -> None:
        """`limit`: a second, of all. `listed`: dispatchers that have a share, oneself included."""
        self.name, self.limit, self.dispatchers = name, limit, max(1, dispatchers)
        self.demand = 0.0  # a second: what it would use if it could

    @property
    def own_share(self) -> float:
        return self.limit / self.dispatchers


class Escrow:
    """All budgets of one dispatcher. Rights add up to the limit over all, at any moment."""

    def __init__(self, name: str, boot: int, now: float) -> None:
        self.name, self.boot = name, boot
        self.full_share_at = now + LEASE_S + MARGIN_S  # what a former life has lent is over by then
        self.budgets: dict[str, Budget] = {}
        self.lent_grants: dict[int, LentGrant] = {}
        self.borrowed_grants: dict[tuple[str, int, int], BorrowedGrant] = {}  # by owner, its boot, its serial
        self.returned_until: dict[
            tuple[str, int, int], float
        ] = {}  # never again, and until when that is remembered
        self.serial = 0

    # --- what may be used

    def lent_rate(self, name: str) -> float:
        return sum(g.rate for g in self.lent_grants.values() if g.budget == name)

    def borrowed_rate(self, now: float, name: str) -> float:
        return sum(t.rate for t in self.borrowed_grants.values() if t.budget == name and now < t.until)

    def usable_rate(self, now: float, name: str) -> float:
        """What this dispatcher may use of the budget now, a second."""
        b = self.budgets[name]
        own = b.own_share if now >= self.full_share_at else UNLENDABLE_SHARE * b.own_share
        return max(0.0, own - self.lent_rate(name)) + self.borrowed_rate(now, name)

    def rate_valid_until(self, now: float, name: str) -> float:
        """When the right becomes smaller by itself at the soonest; inf: it does not."""
        ends = (t.until for t in self.borrowed_grants.values() if t.budget == name and now < t.until)
        return min(ends, default=float("inf"))

    def excess_demand(self, now: float, name: str) -> float:
        """What it would use beyond its own, a second. What it borrows counts as wanted, or it would end."""
        b = self.budgets[name]
        own = b.own_share if now >= self.full_share_at else UNLENDABLE_SHARE * b.own_share
        return max(0.0, b.demand - max(0.0, own - self.lent_rate(name)))

    # --- giving

    def lend(self, now: float, rows: Iterable[Row]) -> list[tuple[str, Grant]]:
        """To those that want, in proportion, what is not needed here. `rows`: of others, fresh ones."""
        self._remove_expired(now)
        asking: dict[str, list[tuple[Row, Demand]]] = {}
        for row in rows:
            for want in row.demands:
                if want.rate > 0 and want.budget in self.budgets:
                    asking.setdefault(want.budget, []).append((row, want))
        told: list[tuple[str, Grant]] = []
        for name, askers in asking.items():
            told += self._lend_budget(now, self.budgets[name], askers)
        return told

    def _lend_budget(
        self, now: float, b: Budget, askers: list[tuple[Row, Demand]]
    ) -> list[tuple[str, Grant]]:
        lent = self.lent_rate(b.name)
        spare = min((1 - UNLENDABLE_SHARE) * b.own_share, b.own_share - b.demand) - lent
        over = max(0.0, -spare)  # is needed here again: so much is let run out
        if now < self.full_share_at:
            spare = 0.0
        missing = {row.owner: max(0.0, want.rate - want.borrowed) for row, want in askers}
        all_missing = sum(missing.values())
        givers = max(1, b.dispatchers - len(askers))
        held = {(g.borrower, g.boot): g for g in self.lent_grants.values() if g.budget == b.name}
        told: list[tuple[str, Grant]] = []
        for row, _ in askers:
            g = held.get((row.owner, row.boot))
            if g is not None and row.requested_at <= g.requested_at:  # what it said has been answered
                continue
            more = 0.0
            if spare > MIN_GRANT_SHARE * b.own_share and all_missing > 0:
                lack = missing[row.owner]
                # others give as well; who finds that too little has come says so, and gets more
                more = min(spare * lack / all_missing, OVERLENDING_FACTOR * lack / givers)
            if more < MIN_GRANT_SHARE * b.own_share:
                more = 0.0
            if g is None:
                if not more or len(self.lent_grants) >= MAX_GRANTS:
                    continue
                self.serial += 1
                serial, rate = self.serial, more
            else:
                if over > 0:
                    over -= g.rate
                    continue
                if not more and now < g.sent_at + RENEW_INTERVAL_S:
                    continue
                serial, rate = g.serial, g.rate + more
            lent_until = now + LEASE_S + MARGIN_S
            self.lent_grants[serial] = LentGrant(
                serial, row.owner, row.boot, b.name, rate, lent_until, now, row.requested_at
            )
            told.append((row.owner, Grant(serial, b.name, rate, row.requested_at, row.boot)))
        return told

    # --- taking

    def accept_grant(self, now: float, owner: str, owner_boot: int, g: Grant) -> bool:
        """A grant that came. False: it is none of this life's, over, or of no use."""
        key = owner, owner_boot, g.serial
        if g.boot != self.boot or g.budget not in self.budgets or key in self.returned_until:
            return False
        until = g.requested_at + LEASE_S
        if (
            until <= now or g.requested_at > now
        ):  # `asked` is this process's own reading: the future was never said
            return False
        before = self.borrowed_grants.get(key)
        if before is None and len(self.borrowed_grants) >= MAX_GRANTS:
            return False
        if before is not None and before.until >= until:
            return False
        self.borrowed_grants[key] = BorrowedGrant(
            owner, owner_boot, g.serial, g.budget, g.rate, until, g.requested_at
        )
        return True

    def return_unneeded(self, now: float) -> list[tuple[str, Return]]:
        """What is borrowed and hardly needed any more: used no more from here on, and said to its owner."""
        told: list[tuple[str, Return]] = []
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
                    # where its owner heeds it, no grant of that serial was asked for later than this one
                    self.returned_until[key] = t.until
                    told.append((t.owner, Return(t.serial, t.owner_boot, t.requested_at)))
        return told

    def accept_return(self, boot_of_teller: int, r: Return) -> bool:
        """A borrower says that it is done with a grant. It is to be this one's, and to have come to the last:
        one that was renewed since may still come there, and count for all that the borrower knows by then.
        """
        g = self.lent_grants.get(r.serial)
        if r.boot != self.boot or g is None or g.boot != boot_of_teller or g.requested_at > r.requested_at:
            return False
        del self.lent_grants[r.serial]
        return True

    def _remove_expired(self, now: float) -> None:
        self.lent_grants = {n: g for n, g in self.lent_grants.items() if now < g.until}
        self.borrowed_grants = {k: t for k, t in self.borrowed_grants.items() if now < t.until}
        self.returned_until = {k: until for k, until in self.returned_until.items() if now < until}
