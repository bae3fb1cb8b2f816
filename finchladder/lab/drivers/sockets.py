"""What the drivers share below their protocols: listeners that can be refused or deaf, resets, deadlines."""

import asyncio
import heapq
import math
import socket
import struct
import time
from collections.abc import Callable
from typing import cast

BACKLOG = 1024
AT_ONCE = 64  # connections accepted, or deadlines met, in one go: a storm of them must not starve the rest
ROUND_S = 0.0005  # the loop's timers count whole milliseconds: what is due within half of one is due now
_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.BaseTransport | None) -> None:
    """Ends a connection with RST, as the death of a process with unread data does."""
    if transport is None or transport.is_closing():
        return
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
    cast(asyncio.WriteTransport, transport).abort()


def split(address: str) -> tuple[str, int]:
    """`host:port`. ValueError where it is none."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Listener:
    """Accepts connections at a port that stays its own over closing and opening again."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        host: str,
        make: Callable[[], asyncio.BaseProtocol],
        port: int = 0,
    ) -> None:
        self.loop, self.host, self.make, self.port = loop, host, make, port
        self.socket: socket.socket | None = None
        self.filler: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        """OSError: the port is taken, or there are no descriptors left."""
        if self.socket is not None:
            return
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.port))
        self.socket.listen(BACKLOG)
        self.port = self.socket.getsockname()[1]
        self.loop.add_reader(self.socket.fileno(), self._accept)

    def close(self) -> None:
        """From now on connections are refused; those that were accepted stay."""
        for s in self.filler:
            s.close()
        self.filler.clear()
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None

    def deafen(self) -> None:
        """New connections never come up: the kernel drops their first packet while its queue is full."""
        if self.socket is None or self.filler:
            return
        self.loop.remove_reader(self.socket.fileno())
        self.socket.listen(0)
        for _ in range(2):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.filler.append(filler)

    def hear(self) -> None:
        if self.socket is None or not self.filler:
            return
        for s in self.filler:
            s.close()
        self.filler.clear()
        self.socket.listen(BACKLOG)
        self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(AT_ONCE):
            if self.socket is None:
                return
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            accepted.setblocking(False)
            self.loop.create_task(self._connected(accepted))

    async def _connected(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make, accepted)
        except OSError:
            accepted.close()  # its peer is gone again


class Alarm:
    """Any number of deadlines on one timer of the loop. They are not withdrawn: who set one looks again."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.heap: list[tuple[float, int, Callable[[float], None]]] = []
        self.armed = math.inf
        self.handle: asyncio.Handle | None = None
        self.number = 0

    def at(self, due: float, call: Callable[[float], None]) -> None:
        """`call(now)` at the monotonic time `due`, up to half a millisecond early or late."""
        self.number += 1
        heapq.heappush(self.heap, (due, self.number, call))
        if due < self.armed:
            self._arm(due)

    def _arm(self, due: float) -> None:
        if self.handle is not None:
            self.handle.cancel()
        self.armed = due
        self.handle = self.loop.call_later(max(0.0, due - time.monotonic()), self._ring)

    def _ring(self) -> None:
        self.handle, self.armed = None, -math.inf  # what is added meanwhile need not arm
        for _ in range(AT_ONCE):
            now = time.monotonic()
            if not self.heap or (due := self.heap[0][0]) > now + ROUND_S:
                break
            call = self.heap[0][2]
            heapq.heappop(self.heap)
            call(max(now, due))
        self.armed = math.inf
        if self.heap:
            self._arm(self.heap[0][0])

    def close(self) -> None:
        if self.handle is not None:
            self.handle.cancel()
        self.heap.clear()
