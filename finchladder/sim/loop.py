"""An event loop on virtual time: asyncio's interface over the kernel's event heap.

Each simulated process has one. A turn works as in asyncio's loop: it polls the sockets, collects the due
timers, then runs all callbacks that were ready when the turn began. A turn takes no virtual time; the next
one follows after a random delay, so that bytes, timers and other processes interleave.
"""

import asyncio
import heapq
import itertools
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from contextvars import Context
from math import inf
from random import Random
from typing import Any, Protocol
from weakref import ref

from tornado.platform.asyncio import BaseAsyncIOLoop

from finchladder.lab.models.kernel import Event, Kernel

Call = Callable[..., object]
MAX_CANCELLED_TIMERS = 64  # the heap is cleaned above this number if half of its timers are cancelled
MAX_ENDED_TASKS = 256  # task entries above which ended ones are removed


class Selected(Protocol):
    """The interface of a socket to its event loop."""

    reader: asyncio.Handle | None
    writer: asyncio.Handle | None

    @property
    def readable(self) -> bool: ...
    @property
    def writable(self) -> bool: ...


class Pace(Protocol):
    """Returns the delay in seconds between being ready and running."""

    def __call__(self) -> float: ...


class VirtualIOLoop(BaseAsyncIOLoop):
    """Tornado's loop. Its timers use wall time by default; here they use the loop's virtual time."""

    asyncio_loop: "VirtualLoop"

    def time(self) -> float:
        return self.asyncio_loop.time()


class VirtualLoop(asyncio.BaseEventLoop):
    """Calls `failed` for each unhandled exception that asyncio would log."""

    dead = stopped = running = False

    def __init__(
        self, kernel: Kernel, pace: Pace, random: Random, failed: Callable[[str, BaseException | None], None]
    ) -> None:
        super().__init__()
        self.kernel, self.pace, self.random, self.failed = kernel, pace, random, failed
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.serial = self.cancelled = 0
        self.numbers = itertools.count(3)
        self.sockets: dict[int, Selected] = {}
        self.maybe_ready: dict[int, Selected] = {}  # sockets that may be ready, by descriptor
        self.wake: Event | None = None
        self.wake_at = inf
        self.turns = 0
        self.handlers: dict[int, asyncio.Handle] = {}  # signal handlers
        self.task_refs: list[ref[asyncio.Task[Any]]] = []
        self.fired: Callable[[], None] = lambda: None  # called for each timer that fires
        self.before_turn: Callable[[], None] | None = None
        self.after_turn: Callable[[], None] = lambda: None
        self.set_task_factory(None)
        self.io_loop = VirtualIOLoop(asyncio_loop=self, make_current=False)

    # --- asyncio's interface

    def time(self) -> float:
        return self.kernel.now

    def is_running(self) -> bool:
        return self.running

    def is_closed(self) -> bool:
        return self.dead

    def get_debug(self) -> bool:
        return False

    def call_soon(  # type: ignore[override]
        self, callback: Call, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        if not self.dead:
            self.ready.append(handle)
            if not self.running:
                self._schedule_turn()
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Call, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.kernel.now + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Call, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        if not self.dead:
            self.serial += 1
            heapq.heappush(self.timers, (when, self.serial, handle))
            if not self.running and when < self.wake_at:
                self._wake_at(when)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.cancelled += 1
        if self.cancelled > MAX_CANCELLED_TIMERS and 2 * self.cancelled > len(self.timers):
            self.timers = [entry for entry in self.timers if not entry[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled = 0

    def create_task(self, coro: Any, **more: Any) -> asyncio.Task[Any]:
        task = asyncio.Task(coro, loop=self, **more)
        self.task_refs.append(ref(task))
        if len(self.task_refs) > MAX_ENDED_TASKS:
            self.task_refs = [
                entry for entry in self.task_refs if (t := entry()) is not None and not t.done()
            ]
        return task

    def tasks(self) -> list[asyncio.Task[Any]]:
        """Returns the tasks that have not ended, in the order of their creation."""
        return [t for entry in self.task_refs if (t := entry()) is not None and not t.done()]

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.dead:
            self.failed(str(context.get("message")), context.get("exception"))

    def add_signal_handler(self, sig: int, callback: Call, *args: Any) -> None:  # type: ignore[override]
        self.handlers[sig] = asyncio.Handle(callback, args, self, None)

    def remove_signal_handler(self, sig: int) -> bool:
        return self.handlers.pop(sig, None) is not None

    def _descriptor(self, fd: Any) -> int:
        return fd if isinstance(fd, int) else int(fd.fileno())

    def add_reader(self, fd: Any, callback: Call, *args: Any) -> None:  # type: ignore[override]
        number = self._descriptor(fd)
        socket = self.sockets[number]
        socket.reader = asyncio.Handle(callback, args, self, None)
        self.touch(number, socket)

    def remove_reader(self, fd: Any) -> bool:
        return self._unset(self._descriptor(fd), "reader")

    def add_writer(self, fd: Any, callback: Call, *args: Any) -> None:  # type: ignore[override]
        number = self._descriptor(fd)
        socket = self.sockets[number]
        socket.writer = asyncio.Handle(callback, args, self, None)
        self.touch(number, socket)

    def remove_writer(self, fd: Any) -> bool:
        return self._unset(self._descriptor(fd), "writer")

    def _unset(self, number: int, side: str) -> bool:
        socket = self.sockets.get(number)
        if socket is None or (handle := getattr(socket, side)) is None:
            return False
        handle.cancel()  # also prevents a callback already queued in this turn
        setattr(socket, side, None)
        return True

    # --- sockets

    def attach(self, number: int, socket: Selected) -> None:
        self.sockets[number] = socket

    def descriptor(self) -> int:
        return next(self.numbers)

    def detach(self, number: int) -> None:
        self.sockets.pop(number, None)
        self.maybe_ready.pop(number, None)

    def touch(self, number: int, socket: Selected) -> None:
        """Schedules a turn if the socket is ready."""
        if number not in self.maybe_ready and self._is_ready(socket):
            self.maybe_ready[number] = socket
            if not self.running:
                self._schedule_turn()

    def _is_ready(self, socket: Selected) -> bool:
        return (socket.reader is not None and socket.readable) or (
            socket.writer is not None and socket.writable
        )

    # --- turns

    def _schedule_turn(self) -> None:
        due = self.kernel.now + self.pace()
        if due < self.wake_at:
            self._wake_at(due)

    def _wake_at(self, due: float) -> None:
        if self.dead or self.stopped:
            return
        if self.wake is not None:
            self.kernel.cancel(self.wake)
        self.wake_at = max(due, self.kernel.now)
        self.wake = self.kernel.at(self.wake_at, self._turn)

    def _turn(self) -> None:
        self.wake, self.wake_at = None, inf
        self.turns += 1
        if self.before_turn is not None:
            self.before_turn()
        self._poll()
        now, timers, ready = self.kernel.now, self.timers, self.ready
        while timers and timers[0][0] <= now:
            handle = heapq.heappop(timers)[2]
            if not handle.cancelled():
                self.fired()
                ready.append(handle)
        self.running = True
        events._set_running_loop(self)
        try:
            for _ in range(len(ready)):
                call = ready.popleft()
                if not call.cancelled():
                    call._run()
        finally:
            events._set_running_loop(None)
            self.running = False
        self.after_turn()
        self._next()

    def _next(self) -> None:
        for number in [n for n, s in self.maybe_ready.items() if not self._is_ready(s)]:
            del self.maybe_ready[number]
        if self.ready or self.maybe_ready:
            self._schedule_turn()
        while self.timers and self.timers[0][2].cancelled():
            heapq.heappop(self.timers)
            self.cancelled = max(0, self.cancelled - 1)
        if self.timers and self.timers[0][0] < self.wake_at:
            self._wake_at(self.timers[0][0])

    def _poll(self) -> None:
        if not self.maybe_ready:
            return
        numbers = list(self.maybe_ready)
        if len(numbers) > 1:
            self.random.shuffle(numbers)  # the order of ready sockets is not defined
        for number in numbers:
            socket = self.maybe_ready[number]
            if socket.reader is not None and socket.readable:
                self.ready.append(socket.reader)
            if socket.writer is not None and socket.writable:
                self.ready.append(socket.writer)

    def run_until_done(self, most: int) -> bool:
        """Runs up to `most` turns without delay; returns whether all tasks have ended."""
        self.stop_turns()
        for _ in range(most):
            if not self.tasks():
                return True
            self._turn()
        return not self.tasks()

    def call_in_loop(self, call: Callable[[], object]) -> None:
        """Runs a call immediately with this loop as the running loop."""
        before = events._get_running_loop()
        events._set_running_loop(self)
        self.running = True
        try:
            call()
        finally:
            self.running = False
            events._set_running_loop(before)

    def start(self, main: Coroutine[Any, Any, None]) -> asyncio.Task[Any]:
        return self.create_task(main)

    # --- process control

    def signal(self, sig: int) -> bool:
        """Queues the handler of a signal; returns False if there is none."""
        if (handle := self.handlers.get(sig)) is None:
            return False
        self.ready.append(handle)
        self._schedule_turn()
        return True

    def stop_turns(self) -> None:
        """Stops the loop as SIGSTOP does: input waits while time advances."""
        self.stopped = True
        if self.wake is not None:
            self.kernel.cancel(self.wake)
            self.wake, self.wake_at = None, inf

    def go_on(self) -> None:
        self.stopped = False
        self._next()

    def kill(self) -> None:
        """Stops the loop for good. Tasks are kept, so that no cleanup code of the program runs."""
        self.dead = True
        if self.wake is not None:
            self.kernel.cancel(self.wake)
            self.wake, self.wake_at = None, inf

    def close_tasks(self) -> None:
        """Closes all coroutines at the end of a run, ignoring their errors."""
        self.dead = True
        closed: set[int] = set()
        while left := [t for t in self.tasks() if id(t) not in closed]:  # closing a task may create another
            for task in left:
                closed.add(id(task))
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                with suppress(Exception):  # a coroutine may ignore GeneratorExit
                    self.call_in_loop(task.get_coro().close)
        self.ready.clear()
        self.timers.clear()
        self.sockets.clear()
        self.maybe_ready.clear()
