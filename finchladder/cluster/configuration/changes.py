"""Changes of the configuration before they are committed: parsed, patched, validated, named by a digest."""

import json
from dataclasses import dataclass, field
from hashlib import blake2b
from math import isinf
from typing import Any

from finchladder.cluster.configuration.schema import (
    DOCUMENT_VALIDATOR,
    HIDDEN,
    ITEM_PROPERTIES,
    PATCH_VALIDATOR,
    PATCHED_VALIDATOR,
    first_problem,
)

MAX_FLOAT_DIGITS = 308  # every integer of that many digits, with its sign, is a finite float
TOO_LARGE = "a number is too large"
Document = dict[str, Any]  # a configuration or a patch, as parsed JSON


@dataclass(frozen=True)
class ValidChange:
    """A change that may be committed: the resulting configuration."""

    version: int
    document: bytes  # the full configuration, JSON


@dataclass(frozen=True)
class InvalidChange:
    """A change that must be rejected, and why."""

    problem: str


def change_digest(base: int, is_patch: bool, body: bytes) -> bytes:
    """Identifies a change by base version, method and bytes, so that a retry is recognised."""
    head = f"{base} {'PATCH' if is_patch else 'PUT'} ".encode()
    return blake2b(head + body, digest_size=16).digest()


def parse_object(body: bytes) -> Document | InvalidChange:
    """Parses a request body, which must be a JSON object."""
    try:
        value = json.loads(
            body, parse_constant=_reject_constant, parse_float=_parse_float, parse_int=_parse_int
        )
    except (ValueError, RecursionError) as error:
        return InvalidChange(f"not JSON: {error}")
    return value if isinstance(value, dict) else InvalidChange("not an object")


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _parse_float(digits: str) -> float:
    """Rejects what is valid JSON, but infinite as a float."""
    value = float(digits)
    if isinf(value):
        raise ValueError(TOO_LARGE)
    return value


def _parse_int(digits: str) -> int:
    """Rejects what is valid JSON, but too large for a float: dispatchers compute with floats."""
    if len(digits) > MAX_FLOAT_DIGITS:
        _parse_float(digits)
    return int(digits)


def validate_change(
    current: bytes, current_version: int, is_patch: bool, body: bytes
) -> ValidChange | InvalidChange:
    """Validates a change against the configuration that it builds on. CPU: O(size).

    Args:
        current: The configuration that is in place, JSON; empty if there is none.
        current_version: Its version; that of the change must be higher.
        is_patch: Whether the body is a patch, not a full configuration.
        body: The request body.
    """
    change = parse_object(body)
    if isinstance(change, InvalidChange):
        return change
    problem = first_problem(PATCH_VALIDATOR if is_patch else DOCUMENT_VALIDATOR, change)
    if problem:
        return InvalidChange(problem)
    if change["version"] <= current_version:
        return InvalidChange(f"version {change['version']} is not above {current_version}")
    document = _patched(json.loads(current or b"{}"), change) if is_patch else change
    if isinstance(document, InvalidChange):
        return document
    problem = semantic_problem(document)
    if problem:
        return InvalidChange(problem)
    try:
        encoded = json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    except RecursionError:
        return InvalidChange("configuration: is nested too deeply")
    except ValueError:  # stored by a version that took it
        return InvalidChange(f"configuration: {TOO_LARGE}, or none")
    return ValidChange(change["version"], encoded)


def _patched(current: Document, change: Document) -> Document | InvalidChange:
    """Applies a patch, and checks what neither its own schema nor that of the stored rest has checked."""
    try:
        document = _apply_patch(current, change)
    except _UnnamedItemsError as error:
        return InvalidChange(str(error))
    problem = first_problem(PATCHED_VALIDATOR, document)
    if problem:
        return InvalidChange(problem)
    if document["version"] != change["version"]:
        return InvalidChange("upsert/version: is not that of the patch")
    return document


class _UnnamedItemsError(Exception):
    """A patch names items of what is no list of named items."""

    def __init__(self, kind: str) -> None:
        # an unknown kind may be an API key in the wrong place
        super().__init__(f"{kind if kind in ITEM_PROPERTIES else HIDDEN}: is no list of items with names")


def _apply_patch(document: Document, change: Document) -> Document:
    """Applies `remove`, then `upsert`, by item name; a replaced item keeps its index.

    Raises:
        _UnnamedItemsError: What the patch names, or what is stored, is no list of named items.
    """
    result = dict(document)
    result["version"] = change["version"]
    for kind, names in change.get("remove", {}).items():
        if kind in result:  # else an empty list of tenants would come to be, which makes routes private
            removed = set(names)
            result[kind] = [item for item in _named(kind, result[kind]) if item["name"] not in removed]
    for kind, items in change.get("upsert", {}).items():
        if isinstance(items, list):
            merged = [*_named(kind, result.get(kind, [])), *_named(kind, items)]
            result[kind] = list({item["name"]: item for item in merged}.values())
        else:
            result[kind] = items
    return result


def _named(kind: str, items: object) -> list[Document]:
    if not isinstance(items, list) or not all(_has_name(item) for item in items):
        raise _UnnamedItemsError(kind)
    return items


def _has_name(item: object) -> bool:
    return isinstance(item, dict) and isinstance(item.get("name"), str)


def semantic_problem(document: Document) -> str:
    """Checks what the schema can't express: references, uniqueness, sums of weights.

    Returns:
        The first problem; empty if there is none.
    """
    services = {service["name"] for service in document.get("services", [])}
    earlier = _EarlierRoutes()
    for route in document.get("routes", []):
        problem = _route_problem(route, services, earlier)
        if problem:
            return f"route {route['name']}: {problem}"
    return _tenants_problem(document.get("tenants", []))


@dataclass
class _EarlierRoutes:
    """What no later route may repeat."""

    names: set[str] = field(default_factory=set)
    matches: set[tuple[str, str]] = field(default_factory=set)  # host and path prefix


def _route_problem(route: Document, services: set[str], earlier: _EarlierRoutes) -> str:
    match = (route["host"].lower(), route["path_prefix"])
    if match in earlier.matches:
        return "another route has its host and prefix"
    if route["name"] in earlier.names:
        return "its name is used twice"
    earlier.matches.add(match)
    earlier.names.add(route["name"])
    split = route.get("traffic_split")
    targets = [part["service"] for part in split] if split else [route.get("service")]
    unknown = [target for target in targets if target not in services]
    if unknown:
        return f"unknown service {unknown[0]}"
    if split and sum(part["weight"] for part in split) <= 0:
        return "its weights add up to 0"
    return ""


def _tenants_problem(tenants: list[Document]) -> str:
    """Checks that no name is used twice and no key is shared; a problem names tenants, never a key."""
    names: set[str] = set()
    holder_by_key: dict[str, str] = {}
    for tenant in tenants:
        name = tenant["name"]
        if name in names:
            return f"tenant {name}: its name is used twice"
        names.add(name)
        for key in tenant["api_keys"]:
            holder = holder_by_key.setdefault(key, name)
            if holder != name:
                return f"tenants {holder} and {name} share an API key"
    return ""
