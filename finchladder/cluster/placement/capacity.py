"""Computes the memory of models, the number of concurrent loads, and the number of reserved model slots.

The reserve for peaks grows with the square root of the number of workers or of occupied slots (source: Halfin
and Whitt, "Heavy-Traffic Limits for Queues with Many Exponential Servers"). Without I/O and clock.
"""

from collections.abc import Iterable, Mapping
from math import ceil, inf, sqrt

from finchladder.cluster.configuration.snapshot import Engine

MAX_RESERVED_FRACTION = 0.4  # maximum fraction of all model slots that is reserved for cold starts
LONG_LOAD_S = 2.0  # shorter loads need no prefetch and may run at all workers at the same time
# The number of workers that are reserved for orders other than long loads is the square root of the number of
# workers times this factor.
RESERVED_WORKERS_FACTOR = 0.8
PREFETCH_RESERVED_WORKERS_FACTOR = 1.6  # the factor that applies to prefetches while there is demand


def used_mb(engine: Engine, loaded_models: Mapping[str, Iterable[str]]) -> float:
    """Memory that models and their adapters use; infinite if a model is not configured."""
    total_mb = 0.0
    for name, adapters in loaded_models.items():
        model = engine.models.get(name)
        if model is None:
            return inf
        total_mb += model.weights_mb + model.adapter_size_mb * len(list(adapters))
    return total_mb


def max_concurrent_store_loads(
    engine: Engine, worker_count: int, reserved_workers_factor: float = RESERVED_WORKERS_FACTOR
) -> int:
    """Maximum number of concurrent loads from the weight store.

    It is limited to the number that the rate of the store sustains, because with more loads each one becomes
    slower. If loads are long, some workers are also kept free for shorter orders, such as those for adapters.
    """
    longest_s = max((model.load_s for model in engine.models.values()), default=0.0)
    sustained = max(1, ceil(engine.max_loads_per_s * longest_s))
    if longest_s < LONG_LOAD_S:
        return sustained
    return max(1, min(sustained, worker_count - ceil(reserved_workers_factor * sqrt(worker_count))))


def reserved_model_slots(occupied_slots: float, total_slots: int) -> int:
    """Number of model slots to reserve for cold starts that occupy `occupied_slots` on average."""
    return min(int(MAX_RESERVED_FRACTION * total_slots), ceil(occupied_slots + sqrt(occupied_slots)))
