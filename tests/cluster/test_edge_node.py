"""A dispatcher's reports at virtual time, and the end of its life on real sockets."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest
from aiohttp import web

from finchladder.cluster.process import dispatcher_node
from finchladder.cluster.process.dispatcher_node import EdgeNode
from finchladder.cluster.process.router import Router
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.routing.budget import RetryBudget
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Backend, Chooser, Holder, Pools
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import PeerClient
from finchladder.cluster.types.messages import DemandReply, DemandReport, Reply, Request
from finchladder.lab.cluster.virtual import run

ANSWER_S = 1.0  # longer than what is left for last answers


class CalledLate(Listener):
    """A client connects and sends just when the dispatcher has found that nothing is open."""

    late: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def stop_accepting(self) -> None:
        reader, writer = await asyncio.open_connection(*self.bound_address.split(":"))
        writer.write(b"GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n")
        while not self.connection_count:
            await asyncio.sleep(0)
        self.late = reader, writer
        await super().stop_accepting()


def test_a_request_that_comes_as_the_dispatcher_ends_is_answered_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(dispatcher_node, "UNREADY_S", 0.1)

    async def work() -> None:
        settings = SimpleNamespace(bounds=SimpleNamespace(grace_s=5.0))
        node = EdgeNode(cast(Settings, settings))
        session = make_session(keepalive_s=5)
        node.router = Router(
            session, Chooser("edge", "z", 0.2), lambda: RetryBudget(0.2, 50, 10), lambda: 1, DemandCounter()
        )

        async def slow(request: web.BaseRequest) -> web.StreamResponse:
            await asyncio.sleep(ANSWER_S)
            return web.Response(body=b"whole")

        frontend = CalledLate(slow, "127.0.0.1:0")
        await frontend.start()
        await node._wind_up(frontend)
        await frontend.stop()
        assert frontend.late is not None
        reader, writer = frontend.late
        assert (await reader.read()).endswith(b"whole")
        writer.close()
        await session.close()

    async def bounded() -> None:
        async with asyncio.timeout(20):
            await work()

    asyncio.run(bounded())


def test_loads_of_others_are_forgotten_when_nobody_tells_them_any_more() -> None:
    node = EdgeNode(cast(Settings, SimpleNamespace()))
    worker = Backend("a", "llm", "a:1", "z", 64)
    node.router = cast(Router, SimpleNamespace(pools=Pools().changed({"a": Holder(worker)})))
    worker.add(1)
    node.router.pools.hear_loads(0.0, {"a": 7})
    node.loads_heard_at = 10.0
    node._forget_old_loads(12.3, interval_s=0.4)
    assert worker.load == 8
    node._forget_old_loads(12.5, interval_s=0.4)
    assert worker.load == 1


def test_a_dispatcher_tells_its_requests_in_flight_and_takes_over_those_of_the_others() -> None:
    reports: list[DemandReport] = []

    class Peers:
        async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
            assert isinstance(request, DemandReport)
            reports.append(request)
            return DemandReply(1000, True, {"b": 5})

    async def work() -> None:
        node = EdgeNode(cast(Settings, SimpleNamespace(node_name="edge-1")))
        one, two = (Backend(name, "llm", f"{name}:1", "z", 64) for name in "ab")
        pools = Pools().changed({"a": Holder(one), "b": Holder(two)})
        node.router = cast(Router, SimpleNamespace(pools=pools))
        node.puller = cast(UpdatePuller, SimpleNamespace(placer="core-1:1"))
        node.peers = cast(PeerClient, Peers())
        one.add(1)
        node.tasks.repeat(node._report, "demand")
        await asyncio.sleep(0.6)
        assert [(r.sender, r.worker_loads) for r in reports] == [("edge-1", {"a": 1})]
        assert (one.load, two.load) == (1, 5)
        await asyncio.sleep(2.0)
        assert len(reports) == 3, "as often as the placer asks for"

    run(work())
