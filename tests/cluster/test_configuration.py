"""Tests of parsing, patching, validating and compressing configuration changes."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.configuration.changes import (
    InvalidChange,
    ValidChange,
    change_digest,
    validate_change,
)
from finchladder.cluster.configuration.compression import DocumentCompressor, decompress
from finchladder.cluster.configuration.snapshot_builder import build_snapshot

ROUTE = {
    "name": "r1",
    "host": "a",
    "path_prefix": "/x/",
    "service": "s1",
    "timeout_ms": 100,
    "extra": {"k": 0.1},
}
SERVICE = {"name": "s1", "engine": {"models": [{"name": "m", "weights_mb": 65099.99999999999}]}}
DOCUMENT = {
    "version": 5,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": {"max_body_bytes": 10},
    "more": [1],
}


def put(value: object, version: int = 0, current: bytes = b"") -> ValidChange | InvalidChange:
    return validate_change(current, version, False, json.dumps(value).encode())


def patch(value: object) -> ValidChange | InvalidChange:
    return validate_change(json.dumps(DOCUMENT).encode(), 5, True, json.dumps(value).encode())


def document(outcome: ValidChange | InvalidChange) -> Any:
    assert isinstance(outcome, ValidChange), outcome
    return json.loads(outcome.document)


def test_a_full_configuration_is_stored_unchanged() -> None:
    assert document(put(DOCUMENT)) == DOCUMENT


def changed(**items: Any) -> dict[str, Any]:
    return {**DOCUMENT, **items}


def with_route(**fields: Any) -> dict[str, Any]:
    return changed(routes=[{**ROUTE, **fields}])


@pytest.mark.parametrize(
    "value",
    [
        [],
        {"version": 5},
        changed(version=0),
        changed(version="5"),
        with_route(service="unknown"),
        with_route(timeout_ms=0),
        with_route(path_prefix="x"),
        with_route(public="false"),
        with_route(traffic_split=[{"service": "s1", "weight": 0}]),
        with_route(traffic_split=[{"service": "s1", "weight": 1}, {"service": "s2", "weight": 1}]),
        changed(routes=[ROUTE, {**ROUTE, "name": "r2"}]),
        changed(routes=[ROUTE, {**ROUTE, "path_prefix": "/y/"}]),
        changed(routes=[{"name": "r1"}]),
    ],
)
def test_an_invalid_configuration_is_rejected(value: object) -> None:
    outcome = put(value)
    assert isinstance(outcome, InvalidChange)
    assert outcome.problem


@pytest.mark.parametrize(
    "body", [b"", b'{"version":5,"routes":[', b"\xff", b'{"version": NaN}', b"[" * 100_000]
)
def test_a_body_that_is_not_json_is_rejected(body: bytes) -> None:
    assert isinstance(validate_change(b"", 0, False, body), InvalidChange)


def test_a_version_that_is_not_above_the_current_one_is_rejected() -> None:
    for version in (5, 6):
        assert isinstance(put(DOCUMENT, version), InvalidChange)


def test_a_patch_replaces_adds_and_removes_by_name() -> None:
    second = {**ROUTE, "name": "r2", "path_prefix": "/y/"}
    added = document(patch({"version": 7, "upsert": {"routes": [{**ROUTE, "timeout_ms": 9}, second]}}))
    assert [(r["name"], r["timeout_ms"]) for r in added["routes"]] == [("r1", 9), ("r2", 100)]
    assert added["more"] == [1]
    assert added["version"] == 7
    removed = document(patch({"version": 8, "remove": {"routes": ["r1", "absent"]}}))
    assert removed["routes"] == []


def test_a_patch_that_removes_the_service_of_a_route_is_rejected() -> None:
    assert isinstance(patch({"version": 7, "remove": {"services": ["s1"]}}), InvalidChange)


def test_a_digest_depends_on_base_method_and_body() -> None:
    digests = {
        change_digest(base, is_patch, body)
        for base in (1, 2)
        for is_patch in (True, False)
        for body in (b"a", b"b")
    }
    assert len(digests) == 8
    assert change_digest(1, True, b"a") == change_digest(1, True, b"a")


# --- tenants

TENANTS = [
    {"name": "north", "api_keys": ["secret-1", "secret-1", "secret-2"], "priority": 1, "more": {"k": 1}},
    {"name": "south", "api_keys": ["secret-3"], "unit": "token_count", "raw_tokens": 0, "rate_per_s": 0.5},
]


def test_a_configuration_with_tenants_is_stored_unchanged() -> None:
    for tenants in (TENANTS, [], [{"name": "north", "api_keys": []}]):
        assert document(put(changed(tenants=tenants)))["tenants"] == tenants


def with_tenant(**fields: Any) -> dict[str, Any]:
    return changed(tenants=[{"name": "north", "api_keys": ["secret-1"], **fields}])


@pytest.mark.parametrize(
    "value",
    [
        changed(tenants={"secret-1": 1}),
        changed(tenants=None),
        changed(tenants=["secret-1"]),
        changed(tenants=[{"api_keys": ["secret-1"]}]),
        changed(tenants=[{"name": "north"}]),
        with_tenant(name=""),
        with_tenant(name="north\r\nsecret-1: 1"),
        with_tenant(api_keys="secret-1"),
        with_tenant(api_keys=["secret-1", ""]),
        with_tenant(api_keys=["secret-1", 5]),
        with_tenant(api_keys={"secret-1": 1}),
        with_tenant(priority=1.5),
        with_tenant(priority="secret-1"),
        with_tenant(unit=["secret-1"]),
        with_tenant(raw_tokens=-1),
        with_tenant(rate_per_s=-0.1),
        with_tenant(burst=-1),
        with_tenant(burst="secret-1"),
        changed(tenants=[*TENANTS, {"name": "north", "api_keys": []}]),
        changed(tenants=[*TENANTS, {"name": "west", "api_keys": ["secret-2"]}]),
        changed(routes=[{"name": "west", "api_keys": ["secret-2"]}]),
        changed(limits=["secret-1"]),
        changed(version="secret-1"),
        with_route(timeout_ms="secret-1"),
        with_route(path_prefix="secret-1"),
        with_route(public="secret-1"),
    ],
)
def test_invalid_tenants_are_rejected_without_quoting_a_key(value: object) -> None:
    outcome = put(value)
    assert isinstance(outcome, InvalidChange)
    assert outcome.problem
    assert "secret" not in outcome.problem


@pytest.mark.parametrize(
    "change",
    [
        {"upsert": {"tenants": {"name": "west", "api_keys": ["secret-9"]}}},
        {"upsert": [{"name": "west", "api_keys": ["secret-9"]}]},
        {"remove": {"tenants": [{"name": "west", "api_keys": ["secret-9"]}]}},
        {"remove": [{"name": "west", "api_keys": ["secret-9"]}]},
        {"remove": {"secret-9": ["west"], "secret-8": "west"}},
        {"remove": {"routes": "secret-9"}},
    ],
)
def test_a_patch_with_misplaced_tenants_is_rejected_without_quoting_a_key(change: dict[str, Any]) -> None:
    outcome = patch({"version": 7, **change})
    assert isinstance(outcome, InvalidChange)
    assert outcome.problem and "secret" not in outcome.problem


@pytest.mark.parametrize(
    "body",
    [
        b"secret-1",
        b'"secret-1"',
        b'["secret-1"]',
        b'{"api_keys": ["secret-1]}',
        b'{"api_keys": ["secret-1\x01"]}',
        b'{"api_keys": ["\\secret-1"]}',
        b'{"api_keys": ["secret-1\xff"]}',
        b'{"version": Infinity, "api_keys": ["secret-1"]}',
    ],
)
def test_a_body_that_is_not_json_is_rejected_without_quoting_it(body: bytes) -> None:
    outcome = validate_change(b"", 0, False, body)
    assert isinstance(outcome, InvalidChange)
    assert outcome.problem and "secret" not in outcome.problem


TOO_LARGE_NUMBERS = ["1e400", "-1e400", "1E+309", "1" + "0" * 309, "9" * 5_000, "1" + "0" * 400 + ".0"]


@pytest.mark.parametrize("number", TOO_LARGE_NUMBERS)
@pytest.mark.parametrize("field", ["raw_tokens", "rate_per_s", "burst", "unknown"])
def test_a_number_beyond_the_range_of_a_float_makes_a_tenant_invalid(field: str, number: str) -> None:
    body = json.dumps(with_tenant(**{field: 4321})).replace("4321", number).encode()
    outcome = validate_change(b"", 0, False, body)
    assert isinstance(outcome, InvalidChange)
    change = b'{"version": 7, "upsert": {"tenants": [{"name": "north", "api_keys": [], "burst": %s}]}}'
    outcome = validate_change(json.dumps(DOCUMENT).encode(), 5, True, change % number.encode())
    assert isinstance(outcome, InvalidChange)


@pytest.mark.parametrize("number", TOO_LARGE_NUMBERS)
def test_a_number_beyond_the_range_of_a_float_makes_a_route_invalid(number: str) -> None:
    body = json.dumps(with_route(timeout_ms=4321)).replace("4321", number).encode()
    assert isinstance(validate_change(b"", 0, False, body), InvalidChange)


@pytest.mark.parametrize("number", ["1e308", "1" + "0" * 308, "9" * 308, "1e-400", "200", "0.5"])
def test_a_number_in_the_range_of_a_float_is_valid_and_a_dispatcher_can_activate_it(number: str) -> None:
    body = json.dumps(with_tenant(rate_per_s=4321, raw_tokens=4321, burst=4321)).replace("4321", number)
    outcome = validate_change(b"", 0, False, body.encode())
    assert isinstance(outcome, ValidChange), outcome
    assert list(build_snapshot(outcome.document).tenants) == ["north"]


@pytest.mark.parametrize("value", [float("inf"), float("nan")])
def test_a_patch_of_a_configuration_with_infinity_or_nan_is_rejected(value: float) -> None:
    stored = json.dumps(with_tenant(raw_tokens=value)).encode()
    change = b'{"version": 7, "upsert": {"routes": []}}'
    assert isinstance(validate_change(stored, 5, True, change), InvalidChange)


def test_a_problem_contains_the_path_and_the_limit() -> None:
    outcome = put(with_route(timeout_ms=0))
    assert outcome == InvalidChange("routes/0/timeout_ms: violates `exclusiveMinimum` 0")


def test_a_problem_of_a_tenant_contains_the_path() -> None:
    outcome = put(with_tenant(api_keys=["secret-1", ""]))
    assert isinstance(outcome, InvalidChange)
    assert outcome.problem.startswith("tenants/0/api_keys/1: ")
    assert "minLength" in outcome.problem


def test_a_problem_names_both_tenants_that_share_a_key() -> None:
    shared = {"name": "west", "api_keys": ["secret-2"]}
    current = json.dumps(changed(tenants=TENANTS)).encode()
    change = {"version": 7, "upsert": {"tenants": [shared]}}
    for outcome in (
        put(changed(tenants=[*TENANTS, shared])),
        validate_change(current, 5, True, json.dumps(change).encode()),
    ):
        assert outcome == InvalidChange("tenants north and west share an API key")


def test_a_patch_moves_a_key_to_another_tenant() -> None:
    current = json.dumps(changed(tenants=TENANTS)).encode()
    north, south = ({"name": "north", "api_keys": ["secret-3"]}, {"name": "south", "api_keys": ["secret-1"]})
    change = {"version": 7, "upsert": {"tenants": [south, north]}}
    outcome = validate_change(current, 5, True, json.dumps(change).encode())
    assert document(outcome)["tenants"] == [north, south]


def test_a_patch_removes_tenants_but_does_not_create_a_list_of_tenants() -> None:
    """An empty list of tenants would make all non-public routes private."""
    change = json.dumps({"version": 7, "remove": {"tenants": ["north", "absent"]}}).encode()
    with_list, without_list = (
        document(validate_change(json.dumps(current).encode(), 5, True, change))
        for current in (changed(tenants=TENANTS[:1]), DOCUMENT)
    )
    assert with_list["tenants"] == []
    assert "tenants" not in without_list


# --- patches with arbitrary values, and patches of arbitrary values stored by an older version


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({"upsert": {"secret-kind": [1]}}, "...: is not a list of named items"),
        ({"upsert": {"secret-kind": [{"name": []}]}}, "...: is not a list of named items"),
        ({"upsert": {"more": [{"name": "a"}]}}, "...: is not a list of named items"),
        ({"upsert": {"limits": [{"name": "a"}]}}, "...: is not a list of named items"),
        ({"upsert": {"limits": 5}}, "limits: violates `type` object"),
        ({"upsert": {"version": 9}}, "upsert/version: differs from the version of the patch"),
        ({"upsert": {"version": "secret"}}, "version: violates `type` integer"),
        ({"remove": {"limits": ["a"]}}, "...: is not a list of named items"),
        ({"remove": {"more": ["a"]}}, "...: is not a list of named items"),
        ({"remove": {"version": ["a"]}}, "...: is not a list of named items"),
    ],
)
def test_a_patch_of_a_value_that_is_not_a_list_of_named_items_is_rejected(
    change: dict[str, Any], problem: str
) -> None:
    assert patch({"version": 7, **change}) == InvalidChange(problem)


@pytest.mark.parametrize(
    ("tenants", "problem"),
    [
        ([{"name": "a"}], "tenants/0: 'api_keys' is a required property"),
        ([{"api_keys": []}], "tenants/0: 'name' is a required property"),
        ({"secret-1": {}}, "tenants: violates `type` array"),
        (None, "tenants: violates `type` array"),
        ([{"name": "a", "api_keys": "secret-1"}], "tenants/0/api_keys: violates `type` array"),
    ],
)
def test_a_patch_of_a_configuration_with_invalid_tenants_is_rejected_with_the_path(
    tenants: object, problem: str
) -> None:
    stored = json.dumps(changed(tenants=tenants)).encode()
    change = json.dumps({"version": 7, "upsert": {"routes": []}}).encode()
    assert validate_change(stored, 5, True, change) == InvalidChange(problem)


def test_a_patch_can_repair_invalid_stored_tenants() -> None:
    stored = json.dumps(changed(tenants=[{"name": "north"}, {"name": "west"}])).encode()
    change = {"version": 7, "remove": {"tenants": ["west"]}, "upsert": {"tenants": TENANTS}}
    assert document(validate_change(stored, 5, True, json.dumps(change).encode()))["tenants"] == TENANTS


def test_a_patch_replaces_values_without_items() -> None:
    outcome = patch({"version": 7, "upsert": {"limits": {"max_body_bytes": 11}, "kind": [{"name": "a"}]}})
    assert (document(outcome)["limits"], document(outcome)["kind"]) == (
        {"max_body_bytes": 11},
        [{"name": "a"}],
    )


KINDS = st.sampled_from(["routes", "services", "tenants", "limits", "version", "more", "other", ""])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 9) | st.floats() | st.sampled_from(["r1", "s1", "north"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["name", "api_keys", "service", "x"]), inner, max_size=3)
    ),
    max_leaves=8,
)
ITEMS = st.sampled_from([ROUTE, SERVICE, *TENANTS]) | VALUES
PATCH_FIELDS = st.dictionaries(KINDS, st.lists(ITEMS, max_size=3) | VALUES, max_size=3)


@given(
    change=st.fixed_dictionaries(
        {"version": st.just(7)}, optional={"upsert": PATCH_FIELDS, "remove": PATCH_FIELDS}
    )
    | VALUES,
    names=st.dictionaries(KINDS, st.lists(st.sampled_from(["r1", "s1", "north"]), max_size=2), max_size=2),
    tenants=VALUES | st.just(TENANTS),
)
def test_no_patch_raises_an_exception_for_any_content_and_any_stored_tenants(
    change: Any, names: dict[str, list[str]], tenants: object
) -> None:
    stored = json.dumps(changed(tenants=tenants)).encode()
    changes = [change, {"version": 7, "remove": names}]
    if isinstance(change, dict):
        changes.append({**change, "remove": names})
    for each in changes:
        outcome = validate_change(stored, 5, True, json.dumps(each).encode())
        assert isinstance(outcome, InvalidChange | ValidChange)
        if isinstance(outcome, ValidChange):
            assert json.loads(outcome.document)["version"] == outcome.version


@pytest.mark.parametrize("depth", [10, 500, 900, 990, 5_000, 50_000])
def test_no_nesting_depth_of_a_patch_raises_an_exception(depth: int) -> None:
    body = b'{"version": 7, "upsert": {"other": {"a":' + b"[" * depth + b"]" * depth + b"}}}"
    outcome = validate_change(json.dumps(DOCUMENT).encode(), 5, True, body)
    assert isinstance(outcome, InvalidChange | ValidChange)


# --- compression


def test_a_configuration_of_many_routes_is_compressed_to_less_than_a_tenth() -> None:
    routes = [{**ROUTE, "name": f"r{n}", "path_prefix": f"/p{n}/"} for n in range(1400)]
    plain = json.dumps({**DOCUMENT, "routes": routes}).encode()
    compressed = DocumentCompressor().compress(plain)
    assert len(compressed) < len(plain) / 10
    assert decompress(compressed) == plain


def test_each_document_is_compressed_once_and_an_empty_one_stays_empty() -> None:
    """A different document may reuse the version of one that was not acknowledged."""
    compressor = DocumentCompressor()
    assert decompress(compressor.compress(b"")) == b"" == compressor.compress(b"")
    first = compressor.compress(b"one")
    assert compressor.compress(b"one") is first
    assert decompress(compressor.compress(b"two")) == b"two"
    assert decompress(compressor.compress(b"one")) == b"one"
