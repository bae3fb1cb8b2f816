"""Client of control processes for workers, on real sockets."""

import asyncio
import time

import pytest
from aiohttp import web

from finchladder.cluster.process.worker_client import (
    CALL_TIMEOUT_S,
    HEALTH_PATH,
    WorkerClient,
)
from finchladder.cluster.routing.headers import INSTANCE_ID_HEADER
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.worker_api import OrderRequest


def is_running_before_and_after_stop(status: int, instance: str) -> tuple[bool, bool]:
    """Returns whether i-1 runs while a worker responds with that status and instance, and afterwards."""

    async def healthz(request: web.BaseRequest) -> web.StreamResponse:
        assert request.path == HEALTH_PATH
        return web.Response(status=status, headers={INSTANCE_ID_HEADER: instance})

    async def work() -> tuple[bool, bool]:
        worker, client = Listener(healthz, "127.0.0.1:0"), WorkerClient()
        await worker.start()
        address = worker.bound_address
        before = await client.is_running(address, "i-1")
        await worker.stop()
        after = await client.is_running(address, "i-1")
        await client.close()
        return before, after

    async def bounded() -> tuple[bool, bool]:
        async with asyncio.timeout(20):
            return await work()

    return asyncio.run(bounded())


def test_an_instance_runs_if_it_responds_whatever_its_health() -> None:
    assert is_running_before_and_after_stop(200, "i-1") == (True, False)
    assert is_running_before_and_after_stop(503, "i-1") == (True, False)


def test_another_instance_at_the_address_does_not_count() -> None:
    assert is_running_before_and_after_stop(200, "i-2") == (False, False)


def test_an_order_times_out() -> None:
    async def silent(request: web.BaseRequest) -> web.StreamResponse:
        await asyncio.Event().wait()
        return web.Response()

    async def work() -> None:
        worker, client = Listener(silent, "127.0.0.1:0"), WorkerClient()
        await worker.start()
        body = OrderRequest("load", "m", "core-1", 7)
        with pytest.raises(PeerUnreachableError):
            await client.order(worker.bound_address, "i-1", body, 0.01)
        await client.close()
        await worker.stop()

    async def bounded() -> None:
        async with asyncio.timeout(CALL_TIMEOUT_S / 2):
            await work()

    asyncio.run(bounded())


def test_a_surplus_response_to_a_report_is_not_taken_for_that_to_an_order() -> None:
    """The worker responds to each report call twice, the second time just before an order arrives."""

    async def work() -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"GET"):
                    report = b'{"models":[],"busy":false,"sequence":0}'
                    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report)
                    writer.write(response)
                    await asyncio.sleep(0.05)
                    writer.write(response)
                    continue
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = WorkerClient()
        await client.report(f"{host}:{port}", "i-1")
        time.sleep(0.1)
        status = await client.order(f"{host}:{port}", "i-1", OrderRequest("load", "m", "core-1", 7), 1.0)
        await client.close()
        server.close()
        return status

    async def bounded() -> int:
        async with asyncio.timeout(20):
            return await work()

    assert asyncio.run(bounded()) == 202
