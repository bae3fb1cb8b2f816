"""HTTP client sessions of aiohttp without its implicit retries, decompression and request headers."""

import socket
from typing import Any

import aiohttp

from finchladder.cluster.transport.bounded_reads import BODY_BUFFER_BYTES, bound_socket_buffers
from finchladder.cluster.transport.exchange import strict_protocols

TCP_USER_TIMEOUT_MS = 3000  # a connection fails if the peer does not acknowledge data for this time
KEEPALIVE_FRACTION = 0.85  # idle timeout as a fraction of the peer's, so that the client closes first
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def make_socket(info: Any) -> socket.socket:
    """Creates a TCP socket whose connection fails if the peer does not acknowledge data in time."""
    family, kind, protocol, *_ = info
    connection = socket.socket(family, kind, protocol)
    connection.setblocking(False)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    bound_socket_buffers(connection)
    return connection


class KeepAliveConnector(aiohttp.TCPConnector):
    """Connector that closes idle connections before the peer does, and checks how exchanges end."""

    def __init__(self, **options: Any) -> None:
        """Accepts the options of `aiohttp.TCPConnector`."""
        super().__init__(**options)
        self._factory = strict_protocols(self._loop)  # aiohttp has no public API to set the protocol

    def apply_keep_alive(self, header_value: str) -> None:
        """Lowers the idle timeout to KEEPALIVE_FRACTION of the timeout in a `Keep-Alive` header."""
        for parameter in header_value.split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                # aiohttp has no public API to change the timeout of an existing connector.
                timeout_s = KEEPALIVE_FRACTION * float(value)
                if self._keepalive_timeout is None or timeout_s < self._keepalive_timeout:
                    self._keepalive_timeout = timeout_s


def make_session(*, keepalive_s: float, limit_per_host: int = 0) -> aiohttp.ClientSession:
    """Creates a session that sends each request unchanged and at most once."""
    connector = KeepAliveConnector(
        limit=0,
        limit_per_host=limit_per_host,
        keepalive_timeout=keepalive_s,
        use_dns_cache=False,
        socket_factory=make_socket,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None),
        raise_for_status=False,
        read_bufsize=BODY_BUFFER_BYTES,
    )
    # Otherwise aiohttp retries idempotent methods if the server has closed an idle connection.
    session._retry_connection = False
    return session
