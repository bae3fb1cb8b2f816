"""Discovery: the reader that watches the list of service entries."""

import asyncio
from collections.abc import Callable

from finchladder.config.entries import News, read_list
from finchladder.core import api
from finchladder.net import http1
from finchladder.net.actor import Actor
from finchladder.net.http1 import BadMessage, Channel, Connect, StreamClosedError

PATH = "/catalog/members"
SILENCE = 3.0  # an empty line comes every 2 s: without one the watch is dead, though its connection stands
BACKOFF, BACKOFF_MOST = 0.1, 0.8  # news counts as told after 6 s: no longer wait may lie between two tries
MAX_LINE = 8 * 1024 * 1024
ROOM = 64

Apply = Callable[[api.WorkerList, dict[str, tuple[str, int]]], None]


class Lines:
    """Lines out of pieces that end anywhere."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, piece: bytes) -> list[bytes]:
        self.rest += piece
        if len(self.rest) > MAX_LINE:
            raise ValueError("line too long")
        *lines, rest = self.rest.split(b"\n")
        self.rest = bytearray(rest)
        return [bytes(line).strip() for line in lines]


class ServiceActor(Actor[News]):
    """Keeps the version of the list last applied, and watches for what comes after it."""

    def __init__(self, address: tuple[str, int], apply: Apply, connect: Connect) -> None:
        super().__init__("service list", ROOM)
        self.address, self.apply, self.connect = address, apply, connect
        self.index = 0
        self.up = self.established = False
        self.watching: asyncio.Task[None]

    def receive(self, news: News) -> None:
        self.apply(news.workers, news.addresses)
        self.index = news.version
        # an empty list from before is no list: nothing could be served on it
        self.up = self.up or bool(news.workers.entries) or news.workers.kind is not api.ListKind.STALE

    def start(self) -> None:
        self.watching = self.spawn(self._watch_on())

    def follow(self, address: tuple[str, int]) -> None:
        """Watches at another address from the version last applied; the list stays in use meanwhile."""
        if address != self.address:
            self.address = address
            # whatever the old watch waits for, a silent connection or the next try, must not delay the new
            self.watching.cancel()
            self.watching = self.spawn(self._watch_on())

    async def _watch_on(self) -> None:
        wait, down = BACKOFF, False
        while True:
            before = self.index
            self.established = False
            try:
                await self._watch()
                why = "ended"
            except (StreamClosedError, OSError, TimeoutError, BadMessage, ValueError) as e:
                why = f"{type(e).__name__}: {e}"
            except Exception:  # whatever a peer sent, the list must be watched again
                self.log.exception("service list: the watch died")
                why = "died"
            if not down or self.established:
                self.log.warning("service list: watch over ({}), the last list stays in use", why)
            wait = BACKOFF if self.index != before else min(2 * wait, BACKOFF_MOST)
            down = True
            await asyncio.sleep(wait)

    async def _watch(self) -> None:
        channel: Channel | None = None
        try:
            async with asyncio.timeout(SILENCE):
                channel = await self.connect(self.address)
                channel.parser.limit = lambda head: MAX_LINE
                await channel.write(
                    http1.write_request(
                        "GET", f"{PATH}?stream=1&index={self.index}", [("Host", self._host())]
                    )
                )
                head = await channel.head()
            if head.status != 200:
                raise BadMessage(502, f"discovery answered {head.status}")
            self.established = True
            lines = Lines()
            while True:
                for line in lines.feed(channel.parser.take_piece()):
                    if line:
                        self.post(read_list(line))
                if channel.parser.body is None or channel.parser.body.done:
                    return
                async with asyncio.timeout(SILENCE):
                    await channel.fill()
        finally:
            if channel is not None:
                channel.close()

    def _host(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"
