"""Drains and ends of workers in the chain, at virtual time."""

import asyncio

import pytest

from finchladder.cluster.process.control_plane import ControlPlane
from finchladder.cluster.types.operations import (
    MAX_RETIREMENTS,
    ControlState,
    RecordRetirements,
    WorkerRetirement,
    apply,
    is_retired,
)
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World


def drain(instance: str, sequence: int = 1) -> WorkerRetirement:
    return WorkerRetirement(instance, sequence, False)


def leave(instance: str, sequence: int = 1) -> WorkerRetirement:
    return WorkerRetirement(instance, sequence, True)


def test_each_worker_stands_once_and_an_end_is_final() -> None:
    state = apply(ControlState(), RecordRetirements((drain("a"), drain("b"))))
    state = apply(state, RecordRetirements((leave("a"), drain("b", 2))))
    state = apply(state, RecordRetirements((drain("a", 5),)))
    assert state.retirements == (drain("b", 2), leave("a"))
    assert state.sequence == 3


@pytest.mark.parametrize(
    ("end", "known"), [(drain("a"), True), (leave("a"), False), (drain("b"), False), (drain("a", 9), True)]
)
def test_a_drain_tells_no_end(end: WorkerRetirement, known: bool) -> None:
    assert is_retired(apply(ControlState(), RecordRetirements((drain("a"),))), end) is known


def test_the_oldest_ends_are_forgotten() -> None:
    state = ControlState()
    for number in range(MAX_RETIREMENTS + 3):
        state = apply(state, RecordRetirements((drain(f"i-{number}"),)))
    assert len(state.retirements) == MAX_RETIREMENTS and state.retirements[0].instance == "i-3"


async def planes(world: World) -> list[ControlPlane]:
    """Of a settled core, in the order of the chain."""
    for _ in range(world.count):
        world.start(world.add(True))
    await asyncio.sleep(4.0)
    by_name = {m.name: m.plane for m in world.running() if m.plane is not None}
    return [by_name[m.name] for m in next(iter(by_name.values())).agreement.view.chain]


def test_any_core_machine_has_the_whole_chain_store_an_end() -> None:
    async def work() -> None:
        for number, plane in enumerate(members := await planes(World(3))):
            assert await plane.retirements.record(drain(f"i-{number}"))
            assert all(m.agreement.replica.state.retirements[-1].instance == f"i-{number}" for m in members)
            assert await plane.retirements.record(drain(f"i-{number}"))
            assert len(members[0].agreement.replica.state.retirements) == number + 1, "it is written once"

    run(work())


def test_ends_that_come_together_travel_together() -> None:
    async def work() -> None:
        head, second, _ = await planes(World(4))
        before = head.agreement.replica.state.sequence
        ends = [drain(f"i-{number}") for number in range(60)]
        assert all(await asyncio.gather(*(second.retirements.record(end) for end in ends)))
        state = head.agreement.replica.state
        assert {end.instance for end in state.retirements} == {end.instance for end in ends}
        assert state.sequence - before < 10
        assert head.retirements.pending == {}

    run(work())


def test_without_the_chain_no_end_is_stored() -> None:
    async def work() -> None:
        world = World(5)
        head, second, _ = await planes(world)
        for other in world.machines.values():
            world.network.cut |= {(head.agreement.me.peer_address, other.address)}
            world.network.cut |= {(other.address, head.agreement.me.peer_address)}
        calls = head.retirements.record(drain("i-1")), second.retirements.record(drain("i-2"))
        assert list(await asyncio.gather(*calls)) == [False, False]
        await asyncio.sleep(3.0)
        assert not await head.retirements.record(drain("i-1")), "it is cut off"
        assert await second.retirements.record(drain("i-2")), "the others have gone on"

    run(work())


def test_an_end_that_was_written_after_the_callers_time_counts_when_it_is_told_again() -> None:
    async def work() -> None:
        world = World(6)
        head, second, tail = await planes(world)
        disk = world.machines[tail.agreement.me.name].disk
        assert disk is not None
        disk.stalled_until = asyncio.get_running_loop().time() + 0.8
        assert not await head.retirements.record(drain("i-1"))
        await asyncio.sleep(3.0)
        assert await head.retirements.record(drain("i-1"))
        assert [e.instance for e in head.agreement.replica.state.retirements] == ["i-1"]

    run(work())
