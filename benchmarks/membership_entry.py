"""What membership costs: a change, a list, another leader, at three sizes of the fleet.

    python benchmarks/membership_entry.py [ROUNDS]

CPU time of the decision alone, two sources, in ms: median (least to most) of the rounds, each in a process of
its own. `longest step`: of the steps that the row takes, as a long list is gone through in slices.
"""

import json
import subprocess
import sys
from collections.abc import Callable
from statistics import median
from time import process_time

from finchladder.core import api
from finchladder.core.membership.decisions import Decision, Membership, MembershipSettings, Report, Source

SIZES = (12, 1000, 10_000)
CHANGES = 200
R, D, G = api.WorkerStatus.READY, api.WorkerStatus.DRAINING, api.WorkerStatus.REMOVED


def memory_mb() -> float:
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024


class Round:
    def __init__(self, size: int) -> None:
        self.size, self.now, self.version = size, 100.0, 0
        self.found: dict[str, float] = {}
        self.m = Membership([Source("etcd"), Source("discovery")], MembershipSettings(settle_s=0.0))
        self.longest = 0.0

    def report(
        self, source: str, states: dict[int, api.WorkerStatus], whole: bool, since: float = 0.0
    ) -> Report:
        """Made anew, as a reader does: no text or entry is that of another source."""
        self.version += 1
        entries = tuple(
            api.WorkerEntry(f"s-{n:08x}", s, f"zone-{n % 3}", "std", 0, since) for n, s in states.items()
        )
        addresses = {f"s-{n:08x}": (f"10.1.{n >> 8}.{n & 255}", 8081) for n in states}
        kind = api.ListKind.FULL if whole else api.ListKind.PATCH
        return Report(source, self.version, api.WorkerList(kind, entries), addresses)

    def step(self, act: Callable[[], Decision]) -> float:
        start = process_time()
        act()
        took = process_time() - start
        self.longest = max(self.longest, took)
        return took

    def all(self, act: Callable[[], Decision]) -> float:
        took = self.step(act)
        while self.m.next_due <= self.now:
            took += self.step(lambda: self.m.apply_due(self.now))
        return took

    def time(self, name: str, *reports: Report) -> None:
        self.longest = 0.0
        took = [self.all(lambda r=r: self.m.report(self.now, r)) for r in reports]  # type: ignore[misc]
        self.found[name] = 1000 * sum(took) / len(took)
        if len(reports) == 1:
            self.found[f"{name}: longest step"] = 1000 * self.longest

    def run(self) -> dict[str, float]:
        size, ready = self.size, dict.fromkeys(range(self.size), R)
        before = memory_mb()
        self.time("first list", self.report("discovery", ready, True))
        one = memory_mb()
        self.time("the other's first list, which takes the lead", self.report("etcd", ready, True))
        self.found["memory MB: one source"] = one - before
        self.found["memory MB: two sources"] = memory_mb() - before
        self.time("whole list, nothing new", self.report("etcd", ready, True))
        drains = {n: D if n % 100 == 1 else R for n in range(size)}
        self.time("whole list, 1 % drains", self.report("etcd", drains, True))
        self.time("whole list, nothing drains", self.report("etcd", ready, True))
        some = [n * 7 % size for n in range(CHANGES)]
        changes = [self.report("etcd", {n: s}, False) for n in some for s in (D, R)]
        self.now += 100.0
        self.m.record_heartbeat(self.now, "etcd")
        self.m.record_heartbeat(self.now, "discovery")
        self.time("one entry, ready <-> draining", *changes)
        self.time("one drain by another", *(self.report("discovery", {n: D}, False) for n in some))
        self.time("one restart", *(self.report("etcd", {n: R}, False, 50.0 + i) for i, n in enumerate(some)))
        self.found["heard, nothing new"] = 1000 * self.step(lambda: self.m.record_heartbeat(self.now, "etcd"))
        self.time("all vanish at once", self.report("etcd", dict.fromkeys(range(size), G), False))
        self.time("all are back", self.report("etcd", ready, True, 900.0))
        self.now += 2.9
        self.m.record_heartbeat(self.now, "discovery")
        self.now += 0.2
        self.longest = 0.0
        self.found["the leader is lost"] = 1000 * self.all(lambda: self.m.apply_due(self.now))
        self.found["the leader is lost: longest step"] = 1000 * self.longest
        return self.found


def main(rounds: int) -> None:
    table: dict[str, dict[int, list[float]]] = {}
    for size in SIZES * rounds:
        done = subprocess.run([sys.executable, __file__, "--one", str(size)], capture_output=True, check=True)
        for name, value in json.loads(done.stdout).items():
            table.setdefault(name, {}).setdefault(size, []).append(value)
    print(f"| ms | {' | '.join(f'{size:,}' for size in SIZES)} |")
    print("| --- " * (len(SIZES) + 1) + "|")
    for name, by_size in table.items():
        cells = [f"{median(v):.3f} ({min(v):.3f} to {max(v):.3f})" for v in by_size.values()]
        print(f"| {name} | {' | '.join(cells)} |")


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        print(json.dumps(Round(int(sys.argv[2])).run()))
    else:
        main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
