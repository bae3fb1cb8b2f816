"""`finchladder serve`, the default: starts one real dispatcher. Reads what it is told, wires the actors."""

import argparse
import asyncio
import logging
import os
import resource
import signal
import sys
from collections.abc import Mapping
from functools import partial
from typing import TextIO

from loguru import logger

from finchladder.cli.front import fail, takes_config, takes_log_format
from finchladder.config.options import CaptureOptions, Options, Refused, read_options
from finchladder.config.platform import Setup, read_setup
from finchladder.config.settings import read_seed
from finchladder.core.bodies import BodyRoom
from finchladder.core.leaving import Leaving
from finchladder.core.policy import Dispatcher
from finchladder.features import snapshot
from finchladder.features.arrivals import Arrivals
from finchladder.features.capture import Capture
from finchladder.features.status import JobStatus
from finchladder.net.clients import Clients
from finchladder.net.control import Controls
from finchladder.net.disk import CaptureFiles
from finchladder.net.flows import Flows
from finchladder.net.front import Front
from finchladder.net.intake import Intake
from finchladder.net.module import Clock, ModuleActor
from finchladder.net.recorder import Recorder
from finchladder.net.servers import RealServers
from finchladder.net.service import ServiceActor
from finchladder.net.timers import Timers


def arguments(parser: argparse.ArgumentParser) -> None:
    takes_config(parser)
    takes_log_format(parser)
    parser.set_defaults(log_format="text")


class ToLoguru(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(record.levelname, record.getMessage())


def log_to(sink: TextIO, node: str, log_format: str) -> int:
    """As text, or as one JSON object a line: `text`, and `record` with what was bound to it in `extra`."""
    logger.remove()
    logger.configure(extra={"node": node})  # the text does not show it
    return logger.add(
        sink, level="INFO", backtrace=False, diagnose=False, serialize=log_format == "json"
    )


def reread(env: Mapping[str, str], service: ServiceActor) -> None:
    """What SIGHUP asks for: the file's discovery is followed, all else holds from the next start."""
    try:
        discovery = read_setup(env).discovery
    except (ValueError, RecursionError) as e:
        logger.error("SIGHUP: {}; what was read before stays in force", " ".join(str(e).split()))
        return
    logger.info("SIGHUP: discovery is at {}:{}", *discovery)
    service.follow(discovery)


def capture_files(options: CaptureOptions, name: str, clock: Clock) -> CaptureFiles | None:
    if options.folder is None:
        return None
    files = CaptureFiles(options.folder, name, int(clock() * 1000), options.files, 2 * options.file_bytes)
    files.start()
    return files


def allow_descriptors(sockets: int) -> None:
    """The system's soft limit is raised to what the configuration says; its hard limit is the operator's."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = sockets if hard == resource.RLIM_INFINITY else min(sockets, hard)
    if soft != resource.RLIM_INFINITY and soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    if most < sockets:
        logger.warning("limits: {} sockets are configured, and the system allows {}", sockets, most)


async def serve(setup: Setup, options: Options) -> None:
    loop = asyncio.get_running_loop()
    left = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, left.set)
    clock = Clock()
    sockets = setup.limits.sockets
    allow_descriptors(sockets)
    flows = Flows(JobStatus(options.status) if options.status is not None else None, clock, sockets)
    seed = read_seed(setup.seed)
    dispatcher, arrivals = Dispatcher(setup.settings, seed), Arrivals(options, seed)
    module = ModuleActor(dispatcher, flows, clock)
    capture, files = None, None
    if options.capture is not None:
        files = capture_files(options.capture, setup.name, clock)
        state = partial(snapshot.take, dispatcher, arrivals)
        capture = Capture(options.capture, setup.seed, state, files)
        capture.begin(clock())
        module.tap = arrivals.tap = Recorder(capture)
    timers = Timers(clock)
    caps = setup.caps
    servers = RealServers(flows, module, timers, caps.connect_timeout_s, caps.conn_idle_s, sockets)
    module.carrier = servers
    service = ServiceActor(setup.discovery, servers.update, servers.retire)
    classes = {c.name for c in setup.settings.classes}
    intake = Intake(classes, flows, module, timers, arrivals, Leaving(), sockets)
    controls = Controls(clock, classes, options, flows.status, arrivals, capture)
    front = Front(intake, controls, lambda: service.up, servers.called_back)
    bodies = BodyRoom(setup.limits.memory_mb * 1024 * 1024, options.memory())
    clients = Clients(front, bodies, sockets)
    clients.listen_on(setup.listen)
    servers.start()
    service.start(setup.known)
    # a SIGHUP with nobody to handle it would end the process, and with it all open flows
    loop.add_signal_handler(signal.SIGHUP, reread, os.environ, service)
    logger.info("{}: serving at {}:{}", setup.name, *setup.listen)
    await left.wait()
    logger.info("{}: leaving", setup.name)
    await clients.leave()
    if files is not None:
        files.close()
    logger.info("{}: left", setup.name)


def run(args: argparse.Namespace) -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it: it must never end the process
    try:
        setup = read_setup(os.environ)
        options = read_options(args.config, setup.settings, setup.limits.memory_mb)
        options.check([c.name for c in setup.settings.classes], setup.limits.memory_mb)
    except Refused as e:
        print(e, file=sys.stderr)
        sys.exit(2)
    except ValueError as e:
        fail(str(e))
    log_to(sys.stderr, setup.name, args.log_format)
    logging.basicConfig(handlers=[ToLoguru()], level=logging.WARNING)
    try:
        asyncio.run(serve(setup, options))
    except OSError as e:
        fail(f"cannot listen at {setup.listen[0]}:{setup.listen[1]}: {e.strerror}")
