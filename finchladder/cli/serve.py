"""`finchladder serve`, the default: reads the configuration and runs one dispatcher."""

import argparse
import asyncio
import gc
import logging
import os
import signal
import sys
import time
from functools import partial
from typing import TextIO

from loguru import logger

from finchladder.cli.front import add_config_option, add_log_format_option, fail
from finchladder.config.errors import InvalidFileError
from finchladder.config.option_files import read_options
from finchladder.config.options import Options, is_toml
from finchladder.config.platform import DispatcherSetup, read_setup
from finchladder.net.host_environment import HostEnvironment, Selector
from finchladder.net.node import DispatcherNode, OperatorFile

GC_THRESHOLDS = 5000, 10, 8  # a collection of the oldest generation after about 400,000 new objects (50 MB)


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    add_config_option(parser)
    add_log_format_option(parser)
    parser.set_defaults(log_format="text")


class ToLoguru(logging.Handler):
    """Forwards records of the standard library's logging to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs the record."""
        logger.opt(exception=record.exc_info).log(record.levelname, record.getMessage())


def log_to(sink: TextIO, node: str, log_format: str) -> int:
    """Configures logging as text, or as one JSON object a line; returns the sink's id."""
    logger.remove()
    logger.configure(extra={"node": node})  # only JSON log lines show the node
    return logger.add(sink, level="INFO", backtrace=False, diagnose=False, serialize=log_format == "json")


def read_file(path: str, setup: DispatcherSetup) -> OperatorFile:
    """Reads the operator's TOML file, with a callable that reads it again."""
    from finchladder.config.operator_file import read, read_unchanged  # not loaded with an INI file

    arguments = path, setup.settings, setup.limits.memory_mb
    return OperatorFile(read(*arguments), partial(read_unchanged, *arguments, time.sleep))


async def serve(
    setup: DispatcherSetup, options: Options, file: OperatorFile | None, machine: HostEnvironment
) -> None:
    """Runs the dispatcher until it is shut down."""
    # Jobs leave no reference cycles, so collections free almost nothing. With 10,000 workers, a full one
    # would stall the event loop for 100 ms and more; so it is rare, and skips objects that exist at the start
    gc.set_threshold(*GC_THRESHOLDS)
    node = DispatcherNode(setup, options, partial(read_setup, os.environ), machine, file=file)
    machine.freeze_objects()
    await node.serve()


def run_dispatcher(setup: DispatcherSetup, options: Options, file: OperatorFile | None) -> None:
    """Creates the event loop and runs the dispatcher on it."""
    if options.overload is None:
        asyncio.run(serve(setup, options, file, HostEnvironment(freeze_objects=gc.freeze)))
        return
    selector = Selector()
    machine = HostEnvironment(idle=selector.idle, freeze_objects=gc.freeze)
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
        runner.run(serve(setup, options, file, machine))


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    # ignored until the event loop handles it, so that it never ends the process
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        setup = read_setup(os.environ)
        file = read_file(args.config, setup) if args.config is not None and is_toml(args.config) else None
        options = file.loaded.options if file is not None else read_options(args.config)
        options.check([c.name for c in setup.settings.classes], setup.limits.memory_mb, setup.settings)
        if options.peers is not None:
            options.peers.addresses_including(setup.name)
    except InvalidFileError as e:
        print(e, file=sys.stderr)
        sys.exit(2)
    except ValueError as e:
        fail(str(e))
    log_to(sys.stderr, setup.name, args.log_format)
    logging.basicConfig(handlers=[ToLoguru()], level=logging.WARNING)
    try:
        run_dispatcher(setup, options, file)
    except OSError as e:
        fail(f"cannot listen at {setup.listen[0]}:{setup.listen[1]}: {e.strerror}")
