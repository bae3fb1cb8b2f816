"""What one connection may bring in one turn of the event loop, and what is buffered for it."""

import asyncio
import socket
from typing import Any

import pytest
from aiohttp import web

from finchladder.cluster.transport.bounded_reads import READ_BYTES
from finchladder.cluster.transport.exchange import StrictResponseHandler
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from tests.cluster.test_router import run_with_timeout

BODY_BYTES = 1 << 20
MAX_BUFFERED_BYTES = 1 << 19  # in the kernel and in the process, for one connection
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (64 * BODY_BYTES)


def record_sizes(monkeypatch: pytest.MonkeyPatch, protocol: Any) -> list[int]:
    sizes: list[int] = []
    received = protocol.data_received

    def record(self: Any, data: bytes) -> None:
        sizes.append(len(data))
        received(self, data)

    monkeypatch.setattr(protocol, "data_received", record)
    return sizes


async def echo(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=await request.content.read())


def test_neither_a_request_nor_a_response_brings_more_than_read_bytes_in_one_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    requests = record_sizes(monkeypatch, web.RequestHandler)
    responses = record_sizes(monkeypatch, StrictResponseHandler)

    async def work() -> None:
        listener, session = Listener(echo, "127.0.0.1:0"), make_session(keepalive_s=5)
        await listener.start()
        async with session.post(f"http://{listener.bound_address}/", data=b"x" * BODY_BYTES) as response:
            assert len(await response.read()) == BODY_BYTES
        await session.close()
        await listener.stop()

    run_with_timeout(work)
    assert max(requests) <= READ_BYTES
    assert max(responses) <= READ_BYTES
    assert sum(requests) > BODY_BYTES
    assert sum(responses) > BODY_BYTES


async def send_until_blocked(sender: socket.socket, data: bytes) -> int:
    """Returns how many bytes a peer with a small buffer can send while nobody reads them."""
    sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 14)
    sent = idle_turns = 0
    while idle_turns < 20:
        try:
            sent += sender.send(data)
            idle_turns = 0
        except BlockingIOError:
            idle_turns += 1
        await asyncio.sleep(0.01)
    return sent


def test_few_bytes_of_a_response_are_buffered_while_nobody_reads_it() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        host, port = listening.getsockname()
        session = make_session(keepalive_s=5)
        call = asyncio.create_task(session.get(f"http://{host}:{port}/"))
        worker, _ = await loop.sock_accept(listening)
        worker.setblocking(False)
        worker.send(HEAD)
        response = await call
        sent = await send_until_blocked(worker, b"x" * (1 << 16))
        assert sent <= MAX_BUFFERED_BYTES
        response.close()
        worker.close()
        await session.close()
        listening.close()

    run_with_timeout(work)


def test_few_bytes_of_a_request_are_buffered_while_nobody_reads_it() -> None:
    received = asyncio.Event()

    async def work() -> None:
        async def never_reads(request: web.BaseRequest) -> web.StreamResponse:
            received.set()
            await asyncio.Event().wait()
            return web.Response()

        listener = Listener(never_reads, "127.0.0.1:0")
        await listener.start()
        host, _, port = listener.bound_address.partition(":")
        client = socket.create_connection((host, int(port)))
        client.setblocking(False)
        client.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (64 * BODY_BYTES))
        await received.wait()
        sent = await send_until_blocked(client, b"x" * (1 << 16))
        assert sent <= MAX_BUFFERED_BYTES
        client.close()
        await listener.stop()

    run_with_timeout(work)
