"""`finchladder capture dump`: what the running dispatcher has recorded."""

import argparse
import sys

import msgspec

from finchladder.cli import calls
from finchladder.cli.front import fail, takes_config


def arguments(parser: argparse.ArgumentParser) -> None:
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    dump = commands.add_parser("dump", help="write the ring to standard output")
    takes_config(dump)
    dump.set_defaults(call=run_dump)


def run(args: argparse.Namespace) -> None:
    args.call(args)


def run_dump(args: argparse.Namespace) -> None:
    try:
        opening = b""
        for piece in calls.capture_dump():
            opening = opening or piece.partition(b"\n")[0]
            sys.stdout.buffer.write(piece)
        sys.stdout.flush()
        if lost := msgspec.json.decode(opening or b"{}").get("lost"):
            print(f"finchladder: the ring does not hold its first {lost} inputs any more", file=sys.stderr)
    except ValueError as e:
        fail(str(e))
    except calls.CallError as e:
        fail(str(e), 1)
