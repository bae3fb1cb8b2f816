"""Role `load`: the clients of a run on real sockets.

Open loop: what is due is sent, whatever became of what was sent before, and latency counts from the due
time. The loop looks every millisecond for what is due; how late that was stands in the ledger
(`Asked.begun` minus `Asked.due`, and `Lateness`). Closed loop: so many requests are kept in flight.

Clients behind one gateway share its connections: the last one that became idle is used first, another is
opened when all are busy, and the front decides whose dispatcher it goes to. A dispatcher may close an idle
connection; should that cross a request that it has not read, the request is sent once more on a new
connection under the same id. That it has not read it is known from the kernel: what ends with unread bytes,
or is written to after it was closed, is reset. A connection that ended in good order after its request was
read has lost it.

Bounds: `most_in_flight` tries at once, a connection for each of them and those held open or idle for less
than 30 s; 2,000 rude connections; a window of the schedule. Costs grow with the requests, not with the
connections.
"""

import asyncio
import errno
import heapq
import math
import os
import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import cycle
from typing import Any, cast

import httptools

from finchladder.lab.control import Order, Word
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.drivers.sockets import reset, split
from finchladder.lab.faults import strikes
from finchladder.lab.models import rude
from finchladder.lab.models.clients import GATEWAYS, Client, ClientModel, Send, Wish, population
from finchladder.lab.models.front import FrontModel
from finchladder.lab.records import Answered, Asked, End, Mark, Rude, digest
from finchladder.lab.schedule import Block, Schedule, ids, key_text
from finchladder.lab.wire import Message, Parser, WireError

TICK_S = 0.001
AT_ONCE = 100  # arrivals in one go: a storm of them must not keep answers waiting
SPREAD = 37  # a closed loop goes round the gateways in such steps: no factor of their number
BUCKET_S = 0.01  # tries are given up to the nearest of these
HOUSE_S, HELD_AT_ONCE = 0.1, 50  # so often is looked after held connections, and so many are opened then
KEEP_S = 30.0  # an idle connection beyond the held ones is closed by its clients after so long
CONNECT_S = 5.0  # a connection that is still not there is given up
CROSSING_S = 0.05  # so long after a connection's end a reset may follow it (through a relay)
AFTERMATH_S = 1.5  # a relay may still reset connections so long after a fault of their link
PAUSE_S = 0.05  # of a closed loop whose request reached nobody
GRACE_S = 0.008  # beyond patience and the file's slack: an answer in this time is in time by the settings
MOST_RUDE = 2000
LATE_STEP_S, LATE_STEPS = 1e-4, 100_000  # the histogram of lateness: 0.1 ms to 10 s
BODY = b"{}"
FRAMED = {"content-length", "transfer-encoding"}  # without either a body ends with its connection
OURS = {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENOBUFS}  # the lab's fault, nobody else's
TCP_CLOSE = 7  # the kernel's state of a connection after a reset; 8, CLOSE_WAIT, after an end in good order


@dataclass(slots=True)
class _Worker:
    """One of the requests that a closed loop keeps in flight, for the clients of one gateway in turn."""

    jobs: Iterator["_Job"]
    clients: Iterator[Client]
    end: float  # of its phase
    think_s: float


@dataclass(slots=True)
class _Job:
    wish: Wish
    key: str
    work: float
    facts: str
    slots: int
    target: str
    digest: int
    origin: str = ""
    worker: _Worker | None = None


@dataclass(slots=True, eq=False)
class _Try:
    id: str
    job: _Job
    due: float
    begun: float
    send: Send
    sent: float = 0.0
    patience: float = 0.0
    dispatcher: str = ""
    connection: "_Connection | None" = None
    bucket: int = 0


class _Connection(asyncio.Protocol):
    """A client's connection: being opened, asking for health, idle in its pool, or busy with a try."""

    def __init__(self, load: "Load", gateway: int, dispatcher: str, attempt: _Try | None) -> None:
        self.load, self.gateway, self.dispatcher, self.attempt = load, gateway, dispatcher, attempt
        self.asks_health = attempt is None
        self.used = 0  # answers that came over it
        self.last_id = ""
        self.idle_since = self.ended_at = 0.0
        self.left = False
        self.parser = Parser(responses=True)
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.opening = cast(asyncio.Transport, transport), None
        if self.left:
            self.transport.abort()
            return
        self.socket = transport.get_extra_info("socket")
        self.fd: int = self.socket.fileno()
        if self.attempt is not None:
            self.write(self.attempt)
        elif self.asks_health:
            self.transport.write(f"GET /_health HTTP/1.1\r\nHost: {self.dispatcher}\r\n\r\n".encode())

    def write(self, attempt: _Try) -> None:
        """Writes at once, past the transport's queue, so that the time of the last byte is true."""
        assert self.transport is not None
        self.attempt, attempt.connection, attempt.dispatcher = attempt, self, self.dispatcher
        job, begun = attempt.job, attempt.begun
        attempt.patience = max(0.001, attempt.send.patience - (time.monotonic() - begun))
        repeat = "X-Repeat: 1\r\n" if attempt.send.repeat else ""
        data = (
            f"POST {job.target} HTTP/1.1\r\nHost: {self.dispatcher}\r\nX-Correlation-Id: {attempt.id}\r\n"
            f"X-Time-Left: {attempt.patience:.3f}\r\nX-Facts: {job.facts}\r\n"
            f"X-Lab-Node: {self.dispatcher}\r\nX-Lab-Work: {job.work:.6f}\r\n{repeat}"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        ).encode() + BODY
        try:
            written = os.write(self.fd, data)
        except BlockingIOError:
            written = 0
        except OSError:  # it has just ended, which the loop is about to tell
            written = len(data)
        attempt.sent = time.monotonic()
        if written < len(data):
            self.transport.set_write_buffer_limits(0)
            self.transport.write(data[written:])

    def resume_writing(self) -> None:
        if self.attempt is not None:
            self.attempt.sent = time.monotonic()

    def data_received(self, data: bytes) -> None:
        try:
            messages = self.parser.feed(data)
        except WireError:  # no whole answer will come of this
            self.left = True
            self._lost("closed")
            reset(self.transport)
            return
        for message in messages:
            if message.status >= 200:
                self._message(message)

    def _message(self, message: Message) -> None:
        now, attempt = time.monotonic(), self.attempt
        self.used += 1
        if not self.asks_health and attempt is None:
            if self.last_id:  # an answer that nobody asked for
                self.load.put_answer(self.last_id, now, message)
            return
        self.attempt, self.asks_health = None, False
        if message.keeps:
            self.load.idle(self, now)
        else:
            self.close()
        if attempt is not None:
            self.last_id = attempt.id
            self.load.answered(attempt, now, message)

    def eof_received(self) -> bool | None:
        """True: the socket stays open for a while, to see whether a reset follows."""
        parser = self.parser
        if self.attempt is None:
            self.load.forget(self)  # its loss is told a little later: no try may go out on it by then
            return None
        if parser.begun and parser.head_done and not FRAMED & parser.headers.keys():
            assert isinstance(parser.raw, httptools.HttpResponseParser)
            status = parser.raw.get_status_code()
            self._message(Message(parser.headers, parser.body, False, status=status))
        elif self.used and not parser.begun:
            if not self._was_reset():
                self.ended_at = time.monotonic()
                self.load.process.loop.call_later(CROSSING_S, self._ended)
                return True
            self._lost("reset")
        return None

    def _was_reset(self) -> bool:
        state: bytes = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] == TCP_CLOSE

    def _ended(self) -> None:
        if self.attempt is not None and not self.left:
            self._lost("reset" if self._was_reset() else "closed")
        reset(self.transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.load.forget(self)
        if not self.left:
            self._lost("closed" if error is None else "reset")

    def _lost(self, end: End) -> None:
        """The other side has ended the connection; the try that was on it ends, or goes out once more."""
        attempt, self.attempt = self.attempt, None
        self.load.forget(self)
        if attempt is None:
            return
        if end == "reset" and self.used and not self.parser.begun and not self.load.struck(self.dispatcher):
            attempt.sent = 0.0
            self.load.connect(self.gateway, attempt)
        else:
            self.load.ended(attempt, self.ended_at or time.monotonic(), end)

    def close(self) -> None:
        """On purpose; whatever still comes is not looked at."""
        self.left, self.attempt = True, None
        if self.opening is not None:
            self.opening.cancel()
        if self.transport is not None:
            self.transport.close()
        self.load.forget(self)


class _Ear(asyncio.Protocol):
    """Hears what a dispatcher answers to a rude client."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.parser = Parser(responses=True)
        self.statuses: list[int] = []
        self.over: asyncio.Future[None] = loop.create_future()

    def data_received(self, data: bytes) -> None:
        try:
            self.statuses += [m.status for m in self.parser.feed(data) if m.status >= 200]
        except WireError:
            self.statuses.append(0)  # no answer at all
            self.connection_lost(None)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.over.done():
            self.over.set_result(None)


@dataclass
class _Counts:
    offered: int = 0  # first tries that were due
    tries: int = 0
    answered: int = 0
    overflow: int = 0  # arrivals that were not sent, as too much was in flight
    skipped_rude: int = 0
    late: list[int] = field(default_factory=lambda: [0] * LATE_STEPS)
    late_worst_s: float = 0.0
    rude: int = 0  # rude clients that are done

    def add_late(self, late_s: float) -> None:
        self.late[min(int(late_s / LATE_STEP_S), LATE_STEPS - 1)] += 1
        self.late_worst_s = max(self.late_worst_s, late_s)

    def late_p99_s(self) -> float:
        """Upper end of the step that holds the 99th percentile; 0 without arrivals."""
        left = math.ceil(sum(self.late) * 0.99)
        for step, count in enumerate(self.late):
            left -= count
            if left <= 0 and count:
                return (step + 1) * LATE_STEP_S
        return 0.0


class Load(Role):
    def __init__(self, process: Process) -> None:
        super().__init__(process)
        plan = process.plan
        experiment = plan.experiment
        self.load, self.classes, self.slack_s = experiment.load, experiment.job_class, experiment.slack_s
        self.schedule = Schedule(experiment, plan.seed, plan.part, plan.parts)
        self.clients = population(experiment, plan.seed, plan.part)
        self.model = ClientModel(self.load.retries, process.rng)
        self.ids = ids(plan.seed, plan.part)
        self.front = FrontModel(experiment.front, plan.zone_of, process.rng)
        self.addresses = {name: split(address) for name, address in plan.dispatchers.items()}
        self.zones = {client.gateway: client.zone for client in self.clients}
        self.pools: list[dict[_Connection, None]] = [{} for _ in range(GATEWAYS)]
        self.connections: set[_Connection] = set()
        self.held = self._part(self.load.connections)
        self.most = max(1, self._part(self.load.most_in_flight))
        self.next_held = 0  # gateway
        self.rude_open = 0
        self.tries: set[_Try] = set()
        self.counts = _Counts()
        self.zero = math.inf
        self.row: _Job | None = None
        self.rows = self._rows(self.schedule.open())
        self.rude = self.schedule.rude()
        self.next_rude = next(self.rude, None)
        self.later: list[tuple[float, int, _Job | _Worker]] = []  # a heap
        self.ready: deque[tuple[float, _Job | _Worker]] = deque()
        self.draining = False
        self.serial = 0
        self.buckets: dict[int, set[_Try]] = {}  # open tries by the time at which they are given up
        self.swept = 0
        self.housed = self.lived = 0.0
        self.stopped = False
        self.strikes: dict[str, list[tuple[float, float]]] = {}  # seconds from the arrivals' begin
        for strike in strikes(experiment) if experiment.network.on else ():
            for link in strike.targets if strike.of == "links" else ():
                before, _, dispatcher = link.partition(">")
                if before == "clients":
                    span = (strike.at, strike.at + strike.for_s + AFTERMATH_S)
                    self.strikes.setdefault(dispatcher, []).append(span)

    def struck(self, dispatcher: str) -> bool:
        """Whether the run itself may now reset clients' connections to it: such a reset proves nothing."""
        now = time.monotonic() - self.zero
        return any(begin <= now <= end for begin, end in self.strikes.get(dispatcher, ()))

    def _part(self, whole: int) -> int:
        plan = self.process.plan
        return whole // plan.parts + (plan.part < whole % plan.parts)

    async def open(self) -> Any:
        self.schedule.check()
        self.lived = time.monotonic()
        self.swept = int(self.lived / BUCKET_S)
        self._tick()
        return {}

    def order(self, order: Order) -> None:
        now = time.monotonic()
        match order.what:
            case "up":
                self.front.healthy(now, order.data["name"])
            case "down":
                notices_s = 0.0 if order.data.get("planned") else None
                self.front.died(now, order.data["name"], notices_s)
            case "go":
                self._go(order.at)

    def _go(self, at: float) -> None:
        self.zero = at
        self.row = next(self.rows, None)
        for index, (phase, begin, end) in enumerate(self.schedule.stretches):
            if not (phase.rate or phase.to_rate or phase.law == "trace"):
                jobs = self._rows(self.schedule.closed(index))
                for n in range(self.schedule.in_flight(index)):
                    # spread, so that so many in flight take as many connections, and come from all zones
                    clients = cycle(self.clients[n * SPREAD % GATEWAYS :: GATEWAYS])
                    self._push(at + begin, _Worker(jobs, clients, at + end, phase.think_s))

    def _rows(self, blocks: Iterator[Block]) -> Iterator[_Job]:
        for block in blocks:
            columns = (c.tolist() for c in block)
            for due, index, key, work, slots, client, memory in zip(*columns, strict=True):
                job_class, text = self.classes[index], key_text(key)
                target = f"/{job_class.name}/{text}" if text else f"/{job_class.name}"
                wish = Wish(job_class, self.clients[client], self.zero + due)
                facts = f"slots={slots},memory={memory:.6g}" if memory else f"slots={slots}"
                yield _Job(wish, text, work, facts, slots, target, digest("POST", target, BODY))

    def _tick(self) -> None:
        if self.stopped:
            return
        now, sent = time.monotonic(), 0
        while self.row is not None and self.row.wish.due <= now and sent < AT_ONCE:
            self._arrive(self.row, now)
            self.row, sent, now = next(self.rows, None), sent + 1, time.monotonic()
        while self.later and self.later[0][0] <= now:
            due, _, what = heapq.heappop(self.later)
            self._push(due, what)
        while self.next_rude is not None and self.zero + self.next_rude[0] <= now:
            self.process.spawn(self._play(self.next_rude[1]))
            self.next_rude = next(self.rude, None)
        self._give_up(now)
        if now - self.housed >= HOUSE_S:
            self._house(now)
        if sent < AT_ONCE:
            self.process.loop.call_later(TICK_S, self._tick)
        else:
            self.process.loop.call_soon(self._tick)

    def _arrive(self, job: _Job, now: float) -> None:
        late = now - job.wish.due
        self.counts.offered += 1
        self.counts.add_late(late)
        self.process.worst = max(self.process.worst, late)
        if len(self.tries) < self.most:
            self._start(job, job.wish.due)
            return
        if not self.counts.overflow:
            self.process.put(Mark(now, "load:overflow"))
        self.counts.overflow += 1

    def _push(self, due: float, what: _Job | _Worker) -> None:
        if due > time.monotonic():
            self.serial += 1
            heapq.heappush(self.later, (due, self.serial, what))
            return
        self.ready.append((due, what))
        if not self.draining:
            self.draining = True
            self.process.loop.call_soon(self._drain)

    def _drain(self) -> None:
        """Some at a time: a closed loop begins with all its connections at once."""
        for _ in range(min(AT_ONCE, len(self.ready))):
            due, what = self.ready.popleft()
            self._take_up(what, due)
        self.draining = bool(self.ready)
        if self.draining:
            self.process.loop.call_soon(self._drain)

    def _take_up(self, what: _Job | _Worker, due: float) -> None:
        if self.stopped:
            return
        if isinstance(what, _Job):
            self._start(what, due)
        elif due < what.end:
            job = next(what.jobs)
            job.worker, job.wish.due, job.wish.client = what, due, next(what.clients)
            self.counts.offered += 1
            self._start(job, due)

    def _start(self, job: _Job, due: float) -> None:
        """A try begins: on an idle connection of its gateway, or on a new one."""
        now = time.monotonic()
        first = not job.wish.tries
        send = self.model.send(job.wish, now)
        if send is None and not first:
            self._over(job, now)
            return
        attempt = _Try(next(self.ids), job, due, now, send or Send(0.0, 0.0, False))
        job.origin = job.origin or attempt.id
        self.tries.add(attempt)
        self.process.count()
        if send is None:  # taken up so late that nobody waits any more
            self.ended(attempt, now, "unconnected")
            return
        grace = 0.0 if job.wish.client.impatient else self.slack_s + GRACE_S
        attempt.bucket = math.ceil((now + send.leaves + grace) / BUCKET_S)
        self.buckets.setdefault(attempt.bucket, set()).add(attempt)
        gateway = job.wish.client.gateway
        if pool := self.pools[gateway]:
            pool.popitem()[0].write(attempt)
        else:
            self.connect(gateway, attempt)

    def connect(self, gateway: int, attempt: _Try | None) -> None:
        """Opens a connection for a try, or one that is to be held."""
        dispatcher = self.front.pick(time.monotonic(), self.zones[gateway])
        if not dispatcher:
            if attempt is not None:
                self.ended(attempt, time.monotonic(), "unconnected")
            return
        connection = _Connection(self, gateway, dispatcher, attempt)
        self.connections.add(connection)
        if attempt is not None:
            attempt.connection = connection
        connection.opening = self.process.spawn(self._connect(connection))

    async def _connect(self, connection: _Connection) -> None:
        host, port = self.addresses[connection.dispatcher]
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.process.loop.create_connection(lambda: connection, host, port)
        except OSError as e:  # a timeout is one of them
            if e.errno in OURS:
                raise
            attempt, connection.attempt = connection.attempt, None
            self.forget(connection)
            if attempt is not None:
                self.ended(attempt, time.monotonic(), "unconnected")

    def idle(self, connection: _Connection, now: float) -> None:
        connection.idle_since = now
        self.pools[connection.gateway][connection] = None

    def forget(self, connection: _Connection) -> None:
        self.connections.discard(connection)
        self.pools[connection.gateway].pop(connection, None)

    def answered(self, attempt: _Try, now: float, message: Message) -> None:
        try:
            retry_after = max(0.0, float(message.headers.get("retry-after", 0.0)))
        except ValueError:
            retry_after = 0.0
        body = message.body.decode(errors="replace") if message.status == 200 else ""
        self.counts.answered += 1
        self.ended(attempt, now, "answer", message.status, body, retry_after)

    def put_answer(self, id: str, now: float, message: Message) -> None:
        """A second answer to a request that had one."""
        body = message.body.decode(errors="replace") if message.status == 200 else ""
        self.process.put(Answered(id, now, "answer", message.status, body))

    def ended(
        self,
        attempt: _Try,
        now: float,
        end: End,
        status: int = 0,
        body: str = "",
        retry_after: float = 0.0,
    ) -> None:
        """The one end of a try: into the ledger, and what its client does then."""
        self.tries.remove(attempt)  # a second end would be a bug of the lab, and ends the process
        if bucket := self.buckets.get(attempt.bucket):
            bucket.discard(attempt)  # kept until then, all ended tries would weigh on the garbage collector
        self.counts.tries += 1
        job, number = attempt.job, max(0, attempt.job.wish.tries - 1)
        wish, unsent = job.wish, end == "unconnected"
        self.process.put(
            Asked(
                attempt.id,
                job.origin,
                number,
                wish.client.name,
                "" if unsent else attempt.dispatcher,
                wish.job_class.name,
                job.key,
                attempt.due,
                now if unsent else attempt.sent,
                attempt.send.patience if unsent else attempt.patience,
                job.work,
                job.slots,
                attempt.begun,
                job.digest,
            )
        )
        self.process.put(Answered(attempt.id, now, end, status, body, retry_after))
        if self.stopped:
            return
        due = self.model.ended(wish, now, end, status, retry_after)
        if due is not None:
            self._push(due, job)
        else:
            self._over(job, now + PAUSE_S if unsent else now)

    def _over(self, job: _Job, now: float) -> None:
        if job.worker is not None:
            self._push(now + job.worker.think_s, job.worker)

    def _give_up(self, now: float) -> None:
        last = int(now / BUCKET_S)
        for bucket in range(self.swept + 1, last + 1):
            for attempt in self.buckets.pop(bucket, ()):
                self._leave(attempt, now, "left" if attempt.job.wish.client.impatient else "silent")
        self.swept = last

    def _leave(self, attempt: _Try, now: float, end: End) -> None:
        connection = attempt.connection
        if connection is not None and connection.attempt is attempt:
            connection.close()
        self.ended(attempt, now, end if attempt.sent else "unconnected")

    def _house(self, now: float) -> None:
        """Opens held connections that are missing, closes idle ones beyond them, tells how things stand."""
        self.housed = now
        missing = self.held - len(self.connections)
        for _ in range(min(missing, HELD_AT_ONCE)):
            self.connect(self.next_held % GATEWAYS, None)
            self.next_held += 1
        spare = -missing
        if spare > 0:
            for pool in self.pools:
                while spare > 0 and pool and (oldest := next(iter(pool))).idle_since < now - KEEP_S:
                    oldest.close()
                    spare -= 1
        if now - self.lived >= 1.0:
            self.lived = now
            self.process.say(Word("live", data=self._live()))
        if not self.process.said_done and self._done(now):
            self.process.say(Word("done", data=self._figures()))

    def _done(self, now: float) -> bool:
        end = self.zero + self.schedule.end
        if now < end or self.row is not None:
            return False
        return now >= end + self.process.plan.experiment.settle_s or not (
            self.tries or self.later or self.ready
        )

    def _live(self) -> dict[str, Any]:
        counts = self.counts
        return {
            "offered": counts.offered,
            "tries": counts.tries,
            "answered": counts.answered,
            "in_flight": len(self.tries),
            "connections": len(self.connections),
            "late_worst_s": counts.late_worst_s,
        }

    def _figures(self) -> dict[str, Any]:
        counts = self.counts
        return {
            **self._live(),
            "late_p99_s": counts.late_p99_s(),
            "overflow": counts.overflow,
            "skipped_rude": counts.skipped_rude,
            "rude": counts.rude,
        }

    async def _play(self, seed: int) -> None:
        """One rude client, from its connection to its end."""
        drawn = rude.draw(seed, [c.name for c in self.classes])
        dispatcher = self.front.pick(time.monotonic(), self.zones[seed % GATEWAYS])
        if not dispatcher or self.rude_open >= MOST_RUDE:
            self.counts.skipped_rude += 1
            return
        self.rude_open += 1
        ear = _Ear(self.process.loop)
        try:
            ending = await self._rude(drawn, ear, self.addresses[dispatcher])
        finally:
            self.rude_open -= 1
        wrong = rude.wrong(drawn, ear.statuses)
        self.process.put(Rude(time.monotonic(), drawn.kind, dispatcher, ending, wrong))
        self.counts.rude += 1

    async def _rude(self, drawn: rude.Rude, ear: _Ear, address: tuple[str, int]) -> str:
        make: Callable[[], _Ear] = lambda: ear  # noqa: E731
        try:
            async with asyncio.timeout(CONNECT_S):
                transport, _ = await self.process.loop.create_connection(make, *address)
        except OSError as e:  # a timeout is one of them
            if e.errno in OURS:
                raise
            return "unconnected"
        try:
            for step in drawn.steps:
                if step.wait_s:
                    await asyncio.wait((ear.over,), timeout=step.wait_s)
                if ear.over.done():
                    break
                transport.write(step.data)
            await asyncio.wait((ear.over,), timeout=drawn.listens_s)
        finally:
            if drawn.resets:
                reset(transport)
            transport.abort()
        if ear.statuses:
            return str(ear.statuses[0])
        return "closed" if ear.over.done() else "silent"

    async def finish(self) -> Any:
        self.stopped = True
        now = time.monotonic()
        for attempt in list(self.tries):
            self._leave(attempt, now, "left")
        return self._figures()

    def close(self) -> None:
        self.stopped = True
        for connection in list(self.connections):
            connection.close()
