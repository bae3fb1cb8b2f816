"""What every process of a run has in common: its plan and orders, its ledger, its lateness, its end.

The plan is the first line of standard input, orders are the lines after it, words go to standard output.
The process ends when it is ordered to (`stop`), on SIGTERM, or as soon as its input ends: then the parent is
gone. SIGINT is the parent's business. An exception that a role lets escape ends the process with the word
`failed`, so that a bug of the lab can't look like a result.
"""

import asyncio
import gc
import os
import random
import resource
import signal
import sys
import time
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from finchladder.lab.control import Order, Plan, Word
from finchladder.lab.records import Lateness, Record, Writer

MOST_LINE = 64 << 20  # bytes of one line from the parent: a list of addresses for each of many dispatchers
MOST_UNREAD = 16 << 20  # bytes of words that the parent has not read; beyond it, it is taken for dead
TICK_S = 0.01  # of the lateness meter
FINISH_S = 5.0  # a role may take so long to finish after `stop`


class Role:
    """What a process does between its plan and its end; a subclass for each kind.

    Nothing of it may wait on anything but the loop. `close` is called on every way out, once.
    """

    def __init__(self, process: "Process") -> None:
        self.process = process

    async def open(self) -> Any:
        """Opens what it listens at; the result is the data of the word `ready`."""

    def order(self, order: Order) -> None:
        """Any order but `stop`."""

    async def finish(self) -> Any:
        """After `stop`, before the ledger is flushed; the result is `done`'s data, unless that was said."""

    def close(self) -> None:
        """Closes all sockets at once."""


class Process:
    """The loop's side of a process: what a role may use."""

    def __init__(self, plan: Plan, loop: asyncio.AbstractEventLoop, say: Callable[[bytes], None]) -> None:
        self.plan, self.loop, self._say = plan, loop, say
        self.rng = random.Random(plan.seed)
        folder = Path(plan.out) / "ledger"
        folder.mkdir(parents=True, exist_ok=True)
        self.ledger = Writer(folder / f"{plan.name}.log")
        self.put: Callable[[Record], None] = self.ledger.put
        self.events, self.worst = 0, 0.0
        self.said_done = False
        self.ended: asyncio.Future[int] = loop.create_future()  # the exit status
        self.tasks: set[asyncio.Task[None]] = set()
        self._due = self._second = 0.0
        self._ticker: asyncio.TimerHandle | None = None

    def say(self, word: Word) -> None:
        if self.ended.done():
            return  # `done` and `failed` are last words
        self.said_done |= word.what == "done"
        self._say(msgspec.json.encode(word) + b"\n")

    def count(self, n: int = 1) -> None:
        """Work done in this second, for the Lateness record."""
        self.events += n

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """A task whose exception fails the process."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.fail(error)

    def fail(self, error: BaseException | str) -> None:
        if isinstance(error, BaseException):
            traceback.print_exception(error)
            error = f"{type(error).__name__}: {error}"
        if not self.ended.done():
            self.say(Word("failed", text=" ".join(f"{self.plan.name}: {error}".split())))
            self.end(1)

    def end(self, status: int) -> None:
        if not self.ended.done():
            self.ended.set_result(status)

    def start_meter(self) -> None:
        self._due = self._second = time.monotonic()
        self._tick()

    def _tick(self) -> None:
        now = time.monotonic()
        self.worst = max(self.worst, now - self._due)
        if now - self._second >= 1.0:
            self.put(Lateness(self.plan.name, now, self.worst, self.events))
            self.worst, self.events, self._second = 0.0, 0, now
            self.ledger.flush()  # a killed process has lost a second at most
        self._due = now + TICK_S
        self._ticker = self.loop.call_later(TICK_S, self._tick)

    def close(self) -> None:
        if self._ticker is not None:
            self._ticker.cancel()
        for task in self.tasks:
            task.cancel()
        self.put(Lateness(self.plan.name, time.monotonic(), self.worst, self.events))
        self.ledger.close()


class _Lines(asyncio.Protocol):
    """Standard input, cut into lines. `ended` is called once there will be no more."""

    def __init__(self, line: Callable[[bytes], None], ended: Callable[[], None]) -> None:
        self.line, self.ended = line, ended
        self.rest = bytearray()

    def data_received(self, data: bytes) -> None:
        searched = len(self.rest)
        self.rest += data
        begin = 0
        while (end := self.rest.find(b"\n", max(begin, searched))) >= 0:
            self.line(bytes(self.rest[begin:end]))
            begin = end + 1
        del self.rest[:begin]
        if len(self.rest) > MOST_LINE:
            self.ended()

    def eof_received(self) -> None:
        self.ended()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended()


class _Main:
    """One process from its first line to its exit status."""

    def __init__(self, make: Callable[[Process], Role], loop: asyncio.AbstractEventLoop) -> None:
        self.make, self.loop = make, loop
        self.first: asyncio.Future[bytes] = loop.create_future()
        self.process: Process | None = None
        self.role: Role | None = None
        self.early: list[bytes] = []  # orders that came before the role was open
        self.open = False
        self.out: asyncio.WriteTransport | None = None

    def line(self, data: bytes) -> None:
        if not self.first.done():
            self.first.set_result(data)
        elif not self.open:
            self.early.append(data)
        else:
            self.order(data)

    def input_ended(self) -> None:
        if self.process is not None:
            self.process.end(1)
        elif not self.first.done():
            self.first.set_exception(EOFError())

    def say(self, data: bytes) -> None:
        if self.out is None:
            return
        self.out.write(data)
        if self.out.get_write_buffer_size() > MOST_UNREAD:
            self.input_ended()

    def order(self, data: bytes) -> None:
        assert self.process is not None and self.role is not None
        try:
            order = msgspec.json.decode(data, type=Order)
            if order.what == "stop":
                self.process.loop.create_task(self.stop())
            else:
                self.role.order(order)
        except Exception as e:
            self.process.fail(e)

    async def stop(self) -> None:
        assert self.process is not None and self.role is not None
        try:
            figures = await asyncio.wait_for(self.role.finish(), FINISH_S)
            self.process.ledger.flush()
            if not self.process.said_done:
                self.process.say(Word("done", data=figures))
            self.process.end(0)
        except Exception as e:
            self.process.fail(e)

    async def run(self) -> int:
        input, output = os.fdopen(0, "rb"), os.fdopen(1, "wb")
        reader, _ = await self.loop.connect_read_pipe(lambda: _Lines(self.line, self.input_ended), input)
        self.out, _ = await self.loop.connect_write_pipe(asyncio.BaseProtocol, output)
        try:
            plan = msgspec.json.decode(await self.first, type=Plan)
        except EOFError:
            return 1
        except msgspec.MsgspecError as e:
            self.say(msgspec.json.encode(Word("failed", text=f"plan: {e}")) + b"\n")
            await self._drain()
            return 1
        process = self.process = Process(plan, self.loop, self.say)
        self.loop.set_exception_handler(
            lambda _, context: process.fail(context.get("exception") or context["message"])
        )
        self.loop.add_signal_handler(signal.SIGTERM, process.end, 0)
        try:
            role = self.role = self.make(process)
            process.spawn(self._open(process, role))
            return await process.ended
        except Exception as e:
            process.fail(e)
            return 1
        finally:
            if self.role is not None:
                self.role.close()
            process.close()
            await self._drain()
            reader.close()

    async def _open(self, process: Process, role: Role) -> None:
        process.say(Word("ready", data=await role.open()))
        gc.collect()
        gc.freeze()  # a sweep over all that was set up would make the process late
        process.start_meter()
        self.open = True
        for data in self.early:
            self.order(data)
        self.early.clear()

    async def _drain(self) -> None:
        """Gives the last words half a second to leave."""
        assert self.out is not None
        until = time.monotonic() + 0.5
        while self.out.get_write_buffer_size() and time.monotonic() < until:
            await asyncio.sleep(0.01)
        self.out.close()


def raise_descriptors() -> int:
    """Raises the soft limit of open descriptors to the hard one, which is returned."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def run(make: Callable[[Process], Role]) -> int:
    """Runs a role until it ends; the exit status: 0 after `stop` or SIGTERM, 1 otherwise."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    raise_descriptors()
    gc.set_threshold(50_000, 20, 100)

    async def main() -> int:
        return await _Main(make, asyncio.get_running_loop()).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status = runner.run(main())
    sys.stderr.flush()
    return status
