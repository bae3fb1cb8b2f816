"""Input of a planning pass for one service."""

from collections.abc import Sequence

from attrs import define, field, frozen

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.demand import DemandTracker


@define
class PlannerWorker:
    """The placer's state of a worker; `loaded_models` contains the loaded adapters by model."""

    instance: str
    service: str
    address: str
    zone: str
    is_busy: bool  # an order is in progress, or the worker's state is unknown
    is_draining: bool
    loaded_models: dict[str, set[str]] = field(factory=dict)
    models_on_disk: frozenset[str] = frozenset()
    loading_model: str = ""

    def adapter_count(self) -> int:
        """Number of adapters in the worker's memory."""
        return sum(len(adapters) for adapters in self.loaded_models.values())


@frozen
class PlanningInput:
    """Workers, demand and limits at the time of a planning pass.

    Attributes:
        store_loads_allowed: Number of loads from the weight store that may start.
        prefetches_allowed: Number of loads from the weight store that may start as prefetches.
        warm_fraction: Duration of a load from the local disk as a fraction of one from the weight store.
        cold_start_slots: Average number of model slots that cold starts occupy.
    """

    service: str
    engine: Engine
    workers: Sequence[PlannerWorker]
    demand: DemandTracker
    store_loads_allowed: int
    prefetches_allowed: int
    warm_fraction: float
    cold_start_slots: float = 0.0
