"""API keys of clients: parsed from `Authorization`, and looked up by salted digests.

Neither a representation nor a table holds a key in clear.
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from types import MappingProxyType

from attrs import field, frozen

from finchladder.cluster.tenancy.tenants import Tenant

SCHEME = "token"  # of `Authorization`, in lower case
HTTP_WHITESPACE = " \t"
KEY_DIGEST_BYTES = 16
KEY_SALT_BYTES = blake2b.SALT_SIZE


@frozen
class ApiKey:
    """An API key as a client sent it; printable, without whitespace."""

    text: str = field(repr=False)


@frozen
class MissingKey:
    """The request has no `Authorization`."""


@frozen
class MalformedCredentials:
    """The request has an `Authorization` that holds no API key, or several."""


Credentials = ApiKey | MissingKey | MalformedCredentials


def parse_credentials(values: Sequence[str]) -> Credentials:
    """Parses the values of all `Authorization` headers of a request: `Token KEY`, exactly once.

    Source: RFC 9110, 11.4 (credentials; the scheme is case-insensitive) and 5.6.3 (whitespace).
    """
    if not values:
        return MissingKey()
    if len(values) > 1:
        return MalformedCredentials()
    scheme, _, rest = values[0].strip(HTTP_WHITESPACE).partition(" ")
    text = rest.strip(HTTP_WHITESPACE)
    # isprintable holds for no control character and, of all whitespace, only for the space
    is_key = bool(text) and " " not in text and text.isprintable()
    return ApiKey(text) if is_key and scheme.lower() == SCHEME else MalformedCredentials()


@frozen
class KeyTable:
    """The tenants of one configuration by the salted digests of their keys."""

    _salt: bytes = field(repr=False)
    _tenants_by_digest: Mapping[bytes, Tenant] = field(repr=False)

    @property
    def key_count(self) -> int:
        """Number of keys; no `__len__`, by which an empty table would be false, as if there was none."""
        return len(self._tenants_by_digest)

    def tenant_of(self, key: ApiKey) -> Tenant | None:
        """The tenant that holds the key; None if nobody does. CPU: O(1)."""
        return self._tenants_by_digest.get(_digest(key.text, self._salt))


def build_key_table(salt: bytes, keys_by_tenant: Iterable[tuple[Tenant, Iterable[str]]]) -> KeyTable:
    """Builds the table of a configuration. CPU: O(keys).

    Args:
        salt: Random bytes of this process, `KEY_SALT_BYTES` at most.
        keys_by_tenant: Each tenant with its keys. A key that two tenants share, which no valid configuration
            has, is left out: nobody can tell whose request it is.
    """
    holders: dict[bytes, Tenant] = {}
    shared: set[bytes] = set()
    for tenant, keys in keys_by_tenant:
        for key in keys:
            digest = _digest(key, salt)
            if holders.setdefault(digest, tenant).name != tenant.name:
                shared.add(digest)
    held = {digest: tenant for digest, tenant in holders.items() if digest not in shared}
    return KeyTable(salt, MappingProxyType(held))


def _digest(key: str, salt: bytes) -> bytes:
    # JSON can hold lone surrogates, which plain UTF-8 can't encode
    encoded = key.encode("utf-8", "surrogatepass")
    return blake2b(encoded, digest_size=KEY_DIGEST_BYTES, salt=salt).digest()
