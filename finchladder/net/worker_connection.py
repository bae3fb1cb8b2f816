"""Connections to workers: one exchange at a time each, with a task that reads the responses."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from finchladder.net.http1 import Channel, Head, MalformedMessageError, StreamClosedError

BODY_TIMEOUT_S = 1.0  # maximum time from the head of a response to its last byte


class Exchange(Protocol):
    """The owner of one request on a connection. Exactly one of the two methods is called, once."""

    def handle_response_head(self, head: Head) -> None:
        """Handles the head of the response."""

    def connection_failed(self, written: bool) -> None:
        """Handles a connection that ended before the response's head.

        `written`: the last byte of the request may have been sent.
        """
        ...


class WorkerConnection:
    """A connection to a worker: idle again after a complete exchange, closed after anything else.

    Bytes that arrive while it is idle close it: the next exchange would read them as its response.
    """

    def __init__(
        self,
        channel: Channel,
        on_free: Callable[["WorkerConnection"], None],
        on_end: Callable[["WorkerConnection"], None],
    ) -> None:
        self.channel, self.on_free, self.on_end = channel, on_free, on_end
        self.idle_since = 0.0  # time since which it is idle
        self.idle_s = 0.0  # how long it was idle before the current exchange
        self.exchange: Exchange | None = None
        self.is_busy = self.has_ended = False
        self.is_held = True  # whether it holds slots: it is new, or was taken from the idle ones
        self.is_request_sent = False  # the request was passed to the stream
        self.writing: asyncio.Future[None] | None = None
        self.task = asyncio.get_running_loop().create_task(self._read_responses())

    def send_request(self, exchange: Exchange, request: bytes) -> None:
        """Sends a request; only allowed on an idle connection."""
        self.exchange, self.is_busy, self.is_request_sent = exchange, True, False
        try:
            self.writing = self.channel.stream.put(request)
            self.is_request_sent = True
        except StreamClosedError:
            self._end()  # the reading task may notice the close later

    def close(self) -> None:
        """Closes the connection."""
        self.channel.close()

    def is_reusable(self) -> bool:
        """Whether the connection is idle and can carry another request."""
        return not self.is_busy and self.channel.is_reusable()

    async def _read_responses(self) -> None:
        try:
            while True:
                await self.channel.fill()
                if not self.is_busy or not await self._read_response():
                    return
        except (StreamClosedError, OSError, MalformedMessageError):
            pass
        finally:
            self._end()

    async def _read_response(self) -> bool:
        """Reads one response; returns whether the connection can carry another exchange."""
        head = await self.channel.head()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.handle_response_head(head)
        body = self.channel.parser.body
        if body is not None and body.until_close:
            return False
        if self.channel.parser.poll() is None:
            try:
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    await self.channel.message()
            except TimeoutError:
                return False
        if not head.is_persistent or self.channel.parser.has_begun:
            return False
        self.is_busy, self.writing = False, None
        self.on_free(self)
        return not self.channel.stream.closed()

    def _end(self) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.channel.close()
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            # only a write that certainly failed before its last byte proves that the job did not run
            writing = self.writing
            exchange.connection_failed(
                self.is_request_sent and (writing is None or (writing.done() and not writing.exception()))
            )
        self.on_end(self)


class IdleConnections:
    """Idle connections to all workers; beyond `max_connections`, the least recently used one is closed.

    Times are in seconds of the caller's clock. All operations are O(1), or O(connections closed).
    """

    def __init__(self, most: int) -> None:
        self.max_connections = most
        self.connections: OrderedDict[WorkerConnection, None] = OrderedDict()

    def put(self, connection: WorkerConnection, now: float) -> None:
        """Adds a connection that became idle at `now`."""
        connection.idle_since = now
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            self.connections.popitem(last=False)[0].close()

    def drop(self, connection: WorkerConnection) -> None:
        """Removes a connection without closing it."""
        self.connections.pop(connection, None)

    def close_before(self, since: float, most: int) -> None:
        """Closes connections that are idle since `since` or longer, at most `most` in one call."""
        for _ in range(most):
            if not self.connections or (connection := next(iter(self.connections))).idle_since > since:
                return
            del self.connections[connection]
            connection.close()
