"""Plays of the control world: faults one after the other or together, then calm, in which all must go on."""

import asyncio

from finchladder.cluster.types.errors import ClusterError
from finchladder.lab.cluster.faults import overlapping_faults, single_fault
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.operators import Operator
from finchladder.lab.cluster.world import World

QUIET_S = 8.0  # within it a change must be taken once all is calm
LOSSES = [0.0, 0.0, 0.01, 0.05]  # shares of messages that are lost while there are faults


async def play(world: World, faults: int, operators: int = 2) -> None:
    """Plays so many faults one after the other, then calm; Violation if a rule was broken."""
    await _begin(world, operators)
    for _ in range(faults):
        await single_fault(world)
        if world.violation is not None:
            break
    await _end(world)


async def play_overlapping(world: World, episodes: int, operators: int = 4) -> None:
    """Plays so many times several faults at once, each time until changes and reads go on in calm."""
    await _begin(world, operators)
    for number in range(episodes):
        world.network.loss = world.random.choice(LOSSES)
        await overlapping_faults(world)
        world.network.loss = 0.0
        world.network.cut.clear()
        if world.violation is None:
            await _must_take(world, f"after episode {number + 1}")
        if world.violation is None:
            await _must_read(world, f"after episode {number + 1}")
        if world.violation is None:
            await _must_know_all(world, f"after episode {number + 1}")
        if world.violation is not None:
            break
    await _end(world)


async def _begin(world: World, operators: int) -> None:
    for _ in range(world.count):
        world.add(True)
    for machine in list(world.machines.values()):
        world.start(machine)
        await asyncio.sleep(world.random.uniform(0.0, 0.3))
    world.drivers = [asyncio.ensure_future(Operator(world).work()) for _ in range(operators)]
    world.begin_dataplane()
    await _must_take(world, "at the start")
    if world.placement is not None:
        world.placement.begin()
    if world.quota_play is not None:
        world.quota_play.begin()
    world.network.loss = world.random.choice(LOSSES)


async def _end(world: World) -> None:
    world.network.loss = 0.0
    world.network.cut.clear()
    if world.violation is None:
        await _must_take(world, "after the faults")
    if world.quota_play is not None:
        await world.quota_play.end()
    for driver in world.drivers:
        driver.cancel()
    if world.placement is not None:
        world.placement.end()
    if world.violation is None:
        await _read_last(world)
    world.judge(world.oracle.check_history)
    if world.violation is not None:
        raise world.violation


async def _read_last(world: World) -> None:
    """The configuration that is left: what was refused must have been refused for it or one before."""
    for machine in world.running():
        assert machine.plane is not None
        try:
            state = await machine.plane.chain.read()
        except ClusterError:
            continue
        world.judge(lambda s=state: world.oracle.left(s.version))  # type: ignore[misc]
        return


async def _must_read(world: World, when: str) -> None:
    """Every process that runs must soon be able to tell the newest configuration."""
    loop = asyncio.get_running_loop()
    until = loop.time() + QUIET_S
    for machine in world.running():
        while not await _can_read(machine):
            await asyncio.sleep(0.1)
            if loop.time() > until:
                world.break_off(f"{machine.name} told no configuration within {QUIET_S} s {when}")
                return


async def _can_read(machine: Machine) -> bool:
    if machine.plane is None:
        return True
    try:
        await machine.plane.chain.read()
    except ClusterError:
        return False
    return True


async def _must_take(world: World, when: str) -> None:
    taken, loop = world.taken, asyncio.get_running_loop()
    until = loop.time() + QUIET_S
    while world.taken <= taken + 1:
        await asyncio.sleep(0.1)
        if loop.time() > until:
            world.break_off(f"no change was taken within {QUIET_S} s {when}")
            return


async def _must_know_all(world: World, when: str) -> None:
    """Every dispatcher must soon know what was acknowledged by now, and all workers that are there."""
    world.drains, loop = False, asyncio.get_running_loop()
    due, until = world.oracle.newest_taken_before(loop.time()), loop.time() + QUIET_S
    while missing := _unknown_to_dispatchers(world, due):
        await asyncio.sleep(0.1)
        if loop.time() > until:
            world.break_off(f"{missing} within {QUIET_S} s {when}")
            break
    world.drains = True


def _unknown_to_dispatchers(world: World, due: int) -> str:
    there = {w.instance for w in world.workers if w.ready_since is not None}
    for dispatcher in world.dispatchers:
        if dispatcher.version < due:
            return f"{dispatcher.name} did not get version {due}"
        if not there <= dispatcher.ready_workers():
            return f"{dispatcher.name} did not get {sorted(there - dispatcher.ready_workers())}"
    return ""
