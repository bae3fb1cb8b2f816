"""The state of workers as given by the etcd keys PREFIX/members/NAME and PREFIX/drain/NAME.

The value of a member key is its service entry, in discovery's format and with the name in the key. The value
of a drain key is ignored; the key's existence drains the worker. An unusable entry changes nothing: the
previous entry of that name stays in use.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from finchladder.config.addresses import parse_address
from finchladder.config.endpoint_list import ServiceEntry
from finchladder.core import api
from finchladder.core.membership.decisions import ANY_START, Address
from finchladder.net.etcd.messages import Item

MAX_VALUE_BYTES = 8 * 1024
MAX_NAMES = 50_000  # maximum number of workers, and of drain notices; further ones are ignored
MAX_UNUSABLE_KEYS = 256  # unusable keys that are remembered, so that each is reported once

_decode = msgspec.json.Decoder(ServiceEntry).decode


class Member(NamedTuple):
    """A worker's entry and its address."""

    worker: api.WorkerEntry
    address: Address


class Keys:
    """The state of the keys by worker name; each unusable key is reported once, in `unreported`."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.members_prefix, self.drain_prefix = f"{prefix}/members/".encode(), f"{prefix}/drain/".encode()
        self.members: dict[str, Member] = {}
        self.drains: dict[str, None] = {}
        self.unusable: dict[bytes, str] = {}
        self.unreported: list[str] = []  # for the log: unusable keys that are not reported yet

    def for_new_list(self) -> "Keys":
        """Returns an empty state for a new list, which remembers the unusable keys reported so far."""
        new = Keys(self.prefix)
        new.unusable = self.unusable
        return new

    def apply(self, item: Item, previous: "Keys | None" = None) -> str | None:
        """Applies one key; returns the name of the worker that it may have changed.

        Args:
            item: The key, or its deletion.
            previous: The state with the earlier values, for members whose new value is unusable.
        """
        if item.key.startswith(self.drain_prefix):
            if (name := self._name(item, self.drain_prefix)) is None:
                return None
            if item.is_deleted:
                self.drains.pop(name, None)
            elif len(self.drains) < MAX_NAMES or name in self.drains:
                self.drains[name] = None
            return name
        if (
            not item.key.startswith(self.members_prefix)
            or (name := self._name(item, self.members_prefix)) is None
        ):
            return None
        if item.is_deleted:
            self.members.pop(name, None)
            self.unusable.pop(item.key, None)
        else:
            try:
                found: Member | None = self._member(name, item.value)
                self.unusable.pop(item.key, None)
            except ValueError as e:
                self._record_unusable(item.key, str(e))
                found = (previous or self).members.get(name)
            if found is not None and (len(self.members) < MAX_NAMES or name in self.members):
                self.members[name] = found
        return name

    def _name(self, item: Item, prefix: bytes) -> str | None:
        try:
            name = item.key[len(prefix) :].decode()
        except UnicodeDecodeError:
            name = ""
        if not name or "/" in name or not name.isprintable():
            if not item.is_deleted:
                self._record_unusable(item.key, "not a valid name of a worker")
            return None
        return name

    def _member(self, name: str, value: bytes | None) -> Member:
        if value is None or len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"longer than {MAX_VALUE_BYTES} bytes")
        try:
            entry = _decode(value)
        except msgspec.MsgspecError as e:
            raise ValueError(str(e)) from None
        if entry.name != name:
            raise ValueError(f"the entry has the name {entry.name[:64]!r}, but the key has another")
        return Member(entry.to_worker_entry(), parse_address(entry.address))

    def _record_unusable(self, key: bytes, reason: str) -> None:
        if self.unusable.get(key) == reason:
            return
        if key not in self.unusable and len(self.unusable) >= MAX_UNUSABLE_KEYS:
            # during a flood of unusable keys, some are reported again; the memory stays bounded
            self.unusable.pop(next(iter(self.unusable)))
        self.unusable[key] = reason
        text = key[:128].decode("utf-8", "backslashreplace")
        self.unreported.append(f"{text}: {reason}; the key is ignored")

    def worker(self, name: str) -> api.WorkerEntry:
        """Returns the entry of a worker; its state is REMOVED if no key names it."""
        member = self.members.get(name)
        if member is not None and member.worker.state is api.WorkerStatus.REMOVED:
            member = None
        if name not in self.drains:
            return member.worker if member is not None else api.WorkerEntry(name, api.WorkerStatus.REMOVED)
        known = member.worker if member is not None else api.WorkerEntry(name, api.WorkerStatus.DRAINING)
        return known._replace(state=api.WorkerStatus.DRAINING, started_at=ANY_START)

    def workers(self, names: Iterable[str]) -> tuple[tuple[api.WorkerEntry, ...], dict[str, Address]]:
        """Returns the entries of these workers, and the addresses of those that have one."""
        entries = tuple(self.worker(name) for name in names)
        addresses = {
            e.worker: self.members[e.worker].address
            for e in entries
            if e.state is not api.WorkerStatus.REMOVED and e.worker in self.members
        }
        return entries, addresses

    def names(self) -> list[str]:
        """Returns the names of all workers with a member or drain key."""
        return [*self.members, *(name for name in self.drains if name not in self.members)]
