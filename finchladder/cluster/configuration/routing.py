"""An immutable routing snapshot, made whole from a configuration and swapped whole."""

import json
from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import Any

from attrs import frozen

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_IDLE_MS = 15_000.0
DEFAULT_BODY_BYTES = 4 << 20
DEFAULT_HEADER_BYTES = 16 << 10
DEFAULT_CONNECTIONS = 64
DEFAULT_SLOTS = 64


class Kind(str, Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen
class Model:
    """A model of a service: `weights_mb` of a worker's memory, `load_s` from the store."""

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_size_mb: float


@frozen
class Engine:
    """What a service's model workers can hold and do."""

    slots: int
    kv_cache_tokens: int
    weights_mb: float
    lora_slots: int
    load_rate_s: float
    models: Mapping[str, Model]


@frozen
class Service:
    """A service of the configuration; `engine` is None where it serves no models."""

    name: str
    max_connections: int
    health_check: str
    engine: Engine | None


@frozen
class Route:
    """A route. `targets`: services with their cumulated weights, which end at 1."""

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_s: float
    aim_s: float
    gap_aim_s: float
    priority: int
    most_workers: int
    resumable: bool
    targets: tuple[tuple[float, str], ...]

    def target(self, point: float) -> str:
        """The service at that point of the weights, 0 to 1."""
        for edge, service in self.targets:
            if point < edge:
                return service
        return self.targets[-1][1]

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is Kind.IDEMPOTENT or (self.kind is Kind.STREAMING and self.resumable)


@frozen
class Snapshot:
    """One version of the configuration, ready for routing."""

    version: int
    routes: Mapping[str, tuple[Route, ...]]  # by host, the longest prefix first
    services: Mapping[str, Service]
    idle_s: float
    body_bytes: int
    header_bytes: int

    def match(self, host: str, path: str) -> Route | None:
        """The route of that host with the longest prefix of the path."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


EMPTY = Snapshot(
    0, MappingProxyType({}), MappingProxyType({}), 15.0, DEFAULT_BODY_BYTES, DEFAULT_HEADER_BYTES
)


def build(document: bytes) -> Snapshot:
    """Makes a snapshot of a checked configuration (JSON). CPU: O(routes log routes)."""
    value: dict[str, Any] = json.loads(document)
    limits = value.get("limits") or {}
    by_host: dict[str, list[Route]] = {}
    for item in value.get("routes", []):
        route = _route(item)
        by_host.setdefault(route.host, []).append(route)
    routes = {
        host: tuple(sorted(found, key=lambda r: -len(r.path_prefix))) for host, found in by_host.items()
    }
    services = {item["name"]: _service(item) for item in value.get("services", [])}
    return Snapshot(
        value["version"],
        MappingProxyType(routes),
        MappingProxyType(services),
        float(limits.get("idle_timeout_ms", DEFAULT_IDLE_MS)) / 1000,
        int(limits.get("max_body_bytes", DEFAULT_BODY_BYTES)),
        int(limits.get("max_header_bytes", DEFAULT_HEADER_BYTES)),
    )


def _route(item: dict[str, Any]) -> Route:
    timeout_ms = float(item.get("timeout_ms", DEFAULT_TIMEOUT_MS))
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_prefix=item["path_prefix"],
        kind=_kind(item.get("kind")),
        timeout_s=timeout_ms / 1000,
        aim_s=float(item.get("target_latency_ms", timeout_ms)) / 1000,
        gap_aim_s=float(item.get("gap_aim_ms", 0)) / 1000,
        priority=int(item.get("priority", 0)),
        most_workers=max(1, int(item.get("retries", 1))),
        resumable=bool(item.get("resumable", False)),
        targets=_targets(item),
    )


def _kind(name: str | None) -> Kind:
    """What is not known may run once only."""
    try:
        return Kind(name)
    except ValueError:
        return Kind.NON_IDEMPOTENT


def _targets(item: dict[str, Any]) -> tuple[tuple[float, str], ...]:
    split = item.get("traffic_split")
    if not split:
        return ((1.0, item["service"]),)
    total = sum(part["weight"] for part in split)
    edges, reached = [], 0.0
    for part in split:
        if part["weight"] > 0:
            reached += part["weight"] / total
            edges.append((reached, part["service"]))
    return tuple(edges)


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=item["name"],
        max_connections=int(item.get("max_connections", DEFAULT_CONNECTIONS)),
        health_check=item.get("health_check", ""),
        engine=_engine(engine) if engine else None,
    )


def _engine(item: dict[str, Any]) -> Engine:
    models = {
        model["name"]: Model(
            model["name"],
            float(model.get("weights_mb", 0)),
            float(model.get("load_s", 0)),
            int(model.get("adapters", 0)),
            float(model.get("adapter_size_mb", 0)),
        )
        for model in item.get("models", [])
    }
    return Engine(
        slots=int(item.get("slots", DEFAULT_SLOTS)),
        kv_cache_tokens=int(item.get("kv_cache_tokens", 0)),
        weights_mb=float(item.get("weights_mb", 0)),
        lora_slots=int(item.get("lora_slots", 0)),
        load_rate_s=float(item.get("load_rate_s", 0)),
        models=MappingProxyType(models),
    )
