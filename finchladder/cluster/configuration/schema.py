"""JSON schemas of the operator's configuration and of patches; unknown fields are valid and are preserved.

An optional field may be null, which has the same effect as leaving it out. Numbers that are too large or too
small to be applied are valid, too; `build_snapshot` replaces them by the nearest bound.

Source: the operator's API in the project's protocol page. Units: `timeout_ms`, `target_latency_ms`,
`gap_aim_ms`, `header_timeout_ms` and `idle_timeout_ms` are milliseconds, `weights_mb` and `adapter_size_mb`
megabytes, `load_s` seconds.
"""

from typing import Any

from jsonschema import Draft202012Validator, ValidationError

Document = dict[str, Any]  # a configuration or a patch as parsed JSON

TENANTS = "tenants"
REMOVE = "remove"  # field of a patch that lists the names of the items to remove
MAX_VERSION = 2**63 - 1  # largest version that all messages and stored records can contain
REDACTED = "..."  # replaces unknown names from a request in error messages; they may be misplaced API keys

TEXT_SCHEMA: dict[str, Any] = {"type": "string", "minLength": 1}
# Messages are encoded in UTF-8, which cannot encode the lone surrogates that JSON strings may contain.
NAME_SCHEMA: dict[str, Any] = {**TEXT_SCHEMA, "not": {"pattern": r"[\ud800-\udfff]"}}
POSITIVE_SCHEMA = {"type": "number", "exclusiveMinimum": 0}
NON_NEGATIVE_SCHEMA = {"type": "number", "minimum": 0}
OPTIONAL_NUMBER_SCHEMA = {"type": ["number", "null"]}
OPTIONAL_POSITIVE_SCHEMA = {"type": ["number", "null"], "exclusiveMinimum": 0}
OPTIONAL_NON_NEGATIVE_SCHEMA = {"type": ["number", "null"], "minimum": 0}
OPTIONAL_FLAG_SCHEMA = {"type": ["boolean", "null"]}

# JSON Schema counts 7.0 as an integer.
VERSION_SCHEMA: dict[str, Any] = {"type": "integer", "minimum": 1, "maximum": MAX_VERSION}
ROUTE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name", "host", "path_prefix"],
    "properties": {
        "name": NAME_SCHEMA,
        "host": TEXT_SCHEMA,
        "path_prefix": {"type": "string", "pattern": "^/(.*/)?$"},
        "kind": {"type": "string"},
        "timeout_ms": OPTIONAL_POSITIVE_SCHEMA,
        "target_latency_ms": OPTIONAL_NON_NEGATIVE_SCHEMA,
        "gap_aim_ms": OPTIONAL_NON_NEGATIVE_SCHEMA,
        "priority": {"type": ["integer", "null"]},
        "retries": {"type": ["integer", "null"], "minimum": 0},
        "resumable": OPTIONAL_FLAG_SCHEMA,
        "public": OPTIONAL_FLAG_SCHEMA,
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
    "properties": {
        "name": NAME_SCHEMA,
        "weights_mb": OPTIONAL_NON_NEGATIVE_SCHEMA,
        "load_s": OPTIONAL_NON_NEGATIVE_SCHEMA,
        "adapters": OPTIONAL_NUMBER_SCHEMA,
        "adapter_size_mb": OPTIONAL_NUMBER_SCHEMA,
    },
}
ENGINE_SCHEMA: dict[str, Any] = {
    "type": ["object", "null"],
    "properties": {
        "slots": OPTIONAL_NUMBER_SCHEMA,
        "kv_cache_tokens": OPTIONAL_NUMBER_SCHEMA,
        "weights_mb": OPTIONAL_NUMBER_SCHEMA,
        "lora_slots": OPTIONAL_NUMBER_SCHEMA,
        "load_rate_s": OPTIONAL_NUMBER_SCHEMA,
        "models": {"type": ["array", "null"], "items": MODEL_SCHEMA},
    },
}
SERVICE_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name"],
    "properties": {
        "name": NAME_SCHEMA,
        "health_check": {"type": ["string", "null"]},
        "max_connections": OPTIONAL_POSITIVE_SCHEMA,
        "engine": ENGINE_SCHEMA,
    },
}
# A tenant's name is also sent in a header, so it must not contain control characters.
TENANT_NAME_SCHEMA: dict[str, Any] = {**TEXT_SCHEMA, "not": {"pattern": r"[\x00-\x1f\x7f\ud800-\udfff]"}}
TENANT_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["name", "api_keys"],
    "properties": {
        "name": TENANT_NAME_SCHEMA,
        "api_keys": {"type": "array", "items": TEXT_SCHEMA},
        "priority": {"type": "integer"},
        "unit": {"type": "string"},
        "raw_tokens": NON_NEGATIVE_SCHEMA,
        "rate_per_s": NON_NEGATIVE_SCHEMA,
        "burst": NON_NEGATIVE_SCHEMA,
    },
}
LIMITS_PROPERTIES: dict[str, Any] = {
    "max_header_bytes": OPTIONAL_NUMBER_SCHEMA,
    "max_body_bytes": OPTIONAL_NUMBER_SCHEMA,
    "header_timeout_ms": OPTIONAL_NUMBER_SCHEMA,
    "idle_timeout_ms": OPTIONAL_NUMBER_SCHEMA,
}
LIMITS_SCHEMA: dict[str, Any] = {"type": "object", "properties": LIMITS_PROPERTIES}
ITEM_PROPERTIES = {
    "routes": {"type": "array", "items": ROUTE_SCHEMA},
    "services": {"type": "array", "items": SERVICE_SCHEMA},
    TENANTS: {"type": "array", "items": TENANT_SCHEMA},
}
DOCUMENT_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["version", "routes", "services"],
    "properties": {"version": VERSION_SCHEMA, "limits": LIMITS_SCHEMA, **ITEM_PROPERTIES},
}
PATCH_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["version"],
    "properties": {
        "version": VERSION_SCHEMA,
        "upsert": {
            "type": "object",
            # The type of `limits` is validated in the result of the patch, like that of other values.
            "properties": {"limits": {"properties": LIMITS_PROPERTIES}, **ITEM_PROPERTIES},
        },
        REMOVE: {"type": "object", "additionalProperties": {"type": "array", "items": TEXT_SCHEMA}},
    },
}
# Schema of the configuration that results from a patch. Routes, services and limits are not validated again:
# this was done as part of the patch, and a patch must not be rejected because of other values that an earlier
# version stored. Tenants are validated, because a version without tenant support may have stored any value.
PATCHED_SCHEMA: dict[str, Any] = {
    "type": "object",
    "properties": {
        **DOCUMENT_SCHEMA["properties"],
        "routes": {"type": "array"},
        "services": {"type": "array"},
        "limits": {"type": "object"},
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
