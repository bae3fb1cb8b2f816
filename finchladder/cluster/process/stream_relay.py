"""Relays a streaming response to the client, and resumes an interrupted stream at another worker."""

import aiohttp
from aiohttp import web
from attrs import define, field

from finchladder.cluster.process.attempt import AdmittedRequest
from finchladder.cluster.process.attempt_sender import AttemptSender
from finchladder.cluster.process.client_responses import (
    ClientDisconnectedError,
    ClientResponses,
    abort_connection,
)
from finchladder.cluster.process.worker_stream import WorkerStream
from finchladder.cluster.routing.event_stream import EventBuffer
from finchladder.cluster.routing.headers import (
    CONTENT_LENGTH_HEADER,
    LAST_EVENT_ID_HEADER,
    forwarded_headers,
)


@define
class StreamRelay:
    """Relays one stream. `events`: buffer for its events; None if the route's streams cannot be resumed."""

    request: AdmittedRequest
    sender: AttemptSender
    responses: ClientResponses
    events: EventBuffer | None = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the event buffer if the stream can be resumed."""
        self.events = EventBuffer() if self.request.route.resumable else None

    async def relay(self, stream: WorkerStream) -> web.StreamResponse:
        """Relays the stream until its end; aborts the client connection if the stream can't be resumed.

        All attempts of the stream are closed when this method returns, raises or is cancelled.

        Raises:
            ClientDisconnectedError: The client's connection is lost.
        """
        client_response = self._client_response(stream.response)
        attempted: frozenset[str] = frozenset()
        try:
            await client_response.prepare(self.request.outgoing.client_request)
            while not await self._relay_body(stream.response, client_response):
                stream.close()
                attempted |= {stream.worker.instance}
                resumed = await self._resume(attempted)
                if resumed is None:
                    abort_connection(self.request.outgoing.client_request)
                    return client_response
                stream = resumed
        finally:
            stream.close()
        await client_response.write_eof()
        return client_response

    def _client_response(self, response: aiohttp.ClientResponse) -> web.StreamResponse:
        client_response = web.StreamResponse(
            status=response.status, reason=response.reason, headers=forwarded_headers(response.headers)
        )
        content_length = response.headers.get(CONTENT_LENGTH_HEADER)
        if content_length is not None and not self.request.route.resumable:
            client_response.content_length = int(content_length)
        else:
            client_response.enable_chunked_encoding()
        return self.responses.finish(client_response)

    async def _relay_body(
        self, response: aiohttp.ClientResponse, client_response: web.StreamResponse
    ) -> bool:
        """Relays the body; returns False if the response was interrupted or the deadline has passed."""
        try:
            async with self.sender.timeout_at(self.request.classified.deadline):
                async for received in response.content.iter_any():
                    data = received if self.events is None else self.events.feed(received)
                    if data:
                        await _write(client_response, data)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return self.events is None or not self.events.has_incomplete

    async def _resume(self, attempted: frozenset[str]) -> WorkerStream | None:
        """Resumes the stream after its last complete event; returns None if it can't be resumed."""
        if self.events is None or len(attempted) >= self.request.route.max_attempts:
            return None
        self.events.discard_incomplete()
        requested_event_id = self.request.outgoing.client_request.headers.get(LAST_EVENT_ID_HEADER, "")
        last_event_id = self.events.last_event_id or requested_event_id
        return await self.sender.resume(self.request, attempted, last_event_id)


async def _write(client_response: web.StreamResponse, data: bytes) -> None:
    try:
        await client_response.write(data)
    except (ConnectionError, aiohttp.ClientError) as error:
        raise ClientDisconnectedError from error
