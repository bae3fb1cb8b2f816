"""Start of a new holder's quota account, which a review of the quotas found to be untested."""

import asyncio

import pytest

from finchladder.cluster.process.quota_service import QuotaService
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.transport.peers import steady
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World

RULE = QuotaRule(8.0, 0.1, 17_000)


def holder_of(world: World) -> Machine | None:
    for machine in world.running():
        if machine.plane is not None and machine.plane.placer_lease.is_held():
            return machine
    return None


@pytest.mark.parametrize("power", [True, False], ids=["another machine", "the same machine, started again"])
def test_the_term_of_a_new_holder_begins_when_it_is_elected_and_not_before(power: bool) -> None:
    """The buckets start empty; an earlier start would grant again what the former holder granted."""

    async def work() -> None:
        world = World(2, fenced=True)
        for _ in range(3):
            world.start(world.add(True))
        await asyncio.sleep(8.0)
        former = holder_of(world)
        assert former is not None and former.plane is not None
        token = former.plane.placer_lease.lease.token
        world.kill(former, power=power)
        killed_at = steady()
        if not power:
            world.start(former)
        async with asyncio.timeout(8.0):
            while (machine := holder_of(world)) is None:
                await asyncio.sleep(0.01)
        assert machine.plane is not None
        term = QuotaService.build(machine.plane.placer_lease, RULE).current_term()
        assert term is not None
        assert term.number > token
        assert killed_at <= term.began_at <= steady()
        await asyncio.sleep(2.0)
        same = QuotaService.build(machine.plane.placer_lease, RULE).current_term()
        assert same == term, "a lease that is renewed begins no term"

    run(work())
