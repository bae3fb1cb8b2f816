"""Addresses as they stand in configurations and lists."""

import socket


def parse_address(text: str) -> tuple[str, int]:
    """`host:port` with the host as numbers: there is no DNS here."""
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


def show_address(address: tuple[str, int]) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
