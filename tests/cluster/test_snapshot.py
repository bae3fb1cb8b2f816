"""Tests of the configuration snapshot that routes requests."""

import json

import pytest

from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.tenancy.api_keys import ApiKey
from finchladder.cluster.tenancy.tenant_lookup import TenantLookup

DOCUMENT = {
    "version": 3,
    "routes": [
        {"name": "r1", "host": "A.example", "path_prefix": "/x/", "service": "api", "kind": "idempotent"},
        {
            "name": "r2",
            "host": "a.example",
            "path_prefix": "/x/y/",
            "service": "llm",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 800,
            "gap_aim_ms": 400,
            "retries": 1,
            "resumable": False,
        },
        {
            "name": "r3",
            "host": "b.example",
            "path_prefix": "/",
            "kind": "new-kind",
            "traffic_split": [
                {"service": "api", "weight": 3},
                {"service": "llm", "weight": 1},
                {"service": "x", "weight": 0},
            ],
        },
    ],
    "services": [{"name": "api"}, {"name": "llm"}, {"name": "x"}],
    "limits": {"idle_timeout_ms": 9000},
}


def test_the_longest_prefix_of_the_host_wins() -> None:
    snapshot = build_snapshot(json.dumps(DOCUMENT).encode())
    found = [snapshot.match("a.EXAMPLE", path) for path in ("/x/1", "/x/y/1", "/x", "/z/")]
    assert [route.name if route else None for route in found] == ["r1", "r2", None, None]
    assert snapshot.idle_timeout_s == 9.0


def test_a_traffic_split_follows_the_weights() -> None:
    route = build_snapshot(json.dumps(DOCUMENT).encode()).match("b.example", "/q")
    assert route is not None
    assert [route.service_at(point) for point in (0.0, 0.74, 0.76, 0.9999999)] == ["api", "api", "llm", "llm"]


def test_a_request_of_unknown_kind_is_not_retried() -> None:
    route = build_snapshot(json.dumps(DOCUMENT).encode()).match("b.example", "/q")
    assert route is not None
    assert not route.is_idempotent


TENANTS = [
    {"name": "north", "api_keys": ["secret-1", "secret-2"], "priority": 2},
    {"name": "south", "api_keys": ["secret-3"]},
]


def test_tenants_are_found_by_name_and_by_key() -> None:
    snapshot = build_snapshot(json.dumps({**DOCUMENT, "tenants": TENANTS}).encode(), b"salt")
    assert snapshot.keys is not None
    found = [snapshot.keys.tenant_of(ApiKey(text)) for text in ("secret-1", "secret-2", "secret-3", "north")]
    assert [tenant and tenant.name for tenant in found] == ["north", "north", "south", None]
    assert found[:1] == [snapshot.tenants["north"]]
    assert snapshot.tenants["north"].priority == 2
    assert "secret" not in repr(snapshot)


def test_an_empty_list_of_tenants_is_not_the_same_as_none() -> None:
    without, empty = (
        build_snapshot(json.dumps(document).encode()) for document in (DOCUMENT, {**DOCUMENT, "tenants": []})
    )
    assert without.keys is None
    assert empty.keys is not None
    assert empty.keys.tenant_of(ApiKey("secret-1")) is None


def test_a_route_is_public_only_if_it_is_declared_so() -> None:
    routes = [{**DOCUMENT["routes"][0], "public": public} for public in (True, False)]  # type: ignore[index]
    snapshots = [build_snapshot(json.dumps({**DOCUMENT, "routes": [r]}).encode()) for r in routes]
    snapshots.append(build_snapshot(json.dumps(DOCUMENT).encode()))
    found = [snapshot.match("a.example", "/x/1") for snapshot in snapshots]
    assert [route is not None and route.is_public for route in found] == [True, False, False]


# --- tenants that an older version stored without validation

VALID_TENANT = {"name": "north", "api_keys": ["north-1"]}


@pytest.mark.parametrize(
    "invalid_tenant",
    [
        None,
        "west",
        {},
        {"name": "west"},
        {"api_keys": ["west-1"]},
        {"name": "", "api_keys": ["west-1"]},
        {"name": "we\r\nst", "api_keys": ["west-1"]},
        {"name": ["west"], "api_keys": ["west-1"]},
        {"name": "west", "api_keys": "west-1"},
        {"name": "west", "api_keys": ["west-1", 7]},
        {"name": "west", "api_keys": ["west-1"], "rate_per_s": "many"},
        {"name": "west", "api_keys": ["west-1"], "rate_per_s": float("inf")},
        {"name": "west", "api_keys": ["west-1"], "burst": float("nan")},
        {"name": "west", "api_keys": ["west-1"], "raw_tokens": float("inf")},
        {"name": "west", "api_keys": ["west-1"], "raw_tokens": None},
        {"name": "west", "api_keys": ["west-1"], "priority": [1]},
        {"name": "west", "api_keys": ["west-1"], "rate_per_s": 10**400},
    ],
)
def test_an_invalid_tenant_is_omitted_and_the_others_are_kept(invalid_tenant: object) -> None:
    document = json.dumps({"version": 3, "tenants": [invalid_tenant, VALID_TENANT]}).encode()
    snapshot = build_snapshot(document)
    assert snapshot.keys is not None
    assert snapshot.keys.tenant_of(ApiKey("west-1")) is None
    tenant = snapshot.keys.tenant_of(ApiKey("north-1"))
    assert tenant is not None and tenant.name == "north"
    assert list(snapshot.tenants) == ["north"]
    lookup = TenantLookup()
    assert lookup.tenant(document, "north") == tenant
    assert lookup.tenant(document, "west") is None


@pytest.mark.parametrize("tenants", [None, {"a": {}}, "north", 5])
def test_no_key_is_valid_if_tenants_are_not_a_list(tenants: object) -> None:
    document = json.dumps({"version": 3, "tenants": tenants}).encode()
    snapshot = build_snapshot(document)
    assert snapshot.keys is not None and snapshot.keys.key_count == 0
    assert TenantLookup().tenant(document, "north") is None


def test_a_key_that_two_stored_tenants_share_is_invalid_and_other_keys_are_kept() -> None:
    tenants = [
        {"name": "north", "api_keys": ["shared", "north-1", "north-1"]},
        {"name": "south", "api_keys": ["south-1", "shared"]},
        {"name": "west", "api_keys": ["shared"]},
    ]
    keys = build_snapshot(json.dumps({"version": 3, "tenants": tenants}).encode()).keys
    assert keys is not None
    tenants_found = [keys.tenant_of(ApiKey(key)) for key in ("shared", "north-1", "south-1")]
    assert [tenant and tenant.name for tenant in tenants_found] == [None, "north", "south"]
