"""Outgoing connections by aiohttp: nothing repeated, decoded or added behind the caller's back."""

import socket
from typing import Any

import aiohttp

from finchladder.cluster.transport.exchange import strict_protocols

TCP_USER_TIMEOUT_MS = 3000  # unacknowledged bytes: a peer behind a cut says nothing
KEEPALIVE_FRACTION = 0.85  # of the time that a peer keeps an idle connection
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def make_socket(info: Any) -> socket.socket:
    """A socket that notices a silent peer."""
    family, kind, protocol = info[0], info[1], info[2]
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return made


class KeepAliveConnector(aiohttp.TCPConnector):
    """Keeps idle connections only as long as the peers say that they keep them; exchanges end strictly."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory = strict_protocols(self._loop)  # aiohttp has no public way to choose the protocol

    def apply_keep_alive(self, header_value: str) -> None:
        """`announced`: value of a `Keep-Alive` header, whose timeout is in whole seconds."""
        for part in header_value.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                # aiohttp has no public way to change it once the connector is made
                kept_s = KEEPALIVE_FRACTION * float(value)
                if self._keepalive_timeout is None or kept_s < self._keepalive_timeout:
                    self._keepalive_timeout = kept_s


def make_session(*, keepalive_s: float, limit_per_host: int = 0) -> aiohttp.ClientSession:
    """A session whose requests go out as they are, once."""
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
    )
    # aiohttp sends idempotent methods a second time on a connection that was dropped while it rested
    session._retry_connection = False
    return session
