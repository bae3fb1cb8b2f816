"""What the planner is given and what it decides; how many loads may be under way, and how many places are
kept; no I/O and no clock.
"""

from collections.abc import Iterable, Mapping, Sequence
from math import ceil, sqrt

from attrs import define, field, frozen

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.demand import DemandTracker

MAX_RESERVED_FRACTION = 0.4  # of all places
LONG_LOAD_S = 2.0  # loads that are quicker need not be prepared, and may go on at all workers at once
RESERVED_WORKERS_FACTOR = (
    0.8  # times the root of the workers: so many carry out no long load, and take other orders
)
PREFETCH_RESERVED_WORKERS_FACTOR = 1.6  # the same, while there is demand, of loads that nobody waits for


@define
class PlannerWorker:
    """A worker as the placer knows it. `models`: what is in its memory, with adapters."""

    instance: str
    service: str
    address: str
    zone: str
    is_busy: bool  # an order is under way
    is_draining: bool
    loaded_models: dict[str, set[str]] = field(factory=dict)
    models_on_disk: frozenset[str] = frozenset()  # models that it has held before
    loading_model: str = ""  # the model that is on its way

    def adapter_count(self) -> int:
        """Adapters in its memory."""
        return sum(len(adapters) for adapters in self.loaded_models.values())


@frozen(order=True)
class Eviction:
    """A model, or an adapter of one, that gives way at a worker."""

    model: str
    adapter: str = ""


@frozen
class LoadAction:
    """Load a model, or an adapter of one that is there, after evicting `victims`."""

    instance: str
    model: str
    adapter: str = ""
    evictions: tuple[Eviction, ...] = ()


@frozen
class PlanningInput:
    """Inputs of one round of planning for one service. `warm_share`: a load from the own disk over one from
    the store, in time.
    """

    service: str
    engine: Engine
    workers: Sequence[PlannerWorker]
    demand: DemandTracker
    store_loads_allowed: int  # that may begin from the store now
    prefetches_allowed: int  # of them, for models that nobody waits for
    warm_fraction: float
    cold_start_slots: float = (
        0.0  # on their way or just in use, on average: as many places change hands at once
    )


def used_mb(engine: Engine, models: Mapping[str, Iterable[str]]) -> float:
    """Memory that models and their adapters take; infinite if one of them is unknown."""
    total = 0.0
    for name, adapters in models.items():
        model = engine.models.get(name)
        if model is None:
            return float("inf")
        total += model.weights_mb + model.adapter_size_mb * len(list(adapters))
    return total


def max_concurrent_store_loads(
    engine: Engine, worker_count: int, reserved_workers_factor: float = RESERVED_WORKERS_FACTOR
) -> int:
    """As many loads from the store as its rate keeps under way, as more would only make each take longer; and
    where they are long no more than leaves workers free for quicker orders, such as adapters. What has to be
    free for the peaks grows with the root of the fleet (source: Halfin and Whitt, "Heavy-Traffic Limits for
    Queues with Many Exponential Servers").
    """
    longest_s = max((model.load_s for model in engine.models.values()), default=0.0)
    kept_under_way = max(1, ceil(engine.max_loads_per_s * longest_s))
    if longest_s < LONG_LOAD_S:
        return kept_under_way
    return max(1, min(kept_under_way, worker_count - ceil(reserved_workers_factor * sqrt(worker_count))))


def reserved_model_slots(occupied_slots: float, total_slots: int) -> int:
    """How many places are kept for models of which there is no copy, where first copies take `at_once` on
    average: what has to be free for the peaks grows with the root (source: Halfin and Whitt).
    """
    return min(int(MAX_RESERVED_FRACTION * total_slots), ceil(occupied_slots + sqrt(occupied_slots)))
