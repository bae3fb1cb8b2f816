"""The operator's file: read, checked whole, and made into options and routes; all of it or nothing.

`load` is pure: bytes in, `Loaded` or all `Findings` out. It raises no error, whatever the bytes are.
"""

import hashlib
import re
import tomllib
from typing import Any, NamedTuple

from finchladder.config.findings import FindingCollector, Findings, UnreadableFileError, listed, shown
from finchladder.config.ini_file import at_odds, options_of, read_ini
from finchladder.config.options import OFF, SECTIONS, Options, is_toml
from finchladder.config.positions import Path, Position, PositionIndex, ini_positions, toml_positions
from finchladder.config.precedence import ResolvedRoute, build, resolve
from finchladder.config.route_checks import check
from finchladder.config.toml_schema import LEVELS, NAME, Limits, RouteTable
from finchladder.config.value_checks import GivenValue, ValuesByPath, collect_values, kind_of
from finchladder.core import api
from finchladder.core.routing.routes import MAX_ROUTES, NO_ROUTES, Routes

MOST_BYTES = 1024 * 1024

_AT = re.compile(r" \(at line (\d+), column (\d+)\)")
_AT_END = " (at end of document)"
_TWICE = ("Cannot overwrite", "Cannot declare", "Duplicate inline table key", "Cannot mutate")
_NAME = re.compile(NAME)


class Loaded(NamedTuple):
    """`version` names the file's content: the first 12 hex digits of its SHA-256."""

    options: Options
    routes: Routes
    version: str
    resolved: tuple[ResolvedRoute, ...] = ()  # where each value of each route came from
    places: PositionIndex = PositionIndex()


def load(
    data: str | bytes, name: str, settings: api.Settings | None = None, memory_mb: int | None = None
) -> Loaded | Findings:
    """The file's content; `name` is the file's, whose ending says what it is: .toml, or else INI.

    Without the platform's settings only what needs none of them is checked, and no routes come out.
    """
    notes = FindingCollector(name)
    found = None
    try:
        raw = data.encode("utf-8", "surrogatepass") if isinstance(data, str) else data
        text = _decoded(notes, raw)
        version = hashlib.sha256(raw).hexdigest()[:12]
        if is_toml(name):
            found = _toml(notes, text, settings, version)
        else:
            found = Loaded(_ini(notes, text, name), NO_ROUTES, version)
        _against_platform(notes, found.options, settings, memory_mb)
    except UnreadableFileError:
        pass
    if notes.found or found is None:
        return Findings(notes.found.values())
    return found


def read(path: str, settings: api.Settings | None = None, memory_mb: int | None = None) -> Loaded:
    """As `load`, from a file; raises Findings."""
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except (OSError, ValueError) as e:  # ValueError: a name that no file can have
        notes = FindingCollector(path)
        notes.add("FL101", (), f"the file can't be read: {getattr(e, 'strerror', None) or e}")
        raise Findings(notes.found.values()) from None
    found = load(data, path, settings, memory_mb)
    if isinstance(found, Findings):
        raise found
    return found


def _decoded(notes: FindingCollector, raw: bytes) -> str:
    if len(raw) > MOST_BYTES:
        notes.stop("FL102", Position(1, 1), "the file is larger than 1 MB")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as e:
        line = raw.count(b"\n", 0, e.start) + 1
        before = raw[raw.rfind(b"\n", 0, e.start) + 1 : e.start]
        place = Position(line, len(before.decode("utf-8", "replace")) + 1)
        notes.stop("FL103", place, f"byte 0x{raw[e.start]:02x} is no UTF-8")
    if text.startswith("\ufeff"):
        notes.stop("FL103", Position(1, 1), "the file begins with a byte order mark")
    return text


def _ini(notes: FindingCollector, text: str, name: str) -> Options:
    """As a dispatcher reads it; what it would say is the one finding."""
    text = text.replace("\r\n", "\n").replace("\r", "\n")  # as reading a file as text does
    notes.places = ini_positions(text)
    try:
        return read_ini(text, name)
    except ValueError as e:
        reason = " ".join(str(e).split()).removeprefix(f"{name}: ")
        notes.stop("FL109", notes.places.told_of(reason), reason)


def _toml(notes: FindingCollector, text: str, settings: api.Settings | None, version: str) -> Loaded:
    whole = _parsed(notes, text)
    for key in whole:
        if key not in SECTIONS and key not in LEVELS:
            known = listed([*SECTIONS, *LEVELS])
            notes.add("FL111", (key,), f"there is no section {shown(key)}", known=known)
    options = _features(notes, {k: v for k, v in whole.items() if k in SECTIONS})
    defaults = _section(notes, Limits, whole["defaults"], ("defaults",), 0) if "defaults" in whole else None
    classes = _named(notes, whole, "class", Limits, 1)
    routes = _named(notes, whole, "route", RouteTable, 2)
    if len(routes) > MAX_ROUTES:
        place = notes.places.find(("route", list(routes)[MAX_ROUTES]))
        notes.stop("FL124", place, f"there are {len(routes)} routes", most=MAX_ROUTES)
    resolved = resolve(notes, settings, defaults or {}, classes, routes)
    check(notes, settings, defaults, classes, routes, resolved)
    usable = settings is not None and not notes.found
    made = Routes(map(build, resolved)) if usable else NO_ROUTES
    return Loaded(options, made, version, tuple(resolved), notes.places)


def _parsed(notes: FindingCollector, text: str) -> dict[str, Any]:
    notes.places = toml_positions(text)
    if notes.places.deep is not None:
        notes.stop("FL107", notes.places.deep, "tables or arrays are nested too deeply")
    try:
        return tomllib.loads(text)
    except ValueError as e:
        said = str(e)
    except RecursionError:  # the walk has a bound of its own; should it have lost its way, here is another
        notes.stop("FL107", Position(1, 1), "tables or arrays are nested too deeply")
    m = _AT.search(said)
    lines = text.replace("\r\n", "\n").split("\n")
    place = Position(int(m[1]), int(m[2])) if m else Position(len(lines), len(lines[-1]) + 1)
    reason = shown(_AT.sub("", said).removesuffix(_AT_END))
    if said.startswith(_TWICE):
        twice = notes.places.twice
        if twice is None:
            notes.stop("FL106", place, f"this is there already: {reason}")
        key = shown(".".join(map(str, twice.path)))
        notes.stop("FL106", twice.place, f"{key} is there already, at line {twice.first.line}")
    if said.endswith(_AT_END):
        notes.stop("FL108", place, f"the file ends too early: {reason}")
    notes.stop("FL105", place if m else Position(1, 1), f"this is no TOML: {reason}")


def _features(notes: FindingCollector, sections: dict[str, Any]) -> Options:
    """The sections that an INI file has too, with the same meaning."""
    given: dict[str, dict[str, Any]] = {}
    before = len(notes.found)
    for name, table in sections.items():
        if not isinstance(table, dict):
            notes.add("FL120", (name,), f"{name} is {kind_of(table)}", table=f"[{name}]")
            continue
        classes = {k: v for k, v in table.items() if name == "door" and isinstance(v, dict)}
        own = {k: v for k, v in table.items() if k not in classes}
        if own or not classes or (name,) in notes.places.tables:  # [door.NAME] alone limits no other class
            given[name] = own
            collect_values(notes, SECTIONS[name], own, (name,), 0)
        for job_class, values in classes.items():
            given[f"{name}.{job_class}"] = values
            collect_values(notes, SECTIONS[name], values, (name, job_class), 0)
    if len(notes.found) > before:
        return OFF
    for name, values in given.items():
        try:
            options_of({n: v for n, v in given.items() if n in (name, "door")}, strict=True)
        except ValueError as e:  # what no single value shows
            reason = str(e).partition("]: ")[2]
            key = next((word for word in reason.split() if word in values), "")
            notes.add("FL123", (*name.split(".", 1), key), reason)
    if len(notes.found) == before and (odds := at_odds(given)) is not None:
        notes.add("FL123", ("membership", "lead"), odds)
    return options_of(given, strict=True) if len(notes.found) == before else OFF


def _named(
    notes: FindingCollector, whole: dict[str, Any], level: str, kind: type[Limits], number: int
) -> dict[str, ValuesByPath]:
    """[class.NAME], [route.NAME]."""
    tables = whole.get(level, {})
    if not isinstance(tables, dict):
        notes.add("FL120", (level,), f"{level} is {kind_of(tables)}", table=f"[{level}.NAME]")
        return {}
    for name in tables:
        if level == "route" and not _NAME.match(name):
            notes.add("FL121", (level, name), f"{shown(name)} can't be a route's name")
    found = {name: _section(notes, kind, table, (level, name), number) for name, table in tables.items()}
    return {name: own for name, own in found.items() if own is not None}


def _section(
    notes: FindingCollector, kind: type[Limits], table: Any, path: Path, level: int
) -> ValuesByPath | None:
    if not isinstance(table, dict):
        name = f"[{path[0]}.NAME]" if len(path) > 1 else f"[{path[0]}]"
        notes.add("FL120", path, f"{shown(path[-1])} is {kind_of(table)}", table=name)
        return None
    found = collect_values(notes, kind, table, path, level)
    for name in ("class", "match"):  # whether it can be used or not: it says which jobs are meant
        if name in table:
            found.setdefault(f"{name}?", GivenValue(True, (*path, name), level))
    if "hedge_after" in table and "hedge_after_s" in table:
        notes.add("FL125", (*path, "hedge_after_s"), "hedge_after and hedge_after_s are both there")
    return found


def _against_platform(
    notes: FindingCollector, options: Options, settings: api.Settings | None, memory_mb: int | None
) -> None:
    if settings is not None:
        known = [c.name for c in settings.classes]
        for name in options.door_of:
            if name not in known:
                path = next((p for p in (("door", name), (f"door.{name}",)) if p in notes.places.of), ())
                notes.add("FL161", path, f"there is no class {shown(name)}", known=listed(known))
    if memory_mb is not None:
        try:
            options.check(options.door_of, memory_mb)
        except ValueError as e:
            notes.add("FL176", next(iter(notes.places.of), ()), str(e))
