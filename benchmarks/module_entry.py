"""What one changed entry of discovery's list costs the decisions alone, at several sizes of the fleet.

`.venv/bin/python benchmarks/module_entry.py [SIZES..]`: no sockets, one process; for each size the list is
handed in whole, one job is sent to warm up, then the weight of one entry after another is renewed. Printed:
median, least and most of the milliseconds that a change takes together with the next job's decision.
"""

import statistics
import sys
import time

from finchladder import Dispatcher, api

CHANGES, BUDGET_S, LEAST = 25, 20.0, 5  # changes measured, unless they take longer than the budget together


def entry(n: int, weight: float) -> api.WorkerEntry:
    return api.WorkerEntry(f"w{n:05d}", api.WorkerStatus.READY, weight=weight)


def measure(size: int) -> list[float]:
    """Milliseconds of each change."""
    job = api.JobClass("view", api.Effect.SAFE, latency_target_s=0.3, deadline_s=5.0)
    dispatcher = Dispatcher(api.Settings(classes=(job,)), seed=1)
    whole = tuple(entry(n, 1.0) for n in range(size))
    dispatcher.handle(1.0, api.WorkerList(api.ListKind.FULL, whole))
    dispatcher.handle(1.5, api.Request("job-0", "view", timeout_s=5.0, key=0))
    found: list[float] = []
    begun = time.perf_counter()
    for n in range(CHANGES):
        change = api.WorkerList(api.ListKind.PATCH, (entry(n % size, 1.0 + 0.01 * (n + 1)),))
        now = 2.0 + n * 0.5
        before = time.perf_counter()
        dispatcher.handle(now, change)
        dispatcher.handle(now + 0.01, api.Request(f"job-{n + 1}", "view", timeout_s=5.0, key=n))
        found.append((time.perf_counter() - before) * 1000)
        if len(found) >= LEAST and time.perf_counter() - begun > BUDGET_S:
            break
    return found


def main() -> None:
    print(f"{'real servers':>12} {'changes':>8} {'median ms':>10} {'least':>8} {'most':>8}")
    for size in [int(a) for a in sys.argv[1:]] or [12, 1000, 10000]:
        ms = measure(size)
        print(f"{size:>12} {len(ms):>8} {statistics.median(ms):>10.2f} {min(ms):>8.2f} {max(ms):>8.2f}")


if __name__ == "__main__":
    main()
