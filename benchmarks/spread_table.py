"""How evenly many dispatchers' decisions spread one day's work, by their number or by what is changed.

    .venv-lab/bin/python benchmarks/spread_table.py benchmarks/spread.toml --dispatchers 3,40,200,300
    .venv-lab/bin/python benchmarks/spread_table.py benchmarks/spread.toml --seeds 6 \
        --change dispatch.key_frequency.HOT_KEY_SPREAD=2

At virtual time, a decision module for each dispatcher (finchladder/lab/decisions.py): means over the seeds.
`--set` is the lab's; `--change MODULE.NAME=NUMBER` gives a constant of finchladder/core another value;
`--even-homes` takes it that each real server is home to as many keys as any; `--before REV` plays the
decisions of another revision with the lab of this one. `--memory` tells how long a queue remembers: the
correlation of a real server's wait with its own, so much later, where jobs are placed by chance. Four seeds
at one time; ten seconds each for 28 s of 200 dispatchers.
"""

import argparse
import importlib
import io
import shutil
import subprocess
import sys
import tarfile
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import numpy as np

HERE = Path(__file__).resolve().parents[1]
LAGS_S = (0.25, 0.5, 1.0, 2.0, 4.0)
HEAD = ("full", "idle", "w/mean p99", "wait s", "wait p99", "p50 ms", "p99 ms", "unserved")


def row(args: argparse.Namespace, dispatchers: int, seed: int) -> list[float]:
    """Of one seed, in the order of HEAD; the latencies are the first class's."""
    for change in args.change:
        name, _, value = change.partition("=")
        module, _, constant = name.rpartition(".")
        found = importlib.import_module(f"finchladder.core.{module}")
        getattr(found, constant)  # AttributeError: there is none to be changed
        setattr(found, constant, float(value))
    if args.even_homes:
        from finchladder.core.dispatch.worker_index import PoolIndex

        PoolIndex.key_share = lambda self, w: 1.0  # type: ignore[method-assign]
    from finchladder.lab import decisions
    from finchladder.lab.check import load

    sets = [*args.sets, *([f"dispatchers={dispatchers}"] if dispatchers else [])]
    e = load(args.file, sets, seed, 1, processes=False)[0].experiment
    f = decisions.figures(e)
    latency = f["latency"][e.job_class[0].name]
    return [
        f["full"],
        f["idle"],
        f["wait_over_mean"]["p99"],
        f["wait_s"]["mean"],
        f["wait_s"]["p99"],
        latency["p50_ms"],
        latency["p99_ms"],
        f["unserved"],
    ]


def remembers(args: argparse.Namespace) -> str:
    from finchladder.lab import floor, spread
    from finchladder.lab.check import load

    e = load(args.file, args.sets, 1, 1, processes=False)[0].experiment
    wait = spread.grid(floor.play(e, "random", False)[0]).wait
    wait = wait[:, wait.shape[1] // 4 :]
    found = []
    for lag in LAGS_S:
        steps = round(lag / spread.STEP_S)
        pairs = [np.corrcoef(w[:-steps], w[steps:])[0, 1] for w in wait]
        found.append(f"{lag:g} s {np.mean(pairs):.2f}")
    return "a wait's correlation with itself later: " + ", ".join(found)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("file", type=Path)
    parser.add_argument("--dispatchers", default="0", help="numbers, in place of the file's")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--set", dest="sets", action="append", default=[])
    parser.add_argument("--change", action="append", default=[])
    parser.add_argument("--even-homes", action="store_true")
    parser.add_argument("--before", metavar="REV")
    parser.add_argument("--memory", action="store_true")
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        sys.path.insert(0, mixed(args.before, folder) if args.before else str(HERE))
        print(remembers(args)) if args.memory else table(args)


def table(args: argparse.Namespace) -> None:
    print(f"{'dispatchers':>12}" + "".join(f"{name:>12}" for name in HEAD))
    for text in args.dispatchers.split(","):
        with ProcessPoolExecutor(4) as pool:
            n = args.seeds
            rows = list(pool.map(row, [args] * n, [int(text)] * n, range(1, n + 1)))
        cells = np.mean(rows, axis=0)
        print(f"{text if int(text) else 'as given':>12}" + "".join(f"{c:12.3f}" for c in cells), flush=True)


def mixed(revision: str, folder: str) -> str:
    """The program of that revision with the lab of this tree. CalledProcessError: there is none."""
    git = subprocess.run(
        ["git", "-C", str(HERE), "archive", revision, "finchladder"], capture_output=True, check=True
    )
    with tarfile.open(fileobj=io.BytesIO(git.stdout)) as tar:
        tar.extractall(folder, filter="data")
    shutil.rmtree(f"{folder}/finchladder/lab")
    shutil.copytree(HERE / "finchladder" / "lab", f"{folder}/finchladder/lab")
    return folder


if __name__ == "__main__":
    main()
