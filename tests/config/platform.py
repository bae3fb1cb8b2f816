"""The platform settings for the examples of docs/ROUTES.md and the files of cases.toml, and variants."""

import json
from typing import Any

from finchladder.config.settings import read_settings

MEMORY_MB = 32
FAMILY = {"classKind": [-1, -1, -1, -1, 0]}


def _service(name: str, effect: str, aim_s: float, deadline_s: float, **more: Any) -> dict[str, Any]:
    own = {"name": name, "idempotency": effect, "onTimeS": aim_s, "giveUpS": deadline_s, "importance": 1.0}
    return own | more


def facts(**caps: bool) -> dict[str, Any]:
    """Returns the content of the file that NODE_CONFIG names."""
    settings = {
        "az": "a",
        "balancers": 1,
        "selfIndex": 0,
        "zones": ["a", "b"],
        "flavors": ["fast", "slow"],
        "registryMode": "push",
        "tickS": 0.002,
        "services": [
            _service("view", "retryable", 0.3, 5.0),
            _service("confirm", "fragile", 0.6, 7.5, importance=10.0),
            _service("book", "dedup", 0.5, 5.0, group="zone", windowS=2.0),
            _service("keep", "dedup", 0.5, 7.0, windowS=4.0),
            _service("render", "retryable", 0.5, 5.0),
        ],
        "caps": {
            "cancel": True,
            "peers": False,
            "probes": False,
            "secondCopies": True,
            "tryLimit": 5,
            "connIdleS": 30.0,
            "connectTimeoutS": 0.12,
        }
        | caps,
        "familyInfo": FAMILY,
        "invariants": {"coldFrom": 0.3, "coldS": 8.5, "drainGraceS": 0.5, "fallMultiple": 3.0, "fallS": 2.0},
    }
    return {"settings": settings, "limits": {"memory_mb": MEMORY_MB}}


VARIANTS = {"": facts(), "no_copies": facts(secondCopies=False), "no_cancels": facts(cancel=False)}
PLATFORMS = {name: read_settings(json.dumps(f["settings"])) for name, f in VARIANTS.items()}


def variant_of(text: str) -> str:
    """Returns the variant that the first line `#: NAME` of a file selects; empty by default."""
    first = text.strip().partition("\n")[0]
    return first.removeprefix("#: ") if first.startswith("#: ") else ""
