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

from finchladder.core.peers.messages import Grant, Return, Row, Want

KEPT = 0.1  # of one's own, never lent
LEASE_S = 8.0
DRIFT = 0.005  # that two clocks' seconds differ at the most; a crystal's differ by 0.0001
MARGIN_S = 2 * DRIFT * LEASE_S + 0.02
RENEW_S = 2.0  # between grants of one right to one borrower
LEAST = 0.02  # of one's own share: less is not worth a grant
EAGER = 1.5  # times one's part of what another lacks: not all of the others have some to spare
MOST_GRANTS = 1024
GIVE_BACK = 0.7  # of what is borrowed: who needs less of it returns some


class Given(NamedTuple):
    serial: int
    to: str
    boot: int
    budget: str
    rate: float
    until: float  # by the owner's clock
    told_at: float
    asked: float  # of the row that it answers, by the borrower's clock


class Taken(NamedTuple):
    owner: str
    owner_boot: int
    serial: int
    budget: str
    rate: float
    until: float  # by the borrower's clock
    asked: float


class Budget:
    """Of one dispatcher: what it owns, and what it would use."""

    __slots__ = ("name", "limit", "listed", "need")

    def __init__(self, name: str, limit: float, listed: int) -> None:
        """`limit`: a second, of all. `listed`: dispatchers that have a share, oneself included."""
        self.name, self.limit, self.listed = name, limit, max(1, listed)
        self.need = 0.0  # a second: what it would use if it could

    @property
    def own(self) -> float:
        return self.limit / self.listed


class Escrow:
    """All budgets of one dispatcher. Rights add up to the limit over all, at any moment."""

    def __init__(self, own: str, boot: int, now: float) -> None:
        self.own, self.boot = own, boot
        self.whole_at = now + LEASE_S + MARGIN_S  # what a former life has lent is over by then
        self.budgets: dict[str, Budget] = {}
        self.given: dict[int, Given] = {}
        self.taken: dict[tuple[str, int, int], Taken] = {}  # by owner, its boot, its serial
        self.returned: dict[
            tuple[str, int, int], float
        ] = {}  # never again, and until when that is remembered
        self.serial = 0

    # --- what may be used

    def lent(self, name: str) -> float:
        return sum(g.rate for g in self.given.values() if g.budget == name)

    def borrowed(self, now: float, name: str) -> float:
        return sum(t.rate for t in self.taken.values() if t.budget == name and now < t.until)

    def right(self, now: float, name: str) -> float:
        """What this dispatcher may use of the budget now, a second."""
        b = self.budgets[name]
        own = b.own if now >= self.whole_at else KEPT * b.own
        return max(0.0, own - self.lent(name)) + self.borrowed(now, name)

    def holds_until(self, now: float, name: str) -> float:
        """When the right becomes smaller by itself at the soonest; inf: it does not."""
        ends = (t.until for t in self.taken.values() if t.budget == name and now < t.until)
        return min(ends, default=float("inf"))

    def wants(self, now: float, name: str) -> float:
        """What it would use beyond its own, a second. What it borrows counts as wanted, or it would end."""
        b = self.budgets[name]
        own = b.own if now >= self.whole_at else KEPT * b.own
        return max(0.0, b.need - max(0.0, own - self.lent(name)))

    # --- giving

    def give(self, now: float, rows: Iterable[Row]) -> list[tuple[str, Grant]]:
        """To those that want, in proportion, what is not needed here. `rows`: of others, fresh ones."""
        self._tidy(now)
        asking: dict[str, list[tuple[Row, Want]]] = {}
        for row in rows:
            for want in row.wants:
                if want.rate > 0 and want.budget in self.budgets:
                    asking.setdefault(want.budget, []).append((row, want))
        told: list[tuple[str, Grant]] = []
        for name, askers in asking.items():
            told += self._give(now, self.budgets[name], askers)
        return told

    def _give(self, now: float, b: Budget, askers: list[tuple[Row, Want]]) -> list[tuple[str, Grant]]:
        lent = self.lent(b.name)
        spare = min((1 - KEPT) * b.own, b.own - b.need) - lent
        over = max(0.0, -spare)  # is needed here again: so much is let run out
        if now < self.whole_at:
            spare = 0.0
        missing = {row.owner: max(0.0, want.rate - want.have) for row, want in askers}
        all_missing = sum(missing.values())
        givers = max(1, b.listed - len(askers))
        held = {(g.to, g.boot): g for g in self.given.values() if g.budget == b.name}
        told: list[tuple[str, Grant]] = []
        for row, _ in askers:
            g = held.get((row.owner, row.boot))
            if g is not None and row.asked <= g.asked:  # what it said has been answered
                continue
            more = 0.0
            if spare > LEAST * b.own and all_missing > 0:
                lack = missing[row.owner]
                # others give as well; who finds that too little has come says so, and gets more
                more = min(spare * lack / all_missing, EAGER * lack / givers)
            if more < LEAST * b.own:
                more = 0.0
            if g is None:
                if not more or len(self.given) >= MOST_GRANTS:
                    continue
                self.serial += 1
                serial, rate = self.serial, more
            else:
                if over > 0:
                    over -= g.rate
                    continue
                if not more and now < g.told_at + RENEW_S:
                    continue
                serial, rate = g.serial, g.rate + more
            lent_until = now + LEASE_S + MARGIN_S
            self.given[serial] = Given(serial, row.owner, row.boot, b.name, rate, lent_until, now, row.asked)
            told.append((row.owner, Grant(serial, b.name, rate, row.asked, row.boot)))
        return told

    # --- taking

    def take(self, now: float, owner: str, owner_boot: int, g: Grant) -> bool:
        """A grant that came. False: it is none of this life's, over, or of no use."""
        key = owner, owner_boot, g.serial
        if g.boot != self.boot or g.budget not in self.budgets or key in self.returned:
            return False
        until = g.asked + LEASE_S
        if until <= now or g.asked > now:  # `asked` is this process's own reading: the future was never said
            return False
        before = self.taken.get(key)
        if before is None and len(self.taken) >= MOST_GRANTS:
            return False
        if before is not None and before.until >= until:
            return False
        self.taken[key] = Taken(owner, owner_boot, g.serial, g.budget, g.rate, until, g.asked)
        return True

    def give_back(self, now: float) -> list[tuple[str, Return]]:
        """What is borrowed and hardly needed any more: used no more from here on, and said to its owner."""
        told: list[tuple[str, Return]] = []
        for name in self.budgets:
            borrowed = self.borrowed(now, name)
            missing = self.wants(now, name)
            if not borrowed or missing >= GIVE_BACK * borrowed:
                continue
            for key, t in [(k, t) for k, t in self.taken.items() if t.budget == name and now < t.until]:
                if borrowed - t.rate < missing:
                    continue
                borrowed -= t.rate
                del self.taken[key]
                if len(self.returned) < 4 * MOST_GRANTS:
                    # where its owner heeds it, no grant of that serial was asked for later than this one
                    self.returned[key] = t.until
                    told.append((t.owner, Return(t.serial, t.owner_boot, t.asked)))
        return told

    def returned_to(self, boot_of_teller: int, r: Return) -> bool:
        """A borrower says that it is done with a grant. It is to be this one's, and to have come to the last:
        one that was renewed since may still come there, and count for all that the borrower knows by then.
        """
        g = self.given.get(r.serial)
        if r.boot != self.boot or g is None or g.boot != boot_of_teller or g.asked > r.asked:
            return False
        del self.given[r.serial]
        return True

    def _tidy(self, now: float) -> None:
        self.given = {n: g for n, g in self.given.items() if now < g.until}
        self.taken = {k: t for k, t in self.taken.items() if now < t.until}
        self.returned = {k: until for k, until in self.returned.items() if now < until}
