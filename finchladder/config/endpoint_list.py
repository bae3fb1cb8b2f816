"""The service entries: discovery's list as JSON, one line of its watch or the last known one in a file."""

from collections.abc import Generator, Iterable
from typing import Literal, NamedTuple

import msgspec

from finchladder.config.addresses import parse_address, show_address
from finchladder.core import api

Status = Literal["ready", "draining", "gone"]
STATES: dict[Status, api.WorkerStatus] = {
    "ready": api.WorkerStatus.READY,
    "draining": api.WorkerStatus.DRAINING,
    "gone": api.WorkerStatus.REMOVED,
}


class ServiceEntry(msgspec.Struct):
    name: str
    address: str
    status: Status
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0

    def worker(self) -> api.WorkerEntry:
        # the name, never the address, is the worker's id: it is the same everywhere, so all hashes agree
        return api.WorkerEntry(
            self.name,
            STATES[self.status],
            self.zone,
            self.type,
            self.group,
            self.since_ms / 1000,
            self.weight,
        )


class ServiceList(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[ServiceEntry]

    def addresses(self) -> dict[str, tuple[str, int]]:
        return {e.name: parse_address(e.address) for e in self.endpoints if e.status != "gone"}

    def workers(self, kind: api.ListKind | None = None) -> api.WorkerList:
        found = kind or (api.ListKind.FULL if self.snapshot else api.ListKind.PATCH)
        return api.WorkerList(found, tuple(e.worker() for e in self.endpoints))


class EndpointUpdate(NamedTuple):
    """A list that has been read and found usable."""

    version: int
    workers: api.WorkerList
    addresses: dict[str, tuple[str, int]]
    entries: list[ServiceEntry] = []


class EndpointChange(NamedTuple):
    """What a long list changed: entries that are not as they were; GONE are those that a whole one lacks."""

    version: int
    entries: list[api.WorkerEntry]
    addresses: dict[str, tuple[str, int]]


class _Long(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]


class _Index(msgspec.Struct):
    index: int
    snapshot: bool = False


_decoder = msgspec.json.Decoder(ServiceList)
_long = msgspec.json.Decoder(_Long)
_index = msgspec.json.Decoder(_Index)
_entry = msgspec.json.Decoder(ServiceEntry)


def read_list(line: bytes, kind: api.ListKind | None = None) -> EndpointUpdate:
    """One line of the list; ValueError says what is wrong with it."""
    try:
        found = _decoder.decode(line)
        return EndpointUpdate(found.index, found.workers(kind), found.addresses(), found.endpoints)
    except msgspec.MsgspecError as e:
        raise ValueError(str(e)) from None


def read_long(
    line: bytes, slice_of: int, kind: api.ListKind | None = None
) -> Generator[None, None, EndpointUpdate]:
    """As `read_list`, so many entries between two pauses."""
    entries: list[api.WorkerEntry] = []
    addresses: dict[str, tuple[str, int]] = {}
    try:
        found = _long.decode(line)
        yield
        for n, raw in enumerate(found.endpoints, 1):
            e = _entry.decode(raw)
            entries.append(e.worker())
            if e.status != "gone":
                addresses[e.name] = parse_address(e.address)
            if not n % slice_of:
                yield
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    kind = kind or (api.ListKind.FULL if found.snapshot else api.ListKind.PATCH)
    return EndpointUpdate(found.index, api.WorkerList(kind, tuple(entries)), addresses)


def version_of(line: bytes) -> int:
    """Of a list that was found usable."""
    return _index.decode(line).index


def version_and_is_full(line: bytes) -> tuple[int, bool]:
    """Of a line of the list, whatever else is in it; ValueError says what is wrong with these."""
    try:
        found = _index.decode(line)
    except msgspec.MsgspecError as e:
        raise ValueError(str(e)) from None
    return found.index, found.snapshot


def write_list(version: int, entries: Iterable[tuple[api.WorkerEntry, tuple[str, int]]]) -> bytes:
    """A whole list in discovery's form, which `read_list` reads."""
    words = {state: word for word, state in STATES.items()}
    listed = [
        ServiceEntry(
            e.worker,
            show_address(address),
            words[e.state],
            e.zone,
            e.kind,
            e.cell,
            e.weight,
            round(e.started_at * 1000, 3),
        )
        for e, address in entries
    ]
    return msgspec.json.encode(ServiceList(version, True, listed))


class EndpointTable:
    """All entries as they were last told: of a long list only what differs is worth the work."""

    def __init__(self) -> None:
        self.known: dict[str, ServiceEntry] = {}

    def keep(self, news: EndpointUpdate) -> None:
        self._keep({e.name: e for e in news.entries}, news.workers.kind is not api.ListKind.PATCH)

    def read(self, line: bytes, slice_of: int, whole: bool = False) -> Generator[None, None, EndpointChange]:
        """Reads so many entries between two pauses; what is told is kept at the end. `whole`: it is, it says.

        ValueError says what is wrong with it; then nothing of it is kept.
        """
        told: dict[str, ServiceEntry] = {}
        entries: list[api.WorkerEntry] = []
        addresses: dict[str, tuple[str, int]] = {}
        try:
            found = _long.decode(line)
            yield
            for n, raw in enumerate(found.endpoints, 1):
                e = _entry.decode(raw)
                told[e.name] = e
                if not self._said(e):
                    entries.append(e.worker())
                    if e.status != "gone":
                        addresses[e.name] = parse_address(e.address)
                if not n % slice_of:
                    yield
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        whole = whole or found.snapshot
        if whole:
            entries += [
                api.WorkerEntry(name, api.WorkerStatus.REMOVED) for name in self.known if name not in told
            ]
        self._keep(told, whole)
        return EndpointChange(found.index, entries, addresses)

    def _said(self, e: ServiceEntry) -> bool:
        """Whether it is as it was but for its weight, which nothing here goes by."""
        if (old := self.known.get(e.name)) is None:
            return e.status == "gone"
        return old == e or msgspec.structs.replace(old, weight=e.weight) == e

    def _keep(self, told: dict[str, ServiceEntry], whole: bool) -> None:
        if whole:
            self.known = dict(told)
        else:
            self.known.update(told)
        for e in told.values():
            if e.status == "gone":
                del self.known[e.name]
