"""Parses and validates the settings file of a process; the names of the settings contain their units."""

import os
import tomllib
from collections.abc import Mapping
from typing import Any

from attrs import define, field, frozen
from jsonschema import Draft202012Validator

from finchladder.cluster.configuration.schema import first_problem
from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.types.errors import InvalidSettingsError

FILE_VARIABLE = "FINCHLADDER_NODE_FILE"
ADDRESS_SCHEMA = {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"}
SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": ["node_name", "ip", "zone", "port_range", "listen"],
    "properties": {
        "node_name": {"type": "string", "minLength": 1},
        "ip": {"type": "string"},
        "zone": {"type": "string"},
        "region": {"type": "string"},
        "port_range": {"type": "array", "items": {"type": "integer"}, "minItems": 2, "maxItems": 2},
        "seeds": {"type": "array", "items": ADDRESS_SCHEMA},
        "bootstrap": {"type": "boolean"},
        "serves": {"type": "array", "items": {"type": "string"}},
        "heartbeat_ms": {"type": "number", "exclusiveMinimum": 0},
        "data_dir": {"type": "string"},
        "listen": {"type": "object"},
        "limits": {"type": "object"},
        "bounds": {"type": "object"},
        "fault_tolerance": {"type": "object", "properties": {"nodes": {"type": "integer", "minimum": 0}}},
    },
}
DEFAULT_HEARTBEAT_MS = 1000
BYTES_PER_MB = 10**6
validator = Draft202012Validator(SCHEMA)


@frozen
class Bounds:
    """Limits and times from the operators' rules; names ending in `_s` are in seconds."""

    drain_s: float
    grace_s: float
    config_apply_s: float
    ack_s: float
    lease_s: float
    thaw_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    ceiling_window_s: float
    ceiling_overage: float
    fencing: bool
    contact_s: float
    quota: QuotaRule

    @property
    def contact_timeouts(self) -> ContactTimeouts:
        """Timeouts for detecting a loss of contact."""
        return ContactTimeouts(self.contact_s)


@frozen
class Settings:
    """Settings of one process."""

    node_name: str
    ip: str
    zone: str
    region: str
    peer_port: int
    seeds: tuple[str, ...]  # control addresses of the first control processes
    bootstrap: bool
    serves: frozenset[str]
    heartbeat_s: float
    data_dir: str
    disk_bytes: int
    memory_bytes: int  # memory at which the platform kills the process; 0 if it is unknown
    tolerated_losses: int  # number of disks that may be lost at once
    frontend: str
    readiness: str
    control: str
    bounds: Bounds

    @property
    def seed_peer_addresses(self) -> tuple[str, ...]:
        """The addresses at which the seeds are called by the internal protocol."""
        return tuple(self.peer_address_of(seed) for seed in self.seeds)

    @property
    def peer_address(self) -> str:
        """The address at which other processes call this one by the internal protocol."""
        return f"{self.ip}:{self.peer_port}"

    def peer_address_of(self, control_address: str) -> str:
        """Returns the peer address for a control address; all machines use the same ports."""
        return f"{control_address.rpartition(':')[0]}:{self.peer_port}"


def _parse_bounds(value: Mapping[str, Any]) -> Bounds:
    def seconds(name: str, default_ms: float) -> float:
        return float(value.get(name, default_ms)) / 1000

    return Bounds(
        drain_s=seconds("drain_ms", 2000),
        grace_s=float(value.get("grace_s", 8)),
        config_apply_s=seconds("config_apply_ms", 2000),
        ack_s=seconds("ack_ms", 4000),
        lease_s=seconds("lease_ms", 3000),
        thaw_s=seconds("thaw_ms", 300),
        retry_ratio=float(value.get("retry_budget_ratio", 0.2)),
        retry_window_s=float(value.get("retry_window_s", 10)),
        retry_slack=float(value.get("retry_budget_slack", 0)),
        ceiling_window_s=float(value.get("ceiling_window_s", 5)),
        ceiling_overage=float(value.get("ceiling_overage", 1.0)),
        fencing=bool(value.get("fencing", False)),
        contact_s=seconds("contact_ms", 3000),
        quota=QuotaRule(
            window_s=float(value.get("quota_window_s", 8)),
            overage=float(value.get("quota_overage", 0)),
            slack=float(value.get("quota_slack", 0)),
        ),
    )


def parse_settings(text: str, source: str) -> Settings:
    """Parses the settings from the text of a file.

    Args:
        text: Content of the file as TOML.
        source: Path of the file, for error messages.

    Raises:
        InvalidSettingsError: The settings are invalid; the message describes the first problem.
    """
    try:
        value = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidSettingsError("read settings", source, str(error)) from None
    problem = first_problem(validator, value)
    if problem:
        raise InvalidSettingsError("check settings", source, problem)
    try:
        return _convert_settings(value, source)
    except (TypeError, ValueError, OverflowError) as error:
        raise InvalidSettingsError("convert settings", source, str(error)) from None


def _convert_settings(value: Mapping[str, Any], source: str) -> Settings:
    """Converts settings whose required fields were checked; a bound or limit of a wrong type raises."""
    listen = value["listen"]
    bounds = _parse_bounds(value.get("bounds", {}))
    heartbeat_s = float(value.get("heartbeat_ms", DEFAULT_HEARTBEAT_MS)) / 1000
    problem = _bounds_conflict(bounds, heartbeat_s)
    if problem:
        raise InvalidSettingsError("check settings", source, problem)
    return Settings(
        node_name=value["node_name"],
        ip=value["ip"],
        zone=value["zone"],
        region=value.get("region", ""),
        peer_port=value["port_range"][0],
        seeds=tuple(value.get("seeds", ())),
        bootstrap=value.get("bootstrap", False),
        serves=frozenset(value.get("serves", ())),
        heartbeat_s=heartbeat_s,
        data_dir=value.get("data_dir", ""),
        disk_bytes=int(value.get("limits", {}).get("disk_mb", 0)) << 20,
        memory_bytes=int(value.get("limits", {}).get("memory_mb", 0)) * BYTES_PER_MB,
        tolerated_losses=value.get("fault_tolerance", {}).get("nodes", 0),
        frontend=listen.get("frontend", ""),
        readiness=listen.get("readiness", ""),
        control=listen.get("control_plane", ""),
        bounds=bounds,
    )


def _bounds_conflict(bounds: Bounds, heartbeat_s: float) -> str:
    """Returns the reason why the settings contradict each other; empty if they do not."""
    if bounds.contact_s < heartbeat_s:
        contact_ms, heartbeat_ms = bounds.contact_s * 1000, heartbeat_s * 1000
        return f"bounds.contact_ms {contact_ms:g} is shorter than heartbeat_ms {heartbeat_ms:g}"
    return ""


@define
class SettingsFile:
    """The settings file, whose content may change while the process runs.

    `path`: empty if the environment does not name a file.
    """

    path: str
    _text: str = field(default="", init=False)  # content when the file was last read

    @classmethod
    def from_environment(cls) -> "SettingsFile":
        """Returns the file that the environment variable FINCHLADDER_NODE_FILE names."""
        return cls(os.environ.get(FILE_VARIABLE, ""))

    def load(self) -> Settings:
        """Reads and validates the settings.

        Raises:
            InvalidSettingsError: The file can't be read or is invalid; the message describes the first
                problem.
        """
        self._text = self._read()
        return parse_settings(self._text, self.path)

    def load_if_changed(self) -> Settings | None:
        """Reads the settings again; returns None if the file has not changed since it was last read.

        Raises:
            InvalidSettingsError: As of `load`, if the file has changed.
        """
        former = self._text
        self._text = self._read()
        return None if self._text == former else parse_settings(self._text, self.path)

    def _read(self) -> str:
        try:
            with open(self.path, encoding="utf-8") as file:
                return file.read()
        except (OSError, UnicodeDecodeError) as error:
            raise InvalidSettingsError("open settings", self.path or FILE_VARIABLE, str(error)) from None
