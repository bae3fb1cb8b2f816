"""Whether a request may run, on which route, and as a request of which tenant."""

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
    """Why a request is answered 401; the values stand in the log event `request.unauthorized`."""

    MISSING = "missing"
    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown"
    REVOKED = "revoked"


@frozen
class Authorized:
    """The request may run.

    Attributes:
        version: Of the configuration that allows it.
        route: Its route.
        tenant: Whose request it is; None: nobody's.
        key: The key that `tenant` holds; None without a tenant.
        has_tenants: Whether the configuration has tenants.
    """

    version: int
    route: Route
    tenant: Tenant | None
    key: ApiKey | None
    has_tenants: bool

    @property
    def tenant_name(self) -> str | None:
        """Name of the tenant; None: it is nobody's request."""
        return None if self.tenant is None else self.tenant.name

    @property
    def priority(self) -> int:
        """The tenant's priority where it is set, else the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        return self.tenant.priority


@frozen
class NoRoute:
    """No route has the host and path."""


@frozen
class Unauthorized:
    """The route is private, and the request has no key of the configuration."""

    reason: UnauthorizedReason


AuthorizationDecision = Authorized | NoRoute | Unauthorized


def authorize(
    snapshot: ConfigurationSnapshot, host: str, path: str, authorization: Sequence[str]
) -> AuthorizationDecision:
    """Decides by one configuration.

    Args:
        snapshot: The configuration.
        host: Host of the request, without a port.
        path: Path of the request, without a query.
        authorization: Values of all its `Authorization` headers.
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
        held_key = None if tenant is None else key
        return Authorized(snapshot.version, route, tenant, held_key, has_tenants=True)
    return Unauthorized(_reason(credentials))


def is_still_authorized(authorized: Authorized, newest: ConfigurationSnapshot) -> bool:
    """Whether the request may still be sent as its tenant's, by a configuration that may be newer.

    On a public route, too: a worker would be told a tenant that no longer has the key, or the key itself,
    which `has_tenants` hides. On a private one a newer configuration without tenants asks for no key.
    """
    if newest.version == authorized.version:
        return True
    if newest.keys is None:
        return not (authorized.route.is_public and authorized.has_tenants)
    if not authorized.has_tenants:
        return False
    tenant = None if authorized.key is None else newest.keys.tenant_of(authorized.key)
    return authorized.tenant_name == (None if tenant is None else tenant.name)


def _reason(credentials: Credentials) -> UnauthorizedReason:
    match credentials:
        case MissingKey():
            return UnauthorizedReason.MISSING
        case MalformedCredentials():
            return UnauthorizedReason.MALFORMED
        case ApiKey():
            return UnauthorizedReason.UNKNOWN_KEY
