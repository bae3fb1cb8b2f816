"""Requests with API keys on real sockets: authorization, tenant, and the headers sent to the worker."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import pytest
from aiohttp import ClientResponse, web
from yarl import URL

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot
from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.process.client_responses import RejectReason
from finchladder.cluster.routing.authorization import UnauthorizedReason
from finchladder.cluster.routing.pools import PoolMember, Pools
from finchladder.cluster.types.workers import LoadedModel
from tests.cluster.test_router import (
    DOCUMENT,
    REQUEST_ID_HEADER,
    Handler,
    RouterHarness,
    StandInWorker,
    abort,
    complete_stream,
    not_executed,
    respond,
    resumed_stream,
    route,
    router_harness,
    run_with_timeout,
    stream_events,
    worker_response,
)

SALT = b"salt"
TENANT_HEADER = "X-Finchladder-Tenant"
NORTH = {"name": "north", "api_keys": ["north-1", "north-2"], "priority": 7}
SOUTH = {"name": "south", "api_keys": ["south-1"]}
ROUTES = [
    *DOCUMENT["routes"],  # type: ignore[misc]
    route("/public/", kind="non_idempotent", public=True),
    route("/engine/", kind="non_idempotent", service="llm", priority=1),
]
SERVICES = [{"name": "s"}, {"name": "llm", "engine": {"models": []}}]


def snapshot(version: int = 1, **fields: Any) -> ConfigurationSnapshot:
    document = {**DOCUMENT, "version": version, "routes": ROUTES, "services": SERVICES, **fields}
    return build_snapshot(json.dumps(document).encode(), SALT)


def tenant_snapshot(version: int = 1, *tenants: dict[str, Any], **fields: Any) -> ConfigurationSnapshot:
    return snapshot(version, tenants=list(tenants or (NORTH, SOUTH)), **fields)


@asynccontextmanager
async def tenant_harness(*workers: StandInWorker) -> AsyncIterator[RouterHarness]:
    async with router_harness(*workers) as harness:
        harness.router.snapshot = tenant_snapshot()
        yield harness


def key(text: str) -> dict[str, str]:
    return {"Authorization": f"Token {text}"}


def with_loaded_model(harness: RouterHarness, service: str = "s") -> Pools:
    """Returns pools in which all workers serve that service and have loaded the model `m9`."""
    members = {}
    for instance, member in harness.router.pools.members.items():
        member.worker.service = service
        members[instance] = PoolMember(member.worker, (LoadedModel("m9", ()),))
    return Pools().with_changes(members)


# --- authorization


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        ({}, UnauthorizedReason.MISSING),
        (key("nobody"), UnauthorizedReason.UNKNOWN_KEY),
        (key("NORTH-1"), UnauthorizedReason.UNKNOWN_KEY),
        ({"Authorization": "Bearer north-1"}, UnauthorizedReason.MALFORMED),
        ({"Authorization": "Token north-1, Token north-1"}, UnauthorizedReason.MALFORMED),
        ({TENANT_HEADER: "north"}, UnauthorizedReason.MISSING),
    ],
)
def test_a_request_without_a_valid_key_gets_401_and_is_not_sent(
    headers: dict[str, str], reason: UnauthorizedReason, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        "finchladder.cluster.process.client_responses.event",
        lambda kind, **fields: events.append((kind, fields)),
    )

    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            async with harness.send("/once/", b"body", **headers) as response:
                assert response.status == 401
                assert response.headers["WWW-Authenticate"] == "Token"
            async with harness.send("/once/", b"body", **key("north-1")) as response:
                assert response.status == 200, "the connection is in order"
        assert len(worker.requests) == 1

    run_with_timeout(work)
    assert events == [("request.unauthorized", {"reason": reason.value})]


async def status_of(harness: RouterHarness, *header_lines: str) -> int:
    """Returns the status of a request with exactly these lines; the client library would merge headers."""
    reader, writer = await asyncio.open_connection(*harness.listener.bound_address.split(":"))
    lines = ["POST /once/ HTTP/1.1", "Host: a.example", f"{REQUEST_ID_HEADER}: id-1", *header_lines]
    writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode("latin-1"))
    status_line = await reader.readline()
    await reader.read()
    writer.close()
    return int(status_line.split()[1])


@pytest.mark.parametrize(
    "second",
    [
        "Authorization: Token north-1",
        "authorization: Token north-1",
        "AUTHORIZATION:",
        "Authorization: Basic x",
    ],
)
def test_two_authorization_headers_get_401_even_if_both_hold_a_valid_key(second: str) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            assert await status_of(harness, "Authorization: Token north-1", second) == 401
            assert await status_of(harness, second, "Authorization: Token north-1") == 401
            assert worker.requests == []
            assert await status_of(harness, "Authorization: Token north-1") == 200

    run_with_timeout(work)


@pytest.mark.parametrize("text", ["north-1\xe9", "n\xf6rth-1", "\xff", "north-1\t", "north\t-1"])
def test_bytes_beyond_ascii_never_cause_an_error(text: str) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            is_known = text.strip() == "north-1"
            assert await status_of(harness, f"Authorization: Token {text}") == (200 if is_known else 401)

    run_with_timeout(work)


def test_an_empty_list_of_tenants_closes_all_private_routes() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            harness.router.snapshot = snapshot(2, tenants=[])
            async with harness.send("/once/", b"{}", **key("north-1")) as response:
                assert response.status == 401
            async with harness.send("/public/") as response:
                assert response.status == 200
        assert len(worker.requests) == 1

    run_with_timeout(work)


def test_an_unauthorized_request_with_a_large_body_gets_401() -> None:
    async def work() -> None:
        async with tenant_harness(StandInWorker(respond)) as harness:
            async with harness.send("/once/", b"x" * 1001) as response:
                assert response.status == 401
            async with harness.send("/nowhere/") as response:
                assert response.status == 404

    run_with_timeout(work)


# --- headers sent to the worker


@pytest.mark.parametrize(
    ("path", "headers", "tenant"),
    [
        ("/once/", key("north-1"), "north"),
        ("/once/", key("north-2"), "north"),
        ("/once/", {"aUTHORIZATION": "tOKEN  south-1"}, "south"),
        ("/once/", {**key("north-1"), TENANT_HEADER: "south"}, "north"),
        ("/once/", {**key("north-1"), "x-finchladder-tenant": "south"}, "north"),
        ("/once/", {**key("north-1"), "Connection": "x-finchladder-tenant, authorization"}, "north"),
        ("/public/", {}, None),
        ("/public/", {TENANT_HEADER: "south"}, None),
        ("/public/", key("nobody"), None),
        ("/public/", {"Authorization": "Basic abc"}, None),
        ("/public/", {**key("south-1"), TENANT_HEADER: "north"}, "south"),
    ],
)
def test_the_worker_receives_the_tenant_and_never_the_key(
    path: str, headers: dict[str, str], tenant: str | None
) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness, harness.send(path, b"{}", **headers) as response:
            assert response.status == 200
        ((_, received, _),) = worker.requests
        by_name = {name.lower(): value for name, value in received.items()}
        assert by_name.get(TENANT_HEADER.lower()) == tenant
        assert "authorization" not in by_name

    run_with_timeout(work)


def test_tenant_headers_of_a_client_are_never_forwarded() -> None:
    async def work() -> None:
        seen: list[list[str]] = []

        async def record(request: web.BaseRequest) -> web.StreamResponse:
            seen.append(request.headers.getall(TENANT_HEADER, []))
            return worker_response(request)

        names = (TENANT_HEADER, TENANT_HEADER, TENANT_HEADER.lower(), TENANT_HEADER.upper())
        claims = [f"{name}: south" for name in names]
        async with tenant_harness(StandInWorker(record)) as harness:
            assert await status_of(harness, *claims, "Authorization: Token north-1", *claims) == 200
        assert seen == [["north"]]

    run_with_timeout(work)


def test_without_tenants_the_headers_are_forwarded_unchanged() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with router_harness(worker) as harness:
            for headers in ({}, {**key("any"), TENANT_HEADER: "any"}):
                async with harness.send("/once/", b"{}", **headers) as response:
                    assert response.status == 200
        first, second = (headers for _, headers, _ in worker.requests)
        assert "Authorization" not in first and TENANT_HEADER not in first
        assert (second["Authorization"], second[TENANT_HEADER]) == ("Token any", "any")

    run_with_timeout(work)


@pytest.mark.parametrize(
    ("path", "sent_key", "priority"),
    [
        ("/engine/", "north-1", "7"),
        ("/engine/", "south-1", "1"),
        ("/once/", "north-1", "client's"),
    ],
    ids=["the tenant's", "the route's", "a service without an engine"],
)
def test_the_priority_of_a_tenant_overrides_that_of_the_route(
    path: str, sent_key: str, priority: str
) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            if path == "/engine/":
                harness.router.pools = with_loaded_model(harness, "llm")
            headers = {**key(sent_key), "Priority": "client's", "X-Finchladder-Model": "m9"}
            if path == "/once/":
                del headers["X-Finchladder-Model"]
            async with harness.send(path, b"{}", **headers) as response:
                assert response.status == 200
        assert worker.requests[0][1]["Priority"] == priority

    run_with_timeout(work)


# --- keys that are not known yet


def refreshing(
    harness: RouterHarness, newer: ConfigurationSnapshot | None, is_confirmed: bool
) -> Callable[[], Awaitable[bool]]:
    async def refresh() -> bool:
        await asyncio.sleep(0)
        if newer is not None:
            harness.router.snapshot = newer
        return is_confirmed

    return refresh


WEST = {"name": "west", "api_keys": ["west-1"]}


@pytest.mark.parametrize(
    ("newer", "is_confirmed", "status"),
    [
        (None, True, 401),
        (None, False, 503),
        (tenant_snapshot(2), True, 401),
        (tenant_snapshot(2), False, 503),
        (tenant_snapshot(2, NORTH, WEST), True, 200),
        (tenant_snapshot(2, NORTH, WEST), False, 200),
        (snapshot(2), True, 200),
        (tenant_snapshot(2, routes=[]), True, 404),
        (tenant_snapshot(2, routes=[route("/once/", public=True)]), True, 200),
    ],
)
def test_a_key_that_is_not_known_is_looked_up_in_the_newest_configuration(
    newer: ConfigurationSnapshot | None, is_confirmed: bool, status: int
) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            harness.router.refresh_configuration = refreshing(harness, newer, is_confirmed)
            async with harness.send("/once/", b"{}", **key("west-1")) as response:
                assert response.status == status
                assert ("Retry-After" in response.headers) == (status == 503)
                assert ("WWW-Authenticate" in response.headers) == (status == 401)
        assert len(worker.requests) == (status == 200)

    run_with_timeout(work)


def test_a_rejection_by_an_unconfirmed_configuration_is_logged_as_unconfirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reasons: list[str] = []
    monkeypatch.setattr(
        "finchladder.cluster.process.client_responses.event",
        lambda kind, **fields: reasons.append(fields["reason"]),
    )

    async def work() -> None:
        async with tenant_harness(StandInWorker(respond)) as harness:
            harness.router.refresh_configuration = refreshing(harness, None, is_confirmed=False)
            async with harness.send("/once/") as response:
                assert response.status == 503

    run_with_timeout(work)
    assert reasons == [RejectReason.CONFIGURATION_UNCONFIRMED.value]


@pytest.mark.parametrize(
    ("path", "headers", "tenant"),
    [
        ("/once/", key("north-2"), "north"),
        ("/public/", key("south-1"), "south"),
        ("/public/", key("nobody"), ""),
        ("/public/", {}, ""),
    ],
)
@pytest.mark.parametrize("model", ["", "absent"])
def test_a_rejected_request_is_logged_with_its_tenant(
    path: str, headers: dict[str, str], tenant: str, model: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Either the worker rejects the request, or no worker has its model."""
    events: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(
        "finchladder.cluster.process.client_responses.event",
        lambda kind, **fields: events.append((kind, fields)),
    )

    async def work() -> None:
        async with tenant_harness(StandInWorker(not_executed(503))) as harness:
            sent = {**headers, "X-Finchladder-Deadline-Ms": "300", "X-Finchladder-Model": model}
            async with harness.send(path, b"", **sent) as response:
                assert response.status == 503

    run_with_timeout(work)
    assert [(kind, fields["tenant"]) for kind, fields in events] == [("request.refused", tenant)]


def test_a_known_key_is_not_refreshed() -> None:
    async def work() -> None:
        async def refresh() -> bool:
            pytest.fail("refreshed")

        async with tenant_harness(StandInWorker(respond)) as harness:
            harness.router.refresh_configuration = refresh
            for path, headers in (("/once/", key("north-1")), ("/public/", {}), ("/public/", key("nobody"))):
                async with harness.send(path, b"{}", **headers) as response:
                    assert response.status == 200

    run_with_timeout(work)


# --- configuration changes during a request


async def response_after_change_in_queue(
    harness: RouterHarness, path: str, headers: dict[str, str], newer: ConfigurationSnapshot
) -> ClientResponse:
    """Queues a request without a replica of its model, activates `newer`, then adds the replica."""
    sent = {**headers, "X-Finchladder-Model": "m9"}
    sending = asyncio.create_task(harness.send(path, b"{}", **sent).__aenter__())
    while not harness.router.demand.collect(0.0):
        await asyncio.sleep(0.01)
    harness.router.snapshot = newer
    harness.router.pools = with_loaded_model(harness)
    harness.router.pools_changed.fire()
    response: ClientResponse = await sending
    return response


WITHOUT_KEY = tenant_snapshot(2, {**NORTH, "api_keys": ["north-2"]}, SOUTH)
MOVED_KEY = tenant_snapshot(2, {**NORTH, "api_keys": ["north-2"]}, {**SOUTH, "api_keys": ["north-1"]})
SWAPPED_KEYS = tenant_snapshot(
    2, {**NORTH, "api_keys": ["south-1"]}, {**SOUTH, "api_keys": ["north-1", "north-2"]}
)
STILL_THERE = tenant_snapshot(2, {**NORTH, "priority": 3}, WEST)


@pytest.mark.parametrize(
    ("path", "newer", "status"),
    [
        ("/once/", WITHOUT_KEY, 401),
        ("/once/", MOVED_KEY, 503),
        ("/once/", SWAPPED_KEYS, 503),
        ("/once/", STILL_THERE, 200),
        ("/once/", snapshot(2), 200),
        ("/public/", WITHOUT_KEY, 503),
        ("/public/", MOVED_KEY, 503),
        ("/public/", STILL_THERE, 200),
        ("/public/", snapshot(2), 503),
        ("/public/", tenant_snapshot(2, SOUTH, routes=[route("/public/", public=False)]), 401),
    ],
    ids=[
        "revoked",
        "moved",
        "swapped",
        "still there",
        "no tenants",
        "revoked, on a public route",
        "moved, on a public route",
        "still there, on a public route",
        "no tenants, on a public route",
        "revoked, on a route that is no longer public",
    ],
)
def test_a_key_is_looked_up_again_before_a_queued_request_is_sent(
    path: str, newer: ConfigurationSnapshot, status: int
) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            response = await response_after_change_in_queue(harness, path, key("north-1"), newer)
            assert response.status == status
            assert ("Retry-After" in response.headers) == (status == 503)
            assert ("WWW-Authenticate" in response.headers) == (status == 401)
            response.release()
        assert len(worker.requests) == (status == 200)
        if worker.requests:
            assert worker.requests[0][1][TENANT_HEADER] == "north"

    run_with_timeout(work)


@pytest.mark.parametrize(
    ("headers", "newer", "status"),
    [
        (key("north-1"), tenant_snapshot(2), 503),
        (key("nobody"), tenant_snapshot(2), 401),
        ({}, tenant_snapshot(2), 401),
        ({"Authorization": "Basic abc"}, tenant_snapshot(2), 401),
        (key("north-1"), snapshot(2, tenants=[]), 401),
        (key("north-1"), tenant_snapshot(2, routes=[]), 503),
        (key("nobody"), snapshot(2), 200),
    ],
)
def test_a_queued_request_may_be_retried_when_new_tenants_have_its_key(
    headers: dict[str, str],
    newer: ConfigurationSnapshot,
    status: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    events: list[tuple[str, str]] = []
    monkeypatch.setattr(
        "finchladder.cluster.process.client_responses.event",
        lambda kind, **fields: events.append((kind, fields["reason"])),
    )

    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            harness.router.snapshot = snapshot(1)
            response = await response_after_change_in_queue(harness, "/once/", headers, newer)
            assert response.status == status
            assert ("Retry-After" in response.headers) == (status == 503)
            response.release()
        assert len(worker.requests) == (status == 200)

    run_with_timeout(work)
    expected = {401: [("request.unauthorized", "revoked")], 503: [("request.refused", "changed")], 200: []}
    assert events == expected[status]


@pytest.mark.parametrize(
    ("headers", "newer", "status"),
    [
        ({}, WITHOUT_KEY, 200),
        (key("nobody"), WITHOUT_KEY, 200),
        ({"Authorization": "Basic abc"}, WITHOUT_KEY, 200),
        ({}, snapshot(2), 503),
    ],
)
def test_a_queued_request_without_a_tenant_on_a_public_route_is_sent_while_there_are_tenants(
    headers: dict[str, str], newer: ConfigurationSnapshot, status: int
) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            response = await response_after_change_in_queue(harness, "/public/", headers, newer)
            assert response.status == status
            assert ("Retry-After" in response.headers) == (status == 503)
            response.release()
        assert len(worker.requests) == (status == 200)
        for _, received, _ in worker.requests:
            assert TENANT_HEADER not in received and "Authorization" not in received

    run_with_timeout(work)


@pytest.mark.parametrize(
    "headers", [{}, key("north-1"), key("nobody"), {TENANT_HEADER: "south"}, {"Authorization": "Basic abc"}]
)
def test_a_public_route_forwards_no_key_and_no_tenant_header_when_tenants_appear(
    headers: dict[str, str],
) -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:
            harness.router.snapshot = snapshot(1)
            response = await response_after_change_in_queue(harness, "/public/", headers, tenant_snapshot(2))
            assert response.status == 503
            assert "Retry-After" in response.headers
            response.release()
            assert worker.requests == []
            async with harness.send("/public/", b"{}", **headers, **{"X-Finchladder-Model": "m9"}) as again:
                assert again.status == 200
        ((_, received, _),) = worker.requests
        assert "Authorization" not in received
        assert received.get(TENANT_HEADER) == ("north" if headers == key("north-1") else None)

    run_with_timeout(work)


def then_activate(harness_of: list[RouterHarness], newer: ConfigurationSnapshot, handler: Handler) -> Handler:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        harness_of[0].router.snapshot = newer
        return await handler(request)

    return handle


@pytest.mark.parametrize(
    ("path", "first", "newer", "status"),
    [
        ("/once/", not_executed(503), WITHOUT_KEY, 401),
        ("/again/", abort, WITHOUT_KEY, 502),
        ("/once/", respond, WITHOUT_KEY, 200),
        ("/once/", not_executed(503), MOVED_KEY, 503),
        ("/again/", abort, MOVED_KEY, 502),
        ("/once/", respond, MOVED_KEY, 200),
    ],
    ids=[
        "it has not run",
        "it may have run",
        "it runs already",
        "moved, it has not run",
        "moved, it may have run",
        "moved, it runs already",
    ],
)
def test_a_key_that_was_revoked_or_moved_ends_the_attempts(
    path: str, first: Handler, newer: ConfigurationSnapshot, status: int
) -> None:
    async def work() -> None:
        harnesses: list[RouterHarness] = []
        workers = [StandInWorker(then_activate(harnesses, newer, first)) for _ in range(2)]
        async with tenant_harness(*workers) as harness:
            harnesses.append(harness)
            async with harness.send(path, b"{}", **key("north-1")) as response:
                assert response.status == status
        assert sum(len(worker.requests) for worker in workers) == 1

    run_with_timeout(work)


def test_a_running_stream_continues_after_its_key_was_revoked_but_is_not_resumed() -> None:
    async def work(is_cut_off: bool) -> tuple[bytes, int]:
        may_end = asyncio.Event()

        async def first(request: web.BaseRequest) -> web.StreamResponse:
            response = await stream_events(request, 1, 2, None)
            await may_end.wait()
            if is_cut_off:
                return await abort(request)
            await response.write(b"id: 3\ndata: x\n\n")
            return response

        first_worker, second_worker = StandInWorker(first), StandInWorker(resumed_stream)
        async with (
            tenant_harness(first_worker, second_worker) as harness,
            harness.send("/resumed/", b"{}", **key("north-1")) as response,
        ):
            received = await response.content.readuntil(b"id: 2\ndata: x\n\n")
            harness.router.snapshot = WITHOUT_KEY
            may_end.set()
            try:
                received += await response.content.read()
            except Exception:  # noqa: BLE001 - any exception: the connection was aborted
                received += b"broken"
        return received, len(second_worker.requests)

    async def both() -> None:
        received, resumed = await work(is_cut_off=False)
        assert received.count(b"id: ") == 3 and not received.endswith(b"broken")
        assert resumed == 0
        received, resumed = await work(is_cut_off=True)
        assert received.count(b"id: ") == 2 and received.endswith(b"broken")
        assert resumed == 0

    run_with_timeout(both)


def test_a_resumed_stream_has_its_tenant_header() -> None:
    async def work() -> None:
        async def first(request: web.BaseRequest) -> web.StreamResponse:
            return await stream_events(request, 1, 2, b"id: 3\nda")

        first_worker, second_worker = StandInWorker(first), StandInWorker(resumed_stream, complete_stream)
        async with (
            tenant_harness(first_worker, second_worker) as harness,
            harness.send("/resumed/", b"{}", **key("north-1")) as response,
        ):
            assert (await response.read()).count(b"id: ") == 4
        labels = [w.requests[0][1].get(TENANT_HEADER) for w in (first_worker, second_worker)]
        assert labels == ["north", "north"]

    run_with_timeout(work)


def test_a_request_is_authorized_and_served_by_the_configuration_of_its_arrival() -> None:
    """While the body arrives, a newer configuration replaces the size limit, the engine and the route."""

    async def work() -> None:
        worker = StandInWorker(respond)
        async with tenant_harness(worker) as harness:

            async def body() -> AsyncIterator[bytes]:
                yield b"x" * 500
                await asyncio.sleep(0.1)
                harness.router.snapshot = tenant_snapshot(2, routes=[], limits={"max_body_bytes": 10})
                yield b"x" * 400

            headers = {"Host": "a.example", REQUEST_ID_HEADER: "id-1", **key("north-1")}
            url = URL(f"http://{harness.listener.bound_address}/once/")
            async with harness.client.post(url, data=body(), headers=headers) as response:
                assert response.status == 200
        assert len(worker.requests[0][2]) == 900

    run_with_timeout(work)
