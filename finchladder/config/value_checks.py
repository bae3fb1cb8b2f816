"""Values of a TOML file against the types of its tables: all that is wrong with them, each as a finding."""

import math
import re
from typing import Any, NamedTuple, get_args

import msgspec
from msgspec import Meta

from finchladder.config.findings import FindingCollector, listed, shown
from finchladder.config.positions import Path
from finchladder.config.toml_schema import fields_of, table_in

_UNIT = re.compile(r"_(ns|us|ms|sec|secs|seconds|m|min|mins|minutes|h|hours)\Z")
_ITEM = re.compile(r"\[(\d+)\]")
_KINDS = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "text",
    list: "an array",
    dict: "a table",
}
_WANTED = {
    "float": "a number",
    "int": "a whole number",
    "str": "text",
    "array": "an array",
    "object": "a table",
    "bool": "true or false",
}
PATTERNS = {  # settings whose text has a form of its own: the finding's code, and the form in words
    "hedge_after": ("FL119", '"p1" to "p99.99"'),
    "path": ("FL126", ""),
    "method": ("FL127", "capital letters, as POST"),
    "headers": ("FL127", "up to 4 names of letters, digits and dashes, with values of visible ASCII"),
    "key": ("FL119", "up to 256 visible characters"),
}


class GivenValue(NamedTuple):
    value: Any
    path: Path
    level: int = 0  # 0 [defaults], 1 [class.NAME], 2 [route.NAME]


ValuesByPath = dict[str, GivenValue]  # by dotted names, as backoff.base_s


def kind_of(value: Any) -> str:
    return _KINDS.get(type(value), "a date or time")


def collect_values(
    notes: FindingCollector, kind: type[msgspec.Struct], table: dict[str, Any], path: Path, level: int
) -> ValuesByPath:
    """What can be used of a table; the rest is noted."""
    found: ValuesByPath = {}
    fields = fields_of(kind)
    for key, value in table.items():
        here = (*path, key)
        if key not in fields:
            _unknown(notes, key, here, fields)
        elif (deeper := table_in(fields[key])) is None:
            if _usable(notes, key, value, fields[key], here):
                found[key] = GivenValue(value, here, level)
        elif isinstance(value, dict):
            below = collect_values(notes, deeper, value, here, level)
            found |= {f"{key}.{name}": said for name, said in below.items()}
        else:
            names = ", ".join(fields_of(deeper))
            notes.add("FL120", here, f"{key} is {kind_of(value)}", table=f"{key} = {{ .. }} with {names}")
    return found


def _unknown(notes: FindingCollector, key: str, path: Path, fields: dict[str, Any]) -> None:
    bare = _UNIT.sub("", key)
    if f"{bare}_s" in fields:
        reason = f"{key} has no unit" if bare == key else f"{key} is not in seconds"
        notes.add("FL113", path, reason, instead=f"{bare}_s = SECONDS")
    else:
        notes.add("FL112", path, f"there is no setting {shown(key)} here", known=listed(fields))


def _usable(notes: FindingCollector, key: str, value: Any, kind: Any, path: Path) -> bool:
    """Whether a value is of its type and within its bounds."""
    if isinstance(value, float) and not math.isfinite(value):
        code, what = ("FL115", "no number") if math.isnan(value) else ("FL116", "infinite")
        notes.add(code, path, f"{key} is {what}")
        return False
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as e:
        _unfit(notes, key, value, kind, str(e), path)
        return False
    if isinstance(value, list):
        for n, one in enumerate(value):
            if one in value[:n]:
                notes.add("FL122", (*path, n), f"{key} names {shown(one)} twice")
                return False
    if key == "headers" and len({name.lower() for name in value}) < len(value):
        notes.add("FL122", path, "headers names a field twice, names being alike in any case")
        return False
    return True


def _unfit(notes: FindingCollector, key: str, value: Any, kind: Any, said: str, path: Path) -> None:
    """From msgspec's words to a finding."""
    said, _, inner = said.partition(" - at `$")
    item: Any = value
    if isinstance(value, list) and (m := _ITEM.match(inner)) is not None:
        path, item = (*path, int(m[1])), value[int(m[1])]
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if key == "hedge_after" and number:
        instead = 'hedge_after_s = SECONDS, or a percentile as hedge_after = "p95"'
        notes.add("FL113", path, "hedge_after has no unit", instead=instead)
    elif ", got" in said and not (key == "headers" and isinstance(value, dict)):
        wanted = said.partition("`")[2].partition("`")[0]
        notes.add("FL114", path, f"{key} is {kind_of(item)}", wanted=_WANTED.get(wanted, wanted))
    elif key in PATTERNS:
        code, wanted = PATTERNS[key]
        notes.add(code, path, f"{key} can't be {shown(item)}", known=wanted, wanted=wanted)
    elif "enum" in said:
        notes.add("FL119", path, f"{key} can't be {shown(item)}", known=listed(choices(kind)))
    elif number and value < 0 and (least := _least(kind)) is not None and least >= 0:
        notes.add("FL117", path, f"{key} is negative", least=f"{least:g}")
    else:
        notes.add("FL118", path, f"{key} can't be {shown(item)}", bounds=bounds(kind))


def _metas(kind: Any) -> list[Meta]:
    """Outermost first, those of an array's items after its own."""
    own = [m for m in getattr(kind, "__metadata__", ()) if isinstance(m, Meta)]
    return own + [m for part in get_args(kind) for m in _metas(part)]


def meta_of(kind: Any) -> Meta:
    return next(iter(_metas(kind)), Meta())


def choices(kind: Any) -> list[str]:
    """The words of a Literal somewhere in the type."""
    found = [part for part in get_args(kind) if isinstance(part, str)]
    return found or [word for part in get_args(kind) for word in choices(part)]


def _least(kind: Any) -> float | None:
    meta = meta_of(kind)
    return meta.ge if meta.ge is not None else meta.gt


def bounds(kind: Any) -> str:
    """In words; empty where there are none."""
    meta, *inner = _metas(kind) or [Meta()]
    parts = [f"above {meta.gt:g}"] if meta.gt is not None else []
    parts += [f"from {meta.ge:g}"] if meta.ge is not None else []
    if meta.le is not None:
        parts.append(f"{'to' if meta.ge is not None else 'and at most'} {meta.le:g}")
    if meta.max_length is not None and meta.min_length is None:
        parts.append(f"of at most {meta.max_length} items")
    for one in (meta, *inner):
        if one.min_length is not None:
            most = f" to {one.max_length}" if one.max_length is not None else " or more"
            parts.append(f"{'each ' if one is not meta else ''}of {one.min_length}{most} characters")
    return " ".join(parts)
