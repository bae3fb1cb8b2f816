"""Server side of an HTTP connection, made silent: neither responses nor logs quote what a client sent.

aiohttp puts the text of a parser's error into its response and, with a traceback, into its own log. Such a
text quotes the header or line that was refused, and with it an API key.
"""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from aiohttp import web
from aiohttp.http import HttpProcessingError
from attrs import frozen

from finchladder.cluster.types.errors import error_kind, error_location

MALFORMED_TEXT = "malformed request\n"
FAILED_TEXT = "the request failed\n"
NO_RESPONSE = "no response"  # the problem where a handler raised nothing


@frozen
class RequestFailure:
    """A request that the server itself answered, without its contents.

    Attributes:
        is_malformed: Whether the request is at fault, not its handler.
        problem: Kind of the error.
        location: Where it was raised; empty if that is unknown.
    """

    is_malformed: bool
    problem: str
    location: str = ""


RequestHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
FailureReporter = Callable[[RequestFailure], None]


class SilentConnection(web.RequestHandler):
    """One connection of a client; failures go to its reporter, nothing to aiohttp's log."""

    __slots__ = ("_report_failure",)

    def __init__(self, *arguments: Any, report_failure: FailureReporter, **options: Any) -> None:
        """Creates a connection; all other arguments are those of aiohttp's."""
        super().__init__(*arguments, **options)
        self._report_failure = report_failure

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,  # of the parser; it quotes the request
    ) -> web.StreamResponse:
        """The response to a malformed request or a failed handler: a fixed text, then the connection closes.

        Raises:
            ConnectionError: A part of another response was already sent.
        """
        is_malformed = isinstance(exc, HttpProcessingError | web.RequestPayloadError)
        self._report(exc, is_malformed)
        if request.writer.output_size > 0:
            raise ConnectionError("a part of the response was already sent")
        if is_malformed and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            status = HTTPStatus.BAD_REQUEST  # its body turned out to be malformed while the handler read it
        response = web.Response(status=status, text=MALFORMED_TEXT if is_malformed else FAILED_TEXT)
        response.force_close()
        return response

    def log_exception(self, *_: Any, **options: Any) -> None:
        """Reports an error that aiohttp would log."""
        self._report(options.get("exc_info"), is_malformed=False)

    def _report(self, error: BaseException | None, is_malformed: bool) -> None:
        problem = NO_RESPONSE if error is None else error_kind(error)
        location = "" if error is None or is_malformed else error_location(error)
        self._report_failure(RequestFailure(is_malformed, problem, location))


class SilentServer(web.Server):
    """Makes the connections of one listener."""

    def __init__(self, handler: RequestHandler, report_failure: FailureReporter, **options: Any) -> None:
        """Creates a server; `options` are those of aiohttp's connections and server."""
        super().__init__(handler, **options)
        self._report_failure = report_failure

    def __call__(self) -> web.RequestHandler:
        """A connection that was just accepted."""
        return SilentConnection(self, loop=self._loop, report_failure=self._report_failure, **self._kwargs)
