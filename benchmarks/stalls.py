"""The longest turns of a dispatcher's loop, and its collector's pauses, while the lab plays stalls.toml.

    python benchmarks/stalls.py [--sizes 14 1000 10000] [--repeats 3] [--before DIR] [--all] [the lab's own]

The dispatcher runs as it is, with a selector that takes the time between two waits, and a hook that names
what ran longest between them. Times are CPU milliseconds of its one thread, so that other work on the machine
does not count. With `--before`, a checkout of another revision, both take turns. A table, a line a run.
"""

import argparse
import asyncio
import gc
import json
import os
import selectors
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
WORST = 12  # turns that are kept
START_S = 3.0  # turns before that are of the start, and stand apart


class Watch(selectors.EpollSelector):
    """Turns of the loop by their CPU time."""

    def __init__(self) -> None:
        super().__init__()
        self.begun = time.monotonic()
        self.turn_at = time.thread_time()
        self.longest = (0.0, "")  # callback in this turn
        self.gc_s = 0.0  # in this turn
        self.turns = 0
        self.over = {2: 0, 5: 0, 10: 0, 20: 0}  # milliseconds: so many turns
        self.worst: list[tuple[float, float, str, float, float]] = []
        self.start = 0.0
        self.pauses: dict[int, list[float]] = {0: [], 1: [], 2: []}
        self.garbage = {0: 0, 1: 0, 2: 0}

    def select(self, timeout: float | None = None) -> Any:
        took, at = time.thread_time() - self.turn_at, time.monotonic() - self.begun
        if at < START_S:
            self.start = max(self.start, took)
        else:
            self.turns += 1
            for ms in self.over:
                self.over[ms] += took * 1e3 > ms
            if took > 0.003:
                name, longest = self.longest[1], self.longest[0]
                self.worst = sorted([*self.worst, (took, at, name, longest, self.gc_s)])[-WORST:]
        self.longest, self.gc_s = (0.0, ""), 0.0
        found = super().select(timeout)
        self.turn_at = time.thread_time()
        return found

    def collected(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.gc_at = time.thread_time()
        elif time.monotonic() - self.begun > START_S:
            took = time.thread_time() - self.gc_at
            self.gc_s += took
            self.pauses[info["generation"]].append(took)
            self.garbage[info["generation"]] += info["collected"]


def name_of(callback: Any) -> str:
    owner = getattr(callback, "__self__", None)
    if isinstance(owner, asyncio.Task):
        return str(getattr(owner.get_coro(), "__qualname__", owner.get_name()))
    for _ in range(3):  # partials
        callback = getattr(callback, "func", callback)
    return str(getattr(callback, "__qualname__", repr(callback)))


def inside() -> None:
    """In the dispatcher's process: watches, and runs the program."""
    watch = Watch()
    run = asyncio.Handle._run  # type: ignore[attr-defined]

    def timed(handle: Any) -> None:
        before, callback = time.thread_time(), handle._callback
        run(handle)
        if (took := time.thread_time() - before) > watch.longest[0]:
            watch.longest = took, name_of(callback)

    asyncio.Handle._run = timed  # type: ignore[attr-defined]

    class Policy(asyncio.DefaultEventLoopPolicy):
        def new_event_loop(self) -> asyncio.AbstractEventLoop:
            return asyncio.SelectorEventLoop(watch)

    asyncio.set_event_loop_policy(Policy())
    gc.callbacks.append(watch.collected)
    if os.environ.get("STALLS_GC") == "off":
        gc.disable()
    try:
        from finchladder.cli.front import main

        main()
    finally:
        pauses = {n: [len(p), sum(p) * 1e3, max(p, default=0) * 1e3] for n, p in watch.pauses.items()}
        status = Path("/proc/self/status").read_text().splitlines()
        peak = next(line for line in status if line.startswith("VmHWM"))
        told = {
            "turns": watch.turns,
            "over": watch.over,
            "start": watch.start * 1e3,
            "gc": pauses,
            "worst": [(t * 1e3, at, name, one * 1e3, g * 1e3) for t, at, name, one, g in watch.worst[::-1]],
            "garbage": watch.garbage,
            "peak_mb": int(peak.split()[1]) / 1024,
            "objects": len(gc.get_objects()),
        }
        Path(os.environ["STALLS_OUT"]).write_text(json.dumps(told))


def play(size: int, tree: Path, more: list[str]) -> tuple[dict[str, Any], dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder:
        told, out = Path(folder) / "told.json", Path(folder) / "out"
        command = json.dumps([sys.executable, str(HERE / "stalls.py"), "--inside"])
        env = os.environ | {"STALLS_OUT": str(told), "STALLS_TREE": str(tree.resolve())}
        run = [sys.executable, "-m", "finchladder", "lab", "run", str(HERE / "stalls.toml"), "--quiet"]
        sets = [f"program.command={command}", f"pool.0.count={size}"]
        run += ["--out", str(out), *(word for one in sets for word in ("--set", one)), *more]
        subprocess.run(run, env=env, check=False, capture_output=True)
        summary = json.loads(next(out.rglob("summary.json")).read_text())
        return json.loads(told.read_text()), summary


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--sizes", type=int, nargs="+", default=[10_000])
    parser.add_argument("--repeats", type=int, default=1)
    parser.add_argument("--before", type=Path)
    parser.add_argument("--all", action="store_true", help="all figures, and the worst turns one by one")
    options, more = parser.parse_known_args()
    sides = {"before": options.before} if options.before else {}
    sides["now"] = HERE.parent
    print("| real servers | | valid | turns | over 5 / 10 / 20 ms | longest, ms | in | collections | MB |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in options.sizes:
        for _ in range(options.repeats):
            for side, tree in sides.items():
                told, summary = play(size, tree, more)
                over, worst, full = told["over"], told["worst"], told["gc"]["2"]
                longest = f"{worst[0][0]:.1f} | {worst[0][2]}" if worst else "0 |"
                print(
                    f"| {size:,} | {side} | {summary['valid']} | {told['turns']} | {over['5']} /"
                    f" {over['10']} / {over['20']} | {longest} | {full[0]}, at most {full[2]:.1f} ms |"
                    f" {summary['dispatchers']['n1']['rss_mb']:.1f} |",
                    flush=True,
                )
                if options.all:
                    print(json.dumps(told, indent=1))


if __name__ == "__main__":
    if "--inside" in sys.argv:
        sys.argv.remove("--inside")
        sys.path.insert(0, os.environ["STALLS_TREE"])
        inside()
    else:
        main()
