"""Faults of the control world, each a coroutine that brings one about and ends it; and one drawn by lot."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from finchladder.lab.cluster.virtual import running_loop

if TYPE_CHECKING:
    from finchladder.lab.cluster.machine import Machine
    from finchladder.lab.cluster.world import World

CATCH_UP_S = 4.0
FREEZE_WEIGHT = 4  # of freezes among the kinds of faults
SLOW_FACTOR = 30.0

Fault = Callable[["World"], Awaitable[None]]


async def single_fault(world: "World") -> None:
    """One fault by lot, and time to recover from it."""
    faults = [*SINGLE_FAULTS] + ([frozen] * FREEZE_WEIGHT if world.freezes else [])
    await world.random.choice(faults)(world)
    await asyncio.sleep(CATCH_UP_S * world.random.uniform(1.0, 1.3))


def _victim(world: "World") -> "Machine":
    return world.random.choice(world.running())


async def killed(world: "World") -> None:
    """A process is killed and started again."""
    machine = _victim(world)
    world.kill(machine, power=False)
    await asyncio.sleep(world.random.choice([0.1, 0.5, 1.0, 3.0]))
    world.restart(machine)


async def without_power(world: "World") -> None:
    """A machine loses power for a while."""
    machine = _victim(world)
    world.kill(machine, power=True)
    await asyncio.sleep(world.random.uniform(0.3, 5.0))
    world.restart(machine)


async def wiped(world: "World") -> None:
    """A machine comes back with an empty disk."""
    machine = _victim(world)
    if not world.may_lose_disk(machine):
        return
    world.kill(machine, power=world.random.random() < 0.5)
    world.wipe(machine)
    await asyncio.sleep(world.random.uniform(0.3, 3.0))
    world.restart(machine)


async def late_wipe(world: "World") -> None:
    """All lose power, and one comes back with an empty disk."""
    machines = world.running()
    for machine in machines:
        world.kill(machine, power=True)
    lost = world.random.choice(machines)
    if world.may_lose_disk(lost):
        world.wipe(lost)
    await _start_one_by_one(world, machines)


async def _start_one_by_one(world: "World", machines: list["Machine"]) -> None:
    for machine in world.random.sample(machines, len(machines)):
        await asyncio.sleep(world.random.uniform(0.0, 0.5))
        world.restart(machine)


async def cut_off(world: "World") -> None:
    """A machine neither hears the others nor is heard."""
    await _cut_one(world, _victim(world), both=True)


async def cut_one_way(world: "World") -> None:
    """A machine hears the others and is not heard, or the other way round."""
    await _cut_one(world, _victim(world), both=False)


async def _cut_one(world: "World", machine: "Machine", both: bool) -> None:
    others = [m for m in world.machines.values() if m is not machine]
    away = {(machine.address, o.address) for o in others}
    back = {(o.address, machine.address) for o in others}
    chosen = away | back if both else world.random.choice([away, back])
    world.note(f"{machine.name} is cut off ({len(chosen)} directions)")
    await _cut(world, chosen, world.random.uniform(0.3, 6.0))


async def _cut(world: "World", pairs: Iterable[tuple[str, str]], duration_s: float) -> None:
    cut = set(pairs)
    world.network.cut |= cut
    await asyncio.sleep(duration_s)
    world.network.cut -= cut


async def stalled(world: "World") -> None:
    """A disk answers nothing for a while."""
    machine = _victim(world)
    assert machine.disk is not None
    stall_s = world.random.uniform(0.3, 5.0)
    world.note(f"disk of {machine.name} stalls for {stall_s:.2f} s")
    machine.disk.stalled_until = asyncio.get_running_loop().time() + stall_s
    await asyncio.sleep(stall_s)


async def frozen(world: "World") -> None:
    """A process stands still for a while."""
    machine = _victim(world)
    freeze_s = world.random.choice([0.3, 1.0, 2.0, 4.0, 7.0]) * world.random.uniform(0.8, 1.2)
    world.note(f"{machine.name} is frozen for {freeze_s:.2f} s")
    loop = running_loop()
    loop.freeze(machine.name, loop.time() + freeze_s)
    await asyncio.sleep(freeze_s)


async def refusing(world: "World") -> None:
    """A disk refuses writes for a while."""
    machine = _victim(world)
    assert machine.disk is not None
    machine.disk.refuses = True
    world.note(f"disk of {machine.name} refuses writes")
    await asyncio.sleep(world.random.uniform(0.3, 4.0))
    if machine.disk is not None:
        machine.disk.refuses = False


async def replaced(world: "World") -> None:
    """A machine goes for good and an empty one comes, before or after."""
    machine = _victim(world)
    planned = world.random.random() < 0.5
    if planned:
        world.start(world.add(False))
        await asyncio.sleep(world.random.uniform(0.5, 3.0))
    if not world.may_lose_disk(machine):
        return
    world.kill(machine, power=True)
    world.remove(machine)
    if not planned:
        await asyncio.sleep(world.random.uniform(0.3, 3.0))
        world.start(world.add(False))


async def all_killed(world: "World") -> None:
    """All processes are killed, or all machines lose power, at the same moment."""
    machines = world.running()
    power = world.random.random() < 0.5
    for machine in machines:
        world.kill(machine, power=power)
    await _start_one_by_one(world, machines)


SINGLE_FAULTS: list[Fault] = [
    killed,
    without_power,
    wiped,
    cut_off,
    cut_one_way,
    stalled,
    refusing,
    replaced,
    all_killed,
    late_wipe,
]


# --- faults that only come together with others


async def cut_into_halves(world: "World") -> None:
    """Two parts do not hear each other, for up to 25 s; changes go on, and a kill may follow the end."""
    machines = world.random.sample(world.running(), len(world.running()))
    size = world.random.randint(1, max(1, len(machines) // 2))
    one, other = machines[:size], machines[size:]
    world.note(f"cut: {', '.join(m.name for m in one)} from the rest")
    pairs = {(a.address, b.address) for a in one for b in other}
    pairs |= {(b, a) for a, b in pairs}
    await _cut(world, pairs, world.random.choice([0.5, 2.0, 6.0, 25.0]) * world.random.uniform(0.5, 1.0))
    if world.random.random() < 0.4 and world.running():
        await killed(world)


async def slowed(world: "World") -> None:
    """A disk takes 30 times as long."""
    machine = _victim(world)
    assert machine.disk is not None
    world.note(f"disk of {machine.name} is slow")
    machine.disk.factor = SLOW_FACTOR
    await asyncio.sleep(world.random.uniform(1.0, 8.0))
    if machine.disk is not None:
        machine.disk.factor = 1.0


async def power_with_lost_disks(world: "World") -> None:
    """All lose power 5 to 400 ms after a change was sent; as many disks as may be are lost."""
    sent = world.sent_at
    while world.sent_at == sent:
        await asyncio.sleep(0.005)
    await asyncio.sleep(world.random.uniform(0.005, 0.4))
    machines = world.running()
    for machine in machines:
        world.kill(machine, power=True)
    for machine in world.random.sample(machines, len(machines)):
        if world.random.random() < 0.7 and world.may_lose_disk(machine):
            world.wipe(machine)
    await asyncio.sleep(world.random.uniform(0.2, 2.0))
    await _start_one_by_one(world, machines)


async def lost_after_repair(world: "World") -> None:
    """A disk is lost 0 to 5 s after the next start or end of any process."""
    starts = world.starts
    for _ in range(100):
        if world.starts != starts:
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(world.random.choice([0.0, 0.05, 0.3, 1.0, 5.0]) * world.random.random())
    if world.running():
        await wiped(world)


async def left(world: "World") -> None:
    """A machine is told to end, lets the others go on without it, and starts again or is replaced."""
    machine = _victim(world)
    if machine.plane is None:
        return
    agreement, leave_s = machine.plane.agreement, 1.5
    world.note(f"{machine.name} is told to end")
    with_replacement = world.random.random() < 0.5
    if with_replacement:
        world.start(world.add(False))
        await asyncio.sleep(world.random.uniform(0.0, 2.0))
    await world.within(machine, agreement.leave_chain(leave_s))
    world.kill(machine, power=False)
    if with_replacement and (world.is_dispensable(machine) or world.may_lose_disk(machine)):
        world.remove(machine)
        return
    await asyncio.sleep(world.random.uniform(0.1, 2.0))
    world.restart(machine)


# --- faults of worlds with dispatchers


async def dispatcher_killed(world: "World") -> None:
    """A dispatcher is killed and starts again, knowing nothing."""
    dispatcher = world.random.choice(world.dispatchers)
    dispatcher.kill(world)
    await asyncio.sleep(world.random.choice([0.1, 0.5, 3.0]))
    world.restart_dispatcher(dispatcher)


async def dispatcher_frozen(world: "World") -> None:
    """A dispatcher stands still for a while."""
    dispatcher, loop = world.random.choice(world.dispatchers), running_loop()
    freeze_s = world.random.choice([0.3, 1.0, 4.0]) * world.random.uniform(0.8, 1.2)
    world.note(f"{dispatcher.name} is frozen for {freeze_s:.2f} s")
    loop.freeze(dispatcher.name, loop.time() + freeze_s)
    await asyncio.sleep(freeze_s)


async def dispatcher_cut_off(world: "World") -> None:
    """A dispatcher does not reach some machines of the core."""
    dispatcher, machines = world.random.choice(world.dispatchers), list(world.machines.values())
    chosen = world.random.sample(machines, world.random.randint(1, len(machines)))
    world.note(f"{dispatcher.name} is cut off from {', '.join(m.name for m in chosen)}")
    links = {(dispatcher.address, m.address) for m in chosen} | {
        (m.address, dispatcher.address) for m in chosen
    }
    await _cut(world, links, world.random.uniform(0.5, 12.0))


async def cut_off_with_dispatchers(world: "World") -> None:
    """A core machine and a quarter of the dispatchers are on one side, all else on the other, for up to 20 s;
    one of these dispatchers starts anew there.
    """
    machine = _victim(world)
    count = max(1, len(world.dispatchers) // 4)
    beside = world.random.sample(world.dispatchers, count)
    near = {machine.address, *(d.address for d in beside)}
    everybody = {*(m.address for m in world.machines.values()), *(d.address for d in world.dispatchers)}
    world.note(f"cut: {', '.join(sorted(near))} from the rest")
    links = {(a, b) for a in everybody for b in everybody if (a in near) != (b in near)}
    cut = asyncio.ensure_future(_cut(world, links, world.random.uniform(4.0, 20.0)))
    await asyncio.sleep(world.random.uniform(0.5, 4.0))
    beside[0].kill(world)
    await asyncio.sleep(0.5)
    world.restart_dispatcher(beside[0])
    await cut


async def core_turnover(world: "World") -> None:
    """Every core machine is replaced in turn while a dispatcher is cut off from all of them."""
    dispatcher = world.random.choice(world.dispatchers)
    links: set[tuple[str, str]] = set()

    def cut_from(machine: "Machine") -> None:
        links.update({(dispatcher.address, machine.address), (machine.address, dispatcher.address)})
        world.network.cut |= links

    world.note(f"{dispatcher.name} is cut off while the core is replaced")
    for machine in world.machines.values():
        cut_from(machine)
    for machine in world.running():
        if not world.may_lose_disk(machine):
            continue
        world.kill(machine, power=True)
        world.remove(machine)
        await asyncio.sleep(world.random.uniform(0.3, 2.0))
        successor = world.add(False)
        cut_from(successor)
        world.start(successor)
        await asyncio.sleep(CATCH_UP_S * world.random.uniform(1.0, 1.3))
    world.network.cut -= links


TURNOVER_WEIGHT = 8  # of turnovers among the kinds of faults

DISPATCHER_FAULTS: list[Fault] = [
    dispatcher_killed,
    dispatcher_frozen,
    dispatcher_cut_off,
    cut_off_with_dispatchers,
]

# --- faults of worlds with quotas


async def holder_cut_off(world: "World") -> None:
    """Who holds the placer's lease does not hear the rest of the core; dispatchers still reach it."""
    holders = [m for m in world.running() if m.plane is not None and m.plane.placer_lease.is_held()]
    if holders:
        others = [m for m in world.machines.values() if m is not holders[0]]
        links = {(holders[0].address, o.address) for o in others}
        links |= {(b, a) for a, b in links}
        world.note(f"{holders[0].name}, which holds the lease, is cut off from the core")
        await _cut(world, links, world.random.uniform(0.8, 6.0))


async def holder_restarted(world: "World") -> None:
    """Who holds the placer's lease is killed and soon there again."""
    holders = [m for m in world.running() if m.plane is not None and m.plane.placer_lease.is_held()]
    if holders:
        world.kill(holders[0], power=False)
        await asyncio.sleep(world.random.uniform(0.0, 0.5))
        world.restart(holders[0])


QUOTA_FAULTS: list[Fault] = [holder_cut_off, holder_cut_off, holder_restarted]

OVERLAPPING_FAULTS: list[Fault] = [
    *SINGLE_FAULTS,
    frozen,
    frozen,
    cut_into_halves,
    cut_into_halves,
    slowed,
    power_with_lost_disks,
    lost_after_repair,
    lost_after_repair,
    left,
]


async def overlapping_faults(world: "World", most: int = 5) -> None:
    """Several faults that begin within a few seconds, whatever the others do meanwhile."""

    async def one(fault: Fault, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if world.running():
            await fault(world)

    kinds = [*OVERLAPPING_FAULTS, *(DISPATCHER_FAULTS * 2 if world.edges else [])]
    kinds += QUOTA_FAULTS * 2 if world.quotas else []
    kinds += [core_turnover] * TURNOVER_WEIGHT if world.turnovers else []
    drawn = [
        one(
            world.random.choice(kinds),
            world.random.choice([0.0, 0.5, 2.0, 6.0]) * world.random.random(),
        )
        for _ in range(world.random.randint(2, most))
    ]
    await asyncio.gather(*drawn)
