"""From a drain notice's put to the last new job: a thousand notices at as many real servers under load.

    .venv-lab/bin/python benchmarks/etcd_drains.py [--servers 1000] [--rate 400] [--over-s 30] [--rounds 3]

By etcd's watch, and by discovery alone with each delay, in turn. Times in ms, over all notices: until the
dispatcher held the real server for not ready (nothing is sent to it from then on; taken in its process), and
until the last job's first byte came to it (by the real servers' ledger; 0: none came after the put).
"""

import argparse
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent


def run_node() -> None:
    """The dispatcher, with a note of when each real server was no more ready."""
    from finchladder.__main__ import main as serve
    from finchladder.core import api
    from finchladder.net.workers import WorkerPool

    sys.argv.remove("node")
    seen: dict[str, float] = {}
    file = open(os.environ["DRAINS_SEEN"], "a", buffering=1)  # noqa: SIM115

    def note(name: str) -> None:
        if name not in seen:
            seen[name] = time.monotonic()
            file.write(f"{name} {seen[name]}\n")

    update, retire = WorkerPool.update, WorkerPool.retire

    def updated(self: Any, workers: api.WorkerList, addresses: Any) -> None:
        update(self, workers, addresses)
        for e in workers.entries:
            if e.state is api.WorkerStatus.DRAINING:
                note(e.worker)

    def retired(self: Any, names: list[str]) -> None:
        retire(self, names)
        for name in names:
            note(name)

    WorkerPool.update, WorkerPool.retire = updated, retired  # type: ignore[method-assign]
    serve()


def experiment(args: argparse.Namespace, followed: bool, delay_s: float) -> str:
    drains = "\n".join(
        f'[[fault]]\nkind = "drain"\ntarget = "w{n + 1:04d}"\nfor_s = 5.0\n'
        f"at_s = {3.0 + args.over_s * n / args.servers:.4f}\n"
        for n in range(args.servers)
    )
    cpus = f"cpus = {args.cpus}" if args.cpus else ""
    return f"""
name = "drains"
fleet_processes = 1
[program]
command = ["python", "{ROOT}/benchmarks/etcd_drains.py", "node"]
{cpus}
[etcd]
members = 1
followed = {str(followed).lower()}
[discovery]
delay_s = {delay_s}
[[pool]]
count = {args.servers}
[[class]]
name = "view"
work_s = 0.005
[[load.phase]]
name = "steady"
for_s = {args.over_s + 10.0}
rate = {args.rate}
{drains}"""


def played(args: argparse.Namespace, followed: bool, delay_s: float) -> dict[str, list[float]]:
    from finchladder.lab import ledger

    with tempfile.TemporaryDirectory() as folder:
        out, seen = Path(folder) / "run", Path(folder) / "seen"
        file = Path(folder) / "drains.toml"
        file.write_text(experiment(args, followed, delay_s))
        lab = [sys.executable, "-m", "finchladder", "lab", "run", str(file), "--out", str(out), "--quiet"]
        env = os.environ | {"DRAINS_SEEN": str(seen)}
        told = subprocess.run(lab, cwd=ROOT, env=env, capture_output=True, text=True, check=False)
        print("\n".join(line for line in told.stdout.splitlines() if "valid" in line or "served" in line))
        found = ledger.load(out)
        put: dict[str, float] = {}
        for s in found.faults:
            if s.kind == "etcd_put" and s.detail == "draining":
                put.setdefault(s.target, s.at)
        held = {name: float(at) for name, at in map(str.split, seen.read_text().splitlines())}
        last = dict(put)
        for t in found.tries.values():
            for run in t.runs:
                if put.get(run.server, float("inf")) < run.first < put[run.server] + 4.0:
                    last[run.server] = max(last[run.server], run.first)
        return {
            "not ready": [1000 * (held[n] - at) for n, at in put.items() if n in held],
            "last job": [1000 * (last[n] - at) for n, at in put.items()],
        }


def line(values: list[float]) -> str:
    v = sorted(values)
    jobs = sum(x > 0 for x in v)
    return (
        f"p50 {v[len(v) // 2]:.1f}, p99 {v[int(len(v) * 0.99)]:.1f}, most {v[-1]:.1f} "
        f"({len(v)} notices, {jobs} above 0)"
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--servers", type=int, default=1000)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--over-s", type=float, default=30.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--delays", default="0.05,0.5", help="of discovery, in seconds, where it is alone")
    parser.add_argument("--cpus", type=lambda text: [int(n) for n in text.split(",")], default=[])
    args = parser.parse_args()
    cases = [(True, 0.5)] + [(False, float(d)) for d in args.delays.split(",") if d]
    for round in range(args.rounds):
        for followed, delay_s in cases:
            found = played(args, followed, delay_s)
            which = "etcd" if followed else f"discovery alone, {delay_s:g} s late"
            load = os.getloadavg()[0]
            for what, values in found.items():
                print(f"round {round + 1}, {which}: {what}: {line(values)}; load {load:.1f}", flush=True)


if __name__ == "__main__":
    if "node" in sys.argv[1:2]:
        run_node()
    else:
        main()
