"""Bounds what one connection may bring in one turn of the event loop, and what is buffered for it.

By default asyncio reads 256 KiB from a connection at once, aiohttp queues 512 KiB of a body, and the kernel
buffers several megabytes. A peer whose bytes are expensive to parse would then stall all other connections.
"""

import asyncio
import socket
import threading

READ_BYTES = 1 << 14  # most bytes that are received from one connection, and parsed, in one turn
BODY_BUFFER_BYTES = 1 << 15  # aiohttp pauses the connection above twice this number of unread bytes
SOCKET_BUFFER_BYTES = 1 << 17  # requested size of each kernel buffer; Linux allocates up to twice as much


class _ReadBuffer(threading.local):
    """The buffer that all connections of a thread receive into, one after the other."""

    def __init__(self) -> None:
        self.data = bytearray(READ_BYTES)


_read_buffer = _ReadBuffer()


class BoundedReads(asyncio.BufferedProtocol):
    """Mixin of a protocol: passes at most READ_BYTES to `data_received` in one turn of the event loop."""

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next bytes of the connection."""
        return _read_buffer.data

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a copy of the received bytes on."""
        self.data_received(bytes(memoryview(_read_buffer.data)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles received bytes; the other base class of the protocol implements it."""
        raise NotImplementedError


def bound_socket_buffers(connection: socket.socket) -> None:
    """Bounds the kernel's buffers of a socket, or of all connections that a listening socket accepts."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
