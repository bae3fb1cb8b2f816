"""Tenants of the operator's configuration, and the cost of requests in units of their quota."""

import re
from collections.abc import Mapping
from enum import Enum
from math import isfinite
from typing import Any

from attrs import frozen

DEFAULT_RAW_TOKENS = 1
# Larger rates and bursts have the same effect as this one. Token buckets can compute with it without rounding
# errors that are larger than a request.
MAX_UNITS = 1e12
MAX_PRIORITY = 10**9  # priorities beyond this, and below its negative, have the same effect as the bound
# Control characters and lone surrogates cannot be sent in a header.
UNSENDABLE_CHARACTERS = re.compile(r"[\x00-\x1f\x7f\ud800-\udfff]")


class QuotaUnit(str, Enum):
    """Unit in which a quota counts requests."""

    TOKENS = "token_count"
    REQUESTS = "requests"


@frozen
class Tenant:
    """A tenant of the configuration.

    Attributes:
        name: Name that is sent to workers.
        priority: Priority that replaces the route's; None if not set.
        unit: Unit of `rate_per_s` and `burst`.
        raw_tokens: Cost of a request without a token count if `unit` is tokens.
        rate_per_s: Units per second for all dispatchers together; 0 for no limit.
        burst: Units that are allowed in any window in addition to the rate.
    """

    name: str
    priority: int | None = None
    unit: QuotaUnit = QuotaUnit.REQUESTS
    raw_tokens: int = DEFAULT_RAW_TOKENS
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether requests of the tenant count against a quota."""
        return self.rate_per_s > 0

    def cost(self, token_count: int | None) -> int:
        """Cost of a request in units; `token_count` is for prompt and output together, None if unknown."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.raw_tokens if token_count is None else token_count


def parse_tenant(item: Mapping[str, Any]) -> Tenant:
    """Parses a tenant of a valid configuration; an unknown unit counts requests."""
    unit = QuotaUnit.TOKENS if item.get("unit") == QuotaUnit.TOKENS.value else QuotaUnit.REQUESTS
    priority = item.get("priority")
    return Tenant(
        name=item["name"],
        priority=None if priority is None else max(-MAX_PRIORITY, min(int(priority), MAX_PRIORITY)),
        unit=unit,
        raw_tokens=int(item.get("raw_tokens", DEFAULT_RAW_TOKENS)),
        rate_per_s=_limit_units(item.get("rate_per_s")),
        burst=_limit_units(item.get("burst")),
    )


def _limit_units(value: Any) -> float:
    """Converts a rate or burst to a float of at most MAX_UNITS, unless it is infinite."""
    units = float(value or 0)
    return min(units, MAX_UNITS) if isfinite(units) else units


def read_tenants(items: object) -> list[tuple[Tenant, list[str]]]:
    """Parses the tenants and their keys from a value of `tenants` that may not have been validated.

    Invalid tenants are omitted.
    """
    if not isinstance(items, list):
        return []
    return [
        (tenant, item["api_keys"]) for item in items if (tenant := _parse_untrusted_tenant(item)) is not None
    ]


def _parse_untrusted_tenant(item: object) -> Tenant | None:
    if not isinstance(item, dict) or not _has_name_and_keys(item):
        return None
    try:
        tenant = parse_tenant(item)
    except (TypeError, ValueError, OverflowError):
        return None
    return tenant if isfinite(tenant.rate_per_s) and isfinite(tenant.burst) else None


def _has_name_and_keys(item: Mapping[str, Any]) -> bool:
    name, keys = item.get("name"), item.get("api_keys")
    is_valid_name = isinstance(name, str) and name != "" and UNSENDABLE_CHARACTERS.search(name) is None
    return is_valid_name and isinstance(keys, list) and all(isinstance(key, str) for key in keys)
