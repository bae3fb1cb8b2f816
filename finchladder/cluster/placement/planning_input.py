"""What a planning pass of one service is given."""

from collections.abc import Sequence

from attrs import define, field, frozen

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.demand import DemandTracker


@define
class PlannerWorker:
    """A worker as the placer knows it; `loaded_models`: adapters by model."""

    instance: str
    service: str
    address: str
    zone: str
    is_busy: bool  # an order is under way, or its state is unknown
    is_draining: bool
    loaded_models: dict[str, set[str]] = field(factory=dict)
    models_on_disk: frozenset[str] = frozenset()
    loading_model: str = ""

    def adapter_count(self) -> int:
        """Adapters in the worker's memory."""
        return sum(len(adapters) for adapters in self.loaded_models.values())


@frozen
class PlanningInput:
    """Workers, demand and limits at one moment.

    `prefetches_allowed`: how many of `store_loads_allowed` may be for models that no request waits for.
    `warm_fraction`: duration of a load from the local disk as a fraction of one from the weight store.
    `cold_start_slots`: model slots that cold starts take on average.
    """

    service: str
    engine: Engine
    workers: Sequence[PlannerWorker]
    demand: DemandTracker
    store_loads_allowed: int
    prefetches_allowed: int
    warm_fraction: float
    cold_start_slots: float = 0.0
