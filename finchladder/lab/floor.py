"""Floors under a run's evenness: its schedule at virtual time, placed by simple policies, without sockets.

One player places all jobs, so nothing that makes many dispatchers hard is in here: no delay, no copies, no
second tries. What a policy may look at is said in its name.

| policy | places a job at |
| --- | --- |
| `random` | one by chance, in proportion to what each can do |
| `two` | of two such draws the one with less work a core and speed, by true counts of jobs |
| `least` | the one with the least true wait, of all |

With keys each looks only at the homes of the job's key: the two that two hashes name, as the program has it.
With `two` and keys these are the two. Jobs of a kind stay with it. Who is down is passed over; a real server
that crawls or fails jobs is not known to do so, but for `least`, whose true wait tells of the crawling.
"""

import random
from bisect import bisect_left
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from hashlib import blake2b
from itertools import accumulate
from typing import Any

import numpy as np

from finchladder.lab import faults, spread
from finchladder.lab.check import place_servers
from finchladder.lab.experiment import Experiment
from finchladder.lab.models.kernel import Kernel
from finchladder.lab.models.realserver import JobIn, RealServerModel
from finchladder.lab.models.store import StoreModel
from finchladder.lab.models.virtual import Deployment
from finchladder.lab.schedule import Schedule, key_text

POLICIES = ("random", "two", "least")
CAPACITY_POINTS = 64  # a key's two homes are found by so many marks a server, more for one that can do more


class Homes:
    """The two real servers of each key: by two hashes, on rings with marks in proportion to capacity."""

    def __init__(self, servers: Sequence[RealServerModel]) -> None:
        most = max(s.capacity for s in servers)
        self.servers = servers
        self.rings: list[tuple[list[int], list[int]]] = []
        for ring in (0, 1):
            marks = sorted(
                (_hash(f"{s.name}/{ring}/{n}"), i)
                for i, s in enumerate(servers)
                for n in range(max(1, round(CAPACITY_POINTS * s.capacity / most)))
            )
            self.rings.append(([m for m, _ in marks], [i for _, i in marks]))

    def of(self, key: str) -> list[RealServerModel]:
        found = []
        for ring, (marks, owners) in enumerate(self.rings):
            at = bisect_left(marks, _hash(f"{key}/{ring}")) % len(marks)
            found.append(self.servers[owners[at]])
        return found


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Policy:
    """One floor's choice. Costs: O(1) a job, `least` O(servers)."""

    def __init__(self, name: str, keyed: bool, servers: Sequence[RealServerModel], seed: int) -> None:
        self.name, self.rng = name, random.Random(f"floor/{seed}/{name}/{keyed}")
        self.homes = Homes(servers) if keyed else None
        self.sums = list(accumulate(s.capacity for s in servers))

    def __call__(self, now: float, job: JobIn, servers: Sequence[RealServerModel]) -> RealServerModel | None:
        if self.homes is not None and job.key:
            among = [s for s in self.homes.of(job.key) if s.up]
            if among:
                return self._of_few(now, among)
        if self.name == "least":
            up = [s for s in servers if s.up]
            return min(up, key=lambda s: _wait(s, now)) if up else None
        drawn = [self._draw(servers) for _ in range(2 if self.name == "two" else 1)]
        return min(drawn, key=_count) if drawn[0] is not None else None  # type: ignore[arg-type]

    def _of_few(self, now: float, among: list[RealServerModel]) -> RealServerModel:
        if self.name == "random":
            return self.rng.choices(among, [s.capacity for s in among])[0]
        if self.name == "two":
            self.rng.shuffle(among)
            return min(among, key=_count)
        return min(among, key=lambda s: _wait(s, now))

    def _draw(self, servers: Sequence[RealServerModel]) -> RealServerModel | None:
        for _ in range(64):
            s = servers[bisect_left(self.sums, self.rng.random() * self.sums[-1])]
            if s.up:
                return s
        return None


def _count(s: RealServerModel) -> float:
    return s.held / s.capacity


def _wait(s: RealServerModel, now: float) -> float:
    """Seconds of work that it holds, at the speed that it has at this moment."""
    return s.outstanding(now) / max(1e-9, s.capacity_at(now) * s.factor)


def arrivals(e: Experiment) -> Iterator[tuple[float, JobIn]]:
    """All first tries of the open loop, of all processes of the load, by time. ValueError: there are none."""
    columns: list[tuple[float, int, JobIn]] = []
    count = 0
    for part in range(e.load.processes):
        seed = random.Random(f"{e.seed}/load{part}").getrandbits(62)  # as run.py gives each its own
        for block in Schedule(e, seed, part, e.load.processes).open():
            for due, c, key, work, slots, memory in zip(
                block.due, block.job_class, block.key, block.work, block.slots, block.memory, strict=True
            ):
                known = e.job_class[int(c)]
                count += 1
                job = JobIn(
                    f"f{count:08x}",
                    known.name,
                    key_text(int(key)),
                    float(work),
                    float(slots),
                    float(memory),
                    known.priority,
                    known.effect != "fragile",
                )
                columns.append((float(due), count, job))
    if not columns:
        raise ValueError("load: a floor needs phases with a rate; there is none")
    columns.sort()
    for due, _, job in columns:
        yield due, job


def play(e: Experiment, name: str, keyed: bool) -> tuple[spread.World, dict[str, Any]]:
    """One floor: what its real servers saw, and the latencies by class (seconds, of jobs that were done)."""
    kernel = Kernel()
    by_name = models(e, StoreModel(e.store.fetches))
    servers = list(by_name.values())
    lives: dict[str, tuple[float, RealServerModel]] = {}
    over: list[spread.Life] = []

    def start(s: RealServerModel, cold: bool) -> None:
        s.start(kernel.now, cold)
        lives[s.name] = (kernel.now, s)

    def end(s: RealServerModel) -> None:
        since, _ = lives.pop(s.name)
        over.append(spread.Life(s.name, since, kernel.now, s.capacity))

    def kill(s: RealServerModel) -> None:
        end(s)
        s.kill(kernel.now)

    for s in servers:
        start(s, s.pool.starts_cold)
    policy = Policy(name, keyed, servers, e.seed)
    world = Deployment(kernel, servers, policy, fell=lambda s, at: end(s))
    strike_servers(e, kernel, by_name, kill, lambda s: start(s, True), world.touch)
    outcomes = world.play(arrivals(e))
    length = max(sum(p.for_s for p in e.load.phase), 0.0)
    over += [spread.Life(s.name, since, float("inf"), s.capacity) for since, s in lives.values()]
    inf = float("inf")
    stays = [
        spread.Stay(
            o.server,
            o.arrived,
            inf if o.began is None else o.began,
            inf if o.ended is None else o.ended,
            o.job.work * max(1.0, o.job.slots),
        )
        for o in outcomes
        if o.how != "refused"
    ]
    full = [o.arrived for o in outcomes if o.how == "refused"]
    spans = counted(e)
    latency: dict[str, list[float]] = {}
    for o in outcomes:
        if o.how == "done" and o.ended is not None and any(a <= o.arrived < b for a, b in spans):
            latency.setdefault(o.job.job_class, []).append(o.ended - o.arrived)
    return spread.World([s.name for s in servers], stays, full, over, length), latency


def strike_servers(
    e: Experiment,
    kernel: Kernel,
    servers: dict[str, RealServerModel],
    down: Callable[[RealServerModel], None],
    up: Callable[[RealServerModel], None],
    touch: Callable[[RealServerModel], None],
) -> None:
    """Lets the faults of real servers happen at their times; no other has a meaning at virtual time.

    A drain is taken for a crash that waits for nothing, and one that swallows for one that is gone. `down`
    kills a process that is up, `up` starts it cold.
    """

    def strike(kind: str, names: list[str], size: float, job_class: str, ends: bool) -> None:
        for s in (servers[n] for n in names):
            now = kernel.now
            if kind in ("kill", "crash", "drain", "swallow"):
                if ends and not s.up:
                    up(s)
                elif not ends and s.up:
                    down(s)
            elif kind == "slow":
                s.set_speed(now, 1.0 if ends else size)
            elif kind == "errors":
                s.set_error_rate(None if ends else min(1.0, size), job_class)
            elif kind == "pause":
                s.resume(now) if ends else s.pause(now)
            touch(s)

    for one in faults.strikes(faults.draw(e)):
        if one.of != "servers":
            continue
        size = one.fault.size
        assert not isinstance(size, tuple)  # drawn
        what = one.fault.kind, one.targets, size, one.fault.job_class
        kernel.at(one.at, partial(strike, *what, False))
        if one.for_s:
            kernel.at(one.at + one.for_s, partial(strike, *what, True))


def models(e: Experiment, store: StoreModel) -> dict[str, RealServerModel]:
    """The experiment's real servers, none of them started, by name."""
    return {
        s.name: RealServerModel(
            s.name,
            s.zone,
            e.pool[s.pool],
            random.Random(f"{e.seed}/{s.name}"),
            store,
            e.cold_multiple,
            e.cold_window_s,
        )
        for s in place_servers(e)
    }


def counted(e: Experiment) -> list[tuple[float, float]]:
    """(from, to) of each phase that counts, in seconds from the first arrival."""
    found, at = [], 0.0
    for p in e.load.phase:
        if p.counted:
            found.append((at + min(p.skip_s, p.for_s), at + p.for_s))
        at += p.for_s
    return found


def floors(e: Experiment) -> dict[str, dict[str, Any]]:
    """Figures of each policy, with keys where the experiment has such, by name. ValueError: no open loop."""
    found = {}
    if not counted(e):
        raise ValueError("load: no phase counts")
    for keyed in [False, True] if e.keys.count else [False]:
        for name in POLICIES:
            world, latency = play(e, name, keyed)
            found[f"{name}, keys" if keyed else name] = row(e, world, latency)
    return found


def row(e: Experiment, world: spread.World, latency: dict[str, list[float]]) -> dict[str, Any]:
    """Figures of spread over the phases that count, and latencies."""
    spans = counted(e)
    f = spread.figures(world, spread.grid(world), spans[0][0], spans[-1][1])
    f["latency"] = {
        c: {p: float(np.percentile(values, q)) * 1000 for p, q in (("p50_ms", 50), ("p99_ms", 99))}
        for c, values in sorted(latency.items())
    }
    return f


def key_number(text: str) -> int | None:
    """A key as the decisions take it: any number, the same for the same text."""
    return _hash(text) >> 11 if text else None
