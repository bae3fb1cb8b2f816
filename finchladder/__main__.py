"""The command line. By default it starts one real dispatcher: reads what it is told, wires the actors."""

import argparse
import asyncio
import logging
import os
import signal
import sys
from collections.abc import Mapping, Sequence
from functools import partial
from pathlib import Path
from typing import NamedTuple, NoReturn

import msgspec
from loguru import logger

from finchladder import Dispatcher, api, snapshot
from finchladder.arrivals import Arrivals
from finchladder.capture import Capture
from finchladder.drills import Order
from finchladder.net.clients import Clients
from finchladder.net.disk import CaptureFiles
from finchladder.net.flows import Flows
from finchladder.net.http1 import parse_address
from finchladder.net.module import Clock, ModuleActor
from finchladder.net.recorder import Recorder
from finchladder.net.servers import RealServers
from finchladder.net.service import News, ServiceActor, read_list
from finchladder.options import CaptureOptions, Options, read_options
from finchladder.settings import read_seed, read_settings
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
    seed: str
    known: News | None
    settings: api.Settings
    caps: Caps
    limits: Limits


def read_file(env: Mapping[str, str], *needed: str) -> File:
    for name in (*needed, "NODE_CONFIG"):
        if not env.get(name):
            raise ValueError(f"{name} is not set")
    try:
        return msgspec.json.decode(Path(env["NODE_CONFIG"]).read_bytes(), type=File)
    except (OSError, msgspec.MsgspecError) as e:
        raise ValueError(f"{env['NODE_CONFIG']}: {e}") from None


def read_setup(env: Mapping[str, str]) -> Setup:
    """ValueError says in one line what can't be used."""
    file = read_file(env, "NODE_LISTEN")
    try:
        caps = msgspec.json.decode(file.settings, type=NetPart).caps
    except msgspec.MsgspecError as e:
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
        file.seed,
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


def capture_files(options: CaptureOptions, name: str, clock: Clock) -> CaptureFiles | None:
    if options.folder is None:
        return None
    files = CaptureFiles(options.folder, name, int(clock() * 1000), options.files, 2 * options.file_bytes)
    files.start()
    return files


async def serve(setup: Setup, options: Options) -> None:
    loop = asyncio.get_running_loop()
    left = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, left.set)
    clock = Clock()
    flows = Flows(JobStatus(options.status) if options.status is not None else None, clock)
    sockets = min(setup.limits.sockets, MOST_SOCKETS)
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
    servers = RealServers(flows, module, clock, setup.caps.connect_timeout_s, setup.caps.conn_idle_s, sockets)
    module.carrier = servers
    service = ServiceActor(setup.discovery, servers.update)
    classes = {c.name for c in setup.settings.classes}
    memory = setup.limits.memory_mb
    clients = Clients(
        classes, flows, module, clock, lambda: service.up, servers.called_back, sockets, memory, options,
        arrivals, capture,
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
    if files is not None:
        files.close()
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
        # without one the dispatcher says what it says to all who have no key
        key = os.environ.get(calls.KEY) or (options.drill and options.drill.key) or ""
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


def run_dump(args: argparse.Namespace) -> None:
    from finchladder import calls

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


def run_replay(args: argparse.Namespace) -> None:
    """Exit status as diff's: 0 all as it was, 1 some differs, 2 it can't be read."""
    from finchladder.replay import Replay

    def warn(text: str) -> None:
        print(f"finchladder: {args.file}: {' '.join(text.split())}", file=sys.stderr)

    try:
        file, options = read_file(os.environ), read_options(args.config)
        settings = read_settings(bytes(file.settings))
        options.check([c.name for c in settings.classes], file.limits.memory_mb)
        replay = Replay(settings, options, print, warn)
        lines = sys.stdin.buffer if args.file == "-" else open(args.file, "rb")  # noqa: SIM115
    except (ValueError, OSError) as e:
        fail(str(e))
    with lines:
        try:
            replay.run(lines)
        except ValueError as e:
            fail(f"{args.file}: {e}")
    warn(f"{replay.inputs} inputs, {replay.compared} decisions compared, {replay.differ} differ")
    sys.exit(1 if replay.differ else 0)


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
    capture = commands.add_parser("capture", help="what the running dispatcher has recorded")
    dump = capture.add_subparsers(required=True, metavar="COMMAND").add_parser(
        "dump", help="write the ring to standard output"
    )
    takes_config(dump, argparse.SUPPRESS).set_defaults(run=run_dump)
    replay = commands.add_parser("replay", help="decide a capture anew, and print what differs")
    takes_config(replay, argparse.SUPPRESS).set_defaults(run=run_replay)
    replay.add_argument("file", metavar="FILE", help="a capture, or - for standard input")
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
    try:
        args.run(args)
        sys.stdout.flush()
    except BrokenPipeError:  # whoever read the output has read enough
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)


if __name__ == "__main__":
    main()
