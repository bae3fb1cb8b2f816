"""The configuration snapshot that requests are routed by."""

import json

from finchladder.cluster.configuration.snapshot import build_snapshot

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
