"""Places that are taken and given back, and a queue of those who wait for one."""

import asyncio
from collections import deque


class Slots:
    """So many may be taken at once. Whoever waits is served in turn; nobody overtakes."""

    def __init__(self, count: int) -> None:
        self.free = count
        self.queue: deque[asyncio.Future[None]] = deque()

    @property
    def open(self) -> bool:
        """Whether one can be taken without waiting."""
        return self.free > 0 and not self.queue

    def acquire(self) -> None:
        """Only where `open`."""
        self.free -= 1

    async def wait(self) -> None:
        """Takes one, once it is this caller's turn."""
        if self.open:
            return self.acquire()
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        try:
            await turn
        except BaseException:
            if turn.done() and not turn.cancelled():
                self.release()  # its turn had come as it gave up waiting
            else:
                self.queue.remove(turn)
            raise

    def release(self) -> None:
        while self.queue:
            turn = self.queue.popleft()
            if not turn.done():
                return turn.set_result(None)  # the place goes from hand to hand
        self.free += 1
