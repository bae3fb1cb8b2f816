"""Neither the own responses of a process nor its log lines quote received data."""

import asyncio
import json
import logging
from collections.abc import Iterator
from typing import Any

import eliot
import pytest
from aiohttp import web

from finchladder.cluster.process import log
from finchladder.cluster.process.control_api import ControlApi
from finchladder.cluster.process.request_failures import log_request_failure
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import PEER_PATH, peer_handler
from finchladder.cluster.types.messages import PullUpdates, encoder
from tests.cluster.test_router import RouterHarness, StandInWorker, router_harness, run_with_timeout

SECRET = b"k7qzhuka0banfqasnmgk"
SECRET_TEXT = SECRET.decode()
HOST = b"Host: a.example\r\n"
CHUNKED = b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n"
LONG = 9000  # bytes; above the parser's limit for one line or field
MALFORMED = {
    "method": SECRET + b"\x01 / HTTP/1.1\r\n\r\n",
    "first-line": SECRET + b"\r\n\r\n",
    "long-path": b"GET /" + SECRET * (LONG // len(SECRET)) + b" HTTP/1.1\r\n\r\n",
    "url": b"GET http://[" + SECRET + b" HTTP/1.1\r\n" + HOST + b"\r\n",
    "version": b"GET / HTTP/" + SECRET + b"\r\n\r\n",
    "field-name": b"GET / HTTP/1.1\r\n" + HOST + b"X " + SECRET + b": 1\r\n\r\n",
    "field-without-colon": b"GET / HTTP/1.1\r\n" + HOST + SECRET + b"\r\n\r\n",
    "field-value": b"GET / HTTP/1.1\r\n" + HOST + b"Authorization: Token " + SECRET + b"\x01\r\n\r\n",
    "long-value": b"GET / HTTP/1.1\r\n" + HOST + b"A: " + SECRET + b"k" * LONG + b"\r\n\r\n",
    "long-name": b"GET / HTTP/1.1\r\n" + HOST + SECRET + b"k" * LONG + b": 1\r\n\r\n",
    "length": b"POST / HTTP/1.1\r\n" + HOST + b"Content-Length: " + SECRET + b"\r\n\r\n",
    "coding": b"POST / HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: " + SECRET + b"\r\n\r\n",
    "chunk-size": CHUNKED + SECRET + b"\r\n",
    "chunk-end": CHUNKED + b"1\r\nx" + SECRET + b"\r\n",
    "trailer": CHUNKED + b"0\r\nA: " + SECRET + b"\x01\r\n\r\n",
}


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[dict[str, Any]]]:
    """Collects the logged events, with a full bucket."""
    monkeypatch.setattr(log, "_limit", log.TokenBucket())
    messages: list[dict[str, Any]] = []
    eliot.add_destinations(messages.append)
    messages.clear()  # the first destination of a process gets earlier messages
    yield messages
    eliot.remove_destination(messages.append)


def kinds(logged: list[dict[str, Any]]) -> list[str]:
    return [message["message_type"] for message in logged]


def assert_secret_not_quoted(
    logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture, response: bytes
) -> None:
    assert SECRET not in response
    assert SECRET_TEXT not in json.dumps(logged, default=str)
    assert caplog.text == ""


async def response_to(listener: Listener, request: bytes) -> bytes:
    """Returns all bytes received until the server closes the connection."""
    host, _, port = listener.bound_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    response = await reader.read()
    writer.close()
    return response


def exchange(handler: Any, request: bytes) -> bytes:
    responses: list[bytes] = []

    async def work() -> None:
        listener = Listener(handler, "127.0.0.1:0", report_failure=log_request_failure)
        await listener.start()
        responses.append(await response_to(listener, request))
        await listener.stop()

    run_with_timeout(work)
    return responses[0]


async def read_body(request: web.BaseRequest) -> web.StreamResponse:
    await request.content.read()
    return web.Response()


@pytest.mark.parametrize("request_bytes", MALFORMED.values(), ids=MALFORMED.keys())
def test_a_malformed_request_gets_400_and_is_not_quoted(
    request_bytes: bytes, logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.DEBUG, logger="aiohttp")
    response = exchange(read_body, request_bytes)
    assert response.startswith(b"HTTP/1.0 400 ") or response.startswith(b"HTTP/1.1 400 ")
    assert kinds(logged) == ["request.malformed"]
    assert logged[0]["problem"]
    assert_secret_not_quoted(logged, caplog, response)


def test_an_error_of_a_handler_gets_500_and_its_text_is_not_quoted(
    logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    async def fail(request: web.BaseRequest) -> web.StreamResponse:
        raise ValueError(request.headers["Authorization"])

    request = b"GET / HTTP/1.1\r\n" + HOST + b"Authorization: Token " + SECRET + b"\r\n\r\n"
    response = exchange(fail, request)
    assert response.startswith(b"HTTP/1.1 500 ")
    assert kinds(logged) == ["request.failed"]
    assert logged[0]["problem"] == "ValueError"
    assert logged[0]["place"].startswith(f"{__name__}:")
    assert_secret_not_quoted(logged, caplog, response)


def test_a_handler_without_a_response_gets_500_and_an_event(
    logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    async def forget(request: web.BaseRequest) -> Any:
        return {"key": SECRET_TEXT}

    response = exchange(forget, b"GET / HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 500 ")
    assert kinds(logged) == ["request.failed"]
    assert_secret_not_quoted(logged, caplog, response)


@pytest.mark.parametrize(
    "body",
    [
        b"{" + SECRET,
        b'{"phase": "' + SECRET + b'"}',
        b'["' + SECRET + b'"]',
        b'{"address": "' + SECRET + b'\xff"}',
    ],
    ids=["syntax", "enumeration", "type", "encoding"],
)
def test_a_malformed_heartbeat_gets_400_and_is_not_quoted(
    body: bytes, logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    none: Any = None  # a malformed heartbeat reaches no other part
    head = b"PUT /api/instances/i-0 HTTP/1.1\r\n" + HOST + b"Connection: close\r\nContent-Length: %d\r\n\r\n"
    response = exchange(ControlApi(none, none, none, "").handle, head % len(body) + body)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert_secret_not_quoted(logged, caplog, response)


def test_a_malformed_message_of_a_peer_gets_400_and_is_not_quoted(
    logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    none: Any = None  # a malformed message reaches no handler
    body = encoder.encode(PullUpdates(SECRET_TEXT + "~", {}, 0, 0, 0, is_dispatcher=True)).replace(
        b"~", b"\xff"
    )
    head = (
        b"POST "
        + PEER_PATH.encode()
        + b" HTTP/1.1\r\n"
        + HOST
        + b"Connection: close\r\nContent-Length: %d\r\n\r\n"
    )
    response = exchange(peer_handler(none), head % len(body) + body)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert_secret_not_quoted(logged, caplog, response)


def test_a_failed_attempt_is_logged_without_the_headers_that_were_sent(
    logged: list[dict[str, Any]], caplog: pytest.LogCaptureFixture
) -> None:
    """Without tenants the client's key is forwarded, and aiohttp's error lists all sent headers."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 no status\r\n\r\n")
        writer.close()

    async def send(harness: RouterHarness) -> bytes:
        (member,) = harness.router.pools.members.values()
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        member.worker.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with harness.send("/once/", Authorization=f"Token {SECRET_TEXT}") as response:
            body: bytes = await response.read()
        server.close()
        return body

    async def work() -> None:
        async with router_harness(StandInWorker()) as harness:
            response = await send(harness)
        assert "attempt.failed" in kinds(logged)
        assert_secret_not_quoted(logged, caplog, response)

    run_with_timeout(work)


def test_a_failed_task_is_logged_without_the_data_that_it_read(logged: list[dict[str, Any]]) -> None:
    async def decode() -> None:
        (SECRET + b"\xff").decode()

    async def work() -> None:
        tasks = Tasks()
        tasks.spawn(decode(), "once")
        tasks.repeat(decode, "again")
        await asyncio.sleep(0.05)
        await tasks.stop()

    run_with_timeout(work)
    assert kinds(logged) == ["task.failed", "task.failed"]
    assert {message["error"] for message in logged} == {"UnicodeDecodeError"}
    assert SECRET_TEXT not in json.dumps(logged, default=str)


def test_a_library_log_record_becomes_an_event_without_its_text(logged: list[dict[str, Any]]) -> None:
    logger = logging.Logger("some.library")
    logger.addHandler(log.LibraryHandler(logging.WARNING))
    try:
        raise ValueError(SECRET_TEXT)
    except ValueError:
        logger.exception("it got %s", SECRET_TEXT)
    logger.info("it got %s", SECRET_TEXT)
    assert kinds(logged) == ["library.logged"]
    assert (logged[0]["logger"], logged[0]["error"]) == ("some.library", "ValueError")
    assert SECRET_TEXT not in json.dumps(logged, default=str)


def test_library_log_records_count_towards_the_line_limit(logged: list[dict[str, Any]]) -> None:
    logger = logging.Logger("some.library")
    logger.addHandler(log.LibraryHandler(logging.WARNING))
    for _ in range(2 * log.MAX_BURST_EVENTS):
        logger.error("again")
    assert log.MAX_BURST_EVENTS <= len(logged) < 2 * log.MAX_BURST_EVENTS
