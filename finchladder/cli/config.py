"""`finchladder config`: checks the operator's file, explains routes, converts INI, prints the schema."""

import argparse
import os
import sys
from typing import Any

import msgspec

from finchladder.cli.front import fail
from finchladder.config.findings import FindingsError
from finchladder.config.operator_file import Loaded, read
from finchladder.config.platform import read_platform_file
from finchladder.config.render import explain, to_toml
from finchladder.config.settings import read_settings
from finchladder.config.toml_schema import json_schema
from finchladder.core import api


def arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's arguments to the parser."""
    commands = parser.add_subparsers(dest="call", required=True, metavar="COMMAND")

    def command(name: str, text: str) -> argparse.ArgumentParser:
        return commands.add_parser(name, help=text, description=text)

    def formats(one: argparse.ArgumentParser) -> None:
        one.add_argument("--format", choices=("text", "json"), default="text", help="(default: text)")

    check = command("check", "print all errors of the files, as a dispatcher would when it starts")
    check.add_argument("files", metavar="FILE", nargs="+")
    formats(check)
    why = command("explain", "print each setting of a route, and the line that it comes from")
    why.add_argument("file", metavar="FILE")
    why.add_argument("route", metavar="ROUTE")
    formats(why)
    command("schema", "print the JSON Schema of TOML files")
    command("convert", "print an INI file as TOML").add_argument("file", metavar="FILE")


def run(args: argparse.Namespace) -> None:
    """Runs the command; errors end the program with a message."""
    {"check": check, "explain": explain_route, "schema": print_schema, "convert": convert}[args.call](args)


def platform() -> tuple[api.Settings | None, int | None]:
    """Reads NODE_CONFIG as a dispatcher does; returns None for both values if it isn't set."""
    if not os.environ.get("NODE_CONFIG"):
        text = "NODE_CONFIG is not set: checked without the platform's settings"
        print(f"finchladder: {text}", file=sys.stderr)
        return None, None
    try:
        file = read_platform_file(os.environ)
        return read_settings(bytes(file.settings)), file.limits.memory_mb
    except ValueError as e:
        fail(str(e))


def check(args: argparse.Namespace) -> None:
    """Checks files; exit status 0 if all are valid, else 2."""
    settings, memory_mb = platform()
    verdicts = [_verdict(path, settings, memory_mb) for path in args.files]
    if args.format == "json":
        print(_json([_as_json(path, found) for path, found in verdicts]))
    for path, found in verdicts if args.format == "text" else ():
        if isinstance(found, FindingsError):
            print(found)
        else:
            print(f"{path}: can be used, version {found.version}, {_count(found)}")
    if any(isinstance(found, FindingsError) for _, found in verdicts):
        sys.exit(2)


def _verdict(
    path: str, settings: api.Settings | None, memory_mb: int | None
) -> tuple[str, Loaded | FindingsError]:
    try:
        return path, read(path, settings, memory_mb)
    except FindingsError as e:
        return path, e


def _count(found: Loaded) -> str:
    count = len({r.name for r in found.resolved})
    return "1 route" if count == 1 else f"{count} routes"


def _as_json(path: str, found: Loaded | FindingsError) -> dict[str, Any]:
    if isinstance(found, FindingsError):
        findings = [f._asdict() for f in found.reported]
        return {"file": path, "usable": False, "findings": findings, "more": found.omitted_count}
    return {"file": path, "usable": True, "version": found.version, "findings": [], "more": 0}


def _json(value: Any) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def _loaded(path: str) -> Loaded:
    try:
        return read(path, *platform())
    except FindingsError as e:
        print(e, file=sys.stderr)
        sys.exit(2)


def explain_route(args: argparse.Namespace) -> None:
    """Prints the settings of a route with their origins."""
    found = _loaded(args.file)
    names = sorted({r.name for r in found.resolved})
    if args.route not in names:
        fail(f"{args.file}: there is no route {args.route}; there are {', '.join(names) or 'none'}")
    parts = [explain(r, found.positions, args.file) for r in found.resolved if r.name == args.route]
    if args.format == "json":
        print(_json([part._asdict() | {"settings": [s._asdict() for s in part.settings]} for part in parts]))
    else:
        print("\n\n".join(map(str, parts)))


def print_schema(args: argparse.Namespace) -> None:
    """Prints the JSON Schema of a TOML file."""
    print(_json(json_schema()))


def convert(args: argparse.Namespace) -> None:
    """Prints an INI file as TOML."""
    _loaded(args.file)  # ends the program if the file is invalid
    try:
        print(to_toml(args.file), end="")
    except ValueError as e:
        fail(str(e))
