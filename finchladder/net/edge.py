"""An edge connection: one connection from a client, or from a real server that calls back."""

import asyncio
from collections.abc import Awaitable
from functools import partial
from typing import Protocol

from finchladder.core.bodies import NoRoom, Reservation
from finchladder.core.edges import EdgeTable, Worth
from finchladder.net.control import Dump, Reply
from finchladder.net.flows import Answer, Flow
from finchladder.net.http1 import (
    BadMessage,
    Channel,
    Head,
    Parser,
    Stream,
    StreamClosedError,
    parse_request,
    write_head,
    write_response,
)
from finchladder.net.intake import Intake
from finchladder.net.messages import limit_of

FIRST_WITHIN = 2.0  # from a connection's start to its first message's last byte; 3 s are owed
MESSAGE_WITHIN = 2.0  # from a message's first byte to its last
ANSWER_WITHIN = 10.0  # a client must read
LINGER = 0.5  # for reading what a client still sends of a request that was turned away


class Gatekeeper(Protocol):
    """Says whether what has come on a connection that waits for a message is to be read now."""

    def passes(self, edge: "EdgeConnection") -> bool: ...
    def drop(self, edge: "EdgeConnection") -> None: ...


class Desk(Protocol):
    """Knows what is answered to a message. BadMessage: it can't be used, and its connection is closed."""

    intake: Intake

    @property
    def keeper(self) -> Gatekeeper | None: ...

    async def answer(self, edge: "EdgeConnection", head: Head, body: bytes) -> Reply: ...


class EdgeConnection:
    """Reads messages one after another, and writes what is answered. Its mailbox brings flows' answers."""

    def __init__(
        self, stream: Stream, client: str, desk: Desk, table: "EdgeTable[EdgeConnection]",
        body: Reservation,
    ) -> None:  # fmt: skip
        self.channel = Channel(stream, Parser(parse_request, limit_of))
        self.client = client  # the peer's IP address
        self.desk, self.table = desk, table
        self.intake, self.clock = desk.intake, desk.intake.clock
        self.body = body  # of what is being read or worked on
        self.given: Answer | None = None  # what the flow's answer is, once it is there
        self.wanted: asyncio.Future[None] | None = None
        self.flow: Flow | None = None
        self.busy = False  # between a message's first byte and its answer's last
        self.calls_back = False
        self.worth = Worth.NEW
        self.let_in = False  # by the gate: the next message is read at once
        self.first_within: asyncio.Timeout | None = None
        stream.set_close_callback(self._closed)

    def used(self, worth: Worth) -> None:
        self.worth = max(self.worth, worth)

    def deliver(self, answer: Answer) -> None:
        """Takes the answer of the one flow that is open here."""
        self.given = answer
        if self.wanted is not None and not self.wanted.done():
            self.wanted.set_result(None)

    async def answer_to(self, flow: Flow) -> Answer:
        """Waits for the answer of a flow that was taken."""
        self.flow = flow  # no sooner: this closing must not end another flow with its id
        if self.given is None:
            self.wanted = asyncio.get_running_loop().create_future()
            await self.wanted
            self.wanted = None
        answer, self.given, self.flow = self.given, None, None
        assert answer is not None
        self.used(Worth.OF_USE if answer.kind == "served" else Worth.ASKED)
        if self.channel.stream.closed():
            raise StreamClosedError()
        return answer

    def _closed(self) -> None:
        """A client that closes has gone away."""
        flow, self.flow = self.flow, None
        if flow is not None:
            self.intake.client_left(flow)

    async def serve(self) -> None:
        try:
            async with asyncio.timeout(FIRST_WITHIN) as self.first_within:
                message = await self._read()
            self.first_within = None
            while await self._work(*message):
                message = await self._read()
        except BadMessage as e:
            await self._turn_away(e)
        except NoRoom:
            await self._turn_away(BadMessage(503, "too much is being sent at once"))
        except TimeoutError:
            if self.busy:  # a connection on which nothing came is closed without a word
                await self._turn_away(BadMessage(408, "the request took too long to come"))
        except (StreamClosedError, OSError):
            pass
        finally:
            self.channel.close()

    async def _read(self) -> tuple[Head, bytes]:
        self.body.hold(0)
        if not self.channel.parser.begun:
            self.busy = False
            self.table.idle(self.clock(), self, self.worth)
            await self._first_bytes()
        self.busy = True
        head = self.channel.parser.take_head()
        if head is not None:
            self.body.hold(self.channel.parser.most)
            message = self.channel.parser.poll()
        if head is None or message is None:  # most come whole, and then no timer is set
            async with asyncio.timeout(MESSAGE_WITHIN):
                head = await self.channel.head()
                self.body.hold(self.channel.parser.most)
                message = await self.channel.message()
        self.table.work(self)
        return message

    async def _first_bytes(self) -> None:
        if self.desk.keeper is None or self.calls_back:
            return await self.channel.fill()
        self.channel.stream.gate = partial(self.desk.keeper.passes, self)
        try:
            await self.channel.fill()
        finally:
            self.channel.stream.gate, self.let_in = None, False

    def whole_in_time(self) -> None:
        """Its first message is there, and left unread for a while: that is not its client's fault."""
        if self.first_within is not None:
            self.first_within.reschedule(None)

    async def _work(self, head: Head, body: bytes) -> bool:
        """True: the connection is kept."""
        reply = await self.desk.answer(self, head, body)
        close = self._closes(head)
        if reply.dump is None:
            data = write_response(reply.status, reply.body, reply.fields, close)
            if (writing := self.channel.stream.put(data)) is None:
                return not close
            rest: Awaitable[None] = writing
        else:
            rest = self._dump(reply, reply.dump, close)
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
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
        return not head.keeps or (self.intake.leaving.closing(self.clock()) and not self.calls_back)

    async def _turn_away(self, e: BadMessage) -> None:
        """Bytes that were never read would turn the closing into a reset that overtakes the answer.

        The connection is closed: whoever sends again as soon as it is turned away has to connect again.
        """
        self.worth = Worth.NEW
        self.body.hold(0)
        self.table.wait(self, self.worth)
        fields = {405: (f"Allow: {e.allow}",), 503: ("Retry-After: 1",)}.get(e.status, ())
        try:
            await self.channel.write(write_response(e.status, f"{e}\n".encode(), fields, close=True))
            if self.channel.stream.reading():  # given up when its time was over: no other read may begin
                return
            async with asyncio.timeout(LINGER):
                for _ in range(64):
                    await self.channel.stream.read_bytes(65536, partial=True)
        except (StreamClosedError, OSError, TimeoutError):
            pass
