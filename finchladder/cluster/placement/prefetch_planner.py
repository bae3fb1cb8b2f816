"""Loads of models that are on no worker's disk, ahead of demand; no I/O and no clock.

Where loads from the weight store are slow, a model that was loaded once is on a local disk, from where it
is loaded quickly when it is asked for.
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
        """Plans within the pass of that state."""
        self.state = state
        self.eviction_planner = eviction_planner

    def actions(self) -> list[LoadAction]:
        """Loads within the limit for prefetches, applied to the state."""
        planned: list[LoadAction] = []
        for model in self._models_on_no_disk():
            prefetches_left = self.state.inputs.prefetches_allowed - len(planned)
            if model.load_s < LONG_LOAD_S or min(self.state.store_loads_left, prefetches_left) <= 0:
                continue
            action = self._plan(model.name)
            if action is None:  # nor can another model be made to fit
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
        """A load at the worker with the fewest models on disk where only unused ones have to be evicted."""
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
