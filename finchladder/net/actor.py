"""Actors with bounded mailboxes: an item is handled at once, or after those that were posted before it."""

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any, Generic, TypeVar

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

T = TypeVar("T")
R = TypeVar("R")


class MailboxFullError(Exception):
    """A mailbox is full."""


class Actor(Generic[T]):
    """Handles the items of its mailbox one at a time.

    While the actor is idle, `post` handles the item before it returns: a task and a future for each item cost
    more than the handling itself. An item that is posted while another is being handled waits in the mailbox,
    so the handling of two items never interleaves.

    The mailbox holds far more items than the limits on connections can cause, so a full mailbox is a bug in
    this program, and `post` raises. An error in `receive` is logged with its traceback. `failed` then
    releases what depended on the item, and the actor continues with the next one.
    """

    def __init__(self, name: str, mailbox_size: int) -> None:
        self.name, self.mailbox_size = name, mailbox_size
        self.mailbox: deque[T] | None = None  # created when the first item has to wait
        self.is_handling = False
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def log(self) -> "Logger":
        """The logger, bound to this actor's name."""
        return logger.bind(actor=self.name)

    @property
    def backlog(self) -> int:
        """The number of items in the mailbox."""
        return len(self.mailbox) if self.mailbox is not None else 0

    def post(self, item: T) -> None:
        """Handles the item now, or queues it while another is being handled.

        Raises:
            MailboxFullError: The mailbox already holds its maximum of items.
        """
        if not self.is_handling:
            return self._handle_all(item)
        if self.mailbox is None:
            self.mailbox = deque()
        if len(self.mailbox) >= self.mailbox_size:
            raise MailboxFullError(f"{self.name}: {self.mailbox_size} items wait")
        self.mailbox.append(item)

    def spawn(self, work: Coroutine[Any, Any, R]) -> asyncio.Task[R]:
        """Starts a task owned by this actor; an error that ends the task is logged."""
        task = asyncio.get_running_loop().create_task(work, name=self.name)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.log.opt(exception=error).critical("{}: a task ended with an internal error", self.name)

    def stop(self) -> None:
        """Cancels all tasks of this actor."""
        for task in self.tasks:
            task.cancel()

    def _handle_all(self, item: T) -> None:
        self.is_handling = True
        try:
            self._handle(item)
            while self.mailbox:
                self._handle(self.mailbox.popleft())
        finally:
            self.is_handling = False

    def _handle(self, item: T) -> None:
        try:
            self.receive(item)
        except Exception:
            self.log.exception("{}: internal error while handling {}", self.name, type(item).__name__)
            try:
                self.failed(item)
            except Exception:  # the remaining items must still be handled
                self.log.exception("{}: internal error while cleaning up", self.name)

    def receive(self, item: T) -> None:
        """Handles one item; subclasses define how."""
        raise NotImplementedError

    def failed(self, item: T) -> None:
        """Releases what depended on an item that could not be handled."""
