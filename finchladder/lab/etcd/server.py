"""The stand-in on sockets: a listener for each member, over TLS if wanted.

`python -m finchladder.lab.etcd` starts one by hand. Members keep their ports over being cut and opened.
"""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, cast

from finchladder.lab.drivers.sockets import reset
from finchladder.lab.etcd.cluster import Cluster, Member
from finchladder.lab.etcd.session import Session
from finchladder.lab.etcd.store import UNAUTHENTICATED, Refused
from finchladder.lab.wire import Parser, WireError

MOST_BODY = 4 * 1024 * 1024  # of a request: etcd takes 1.5 MB, base64 makes 2 MB of it
SLICE_S = 0.02  # between two pieces of what a slow member writes
MOST_UNREAD = 64 * 1024 * 1024  # bytes that a watcher has not read; beyond it its connection is reset


class Connection(asyncio.Protocol):
    def __init__(self, server: "Server") -> None:
        self.server, self.member = server, server.member
        self.parser = Parser(responses=False, most_body=MOST_BODY)
        self.session = Session(server.member, server.clock, self.write, self.end)
        self.session.told = server.told
        self.transport: asyncio.Transport | None = None
        self.held = bytearray()  # what a stalled or slow member has yet to write

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.append(self)

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.parser.feed(data)
        except WireError:
            self.end(True)
            return
        for m in messages:
            self.session.message(m)
        self.server.arm()

    def write(self, data: bytes) -> None:
        self.held += data
        self.pump()

    def pump(self, slice_of: int | None = None) -> None:
        """Writes what may be written: all, nothing, or a slice of what a slow member has."""
        if self.transport is None or self.member.stalled or not self.held:
            return
        if self.member.bytes_per_s is not None and self.session.watch is not None:
            if slice_of is None:
                return self.server.trickle()
            self.transport.write(bytes(self.held[:slice_of]))
            del self.held[:slice_of]
            return
        self.transport.write(bytes(self.held))
        self.held.clear()
        if self.transport.get_write_buffer_size() > MOST_UNREAD:
            self.end(True)

    def end(self, with_reset: bool) -> None:
        if self.transport is not None:
            if with_reset:
                reset(self.transport)
            else:
                self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        if self in self.server.connections:
            self.server.connections.remove(self)


class Server:
    """One member. `told(watch, events)` is called as a watcher's events are written."""

    def __init__(
        self,
        member: Member,
        host: str = "127.0.0.1",
        port: int = 0,
        tls: ssl.SSLContext | None = None,
        told: Callable[[Any, list[Any]], None] = lambda watch, events: None,
    ) -> None:
        self.member, self.host, self.port, self.tls, self.told = member, host, port, tls, told
        self.connections: list[Connection] = []
        self.listener: asyncio.Server | None = None
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.timer: asyncio.TimerHandle | None = None
        self.trickling: asyncio.TimerHandle | None = None
        self.due = float("inf")
        self.opening: asyncio.Task[None] | None = None
        member.changed, member.struck = self.changed, self.struck

    @property
    def url(self) -> str:
        return f"http{'s' if self.tls else ''}://{self.host}:{self.port}"

    async def open(self) -> str:
        """The URL that it answers at. OSError: the port is taken."""
        make = lambda: Connection(self)  # noqa: E731
        self.listener = await self.loop.create_server(make, self.host, self.port, ssl=self.tls, backlog=1024)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self.url

    def changed(self) -> None:
        for c in list(self.connections):
            c.session.go_on()
        self.arm()

    def struck(self) -> None:
        """A fault began or ended."""
        if self.member.cut:
            if self.listener is not None:
                self.listener.close()
                self.listener = None
            for c in list(self.connections):
                c.end(True)
                c.transport = None
            self.connections.clear()
        elif self.listener is None and self.opening is None:
            self.opening = self.loop.create_task(self._open_again())
        for c in list(self.connections):
            c.pump()

    async def _open_again(self) -> None:
        await self.open()
        self.opening = None
        if self.member.cut:
            self.struck()

    def progress(self) -> None:
        for c in list(self.connections):
            c.session.progress()

    def expire_tokens(self, cancel: bool = False) -> None:
        """`cancel`: watches end too, as where the server looks at tokens again."""
        self.member.cluster.expire_tokens()
        for c in list(self.connections) if cancel else []:
            if c.session.watch is not None:
                c.session.cancel(Refused(UNAUTHENTICATED, "etcdserver: invalid auth token"))

    # --- time: leases that end, progress, slow streams

    def arm(self) -> None:
        due = self.member.cluster.store.next_end() or float("inf")
        for c in self.connections:
            if (watch := c.session.watch) is not None and watch.progress:
                due = min(due, watch.quiet_since + self.member.cluster.progress_s)
        if due < self.due or self.timer is None:
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
            self.due = due
            if due != float("inf"):
                self.timer = self.loop.call_at(due, self._ring)

    def _ring(self) -> None:
        self.timer, self.due = None, float("inf")
        now, cluster = self.clock(), self.member.cluster
        cluster.advance(now + 0.001)
        for c in list(self.connections):
            watch = c.session.watch
            if watch is not None and watch.progress and now + 0.001 >= watch.quiet_since + cluster.progress_s:
                c.session.progress()
        self.timer = self.loop.call_later(0.01, self.arm)  # what is due and can't be done must not spin

    def trickle(self) -> None:
        if self.trickling is None:
            self.trickling = self.loop.call_later(SLICE_S, self._trickle)

    def _trickle(self) -> None:
        self.trickling = None
        rate = self.member.bytes_per_s
        for c in list(self.connections):
            c.pump(None if rate is None else max(1, int(rate * SLICE_S)))
        if any(c.held for c in self.connections) and not self.member.stalled:
            self.trickle()

    def close(self) -> None:
        for handle in (self.timer, self.trickling):
            if handle is not None:
                handle.cancel()
        if self.opening is not None:
            self.opening.cancel()
        if self.listener is not None:
            self.listener.close()
        for c in list(self.connections):
            c.end(True)


class Etcd:
    """All members of a cluster, on this loop."""

    def __init__(
        self,
        members: int = 1,
        host: str = "127.0.0.1",
        tls: ssl.SSLContext | None = None,
        told: Callable[[Any, list[Any]], None] = lambda watch, events: None,
        ports: tuple[int, ...] = (),
    ) -> None:
        self.cluster = Cluster(members)
        self.servers = [
            Server(m, host, ports[m.index] if ports else 0, tls, told) for m in self.cluster.members
        ]

    async def open(self) -> list[str]:
        return [await server.open() for server in self.servers]

    def close(self) -> None:
        for server in self.servers:
            server.close()
