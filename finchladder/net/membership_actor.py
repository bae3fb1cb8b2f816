"""The membership actor: collects reports of sources, applies and logs decisions, and saves the list."""

import asyncio
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial
from math import inf
from typing import Protocol

from finchladder.config.endpoint_list import (
    EndpointChange,
    EndpointUpdate,
    list_version,
    read_list,
    read_list_in_slices,
    write_list,
)
from finchladder.core import api
from finchladder.core.membership.decisions import (
    Decision,
    Fact,
    FactKind,
    Membership,
    MembershipSettings,
    MemberState,
    Report,
    Source,
)
from finchladder.core.membership.watch import LINE_TIMEOUT_S
from finchladder.net.actor import Actor
from finchladder.net.endpoint_watcher import LONG_LIST_BYTES, MAX_READ_AT_ONCE, EndpointWatcher
from finchladder.net.http1 import Connect
from finchladder.store.last_good_list import LastGood, LastGoodFile

DISCOVERY, LAST_GOOD = "discovery", "last good list"
MAILBOX_SIZE = 64
SILENCE_TIMEOUT_S = LINE_TIMEOUT_S  # a silent watch is reopened before its source counts as lost
READ_TIMEOUT_S = 2.0  # timeout for the saved list at startup: a hanging disk must not block the start
# seconds from a change to its save, and between two saves without a change, which renew the saved time
WRITE_DELAY_S, WRITE_INTERVAL_S = 5.0, 60.0
LOG_INTERVAL_S = 1.0  # seconds between two log lines about the same kind of fact

LOG_TEXTS: dict[FactKind, tuple[str, str]] = {
    FactKind.LEADS: ("INFO", "{f.source} leads, with {f.number} entries"),
    FactKind.LOST: (
        "WARNING",
        "no report from {f.source} for {f.seconds:.1f} s; the workers it drains stay draining",
    ),
    FactKind.BACK: ("INFO", "{f.source} is back"),
    FactKind.STALE: ("WARNING", "{f.source} sent a patch that does not follow on its list; it is dropped"),
    FactKind.BEHIND: (
        "WARNING",
        "{f.source} sent a list {f.number} versions older than its last, which stays in use",
    ),
    FactKind.ANEW: ("WARNING", "{f.source} has restarted, with {f.number} entries"),
    FactKind.HOLDING: (
        "WARNING",
        "{f.number} entries vanished within {f.seconds:g} s ({names}); they are kept",
    ),
    FactKind.RELEASED: ("WARNING", "{f.number} entries that vanished are removed ({names})"),
    FactKind.RETURNED: ("INFO", "all entries that vanished are listed again or removed"),
    FactKind.FLAPS: ("WARNING", "{f.number} entries are flapping and must become stable ({names})"),
    FactKind.DISAGREE: ("WARNING", "{f.source} disagrees on {f.number} entries ({names})"),
    FactKind.AGREED: ("INFO", "the sources agree again"),
    FactKind.OLD: ("ERROR", "the list of {f.source} is {f.seconds:.0f} s old, which is too old"),
    FactKind.FULL: ("ERROR", "{f.source} lists {f.number} entries more than are stored"),
}


class EndpointConsumer(Protocol):
    """Receives the accepted endpoint list."""

    def apply(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        """Applies a list at once."""

    def apply_in_slices(
        self, entries: Sequence[api.WorkerEntry], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Applies changed entries in slices."""


Found = tuple[LastGood, EndpointUpdate]


class ListFile(Protocol):
    """The file of the last good list, such as `store.last_good_list.LastGoodFile`."""

    def begin(self, found: Callable[[Found | None], None]) -> None:
        """Reads the file and passes its content, or None, to `found`."""

    def put(self, made: Callable[[], LastGood]) -> None:
        """Saves a list, which is built only when it is written."""

    def close(self) -> None:
        """Stops saving lists."""


class MembershipActor(Actor[Report]):
    """Merges the reports of several sources, the preferred one first.

    `report` and `source_is_alive` may be called at any time on the event loop.
    """

    def __init__(
        self,
        sources: Sequence[Source],
        rules: MembershipSettings,
        clock: Callable[[], float],
        consumer: EndpointConsumer,
        max_at_once: int,
        file: ListFile | None = None,
    ) -> None:
        """`max_at_once`: the maximum number of entries applied in one iteration of the event loop."""
        super().__init__("membership", MAILBOX_SIZE)
        past = [Source(LAST_GOOD, is_stored_list=True)] if file is not None else []
        self.membership = Membership([*sources, *past], rules)
        self.clock, self.consumer, self.max_at_once, self.file = clock, consumer, max_at_once, file
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due = inf  # when `timer` expires, in seconds of the clock
        self.save_timer: asyncio.TimerHandle | None = None
        # time of the last log line of each kind, and the number of lines suppressed since
        self.last_logged: dict[FactKind, tuple[float, int]] = {}

    @property
    def up(self) -> bool:
        """Whether a list is accepted."""
        return self.membership.has_list

    def receive(self, report: Report) -> None:
        """Applies a report of one source."""
        self._carry_out(self.membership.report(self.clock(), report))

    def report(self, report: Report) -> None:
        """Posts a report of one source."""
        self.post(report)

    def source_is_alive(self, source: str, in_step: bool = True) -> None:
        """Records a heartbeat of a source; `in_step`: its last report is still current."""
        self._carry_out(self.membership.record_heartbeat(self.clock(), source, in_step))

    def _timer_expired(self) -> None:
        self.timer_due, self.timer = inf, None
        self._carry_out(self.membership.apply_due(self.clock()))

    def _carry_out(self, decided: Decision) -> None:
        for fact in decided.facts:
            self._log_fact(fact)
        entries = decided.workers.entries
        if len(entries) > self.max_at_once:
            self.consumer.apply_in_slices(entries, decided.addresses)
        elif entries:
            self.consumer.apply(decided.workers, decided.addresses)
        if entries and self.file is not None:
            self._save_after(WRITE_DELAY_S)
        due = self.membership.next_due
        if due < self.timer_due:  # a timer that expires early is harmless
            if self.timer is not None:
                self.timer.cancel()
            wait = max(0.0, due - self.clock())
            self.timer_due, self.timer = due, asyncio.get_running_loop().call_later(wait, self._timer_expired)

    def _log_fact(self, f: Fact) -> None:
        now = self.clock()
        last, suppressed = self.last_logged.get(f.kind, (-inf, 0))
        if now < last + LOG_INTERVAL_S:
            self.last_logged[f.kind] = last, suppressed + 1
            return
        self.last_logged[f.kind] = now, 0
        level, text = LOG_TEXTS[f.kind]
        more = ", .." if f.number > len(f.names) else ""
        line = text.format(f=f, names=", ".join(f.names) + more)
        self.log.log(level, "membership: {}{}", line, f" (and {suppressed} such lines)" if suppressed else "")

    # --- saved list

    async def load_last_good(self, known: bytes) -> bytes:
        """Uses the last good list unless `known` is better; returns `known` if it is still needed."""
        if self.file is None:
            return known
        loop = asyncio.get_running_loop()
        read: asyncio.Future[Found | None] = loop.create_future()

        def set_result(found: Found | None) -> None:
            if not read.done():
                read.set_result(found)

        def pass_to_loop(found: Found | None) -> None:
            with suppress(RuntimeError):  # the event loop has been closed
                loop.call_soon_threadsafe(set_result, found)

        self.file.begin(pass_to_loop)
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                found = await read
        except TimeoutError:
            self.log.error("membership: the last good list can't be read within {:g} s", READ_TIMEOUT_S)
            return known
        if found is not None:
            self._use_last_good(*found, list_version(known) if known else -1)
        return b"" if self.membership.has_list else known

    def _use_last_good(self, good: LastGood, update: EndpointUpdate, known_version: int) -> None:
        if good.source == DISCOVERY and good.version < known_version:
            return
        age = max(0.0, self.clock() - good.time_s)
        self.report(Report(LAST_GOOD, good.version, update.workers, update.addresses, age_s=age))
        if self.membership.has_list:
            text = "membership: started with the last good list, of {}, {} entries, {:.0f} s old"
            self.log.warning(text, good.source, len(update.workers.entries), age)

    def _save_after(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        if self.save_timer is None or self.save_timer.when() > loop.time() + seconds:
            if self.save_timer is not None:
                self.save_timer.cancel()
            self.save_timer = loop.call_later(seconds, self._save)

    def _save(self) -> None:
        self.save_timer = None
        self._save_now()
        self._save_after(WRITE_INTERVAL_S)

    def _save_now(self) -> None:
        lead = self.membership.leader
        if self.file is None or lead is None or not lead.is_live:
            return  # the current list is no better than the saved one
        drains = api.WorkerStatus.DRAINING
        listed = [
            (b.entry._replace(state=drains) if b.state is MemberState.DRAINING else b.entry, b.address)
            for b in self.membership.members.values()
        ]
        self.file.put(partial(_build_last_good, lead.source.name, lead.version, lead.valid_at, listed))

    def close(self) -> None:
        """Saves the current list and stops."""
        for timer in (self.timer, self.save_timer):
            if timer is not None:
                timer.cancel()
        if self.file is not None:
            self._save_now()
            self.file.close()


def _build_last_good(
    source: str, version: int, time_s: float, listed: list[tuple[api.WorkerEntry, tuple[str, int]]]
) -> LastGood:
    return LastGood(source, version, time_s, write_list(version, listed))


async def read_in_slices(line: bytes, kind: api.ListKind | None = None) -> EndpointUpdate:
    """Reads a list, a long one in slices between which the event loop runs.

    Raises:
        ValueError: The line can't be used.
    """
    if len(line) <= LONG_LIST_BYTES:
        return read_list(line, kind)
    reading = read_list_in_slices(line, MAX_READ_AT_ONCE, kind)
    while True:
        try:
            next(reading)
        except StopIteration as stop:
            update: EndpointUpdate = stop.value
            return update
        await asyncio.sleep(0)


class EndpointApplier:
    """Applies lists through an endpoint watcher that is never started."""

    def __init__(self, watcher: EndpointWatcher) -> None:
        self.watcher = watcher

    def apply(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        """Applies a list at once."""
        self.watcher.post(EndpointUpdate(0, workers, addresses))

    def apply_in_slices(
        self, entries: Sequence[api.WorkerEntry], addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Applies changed entries in slices."""
        self.watcher._apply_change(EndpointChange(0, list(entries), addresses), known=False)


class DiscoverySource(EndpointWatcher):
    """Service discovery as one of several sources: its lists are reported, not applied."""

    def __init__(self, address: tuple[str, int], members: MembershipActor, connect: Connect) -> None:
        super().__init__(address, lambda workers, addresses: None, lambda names: None, connect)
        self.members = members

    def receive(self, update: EndpointUpdate) -> None:
        """Reports a list to the membership."""
        self.members.report(Report(DISCOVERY, update.version, update.workers, update.addresses))
        self.index = update.version

    async def read_line(self, line: bytes, known: bool = False) -> None:
        """Reads a line of the watch in slices and posts the list.

        Raises:
            ValueError: The line can't be used.
        """
        self.post(await read_in_slices(line, api.ListKind.STALE if known else None))

    def source_is_alive(self) -> None:
        """Reports a heartbeat to the membership."""
        self.members.source_is_alive(DISCOVERY)


def last_good_file(path: str) -> LastGoodFile[EndpointUpdate]:
    """Returns the file of the last good endpoint list at `path`."""
    return LastGoodFile(path, partial(read_list, kind=api.ListKind.STALE))
