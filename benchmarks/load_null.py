"""How much load the lab's generator offers, and how late it is: open loop against null targets on loopback.

    python benchmarks/load_null.py [--rate 10000] [--runs 5] [--seconds 10] [--processes 2] [--connections 0]

Each run starts as many null targets as generators. A line a run, then the spread over the runs. A generator
is late when the 99th percentile of its delay from due to begun is over `late_s` (0.05 s). Status 1 if one
was late, if anything was not answered with 200, or if a connection to be held was not there at the end.
"""

import argparse
import json
import os
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from finchladder.lab import records
from finchladder.lab.control import Order, Plan
from finchladder.lab.experiment import Experiment, Keys, Load, Phase

HOLD_S = 12.0  # for opening the connections to be held, 500 a second in each process


def start(module: str, *arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )


def line(process: subprocess.Popen[bytes]) -> bytes:
    assert process.stdout is not None
    return process.stdout.readline()


def say(process: subprocess.Popen[bytes], what: Plan | Order) -> None:
    assert process.stdin is not None
    process.stdin.write(msgspec.json.encode(what) + b"\n")
    process.stdin.flush()


def hear(process: subprocess.Popen[bytes], what: str) -> Any:
    while data := line(process):
        word = json.loads(data)
        if word["what"] == what:
            return word.get("data")
        if word["what"] == "failed":
            sys.exit(word["text"])
    sys.exit("a generator ended by itself")


def starved_s(pid: int) -> float:
    """How long a process was ready to run and had no processor: the machine's part in a lateness."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def play(options: argparse.Namespace, seed: int, out: Path) -> dict[str, float]:
    experiment = Experiment(
        "load-null",
        Load(
            [Phase("all", options.seconds, options.rate)],
            processes=options.processes,
            connections=options.connections,
        ),
        keys=Keys(1_000_000),
        dispatchers=options.processes,
    )
    nulls = [start("finchladder.lab.null", "127.0.0.1", "0") for _ in range(options.processes)]
    dispatchers = {f"n{i + 1}": line(null).split()[1].decode() for i, null in enumerate(nulls)}
    loads = [start("finchladder.lab.drivers", "load") for _ in range(options.processes)]
    try:
        for part, load in enumerate(loads):
            say(
                load,
                Plan(
                    "load",
                    f"load{part}",
                    str(out),
                    experiment,
                    0.0,
                    0.0,
                    seed,
                    part=part,
                    parts=options.processes,
                    dispatchers=dispatchers,
                    zone_of=dict.fromkeys(dispatchers, "a"),
                ),
            )
        for load in loads:
            hear(load, "ready")
            for name in dispatchers:
                say(load, Order("up", data={"name": name}))
        time.sleep(HOLD_S if options.connections else 0.2)
        at = time.monotonic() + 0.3
        for load in loads:
            say(load, Order("go", at))
        done = [hear(load, "done") for load in loads]
        starved = max(starved_s(load.pid) for load in loads)
        for load in loads:
            say(load, Order("stop"))
            load.wait(20)
    finally:
        for process in [*nulls, *loads]:
            process.kill()
            process.wait()
    return {**judge(options, done, out), "starved_s": starved}


def judge(options: argparse.Namespace, done: list[dict[str, Any]], out: Path) -> dict[str, float]:
    """Figures from the ledger alone, but for the connections held."""
    ledger = records.read_all(out / "ledger")
    asked = {r.id: r for r in ledger if isinstance(r, records.Asked)}
    answered = {r.id: r for r in ledger if isinstance(r, records.Answered)}
    late = sorted(r.begun - r.due for r in asked.values())
    took = sorted(answered[id].at - r.due for id, r in asked.items())
    return {
        "offered_per_s": len(asked) / options.seconds,
        "answered_200": sum(r.status == 200 for r in answered.values()) / len(asked),
        "late_p99_ms": late[int(len(late) * 0.99)] * 1000,
        "late_worst_ms": late[-1] * 1000,
        "latency_p50_ms": took[len(took) // 2] * 1000,
        "latency_p99_ms": took[int(len(took) * 0.99)] * 1000,
        "connections": min(d["connections"] for d in done),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--rate", type=float, default=10_000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--connections", type=int, default=0, help="held open besides, over all processes")
    options = parser.parse_args()
    rows: list[dict[str, float]] = []
    for run in range(options.runs):
        used = resource.getrusage(resource.RUSAGE_CHILDREN)
        with tempfile.TemporaryDirectory() as folder:
            row = play(options, run + 1, Path(folder))
        now = resource.getrusage(resource.RUSAGE_CHILDREN)
        row["load_average"] = os.getloadavg()[0]
        row["cpu_s_all"] = now.ru_utime + now.ru_stime - used.ru_utime - used.ru_stime
        rows.append(row)
        print(f"run {run + 1}: " + ", ".join(f"{k} {v:.4g}" for k, v in row.items()), flush=True)
    for name in rows[0]:
        values = [row[name] for row in rows]
        print(f"{name}: median {statistics.median(values):.4g}, {min(values):.4g} to {max(values):.4g}")
    late_ms = Load([]).late_s * 1000
    held = options.connections // options.processes
    good = all(
        r["late_p99_ms"] < late_ms and r["answered_200"] == 1 and r["connections"] >= held for r in rows
    )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
