"""Tables of a TOML file: their types, bounds and descriptions.

The checker, `config schema` and the operators' page are derived from these types. Every setting is
optional; UNSET marks one that is absent, so that a higher level overrides only what it sets. The printed
JSON schema takes docstrings of tables as descriptions, so tables are described by comments.
"""

from functools import cache
from typing import Annotated, Any, Literal, get_args

import msgspec
from msgspec import UNSET, Meta, UnsetType

from finchladder.config.options import SECTIONS
from finchladder.core.routing.routes import MAX_HEADERS, MAX_PATH_PARTS, MAX_ROUTES

ENDINGS = ("error", "overloaded", "timed_out", "unreachable", "broken", "cancelled", "void", "unknown")
NAME = r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z"
PATH = rf"\A(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+){{1,{MAX_PATH_PARTS}}}\Z"
TOKEN = r"\A[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}\Z"
VISIBLE = r"\A[!-~]([ -~]{0,254}[!-~])?\Z"
PERCENTILE = r"\Ap[1-9][0-9]?(\.[0-9]{1,2})?\Z"


class Part(msgspec.Struct, forbid_unknown_fields=True):
    """Base of every table."""


# The jobs that a route matches.
class MatchTable(Part):
    job_class: (
        Annotated[str, Meta(min_length=1, max_length=256, description="The job's class.")] | UnsetType
    ) = msgspec.field(default=UNSET, name="class")
    path: (
        Annotated[
            str,
            Meta(pattern=PATH, description="Whole parts from the left of the path; the first is the class."),
        ]
        | UnsetType
    ) = UNSET
    method: (
        Annotated[str, Meta(pattern=r"\A[A-Z]{1,16}\Z", description="The request's method.")] | UnsetType
    ) = UNSET
    headers: (
        Annotated[
            dict[Annotated[str, Meta(pattern=TOKEN)], Annotated[str, Meta(pattern=VISIBLE)]],
            Meta(max_length=MAX_HEADERS, description="Header fields and their values; `*` is any value."),
        ]
        | UnsetType
    ) = UNSET


# The backoff between attempts.
class BackoffTable(Part):
    base_s: (
        Annotated[
            float, Meta(ge=0, le=60, description="Wait before the first resend; doubled for each later one.")
        ]
        | UnsetType
    ) = UNSET
    most_s: Annotated[float, Meta(ge=0, le=60, description="The longest wait.")] | UnsetType = UNSET
    jitter: (
        Annotated[float, Meta(ge=0, le=1, description="Share of each wait that is left to chance.")]
        | UnsetType
    ) = UNSET


# The retry budget.
class BudgetTable(Part):
    share: (
        Annotated[
            float, Meta(ge=0, le=1, description="Resends, hedges among them, as a share of first sends.")
        ]
        | UnsetType
    ) = UNSET
    least_per_s: (
        Annotated[
            float, Meta(ge=0, le=1000, description="Resends a second that are allowed whatever the share is.")
        ]
        | UnsetType
    ) = UNSET
    window_s: (
        Annotated[float, Meta(ge=1, le=300, description="The sliding window over which both are counted.")]
        | UnsetType
    ) = UNSET
    repeats: (
        Annotated[
            bool, Meta(description="Whether a client's own retry, marked `X-Repeat: 1`, counts as a resend.")
        ]
        | UnsetType
    ) = UNSET


# The queue of jobs that wait for concurrency.
class QueueTable(Part):
    length: (
        Annotated[
            int, Meta(ge=0, le=10_000, description="Jobs that may wait for `concurrency`; 0: none waits.")
        ]
        | UnsetType
    ) = UNSET
    order: (
        Annotated[
            Literal["worth", "deadline", "arrival"],
            Meta(description="Who goes first: the greatest worth, the nearest deadline, or the oldest."),
        ]
        | UnsetType
    ) = UNSET
    longest_wait_s: (
        Annotated[float, Meta(gt=0, le=3600, description="What waited so long is refused.")] | UnsetType
    ) = UNSET


# The workers that may receive a route's jobs.
class PoolTable(Part):
    kinds: (
        Annotated[
            list[Annotated[str, Meta(min_length=1, max_length=256)]],
            Meta(max_length=64, description="Kinds of real server that may get the jobs; empty: any."),
        ]
        | UnsetType
    ) = UNSET
    zones: (
        Annotated[
            list[Annotated[str, Meta(min_length=1, max_length=256)]],
            Meta(max_length=64, description="Zones whose real servers may get the jobs; empty: any."),
        ]
        | UnsetType
    ) = UNSET


class Limits(Part):
    """Settings of `[defaults]`, `[class.NAME]` and `[route.NAME]`; each overrides the preceding ones."""

    timeout_s: (
        Annotated[float, Meta(gt=0, le=3600, description="From a job's arrival to its answer.")] | UnsetType
    ) = UNSET
    attempt_timeout_s: (
        Annotated[float, Meta(gt=0, le=3600, description="Of one attempt, from its send.")] | UnsetType
    ) = UNSET
    attempts: (
        Annotated[
            int, Meta(ge=1, le=100, description="Sends of one job in all: the first, resends and hedges.")
        ]
        | UnsetType
    ) = UNSET
    backoff: BackoffTable | UnsetType = UNSET
    resend_on: (
        Annotated[
            list[
                Literal[
                    "error",
                    "overloaded",
                    "timed_out",
                    "unreachable",
                    "broken",
                    "cancelled",
                    "void",
                    "unknown",
                ]
            ],
            Meta(max_length=len(ENDINGS), description="Endings of an attempt after which it is sent again."),
        ]
        | UnsetType
    ) = UNSET
    hedge_after: (
        Annotated[
            str,
            Meta(pattern=PERCENTILE, description="A second copy after this percentile of the route's times."),
        ]
        | UnsetType
    ) = UNSET
    hedge_after_s: (
        Annotated[float, Meta(gt=0, le=3600, description="A second copy after so long.")] | UnsetType
    ) = UNSET
    hedge_most: (
        Annotated[
            float, Meta(ge=0, le=1, description="Share of the route's jobs that get a second copy; 0: none.")
        ]
        | UnsetType
    ) = UNSET
    retry_budget: BudgetTable | UnsetType = UNSET
    concurrency: (
        Annotated[
            int,
            Meta(ge=1, le=100_000, description="Jobs of the route that are open at once, at a dispatcher."),
        ]
        | UnsetType
    ) = UNSET
    queue: QueueTable | UnsetType = UNSET
    priority: (
        Annotated[
            int, Meta(ge=-100, le=100, description="Where routes compete for room, the highest goes first.")
        ]
        | UnsetType
    ) = UNSET
    pool: PoolTable | UnsetType = UNSET


# A route: limits and the jobs that they apply to.
class RouteTable(Limits):
    match: MatchTable | UnsetType = UNSET
    job_class: (
        Annotated[
            str, Meta(min_length=1, max_length=256, description="The class of the jobs, as `match.class`.")
        ]
        | UnsetType
    ) = msgspec.field(default=UNSET, name="class")


LEVELS: dict[str, type[Limits]] = {
    "defaults": Limits,
    "class": Limits,
    "route": RouteTable,
}
DEFAULT_TEXTS: dict[str, str] = {  # defaults of absent settings; settings without an entry have none
    "timeout_s": "the client's patience",
    "attempt_timeout_s": "none",
    "attempts": "the platform's try limit",
    "backoff.base_s": "0",
    "backoff.most_s": "1, or `base_s` where that is more",
    "backoff.jitter": "0.5",
    "resend_on": "all that the class allows",
    "hedge_after": "no hedges",
    "hedge_after_s": "no hedges",
    "hedge_most": "0.05",
    "retry_budget.share": "no budget",
    "retry_budget.least_per_s": "1",
    "retry_budget.window_s": "10",
    "retry_budget.repeats": "false",
    "concurrency": "no limit",
    "queue.length": "0",
    "queue.order": "worth",
    "queue.longest_wait_s": "the client's patience",
    "priority": "0",
    "pool.kinds": "any",
    "pool.zones": "any",
}


def nested_table(kind: Any) -> type[msgspec.Struct] | None:
    """Returns the table type of a field, or None if the field holds a value."""
    for one in get_args(kind):
        if isinstance(one, type) and issubclass(one, msgspec.Struct):
            return one
    return None


@cache
def field_types(kind: type[msgspec.Struct]) -> dict[str, Any]:
    """Returns the types of a table's fields by their names in the file."""
    return {f.encode_name: f.type for f in msgspec.structs.fields(kind)}


def json_schema() -> dict[str, Any]:
    """Returns the JSON Schema of a complete file."""
    named = Annotated[str, Meta(pattern=NAME)]
    routes = Annotated[dict[named, RouteTable], Meta(max_length=MAX_ROUTES)]
    parts: list[Any] = [(name, kind | UnsetType, UNSET) for name, kind in SECTIONS.items()]
    parts.append(("defaults", Limits | UnsetType, UNSET))
    parts.append(("classes", dict[str, Limits] | UnsetType, msgspec.field(default=UNSET, name="class")))
    parts.append(("route", routes | UnsetType, UNSET))
    found = msgspec.json.schema(msgspec.defstruct("File", parts, bases=(Part,)))
    # besides its settings, [door] contains a table for each class: [door.NAME]
    door = SECTIONS["door"].__name__
    found["$defs"][door]["additionalProperties"] = {"$ref": f"#/$defs/{door}"}
    head = {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": "The operator's file"}
    schema: dict[str, Any] = _portable(head | found)
    return schema


def _portable(found: Any) -> Any:
    r"""Converts regular expressions to ECMA 262, which has neither `\A` nor `\Z`."""
    if isinstance(found, dict):
        return {
            key: value.replace(r"\A", "^").replace(r"\Z", "$")
            if key == "pattern" and isinstance(value, str)
            else _portable(value)
            for key, value in found.items()
        }
    return [_portable(one) for one in found] if isinstance(found, list) else found
