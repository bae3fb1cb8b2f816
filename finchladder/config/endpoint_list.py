"""Service discovery's endpoint list in JSON: a line of its watch, or the last known list in a file."""

from collections.abc import Generator, Iterable
from typing import Literal, NamedTuple

import msgspec

from finchladder.config.addresses import format_address, parse_address
from finchladder.core import api

Status = Literal["ready", "draining", "gone"]
WORKER_STATUS_BY_NAME: dict[Status, api.WorkerStatus] = {
    "ready": api.WorkerStatus.READY,
    "draining": api.WorkerStatus.DRAINING,
    "gone": api.WorkerStatus.REMOVED,
}


class ServiceEntry(msgspec.Struct):
    """One endpoint as service discovery encodes it."""

    name: str
    address: str
    status: Status
    zone: str = ""
    type: str = ""
    group: int = 0
    weight: float = 1.0
    since_ms: float = 0.0

    def to_worker_entry(self) -> api.WorkerEntry:
        """Converts the entry to the core's form; its start time becomes seconds."""
        # the id is the name, not the address, so that the id and its hashes are the same at all dispatchers
        return api.WorkerEntry(
            self.name,
            WORKER_STATUS_BY_NAME[self.status],
            self.zone,
            self.type,
            self.group,
            self.since_ms / 1000,
            self.weight,
        )


class ServiceList(msgspec.Struct):
    """An endpoint list as service discovery encodes it: a full snapshot or a patch."""

    index: int
    snapshot: bool
    endpoints: list[ServiceEntry]

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Returns the addresses by name of all entries that aren't gone.

        Raises:
            ValueError: An address can't be parsed.
        """
        return {e.name: parse_address(e.address) for e in self.endpoints if e.status != "gone"}

    def to_worker_list(self, kind: api.ListKind | None = None) -> api.WorkerList:
        """Converts the list to the core's form; `kind` overrides the list's own kind."""
        found = kind or (api.ListKind.FULL if self.snapshot else api.ListKind.PATCH)
        return api.WorkerList(found, tuple(e.to_worker_entry() for e in self.endpoints))


class EndpointUpdate(NamedTuple):
    """A decoded and validated endpoint list."""

    version: int
    workers: api.WorkerList
    addresses: dict[str, tuple[str, int]]
    entries: list[ServiceEntry] = []


class EndpointChange(NamedTuple):
    """The entries of an endpoint list that differ from the previous state.

    Entries that a full list no longer has are included as removed.
    """

    version: int
    entries: list[api.WorkerEntry]
    addresses: dict[str, tuple[str, int]]


class _RawServiceList(msgspec.Struct):
    index: int
    snapshot: bool
    endpoints: list[msgspec.Raw]


class _ListHeader(msgspec.Struct):
    index: int
    snapshot: bool = False


_decoder = msgspec.json.Decoder(ServiceList)
_long = msgspec.json.Decoder(_RawServiceList)
_index = msgspec.json.Decoder(_ListHeader)
_entry = msgspec.json.Decoder(ServiceEntry)


def read_list(line: bytes, kind: api.ListKind | None = None) -> EndpointUpdate:
    """Decodes one line of the endpoint list.

    Raises:
        ValueError: The line can't be used; the message says why.
    """
    try:
        found = _decoder.decode(line)
        return EndpointUpdate(found.index, found.to_worker_list(kind), found.addresses(), found.endpoints)
    except msgspec.MsgspecError as e:
        raise ValueError(str(e)) from None


def read_list_in_slices(
    line: bytes, entries_per_slice: int, kind: api.ListKind | None = None
) -> Generator[None, None, EndpointUpdate]:
    """Decodes as `read_list`, yielding after every `entries_per_slice` entries."""
    entries: list[api.WorkerEntry] = []
    addresses: dict[str, tuple[str, int]] = {}
    try:
        found = _long.decode(line)
        yield
        for n, raw in enumerate(found.endpoints, 1):
            e = _entry.decode(raw)
            entries.append(e.to_worker_entry())
            if e.status != "gone":
                addresses[e.name] = parse_address(e.address)
            if not n % entries_per_slice:
                yield
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from None
    kind = kind or (api.ListKind.FULL if found.snapshot else api.ListKind.PATCH)
    return EndpointUpdate(found.index, api.WorkerList(kind, tuple(entries)), addresses)


def list_version(line: bytes) -> int:
    """Returns the version of a list that was validated before."""
    return _index.decode(line).index


def version_and_is_full(line: bytes) -> tuple[int, bool]:
    """Returns the version of a line and whether it is a full list, without validating its entries.

    Raises:
        ValueError: Either of the two can't be decoded.
    """
    try:
        found = _index.decode(line)
    except msgspec.MsgspecError as e:
        raise ValueError(str(e)) from None
    return found.index, found.snapshot


def write_list(version: int, entries: Iterable[tuple[api.WorkerEntry, tuple[str, int]]]) -> bytes:
    """Encodes a full list in the form that `read_list` decodes."""
    names = {status: name for name, status in WORKER_STATUS_BY_NAME.items()}
    listed = [
        ServiceEntry(
            e.worker,
            format_address(address),
            names[e.state],
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
    """The latest state of all entries, from which the changes of each new list are computed."""

    def __init__(self) -> None:
        """Starts with no entries."""
        self.known: dict[str, ServiceEntry] = {}

    def apply(self, update: EndpointUpdate) -> None:
        """Applies a decoded list: a full list replaces the entries, a patch updates them."""
        self._store({e.name: e for e in update.entries}, update.workers.kind is not api.ListKind.PATCH)

    def read(
        self, line: bytes, entries_per_slice: int, is_full: bool = False
    ) -> Generator[None, None, EndpointChange]:
        """Decodes and applies a list, yielding after every `entries_per_slice` entries.

        Args:
            line: The encoded list.
            entries_per_slice: The number of entries between two yields.
            is_full: Treats the list as full even if it doesn't say so.

        Raises:
            ValueError: The list can't be used; nothing of it is applied.
        """
        received: dict[str, ServiceEntry] = {}
        entries: list[api.WorkerEntry] = []
        addresses: dict[str, tuple[str, int]] = {}
        try:
            found = _long.decode(line)
            yield
            for n, raw in enumerate(found.endpoints, 1):
                e = _entry.decode(raw)
                received[e.name] = e
                if not self._is_unchanged(e):
                    entries.append(e.to_worker_entry())
                    if e.status != "gone":
                        addresses[e.name] = parse_address(e.address)
                if not n % entries_per_slice:
                    yield
        except msgspec.MsgspecError as error:
            raise ValueError(str(error)) from None
        is_full = is_full or found.snapshot
        if is_full:
            entries += [
                api.WorkerEntry(name, api.WorkerStatus.REMOVED) for name in self.known if name not in received
            ]
        self._store(received, is_full)
        return EndpointChange(found.index, entries, addresses)

    def _is_unchanged(self, e: ServiceEntry) -> bool:
        """Returns whether an entry is equal to the stored one, apart from its unused weight."""
        if (old := self.known.get(e.name)) is None:
            return e.status == "gone"
        return old == e or msgspec.structs.replace(old, weight=e.weight) == e

    def _store(self, received: dict[str, ServiceEntry], is_full: bool) -> None:
        if is_full:
            self.known = dict(received)
        else:
            self.known.update(received)
        for e in received.values():
            if e.status == "gone":
                del self.known[e.name]
