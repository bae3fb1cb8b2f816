"""The watch on service discovery's endpoint list."""

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
from finchladder.core.membership.watch import INITIAL_LIST_TIMEOUT_S, NO_CHANGE_DELAY_S, WatchState
from finchladder.core.membership.watch_backoff import WatchBackoff
from finchladder.net import http1
from finchladder.net.actor import Actor
from finchladder.net.http1 import Channel, Connect, MalformedMessageError, StreamClosedError

if TYPE_CHECKING:
    from finchladder.core.membership.subset_filter import SubsetFilter

WATCH_PATH = "/catalog/members"
MAX_LINE_BYTES = 8 * 1024 * 1024
MAILBOX_SIZE = 64
LONG_LIST_BYTES = 48 * 1024  # some 350 entries; a shorter line is read and applied at once
# entries of a longer line read, filtered and applied in one loop iteration: some 2 ms each
MAX_READ_AT_ONCE, MAX_FILTERED_AT_ONCE, MAX_APPLIED_AT_ONCE = 512, 256, 16
SETTLE_ENTRIES = 1000  # applied entries of long lists after which `on_settled` is called

Apply = Callable[[api.WorkerList, dict[str, tuple[str, int]]], None]


_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # JSON strings, in which braces don't count


class LineSplitter:
    """Splits a byte stream into JSON objects, each on one line or indented over several.

    Empty lines between objects and lines that start no object are returned unchanged.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.pending_lines: list[bytes] = []  # lines of an incomplete object
        self.depth = self.pending_bytes = 0

    def feed(self, piece: bytes) -> list[bytes]:
        """Returns the objects that are now complete.

        Raises:
            ValueError: More than MAX_LINE_BYTES arrived without the end of an object.
        """
        self.buffer += piece
        if len(self.buffer) + self.pending_bytes > MAX_LINE_BYTES:
            raise ValueError(f"line longer than {MAX_LINE_BYTES} bytes")
        if b"\n" not in piece:
            return []
        *lines, incomplete = self.buffer.split(b"\n")
        self.buffer = bytearray(incomplete)
        return [
            complete for line in lines if (complete := self._complete_object(bytes(line).strip())) is not None
        ]

    def _complete_object(self, line: bytes) -> bytes | None:
        if not self.depth and line.count(b"{") == line.count(b"}"):
            return line  # the usual case: one object on one line
        unquoted = _JSON_STRING.sub(b"", line)
        self.depth += unquoted.count(b"{") - unquoted.count(b"}")
        self.pending_lines.append(line)
        self.pending_bytes += len(line)
        if self.depth > 0:
            return None
        complete, self.pending_lines = b"\n".join(self.pending_lines), []
        self.depth = self.pending_bytes = 0
        return complete


def _take_slice(
    waiting: dict[str, api.WorkerEntry], addresses: dict[str, tuple[str, int]], max_entries: int
) -> tuple[api.WorkerList, dict[str, tuple[str, int]]]:
    """Removes up to `max_entries` entries and their addresses, and returns them as a patch."""
    names = list(islice(waiting, max_entries))
    entries = tuple(waiting.pop(name) for name in names)
    found = {n: addresses.pop(n) for n in names if n in addresses}
    return api.WorkerList(api.ListKind.PATCH, entries), found


class EndpointWatcher(Actor[EndpointUpdate]):
    """Watches service discovery from the version of the list last read.

    A long list is read and applied in slices, so that it never blocks the event loop for long: draining and
    removed workers first, and `retire` is called even before them. An update that arrives meanwhile replaces
    the queued entries of the same workers. If only a `subset` of the list is used, the subset filter gets all
    of a long list before any of it is applied, as a partial list would give another subset.
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
        # set once discovery has confirmed or replaced the saved list
        self.first_update = asyncio.Event()
        self.table, self.subset = EndpointTable(), subset
        # entries that still have to pass the subset filter, and their addresses
        self.unfiltered: dict[str, api.WorkerEntry] = {}
        self.unfiltered_addresses: dict[str, tuple[str, int]] = {}
        # the latest entries still to be applied, by name; `urgent`, those not ready, go first
        self.urgent: dict[str, api.WorkerEntry] = {}
        self.queued: dict[str, api.WorkerEntry] = {}
        self.queued_addresses: dict[str, tuple[str, int]] = {}
        self.applied_entries = 0  # entries of long lists, since `on_settled` was last called
        self.on_settled: Callable[[], None] = lambda: None  # called after many entries of long lists
        self.watch_task: asyncio.Task[None]
        self.apply_task: asyncio.Task[None] | None = None

    def receive(self, update: EndpointUpdate) -> None:
        """Applies a list at once; it supersedes queued entries of the same workers."""
        workers, addresses = update.workers, update.addresses
        for e in workers.entries:
            self._drop_pending(e.worker)
        if workers.kind is not api.ListKind.PATCH:
            self.urgent, self.queued, self.queued_addresses = {}, {}, {}
            self.unfiltered, self.unfiltered_addresses = {}, {}
        if self.subset is not None:
            workers, addresses = self.subset.apply(workers, addresses)
            self._drop_queued(workers.entries)
        self.apply(workers, addresses)
        self.table.apply(update)
        self.index = update.version
        # an empty saved list does not count: no job could be served with it
        self.up = self.up or bool(update.workers.entries) or update.workers.kind is not api.ListKind.STALE

    async def read_line(self, line: bytes, known: bool = False) -> None:
        """Reads a line of the watch, or the saved list (`known`).

        Raises:
            ValueError: The line can't be used.
        """
        if len(line) <= LONG_LIST_BYTES:
            update = read_list(line, api.ListKind.STALE if known else None)
            if known or self._accepts(update.version, update.workers.kind is api.ListKind.FULL):
                self.post(update)
            return
        if not known and not self._accepts(*version_and_is_full(line)):
            return
        reading = self.table.read(line, MAX_READ_AT_ONCE, known)
        while True:
            try:
                next(reading)
            except StopIteration as stop:
                return self._apply_change(stop.value, known)
            await asyncio.sleep(0)

    def _accepts(self, version: int, is_full: bool) -> bool:
        if self.watch_state.accept(asyncio.get_running_loop().time(), version, is_full):
            return True
        self.log.warning("service list: version {} is older than {} and is ignored", version, self.index)
        return False

    def _apply_change(self, change: EndpointChange, known: bool) -> None:
        for e in change.entries:
            self._drop_pending(e.worker)
        if self.subset is None:
            self._queue(change.entries, change.addresses)
        else:  # removals last: if one worker replaces another, the subset changes only once
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
                slice_ = _take_slice(waiting, self.queued_addresses, MAX_APPLIED_AT_ONCE)
                self.apply(*slice_)
                self.applied_entries += len(slice_[0].entries)
            await asyncio.sleep(0)
        if self.applied_entries >= SETTLE_ENTRIES:
            self.applied_entries = 0
            self.on_settled()

    def _drop_pending(self, name: str) -> None:
        """Drops what is still pending for a worker, as a newer update replaces it."""
        self.unfiltered.pop(name, None)
        self.unfiltered_addresses.pop(name, None)
        self._drop_queued_entry(name)

    def _drop_queued(self, entries: Iterable[api.WorkerEntry]) -> None:
        """Drops queued entries, but not those that still have to pass the subset filter."""
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
        """Waits up to INITIAL_LIST_TIMEOUT_S for the first update: a saved list may name removed workers."""
        with suppress(TimeoutError):
            async with asyncio.timeout(INITIAL_LIST_TIMEOUT_S):
                await self.first_update.wait()

    def follow(self, address: tuple[str, int]) -> None:
        """Continues the watch at another address; the list stays in use meanwhile."""
        if address != self.address:
            self.address = address
            # the old watch may wait for a silent connection or a retry, which must not delay the new one
            self.watch_task.cancel()
            self.watch_task = self.spawn(self._keep_watching())

    async def _keep_watching(self, known: bytes = b"") -> None:
        if known:
            await self.read_line(known, known=True)
        is_down = False
        while True:
            index_before = self.index
            self.is_established = False
            try:
                await self._watch()
                reason = "ended"
            except (StreamClosedError, OSError, TimeoutError, MalformedMessageError, ValueError) as e:
                reason = f"{type(e).__name__}: {e}"
            except Exception:  # no input may end the watch for good
                self.log.exception("service list: the watch died")
                reason = "died"
            if not is_down or self.is_established:
                self.log.warning("service list: watch over ({}), the last list stays in use", reason)
            is_down = True
            await asyncio.sleep(self.backoff.next_backoff_s(self.is_established, self.index != index_before))

    async def _watch(self) -> None:
        channel: Channel | None = None
        no_change_timer: asyncio.TimerHandle | None = None
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
            no_change_timer = loop.call_later(NO_CHANGE_DELAY_S, self.first_update.set)
            lines, last = LineSplitter(), loop.time()
            requested_full = not index
            while True:
                for line in lines.feed(channel.parser.take_piece()):
                    if line:
                        await self.read_line(line)
                    else:
                        self.source_is_alive()
                    last = loop.time()
                    self.first_update.set()
                    if self.watch_state.is_renumbered(last) and not requested_full:
                        raise ValueError("only older versions arrive; requesting the full list")
                if channel.parser.body is None or channel.parser.body.is_complete:
                    return
                async with asyncio.timeout_at(self.watch_state.timeout_at(loop.time(), last)):
                    await channel.fill()
        finally:
            if no_change_timer is not None:
                no_change_timer.cancel()
            if channel is not None:
                channel.close()

    def source_is_alive(self) -> None:
        """Handles a heartbeat of discovery; does nothing here."""

    def _host_header(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"
