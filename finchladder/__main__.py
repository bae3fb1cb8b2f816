"""The command line. By default it starts one real dispatcher: reads what it is told, wires the actors."""

import argparse
import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple, NoReturn

import msgspec
from loguru import logger

from finchladder import Dispatcher, api
from finchladder.arrivals import Arrivals
from finchladder.drills import Order
from finchladder.net.clients import Clients
from finchladder.net.flows import Flows
from finchladder.net.http1 import parse_address
from finchladder.net.module import Clock, ModuleActor
from finchladder.net.servers import RealServers
from finchladder.net.service import News, ServiceActor, read_list
from finchladder.options import Options, read_options
from finchladder.settings import read_settings
from finchladder.status import JobStatus

LEAST_SOCKETS, MOST_SOCKETS, LEAST_MEMORY = 128, 1024, 32


class Caps(msgspec.Struct, rename="camel"):
    """What of the settings concerns connections alone, and so never reaches the module."""

    conn_idle_s: float
    connect_timeout_s: float


class NetPart(msgspec.Struct):
    caps: Caps


class Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: int = 192


class File(msgspec.Struct):
    """The file that NODE_CONFIG names."""

    settings: msgspec.Raw
    discovery: str = ""  # goes before NODE_DISCOVERY, which a file written later can't change
    seed: str = ""
    known: msgspec.Raw = msgspec.Raw(b"")
    limits: Limits = msgspec.field(default_factory=Limits)


class Setup(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    known: News | None
    settings: api.Settings
    caps: Caps
    limits: Limits


def read_setup(env: Mapping[str, str]) -> Setup:
    """ValueError says in one line what can't be used."""
    for name in ("NODE_LISTEN", "NODE_CONFIG"):
        if not env.get(name):
            raise ValueError(f"{name} is not set")
    try:
        file = msgspec.json.decode(Path(env["NODE_CONFIG"]).read_bytes(), type=File)
        caps = msgspec.json.decode(file.settings, type=NetPart).caps
    except (OSError, msgspec.MsgspecError) as e:
        raise ValueError(f"{env['NODE_CONFIG']}: {e}") from None
    if caps.conn_idle_s <= 0 or caps.connect_timeout_s <= 0:
        raise ValueError("settings: connIdleS and connectTimeoutS must be above 0")
    if file.limits.sockets < LEAST_SOCKETS or file.limits.memory_mb < LEAST_MEMORY:
        raise ValueError(f"limits: {LEAST_SOCKETS} sockets and {LEAST_MEMORY} MB are the least")
    discovery = file.discovery or env.get("NODE_DISCOVERY")
    if not discovery:
        raise ValueError("neither the configuration nor NODE_DISCOVERY names discovery")
    known = bytes(file.known)
    return Setup(
        env.get("NODE_NAME", "dispatcher"),
        parse_address(env["NODE_LISTEN"]),
        parse_address(discovery),
        int.from_bytes(file.seed.encode(), "big"),
        read_list(known, api.ListKind.STALE) if known not in (b"", b"null") else None,
        read_settings(bytes(file.settings)),
        caps,
        file.limits,
    )


class ToLoguru(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).log(record.levelname, record.getMessage())


def reread(env: Mapping[str, str], service: ServiceActor) -> None:
    """What SIGHUP asks for: the file's discovery is followed, all else holds from the next start."""
    try:
        discovery = read_setup(env).discovery
    except (ValueError, RecursionError) as e:
        logger.error("SIGHUP: {}; what was read before stays in force", " ".join(str(e).split()))
        return
    logger.info("SIGHUP: discovery is at {}:{}", *discovery)
    service.follow(discovery)


async def serve(setup: Setup, options: Options) -> None:
    loop = asyncio.get_running_loop()
    left = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, left.set)
    clock = Clock()
    flows = Flows(JobStatus(options.status) if options.status is not None else None, clock)
    sockets = min(setup.limits.sockets, MOST_SOCKETS)
    module = ModuleActor(Dispatcher(setup.settings, setup.seed), flows, clock)
    servers = RealServers(flows, module, clock, setup.caps.connect_timeout_s, setup.caps.conn_idle_s, sockets)
    module.carrier = servers
    service = ServiceActor(setup.discovery, servers.update)
    classes = {c.name for c in setup.settings.classes}
    memory = setup.limits.memory_mb
    clients = Clients(
        classes, flows, module, clock, lambda: service.up, servers.called_back, sockets, memory, options,
        Arrivals(options, setup.seed),
    )  # fmt: skip
    clients.listen_on(setup.listen)
    module.start()
    servers.start()
    if setup.known is not None:
        service.post(setup.known)
    service.start()
    # a SIGHUP with nobody to handle it would end the process, and with it all open flows
    loop.add_signal_handler(signal.SIGHUP, reread, os.environ, service)
    logger.info("{}: serving at {}:{}", setup.name, *setup.listen)
    await left.wait()
    logger.info("{}: leaving", setup.name)
    await clients.leave()
    logger.info("{}: left", setup.name)


def fail(message: str, status: int = 2) -> NoReturn:
    print(f"finchladder: {' '.join(message.split())}", file=sys.stderr)
    sys.exit(status)


def run_serve(args: argparse.Namespace) -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the loop handles it: it must never end the process
    try:
        setup, options = read_setup(os.environ), read_options(args.config)
        options.check([c.name for c in setup.settings.classes], setup.limits.memory_mb)
    except ValueError as e:
        fail(str(e))
    logger.remove()
    logger.add(sys.stderr, level="INFO", backtrace=False, diagnose=False)
    logging.basicConfig(handlers=[ToLoguru()], level=logging.WARNING)
    try:
        asyncio.run(serve(setup, options))
    except OSError as e:
        fail(f"cannot listen at {setup.listen[0]}:{setup.listen[1]}: {e.strerror}")


def run_drill(args: argparse.Namespace) -> None:
    from finchladder import calls  # its HTTP client takes 0.8 MB, which a dispatcher has no use for

    try:
        options = read_options(args.config)
        key = os.environ.get(calls.KEY) or (options.drill.key if options.drill is not None else None)
        if not key:
            raise ValueError(f"{calls.KEY} is not set, and no file named by --config has a key in [drill]")
        order = msgspec.convert(
            {"class": args.job_class, "share": args.share, "delay_ms": args.delay_ms, "for_s": args.for_s}
            | ({"abort_share": args.abort_share} if args.abort_share is not None else {}),
            Order,
        )
        print(calls.drill(order, key), end="")
    except (ValueError, msgspec.ValidationError) as e:
        fail(str(e))
    except calls.CallError as e:
        fail(str(e), 1)


def takes_config(parser: argparse.ArgumentParser, default: str | None) -> argparse.ArgumentParser:
    parser.add_argument("--config", metavar="FILE", default=default, help="the operator's INI file")
    return parser


def front() -> argparse.ArgumentParser:
    """Without a command it serves; --config may stand before the command or after it."""
    top = argparse.ArgumentParser("finchladder", description="A dispatcher for roster jobs.")
    takes_config(top, None).set_defaults(run=run_serve)
    commands = top.add_subparsers(title="commands", metavar="COMMAND")
    serving = commands.add_parser("serve", help="start one dispatcher (the default)")
    takes_config(serving, argparse.SUPPRESS).set_defaults(run=run_serve)
    drill = commands.add_parser("drill", help="rehearse slow or broken jobs at the running dispatcher")
    takes_config(drill, argparse.SUPPRESS).set_defaults(run=run_drill)
    drill.add_argument("--class", dest="job_class", required=True, metavar="CLASS")
    drill.add_argument("--share", type=float, required=True, help="part of the class's requests, 0 to 1")
    drill.add_argument("--delay-ms", type=float, default=0.0, help="hold them for so long (default: not)")
    drill.add_argument("--abort-share", type=float, help="answered 503 (default: --share, or 0 with a delay)")
    drill.add_argument("--for-s", type=float, required=True, help="seconds until it ends, at most 600")
    return top


def main(argv: Sequence[str] | None = None) -> None:
    args = front().parse_args(argv)
    args.run(args)


if __name__ == "__main__":
    main()
