"""`finchladder judge`: prints a dispatcher's outlier detection, or overrides it for one worker."""

import argparse
import os
import sys

import msgspec

from finchladder.cli import calls
from finchladder.cli.front import add_config_option, fail
from finchladder.config.addresses import parse_address
from finchladder.config.option_files import read_options

UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0}


def duration(text: str) -> float:
    """Parses a duration such as 90s, 10m or 1h to seconds."""
    try:
        return float(text[:-1]) * UNITS[text[-1]]
    except (ValueError, KeyError, IndexError):
        raise argparse.ArgumentTypeError(f"{text!r} is not like 90s, 10m or 1h") from None


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    add_config_option(parser)
    parser.add_argument(
        "server",
        nargs="?",
        metavar="NAME",
        help="name of a worker; without it, print workers under suspicion",
    )
    what = parser.add_mutually_exclusive_group()
    what.add_argument(
        "--out", action="store_const", dest="stance", const="out", help="eject it: it gets no jobs"
    )
    what.add_argument(
        "--in", action="store_const", dest="stance", const="in", help="protect it from ejection"
    )
    what.add_argument("--let", action="store_const", dest="stance", const="let", help="remove the override")
    parser.add_argument(
        "--for",
        dest="for_s",
        type=duration,
        default=600.0,
        metavar="10m",
        help="duration of the override (default: 10m)",
    )
    parser.add_argument(
        "--why", default="", metavar="TEXT", help="reason, up to 80 characters, shown with the override"
    )
    parser.add_argument("--at", metavar="HOST:PORT", help="the dispatcher's address (default: NODE_LISTEN)")


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    try:
        at = parse_address(args.at) if args.at else None
        if (args.server is None) != (args.stance is None):
            raise ValueError("NAME needs one of --out, --in, --let, and these need NAME")
        if args.server is None:
            sys.stdout.write("".join(f"{line}\n" for line in format_answer(calls.get("/_judge", at))))
            return
        options = read_options(args.config)
        key = (
            os.environ.get(calls.OUTLIER_KEY_VARIABLE) or (options.judgement and options.judgement.key) or ""
        )
        order = {"server": args.server, "stance": args.stance, "for_s": args.for_s, "why": args.why}
        print(calls.override_worker(order, key, at), end="")
    except ValueError as e:
        fail(str(e))
    except calls.CallError as e:
        fail(str(e), 1)


def format_answer(answer: str) -> list[str]:
    """Formats the dispatcher's answer, a line for each worker."""
    found = []
    for entry in msgspec.json.decode(answer):
        of = f" for {entry['class']}" if "class" in entry else ""
        why = f", {entry['why']}" if entry.get("why") else ""
        stage = f", stage {entry['stage']}" if entry.get("stage") else ""
        score = f", score {entry['score']:g}" if "score" in entry else ""
        found.append(
            f"{entry['server']}{of}: {entry['state']}{stage}, {entry['left_s']:g} s left,"
            f" by {entry['by'] or 'evidence'}{score}{why}"
        )
    return found or ["nobody is in question"]
