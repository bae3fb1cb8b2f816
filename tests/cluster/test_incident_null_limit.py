"""An incident: a configuration with a null limit was acknowledged, and no dispatcher could apply it."""

import json
from collections.abc import Iterator
from typing import Any

import pytest

from finchladder.cluster.configuration.changes import InvalidChange, ValidChange, validate_change
from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot
from finchladder.cluster.configuration.snapshot_builder import LOADS_PER_S, build_snapshot

Document = dict[str, Any]

ENGINE = {"slots": 64, "kv_cache_tokens": 9000, "weights_mb": 200.5, "lora_slots": 4, "load_rate_s": 2.5}
MODEL = {"name": "m", "weights_mb": 70.0, "load_s": 0.5, "adapters": 3, "adapter_size_mb": 9.5}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 5000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 20000,
}
ROUTE = {
    "name": "r",
    "host": "a.example",
    "path_prefix": "/x/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 800,
    "gap_aim_ms": 400,
    "priority": 1,
    "retries": 2,
    "resumable": True,
    "public": True,
    "traffic_split": [{"service": "llm", "weight": 9}, {"service": "api", "weight": 1}],
}


def document() -> Document:
    services = [
        {
            "name": "llm",
            "health_check": "/healthz",
            "max_connections": 96,
            "engine": {**ENGINE, "models": [dict(MODEL)]},
        },
        {"name": "api"},
    ]
    return {"version": 5, "routes": [dict(ROUTE)], "services": services, "limits": dict(LIMITS)}


def optional_fields() -> Iterator[tuple[str, str]]:
    """The parts of a document and the names of their fields that need not be set."""
    required = {"name", "host", "path_prefix", "traffic_split", "kind"}
    parts: dict[str, Document] = {"limits": LIMITS, "engine": ENGINE, "model": MODEL, "route": ROUTE}
    for part, item in parts.items():
        yield from ((part, name) for name in item if name not in required)
    yield from (("engine", "models"), ("service", "max_connections"), ("service", "engine"))
    yield ("service", "health_check")


def part_of(value: Document, part: str) -> Document:
    service = value["services"][0]
    parts: Document = {
        "limits": value["limits"],
        "route": value["routes"][0],
        "service": service,
        "engine": service["engine"],
        "model": service["engine"]["models"][0],
    }
    item: Document = parts[part]
    return item


def with_value(part: str, name: str, value: object) -> Document:
    changed = document()
    part_of(changed, part)[name] = value
    return changed


def put(value: Document) -> ValidChange | InvalidChange:
    return validate_change(b"", 0, False, json.dumps(value).encode())


def snapshot_of(value: Document) -> ConfigurationSnapshot:
    return build_snapshot(json.dumps(value).encode())


@pytest.mark.parametrize(("part", "name"), optional_fields())
def test_an_acknowledged_null_has_the_effect_of_a_field_that_is_left_out(part: str, name: str) -> None:
    # A null was acknowledged and raised an exception in each dispatcher and in the placer.
    with_null, without = with_value(part, name, None), document()
    del part_of(without, part)[name]
    outcome = put(with_null)
    assert isinstance(outcome, ValidChange), outcome
    assert build_snapshot(outcome.document) == snapshot_of(without)
    assert not snapshot_of(with_null).replaced_fields


def type_of(name: str) -> type:
    """The JSON type of an optional field."""
    types = {"health_check": str, "models": list, "engine": dict, "resumable": bool, "public": bool}
    return types.get(name, float)


def with_wrong_types(*values: object) -> Iterator[tuple[str, str, object]]:
    """Each optional field with each of the values that has another type than the field."""
    for part, name in optional_fields():
        yield from ((part, name, value) for value in values if not isinstance(value, type_of(name)))


@pytest.mark.parametrize(
    ("part", "name", "value"), with_wrong_types("20000", "many", True, [1], {"ms": 1}, 4321.5)
)
def test_a_field_of_a_wrong_type_is_invalid_and_the_answer_has_its_path(
    part: str, name: str, value: object
) -> None:
    outcome = put(with_value(part, name, value))
    assert isinstance(outcome, InvalidChange)
    assert outcome.problem.split(":")[0].endswith(name)


@pytest.mark.parametrize("number", [-1e300, -1, 0, 0.5, 5e-324, 10**308, 1e308])
@pytest.mark.parametrize(
    ("part", "name"), [("limits", name) for name in LIMITS] + [("engine", n) for n in ENGINE]
)
def test_a_number_that_is_out_of_range_is_valid_and_applied_as_the_nearest_bound(
    part: str, name: str, number: float
) -> None:
    outcome = put(with_value(part, name, number))
    assert isinstance(outcome, ValidChange), outcome
    snapshot = build_snapshot(outcome.document)
    is_applied = name != "header_timeout_ms"  # which no dispatcher reads
    assert bool(snapshot.replaced_fields) == (is_applied and (number < 0 or number > 1e300))


# --- documents that an earlier version acknowledged and stored


@pytest.mark.parametrize(
    ("part", "name", "value"),
    # no dispatcher reads `header_timeout_ms`
    [case for case in with_wrong_types("many", [1], {"ms": 1}) if case[1] != "header_timeout_ms"],
)
def test_a_stored_value_that_cannot_be_applied_is_replaced_and_the_others_are_applied(
    part: str, name: str, value: object
) -> None:
    stored, without = with_value(part, name, value), document()
    del part_of(without, part)[name]
    snapshot = snapshot_of(stored)
    assert [path.split("/")[-1] for path in snapshot.replaced_fields] == [name]
    assert snapshot.version == 5
    expected = snapshot_of(without)
    assert (snapshot.routes_by_host, snapshot.services) == (expected.routes_by_host, expected.services)
    assert (snapshot.idle_timeout_s, snapshot.max_body_bytes, snapshot.max_header_bytes) == (
        expected.idle_timeout_s,
        expected.max_body_bytes,
        expected.max_header_bytes,
    )


def test_a_stored_number_as_text_is_applied_as_before() -> None:
    snapshot = snapshot_of(with_value("limits", "max_body_bytes", "5000000"))
    assert snapshot.max_body_bytes == 5_000_000
    assert not snapshot.replaced_fields


def test_a_stored_number_that_is_infinite_or_nan_is_replaced() -> None:
    rates = []
    for number in (float("nan"), float("inf"), 10**400, float("-inf")):
        snapshot = snapshot_of(with_value("engine", "load_rate_s", number))
        assert snapshot.replaced_fields == ("services/0/engine/load_rate_s",)
        engine = snapshot.services["llm"].engine
        assert engine is not None
        rates.append(engine.max_loads_per_s)
    assert rates == [0, LOADS_PER_S.high, LOADS_PER_S.high, 0]


@pytest.mark.parametrize("limits", [None, 5, "limits", [1]])
def test_stored_limits_that_are_no_object_have_the_default_values(limits: object) -> None:
    snapshot = snapshot_of({**document(), "limits": limits})
    assert snapshot.idle_timeout_s == 15.0
    assert snapshot.replaced_fields == (() if limits is None else ("limits",))


def test_a_stored_route_or_service_without_a_name_is_omitted_and_the_others_are_kept() -> None:
    stored = document()
    stored["routes"] = [{"host": "a.example", "path_prefix": "/y/", "service": "llm"}, 5, ROUTE]
    stored["services"] += [{"max_connections": 3}]
    snapshot = snapshot_of(stored)
    assert [route.name for route in snapshot.routes_by_host["a.example"]] == ["r"]
    assert list(snapshot.services) == ["llm", "api"]
    assert snapshot.replaced_fields == ("routes/0", "routes/1", "services/2")


def test_a_patch_of_stored_values_that_cannot_be_applied_is_valid_and_applied() -> None:
    # Only the values of the patch itself are validated, so that the operator can still change other parts.
    stored = with_value("limits", "idle_timeout_ms", "many")
    part_of(stored, "engine")["load_rate_s"] = [1]
    change = {"version": 6, "upsert": {"routes": [{**ROUTE, "timeout_ms": 7000}]}}
    outcome = validate_change(json.dumps(stored).encode(), 5, True, json.dumps(change).encode())
    assert isinstance(outcome, ValidChange), outcome
    snapshot = build_snapshot(outcome.document)
    assert snapshot.routes_by_host["a.example"][0].timeout_s == 7.0
    change["upsert"] = {"limits": {**LIMITS, "idle_timeout_ms": "many"}}
    outcome = validate_change(json.dumps(stored).encode(), 5, True, json.dumps(change).encode())
    assert outcome == InvalidChange("upsert/limits/idle_timeout_ms: violates `type`")


@pytest.mark.parametrize("body", [b"[]", b"5", b"{}", b'{"version": "5"}', b"{", b"\xff"])
def test_a_document_that_is_no_configuration_raises_one_kind_of_error(body: bytes) -> None:
    with pytest.raises(ValueError):
        build_snapshot(body)
