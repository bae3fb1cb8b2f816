"""Background tasks of a process, which have names, restart after errors and are cancelled together."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from finchladder.cluster.process.log import event
from finchladder.cluster.types.errors import error_kind, error_location

RESTART_DELAY_S = 0.1

T = TypeVar("T")


class Tasks:
    """Owns the background tasks of a process; a loop that fails is logged and restarted."""

    def __init__(self) -> None:
        """Creates an empty set of tasks."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any], name: str) -> asyncio.Task[Any]:
        """Runs a coroutine once; an error is logged."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def repeat(self, work: Callable[[], Awaitable[None]], name: str) -> asyncio.Task[Any]:
        """Runs a loop until `stop`; after an error or a return it is restarted."""

        async def run_with_restarts() -> None:
            while True:
                try:
                    await work()
                # catches any error, since the process can't work without one of its loops
                except Exception as error:  # noqa: BLE001
                    event("task.failed", task=name, error=error_kind(error), place=error_location(error))
                await asyncio.sleep(RESTART_DELAY_S)

        return self.spawn(run_with_restarts(), name)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            event("task.failed", task=task.get_name(), error=error_kind(error), place=error_location(error))

    async def stop(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def result_within(work: "asyncio.Future[T]", timeout_s: float) -> T | None:
    """Returns the result of the work or raises its error; returns None if the timeout passes first.

    The work continues after the timeout, but its result or error is ignored.
    """
    done, _ = await asyncio.wait({work}, timeout=timeout_s)
    if done:
        return work.result()
    work.add_done_callback(_retrieve_exception)
    return None


def _retrieve_exception(work: "asyncio.Future[Any]") -> None:
    # otherwise asyncio would log the exception as never retrieved
    if not work.cancelled():
        work.exception()


class Signal:
    """Notifies all waiters of a change, in the order in which they began to wait."""

    def __init__(self) -> None:
        """Creates a signal without waiters."""
        self._waiting: dict[asyncio.Future[None], None] = {}

    def fire(self) -> None:
        """Notifies all current waiters."""
        waiting, self._waiting = self._waiting, {}
        for future in waiting:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the next `fire`; returns False after the timeout."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[future] = None
        try:
            # `asyncio.wait_for` of Python 3.11 loses a cancellation that arrives together with the result
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            return False
        finally:
            self._waiting.pop(future, None)
        return True
