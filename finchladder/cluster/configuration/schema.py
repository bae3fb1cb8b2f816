"""JSON schema of the operator's configuration, and of a patch; unknown fields are kept and pass.

Source: the operator's API in the project's protocol page. Amounts: `timeout_ms`, `target_latency_ms` and
`gap_aim_ms` are milliseconds, `weights_mb` and `adapter_size_mb` megabytes, `load_s` seconds.
"""

from typing import Any

from jsonschema import Draft202012Validator

NAME = {"type": "string", "minLength": 1}
POSITIVE = {"type": "number", "exclusiveMinimum": 0}
NOT_NEGATIVE = {"type": "number", "minimum": 0}

ROUTE: dict[str, Any] = {
    "type": "object",
    "required": ["name", "host", "path_prefix"],
    "properties": {
        "name": NAME,
        "host": NAME,
        "path_prefix": {"type": "string", "pattern": "^/(.*/)?$"},
        "kind": {"type": "string"},
        "timeout_ms": POSITIVE,
        "target_latency_ms": NOT_NEGATIVE,
        "gap_aim_ms": NOT_NEGATIVE,
        "priority": {"type": "integer"},
        "retries": {"type": "integer", "minimum": 0},
        "service": NAME,
        "traffic_split": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "required": ["service", "weight"],
                "properties": {"service": NAME, "weight": NOT_NEGATIVE},
            },
        },
    },
    "anyOf": [{"required": ["service"]}, {"required": ["traffic_split"]}],
}
MODEL: dict[str, Any] = {
    "type": "object",
    "required": ["name"],
    "properties": {"name": NAME, "weights_mb": NOT_NEGATIVE, "load_s": NOT_NEGATIVE},
}
SERVICE: dict[str, Any] = {
    "type": "object",
    "required": ["name"],
    "properties": {
        "name": NAME,
        "health_check": {"type": "string"},
        "max_connections": POSITIVE,
        "engine": {"type": "object", "properties": {"models": {"type": "array", "items": MODEL}}},
    },
}
LIMITS: dict[str, Any] = {"type": "object"}
ITEMS = {"routes": {"type": "array", "items": ROUTE}, "services": {"type": "array", "items": SERVICE}}
DOCUMENT: dict[str, Any] = {
    "type": "object",
    "required": ["version", "routes", "services"],
    "properties": {"version": {"type": "integer", "minimum": 1}, "limits": LIMITS, **ITEMS},
}
PATCH: dict[str, Any] = {
    "type": "object",
    "required": ["version"],
    "properties": {
        "version": {"type": "integer", "minimum": 1},
        "upsert": {"type": "object", "properties": ITEMS},
        "remove": {"type": "object", "additionalProperties": {"type": "array", "items": NAME}},
    },
}

document_validator = Draft202012Validator(DOCUMENT)
patch_validator = Draft202012Validator(PATCH)


def first_problem(validator: Draft202012Validator, value: object) -> str:
    """The place and text of the first finding; empty if there is none."""
    for error in validator.iter_errors(value):
        place = "/".join(str(part) for part in error.absolute_path)
        return f"{place or 'configuration'}: {error.message[:200]}"
    return ""
