"""Demand by model, its adapters included; no I/O and no clock."""

from attrs import define

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.demand import DemandTracker

MAX_IDLE_RATE = 0.5  # requests a second: what is asked for less, and not in use, gives its place to others


@define
class ModelDemand:
    """What is asked of a model, its adapters included."""

    rate: float = 0.0
    queued: int = 0
    running: float = 0.0
    running_now: int = 0
    expected_rate: float = 0.0
    expected_tokens_per_s: float = 0.0  # a second

    @property
    def is_idle(self) -> bool:
        """Whether a copy may go without anybody waiting for it."""
        return not self.queued and not self.running_now and self.rate < MAX_IDLE_RATE


NO_DEMAND = ModelDemand()


def demand_by_model(demand: DemandTracker, service: str, engine: Engine) -> dict[str, ModelDemand]:
    """Demand of each model of the service that is asked for."""
    found: dict[str, ModelDemand] = {}
    for item in demand.tracked_keys():
        if item.service == service and item.model in engine.models:
            of_model = found.setdefault(item.model, ModelDemand())
            of_model.rate += demand.rate(item)
            of_model.queued += demand.queued(item)
            of_model.running += demand.running(item)
            of_model.running_now += demand.running_now(item)
            expected = demand.expected(item)
            of_model.expected_rate += expected.rate
            of_model.expected_tokens_per_s += expected.tokens_per_s
    return found
