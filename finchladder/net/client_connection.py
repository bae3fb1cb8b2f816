"""An edge connection: one connection from a client, or from a real server that calls back."""

import asyncio
import socket
from collections.abc import Awaitable
from contextlib import suppress
from typing import Protocol

from finchladder.core.connections.body_memory import OutOfBodyMemoryError, Reservation
from finchladder.core.connections.client_connections import ClientConnectionTable, ConnectionValue
from finchladder.net.control import Dump, Reply
from finchladder.net.flows import Answer, Flow
from finchladder.net.http1 import (
    MAX_BODY,
    MAX_HEAD,
    PIECE,
    READ,
    Channel,
    Head,
    MalformedMessageError,
    Parser,
    Stream,
    StreamClosedError,
    departed,
    parse_request,
    silent,
    write_head,
    write_response,
)
from finchladder.net.job_intake import JobIntake
from finchladder.net.messages import limit_of

FIRST_MESSAGE_TIMEOUT_S = 2.0  # from a connection's start to its first message's last byte; 3 s are owed
MESSAGE_TIMEOUT_S = 2.0  # from a message's first byte to its last
WRITE_TIMEOUT_S = 10.0  # a client must read
MAX_READ_AHEAD = (
    MAX_HEAD + MAX_BODY
)  # of a next message, while one is worked on: behind it the client may leave
LINGER_S = 0.5  # for what a client still sends on a connection that is closed to it


class AdmissionQueue(Protocol):
    """Watches idle connections and passes on their next message by `ClientConnection.received`."""

    def wait(self, edge: "ClientConnection") -> None:
        """Registers that the connection waits for its next message."""


class MessageHandler(Protocol):
    """Produces the response to each message of a client connection."""

    intake: JobIntake

    @property
    def admission(self) -> AdmissionQueue | None:
        """Admission control, or None where it is off."""

    async def answer(self, edge: "ClientConnection", head: Head, body: bytes) -> Reply:
        """Returns the response to one message.

        Raises:
            MalformedMessageError: The message can't be used, and its connection is closed.
        """


class ClientConnection:
    """A client's connection: reads messages one after another and writes their responses.

    It starts as a bare socket: one that is refused or closed before anything is read costs little.
    """

    channel: Channel  # once it is opened

    def __init__(
        self,
        client_socket: socket.socket,
        client: str,
        handler: MessageHandler,
        table: "ClientConnectionTable[ClientConnection]",
        body: Reservation,
    ) -> None:
        self.socket, self.descriptor, self.opened = client_socket, client_socket.fileno(), False
        self.client = client  # the peer's IP address
        self.handler, self.table = handler, table
        self.intake, self.clock = handler.intake, handler.intake.clock
        self.body = body  # of what is being read or worked on
        self.given: Answer | None = None  # what the flow's answer is, once it is there
        self.wanted: asyncio.Future[None] | None = None
        self.flow: Flow | None = None
        self.busy = False  # between a message's first byte and its answer's last
        self.calls_back = False
        self.worth = ConnectionValue.NEW
        self.since = self.clock()
        # of the gate, where there is one
        self.waiter: asyncio.Future[bytes] | None = None  # for the next message's first bytes
        self.first = b""  # what came before it was opened
        self.message = b""  # a whole job that waits to be let in, with its class and id
        self.job_class, self.job_id = "", b""
        self.came_at = 0.0  # that which is being read, by the socket
        self.stirred = False  # something may be there that was not looked at
        self.over = False  # the client has closed its side
        self.passed = False  # the gate has let in what is being read

    def open(self) -> None:
        """Creates the stream and its parser; to be called once, before anything is read."""
        stream = Stream(self.socket, max_buffer_size=4 * PIECE, read_chunk_size=READ)
        stream.watched = self.handler.admission is not None
        stream.attends = 0 if stream.watched else MAX_READ_AHEAD
        self.channel = Channel(stream, Parser(parse_request, limit_of))
        self.opened = True
        stream.set_close_callback(self._closed)

    @property
    def closed(self) -> bool:
        """Whether the connection is closed on this side."""
        return self.channel.stream.closed() if self.opened else self.socket.fileno() < 0

    def departed(self) -> bool:
        """Whether the client has closed the connection, even if no event has reported it yet."""
        return self.over or self.channel.stream.closed() or departed(self.channel.stream.socket)

    def close(self) -> None:
        """Closes the stream, or the bare socket."""
        if self.opened:
            self.channel.close()
        else:
            self.socket.close()

    def used(self, worth: ConnectionValue) -> None:
        """Raises the connection's worth, which decides whether it is closed for a new one."""
        self.worth = max(self.worth, worth)

    def deliver(self, answer: Answer) -> None:
        """Receives the answer of the one flow that is open here."""
        self.given = answer
        if self.wanted is not None and not self.wanted.done():
            self.wanted.set_result(None)

    async def answer_to(self, flow: Flow) -> Answer:
        """Waits for the answer of an accepted flow.

        Raises:
            StreamClosedError: The client has closed the connection.
        """
        self.flow = flow  # no sooner: this closing must not end another flow with its id
        if self.over:
            self.channel.close()
            self._closed()
        if self.given is None:
            self.wanted = asyncio.get_running_loop().create_future()
            await self.wanted
            self.wanted = None
        answer, self.given, self.flow = self.given, None, None
        assert answer is not None
        self.used(ConnectionValue.SERVED if answer.kind == "served" else ConnectionValue.QUERIED)
        if self.channel.stream.closed():
            raise StreamClosedError()
        return answer

    def _closed(self) -> None:
        """A client that closes has gone away."""
        flow, self.flow = self.flow, None
        if flow is not None:
            self.intake.client_left(flow)
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(StreamClosedError())

    # --- what the gate asks and tells

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for a message of which no byte has arrived."""
        if not self.opened:
            return not (self.first or self.message)
        return self.waiter is not None and not self.waiter.done() and not self.message

    @property
    def waited_s(self) -> float:
        """For how many seconds the current message lay unread in the socket."""
        return self.clock() - self.came_at if self.came_at else 0.0

    def received(self, data: bytes) -> None:
        """Receives the first bytes of the next message from admission control."""
        self.message = b""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(data)

    def quiet(self) -> bool:
        """Whether the connection is idle and its socket holds no unread bytes."""
        if self.handler.admission is None:
            return self.channel.quiet()
        return self.is_waiting and not self.stirred and silent(self.socket)

    async def serve(self) -> None:
        """Serves messages until either side closes; protocol errors get an error response first."""
        try:
            if self.first:
                self.channel.parser.feed(self.first)
                self.first = b""
            async with asyncio.timeout(max(0.0, self.since + FIRST_MESSAGE_TIMEOUT_S - self.clock())):
                message = await self._read()
            while await self._work(*message):
                message = await self._read()
            await self._linger()
        except MalformedMessageError as e:
            await self._turn_away(e)
        except OutOfBodyMemoryError:
            await self._turn_away(MalformedMessageError(503, "too much is being sent at once"))
        except TimeoutError:
            if self.busy:  # a connection on which nothing came is closed without a word
                await self._turn_away(MalformedMessageError(408, "the request took too long to come"))
        except (StreamClosedError, OSError):
            pass
        finally:
            self.channel.close()

    async def _read(self) -> tuple[Head, bytes]:
        self.body.resize(0)
        if not self.channel.parser.begun:
            self.busy = False
            self.table.mark_idle(self.clock(), self, self.worth)
            await self._first_bytes()
        self.busy = True
        head = self.channel.parser.take_head()
        if head is not None:
            self.body.resize(self.channel.parser.most)
            message = self.channel.parser.poll()
        if head is None or message is None:  # most come whole, and then no timer is set
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                head = await self.channel.head()
                self.body.resize(self.channel.parser.most)
                message = await self.channel.message()
            if self.handler.admission is not None:
                self.channel.stream.apart()
        self.table.mark_busy(self)
        return message

    async def _first_bytes(self) -> None:
        self.passed, self.came_at = False, 0.0
        if self.handler.admission is None or not self.channel.stream.apart():
            return await self.channel.fill()
        if self.channel.stream.closed():
            raise StreamClosedError()
        self.waiter = asyncio.get_running_loop().create_future()
        try:
            self.handler.admission.wait(self)
            self.channel.parser.feed(await self.waiter)
        finally:
            self.waiter = None

    async def _work(self, head: Head, body: bytes) -> bool:
        """True: the connection is kept."""
        reply = await self.handler.answer(self, head, body)
        close = self._closes(head)
        if reply.dump is None:
            data = write_response(reply.status, reply.body, reply.fields, close)
            if (writing := self.channel.stream.put(data)) is None:
                return not close
            rest: Awaitable[None] = writing
        else:
            rest = self._dump(reply, reply.dump, close)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await rest
        except TimeoutError:
            raise StreamClosedError() from None  # no second answer may follow half of the first
        return not close

    async def _dump(self, reply: Reply, dump: Dump, close: bool) -> None:
        try:
            await self.channel.write(write_head(reply.status, dump.size, reply.fields, close))
            for piece in dump.pieces():  # each written before the next is made
                await self.channel.write(piece)
        finally:
            dump.over()

    def _closes(self, head: Head) -> bool:
        return not head.keeps or (self.intake.shutdown.must_close(self.clock()) and not self.calls_back)

    async def _turn_away(self, e: MalformedMessageError) -> None:
        """The connection is closed: whoever sends again as soon as it is turned away has to connect again."""
        self.worth = ConnectionValue.NEW
        self.body.resize(0)
        self.table.mark_closable(self, self.worth)
        fields = {405: (f"Allow: {e.allow}",), 503: ("Retry-After: 1",)}.get(e.status, ())
        with suppress(StreamClosedError, OSError):
            await self.channel.write(write_response(e.status, f"{e}\n".encode(), fields, close=True))
            if not self.channel.stream.reading():  # given up when its time was over: no other may begin
                await self._linger()

    async def _linger(self) -> None:
        """The last answer is written: shuts this side, and reads on for a while what is never looked at.

        A close over unread bytes would be a reset, which overtakes that answer.
        """
        stream = self.channel.stream
        self.table.mark_closable(self, ConnectionValue.NEW)
        with suppress(StreamClosedError, OSError, TimeoutError):
            stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER_S):
                for _ in range(64):
                    await stream.read_bytes(65536, partial=True)
