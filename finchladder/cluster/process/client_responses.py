"""Responses that the dispatcher generates itself."""

from enum import Enum
from http import HTTPStatus

from aiohttp import web
from attrs import define

from finchladder.cluster.process.log import event
from finchladder.cluster.routing.authorization import UnauthorizedReason
from finchladder.cluster.routing.headers import AUTHENTICATE_HEADER, RETRY_AFTER_HEADER
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.transport.peers import steady


class RejectReason(Enum):
    """Reason for a rejection with 503; the log event `request.refused` contains the value."""

    CONFIGURATION_STALE = "doubtful"
    CONFIGURATION_UNCONFIRMED = "unconfirmed"
    TENANT_CHANGED = "changed"
    SHUTTING_DOWN = "ending"
    NO_REPLICA = "absent"
    NO_CAPACITY = "full"
    QUOTA_UNAVAILABLE = "quota"


AUTHENTICATION_CHALLENGE = "Token"  # authentication scheme that the `Authorization` header must use


class ClientDisconnectedError(Exception):
    """The client's connection is lost, so no response can be sent."""


@define
class ClientResponses:
    """Creates responses. `draining`: whether connections close after their next response."""

    draining: bool = False

    def reject(
        self,
        retry_after_s: float,
        reason: RejectReason,
        request: ClassifiedRequest | None = None,
        tenant_name: str | None = None,
    ) -> web.StreamResponse:
        """Returns a 503 with `Retry-After`: the request was not executed, so the client may retry it."""
        event(
            "request.refused",
            reason=reason.value,
            key="" if request is None else request.key.name,
            tenant=tenant_name or "",
            waited_s=0.0 if request is None else round(steady() - request.arrived_at, 2),
        )
        response = web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, text="the request can't be served now\n"
        )
        response.headers[RETRY_AFTER_HEADER] = f"{retry_after_s:.2f}"
        return self.finish(response)

    def unauthorized(self, reason: UnauthorizedReason) -> web.StreamResponse:
        """Returns a 401: the request has no API key that the configuration in force contains."""
        event("request.unauthorized", reason=reason.value)
        response = web.Response(status=HTTPStatus.UNAUTHORIZED, text="the request has no valid API key\n")
        response.headers[AUTHENTICATE_HEADER] = AUTHENTICATION_CHALLENGE
        return self.finish(response)

    def over_quota(self, retry_after_s: float) -> web.StreamResponse:
        """Returns a 429 with `Retry-After`: the request was not executed, its tenant's quota is exhausted."""
        response = web.Response(status=HTTPStatus.TOO_MANY_REQUESTS, text="the tenant's quota is exhausted\n")
        response.headers[RETRY_AFTER_HEADER] = f"{retry_after_s:.2f}"
        return self.finish(response)

    def error(self, status: HTTPStatus, text: str) -> web.StreamResponse:
        """Returns a response with the status and one line of text."""
        return self.finish(web.Response(status=status, text=text + "\n"))

    def finish(self, response: web.StreamResponse) -> web.StreamResponse:
        """Makes the connection close after the response if `draining` is set; must precede the sending."""
        if self.draining:
            response.force_close()
        return response


def abort_connection(request: web.BaseRequest) -> None:
    """Closes the client's connection, so that a truncated response never looks complete."""
    if request.transport is not None:
        request.transport.abort()
