"""Changes of the configuration around view changes, on a virtual clock with three machines."""

import asyncio
import json

import pytest

from finchladder.cluster.process.configuration_changes import ACCEPTED, CONFLICT, INVALID, OUTCOME_UNKNOWN
from finchladder.cluster.types.errors import ClusterError
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World

ANSWER_S = 0.9


def body(version: int) -> bytes:
    return json.dumps({"version": version, "routes": [], "services": [], "number": version}).encode()


async def submitted(machine: Machine, base: int, version: int) -> int:
    assert machine.plane is not None
    outcome = await machine.plane.changes.submit(base, False, body(version), ANSWER_S)
    return outcome.status


async def settled(world: World) -> list[Machine]:
    """Three machines with a confirmed chain, in its order."""
    for _ in range(3):
        world.start(world.add(True))
    await asyncio.sleep(4.0)
    machines = world.running()
    assert machines[0].plane is not None
    chain = machines[0].plane.agreement.view.chain
    return [world.machines[member.name] for member in chain]


def test_any_machine_takes_a_change_and_a_repeat_is_taken_by_any_other_after_later_ones() -> None:
    async def work() -> None:
        head, middle, tail = await settled(World(1))
        assert await submitted(tail, 0, 3) == ACCEPTED
        assert await submitted(head, 3, 5) == ACCEPTED
        assert await submitted(middle, 0, 3) == ACCEPTED
        assert await submitted(middle, 0, 4) == CONFLICT
        assert await submitted(tail, 5, 5) == INVALID

    run(work())


def test_a_head_that_was_replaced_refuses_nothing_from_its_old_state() -> None:
    """Its disk refuses writes, so it does not even learn of the view that left it out."""

    async def work() -> None:
        head, middle, _ = await settled(World(2))
        assert await submitted(middle, 0, 1) == ACCEPTED
        assert head.disk is not None
        assert head.plane is not None
        head.disk.refuses = True
        head.disk.failed = True
        await asyncio.sleep(3.0)
        assert head.plane.chain.is_head
        assert await submitted(middle, 1, 2) == ACCEPTED
        for base, version in ((2, 3), (1, 2), (1, 1)):
            assert await submitted(head, base, version) == OUTCOME_UNKNOWN

    run(work())


def test_a_tail_that_is_cut_off_answers_no_read() -> None:
    async def work() -> None:
        world = World(3)
        head, middle, tail = await settled(world)
        assert await submitted(head, 0, 1) == ACCEPTED
        for other in (head, middle):
            world.network.cut |= {(tail.address, other.address), (other.address, tail.address)}
        assert tail.plane is not None
        assert head.plane is not None
        with pytest.raises(ClusterError):
            await tail.plane.chain.read()
        await asyncio.sleep(3.0)
        assert await submitted(head, 1, 2) == ACCEPTED
        assert (await head.plane.chain.read()).version == 2
        with pytest.raises(ClusterError):
            await tail.plane.chain.read()

    run(work())
