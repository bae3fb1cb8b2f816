"""The worker index: hash rings, order by load, workers in slow start and suspects, updated incrementally.

Costs for n ready workers with p = 2 * POINTS_PER_OWNER points each: a join or leave takes O(p log n), and for
each point moves half of an arc of n / 8 points in memory; a change of load or zone takes O(log levels), any
other change of an entry O(1). Finding the owners of a key takes O(log n), the least loaded workers O(workers
returned). Memory: about 1.3 KB per ready worker and kind that jobs need. A route's pool that excludes some
workers costs as much as another kind, and pools that are divided by zone take twice the memory.
"""

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from random import Random

from finchladder.core.api import WorkerEntry, WorkerPool, WorkerStatus
from finchladder.core.dispatch.hash_ring import Points
from finchladder.core.dispatch.hash_ring import Ring as Ring
from finchladder.core.dispatch.hash_ring import key_hashes as key_hashes
from finchladder.core.dispatch.hash_ring import ring_points as ring_points
from finchladder.core.dispatch.records import Worker
from finchladder.core.timing_wheel import TimingWheel

MAX_CACHED_KEYS = 1024  # keys whose pairs are cached until the rings change: 0.5 MB per kind
# Maximum number of pairs of a key that are skipped one by one. Instead of more pairs, as many points of each
# ring are skipped.
MAX_EXACT_SKIP_PAIRS = 64

LoadLevel = tuple[float, bool]  # load in slots, and whether the worker is in another zone
NeededPool = str | WorkerPool | None  # workers that a job may be sent to: a kind, a pool, or all


class PoolIndex:
    """The ready workers that some jobs may be sent to: those of one kind, or of a route's pool."""

    def __init__(self, zones: Iterable[str] = ()) -> None:
        self.by_zone = {zone: PoolIndex() for zone in zones}  # the workers of each zone
        self.rings: tuple[Ring[Worker], Ring[Worker]] = (Ring(), Ring())
        self.size = self.version = 0  # number of workers, and of changes of the rings
        # by key: the `version` for which its pairs were computed, and the pairs
        self.cached_pairs: dict[int, tuple[int, list[list[Worker]]]] = {}
        self.levels: dict[LoadLevel, OrderedDict[Worker, None]] = {}  # without empty levels
        self.sorted_levels: list[LoadLevel] = []  # the keys of `levels`, sorted

    def update_rings(self, worker: Worker, joins: bool, points: "tuple[Points, Points]") -> None:
        self.version += 1
        self.size += 1 if joins else -1
        for ring, own_points in zip(self.rings, points, strict=True):
            (ring.add if joins else ring.remove)(worker, own_points)

    def key_share(self, worker: Worker) -> float:
        """Returns the worker's share of the keys on both rings together, relative to an equal share."""
        return (self.rings[0].key_share(worker) + self.rings[1].key_share(worker)) / 2

    def walk_pairs(self, key: int, count: int, first: int = 0) -> Iterator[list[Worker]]:
        """Yields the first `count` pairs of the key, starting with the pair `first` and wrapping at `count`.

        The first pair consists of the key's owners on the two rings, each further pair of the next owners
        that are in no earlier pair. Takes time for each consumed pair, and for up to MAX_EXACT_SKIP_PAIRS
        skipped pairs.
        """
        if not self.size:
            return
        if count > MAX_EXACT_SKIP_PAIRS:
            yield from self._pairs(key, count - first, first)
            yield from self._pairs(key, first, 0)
            return
        version, pairs = self.cached_pairs.get(key, (0, []))
        if version != self.version:
            pairs = []
        if not first:  # the first pair is computed alone, as callers mostly need no more
            pairs = pairs or self._cache_pairs(key, [self._owners(key)])
            yield pairs[0]
        if len(pairs) < count:
            pairs = self._cache_pairs(key, list(self._pairs(key, count, 0)))
        yield from pairs[first or 1 : count]
        yield from pairs[:first]

    def _cache_pairs(self, key: int, pairs: list[list[Worker]]) -> list[list[Worker]]:
        if len(self.cached_pairs) >= MAX_CACHED_KEYS and key not in self.cached_pairs:
            del self.cached_pairs[next(iter(self.cached_pairs))]
        self.cached_pairs[key] = self.version, pairs
        return pairs

    def _owners(self, key: int) -> list[Worker]:
        owner, other = (ring.owner(h) for ring, h in zip(self.rings, key_hashes(key), strict=True))
        return [owner, other] if owner is not other else [owner]

    def _pairs(self, key: int, count: int, skip: int) -> Iterator[list[Worker]]:
        hash_0, hash_1 = key_hashes(key)
        # points are not exactly pairs, as some skipped points belong to a worker that is already in a pair
        skipped_points, skip = (skip, 0) if skip > MAX_EXACT_SKIP_PAIRS else (0, skip)
        paired: set[Worker] = set()
        owners = (
            self.rings[0].owners_after(hash_0, skipped_points),
            self.rings[1].owners_after(hash_1, skipped_points),
        )
        while count > 0 and len(paired) < self.size:
            owner, other = next(owners[0]), next(owners[1])
            pair = [w for w in ((owner, other) if owner is not other else (owner,)) if w not in paired]
            paired.update(pair)
            if pair and skip <= 0:
                yield pair
                count -= 1
            skip -= bool(pair)

    def pairs(self, key: int, count: int) -> list[list[Worker]]:
        return list(self.walk_pairs(key, count))

    def workers_by_load(self, limit: int) -> Iterator[Worker]:
        """Yields up to `limit` workers by load, then the local zone first, then by position."""
        return islice((w for level in self.sorted_levels for w in self.levels[level]), limit)

    def random_workers(self, random: Random, limit: int) -> Iterator[Worker]:
        """Yields up to `limit` workers at random points of a ring, possibly with repetitions."""
        for _ in range(limit if self.size else 0):
            yield next(self.rings[0].owners_after(random.getrandbits(64)))

    def add_to_level(self, worker: Worker, level: LoadLevel) -> None:
        if level not in self.levels:
            self.levels[level] = OrderedDict()
            insort(self.sorted_levels, level)
        self.levels[level][worker] = None

    def remove_from_level(self, worker: Worker, level: LoadLevel) -> None:
        workers = self.levels[level]
        del workers[worker]
        if not workers:
            del self.levels[level], self.sorted_levels[bisect_left(self.sorted_levels, level)]


def _includes(needed: NeededPool, worker: Worker) -> bool:
    return (
        needed.contains(worker.kind, worker.zone)
        if isinstance(needed, WorkerPool)
        else needed in (None, worker.kind)
    )


def _with_zone_pool(pool: PoolIndex, worker: Worker) -> tuple[PoolIndex, ...]:
    return (pool,) if (zone_pool := pool.by_zone.get(worker.zone)) is None else (pool, zone_pool)


class WorkerIndex:
    """The pools of ready workers, and the table of all known workers.

    All changes of a worker's zone, kind, load or readiness are made here. The index can be derived from the
    records, including a worker's `position` within its load level, so `rebuild` restores it.
    """

    def __init__(
        self,
        workers: dict[str, Worker],
        kinds: Iterable[str | None],
        zone: str,
        slow_start_s: float,
        suspect_threshold: float,
        pool_zones: Sequence[str] = (),
    ) -> None:
        """`suspect_threshold`: failure share above which a worker is listed in `suspects`.

        `pool_zones`: zones for which each pool has a sub-pool with the workers of that zone.
        """
        self.workers, self.zone, self.pool_zones = workers, zone, pool_zones
        self.slow_start_s, self.suspect_threshold = slow_start_s, suspect_threshold
        self.pools: dict[NeededPool, PoolIndex] = {kind: PoolIndex(pool_zones) for kind in kinds}
        self.depends_on_zone = bool(pool_zones)  # whether a worker's pools depend on its zone
        self.ready_count = self.last_position = 0
        self.departed: dict[Worker, None] = {}  # not ready and without load, removed after the next list
        self.suspects: dict[Worker, None] = {}
        # ready workers by the end of their slow start
        self.slow_starting: TimingWheel[Worker] = TimingWheel(slow_start_s / 64)
        self.rebuild()

    def rebuild(self) -> None:
        for w in self.workers.values():
            w.pools, w.load_level = (), None
            self.update_suspect(w)
        for w in sorted(self.workers.values(), key=lambda w: w.position):
            if w.is_ready:
                self._add_to_pools(w)
                self._add_to_level(w, w.position)
            elif not w.load:
                self.departed[w] = None

    def pool(self, needed: NeededPool) -> PoolIndex:
        """Returns the index of a pool; the first call creates it at the cost of adding all its workers."""
        found = self.pools.get(needed)
        if found is None:
            found = self.pools[needed] = PoolIndex(self.pool_zones)
            self.depends_on_zone = self.depends_on_zone or (
                isinstance(needed, WorkerPool) and bool(needed.zones)
            )
            for w in sorted(self.workers.values(), key=lambda w: w.position):
                if w.is_ready and _includes(needed, w):
                    points = ring_points(w.address, 0), ring_points(w.address, 1)
                    for pool in _with_zone_pool(found, w):
                        w.pools += (pool,)
                        pool.update_rings(w, True, points)
                        if w.load_level is not None:
                            pool.add_to_level(w, w.load_level)
        return found

    def drop_pools(self, unneeded: Iterable[NeededPool]) -> None:
        """Removes the given pools, which no job needs any more. O(workers)."""
        for key in unneeded:
            self.pools.pop(key, None)
        for w in self.workers.values():
            if w.is_ready:
                w.pools = self._pools_of(w)

    def _pools_of(self, worker: Worker) -> tuple[PoolIndex, ...]:
        pools = (pool for needed, pool in self.pools.items() if _includes(needed, worker))
        return tuple(member for pool in pools for member in _with_zone_pool(pool, worker))

    def update(self, worker: Worker, entry: WorkerEntry) -> bool:
        """Applies a list entry to the worker.

        Returns whether the worker was added to its pools; if so, the caller must call `add_to_levels`.
        """
        ready = entry.state is WorkerStatus.READY
        joins = ready and (
            not worker.is_ready
            or worker.kind != entry.kind
            or (self.depends_on_zone and worker.zone != entry.zone)
        )
        if worker.is_ready and (joins or not ready):
            self._remove_from_pools(worker)
        worker.zone, worker.kind, worker.cell, worker.is_ready = entry.zone, entry.kind, entry.cell, ready
        if joins:
            self._add_to_pools(worker)
        elif ready:
            self._update_level(worker)
            self._schedule_slow_start_end(worker)
        elif not worker.load:
            self.departed[worker] = None
        self.update_suspect(worker)
        return joins

    def update_suspect(self, worker: Worker) -> None:
        """Updates `suspects`. Must be called after each change of the worker's `failure_rate`."""
        if worker.failure_rate > self.suspect_threshold and self.workers.get(worker.address) is worker:
            self.suspects[worker] = None
        else:
            self.suspects.pop(worker, None)

    def add_to_levels(self, joined: Iterable[Worker]) -> None:
        """Adds joined workers to the load levels of their pools, in the given order."""
        for worker in joined:
            if worker.pools and worker.load_level is None:
                self._add_to_level(worker, self._next_position())

    def add_load(self, worker: Worker, slots: float) -> None:
        worker.load += slots
        self._update_level(worker)
        if not worker.is_ready and not worker.load:
            self.departed[worker] = None

    def defer(self, workers: Iterable[Worker]) -> None:
        """Moves workers that reject jobs to the end of their load levels, so that they do not hide others."""
        for w in workers:
            w.position = self._next_position()
            for pool in w.pools:
                if w.load_level is not None:
                    pool.levels[w.load_level].move_to_end(w)

    def remove_departed(self) -> None:
        """Removes departed workers without load. O(workers that departed since the last call)."""
        for w in self.departed:
            if not w.is_ready and not w.load and self.workers.get(w.address) is w:
                del self.workers[w.address]
                self.suspects.pop(w, None)
        self.departed.clear()

    def is_slow_starting(self, worker: Worker, now: float) -> bool:
        return worker.started_at > 0 and now < worker.started_at + self.slow_start_s

    def count_warm(self, now: float) -> int:
        """Returns the number of ready workers past slow start; O(slow starts ended since the last call)."""
        for w in self.slow_starting.pop_due(now):
            if self.is_slow_starting(w, now):
                self._schedule_slow_start_end(w)
            else:
                w.fetched_keys.clear()  # only used during slow start
        return self.ready_count - len(self.slow_starting)

    def _next_position(self) -> int:
        self.last_position += 1
        return self.last_position

    def _add_to_pools(self, worker: Worker) -> None:
        worker.pools = self._pools_of(worker)
        points = ring_points(worker.address, 0), ring_points(worker.address, 1)
        for pool in worker.pools:
            pool.update_rings(worker, True, points)
        self.ready_count += 1
        self._schedule_slow_start_end(worker)

    def _remove_from_pools(self, worker: Worker) -> None:
        points = ring_points(worker.address, 0), ring_points(worker.address, 1)
        for pool in worker.pools:
            pool.update_rings(worker, False, points)
            if worker.load_level is not None:
                pool.remove_from_level(worker, worker.load_level)
        worker.pools, worker.load_level = (), None
        self.ready_count -= 1
        self.slow_starting.drop(worker.address)

    def _add_to_level(self, worker: Worker, position: int) -> None:
        worker.load_level, worker.position, self.last_position = (
            (worker.load, worker.zone != self.zone),
            position,
            max(self.last_position, position),
        )
        for pool in worker.pools:
            pool.add_to_level(worker, worker.load_level)

    def _update_level(self, worker: Worker) -> None:
        old_level = worker.load_level
        if old_level is not None and old_level != (worker.load, worker.zone != self.zone):
            for pool in worker.pools:
                pool.remove_from_level(worker, old_level)
            self._add_to_level(worker, self._next_position())

    def _schedule_slow_start_end(self, worker: Worker) -> None:
        self.slow_starting.drop(worker.address)
        if worker.started_at > 0:
            self.slow_starting.put(worker.address, worker, worker.started_at + self.slow_start_s)
