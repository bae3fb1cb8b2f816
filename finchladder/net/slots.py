"""Slots that limit concurrent use, with a queue of waiters."""

import asyncio
from collections import deque


class Slots:
    """A counting semaphore with a first-in, first-out queue of waiters."""

    def __init__(self, count: int) -> None:
        self.free = count
        self.waiters: deque[asyncio.Future[None]] = deque()

    @property
    def is_available(self) -> bool:
        """Whether a slot can be acquired without waiting."""
        return self.free > 0 and not self.waiters

    def acquire(self) -> None:
        """Acquires a slot; only allowed if `is_available`."""
        self.free -= 1

    async def wait(self) -> None:
        """Acquires a slot, waiting for this caller's turn."""
        if self.is_available:
            return self.acquire()
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiters.append(turn)
        try:
            await turn
        except BaseException:
            if turn.done() and not turn.cancelled():
                self.release()  # the waiter was given a slot just before its wait was cancelled
            else:
                self.waiters.remove(turn)
            raise

    def release(self) -> None:
        """Returns a slot, directly to the first waiter if there is one."""
        while self.waiters:
            turn = self.waiters.popleft()
            if not turn.done():
                return turn.set_result(None)  # the slot passes to the waiter without becoming free
        self.free += 1
