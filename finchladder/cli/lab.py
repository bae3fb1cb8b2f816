"""`finchladder lab`: runs experiments against dispatchers on loopback and reports on them."""

import argparse
import sys
import tomllib
from collections.abc import Iterable
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING, Any

from finchladder.cli.front import fail

if TYPE_CHECKING:
    from finchladder.lab.check import Variant
    from finchladder.lab.show import Show

RUNS_FOLDER = Path("lab-runs")  # default folder of runs
MAX_DISPATCHER_LINES = 5  # with more dispatchers, only their sum is printed
EXPERIMENTS_FOLDER = Path(__file__).resolve().parents[2] / "benchmarks"


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    commands = parser.add_subparsers(dest="lab", required=True, metavar="COMMAND")

    def command(name: str, text: str) -> argparse.ArgumentParser:
        return commands.add_parser(name, help=text, description=text)

    def add_run_options(one: argparse.ArgumentParser) -> None:
        one.add_argument(
            "--out", type=Path, metavar="DIR", help="an empty or new folder (default: lab-runs/NAME-N)"
        )
        one.add_argument("--seed", type=int, help="overrides the file's")
        one.add_argument(
            "--set",
            dest="sets",
            action="append",
            default=[],
            metavar="KEY=VALUE",
            help="overrides a value of the file by dotted name: load.phase.0.rate=100",
        )
        one.add_argument("--quiet", action="store_true", help="print no progress")

    run = command("run", "run an experiment")
    run.add_argument("file", type=Path, metavar="FILE")
    run.add_argument("--repeats", type=int, metavar="N", help="overrides the file's")
    add_run_options(run)
    compare = command("compare", "run two experiments, revisions or settings alternately, and compare them")
    compare.add_argument("a", type=Path, metavar="A")
    compare.add_argument("b", type=Path, metavar="B", nargs="?", help="a second file (default: A again)")
    compare.add_argument(
        "--pairs", type=int, default=5, metavar="N", help="pairs of runs, at least 3 (default: 5)"
    )
    for side in "ab":
        compare.add_argument(
            f"--rev-{side}", metavar="REV", help=f"git revision of the program in {side.upper()}"
        )
        compare.add_argument(
            f"--set-{side}",
            action="append",
            default=[],
            metavar="KEY=VALUE",
            help=f"overrides a value of {side.upper()} only",
        )
    add_run_options(compare)
    floor = command("floor", "simulate an experiment's schedule in virtual time with simple policies")
    floor.add_argument("file", type=Path, metavar="FILE")
    floor.add_argument("--seed", type=int, help="overrides the file's")
    floor.add_argument(
        "--set",
        dest="sets",
        action="append",
        default=[],
        metavar="KEY=VALUE",
        help="overrides a value of the file by dotted name",
    )
    floor.add_argument(
        "--decisions",
        action="store_true",
        help="also simulate the program's own decisions, one dispatcher module each",
    )
    floor.add_argument(
        "--into", type=Path, metavar="DIR", help="folder of a run, whose report then includes them"
    )
    for name, text in (
        ("report", "rewrite summary.json and report.html from a run's ledger"),
        ("judge", "check a run's ledger against the four rules; exit status 1 if one is violated"),
    ):
        command(name, text).add_argument("folder", type=Path, metavar="DIR")
    serving = command("serve", "start an experiment's deployment without load, until Ctrl-C")
    serving.add_argument("file", type=Path, metavar="FILE")
    add_run_options(serving)
    command("list", "print the included experiments")


def run(args: argparse.Namespace) -> None:
    """Runs the command.

    Exit status 0: valid; 1: failed or not valid; 2: unusable input; 128 + number: ended by a signal.
    """
    if args.lab == "list":
        list_shipped()
        return
    try:
        from finchladder.lab.check import Unusable
        from finchladder.lab.processes import LabError
        from finchladder.lab.run import Interrupted
        from finchladder.lab.show import Show
    except ModuleNotFoundError as e:
        fail(f"the lab needs {e.name}, which is not installed: pip install 'finchladder[lab]'")
    show = Show(getattr(args, "quiet", True))
    try:
        ok = COMMANDS[args.lab](args, show)
    except Unusable as e:
        show.close()
        fail(str(e))
    except LabError as e:
        show.close()
        fail(str(e), 1)
    except Interrupted as e:
        show.close()
        fail(f"{e}: the run was aborted", 128 + e.number)
    finally:
        show.close()
    if not ok:
        sys.stdout.flush()
        sys.exit(1)


def list_shipped() -> None:
    """Prints the experiments that are included."""
    for path in sorted(EXPERIMENTS_FOLDER.glob("*.toml")):
        about = str(tomllib.loads(path.read_text("utf-8")).get("about", "")).split("\n")[0]
        print(f"benchmarks/{path.name:24} {about}")


def output_folder(out: Path | None, name: str) -> Path:
    """Returns the requested output folder, or the next unused one.

    Raises:
        Unusable: The folder isn't empty or can't be created.
    """
    from finchladder.lab.check import Unusable

    try:
        if out is None:
            out = next(p for n in count(1) if not (p := RUNS_FOLDER / f"{name}-{n}").exists())
        elif out.is_dir() and any(out.iterdir()):
            raise Unusable(f"{out}: the folder isn't empty; --out needs an empty or new folder")
        out.mkdir(parents=True, exist_ok=True)
    except OSError as e:
        raise Unusable(f"{out}: {e.strerror}") from None
    return out.resolve()


def run_variant(variant: "Variant", out: Path, show: "Show") -> dict[str, Any]:
    """Runs one variant, prints its summary and returns it."""
    from finchladder.lab.run import play

    folder = out / variant.label if variant.label else out
    folder.mkdir(parents=True, exist_ok=True)
    play(variant.experiment, variant.folder, folder, show)
    show.close()
    summary = write(folder)
    print_summary(summary, folder, variant.label)
    return summary


def write(folder: Path) -> dict[str, Any]:
    """Writes summary.json and report.html of a run's folder.

    Raises:
        Unusable: The folder holds no run.
    """
    from finchladder.lab import figures, report
    from finchladder.lab.check import Unusable

    try:
        summary = figures.write(folder)
        report.write(folder)
    except (OSError, ValueError) as e:
        raise Unusable(f"{folder}: {e}") from None
    return summary


def _total_usage(processes: Iterable[dict[str, float]]) -> dict[str, float]:
    """Returns the sums of the processes' resource usage."""
    several = list(processes)
    return {key: sum(p[key] for p in several) for key in ("cpu", "rss_mb", "fds", "starts")}


def print_summary(summary: dict[str, Any], folder: Path, label: str) -> None:
    """Prints the summary of a run."""
    s = summary
    rules = ", ".join(f"{name} {n}" for name, n in s["rules"].items())
    name = f"{s['name']} {label}".strip()
    lines = [f"{name}: {'valid' if s['valid'] else 'NO RESULT'}, seed {s['seed']}"]
    lines += [f"  not valid: {reason}" for reason in s["invalid"]]
    ends = f"served {s['served']}, refused {s['refused']}, failed {s['failed']}"
    lines.append(f"  offered {s['offered']}, answered {s['answered']}: {ends}")
    if wrong := s["kinds"].get("rude"):
        lines.append(f"  rude clients answered as no honest server may: {wrong}")
    lines.append(f"  lost {s['lost']}, run twice against the rules {s['duplicates']}; rules broken: {rules}")
    lines.append(f"  goodput {s['goodput_per_s']:.1f} jobs/s, G {s['g']:.3f}")
    for name, c in s["latency"].items():
        lines.append(f"  {name}: p50 {c['p50_ms']:.0f} ms, p99 {c['p99_ms']:.0f} ms")
    if s["spread"]:
        from finchladder.lab import spread

        lines.append(spread.rows([("  spread", s["spread"]), *s["spread"]["windows"].items()]))
    used = {**s["dispatchers"], "the lab": _total_usage(s["lab"].values())}
    if len(s["dispatchers"]) > MAX_DISPATCHER_LINES:
        used = {
            f"{len(s['dispatchers'])} dispatchers": _total_usage(s["dispatchers"].values()),
            "the lab": used["the lab"],
        }
    for name, d in used.items():
        cpu, memory = f"CPU {d['cpu']:.2f} of a core", f"{d['rss_mb']:.0f} MB"
        lines.append(f"  {name}: {cpu}, {memory}, {d['fds']:.0f} descriptors, {d['starts']:.0f} starts")
    print("\n".join([*lines, f"  report: {folder / 'report.html'}"]), flush=True)


def run_file(args: argparse.Namespace, show: "Show") -> bool:
    """Runs all variants of an experiment; returns whether all were valid."""
    from finchladder.lab import sweep
    from finchladder.lab.check import Unusable, load

    if args.repeats is not None and args.repeats < 1:
        raise Unusable("--repeats: at least 1")
    variants = load(args.file, args.sets, args.seed, args.repeats)
    out = output_folder(args.out, variants[0].experiment.name)
    if len(variants) > 1:
        sweep.note(out, [sweep.Played(v.label, v.settings, v.repeat) for v in variants])
    valid = [run_variant(v, out, show)["valid"] for v in variants]
    if len(variants) > 1:
        print(f"{sweep.write(out)}{out / 'sweep.html'}")
    return all(valid)


def compare_two(args: argparse.Namespace, show: "Show") -> bool:
    """Runs two experiments alternately and compares them; pair k runs with the seed plus k."""
    from finchladder.lab import compare
    from finchladder.lab.check import Unusable, load

    if args.pairs < compare.LEAST_PAIRS:
        raise Unusable(f"--pairs: at least {compare.LEAST_PAIRS}, as fewer give no confidence interval")
    sides = []
    for side, file in (("a", args.a), ("b", args.b or args.a)):
        sets = [*args.sets, *getattr(args, f"set_{side}")]
        if revision := getattr(args, f"rev_{side}"):
            sets.append(f'program.revision="{revision}"')
        sides.append(load(file, sets, args.seed, args.pairs))
    a, b = sides
    if [v.label for v in a] != [v.label for v in b]:
        raise Unusable(f"{args.b or args.a}: its matrix differs from that of {args.a}, so there are no pairs")
    if args.b is None and args.rev_a == args.rev_b and args.set_a == args.set_b:
        raise Unusable(
            "compare: A and B are the same; give a second file, or different --rev-a/-b or --set-a/-b"
        )
    out = output_folder(args.out, f"{a[0].experiment.name}-compare")
    pairs: dict[str, list[tuple[dict[str, Any], dict[str, Any]]]] = {}
    for va, vb in zip(a, b, strict=True):
        found = [run_variant(v, out / side, show) for side, v in (("a", va), ("b", vb))]
        point = ", ".join(f"{name} {value}" for name, value in va.settings.items())
        pairs.setdefault(point, []).append((found[0], found[1]))
    text = ""
    for point, of_point in pairs.items():
        rows = compare.compare(of_point, a[0].experiment.seed)
        text += (f"{point}\n" if point else "") + compare.table(rows, compare.doubts(of_point)) + "\n"
    (out / "compare.txt").write_text(text, "utf-8")
    print(text + f"{out / 'compare.txt'}")
    return all(s["valid"] for of_point in pairs.values() for pair in of_point for s in pair)


def report_folder(args: argparse.Namespace, show: "Show") -> bool:
    """Rewrites the reports of a run's folder."""
    from finchladder.lab import sweep
    from finchladder.lab.check import Unusable

    folder = args.folder.resolve()
    if not (folder / "runs.json").exists():
        print_summary(write(folder), folder, "")
        return True
    try:
        for played in sweep.noted(folder):
            if (folder / played.folder / "ledger").is_dir():
                write(folder / played.folder)
        print(f"{sweep.write(folder)}{folder / 'sweep.html'}")
    except (OSError, ValueError) as e:
        raise Unusable(f"{folder}: {e}") from None
    return True


def floor_file(args: argparse.Namespace, show: "Show") -> bool:
    """Prints the floors of each variant; with --into, writes those of the first to that run's folder."""
    import msgspec

    from finchladder.lab import decisions, floor, spread
    from finchladder.lab.check import Unusable, load

    if args.into is not None and not (args.into / "ledger").is_dir():
        raise Unusable(f"{args.into}: not the folder of a run")
    first: dict[str, Any] | None = None
    for variant in load(args.file, args.sets, args.seed, 1, processes=False):
        try:
            found = floor.floors(variant.experiment)
            if args.decisions:
                found["the program's decisions"] = decisions.figures(variant.experiment)
        except ValueError as e:
            raise Unusable(f"{args.file}: {e}") from None
        first = found if first is None else first
        print(f"{variant.experiment.name} {variant.label}".strip() + f", seed {variant.experiment.seed}")
        print(spread.rows(found.items()))
        for name, f in found.items():
            latencies = ", ".join(
                f"{c} p50 {v['p50_ms']:.0f} ms, p99 {v['p99_ms']:.0f} ms" for c, v in f["latency"].items()
            )
            print(f"  {name}: {latencies}")
    if args.into is not None:
        (args.into / "floors.json").write_bytes(msgspec.json.format(msgspec.json.encode(first), indent=1))
        write(args.into)
        print(f"report: {args.into / 'report.html'}")
    return True


def judge_folder(args: argparse.Namespace, show: "Show") -> bool:
    """Prints the findings of the rules in a run; returns whether there are none."""
    from finchladder.lab import judge, ledger
    from finchladder.lab.check import Unusable

    try:
        verdict = judge.judge(ledger.load(args.folder))
    except (OSError, ValueError) as e:
        raise Unusable(f"{args.folder}: {e}") from None
    for finding in verdict.findings:
        print(f"{finding.at:9.3f} s  {finding.rule}  {finding.kind}  {finding.text}")
    print(", ".join(f"{name} {n}" for name, n in verdict.rules.items()))
    return not verdict.kinds


def serve_file(args: argparse.Namespace, show: "Show") -> bool:
    """Runs an experiment's deployment without load until it is interrupted."""
    from finchladder.lab.check import load
    from finchladder.lab.run import serve

    variant = load(args.file, args.sets, args.seed, 1)[0]
    serve(
        variant.experiment, variant.folder, output_folder(args.out, f"{variant.experiment.name}-serve"), show
    )
    return True


COMMANDS = {
    "run": run_file,
    "compare": compare_two,
    "report": report_folder,
    "judge": judge_folder,
    "serve": serve_file,
    "floor": floor_file,
}
