"""Tests of request classification."""

import json

import pytest

from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.routing.requests import classify
from tests.cluster.test_snapshot import DOCUMENT


@pytest.mark.parametrize(
    ("headers", "model", "adapter", "tokens"),
    [
        ({"X-Finchladder-Model": "m0/a3", "X-Finchladder-Token-Count": "10,5"}, "m0", "a3", 10),
        ({"X-Finchladder-Model": "m0", "X-Finchladder-Token-Count": "x"}, "m0", "", 0),
        ({}, "", "", 0),
    ],
)
def test_a_request_is_classified_by_its_headers(
    headers: dict[str, str], model: str, adapter: str, tokens: int
) -> None:
    route = build_snapshot(json.dumps(DOCUMENT).encode()).match("a.example", "/x/y/1")
    assert route is not None
    request = classify({**headers, "X-Finchladder-Deadline-Ms": "9000"}, route, 100.0)
    assert (request.key.model, request.key.adapter, request.prompt_tokens) == (model, adapter, tokens)
    assert (request.deadline, request.client_stall_timeout_s) == (105.0, 3.2)
