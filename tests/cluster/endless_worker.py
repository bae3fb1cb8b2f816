"""A worker process whose responses never end, in several forms, for tests with processes of the system.

Usage: python -m tests.cluster.endless_worker FORM STATUS PART, or without PART for a sound worker

It prints its address. It responds soundly to everything but calls of the faulty PART, to which it sends bytes
until the caller closes the connection.
"""

import asyncio
import json
import sys
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum
from http import HTTPStatus
from itertools import count

from attrs import frozen

HOST = "127.0.0.1"
PIECE_BYTES = 1 << 16
INSTANCE = "i-endless"
REPORT = {"models": [], "busy": False, "sequence": 0}
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"


class Form(Enum):
    """A form of a response without end."""

    HEADER_LINE = "header-line"
    INTERIM_HEADS = "interim-heads"
    CHUNK_SIZE_JUNK = "chunk-size-junk"
    CHUNK_SIZE_ZEROS = "chunk-size-zeros"
    CHUNK_EXTENSION = "chunk-extension"
    ONE_CHUNK = "one-chunk"
    ONE_BYTE_CHUNKS = "one-byte-chunks"
    HUGE_LENGTH = "huge-length"
    NO_LENGTH = "no-length"
    INCOMPLETE_EVENT = "incomplete-event"
    WHOLE_EVENTS = "whole-events"
    TRAILERS = "trailers"


class Part(Enum):
    """The calls that get a response without end."""

    REQUEST = "request"
    REPORT = "report"
    ORDER = "order"
    HEALTH = "health"


PATHS = {"/api/report": Part.REPORT, "/api/order": Part.ORDER, "/healthz": Part.HEALTH}


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _repeated(piece: bytes) -> bytes:
    return piece * max(1, PIECE_BYTES // len(piece))


def _whole_events() -> Iterator[bytes]:
    for first in count(0, 64):
        events = (b"id: %d\ndata: %s\n\n" % (first + n, b"x" * 1000) for n in range(64))
        yield b"".join(_chunk(event) for event in events)


def body_of(form: Form) -> tuple[bytes, Iterator[bytes]]:
    """Returns what follows the common headers, and the pieces that are then sent without end."""
    plain = b"x" * PIECE_BYTES

    def endlessly(piece: bytes) -> Iterator[bytes]:
        return (piece for _ in count())

    match form:
        case Form.HEADER_LINE:
            return b"X-Long: ", endlessly(plain)
        case Form.INTERIM_HEADS:
            return b"", endlessly(_repeated(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"))
        case Form.CHUNK_SIZE_JUNK:
            return CHUNKED, endlessly(b"z" * PIECE_BYTES)
        case Form.CHUNK_SIZE_ZEROS:
            return CHUNKED, endlessly(b"0" * PIECE_BYTES)
        case Form.CHUNK_EXTENSION:
            return CHUNKED + b"1;", endlessly(plain)
        case Form.ONE_CHUNK:
            return CHUNKED + b"FFFFFFFFFFFF\r\n", endlessly(plain)
        case Form.ONE_BYTE_CHUNKS:
            return CHUNKED, endlessly(_repeated(_chunk(b"x")))
        case Form.HUGE_LENGTH:
            return b"Content-Length: 1000000000000000\r\n\r\n", endlessly(plain)
        case Form.NO_LENGTH:
            return b"Connection: close\r\n\r\n", endlessly(plain)
        case Form.INCOMPLETE_EVENT:
            return EVENT_STREAM + CHUNKED, endlessly(_repeated(_chunk(b"data: y\n")))
        case Form.WHOLE_EVENTS:
            return EVENT_STREAM + CHUNKED, _whole_events()
        case Form.TRAILERS:
            return CHUNKED + b"0\r\n", endlessly(_repeated(b"X-Trailer: y\r\n"))


@frozen
class EndlessWorker:
    """One worker; `part`: the calls that get a response of the `form` with the `status`."""

    form: Form
    status: HTTPStatus
    part: Part | None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        with suppress(OSError, EOFError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                headers = {
                    name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
                }
                await reader.readexactly(int(headers.get("content-length", "0")))
                part = PATHS.get(first.split(" ")[1], Part.REQUEST)
                request_id = headers.get("x-finchladder-request-id", "")
                if part is self.part:
                    await self._pour(writer, request_id)
                    return
                writer.write(_sound_response(part, request_id))
                await writer.drain()
        writer.close()

    async def _pour(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Sends bytes until the caller closes the connection."""
        head_end, pieces = body_of(self.form)
        status_line = f"HTTP/1.1 {self.status.value} {self.status.phrase}\r\n".encode()
        writer.write(
            (b"" if self.form is Form.INTERIM_HEADS else status_line + _headers(request_id)) + head_end
        )
        for piece in pieces:
            writer.write(piece)
            await writer.drain()


def _headers(request_id: str) -> bytes:
    return (
        f"X-Finchladder-Request-Id: {request_id}\r\nX-Finchladder-Response-Signature: s\r\n"
        f"X-Finchladder-Instance-Id: {INSTANCE}\r\n"
    ).encode()


def _sound_response(part: Part, request_id: str) -> bytes:
    body = json.dumps(REPORT).encode() if part is Part.REPORT else b"done"
    return b"HTTP/1.1 200 OK\r\n" + _headers(request_id) + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


async def main(form: str = Form.NO_LENGTH.value, status: str = "200", part: str = "") -> None:
    """Serves until the process is ended."""
    worker = EndlessWorker(Form(form), HTTPStatus(int(status)), Part(part) if part else None)
    server = await asyncio.start_server(worker.serve, HOST, 0)
    host, port = server.sockets[0].getsockname()[:2]
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
