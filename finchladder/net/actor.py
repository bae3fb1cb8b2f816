"""An actor: a mailbox with bounded room and one task that reads it."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

from loguru import logger
from tornado.queues import Queue

T = TypeVar("T")


class Actor(Generic[T]):
    """Handles what comes to its mailbox, one thing after another.

    The room is far more than the bounds on connections let in, so a full mailbox is a fault of this program:
    `post` raises then. An error in `receive` is logged with its trace and handed to `failed`, which ends
    whatever hung on the item; the actor goes on with the next one.
    """

    def __init__(self, name: str, box: Queue[T]) -> None:
        self.name, self.box = name, box
        self.log = logger.bind(actor=name)
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        self.spawn(self._live())

    def post(self, item: T) -> None:
        self.box.put_nowait(item)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work, name=self.name)
        self.tasks.add(task)
        task.add_done_callback(self._over)
        return task

    def _over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log.opt(exception=error).critical("{}: a task died", self.name)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def _live(self) -> None:
        while True:
            item = await self.box.get()
            try:
                self.receive(item)
            except Exception:
                self.log.exception("{}: died on {}", self.name, type(item).__name__)
                try:
                    self.failed(item)
                except Exception:  # the mailbox must be read on, else all that comes after hangs too
                    self.log.exception("{}: could not clear up", self.name)

    def receive(self, item: T) -> None:
        raise NotImplementedError

    def failed(self, item: T) -> None:
        """Ends what hung on an item that could not be handled."""
