"""Fleets of 3 to 9 at virtual time, with faults from seeds: what an eye from outside sees at every step."""

import sys
from pathlib import Path
from types import ModuleType

import pytest

from finchladder.core.peers import bucket, escrow, exchange, membership, state_rows
from finchladder.sim import peers as world
from finchladder.sim.peers import Fault, Play, World

PARTS, EACH = 8, 25  # of the seeds: parts are played beside each other


@pytest.mark.parametrize("part", range(PARTS))
def test_no_rule_is_broken_by_any_seed(part: int) -> None:
    for seed in range(1 + EACH * part, 1 + EACH * (part + 1)):
        play = Play(seed)
        assert play.run() is None, f"seed {seed}: {play.broken} in {play.world}"


def test_a_seed_is_played_the_same_again() -> None:
    plays = [Play(5), Play(5)]
    for play in plays:
        play.run()
    a, b = plays
    assert (a.steps, a.sent, a.lost, a.total_taken) == (b.steps, b.sent, b.lost, b.total_taken)


def used(split: tuple[int, ...], skew: float, demand: float = 150.0) -> float:
    """The part of the limit of 50 a second that nine dispatchers use from second 20 to 40."""
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
        ((), 0.95, 0.87),  # nearly all of it is asked for at one: what others never lend is left over
        ((0, 1, 2), 0.0, 0.9),  # each part has its members' rights
        ((0, 1, 2), 0.95, 0.28),  # and one that is asked alone has those of its part: a third
    ],
)
def test_a_limit_is_used(split: tuple[int, ...], skew: float, least: float) -> None:
    assert used(split, skew) >= least


# in which module, what is taken out, what is there for it, which rule misses it, and from which seed on
MUTANTS: dict[str, tuple[ModuleType, str, str, str, int]] = {
    "a start forgets what its former life has lent": (
        escrow,
        "self.full_share_at = now + LEASE_S + MARGIN_S",
        "self.full_share_at = now",
        "rights",
        8,
    ),
    "the lender's time is over first": (
        escrow,
        "lent_until = now + LEASE_S + MARGIN_S",
        "lent_until = now + LEASE_S / 2",
        "rights",
        1,
    ),
    "a lease begins when it comes": (
        escrow,
        "until = g.requested_at + LEASE_S\n",
        "until = now + LEASE_S\n",
        "rights",
        45,
    ),
    "what was returned may come again": (
        escrow,
        "or key in self.returned_until",
        "",
        "rights",
        50,
    ),
    "a return ends what was renewed meanwhile": (
        escrow,
        " or g.requested_at > r.requested_at",
        "",
        "rights",
        16,
    ),
    "all of the own is lent": (escrow, "UNLENDABLE_SHARE = 0.1", "UNLENDABLE_SHARE = 0.0", "never zero", 1),
    "what is needed again is renewed": (
        escrow,
        "spare = min((1 - UNLENDABLE_SHARE) * b.own_share, b.own_share - b.demand) - lent",
        "spare = b.own_share",
        "never zero",
        1,
    ),
    "a grant may be made smaller": (
        escrow,
        "serial, rate = g.serial, g.rate + more",
        "serial, rate = g.serial, g.rate / 2",
        "rights",
        1,
    ),
    "a bucket keeps a right whose lease is over": (
        bucket,
        "if now <= self.rate_until else",
        "if True else",
        "rights",
        17,
    ),
    "nobody says that it is there after all": (
        membership,
        "        if m is self.own_member:\n",
        "        if False:\n",
        "heals",
        1,
    ),
    "who is gone is not looked for": (
        membership,
        "if self.rounds % GONE_PROBE_INTERVAL == 0:",
        "if False:",
        "heals",
        1,
    ),
    "suspicion never ends": (
        membership,
        "self._set_status(now, m, m.incarnation, MemberStatus.GONE, self.name)",
        "pass",
        "heals",
        15,
    ),
    "an old life's row is as good as a new one": (
        state_rows,
        "if (row.incarnation, row.sequence) <= (held.incarnation, held.sequence):",
        "if False:",
        "once",
        1,
    ),
}


def mutated(module: ModuleType, old: str, new: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Has all of core/peers use that module with other text."""
    text = Path(str(module.__file__)).read_text()
    assert text.count(old) >= 1, old
    other = ModuleType(module.__name__)
    monkeypatch.setitem(sys.modules, module.__name__, other)  # its records are looked up there
    exec(compile(text.replace(old, new), str(module.__file__), "exec"), other.__dict__)
    for user in (exchange, world):
        for name, value in vars(user).items():
            if getattr(value, "__module__", None) == module.__name__ and hasattr(other, name):
                monkeypatch.setattr(user, name, getattr(other, name))


@pytest.mark.parametrize("name", MUTANTS)
def test_a_guard_that_is_taken_out_is_missed(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, old, new, rule, first = MUTANTS[name]
    mutated(module, old, new, monkeypatch)
    found = (Play(seed).run() for seed in range(first, first + 30))
    assert next(b.rule for b in found if b is not None) == rule
