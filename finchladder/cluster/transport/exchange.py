"""Client protocol of aiohttp with strict checks of how an exchange with an HTTP server ends.

An exchange consists of a request, any number of 1xx responses and one final response. Its outcome depends on
the received part of the response and on how the connection ends:

    received part             FIN                 reset or timeout    surplus bytes
    nothing                   error               error               -
    incomplete head           error               error               -
    only 1xx responses        error               error               waits for the final response
    incomplete counted body   error               error               -
    complete counted body     complete            complete            complete; connection not reused
    chunks without the last   error               error               -
    all chunks                complete            complete            complete; connection not reused
    body without length       complete            error               part of the body

Surplus bytes neither become a part of the response nor turn it into an error, even if they arrive together
with the response. To ensure this, the parser first gets only the head, so that it delivers the head before it
parses the following bytes. An error is raised to the reader of the body even if some received bytes of the
body are still unread. A final response that arrives before the whole request is sent is delivered. The
connection is then not reused, because the next request would follow an incomplete one.
"""

from functools import partial
from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler

from finchladder.cluster.transport.bounded_reads import BoundedReads

FIRST_FINAL_STATUS = 200
END_OF_HEAD = b"\r\n\r\n"
SWITCHING_PROTOCOLS = 101


class StrictResponseHandler(ResponseHandler, BoundedReads):
    """One connection to a server, with at most one exchange at a time."""

    _final_responses = 0  # number of final response heads in the current exchange
    _head_tail = b""  # last received bytes of an incomplete head

    def set_response_params(self, **parameters: Any) -> None:
        """Begins an exchange; closes the connection if bytes were received since the last exchange."""
        if self._tail or self._buffer:
            self._buffer.clear()
            self._discard()
        self._final_responses = 0
        self._head_tail = b""
        super().set_response_params(**parameters)

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser; aiohttp calls it with empty data to resume after a pause."""
        while data and self._parser is not None and self._final_responses == 0:
            head_length = self._head_length(data)
            super().data_received(data[:head_length])
            data = data[head_length:]
            if not data:
                return
        if not data:
            super().data_received(data)
        elif self._parser is None or self._is_complete():
            self._discard()
        else:
            super().data_received(data)

    def _head_length(self, data: bytes) -> int:
        """Number of bytes in `data` that belong to the current head, which may still be incomplete."""
        before = len(self._head_tail)
        received = self._head_tail + data
        end = received.find(END_OF_HEAD)
        if end < 0:
            self._head_tail = received[-(len(END_OF_HEAD) - 1) :]
            return len(data)
        self._head_tail = b""
        return end + len(END_OF_HEAD) - before

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queues a parsed head for the reader unless the exchange already has its final response."""
        message, _ = data
        is_final = message.code >= FIRST_FINAL_STATUS or message.code == SWITCHING_PROTOCOLS
        if is_final:
            self._final_responses += 1
        if self._final_responses > 1:
            self.force_close()
            return
        if is_final and self._has_unsent_bytes():
            self.force_close()
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the reader of an incomplete body unless the server closed the connection with FIN."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"connection lost in the response body: {exc!r}"), exc)
        super().connection_lost(exc)

    def close(self) -> None:
        """Closes the connection and discards unsent bytes of a request."""
        if self._has_unsent_bytes():
            self.abort()
        else:
            super().close()

    def _is_complete(self) -> bool:
        payload = self._payload
        return self._final_responses > 0 and payload is not None and payload.is_eof()

    def _has_unsent_bytes(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def _discard(self) -> None:
        """Discards received bytes that belong to no exchange, and closes the connection.

        A response that was received before these bytes can still be read.
        """
        self._tail = b""
        self.force_close()
        if self.transport is not None:
            self.transport.close()


def strict_protocols(loop: Any) -> Any:
    """The protocol factory of an aiohttp connector."""
    return partial(StrictResponseHandler, loop=loop)
