"""Memory of models, concurrent loads from the weight store, and reserved model slots; without I/O and clock.

The number of workers and slots reserved for peaks grows with the square root of the average use (source:
Halfin and Whitt, "Heavy-Traffic Limits for Queues with Many Exponential Servers").
"""

from collections.abc import Iterable, Mapping
from math import ceil, inf, sqrt

from finchladder.cluster.configuration.snapshot import Engine

MAX_RESERVED_FRACTION = 0.4  # maximum fraction of all model slots that is reserved
LONG_LOAD_S = 2.0  # shorter loads need no prefetch and may run at all workers at the same time
# The number of workers reserved for orders other than long loads is this factor times the square root of the
# number of workers.
RESERVED_WORKERS_FACTOR = 0.8
PREFETCH_RESERVED_WORKERS_FACTOR = 1.6  # replaces the factor above for prefetches while there is demand


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

    The number is limited to what the rate of the store sustains, because more would only slow down each load.
    Long loads are also limited so that workers stay free for shorter orders, such as those for adapters.
    """
    longest_s = max((model.load_s for model in engine.models.values()), default=0.0)
    sustained = max(1, ceil(engine.max_loads_per_s * longest_s))
    if longest_s < LONG_LOAD_S:
        return sustained
    return max(1, min(sustained, worker_count - ceil(reserved_workers_factor * sqrt(worker_count))))


def reserved_model_slots(occupied_slots: float, total_slots: int) -> int:
    """Number of model slots to reserve for cold starts that occupy `occupied_slots` on average."""
    return min(int(MAX_RESERVED_FRACTION * total_slots), ceil(occupied_slots + sqrt(occupied_slots)))
