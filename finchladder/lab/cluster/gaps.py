"""How long no change is acknowledged around one fault: the world without anything else that is wrong."""

import asyncio
from statistics import median

from attrs import frozen

from finchladder.lab.cluster.faults import SINGLE_FAULTS, Fault, cut_into_halves, left
from finchladder.lab.cluster.faults import frozen as freeze
from finchladder.lab.cluster.operators import Operator
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World

SETTLE_S = 5.0
AFTER_S = 8.0  # looked at beyond the fault's end
LOOK_S = 0.01
OPERATORS = 8  # in calm they have a change acknowledged every 0.1 s or so
FAULTS: list[Fault] = [*SINGLE_FAULTS, freeze, cut_into_halves, left]


@frozen
class Gap:
    """The longest times without an acknowledgement, seconds; `fault` is None for calm."""

    fault: str | None
    median_s: float
    worst_s: float


async def _longest(world: World, fault: Fault | None) -> float:
    for _ in range(world.count):
        world.start(world.add(True))
    operators = [asyncio.ensure_future(Operator(world).work()) for _ in range(OPERATORS)]
    await asyncio.sleep(SETTLE_S)
    loop = asyncio.get_running_loop()
    ending = asyncio.ensure_future(_bring_about(world, fault))
    longest, taken, since = 0.0, world.taken, loop.time()
    while not ending.done():
        await asyncio.sleep(LOOK_S)
        if world.taken != taken:
            taken, since = world.taken, loop.time()
        longest = max(longest, loop.time() - since)
    ending.result()
    for operator in operators:
        operator.cancel()
    if world.violation is not None:
        raise world.violation
    return longest


async def _bring_about(world: World, fault: Fault | None) -> None:
    if fault is not None:
        await fault(world)
    await asyncio.sleep(AFTER_S)


def measure(fault: Fault | None, first: int, seeds: int, machines: int, losses: int) -> Gap:
    """Plays one fault with each seed; Violation if a rule was broken."""
    gaps = [run(_longest(World(seed, machines, losses), fault)) for seed in range(first, first + seeds)]
    return Gap(None if fault is None else fault.__name__, median(gaps), max(gaps))
