"""Immutable snapshot of the configuration for routing; a newer version replaces the whole snapshot."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

from attrs import frozen

from finchladder.cluster.tenancy.api_keys import KeyTable
from finchladder.cluster.tenancy.tenants import Tenant

DEFAULT_IDLE_TIMEOUT_S = 15.0
DEFAULT_MAX_BODY_BYTES = 4 << 20
DEFAULT_MAX_HEADER_BYTES = 16 << 10


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
    idle_timeout_s=DEFAULT_IDLE_TIMEOUT_S,
    max_body_bytes=DEFAULT_MAX_BODY_BYTES,
    max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
)
