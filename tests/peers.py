"""Counterparts of a dispatcher on real sockets: workers, discovery and clients, controlled by the tests."""

import asyncio
import itertools
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

from tests.test_benchlink import FACTS

ROOT = Path(__file__).resolve().parent.parent
SETTINGS: dict[str, Any] = FACTS | {
    "registryMode": "push",
    "accounts": [],
    "caps": FACTS["caps"] | {"connIdleS": 30.0, "connectTimeoutS": 0.3, "peers": False},  # type: ignore[operator]
    "familyInfo": {"classKind": [-1, -1], "tellsStart": True, "progressS": 1.0},
}
ACCEPT = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"
Behaviour = Callable[["RealServer", "Message", asyncio.StreamWriter], Awaitable[None]]


class Message:
    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        return int(self.start.split()[1])

    @property
    def id(self) -> str:
        return self.headers["x-correlation-id"]


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.strip().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


async def exchange(port: int, data: bytes, pieces: int = 1, client: str = "127.0.0.1") -> Message:
    """Sends one message to the dispatcher on a new connection, in `pieces` writes, and returns the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(client, 0))
    size = -(-len(data) // pieces)
    for at in range(0, len(data), size):
        writer.write(data[at : at + size])
        await writer.drain()
        await asyncio.sleep(0.005 if pieces > 1 else 0)
    try:
        return await asyncio.wait_for(read_message(reader), 20)
    finally:
        writer.close()


def request(
    id: str = "1",
    path: str = "/s/k1",
    left: str = "4",
    body: bytes = b"",
    more: str = "",
    method: str = "POST",
) -> bytes:
    head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {left}\r\n{more}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def serve(server: "RealServer", message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="started")
    await server.call_back(message.id, state="done", result=f"{server.name} ran {message.id}")


async def accept_only(server: "RealServer", message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)


class Listener:
    port = 0

    async def open(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self.handle(await read_message(reader), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class RealServer(Listener):
    def __init__(self, name: str, behaviour: Behaviour = serve) -> None:
        self.name, self.behaviour, self.node = name, behaviour, 0
        self.got: list[Message] = []
        self.deleted: list[str] = []

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start.startswith("DELETE"):
            self.deleted.append(message.start.split()[1])
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        self.got.append(message)
        await self.behaviour(self, message, writer)

    async def call_back(self, id: str, **what: object) -> int:
        body = json.dumps({"id": id, "from": self.name} | what).encode()
        head = f"POST /v1/job-events HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n"
        return (await exchange(self.node, head.encode() + body)).status

    def entry(self, status: str = "ready", **more: object) -> dict[str, object]:
        address = f"127.0.0.1:{self.port}"
        return {"name": self.name, "address": address, "zone": "a", "type": "std", "status": status} | more


class Discovery(Listener):
    """Answers every watch with the line `first`, then sends only the lines that the test pushes."""

    def __init__(self) -> None:
        self.first = b""
        self.asked: list[str] = []
        self.watches: list[asyncio.StreamWriter] = []

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self.asked.append(message.start.split()[1])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(writer)
        if self.first:
            self.push(self.first)

    def push(self, line: bytes, size: int = 7) -> None:
        """Sends a line in chunks of `size` bytes."""
        for at in range(0, len(line) + 1, size):
            piece = (line + b"\n")[at : at + size]
            self.watches[-1].write(b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b"")


def list_line(index: int, entries: list[dict[str, object]], snapshot: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": entries}).encode()


_ports = itertools.cycle(range(10_000, 30_000))
for _ in range(os.getpid() * 97 % 20_000):
    next(_ports)


def free_port() -> int:
    """Returns a port for a process that will listen on it.

    It is below the range from which the system takes ports for connections, and the search starts at a
    position derived from the process id: otherwise a test that runs at the same time might get the port
    before it is listened on.
    """
    for port in _ports:
        with socket.socket() as s, suppress(OSError):
            s.bind(("127.0.0.1", port))
            return port
    raise AssertionError("unreachable")


class Node:
    def __init__(
        self, port: int, process: asyncio.subprocess.Process, discovery: Discovery, config: Path
    ) -> None:
        self.port, self.process, self.discovery, self.config = port, process, discovery, config

    async def ask(self, *args: Any, **more: Any) -> Message:
        return await exchange(self.port, request(*args, **more))

    async def list(self, *entries: dict[str, object], index: int = 9) -> None:
        """Returns once the list is in use: an invalid line ends the watch; the next one names its index."""
        self.discovery.push(list_line(index, [*entries]))
        self.discovery.push(b"}")
        while not self.discovery.asked[-1].endswith(f"index={index}"):
            await asyncio.sleep(0.02)


@asynccontextmanager
async def node(
    tmp_path: Path, *servers: RealServer, ini: str = "", args: tuple[str, ...] = (), **more: object
) -> AsyncIterator[Node]:
    """Runs the program as deployed, with these workers in its initial list."""
    discovery, port = Discovery(), free_port()
    for listener in (discovery, *servers):
        await listener.open()
    for s in servers:
        s.node = port
    known = json.loads(list_line(1, [s.entry() for s in servers], True))
    config = tmp_path / "config.json"
    config.write_text(json.dumps({"seed": "5", "known": known, "settings": SETTINGS} | more))
    env = os.environ | {
        "NODE_NAME": "n1",
        "NODE_LISTEN": f"127.0.0.1:{port}",
        "NODE_DISCOVERY": f"127.0.0.1:{discovery.port}",
        "NODE_CONFIG": str(config),
    }
    with (tmp_path / "log").open("wb") as log:
        command = [sys.executable, "-m", "finchladder", *args]
        if ini:
            (tmp_path / "operator.ini").write_text(ini)
            command += ["--config", str(tmp_path / "operator.ini")]
        process = await asyncio.create_subprocess_exec(*command, env=env, cwd=ROOT, stderr=log)
    try:
        while True:
            try:
                if (await exchange(port, HEALTH)).status == (200 if servers else 503):
                    break
            except OSError:
                pass
            await asyncio.sleep(0.05)
        while not discovery.watches:
            await asyncio.sleep(0.02)
        yield Node(port, process, discovery, config)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, float(os.environ.get("T60", "60"))))
