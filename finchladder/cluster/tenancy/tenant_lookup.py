"""Tenants of the newest configuration by name, parsed once for each document."""

import json

from attrs import define, field

from finchladder.cluster.tenancy.tenants import Tenant, read_tenants


@define
class TenantLookup:
    """Tenants of the last document, which is compared by identity: a replica keeps it as one object."""

    _document: bytes = b""
    _by_name: dict[str, Tenant] = field(factory=dict)

    def tenant(self, document: bytes, name: str) -> Tenant | None:
        """The tenant with a given name; None if there is none. CPU: O(size) if the document changed."""
        if document is not self._document:
            self._by_name = _parse(document)
            self._document = document
        return self._by_name.get(name)


def _parse(document: bytes) -> dict[str, Tenant]:
    items = json.loads(document).get("tenants", []) if document else []
    return {tenant.name: tenant for tenant, _ in read_tenants(items)}
