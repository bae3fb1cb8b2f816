"""The internal protocol: requests and replies in MessagePack, with one HTTP POST for each request."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence

import aiohttp
from aiohttp import web

from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.types.errors import (
    DECODE_ERRORS,
    ClusterError,
    PeerRefusedError,
    PeerUnreachableError,
    error_kind,
)
from finchladder.cluster.types.messages import (
    Failure,
    Reply,
    Request,
    encoder,
    reply_decoder,
    request_decoder,
)

PEER_PATH = "/peer"
KEEPALIVE_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 0.5

RequestHandler = Callable[[Request], Awaitable[Reply]]


class PeerClient:
    """Client of the internal protocol; implements `Peers`."""

    def __init__(self) -> None:
        """Creates a client without connections; requires a running event loop."""
        self._session = make_session(keepalive_s=KEEPALIVE_TIMEOUT_S)

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        """Sends one request without retries and returns the reply.

        Raises:
            PeerUnreachableError: No reply was received within the timeout, or the connection failed.
            PeerRefusedError: The peer could not execute the request, or its reply is malformed.
        """
        step = type(request).__name__
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=min(CONNECT_TIMEOUT_S, timeout_s))
        try:
            async with self._session.post(
                f"http://{address}{PEER_PATH}", data=encoder.encode(request), timeout=timeout
            ) as response:
                body = await response.read()
                if response.status != 200:
                    raise PeerRefusedError(step, address, f"HTTP status {response.status}")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachableError(step, address, error_kind(error)) from None
        try:
            reply = reply_decoder.decode(body)
        except DECODE_ERRORS as error:
            raise PeerRefusedError(step, address, f"malformed reply: {error_kind(error)}") from None
        if isinstance(reply, Failure):
            raise PeerRefusedError(reply.step, address, reply.problem)
        return reply

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()


def peer_handler(
    handle_request: RequestHandler,
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    """Creates an HTTP handler that decodes requests of the internal protocol and encodes the replies."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            message = request_decoder.decode(await request.content.read())
        except DECODE_ERRORS as error:
            return web.Response(status=400, text=f"malformed request: {error_kind(error)}\n")
        try:
            reply: Reply = await handle_request(message)
        except ClusterError as error:
            reply = Failure(error.step, str(error))
        return web.Response(body=encoder.encode(reply))

    return handle


async def result_or_error(awaitable: Awaitable[Reply]) -> Reply | ClusterError:
    """Awaits a call and returns its reply, or returns its error instead of raising it."""
    try:
        return await awaitable
    except ClusterError as error:
        return error


def steady() -> float:
    """Monotonic time in seconds of the event loop's clock, which simulations replace by a virtual clock."""
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return time.monotonic()


async def call_all(calls: Sequence[Awaitable[Reply]]) -> list[Reply | ClusterError]:
    """Awaits all calls concurrently and returns their replies or errors in the order of the calls."""
    return list(await asyncio.gather(*(result_or_error(call) for call in calls)))
