"""Clients: edge connections, their flows, and the real servers' call-backs to this address."""

import asyncio
import math
import re
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

import msgspec
from loguru import logger
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream
from tornado.queues import Queue
from tornado.tcpserver import TCPServer

from finchladder.config.options import OFF, Options
from finchladder.core import api
from finchladder.core.edges import EdgeTable, Worth
from finchladder.features.arrivals import Arrivals, Verdict
from finchladder.features.capture import Capture
from finchladder.features.drills import Effect
from finchladder.net.control import Controls, Dump, Reply
from finchladder.net.flows import Answer, Flow, Flows
from finchladder.net.http1 import (
    MAX_BODY,
    PIECE,
    BadMessage,
    Channel,
    Head,
    Parser,
    StreamClosedError,
    parse_request,
    write_head,
    write_response,
)  # fmt: skip
from finchladder.net.messages import HttpMessage
from finchladder.net.module import Clock, ModuleActor
from finchladder.net.servers import CallBack

HEALTH, CALL_BACK = "/_health", "/v1/job-events"
MAX_CALL_BACK = 6 * MAX_BODY + 16 * 1024  # a result of full length in which JSON escapes every byte
EDGE, OPEN = 0.55, 1 / 3  # parts of all sockets: edge connections, and flows; call-backs need the rest
BODIES = 0.25  # part of the memory for the bodies of what is being read or is open
BODIES_LEAST = 0.0625  # and with the features on, whatever they hold
FIRST_WITHIN = 2.0  # from a connection's start to its first message's last byte; 3 s are owed
MESSAGE_WITHIN = 2.0  # from a message's first byte to its last
ANSWER_WITHIN = 10.0  # a client must read
LINGER = 0.5  # for reading what a client still sends of a request that was turned away
IDLE_STAYS = 1.8  # after SIGTERM: clients use kept connections until then; others may be leaving as well
AT_EASE, GONE_BY = 0.6, 3.5  # what comes later than the one after SIGTERM must be answered before the other
JUST_CAME = 0.25
LEAVE_AFTER = 1.0
BACKLOG = 1024
REPEATED = "a request with this X-Correlation-Id has come already"

_ID = re.compile(r"[!-~]{1,128}")
_TIME_LEFT = re.compile(r"[0-9]{1,6}(\.[0-9]{0,9})?|\.[0-9]{1,9}")


def key_of(text: str) -> int | None:
    """The same number at every dispatcher and after every start; Python's hash() is neither."""
    return int.from_bytes(blake2b(text.encode(), digest_size=7).digest(), "big") if text else None


def read_target(target: str) -> tuple[str, int | None]:
    """The class is the path's first part, the key its last where there is more than one."""
    parts = target.partition("?")[0].split("/")
    return parts[1] if len(parts) > 1 else "", key_of(parts[-1]) if len(parts) > 2 else None


def read_id(head: Head) -> str:
    value = head.headers.get("x-correlation-id")
    if value is None or not _ID.fullmatch(value):
        raise BadMessage(400, "X-Correlation-Id is missing, repeated or unusable")
    return value


def read_time_left(head: Head) -> float:
    value = head.headers.get("x-time-left") or ""
    left = float(value) if _TIME_LEFT.fullmatch(value) else 0.0
    if left <= 0:
        raise BadMessage(400, "X-Time-Left is missing, repeated or unusable")
    return left


def read_facts(head: Head) -> dict[str, float]:
    """X-Facts: name=value pairs; of those known here each must be a number that can be."""
    facts: dict[str, float] = {}
    for pair in ",".join(head.headers.all("x-facts")).split(","):
        name, _, value = (part.strip() for part in pair.partition("="))
        if name not in ("slots", "memory"):
            continue
        try:
            facts[name] = float(value)
        except ValueError:
            raise BadMessage(400, f"X-Facts: {name} is no number") from None
        if not (math.isfinite(facts[name]) and 0 <= facts[name] < 1e6):
            raise BadMessage(400, f"X-Facts: {name} can't be used")
    return facts


def read_call_back(body: bytes) -> CallBack:
    try:
        return _call_backs.decode(body)
    except msgspec.MsgspecError as e:
        raise BadMessage(400, str(e)) from None


_call_backs = msgspec.json.Decoder(CallBack)


def limit_of(head: Head) -> int:
    return MAX_CALL_BACK if head.target.partition("?")[0] == CALL_BACK else MAX_BODY


def write_answer(answer: Answer, close: bool) -> bytes:
    if answer.kind == "served":
        return write_response(200, answer.body, close=close)
    if answer.kind == "refused":
        after = (f"Retry-After: {answer.retry_after:g}",) if answer.retry_after > 0 else ()
        return write_response(503, b"refused\n", after, close)
    return write_response(502, b"failed\n", close=close)


class EdgeConnection:
    """One connection from a client, or from a real server that calls back. Its mailbox brings answers."""

    def __init__(self, stream: IOStream, client: str, clients: "Clients") -> None:
        self.channel = Channel(stream, Parser(parse_request, limit_of))
        self.client = client  # the peer's IP address
        self.clients = clients
        self.box: Queue[Answer | None] = Queue(2)
        self.flow: Flow | None = None
        self.busy = False  # between a message's first byte and its answer's last
        self.calls_back = False
        self.worth = Worth.NEW
        self.held = 0  # bytes that the body being read or worked on may take
        stream.set_close_callback(self._closed)

    def _closed(self) -> None:
        """A client that closes has gone away: the module is told, and nobody is answered any more."""
        flow, self.flow = self.flow, None
        if flow is not None and flow.answer is None:
            self.clients.flows.finish(flow, Answer("left"))
            self.clients.module.tell(api.ClientGone(flow.id))

    async def serve(self) -> None:
        try:
            async with asyncio.timeout(FIRST_WITHIN):
                message = await self._read()
            while await self._work(*message):
                message = await self._read()
        except BadMessage as e:
            await self._turn_away(e)
        except TimeoutError:
            if self.busy:  # a connection on which nothing came is closed without a word
                await self._turn_away(BadMessage(408, "the request took too long to come"))
        except (StreamClosedError, OSError):
            pass
        finally:
            self.channel.close()

    async def _read(self) -> tuple[Head, bytes]:
        self.clients.hold(self, 0)
        if not self.channel.parser.begun:
            self.busy = False
            self.clients.edges.idle(self.clients.clock(), self, self.worth)
            await self.channel.fill()
        self.busy = True
        async with asyncio.timeout(MESSAGE_WITHIN):
            head = await self.channel.head()
            self.clients.hold(self, self.channel.parser.most)
            message = head, (await self.channel.message())[1]
        self.clients.edges.work(self)
        return message

    async def _work(self, head: Head, body: bytes) -> bool:
        answer = await self._answer(head, body)
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                await self.channel.write(answer)
        except TimeoutError:
            raise StreamClosedError() from None  # no second answer may follow half of the first
        return not self._closes(head)

    def _closes(self, head: Head) -> bool:
        return not head.keeps or (self.clients.closing and not self.calls_back)

    async def _turn_away(self, e: BadMessage) -> None:
        """Bytes that were never read would turn the closing into a reset that overtakes the answer.

        The connection is closed: whoever sends again as soon as it is turned away has to connect again.
        """
        self.worth = Worth.NEW
        self.clients.hold(self, 0)
        self.clients.edges.wait(self, self.worth)
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

    async def _answer(self, head: Head, body: bytes) -> bytes:
        path = head.target.partition("?")[0]
        if path == CALL_BACK:
            self.calls_back = True
            if head.method != "POST":
                raise BadMessage(405, "call-backs come by POST")
            self.clients.called_back(read_call_back(body))
            self.worth = Worth.OF_USE
            return write_response(204, close=self._closes(head))
        if path == HEALTH:
            up = self.clients.ready() and not self.clients.leaving
            self.worth = max(self.worth, Worth.ASKED)
            return write_response(
                200 if up else 503, b"up\n" if up else b"not up\n", close=self._closes(head)
            )
        if (reply := self.clients.controls.answer(head, body)) is not None:
            self.worth = max(self.worth, Worth.ASKED)
            if reply.dump is not None:
                return await self._dump(reply, reply.dump, self._closes(head))
            return write_response(reply.status, reply.body, reply.fields, self._closes(head))
        job_class, key = read_target(head.target)
        if job_class not in self.clients.classes:
            raise BadMessage(404, "no such class")
        if head.method != "POST":
            raise BadMessage(405, "jobs come by POST")
        if self.channel.parser.more:  # what follows unasked may be a request hidden in this one's body
            raise BadMessage(400, "one request at a time")
        id, facts, left = read_id(head), read_facts(head), read_time_left(head)
        verdict = self.clients.arrive(self.client, id, job_class, left)
        if verdict.wait > 0:  # before there is a flow
            self.worth = max(self.worth, Worth.ASKED)
            after = f"Retry-After: {verdict.wait:g}"
            return write_response(429, b"too many requests\n", (after,), self._closes(head))
        flow = Flow(
            id, job_class, key, facts, HttpMessage(head.method, head.target, head.headers, body),
            self.clients.latest(self.clients.clock() + left), self.box.put_nowait,
        )  # fmt: skip
        self.clients.take(flow, verdict.drill)
        self.flow = flow  # only once it is taken: this closing must not end another flow with its id
        answer = await self.box.get()
        self.flow = None
        served = answer is not None and answer.kind == "served"
        self.worth = Worth.OF_USE if served else max(self.worth, Worth.ASKED)
        if answer is None or self.channel.stream.closed():
            raise StreamClosedError()
        return write_answer(answer, self._closes(head))


    async def _dump(self, reply: Reply, dump: Dump, close: bool) -> bytes:
        """In pieces, each written before the next is made; returns the last one's rest, which is none."""
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                await self.channel.write(write_head(reply.status, dump.size, reply.fields, close))
                for piece in dump.pieces():
                    await self.channel.write(piece)
        except TimeoutError:
            raise StreamClosedError() from None
        finally:
            dump.over()
        return b""


class Clients(TCPServer):
    """Listens, and owns all edge connections."""

    def __init__(
        self, classes: set[str], flows: Flows, module: ModuleActor, clock: Clock, ready: Callable[[], bool],
        called_back: Callable[[CallBack], None], sockets: int, memory_mb: int, options: Options = OFF,
        arrivals: Arrivals | None = None, capture: Capture | None = None,
    ) -> None:  # fmt: skip
        super().__init__(max_buffer_size=4 * PIECE)
        self.classes, self.flows, self.module, self.clock = classes, flows, module, clock
        self.ready, self.called_back = ready, called_back
        self.most_open = int(OPEN * sockets)
        memory = memory_mb * 1024 * 1024
        # what the features may hold comes off the room for bodies: all together stay as they were without
        self.room = max(int(BODIES * memory) - options.memory(), int(BODIES_LEAST * memory))
        self.arrivals = arrivals or Arrivals(options, 0)
        self.controls = Controls(clock, classes, options, flows.status, self.arrivals, capture)
        self.held: dict[Flow, Effect] = {}  # by a drill
        self.edges: EdgeTable[EdgeConnection] = EdgeTable(int(EDGE * sockets))
        self.tasks: set[asyncio.Task[None]] = set()
        self.leaving, self.left_at = False, 0.0

    def listen_on(self, address: tuple[str, int]) -> None:
        self.listen(address[1], address[0], backlog=BACKLOG)

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Counts at once, as many connections come in one turn of the loop: a count that lags runs over."""
        if self.edges.full and not self._make_room():
            stream.close()
            return
        edge = EdgeConnection(stream, str(address[0]), self)
        self.edges.begin(self.clock(), edge)
        task = asyncio.get_running_loop().create_task(self._serve(edge))
        self.tasks.add(task)  # the loop alone would let go of it
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, edge: EdgeConnection) -> None:
        try:
            await edge.serve()
        except Exception:
            logger.exception("an edge connection died")
            edge.channel.close()
        finally:
            self._drop(edge)

    def _drop(self, edge: EdgeConnection) -> None:
        self.hold(edge, 0)
        self.edges.drop(edge)

    def hold(self, edge: EdgeConnection, size: int) -> None:
        """Reserves memory for a body before it is read; many at once must not pass the memory limit."""
        self.room += edge.held - size
        edge.held = size
        if self.room < 0:
            raise BadMessage(503, "too much is being sent at once")

    def _make_room(self) -> bool:
        edge = self.edges.make_room(self.clock(), lambda e: e.channel.quiet())
        if edge is None:
            logger.error("all {} edge connections are busy: one was closed unread", len(self.edges))
            return False
        edge.channel.close()
        self._drop(edge)
        return True

    @property
    def closing(self) -> bool:
        return self.leaving and self.clock() > self.left_at + IDLE_STAYS

    def latest(self, deadline: float) -> float:
        """When SIGTERM came a while ago, SIGKILL may come before the client's time is up."""
        if self.leaving and self.clock() > self.left_at + AT_EASE:
            return min(deadline, self.left_at + GONE_BY)
        return deadline

    def arrive(self, client: str, id: str, job_class: str, left: float) -> Verdict:
        if self.flows.known(id):
            raise BadMessage(400, REPEATED)
        return self.arrivals.judge(self.clock(), client, id, job_class, left)

    def take(self, flow: Flow, drill: Effect | None = None) -> None:
        if self.flows.known(flow.id):
            raise BadMessage(400, REPEATED)
        self.flows.add(flow)
        if self.flows.open > self.most_open:
            self.flows.finish(flow, Answer("refused", retry_after=1.0))
            return
        loop = IOLoop.current()
        handle = loop.call_later(max(0.0, flow.deadline - self.clock()), self._overdue, flow)
        flow.timer = lambda: loop.remove_timeout(handle)
        if drill is None:
            self.module.tell(flow)
        else:
            self._drill(flow, drill)

    def _drill(self, flow: Flow, drill: Effect) -> None:
        what = "delay" if drill.hold else "abort"
        logger.info("drill={} class={} id={} hold={:g}", what, flow.job_class, flow.id, drill.hold)
        self.held[flow] = drill
        if not drill.hold:
            return self._release(flow)
        loop, overdue = IOLoop.current(), flow.timer
        handle = loop.call_later(drill.hold, self._release, flow)

        def forget() -> None:  # also when the client leaves: nothing may be kept of its flow
            if overdue is not None:
                overdue()
            loop.remove_timeout(handle)
            self.held.pop(flow, None)

        flow.timer = forget

    def _release(self, flow: Flow) -> None:
        if (drill := self.held.pop(flow, None)) is None or flow.answer is not None:
            return
        if drill.abort:
            self.flows.finish(flow, Answer("refused"))
        else:
            self.module.tell(flow)

    def _overdue(self, flow: Flow) -> None:
        """The module answers before this; should it ever not, the client still gets its one answer."""
        if self.flows.finish(flow, Answer("failed")):
            logger.error("a flow was overdue: the module had not answered it")
            self.module.tell(api.ClientGone(flow.id))

    async def leave(self) -> None:
        """After SIGTERM: listens on, answers all that was taken, closes what is idle, returns when done."""
        self.left_at, self.leaving = self.clock(), True
        self.arrivals.leave(self.left_at)
        for flow in list(self.held):  # no drill is worth a job that SIGKILL finds unanswered
            self.held[flow] = Effect()
            self._release(flow)
        await asyncio.sleep(IDLE_STAYS)
        while True:
            busy = [e for e in self.edges if e.busy]
            for edge in list(self.edges):
                # one just accepted is not idle: a call-back, and a result in it, may be on its way
                if not edge.busy and not edge.calls_back and self.edges.older(self.clock(), edge, JUST_CAME):
                    edge.channel.close()
            if not self.flows.open and not busy and self.clock() >= self.left_at + LEAVE_AFTER:
                return
            await asyncio.sleep(0.02)
