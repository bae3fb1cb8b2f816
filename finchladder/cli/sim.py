"""`finchladder sim`: runs the program on a virtual clock and network, with seeded faults."""

import argparse
import os
import sys
import time
from functools import partial
from pathlib import Path

from finchladder.cli.front import fail

UNITS = {"s": 1, "m": 60, "h": 3600}


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    parser.description = "Runs the program on a virtual clock and network, with seeded faults."
    commands = parser.add_subparsers(dest="action", required=True, metavar="ACTION")

    run = commands.add_parser("run", help="run one seed")
    run.add_argument("--seed", type=int, required=True)
    run.add_argument("--steps", type=int, metavar="M", help="continue with the next seeds until M steps")
    run.add_argument("--out", metavar="TRACE", help="file for the trace of the last run")

    search = commands.add_parser("search", help="run many seeds")
    search.add_argument(
        "--seeds", type=_span, required=True, metavar="A..B", help="from A to B inclusive; `A..`: without end"
    )
    search.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="processes")
    search.add_argument(
        "--for", dest="for_s", type=_duration, metavar="8h", help="start no seed after this time"
    )
    search.add_argument(
        "--out", default="sim-found", metavar="DIR", help="folder for the traces of violations"
    )
    search.add_argument("--first", action="store_true", help="stop at the first violation")
    search.add_argument(
        "--coverage", action="store_true", help="print which faults occurred in which stage of a job"
    )

    fleets = {
        "peers": "simulate peers only: rate limits, membership, state rows",
        "judged": "simulate shared outlier detection: false reports, partitions, crashes",
    }
    for name, text in fleets.items():
        fleet = commands.add_parser(name, help=text)
        fleet.add_argument("--seeds", type=_span, required=True, metavar="A..B")
        fleet.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="processes")
        fleet.add_argument(
            "--for", dest="for_s", type=_duration, metavar="8h", help="start no seed after this time"
        )

    replay = commands.add_parser("replay", help="repeat a trace, and compare it line by line")
    shrink = commands.add_parser("shrink", help="reduce a trace to a smaller one with the same violation")
    explain = commands.add_parser("explain", help="print the events of a trace with the lines of code")
    for command in (replay, shrink, explain):
        command.add_argument("trace", metavar="TRACE")
    shrink.add_argument("--out", metavar="TRACE", help="default: the same path with .small before the suffix")

    mutants = commands.add_parser(
        "mutants", help="remove one safeguard at a time, and check that a simulation fails"
    )
    mutants.add_argument("names", nargs="*", metavar="NAME", help="mutants to run (default: all)")
    mutants.add_argument("--folder", default="tests/sim/mutants", help="folder of patches")
    mutants.add_argument(
        "--seeds", type=int, default=2000, metavar="N", help="maximum number for each mutant"
    )
    mutants.add_argument("--jobs", type=int, default=os.cpu_count() or 1, metavar="N", help="processes")
    mutants.add_argument("--out", default="sim-mutants", metavar="DIR", help="folder for shrunk traces")
    mutants.add_argument("--no-shrink", action="store_true")


def _span(text: str) -> range:
    first, dots, last = text.partition("..")
    try:
        if not dots:
            return range(int(first), int(first) + 1)
        return range(int(first), int(last) + 1 if last else sys.maxsize)
    except ValueError:
        raise argparse.ArgumentTypeError(f"{text!r} is not like 1..100") from None


def _duration(text: str) -> float:
    try:
        return float(text[:-1]) * UNITS[text[-1]]
    except (ValueError, KeyError, IndexError):
        raise argparse.ArgumentTypeError(f"{text!r} is not like 90s, 30m or 8h") from None


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    from finchladder.sim.run import LOG

    LOG.keep()
    try:
        status = ACTIONS[args.action](args)
    except (OSError, ValueError) as e:
        fail(str(e))
    if status:
        sys.exit(status)


def _run(args: argparse.Namespace) -> int:
    from finchladder.sim import trace
    from finchladder.sim.plan import draw

    seed, steps, began = args.seed, 0, time.perf_counter()
    while True:
        lines, outcome = trace.record(draw(seed))
        steps += outcome.steps
        v = outcome.violation
        print(
            f"seed {seed}: {outcome.steps} steps, {outcome.virtual_s:.1f} s, {outcome.faults} faults,"
            f" answers {outcome.answers}, digest {outcome.digest}"
        )
        if v is not None or args.steps is None or steps >= args.steps:
            break
        seed += 1
    took = time.perf_counter() - began
    print(f"{steps} steps in {took:.1f} s, {steps / took:.0f} a second")
    if args.out:
        trace.write(Path(args.out), lines)
    if v is None:
        return 0
    print(f"{v.name}: {v.text} ({v.at:.6f} s, step {v.step})")
    return 1


def _search(args: argparse.Namespace) -> int:
    from finchladder.sim.coverage import table
    from finchladder.sim.search import search

    until = time.monotonic() + args.for_s if args.for_s else None
    tally = search(
        args.seeds, args.jobs, Path(args.out), lambda text: print(text, flush=True), until, args.first
    )
    print(tally.text(args.jobs))
    if args.coverage:
        print(table(tally.coverage))
    for name, count in tally.kinds.most_common():
        print(f"{count} times {name}, first by seed {tally.first[name]}")
    return 1 if tally.kinds or tally.errors else 0


def _fleet(args: argparse.Namespace) -> int:
    from finchladder.sim import judged, peers

    search = partial(peers.search, play=judged.play_seed if args.action == "judged" else peers.play_seed)
    until = time.monotonic() + args.for_s if args.for_s else None
    began, played, steps, broken = time.perf_counter(), 0, 0, 0
    for seed, found in search(args.seeds, args.jobs, lambda: until is None or time.monotonic() < until):
        played, steps = played + 1, steps + found.steps
        if found.broken is not None:
            broken += 1
            b = found.broken
            print(f"seed {seed}: {b.rule}: {b.text} ({b.at:.6f} s)", flush=True)
    took = time.perf_counter() - began
    print(f"{played} seeds, {steps} steps in {took:.1f} s; {broken} broke a rule")
    return 1 if broken else 0


def _replay(args: argparse.Namespace) -> int:
    from finchladder.sim import trace

    plan, before = trace.read(Path(args.trace))
    now, outcome = trace.record(plan)
    if before[0] != now[0]:
        print("the program is not the one that made this trace")
    different = trace.first_difference(before, now)
    if different is None:
        print(f"the same to the byte: {len(now)} lines, digest {outcome.digest}")
    else:
        number, a, b = different
        print(
            f"line {number} was  {a.decode() or 'not there'}\nline {number} now  {b.decode() or 'not there'}"
        )
    v = outcome.violation
    print(f"{v.name}: {v.text}" if v is not None else "nothing is broken")
    return 1 if different is not None else 0


def _shrink(args: argparse.Namespace) -> int:
    from finchladder.sim import trace
    from finchladder.sim.shrink import Shrinker

    path = Path(args.trace)
    plan, before = trace.read(path)
    outcome = trace.record(plan)[1]
    if outcome.violation is None:
        raise ValueError(f"{path}: the trace has no violation, so it can't be shrunk")
    shrinker = Shrinker(plan, outcome.violation.name, print)
    lines, _ = trace.record(shrinker.run())
    out = Path(args.out) if args.out else path.with_suffix(f".small{path.suffix}")
    trace.write(out, lines)
    print(f"{len(before)} lines became {len(lines)}: {out}")
    return 0


def _explain(args: argparse.Namespace) -> int:
    from finchladder.sim import trace
    from finchladder.sim.explain import explain

    for line in explain(trace.read(Path(args.trace))[0]):
        print(line)
    return 0


def _mutants(args: argparse.Namespace) -> int:
    from finchladder.sim.mutants import hunt, load, report

    mutants = [m for m in load(Path(args.folder)) if not args.names or m.name in args.names]
    if not mutants:
        raise ValueError(f"{args.folder}: no such mutants")
    out = None if args.no_shrink else Path(args.out)
    hunts = hunt(mutants, args.seeds, args.jobs, out, lambda text: print(text, flush=True))
    for line in report(hunts):
        print(line)
    return 0 if all(h.seeds for h in hunts) else 1


ACTIONS = {
    "run": _run,
    "search": _search,
    "replay": _replay,
    "shrink": _shrink,
    "explain": _explain,
    "mutants": _mutants,
    "peers": _fleet,
    "judged": _fleet,
}
