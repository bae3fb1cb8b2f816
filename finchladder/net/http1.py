"""HTTP/1.1: incremental parsers, connections and encoders."""

import re
import socket
from asyncio import Future
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, NamedTuple

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

MAX_HEAD_BYTES = 8 * 1024
MAX_FIELDS = 64
MAX_BODY_BYTES = 64 * 1024
# parsed heads that are cached, and the maximum bytes of each: some 0.5 MB in all
HEAD_CACHE_SIZE, MAX_CACHED_HEAD_BYTES = 256, 512
REPEATED_REQUEST_START = b"POST /v1/job-events "
MAX_PIECE_BYTES = 64 * 1024
READ_CHUNK_BYTES = (
    16 * 1024
)  # bytes read from a socket at once: filling a larger buffer with zeros takes too long
REASONS = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

# forwarded messages must be acceptable to strict peers: paths as in RFC 3986, fields of visible ASCII
_REQUEST = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) (/(?:[\w.~:/?@!$&'()*+,;=-]|%[0-9A-Fa-f]{2})*) HTTP/1\.([01])", re.ASCII
)
_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [^\r\n]*)?")
_FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r\n\0]*)")
_FIELDS = re.compile(rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~]*(?:\r\n(?!\Z)|\Z))*")
_PLAIN = re.compile(r"[\t -~]*")
_LENGTH = re.compile(r"[0-9]{1,15}")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?")


class MalformedMessageError(Exception):
    """The peer sent an invalid message.

    Attributes:
        status: The status code for the response to a client.
        allow: The methods of the Allow header with status 405.
    """

    def __init__(self, status: int, why: str, allow: str = "POST") -> None:
        super().__init__(why)
        self.status, self.allow = status, allow


class Frame(NamedTuple):
    """How the end of a message's body is determined."""

    chunked: bool
    length: int
    until_close: bool


class Headers:
    """Header fields in their order of arrival, with case-insensitive names."""

    __slots__ = ("fields", "frame", "_values")

    def __init__(self, fields: list[tuple[str, str]]) -> None:
        self.fields = fields
        self.frame: Frame | None = None  # the framing of the message, cached by `Body`
        self._values: dict[str, list[str]] = {}  # by lower-case name
        for name, value in fields:
            self._values.setdefault(name.lower(), []).append(value)

    def all(self, name: str) -> list[str]:
        """Returns all values of a field, in order."""
        return self._values.get(name, [])

    def get(self, name: str) -> str | None:
        """Returns the value of a field, or None unless it occurs exactly once."""
        values = self._values.get(name, ())
        return values[0] if len(values) == 1 else None

    def tokens(self, name: str) -> set[str]:
        """Returns the comma-separated tokens of a field, in lower case."""
        return {part.strip().lower() for v in self._values.get(name, ()) for part in v.split(",")}


class Head(NamedTuple):
    """A start line and its fields: `method` and `target` of a request, or the `status` of a response."""

    minor: int
    headers: Headers
    method: str = ""
    target: str = ""
    status: int = 0

    @property
    def is_persistent(self) -> bool:
        """Whether the peer keeps the connection open after this message."""
        if not self.minor or self.headers.all("connection"):
            return self._is_persistent_by_field()
        return True

    def _is_persistent_by_field(self) -> bool:
        tokens = self.headers.tokens("connection")
        return "close" not in tokens and (self.minor == 1 or "keep-alive" in tokens)


def _parse_field(line: bytes, plain: bool) -> tuple[str, str]:
    """Returns name and value; `ascii_only` requires visible ASCII, as for requests, which are forwarded."""
    m = _FIELD.fullmatch(line)
    if m is None:
        raise MalformedMessageError(400, "malformed header field")
    value = m[2].decode("latin-1").strip(" \t")
    if plain and not _PLAIN.fullmatch(value):
        raise MalformedMessageError(400, "a header field holds what is not visible ASCII")
    return m[1].decode("ascii"), value


def _parse_headers(lines: list[bytes], plain: bool) -> Headers:
    if len(lines) > MAX_FIELDS:
        raise MalformedMessageError(431, "too many header fields")
    # the usual case; matching all lines at once takes a third of the time
    if _FIELDS.fullmatch(b"\r\n".join(lines)):
        parts = [line.decode("ascii").partition(":") for line in lines]
        return Headers([(name, value.strip(" \t")) for name, _, value in parts])
    return Headers([_parse_field(line, plain) for line in lines])


def parse_request(head: bytes) -> Head:
    """Parses a request line and its header fields.

    The heads of callbacks are cached: a worker repeats the same head, while a client never does.

    Raises:
        MalformedMessageError: They are not valid HTTP/1.1.
    """
    return (
        _cached_request(head)
        if head.startswith(REPEATED_REQUEST_START) and len(head) <= MAX_CACHED_HEAD_BYTES
        else _parse_request_head(head)
    )


def parse_response(head: bytes) -> Head:
    """Parses a status line and its header fields.

    Raises:
        MalformedMessageError: They are not valid HTTP/1.1.
    """
    return _cached_response(head) if len(head) <= MAX_CACHED_HEAD_BYTES else _parse_response_head(head)


def _parse_request_head(head: bytes) -> Head:
    start, *lines = head.split(b"\r\n")
    m = _REQUEST.fullmatch(start)
    if m is None:
        raise MalformedMessageError(400, "malformed request line")
    return Head(int(m[3]), _parse_headers(lines, plain=True), m[1].decode(), m[2].decode())


def _parse_response_head(head: bytes) -> Head:
    start, *lines = head.split(b"\r\n")
    m = _STATUS.fullmatch(start)
    if m is None:
        raise MalformedMessageError(400, "malformed status line")
    return Head(int(m[1]), _parse_headers(lines, plain=False), status=int(m[2]))


_cached_request = lru_cache(HEAD_CACHE_SIZE)(_parse_request_head)
_cached_response = lru_cache(HEAD_CACHE_SIZE)(_parse_response_head)


def frame_of(head: Head) -> Frame:
    """Returns the framing of a message's body (RFC 9112, section 6).

    Raises:
        MalformedMessageError: The framing is ambiguous or unsupported.
    """
    codings, lengths = head.headers.all("transfer-encoding"), set(head.headers.all("content-length"))
    if codings and (lengths or not head.minor or [c.lower() for c in codings] != ["chunked"]):
        # with two framings, peers could disagree on the end of the body
        raise MalformedMessageError(400, "unusable transfer coding")
    if lengths:
        length = lengths.pop()
        if lengths or not _LENGTH.fullmatch(length):
            raise MalformedMessageError(400, "unusable content length")
        return Frame(False, int(length), False)
    ends = head.status and head.status not in (204, 304) and head.status >= 200
    return Frame(bool(codings), 0, bool(ends and not codings))


class Body:
    """Decodes one message's body from the start of a buffer."""

    __slots__ = (
        "chunked",
        "remaining",
        "until_close",
        "is_complete",
        "ascii_only",
        "in_trailers",
        "trailer_count",
        "trailer_bytes",
    )

    def __init__(self, head: Head) -> None:
        frame = head.headers.frame
        if frame is None:
            frame = head.headers.frame = frame_of(head)
        self.chunked, self.remaining, self.until_close = frame
        self.ascii_only = not head.status
        self.in_trailers = False
        self.trailer_count = self.trailer_bytes = 0
        self.is_complete = not (self.chunked or self.remaining or self.until_close)

    def take(self, buffer: bytearray) -> bytes:
        """Removes the available bytes of the body from the buffer and returns their content.

        Raises:
            MalformedMessageError: The chunked coding is malformed.
        """
        if not self.chunked:
            piece = bytes(buffer if self.until_close else buffer[: self.remaining])
            del buffer[: len(piece)]
            self.remaining -= 0 if self.until_close else len(piece)
            self.is_complete = not (self.remaining or self.until_close)
            return piece
        out = bytearray()
        while not self.is_complete and self._chunk(buffer, out):
            pass
        return bytes(out)

    def _chunk(self, buffer: bytearray, out: bytearray) -> bool:
        """Decodes one step of the chunked coding; `remaining` counts a chunk's data with its final CRLF."""
        if self.remaining:
            part = bytes(buffer[: self.remaining])
            del buffer[: len(part)]
            data = max(0, self.remaining - 2)
            out += part[:data]
            if any(
                c != want for c, want in zip(part[data:], b"\r\n"[-min(2, self.remaining) :], strict=False)
            ):
                raise MalformedMessageError(400, "chunk without its end")
            self.remaining -= len(part)
            return not self.remaining
        end = buffer.find(b"\r\n")
        if end < 0 or end > MAX_HEAD_BYTES:
            if len(buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError(400, "chunk head too long")
            return False
        line = bytes(buffer[:end])
        del buffer[: end + 2]
        if self.in_trailers:
            self._take_trailer(line)
        elif (m := _CHUNK.fullmatch(line)) is None:
            raise MalformedMessageError(400, "malformed chunk head")
        else:
            size = int(m[1], 16)
            self.in_trailers, self.remaining = not size, size + 2 if size else 0
        return True

    def _take_trailer(self, line: bytes) -> None:
        """Checks a trailer field as strictly as a header field; its content is discarded."""
        if not line:
            self.is_complete = True
            return
        self.trailer_count, self.trailer_bytes = self.trailer_count + 1, self.trailer_bytes + len(line) + 2
        if self.trailer_count > MAX_FIELDS or self.trailer_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError(400, "too many trailers")
        _parse_field(line, self.ascii_only)


class Parser:
    """Parses the messages of one connection; `limit` gives a head's maximum body size in bytes."""

    def __init__(self, parse: Callable[[bytes], Head], limit: Callable[[Head], int]) -> None:
        self.parse, self.limit = parse, limit
        self.buffer = bytearray()
        self.head: Head | None = None
        self.body: Body | None = None
        self.received = bytearray()

    @property
    def has_begun(self) -> bool:
        """Whether any bytes of the next message have arrived."""
        return bool(self.buffer or self.head)

    @property
    def max_body_bytes(self) -> int:
        """The maximum number of body bytes that may follow the current head."""
        if self.head is None or self.body is None or self.body.is_complete:
            return 0
        return self.limit(self.head) if self.body.chunked else self.body.remaining

    @property
    def has_more(self) -> bool:
        """Whether bytes other than empty lines follow the last message."""
        return bool(self.buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> None:
        """Appends received bytes."""
        self.buffer += data

    def take_head(self) -> Head | None:
        """Returns the next head, or None until it is complete; its body must be taken before the next.

        Raises:
            MalformedMessageError: The head is malformed, or head or body are too long.
        """
        if self.head is not None:
            return self.head
        # empty lines before a message are skipped (RFC 9112, section 2.2)
        while self.buffer.startswith(b"\r\n"):
            del self.buffer[:2]
        end = self.buffer.find(b"\r\n\r\n", 0, MAX_HEAD_BYTES + 4)
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise MalformedMessageError(431, "head too long")
            return None
        head = self.parse(bytes(self.buffer[:end]))
        self.body = Body(head)
        if self.body.remaining > self.limit(head):
            raise MalformedMessageError(413, "body too long")
        del self.buffer[: end + 4]
        self.head = head
        return head

    def take_piece(self) -> bytes:
        """Returns the body bytes that are available."""
        return self.body.take(self.buffer) if self.body else b""

    def poll(self) -> tuple[Head, bytes] | None:
        """Returns the next complete message, or None until more bytes have arrived.

        Raises:
            MalformedMessageError: The message is malformed or too long.
        """
        head = self.head or self.take_head()
        if head is None or (body := self.body) is None:
            return None
        if not (body.chunked or body.until_close or self.received) and body.remaining <= len(self.buffer):
            got = b""  # the usual case: the body is complete
            if body.remaining:
                got = bytes(self.buffer[: body.remaining])
                del self.buffer[: body.remaining]
            self.head = self.body = None
            return head, got
        self.received += self.take_piece()
        if len(self.received) > self.limit(head):
            raise MalformedMessageError(413, "body too long")
        if not body.is_complete:
            return None
        message = head, bytes(self.received)
        self.head, self.body, self.received = None, None, bytearray()
        return message


class Stream(IOStream):
    """An IOStream with fewer system calls.

    It reads once per event, while IOStream reads until the socket is empty. `put` needs no future if the
    socket accepts all bytes, which is the usual case. `is_polled_elsewhere`: something other than the event
    loop reports that the socket is readable or closed.
    """

    last_read_was_short = False  # the last read left space in the buffer, so the socket was empty
    is_polled_elsewhere = False
    # maximum bytes read before they are asked for, so that the peer's close after them is noticed; 0: none
    max_read_ahead = 0

    def _handle_events(self, fd: Any, events: int) -> None:
        """Keeps reading: IOStream stops after an unrequested read and would miss the peer's close."""
        super()._handle_events(fd, events)
        if self.max_read_ahead and self._state is not None and not self.closed():
            if self._read_buffer_size > self.max_read_ahead:
                self.close()  # the peer's close after more bytes than may be read ahead would go unnoticed
            elif not self._state & IOLoop.READ:
                self._add_io_state(IOLoop.READ)

    def put(self, data: bytes) -> Future[None] | None:
        """Writes data; returns None if all is written, else a future for that, or StreamClosedError."""
        if self.closed() or self.writing():
            return self.write(data)
        try:
            sent = self.socket.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:  # IOStream's write gets the same error and closes the stream
            return self.write(data)
        return None if sent == len(data) else self.write(data[sent:])

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads once; after a read that left space in the buffer, reports that nothing is available."""
        if self.last_read_was_short:
            self.last_read_was_short = False
            return None
        count = super().read_from_fd(buf)
        self.last_read_was_short = count is not None and 0 < count < len(buf)
        return count

    def detach(self) -> bool:
        """Leaves the event loop until the next read or write; returns False if there are buffered bytes."""
        if self._state is not None and not self.closed():
            self.io_loop.remove_handler(self.fileno())
            self._state = None
        return self._read_buffer_size == 0

    def _maybe_add_error_listener(self) -> None:
        """Lets an idle stream listen for its peer's close, unless that is reported elsewhere."""
        if not self.is_polled_elsewhere:
            super()._maybe_add_error_listener()


def has_nothing_to_read(connection: socket.socket) -> bool:
    """Whether the socket has nothing to receive, not even the end of the stream."""
    try:
        connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def peer_has_closed(connection: socket.socket) -> bool:
    """Whether the peer has closed or reset the connection; a close behind unread bytes is not detected."""
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


class Channel:
    """One connection: a stream and the parser of what arrives on it."""

    def __init__(self, stream: Stream, parser: Parser) -> None:
        self.stream, self.parser = stream, parser
        stream.set_nodelay(True)

    async def fill(self) -> None:
        """Reads the next bytes into the parser.

        Raises:
            StreamClosedError: The connection is closed.
        """
        self.parser.feed(await self.stream.read_bytes(MAX_PIECE_BYTES, partial=True))

    async def head(self) -> Head:
        """Reads up to the end of the next head."""
        while (head := self.parser.take_head()) is None:
            await self.fill()
        return head

    async def message(self) -> tuple[Head, bytes]:
        """Reads the next complete message, answering `Expect: 100-continue`."""
        invited = False
        while (message := self.parser.poll()) is None:
            if not invited and (head := self.parser.head) and "100-continue" in head.headers.tokens("expect"):
                invited = True
                await self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            await self.fill()
        return message

    async def write(self, data: bytes) -> None:
        """Writes all bytes.

        Raises:
            StreamClosedError: The connection is closed.
        """
        if (writing := self.stream.put(data)) is not None:
            await writing

    def is_reusable(self) -> bool:
        """Whether an idle connection can carry another request; unexpected bytes rule it out."""
        return not (self.stream.closed() or self.parser.has_begun) and self.has_nothing_to_read()

    def has_nothing_to_read(self) -> bool:
        """Whether no unread bytes and no end of the stream have arrived.

        False if no read is pending: then bytes have arrived that the reader has not handled yet.
        """
        return self.stream.reading() and has_nothing_to_read(self.stream.socket)

    def close(self) -> None:
        """Closes the connection."""
        self.stream.close()


def server_parser() -> Parser:
    """Returns a parser of responses with the default body limit."""
    return Parser(parse_response, lambda head: MAX_BODY_BYTES)


Connect = Callable[[tuple[str, int]], Awaitable[Channel]]


async def connect(address: tuple[str, int], make: Callable[[int], socket.socket] = socket.socket) -> Channel:
    """Opens a TCP connection.

    Args:
        address: IP address and port.
        make: Creates a socket of an address family.

    Raises:
        StreamClosedError: The connection failed.
        OSError: The connection failed.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    stream = Stream(make(family), read_chunk_size=READ_CHUNK_BYTES)
    try:
        await stream.connect(address)
    except BaseException:
        stream.close()
        raise
    return Channel(stream, server_parser())


def write_request(method: str, target: str, fields: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encodes a request; Content-Length is added where there is a body, and for POST."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in fields)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_head(status: int, length: int, fields: tuple[str, ...] = (), close: bool = False) -> bytes:
    """Encodes the head of a response; `fields` are complete header lines."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}", *fields]
    if status != 204:
        lines.append(f"Content-Length: {length}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def write_response(
    status: int, body: bytes = b"", fields: tuple[str, ...] = (), close: bool = False
) -> bytes:
    """Encodes a response; `fields` are complete header lines."""
    return write_head(status, len(body), fields, close) + body


__all__ = [
    "MAX_BODY_BYTES",
    "MAX_PIECE_BYTES",
    "READ_CHUNK_BYTES",
    "MalformedMessageError",
    "Body",
    "Channel",
    "Connect",
    "Head",
    "Headers",
    "Parser",
    "Stream",
    "StreamClosedError",
    "connect",
    "peer_has_closed",
    "parse_request",
    "parse_response",
    "has_nothing_to_read",
    "write_head",
    "write_request",
    "write_response",
]
