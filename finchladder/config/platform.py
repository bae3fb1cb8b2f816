"""The platform's configuration: the environment's variables and the JSON file that NODE_CONFIG names."""

from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple

import msgspec

from finchladder.config.addresses import parse_address
from finchladder.config.endpoint_list import read_list
from finchladder.config.settings import read_settings
from finchladder.core import api

LEAST_SOCKETS, LEAST_MEMORY = 128, 32


class ConnectionLimits(msgspec.Struct, rename="camel"):
    """What of the settings concerns connections alone, and so never reaches the module."""

    conn_idle_s: float
    connect_timeout_s: float


class ConnectionSettings(msgspec.Struct):
    caps: ConnectionLimits


class ProcessLimits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: int = 192
    cores: float = 1.0


class PlatformFile(msgspec.Struct):
    """The file that NODE_CONFIG names."""

    settings: msgspec.Raw
    discovery: str = ""  # goes before NODE_DISCOVERY, which a file written later can't change
    seed: str = ""
    known: msgspec.Raw = msgspec.Raw(b"")
    limits: ProcessLimits = msgspec.field(default_factory=ProcessLimits)


class DispatcherSetup(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: str
    known: bytes  # a list, found usable; empty: none
    settings: api.Settings
    caps: ConnectionLimits
    limits: ProcessLimits


def read_bytes(path: str) -> bytes:
    return Path(path).read_bytes()


def read_file(
    env: Mapping[str, str], *needed: str, read: Callable[[str], bytes] = read_bytes
) -> PlatformFile:
    for name in (*needed, "NODE_CONFIG"):
        if not env.get(name):
            raise ValueError(f"{name} is not set")
    try:
        return msgspec.json.decode(read(env["NODE_CONFIG"]), type=PlatformFile)
    except (OSError, msgspec.MsgspecError) as e:
        raise ValueError(f"{env['NODE_CONFIG']}: {e}") from None


def read_setup(env: Mapping[str, str], read: Callable[[str], bytes] = read_bytes) -> DispatcherSetup:
    """ValueError says in one line what can't be used. `read` gets NODE_CONFIG, and gives the file's bytes."""
    file = read_file(env, "NODE_LISTEN", read=read)
    try:
        caps = msgspec.json.decode(file.settings, type=ConnectionSettings).caps
    except msgspec.MsgspecError as e:
        raise ValueError(f"{env['NODE_CONFIG']}: {e}") from None
    if caps.conn_idle_s <= 0 or caps.connect_timeout_s <= 0:
        raise ValueError("settings: connIdleS and connectTimeoutS must be above 0")
    if file.limits.sockets < LEAST_SOCKETS or file.limits.memory_mb < LEAST_MEMORY:
        raise ValueError(f"limits: {LEAST_SOCKETS} sockets and {LEAST_MEMORY} MB are the least")
    if not file.limits.cores > 0:
        raise ValueError("limits: cores must be above 0")
    discovery = file.discovery or env.get("NODE_DISCOVERY")
    if not discovery:
        raise ValueError("neither the configuration nor NODE_DISCOVERY names discovery")
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
