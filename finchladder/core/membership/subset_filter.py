"""Filters lists of all workers to the subset of the aperture.

Workers outside the subset are unknown to the dispatcher core. A worker that leaves the subset is reported as
removed: it receives no new jobs, its idle connections close, and its running jobs complete.
"""

from collections.abc import Iterable

from finchladder.core.api import ListKind, WorkerEntry, WorkerList, WorkerStatus
from finchladder.core.membership.aperture import Aperture, ApertureSettings

Address = tuple[str, int]


class SubsetFilter:
    """Filters worker lists; an entry costs O(1), one that joins or leaves O(log n + width).

    Memory: two entries for each listed worker, about 0.5 KB.
    """

    def __init__(self, index: int, dispatchers: int, settings: ApertureSettings) -> None:
        self.aperture = Aperture(index, dispatchers, settings)
        self.listed: dict[str, WorkerEntry] = {}  # ready or draining workers, as last reported
        self.addresses: dict[str, Address] = {}

    def apply(
        self, workers: WorkerList, addresses: dict[str, Address]
    ) -> tuple[WorkerList, dict[str, Address]]:
        """Returns the changes of the subset that follow from a list of all workers, and their addresses."""
        named = {e.worker: e for e in workers.entries}  # of several entries for one worker the last applies
        self.addresses.update(addresses)
        present = {name: e for name, e in named.items() if e.state is not WorkerStatus.REMOVED}
        strata = [(name, (e.zone, e.kind)) for name, e in present.items()]
        if workers.kind in (ListKind.FULL, ListKind.STALE):
            self.listed = present
            self.addresses = {name: address for name, address in self.addresses.items() if name in present}
            self.aperture.replace(strata)
            return self._to_list(workers.kind, (e for name, e in present.items() if name in self.aperture))
        removed = [name for name in named if name not in present]
        self.listed |= present
        change = self.aperture.apply_changes(strata, removed)
        out = [self.listed[name]._replace(state=WorkerStatus.REMOVED) for name in sorted(change.removed)]
        for name in removed:
            self.listed.pop(name, None)
            self.addresses.pop(name, None)
        out += [e for name, e in present.items() if name in self.aperture and name not in change.added]
        out += [self.listed[name] for name in sorted(change.added)]
        return self._to_list(workers.kind, out)

    def _to_list(
        self, kind: ListKind, entries: Iterable[WorkerEntry]
    ) -> tuple[WorkerList, dict[str, Address]]:
        out = WorkerList(kind, tuple(entries))
        present = (e.worker for e in out.entries if e.state is not WorkerStatus.REMOVED)
        return out, {name: self.addresses[name] for name in present if name in self.addresses}
