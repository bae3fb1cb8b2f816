"""JSON schemas of the operator's configuration and of patches; unknown fields are valid and are preserved.

Source: the operator's API in the project's protocol page. Units: `timeout_ms`, `target_latency_ms` and
`gap_aim_ms` are milliseconds, `weights_mb` and `adapter_size_mb` megabytes, `load_s` seconds.
"""

from typing import Any

from jsonschema import Draft202012Validator, ValidationError

TENANTS = "tenants"
REMOVE = "remove"  # field of a patch that lists the names of the items to remove
REDACTED = "..."  # replaces unknown names from a request in error messages; they may be misplaced API keys

NAME_SCHEMA = {"type": "string", "minLength": 1}
POSITIVE_SCHEMA = {"type": "number", "exclusiveMinimum": 0}
NON_NEGATIVE_SCHEMA = {"type": "number", "minimum": 0}

ROUTE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name", "host", "path_prefix"],
    "properties": {
        "name": NAME_SCHEMA,
        "host": NAME_SCHEMA,
        "path_prefix": {"type": "string", "pattern": "^/(.*/)?$"},
        "kind": {"type": "string"},
        "timeout_ms": POSITIVE_SCHEMA,
        "target_latency_ms": NON_NEGATIVE_SCHEMA,
        "gap_aim_ms": NON_NEGATIVE_SCHEMA,
        "priority": {"type": "integer"},
        "retries": {"type": "integer", "minimum": 0},
        "public": {"type": "boolean"},
        "service": NAME_SCHEMA,
        "traffic_split": {
            "type": "array",
            "minItems": 1,
            "items": {
                "type": "object",
                "required": ["service", "weight"],
                "properties": {"service": NAME_SCHEMA, "weight": NON_NEGATIVE_SCHEMA},
            },
        },
    },
    "anyOf": [{"required": ["service"]}, {"required": ["traffic_split"]}],
}
MODEL_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name"],
    "properties": {"name": NAME_SCHEMA, "weights_mb": NON_NEGATIVE_SCHEMA, "load_s": NON_NEGATIVE_SCHEMA},
}
SERVICE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name"],
    "properties": {
        "name": NAME_SCHEMA,
        "health_check": {"type": "string"},
        "max_connections": POSITIVE_SCHEMA,
        "engine": {"type": "object", "properties": {"models": {"type": "array", "items": MODEL_SCHEMA}}},
    },
}
# A tenant's name is sent in a header, so it must not contain control characters.
TENANT_NAME_SCHEMA: dict[str, Any] = {**NAME_SCHEMA, "not": {"pattern": r"[\x00-\x1f\x7f]"}}
TENANT_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name", "api_keys"],
    "properties": {
        "name": TENANT_NAME_SCHEMA,
        "api_keys": {"type": "array", "items": NAME_SCHEMA},
        "priority": {"type": "integer"},
        "unit": {"type": "string"},
        "raw_tokens": NON_NEGATIVE_SCHEMA,
        "rate_per_s": NON_NEGATIVE_SCHEMA,
        "burst": NON_NEGATIVE_SCHEMA,
    },
}
LIMITS_SCHEMA: dict[str, Any] = {"type": "object"}
ITEM_PROPERTIES = {
    "routes": {"type": "array", "items": ROUTE_SCHEMA},
    "services": {"type": "array", "items": SERVICE_SCHEMA},
    TENANTS: {"type": "array", "items": TENANT_SCHEMA},
}
DOCUMENT_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["version", "routes", "services"],
    "properties": {"version": {"type": "integer", "minimum": 1}, "limits": LIMITS_SCHEMA, **ITEM_PROPERTIES},
}
PATCH_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["version"],
    "properties": {
        "version": {"type": "integer", "minimum": 1},
        "upsert": {"type": "object", "properties": ITEM_PROPERTIES},
        REMOVE: {"type": "object", "additionalProperties": {"type": "array", "items": NAME_SCHEMA}},
    },
}
# Schema of the configuration that results from a patch. Routes and services are not validated again: this was
# done when they were stored, or as part of the patch. All other values are validated, because a version
# without tenant support may have stored an invalid value of `tenants`, and `upsert` can replace any top-level
# value.
PATCHED_SCHEMA: dict[str, Any] = {
    "type": "object",
    "properties": {
        **DOCUMENT_SCHEMA["properties"],
        "routes": {"type": "array"},
        "services": {"type": "array"},
    },
}

DOCUMENT_VALIDATOR = Draft202012Validator(DOCUMENT_SCHEMA)
PATCH_VALIDATOR = Draft202012Validator(PATCH_SCHEMA)
PATCHED_VALIDATOR = Draft202012Validator(PATCHED_SCHEMA)


def first_problem(validator: Draft202012Validator, value: object) -> str:
    """Path and description of the first violation of the schema; empty if there is none."""
    for error in validator.iter_errors(value):
        return f"{_path(error) or 'configuration'}: {_description(error)}"
    return ""


def _path(error: ValidationError) -> str:
    """Path of the violation; names unknown to the schema are redacted, as they may be misplaced API keys."""
    segments = list(error.absolute_path)
    if "additionalProperties" in error.absolute_schema_path:
        known = {REMOVE, *ITEM_PROPERTIES}
        segments = [
            segment if isinstance(segment, int) or segment in known else REDACTED for segment in segments
        ]
    return "/".join(str(segment) for segment in segments)


def _description(error: ValidationError) -> str:
    """Describes the violation by the schema only, because any value may be a misplaced API key."""
    if error.validator == "required":
        return error.message  # contains only the name of the missing field
    limit = error.validator_value
    return f"violates `{error.validator}`" + (f" {limit}" if isinstance(limit, str | int | float) else "")
