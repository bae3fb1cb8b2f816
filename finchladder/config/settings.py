"""Conversion of the platform's settings from JSON to api.Settings, validated by msgspec."""

from collections.abc import Mapping
from typing import Any

import msgspec

from finchladder.core import api

EFFECTS = {"retryable": "safe", "dedup": "keyed", "fragile": "unsafe"}
FIELD_PATHS: dict[str, tuple[str, ...]] = {  # of api.Settings, with their paths in the JSON facts
    "zones": ("zones",),
    "zone": ("az",),
    "kinds": ("flavors",),
    "index": ("selfIndex",),
    "dispatchers": ("balancers",),
    "max_attempts": ("caps", "tryLimit"),
    "may_cancel": ("caps", "cancel"),
    "may_health_check": ("caps", "probes"),
    "may_message_peers": ("caps", "peers"),
    "may_hedge": ("caps", "secondCopies"),
    "clock_tick_s": ("tickS",),
    "drain_grace_s": ("invariants", "drainGraceS"),
    "slow_start_initial_share": ("invariants", "coldFrom"),
    "slow_start_s": ("invariants", "coldS"),
    "overload_multiple": ("invariants", "fallMultiple"),
    "overload_window_s": ("invariants", "fallS"),
}
OPTIONAL_FIELD_PATHS: dict[str, tuple[str, ...]] = {
    "reports_start": ("familyInfo", "tellsStart"),
    "progress_interval_s": ("familyInfo", "progressS"),
    "subscribe_timeout_s": ("invariants", "askWithinS"),
}
CLASS_FIELDS = {
    "name": "name",
    "latency_target_s": "onTimeS",
    "deadline_s": "giveUpS",
    "value": "importance",
}
CLASS_OPTIONAL = {
    "deduplication_scope": "group",
    "deduplication_window_s": "windowS",
    "stream": "stream",
}
Facts = Mapping[str, Any]


class SettingsError(ValueError):
    """The settings can't be used; the message is one line."""


def read_seed(text: str) -> int:
    """Converts the seed's text to an integer."""
    return int.from_bytes(text.encode(), "big")


def read_settings(facts: str | bytes) -> api.Settings:
    """Decodes and validates the platform's settings.

    Raises:
        SettingsError: They can't be used.
    """
    try:
        return msgspec.convert(_named(msgspec.json.decode(facts)), api.Settings)
    except KeyError as e:
        raise SettingsError(f"settings: {e.args[0]} is missing") from None
    except (msgspec.MsgspecError, ValueError, TypeError, AttributeError, IndexError) as e:
        raise SettingsError(f"settings: {' '.join(str(e).split())}") from None


def _value_at_path(facts: Any, path: tuple[str, ...]) -> Any:
    for name in path:
        facts = facts[name]
    return facts


def _named(facts: Facts) -> dict[str, Any]:
    named = {field: _value_at_path(facts, path) for field, path in FIELD_PATHS.items()}
    for field, path in OPTIONAL_FIELD_PATHS.items():
        try:
            named[field] = _value_at_path(facts, path)
        except KeyError:
            continue  # absent: api.Settings has the default
    family, caps = facts.get("familyInfo", {}), facts["caps"]
    named["classes"] = [_class(c, family, n, facts["flavors"]) for n, c in enumerate(facts["services"])]
    named["tenants"] = [{"name": t["name"], "quota_rps": t["quotaRps"]} for t in facts.get("accounts", [])]
    named["must_subscribe"] = facts["registryMode"] == "ask"
    named["weights_report_load"] = facts.get("weights") == "live"
    named["max_retry_after_s"] = caps.get("maxRetryAfterS", 0.0) if caps.get("retryAfter") else 0.0
    return named


def _class(c: Facts, family: Facts, n: int, kinds: list[str]) -> dict[str, Any]:
    def of_class(name: str, absent: float) -> Any:
        values = family.get(name, [])
        return values[n] if n < len(values) else absent

    kind = of_class("classKind", -1)
    return {
        **{field: c[name] for field, name in CLASS_FIELDS.items()},
        **{field: c[name] for field, name in CLASS_OPTIONAL.items() if name in c},
        "effect": EFFECTS[c["idempotency"]],
        "run_time_allowance": c.get("aimStretch", of_class("classStretch", 0.0)),
        "priority": of_class("classPriority", 0),
        "kind": kinds[kind] if kind >= 0 else None,
    }
