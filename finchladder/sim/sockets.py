"""A virtual socket: the socket methods that Tornado's streams and listeners use, over a network end."""

import asyncio
import errno
import socket
from collections import deque
from typing import Any

from finchladder.sim.loop import VirtualLoop
from finchladder.sim.network import BACKLOG, End, Handler, Listener, Network


class VirtualSocket(Handler):
    """A socket of one process with its own descriptor; a method the program does not use raises."""

    family = socket.AF_INET

    def __init__(self, loop: VirtualLoop, net: Network, host: str, ip: str, number: int) -> None:
        self.loop, self.net, self.host, self.ip, self.number = loop, net, host, ip, number
        self.reader: asyncio.Handle | None = None
        self.writer: asyncio.Handle | None = None
        self.end: End | None = None
        self.listener: Listener | None = None
        self.waiting: deque[End] = deque()  # connections that are not accepted yet
        loop.attach(number, self)

    # --- interface to the event loop

    @property
    def readable(self) -> bool:
        if self.end is not None:
            return self.end.readable
        return bool(self.waiting)

    @property
    def writable(self) -> bool:
        return self.end is not None and (self.end.writable or bool(self.end.error))

    def touched(self) -> None:
        self.loop.touch(self.number, self)

    # --- interface to the network

    def opened(self, end: End) -> None:
        self.touched()

    def refused(self, end: End) -> None:
        self.touched()

    def arrived(self, end: End) -> None:
        self.touched()

    def space_available(self, end: End) -> None:
        self.touched()

    def connected(self, end: End) -> Handler | None:
        """Queues a new connection of a listening socket; None if the backlog is full."""
        if len(self.waiting) >= BACKLOG:
            return None
        self.waiting.append(end)
        self.touched()
        return UnacceptedConnection(self)

    # --- socket interface

    def fileno(self) -> int:
        return self.number

    def setblocking(self, flag: bool) -> None:
        pass

    def setsockopt(self, *args: Any) -> None:
        pass

    def getsockopt(self, level: int, option: int, size: int = 0) -> int:
        if (level, option) != (socket.SOL_SOCKET, socket.SO_ERROR):
            raise OSError(errno.ENOPROTOOPT, "this virtual socket supports only SO_ERROR")
        return self.end.error if self.end is not None else 0

    def connect(self, address: tuple[str, int]) -> None:
        self.end = self.net.connect(self.host, self.ip, (address[0], address[1]), self)
        raise BlockingIOError(errno.EINPROGRESS, "in progress")

    def shutdown(self, how: int) -> None:
        if how != socket.SHUT_WR or self.end is None:
            raise OSError(
                errno.EINVAL, "a virtual socket supports shutdown only of a connection and with SHUT_WR"
            )
        self.end.shutdown()

    def accept(self) -> tuple["VirtualSocket", tuple[str, int]]:
        if not self.waiting:
            raise BlockingIOError(errno.EAGAIN, "no connection to accept")
        end = self.waiting.popleft()
        accepted = VirtualSocket(self.loop, self.net, self.host, self.ip, self.loop.descriptor())
        accepted.end, end.handler = end, accepted
        return accepted, end.peer.address

    def send(self, data: bytes | memoryview) -> int:
        if self.end is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.end.write(data)

    def recv(self, most: int, flags: int = 0) -> bytes:
        if self.end is None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.end.read(most, peek=bool(flags & socket.MSG_PEEK))

    def recv_into(self, buffer: bytearray | memoryview, most: int = 0) -> int:
        data = self.recv(most or len(buffer))
        buffer[: len(data)] = data
        return len(data)

    def close(self) -> None:
        self.loop.detach(self.number)
        if self.end is not None:
            self.end.close()
        if self.listener is not None:
            self.net.unlisten(self.listener)
            for end in self.waiting:
                end.reset()
            self.waiting.clear()


class UnacceptedConnection(Handler):
    """Handler of a connection that is not accepted yet: data is kept and makes no descriptor ready."""

    def __init__(self, listening: VirtualSocket) -> None:
        self.listening = listening

    def opened(self, end: End) -> None:
        pass

    def refused(self, end: End) -> None:
        pass

    def arrived(self, end: End) -> None:
        pass

    def space_available(self, end: End) -> None:
        pass
