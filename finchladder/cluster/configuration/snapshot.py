"""Immutable snapshot of the configuration for routing; a newer version replaces the whole snapshot."""

import json
from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import Any, NamedTuple

from attrs import frozen

from finchladder.cluster.tenancy.api_keys import KeyTable, build_key_table
from finchladder.cluster.tenancy.tenants import Tenant, read_tenants

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_MAX_BODY_BYTES = 4 << 20
DEFAULT_MAX_HEADER_BYTES = 16 << 10
DEFAULT_MAX_CONNECTIONS = 64
DEFAULT_SLOTS = 64


class RequestKind(str, Enum):
    """Whether requests of a route may run more than once or are streamed, as the operator declares it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@frozen
class Model:
    """A model of a service.

    Attributes:
        weights_mb: Memory that the model uses at a worker.
        load_s: Time to load the model from the weight store.
        adapters: Number of adapters of the model.
        adapter_size_mb: Memory that each adapter uses.
    """

    name: str
    weights_mb: float
    load_s: float
    adapters: int
    adapter_size_mb: float


@frozen
class Engine:
    """Capacities of each worker of a service that serves models.

    Attributes:
        weights_mb: Memory for weights and adapters.
        max_loads_per_s: Maximum number of loads per second from the weight store by all workers together.
    """

    slots: int
    kv_cache_tokens: int
    weights_mb: float
    lora_slots: int
    max_loads_per_s: float
    models: Mapping[str, Model]


@frozen
class Service:
    """A service; `engine` is None if it serves no models."""

    name: str
    max_connections: int
    health_check: str
    engine: Engine | None


class WeightedService(NamedTuple):
    """One service of a route's traffic split, with the sum of the weights up to and including its own.

    The weights of a route add up to 1.
    """

    cumulative_weight: float
    service: str


@frozen
class Route:
    """A route from a host and path prefix to services.

    Attributes:
        latency_target_s: Time after the arrival of a request within which its response has its full value.
        max_event_gap_s: Maximum pause between two events of a stream; 0 if not set.
        max_attempts: Maximum number of workers to which one request may be sent.
        is_public: Whether requests need no API key although the configuration has tenants.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    latency_target_s: float
    max_event_gap_s: float
    priority: int
    max_attempts: int
    resumable: bool
    is_public: bool
    weighted_services: tuple[WeightedService, ...]

    def service_at(self, point: float) -> str:
        """The service for a point from 0 to 1 of the traffic split."""
        for cumulative_weight, service in self.weighted_services:
            if point < cumulative_weight:
                return service
        return self.weighted_services[-1].service

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once, which is also true for resumable streams."""
        return self.kind is RequestKind.IDEMPOTENT or (self.kind is RequestKind.STREAMING and self.resumable)


@frozen
class ConfigurationSnapshot:
    """One version of the configuration in the form that routing uses.

    Attributes:
        tenants: Tenants by name.
        keys: Tenants by API key; None if the configuration has no list of tenants.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]  # ordered by descending length of the path prefix
    services: Mapping[str, Service]
    idle_timeout_s: float
    max_body_bytes: int
    max_header_bytes: int
    tenants: Mapping[str, Tenant] = MappingProxyType({})
    keys: KeyTable | None = None

    @property
    def public_route_count(self) -> int:
        """Number of routes that are declared public. CPU: O(routes)."""
        return sum(route.is_public for routes in self.routes_by_host.values() for route in routes)

    def match(self, host: str, path: str) -> Route | None:
        """The route of a host with the longest matching path prefix; None if no route matches."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


EMPTY_SNAPSHOT = ConfigurationSnapshot(
    version=0,
    routes_by_host=MappingProxyType({}),
    services=MappingProxyType({}),
    idle_timeout_s=DEFAULT_IDLE_TIMEOUT_MS / 1000,
    max_body_bytes=DEFAULT_MAX_BODY_BYTES,
    max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
)


def build_snapshot(document: bytes, key_salt: bytes = b"") -> ConfigurationSnapshot:
    """Builds a snapshot of a valid configuration in JSON. CPU: O(routes log routes + API keys).

    Versions of the program without tenant support stored tenants without validation. Therefore invalid
    tenants and keys that two tenants share are omitted. Requests with such a key get 401, all others are
    served.

    Args:
        document: Configuration as JSON.
        key_salt: Random bytes of this process for the digests of API keys, at most `KEY_SALT_BYTES` long.
    """
    value: dict[str, Any] = json.loads(document)
    limits = value.get("limits") or {}
    by_host: dict[str, list[Route]] = {}
    for item in value.get("routes", []):
        route = _parse_route(item)
        by_host.setdefault(route.host, []).append(route)
    routes_by_host = {
        host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
        for host, routes in by_host.items()
    }
    services = {item["name"]: _parse_service(item) for item in value.get("services", [])}
    tenants = read_tenants(value.get("tenants", []))
    return ConfigurationSnapshot(
        version=value["version"],
        routes_by_host=MappingProxyType(routes_by_host),
        services=MappingProxyType(services),
        idle_timeout_s=float(limits.get("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS)) / 1000,
        max_body_bytes=int(limits.get("max_body_bytes", DEFAULT_MAX_BODY_BYTES)),
        max_header_bytes=int(limits.get("max_header_bytes", DEFAULT_MAX_HEADER_BYTES)),
        tenants=MappingProxyType({tenant.name: tenant for tenant, _ in tenants}),
        keys=build_key_table(key_salt, tenants) if "tenants" in value else None,
    )


def _parse_route(item: dict[str, Any]) -> Route:
    timeout_ms = float(item.get("timeout_ms", DEFAULT_TIMEOUT_MS))
    return Route(
        name=item["name"],
        host=item["host"].lower(),
        path_prefix=item["path_prefix"],
        kind=_parse_request_kind(item.get("kind")),
        timeout_s=timeout_ms / 1000,
        latency_target_s=float(item.get("target_latency_ms", timeout_ms)) / 1000,
        max_event_gap_s=float(item.get("gap_aim_ms", 0)) / 1000,
        priority=int(item.get("priority", 0)),
        max_attempts=max(1, int(item.get("retries", 1))),
        resumable=bool(item.get("resumable", False)),
        is_public=bool(item.get("public", False)),
        weighted_services=_parse_weighted_services(item),
    )


def _parse_request_kind(name: str | None) -> RequestKind:
    """Parses the kind of a route's requests; an unknown kind counts as not idempotent."""
    try:
        return RequestKind(name)
    except ValueError:
        return RequestKind.NON_IDEMPOTENT


def _parse_weighted_services(item: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = item.get("traffic_split")
    if not split:
        return (WeightedService(1.0, item["service"]),)
    total = sum(target["weight"] for target in split)
    weighted_services = []
    cumulative_weight = 0.0
    for target in split:
        if target["weight"] > 0:
            cumulative_weight += target["weight"] / total
            weighted_services.append(WeightedService(cumulative_weight, target["service"]))
    return tuple(weighted_services)


def _parse_service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=item["name"],
        max_connections=int(item.get("max_connections", DEFAULT_MAX_CONNECTIONS)),
        health_check=item.get("health_check", ""),
        engine=_parse_engine(engine) if engine else None,
    )


def _parse_engine(item: dict[str, Any]) -> Engine:
    models = {
        model["name"]: Model(
            name=model["name"],
            weights_mb=float(model.get("weights_mb", 0)),
            load_s=float(model.get("load_s", 0)),
            adapters=int(model.get("adapters", 0)),
            adapter_size_mb=float(model.get("adapter_size_mb", 0)),
        )
        for model in item.get("models", [])
    }
    return Engine(
        slots=int(item.get("slots", DEFAULT_SLOTS)),
        kv_cache_tokens=int(item.get("kv_cache_tokens", 0)),
        weights_mb=float(item.get("weights_mb", 0)),
        lora_slots=int(item.get("lora_slots", 0)),
        max_loads_per_s=float(item.get("load_rate_s", 0)),
        models=MappingProxyType(models),
    )
