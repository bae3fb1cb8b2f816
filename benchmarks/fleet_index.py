"""What the decision module costs by the size of the fleet: entries, whole lists, choices, the timer's scan.

    .venv/bin/python benchmarks/fleet_index.py [--before DIR] [--rounds 5]

With `--before`, a checkout of another revision, both take turns in one run. Milliseconds (and MB): the median
of the rounds, with the smallest and largest; a round is itself a median of repeats. One process at a time.
"""

import argparse
import json
import os
import resource
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from functools import partial
from itertools import count
from pathlib import Path

from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher

SIZES = (12, 1_000, 10_000)
OPEN = 10_000  # jobs
SLICE = 16  # entries in one step, as net/ applies a long list
CLASSES = (
    api.JobClass("view", api.Effect.SAFE, latency_target_s=1.0, deadline_s=20.0, run_time_allowance=2.0),
    api.JobClass("confirm", api.Effect.UNSAFE, latency_target_s=1.0, deadline_s=20.0, run_time_allowance=2.0),
)
SETTINGS = api.Settings(CLASSES, max_attempts=3, may_cancel=True, reports_start=True, progress_interval_s=1.0)


def fleet_of(size: int, born: float = 0.0) -> list[api.WorkerEntry]:
    return [
        api.WorkerEntry(
            f"10.{n // 62500}.{n // 250 % 250}.{n % 250}:80", api.WorkerStatus.READY, started_at=born
        )
        for n in range(size)
    ]


def median(calls: Iterator[Callable[[], object]], repeats: int) -> float:
    """Of so many calls, in milliseconds."""
    took = []
    for _ in range(repeats):
        call = next(calls)
        start = time.perf_counter()
        call()
        took.append((time.perf_counter() - start) * 1e3)
    return statistics.median(took)


class Trial:
    def __init__(self, size: int) -> None:
        self.fleet = fleet_of(size)
        self.serial = count()
        self.now = 1000.0
        self.d = Dispatcher(SETTINGS, 1)
        self.tell(self.fleet, api.ListKind.FULL)

    def tell(self, entries: list[api.WorkerEntry], kind: api.ListKind = api.ListKind.PATCH) -> None:
        self.d.handle(self.now, api.WorkerList(kind, tuple(entries)))

    def state_changes(self) -> Iterator[Callable[[], object]]:
        for n in count():
            e = self.fleet[n * 7 % len(self.fleet)]
            yield partial(self.tell, [e._replace(state=api.WorkerStatus.DRAINING)])
            yield partial(self.tell, [e])

    def new_workers(self) -> Iterator[Callable[[], object]]:
        for n in count():
            e = api.WorkerEntry(
                f"192.168.{n // 250}.{n % 250}:80", api.WorkerStatus.READY, started_at=self.now
            )
            yield partial(self.tell, [e])

    def weights(self) -> Iterator[Callable[[], object]]:
        for n in count():
            e = self.fleet[n % len(self.fleet)]
            yield partial(self.tell, [e._replace(weight=1.0 + n)])

    def changed_lists(self) -> Iterator[list[api.WorkerEntry]]:
        """Of each list one entry in a hundred differs from the list before."""
        for n in count():
            yield [
                e._replace(state=api.WorkerStatus.DRAINING) if (at + n) % 200 == 0 else e
                for at, e in enumerate(self.fleet)
            ]

    def whole_lists(self) -> Iterator[Callable[[], object]]:
        for entries in self.changed_lists():
            yield partial(self.tell, entries, api.ListKind.FULL)

    def slices(self) -> Iterator[Callable[[], object]]:
        """As discovery's list is applied: the differences alone, SLICE at a time."""
        for at in count(0, SLICE):
            some = [self.fleet[n % len(self.fleet)] for n in range(at, at + SLICE)]
            yield partial(self.tell, [e._replace(state=api.WorkerStatus.DRAINING) for e in some])
            yield partial(self.tell, some)

    def choices(self, keys: int) -> Iterator[Callable[[], object]]:
        """Each request is ended at once by the next round, so that loads stay low."""
        for n in count():
            name = f"r{next(self.serial)}"
            key = n * 7919 % keys if keys else None
            yield partial(self.d.handle, self.now, api.Request(name, "view", 5.0, key=key))
            self.now += 0.0001
            self.d.handle(self.now, api.Started(name, 0))
            self.d.handle(self.now, api.Ended(name, 0, api.Ending.OK, True, 0.1))

    def scans(self) -> Iterator[Callable[[], object]]:
        """Of 10,000 open jobs: as many as the fleet takes run and tell of it, none is due."""
        for n in range(OPEN):
            name = f"o{n}"
            self.d.handle(self.now, api.Request(name, "view", 20.0, key=n % 3000))
        for step in count():
            self.d.scan_at = 0.0
            yield partial(self.d.handle, self.now + 0.02 + step * 0.0001, api.Timer(0))

    def ends(self) -> Iterator[Callable[[], object]]:
        """An end while 1,000 jobs wait and no worker has room for a second one."""
        for w in self.d.workers.values():
            w.load_threshold = 1.0
        sent = []
        for n in range(len(self.fleet) + 1000):
            name = f"e{n}"
            actions = self.d.handle(self.now, api.Request(name, "view", 20.0, key=n % 300))
            sent += [name for a in actions if isinstance(a, api.Send)]
        for n in count():
            done: list[api.Action] = []
            yield partial(self.end, sent.pop(0), done)
            sent += [a.request for a in done if isinstance(a, api.Send)]
            self.d.handle(self.now, api.Request(f"f{n}", "view", 20.0, key=n % 300))

    def end(self, name: str, done: list[api.Action]) -> None:
        done += self.d.handle(self.now, api.Ended(name, 0, api.Ending.OK, True, 0.1))


def measure(size: int) -> dict[str, float]:
    def run(name: str, repeats: int, *args: int) -> float:
        return median(getattr(Trial(size), name)(*args), repeats)

    slow = 10 if size > 100 else 100
    start = time.perf_counter()
    trial = Trial(size)
    found = {
        "first list, whole, in one call": (time.perf_counter() - start) * 1e3,
        "MB resident with it": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }
    del trial
    found |= {
        "one entry, ready <-> draining": run("state_changes", slow),
        "one new worker": run("new_workers", slow),
        "one entry, weight alone": run("weights", slow),
        f"{SLICE} entries, ready <-> draining": run("slices", slow),
        "whole list, 1 % changed": run("whole_lists", 3),
        "choice without a key": run("choices", 2000, 0),
        "choice by one of 500 keys": run("choices", 2000, 500),
        "choice by one of 100,000 keys": run("choices", 2000, 100_000),
        f"scan with {OPEN:,} open jobs": run("scans", 20),
        "an end while 1,000 jobs wait": run("ends", 200),
    }
    return found


def child(where: Path, size: int) -> dict[str, float]:
    command = [sys.executable, str(Path(__file__).resolve()), "--one", str(size)]
    env = os.environ | {"PYTHONPATH": str(where.resolve())}
    out = subprocess.run(command, env=env, cwd=where, check=True, capture_output=True).stdout
    found: dict[str, float] = json.loads(out)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--before", type=Path, help="a checkout of the revision to compare with")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.one is not None:
        print(json.dumps(measure(options.one)))
        return
    sides = {"before": options.before} if options.before else {}
    sides["now"] = Path(__file__).resolve().parent.parent
    print(f"| real servers | milliseconds | {' | '.join(sides)} |\n| --- | --- |{' --- |' * len(sides)}")
    for size in options.sizes:
        rounds = [{side: child(where, size) for side, where in sides.items()} for _ in range(options.rounds)]
        for name in rounds[0]["now"]:
            cells = []
            for side in sides:
                took = [r[side][name] for r in rounds if name in r[side]]
                spread = f" ({min(took):.3f} to {max(took):.3f})" if took else ""
                cells.append(f"{statistics.median(took):.3f}{spread}" if took else "")
            print(f"| {size:,} | {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
