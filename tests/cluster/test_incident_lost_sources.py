"""Dispatchers that were out of contact while every control process they knew was replaced."""

import asyncio
import signal
from pathlib import Path

import pytest

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.types.members import Member, View
from finchladder.lab.cluster.faults import CATCH_UP_S
from finchladder.lab.cluster.plays import play_overlapping
from finchladder.lab.cluster.virtual import run
from finchladder.lab.cluster.world import World
from tests.cluster.node_processes import (
    CONFIG_APPLY_S,
    CONTACT_S,
    ProcessCluster,
    process_cluster,
    wait_until,
)
from tests.cluster.test_router import run_with_timeout
from tests.cluster.test_update_puller import TIMEOUTS, VIEW, Cores, new_puller
from tests.cluster.test_worst_days import RECOVERY_S, plane_of, start_confirmed_chain

NOT_FOUND = 404


class WorldOfNewestSeeds(World):
    """A world whose operator lists the newest control processes as seeds."""

    def seed_addresses(self) -> tuple[str, ...]:
        return tuple([machine.address for machine in self.machines.values() if not machine.gone][-3:])


async def replace_all_while_frozen(cluster: ProcessCluster) -> None:
    """Replaces every control process while the dispatcher stands still."""
    cluster.dispatchers[0].send_signal(signal.SIGSTOP)
    for core in list(cluster.cores):
        await cluster.replace_core(core)
    cluster.dispatchers[0].write_settings(cluster.seeds())
    cluster.dispatchers[0].send_signal(signal.SIGCONT)


def test_a_dispatcher_gets_changes_after_the_whole_core_was_replaced_out_of_its_sight(tmp_path: Path) -> None:
    async def work() -> None:
        async with process_cluster(tmp_path) as cluster:
            dispatcher = cluster.dispatchers[0]
            await replace_all_while_frozen(cluster)
            await asyncio.sleep(CONTACT_S)
            path = await cluster.add_route()
            await wait_until(lambda: dispatcher.active_version() == cluster.version, CONFIG_APPLY_S)
            assert await cluster.request(dispatcher, path) != NOT_FOUND

    run_with_timeout(work)


def test_a_dispatcher_polls_the_seeds_if_a_large_view_has_no_source_that_replies() -> None:
    async def work() -> None:
        gone = tuple(Member(f"gone-{n}", f"gone-{n}", "z1", f"gone-{n}:1", "") for n in range(9))
        cores, tasks = Cores(unreachable={member.peer_address for member in gone}), Tasks()
        puller = new_puller(cores, tasks)
        puller.view = View(0, gone[:5], gone, 9)
        tasks.repeat(puller.run, "sources")
        await asyncio.sleep(TIMEOUTS.contact_s)
        assert puller.view == VIEW

    run(work())


def test_sighup_makes_a_dispatcher_read_the_seeds_again(tmp_path: Path) -> None:
    async def work() -> None:
        async with process_cluster(tmp_path) as cluster:
            dispatcher = cluster.dispatchers[0]
            dispatcher.write_settings([*cluster.seeds(), "127.0.1.9:1"])
            dispatcher.send_signal(signal.SIGHUP)
            await wait_until(lambda: any(dispatcher.events("seeds.changed")), CONTACT_S)
            assert not any(dispatcher.events("updates.contact_lost"))

    run_with_timeout(work)


@pytest.mark.parametrize("seed", [1, 6, 9, 12])
def test_dispatchers_keep_the_bounds_while_all_control_processes_are_replaced(seed: int) -> None:
    run(play_overlapping(World(seed, overlaps=True, edges=4, turnovers=True), 2))


def test_the_voters_on_the_first_view_stay_the_same_if_the_seeds_change_before_it() -> None:
    async def work() -> None:
        world = World(78)
        founders = [world.add(True) for _ in range(world.count)]
        world.start(founders[0])
        plane = plane_of(founders[0])
        plane.failure_detector.seeds.addresses = ("core-8:1", "core-9:1")
        voters = plane.proposer._voter_addresses()
        assert voters == [machine.address for machine in founders]

    run(work())


def test_a_control_process_rejoins_after_all_others_were_replaced_while_it_was_cut_off() -> None:
    async def work() -> None:
        world = WorldOfNewestSeeds(78, count=5, losses=2, edges=1)
        await start_confirmed_chain(world)
        isolated, *others_before = list(world.machines.values())
        links: set[tuple[str, str]] = set()
        for former in others_before:
            world.kill(former, power=True)
            world.remove(former)
            world.start(world.add(False))
            others = [machine.address for machine in world.machines.values() if machine is not isolated]
            links |= {(isolated.address, other) for other in others}
            links |= {(other, isolated.address) for other in others}
            world.network.cut |= links
            await asyncio.sleep(CATCH_UP_S)
        world.network.cut -= links
        await asyncio.sleep(RECOVERY_S)
        newest = max((plane_of(m).agreement.view for m in world.running()), key=lambda view: view.number)
        adopted, newest_number = plane_of(isolated).agreement.view.number, newest.number
        members = [member.name for member in newest.chain]
        assert adopted == newest_number
        assert isolated.name in members

    run(work())
