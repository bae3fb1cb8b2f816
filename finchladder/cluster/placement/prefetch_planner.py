"""Plans prefetches: loads of models that are on no worker's disk, before requests need them; without I/O.

Loads from the weight store may be slow. A prefetched model is on a local disk, from which it loads quickly
when a request needs it.
"""

from finchladder.cluster.configuration.snapshot import Model
from finchladder.cluster.placement.actions import LoadAction
from finchladder.cluster.placement.capacity import LONG_LOAD_S
from finchladder.cluster.placement.eviction_planner import EvictionPlanner
from finchladder.cluster.placement.model_demand import NO_DEMAND
from finchladder.cluster.placement.planning_state import PlanningState
from finchladder.cluster.placement.replica_planner import MIN_FIRST_REPLICA_VALUE


class PrefetchPlanner:
    """Plans prefetches at idle workers."""

    def __init__(self, state: PlanningState, eviction_planner: EvictionPlanner) -> None:
        """Creates the planner for the planning pass of `state`."""
        self.state = state
        self.eviction_planner = eviction_planner

    def plan_actions(self) -> list[LoadAction]:
        """Plans loads within the limit for prefetches, and applies them to the state."""
        planned: list[LoadAction] = []
        for model in self._models_on_no_disk():
            prefetches_left = self.state.inputs.prefetches_allowed - len(planned)
            if model.load_s < LONG_LOAD_S or min(self.state.store_loads_left, prefetches_left) <= 0:
                continue
            action = self._plan(model.name)
            if action is None:  # no worker has room or enough unused models, so other prefetches fail, too
                break
            self.state.apply(action)
            planned.append(action)
        return planned

    def _models_on_no_disk(self) -> list[Model]:
        state = self.state
        on_disk = {
            model for worker in state.workers for model in worker.models_on_disk | set(worker.loaded_models)
        }
        return [
            model
            for model in state.engine.models.values()
            if model.name not in on_disk and state.replicas.get(model.name, 0) == 0
        ]

    def _plan(self, model: str) -> LoadAction | None:
        """Plans a load that evicts only unused models, at the worker with the fewest models on its disk."""
        workers = sorted(
            self.state.idle_workers.values(),
            key=lambda worker: (len(worker.models_on_disk), worker.instance),
        )
        for worker in workers:
            plan = self.eviction_planner.plan_for(worker, model)
            if plan is not None and all(map(self._is_unused, plan.evicted_models)):
                return LoadAction(worker.instance, model, evictions=plan.evictions())
        return None

    def _is_unused(self, model: str) -> bool:
        demand = self.state.demand.get(model, NO_DEMAND)
        return demand.is_idle and demand.rate < MIN_FIRST_REPLICA_VALUE
