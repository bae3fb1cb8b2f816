"""Real servers: an actor for each, with its connections, its attempts and their ends."""

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import quote

from tornado.ioloop import IOLoop, PeriodicCallback

from finchladder.core import api
from finchladder.core.api import Ending as E
from finchladder.core.connections.idle_timeout import AdaptiveIdleTimeout
from finchladder.core.dispatch.attempt_stages import STAGE_RULES, AbandonAction, Step
from finchladder.net import http1
from finchladder.net.actor import Actor
from finchladder.net.decision_actor import DecisionActor, Ending
from finchladder.net.flows import Answer, Attempt, FlowTable
from finchladder.net.http1 import Connect, Head, StreamClosedError
from finchladder.net.messages import CallBack
from finchladder.net.slots import Slots
from finchladder.net.timers import Timers
from finchladder.net.worker_connection import IdleConnections, WorkerConnection

if TYPE_CHECKING:
    from loguru import Logger

MAILBOX_SIZE = 8192
IN_USE, KEPT = 0.23, 0.11  # parts of all sockets, for busy and idle connections to the real servers together
IN_USE_EACH = 24  # a silent real server must not take the connections of the rest
IDLE_PART = 0.6  # of the time after which a real server closes: a request must never cross its closing
REAP_AT_ONCE = 200  # idle connections, and real servers that have left, in one turn of the loop: some 2 ms
DELETE_TIMEOUT_S = 1.0  # for a DELETE
CANCEL_RETRY_INTERVAL_S = 0.25  # seconds between two tries of one on which a further attempt hangs


class Withdrawal(NamedTuple):
    attempt: Attempt


def load_report(head: Head) -> dict[str, float] | None:
    """X-Backend-Load: name=value pairs. What is unusable in it is left out; it only informs."""
    report = {}
    for pair in (head.headers.get("x-backend-load") or "").split(","):
        name, _, value = pair.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return report or None


def outcome(head: Head) -> E | None:
    """PROTOCOL's table for what is answered to a request; None: the job was taken."""
    if head.status == 202:
        return None
    if head.status in (503, 504) and head.headers.get("x-unprocessed") == "1":
        return E.OVERLOADED
    return E.ERROR  # it may have run, whatever else the answer says


CALL_BACK_ENDS = {"done": E.OK, "failed": E.ERROR, "returned": E.OVERLOADED, "lost": E.BROKEN}


class JobExchange:
    """A job on its way to a real server, from the line's point of view."""

    __slots__ = ("server", "attempt", "line")

    def __init__(self, server: "WorkerActor", attempt: Attempt, line: WorkerConnection) -> None:
        self.server, self.attempt, self.line = server, attempt, line

    def answered(self, head: Head) -> None:
        s = self.attempt
        s.connection = None
        ending = outcome(head)
        if ending is None:
            s.step(Step.ACCEPT)
            if not self.server.module.dispatcher.settings.reports_start:
                self.server.begun(s)
        else:
            self.server.end(s, ending, load_report(head))

    def connection_failed(self, written: bool) -> None:
        s = self.attempt
        s.connection = None
        if not written:
            s.step(Step.BREAK)
        elif self.line.idle and not s.ended:  # not closed from this side
            self.server.trust.record_reset(self.server.clock(), self.line.idle)
        self.server.broke(s)  # nothing is sent again here


class CancelExchange:
    """A job is given up at its real server. Nothing hangs on the answer."""

    def answered(self, head: Head) -> None:
        pass

    def connection_failed(self, written: bool) -> None:
        pass


class WorkerActor(Actor[Attempt | Withdrawal | CallBack]):
    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        flows: FlowTable,
        module: DecisionActor,
        timers: Timers,
        connect_timeout: float,
        trust: AdaptiveIdleTimeout,
        all_in_use: Slots,
        kept: IdleConnections,
        connect: Connect,
        each: int,
    ) -> None:
        super().__init__(f"real server {name}", MAILBOX_SIZE)
        self.connect = connect
        self.server, self.address = name, address
        self.flows, self.module, self.clock, self.timers = flows, module, module.clock, timers
        self.connect_timeout, self.trust, self.kept = connect_timeout, trust, kept
        self.ready = True
        self.live: dict[str, Attempt] = {}
        self.idle: list[WorkerConnection] = []  # the one used last is the last
        self.busy = 0
        self.in_use, self.all_in_use = Slots(each), all_in_use

    @property
    def log(self) -> "Logger":
        return super().log.bind(server=self.server)

    @property
    def at_rest(self) -> bool:
        """Whether nothing is under way with it."""
        return not (self.live or self.busy or self.backlog or self.tasks)

    # --- what the mailbox brings --------------------------------------------------------------------------

    def receive(self, item: Attempt | Withdrawal | CallBack) -> None:
        if isinstance(item, Attempt):
            self._begin(item)
        elif isinstance(item, Withdrawal):
            self.end(item.attempt, E.CANCELLED)
        else:
            self._called_back(item)

    def failed(self, item: Attempt | Withdrawal | CallBack) -> None:
        if isinstance(item, CallBack):
            s = self.live.get(item.id)
        else:
            s = item.attempt if isinstance(item, Withdrawal) else item
        if s is not None:
            self.broke(s)

    def _begin(self, s: Attempt) -> None:
        if (
            not self.ready
            or s.flow.id in self.live
            or any(other is not s and other.worker == s.worker for other in s.flow.attempts)
        ):
            # a late call-back about the first attempt here could not be told from one about the second
            return self.end(s, E.VOID)
        self.live[s.flow.id] = s
        self.timers.put(s, s.until, partial(self.end, s, E.TIMED_OUT))
        if (line := self._line_at_once()) is not None:
            self._write(s, line)
        else:
            self.spawn(self._carry(s))

    def _called_back(self, c: CallBack) -> None:
        """Matched by id and sender: it may come before the 202, again, or about a job nobody knows here."""
        s = self.live.get(c.id)
        if s is not None and not STAGE_RULES[s.stage].accepts_callbacks:
            return
        if self.flows.status is not None:  # is told also of one given up here
            self.flows.status.told(self.clock(), c.id, self.server, c.state, c.share)
        if s is None:
            return
        if c.state == "started":
            self.begun(s)
            self.module.tell(api.Started(c.id, s.number))
        elif c.state == "running":
            self.module.tell(api.Progress(c.id, s.number, c.share))
        elif c.state in CALL_BACK_ENDS:
            self.end(s, CALL_BACK_ENDS[c.state], c.report(), c.result.encode("utf-8", "replace"))
        else:
            self.log.bind(id=c.id).warning("{}: unknown job state {!r}", self.name, c.state[:40])

    def begun(self, s: Attempt) -> None:
        """The first that is heard of a job after its send."""
        if self.module.starts is not None and not s.number:
            self.module.starts(self.clock() - s.flow.since)

    # --- the life of an attempt -------------------------------------------------------------------------

    async def _carry(self, s: Attempt) -> None:
        try:
            line = await self._line()
        except (StreamClosedError, OSError, TimeoutError):
            return self.broke(s)
        try:
            self._write(s, line)
        except Exception:
            self.log.bind(**{"id": s.flow.id, "class": s.flow.job_class}).exception(
                "{}: an attempt died", self.name
            )
            line.close()
            self.broke(s)

    def _write(self, s: Attempt, line: WorkerConnection) -> None:
        if s.ended:
            return self._free(line)
        # looked at again right before the write: waiting for a connection took time
        if not self.ready or self.clock() > s.begins_by:
            self._free(line)
            return self.end(s, E.VOID)
        request = s.flow.message.request(self._host(), max(0.0, s.until - self.clock()))
        s.connection = line
        s.step(Step.WRITE)
        line.begin(JobExchange(self, s, line), request)

    def broke(self, s: Attempt) -> None:
        if not s.ended:
            self.end(s, STAGE_RULES[s.stage].ending_if_broken)

    def _host(self) -> str:
        host, port = self.address
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def end(self, s: Attempt, ending: E, report: dict[str, float] | None = None, result: bytes = b"") -> None:
        """Every attempt ends here, and only its first end counts."""
        if s.ended:
            return
        give_up = STAGE_RULES[s.stage].on_abandon
        s.step(Step.END)
        if self.flows.status is not None:
            self.flows.status.ended(s.flow.id, self.server, ending)
        self.timers.drop(s)
        if self.live.get(s.flow.id) is s:
            del self.live[s.flow.id]
        if ending is E.OK:
            self.flows.finish(s.flow, Answer("served", result))
        ended = Ending(s, ending, self.clock() - s.sent, report)
        if ending in (E.CANCELLED, E.TIMED_OUT):
            if give_up is AbandonAction.DELETE:
                if s.flow.answer is None and self._alone() and self.clock() < s.flow.deadline:
                    self.spawn(self._give_up_first(ended))
                    return
                self.spawn(self._give_up(s.flow.id))
            elif give_up is AbandonAction.CLOSE and s.connection is not None:
                s.connection.close()
        self._told(ended)

    def _alone(self) -> bool:
        """Whether no two attempts of one job may be out together."""
        return not self.module.dispatcher.settings.may_hedge

    def _told(self, ended: Ending) -> None:
        self.module.tell(ended)
        self.flows.forget_if_over(ended.attempt.flow)

    async def _give_up_first(self, ended: Ending) -> None:
        """Where no two attempts may be out together: the module hears of the end, and may send the job
        elsewhere, once its DELETE is written. A real server that can't be reached may still run it."""
        flow = ended.attempt.flow
        while not await self._give_up(flow.id) and flow.answer is None and self.clock() < flow.deadline:
            await asyncio.sleep(CANCEL_RETRY_INTERVAL_S)
        self._told(ended)

    async def _give_up(self, id: str) -> bool:
        """Whether the DELETE was written."""
        path = f"/jobs/{quote(id, safe='')}"  # an id is the client's text: it must not make another path
        try:
            async with asyncio.timeout(DELETE_TIMEOUT_S):
                line = await self._line()
                self.timers.put(line, self.clock() + DELETE_TIMEOUT_S, line.close)
                line.begin(CancelExchange(), http1.write_request("DELETE", path, [("Host", self._host())]))
                if line.writing is not None:
                    await line.writing
        except (StreamClosedError, OSError, TimeoutError):
            return False  # the real server is gone or busy
        return line.begun

    # --- lines --------------------------------------------------------------------------------------------

    def _line_at_once(self) -> WorkerConnection | None:
        """A kept line, if one can be had without waiting for a place."""
        if not (self.idle and self.in_use.open and self.all_in_use.open) or (line := self._kept()) is None:
            return None
        self.in_use.acquire()
        self.all_in_use.acquire()
        return self._held(line)

    async def _line(self) -> WorkerConnection:
        """A line for one exchange, kept or new. It holds its places until it is free again, or gone."""
        async with asyncio.timeout(self.connect_timeout), AsyncExitStack() as places:
            for place in (self.in_use, self.all_in_use):
                await place.wait()
                places.callback(place.release)
            line = self._kept() or WorkerConnection(await self.connect(self.address), self._free, self._gone)
            places.pop_all()
        return self._held(line)

    def _held(self, line: WorkerConnection) -> WorkerConnection:
        line.held = True
        self.busy += 1
        return line

    def _kept(self) -> WorkerConnection | None:
        while self.idle:
            line = self.idle.pop()
            self.kept.drop(line)
            now = self.clock()
            line.idle = now - line.since
            if line.idle < self.trust.limit_s(now) and line.usable():
                return line
            line.close()
        return None

    def _let_go(self, line: WorkerConnection) -> None:
        line.held = False
        self.busy -= 1
        self.timers.drop(line)
        self.in_use.release()
        self.all_in_use.release()

    def _free(self, line: WorkerConnection) -> None:
        self._let_go(line)
        if self.ready:
            self.idle.append(line)
            self.kept.put(line, self.clock())
        else:
            line.close()

    def _gone(self, line: WorkerConnection) -> None:
        if line.held:
            self._let_go(line)
        elif line in self.idle:
            self.idle.remove(line)
            self.kept.drop(line)

    def drop_idle(self) -> None:
        for line in self.idle:
            line.close()


class WorkerPool:
    """The actors of all real servers that were ever named and still matter. Costs grow with what changes."""

    def __init__(
        self,
        flows: FlowTable,
        module: DecisionActor,
        timers: Timers,
        connect_timeout: float,
        conn_idle: float,
        sockets: int,
        connect: Connect,
        each: int = IN_USE_EACH,
    ) -> None:
        """`each`: connections to one real server at the most."""
        self.flows, self.module, self.clock, self.timers = flows, module, module.clock, timers
        self.connect, self.each = connect, each
        self.connect_timeout, self.trust = (
            connect_timeout,
            AdaptiveIdleTimeout(self.clock(), conn_idle * IDLE_PART),
        )
        self.actors: dict[str, WorkerActor] = {}
        self.starts: dict[str, float] = {}
        self.fading: dict[str, WorkerActor] = {}  # not ready: they go once nothing is under way with them
        self.all_in_use = Slots(int(IN_USE * sockets))
        self.kept = IdleConnections(int(KEPT * sockets))
        self.reaper = PeriodicCallback(self._reap, 1000)

    def start(self) -> None:
        self.reaper.start()

    def update(self, worker_list: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        """Readiness and addresses apply at once, ahead of every mailbox; then the module is told."""
        if worker_list.kind is not api.ListKind.PATCH:
            named = {e.worker for e in worker_list.entries}
            for name, actor in self.actors.items():
                if name not in named:
                    self._set_ready(actor, False)
        for e in worker_list.entries:
            if e.worker not in self.actors and e.state is api.WorkerStatus.REMOVED:
                continue
            actor = self.actors.get(e.worker) or self._add(e.worker, addresses[e.worker])
            self._set_ready(actor, e.state is api.WorkerStatus.READY)
            address = addresses.get(e.worker, actor.address)
            if actor.address != address or self.starts.get(e.worker, e.started_at) != e.started_at:
                actor.drop_idle()  # connections to a process that is no more
            actor.address, self.starts[e.worker] = address, e.started_at
        self.module.tell(worker_list)

    def retire(self, names: list[str]) -> None:
        """At once, though it takes turns of the loop until the module has been told of them all."""
        for name in names:
            if (actor := self.actors.get(name)) is not None:
                self._set_ready(actor, False)

    def _set_ready(self, actor: WorkerActor, ready: bool) -> None:
        actor.ready = ready
        if ready:
            self.fading.pop(actor.server, None)
        else:
            self.fading[actor.server] = actor

    def _add(self, name: str, address: tuple[str, int]) -> WorkerActor:
        actor = self.actors[name] = WorkerActor(
            name,
            address,
            self.flows,
            self.module,
            self.timers,
            self.connect_timeout,
            self.trust,
            self.all_in_use,
            self.kept,
            self.connect,
            self.each,
        )
        return actor

    def send(self, attempt: Attempt) -> None:
        actor = self.actors.get(attempt.worker)
        if actor is not None:
            actor.post(attempt)
        else:
            attempt.step(Step.END)
            if self.flows.status is not None:
                self.flows.status.ended(attempt.flow.id, attempt.worker, E.VOID)
            self.module.tell(Ending(attempt, E.VOID, 0.0, None))

    def withdraw(self, attempt: Attempt) -> None:
        if (actor := self.actors.get(attempt.worker)) is not None:
            actor.post(Withdrawal(attempt))

    def called_back(self, c: CallBack) -> None:
        if (actor := self.actors.get(c.sender)) is not None:
            actor.post(c)

    def _reap(self) -> None:
        now = self.clock()
        self.kept.close_before(now - self.trust.limit_s(now), REAP_AT_ONCE)
        self._bury(list(self.fading))

    def _bury(self, names: list[str]) -> None:
        """Half of a large fleet may have left at once: no turn of the loop sees to all of them."""
        for name in names[:REAP_AT_ONCE]:
            if (actor := self.fading.get(name)) is not None:
                actor.drop_idle()
                if actor.at_rest:
                    del self.actors[name], self.fading[name]
                    self.starts.pop(name, None)
        if rest := names[REAP_AT_ONCE:]:
            IOLoop.current().add_callback(self._bury, rest)
