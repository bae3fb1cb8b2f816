"""Looks at all processes of the control world again and again, and has the oracle judge what they show."""

import asyncio
from typing import TYPE_CHECKING

from finchladder.cluster.process.control_plane import ControlPlane
from finchladder.cluster.types.operations import ControlState
from finchladder.lab.cluster.contact import Snapshot
from finchladder.lab.cluster.dataplane import Dispatcher
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.operators import number_in

if TYPE_CHECKING:
    from finchladder.lab.cluster.world import World

WATCH_CORE_S = 0.02
WATCH_DISPATCHERS_S = 0.05
TURN_S = 3.0  # no two holders of the placer's role may both act within it


async def watch_dispatchers(world: "World") -> None:
    """Judges what each dispatcher has in force, and in touch also whether it has it in time."""
    loop = asyncio.get_running_loop()
    while True:
        now, snapshot = loop.time(), world.snapshot()
        world.contact.watch(now, snapshot)
        in_touch = world.contact.in_touch(now, snapshot)
        for dispatcher in world.dispatchers:
            if dispatcher.puller is not None:
                _judge_in_force(world, dispatcher, now)
            if dispatcher.address in in_touch and _can_know(world, dispatcher, snapshot):
                _judge_in_time(world, dispatcher, now)
        await asyncio.sleep(WATCH_DISPATCHERS_S)


def _judge_in_force(world: "World", dispatcher: Dispatcher, now: float) -> None:
    life = f"{dispatcher.name}/{dispatcher.lives}"
    world.judge(lambda: world.oracle.show(life, dispatcher.version, dispatcher.number, now))


def _can_know(world: "World", dispatcher: Dispatcher, snapshot: Snapshot) -> bool:
    """Returns whether a control process that reaches most of the core is known to the dispatcher or a seed.

    The seeds are those that the settings file names now, whenever the dispatcher has read it.
    """
    puller = dispatcher.puller
    known = set() if puller is None else {*puller.sources.by_address, *world.seed_addresses()}
    return not snapshot.in_majority().isdisjoint(known)


def _judge_in_time(world: "World", dispatcher: Dispatcher, now: float) -> None:
    if dispatcher.puller is None or dispatcher.puller.sources.has_core_lost_quorum():
        return  # it refuses all requests
    due = world.oracle.newest_taken_before(now - world.fleet.apply_s)
    if 0 < dispatcher.version < due:  # without any, it refuses all requests, which breaks no rule
        world.break_off(f"{dispatcher.name} has version {dispatcher.version}, {due} was acknowledged")
    used = dispatcher.ready_workers() & world.fleet.must_be_unused(now)
    if used:
        world.break_off(f"{dispatcher.name} uses {sorted(used)}, whose drains were acknowledged")


async def watch_core(world: "World", machine: Machine, plane: ControlPlane) -> None:
    """Shows the oracle what the process lets others see."""
    life = f"{machine.name}/{machine.lives}"
    loop = asyncio.get_running_loop()
    while True:
        state = plane.chain.acknowledged
        _judge_shown(world, life, state)
        now, snapshot = loop.time(), world.snapshot()
        world.core_contact.watch(now, snapshot)
        if plane.placer_lease.is_held():
            counts = not world.fenced or world.core_contact.is_stable(now, snapshot)
            _judge_acting(world, machine.name, plane.placer_lease.lease.token, counts)
        await asyncio.sleep(WATCH_CORE_S)


def _judge_acting(world: "World", name: str, token: int, counts: bool) -> None:
    now = asyncio.get_running_loop().time()
    world.judge(lambda: world.oracle.acts(name, token, now, world.turn_s, counts=counts))


def _judge_shown(world: "World", life: str, state: ControlState) -> None:
    now, number = asyncio.get_running_loop().time(), number_in(state.document)
    world.judge(lambda: world.oracle.show(life, state.version, number, now))
