"""Authorizes requests: finds their route and tenant, and rejects requests without a valid API key."""

from collections.abc import Sequence
from enum import Enum

from attrs import frozen

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot, Route
from finchladder.cluster.tenancy.api_keys import (
    ApiKey,
    Credentials,
    MalformedCredentials,
    MissingKey,
    parse_credentials,
)
from finchladder.cluster.tenancy.tenants import Tenant


class UnauthorizedReason(Enum):
    """Reason for a 401 response; the log event `request.unauthorized` contains the value."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown"
    REVOKED = "revoked"


@frozen
class Authorized:
    """The request may be sent to a worker.

    Attributes:
        version: Version of the configuration that authorized the request.
        route: Route of the request.
        tenant: Tenant that sent the request; None if it belongs to no tenant.
        key: API key of `tenant`; None without a tenant.
        has_tenants: Whether the configuration has tenants.
    """

    version: int
    route: Route
    tenant: Tenant | None
    key: ApiKey | None
    has_tenants: bool

    @property
    def tenant_name(self) -> str | None:
        """Name of the tenant; None if the request belongs to no tenant."""
        return None if self.tenant is None else self.tenant.name

    @property
    def priority(self) -> int:
        """Priority of the tenant if it is set, otherwise of the route."""
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        return self.tenant.priority


@frozen
class NoRoute:
    """No route matches the host and path."""


@frozen
class Unauthorized:
    """The route is private, and the request has no API key that the configuration contains."""

    reason: UnauthorizedReason


AuthorizationDecision = Authorized | NoRoute | Unauthorized


def authorize(
    snapshot: ConfigurationSnapshot, host: str, path: str, authorization: Sequence[str]
) -> AuthorizationDecision:
    """Authorizes a request by one configuration snapshot.

    Args:
        snapshot: Configuration with the routes and API keys to check against.
        host: Host of the request, without a port.
        path: Path of the request, without a query.
        authorization: Values of all `Authorization` headers of the request.
    """
    route = snapshot.match(host, path)
    if route is None:
        return NoRoute()
    if snapshot.keys is None:
        return Authorized(snapshot.version, route, tenant=None, key=None, has_tenants=False)
    credentials = parse_credentials(authorization)
    key = credentials if isinstance(credentials, ApiKey) else None
    tenant = None if key is None else snapshot.keys.tenant_of(key)
    if tenant is not None or route.is_public:
        tenant_key = None if tenant is None else key
        return Authorized(snapshot.version, route, tenant, tenant_key, has_tenants=True)
    return Unauthorized(_unauthorized_reason(credentials))


def is_still_authorized(authorized: Authorized, newest: ConfigurationSnapshot) -> bool:
    """Whether the newest configuration still allows the request to be sent for its tenant.

    Public routes are checked, too: otherwise a worker could receive the name of a tenant that no longer has
    the key, or the key itself, which is removed from the request only if `has_tenants` is true. A newest
    configuration without tenants requires no key, so it allows all requests to private routes.
    """
    if newest.version == authorized.version:
        return True
    if newest.keys is None:
        return not (authorized.route.is_public and authorized.has_tenants)
    if not authorized.has_tenants:
        return False
    tenant = None if authorized.key is None else newest.keys.tenant_of(authorized.key)
    return authorized.tenant_name == (None if tenant is None else tenant.name)


def _unauthorized_reason(credentials: Credentials) -> UnauthorizedReason:
    match credentials:
        case MissingKey():
            return UnauthorizedReason.MISSING
        case MalformedCredentials():
            return UnauthorizedReason.MALFORMED
        case ApiKey():
            return UnauthorizedReason.UNKNOWN_KEY
