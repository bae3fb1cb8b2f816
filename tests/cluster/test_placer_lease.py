"""Acquisition of the placer's lease, with three machines in virtual time."""

import asyncio

import pytest

from finchladder.cluster.replication.lease import CLOCK_MARGIN_S, GrantedLease, HeldLease
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.watching import TURN_S
from finchladder.lab.cluster.world import World


async def start_three(world: World) -> Machine:
    """Starts three machines, and returns the one that becomes the placer."""
    for _ in range(3):
        world.start(world.add(True))
    return await wait_for_holder(world, 6.0)


async def wait_for_holder(world: World, within_s: float, besides: str = "") -> Machine:
    """Returns the first machine, other than `besides`, that holds the lease."""
    async with asyncio.timeout(within_s):
        while True:
            for machine in world.running():
                assert machine.plane is not None
                if machine.plane.placer_lease.is_held() and machine.name != besides:
                    return machine
            await asyncio.sleep(0.02)


async def settled(world: World) -> tuple[Machine, int]:
    """Returns the first lease holder some seconds after its election, and its fencing token."""
    machine = await start_three(world)
    assert machine.plane is not None
    token = machine.plane.placer_lease.lease.token
    await asyncio.sleep(3.0)
    return machine, token


def test_a_placer_that_restarts_reacquires_its_lease_at_once_with_a_new_token() -> None:
    async def work() -> None:
        world = World(1)
        machine, token = await settled(world)
        world.kill(machine, power=False)
        await asyncio.sleep(1.0)
        world.start(machine)
        again = await wait_for_holder(world, 2.0)
        assert again is machine
        assert again.plane is not None
        assert again.plane.placer_lease.lease.token > token
        assert again.plane.placer_lease.reacquired
        assert world.violation is None

    run(work())


def test_another_machine_acquires_the_lease_after_lease_and_exclusion_window() -> None:
    async def work() -> None:
        world, loop = World(2), asyncio.get_running_loop()
        machine = await start_three(world)
        await asyncio.sleep(3.0)
        world.kill(machine, power=True)
        failed_at = loop.time()
        other = await wait_for_holder(world, 8.0, machine.name)
        assert other.plane is not None
        assert not other.plane.placer_lease.reacquired
        assert TURN_S <= loop.time() - failed_at <= TURN_S + 3.0
        assert world.violation is None

    run(work())


def test_a_placer_keeps_its_token_over_a_view_change() -> None:
    async def work() -> None:
        world = World(3)
        machine, token = await settled(world)
        other = next(m for m in world.running() if m is not machine)
        world.kill(other, power=True)
        await asyncio.sleep(4.0)
        assert machine.plane is not None
        assert machine.plane.placer_lease.is_held()
        assert machine.plane.placer_lease.lease.token == token

    run(work())


def test_a_lease_runs_from_the_request_for_the_holder_and_from_the_reply_for_the_head() -> None:
    held, granted = HeldLease(1.0), GrantedLease(1.0, 3.0)
    assert granted.wait_s(0.0) is None
    granted.confirm(10.0)
    held.extend(9.5, 1)
    assert held.is_valid(10.4)
    assert not held.is_valid(10.5)
    assert granted.wait_s(10.0) == pytest.approx(4.0 + CLOCK_MARGIN_S)
    assert granted.wait_s(14.0 + CLOCK_MARGIN_S) == 0.0


def test_a_released_lease_is_granted_as_soon_as_the_last_order_is_old_enough() -> None:
    granted = GrantedLease(1.0, 3.0)
    granted.confirm(10.0)
    granted.release(11.0, idle_s=2.0)
    assert granted.wait_s(11.0) == pytest.approx(1.0)


SUSPECTED_S = 1.0  # time until an unreachable machine is excluded from the chain
CALLS_S = 0.3  # time for some calls within the chain


@pytest.mark.parametrize("place", [1, 2])
@pytest.mark.parametrize("seed", range(3))
def test_a_head_does_not_wait_for_the_reply_of_a_member_that_has_left_the_chain(
    seed: int, place: int
) -> None:
    """No write, rejection or lease is possible until the new view is confirmed."""

    async def work() -> None:
        world, loop = World(seed), asyncio.get_running_loop()
        await settled(world)
        plane = world.running()[0].plane
        assert plane is not None
        chain = [world.machines[member.name] for member in plane.agreement.view.chain]
        head = chain[0].plane
        assert head is not None
        world.kill(chain[place], power=True)
        async with asyncio.timeout(3.0):
            while len(head.agreement.view.chain) == len(chain):
                await asyncio.sleep(0.01)
        left_at = loop.time()
        async with asyncio.timeout(3.0):
            while head.chain.confirmed_view != head.agreement.view.number:
                await asyncio.sleep(0.01)
        assert loop.time() - left_at <= CALLS_S

    run(work())


@pytest.mark.parametrize("seed", range(12))
def test_with_fencing_a_lost_placer_is_replaced_when_its_lease_has_expired(seed: int) -> None:
    """Workers reject the lost placer's orders; a longer wait would only delay the next placer."""

    async def work() -> None:
        world, loop = World(seed, fenced=True), asyncio.get_running_loop()
        machine, token = await settled(world)
        await asyncio.sleep(0.37 * seed)  # varies the time at which the others last received a wait
        world.kill(machine, power=True)
        failed_at = loop.time()
        other = await wait_for_holder(world, 8.0, machine.name)
        assert other.plane is not None
        assert other.plane.placer_lease.lease.token > token
        assert loop.time() - failed_at <= SUSPECTED_S + CALLS_S, (
            "the lease expired before the failure was detected"
        )
        assert world.violation is None

    run(work())


def test_a_second_loss_before_the_new_head_is_confirmed_does_not_begin_the_wait_anew() -> None:
    async def work() -> None:
        world, loop = World(7, losses=2, fenced=True), asyncio.get_running_loop()
        for _ in range(5):
            world.start(world.add(True))
        first = await wait_for_holder(world, 6.0)
        await asyncio.sleep(3.0)
        others = [machine for machine in world.running() if machine is not first]
        number = others[0].plane.agreement.view.number if others[0].plane else 0
        world.kill(first, power=True)
        async with asyncio.timeout(3.0):
            while not all(m.plane and m.plane.agreement.view.number > number for m in others):
                await asyncio.sleep(0.001)
        assert others[0].plane is not None
        chain = others[0].plane.agreement.view.chain
        world.kill(world.machines[chain[1].name], power=True)
        second_loss_at = loop.time()
        other = await wait_for_holder(world, 8.0, first.name)
        adopted_s = max(m.plane.agreement.adopted_at for m in world.running() if m.plane) - second_loss_at
        elected_s = loop.time() - second_loss_at
        assert elected_s - adopted_s < 0.5
        assert other.plane is not None
        vacant_s = loop.time() - other.plane.placer_lease.vacant_since
        assert 0.0 < vacant_s < elected_s + 1.0
        assert world.violation is None

    run(work())


def test_a_lease_is_vacant_from_its_end_or_its_release_and_never_before() -> None:
    granted = GrantedLease(1.0, 3.0, fenced=True)
    assert granted.vacant_s(100.0) == 0.0
    granted.confirm(0.0)
    ended_at = 1.0 + CLOCK_MARGIN_S
    assert granted.vacant_s(ended_at - 0.1) == 0.0
    assert granted.vacant_s(ended_at + 0.5) == pytest.approx(0.5)
    granted.renew(10.0)
    granted.release(10.5, idle_s=9.0)
    assert granted.vacant_s(10.5) == 0.0
    assert granted.vacant_s(11.0) == pytest.approx(0.5)
