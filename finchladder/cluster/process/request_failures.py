"""Logs requests that a listener rejects: the kind of the problem, but no data of the request."""

from finchladder.cluster.process.log import event
from finchladder.cluster.transport.http_connection import RequestFailure


def log_request_failure(failure: RequestFailure) -> None:
    """Logs a malformed request, or an error in a request's handler."""
    if failure.is_malformed:
        event("request.malformed", problem=failure.problem)
    else:
        event("request.failed", problem=failure.problem, place=failure.location)
