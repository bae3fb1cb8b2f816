"""HTTP listeners on aiohttp's low-level server, with one handler for all requests."""

import socket

from aiohttp import web

from finchladder.cluster.transport.bounded_reads import BODY_BUFFER_BYTES, bound_socket_buffers
from finchladder.cluster.transport.http_connection import (
    FailureReporter,
    RedactingServer,
    RequestFailure,
    RequestHandler,
)

BACKLOG = 1024


def _ignore_failure(_: RequestFailure) -> None:
    """Default failure reporter, which logs nothing."""


class Listener:
    """One listening address."""

    def __init__(
        self,
        handler: RequestHandler,
        address: str,
        *,
        keepalive_s: float = 75.0,
        cancel_on_disconnect: bool = False,
        report_failure: FailureReporter = _ignore_failure,
    ) -> None:
        """Creates a listener without starting it.

        Args:
            handler: Handles every request.
            address: Address to listen on as `host:port`.
            keepalive_s: Seconds for which idle connections stay open.
            cancel_on_disconnect: Whether the handler of a request is cancelled if its client disconnects.
            report_failure: Called for each request that is malformed or whose handler fails.
        """
        self._server = RedactingServer(
            handler,
            report_failure,
            handler_cancellation=cancel_on_disconnect,
            access_log=None,
            keepalive_timeout=keepalive_s,
            auto_decompress=False,
            lingering_time=0,
            read_bufsize=BODY_BUFFER_BYTES,
        )
        self._address = address
        self._runner = web.ServerRunner(self._server, handle_signals=False, shutdown_timeout=0.1)
        self._site: web.SockSite | None = None

    async def start(self) -> None:
        """Starts to listen; raises OSError if the address is in use."""
        await self._runner.setup()
        self._site = web.SockSite(self._runner, _bind(self._address), backlog=BACKLOG)
        await self._site.start()

    @property
    def bound_address(self) -> str:
        """The listening address, with the port that the system assigned if port 0 was given."""
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    async def stop_accepting(self) -> None:
        """Stops accepting connections; open ones continue."""
        if self._site is not None:
            await self._site.stop()
            self._site = None

    def close_idle(self) -> None:
        """Closes connections that have no current request; the others stay open."""
        for connection in self._server.connections:
            # aiohttp's close() of an idle connection stops its reader but leaves the socket open.
            waiter = connection._waiter
            if waiter is not None and not waiter.done():
                connection.force_close()

    async def stop(self) -> None:
        """Stops listening and closes all connections."""
        await self._runner.cleanup()


def _bind(address: str) -> socket.socket:
    """Returns a socket that is bound to the address; raises OSError if it is in use."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        bound_socket_buffers(listening)
        listening.bind(split_address(address))
    except OSError:
        listening.close()
        raise
    return listening


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port` into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
