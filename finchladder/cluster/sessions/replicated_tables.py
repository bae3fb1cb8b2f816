"""The replicated tables of workers and placements, merged by rank and told by version vector; no I/O, no
clock.

Each control process stamps the changes that it makes itself with its origin and a rising counter. A reader
sends the highest counter that it has of each origin and gets all records with later stamps. What is gone
stays as a tombstone until it is forgotten by age.

Each life of a control process is an origin. One whose counter has long stood still and whose stamp no record
carries says nothing any more: it is no longer told after QUIET_S, and dropped after FORGET_S, by when nobody
tells it.
"""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from finchladder.cluster.sessions.stamp_log import StampLog
from finchladder.cluster.types.workers import (
    PlacementRecord,
    SessionPhase,
    Stamp,
    StampedPlacement,
    StampedWorker,
    WorkerRecord,
)

STALE_ORIGIN_S = 30.0
RETENTION_S = 60.0


class MissingRecords(NamedTuple):
    """What a subscriber lacks."""

    workers: tuple[StampedWorker, ...]
    placements: tuple[StampedPlacement, ...]


class ReplicatedTables:
    """All workers and placements that one process knows."""

    def __init__(self, origin: str) -> None:
        self.origin = origin
        self.counter = 0
        self.workers: dict[str, StampedWorker] = {}
        self.placements: dict[str, StampedPlacement] = {}
        self.vector: dict[str, int] = {}
        self._last_advances: dict[
            str, tuple[int, float]
        ] = {}  # by origin, its counter and when that was first seen
        self._stale_origins: frozenset[str] = frozenset()  # origins that are no longer told
        self._ended_at: dict[str, float] = {}  # when workers that are lost or gone were first seen so
        self._worker_log = StampLog(self._worker_stamp)
        self._placement_log = StampLog(self._placement_stamp)

    def _worker_stamp(self, instance: str) -> Stamp | None:
        worker = self.workers.get(instance)
        return None if worker is None else worker.stamp

    def _placement_stamp(self, instance: str) -> Stamp | None:
        placement = self.placements.get(instance)
        return None if placement is None else placement.stamp

    def _store_worker(self, worker: StampedWorker) -> None:
        self.workers[worker.record.instance] = worker
        self._worker_log.add(worker.record.instance, worker.stamp)

    def _store_placement(self, placement: StampedPlacement) -> None:
        self.placements[placement.record.instance] = placement
        self._placement_log.add(placement.record.instance, placement.stamp)

    def _next_stamp(self) -> Stamp:
        self.counter += 1
        self.vector[self.origin] = self.counter
        return Stamp(self.origin, self.counter)

    def put_worker(self, record: WorkerRecord) -> bool:
        """Takes a record that this process made; False if a newer one is known."""
        known = self.workers.get(record.instance)
        if known is not None and record.rank() < known.record.rank():
            return False
        self._store_worker(StampedWorker(self._next_stamp(), record))
        return True

    def put_placement(self, record: PlacementRecord) -> bool:
        """Takes a placement that this process made; False if a newer one is known."""
        known = self.placements.get(record.instance)
        if known is not None and (record.token, record.serial) <= (known.record.token, known.record.serial):
            return False
        self._store_placement(StampedPlacement(self._next_stamp(), record))
        return True

    def merge(
        self, workers: tuple[StampedWorker, ...], placements: tuple[StampedPlacement, ...]
    ) -> list[str]:
        """Takes records of others; returns the instances for which something changed."""
        changed: list[str] = []
        for worker in workers:
            known = self.workers.get(worker.record.instance)
            if known is None or _supersedes(worker, known):
                self._store_worker(worker)
                changed.append(worker.record.instance)
        for placement in placements:
            held = self.placements.get(placement.record.instance)
            if held is None or _placement_supersedes(placement.record, held.record):
                self._store_placement(placement)
                changed.append(placement.record.instance)
        return changed

    def advance_vector(self, vector: Mapping[str, int]) -> None:
        """Everything up to that vector has been merged."""
        for origin, counter in vector.items():
            self.vector[origin] = max(counter, self.vector.get(origin, 0))

    def records_after(self, vector: Mapping[str, int]) -> MissingRecords:
        """The records that a reader with that vector does not have. O(what it lacks)."""
        workers = tuple(self.workers[i] for i in _keys_after(self._worker_log, vector))
        placements = tuple(self.placements[i] for i in _keys_after(self._placement_log, vector))
        return MissingRecords(workers, placements)

    def advertised_vector(self) -> dict[str, int]:
        """What is told to readers: the vector without origins that say nothing any more."""
        return {
            origin: counter for origin, counter in self.vector.items() if origin not in self._stale_origins
        }

    def is_ahead(self, vector: Mapping[str, int]) -> bool:
        """Whether a reader with that vector misses anything. O(origins)."""
        quiet = self._stale_origins
        return any(c > vector.get(o, 0) for o, c in self.vector.items() if o not in quiet)

    def expire_origins(self, now: float) -> None:
        """Drops origins of former lives; `now`: steady seconds. O(origins + records)."""
        carried = {worker.stamp.origin for worker in self.workers.values()}
        carried |= {placement.stamp.origin for placement in self.placements.values()}
        quiet = set()
        for origin, counter in list(self.vector.items()):
            risen = self._last_advances.get(origin)
            if risen is None or risen[0] != counter or origin in carried or origin == self.origin:
                self._last_advances[origin] = counter, now
            elif now - risen[1] > RETENTION_S:
                del self.vector[origin], self._last_advances[origin]
            elif now - risen[1] > STALE_ORIGIN_S:
                quiet.add(origin)
        self._stale_origins = frozenset(quiet)

    def remove(self, instance: str) -> None:
        """Drops a worker and its placement."""
        self.workers.pop(instance, None)
        self.placements.pop(instance, None)

    def expire_ended_workers(self, now: float) -> list[str]:
        """Drops workers that have been lost or gone for FORGET_S; returns them. `now`: steady seconds."""
        ended = [
            i
            for i, w in self.workers.items()
            if w.record.phase in (SessionPhase.LOST, SessionPhase.DEREGISTERED)
        ]
        self._ended_at = {instance: self._ended_at.get(instance, now) for instance in ended}
        due = [instance for instance, since in self._ended_at.items() if now - since > RETENTION_S]
        for instance in due:
            self.remove(instance)
            del self._ended_at[instance]
        return due

    def retain_workers(self, instances: set[str]) -> list[str]:
        """Drops all workers but these; returns those dropped."""
        dropped = [instance for instance in self.workers if instance not in instances]
        for instance in dropped:
            self.remove(instance)
        return dropped

    def live_workers(self) -> Iterator[WorkerRecord]:
        """Workers that are ready or draining."""
        for worker in self.workers.values():
            if worker.record.phase in (SessionPhase.READY, SessionPhase.DRAINING):
                yield worker.record


def _keys_after(log: StampLog, vector: Mapping[str, int]) -> Iterator[str]:
    """The keys of all records with stamps above that vector."""
    for origin in log.origins():
        yield from log.keys_after(origin, vector.get(origin, 0))


def _supersedes(one: StampedWorker, known: StampedWorker) -> bool:
    if one.record.rank() != known.record.rank():
        return one.record.rank() > known.record.rank()
    return one.stamp.origin == known.stamp.origin and one.stamp.counter > known.stamp.counter


def _placement_supersedes(one: PlacementRecord, known: PlacementRecord) -> bool:
    return (one.token, one.serial) > (known.token, known.serial)
