"""Parsing and formatting of network addresses in configuration files and endpoint lists."""

import re
import socket
from typing import NamedTuple

_URL = re.compile(r"(https?)://(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+)(?::([0-9]{1,5}))?/?", re.ASCII)


class Endpoint(NamedTuple):
    """Scheme, host and port of an external service."""

    tls: bool
    host: str
    port: int

    def __str__(self) -> str:
        """Returns the endpoint as a URL."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"http{'s' if self.tls else ''}://{host}:{self.port}"


def parse_url(text: str, port: int) -> Endpoint:
    """Parses `http://host:port` or `https://host:port`.

    Args:
        text: The URL.
        port: The port to use where the URL has none.

    Raises:
        ValueError: The URL can't be used.
    """
    m = _URL.fullmatch(text)
    if m is None or not 0 < int(m[3] or port) < 65536:
        raise ValueError(f"unusable URL {text!r}: it must be as http://127.0.0.1:{port}")
    return Endpoint(m[1] == "https", m[2].strip("[]"), int(m[3] or port))


def parse_address(text: str) -> tuple[str, int]:
    """Parses `host:port`, where the host is a numeric IPv4 or IPv6 address (no DNS lookup).

    Raises:
        ValueError: The host or the port can't be used.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except OSError:
        raise ValueError(f"unusable address {text!r}") from None
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"unusable port in {text!r}")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Formats a host and port as `host:port`, an IPv6 host in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
