"""Immutable snapshot of the configuration for routing; a newer version replaces the whole snapshot."""

import json
from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from attrs import frozen

from finchladder.cluster.configuration.fields import Bounds, FieldReader
from finchladder.cluster.tenancy.api_keys import KeyTable, build_key_table
from finchladder.cluster.tenancy.tenants import Tenant, read_tenants

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_MAX_BODY_BYTES = 4 << 20
DEFAULT_MAX_HEADER_BYTES = 16 << 10
DEFAULT_MAX_CONNECTIONS = 64
DEFAULT_SLOTS = 64

# Bounds of numbers; a value outside of them has the same effect as the bound.
DURATION_MS = Bounds(0, 365 * 24 * 3600 * 1000)
LOAD_S = Bounds(0, 24 * 3600)
SIZE_MB = Bounds(0, 1e12)
SIZE_BYTES = Bounds(0, 1 << 50)
COUNT = Bounds(0, 1e12)
PRIORITY = Bounds(-1e9, 1e9)
LOADS_PER_S = Bounds(0, 10_000)  # the placer remembers each load of a window
WEIGHT = Bounds(0, 1e300)  # the sum of the weights of a route must be finite


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
        replaced_fields: Paths of the fields whose values cannot be applied and were replaced, and of objects
            that were omitted.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]  # ordered by descending length of the path prefix
    services: Mapping[str, Service]
    idle_timeout_s: float
    max_body_bytes: int
    max_header_bytes: int
    tenants: Mapping[str, Tenant] = MappingProxyType({})
    keys: KeyTable | None = None
    replaced_fields: tuple[str, ...] = ()

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
    """Builds a snapshot of a stored configuration. CPU: O(routes log routes + models + API keys).

    Earlier versions of the program stored values without validating them. Therefore a value that cannot be
    applied is replaced as described in `FieldReader`. Routes and services without a name or target, invalid
    tenants, and keys that two tenants share are omitted. Requests with such a key get 401, all others are
    served.

    Args:
        document: Configuration as JSON.
        key_salt: Random bytes of this process for the digests of API keys, at most `KEY_SALT_BYTES` long.

    Raises:
        ValueError: The document is not a JSON object with a version.
        RecursionError: The document is nested too deeply.
    """
    value = json.loads(document)
    if not isinstance(value, dict) or not isinstance(value.get("version"), int | float):
        raise ValueError("the document is not a JSON object with a version")
    reader = FieldReader(value)
    limits = reader.child("limits") or FieldReader({})
    tenants = read_tenants(value.get("tenants", []))
    return ConfigurationSnapshot(
        version=int(value["version"]),
        routes_by_host=_read_routes(reader),
        services=_read_services(reader),
        idle_timeout_s=limits.number("idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS, DURATION_MS) / 1000,
        max_body_bytes=limits.integer("max_body_bytes", DEFAULT_MAX_BODY_BYTES, SIZE_BYTES),
        max_header_bytes=limits.integer("max_header_bytes", DEFAULT_MAX_HEADER_BYTES, SIZE_BYTES),
        tenants=MappingProxyType({tenant.name: tenant for tenant, _ in tenants}),
        keys=build_key_table(key_salt, tenants) if "tenants" in value else None,
        replaced_fields=tuple(reader.replaced),
    )


def _read_routes(reader: FieldReader) -> Mapping[str, tuple[Route, ...]]:
    by_host: dict[str, list[Route]] = {}
    for item in reader.children("routes"):
        route = _read_route(item)
        if route is None:
            item.reject()
        else:
            by_host.setdefault(route.host, []).append(route)
    return MappingProxyType(
        {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in by_host.items()
        }
    )


def _read_route(reader: FieldReader) -> Route | None:
    """Reads a route; None if it has no name, host, path prefix or target."""
    name, host, path_prefix = reader.name("name"), reader.text("host"), reader.text("path_prefix")
    weighted_services = _read_weighted_services(reader)
    if not (name and host and path_prefix and weighted_services):
        return None
    timeout_ms = reader.number("timeout_ms", DEFAULT_TIMEOUT_MS, DURATION_MS)
    return Route(
        name=name,
        host=host.lower(),
        path_prefix=path_prefix,
        kind=_parse_request_kind(reader.text("kind")),
        timeout_s=timeout_ms / 1000,
        latency_target_s=reader.number("target_latency_ms", timeout_ms, DURATION_MS) / 1000,
        max_event_gap_s=reader.number("gap_aim_ms", 0, DURATION_MS) / 1000,
        priority=reader.integer("priority", 0, PRIORITY),
        max_attempts=max(1, reader.integer("retries", 1, COUNT)),
        resumable=reader.flag("resumable"),
        is_public=reader.flag("public"),
        weighted_services=weighted_services,
    )


def _parse_request_kind(name: str) -> RequestKind:
    """Parses the kind of a route's requests; an unknown kind counts as not idempotent."""
    try:
        return RequestKind(name)
    except ValueError:
        return RequestKind.NON_IDEMPOTENT


def _read_weighted_services(reader: FieldReader) -> tuple[WeightedService, ...]:
    """Reads the traffic split of a route, or its single service; empty if it has neither."""
    weights = [
        (target.number("weight", 0, WEIGHT), target.name("service"))
        for target in reader.children("traffic_split")
    ]
    weights = [(weight, service) for weight, service in weights if weight and service]
    if not weights:
        service = reader.name("service")
        return (WeightedService(1.0, service),) if service else ()
    total = sum(weight for weight, _ in weights)
    weighted_services = []
    cumulative_weight = 0.0
    for weight, service in weights:
        cumulative_weight += weight / total
        weighted_services.append(WeightedService(cumulative_weight, service))
    return tuple(weighted_services)


def _read_services(reader: FieldReader) -> Mapping[str, Service]:
    services = {}
    for item in reader.children("services"):
        name = item.name("name")
        if name:
            services[name] = _read_service(name, item)
        else:
            item.reject()
    return MappingProxyType(services)


def _read_service(name: str, reader: FieldReader) -> Service:
    engine = reader.child("engine")
    return Service(
        name=name,
        max_connections=reader.integer("max_connections", DEFAULT_MAX_CONNECTIONS, COUNT),
        health_check=reader.text("health_check"),
        engine=_read_engine(engine) if engine is not None and engine.item else None,
    )


def _read_engine(reader: FieldReader) -> Engine:
    return Engine(
        slots=reader.integer("slots", DEFAULT_SLOTS, COUNT),
        kv_cache_tokens=reader.integer("kv_cache_tokens", 0, COUNT),
        weights_mb=reader.number("weights_mb", 0, SIZE_MB),
        lora_slots=reader.integer("lora_slots", 0, COUNT),
        max_loads_per_s=reader.number("load_rate_s", 0, LOADS_PER_S),
        models=_read_models(reader),
    )


def _read_models(reader: FieldReader) -> Mapping[str, Model]:
    models = {}
    for item in reader.children("models"):
        name = item.name("name")
        if name:
            models[name] = _read_model(name, item)
        else:
            item.reject()
    return MappingProxyType(models)


def _read_model(name: str, reader: FieldReader) -> Model:
    return Model(
        name=name,
        weights_mb=reader.number("weights_mb", 0, SIZE_MB),
        load_s=reader.number("load_s", 0, LOAD_S),
        adapters=reader.integer("adapters", 0, COUNT),
        adapter_size_mb=reader.number("adapter_size_mb", 0, SIZE_MB),
    )
