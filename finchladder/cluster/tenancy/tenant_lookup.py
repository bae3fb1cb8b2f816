"""Tenants of the newest configuration by name, parsed once for each document."""

import json
from contextlib import suppress

from attrs import define, field

from finchladder.cluster.tenancy.tenants import Tenant, read_tenants


@define
class TenantLookup:
    """Tenants of the last document, which is compared by identity: a replica keeps it as one object.

    If a document cannot be read, the tenants of the one before stay known, as they do at dispatchers.
    """

    _document: bytes = b""
    _by_name: dict[str, Tenant] = field(factory=dict)

    def tenant(self, document: bytes, name: str) -> Tenant | None:
        """The tenant with a given name; None if there is none. CPU: O(size) if the document changed."""
        if document is not self._document:
            self._document = document
            with suppress(ValueError, RecursionError):
                self._by_name = _parse(document)
        return self._by_name.get(name)


def _parse(document: bytes) -> dict[str, Tenant]:
    value = json.loads(document) if document else {}
    if not isinstance(value, dict):
        raise ValueError("the document is not a JSON object")
    return {tenant.name: tenant for tenant, _ in read_tenants(value.get("tenants", []))}
