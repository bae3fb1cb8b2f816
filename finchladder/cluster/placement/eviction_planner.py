"""Plans which models a worker evicts to free memory for another model; without I/O and clock."""

from attrs import frozen

from finchladder.cluster.placement.actions import Eviction
from finchladder.cluster.placement.capacity import used_mb
from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.placement.planning_state import PlanningState

# Cost of evicting a model per request in flight; the eviction blocks the worker until all of them complete.
RUNNING_REQUEST_COST = 0.5


@frozen
class EvictionPlan:
    """Models to evict from a worker, and the value that is lost by their eviction."""

    cost: float
    evicted_models: tuple[str, ...]

    def evictions(self) -> tuple[Eviction, ...]:
        """The evictions in the form of a load action."""
        return tuple(Eviction(model) for model in self.evicted_models)


class EvictionPlanner:
    """Plans evictions for one planning pass."""

    def __init__(self, state: PlanningState) -> None:
        """Creates a planner without cached plans."""
        self.state = state
        self._plans: dict[tuple[str, float], EvictionPlan | None] = {}
        self._configured_order = {name: index for index, name in enumerate(state.engine.models)}

    def plan_for(self, worker: PlannerWorker, model: str) -> EvictionPlan | None:
        """Plans the cheapest evictions that free memory for a model; None if the model cannot fit.

        Other replicas reduce the cost of an eviction only if they are loaded, not while they are being
        loaded. Plans are cached by worker and needed memory, since the values of replicas change little
        during one planning pass.
        """
        needed_mb = self.state.engine.models[model].weights_mb
        cache_key = worker.instance, needed_mb
        if cache_key not in self._plans:
            self._plans[cache_key] = self._plan(worker, needed_mb)
        return self._plans[cache_key]

    def _plan(self, worker: PlannerWorker, needed_mb: float) -> EvictionPlan | None:
        free_mb = self.state.free_mb(worker)
        cost = 0.0
        evicted_models = []
        for model in sorted(worker.loaded_models, key=lambda model: self._eviction_order(worker, model)):
            if free_mb >= needed_mb:
                break
            cost += self._cost(worker, model)
            evicted_models.append(model)
            free_mb += used_mb(self.state.engine, {model: worker.loaded_models[model]})
        return EvictionPlan(cost, tuple(evicted_models)) if free_mb >= needed_mb else None

    def _eviction_order(self, worker: PlannerWorker, model: str) -> tuple[float, int]:
        """Sort key: cheapest models first, and among equals the last one in the configuration first."""
        return self._cost(worker, model), -self._configured_order.get(model, 0)

    def _cost(self, worker: PlannerWorker, model: str) -> float:
        """Value lost by the eviction of a replica and by waiting for its requests in flight."""
        state = self.state
        if state.loaded_replicas[model] <= 1:
            value = state.first_replica_value(model)
        else:
            value = state.utilization.late_request_rate_added_by_eviction(worker.instance, model)
        in_flight = state.inputs.demand.replica_requests(worker.instance, model)
        return value + RUNNING_REQUEST_COST * in_flight
