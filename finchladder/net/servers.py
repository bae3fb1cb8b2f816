"""Real servers: an actor for each, with its connections, its schedulings and their ends."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import NamedTuple
from urllib.parse import quote

from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.queues import Queue

from finchladder.core import api
from finchladder.core.api import Ending as E
from finchladder.core.stages import MEANINGS, GiveUp, Step
from finchladder.core.trust import Trust
from finchladder.net import http1
from finchladder.net.actor import Actor
from finchladder.net.flows import Answer, Flows, Scheduling
from finchladder.net.http1 import BadMessage, Channel, Head, StreamClosedError
from finchladder.net.messages import CallBack
from finchladder.net.module import Clock, Ending, ModuleActor

ROOM = 8192
IN_USE, KEPT = 0.23, 0.11  # parts of all sockets, for busy and idle connections to the real servers together
IN_USE_EACH = 24  # a silent real server must not take the connections of the rest
IDLE_PART = 0.6  # of the time after which a real server closes: a request must never cross its closing
ANSWER_WITHIN = 1.0  # for a DELETE, on which nothing hangs

class Withdrawal(NamedTuple):
    scheduling: Scheduling


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


class NotReady(Exception):
    """The real server drains or is gone since the module named it."""


class RealServer(Actor[Scheduling | Withdrawal | CallBack]):
    def __init__(
        self, name: str, address: tuple[str, int], flows: Flows, module: ModuleActor, clock: Clock,
        connect_timeout: float, trust: Trust, all_in_use: asyncio.Semaphore,
    ) -> None:  # fmt: skip
        super().__init__(f"real server {name}", Queue(ROOM))
        self.server, self.address = name, address
        self.log = self.log.bind(server=name)
        self.flows, self.module, self.clock = flows, module, clock
        self.connect_timeout, self.trust = connect_timeout, trust
        self.ready = True
        self.live: dict[str, Scheduling] = {}
        self.idle: list[tuple[Channel, float]] = []
        self.busy, self.kept_most = 0, 1
        self.in_use, self.all_in_use = asyncio.Semaphore(IN_USE_EACH), all_in_use

    # --- what the mailbox brings --------------------------------------------------------------------------

    def receive(self, item: Scheduling | Withdrawal | CallBack) -> None:
        if isinstance(item, Scheduling):
            self._begin(item)
        elif isinstance(item, Withdrawal):
            self._end(item.scheduling, E.CANCELLED)
        else:
            self._called_back(item)

    def failed(self, item: Scheduling | Withdrawal | CallBack) -> None:
        if isinstance(item, CallBack):
            s = self.live.get(item.id)
        else:
            s = item.scheduling if isinstance(item, Withdrawal) else item
        if s is not None:
            self._broke(s)

    def _begin(self, s: Scheduling) -> None:
        if (
            not self.ready
            or s.flow.id in self.live
            or any(other is not s and other.worker == s.worker for other in s.flow.schedulings)
        ):
            # a late call-back about the first scheduling here could not be told from one about the second
            return self._end(s, E.VOID)
        self.live[s.flow.id] = s
        loop = IOLoop.current()
        handle = loop.call_later(max(0.0, s.until - self.clock()), self._end, s, E.TIMED_OUT)
        s.timer = lambda: loop.remove_timeout(handle)
        self.spawn(self._guard(s))

    def _called_back(self, c: CallBack) -> None:
        """Matched by id and sender: it may come before the 202, again, or about a job nobody knows here."""
        s = self.live.get(c.id)
        if s is not None and not MEANINGS[s.stage].told:
            return
        if self.flows.status is not None:  # is told also of one given up here
            self.flows.status.told(self.clock(), c.id, self.server, c.state, c.share)
        if s is None:
            return
        if c.state == "started":
            self.module.tell(api.Started(c.id, s.number))
        elif c.state == "running":
            self.module.tell(api.Progress(c.id, s.number, c.share))
        elif c.state in CALL_BACK_ENDS:
            self._end(s, CALL_BACK_ENDS[c.state], c.report(), c.result.encode("utf-8", "replace"))
        else:
            self.log.bind(id=c.id).warning("{}: unknown job state {!r}", self.name, c.state[:40])

    # --- the life of a scheduling -------------------------------------------------------------------------

    async def _guard(self, s: Scheduling) -> None:
        try:
            await self._carry(s)
        except Exception:
            bound = self.log.bind(**{"id": s.flow.id, "class": s.flow.job_class})
            bound.exception("{}: a scheduling died", self.name)
            self._broke(s)

    async def _carry(self, s: Scheduling) -> None:
        try:
            await self._with_channel(lambda channel: self._exchange(s, channel))
        except NotReady:
            self._end(s, E.VOID)
        except (StreamClosedError, OSError, TimeoutError, BadMessage):
            self._broke(s)  # nothing is sent again here

    def _broke(self, s: Scheduling) -> None:
        if not s.ended:
            self._end(s, MEANINGS[s.stage].broken)

    async def _exchange(self, s: Scheduling, channel: Channel) -> bool:
        """One request and its answer's head; True: the connection may be kept."""
        if s.ended:
            return True
        if not self.ready:  # looked at again right before the write: waiting for a connection took time
            raise NotReady
        s.connection = channel
        try:
            data = s.flow.message.request(self._host(), max(0.0, s.until - self.clock()))
            s.step(Step.WRITE)
            try:
                await channel.write(data)
            except StreamClosedError:
                s.step(Step.BREAK)
                raise
            try:
                head = await channel.head()
            except StreamClosedError:
                if channel.idle and not s.ended:  # not closed from this side
                    self.trust.lost(self.clock(), channel.idle)
                raise
        finally:
            s.connection = None
        ending = outcome(head)
        if ending is None:
            s.step(Step.ACCEPT)
        else:
            self._end(s, ending, load_report(head))
        return await self._settle(channel, head)

    async def _settle(self, channel: Channel, head: Head) -> bool:
        if channel.parser.body is not None and channel.parser.body.until_close:
            return False
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                await channel.message()
        except (TimeoutError, BadMessage, StreamClosedError):
            return False
        return head.keeps

    def _host(self) -> str:
        host, port = self.address
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def _end(
        self, s: Scheduling, ending: E, report: dict[str, float] | None = None, result: bytes = b""
    ) -> None:
        """Every scheduling ends here, and only its first end counts."""
        if s.ended:
            return
        give_up = MEANINGS[s.stage].give_up
        s.step(Step.END)
        if self.flows.status is not None:
            self.flows.status.ended(s.flow.id, self.server, ending)
        if s.timer is not None:
            s.timer()
        if self.live.get(s.flow.id) is s:
            del self.live[s.flow.id]
        if ending is E.OK:
            self.flows.finish(s.flow, Answer("served", result))
        elif ending in (E.CANCELLED, E.TIMED_OUT):
            if give_up is GiveUp.DELETE:
                self.spawn(self._give_up(s.flow.id))
            elif give_up is GiveUp.CLOSE and s.connection is not None:
                s.connection.close()
        self.module.tell(Ending(s, ending, self.clock() - s.sent, report))
        self.flows.forget_if_over(s.flow)

    async def _give_up(self, id: str) -> None:
        async def ask(channel: Channel) -> bool:
            path = f"/jobs/{quote(id, safe='')}"  # an id is the client's text: it must not make another path
            await channel.write(http1.write_request("DELETE", path, [("Host", self._host())]))
            return await self._settle(channel, await channel.head())

        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                await self._with_channel(ask)
        except (StreamClosedError, OSError, TimeoutError, BadMessage):
            pass  # the real server is gone or busy; the job was given up all the same

    # --- connections --------------------------------------------------------------------------------------

    async def _with_channel(self, use: Callable[[Channel], Awaitable[bool]]) -> None:
        """One user at a time for each connection; it is kept only after a whole exchange."""
        async with AsyncExitStack() as held:
            async with asyncio.timeout(self.connect_timeout):
                await held.enter_async_context(self.in_use)
                await held.enter_async_context(self.all_in_use)
                channel = self._kept() or await http1.connect(self.address)
            keep = False
            self.busy += 1
            try:
                keep = await use(channel)
            finally:
                self.busy -= 1
                if keep and len(self.idle) < self.kept_most and channel.usable():
                    self.idle.append((channel, self.clock()))
                else:
                    channel.close()

    def _kept(self) -> Channel | None:
        while self.idle:
            channel, since = self.idle.pop()
            now = self.clock()
            channel.idle = now - since
            if channel.idle < self.trust.limit(now) and channel.usable():
                return channel
            channel.close()
        return None

    def drop_idle(self, before: float) -> None:
        for channel, since in self.idle:
            if since <= before or channel.stream.closed():
                channel.close()
        self.idle = [(c, t) for c, t in self.idle if not c.stream.closed()]


class RealServers:
    """The actors of all real servers that were ever named and still matter."""

    def __init__(
        self, flows: Flows, module: ModuleActor, clock: Clock, connect_timeout: float, conn_idle: float,
        sockets: int,
    ) -> None:  # fmt: skip
        self.flows, self.module, self.clock = flows, module, clock
        self.connect_timeout, self.trust = connect_timeout, Trust(clock(), conn_idle * IDLE_PART)
        self.actors: dict[str, RealServer] = {}
        self.starts: dict[str, float] = {}
        self.all_in_use = asyncio.Semaphore(int(IN_USE * sockets))
        self.kept = int(KEPT * sockets)
        self.reaper = PeriodicCallback(self._reap, 1000)

    def start(self) -> None:
        self.reaper.start()

    def update(self, worker_list: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        """Readiness and addresses apply at once, ahead of every mailbox; then the module is told."""
        if worker_list.kind is not api.ListKind.PATCH:
            named = {e.worker for e in worker_list.entries}
            for name, actor in self.actors.items():
                actor.ready = actor.ready and name in named
        for e in worker_list.entries:
            if e.worker not in self.actors and e.state is api.State.GONE:
                continue
            actor = self.actors.get(e.worker) or self._add(e.worker, addresses[e.worker])
            actor.ready = e.state is api.State.READY
            address = addresses.get(e.worker, actor.address)
            if actor.address != address or self.starts.get(e.worker, e.born) != e.born:
                actor.drop_idle(self.clock())  # connections to a process that is no more
            actor.address, self.starts[e.worker] = address, e.born
        for actor in self.actors.values():
            actor.kept_most = max(1, self.kept // len(self.actors))
        self.module.tell(worker_list)

    def _add(self, name: str, address: tuple[str, int]) -> RealServer:
        actor = self.actors[name] = RealServer(
            name, address, self.flows, self.module, self.clock,
            self.connect_timeout, self.trust, self.all_in_use,
        )  # fmt: skip
        actor.start()
        return actor

    def schedule(self, scheduling: Scheduling) -> None:
        actor = self.actors.get(scheduling.worker)
        if actor is not None:
            actor.post(scheduling)
        else:
            scheduling.step(Step.END)
            if self.flows.status is not None:
                self.flows.status.ended(scheduling.flow.id, scheduling.worker, E.VOID)
            self.module.tell(Ending(scheduling, E.VOID, 0.0, None))

    def withdraw(self, scheduling: Scheduling) -> None:
        if (actor := self.actors.get(scheduling.worker)) is not None:
            actor.post(Withdrawal(scheduling))

    def called_back(self, c: CallBack) -> None:
        if (actor := self.actors.get(c.sender)) is not None:
            actor.post(c)

    def _reap(self) -> None:
        now = self.clock()
        for name, actor in list(self.actors.items()):
            actor.drop_idle(now - self.trust.limit(now) if actor.ready else now)
            if not (actor.ready or actor.live or actor.busy or actor.box.qsize()):
                actor.stop()
                del self.actors[name]
                self.starts.pop(name, None)
