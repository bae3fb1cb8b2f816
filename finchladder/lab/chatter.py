"""A stand-in that talks with its peers and does nothing else: links between dispatchers are tested with it.

`python -m finchladder.lab.chatter`, told by NODE_NAME, NODE_LISTEN and LAB_PEERS. Each EVERY_S it sends every
peer a numbered datagram, and a line on a kept connection. After SIGTERM it writes beside LAB_PEERS what it
heard of whom (`heard-NAME.json`): datagrams, different ones, those that came after a later one, lines, lost
connections.
"""

import asyncio
import json
import os
import signal
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any

EVERY_S = 0.02
AGAIN_S = 0.1  # until a connection that was lost is tried again
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Heard:
    def __init__(self) -> None:
        self.numbers: list[int] = []
        self.lines = self.lost = 0

    def told(self) -> dict[str, int]:
        latest, behind = -1, 0
        for n in self.numbers:
            behind += n < latest
            latest = max(latest, n)
        return {
            "datagrams": len(self.numbers),
            "different": len(set(self.numbers)),
            "behind": behind,
            "lines": self.lines,
            "lost": self.lost,
        }


class Chatter(asyncio.DatagramProtocol):
    def __init__(self, name: str, peers: dict[str, str]) -> None:
        self.name = name
        self.peers = {peer: (h, int(p)) for peer, a in peers.items() for h, _, p in [a.rpartition(":")]}
        self.by_host = {host: peer for peer, (host, _) in self.peers.items()}
        self.heard: dict[str, Heard] = defaultdict(Heard)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        said = json.loads(data)
        if self.by_host.get(source[0]) == said["from"]:
            self.heard[said["from"]].numbers.append(said["n"])

    async def edge(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A client's connection or a peer's: each line of a peer is counted, each request answered."""
        peer = self.by_host.get(writer.get_extra_info("peername")[0])
        try:
            while line := await reader.readline():
                if peer is not None:
                    self.heard[peer].lines += 1
                elif line == b"\r\n":
                    writer.write(OK)
        except OSError:
            if peer is not None:
                self.heard[peer].lost += 1
        finally:
            writer.close()

    async def talk(self, host: str, transport: asyncio.DatagramTransport) -> None:
        n = 0
        while True:
            for peer, address in self.peers.items():
                if peer != self.name:
                    transport.sendto(json.dumps({"from": self.name, "n": n}).encode(), address)
            n += 1
            await asyncio.sleep(EVERY_S)

    async def line(self, host: str, peer: str) -> None:
        while True:
            try:
                _, writer = await asyncio.open_connection(*self.peers[peer], local_addr=(host, 0))
                while not writer.is_closing():
                    writer.write(b"line\n")
                    await writer.drain()
                    await asyncio.sleep(EVERY_S)
            except OSError:
                pass
            await asyncio.sleep(AGAIN_S)


async def serve() -> None:
    name, folder = os.environ["NODE_NAME"], Path(os.environ["LAB_PEERS"]).parent
    host, _, port = os.environ["NODE_LISTEN"].rpartition(":")
    chatter = Chatter(name, json.loads(Path(os.environ["LAB_PEERS"]).read_text()))
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
    told = {peer: heard.told() for peer, heard in chatter.heard.items()}
    (folder / f"heard-{name}.json").write_text(json.dumps(told))
    server.close()
    transport.close()


if __name__ == "__main__":
    asyncio.run(serve())
    sys.exit(0)
