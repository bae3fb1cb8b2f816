"""`finchladder etcd`: manages service entries and drain notices in etcd."""

import argparse
import asyncio
import json
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from finchladder.cli.front import add_config_option, fail
from finchladder.config.addresses import parse_address
from finchladder.config.endpoint_list import ServiceEntry, ServiceList
from finchladder.config.option_files import read_options
from finchladder.config.options import EtcdOptions
from finchladder.net.etcd.client import Client, EtcdError
from finchladder.net.etcd.keys import Keys

KEEP_ALIVES_PER_TTL = 3  # keep-alive requests for each TTL of a lease
RETRY_INTERVAL_S = 0.5  # wait after a failed attempt


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    add_config_option(parser)
    parser.add_argument(
        "--endpoint", action="append", metavar="URL", help="overrides [etcd]; may be repeated"
    )
    for name, text in (
        ("prefix", "prefix of all keys"),
        ("user", "user name"),
        ("password-file", "file with the password"),
        ("ca-file", "CA certificates, PEM"),
        ("cert-file", "client certificate, PEM"),
        ("key-file", "key of the client certificate, PEM"),
    ):
        parser.add_argument(f"--{name}", metavar="VALUE", help=f"{text}; overrides [etcd]")
    commands = parser.add_subparsers(dest="call", required=True, metavar="COMMAND")

    def command(name: str, text: str) -> argparse.ArgumentParser:
        return commands.add_parser(name, help=text, description=text)

    def entry(one: argparse.ArgumentParser) -> None:
        one.add_argument("--name", required=True, help="name of the worker")
        one.add_argument("--address", required=True, metavar="HOST:PORT", help="numeric address and port")
        one.add_argument("--zone", default="")
        one.add_argument("--type", default="", help="kind of the worker")
        one.add_argument("--group", type=int, default=0)
        one.add_argument("--weight", type=float, default=1.0)
        one.add_argument("--since-ms", type=float, help="start of the worker, Unix time in ms (default: now)")

    register = command(
        "register", "list a worker while this command runs; SIGTERM drains and then removes it"
    )
    entry(register)
    register.add_argument(
        "--ttl", type=int, default=5, metavar="S", help="TTL of the entry's lease in seconds (default: 5)"
    )
    register.add_argument(
        "--drain",
        type=float,
        default=5.0,
        metavar="S",
        dest="drain_s",
        help="seconds from draining to removal (default: 5)",
    )
    entry(command("put", "list a worker until it is removed"))
    for name, text in (
        ("drain", "drain workers regardless of their entries"),
        ("undrain", "remove drain notices"),
        ("remove", "remove workers and their drain notices"),
    ):
        one = command(name, text)
        one.add_argument("names", nargs="+", metavar="NAME")
        if name == "drain":
            one.add_argument(
                "--ttl",
                type=int,
                default=0,
                metavar="S",
                help="seconds until the notice expires (default: never)",
            )
    command("list", "print the workers as dispatchers read them, one a line")
    command("import", "list all workers of an endpoint list in the format of service discovery").add_argument(
        "file", metavar="FILE", help="JSON; - for standard input"
    )


def options_of(args: argparse.Namespace) -> EtcdOptions:
    """Returns the options of [etcd], overridden by those of the command line.

    Raises:
        ValueError: They can't be used.
    """
    found = read_options(args.config).etcd or EtcdOptions()
    names = ("prefix", "user", "password_file", "ca_file", "cert_file", "key_file")
    given: dict[str, Any] = {name: value for name in names if (value := getattr(args, name)) is not None}
    if args.endpoint:
        given["endpoints"] = args.endpoint
    try:
        return msgspec.convert(msgspec.structs.asdict(found) | given, EtcdOptions)
    except msgspec.ValidationError as e:
        raise ValueError(f"etcd: {e}") from None


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    calls: dict[str, Callable[[Client, argparse.Namespace], Awaitable[None]]] = {
        "register": register,
        "put": put,
        "drain": drain,
        "undrain": undrain,
        "remove": remove,
        "list": list_entries,
        "import": import_entries,
    }

    async def call(options: EtcdOptions) -> None:
        client = Client(options, asyncio.to_thread)
        try:
            await calls[args.call](client, args)
        finally:
            client.close()

    try:
        asyncio.run(call(options_of(args)))
    except ValueError as e:
        fail(str(e))
    except EtcdError as e:
        fail(f"etcd: {e}", 1)
    except KeyboardInterrupt:
        sys.exit(130)


def service_entry(args: argparse.Namespace, status: str = "ready") -> ServiceEntry:
    """Builds a service entry from the arguments.

    Raises:
        ValueError: An argument can't be used.
    """
    parse_address(args.address)
    since = args.since_ms if args.since_ms is not None else float(int(time.time() * 1000))
    check_names(args.name)
    return msgspec.convert(
        {
            "name": args.name,
            "address": args.address,
            "status": status,
            "zone": args.zone,
            "type": args.type,
            "group": args.group,
            "weight": args.weight,
            "since_ms": since,
        },
        ServiceEntry,
    )


def check_names(*names: str) -> None:
    """Validates names of workers.

    Raises:
        ValueError: A name can't be used.
    """
    for name in names:
        if not name or "/" in name or not name.isprintable():
            raise ValueError(
                f"{name!r} can't be the name of a worker: it needs printable characters without a slash"
            )


async def register(client: Client, args: argparse.Namespace) -> None:
    """Registers a worker until SIGTERM or SIGINT, then drains it; a second signal skips the wait.

    While etcd is unreachable it retries.
    """
    entry, stop = service_entry(args), asyncio.Event()
    skip_wait = asyncio.Event()
    if args.ttl < 1 or args.drain_s < 0:
        raise ValueError("--ttl must be 1 or more, and --drain 0 or more")

    def on_signal() -> None:
        (skip_wait if stop.is_set() else stop).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, on_signal)
    lease, is_unreachable = 0, False
    while not stop.is_set():
        try:
            if not lease or not await client.keep_alive(lease):
                lease, new = 0, await client.grant(args.ttl)
                await client.put(entry, new)
                lease = new
                print(f"{entry.name}: listed, lease {lease:x}", file=sys.stderr, flush=True)
            wait, is_unreachable = args.ttl / KEEP_ALIVES_PER_TTL, False
        except EtcdError as e:
            if not is_unreachable:
                print(f"{entry.name}: {e}; tried again until it answers", file=sys.stderr, flush=True)
            wait, is_unreachable = RETRY_INTERVAL_S, True
        await _wait_at_most(stop, wait)
    if lease:
        await client.put(service_entry(args, "draining"), lease)
        print(f"{entry.name}: draining", file=sys.stderr, flush=True)
        drain_end = time.monotonic() + args.drain_s
        while not skip_wait.is_set() and (left := drain_end - time.monotonic()) > 0:
            await client.keep_alive(lease)
            await _wait_at_most(skip_wait, min(left, args.ttl / KEEP_ALIVES_PER_TTL))
        await client.revoke(lease)
        print(f"{entry.name}: out", file=sys.stderr, flush=True)


async def _wait_at_most(event: asyncio.Event, seconds: float) -> None:
    with suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), seconds)


async def put(client: Client, args: argparse.Namespace) -> None:
    """Adds an entry without a lease."""
    await client.put(service_entry(args))
    print(f"{args.name}: listed")


async def drain(client: Client, args: argparse.Namespace) -> None:
    """Adds drain notices."""
    check_names(*args.names)
    lease = await client.grant(args.ttl) if args.ttl else 0
    for name in args.names:
        await client.drain(name, lease)
        print(f"{name}: drains" + (f" for {args.ttl} s" if lease else ""))


async def undrain(client: Client, args: argparse.Namespace) -> None:
    """Removes drain notices."""
    check_names(*args.names)
    for name in args.names:
        existed = await client.delete("drain", name)
        print(f"{name}: " + ("drains no more" if existed else "there was no notice"))


async def remove(client: Client, args: argparse.Namespace) -> None:
    """Removes entries and their drain notices."""
    check_names(*args.names)
    for name in args.names:
        existed = await client.delete("members", name)
        await client.delete("drain", name)
        print(f"{name}: " + ("out" if existed else "was not listed"))


async def list_entries(client: Client, args: argparse.Namespace) -> None:
    """Prints the entries; unusable keys are reported on standard error."""
    keys = Keys(client.options.prefix)
    async for item in client.scan():
        keys.apply(item)
    for line in keys.unreported:
        print(line, file=sys.stderr)
    entries, addresses = keys.workers(sorted(keys.names()))
    rows = [("NAME", "STATE", "ADDRESS", "ZONE", "TYPE", "NOTICE")]
    for e in entries:
        host, port = addresses.get(e.worker, ("-", 0))
        address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}" if port else "-"
        notice = "drain" if e.worker in keys.drains else "-"
        rows.append((e.worker, e.state.value, address, e.zone or "-", e.kind or "-", notice))
    widths = [max(len(row[n]) for row in rows) for n in range(6)]
    for row in rows:
        print("  ".join(f"{one:{width}}" for one, width in zip(row, widths, strict=True)).rstrip())


async def import_entries(client: Client, args: argparse.Namespace) -> None:
    """Adds all entries of a JSON endpoint list (ServiceList), or of the `known` list of a platform file."""
    try:
        data = sys.stdin.read() if args.file == "-" else Path(args.file).read_text("utf-8")
        found = json.loads(data)
        found = found.get("known", found) if isinstance(found, dict) else found
        entries = msgspec.convert(found, ServiceList).endpoints
        for e in entries:
            check_names(e.name)
            parse_address(e.address)
    except OSError as e:
        raise ValueError(f"{args.file}: {e.strerror}") from None
    except ValueError as e:
        raise ValueError(f"{args.file}: {e}") from None
    print(f"{await client.put_all(e for e in entries if e.status != 'gone')} real servers listed")
