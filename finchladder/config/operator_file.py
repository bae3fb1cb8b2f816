"""Reading and complete validation of the operator's file, which becomes options and routes.

`load` is pure: it takes bytes and returns `Loaded`, or all findings as `FindingsError`, which it doesn't
raise.
"""

import hashlib
import re
import tomllib
from collections.abc import Callable
from typing import Any, NamedTuple

from finchladder.config.findings import (
    FindingCollector,
    FindingsError,
    UnreadableFileError,
    join_choices,
    quote_value,
)
from finchladder.config.ini_file import options_from_sections, read_ini, section_conflict
from finchladder.config.options import OFF, SECTIONS, Options, is_toml
from finchladder.config.positions import Path, Position, PositionIndex, ini_positions, toml_positions
from finchladder.config.precedence import ResolvedRoute, build_route, resolve_routes
from finchladder.config.route_checks import check_routes
from finchladder.config.toml_schema import LEVELS, NAME, Limits, RouteTable
from finchladder.config.value_checks import GivenValue, ValuesByPath, collect_values, type_name
from finchladder.core import api
from finchladder.core.routing.routes import MAX_ROUTES, NO_ROUTES, Routes

MAX_FILE_BYTES = 1024 * 1024
RECHECK_DELAY_S = 0.05  # time between two reads of a file that may be being written
MAX_READS = 20

_AT = re.compile(r" \(at line (\d+), column (\d+)\)")
_AT_END = " (at end of document)"
_DUPLICATE_PREFIXES = ("Cannot overwrite", "Cannot declare", "Duplicate inline table key", "Cannot mutate")
_NAME = re.compile(NAME)


class Loaded(NamedTuple):
    """A valid file; `version` is the first 12 hex digits of the SHA-256 of its content."""

    options: Options
    routes: Routes
    version: str
    resolved: tuple[ResolvedRoute, ...] = ()  # with the origin of each value
    positions: PositionIndex = PositionIndex()


def load(
    data: str | bytes, name: str, settings: api.Settings | None = None, memory_mb: int | None = None
) -> Loaded | FindingsError:
    """Parses and checks a file's content.

    Args:
        data: The content.
        name: The file's name; with the suffix .toml it is TOML, otherwise INI.
        settings: The platform's settings. Without them only checks that need none are
            made, and no routes are built.
        memory_mb: The platform's memory limit in MB, if known.
    """
    collector = FindingCollector(name)
    found = None
    try:
        raw = data.encode("utf-8", "surrogatepass") if isinstance(data, str) else data
        text = _decoded(collector, raw)
        version = hashlib.sha256(raw).hexdigest()[:12]
        if is_toml(name):
            found = _toml(collector, text, settings, version)
        else:
            found = Loaded(_ini(collector, text, name), NO_ROUTES, version)
        _check_platform(collector, found.options, settings, memory_mb)
    except UnreadableFileError:
        pass
    if collector.findings or found is None:
        return FindingsError(collector.findings.values())
    return found


def read(path: str, settings: api.Settings | None = None, memory_mb: int | None = None) -> Loaded:
    """Reads a file and checks it as `load` does.

    Raises:
        FindingsError: The file can't be read or isn't valid.
    """
    return _checked(path, _content(path), settings, memory_mb)


def read_unchanged(
    path: str, settings: api.Settings | None, memory_mb: int | None, wait: Callable[[float], object]
) -> Loaded:
    """Reads a file that may be being written, and checks it as `load` does.

    A file that is being written may be empty or end early, and be valid all the same. Therefore it is read
    until two reads return the same content, at most `MAX_READS` times.

    Args:
        path: The file's name.
        settings: The platform's settings.
        memory_mb: The platform's memory limit in MB, if known.
        wait: Waits for a number of seconds.

    Raises:
        FindingsError: The file can't be read or isn't valid.
    """
    data = _content(path)
    for _ in range(MAX_READS - 1):
        wait(RECHECK_DELAY_S)
        previous, data = data, _content(path)
        if data == previous:
            break
    return _checked(path, data, settings, memory_mb)


def _content(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as e:  # ValueError: an invalid file name
        collector = FindingCollector(path)
        collector.add("FL101", (), f"the file can't be read: {getattr(e, 'strerror', None) or e}")
        raise FindingsError(collector.findings.values()) from None


def _checked(path: str, data: bytes, settings: api.Settings | None, memory_mb: int | None) -> Loaded:
    found = load(data, path, settings, memory_mb)
    if isinstance(found, FindingsError):
        raise found
    return found


def _decoded(collector: FindingCollector, raw: bytes) -> str:
    if len(raw) > MAX_FILE_BYTES:
        collector.abort("FL102", Position(1, 1), "the file is larger than 1 MB")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as e:
        line = raw.count(b"\n", 0, e.start) + 1
        before = raw[raw.rfind(b"\n", 0, e.start) + 1 : e.start]
        position = Position(line, len(before.decode("utf-8", "replace")) + 1)
        collector.abort("FL103", position, f"byte 0x{raw[e.start]:02x} is not valid UTF-8")
    if text.startswith("\ufeff"):
        collector.abort("FL103", Position(1, 1), "the file begins with a byte order mark")
    return text


def _ini(collector: FindingCollector, text: str, name: str) -> Options:
    """Parses an INI file as a dispatcher does; an error becomes the only finding."""
    text = text.replace("\r\n", "\n").replace("\r", "\n")  # as when Python reads a text file
    collector.positions = ini_positions(text)
    try:
        return read_ini(text, name)
    except ValueError as e:
        reason = " ".join(str(e).split()).removeprefix(f"{name}: ")
        collector.abort("FL109", collector.positions.find_mentioned(reason), reason)


def _toml(collector: FindingCollector, text: str, settings: api.Settings | None, version: str) -> Loaded:
    document = _parsed(collector, text)
    for key in document:
        if key not in SECTIONS and key not in LEVELS:
            known = join_choices([*SECTIONS, *LEVELS])
            collector.add("FL111", (key,), f"there is no section {quote_value(key)}", known=known)
    options = _features(collector, {k: v for k, v in document.items() if k in SECTIONS})
    defaults = (
        _section(collector, Limits, document["defaults"], ("defaults",), 0)
        if "defaults" in document
        else None
    )
    classes = _named(collector, document, "class", Limits, 1)
    routes = _named(collector, document, "route", RouteTable, 2)
    if len(routes) > MAX_ROUTES:
        position = collector.positions.find(("route", list(routes)[MAX_ROUTES]))
        collector.abort("FL124", position, f"there are {len(routes)} routes", most=MAX_ROUTES)
    resolved = resolve_routes(collector, settings, defaults or {}, classes, routes)
    check_routes(collector, settings, defaults, classes, routes, resolved)
    usable = settings is not None and not collector.findings
    made = Routes(map(build_route, resolved)) if usable else NO_ROUTES
    return Loaded(options, made, version, tuple(resolved), collector.positions)


def _parsed(collector: FindingCollector, text: str) -> dict[str, Any]:
    collector.positions = toml_positions(text)
    if collector.positions.too_deep is not None:
        collector.abort("FL107", collector.positions.too_deep, "tables or arrays are nested too deeply")
    try:
        return tomllib.loads(text)
    except ValueError as e:
        message = str(e)
    except RecursionError:  # toml_positions() may stop before it reaches the deep nesting
        collector.abort("FL107", Position(1, 1), "tables or arrays are nested too deeply")
    m = _AT.search(message)
    lines = text.replace("\r\n", "\n").split("\n")
    position = Position(int(m[1]), int(m[2])) if m else Position(len(lines), len(lines[-1]) + 1)
    reason = quote_value(_AT.sub("", message).removesuffix(_AT_END))
    if message.startswith(_DUPLICATE_PREFIXES):
        twice = collector.positions.duplicate
        if twice is None:
            collector.abort("FL106", position, f"this key or table is defined twice: {reason}")
        key = quote_value(".".join(map(str, twice.path)))
        collector.abort(
            "FL106", twice.position, f"{key} is already defined at line {twice.first_position.line}"
        )
    if message.endswith(_AT_END):
        collector.abort("FL108", position, f"the file is incomplete: {reason}")
    collector.abort("FL105", position if m else Position(1, 1), f"invalid TOML: {reason}")


def _features(collector: FindingCollector, sections: dict[str, Any]) -> Options:
    """Converts the sections of optional features, which are the same in an INI file."""
    given: dict[str, dict[str, Any]] = {}
    before = len(collector.findings)
    for name, table in sections.items():
        if not isinstance(table, dict):
            collector.add("FL120", (name,), f"{name} is {type_name(table)}", table=f"[{name}]")
            continue
        classes = {k: v for k, v in table.items() if name == "door" and isinstance(v, dict)}
        own = {k: v for k, v in table.items() if k not in classes}
        # [door.NAME] without [door] doesn't limit other classes
        if own or not classes or (name,) in collector.positions.table_headers:
            given[name] = own
            collect_values(collector, SECTIONS[name], own, (name,), 0)
        for job_class, values in classes.items():
            given[f"{name}.{job_class}"] = values
            collect_values(collector, SECTIONS[name], values, (name, job_class), 0)
    if len(collector.findings) > before:
        return OFF
    for name, values in given.items():
        try:
            options_from_sections({n: v for n, v in given.items() if n in (name, "door")}, strict=True)
        except ValueError as e:  # conflicts between values
            reason = str(e).partition("]: ")[2]
            key = next((word for word in reason.split() if word in values), "")
            collector.add("FL123", (*name.split(".", 1), key), reason)
    if len(collector.findings) == before and (conflict := section_conflict(given)) is not None:
        collector.add("FL123", ("membership", "lead"), conflict)
    return options_from_sections(given, strict=True) if len(collector.findings) == before else OFF


def _named(
    collector: FindingCollector, document: dict[str, Any], level: str, kind: type[Limits], number: int
) -> dict[str, ValuesByPath]:
    """Collects the values of [class.NAME] or [route.NAME] by name."""
    tables = document.get(level, {})
    if not isinstance(tables, dict):
        collector.add("FL120", (level,), f"{level} is {type_name(tables)}", table=f"[{level}.NAME]")
        return {}
    for name in tables:
        if level == "route" and not _NAME.match(name):
            collector.add("FL121", (level, name), f"{quote_value(name)} can't be a route's name")
    found = {name: _section(collector, kind, table, (level, name), number) for name, table in tables.items()}
    return {name: own for name, own in found.items() if own is not None}


def _section(
    collector: FindingCollector, kind: type[Limits], table: Any, path: Path, level: int
) -> ValuesByPath | None:
    if not isinstance(table, dict):
        name = f"[{path[0]}.NAME]" if len(path) > 1 else f"[{path[0]}]"
        collector.add("FL120", path, f"{quote_value(path[-1])} is {type_name(table)}", table=name)
        return None
    found = collect_values(collector, kind, table, path, level)
    # recorded even if the value is invalid: route_checks only tests whether the route selects jobs
    for name in ("class", "match"):
        if name in table:
            found.setdefault(f"{name}?", GivenValue(True, (*path, name), level))
    if "hedge_after" in table and "hedge_after_s" in table:
        collector.add("FL125", (*path, "hedge_after_s"), "hedge_after and hedge_after_s are both set")
    return found


def _check_platform(
    collector: FindingCollector, options: Options, settings: api.Settings | None, memory_mb: int | None
) -> None:
    if settings is not None:
        known = [c.name for c in settings.classes]
        for name in options.door_of:
            if name not in known:
                path = next(
                    (p for p in (("door", name), (f"door.{name}",)) if p in collector.positions.by_path), ()
                )
                collector.add(
                    "FL161", path, f"there is no class {quote_value(name)}", known=join_choices(known)
                )
    if memory_mb is not None:
        try:
            options.check(options.door_of, memory_mb)
        except ValueError as e:
            collector.add("FL176", next(iter(collector.positions.by_path), ()), str(e))
