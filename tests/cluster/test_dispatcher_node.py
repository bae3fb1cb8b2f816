"""Graceful shutdown of a dispatcher on real sockets."""

import asyncio
import json
from types import SimpleNamespace
from typing import Any, cast

import pytest
from aiohttp import web

from finchladder.cluster.configuration.compression import DocumentCompressor
from finchladder.cluster.process import dispatcher_node
from finchladder.cluster.process.dispatcher_node import DispatcherNode
from finchladder.cluster.process.router import Router
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.tenancy.api_keys import ApiKey
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.types.messages import Update
from tests.cluster.dispatcher_scene import Primary, refresh, run_with_dispatcher

RESPONSE_S = 1.0  # longer than `FINAL_RESPONSES_S`


class LateRequestListener(Listener):
    """Lets a client connect and send a request just after the dispatcher found no open request."""

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
        settings = SimpleNamespace(bounds=SimpleNamespace(grace_s=5.0), seed_peer_addresses=())
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


def test_an_unknown_key_is_looked_up_in_the_configuration_of_the_primary(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(dispatcher_node, "event", lambda kind, **fields: events.append((kind, fields)))
    document = {
        "version": 2,
        "routes": [
            {"name": "r", "host": "a", "path_prefix": "/", "service": "s"},
            {"name": "p", "host": "a", "path_prefix": "/p/", "service": "s", "public": True},
        ],
        "services": [{"name": "s"}],
        "tenants": [{"name": "north", "api_keys": ["secret-1", "secret-2"]}],
        "limits": {"max_body_bytes": "many"},
    }

    async def scenario(node: DispatcherNode) -> None:
        compressed = DocumentCompressor().compress(json.dumps(document).encode())
        # the chain has not confirmed this configuration
        update = Update("core-1/1", {}, None, (), (), 2, compressed, False, False, "", 1, False)
        primary = Primary(update)
        assert not await refresh(node, primary)
        assert primary.last_pull is not None and primary.last_pull.version == 0
        keys = node.router.snapshot.keys
        assert keys is not None
        tenant = keys.tenant_of(ApiKey("secret-1"))
        assert tenant is not None and tenant.name == "north"
        assert keys._salt == node.key_salt and len(set(node.key_salt)) > 1
        assert "secret" not in repr(node) and repr(node.key_salt) not in repr(node)

    run_with_dispatcher(scenario)
    counts = {"tenants": 1, "keys": 2, "public_routes": 1}
    activated = {"version": 2, "source": "core-1/1", "confirmed": False, **counts}
    replaced = {"version": 2, "count": 1, "fields": ("limits/max_body_bytes",)}
    assert events == [("configuration.activated", activated), ("configuration.fields_replaced", replaced)]
