"""An index of records by stamp: what has changed after a counter is found without a scan of all records."""

from bisect import bisect_right, insort
from collections.abc import Callable, Iterator
from typing import NamedTuple

from finchladder.cluster.types.workers import Stamp

COMPACTION_SLACK = 64  # entries beyond twice the live ones before the log of one origin is compacted


class LogEntry(NamedTuple):
    """The record that got a counter; ordered by counter."""

    counter: int
    key: str


class StampLog:
    """The stamps of one table's records, by origin."""

    def __init__(self, current_stamp: Callable[[str], Stamp | None]) -> None:
        """Creates an empty log.

        Args:
            current_stamp: The stamp that the record with a key carries now; None if there is no such record.
                Entries with other stamps are outdated and skipped.
        """
        self._current_stamp = current_stamp
        self._entries: dict[str, list[LogEntry]] = {}  # by origin, ordered by counter
        self._compaction_sizes: dict[str, int] = {}  # by origin: the length that triggers a compaction

    def add(self, key: str, stamp: Stamp) -> None:
        """Adds the stamp that a record has just been given. O(log entries), mostly at the end."""
        entries = self._entries.setdefault(stamp.origin, [])
        insort(entries, LogEntry(stamp.counter, key))
        if len(entries) > self._compaction_sizes.setdefault(stamp.origin, COMPACTION_SLACK):
            self._compact(stamp.origin)

    def keys_after(self, origin: str, counter: int) -> Iterator[str]:
        """The keys of records that carry a stamp of that origin above that counter."""
        entries = self._entries.get(origin, [])
        first = bisect_right(entries, (counter + 1,))
        for entry in entries[first:]:
            if self._current_stamp(entry.key) == Stamp(origin, entry.counter):
                yield entry.key

    def origins(self) -> tuple[str, ...]:
        """All origins that have stamped a record."""
        return tuple(self._entries)

    def _compact(self, origin: str) -> None:
        current = [
            entry
            for entry in self._entries[origin]
            if self._current_stamp(entry.key) == Stamp(origin, entry.counter)
        ]
        if current:
            self._entries[origin] = current
            self._compaction_sizes[origin] = 2 * len(current) + COMPACTION_SLACK
        else:
            del self._entries[origin]
            self._compaction_sizes.pop(origin, None)
