"""Demand reports of a dispatcher, in virtual time."""

import asyncio
from typing import cast

from finchladder.cluster.process.demand_reporter import DemandReporter
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import PoolMember, Pools
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import PeerClient
from finchladder.cluster.types.messages import DemandReply, DemandReport, Reply, Request
from finchladder.lab.cluster.virtual import run


def make_reporter(pools: Pools, peers: object = None) -> DemandReporter:
    return DemandReporter(
        node_name="edge-1",
        peers=cast(PeerClient, peers),
        placer_address=lambda: "core-1:1",
        demand=DemandCounter(),
        pools=lambda: pools,
    )


def test_peer_loads_expire_without_an_update() -> None:
    worker = Worker("a", "llm", "a:1", "z", 64)
    pools = Pools().with_changes({"a": PoolMember(worker)})
    reporter = make_reporter(pools)
    worker.add_load(1)
    pools.set_peer_loads(0.0, {"a": 7})
    reporter.peer_loads_received_at = 10.0
    reporter.expire_peer_loads(12.3, interval_s=0.4)
    assert worker.load == 8
    reporter.expire_peer_loads(12.5, interval_s=0.4)
    assert worker.load == 1


def test_a_dispatcher_reports_its_load_and_applies_that_of_its_peers() -> None:
    reports: list[DemandReport] = []

    class Peers:
        async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
            assert isinstance(request, DemandReport)
            reports.append(request)
            return DemandReply(1000, True, {"b": 5})

    async def work() -> None:
        one, two = (Worker(name, "llm", f"{name}:1", "z", 64) for name in "ab")
        pools = Pools().with_changes({"a": PoolMember(one), "b": PoolMember(two)})
        reporter = make_reporter(pools, Peers())
        one.add_load(1)
        tasks = Tasks()
        tasks.repeat(reporter.run, "demand")
        await asyncio.sleep(0.6)
        assert [(r.sender, r.worker_loads) for r in reports] == [("edge-1", {"a": 1})]
        assert (one.load, two.load) == (1, 5)
        await asyncio.sleep(2.0)
        assert len(reports) == 3, "at the interval that the placer requests"

    run(work())
