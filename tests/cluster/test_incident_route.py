"""API keys on real sockets: if the configuration has tenants, only requests with a tenant's key run."""

import asyncio
import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from typing import Any

import eliot
import pytest

from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.process import log
from tests.cluster.test_router import (
    DOCUMENT,
    REQUEST_ID_HEADER,
    RouterHarness,
    StandInWorker,
    not_executed,
    respond,
    route,
    router_harness,
    run_with_timeout,
)

TENANT = "huka270"
KEY = "k7qzhuka0banfqasnmgk"
SECOND_KEY = "k9m68k7b2ex5wa5xwyhk"
UNKNOWN_KEY = "k0nobodyeverheldthis"
REJECTION_STATUSES = {400, 401, 431}
UNAUTHORIZED = 401

TENANTS_DOCUMENT = {
    **DOCUMENT,
    "routes": [
        route("/once/", kind="non_idempotent", retries=2, public=False),
        route("/again/", kind="idempotent", retries=2, public=False),
        route("/stream/", kind="streaming", target_latency_ms=800, public=False),
        route("/silent/", kind="non_idempotent", retries=2),
        route("/open/", kind="non_idempotent", retries=2, public=True),
    ],
    "tenants": [
        {
            "name": TENANT,
            "api_keys": [KEY, SECOND_KEY],
            "priority": 1,
            "unit": "token_count",
            "raw_tokens": 200,
            "rate_per_s": 0,
            "burst": 0,
        }
    ],
}

Answer = tuple[int, bytes]  # status and all bytes of the response


async def send_raw(harness: RouterHarness, path: str, *authorization: bytes) -> Answer:
    """Sends each value unchanged in a separate `Authorization` header, on a new connection."""
    host, _, port = harness.listener.bound_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"POST {path} HTTP/1.1".encode(),
        b"Host: a.example",
        f"{REQUEST_ID_HEADER}: id-1".encode(),
        b"X-Finchladder-Deadline-Ms: 2500",
        *(b"Authorization:" + value for value in authorization),
        b"Content-Length: 2",
        b"Connection: close",
        b"",
        b"{}",
    ]
    writer.write(b"\r\n".join(lines))
    response = await reader.read()
    writer.close()
    return int(response.split(b" ", 2)[1]), response


@asynccontextmanager
async def tenants_harness(*workers: StandInWorker) -> AsyncIterator[RouterHarness]:
    async with router_harness(*workers) as harness:
        harness.router.snapshot = build_snapshot(json.dumps(TENANTS_DOCUMENT).encode())
        yield harness


def answer_and_runs(path: str, *authorization: bytes) -> tuple[int, int]:
    """Returns the status and the number of runs; checks that the dispatcher then serves a valid request."""
    results: list[tuple[int, int]] = []

    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenants_harness(worker) as harness:
            status, _ = await send_raw(harness, path, *authorization)
            results.append((status, len(worker.requests)))
            served, _ = await send_raw(harness, "/once/", b" Token " + KEY.encode())
            assert served == 200

    run_with_timeout(work)
    return results[0]


def assert_never_runs(path: str, *authorization: bytes) -> None:
    status, runs = answer_and_runs(path, *authorization)
    assert (status in REJECTION_STATUSES, runs) == (True, 0), f"status {status}, {runs} runs"


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[dict[str, Any]]]:
    """Collects the events of finchladder.cluster.process.log, with a full bucket to avoid drops."""
    monkeypatch.setattr(log, "_limit", log.TokenBucket())
    messages: list[dict[str, Any]] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


@pytest.mark.parametrize("path", ["/once/", "/again/", "/stream/", "/silent/"])
def test_an_unknown_key_gets_401_and_never_runs(path: str) -> None:
    assert answer_and_runs(path, b" Token " + UNKNOWN_KEY.encode()) == (UNAUTHORIZED, 0)


@pytest.mark.parametrize(
    "similar_key",
    [
        TENANT,
        KEY[:-1],
        KEY + "0",
        KEY.upper(),
        f"{KEY},{SECOND_KEY}",
        f'"{KEY}"',
        f"{TENANT}:{KEY}",
    ],
    ids=["name-of-tenant", "prefix", "longer", "other-case", "two-keys", "quoted", "tenant-and-key"],
)
def test_a_value_that_only_resembles_a_key_gets_401_and_never_runs(similar_key: str) -> None:
    assert answer_and_runs("/once/", b" Token " + similar_key.encode()) == (UNAUTHORIZED, 0)


def test_a_request_without_a_key_never_runs() -> None:
    assert answer_and_runs("/once/") == (UNAUTHORIZED, 0)


@pytest.mark.parametrize("scheme", ["Bearer ", "Basic ", "Tokens ", "", "Token", "Token,", "Token="])
def test_a_key_under_another_scheme_never_runs(scheme: str) -> None:
    assert_never_runs("/once/", f" {scheme}{KEY}".encode())


# RFC 9110, section 11.1: the names of schemes are case-insensitive.
@pytest.mark.parametrize("scheme", ["Token", "token", "TOKEN"])
def test_the_scheme_is_case_insensitive(scheme: str) -> None:
    assert answer_and_runs("/once/", f" {scheme} {KEY}".encode()) == (200, 1)


@pytest.mark.parametrize("value", [b"", b" ", b" Token", b" Token ", b" Token \t "])
def test_an_empty_key_never_runs(value: bytes) -> None:
    assert_never_runs("/once/", value)


@pytest.mark.parametrize(
    ("first", "second"),
    [(KEY, UNKNOWN_KEY), (UNKNOWN_KEY, KEY), (KEY, SECOND_KEY), (KEY, KEY)],
    ids=["known-unknown", "unknown-known", "two-known", "the-same-twice"],
)
def test_two_authorization_headers_never_run(first: str, second: str) -> None:
    assert_never_runs("/once/", b" Token " + first.encode(), b" Token " + second.encode())


# The lengths lie below, at and above the limit of the HTTP parser for one field.
@pytest.mark.parametrize("length", [8000, 8192, 12000])
def test_a_key_of_8_kb_is_rejected_without_a_crash(length: int) -> None:
    assert_never_runs("/once/", b" Token " + b"k" * length)


@pytest.mark.parametrize(
    "key",
    ["schlüssel".encode(), "schlüssel".encode("latin-1"), b"\xff\xfe\x80", KEY.encode() + b"\x80"],
    ids=["utf-8", "latin-1", "no-text", "known-and-more"],
)
def test_a_key_that_is_not_ascii_is_rejected_without_a_crash(key: bytes) -> None:
    assert_never_runs("/once/", b" Token " + key)


@pytest.mark.parametrize("control", [b"\x00", b"\x01", b"\x7f"], ids=["nul", "control", "delete"])
def test_a_key_with_a_control_character_is_rejected_without_a_crash(control: bytes) -> None:
    assert_never_runs("/once/", b" Token " + KEY.encode() + control)


# RFC 9110, sections 5.5 and 11.4: a field value excludes surrounding white space; 1*SP follows a scheme.
@pytest.mark.parametrize(
    "value",
    ["Token {}", "   Token {}  ", "\tToken {}\t", " Token   {}"],
    ids=["none", "spaces", "tabs", "several-after-scheme"],
)
@pytest.mark.parametrize("key", [KEY, SECOND_KEY])
def test_white_space_around_a_key_is_allowed(value: str, key: str) -> None:
    assert answer_and_runs("/once/", value.format(key).encode()) == (200, 1)


@pytest.mark.parametrize("authorization", [(), (b" Token " + KEY.encode(),)], ids=["without", "with"])
def test_a_public_route_needs_no_key(authorization: tuple[bytes, ...]) -> None:
    assert answer_and_runs("/open/", *authorization) == (200, 1)


def test_a_route_that_does_not_exist_gets_404_with_and_without_a_key() -> None:
    assert answer_and_runs("/nowhere/", b" Token " + KEY.encode()) == (404, 0)


@pytest.mark.parametrize(
    ("value", "secret"),
    [
        (f" Token {KEY}", KEY),
        (f" Token {UNKNOWN_KEY}", UNKNOWN_KEY),
        (f" Bearer {KEY}", KEY),
        (f" {KEY}", KEY),
        (f" Token {KEY}\x01", KEY),
        (f" Token {KEY}{'k' * 8192}", KEY),
    ],
    ids=["known", "unknown", "other-scheme", "no-scheme", "control", "long"],
)
def test_a_key_appears_in_no_log_and_in_no_response(
    value: str, secret: str, logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    async def work() -> None:
        worker = StandInWorker(not_executed(503))
        async with tenants_harness(worker) as harness:
            refused, _ = await send_raw(harness, "/once/", f" Token {KEY}".encode())
            _, response = await send_raw(harness, "/once/", value.encode())
            assert (refused, secret.encode() in response) == (503, False)
        assert any(message.get("message_type") == "request.refused" for message in logged)
        assert secret not in json.dumps(logged, default=str)
        assert secret not in caplog.text

    run_with_timeout(work)
