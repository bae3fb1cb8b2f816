"""Entry point of the command line: imports the command's module, parses its arguments and runs it."""

import argparse
import os
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import NoReturn, Protocol, cast

COMMANDS = {  # each a file beside this one
    "serve": "start one dispatcher (the default)",
    "capture": "what the running dispatcher has recorded",
    "replay": "decide a capture anew, and print what differs",
    "drill": "rehearse slow or broken jobs at the running dispatcher",
    "config": "check the operator's file, and explain its routes",
    "peers": "what a running dispatcher knows of the others, and of the budgets that they share",
    "judge": "what a running dispatcher holds of real servers; put one out, keep it in, or let it be",
    "etcd": "list, drain and remove real servers in an etcd that dispatchers follow",
    "sim": "run the program on a virtual clock and network, with faults from a seed",
    "lab": "play experiments against dispatchers on loopback, and judge them",
}


class Command(Protocol):
    """Interface of a command's module."""

    def arguments(self, parser: argparse.ArgumentParser) -> None:
        """Adds the command's arguments to the parser."""

    def run(self, args: argparse.Namespace) -> None:
        """Runs the command."""


def fail(message: str, status: int = 2) -> NoReturn:
    """Ends the program with one line on standard error."""
    print(f"finchladder: {' '.join(message.split())}", file=sys.stderr)
    sys.exit(status)


def add_config_option(parser: argparse.ArgumentParser) -> None:
    """Adds the option --config."""
    # no default: what stands before the command must not be undone by what does not stand after it
    parser.add_argument(
        "--config",
        metavar="FILE",
        default=argparse.SUPPRESS,
        help="the operator's file, in TOML if it ends in .toml, else in INI",
    )


def add_log_format_option(parser: argparse.ArgumentParser) -> None:
    """Adds the option --log-format."""
    parser.add_argument(
        "--log-format",
        choices=("text", "json"),
        default=argparse.SUPPRESS,
        help="of what serve logs on standard error (default: text)",
    )


def parse(argv: Sequence[str] | None = None) -> tuple[Command, argparse.Namespace]:
    """Parses the command line; options may precede or follow the command, `serve` is the default.

    Only the requested command's module is imported: a dispatcher may have 32 MB only.
    """
    lines = "\n".join(f"  {name:12}{text}" for name, text in COMMANDS.items())
    top = argparse.ArgumentParser(
        "finchladder",
        description="A dispatcher for jobs.",
        epilog=f"commands:\n{lines}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_config_option(top)
    add_log_format_option(top)
    top.add_argument("command", nargs="?", default="serve", choices=COMMANDS, metavar="COMMAND")
    top.add_argument("rest", nargs=argparse.REMAINDER, help=argparse.SUPPRESS)
    first = top.parse_args(argv)
    command = cast(Command, import_module(f"finchladder.cli.{first.command}"))
    parser = argparse.ArgumentParser(f"finchladder {first.command}", description=COMMANDS[first.command])
    command.arguments(parser)
    before = {name: value for name, value in vars(first).items() if name in ("config", "log_format")}
    if "log_format" in before and first.command != "serve":
        top.error("--log-format is for serve alone")
    return command, parser.parse_args(first.rest, argparse.Namespace(**{"config": None} | before))


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the command line."""
    command, args = parse(argv)
    try:
        command.run(args)
        sys.stdout.flush()
    except BrokenPipeError:  # whoever read the output has read enough
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)
