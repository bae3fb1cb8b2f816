"""`finchladder replay`: repeats the decisions of a capture and prints the differences."""

import argparse
import os
import sys

from finchladder.cli.front import add_config_option, fail
from finchladder.config.option_files import read_options
from finchladder.config.options import is_toml
from finchladder.config.platform import read_platform_file
from finchladder.config.settings import read_settings
from finchladder.features.replay import Replay


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    add_config_option(parser)
    parser.add_argument("file", metavar="FILE", help="a capture, or - for standard input")


def run(args: argparse.Namespace) -> None:
    """Replays the file.

    Exit status 0: all decisions are the same; 1: some differ; 2: the file can't be read.
    """

    def warn(text: str) -> None:
        print(f"finchladder: {args.file}: {' '.join(text.split())}", file=sys.stderr)

    try:
        file, routes = read_platform_file(os.environ), None
        settings = read_settings(bytes(file.settings))
        if args.config is not None and is_toml(args.config):
            from finchladder.config.operator_file import read

            loaded = read(args.config, settings, file.limits.memory_mb)
            options, routes = loaded.options, loaded.routes
        else:
            options = read_options(args.config)
        options.check([c.name for c in settings.classes], file.limits.memory_mb)
        replay = Replay(settings, options, print, warn, routes)
        lines = sys.stdin.buffer if args.file == "-" else open(args.file, "rb")  # noqa: SIM115
    except (ValueError, OSError) as e:
        fail(str(e))
    with lines:
        try:
            replay.run(lines)
        except ValueError as e:
            fail(f"{args.file}: {e}")
    warn(f"{replay.inputs} inputs, {replay.compared} decisions compared, {replay.differences} differ")
    sys.exit(1 if replay.differences else 0)
