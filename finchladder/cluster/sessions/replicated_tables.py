"""Replicated tables of workers and placements, merged by rank and exchanged by version vector; without I/O.

Each incarnation of a control process is an origin. It stamps its own changes with the name of the origin and
an increasing counter. A subscriber sends the highest counter that it has received from each origin (version
vector) and gets all records with later stamps. The record of a lost or deregistered worker is kept as a
tombstone until it expires.

An origin is idle while its counter does not change and no record has its stamp. An origin that is idle for
STALE_ORIGIN_S is omitted from the vectors that are sent. After RETENTION_S, when no process sends it any
more, it is removed.
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
    """Records that a subscriber has not received."""

    workers: tuple[StampedWorker, ...]
    placements: tuple[StampedPlacement, ...]


class OriginAdvance(NamedTuple):
    """Counter of an origin, and the monotonic time at which it was first observed at this value."""

    counter: int
    observed_at: float


class ReplicatedTables:
    """Worker and placement records by instance in one process, and its version vector."""

    def __init__(self, origin: str) -> None:
        """Creates empty tables; `origin` identifies this incarnation of the process in its stamps."""
        self.origin = origin
        self.counter = 0
        self.workers: dict[str, StampedWorker] = {}
        self.placements: dict[str, StampedPlacement] = {}
        self.vector: dict[str, int] = {}
        self._last_advances: dict[str, OriginAdvance] = {}
        self._stale_origins: frozenset[str] = frozenset()
        self._ended_at: dict[str, float] = {}  # first time at which a worker was found to have ended
        self._worker_log = StampLog(self._worker_stamp)
        self._placement_log = StampLog(self._placement_stamp)

    def put_worker(self, record: WorkerRecord) -> bool:
        """Stamps and stores a worker record of this process; returns False if a newer one is stored."""
        known = self.workers.get(record.instance)
        if known is not None and record.rank() < known.record.rank():
            return False
        self._store_worker(StampedWorker(self._next_stamp(), record))
        return True

    def put_placement(self, record: PlacementRecord) -> bool:
        """Stamps and stores a placement of this process; returns False if a newer one is stored."""
        known = self.placements.get(record.instance)
        if known is not None and not _placement_supersedes(record, known.record):
            return False
        self._store_placement(StampedPlacement(self._next_stamp(), record))
        return True

    def merge(
        self, workers: tuple[StampedWorker, ...], placements: tuple[StampedPlacement, ...]
    ) -> list[str]:
        """Stores received records that supersede stored ones; returns the instances that changed."""
        changed: list[str] = []
        for worker in workers:
            known_worker = self.workers.get(worker.record.instance)
            if known_worker is None or _worker_supersedes(worker, known_worker):
                self._store_worker(worker)
                changed.append(worker.record.instance)
        for placement in placements:
            known_placement = self.placements.get(placement.record.instance)
            if known_placement is None or _placement_supersedes(placement.record, known_placement.record):
                self._store_placement(placement)
                changed.append(placement.record.instance)
        return changed

    def advance_vector(self, vector: Mapping[str, int]) -> None:
        """Records that all changes up to the counters of a version vector have been merged."""
        for origin, counter in vector.items():
            self.vector[origin] = max(counter, self.vector.get(origin, 0))

    def records_after(self, vector: Mapping[str, int]) -> MissingRecords:
        """Records that a subscriber with a given vector has not received. O(returned records)."""
        return MissingRecords(
            workers=tuple(self.workers[key] for key in _keys_after(self._worker_log, vector)),
            placements=tuple(self.placements[key] for key in _keys_after(self._placement_log, vector)),
        )

    def advertised_vector(self) -> dict[str, int]:
        """Version vector without the origins that are idle for STALE_ORIGIN_S."""
        stale = self._stale_origins
        return {origin: counter for origin, counter in self.vector.items() if origin not in stale}

    def is_ahead(self, vector: Mapping[str, int]) -> bool:
        """Whether there are changes that a subscriber with a given vector has not received. O(origins)."""
        stale = self._stale_origins
        return any(
            counter > vector.get(origin, 0) for origin, counter in self.vector.items() if origin not in stale
        )

    def expire_origins(self, now: float) -> None:
        """Removes origins that are idle for RETENTION_S. O(origins + records); `now`: monotonic seconds."""
        in_use = {worker.stamp.origin for worker in self.workers.values()}
        in_use |= {placement.stamp.origin for placement in self.placements.values()}
        in_use.add(self.origin)
        stale = set()
        for origin, counter in list(self.vector.items()):
            last_advance = self._last_advances.get(origin)
            if last_advance is None or last_advance.counter != counter or origin in in_use:
                self._last_advances[origin] = OriginAdvance(counter, now)
                continue
            idle_s = now - last_advance.observed_at
            if idle_s > RETENTION_S:
                del self.vector[origin]
                del self._last_advances[origin]
            elif idle_s > STALE_ORIGIN_S:
                stale.add(origin)
        self._stale_origins = frozenset(stale)

    def remove(self, instance: str) -> None:
        """Removes a worker and its placement."""
        self.workers.pop(instance, None)
        self.placements.pop(instance, None)

    def expire_ended_workers(self, now: float) -> list[str]:
        """Removes and returns workers that ended more than RETENTION_S ago; `now`: monotonic seconds."""
        ended = [
            instance
            for instance, worker in self.workers.items()
            if worker.record.phase in (SessionPhase.LOST, SessionPhase.DEREGISTERED)
        ]
        self._ended_at = {instance: self._ended_at.get(instance, now) for instance in ended}
        expired = [instance for instance, ended_at in self._ended_at.items() if now - ended_at > RETENTION_S]
        for instance in expired:
            self.remove(instance)
            del self._ended_at[instance]
        return expired

    def retain_workers(self, instances: set[str]) -> list[str]:
        """Removes all workers except the given ones; returns the removed instances."""
        dropped = [instance for instance in self.workers if instance not in instances]
        for instance in dropped:
            self.remove(instance)
        return dropped

    def live_workers(self) -> Iterator[WorkerRecord]:
        """Workers that are ready or draining."""
        for worker in self.workers.values():
            if worker.record.phase in (SessionPhase.READY, SessionPhase.DRAINING):
                yield worker.record

    def _next_stamp(self) -> Stamp:
        self.counter += 1
        self.vector[self.origin] = self.counter
        return Stamp(self.origin, self.counter)

    def _store_worker(self, worker: StampedWorker) -> None:
        self.workers[worker.record.instance] = worker
        self._worker_log.add(worker.record.instance, worker.stamp)

    def _store_placement(self, placement: StampedPlacement) -> None:
        self.placements[placement.record.instance] = placement
        self._placement_log.add(placement.record.instance, placement.stamp)

    def _worker_stamp(self, instance: str) -> Stamp | None:
        worker = self.workers.get(instance)
        return None if worker is None else worker.stamp

    def _placement_stamp(self, instance: str) -> Stamp | None:
        placement = self.placements.get(instance)
        return None if placement is None else placement.stamp


def _keys_after(log: StampLog, vector: Mapping[str, int]) -> Iterator[str]:
    """Keys of all records with stamps later than a version vector."""
    for origin in log.origins():
        yield from log.keys_after(origin, vector.get(origin, 0))


def _worker_supersedes(received: StampedWorker, known: StampedWorker) -> bool:
    """Whether a received record replaces the known one.

    It does if its rank is higher, or with equal ranks if it has a later stamp of the same origin.
    """
    received_rank = received.record.rank()
    known_rank = known.record.rank()
    if received_rank != known_rank:
        return received_rank > known_rank
    return received.stamp.origin == known.stamp.origin and received.stamp.counter > known.stamp.counter


def _placement_supersedes(received: PlacementRecord, known: PlacementRecord) -> bool:
    return (received.token, received.serial) > (known.token, known.serial)
