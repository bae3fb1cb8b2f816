"""A stand-in that talks with its peers and does nothing else: links between dispatchers are tested with it.

`python -m finchladder.lab.chatter`, told by NODE_NAME, NODE_LISTEN and LAB_PEERS. Each EVERY_S it sends every
peer a numbered datagram, and a line on a kept connection, both with the time of their sending (seconds of the
machine's monotonic clock). After SIGTERM it writes what it heard of whom beside LAB_PEERS: `heard-NAME.json`
holds a `Heard` for each sender.
"""

import asyncio
import os
import signal
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

import msgspec

EVERY_S = 0.02
AGAIN_S = 0.1  # until a connection that was lost is tried again
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Datagram(msgspec.Struct):
    """What one process sends another. `sent_at`: monotonic seconds."""

    sender: str
    number: int
    sent_at: float


class Heard(msgspec.Struct):
    """What a process received of one peer, in the order in which it came.

    Attributes:
        datagrams: All datagrams, also those that came twice.
        lines: When each line was sent, monotonic seconds.
        lost: Connections that broke.
    """

    datagrams: list[Datagram] = msgspec.field(default_factory=list)
    lines: list[float] = msgspec.field(default_factory=list)
    lost: int = 0


class Chatter(asyncio.DatagramProtocol):
    def __init__(self, name: str, peers: dict[str, str]) -> None:
        self.name = name
        self.peers = {peer: (h, int(p)) for peer, a in peers.items() for h, _, p in [a.rpartition(":")]}
        self.by_host = {host: peer for peer, (host, _) in self.peers.items()}
        self.heard: dict[str, Heard] = defaultdict(Heard)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        datagram = msgspec.json.decode(data, type=Datagram)
        if self.by_host.get(source[0]) == datagram.sender:
            self.heard[datagram.sender].datagrams.append(datagram)

    async def edge(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A client's connection or a peer's: each line of a peer is counted, each request answered."""
        peer = self.by_host.get(writer.get_extra_info("peername")[0])
        try:
            while line := await reader.readline():
                if peer is not None:
                    self.heard[peer].lines.append(float(line))
                elif line == b"\r\n":
                    writer.write(OK)
        except OSError:
            if peer is not None:
                self.heard[peer].lost += 1
        finally:
            writer.close()

    async def talk(self, host: str, transport: asyncio.DatagramTransport) -> None:
        number = 0
        while True:
            datagram = msgspec.json.encode(Datagram(self.name, number, time.monotonic()))
            for peer, address in self.peers.items():
                if peer != self.name:
                    transport.sendto(datagram, address)
            number += 1
            await asyncio.sleep(EVERY_S)

    async def line(self, host: str, peer: str) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(*self.peers[peer], local_addr=(host, 0))
                while not writer.is_closing():
                    writer.write(f"{time.monotonic()}\n".encode())
                    await writer.drain()
                    await asyncio.sleep(EVERY_S)
            except OSError:
                pass
            await asyncio.sleep(AGAIN_S)


async def serve() -> None:
    name, folder = os.environ["NODE_NAME"], Path(os.environ["LAB_PEERS"]).parent
    host, _, port = os.environ["NODE_LISTEN"].rpartition(":")
    chatter = Chatter(name, msgspec.json.decode(Path(os.environ["LAB_PEERS"]).read_bytes()))
    loop = asyncio.get_running_loop()
    over = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, over.set)
    transport, _ = await loop.create_datagram_endpoint(lambda: chatter, local_addr=(host, int(port)))
    server = await asyncio.start_server(chatter.edge, host, int(port))
    talks = [loop.create_task(chatter.talk(host, transport))]
    talks += [loop.create_task(chatter.line(host, peer)) for peer in chatter.peers if peer != name]
    await over.wait()
    for task in talks:
        task.cancel()
    (folder / f"heard-{name}.json").write_bytes(msgspec.json.encode(chatter.heard))
    server.close()
    transport.close()


if __name__ == "__main__":
    asyncio.run(serve())
    sys.exit(0)
