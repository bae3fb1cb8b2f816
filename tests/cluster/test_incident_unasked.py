"""Issue 65: workers received clients' API keys instead of the names of the keys' tenants."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any, cast

import pytest
from aiohttp import web

from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from tests.cluster.test_router import (
    DOCUMENT,
    REQUEST_ID_HEADER,
    Handler,
    RouterHarness,
    StandInWorker,
    abort,
    complete_stream,
    respond,
    resumed_stream,
    route,
    router_harness,
    run_with_timeout,
    stream_events,
)

KEY_HEADER = "Authorization"
TENANT_HEADER = "X-Finchladder-Tenant"
KEY, SECOND_KEY, OTHER_KEY = "kbanfqasnmgk", "kcuyj8pjbv", "kz62mwq0r"
TENANT, OTHER_TENANT = "huka270", "deda43"


def tenant(name: str, *keys: str) -> dict[str, Any]:
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "unit": "token_count",
        "raw_tokens": 200,
        "rate_per_s": 0,
        "burst": 0,
    }


TENANTS_DOCUMENT = {
    **DOCUMENT,
    "routes": [
        *({**item, "public": False} for item in cast(list[dict[str, Any]], DOCUMENT["routes"])),
        route("/public/", kind="non_idempotent", public=True),
    ],
    "tenants": [tenant(TENANT, KEY, SECOND_KEY), tenant(OTHER_TENANT, OTHER_KEY)],
}


class HeaderRecorder:
    """Records all header lines that a worker received; `StandInWorker` keeps only one per name."""

    def __init__(self, handler: Handler = respond) -> None:
        self.handler = handler
        self.received: list[list[tuple[str, str]]] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        lines = [(name.decode().lower(), value.decode()) for name, value in request.raw_headers]
        self.received.append(lines)
        return await self.handler(request)

    def values(self, name: str) -> list[list[str]]:
        """Returns the values of that header for each request."""
        return [[value for key, value in lines if key == name.lower()] for lines in self.received]

    def has_key(self) -> bool:
        """Returns whether any header of any request contained a key."""
        lines = [value for received in self.received for _, value in received]
        return any(key in value for key in (KEY, SECOND_KEY, OTHER_KEY) for value in lines)


async def status_of(harness: RouterHarness, path: str, *lines: tuple[str, str]) -> int:
    """Returns the status of a request with exactly these header lines; a client library would merge some."""
    sent = [
        ("Host", "a.example"),
        (REQUEST_ID_HEADER, "id-1"),
        ("X-Finchladder-Deadline-Ms", "2500"),
        ("Content-Length", "2"),
        *lines,
    ]
    if not any(name == "Connection" for name, _ in lines):
        sent.append(("Connection", "close"))
    head = "".join(f"{name}: {value}\r\n" for name, value in sent)
    reader, writer = await asyncio.open_connection(*harness.listener.bound_address.split(":"))
    writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n{{}}".encode())
    response = await reader.read()
    writer.close()
    return int(response.split(b" ", 2)[1])


def send_to_recorder(
    path: str, *lines: tuple[str, str], document: Any = TENANTS_DOCUMENT
) -> tuple[int, HeaderRecorder]:
    """Returns the status of one request, and the recorder of its worker."""
    recorder = HeaderRecorder(complete_stream if path.startswith(("/stream/", "/resumed/")) else respond)
    statuses = []

    async def work() -> None:
        async with router_harness(StandInWorker(recorder.handle)) as harness:
            harness.router.snapshot = build_snapshot(json.dumps(document).encode())
            statuses.append(await status_of(harness, path, *lines))

    run_with_timeout(work)
    return statuses[0], recorder


@pytest.mark.parametrize("path", ["/once/x", "/again/x", "/stream/x", "/resumed/x"])
@pytest.mark.parametrize("name", [KEY_HEADER, "authorization", "AUTHORIZATION"])
def test_a_clients_key_never_reaches_a_worker(path: str, name: str) -> None:
    status, worker = send_to_recorder(path, (name, f"Token {KEY}"))
    assert (status, len(worker.received)) == (200, 1)
    assert worker.values(KEY_HEADER) == [[]]
    assert not worker.has_key()


@pytest.mark.parametrize(
    ("key", "name"), [(KEY, TENANT), (SECOND_KEY, TENANT), (OTHER_KEY, OTHER_TENANT)], ids="123"
)
def test_a_worker_gets_the_name_of_the_tenant_that_holds_the_key(key: str, name: str) -> None:
    status, worker = send_to_recorder("/once/x", (KEY_HEADER, f"Token {key}"))
    assert (status, worker.values(TENANT_HEADER)) == (200, [[name]])


@pytest.mark.parametrize(
    "own",
    [
        [(TENANT_HEADER, OTHER_TENANT)],
        [(TENANT_HEADER, "")],
        [(TENANT_HEADER, OTHER_TENANT), (TENANT_HEADER, OTHER_TENANT)],
        [(TENANT_HEADER, TENANT), (TENANT_HEADER, OTHER_TENANT)],
        [("x-finchladder-tenant", OTHER_TENANT)],
        [("X-FINCHLADDER-TENANT", TENANT), ("x-Finchladder-tenanT", OTHER_TENANT)],
        [(TENANT_HEADER, OTHER_TENANT), ("Connection", f"close, {TENANT_HEADER}")],
    ],
    ids=["other", "empty", "twice", "right-and-other", "lower-case", "two-cases", "named-by-connection"],
)
def test_a_clients_own_tenant_header_never_reaches_a_worker(own: Sequence[tuple[str, str]]) -> None:
    status, worker = send_to_recorder("/once/x", (KEY_HEADER, f"Token {KEY}"), *own)
    assert (status, worker.values(TENANT_HEADER)) == (200, [[TENANT]])


def test_the_worker_of_a_retry_gets_the_tenant_and_not_the_key() -> None:
    recorders = [HeaderRecorder(abort), HeaderRecorder()]

    async def work() -> None:
        async with router_harness(*(StandInWorker(recorder.handle) for recorder in recorders)) as harness:
            harness.router.snapshot = build_snapshot(json.dumps(TENANTS_DOCUMENT).encode())
            own = (TENANT_HEADER, OTHER_TENANT)
            assert await status_of(harness, "/again/x", (KEY_HEADER, f"Token {KEY}"), own) == 200

    run_with_timeout(work)
    for recorder in recorders:
        assert recorder.values(TENANT_HEADER) == [[TENANT]]
        assert recorder.values(KEY_HEADER) == [[]]


def test_the_worker_that_resumes_a_stream_gets_the_tenant_and_not_the_key() -> None:
    async def breaks_later(request: web.BaseRequest) -> web.StreamResponse:
        response = await stream_events(request, 1, 2, None)
        await asyncio.sleep(0.1)
        await response.write(b"id: 3\nda")
        return await abort(request)

    recorders = [HeaderRecorder(breaks_later), HeaderRecorder(resumed_stream)]

    async def work() -> None:
        async with router_harness(*(StandInWorker(recorder.handle) for recorder in recorders)) as harness:
            harness.router.snapshot = build_snapshot(json.dumps(TENANTS_DOCUMENT).encode())
            own = (TENANT_HEADER, OTHER_TENANT)
            assert await status_of(harness, "/resumed/x", (KEY_HEADER, f"Token {KEY}"), own) == 200

    run_with_timeout(work)
    for recorder in recorders:
        assert recorder.values(TENANT_HEADER) == [[TENANT]]
        assert recorder.values(KEY_HEADER) == [[]]


def test_a_public_route_forwards_the_tenant_of_a_known_key_and_not_the_key() -> None:
    own = (TENANT_HEADER, OTHER_TENANT)
    status, worker = send_to_recorder("/public/x", (KEY_HEADER, f"Token {KEY}"), own)
    assert (status, worker.values(TENANT_HEADER)) == (200, [[TENANT]])
    assert worker.values(KEY_HEADER) == [[]]


@pytest.mark.parametrize(
    "lines",
    [[], [(KEY_HEADER, "Token knobodys")], [(KEY_HEADER, "Token")], [(KEY_HEADER, f"Basic {KEY}")]],
    ids=["none", "unknown", "empty", "not-a-token"],
)
def test_a_public_route_forwards_requests_without_a_known_key_without_tenant_and_key(
    lines: Sequence[tuple[str, str]],
) -> None:
    status, worker = send_to_recorder("/public/x", *lines, (TENANT_HEADER, TENANT))
    assert (status, worker.values(TENANT_HEADER)) == (200, [[]])
    assert worker.values(KEY_HEADER) == [[]]


def test_without_tenants_a_key_and_other_headers_are_forwarded_unchanged() -> None:
    lines = [(KEY_HEADER, f"Token {KEY}"), ("Own", "1"), ("Own", "2"), ("Cookie", "a=b")]
    status, worker = send_to_recorder("/once/x", *lines, document=DOCUMENT)
    assert status == 200
    ((*received,),) = worker.received
    assert [line for line in received if line[0] in ("authorization", "own", "cookie")] == [
        (name.lower(), value) for name, value in lines
    ]
