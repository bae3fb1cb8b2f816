"""Dispatchers that were out of contact while every control process they knew was replaced."""

import asyncio
import signal
from pathlib import Path

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.types.members import Member, View
from finchladder.lab.cluster.virtual import run
from tests.cluster.node_processes import (
    CONFIG_APPLY_S,
    CONTACT_S,
    ProcessCluster,
    process_cluster,
    wait_until,
)
from tests.cluster.test_router import run_with_timeout
from tests.cluster.test_update_puller import TIMEOUTS, VIEW, Cores, new_puller

NOT_FOUND = 404


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
