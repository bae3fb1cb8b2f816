"""A dispatcher that shuts down closes idle client connections, but none with an unread request."""

import asyncio
import socket
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from finchladder.core.connections.body_memory import BodyMemory
from finchladder.core.connections.graceful_shutdown import GracefulShutdown
from finchladder.net import client_listener
from finchladder.net.control import Reply
from finchladder.net.request_handler import RequestHandler
from tests.peers import HEALTH, read_message


class StubHandler:
    """A stub that answers every request at once; no job is ever open."""

    admission = None

    def __init__(self) -> None:
        self.shutdown, self.clock, self.flows = GracefulShutdown(3.0), time.monotonic, SimpleNamespace(open=0)
        self.shutdown.keep_open_s = 0.0
        self.intake = self

    def shut_down(self) -> None:
        self.shutdown.begin(self.clock())

    async def answer(self, connection: Any, head: Any, body: bytes) -> Reply:
        return Reply(200)


@pytest.mark.parametrize("young", [True, False])
def test_an_unread_request_is_answered(young: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """This holds for any age of the connection; all are closed when the dispatcher may exit."""

    async def play() -> None:
        parts = client_listener.ClientListener(
            cast(RequestHandler, StubHandler()), BodyMemory(1 << 20, 0), 128
        )
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setblocking(False)
            parts.add_socket(listening)
            kept = [await asyncio.open_connection(*listening.getsockname()) for _ in range(2)]
            for reader, writer in kept:
                writer.write(HEALTH)
                assert (await read_message(reader)).status == 200
            used, idle = kept
            used[1].write(HEALTH)  # sent at once: it has arrived, and the event loop has not read it yet
            await parts.shut_down()
            assert all(connection.channel.stream.closed() for connection in parts.connections)
            assert (await read_message(used[0])).status == 200
            assert await used[0].read() == await idle[0].read() == b""
            parts.stop()

    monkeypatch.setattr(client_listener, "NEW_CONNECTION_S", 60.0 if young else 0.0)
    asyncio.run(asyncio.wait_for(play(), 20))
