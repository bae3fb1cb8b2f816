"""The control state at virtual time, with faults from seeds; the oracle knows what was seen from outside."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from attrs import evolve

from finchladder.cluster.configuration import changes
from finchladder.cluster.replication import chain, membership
from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import AlreadyStored, Outcome, Replica
from finchladder.cluster.storage.lmdb_store import encode_record
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import Replicate
from finchladder.lab.cluster.oracle import Change, Oracle, Violation
from finchladder.lab.cluster.plays import play, play_overlapping
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import CONTACT_S, World

ROOT = Path(__file__).resolve().parents[2]
FAULTS = 5
MUTANT_SEEDS = range(40)


@pytest.mark.parametrize("seed", range(12))
def test_three_machines_keep_the_rules_under_faults(seed: int) -> None:
    run(play(World(seed, count=3, losses=1), FAULTS))


@pytest.mark.parametrize("seed", range(5))
def test_five_machines_keep_the_rules_under_faults(seed: int) -> None:
    run(play(World(1000 + seed, count=5, losses=2), FAULTS))


@pytest.mark.parametrize("seed", range(8))
def test_machines_keep_the_rules_while_processes_stand_still(seed: int) -> None:
    run(play(World(2000 + seed, count=3, losses=1, freezes=True), FAULTS))


@pytest.mark.parametrize("seed", range(6))
def test_three_machines_keep_the_rules_under_faults_that_overlap(seed: int) -> None:
    run(play_overlapping(World(3000 + seed, count=3, losses=1, overlaps=True), 4))


@pytest.mark.parametrize("seed", range(3))
def test_five_machines_keep_the_rules_under_faults_that_overlap(seed: int) -> None:
    run(play_overlapping(World(4000 + seed, count=5, losses=2, overlaps=True), 3))


@pytest.mark.parametrize("seed", range(8))
def test_three_machines_whose_workers_check_fences_keep_the_rules(seed: int) -> None:
    run(play_overlapping(World(7000 + seed, count=3, losses=1, freezes=True, overlaps=True, fenced=True), 4))


@pytest.mark.parametrize("fenced", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_models_are_placed_in_time_and_within_the_stores_rate(seed: int, fenced: bool) -> None:
    world = World(8000 + seed, freezes=True, overlaps=True, edges=3, fenced=fenced, places=True)
    run(play_overlapping(world, 3))
    assert world.placement is not None and world.placement.waits, "there were requests for rare models"


@pytest.mark.parametrize("seed", range(6))
def test_dispatchers_know_in_time_what_was_acknowledged(seed: int) -> None:
    run(play_overlapping(World(5000 + seed, count=3, losses=1, overlaps=True, edges=4), 4))


@pytest.mark.parametrize("seed", range(2))
def test_dispatchers_of_five_core_machines_know_in_time_what_was_acknowledged(seed: int) -> None:
    run(play_overlapping(World(6000 + seed, count=5, losses=2, overlaps=True, edges=6), 3))


TRACE = """
from finchladder.lab.cluster.plays import play_overlapping
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World

world = World(7, overlaps=True, edges=3)
run(play_overlapping(world, 1))
print("\\n".join(world.trace))
"""


def test_a_seed_gives_the_same_run_in_every_process() -> None:
    """Whatever the order in which sets of names or of objects come."""
    traces = [
        subprocess.run(
            [sys.executable, "-c", TRACE],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            cwd=ROOT,
            capture_output=True,
            check=True,
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert traces[0] == traces[1]
    assert len(traces[0].splitlines()) > 20


def test_a_seed_gives_the_same_run_again() -> None:
    first, second = World(7), World(7)
    run(play(first, 2))
    run(play(second, 2))
    assert first.trace == second.trace


def _finds_a_violation() -> bool:
    for seed in MUTANT_SEEDS:
        try:
            run(play(World(seed), FAULTS))
        except Violation:
            return True
    return False


def test_members_that_acknowledge_what_they_did_not_store_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def careless(replica: Replica, view: int, request: Replicate) -> Outcome:
        outcome = chain_receive(replica, view, request)
        return AlreadyStored() if request.operation is not None else outcome

    chain_receive = chain.receive
    monkeypatch.setattr(chain, "receive", careless)
    assert _finds_a_violation()


def test_joiners_that_count_as_survivors_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def anybody(view: View, alive: dict[str, membership.MemberStatus]) -> list[Member]:
        return [status.member for status in alive.values() if status.healthy]

    monkeypatch.setattr(membership, "survivors", anybody)
    assert _finds_a_violation()


def test_orders_that_are_not_recognised_when_sent_again_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    numbers = iter(range(1 << 30))
    monkeypatch.setattr(
        changes, "change_digest", lambda base, is_patch, body: msgspec.json.encode(next(numbers))
    )
    assert _finds_a_violation()


# --- what may be lost at once


async def start_three(world: World) -> None:
    for _ in range(3):
        world.start(world.add(True))
    await asyncio.sleep(3.0)


def test_no_more_disks_are_lost_than_may_be_before_all_is_whole() -> None:
    async def work() -> None:
        world = World(5, overlaps=True)
        await start_three(world)
        one, two, _ = world.running()
        assert world.may_lose_disk(one)
        assert world.may_lose_disk(two)
        world.kill(one, power=True)
        world.wipe(one)
        assert world.may_lose_disk(one)
        assert not world.may_lose_disk(two)
        world.restart(one)
        assert not world.may_lose_disk(two)
        await asyncio.sleep(3.0)
        assert world.may_lose_disk(two)

    run(work())


def test_a_machine_is_not_dispensable_that_a_silent_one_knows_as_a_voter() -> None:
    """Its removal counts as a lost disk; seed 31550 of `hunt` lost two where one may be lost."""

    async def work() -> None:
        world = World(9, overlaps=True)
        await start_three(world)
        one, two, three = world.running()
        new = world.add(False)
        world.start(new)
        assert world.is_dispensable(new)
        await asyncio.sleep(3.0)
        assert not world.is_dispensable(new)
        for machine in (two, three, new):
            world.kill(machine, power=True)
        assert one.plane is not None
        one.plane.agreement.acceptor = Acceptor(View(1, (), (), 0))
        one.platter.acceptor = encode_record(one.plane.agreement.acceptor)
        assert not world.is_dispensable(new), "the disks of the others know a later view"
        world.remove(two)
        world.remove(three)
        assert world.is_dispensable(new), "nobody can read what is gone for good"

    run(work())


# --- the oracle itself


def _oracle_with(*changes: Change) -> Oracle:
    return Oracle(changes={change.number: change for change in changes})


def test_the_oracle_refuses_two_winners_on_one_base() -> None:
    one, two = Change(1, 0, 1, b""), Change(2, 0, 2, b"")
    oracle = _oracle_with(one, two)
    oracle.answered(one, 200, 1.0)
    with pytest.raises(Violation, match="both taken"):
        oracle.answered(two, 200, 2.0)


def test_the_oracle_refuses_a_read_older_than_what_was_acknowledged() -> None:
    change = Change(1, 0, 5, b"")
    oracle = _oracle_with(change)
    oracle.answered(change, 200, 1.0)
    with pytest.raises(Violation, match="later read"):
        oracle.read(2.0, 2.1, 0, 0)


def test_the_oracle_refuses_two_holders_within_a_turn() -> None:
    oracle = Oracle()
    oracle.acts("a", 1, 10.0, 3.0)
    with pytest.raises(Violation, match="after a"):
        oracle.acts("b", 2, 12.9, 3.0)


def test_the_oracle_refuses_a_step_back_within_a_life() -> None:
    one, two = Change(1, 0, 1, b""), Change(2, 1, 2, b"")
    oracle = _oracle_with(one, two)
    oracle.show("core-1/1", 2, 2, 1.0)
    with pytest.raises(Violation, match="went back"):
        oracle.show("core-1/1", 1, 1, 2.0)


def test_the_oracle_refuses_an_answer_that_names_another_version() -> None:
    change = Change(1, 0, 5, b"")
    with pytest.raises(Violation, match="is taken as 7"):
        _oracle_with(change).answered(change, 200, 1.0, 7)


def test_the_oracle_refuses_a_refusal_as_outdated_on_the_version_that_is_left() -> None:
    change = Change(1, 3, 5, b"")
    oracle = _oracle_with(change)
    oracle.answered(change, 412, 1.0, 3)
    with pytest.raises(Violation, match="is in place"):
        oracle.left(3)
    oracle.left(4)


def test_the_oracle_refuses_a_history_that_no_order_explains() -> None:
    one, two = Change(1, 0, 1, b""), Change(2, 0, 2, b"")
    oracle = _oracle_with(one, two)
    oracle.sent(one, 0.0)
    oracle.attempted(two, 2.0, 3.0, 412, 0)
    with pytest.raises(Violation, match="no order"):
        oracle.check_history()
    oracle.attempts[-1] = evolve(oracle.attempts[-1], told=1)
    oracle.check_history()


def test_the_oracle_refuses_what_nobody_sent() -> None:
    with pytest.raises(Violation, match="nobody sent"):
        Oracle().show("core-1/1", 3, 9, 1.0)


def test_a_dispatcher_is_not_judged_by_a_core_machine_that_it_was_never_told_of() -> None:
    """Which came while the dispatcher was cut off from all others; seed 30243 of `hunt` brought it about."""

    async def work(cut: bool) -> Violation | None:
        world = World(8, edges=1)
        await start_three(world)
        world.begin_dataplane(with_workers=False)
        (dispatcher,) = world.dispatchers
        await asyncio.sleep(2.0)
        dispatcher.version = 1
        change = Change(9, 1, 2, b"", taken_at=asyncio.get_running_loop().time())
        world.oracle.changes |= {1: Change(1, 0, 1, b""), 9: change}
        dispatcher.number = 1
        if cut:
            world.network.cut |= {(dispatcher.address, m.address) for m in world.machines.values()}
            new = world.add(False)
            world.start(new)
            old = [m.address for m in world.machines.values() if m is not new]
            world.network.cut |= {(a, b) for a in old for b in old if a != b}
        await asyncio.sleep(CONTACT_S + 2.0)
        return world.violation

    assert run(work(cut=True)) is None
    assert run(work(cut=False)) is not None
