"""Odd but valid values of a configuration in a control process and a dispatcher, on real sockets."""

import asyncio
import json
import shutil
from pathlib import Path
from typing import Any

from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.storage.lmdb_store import DiskIdentity, LmdbStore
from finchladder.cluster.transport.peers import steady
from tests.cluster.test_router import run_with_timeout
from tests.cluster.test_tenants_of_nodes import POLL_S, Cluster, running_cluster

LIMITS = {"max_body_bytes": 4096, "idle_timeout_ms": None, "header_timeout_ms": None}
ENGINE = {"load_rate_s": None, "slots": 0.5, "models": [{"name": "m", "adapters": None, "load_s": 1e300}]}
SERVICES = [{"name": "s", "max_connections": 1e300, "engine": ENGINE}]


def stored_replica(data_dir: Path) -> Replica:
    """Reads the state from a copy of the disk, as after a restart."""
    copy = data_dir / "copy"
    shutil.copytree(data_dir / "state", copy / "state")
    store = LmdbStore(str(copy), 32 << 20)
    replica = store.load(lambda: DiskIdentity("none", False))[2]
    store.close()
    assert not store.moved_aside
    return replica


async def wait_for_version(cluster: Cluster, version: int) -> None:
    """Waits until the dispatcher and the placer have applied a version, within the bound on changes."""
    deadline = steady() + cluster.dispatcher.settings.bounds.config_apply_s
    while not (cluster.dispatcher.router.snapshot.version == cluster.core.placer.snapshot.version == version):
        assert steady() < deadline
        await asyncio.sleep(POLL_S)


def test_an_acknowledged_change_with_odd_values_is_applied_and_read_back_after_a_restart(
    tmp_path: Path,
) -> None:
    # Such a change was acknowledged, and neither it nor any later change of a worker was applied.
    async def work() -> None:
        async with running_cluster(tmp_path) as cluster:
            change = {"version": 2.0, "upsert": {"limits": LIMITS, "services": SERVICES}}
            assert await cluster.configure("PATCH", 1, change) == 200
            await wait_for_version(cluster, 2)
            assert cluster.dispatcher.is_ready()
            await cluster.send_until(200, "south-1")
            async with cluster.client.delete(
                f"http://{cluster.core.settings.control}/api/instances/i-0"
            ) as response:
                assert response.status == 200
            await asyncio.sleep(cluster.dispatcher.settings.bounds.config_apply_s)
            assert not cluster.dispatcher.router.pools.members
            async with cluster.client.get(f"http://{cluster.core.settings.control}/api/config") as response:
                found = await response.json()
            assert (found["version"], found["limits"], found["services"]) == (2, LIMITS, SERVICES)
            await cluster.stop_core()
            state = stored_replica(tmp_path).state
            assert state.version == 2
            assert json.loads(state.document) == found

    run_with_timeout(work)


def test_a_change_with_a_value_of_a_wrong_type_is_rejected_and_the_next_one_is_applied(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with running_cluster(tmp_path) as cluster:
            for odd in ({"idle_timeout_ms": "many"}, {"max_body_bytes": [1]}, {"max_header_bytes": True}):
                change: dict[str, Any] = {"version": 2, "upsert": {"limits": odd}}
                assert await cluster.configure("PATCH", 1, change) == 400
            for version in (1 << 63, 1 << 64, 1 << 70):
                assert await cluster.configure("PATCH", 1, {"version": version}) == 400
                assert await cluster.configure("PATCH", version, {"version": 2}) == 412
            assert await cluster.configure("PATCH", 1, {"version": 2}) == 200
            await wait_for_version(cluster, 2)

    run_with_timeout(work)
