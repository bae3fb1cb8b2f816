"""Discovery: the reader that watches the list of service entries."""

import asyncio
import re
from collections.abc import Callable, Iterable
from contextlib import suppress
from itertools import islice
from random import Random
from typing import TYPE_CHECKING

from finchladder.config.endpoint_list import (
    EndpointChange,
    EndpointTable,
    EndpointUpdate,
    read_list,
    version_and_is_full,
)
from finchladder.core import api
from finchladder.core.membership.watch import INITIAL_LIST_WAIT_S, NO_CHANGE_WAIT_S, WatchState
from finchladder.core.membership.watch_backoff import WatchBackoff
from finchladder.net import http1
from finchladder.net.actor import Actor
from finchladder.net.http1 import Channel, Connect, MalformedMessageError, StreamClosedError

if TYPE_CHECKING:
    from finchladder.core.membership.subset_filter import SubsetFilter

WATCH_PATH = "/catalog/members"
MAX_LINE_BYTES = 8 * 1024 * 1024
MAILBOX_SIZE = 64
LONG_LIST_BYTES = 48 * 1024  # bytes: some 350 entries; a shorter line is read and applied at once
# entries of a longer one in one turn of the loop: some 2 ms each
MAX_READ_AT_ONCE, MAX_FILTERED_AT_ONCE, MAX_APPLIED_AT_ONCE = 512, 256, 16
SETTLE_ENTRIES = 1000  # entries of long lists

Apply = Callable[[api.WorkerList, dict[str, tuple[str, int]]], None]


_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON's strings: a brace in one is none


class LineSplitter:
    """Splits a byte stream into JSON objects, each on one line or indented over several.

    Empty lines between objects are returned as they are, and so is a line that starts no object.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.pending_lines: list[bytes] = []  # lines of an object that is not over
        self.depth = self.pending_bytes = 0

    def feed(self, piece: bytes) -> list[bytes]:
        """Returns the objects that are now complete.

        Raises:
            ValueError: More than MAX_LINE_BYTES arrived without the end of an object.
        """
        self.buffer += piece
        if len(self.buffer) + self.pending_bytes > MAX_LINE_BYTES:
            raise ValueError("line too long")
        if b"\n" not in piece:
            return []
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        return [whole for line in lines if (whole := self._complete_object(bytes(line).strip())) is not None]

    def _complete_object(self, line: bytes) -> bytes | None:
        if not self.depth and line.count(b"{") == line.count(b"}"):
            return line  # as nearly all are
        bare = _JSON_STRING.sub(b"", line)
        self.depth += bare.count(b"{") - bare.count(b"}")
        self.pending_lines.append(line)
        self.pending_bytes += len(line)
        if self.depth > 0:
            return None
        whole, self.pending_lines = b"\n".join(self.pending_lines), []
        self.depth = self.pending_bytes = 0
        return whole


def _take_slice(
    waiting: dict[str, api.WorkerEntry], addresses: dict[str, tuple[str, int]], most: int
) -> tuple[api.WorkerList, dict[str, tuple[str, int]]]:
    """So many entries out of these, and their addresses."""
    names = list(islice(waiting, most))
    entries = tuple(waiting.pop(name) for name in names)
    found = {n: addresses.pop(n) for n in names if n in addresses}
    return api.WorkerList(api.ListKind.PATCH, entries), found


class EndpointWatcher(Actor[EndpointUpdate]):
    """Watches service discovery from the version of the list last read.

    A long list is read and applied in slices, so that it never blocks the event loop for long: draining and
    removed workers first, and `retire` is called even before them. Updates that arrive meanwhile overtake the
    remaining slices. Where only a `subset` of the list is used, the subset filter gets all of a long list
    before any of it is applied: the subset must not follow a partial list.
    """

    def __init__(
        self,
        address: tuple[str, int],
        apply: Apply,
        retire: Callable[[list[str]], None],
        connect: Connect,
        subset: "SubsetFilter | None" = None,
    ) -> None:
        super().__init__("service list", MAILBOX_SIZE)
        self.address, self.apply, self.retire, self.connect = address, apply, retire, connect
        self.index = 0
        self.watch_state = WatchState(shared=False)
        self.backoff = WatchBackoff(
            1, Random(0), self.watch_state.reopen_within_s, self.watch_state.retry_within_s
        )
        self.up = self.is_established = False
        self.first_update = (
            asyncio.Event()
        )  # discovery has said whether the list known from before still holds
        self.table, self.subset = EndpointTable(), subset
        # entries that the subset is still to be told, and their addresses
        self.unfiltered: dict[str, api.WorkerEntry] = {}
        self.unfiltered_addresses: dict[str, tuple[str, int]] = {}
        # entries still to be applied, by name: the newest word alone; those not ready go first
        self.urgent: dict[str, api.WorkerEntry] = {}
        self.queued: dict[str, api.WorkerEntry] = {}
        self.queued_addresses: dict[str, tuple[str, int]] = {}
        self.applied_entries = 0  # entries out of long lists, since `settled` was last called
        self.on_settled: Callable[[], None] = lambda: None  # a long list that changed many is applied
        self.watch_task: asyncio.Task[None]
        self.apply_task: asyncio.Task[None] | None = None

    def receive(self, news: EndpointUpdate) -> None:
        """Applies a list at once; it supersedes queued entries of the same workers."""
        workers, addresses = news.workers, news.addresses
        for e in workers.entries:
            self._drop_pending(e.worker)
        if workers.kind is not api.ListKind.PATCH:
            self.urgent, self.queued, self.queued_addresses = {}, {}, {}
            self.unfiltered, self.unfiltered_addresses = {}, {}
        if self.subset is not None:
            workers, addresses = self.subset.apply(workers, addresses)
            self._drop_queued(workers.entries)
        self.apply(workers, addresses)
        self.table.apply(news)
        self.index = news.version
        # an empty list from before is no list: nothing could be served on it
        self.up = self.up or bool(news.workers.entries) or news.workers.kind is not api.ListKind.STALE

    async def read_line(self, line: bytes, known: bool = False) -> None:
        """Reads a line of the watch, or the saved list (`known`).

        Raises:
            ValueError: The line can't be used.
        """
        if len(line) <= LONG_LIST_BYTES:
            news = read_list(line, api.ListKind.STALE if known else None)
            if known or self._accepts(news.version, news.workers.kind is api.ListKind.FULL):
                self.post(news)
            return
        if not known and not self._accepts(*version_and_is_full(line)):
            return
        reading = self.table.read(line, MAX_READ_AT_ONCE, known)
        while True:
            try:
                next(reading)
            except StopIteration as over:
                return self._apply_change(over.value, known)
            await asyncio.sleep(0)

    def _accepts(self, version: int, whole: bool) -> bool:
        if self.watch_state.accept(asyncio.get_running_loop().time(), version, whole):
            return True
        self.log.warning("service list: version {} came after {}, and is passed over", version, self.index)
        return False

    def _apply_change(self, change: EndpointChange, known: bool) -> None:
        for e in change.entries:
            self._drop_pending(e.worker)
        if self.subset is None:
            self._queue(change.entries, change.addresses)
        else:  # what is gone comes last: the subset moves once where one goes and another comes
            entries = sorted(change.entries, key=lambda e: e.state is api.WorkerStatus.REMOVED)
            self.unfiltered.update((e.worker, e) for e in entries)
            self.unfiltered_addresses |= change.addresses
        self.retire([e.worker for e in change.entries if e.state is not api.WorkerStatus.READY])
        self.index, self.up = change.version, self.up or bool(self.table.known) or not known
        if self.apply_task is None or self.apply_task.done():
            self.apply_task = self.spawn(self._apply_queued())

    def _queue(self, entries: Iterable[api.WorkerEntry], addresses: dict[str, tuple[str, int]]) -> None:
        for e in entries:
            (self.queued if e.state is api.WorkerStatus.READY else self.urgent)[e.worker] = e
        self.queued_addresses |= addresses

    async def _apply_queued(self) -> None:
        while waiting := self.unfiltered or self.urgent or self.queued:
            if self.unfiltered:
                change = _take_slice(self.unfiltered, self.unfiltered_addresses, MAX_FILTERED_AT_ONCE)
                assert self.subset is not None
                workers, addresses = self.subset.apply(*change)
                self._drop_queued(workers.entries)
                self._queue(workers.entries, addresses)
            else:
                some = _take_slice(waiting, self.queued_addresses, MAX_APPLIED_AT_ONCE)
                self.apply(*some)
                self.applied_entries += len(some[0].entries)
            await asyncio.sleep(0)
        if self.applied_entries >= SETTLE_ENTRIES:
            self.applied_entries = 0
            self.on_settled()

    def _drop_pending(self, name: str) -> None:
        """What is still to be done about it is overtaken."""
        self.unfiltered.pop(name, None)
        self.unfiltered_addresses.pop(name, None)
        self._drop_queued_entry(name)

    def _drop_queued(self, entries: Iterable[api.WorkerEntry]) -> None:
        """What the subset said before: a newer word about one may still wait for it."""
        for e in entries:
            self._drop_queued_entry(e.worker)

    def _drop_queued_entry(self, name: str) -> None:
        self.urgent.pop(name, None)
        self.queued.pop(name, None)
        self.queued_addresses.pop(name, None)

    def start(self, known: bytes = b"") -> None:
        """Starts the watch. `known`: the saved list, already validated."""
        self.watch_task = self.spawn(self._keep_watching(known))

    async def wait_for_first_update(self) -> None:
        """Waits for the first update, up to FIRST_WORD_S: a saved list may name workers that are gone."""
        with suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_LIST_WAIT_S):
                await self.first_update.wait()

    def follow(self, address: tuple[str, int]) -> None:
        """Continues the watch at another address; the list stays in use meanwhile."""
        if address != self.address:
            self.address = address
            # whatever the old watch waits for, a silent connection or the next try, must not delay the new
            self.watch_task.cancel()
            self.watch_task = self.spawn(self._keep_watching())

    async def _keep_watching(self, known: bytes = b"") -> None:
        if known:
            await self.read_line(known, known=True)
        down = False
        while True:
            before = self.index
            self.is_established = False
            try:
                await self._watch()
                why = "ended"
            except (StreamClosedError, OSError, TimeoutError, MalformedMessageError, ValueError) as e:
                why = f"{type(e).__name__}: {e}"
            except Exception:  # whatever a peer sent, the list must be watched again
                self.log.exception("service list: the watch died")
                why = "died"
            if not down or self.is_established:
                self.log.warning("service list: watch over ({}), the last list stays in use", why)
            down = True
            await asyncio.sleep(self.backoff.next_wait_s(self.is_established, self.index != before))

    async def _watch(self) -> None:
        channel: Channel | None = None
        said: asyncio.TimerHandle | None = None
        loop = asyncio.get_running_loop()
        index = 0 if self.watch_state.is_renumbered(loop.time()) else self.index
        try:
            async with asyncio.timeout(self.watch_state.open_timeout_s):
                channel = await self.connect(self.address)
                channel.parser.limit = lambda head: MAX_LINE_BYTES
                await channel.write(
                    http1.write_request(
                        "GET", f"{WATCH_PATH}?stream=1&index={index}", [("Host", self._host_header())]
                    )
                )
                head = await channel.head()
            if head.status != 200:
                raise MalformedMessageError(502, f"discovery answered {head.status}")
            self.is_established = True
            said = loop.call_later(NO_CHANGE_WAIT_S, self.first_update.set)
            lines, last = LineSplitter(), loop.time()
            asked_whole = not index
            while True:
                for line in lines.feed(channel.parser.take_piece()):
                    if line:
                        await self.read_line(line)
                    else:
                        self.source_is_alive()
                    last = loop.time()
                    self.first_update.set()
                    if self.watch_state.is_renumbered(last) and not asked_whole:
                        raise ValueError("older lists alone have come for long; the whole one is asked for")
                if channel.parser.body is None or channel.parser.body.is_complete:
                    return
                async with asyncio.timeout_at(self.watch_state.silent_at(loop.time(), last)):
                    await channel.fill()
        finally:
            if said is not None:
                said.cancel()
            if channel is not None:
                channel.close()

    def source_is_alive(self) -> None:
        """Handles a heartbeat of discovery; does nothing here."""

    def _host_header(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"
