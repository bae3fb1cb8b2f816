"""Demand by model, including the demand for its adapters; without I/O and clock."""

from attrs import define

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.demand import DemandTracker

MAX_IDLE_RATE = 0.5  # a model without current requests is idle below this number of requests per second


@define
class ModelDemand:
    """Demand for one model and its adapters; rates are per second."""

    rate: float = 0.0
    queued: int = 0
    smoothed_in_flight: float = 0.0  # moving average of the number of requests in flight
    in_flight: int = 0
    expected_rate: float = 0.0
    expected_tokens_per_s: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether a replica may be evicted: no request waits for the model or uses it, and few arrive."""
        return not self.queued and not self.in_flight and self.rate < MAX_IDLE_RATE


NO_DEMAND = ModelDemand()


def demand_by_model(tracker: DemandTracker, service: str, engine: Engine) -> dict[str, ModelDemand]:
    """Sums the demand for each configured model of a service; models without demand are omitted."""
    demands: dict[str, ModelDemand] = {}
    for key in tracker.tracked_keys():
        if key.service == service and key.model in engine.models:
            demand = demands.setdefault(key.model, ModelDemand())
            expected = tracker.expected(key)
            demand.rate += tracker.rate(key)
            demand.queued += tracker.queued(key)
            demand.smoothed_in_flight += tracker.smoothed_in_flight(key)
            demand.in_flight += tracker.in_flight(key)
            demand.expected_rate += expected.rate
            demand.expected_tokens_per_s += expected.tokens_per_s
    return demands
