"""The service entries: discovery's list as JSON, one line of its watch or the last known one in a file."""

from typing import Literal, NamedTuple

import msgspec

from finchladder.config.addresses import parse_address
from finchladder.core import api

STATES = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


class ServiceEntry(msgspec.Struct):
    name: str
    address: str
    status: Literal["ready", "draining", "gone"]
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
        found = kind or (api.ListKind.WHOLE if self.snapshot else api.ListKind.PATCH)
        return api.WorkerList(found, tuple(e.worker() for e in self.endpoints))


class News(NamedTuple):
    """A list that has been read and found usable."""

    version: int
    workers: api.WorkerList
    addresses: dict[str, tuple[str, int]]


_decoder = msgspec.json.Decoder(ServiceList)


def read_list(line: bytes, kind: api.ListKind | None = None) -> News:
    """One line of the list; ValueError says what is wrong with it."""
    try:
        found = _decoder.decode(line)
        return News(found.index, found.workers(kind), found.addresses())
    except msgspec.MsgspecError as e:
        raise ValueError(str(e)) from None
