"""The models of the control world, and the service that holds them."""

from typing import Any

SERVICE = "llm"
RATE_S = 2.1  # loads from the store
LOAD_S = 0.8
BUSY = ("m0", "m1", "m2")
RARE = tuple(f"m{n}" for n in range(3, 19))
WEIGHTS_MB, MEMORY_MB = 70.0, 150.0


def services() -> list[dict[str, Any]]:
    """The service of the model workers, as it stands in the configuration."""
    models = [
        {"name": name, "weights_mb": WEIGHTS_MB, "load_s": LOAD_S, "adapters": 0, "adapter_size_mb": 1.0}
        for name in (*BUSY, *RARE)
    ]
    engine = {
        "slots": 64,
        "kv_cache_tokens": 1000,
        "models": models,
        "weights_mb": MEMORY_MB,
        "lora_slots": 4,
        "load_rate_s": RATE_S,
    }
    return [{"name": SERVICE, "health_check": "/healthz", "max_connections": 100, "engine": engine}]
