"""Log events of requests that a listener itself answers: what kind of problem, never their contents."""

from finchladder.cluster.process.log import event
from finchladder.cluster.transport.http_connection import RequestFailure


def log_request_failure(failure: RequestFailure) -> None:
    """Logs a malformed request, or an error in the handler of one."""
    if failure.is_malformed:
        event("request.malformed", problem=failure.problem)
    else:
        event("request.failed", problem=failure.problem, place=failure.location)
