"""HTTP/1.1 for the stand-ins, by httptools: parsers of requests and responses, and writers.

Both parsers take bytes however they are split, and hand out whole messages; drivers feed them from protocols.
Bounds: a head of 64 KB, a body of 1 MB, so that a wild peer can't fill the lab's memory.
"""

from typing import NamedTuple

import httptools

MOST_HEAD, MOST_BODY = 64 * 1024, 1024 * 1024


class WireError(Exception):
    """The peer's bytes are no HTTP message, or too many."""


class Message(NamedTuple):
    """A whole request (`method`, `target`) or answer (`status`). Names in lower case; the last one wins."""

    headers: dict[str, str]
    body: bytes
    keeps: bool  # the connection may carry another message
    method: str = ""
    target: str = ""
    status: int = 0


class _Callbacks:
    def __init__(self, out: "Parser") -> None:
        self.out = out

    def on_message_begin(self) -> None:
        self.out._begin()

    def on_url(self, url: bytes) -> None:
        self.out.target += url
        self.out._grow(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.out.headers[name.decode("latin-1").lower()] = value.decode("latin-1")
        self.out._grow(len(name) + len(value))

    def on_headers_complete(self) -> None:
        self.out.head_done = True

    def on_body(self, body: bytes) -> None:
        self.out.body += body
        if len(self.out.body) > self.out.most_body:
            raise WireError("body too long")

    def on_message_complete(self) -> None:
        self.out._complete()


class Parser:
    """Feed it; it returns the messages that became whole. `begun`: some of a message has come."""

    def __init__(self, responses: bool, most_body: int = MOST_BODY) -> None:
        self.most_body = most_body
        calls = _Callbacks(self)
        self.raw: httptools.HttpResponseParser | httptools.HttpRequestParser = (
            httptools.HttpResponseParser(calls) if responses else httptools.HttpRequestParser(calls)
        )
        self.whole: list[Message] = []
        self._begin()
        self.begun = False

    def _begin(self) -> None:
        self.target, self.body = b"", b""
        self.headers: dict[str, str] = {}
        self.size, self.begun, self.head_done = 0, True, False

    def _grow(self, size: int) -> None:
        self.size += size
        if self.size > MOST_HEAD:
            raise WireError("head too long")

    def _complete(self) -> None:
        keeps = bool(self.raw.should_keep_alive())
        if isinstance(self.raw, httptools.HttpResponseParser):
            status = self.raw.get_status_code()
            self.whole.append(Message(self.headers, self.body, keeps, status=status))
        else:
            method = self.raw.get_method().decode("latin-1")
            target = self.target.decode("latin-1")
            self.whole.append(Message(self.headers, self.body, keeps, method, target))
        self.begun = False

    def feed(self, data: bytes) -> list[Message]:
        """WireError: the connection is to be closed."""
        try:
            self.raw.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            cause = e.__context__
            raise WireError(str(cause if isinstance(cause, WireError) else e)) from None
        whole, self.whole = self.whole, []
        return whole


def write_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


REASON = {200: "OK", 202: "Accepted", 204: "No Content", 404: "Not Found", 503: "Service Unavailable"}


def write_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASON.get(status, 'Answer')}"]
    lines += [f"{n}: {v}" for n, v in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
