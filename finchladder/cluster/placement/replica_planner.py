"""Plans which models get another replica, at which worker, and with which evictions; without I/O.

The value of the first replica is the model's request rate, plus an amount for each queued request. The value
of a further replica is the rate of late requests that it saves. A replica is loaded if its value exceeds the
cost of its evictions by a margin, which prevents models from evicting each other in turn. Workers that have
the model on their local disk are preferred, since the load takes less time. Further replicas of models that
are not overloaded must not use the slots that are reserved for cold starts. Without such slots, each cold
start would evict a replica of a busy model, wait for the requests in flight there, and be evicted soon after.
"""

from typing import NamedTuple

from finchladder.cluster.placement.actions import LoadAction
from finchladder.cluster.placement.eviction_planner import EvictionPlan, EvictionPlanner
from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.placement.planning_state import PlanningState

REPLACEMENT_MARGIN = 1.5  # factor by which a replica's value has to exceed the cost of its evictions
LAST_REPLICA_COST = 0.5  # cost of evicting a last replica for a further replica of another model
MIN_FIRST_REPLICA_VALUE = 0.02  # minimum value of a first replica to be loaded
MIN_REPLICA_VALUE = 0.2  # minimum value of a further replica to be loaded
# If all replicas of a model exceed this utilization, a further replica may use a reserved slot.
OVERLOAD_UTILIZATION = 0.5
# Assumed time for which a replica is useful; a load that takes a tenth of it costs a tenth of the value.
VALUE_HORIZON_S = 10.0
REQUEST_RATE_COST = 0.05  # cost of a worker for each request per second that it already serves


class ReplicaCandidate(NamedTuple):
    """A worker that could load a replica; the candidate with the lowest cost is chosen."""

    cost: float
    instance: str
    eviction_plan: EvictionPlan


class ReplicaPlanner:
    """Plans loads of models for which there is demand."""

    def __init__(self, state: PlanningState, eviction_planner: EvictionPlanner) -> None:
        """Creates the planner for the planning pass of `state`."""
        self.state = state
        self.eviction_planner = eviction_planner

    def plan_actions(self) -> list[LoadAction]:
        """Plans at most one load for each model with demand, and applies it to the state."""
        planned: list[LoadAction] = []
        for model in self._models_by_urgency():
            action = self._plan(model)
            if action is not None:
                self.state.apply(action)
                planned.append(action)
        return planned

    def _models_by_urgency(self) -> list[str]:
        """Models with demand: those with queued requests but no replica first, then by value of a replica."""
        state = self.state
        values = {model: state.next_replica_value(model) for model in state.demand}

        def urgency(model: str) -> tuple[bool, float, str]:
            is_missing = state.replicas.get(model, 0) == 0 and state.demand[model].queued > 0
            return not is_missing, -values[model], model

        return sorted(values, key=urgency)

    def _plan(self, model: str) -> LoadAction | None:
        has_replica = self.state.replicas.get(model, 0) > 0
        value = self.state.next_replica_value(model)
        min_value = MIN_REPLICA_VALUE if has_replica else MIN_FIRST_REPLICA_VALUE
        if value < min_value:
            return None
        if has_replica and self.state.has_only_reserved_slots and not self._is_overloaded(model):
            return None
        candidates = self._candidates(model, value, min_value, has_replica)
        if not candidates:
            return None
        best = min(candidates)
        return LoadAction(best.instance, model, evictions=best.eviction_plan.evictions())

    def _candidates(
        self, model: str, value: float, min_value: float, has_replica: bool
    ) -> list[ReplicaCandidate]:
        """Idle workers at which the value of the replica exceeds its cost. O(idle workers)."""
        state = self.state
        candidates: list[ReplicaCandidate] = []
        for worker in state.idle_workers.values():
            is_cold = model not in worker.models_on_disk
            if model in worker.loaded_models or (is_cold and state.store_loads_left <= 0):
                continue
            plan = self.eviction_planner.plan_for(worker, model)
            if plan is None:
                continue
            late_request_rate = (
                state.utilization.late_request_rate_added_by_replica(worker.instance, model)
                if has_replica
                else 0.0
            )
            replacement_cost = self._replacement_cost(plan, has_replica)
            if value - late_request_rate < max(min_value, REPLACEMENT_MARGIN * replacement_cost):
                continue
            delay_cost = value * self._load_s(worker, model) / VALUE_HORIZON_S
            cost = plan.cost + late_request_rate + delay_cost + REQUEST_RATE_COST * state.request_rate(worker)
            candidates.append(ReplicaCandidate(cost, worker.instance, plan))
        return candidates

    def _replacement_cost(self, plan: EvictionPlan, has_replica: bool) -> float:
        """Cost of the evictions; if the model already has a replica, evicting last replicas costs more."""
        if not has_replica:
            return plan.cost
        last_replicas = sum(self.state.loaded_replicas[model] <= 1 for model in plan.evicted_models)
        return plan.cost + LAST_REPLICA_COST * last_replicas

    def _is_overloaded(self, model: str) -> bool:
        """Whether all workers that have loaded or are loading the model exceed OVERLOAD_UTILIZATION."""
        return self.state.utilization.min_utilization(model) > OVERLOAD_UTILIZATION

    def _load_s(self, worker: PlannerWorker, model: str) -> float:
        fraction = self.state.inputs.warm_fraction if model in worker.models_on_disk else 1.0
        return fraction * self.state.engine.models[model].load_s
