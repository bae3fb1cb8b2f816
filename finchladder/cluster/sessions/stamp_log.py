"""Index of records by stamp, which finds the changes after a counter without reading all records."""

from bisect import bisect_right, insort
from collections.abc import Callable, Iterator
from typing import NamedTuple

from finchladder.cluster.types.workers import Stamp

# A log is compacted when its length exceeds twice its length after the last compaction plus this number.
COMPACTION_SLACK = 64


class LogEntry(NamedTuple):
    """Key of the record that was stamped with a counter; ordered by counter."""

    counter: int
    key: str


class StampLog:
    """Log of the stamps of one table's records, with one list for each origin."""

    def __init__(self, current_stamp: Callable[[str], Stamp | None]) -> None:
        """Creates an empty log.

        Args:
            current_stamp: Returns the current stamp of the record with a key; None if there is no record.
                Entries with another stamp of that record are outdated and skipped.
        """
        self._current_stamp = current_stamp
        self._entries: dict[str, list[LogEntry]] = {}  # entries by origin, ordered by counter
        self._compaction_sizes: dict[str, int] = {}  # list length that triggers a compaction, by origin

    def add(self, key: str, stamp: Stamp) -> None:
        """Adds the new stamp of a record. O(log entries) if the counter is the highest of its origin."""
        entries = self._entries.setdefault(stamp.origin, [])
        insort(entries, LogEntry(stamp.counter, key))
        if len(entries) > self._compaction_sizes.setdefault(stamp.origin, COMPACTION_SLACK):
            self._compact(stamp.origin)

    def keys_after(self, origin: str, counter: int) -> Iterator[str]:
        """Keys of the records whose current stamp has the given origin and a counter above `counter`."""
        entries = self._entries.get(origin, [])
        first = bisect_right(entries, (counter + 1,))
        for entry in entries[first:]:
            if self._current_stamp(entry.key) == Stamp(origin, entry.counter):
                yield entry.key

    def origins(self) -> tuple[str, ...]:
        """Origins of all entries in the log."""
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
