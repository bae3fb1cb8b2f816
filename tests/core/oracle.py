"""What the indexes replace: scans of the whole fleet and of all open jobs, and rings built anew."""

from bisect import bisect_right
from collections.abc import Iterator, Mapping
from functools import cache
from hashlib import blake2b
from itertools import islice
from random import Random
from typing import Any

from finchladder.core.api import Settings
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.job_schedule import JobSchedule
from finchladder.core.dispatch.key_frequency import KeyFrequency
from finchladder.core.dispatch.placement import MAX_CANDIDATES
from finchladder.core.dispatch.records import Job, Worker
from finchladder.core.dispatch.work_estimates import SMOOTHING
from finchladder.core.dispatch.worker_index import NeededPool, PoolIndex, WorkerIndex
from finchladder.core.health.outlier_ejection import SUSPECT_THRESHOLD

POINTS = 32


def hashes(data: bytes, size: int) -> list[int]:
    digest = blake2b(data, digest_size=size).digest()
    return [int.from_bytes(digest[i : i + 8], "big") for i in range(0, size, 8)]


@cache
def points(address: str, ring: int) -> list[int]:
    return [p for n in range(POINTS // 8) for p in hashes(f"{address}/{ring}/{n}".encode(), 64)]


class OldPool:
    """The pool as it was before the index: two sorted rings, and the least-loaded of the next few in turn."""

    def __init__(self, workers: list[Worker], at: int = 0) -> None:
        self.workers, self.at = workers, at
        self.rings = []
        for ring in (0, 1):
            marks = sorted((p, n) for n, w in enumerate(workers) for p in points(w.address, ring))
            self.rings.append(([p for p, _ in marks], [workers[n] for _, n in marks]))

    def pairs(self, key: int, count: int) -> list[list[Worker]]:
        both = zip(self.rings, hashes(b"%d" % key, 16), strict=True)
        at = [bisect_right(points, h) for (points, _), h in both]
        pairs: list[list[Worker]] = []
        seen: dict[str, None] = {}
        for step in range(len(self.rings[0][1])):
            found = [owners[(i + step) % len(owners)] for i, (_, owners) in zip(at, self.rings, strict=True)]
            pair = [w for w in dict.fromkeys(found) if w.address not in seen]
            seen.update((w.address, None) for w in pair)
            pairs += [pair] if pair else []
            if len(pairs) == count:
                break
        return pairs

    def sample(self) -> list[Worker]:
        n = len(self.workers)
        return (
            [self.workers[(self.at + i) % n] for i in range(MAX_CANDIDATES)]
            if n > MAX_CANDIDATES
            else self.workers
        )


class ScanPool(PoolIndex):
    workers: dict[str, Worker]
    kind: NeededPool
    zone: str
    built: OldPool = OldPool([])

    def ready(self) -> list[Worker]:
        return [w for w in self.workers.values() if w.is_ready and self.kind in (None, w.kind)]

    def old(self) -> OldPool:
        if self.built.workers != (ready := self.ready()):
            self.built = OldPool(ready)
        return self.built

    def walk_pairs(self, key: int, count: int, first: int = 0) -> Iterator[list[Worker]]:
        pairs = self.old().pairs(key, count)
        return iter(pairs[first:] + pairs[:first])

    def by_load(self, most: int) -> Iterator[Worker]:
        return islice(sorted(self.ready(), key=lambda w: (w.load, w.zone != self.zone, w.position)), most)

    def random_workers(self, random: Random, most: int) -> Iterator[Worker]:
        points, owners = self.old().rings[0]
        for _ in range(most):
            yield owners[bisect_right(points, random.getrandbits(64)) % len(owners)]


class ScanFleet(WorkerIndex):
    @property  # type: ignore[override]
    def suspects(self) -> list[Worker]:
        return [w for w in self.workers.values() if w.failure_share > SUSPECT_THRESHOLD]

    @suspects.setter
    def suspects(self, value: Any) -> None:
        pass

    def update_suspect(self, w: Worker) -> None:
        pass

    def count_warm(self, now: float) -> int:
        return sum(w.is_ready and not self.is_slow_starting(w, now) for w in self.workers.values())

    def remove_departed(self) -> None:
        for w in [w for w in self.workers.values() if not w.is_ready and not w.load]:
            del self.workers[w.address]


class ScanAgenda(JobSchedule):
    jobs: dict[str, Job]

    def pop_due(self, now: float, waits: Mapping[str, float], no_retries: bool) -> list[Job]:
        return list(self.jobs.values())


class AllCounts(KeyFrequency):
    def __init__(self, settings: Settings) -> None:
        self.all: dict[int, float] = {}
        self.settings = settings
        self.total = 0.0

    def add(self, key: int) -> None:
        self.all[key] = self.all.get(key, 0.0) + 1
        self.total += 1

    def count(self, key: int) -> float:
        return self.all.get(key, 0.0)

    def decay(self) -> None:
        self.all = {k: n * (1 - SMOOTHING) for k, n in self.all.items() if n > 1 - SMOOTHING}
        self.total *= 1 - SMOOTHING


class Scanning(Dispatcher):
    """The same decisions without any index: what is looked for is looked for among all."""

    def reindex(self) -> None:
        super().reindex()
        self.worker_index.__class__ = ScanFleet
        for kind, pool in self.worker_index.pools.items():
            pool.__class__ = ScanPool
            assert isinstance(pool, ScanPool)
            pool.workers, pool.kind, pool.zone = self.workers, kind, self.settings.zone
        job_schedule = self.state.job_schedule
        job_schedule.__class__ = ScanAgenda
        assert isinstance(job_schedule, ScanAgenda)
        job_schedule.jobs = self.jobs
        self.state.key_frequency = AllCounts(self.settings)
