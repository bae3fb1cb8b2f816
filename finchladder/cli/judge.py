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
        "server", nargs="?", metavar="NAME", help="of a real server; without one: who is in question"
    )
    what = parser.add_mutually_exclusive_group()
    what.add_argument("--out", action="store_const", dest="stance", const="out", help="no job goes there")
    what.add_argument("--in", action="store_const", dest="stance", const="in", help="no evidence puts it out")
    what.add_argument("--let", action="store_const", dest="stance", const="let", help="by evidence again")
    parser.add_argument(
        "--for", dest="for_s", type=duration, default=600.0, metavar="10m", help="default: 10m"
    )
    parser.add_argument("--why", default="", metavar="TEXT", help="up to 80 letters, shown wherever it holds")
    parser.add_argument("--at", metavar="HOST:PORT", help="which dispatcher (default: NODE_LISTEN)")


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    try:
        at = parse_address(args.at) if args.at else None
        if (args.server is None) != (args.stance is None):
            raise ValueError("a NAME and one of --out, --in, --let go together")
        if args.server is None:
            sys.stdout.write("".join(f"{line}\n" for line in format_answer(calls.get("/_judge", at))))
            return
        options = read_options(args.config)
        key = (
            os.environ.get(calls.OUTLIER_KEY_VARIABLE) or (options.judgement and options.judgement.key) or ""
        )
        order = {"server": args.server, "stance": args.stance, "for_s": args.for_s, "why": args.why}
        print(calls.judge(order, key, at), end="")
    except ValueError as e:
        fail(str(e))
    except calls.CallError as e:
        fail(str(e), 1)


def format_answer(shown: str) -> list[str]:
    """Formats the dispatcher's answer, a line for each worker."""
    found = []
    for held in msgspec.json.decode(shown):
        of = f" for {held['class']}" if "class" in held else ""
        why = f", {held['why']}" if held.get("why") else ""
        stage = f", stage {held['stage']}" if held.get("stage") else ""
        score = f", score {held['score']:g}" if "score" in held else ""
        found.append(
            f"{held['server']}{of}: {held['state']}{stage}, {held['left_s']:g} s left,"
            f" by {held['by'] or 'evidence'}{score}{why}"
        )
    return found or ["nobody is in question"]
