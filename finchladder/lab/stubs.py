"""Dispatchers that stand where the program does: a bare forwarder to measure against, and wrong ones.

`python -m finchladder.lab.stubs NAME [EVERY]`, told by NODE_LISTEN and NODE_DISCOVERY. The forwarder knows no
rule: a random ready real server, one try, no patience of its own. Each wrong one breaks one rule with every
EVERYth request, so that tests see whether the judge is blind to it.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from collections import deque
from typing import NamedTuple

MOST_HEAD = 64 * 1024  # bytes of a head; a peer that sends more is no party of a run
BACKLOG = 4096
AGAIN_S = 0.2  # until a watch that ended is begun anew
RESULTS = {"done": 200, "failed": 502, "lost": 502, "returned": 503}  # a call-back's state as an answer


class Server(NamedTuple):
    address: str
    state: str
    born: float


class Message(NamedTuple):
    start: str  # the first line
    headers: dict[str, str]
    raw: bytes  # all of it, as it came


class Peer(asyncio.Protocol):
    """Cuts what comes into messages, each with its Content-Length."""

    def __init__(self) -> None:
        self.buffer = b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            start, *lines = self.buffer[:end].decode("latin-1").split("\r\n")
            fields = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in fields}
            whole = end + 4 + int(headers.get("content-length", "0"))
            if len(self.buffer) < whole:
                return
            raw, self.buffer = self.buffer[:whole], self.buffer[whole:]
            self.message(Message(start, headers, raw))
        if len(self.buffer) > MOST_HEAD:
            self.transport.abort()

    def message(self, message: Message) -> None:
        raise NotImplementedError


class Edge(Peer):
    """A connection of a client, or of a real server that calls back."""

    def __init__(self, forwarder: "Forwarder") -> None:
        super().__init__()
        self.forwarder, self.asked = forwarder, ""

    def message(self, message: Message) -> None:
        if message.start.startswith("GET /_health"):
            self.answer(200 if self.forwarder.servers else 503)
        elif message.start.startswith("POST /v1/job-events"):
            told = json.loads(message.raw.partition(b"\r\n\r\n")[2])
            self.answer(204)
            if told["state"] in RESULTS:
                self.forwarder.ended(told["id"], RESULTS[told["state"]], told.get("result", ""))
        else:
            self.asked = message.headers["x-correlation-id"]
            self.forwarder.waiting[self.asked] = self
            self.forwarder.request(self.asked, message)

    def answer(self, status: int, body: str = "") -> None:
        head = f"HTTP/1.1 {status} Answer\r\n"
        head += "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        self.transport.write(f"{head}\r\n{body}".encode("latin-1"))

    def connection_lost(self, error: Exception | None) -> None:
        self.forwarder.waiting.pop(self.asked, None)


class Out(Peer):
    """A connection to a real server. A kept one that the server closed shows by its loss."""

    def __init__(self, forwarder: "Forwarder", name: str) -> None:
        super().__init__()
        self.forwarder, self.name, self.id = forwarder, name, ""

    def send(self, id: str, raw: bytes) -> None:
        self.id = id
        self.transport.write(raw)

    def message(self, message: Message) -> None:
        id, self.id = self.id, ""
        self.forwarder.kept.setdefault(self.name, deque()).append(self)
        if (status := int(message.start.split(" ")[1])) != 202:
            self.forwarder.ended(id, 503 if status in (503, 504) else 502)

    def connection_lost(self, error: Exception | None) -> None:
        with contextlib.suppress(KeyError, ValueError):
            self.forwarder.kept[self.name].remove(self)
        if self.id:
            self.forwarder.ended(self.id, 502)


class Forwarder:
    """No rules. Holds a connection for each job that is between its send and its 202."""

    def __init__(self, every: int = 1) -> None:
        self.every, self.count = every, 0
        self.servers: dict[str, Server] = {}
        self.waiting: dict[str, Edge] = {}
        self.kept: dict[str, deque[Out]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.rng = random.Random(1)

    def its_turn(self) -> bool:
        self.count += 1
        return self.count % self.every == 0

    def request(self, id: str, message: Message) -> None:
        self.send(id, message.raw, self.choose())

    def choose(self) -> str | None:
        ready = [name for name, s in self.servers.items() if s.state == "ready"]
        return self.rng.choice(ready) if ready else None

    def send(self, id: str, raw: bytes, name: str | None) -> None:
        if name is None:
            self.ended(id, 503)
        elif kept := self.kept.get(name):
            kept.pop().send(id, raw)
        else:
            task = asyncio.get_running_loop().create_task(self._open(id, raw, name))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _open(self, id: str, raw: bytes, name: str) -> None:
        host, _, port = self.servers[name].address.rpartition(":")
        try:
            loop = asyncio.get_running_loop()
            _, out = await loop.create_connection(lambda: Out(self, name), host, int(port))
        except OSError:
            self.ended(id, 503)
            return
        out.send(id, raw)

    def ended(self, id: str, status: int, result: str = "") -> None:
        if (edge := self.waiting.pop(id, None)) is not None:
            edge.asked = ""
            edge.answer(status, result)

    async def follow(self, address: str) -> None:
        """Discovery's watch, begun anew when it ends."""
        host, _, port = address.rpartition(":")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port), limit=64 << 20)
                writer.write(b"GET /catalog/members?stream=1&index=0 HTTP/1.1\r\nHost: discovery\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    line = await reader.readexactly(size)
                    await reader.readexactly(2)
                    if line.strip():
                        self.listed(json.loads(line))
            await asyncio.sleep(AGAIN_S)

    def listed(self, news: dict[str, object]) -> None:
        if news["snapshot"]:
            self.servers = {}
        entries = news["endpoints"]
        assert isinstance(entries, list)
        for entry in entries:
            self.servers[entry["name"]] = Server(entry["address"], entry["status"], entry["since_ms"])


class AnswersItself(Forwarder):
    def request(self, id: str, message: Message) -> None:
        if self.its_turn():
            self.ended(id, 200, "made up")
        else:
            super().request(id, message)


class AnswersTwice(Forwarder):
    def ended(self, id: str, status: int, result: str = "") -> None:
        edge = self.waiting.get(id)
        super().ended(id, status, result)
        if edge is not None and self.its_turn():
            edge.answer(status, result)


class RunsTwice(Forwarder):
    """Every job counts as one that may run again."""

    def request(self, id: str, message: Message) -> None:
        first = self.choose()
        self.send(id, message.raw, first)
        if self.its_turn():
            others = [n for n, s in self.servers.items() if s.state == "ready" and n != first]
            self.send(id, message.raw, self.rng.choice(others) if others else first)


class SendsToDrained(Forwarder):
    def choose(self) -> str | None:
        there = [name for name, s in self.servers.items() if s.state != "gone"]
        return self.rng.choice(there) if there else None


class Loses(Forwarder):
    def request(self, id: str, message: Message) -> None:
        if not self.its_turn():
            super().request(id, message)


class FloodsCold(Forwarder):
    def choose(self) -> str | None:
        """The youngest, if any has started in this run."""
        born = {name: s.born for name, s in self.servers.items() if s.state == "ready" and s.born}
        return max(born, key=lambda name: born[name]) if born else super().choose()


STUBS: dict[str, type[Forwarder]] = {
    "forwards": Forwarder,
    "answers_itself": AnswersItself,
    "answers_twice": AnswersTwice,
    "runs_twice": RunsTwice,
    "sends_to_drained": SendsToDrained,
    "loses": Loses,
    "floods_cold": FloodsCold,
}


async def serve(forwarder: Forwarder, listen: str, discovery: str) -> None:
    loop = asyncio.get_running_loop()
    left = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, left.set)
    host, _, port = listen.rpartition(":")
    await loop.create_server(lambda: Edge(forwarder), host, int(port), backlog=BACKLOG, reuse_address=True)
    watch = loop.create_task(forwarder.follow(discovery))
    await left.wait()
    watch.cancel()


def main() -> int:
    if not 2 <= len(sys.argv) <= 3 or sys.argv[1] not in STUBS:
        print(f"usage: python -m finchladder.lab.stubs {'|'.join(STUBS)} [EVERY]", file=sys.stderr)
        return 2
    every = int(sys.argv[2]) if len(sys.argv) == 3 else 1
    asyncio.run(serve(STUBS[sys.argv[1]](every), os.environ["NODE_LISTEN"], os.environ["NODE_DISCOVERY"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
