"""One attempt to send a request to a worker: the data that is sent, and the outcome of the attempt."""

from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from aiohttp import web
from yarl import URL

from finchladder.cluster.configuration.snapshot import Route
from finchladder.cluster.process.request_quota import RequestQuota
from finchladder.cluster.routing.authorization import Authorized
from finchladder.cluster.routing.headers import (
    DEADLINE_HEADER,
    EXPECTED_INSTANCE_HEADER,
    HOP_BY_HOP_HEADERS,
    HOST_HEADER,
    IDENTITY_HEADERS,
    KEEP_ALIVE_HEADER,
    LAST_EVENT_ID_HEADER,
    NOT_EXECUTED_HEADER,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESPONSE_SIGNATURE_HEADER,
    RETRY_AFTER_HEADER,
    TENANT_HEADER,
    forwarded_headers,
)
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.exchange import FIRST_FINAL_STATUS
from finchladder.cluster.transport.http_client import KeepAliveConnector
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import error_kind

CONNECT_TIMEOUT_S = 0.6
FIRST_REDIRECTION_STATUS = 300  # lowest status code above those for success (2xx)


@dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent, so it may be sent to another worker."""

    problem: str


@dataclass(frozen=True)
class NotExecuted:
    """The worker responded that it has not run the request and will not run it."""

    status: int
    retry_after_s: float


@dataclass(frozen=True)
class Broken:
    """The request may have run, but there is no usable response."""

    problem: str


@dataclass(frozen=True)
class TimedOut:
    """The request may have run, but no response arrived before the deadline."""


@dataclass(frozen=True)
class Responded:
    """The head of the worker's response arrived; the caller reads the body and closes the response."""

    response: aiohttp.ClientResponse


FailedAttempt = NotSent | NotExecuted | Broken | TimedOut
Outcome = FailedAttempt | Responded

DEADLINE_PASSED = NotSent("the deadline of the request has passed")


@dataclass(frozen=True)
class OutgoingRequest:
    """The data of a request that each of its attempts sends.

    Attributes:
        priority: Replaces the client's priority; None: the client's priority is forwarded.
        deadline: Deadline of the request, in monotonic seconds.
        hides_identity: Whether the client's API key and tenant headers are not forwarded.
        tenant_name: The tenant name that is sent to the worker; None: no name is sent.
    """

    client_request: web.BaseRequest
    body: bytes
    request_id: str
    priority: int | None
    deadline: float
    hides_identity: bool = False
    tenant_name: str | None = None

    def headers(self, worker: Worker, last_event_id: str) -> list[tuple[str, str]]:
        """Returns the headers for the worker in wire order; a non-empty `last_event_id` resumes a stream."""
        written = [
            (DEADLINE_HEADER, str(self._remaining_ms())),
            (EXPECTED_INSTANCE_HEADER, worker.instance),
        ]
        if last_event_id:
            written.append((LAST_EVENT_ID_HEADER, last_event_id))
        if self.priority is not None:
            written.append((PRIORITY_HEADER, str(self.priority)))
        if self.tenant_name is not None:
            written.append((TENANT_HEADER, self.tenant_name))
        dropped = HOP_BY_HOP_HEADERS | {name.lower() for name, _ in written}
        if self.hides_identity:
            dropped |= IDENTITY_HEADERS
        host = (HOST_HEADER, self.client_request.headers.get(HOST_HEADER, ""))
        return [host, *forwarded_headers(self.client_request.headers, dropped), *written]

    def _remaining_ms(self) -> int:
        return max(1, int((self.deadline - steady()) * 1000))


@dataclass(frozen=True)
class AdmittedRequest:
    """An admitted request: its authorization, classification and quota, and the data that attempts send."""

    authorized: Authorized
    classified: ClassifiedRequest
    outgoing: OutgoingRequest
    quota: RequestQuota

    @property
    def route(self) -> Route:
        """The route that the request matched."""
        return self.authorized.route


async def send(
    session: aiohttp.ClientSession, outgoing: OutgoingRequest, worker: Worker, last_event_id: str = ""
) -> Outcome:
    """Sends the request and waits for the head of the response; the caller sets the timeout."""
    remaining_s = outgoing.deadline - steady()
    if remaining_s <= 0:
        return DEADLINE_PASSED
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=min(CONNECT_TIMEOUT_S, remaining_s))
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
        return NotSent(error_kind(error))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Broken(error_kind(error))
    _apply_keep_alive(session, response)
    return _classify_response(response, outgoing)


def _apply_keep_alive(session: aiohttp.ClientSession, response: aiohttp.ClientResponse) -> None:
    connector = session.connector
    if isinstance(connector, KeepAliveConnector) and KEEP_ALIVE_HEADER in response.headers:
        connector.apply_keep_alive(response.headers[KEEP_ALIVE_HEADER])


def _classify_response(response: aiohttp.ClientResponse, outgoing: OutgoingRequest) -> Outcome:
    """Classifies a response by its head; a response that is not forwarded is closed or released."""
    headers = response.headers
    if response.status < FIRST_FINAL_STATUS:
        response.close()
        return Broken("the worker switched the connection to another protocol")
    if not _is_response_to(response, outgoing):
        response.close()
        return Broken("the response has no request id or that of another request")
    if NOT_EXECUTED_HEADER in headers or response.status == HTTPStatus.MISDIRECTED_REQUEST:
        response.release()
        return NotExecuted(response.status, _parse_retry_after_s(headers.get(RETRY_AFTER_HEADER)))
    if response.status < FIRST_REDIRECTION_STATUS and RESPONSE_SIGNATURE_HEADER not in headers:
        response.close()
        return Broken("the response has no signature header")
    return Responded(response)


def _is_response_to(response: aiohttp.ClientResponse, outgoing: OutgoingRequest) -> bool:
    """Returns whether the response has the request's id.

    A response without an id is accepted if it reports that the worker could not parse the request.
    """
    request_id = response.headers.get(REQUEST_ID_HEADER)
    if request_id is None:
        return response.status == HTTPStatus.BAD_REQUEST and NOT_EXECUTED_HEADER in response.headers
    return request_id == outgoing.request_id


def _parse_retry_after_s(text: str | None) -> float:
    try:
        return max(0.0, float(text)) if text else 0.0
    except ValueError:
        return 0.0
