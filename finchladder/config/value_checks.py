"""Checks of a TOML file's values against the types of its tables; each fault becomes a finding."""

import math
import re
from typing import Any, NamedTuple, get_args

import msgspec
from msgspec import Meta

from finchladder.config.findings import FindingCollector, join_choices, quote_value
from finchladder.config.positions import Path
from finchladder.config.toml_schema import field_types, nested_table

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
PATTERNS = {  # settings with a pattern: the finding's code, and a description
    "hedge_after": ("FL119", '"p1" to "p99.99"'),
    "path": ("FL126", ""),
    "method": ("FL127", "capital letters, as POST"),
    "headers": ("FL127", "up to 4 names of letters, digits and dashes, with values of visible ASCII"),
    "key": ("FL119", "up to 256 visible characters"),
}


class GivenValue(NamedTuple):
    """A value with its path in the file and its level of precedence."""

    value: Any
    path: Path
    level: int = 0  # 0 [defaults], 1 [class.NAME], 2 [route.NAME]


ValuesByPath = dict[str, GivenValue]  # keys are dotted names such as backoff.base_s


def type_name(value: Any) -> str:
    """Returns the name of a value's TOML type for messages."""
    return _KINDS.get(type(value), "a date or time")


def collect_values(
    collector: FindingCollector, kind: type[msgspec.Struct], table: dict[str, Any], path: Path, level: int
) -> ValuesByPath:
    """Returns the valid values of a table by dotted name; the others become findings."""
    found: ValuesByPath = {}
    fields = field_types(kind)
    for key, value in table.items():
        here = (*path, key)
        if key not in fields:
            _add_unknown(collector, key, here, fields)
        elif (deeper := nested_table(fields[key])) is None:
            if _is_usable(collector, key, value, fields[key], here):
                found[key] = GivenValue(value, here, level)
        elif isinstance(value, dict):
            below = collect_values(collector, deeper, value, here, level)
            found |= {f"{key}.{name}": given for name, given in below.items()}
        else:
            names = ", ".join(field_types(deeper))
            collector.add(
                "FL120", here, f"{key} is {type_name(value)}", table=f"{key} = {{ .. }} with {names}"
            )
    return found


def _add_unknown(collector: FindingCollector, key: str, path: Path, fields: dict[str, Any]) -> None:
    bare = _UNIT.sub("", key)
    if f"{bare}_s" in fields:
        reason = f"{key} has no unit" if bare == key else f"{key} is not in seconds"
        collector.add("FL113", path, reason, instead=f"{bare}_s = SECONDS")
    else:
        collector.add(
            "FL112", path, f"there is no setting {quote_value(key)} here", known=join_choices(fields)
        )


def _is_usable(collector: FindingCollector, key: str, value: Any, kind: Any, path: Path) -> bool:
    """Returns whether a value has its type and is within its bounds."""
    if isinstance(value, float) and not math.isfinite(value):
        code, what = ("FL115", "no number") if math.isnan(value) else ("FL116", "infinite")
        collector.add(code, path, f"{key} is {what}")
        return False
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as e:
        _add_invalid(collector, key, value, kind, str(e), path)
        return False
    if isinstance(value, list):
        for n, one in enumerate(value):
            if one in value[:n]:
                collector.add("FL122", (*path, n), f"{key} names {quote_value(one)} twice")
                return False
    if key == "headers" and len({name.lower() for name in value}) < len(value):
        collector.add("FL122", path, "headers names a field twice, names being alike in any case")
        return False
    return True


def _add_invalid(
    collector: FindingCollector, key: str, value: Any, kind: Any, message: str, path: Path
) -> None:
    """Adds the finding that corresponds to a validation error of msgspec."""
    message, _, inner = message.partition(" - at `$")
    item: Any = value
    if isinstance(value, list) and (m := _ITEM.match(inner)) is not None:
        path, item = (*path, int(m[1])), value[int(m[1])]
    number = isinstance(value, int | float) and not isinstance(value, bool)
    if key == "hedge_after" and number:
        instead = 'hedge_after_s = SECONDS, or a percentile as hedge_after = "p95"'
        collector.add("FL113", path, "hedge_after has no unit", instead=instead)
    elif ", got" in message and not (key == "headers" and isinstance(value, dict)):
        wanted = message.partition("`")[2].partition("`")[0]
        collector.add("FL114", path, f"{key} is {type_name(item)}", wanted=_WANTED.get(wanted, wanted))
    elif key in PATTERNS:
        code, wanted = PATTERNS[key]
        collector.add(code, path, f"{key} can't be {quote_value(item)}", known=wanted, wanted=wanted)
    elif "enum" in message:
        collector.add("FL119", path, f"{key} can't be {quote_value(item)}", known=join_choices(choices(kind)))
    elif number and value < 0 and (least := _lower_bound(kind)) is not None and least >= 0:
        collector.add("FL117", path, f"{key} is negative", least=f"{least:g}")
    else:
        collector.add("FL118", path, f"{key} can't be {quote_value(item)}", bounds=describe_bounds(kind))


def _metas(kind: Any) -> list[Meta]:
    """Returns a type's constraints, outermost first, those of array items after the array's own."""
    own = [m for m in getattr(kind, "__metadata__", ()) if isinstance(m, Meta)]
    return own + [m for part in get_args(kind) for m in _metas(part)]


def outermost_meta(kind: Any) -> Meta:
    """Returns a type's outermost constraint, or an empty one."""
    return next(iter(_metas(kind)), Meta())


def choices(kind: Any) -> list[str]:
    """Returns the permitted strings of a Literal within a type."""
    found = [part for part in get_args(kind) if isinstance(part, str)]
    return found or [word for part in get_args(kind) for word in choices(part)]


def _lower_bound(kind: Any) -> float | None:
    meta = outermost_meta(kind)
    return meta.ge if meta.ge is not None else meta.gt


def describe_bounds(kind: Any) -> str:
    """Describes a type's bounds in words; empty if there are none."""
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
