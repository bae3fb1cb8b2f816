"""Responses in pieces of any size, and responses that exceed the limits."""

import json
from typing import Any

import pytest

from finchladder.lab.etcd.gateway import base64
from finchladder.net.etcd.messages import (
    MAX_FRAME_BYTES,
    MAX_ITEM_BYTES,
    ErrorResponse,
    MalformedResponseError,
    ResponseReader,
)

HEADER = {"cluster_id": "18446744073709551615", "revision": "9", "raft_term": "2"}


def kv(name: str, value: bytes = b'{"a":"}]\\""}') -> dict[str, Any]:
    return {"key": base64(name.encode()), "create_revision": "3", "mod_revision": "5", "value": base64(value)}


@pytest.mark.parametrize("size", [1, 7, 1000, 10**9])
@pytest.mark.parametrize("count", [2, 900])
def test_lists_and_watches_are_parsed_from_pieces_of_any_size(count: int, size: int) -> None:
    kvs = [kv(f"k{n}") for n in range(count)] + [kv("long", b"x" * 40_000)] * (count > 2)
    events = [{"kv": one} for one in kvs] + [{"type": "DELETE", "kv": kv("gone")}]
    told = {"result": {"header": HEADER, "fragment": True, "events": events}}
    body = json.dumps({"header": HEADER, "kvs": kvs, "more": True, "count": "7"}, indent=1).encode()
    lines = (json.dumps(told) + "\n").encode() * 2
    reader, watch = ResponseReader(False), ResponseReader(True)
    found = [a for at in range(0, len(body), size) for a in reader.feed(body[at : at + size])]
    answer = found[0] if found else reader.end()
    assert (answer.header.cluster_id, answer.more, answer.total) == (2**64 - 1, True, 7)
    assert [item.key for item in answer.items[:2]] == [b"k0", b"k1"]
    assert len(answer.items) == len(kvs)
    assert answer.items[1].value == b'{"a":"}]\\""}'
    assert count == 2 or answer.items[-1].value is None
    both = [a for at in range(0, len(lines), size) for a in watch.feed(lines[at : at + size])]
    assert [(len(a.items), a.items[-1].is_deleted, a.fragment) for a in both] == [
        (len(events), True, True)
    ] * 2


def test_an_overlong_item_is_not_buffered_completely() -> None:
    reader = ResponseReader(False)
    reader.feed(b'{"kvs":[{"key":"aw==","create_revision":"1","mod_revision":"2","value":"' + b"x" * 70_000)
    reader.feed(b"x" * 1_000_000)
    assert reader.long_response is not None
    assert len(reader.long_response.item or b"") + len(reader.buffer) <= MAX_ITEM_BYTES


@pytest.mark.parametrize(
    ("body", "refusal", "kind"),
    [
        ({"error": "no", "code": 16, "message": "etcdserver: invalid auth token"}, 16, (True, True)),
        ({"code": 7, "message": "etcdserver: permission denied"}, 7, (False, True)),
        ({"error": {"grpc_code": 14, "message": "no leader"}}, 14, (False, False)),
        ({"result": {"canceled": True, "cancel_reason": "code = PermissionDenied"}}, 7, (False, True)),
    ],
)
def test_error_responses_of_all_gateway_versions(
    body: dict[str, Any], refusal: int, kind: tuple[bool, bool]
) -> None:
    (answer,) = ResponseReader(True).feed(json.dumps(body).encode() + b"\n")
    assert isinstance(answer.error, ErrorResponse)
    assert answer.error.code == refusal
    assert (answer.error.is_token_error, answer.error.is_final) == kind


@pytest.mark.parametrize(
    "data",
    [
        b"<html>\n",
        b'{"header":{"revision":"x"}}\n',
        b'{"kvs":[{"key":"%"}]}\n',
        b'{"a":"' + b"x" * 3 * MAX_FRAME_BYTES,
        b'{"result":{"events":[{"kv":{"key":"' + b"x" * 70_000 + b'"}}]}}\n',
    ],
    ids=["html", "number", "base64", "frame", "key"],
)
def test_invalid_responses_raise_an_error(data: bytes) -> None:
    with pytest.raises(MalformedResponseError):
        ResponseReader(True).feed(data + b"{" * 70_000)
