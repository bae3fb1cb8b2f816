"""Races between two events, on real sockets: the order is forced by an event, never by a sleep.

docs/design/crossings.md lists the pairs. A process that is stopped by SIGSTOP reads nothing. A test can thus
make two events appear simultaneous to it, in an order of the test's choice.
"""

import asyncio
import json
import signal
import socket
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from finchladder.core.connections.body_memory import BodyMemory
from finchladder.core.connections.graceful_shutdown import GracefulShutdown
from finchladder.net import client_connection, client_listener
from finchladder.net.control import Reply
from finchladder.net.request_handler import RequestHandler
from tests.peers import (
    ACCEPT,
    HEALTH,
    SETTINGS,
    Message,
    Node,
    RealServer,
    accept_only,
    exchange,
    list_line,
    node,
    read_message,
    request,
    run,
)

SERVICES: list[dict[str, Any]] = SETTINGS["services"]
CAPS: dict[str, Any] = SETTINGS["caps"]


async def started(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="started")


async def until(met: Callable[[], object]) -> None:
    while not met():
        await asyncio.sleep(0.005)


async def opened(n: Node) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", n.port)


def stop(n: Node) -> None:
    """Stops the process, and returns once it is stopped and reads nothing more."""
    n.process.send_signal(signal.SIGSTOP)
    status = Path(f"/proc/{n.process.pid}/stat")
    while status.read_text().rpartition(")")[2].split()[0] != "T":
        pass


def send_and_disconnect(n: Node, data: bytes, how: str = "close") -> socket.socket:
    """Sends and disconnects; when this returns, the kernel has the data and the disconnect."""
    connection = socket.create_connection(("127.0.0.1", n.port))
    connection.sendall(data)
    if how == "close":
        connection.close()
    elif how == "half":
        connection.shutdown(socket.SHUT_WR)
    else:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        connection.close()
    return connection


# --- clients that disconnect


@pytest.mark.parametrize("how", ["close", "half", "reset"])
@pytest.mark.parametrize("many", [1, 30])
def test_a_client_that_left_before_its_request_was_read_gets_no_attempt(
    tmp_path: Path, how: str, many: int
) -> None:
    async def play() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server) as n:
            assert (await n.ask("warm")).status == 200  # opens the connection to the worker
            stop(n)
            for i in range(many):
                send_and_disconnect(n, request(f"gone{i}", f"/s/k{i}"), how)
            n.process.send_signal(signal.SIGCONT)
            for i in range(3):
                assert (await n.ask(f"a{i}")).status == 200
            assert [m.id for m in server.got] == ["warm", "a0", "a1", "a2"]

    run(play())


@pytest.mark.parametrize("behind", [b"POST /s/k HTT", request("behind")])
def test_a_client_that_closes_with_bytes_behind_its_request_has_gone(tmp_path: Path, behind: bytes) -> None:
    """Its job is cancelled although the data before the disconnect was not read, and that data never runs.

    The job is UNSAFE and has a long deadline, so that only the client's disconnect cancels it.
    """

    async def play() -> None:
        server = RealServer("w1", started)
        async with node(tmp_path, server) as n:
            _, writer = await opened(n)
            writer.write(request("a1", "/u/k1", left="300"))
            await until(lambda: server.got)
            writer.write(behind)
            await writer.drain()
            writer.close()
            await until(lambda: server.deleted)
            assert server.deleted == ["/jobs/a1"]
            server.behaviour = accept_and_do
            assert (await n.ask("a2")).status == 200
            assert [m.id for m in server.got] == ["a1", "a2"]

    run(play())


async def accept_and_do(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="started")
    await server.call_back(message.id, state="done", result="ok")


def test_a_whole_request_behind_an_open_one_is_answered_after_it(tmp_path: Path) -> None:
    """The client stays connected: the request is read and runs once the first is answered."""

    async def play() -> None:
        server = RealServer("w1", started)
        async with node(tmp_path, server) as n:
            reader, writer = await opened(n)
            writer.write(request("a1"))
            await until(lambda: server.got)
            writer.write(request("a2"))
            assert (await exchange(n.port, HEALTH)).status == 200  # the second request has arrived by now
            assert [m.id for m in server.got] == ["a1"]
            server.behaviour = accept_and_do
            assert await server.call_back("a1", state="done", result="one") == 204
            assert (await read_message(reader)).body == b"one"
            assert (await read_message(reader)).body == b"ok"

    run(play())


def test_who_floods_behind_an_open_request_is_closed_and_its_job_given_up(tmp_path: Path) -> None:
    async def play() -> None:
        server = RealServer("w1", started)
        async with node(tmp_path, server) as n:
            reader, writer = await opened(n)
            writer.write(request("a1", "/u/k1", left="300"))
            await until(lambda: server.got)
            writer.write(b"x" * (2 * client_connection.MAX_READ_AHEAD))
            await until(lambda: server.deleted)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)

    run(play())


class FullListenQueue:
    """A worker whose listen queue is full: connections are neither established nor refused."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(0)
        self.fill = []
        for _ in range(3):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(self.listening.getsockname())
            self.fill.append(connection)

    def entry(self) -> dict[str, object]:
        host, port = self.listening.getsockname()
        return {"name": self.name, "address": f"{host}:{port}", "status": "ready"}

    def close(self) -> None:
        for connection in (*self.fill, self.listening):
            connection.close()


def test_a_client_that_closes_while_its_job_waits_for_a_connection_gets_no_further_attempt(
    tmp_path: Path,
) -> None:
    """The open attempt ends as unreachable; another worker is ready by then."""

    async def play() -> None:
        mute, other = FullListenQueue("w1"), RealServer("w2")
        await other.open()
        async with node(tmp_path, RealServer("w0")) as n:
            other.node = n.port
            await n.list({"name": "w0", "address": "127.0.0.1:9", "status": "gone"}, mute.entry())
            _, writer = await opened(n)
            writer.write(request("a1"))
            assert (await exchange(n.port, HEALTH)).status == 200  # by now the connection is being opened
            writer.close()
            await n.list(other.entry(), index=10)
            await n.list(mute.entry() | {"status": "gone"}, index=11)
            assert (await n.ask("a2")).status == 200
            assert [m.id for m in other.got] == ["a2"]
        mute.close()

    run(play())


def test_a_client_that_closes_while_no_real_server_is_there_gets_none_that_comes(tmp_path: Path) -> None:
    async def play() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server) as n:
            await n.list(server.entry("draining"))
            _, writer = await opened(n)
            writer.write(request("a1"))
            assert (await exchange(n.port, HEALTH)).status == 200
            writer.close()
            assert (await exchange(n.port, HEALTH)).status == 200  # sent after the disconnect
            await n.list(server.entry(), index=10)
            assert (await n.ask("a2")).status == 200
            assert [m.id for m in server.got] == ["a2"]

    run(play())


def test_what_a_real_server_hands_back_after_its_client_has_left_goes_to_no_other(tmp_path: Path) -> None:
    """The end of the first attempt and the client's disconnect are read at the same moment."""

    async def play() -> None:
        servers = [RealServer("w1", accept_only), RealServer("w2", accept_only)]
        async with node(tmp_path, *servers) as n:
            _, writer = await opened(n)
            writer.write(request("a1"))
            await until(lambda: servers[0].got or servers[1].got)
            first, other = servers if servers[0].got else servers[::-1]
            stop(n)
            body = json.dumps({"id": "a1", "from": first.name, "state": "returned"}).encode()
            writer.transport.abort()  # the disconnect arrives before the callback
            await asyncio.sleep(0)
            call = socket.create_connection(("127.0.0.1", n.port))
            call.sendall(b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            n.process.send_signal(signal.SIGCONT)
            other.behaviour = accept_and_do
            assert (await n.ask("a2", "/u/k2")).status in (200, 502)
            assert not any(m.id == "a1" for m in other.got)
            call.close()

    run(play())


# --- attempts at workers


NO_HEDGES: dict[str, Any] = {"settings": SETTINGS | {"caps": CAPS | {"secondCopies": False, "cancel": True}}}
TIMED = """
[route.timed]
match = { path = "/s" }
attempt_timeout_s = 0.5
"""


class RecordingWorker(RealServer):
    """Records its requests in `order`; with `shuts`, it accepts no new connection after its first job."""

    def __init__(self, name: str, order: list[str], shuts: bool) -> None:
        super().__init__(name, self.takes)
        self.order, self.shuts = order, shuts

    async def takes(self, server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
        if self.order[:-1]:
            return await accept_and_do(server, message, writer)
        writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        if self.shuts:
            self.server.close()

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self.order.append(f"{message.start.split()[0]} {self.name}")
        await super().handle(message, writer)


@pytest.mark.parametrize("reached", [True, False])
def test_where_copies_are_not_allowed_the_next_attempt_waits_until_the_first_is_given_up(
    tmp_path: Path, reached: bool
) -> None:
    """The attempt timed out. If its DELETE cannot be written, the job may still run at the first worker."""
    order: list[str] = []

    async def play() -> None:
        servers = [RecordingWorker(name, order, not reached) for name in ("w1", "w2")]
        file = tmp_path / "operator.toml"
        file.write_text(TIMED)
        async with node(tmp_path, *servers, args=("--config", str(file)), **NO_HEDGES) as n:
            answer = await n.ask("a1", "/s/k1", left="3")
            first, other = servers if servers[0].got else servers[::-1]
            if reached:
                assert answer.body == b"ok"
                assert order == [f"POST {first.name}", f"DELETE {first.name}", f"POST {other.name}"]
            else:
                assert answer.status in (502, 503)
                assert order == [f"POST {first.name}"]

    run(play())


def keyed(window: float, connect_within: float) -> dict[str, Any]:
    services = [s | {"idempotency": "dedup", "group": "all", "windowS": window} for s in SERVICES]
    caps = CAPS | {"connectTimeoutS": connect_within}
    return {"settings": SETTINGS | {"services": services, "caps": caps}}


class SlowConnectWorker(RealServer):
    """A worker whose connections are established only after `release`; until then its host is silent."""

    def hold(self) -> None:
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(0)
        self.port = self.listening.getsockname()[1]
        self.fill = [socket.create_connection(("127.0.0.1", self.port))]
        for _ in range(2):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex(("127.0.0.1", self.port))
            self.fill.append(connection)

    async def release(self) -> None:
        for connection in self.fill:
            connection.close()
        self.listening.setblocking(False)
        self.server = await asyncio.start_server(self._connected, sock=self.listening)


@pytest.mark.parametrize(("window", "runs"), [(0.8, False), (30.0, True)])
def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent(
    tmp_path: Path, window: float, runs: bool
) -> None:
    async def lose(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
        begun.append(time.monotonic())
        writer.write(ACCEPT)
        await server.call_back(message.id, state="lost")

    begun: list[float] = []

    async def play() -> None:
        first, late = RealServer("w1", lose), SlowConnectWorker("w2", accept_and_do)
        async with node(tmp_path, first, **keyed(window, 8.0)) as n:
            late.hold()
            late.node = n.port
            asked = asyncio.create_task(n.ask("a1", "/s/k1", left="9"))
            await until(lambda: begun)
            await n.list(late.entry())
            await until(lambda: time.monotonic() > begun[0] + 1.0)  # after 0.8 s, before 30 s
            await late.release()
            answer = await asked
            assert (answer.status == 200, [m.id for m in late.got]) == (runs, ["a1"] * runs)

    run(play())


@pytest.mark.parametrize("status", ["draining", "gone"])
def test_a_drain_told_while_a_connection_comes_up_holds(tmp_path: Path, status: str) -> None:
    async def play() -> None:
        first, late = RealServer("w1"), SlowConnectWorker("w2", accept_and_do)
        async with node(tmp_path, first, **keyed(5.0, 8.0)) as n:
            late.hold()
            late.node = n.port
            await n.list(first.entry("draining"), late.entry())
            asked = asyncio.create_task(n.ask("a1", "/s/k1", left="9"))
            assert (await exchange(n.port, HEALTH)).status == 200  # by now the connection is being opened
            await n.list(first.entry(), late.entry(status), index=10)
            await late.release()
            assert (await asked).body == b"w1 ran a1"
            assert not late.got

    run(play())


def test_a_connection_that_comes_up_after_the_attempt_was_given_up_carries_the_next_one(
    tmp_path: Path,
) -> None:
    async def play() -> None:
        first, late = RealServer("w1"), SlowConnectWorker("w2", accept_and_do)
        async with node(tmp_path, first, **keyed(5.0, 8.0)) as n:
            late.hold()
            late.node = n.port
            await n.list(first.entry("gone"), late.entry())
            _, writer = await opened(n)
            writer.write(request("a1", "/s/k1", left="9"))
            assert (await exchange(n.port, HEALTH)).status == 200
            writer.close()
            assert (await exchange(n.port, HEALTH)).status == 200
            await late.release()
            assert (await n.ask("a2", "/s/k1")).body == b"ok"
            assert [m.id for m in late.got] == ["a2"]

    run(play())


MALFORMED_CALLBACKS = [
    b'{"id":"a1","from":"w1","state":"do',  # truncated, on a connection that stays open
    b'{"id":"a1","from":"w1","state":"done","result":"' + b"x" * 70000,  # too long, never complete
    b'{"id":"a1","from":"w9","state":"done","result":"other"}',  # from a worker without an attempt
    b'{"id":"zz","from":"w1","state":"done","result":"other"}',  # for an unknown job
]


@pytest.mark.parametrize("body", MALFORMED_CALLBACKS)
def test_a_spoilt_call_back_ends_no_job(tmp_path: Path, body: bytes) -> None:
    async def play() -> None:
        server = RealServer("w1", started)
        async with node(tmp_path, server) as n:
            asked = asyncio.create_task(n.ask("a1"))
            await until(lambda: server.got)
            _, writer = await opened(n)
            length = len(body) if body.endswith(b"}") else len(body) + 100
            writer.write(b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % length + body)
            await writer.drain()
            assert await server.call_back("a1", state="done", result="mine") == 204
            assert (await asked).body == b"mine"
            for state in ("done", "failed"):  # duplicate and late reports
                assert await server.call_back("a1", state=state, result="late") == 204
            assert (await n.ask("a1")).status == 400  # the id is not run again

    run(play())


@pytest.mark.parametrize("answer", [b"HTTP/1.1 202 Acc", ACCEPT.replace(b": 0", b": 9"), ACCEPT[:-2]])
def test_an_answer_of_a_real_server_that_never_ends_holds_up_nobody(tmp_path: Path, answer: bytes) -> None:
    async def play() -> None:
        async def half(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
            writer.write(answer)
            await server.call_back(message.id, state="done", result="ok")

        server = RealServer("w1", half)
        async with node(tmp_path, server) as n:
            for i in range(3):
                assert (await n.ask(f"a{i}")).body == b"ok"

    run(play())


# --- SIGTERM


def short(deadline: float) -> dict[str, Any]:
    services = [s | {"giveUpS": deadline, "onTimeS": 0.2} for s in SERVICES]
    return {"settings": SETTINGS | {"services": services}}


@pytest.mark.parametrize("deadline", [0.5, 1.0])
def test_where_deadlines_are_short_no_connection_stays_until_sigkill_may_come(
    tmp_path: Path, deadline: float
) -> None:
    """The client sends requests for as long as its connection stays open."""

    async def play() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server, **short(deadline)) as n:
            reader, writer = await opened(n)
            n.process.send_signal(signal.SIGTERM)
            told, answers = time.monotonic(), 0
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                while True:
                    writer.write(request(f"a{answers}", left=str(deadline)))
                    assert (await read_message(reader)).status == 200
                    answers += 1
            assert answers
            assert time.monotonic() - told < deadline + 0.7
            writer.close()
            assert await n.process.wait() == 0

    run(play())


def test_a_second_sigterm_and_a_sighup_while_it_leaves_change_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        server = RealServer("w1", started)
        async with node(tmp_path, server) as n:
            reader, writer = await opened(n)
            writer.write(request("a1", "/u/k1", left="20"))
            await until(lambda: server.got)
            for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                n.process.send_signal(number)
                # 503: the shutdown has begun, so the signal was handled
                while (await exchange(n.port, HEALTH)).status != 503:
                    pass
            assert await server.call_back("a1", state="done", result="one") == 204
            assert (await read_message(reader)).body == b"one"
            writer.close()
            assert await n.process.wait() == 0

    run(play())


def test_a_request_half_read_at_sigterm_is_read_on_and_answered(tmp_path: Path) -> None:
    async def play() -> None:
        async with node(tmp_path, RealServer("w1")) as n:
            data = request("a1", body=b"x" * 500)
            reader, writer = await opened(n)
            writer.write(data[:200])
            await writer.drain()
            stop(n)
            n.process.send_signal(signal.SIGTERM)
            writer.write(data[200:])
            await writer.drain()
            n.process.send_signal(signal.SIGCONT)
            assert (await read_message(reader)).body == b"w1 ran a1"
            writer.close()
            assert await n.process.wait() == 0

    run(play())


def test_what_waits_to_be_accepted_at_sigterm_is_answered(tmp_path: Path) -> None:
    async def play() -> None:
        async with node(tmp_path, RealServer("w1")) as n:
            stop(n)
            n.process.send_signal(signal.SIGTERM)
            connections = [socket.create_connection(("127.0.0.1", n.port)) for _ in range(5)]
            for i, connection in enumerate(connections):
                connection.sendall(request(f"a{i}"))
            n.process.send_signal(signal.SIGCONT)
            for i, connection in enumerate(connections):
                connection.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=connection)
                assert (await read_message(reader)).body == b"w1 ran a%d" % i
                writer.close()
            assert await n.process.wait() == 0

    run(play())


def test_a_retry_that_is_due_after_sigterm_is_sent(tmp_path: Path) -> None:
    async def play() -> None:
        servers = [RealServer("w1", accept_only), RealServer("w2", accept_only)]
        async with node(tmp_path, *servers) as n:
            reader, writer = await opened(n)
            writer.write(request("a1", "/u/k1", left="9"))
            await until(lambda: servers[0].got or servers[1].got)
            first, other = servers if servers[0].got else servers[::-1]
            other.behaviour = accept_and_do
            n.process.send_signal(signal.SIGTERM)
            while (await exchange(n.port, HEALTH)).status != 503:
                pass
            assert await first.call_back("a1", state="returned") == 204
            answer = await read_message(reader)
            assert (answer.body, len(other.got)) == (b"ok", 1)
            writer.close()
            assert await n.process.wait() == 0

    run(play())


class StubHandler:
    """A stub that answers every request at once; `then` is called before each answer."""

    admission = None

    def __init__(self, then: Callable[[], object] = lambda: None) -> None:
        self.shutdown, self.clock, self.then = GracefulShutdown(3.0), time.monotonic, then
        self.shutdown.keep_open_s = 0.0
        self.flows: Any = SimpleNamespace(open=0)
        self.intake = self

    def shut_down(self) -> None:
        self.shutdown.begin(self.clock())

    async def answer(self, connection: Any, head: Any, body: bytes) -> Reply:
        self.then()
        return Reply(200, b"x" * 1000)


def listener() -> socket.socket:
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)
    return listening


def test_the_last_answer_is_not_overtaken_by_a_reset() -> None:
    """The client has sent more data, which is unread when the connection is closed."""

    async def play() -> None:
        listening = listener()
        parts = client_listener.ClientListener(
            cast(RequestHandler, StubHandler(lambda: raw.sendall(HEALTH))), BodyMemory(1 << 20, 0), 128
        )
        parts.add_socket(listening)
        raw = socket.create_connection(listening.getsockname())
        raw.sendall(HEALTH.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        loop = asyncio.get_running_loop()
        got = await loop.run_in_executor(None, lambda: b"".join(iter(lambda: raw.recv(4096), b"")))
        assert got.count(b"HTTP/1.1 200") == 1
        assert got.endswith(b"x" * 1000)
        raw.close()
        parts.stop()
        listening.close()

    asyncio.run(asyncio.wait_for(play(), 20))


def test_an_answer_half_written_as_a_dispatcher_leaves_is_written_to_its_end() -> None:
    """The answer exceeds all buffers; the client reads its start before the shutdown, and then the rest."""
    size = 16 * 1024 * 1024

    class Large(StubHandler):
        async def answer(self, connection: Any, head: Any, body: bytes) -> Reply:
            return Reply(200, b"x" * size)

    async def play() -> None:
        listening, desk = listener(), Large()
        parts = client_listener.ClientListener(cast(RequestHandler, desk), BodyMemory(1 << 20, 0), 128)
        parts.add_socket(listening)
        reader, writer = await asyncio.open_connection(*listening.getsockname(), limit=4096)
        writer.write(HEALTH)
        assert await reader.readexactly(12) == b"HTTP/1.1 200"
        left = asyncio.create_task(parts.shut_down())
        await until(lambda: desk.shutdown.has_begun)
        await asyncio.sleep(0)
        assert not left.done()
        await reader.readuntil(b"\r\n\r\n")
        assert len(await reader.readexactly(size)) == size
        writer.close()
        await left

    asyncio.run(asyncio.wait_for(play(), 20))


def test_who_connects_in_the_last_moment_is_answered_and_who_comes_later_refused() -> None:
    raw: list[socket.socket] = []

    class Open:
        """Connects a client when the number of open jobs is read, just before the dispatcher may exit."""

        @property
        def open(self) -> int:
            if not raw:
                raw.append(socket.create_connection(address))
                raw[0].sendall(HEALTH)
            return 0

    async def play() -> None:
        desk = StubHandler()
        desk.flows = Open()
        parts = client_listener.ClientListener(cast(RequestHandler, desk), BodyMemory(1 << 20, 0), 128)
        parts.add_socket(listening)
        await parts.shut_down()
        reader, writer = await asyncio.open_connection(sock=raw[0])
        assert (await read_message(reader)).status == 200
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)

    listening = listener()
    address = listening.getsockname()
    asyncio.run(asyncio.wait_for(play(), 20))


# --- descriptors


def test_a_crowd_that_connects_in_one_moment_has_no_request_among_it_closed_unread() -> None:
    """More clients than the table holds connect before the first accept; only the last sends a request."""

    async def play() -> None:
        listening = listener()
        parts = client_listener.ClientListener(
            cast(RequestHandler, StubHandler()), BodyMemory(1 << 20, 0), 128
        )
        crowd = [
            socket.create_connection(listening.getsockname())
            for _ in range(parts.connections.max_connections + 20)
        ]
        raw = socket.create_connection(listening.getsockname())
        raw.sendall(HEALTH)
        parts.add_socket(listening)
        reader, writer = await asyncio.open_connection(sock=raw)
        assert (await read_message(reader)).status == 200
        writer.close()
        parts.stop()
        for connection in (*crowd, listening):
            connection.close()

    asyncio.run(asyncio.wait_for(play(), 20))


def test_idle_clients_that_take_all_descriptors_stop_nothing_that_is_under_way(tmp_path: Path) -> None:
    """While discovery is down, callbacks, the reopened watch, retries and answers continue to work."""

    async def play() -> None:
        servers = [RealServer("w1", started), RealServer("w2", started)]
        async with node(tmp_path, *servers, limits={"sockets": 128, "memory_mb": 32}) as n:
            asked = [asyncio.create_task(n.ask(f"a{i}", f"/u/k{i}", left="9")) for i in range(6)]
            await until(lambda: len(servers[0].got) + len(servers[1].got) == 6)
            n.discovery.server.close()
            n.discovery.watches[-1].transport.abort()
            idle = [socket.create_connection(("127.0.0.1", n.port)) for _ in range(300)]
            for s in servers:
                for m in list(s.got):
                    assert await s.call_back(m.id, state="done", result=m.id) == 204
            assert [(await task).status for task in asked] == [200] * 6
            server = RealServer("w3")
            await server.open()
            server.node = n.port
            n.discovery.first = list_line(9, [server.entry()], True)
            before = len(n.discovery.asked)
            await n.discovery.open(n.discovery.port)
            await until(lambda: len(n.discovery.asked) > before)
            n.discovery.push(b"}")  # the next watch has the index of the current list
            await until(lambda: n.discovery.asked[-1].endswith("index=9"))
            assert (await n.ask("b1", "/s/k")).body == b"w3 ran b1"
            for connection in idle:
                connection.close()

    run(play())
