"""Which records carry which stamps, in the order of the stamps; no I/O, no clock.

A reader that has everything up to a counter is told what came later without a look at all records.
"""

from bisect import bisect_right, insort
from collections.abc import Callable, Iterator

from finchladder.cluster.types.workers import Stamp

COMPACTION_SLACK = 64  # entries that may be out of date before the log of one origin is compacted


class StampLog:
    """Stamps of one table's records by origin.

    `current`: the stamp that the record with that key carries now, or None; entries that differ are skipped.
    """

    def __init__(self, current: Callable[[str], Stamp | None]) -> None:
        self._current = current
        self._entries: dict[str, list[tuple[int, str]]] = {}  # by origin, ordered by counter
        self._compact_at: dict[str, int] = {}

    def add(self, key: str, stamp: Stamp) -> None:
        """Notes the stamp that a record has just been given. O(log entries), mostly at the end."""
        entries = self._entries.setdefault(stamp.origin, [])
        insort(entries, (stamp.counter, key))
        if len(entries) > self._compact_at.setdefault(stamp.origin, COMPACTION_SLACK):
            self._compact(stamp.origin)

    def keys_after(self, origin: str, counter: int) -> Iterator[str]:
        """The keys of records that carry a stamp of that origin above that counter."""
        entries = self._entries.get(origin, [])
        first = bisect_right(entries, (counter + 1,))
        for stamped, key in entries[first:]:
            if self._current(key) == Stamp(origin, stamped):
                yield key

    def origins(self) -> tuple[str, ...]:
        """All origins that have stamped a record."""
        return tuple(self._entries)

    def _compact(self, origin: str) -> None:
        kept = [e for e in self._entries[origin] if self._current(e[1]) == Stamp(origin, e[0])]
        if kept:
            self._entries[origin] = kept
            self._compact_at[origin] = 2 * len(kept) + COMPACTION_SLACK
        else:
            del self._entries[origin]
            self._compact_at.pop(origin, None)
