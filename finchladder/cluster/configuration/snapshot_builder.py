"""Builds the snapshot for routing from a stored configuration, whose values may be invalid."""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import TypeVar

from finchladder.cluster.configuration.fields import Bounds, FieldReader
from finchladder.cluster.configuration.snapshot import (
    DEFAULT_IDLE_TIMEOUT_S,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    ConfigurationSnapshot,
    Engine,
    Model,
    RequestKind,
    Route,
    Service,
    WeightedService,
)
from finchladder.cluster.tenancy.api_keys import build_key_table
from finchladder.cluster.tenancy.tenants import MAX_PRIORITY, read_tenants

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_MAX_CONNECTIONS = 64
DEFAULT_SLOTS = 64

# Bounds of numbers; a value outside of them has the same effect as the bound.
DURATION_MS = Bounds(0, 365 * 24 * 3600 * 1000)
LOAD_S = Bounds(0, 24 * 3600)
SIZE_MB = Bounds(0, 1e12)
SIZE_BYTES = Bounds(0, 1 << 50)
COUNT = Bounds(0, 1e12)
PRIORITY = Bounds(-MAX_PRIORITY, MAX_PRIORITY)
LOADS_PER_S = Bounds(0, 10_000)  # the placer remembers each load of a window
WEIGHT = Bounds(0, 1e300)  # the sum of the weights of a route must be finite

Item = TypeVar("Item")


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
        services=_read_named(reader, "services", _read_service),
        idle_timeout_s=limits.number("idle_timeout_ms", 1000 * DEFAULT_IDLE_TIMEOUT_S, DURATION_MS) / 1000,
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
    name, host, path_prefix = reader.encodable_text("name"), reader.text("host"), reader.text("path_prefix")
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
        (target.number("weight", 0, WEIGHT), target.encodable_text("service"))
        for target in reader.children("traffic_split")
    ]
    weights = [(weight, service) for weight, service in weights if weight and service]
    if not weights:
        service = reader.encodable_text("service")
        return (WeightedService(1.0, service),) if service else ()
    total = sum(weight for weight, _ in weights)
    weighted_services = []
    cumulative_weight = 0.0
    for weight, service in weights:
        cumulative_weight += weight / total
        weighted_services.append(WeightedService(cumulative_weight, service))
    return tuple(weighted_services)


def _read_named(
    reader: FieldReader, field: str, read_item: Callable[[str, FieldReader], Item]
) -> Mapping[str, Item]:
    """Reads a list of objects by name; omits objects without a name."""
    items = {}
    for item in reader.children(field):
        name = item.encodable_text("name")
        if name:
            items[name] = read_item(name, item)
        else:
            item.reject()
    return MappingProxyType(items)


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
        models=_read_named(reader, "models", _read_model),
    )


def _read_model(name: str, reader: FieldReader) -> Model:
    return Model(
        name=name,
        weights_mb=reader.number("weights_mb", 0, SIZE_MB),
        load_s=reader.number("load_s", 0, LOAD_S),
        adapters=reader.integer("adapters", 0, COUNT),
        adapter_size_mb=reader.number("adapter_size_mb", 0, SIZE_MB),
    )
