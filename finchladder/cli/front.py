"""Entry point of the command line: imports the command's module, parses its arguments and runs it."""

import argparse
import os
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import NoReturn, Protocol, cast

COMMANDS = {  # a module in this package for each
    "serve": "start one dispatcher (the default)",
    "capture": "print what the running dispatcher has recorded",
    "replay": "repeat the decisions of a capture, and print differences",
    "drill": "inject delays or errors into jobs at the running dispatcher",
    "config": "check the operator's file, and explain its routes",
    "peers": "print a dispatcher's state of its peers and of shared budgets",
    "judge": "print a dispatcher's ejected workers; eject a worker, protect it, or undo that",
    "etcd": "list, drain and remove workers in the etcd that dispatchers watch",
    "sim": "run the program on a virtual clock and network, with seeded faults",
    "lab": "run experiments against dispatchers on loopback, and check the results",
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
    # no default: it would override a value given before the command
    parser.add_argument(
        "--config",
        metavar="FILE",
        default=argparse.SUPPRESS,
        help="the operator's file: TOML if its name ends in .toml, otherwise INI",
    )


def add_log_format_option(parser: argparse.ArgumentParser) -> None:
    """Adds the option --log-format."""
    parser.add_argument(
        "--log-format",
        choices=("text", "json"),
        default=argparse.SUPPRESS,
        help="format of the log on standard error (default: text)",
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
        top.error("--log-format is only for serve")
    return command, parser.parse_args(first.rest, argparse.Namespace(**{"config": None} | before))


def main(argv: Sequence[str] | None = None) -> None:
    """Runs the command line."""
    command, args = parse(argv)
    try:
        command.run(args)
        sys.stdout.flush()
    except BrokenPipeError:  # the reader closed the output
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)
