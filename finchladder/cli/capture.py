"""`finchladder capture dump`: prints the capture of a running dispatcher."""

import argparse
import sys

import msgspec

from finchladder.cli import calls
from finchladder.cli.front import add_config_option, fail


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    dump = commands.add_parser("dump", help="write the recorded inputs and decisions to standard output")
    add_config_option(dump)
    dump.set_defaults(call=run_dump)


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    args.call(args)


def run_dump(args: argparse.Namespace) -> None:
    """Writes the capture to standard output."""
    try:
        opening = b""
        for chunk in calls.capture_dump():
            opening = opening or chunk.partition(b"\n")[0]
            sys.stdout.buffer.write(chunk)
        sys.stdout.flush()
        if lost := msgspec.json.decode(opening or b"{}").get("lost"):
            print(f"finchladder: the first {lost} inputs are no longer in the ring", file=sys.stderr)
    except ValueError as e:
        fail(str(e))
    except calls.CallError as e:
        fail(str(e), 1)
