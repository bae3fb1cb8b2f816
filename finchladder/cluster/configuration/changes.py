"""A configuration's life before it is taken: read, patched, checked; what a digest names."""

import json
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from finchladder.cluster.configuration.schema import document_validator, first_problem, patch_validator

ITEM_LISTS = ("routes", "services")
Document = dict[str, Any]


@dataclass(frozen=True)
class ValidChange:
    """A change that may be taken."""

    version: int
    document: bytes  # JSON


@dataclass(frozen=True)
class InvalidChange:
    """A change that must be refused, and why."""

    problem: str


def change_digest(base: int, is_patch: bool, body: bytes) -> bytes:
    """Names one order of the operator: the same bytes on the same base are the same order."""
    head = f"{base} {'PATCH' if is_patch else 'PUT'} ".encode()
    return blake2b(head + body, digest_size=16).digest()


def parse_object(body: bytes) -> Document | InvalidChange:
    """Parses a body; the result is an object."""
    try:
        value = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return InvalidChange(f"not JSON: {error}")
    return value if isinstance(value, dict) else InvalidChange("not an object")


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def validate_change(
    current: bytes, current_version: int, is_patch: bool, body: bytes
) -> ValidChange | InvalidChange:
    """Checks a change against the configuration that it builds on. CPU: O(size)."""
    change = parse_object(body)
    if isinstance(change, InvalidChange):
        return change
    problem = first_problem(patch_validator if is_patch else document_validator, change)
    if problem:
        return InvalidChange(problem)
    if change["version"] <= current_version:
        return InvalidChange(f"version {change['version']} is not above {current_version}")
    document = _apply_patch(json.loads(current or b"{}"), change) if is_patch else change
    problem = semantic_problem(document)
    if problem:
        return InvalidChange(problem)
    return ValidChange(change["version"], json.dumps(document, separators=(",", ":")).encode())


def _apply_patch(document: Document, change: Document) -> Document:
    """Applies `upsert` and `remove` by name; a replaced item keeps its place."""
    result = dict(document)
    result["version"] = change["version"]
    for kind, names in change.get("remove", {}).items():
        gone = set(names)
        result[kind] = [item for item in result.get(kind, []) if item["name"] not in gone]
    for kind, items in change.get("upsert", {}).items():
        if not isinstance(items, list):
            result[kind] = items
            continue
        by_name = {item["name"]: item for item in result.get(kind, [])}
        by_name.update({item["name"]: item for item in items})
        result[kind] = list(by_name.values())
    return result


def semantic_problem(document: Document) -> str:
    """What the schema can't say: names that must exist, places that must differ, weights that must count."""
    services = {service["name"] for service in document.get("services", [])}
    places: set[tuple[str, str]] = set()
    names: set[str] = set()
    for route in document.get("routes", []):
        problem = _route_problem(route, services, places, names)
        if problem:
            return f"route {route['name']}: {problem}"
    return ""


def _route_problem(route: Document, services: set[str], places: set[tuple[str, str]], names: set[str]) -> str:
    place = route["host"].lower(), route["path_prefix"]
    if place in places:
        return "another route has its host and prefix"
    if route["name"] in names:
        return "its name is used twice"
    places.add(place)
    names.add(route["name"])
    split = route.get("traffic_split")
    targets = [part["service"] for part in split] if split else [route.get("service")]
    unknown = [target for target in targets if target not in services]
    if unknown:
        return f"unknown service {unknown[0]}"
    if split and sum(part["weight"] for part in split) <= 0:
        return "its weights add up to 0"
    return ""
