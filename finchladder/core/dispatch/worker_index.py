"""The fleet as an index: rings, order by load, cold and suspect workers, changed worker by worker.

Costs, with n ready workers and p = 2 x POINTS marks of each: a worker comes or goes O(p log n), and in memory
p times half an arc of n / 8 marks is moved; a change of load or zone O(log levels); any other change of an
entry O(1). Owners of a key O(log n), the least-loaded O(workers looked at). Memory: about 1.3 KB a ready
worker and needed kind. A route's pool that leaves out some workers is like one more needed kind, and split by
zone each pool takes twice as much.
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

MAX_CACHED_KEYS = (
    1024  # keys whose pairs are kept while the rings stay as they are: 0.5 MB for each needed kind
)
MAX_WALKED_PAIRS = (
    64  # pairs of a key that are walked past one by one; a home farther round is found by marks
)

LoadLevel = tuple[float, bool]  # load in slots, and whether it is in another zone
NeededPool = str | WorkerPool | None  # whom a job may go to: one kind, one pool, or anyone


class PoolIndex:
    """The ready workers that some jobs may go to: those of one needed kind, or of a route's pool."""

    def __init__(self, zones: Iterable[str] = ()) -> None:
        self.by_zone = {zone: PoolIndex() for zone in zones}  # those of a zone alone
        self.rings: tuple[Ring[Worker], Ring[Worker]] = (Ring(), Ring())
        self.size = self.version = 0
        self.cached_pairs: dict[int, tuple[int, list[list[Worker]]]] = {}  # pairs by key, as of which version
        self.levels: dict[LoadLevel, OrderedDict[Worker, None]] = {}  # none of them empty
        self.sorted_levels: list[LoadLevel] = []  # the same, sorted

    def update_rings(self, w: Worker, joins: bool, points: "tuple[Points, Points]") -> None:
        self.version += 1
        self.size += 1 if joins else -1
        for ring, marks in zip(self.rings, points, strict=True):
            (ring.add if joins else ring.remove)(w, marks)

    def key_share(self, w: Worker) -> float:
        """How much of the keys both hashes together name it for, over an even part."""
        return (self.rings[0].key_share(w) + self.rings[1].key_share(w)) / 2

    def walk_pairs(self, key: int, count: int, first: int = 0) -> Iterator[list[Worker]]:
        """So many pairs of the key: its owners on both rings, then the next owners that are not named yet.

        It begins with the pair numbered `first`, and those before it come last. The cost is that of the pairs
        that are asked for and, up to FAR_OFF, of those before the first.
        """
        if not self.size:
            return
        if count > MAX_WALKED_PAIRS:
            yield from self._pairs(key, count - first, first)
            yield from self._pairs(key, first, 0)
            return
        version, pairs = self.cached_pairs.get(key, (0, []))
        if version != self.version:
            pairs = []
        if not first:  # mostly all that is asked for
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
        one, two = (ring.owner(h) for ring, h in zip(self.rings, key_hashes(key), strict=True))
        return [one, two] if one is not two else [one]

    def _pairs(self, key: int, count: int, skip: int) -> Iterator[list[Worker]]:
        one, two = key_hashes(key)
        marks, skip = (skip, 0) if skip > MAX_WALKED_PAIRS else (0, skip)  # some marks name a worker again
        seen: set[Worker] = set()
        walks = self.rings[0].owners_after(one, marks), self.rings[1].owners_after(two, marks)
        while count > 0 and len(seen) < self.size:
            mark, other = next(walks[0]), next(walks[1])
            pair = [w for w in ((mark, other) if mark is not other else (mark,)) if w not in seen]
            seen.update(pair)
            if pair and skip <= 0:
                yield pair
                count -= 1
            skip -= bool(pair)

    def pairs(self, key: int, count: int) -> list[list[Worker]]:
        return list(self.walk_pairs(key, count))

    def by_load(self, most: int) -> Iterator[Worker]:
        """From the least loaded up, near before far, who waits longest first; up to so many."""
        return islice((w for level in self.sorted_levels for w in self.levels[level]), most)

    def random_workers(self, random: Random, most: int) -> Iterator[Worker]:
        """Workers at random points of a ring, up to so many; some may come twice."""
        for _ in range(most if self.size else 0):
            yield next(self.rings[0].owners_after(random.getrandbits(64)))

    def enter(self, w: Worker, level: LoadLevel) -> None:
        if level not in self.levels:
            self.levels[level] = OrderedDict()
            insort(self.sorted_levels, level)
        self.levels[level][w] = None

    def leave(self, w: Worker, level: LoadLevel) -> None:
        row = self.levels[level]
        del row[w]
        if not row:
            del self.levels[level], self.sorted_levels[bisect_left(self.sorted_levels, level)]


def _includes(needed: NeededPool, w: Worker) -> bool:
    return needed.contains(w.kind, w.zone) if isinstance(needed, WorkerPool) else needed in (None, w.kind)


def _with_zone_pool(pool: PoolIndex, w: Worker) -> tuple[PoolIndex, ...]:
    return (pool,) if (part := pool.by_zone.get(w.zone)) is None else (pool, part)


class WorkerIndex:
    """Holds `workers` true to its pools: the ready ones, and others while they have slots in flight.

    All changes of a worker's place, load or readiness pass here. What it keeps follows from the records (a
    worker's `turn` is its place in its row), so `refill` makes it anew.
    """

    def __init__(
        self,
        workers: dict[str, Worker],
        kinds: Iterable[str | None],
        zone: str,
        cold_for_s: float,
        suspect_from: float,
        split: Sequence[str] = (),
    ) -> None:
        """`suspect_from`: share of bad endings above which a worker is counted in `suspects`.

        `split`: zones by which each pool has parts.
        """
        self.workers, self.zone, self.pool_zones = workers, zone, split
        self.slow_start_s, self.suspect_threshold = cold_for_s, suspect_from
        self.pools: dict[NeededPool, PoolIndex] = {kind: PoolIndex(split) for kind in kinds}
        self.splits_by_zone = bool(split)  # whether a pool goes by zones
        self.ready_count = self.last_position = 0
        self.departed: dict[Worker, None] = {}  # not ready and without load: forgotten with the next list
        self.suspects: dict[Worker, None] = {}
        self.slow_starting: TimingWheel[Worker] = TimingWheel(
            cold_for_s / 64
        )  # ready ones by when they are warm
        self.rebuild()

    def rebuild(self) -> None:
        for w in self.workers.values():
            w.pools, w.load_level = (), None
            self.update_suspect(w)
        for w in sorted(self.workers.values(), key=lambda w: w.position):
            if w.is_ready:
                self._add_to_pools(w)
                self._enter(w, w.position)
            elif not w.load:
                self.departed[w] = None

    def pool(self, needed: NeededPool) -> PoolIndex:
        """Whom it holds; made when it is first asked for, at the cost of all its workers' joining."""
        found = self.pools.get(needed)
        if found is None:
            found = self.pools[needed] = PoolIndex(self.pool_zones)
            self.splits_by_zone = self.splits_by_zone or (
                isinstance(needed, WorkerPool) and bool(needed.zones)
            )
            for w in sorted(self.workers.values(), key=lambda w: w.position):
                if w.is_ready and _includes(needed, w):
                    points = ring_points(w.address, 0), ring_points(w.address, 1)
                    for pool in _with_zone_pool(found, w):
                        w.pools += (pool,)
                        pool.update_rings(w, True, points)
                        if w.load_level is not None:
                            pool.enter(w, w.load_level)
        return found

    def drop_pools(self, needed: Iterable[NeededPool]) -> None:
        """Pools that no job needs any more. O(workers)."""
        for one in needed:
            self.pools.pop(one, None)
        for w in self.workers.values():
            if w.is_ready:
                w.pools = self._pools_of(w)

    def _pools_of(self, w: Worker) -> tuple[PoolIndex, ...]:
        whole = (pool for needed, pool in self.pools.items() if _includes(needed, w))
        return tuple(pool for one in whole for pool in _with_zone_pool(one, w))

    def update(self, w: Worker, e: WorkerEntry) -> bool:
        """What the entry says of the worker; True: it has joined, and is not in a row until `enter`."""
        ready = e.state is WorkerStatus.READY
        joins = ready and (not w.is_ready or w.kind != e.kind or (self.splits_by_zone and w.zone != e.zone))
        if w.is_ready and (joins or not ready):
            self._remove_from_pools(w)
        w.zone, w.kind, w.cell, w.is_ready = e.zone, e.kind, e.cell, ready
        if joins:
            self._add_to_pools(w)
        elif ready:
            self._update_level(w)
            self._schedule_slow_start_end(w)
        elif not w.load:
            self.departed[w] = None
        self.update_suspect(w)
        return joins

    def update_suspect(self, w: Worker) -> None:
        """To be told when `sick` has changed."""
        if w.failure_share > self.suspect_threshold and self.workers.get(w.address) is w:
            self.suspects[w] = None
        else:
            self.suspects.pop(w, None)

    def enter(self, joined: Iterable[Worker]) -> None:
        for w in joined:
            if w.pools and w.load_level is None:
                self._enter(w, self._next_position())

    def add_load(self, w: Worker, slots: float) -> None:
        w.load += slots
        self._update_level(w)
        if not w.is_ready and not w.load:
            self.departed[w] = None

    def defer(self, workers: Iterable[Worker]) -> None:
        """To the back of their rows: one that gets nothing now must not hide those behind it."""
        for w in workers:
            w.position = self._next_position()
            for pool in w.pools:
                if w.load_level is not None:
                    pool.levels[w.load_level].move_to_end(w)

    def remove_departed(self) -> None:
        """Drops who has left and has no load: O(those that came to that since it was last called)."""
        for w in self.departed:
            if not w.is_ready and not w.load and self.workers.get(w.address) is w:
                del self.workers[w.address]
                self.suspects.pop(w, None)
        self.departed.clear()

    def is_slow_starting(self, w: Worker, now: float) -> bool:
        return w.started_at > 0 and now < w.started_at + self.slow_start_s

    def count_warm(self, now: float) -> int:
        """How many ready workers are warm. O(workers that became warm since it was last asked)."""
        for w in self.slow_starting.pop_due(now):
            if self.is_slow_starting(w, now):
                self._schedule_slow_start_end(w)
            else:
                w.fetched_keys.clear()  # asked of cold workers only
        return self.ready_count - len(self.slow_starting)

    def _next_position(self) -> int:
        self.last_position += 1
        return self.last_position

    def _add_to_pools(self, w: Worker) -> None:
        w.pools = self._pools_of(w)
        points = ring_points(w.address, 0), ring_points(w.address, 1)
        for pool in w.pools:
            pool.update_rings(w, True, points)
        self.ready_count += 1
        self._schedule_slow_start_end(w)

    def _remove_from_pools(self, w: Worker) -> None:
        points = ring_points(w.address, 0), ring_points(w.address, 1)
        for pool in w.pools:
            pool.update_rings(w, False, points)
            if w.load_level is not None:
                pool.leave(w, w.load_level)
        w.pools, w.load_level = (), None
        self.ready_count -= 1
        self.slow_starting.drop(w.address)

    def _enter(self, w: Worker, turn: int) -> None:
        w.load_level, w.position, self.last_position = (
            (w.load, w.zone != self.zone),
            turn,
            max(self.last_position, turn),
        )
        for pool in w.pools:
            pool.enter(w, w.load_level)

    def _update_level(self, w: Worker) -> None:
        before = w.load_level
        if before is not None and before != (w.load, w.zone != self.zone):
            for pool in w.pools:
                pool.leave(w, before)
            self._enter(w, self._next_position())

    def _schedule_slow_start_end(self, w: Worker) -> None:
        self.slow_starting.drop(w.address)
        if w.started_at > 0:
            self.slow_starting.put(w.address, w, w.started_at + self.slow_start_s)
