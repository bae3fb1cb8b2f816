"""Parses API keys of clients from the `Authorization` header, and looks them up by salted digests.

Neither the table of keys nor the string representation of any class contains a key in plain text.
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from types import MappingProxyType

from attrs import field, frozen

from finchladder.cluster.tenancy.tenants import Tenant

SCHEME = "token"  # authentication scheme in lower case
HTTP_WHITESPACE = " \t"
KEY_DIGEST_BYTES = 16
KEY_SALT_BYTES = blake2b.SALT_SIZE


@frozen
class ApiKey:
    """An API key as a client sent it; printable, without whitespace."""

    text: str = field(repr=False)


@frozen
class MissingKey:
    """The request has no `Authorization` header."""


@frozen
class MalformedCredentials:
    """The request has an `Authorization` header without a valid API key, or several such headers."""


Credentials = ApiKey | MissingKey | MalformedCredentials


def parse_credentials(values: Sequence[str]) -> Credentials:
    """Parses the values of all `Authorization` headers of a request, which must be a single `Token KEY`.

    Source: RFC 9110, 11.4 (credentials; the scheme is case-insensitive) and 5.6.3 (whitespace).
    """
    if not values:
        return MissingKey()
    if len(values) > 1:
        return MalformedCredentials()
    scheme, _, parameter = values[0].strip(HTTP_WHITESPACE).partition(" ")
    text = parameter.strip(HTTP_WHITESPACE)
    # isprintable() is false for control characters and for all whitespace except the space.
    is_key = bool(text) and " " not in text and text.isprintable()
    return ApiKey(text) if is_key and scheme.lower() == SCHEME else MalformedCredentials()


@frozen
class KeyTable:
    """Tenants of one configuration by the salted digests of their API keys."""

    _salt: bytes = field(repr=False)
    _tenants_by_digest: Mapping[bytes, Tenant] = field(repr=False)

    @property
    def key_count(self) -> int:
        """Number of keys. Not `__len__`, because an empty table would then be false like a missing one."""
        return len(self._tenants_by_digest)

    def tenant_of(self, key: ApiKey) -> Tenant | None:
        """The tenant that holds the key; None if no tenant does. CPU: O(1)."""
        return self._tenants_by_digest.get(_digest(key.text, self._salt))


def build_key_table(salt: bytes, keys_by_tenant: Iterable[tuple[Tenant, Iterable[str]]]) -> KeyTable:
    """Builds the table of a configuration. CPU: O(keys).

    Args:
        salt: Random bytes of this process, at most `KEY_SALT_BYTES` long.
        keys_by_tenant: Tenants with their keys. A key that two tenants share is omitted, because the tenant
            of a request would be ambiguous; a valid configuration contains no such key.
    """
    tenants_by_digest: dict[bytes, Tenant] = {}
    shared: set[bytes] = set()
    for tenant, keys in keys_by_tenant:
        for key in keys:
            digest = _digest(key, salt)
            if tenants_by_digest.setdefault(digest, tenant).name != tenant.name:
                shared.add(digest)
    unambiguous = {digest: tenant for digest, tenant in tenants_by_digest.items() if digest not in shared}
    return KeyTable(salt, MappingProxyType(unambiguous))


def _digest(key: str, salt: bytes) -> bytes:
    # JSON strings can contain lone surrogates, which strict UTF-8 cannot encode.
    encoded = key.encode("utf-8", "surrogatepass")
    return blake2b(encoded, digest_size=KEY_DIGEST_BYTES, salt=salt).digest()
