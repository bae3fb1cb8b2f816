"""One attempt of a request at one worker: what was sent, and what can be said of it afterwards."""

from dataclasses import dataclass

import aiohttp
from aiohttp import web
from yarl import URL

from finchladder.cluster.routing.pools import Worker
from finchladder.cluster.routing.requests import (
    DEADLINE_HEADER,
    EXPECTED_INSTANCE_HEADER,
    HOP_BY_HOP_HEADERS,
    LAST_EVENT_ID_HEADER,
    NOT_EXECUTED_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESPONSE_SIGNATURE_HEADER,
    forwarded_headers,
)
from finchladder.cluster.transport.exchange import FIRST_FINAL_STATUS
from finchladder.cluster.transport.http_client import HeedingConnector
from finchladder.cluster.transport.peers import steady

CONNECT_TIMEOUT_S = 0.6
MISDIRECTED = 421
BAD_REQUEST = 400
FIRST_REDIRECTION_STATUS = 300  # the first status that is no success


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
class Responded:
    """The head of the worker's answer; its body is still to be read, and the response to be closed."""

    response: aiohttp.ClientResponse


Outcome = NotSent | NotExecuted | Broken | TimedOut | Responded


@dataclass(frozen=True)
class OutgoingRequest:
    """What every attempt of one request sends. `until`: steady seconds."""

    client_request: web.BaseRequest
    body: bytes
    request_id: str
    priority: int | None
    deadline: float

    def headers(self, worker: Worker, last_event_id: str) -> list[tuple[str, str]]:
        """Headers for that worker; `last_event_id` takes a stream up."""
        replaced = {DEADLINE_HEADER.lower(), EXPECTED_INSTANCE_HEADER.lower()}
        if last_event_id:
            replaced.add(LAST_EVENT_ID_HEADER.lower())
        if self.priority is not None:
            replaced.add(PRIORITY_HEADER.lower())
        headers = [("Host", self.client_request.headers.get("Host", ""))]
        headers += forwarded_headers(self.client_request.headers, HOP_BY_HOP_HEADERS | replaced)
        headers.append((DEADLINE_HEADER, str(max(1, int((self.deadline - steady()) * 1000)))))
        headers.append((EXPECTED_INSTANCE_HEADER, worker.instance))
        if last_event_id:
            headers.append((LAST_EVENT_ID_HEADER, last_event_id))
        if self.priority is not None:
            headers.append((PRIORITY_HEADER, str(self.priority)))
        return headers


async def send(
    session: aiohttp.ClientSession, outgoing: OutgoingRequest, worker: Worker, last_event_id: str = ""
) -> Outcome:
    """Sends the request and waits for the head of the answer; the caller bounds the time."""
    left = outgoing.deadline - steady()
    if left <= 0:
        return NotSent("its time is over")
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=min(CONNECT_TIMEOUT_S, left))
    url = URL(f"http://{worker.address}{outgoing.client_request.raw_path}", encoded=True)
    try:
        response = await session.request(
            outgoing.client_request.method,
            url,
            data=outgoing.body or None,
            headers=outgoing.headers(worker, last_event_id),
            allow_redirects=False,
            timeout=timeout,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        return NotSent(repr(error))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Broken(repr(error))
    return _classify_response(session, response, outgoing)


def _classify_response(
    session: aiohttp.ClientSession, response: aiohttp.ClientResponse, outgoing: OutgoingRequest
) -> Outcome:
    headers, connector = response.headers, session.connector
    if isinstance(connector, HeedingConnector) and "Keep-Alive" in headers:
        connector.heed(headers["Keep-Alive"])
    if response.status < FIRST_FINAL_STATUS:
        response.close()
        return Broken("the connection was switched to another protocol")
    if not _is_response_to(response, outgoing):
        response.close()
        return Broken("the answer belongs to another request")
    if NOT_EXECUTED_HEADER in headers or response.status == MISDIRECTED:
        response.release()
        return NotExecuted(response.status, _parse_retry_after_s(headers.get("Retry-After")))
    if response.status < FIRST_REDIRECTION_STATUS and RESPONSE_SIGNATURE_HEADER not in headers:
        response.close()
        return Broken("the answer has no signature")
    return Responded(response)


def _is_response_to(response: aiohttp.ClientResponse, outgoing: OutgoingRequest) -> bool:
    """Whether the answer names the request; one that could not be read may be refused without its id."""
    named = response.headers.get(REQUEST_ID_HEADER)
    if named is None:
        return response.status == BAD_REQUEST and NOT_EXECUTED_HEADER in response.headers
    return named == outgoing.request_id


def _parse_retry_after_s(text: str | None) -> float:
    try:
        return max(0.0, float(text)) if text else 0.0
    except ValueError:
        return 0.0
