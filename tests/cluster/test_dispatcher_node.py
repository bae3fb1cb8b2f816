"""Graceful shutdown of a dispatcher on real sockets."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest
from aiohttp import web

from finchladder.cluster.process import dispatcher_node
from finchladder.cluster.process.dispatcher_node import DispatcherNode
from finchladder.cluster.process.router import Router
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener

RESPONSE_S = 1.0  # longer than `FINAL_RESPONSES_S`


class LateRequestListener(Listener):
    """A client connects and sends just after the dispatcher found no open request."""

    late_connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def stop_accepting(self) -> None:
        reader, writer = await asyncio.open_connection(*self.bound_address.split(":"))
        writer.write(b"GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n")
        while not self.connection_count:
            await asyncio.sleep(0)
        self.late_connection = reader, writer
        await super().stop_accepting()


def test_a_request_that_arrives_during_shutdown_gets_a_complete_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(dispatcher_node, "READINESS_PROPAGATION_S", 0.1)

    async def work() -> None:
        settings = SimpleNamespace(bounds=SimpleNamespace(grace_s=5.0))
        node = DispatcherNode(cast(Settings, settings))
        session = make_session(keepalive_s=5)
        node.router = Router(
            session,
            WorkerSelector("edge", "z", 0.2),
            lambda: RetryBudget(0.2, 50, 10),
            lambda: 1,
            DemandCounter(),
        )

        async def slow(request: web.BaseRequest) -> web.StreamResponse:
            await asyncio.sleep(RESPONSE_S)
            return web.Response(body=b"whole")

        frontend = LateRequestListener(slow, "127.0.0.1:0")
        await frontend.start()
        await node._graceful_shutdown(frontend)
        await frontend.stop()
        assert frontend.late_connection is not None
        reader, writer = frontend.late_connection
        assert (await reader.read()).endswith(b"whole")
        writer.close()
        await session.close()

    async def bounded() -> None:
        async with asyncio.timeout(20):
            await work()

    asyncio.run(bounded())
