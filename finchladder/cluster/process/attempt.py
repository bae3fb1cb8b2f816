"""One attempt of a request at one worker: what was sent, and what can be said of it afterwards."""

from dataclasses import dataclass

import aiohttp
from aiohttp import web
from yarl import URL

from finchladder.cluster.routing.pools import Backend
from finchladder.cluster.routing.requests import (
    DEADLINE,
    EXPECTED_INSTANCE,
    HOP_BY_HOP,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    PRIORITY,
    REQUEST_ID,
    SIGNATURE,
    onward_headers,
)
from finchladder.cluster.transport.exchange import FIRST_FINAL_STATUS
from finchladder.cluster.transport.http_client import KeepAliveConnector
from finchladder.cluster.transport.peers import steady

CONNECT_S = 0.6
MISDIRECTED = 421
BAD_REQUEST = 400
REDIRECTION = 300  # the first status that is no success


@dataclass(frozen=True)
class NotSent:
    """No byte of the request has left: it may go to another worker."""

    problem: str


@dataclass(frozen=True)
class NotExecuted:
    """The worker says that it has not run the request and will not."""

    status: int
    retry_after_s: float


@dataclass(frozen=True)
class Broken:
    """It may have run: there is no answer to be used."""

    problem: str


@dataclass(frozen=True)
class TimedOut:
    """It may have run: there was no answer in its time."""


@dataclass(frozen=True)
class Answered:
    """The head of the worker's answer; its body is still to be read, and the response to be closed."""

    response: aiohttp.ClientResponse


Outcome = NotSent | NotExecuted | Broken | TimedOut | Answered


@dataclass(frozen=True)
class Sending:
    """What every attempt of one request sends. `until`: steady seconds."""

    request: web.BaseRequest
    body: bytes
    request_id: str
    priority: int | None
    until: float

    def headers(self, backend: Backend, last_event_id: str) -> list[tuple[str, str]]:
        """Headers for that worker; `last_event_id` takes a stream up."""
        replaced = {DEADLINE.lower(), EXPECTED_INSTANCE.lower()}
        if last_event_id:
            replaced.add(LAST_EVENT_ID.lower())
        if self.priority is not None:
            replaced.add(PRIORITY.lower())
        headers = [("Host", self.request.headers.get("Host", ""))]
        headers += onward_headers(self.request.headers, HOP_BY_HOP | replaced)
        headers.append((DEADLINE, str(max(1, int((self.until - steady()) * 1000)))))
        headers.append((EXPECTED_INSTANCE, backend.instance))
        if last_event_id:
            headers.append((LAST_EVENT_ID, last_event_id))
        if self.priority is not None:
            headers.append((PRIORITY, str(self.priority)))
        return headers


async def send(
    session: aiohttp.ClientSession, sending: Sending, backend: Backend, last_event_id: str = ""
) -> Outcome:
    """Sends the request and waits for the head of the answer; the caller bounds the time."""
    left = sending.until - steady()
    if left <= 0:
        return NotSent("its time is over")
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=min(CONNECT_S, left))
    url = URL(f"http://{backend.address}{sending.request.raw_path}", encoded=True)
    try:
        response = await session.request(
            sending.request.method,
            url,
            data=sending.body or None,
            headers=sending.headers(backend, last_event_id),
            allow_redirects=False,
            timeout=timeout,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return NotSent(repr(error))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Broken(repr(error))
    return _judge(session, response, sending)


def _judge(session: aiohttp.ClientSession, response: aiohttp.ClientResponse, sending: Sending) -> Outcome:
    headers, connector = response.headers, session.connector
    if isinstance(connector, KeepAliveConnector) and "Keep-Alive" in headers:
        connector.apply_keep_alive(headers["Keep-Alive"])
    if response.status < FIRST_FINAL_STATUS:
        response.close()
        return Broken("the connection was switched to another protocol")
    if not _answers(response, sending):
        response.close()
        return Broken("the answer belongs to another request")
    if NOT_EXECUTED in headers or response.status == MISDIRECTED:
        response.release()
        return NotExecuted(response.status, _retry_after(headers.get("Retry-After")))
    if response.status < REDIRECTION and SIGNATURE not in headers:
        response.close()
        return Broken("the answer has no signature")
    return Answered(response)


def _answers(response: aiohttp.ClientResponse, sending: Sending) -> bool:
    """Whether the answer names the request; one that could not be read may be refused without its id."""
    named = response.headers.get(REQUEST_ID)
    if named is None:
        return response.status == BAD_REQUEST and NOT_EXECUTED in response.headers
    return named == sending.request_id


def _retry_after(text: str | None) -> float:
    try:
        return max(0.0, float(text)) if text else 0.0
    except ValueError:
        return 0.0
