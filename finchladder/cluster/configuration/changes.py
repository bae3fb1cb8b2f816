"""Parses and validates changes of the configuration before they are stored."""

import json
from dataclasses import dataclass
from hashlib import blake2b
from math import isinf

from finchladder.cluster.configuration.consistency import semantic_problem
from finchladder.cluster.configuration.patches import UnnamedItemsError, apply_patch
from finchladder.cluster.configuration.schema import (
    DOCUMENT_VALIDATOR,
    PATCH_VALIDATOR,
    PATCHED_VALIDATOR,
    Document,
    first_problem,
)

MAX_FLOAT_DIGITS = 308  # every integer of at most this length, including the sign, is a finite float
MAX_NESTING = 100  # parsers of other processes may have less of the stack left; see RFC 8259, section 9
TOO_LARGE = "a number exceeds the range of a float"


@dataclass(frozen=True)
class ValidChange:
    """A valid change: the configuration that results from it."""

    version: int
    document: bytes  # full configuration as JSON


@dataclass(frozen=True)
class InvalidChange:
    """A change that must be rejected, with the reason; lone surrogates in it are replaced, for messages."""

    problem: str

    def __post_init__(self) -> None:
        """Replaces the characters that UTF-8 cannot encode by `?`."""
        object.__setattr__(self, "problem", self.problem.encode(errors="replace").decode())


def change_digest(base: int, is_patch: bool, body: bytes) -> bytes:
    """Digest of the base version, method and body of a change; a retry of the change has the same digest."""
    head = f"{base} {'PATCH' if is_patch else 'PUT'} ".encode()
    return blake2b(head + body, digest_size=16).digest()


def parse_object(body: bytes) -> Document | InvalidChange:
    """Parses a request body, which must be a JSON object."""
    try:
        value = json.loads(
            body, parse_constant=_reject_constant, parse_float=_parse_float, parse_int=_parse_int
        )
    except (ValueError, RecursionError) as error:
        return InvalidChange(f"the body is not valid JSON: {error}")
    if not isinstance(value, dict):
        return InvalidChange("the body is not a JSON object")
    if _is_nested_deeper(value, MAX_NESTING):
        return InvalidChange(f"the body is nested more than {MAX_NESTING} levels deep")
    return value


def _is_nested_deeper(value: object, max_levels: int) -> bool:
    """Whether a JSON value contains objects or lists in more than `max_levels` levels. CPU: O(size)."""
    level = [value]
    for _ in range(max_levels + 1):
        containers = [item for item in level if isinstance(item, dict | list)]
        if not containers:
            return False
        level = [
            item
            for container in containers
            for item in (container.values() if isinstance(container, dict) else container)
        ]
    return True


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON value")


def _parse_float(digits: str) -> float:
    """Parses a number; rejects JSON numbers that are too large for a float."""
    value = float(digits)
    if isinf(value):
        raise ValueError(TOO_LARGE)
    return value


def _parse_int(digits: str) -> int:
    """Parses an integer; rejects values too large for a float, because dispatchers compute with floats."""
    if len(digits) > MAX_FLOAT_DIGITS:
        _parse_float(digits)
    return int(digits)


def validate_change(
    current: bytes, current_version: int, is_patch: bool, body: bytes
) -> ValidChange | InvalidChange:
    """Validates a change of the current configuration. CPU: O(size of the configuration and the change).

    Args:
        current: Current configuration as JSON; empty if there is none.
        current_version: Version of the current configuration; the version of the change must be higher.
        is_patch: Whether the body is a patch rather than a full configuration.
        body: Request body.
    """
    change = parse_object(body)
    if isinstance(change, InvalidChange):
        return change
    problem = first_problem(PATCH_VALIDATOR if is_patch else DOCUMENT_VALIDATOR, change)
    if problem:
        return InvalidChange(problem)
    version = int(change["version"])  # may be written as 7.0, and other processes can only decode an integer
    change["version"] = version
    if version <= current_version:
        return InvalidChange(f"version {version} must be above {current_version}")
    document = _patched(current, change) if is_patch else change
    if isinstance(document, InvalidChange):
        return document
    problem = semantic_problem(document)
    if problem:
        return InvalidChange(problem)
    try:
        encoded = json.dumps(document, separators=(",", ":"), allow_nan=False).encode()
    except RecursionError:  # the stored configuration is nested deeply, which earlier versions accepted
        return InvalidChange("configuration: is nested too deeply")
    except ValueError:  # the stored configuration contains infinity or NaN, which earlier versions accepted
        return InvalidChange(f"configuration: {TOO_LARGE} or is not a number")
    return ValidChange(version, encoded)


def _patched(current: bytes, change: Document) -> Document | InvalidChange:
    """Applies a patch, and validates the parts of the result that were not validated before."""
    try:
        document = apply_patch(json.loads(current or b"{}"), change)
    except UnnamedItemsError as error:
        return InvalidChange(str(error))
    except (ValueError, RecursionError):
        return InvalidChange("the stored configuration cannot be read; replace it by a full one")
    problem = first_problem(PATCHED_VALIDATOR, document)
    if problem:
        return InvalidChange(problem)
    if document["version"] != change["version"]:
        return InvalidChange("upsert/version: differs from the version of the patch")
    document["version"] = change["version"]
    return document
