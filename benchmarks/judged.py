"""How soon many dispatchers leave bad real servers, at what cost, and whether they leave good ones.

    .venv-lab/bin/python benchmarks/judged.py virtual --how health,alone,peers     # at virtual time
    .venv-lab/bin/python -m finchladder lab run benchmarks/judgement.toml --out /tmp/judged \
        --set 'program.peers={}' --set 'program.judgement={}'
    .venv-lab/bin/python benchmarks/judged.py ledger /tmp/judged                   # of a run with processes

`health`: a moving share of bad endings, each dispatcher's own, as without [judgement]. `alone`: evidence,
each its own. `peers`: evidence of all.
"""

import argparse
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(HERE))

from finchladder.lab import faults, judged, ledger  # noqa: E402
from finchladder.lab.experiment import Experiment  # noqa: E402

KINDS = ("errors", "slow", "pause")
INF = float("inf")
BAD = ("failed", "cancelled", "dropped")  # how a run at a real server ends


def bads(e: Experiment) -> Iterator[judged.Bad]:
    seen = set()
    for one in faults.strikes(faults.draw(e)):
        if one.of == "servers" and one.fault.kind in KINDS:
            for target in one.targets:
                if (target, one.at) not in seen:
                    seen.add((target, one.at))
                    yield judged.Bad(target, one.at, one.at + one.for_s, one.fault.kind)


def virtual(args: argparse.Namespace, how: str, seed: int) -> tuple[str, int, dict[str, Any]]:
    from finchladder.core.api import Ending
    from finchladder.core.health.detection.detector import DetectorSettings
    from finchladder.lab import decisions
    from finchladder.lab.check import load
    from finchladder.lab.talk import Talk

    e = load(args.file, args.sets, seed, 1, processes=False)[0].experiment
    play = decisions.Play(e)
    out: dict[str, set[str]] = {}
    marks: list[tuple[float, int]] = []
    nearly: dict[str, list[float]] = {}  # by real server: when 95 % of the dispatchers held it out

    def log(who: str, what: str) -> None:
        server = what.split()[0]
        (out.setdefault(server, set()).add if "is out" in what else out.get(server, set()).discard)(who)
        if len(out.get(server, ())) >= 0.95 * len(play.nodes):
            nearly.setdefault(server, []).append(play.kernel.now)
        held = sum(len(w) >= len(play.nodes) / 2 for w in out.values())
        if not marks or marks[-1][1] != held:
            marks.append((play.kernel.now, held))

    talk = Talk(play, DetectorSettings(), how == "peers", log) if how != "health" else None
    world = play.run()
    length = world.length_s
    arrivals = [judged.Arrival(at, s, INF) for at, s, _ in play.sent]
    arrivals += [
        judged.Arrival(at, s, at)
        for at, s, ending in play.failed
        if ending in (Ending.ERROR, Ending.TIMED_OUT, Ending.CANCELLED, Ending.BROKEN)
    ]
    # arrivals that stand for endings alone are not counted as sends
    found = judged.figures(arrivals[: len(play.sent)], list(bads(e)), list(play.servers), 4.0, length)
    with_ends = judged.figures(arrivals, list(bads(e)), list(play.servers), 4.0, length)
    for a, b in zip(found["bad"], with_ends["bad"], strict=True):
        a["failed"], a["left_s"] = b["failed"], b["left_s"]
    for row, b in zip(found["bad"], bads(e), strict=True):
        ends = [at for at, s, _ in play.failed if s == b.server and b.since <= at < b.until]
        held = [round(at - ends[0], 2) for at in nearly.get(b.server, ()) if ends and at >= ends[0]]
        row["all_s"] = min(held, default=None)
    found["unserved"] = play.unserved
    found["most_out"] = max((n for _, n in marks), default=0)
    found["packets"] = round(talk.packets / length / len(play.nodes), 1) if talk is not None else 0
    return how, seed, found


def of_ledger(args: argparse.Namespace) -> None:
    found = ledger.load(args.folder)
    begin = next(m.at for m in found.marks if m.name == "run:start")
    arrivals = [
        judged.Arrival(
            run.last - begin,
            run.server,
            run.ended - begin if run.ended is not None and run.how in BAD else INF,
        )
        for t in found.tries.values()
        for run in t.runs
    ]
    since = next((b - begin for b, _, _, counted in found.phases() if counted), 0.0)
    until = next(m.at for m in found.marks if m.name == "run:arrivals_end") - begin
    struck = list(bads(found.experiment))
    servers = sorted({server for server, _ in found.born})
    shown = judged.figures(arrivals, struck, servers, since, until)
    failed = sum(
        t.end is not None and t.end.end == "answer" and t.end.status == 502 for t in found.tries.values()
    )
    show("processes", 0, shown | {"unserved": failed})


def show(how: str, seed: int, found: dict[str, Any]) -> None:
    good = found["good"]
    print(
        f"{how}, seed {seed}: unserved {found['unserved']}, most out {found.get('most_out', '-')},"
        f" good ones left {good['left']} of {good['servers']} (longest {good['longest_s']} s),"
        f" packets {found.get('packets', '-')}"
    )
    for b in found["bad"]:
        print(
            f"  {b['server']} {b['kind']:7} met {b['met']:4} failed {b['failed']:4}"
            f" left after {b['left_s']} s,"
            f" held out by 95 % after {b.get('all_s', '-')} s, back after {b['back_s']} s",
            flush=True,
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    commands = parser.add_subparsers(dest="what", required=True)
    at_virtual = commands.add_parser("virtual")
    at_virtual.add_argument("--file", type=Path, default=HERE / "benchmarks" / "judgement.toml")
    at_virtual.add_argument("--how", default="health,alone,peers")
    at_virtual.add_argument("--seeds", type=int, default=1)
    at_virtual.add_argument("--jobs", type=int, default=6)
    at_virtual.add_argument("--set", dest="sets", action="append", default=[])
    run = commands.add_parser("ledger")
    run.add_argument("folder", type=Path)
    args = parser.parse_args()
    if args.what == "ledger":
        return of_ledger(args)
    with ProcessPoolExecutor(args.jobs) as pool:
        plays = [
            pool.submit(virtual, args, how, seed)
            for seed in range(1, args.seeds + 1)
            for how in args.how.split(",")
        ]
        for one in plays:
            show(*one.result())


if __name__ == "__main__":
    main()
