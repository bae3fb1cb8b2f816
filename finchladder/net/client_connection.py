"""A client connection: one connection from a client, or from a worker that sends callbacks."""

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
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_PIECE_BYTES,
    READ_CHUNK_BYTES,
    Channel,
    Head,
    MalformedMessageError,
    Parser,
    Stream,
    StreamClosedError,
    has_nothing_to_read,
    parse_request,
    peer_has_closed,
    write_head,
    write_response,
)
from finchladder.net.job_intake import JobIntake
from finchladder.net.messages import limit_of

# maximum time from accepting a connection to the last byte of its first message; the requirement is 3 s
FIRST_MESSAGE_TIMEOUT_S = 2.0
MESSAGE_TIMEOUT_S = 2.0  # maximum time from the first byte of a message to its last
WRITE_TIMEOUT_S = 10.0  # maximum time for the client to read a response
# bytes of the next message read while one is handled: further bytes would hide that the client closes
MAX_READ_AHEAD = MAX_HEAD_BYTES + MAX_BODY_BYTES
LINGER_S = 0.5  # time for which input is discarded after the last response


class AdmissionQueue(Protocol):
    """Polls idle connections and passes their next message to `ClientConnection.receive`."""

    def wait_for_message(self, connection: "ClientConnection") -> None:
        """Registers that the connection waits for its next message."""


class MessageHandler(Protocol):
    """Produces the response to each message of a client connection."""

    intake: JobIntake

    @property
    def admission(self) -> AdmissionQueue | None:
        """Admission control, or None where it is disabled."""

    async def answer(self, connection: "ClientConnection", head: Head, body: bytes) -> Reply:
        """Returns the response to one message.

        Raises:
            MalformedMessageError: The message can't be used, and its connection is closed.
        """


class ClientConnection:
    """Reads the messages of one client connection in turn and writes their responses.

    It starts as a bare socket without a stream, so that rejecting or closing it unread costs little.
    """

    channel: Channel  # set by `open_stream`

    def __init__(
        self,
        client_socket: socket.socket,
        client: str,
        handler: MessageHandler,
        table: "ClientConnectionTable[ClientConnection]",
        reservation: Reservation,
    ) -> None:
        self.socket, self.descriptor, self.has_stream = client_socket, client_socket.fileno(), False
        self.client = client  # the peer's IP address
        self.handler, self.table = handler, table
        self.intake, self.clock = handler.intake, handler.intake.clock
        self.reservation = reservation  # for the body of the message being read or handled
        self.answer: Answer | None = None  # the flow's answer, until its response is written
        self.answer_future: asyncio.Future[None] | None = None
        self.flow: Flow | None = None
        self.is_busy = False  # from the first byte of a message to the last of its response
        self.sends_callbacks = False
        self.value = ConnectionValue.NEW
        self.accepted_at = self.clock()
        # used with admission control only
        # resolves to the first bytes of the next message
        self.next_bytes: asyncio.Future[bytes] | None = None
        self.first_bytes = b""  # bytes received before the stream was created
        self.queued_message = b""  # a complete job that waits for admission, with its class and id
        self.job_class, self.job_id = "", b""
        self.answer_by = 0.0  # when the client of `queued_message` gives up
        self.received_at = 0.0  # time at which the socket received the current message; 0: unknown
        self.may_have_data = False  # the socket may hold unread bytes
        self.client_has_closed = False  # the client has closed its sending side
        self.is_admitted = False  # admission control has admitted the current message

    def open_stream(self) -> None:
        """Creates the stream and its parser; must be called once, before anything is read."""
        stream = Stream(self.socket, max_buffer_size=4 * MAX_PIECE_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        stream.is_polled_elsewhere = self.handler.admission is not None
        stream.max_read_ahead = 0 if stream.is_polled_elsewhere else MAX_READ_AHEAD
        self.channel = Channel(stream, Parser(parse_request, limit_of))
        self.has_stream = True
        stream.set_close_callback(self._on_close)

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed on this side."""
        return self.channel.stream.closed() if self.has_stream else self.socket.fileno() < 0

    def client_has_left(self) -> bool:
        """Whether the client has closed the connection, even if no event has reported it yet."""
        return (
            self.client_has_closed
            or self.channel.stream.closed()
            or peer_has_closed(self.channel.stream.socket)
        )

    def close(self) -> None:
        """Closes the stream, or the bare socket."""
        if self.has_stream:
            self.channel.close()
        else:
            self.socket.close()

    def raise_value(self, value: ConnectionValue) -> None:
        """Raises the connection's value; connections of low value are closed first to make room."""
        self.value = max(self.value, value)

    def deliver(self, answer: Answer) -> None:
        """Receives the answer of this connection's open flow."""
        self.answer = answer
        if self.answer_future is not None and not self.answer_future.done():
            self.answer_future.set_result(None)

    async def wait_for_answer(self, flow: Flow) -> Answer:
        """Waits for the answer of an accepted flow.

        Raises:
            StreamClosedError: The client has closed the connection.
        """
        self.flow = flow  # not earlier: closing this connection must not end another flow with the same id
        if self.client_has_closed:
            self.channel.close()
            self._on_close()
        if self.answer is None:
            self.answer_future = asyncio.get_running_loop().create_future()
            await self.answer_future
            self.answer_future = None
        answer, self.answer, self.flow = self.answer, None, None
        assert answer is not None
        self.raise_value(ConnectionValue.SERVED if answer.kind == "served" else ConnectionValue.QUERIED)
        if self.channel.stream.closed():
            raise StreamClosedError()
        return answer

    def _on_close(self) -> None:
        """Ends the open flow and the wait for a message when the stream is closed."""
        flow, self.flow = self.flow, None
        if flow is not None:
            self.intake.client_disconnected(flow)
        if self.next_bytes is not None and not self.next_bytes.done():
            self.next_bytes.set_exception(StreamClosedError())

    # --- for admission control

    @property
    def is_waiting(self) -> bool:
        """Whether the connection waits for a message of which no byte has arrived."""
        if not self.has_stream:
            return not (self.first_bytes or self.queued_message)
        return self.next_bytes is not None and not self.next_bytes.done() and not self.queued_message

    @property
    def message_age_s(self) -> float:
        """Seconds since the socket received the current message; 0 if that time is unknown."""
        return self.clock() - self.received_at if self.received_at else 0.0

    def receive(self, data: bytes) -> None:
        """Receives the first bytes of the next message from admission control."""
        self.queued_message = b""
        if self.next_bytes is not None and not self.next_bytes.done():
            self.next_bytes.set_result(data)

    def is_quiet(self) -> bool:
        """Whether the connection is idle and its socket holds no unread bytes."""
        if self.handler.admission is None:
            return self.channel.has_nothing_to_read()
        return self.is_waiting and not self.may_have_data and has_nothing_to_read(self.socket)

    async def serve(self) -> None:
        """Serves messages until either side closes; protocol errors get an error response first."""
        try:
            if self.first_bytes:
                self.channel.parser.feed(self.first_bytes)
                self.first_bytes = b""
            async with asyncio.timeout(max(0.0, self.accepted_at + FIRST_MESSAGE_TIMEOUT_S - self.clock())):
                message = await self._read_message()
            while await self._respond(*message):
                message = await self._read_message()
            await self._linger()
        except MalformedMessageError as e:
            await self._reject(e)
        except OutOfBodyMemoryError:
            await self._reject(MalformedMessageError(503, "too much is being sent at once"))
        except TimeoutError:
            if self.is_busy:  # a connection on which nothing arrived is closed without a response
                await self._reject(MalformedMessageError(408, "the request took too long to come"))
        except (StreamClosedError, OSError):
            pass
        finally:
            self.channel.close()

    async def _read_message(self) -> tuple[Head, bytes]:
        self.reservation.resize(0)
        if not self.channel.parser.has_begun:
            self.is_busy = False
            self.table.mark_idle(self.clock(), self, self.value)
            await self._wait_for_first_bytes()
        self.is_busy = True
        head = self.channel.parser.take_head()
        if head is not None:
            self.reservation.resize(self.channel.parser.max_body_bytes)
            message = self.channel.parser.poll()
        if head is None or message is None:  # most messages are complete already and need no timer
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                head = await self.channel.head()
                self.reservation.resize(self.channel.parser.max_body_bytes)
                message = await self.channel.message()
            if self.handler.admission is not None:
                self.channel.stream.detach()
        self.table.mark_busy(self)
        return message

    async def _wait_for_first_bytes(self) -> None:
        self.is_admitted, self.received_at = False, 0.0
        if self.handler.admission is None or not self.channel.stream.detach():
            return await self.channel.fill()
        if self.channel.stream.closed():
            raise StreamClosedError()
        self.next_bytes = asyncio.get_running_loop().create_future()
        try:
            self.handler.admission.wait_for_message(self)
            self.channel.parser.feed(await self.next_bytes)
        finally:
            self.next_bytes = None

    async def _respond(self, head: Head, body: bytes) -> bool:
        """Writes the response to a message; returns whether the connection stays open."""
        reply = await self.handler.answer(self, head, body)
        close = self._must_close(head)
        if reply.dump is None:
            data = write_response(reply.status, reply.body, reply.fields, close)
            if (writing := self.channel.stream.put(data)) is None:
                return not close
            rest: Awaitable[None] = writing
        else:
            rest = self._send_dump(reply, reply.dump, close)
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await rest
        except TimeoutError:
            raise StreamClosedError() from None  # no second response may follow a part of the first
        return not close

    async def _send_dump(self, reply: Reply, dump: Dump, close: bool) -> None:
        try:
            await self.channel.write(write_head(reply.status, dump.size, reply.fields, close))
            for piece in dump.pieces():  # each is written before the next is built, to bound memory
                await self.channel.write(piece)
        finally:
            dump.on_sent()

    def _must_close(self, head: Head) -> bool:
        return not head.is_persistent or (
            self.intake.shutdown.must_close(self.clock()) and not self.sends_callbacks
        )

    async def _reject(self, e: MalformedMessageError) -> None:
        """Writes an error response and closes the connection.

        A client that retries at once after a rejection then has to connect again.
        """
        self.value = ConnectionValue.NEW
        self.reservation.resize(0)
        self.table.mark_closable(self, self.value)
        fields = {405: (f"Allow: {e.allow}",), 503: ("Retry-After: 1",)}.get(e.status, ())
        with suppress(StreamClosedError, OSError):
            await self.channel.write(write_response(e.status, f"{e}\n".encode(), fields, close=True))
            # a read that timed out is still pending, and a second one can't start
            if not self.channel.stream.reading():
                await self._linger()

    async def _linger(self) -> None:
        """Shuts down the sending side after the last response, and discards input for LINGER_S.

        Closing a socket with unread bytes sends a reset, which can make the client lose that response.
        """
        stream = self.channel.stream
        self.table.mark_closable(self, ConnectionValue.NEW)
        with suppress(StreamClosedError, OSError, TimeoutError):
            stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER_S):
                for _ in range(64):
                    await stream.read_bytes(65536, partial=True)
