"""Fleets of 3 to 9 dispatchers in virtual time with seeded faults, checked at every step."""

import sys
from pathlib import Path
from types import ModuleType

import pytest

from finchladder.core.peers import bucket, escrow, exchange, membership, state_rows
from finchladder.sim import peers as world
from finchladder.sim.peers import Fault, Play, World

PARTS, EACH = 8, 25  # parts of the seeds, which may run in parallel, and seeds in each


@pytest.mark.parametrize("part", range(PARTS))
def test_no_seed_violates_a_rule(part: int) -> None:
    for seed in range(1 + EACH * part, 1 + EACH * (part + 1)):
        play = Play(seed)
        assert play.run() is None, f"seed {seed}: {play.broken} in {play.world}"


def test_simulation_is_deterministic() -> None:
    plays = [Play(5), Play(5)]
    for play in plays:
        play.run()
    a, b = plays
    assert (a.steps, a.sent, a.lost, a.total_taken) == (b.steps, b.sent, b.lost, b.total_taken)


def used(split: tuple[int, ...], skew: float, demand: float = 150.0) -> float:
    """Returns the used share of a limit of 50 per second with nine dispatchers, from second 20 to 40."""
    faults = (Fault("split", 2.0, 60.0, 1.0, split),) if split else ()
    play, marks = Play(1, World(9, 50.0, demand, skew, 40.0, faults)), []
    for at in (20.0, 39.99):
        play.at(at, lambda: marks.append(play.total_taken))
    assert play.run(heals=False) is None
    return (marks[1] - marks[0]) / 20 / 50


@pytest.mark.parametrize(
    ("split", "skew", "least"),
    [
        ((), 0.0, 0.9),
        (
            (),
            0.95,
            0.87,
        ),  # nearly all demand is at one dispatcher: the others' unlendable shares remain unused
        ((0, 1, 2), 0.0, 0.9),  # each side of the partition has its members' rates
        ((0, 1, 2), 0.95, 0.28),  # with all demand at one dispatcher, it has the rates of its side: a third
    ],
)
def test_limit_is_used(split: tuple[int, ...], skew: float, least: float) -> None:
    assert used(split, skew) >= least


# module, replaced source text, its replacement, the rule that detects the fault, and the first seed
MUTANTS: dict[str, tuple[ModuleType, str, str, str, int]] = {
    "a restarted owner ignores earlier leases": (
        escrow,
        "self.full_rate_at = now + LEASE_S + MARGIN_S",
        "self.full_rate_at = now",
        "rights",
        8,
    ),
    "the lender's lease expires first": (
        escrow,
        "lent_until = now + LEASE_S + MARGIN_S",
        "lent_until = now + LEASE_S / 2",
        "rights",
        1,
    ),
    "a lease begins when it is received": (
        escrow,
        "until = g.requested_at + LEASE_S\n",
        "until = now + LEASE_S\n",
        "rights",
        45,
    ),
    "a returned grant is accepted again": (
        escrow,
        "or key in self.returned_until",
        "",
        "rights",
        50,
    ),
    "a return ends a grant that was renewed since": (
        escrow,
        " or g.requested_at > r.requested_at",
        "",
        "rights",
        16,
    ),
    "the whole own rate is lent": (
        escrow,
        "UNLENDABLE_FRACTION = 0.1",
        "UNLENDABLE_FRACTION = 0.0",
        "never zero",
        1,
    ),
    "a needed rate is renewed": (
        escrow,
        "spare = min((1 - UNLENDABLE_FRACTION) * b.own_rate_per_s, b.own_rate_per_s - b.demand) - lent",
        "spare = b.own_rate_per_s",
        "never zero",
        1,
    ),
    "a grant is reduced": (
        escrow,
        "serial, rate = g.serial, g.rate + extra_rate",
        "serial, rate = g.serial, g.rate / 2",
        "rights",
        1,
    ),
    "a bucket keeps a rate whose lease has expired": (
        bucket,
        "if now <= self.rate_until else",
        "if True else",
        "rights",
        17,
    ),
    "a member does not refute suspicion": (
        membership,
        "        if member is self.own_member:\n",
        "        if False:\n",
        "heals",
        1,
    ),
    "gone members are not pinged": (
        membership,
        "if self.periods % GONE_PING_INTERVAL_PERIODS == 0:",
        "if False:",
        "heals",
        1,
    ),
    "suspicion never ends": (
        membership,
        "self._set_status(now, member, member.incarnation, MemberStatus.GONE, self.name)",
        "pass",
        "heals",
        15,
    ),
    "an older row replaces a newer one": (
        state_rows,
        "if (row.incarnation, row.sequence) <= (stored.incarnation, stored.sequence):",
        "if False:",
        "once",
        1,
    ),
}


def mutated(module: ModuleType, old: str, new: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes all of core/peers use a module with changed source text."""
    text = Path(str(module.__file__)).read_text()
    assert text.count(old) >= 1, old
    other = ModuleType(module.__name__)
    monkeypatch.setitem(sys.modules, module.__name__, other)  # NamedTuples are looked up in sys.modules
    exec(compile(text.replace(old, new), str(module.__file__), "exec"), other.__dict__)
    for user in (exchange, world):
        for name, value in vars(user).items():
            if getattr(value, "__module__", None) == module.__name__ and hasattr(other, name):
                monkeypatch.setattr(user, name, getattr(other, name))


@pytest.mark.parametrize("name", MUTANTS)
def test_removed_guard_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, old, new, rule, first = MUTANTS[name]
    mutated(module, old, new, monkeypatch)
    found = (Play(seed).run() for seed in range(first, first + 30))
    assert next(b.rule for b in found if b is not None) == rule
