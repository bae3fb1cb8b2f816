"""An asyncio loop whose clock jumps to the next timer: hours of waiting take no time, and no test sleeps.

Tasks may belong to a simulated process, by the context that they run in. While a process is frozen nothing of
it runs: what falls due is put off, in its order, to the moment at which it wakes. The clock goes on
meanwhile, as a machine's steady clock does.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from typing import Any, TypeVar

T = TypeVar("T")
PROCESS: ContextVar[str] = ContextVar("PROCESS", default="")  # the simulated process that code belongs to
SMALLEST_STEP_S = 1e-6


class JumpingSelector(selectors.SelectSelector):
    """Instead of waiting for a time-out, it moves the clock by it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Nothing is ever ready but timers."""
        if timeout is None:
            raise RuntimeError("nothing is left to wait for")
        if timeout > 0:
            self.now += max(timeout, SMALLEST_STEP_S)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Everything in it happens at `time()`, which begins at 0 seconds."""

    def __init__(self) -> None:
        self._jumping = JumpingSelector()
        self._frozen_until: dict[str, float] = {}
        self._tasks_of: dict[
            str, dict[asyncio.Task[Any], None]
        ] = {}  # by process, in the order of their starts
        super().__init__(self._jumping)

    def time(self) -> float:
        """Seconds of virtual time."""
        return self._jumping.now

    def freeze(self, process: str, until: float) -> None:
        """Nothing of that process runs before `until`, in seconds of virtual time."""
        self._frozen_until[process] = until

    def create_task(self, coro: Any, *, name: object = None, context: Context | None = None) -> Any:
        """As the standard loop's; a task belongs to the process in whose context it runs."""
        process = PROCESS.get() if context is None else context.get(PROCESS, "")
        task = super().create_task(coro, name=name, context=context)
        if process:
            tasks = self._tasks_of.setdefault(process, {})
            tasks[task] = None
            task.add_done_callback(lambda ended: tasks.pop(ended, None))
        return task

    def end_process(self, process: str) -> None:
        """Cancels all tasks of a process, those that it started by itself too."""
        for task in list(self._tasks_of.get(process, {})):
            task.cancel()

    def spawn(self, process: str, work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Runs something as part of that process."""
        context = copy_context()
        context.run(PROCESS.set, process)
        task: asyncio.Task[T] = self.create_task(work, context=context)
        return task

    def call_soon(  # type: ignore[override]  # the base class names its arguments' types one by one
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """As the standard loop's, but for frozen processes."""
        held = _Held(self, callback, args, context)
        held.handle = super().call_soon(held, context=context)
        return held.handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """As the standard loop's, but for frozen processes."""
        held = _Held(self, callback, args, context)
        handle = super().call_at(when, held, context=context)
        held.handle = handle
        return handle

    def wakes_at(self, process: str) -> float:
        """When that process runs again; a moment of the past if it is not frozen."""
        return self._frozen_until.get(process, 0.0)

    def put_off(self, when: float, held: "_Held") -> None:
        """Runs a callback of a frozen process later; those put off to one moment keep their order."""
        super().call_at(when, held, context=held.context)


def running_loop() -> VirtualClockLoop:
    """The loop at virtual time in which the caller runs."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualClockLoop)
    return loop


class _Held:
    """A callback that is put off while its process is frozen. `handle`: what its owner may cancel."""

    def __init__(
        self,
        loop: VirtualClockLoop,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: Context | None,
    ) -> None:
        self._loop, self._callback, self._args = loop, callback, args
        self.context = copy_context() if context is None else context
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if self.handle is not None and self.handle.cancelled():
            return
        wakes_at = self._loop.wakes_at(self.context.get(PROCESS, ""))
        if wakes_at > self._loop.time():
            self._loop.put_off(wakes_at, self)
            return
        self._callback(*self._args)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine at virtual time."""
    loop = VirtualClockLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.run_until_complete(_end_all())
        loop.close()


async def _end_all() -> None:
    """Cancels whatever still runs and waits for its end."""
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)
