"""Retirements of workers in the chain, in virtual time."""

import asyncio

import pytest

from finchladder.cluster.process.control_plane import ControlPlane
from finchladder.cluster.process.worker_retirement import RETENTION_S
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


def deregistration(instance: str, sequence: int = 1) -> WorkerRetirement:
    return WorkerRetirement(instance, sequence, True)


def test_each_worker_is_stored_once_and_a_deregistration_is_final() -> None:
    state = apply(ControlState(), RecordRetirements((drain("a"), drain("b"))))
    state = apply(state, RecordRetirements((deregistration("a"), drain("b", 2))))
    state = apply(state, RecordRetirements((drain("a", 5),)))
    assert state.retirements == (drain("b", 2), deregistration("a"))
    assert state.sequence == 3


@pytest.mark.parametrize(
    ("retirement", "known"),
    [(drain("a"), True), (deregistration("a"), False), (drain("b"), False), (drain("a", 9), True)],
)
def test_a_stored_drain_is_no_deregistration(retirement: WorkerRetirement, known: bool) -> None:
    assert is_retired(apply(ControlState(), RecordRetirements((drain("a"),))), retirement) is known


def test_the_oldest_retirements_are_dropped() -> None:
    first, *others = (drain(f"i-{number}") for number in range(MAX_RETIREMENTS + 3))
    state = apply(ControlState(), RecordRetirements((first,)))
    state = apply(state, RecordRetirements(tuple(others)))
    assert len(state.retirements) == MAX_RETIREMENTS
    assert state.retirements[0].instance == "i-3"


async def control_planes(world: World) -> list[ControlPlane]:
    """Returns the control planes of a core with a confirmed chain, in the order of the chain."""
    for _ in range(world.count):
        world.start(world.add(True))
    await asyncio.sleep(4.0)
    by_name = {m.name: m.plane for m in world.running() if m.plane is not None}
    return [by_name[m.name] for m in next(iter(by_name.values())).agreement.view.chain]


def test_any_control_process_has_the_full_chain_store_a_retirement() -> None:
    async def work() -> None:
        for number, plane in enumerate(members := await control_planes(World(3))):
            assert await plane.retirements.record(drain(f"i-{number}"))
            assert all(m.agreement.replica.state.retirements[-1].instance == f"i-{number}" for m in members)
            assert await plane.retirements.record(drain(f"i-{number}"))
            assert len(members[0].agreement.replica.state.retirements) == number + 1, "it is written once"

    run(work())


def test_retirements_are_kept_by_their_age_and_not_by_their_number() -> None:
    """2,000 drains within a minute are all kept; the next one after the retention replaces them."""

    async def work() -> None:
        head = (await control_planes(World(5)))[0]
        for minute in range(2):
            retirements = [drain(f"i-{minute}-{number}") for number in range(1000)]
            assert all(await asyncio.gather(*(head.retirements.record(r) for r in retirements)))
            await asyncio.sleep(0.4 * RETENTION_S)
        assert len(head.chain.acknowledged.retirements) == 2000
        await asyncio.sleep(RETENTION_S)
        assert await head.retirements.record(drain("late"))
        assert head.chain.acknowledged.retirements == (drain("late"),)

    run(work())


def test_concurrent_retirements_are_stored_in_few_operations() -> None:
    async def work() -> None:
        head, second, _ = await control_planes(World(4))
        before = head.agreement.replica.state.sequence
        retirements = [drain(f"i-{number}") for number in range(60)]
        assert all(
            await asyncio.gather(*(second.retirements.record(retirement) for retirement in retirements))
        )
        state = head.agreement.replica.state
        assert {retirement.instance for retirement in state.retirements} == {
            retirement.instance for retirement in retirements
        }
        assert state.sequence - before < 10
        assert head.retirements.pending == {}

    run(work())


def test_no_retirement_is_stored_without_the_chain() -> None:
    async def work() -> None:
        world = World(5)
        head, second, _ = await control_planes(world)
        for other in world.machines.values():
            world.network.cut |= {(head.agreement.me.peer_address, other.address)}
            world.network.cut |= {(other.address, head.agreement.me.peer_address)}
        calls = head.retirements.record(drain("i-1")), second.retirements.record(drain("i-2"))
        assert list(await asyncio.gather(*calls)) == [False, False]
        await asyncio.sleep(3.0)
        assert not await head.retirements.record(drain("i-1")), "it is cut off"
        assert await second.retirements.record(drain("i-2")), "the others have gone on"

    run(work())


def test_a_retirement_written_after_the_timeout_counts_at_the_retry() -> None:
    async def work() -> None:
        world = World(6)
        head, second, tail = await control_planes(world)
        disk = world.machines[tail.agreement.me.name].disk
        assert disk is not None
        disk.stalled_until = asyncio.get_running_loop().time() + 0.8
        assert not await head.retirements.record(drain("i-1"))
        await asyncio.sleep(3.0)
        assert await head.retirements.record(drain("i-1"))
        assert [retirement.instance for retirement in head.agreement.replica.state.retirements] == ["i-1"]

    run(work())
