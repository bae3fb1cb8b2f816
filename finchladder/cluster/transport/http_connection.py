"""Server side of an HTTP connection whose error responses and logs contain no data of the request.

By default aiohttp includes the text of a parser error in its response and, with a traceback, in its log. Such
a text quotes the rejected header or line, which may contain an API key.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http import HttpProcessingError
from attrs import frozen

from finchladder.cluster.transport.bounded_reads import BoundedReads
from finchladder.cluster.types.errors import error_kind, error_location

MALFORMED_TEXT = "malformed request\n"
FAILED_TEXT = "the request failed\n"
NO_RESPONSE = "no response"  # reported problem if a handler returned no response without an exception


@frozen
class RequestFailure:
    """A malformed request or a failed handler, without data of the request.

    Attributes:
        is_malformed: Whether the request is malformed; otherwise its handler failed.
        problem: Kind of the error.
        location: Module and line that raised the error; empty if unknown.
    """

    is_malformed: bool
    problem: str
    location: str = ""


RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
FailureReporter = Callable[[RequestFailure], None]


class RedactingConnection(web.RequestHandler, BoundedReads):
    """One client connection, whose failures are passed to `report_failure` instead of aiohttp's log."""

    __slots__ = ("_report_failure",)

    def __init__(self, *arguments: Any, report_failure: FailureReporter, **options: Any) -> None:
        """Creates a connection; all other arguments are passed to aiohttp."""
        super().__init__(*arguments, **options)
        self._report_failure = report_failure

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,  # parser message, not used because it quotes the request
    ) -> web.StreamResponse:
        """Responds to a malformed request or a failed handler with a fixed text, and closes the connection.

        Raises:
            ConnectionError: Part of another response was already sent.
        """
        is_malformed = isinstance(exc, HttpProcessingError | web.RequestPayloadError)
        self._report(exc, is_malformed)
        if request.writer.output_size > 0:
            raise ConnectionError("part of the response was already sent")
        if is_malformed and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            status = HTTPStatus.BAD_REQUEST  # the handler failed because the request body is malformed
        response = web.Response(status=status, text=MALFORMED_TEXT if is_malformed else FAILED_TEXT)
        response.force_close()
        return response

    def log_exception(self, *_: Any, **options: Any) -> None:
        """Passes an error to `report_failure` instead of logging it."""
        self._report(options.get("exc_info"), is_malformed=False)

    def _report(self, error: BaseException | None, is_malformed: bool) -> None:
        problem = NO_RESPONSE if error is None else error_kind(error)
        location = "" if error is None or is_malformed else error_location(error)
        self._report_failure(RequestFailure(is_malformed, problem, location))


class RedactingServer(web.Server):
    """Creates the connections of one listener."""

    def __init__(self, handler: RequestHandler, report_failure: FailureReporter, **options: Any) -> None:
        """Creates a server; `options` are passed to aiohttp's server and connections."""
        super().__init__(handler, **options)
        self._report_failure = report_failure

    def __call__(self) -> web.RequestHandler:
        """Creates the protocol of an accepted connection."""
        return RedactingConnection(self, loop=self._loop, report_failure=self._report_failure, **self._kwargs)
