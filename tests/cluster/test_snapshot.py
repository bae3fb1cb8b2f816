"""The configuration snapshot that requests are routed by."""

import json

from finchladder.cluster.configuration.snapshot import build_snapshot
from finchladder.cluster.tenancy.api_keys import ApiKey

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


def test_only_a_route_that_says_so_is_public() -> None:
    routes = [{**DOCUMENT["routes"][0], "public": public} for public in (True, False)]  # type: ignore[index]
    snapshots = [build_snapshot(json.dumps({**DOCUMENT, "routes": [r]}).encode()) for r in routes]
    snapshots.append(build_snapshot(json.dumps(DOCUMENT).encode()))
    found = [snapshot.match("a.example", "/x/1") for snapshot in snapshots]
    assert [route is not None and route.is_public for route in found] == [True, False, False]
