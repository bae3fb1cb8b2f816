"""Checks how the items of a configuration refer to each other, which the schema cannot express."""

from dataclasses import dataclass, field

from finchladder.cluster.configuration.schema import Document


def semantic_problem(document: Document) -> str:
    """Checks constraints that the schema cannot express: references, uniqueness and positive total weights.

    Returns:
        Description of the first violation; empty if there is none.
    """
    services = {service["name"] for service in document.get("services", [])}
    earlier = _EarlierRoutes()
    for route in document.get("routes", []):
        problem = _route_problem(route, services, earlier)
        if problem:
            return f"route {route['name']}: {problem}"
    return _tenants_problem(document.get("tenants", []))


@dataclass
class _EarlierRoutes:
    """Names and matches of the routes checked so far, which later routes must not repeat."""

    names: set[str] = field(default_factory=set)
    matches: set[tuple[str, str]] = field(default_factory=set)  # pairs of host and path prefix


def _route_problem(route: Document, services: set[str], earlier: _EarlierRoutes) -> str:
    match = (route["host"].lower(), route["path_prefix"])
    if match in earlier.matches:
        return "another route has the same host and path prefix"
    if route["name"] in earlier.names:
        return "another route has the same name"
    earlier.matches.add(match)
    earlier.names.add(route["name"])
    split = route.get("traffic_split")
    targets = [target["service"] for target in split] if split else [route.get("service")]
    unknown = [target for target in targets if target not in services]
    if unknown:
        return f"unknown service {unknown[0]}"
    if split and not any(target["weight"] > 0 for target in split):
        return "the weights of its traffic split add up to 0"
    return ""


def _tenants_problem(tenants: list[Document]) -> str:
    """Checks that tenant names are unique and no key is shared; messages contain tenant names, never keys."""
    names: set[str] = set()
    tenant_by_key: dict[str, str] = {}
    for tenant in tenants:
        name = tenant["name"]
        if name in names:
            return f"tenant {name}: another tenant has the same name"
        names.add(name)
        for key in tenant["api_keys"]:
            other = tenant_by_key.setdefault(key, name)
            if other != name:
                return f"tenants {other} and {name} share an API key"
    return ""
