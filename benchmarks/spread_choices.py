"""What a choice costs by the size of the fleet, to one of a few dispatchers and to one of 200.

    .venv/bin/python benchmarks/spread_choices.py [--rounds 5]

Microseconds from a request with a key to its send: the median of the rounds, with the smallest and the
largest. Nominal weights of two sizes; keys of zipf 0.9, so that some are hot. Nothing stays in flight, so
that every comparison is a tie.
"""

import argparse
import random
import statistics
import time

from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher

SIZES, DISPATCHERS, KEYS, JOBS = (60, 1_000, 10_000), (3, 200), 3_000, 4_000
CLASSES = (
    api.JobClass("view", api.Effect.SAFE, latency_target_s=1.0, deadline_s=20.0, run_time_allowance=2.0),
)


def choice_us(size: int, dispatchers: int, seed: int) -> float:
    """The median of JOBS choices."""
    settings = api.Settings(CLASSES, dispatchers=dispatchers, index=1, may_cancel=True, reports_start=True)
    d, rng, now = Dispatcher(settings, seed), random.Random(seed), 100.0
    listed = [
        api.WorkerEntry(f"w{n}", api.WorkerStatus.READY, weight=0.6 if n % 3 else 1.0) for n in range(size)
    ]
    d.handle(now, api.WorkerList(api.ListKind.FULL, tuple(listed)))
    keys = rng.choices(range(KEYS), [(n + 1) ** -0.9 for n in range(KEYS)], k=JOBS)
    took = []
    for n, key in enumerate(keys):
        now += 0.01
        begin = time.perf_counter()
        actions = d.handle(now, api.Request(f"r{n}", "view", 10.0, key=key))
        took.append(time.perf_counter() - begin)
        assert any(isinstance(a, api.Send) for a in actions)
        d.handle(now, api.Started(f"r{n}", 0))
        d.handle(now, api.Ended(f"r{n}", 0, api.Ending.OK, True, 0.1))
        if n % 20 == 0:
            d.handle(now, api.Timer(0))
    return statistics.median(took[JOBS // 4 :]) * 1e6


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--rounds", type=int, default=5)
    rounds = parser.parse_args().rounds
    print(f"{'real servers':>12}" + "".join(f"{f'{d} dispatchers, us':>26}" for d in DISPATCHERS))
    for size in SIZES:
        found: dict[int, list[float]] = {d: [] for d in DISPATCHERS}
        for seed in range(rounds):  # in turn, so that both meet the same machine
            for d in DISPATCHERS:
                found[d].append(choice_us(size, d, seed))
        cells = (f"{statistics.median(v):.0f} ({min(v):.0f} to {max(v):.0f})" for v in found.values())
        print(f"{size:>12}" + "".join(f"{cell:>26}" for cell in cells), flush=True)


if __name__ == "__main__":
    main()
