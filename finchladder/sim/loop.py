"""An event loop at virtual time: asyncio's interface over the kernel's heap of events.

Each simulated process has one. It does what asyncio's own does in a turn: what is ready on sockets, then the
timers that are due, then all calls that were ready as the turn began. A turn takes no time while it runs; the
next one comes a drawn while later, so that bytes, timers and other processes fall in between.
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
MOST_CANCELLED = 64  # cancelled timers in the heap before it is swept, where they are also half of it
MOST_DEAD = 256  # entries of ended tasks before they are swept


class Selected(Protocol):
    """A socket as its loop sees it."""

    reader: asyncio.Handle | None
    writer: asyncio.Handle | None

    @property
    def readable(self) -> bool: ...
    @property
    def writable(self) -> bool: ...


class Pace(Protocol):
    """How long a process needs between being ready and running, in seconds."""

    def __call__(self) -> float: ...


class VirtualIOLoop(BaseAsyncIOLoop):
    """Tornado's view of the loop. Its timers count wall time, which here is the loop's own."""

    asyncio_loop: "VirtualLoop"

    def time(self) -> float:
        return self.asyncio_loop.time()


class VirtualLoop(asyncio.BaseEventLoop):
    """`failed` is told of what asyncio would log: an exception that nobody took."""

    dead = stopped = running = False

    def __init__(
        self, kernel: Kernel, pace: Pace, random: Random, failed: Callable[[str, BaseException | None], None]
    ) -> None:
        super().__init__()
        self.kernel, self.pace, self.random, self.failed = kernel, pace, random, failed
        self.soon: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.serial = self.cancelled = 0
        self.numbers = itertools.count(3)
        self.sockets: dict[int, Selected] = {}
        self.hot: dict[int, Selected] = {}  # those on which something may be ready, by descriptor
        self.wake: Event | None = None
        self.wake_at = inf
        self.turns = 0
        self.handlers: dict[int, asyncio.Handle] = {}  # of signals
        self.made: list[ref[asyncio.Task[Any]]] = []
        self.fired: Callable[[], None] = lambda: None  # told of each timer
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
            self.soon.append(handle)
            if not self.running:
                self._rouse()
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
                self._arm(when)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.cancelled += 1
        if self.cancelled > MOST_CANCELLED and 2 * self.cancelled > len(self.timers):
            self.timers = [entry for entry in self.timers if not entry[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled = 0

    def create_task(self, coro: Any, **more: Any) -> asyncio.Task[Any]:
        task = asyncio.Task(coro, loop=self, **more)
        self.made.append(ref(task))
        if len(self.made) > MOST_DEAD:
            self.made = [entry for entry in self.made if (t := entry()) is not None and not t.done()]
        return task

    def tasks(self) -> list[asyncio.Task[Any]]:
        """Those that have not ended, in the order in which they were made."""
        return [t for entry in self.made if (t := entry()) is not None and not t.done()]

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
        handle.cancel()  # also where this very turn was about to run it
        setattr(socket, side, None)
        return True

    # --- sockets

    def attach(self, number: int, socket: Selected) -> None:
        self.sockets[number] = socket

    def descriptor(self) -> int:
        return next(self.numbers)

    def detach(self, number: int) -> None:
        self.sockets.pop(number, None)
        self.hot.pop(number, None)

    def touch(self, number: int, socket: Selected) -> None:
        """Something may be ready there now."""
        if number not in self.hot and self._is_ready(socket):
            self.hot[number] = socket
            if not self.running:
                self._rouse()

    def _is_ready(self, socket: Selected) -> bool:
        return (socket.reader is not None and socket.readable) or (
            socket.writer is not None and socket.writable
        )

    # --- turns

    def _rouse(self) -> None:
        due = self.kernel.now + self.pace()
        if due < self.wake_at:
            self._arm(due)

    def _arm(self, due: float) -> None:
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
        now, timers, soon = self.kernel.now, self.timers, self.soon
        while timers and timers[0][0] <= now:
            handle = heapq.heappop(timers)[2]
            if not handle.cancelled():
                self.fired()
                soon.append(handle)
        self.running = True
        events._set_running_loop(self)
        try:
            for _ in range(len(soon)):
                call = soon.popleft()
                if not call.cancelled():
                    call._run()
        finally:
            events._set_running_loop(None)
            self.running = False
        self.after_turn()
        self._next()

    def _next(self) -> None:
        for number in [n for n, s in self.hot.items() if not self._is_ready(s)]:
            del self.hot[number]
        if self.soon or self.hot:
            self._rouse()
        while self.timers and self.timers[0][2].cancelled():
            heapq.heappop(self.timers)
            self.cancelled = max(0, self.cancelled - 1)
        if self.timers and self.timers[0][0] < self.wake_at:
            self._arm(self.timers[0][0])

    def _poll(self) -> None:
        if not self.hot:
            return
        numbers = list(self.hot)
        if len(numbers) > 1:
            self.random.shuffle(numbers)  # no order among sockets is promised
        for number in numbers:
            socket = self.hot[number]
            if socket.reader is not None and socket.readable:
                self.soon.append(socket.reader)
            if socket.writer is not None and socket.writable:
                self.soon.append(socket.writer)

    def run_out(self, most: int) -> bool:
        """Takes turns at once until no task is left; False: some still are after so many."""
        self.stop_turns()
        for _ in range(most):
            if not self.tasks():
                return True
            self._turn()
        return not self.tasks()

    def within(self, call: Callable[[], object]) -> None:
        """Runs a call as if the loop did, at once."""
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

    # --- what happens to the process

    def signal(self, sig: int) -> bool:
        """False: nothing handles it."""
        if (handle := self.handlers.get(sig)) is None:
            return False
        self.soon.append(handle)
        self._rouse()
        return True

    def stop_turns(self) -> None:
        """As SIGSTOP does: what comes in waits, and time goes on."""
        self.stopped = True
        if self.wake is not None:
            self.kernel.cancel(self.wake)
            self.wake, self.wake_at = None, inf

    def go_on(self) -> None:
        self.stopped = False
        self._next()

    def die(self) -> None:
        """Nothing of it runs any more; what it holds stays, so that nothing is cleared up by its own code."""
        self.dead = True
        if self.wake is not None:
            self.kernel.cancel(self.wake)
            self.wake, self.wake_at = None, inf

    def bury(self) -> None:
        """At the end of a run: ends its coroutines without a word."""
        self.dead = True
        closed: set[int] = set()
        while left := [t for t in self.tasks() if id(t) not in closed]:  # closing one may begin another
            for task in left:
                closed.add(id(task))
                task._log_destroy_pending = False  # type: ignore[attr-defined]
                with suppress(Exception):  # one that does not let itself be closed
                    self.within(task.get_coro().close)
        self.soon.clear()
        self.timers.clear()
        self.sockets.clear()
        self.hot.clear()
