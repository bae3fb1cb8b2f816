"""The links between dispatchers, UDP and TCP: one address stands for each dispatcher at all the others.

A dispatcher n1 has a peer's socket at its own address (the host and port that it listens at), sends to the
address that stands for n2, and is seen by n2 as coming from the address that stands for n1. Who sends is told
by the source's host alone, so a peer's sockets must be bound to its own host, also those that connect. What
comes from elsewhere is dropped. What becomes of the rest says models/mesh.py. Bounds: MOST_LATE datagrams on
their way, and MOST_HELD bytes on one way of a connection, beyond which its source is not read.
"""

import asyncio
import socket
import time
from typing import Any, cast

import msgspec

from finchladder.lab.control import Order
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.drivers.sockets import Alarm, Listener, reset, split
from finchladder.lab.experiment import Fault
from finchladder.lab.models.mesh import Mesh, Trouble
from finchladder.lab.records import Struck

MOST_LATE = 100_000
MOST_DATAGRAM = 65_507
MOST_HELD = 256 * 1024
EACH_HOST = 200  # addresses of a block of 256


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, peers: "Peers", receiver: str) -> None:
        self.peers, self.receiver = peers, receiver
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: tuple[str | Any, int]) -> None:
        self.peers.datagram(source[0], self.receiver, data)

    def error_received(self, error: Exception) -> None:
        """A receiver that is down: the next datagram may find it up."""


class _End(asyncio.Protocol):
    """One end of a connection between two dispatchers; `way` is what it reads, towards the other end."""

    def __init__(self, link: "_Link", sender: str) -> None:
        self.link, self.sender = link, sender
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None  # until it is known who has connected
        self.waits: list[tuple[float, bytes]] = []  # what it has read and the other end was not given yet
        self.size = 0
        self.last = 0.0
        self.ended = False

    @property
    def receiver(self) -> str:
        return self.other.sender if self.other is not None else ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self is self.link.near:
            self.link.accepted()

    def data_received(self, data: bytes) -> None:
        latency = self.link.peers.mesh.stream(self.sender, self.receiver)
        self.last = max(self.last, time.monotonic() + (latency or 0.0))
        self.waits.append((self.last, data))
        self.size += len(data)
        if self.size > MOST_HELD and self.transport is not None:
            self.transport.pause_reading()
        self.link.peers.alarm.at(self.last, lambda _: self.pump())

    def pump(self) -> None:
        """Passes on what is due, unless the way stands still."""
        other = self.other.transport if self.other is not None else None
        if other is None or self.link.peers.mesh.stream(self.sender, self.receiver) is None:
            return
        now = time.monotonic() + 0.001
        while self.waits and self.waits[0][0] <= now:
            _, data = self.waits.pop(0)
            self.size -= len(data)
            other.write(data)
        if self.size <= MOST_HELD and self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.ended and not self.waits:
            other.close()

    def eof_received(self) -> bool:
        self.ended = True
        self.pump()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if error is not None:
            self.link.reset()
        else:
            self.ended = True
            self.pump()  # what waits in a stall goes on after it, though its source has left
        if self.other is None or (self.other.transport is None and self.transport is None):
            self.link.peers.links.discard(self.link)


class _Link:
    """A connection from one dispatcher to another."""

    def __init__(self, peers: "Peers", receiver: str) -> None:
        self.peers, self.receiver = peers, receiver
        self.near, self.far = _End(self, ""), _End(self, receiver)

    def accepted(self) -> None:
        assert self.near.transport is not None
        host = self.near.transport.get_extra_info("peername")[0]
        sender = self.peers.by_host.get(host)
        if sender is None or self.peers.mesh.cut(sender, self.receiver):
            reset(self.near.transport)
            return
        self.near.sender = sender
        self.near.other, self.far.other = self.far, self.near
        self.peers.links.add(self)
        self.near.transport.pause_reading()
        self.peers.process.spawn(self._connect(sender))

    async def _connect(self, sender: str) -> None:
        host, port = split(self.peers.own[self.receiver])
        try:
            await self.peers.process.loop.create_connection(
                lambda: self.far, host, port, local_addr=(self.peers.host_of[sender], 0)
            )
        except OSError:
            self.reset()
            return
        if self.near.transport is not None:
            self.near.transport.resume_reading()
        self.near.pump()

    def reset(self) -> None:
        for end in (self.near, self.far):
            reset(end.transport)
        self.peers.links.discard(self)


class Peers(Role):
    """Orders: `fault` for the kinds that lie on links between dispatchers."""

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        self.own = dict(process.plan.dispatchers)
        self.by_host = {split(address)[0]: name for name, address in self.own.items()}
        self.mesh = Mesh(self.own, process.rng)
        self.alarm = Alarm(process.loop)
        self.host_of: dict[str, str] = {}
        self.listeners: list[Listener] = []
        self.sockets: dict[str, _Datagrams] = {}
        self.links: set[_Link] = set()
        self.troubles: dict[bytes, Trouble] = {}
        self.late = self.strange = 0

    async def open(self) -> dict[str, str]:
        """{dispatcher: the address that stands for it, UDP and TCP}. OSError: one is taken."""
        opened = {}
        a, b, c, _ = self.process.plan.host.split(".")
        for n, name in enumerate(self.own):
            host = f"{a}.{b}.{int(c) + 1 + n // EACH_HOST}.{1 + n % EACH_HOST}"
            listener = Listener(self.process.loop, host, lambda name=name: _Link(self, name).near)  # type: ignore[misc]
            listener.open()
            self.listeners.append(listener)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            udp.bind((host, listener.port))
            _, protocol = await self.process.loop.create_datagram_endpoint(
                lambda name=name: _Datagrams(self, name),  # type: ignore[misc]
                sock=udp,
            )
            self.sockets[name], self.host_of[name] = protocol, host
            opened[name] = listener.address
        return opened

    def datagram(self, host: str, receiver: str, data: bytes) -> None:
        sender = self.by_host.get(host)
        if sender is None:
            self.strange += 1
            return
        self.process.count()
        now = time.monotonic()
        for after in self.mesh.datagram(sender, receiver):
            if after < 0.001:
                self._pass(sender, receiver, data)
            elif self.late < MOST_LATE:
                self.late += 1
                self.alarm.at(now + after, lambda _: self._pass_late(sender, receiver, data))

    def _pass_late(self, sender: str, receiver: str, data: bytes) -> None:
        self.late -= 1
        self._pass(sender, receiver, data)

    def _pass(self, sender: str, receiver: str, data: bytes) -> None:
        self.sockets[sender].transport.sendto(data, split(self.own[receiver]))

    def order(self, order: Order) -> None:
        if order.what != "fault":
            return
        fault = msgspec.convert({k: v for k, v in order.data.items() if k not in ("targets", "end")}, Fault)
        targets = frozenset(order.data.get("targets") or self.own)
        size = fault.size if isinstance(fault.size, float | int) else self.process.rng.uniform(*fault.size)
        key = msgspec.json.encode((fault, sorted(targets)))
        if order.data.get("end"):
            if (trouble := self.troubles.pop(key, None)) is not None:
                self.mesh.end(trouble)
                self._record(fault.kind, targets, "end")
        else:
            trouble = self.troubles[key] = Trouble(cast(Any, fault.kind), targets, fault.way, size)
            self.mesh.begin(trouble)
            self._record(fault.kind, targets)
        for link in list(self.links):
            if self.mesh.cut(link.near.sender, link.receiver):
                link.reset()
            else:
                link.near.pump()
                link.far.pump()

    def _record(self, kind: str, targets: frozenset[str], detail: str = "") -> None:
        """When a trouble began or ended on the links, which is later than it was ordered."""
        self.process.put(Struck(time.monotonic(), kind, ",".join(sorted(targets)), detail))

    async def finish(self) -> dict[str, int]:
        mesh = self.mesh
        return {"sent": mesh.sent, "lost": mesh.lost, "doubled": mesh.doubled, "strange": self.strange}

    def close(self) -> None:
        self.alarm.close()
        for listener in self.listeners:
            listener.close()
        for protocol in self.sockets.values():
            protocol.transport.close()
        for link in list(self.links):
            link.reset()
