"""What core processes ask workers, on real sockets."""

import asyncio

import pytest
from aiohttp import web

from finchladder.cluster.process.worker_client import HEALTH_PATH, INSTANCE_ID, TIMEOUT_S, WorkerClient
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.worker_api import OrderRequest


def asked_whether_there(status: int, named: str) -> tuple[bool, bool]:
    """Whether i-1 is there: while a worker answers with that status and name, and once it has gone."""

    async def healthz(request: web.BaseRequest) -> web.StreamResponse:
        assert request.path == HEALTH_PATH
        return web.Response(status=status, headers={INSTANCE_ID: named})

    async def work() -> tuple[bool, bool]:
        worker, client = Listener(healthz, "127.0.0.1:0"), WorkerClient()
        await worker.start()
        address = worker.bound_address
        there = await client.is_there(address, "i-1")
        await worker.stop()
        gone = await client.is_there(address, "i-1")
        await client.close()
        return there, gone

    async def bounded() -> tuple[bool, bool]:
        async with asyncio.timeout(20):
            return await work()

    return asyncio.run(bounded())


def test_an_instance_is_there_if_it_answers_whatever_its_health() -> None:
    assert asked_whether_there(200, "i-1") == (True, False)
    assert asked_whether_there(503, "i-1") == (True, False)


def test_another_instance_at_the_address_is_not_the_one_that_was_asked_for() -> None:
    assert asked_whether_there(200, "i-2") == (False, False)


def test_an_order_is_given_up_when_its_time_is_over() -> None:
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
        async with asyncio.timeout(TIMEOUT_S / 2):
            await work()

    asyncio.run(bounded())
