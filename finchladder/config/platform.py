"""The platform's configuration: environment variables and the JSON file that NODE_CONFIG names."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from finchladder.config.addresses import parse_address
from finchladder.config.endpoint_list import read_list
from finchladder.config.settings import read_settings
from finchladder.core import api

MIN_SOCKETS = 128
MIN_MEMORY_MB = 32


class ConnectionLimits(msgspec.Struct, rename="camel"):
    """Connection timeouts in seconds; the core doesn't need them."""

    conn_idle_s: float
    connect_timeout_s: float


class ConnectionSettings(msgspec.Struct):
    """The part of the platform's settings that concerns connections."""

    caps: ConnectionLimits


class ProcessLimits(msgspec.Struct):
    """Resource limits of this process: sockets, memory in MB, CPU cores."""

    sockets: int = 1024
    memory_mb: int = 192
    cores: float = 1.0


class PlatformFile(msgspec.Struct):
    """The file that NODE_CONFIG names."""

    settings: msgspec.Raw
    discovery: str = ""  # overrides NODE_DISCOVERY, which can't change while the process runs
    seed: str = ""
    known: msgspec.Raw = msgspec.Raw(b"")
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)


class DispatcherSetup(NamedTuple):
    """The validated configuration of one dispatcher process."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: str
    known: bytes  # content of a validated endpoint list; empty if there is none
    settings: api.Settings
    caps: ConnectionLimits
    limits: ProcessLimits


def read_bytes(path: str) -> bytes:
    """Reads a file.

    Raises:
        OSError: The file can't be read.
    """
    return Path(path).read_bytes()


def read_platform_file(
    env: Mapping[str, str], *needed: str, read: Callable[[str], bytes] = read_bytes
) -> PlatformFile:
    """Decodes the file that NODE_CONFIG names.

    Args:
        env: The environment variables.
        *needed: Variables that must be set as well.
        read: Returns a file's content by its path.

    Raises:
        ValueError: A variable is missing, or the file can't be used.
    """
    for name in (*needed, "NODE_CONFIG"):
        if not env.get(name):
            raise ValueError(f"{name} is not set")
    try:
        return msgspec.json.decode(read(env["NODE_CONFIG"]), type=PlatformFile)
    except (OSError, msgspec.MsgspecError) as e:
        raise ValueError(f"{env['NODE_CONFIG']}: {e}") from None


def read_setup(env: Mapping[str, str], read: Callable[[str], bytes] = read_bytes) -> DispatcherSetup:
    """Reads and validates the configuration of a dispatcher.

    Args:
        env: The environment variables.
        read: Returns a file's content by its path.

    Raises:
        ValueError: The configuration can't be used; the message is one line.
    """
    file = read_platform_file(env, "NODE_LISTEN", read=read)
    try:
        caps = msgspec.json.decode(file.settings, type=ConnectionSettings).caps
    except msgspec.MsgspecError as e:
        raise ValueError(f"{env['NODE_CONFIG']}: {e}") from None
    if caps.conn_idle_s <= 0 or caps.connect_timeout_s <= 0:
        raise ValueError("settings: connIdleS and connectTimeoutS must be above 0")
    if file.limits.sockets < MIN_SOCKETS or file.limits.memory_mb < MIN_MEMORY_MB:
        raise ValueError(f"limits: at least {MIN_SOCKETS} sockets and {MIN_MEMORY_MB} MB are needed")
    if not file.limits.cores > 0:
        raise ValueError("limits: cores must be above 0")
    discovery = file.discovery or env.get("NODE_DISCOVERY")
    if not discovery:
        raise ValueError("neither the configuration nor NODE_DISCOVERY has the address of service discovery")
    known = bytes(file.known) if bytes(file.known) != b"null" else b""
    if known:
        read_list(known)
    return DispatcherSetup(
        env.get("NODE_NAME", "dispatcher"),
        parse_address(env["NODE_LISTEN"]),
        parse_address(discovery),
        file.seed,
        known,
        read_settings(bytes(file.settings)),
        caps,
        file.limits,
    )
