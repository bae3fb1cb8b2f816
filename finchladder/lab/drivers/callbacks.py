"""Call-backs of the real servers of one process: what became of their jobs, told to the dispatchers.

A job's call-backs leave in order, the next once the one before is answered 200 or 204 or was tried ten times.
Each dispatcher has a few kept connections, which all real servers of the process share.
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, cast

import msgspec

from finchladder.lab.drivers.sockets import Alarm, split
from finchladder.lab.wire import Parser, WireError, write_request

TRIES = 10
WAITS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0)  # before the second try, the third, ...
ANSWER_S = 2.0  # a call-back that is not answered by then is tried again on another connection
MOST_LINES = 32  # connections to one dispatcher at once
MOST_WAITING = 4  # call-backs of one job; a job that has so many tells of no progress
SWEEP_S = 0.25
_encode = msgspec.json.Encoder().encode


class Job:
    """A job as its real server's process sees it, and what is to be told of it.

    `over(job)` is called when the last call-back has left or was given up after a final state.
    """

    __slots__ = ("id", "outlet", "queue", "tries", "moving", "final", "dead", "release", "over")

    def __init__(self, id: str, outlet: "Outlet", over: Callable[["Job"], None] | None = None) -> None:
        self.id, self.outlet, self.over = id, outlet, over
        self.queue: deque[bytes] = deque()
        self.tries = 0  # of the first in the queue
        self.moving = False  # at a connection, or waiting for one or for its next try
        self.final = False  # nothing will be added
        self.dead = False  # its process has died: what has not left never will
        self.release: Callable[[], None] | None = None  # called once something has been told

    def tell(self, what: dict[str, Any], times: int = 1) -> None:
        if what["state"] == "running" and len(self.queue) >= MOST_WAITING:
            return
        data = self.outlet.request(_encode(what))
        self.queue.extend([data] * times)
        if not self.moving:
            self.outlet.push(self)

    def finish(self) -> None:
        """Nothing will be added."""
        self.final = True
        if not self.queue and self.over is not None:
            self.over(self)


class Line(asyncio.Protocol):
    """A kept connection to a dispatcher; one call-back at a time."""

    def __init__(self, outlet: "Outlet") -> None:
        self.outlet = outlet
        self.transport: asyncio.Transport | None = None
        self.parser = Parser(responses=True)
        self.job: Job | None = None
        self.until = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, job: Job) -> None:
        assert self.transport is not None
        self.job, self.until = job, time.monotonic() + ANSWER_S
        job.tries += 1
        self.outlet.count += 1
        self.transport.write(job.queue[0])

    def data_received(self, data: bytes) -> None:
        try:
            whole = self.parser.feed(data)
        except WireError:
            self.close()
            return
        for message in whole:
            job, self.job = self.job, None
            if job is None:  # an answer to nothing
                self.close()
                return
            if message.keeps:
                self.outlet.idle.append(self)
            else:
                self.close()
            self.outlet.tried(job, message.status in (200, 204))

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.outlet.lost(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Outlet:
    """All call-backs to one dispatcher."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        alarm: Alarm,
        address: str,
    ) -> None:
        self.loop, self.spawn, self.alarm, self.address = loop, spawn, alarm, address
        self.ready: deque[Job] = deque()
        self.lines: set[Line] = set()
        self.idle: list[Line] = []  # the last one used is used next: as few stay in use as will do
        self.opening = 0
        self.count = self.told = self.dropped = 0  # tries; call-backs that were answered; given up
        self.alarm.at(time.monotonic() + SWEEP_S, self._sweep)

    def request(self, body: bytes) -> bytes:
        headers = {"Host": self.address, "Content-Type": "application/json"}
        return write_request("POST", "/v1/job-events", headers, body)

    def push(self, job: Job) -> None:
        job.moving = True
        self.ready.append(job)
        self._pump()

    def _pump(self) -> None:
        while self.ready:
            job = self.ready[0]
            if job.dead or not job.queue:
                self.ready.popleft()
                job.moving = False
                continue
            if not self.idle:
                if len(self.lines) + self.opening < MOST_LINES and self.opening < len(self.ready):
                    self.opening += 1
                    self.spawn(self._open())
                return
            self.ready.popleft()
            self.idle.pop().send(job)

    async def _open(self) -> None:
        line = Line(self)
        try:
            async with asyncio.timeout(ANSWER_S):
                await self.loop.create_connection(lambda: line, *split(self.address))
            self.lines.add(line)
            self.idle.append(line)
        except OSError:
            if self.ready:
                job = self.ready.popleft()
                job.tries += 1
                self.tried(job, False)
        finally:
            self.opening -= 1
        self._pump()

    def lost(self, line: Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        job, line.job = line.job, None
        if job is not None:
            self.tried(job, False)
        self._pump()

    def tried(self, job: Job, answered: bool) -> None:
        """The first of the job's queue was told, or not: it is tried again or given up, or the next goes."""
        if answered or job.tries >= TRIES:
            if answered:
                self.told += 1
            else:
                self.dropped += 1
            job.tries = 0
            if job.queue:
                job.queue.popleft()
            if job.release is not None:
                job.release()
            if job.queue and not job.dead:
                self.push(job)
                return
            job.moving = False
            if job.final and not job.dead and job.over is not None:
                job.over(job)
            self._pump()
        else:
            self.alarm.at(time.monotonic() + WAITS_S[job.tries - 1], lambda _: self.push(job))
            self._pump()

    def _sweep(self, now: float) -> None:
        for line in list(self.lines):
            if line.job is not None and line.until < now:
                line.close()
        self.alarm.at(now + SWEEP_S, self._sweep)

    def close(self) -> None:
        for line in list(self.lines):
            line.close()
