"""Escrow of a shared budget: all orders of a few steps among three dispatchers, and single steps."""

from copy import copy

import pytest

from finchladder.core.peers.escrow import LEASE_S, MARGIN_S, UNLENDABLE_FRACTION, Budget, Escrow
from finchladder.core.peers.messages import Demand, Grant, Return, Row

LIMIT, DEEP = 30.0, 8
STEP_S = LEASE_S / 2 + 0.1
SPEEDS = (1.0, 0.9955, 1.0045)  # of the three clocks


class State:
    """Three escrows, their sent messages, and the true time; messages may be delayed, lost or duplicated."""

    def __init__(self) -> None:
        self.now = 0.0
        self.boots = [0, 0, 0]
        self.offsets = [100.0, 5000.0, 0.0]
        self.escrows = [self._made(i, -2 * LEASE_S) for i in range(3)]
        self.rows: tuple[Row, ...] = ()
        self.said: tuple[
            tuple[int, int, int, Grant | Return], ...
        ] = ()  # sender, its boot, receiver, message

    def _made(self, i: int, begun: float) -> Escrow:
        e = Escrow(f"n{i}", 10 * i + self.boots[i], self.offsets[i] + begun * SPEEDS[i])
        e.budgets["b"] = Budget("b", LIMIT, 3)
        e.budgets["b"].demand = (1000.0, 0.0, 0.0)[
            i
        ]  # the first demands everything, the second lends, the demand of the third changes
        return e

    def clock(self, i: int) -> float:
        return self.offsets[i] + self.now * SPEEDS[i]

    def after(self, step: tuple[object, ...]) -> "State | None":
        """Returns the state after a step, or None if the step is impossible or changes nothing."""
        s = copy(self)
        s.escrows, s.boots, s.offsets = list(self.escrows), list(self.boots), list(self.offsets)
        kind, i = step[0], step[1]
        assert isinstance(i, int)
        if kind == "wait":
            s.now += STEP_S
            return s if s.now < 4 * STEP_S else None
        now = s.clock(i)
        if kind == "start":
            if s.boots[i]:
                return None
            s.boots[i] += 1
            s.escrows[i] = s._made(i, s.now)
            return s
        e = s.escrows[i] = copy(self.escrows[i])
        e.lent_grants, e.borrowed_grants, e.returned_until = (
            dict(e.lent_grants),
            dict(e.borrowed_grants),
            dict(e.returned_until),
        )
        e.budgets = {n: copy(b) for n, b in e.budgets.items()}
        b = e.budgets["b"]
        if kind == "write":
            want = Demand("b", e.excess_demand(now, "b"), e.borrowed_rate(now, "b"), 0.0)
            row = Row(e.name, e.boot, 1, 1, 0.0, now, (want,))
            if row in s.rows or not want.rate:
                return None
            s.rows = (*s.rows, row)[-3:]
        elif kind == "give":
            rows = [r for n, r in enumerate(s.rows) if r.owner != e.name and n == step[2]]
            told = e.lend(now, rows)
            if not told:
                return None
            s.said = (*s.said, *((i, e.boot, int(to[1:]), g) for to, g in told))
        elif kind == "need":
            b.demand = 1000.0 if b.demand == 0.0 else 0.0
        elif kind == "back":
            told_back = e.return_unneeded(now)
            if not told_back:
                return None
            s.said = (*s.said, *((i, e.boot, int(to[1:]), r) for to, r in told_back))
        else:
            said = [w for n, w in enumerate(s.said) if n == step[2] and w[2] == i]
            if not said:
                return None
            sender, boot, _, what = said[0]
            if isinstance(what, Grant):
                if not e.accept_grant(now, f"n{sender}", boot, what):
                    return None
            elif not e.accept_return(boot, what):
                return None
        return s

    def rights(self) -> list[float]:
        return [e.usable_rate(self.clock(i), "b") for i, e in enumerate(self.escrows)]

    def key(self) -> object:
        return (
            self.now,
            tuple(self.boots),
            self.rows,
            self.said,
            tuple(
                (
                    tuple(e.lent_grants.values()),
                    tuple(e.borrowed_grants.values()),
                    tuple(e.returned_until),
                    e.budgets["b"].demand,
                    e.full_rate_at,
                )
                for e in self.escrows
            ),
        )


STEPS = [
    ("wait", 0),
    ("write", 0),
    ("write", 2),
    ("need", 0),
    ("need", 2),
    ("back", 0),
    ("back", 2),
    ("start", 0),
    ("start", 1),
    *(("give", i, n) for i in (1, 2) for n in range(3)),
    *(("hear", i, n) for i in range(3) for n in range(4)),
]


def test_usable_rates_never_exceed_limit_in_any_order_of_steps() -> None:
    """The orders include losses (a message is never received), duplicates and delays of any length."""
    level, seen = [State()], {State().key()}
    lent = 0
    for _ in range(DEEP):
        after: list[State] = []
        for state in level:
            for step in STEPS:
                if (s := state.after(step)) is None or (key := s.key()) in seen:
                    continue
                seen.add(key)
                rights = s.rights()
                assert sum(rights) <= LIMIT * (1 + 1e-9), (step, rights, s.key())
                assert min(rights) > 0
                lent += rights[0] > LIMIT / 3 + 1
                after.append(s)
        level = after
    assert len(seen) > 50_000
    assert lent > 1000


def lender(need: float = 0.0) -> Escrow:
    e = Escrow("n1", 1, 0.0)
    e.budgets["b"] = Budget("b", LIMIT, 3)
    e.budgets["b"].demand = need
    return e


def row(asked: float, rate: float, have: float = 0.0, boot: int = 2, owner: str = "n2") -> Row:
    return Row(owner, boot, 1, 1, 0.0, asked, (Demand("b", rate, have, 0.0),))


LATER = 2 * LEASE_S


def given(e: Escrow, now: float, *rows: Row) -> list[float]:
    return [round(g.rate, 3) for _, g in e.lend(now, rows)]


def test_lent_rates() -> None:
    assert given(lender(), 1.0, row(0.5, 9.0)) == []  # just started: an earlier incarnation may have lent it
    assert given(lender(), LATER, row(1.0, 1000.0)) == [9.0]  # all except the unlendable share
    assert given(lender(need=8.0), LATER, row(1.0, 1000.0)) == [2.0]
    assert given(lender(need=30.0), LATER, row(1.0, 1000.0)) == []
    assert given(lender(), LATER, row(1.0, 4.0)) == [3.0]  # one of two lenders may have nothing to spare
    assert given(lender(), LATER, row(1.0, 300.0), row(1.0, 100.0, boot=3, owner="n3")) == [6.75, 2.25]
    assert given(lender(), LATER, row(1.0, 10.0, have=10.0)) == []  # its demand is met
    e = lender()
    assert given(e, LATER, row(1.0, 1000.0)) == [9.0]
    assert given(e, LATER + 5, row(1.0, 1000.0)) == []
    assert given(e, LATER + 5, row(2.0, 1000.0)) == [9.0]  # renewed for the later row
    e.budgets["b"].demand = 30.0
    assert given(e, LATER + 9, row(3.0, 1000.0)) == []  # needed here: the lease expires
    assert e.usable_rate(LATER + 12.9, "b") == pytest.approx(1.0)
    e.lend(LATER + 5 + LEASE_S + MARGIN_S, [])
    assert e.usable_rate(LATER + 5 + LEASE_S + MARGIN_S, "b") == pytest.approx(10.0)


def borrower() -> Escrow:
    e = Escrow("n2", 2, -LATER)
    e.budgets["b"] = Budget("b", LIMIT, 3)
    return e


@pytest.mark.parametrize(
    ("grant", "taken"),
    [
        (Grant(1, "b", 5.0, 0.0, 2), True),
        (Grant(1, "b", 5.0, 0.0, 3), False),  # for an earlier incarnation
        (Grant(1, "other", 5.0, 0.0, 2), False),
        (Grant(1, "b", 5.0, 1.5, 2), False),  # answers a row of the future
        (Grant(1, "b", 5.0, 1.0 - LEASE_S, 2), False),  # expired
    ],
)
def test_valid_grants(grant: Grant, taken: bool) -> None:
    e = borrower()
    assert e.accept_grant(1.0, "n1", 1, grant) is taken
    assert e.usable_rate(1.0, "b") == pytest.approx(15.0 if taken else 10.0)
    assert e.usable_rate(LEASE_S + 0.001, "b") == pytest.approx(10.0)


def test_grant_counts_once_and_never_after_return() -> None:
    e = borrower()
    e.budgets["b"].demand = 30.0
    older, newer = Grant(1, "b", 5.0, 0.0, 2), Grant(1, "b", 6.0, 1.0, 2)
    assert e.accept_grant(2.0, "n1", 1, newer)
    assert not e.accept_grant(2.0, "n1", 1, newer)
    assert not e.accept_grant(2.0, "n1", 1, older)
    assert e.usable_rate(2.0, "b") == pytest.approx(16.0)
    assert e.return_unneeded(2.0) == []  # still needed
    e.budgets["b"].demand = 3.0
    assert e.return_unneeded(2.0) == [("n1", Return(1, 1, 1.0))]
    assert e.usable_rate(2.0, "b") == pytest.approx(10.0)
    assert not e.accept_grant(2.0, "n1", 1, newer)
    assert e.accept_grant(2.0, "n1", 7, newer)  # of another incarnation of the owner, whose serials restart


def test_return_ends_only_a_grant_of_its_sender() -> None:
    e = lender()
    e.lend(LATER, [row(1.0, 1000.0)])
    others = ((3, Return(1, 1, 1.0)), (2, Return(2, 1, 1.0)), (2, Return(1, 9, 1.0)))
    for boot, back in (*others, (2, Return(1, 1, 0.5))):  # the last one was renewed since
        assert not e.accept_return(boot, back)
    assert e.usable_rate(LATER, "b") == pytest.approx(UNLENDABLE_FRACTION * 10.0)
    assert e.accept_return(2, Return(1, 1, 1.0))
    assert e.usable_rate(LATER, "b") == pytest.approx(10.0)
