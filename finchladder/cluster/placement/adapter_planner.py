"""Plans which worker loads an adapter that requests wait for, and which one it evicts; without I/O."""

from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.demand import DemandKey
from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.placement.planning_state import PlanningState


class AdapterPlanner:
    """Plans loads of adapters at idle workers that have loaded the base model."""

    def __init__(self, state: PlanningState) -> None:
        """Creates the planner for the planning pass of `state`."""
        self.state = state
        self.demand = state.inputs.demand

    def plan_actions(self) -> list[LoadAction]:
        """Plans at most one load for each adapter with queued requests, and applies it to the state."""
        planned: list[LoadAction] = []
        for key in self._queued_adapters():
            action = self._plan(key)
            if action is not None:
                self.state.apply(action)
                planned.append(action)
        return planned

    def _queued_adapters(self) -> list[DemandKey]:
        """Adapters with queued requests, those with the most queued requests first."""
        service = self.state.inputs.service
        queued = [
            key
            for key in self.demand.tracked_keys()
            if key.service == service and key.adapter and self.demand.queued(key)
        ]
        return sorted(queued, key=lambda key: (-self.demand.queued(key), key.model, key.adapter))

    def _plan(self, key: DemandKey) -> LoadAction | None:
        state = self.state
        if any(key.adapter in worker.loaded_models.get(key.model, ()) for worker in state.workers):
            return None
        candidates = [worker for worker in state.idle_workers.values() if key.model in worker.loaded_models]
        model = state.engine.models.get(key.model)
        if not candidates or model is None:
            return None
        worker = min(
            candidates,
            key=lambda worker: (worker.adapter_count(), state.request_rate(worker), worker.instance),
        )
        has_free_slot = worker.adapter_count() < state.engine.lora_slots
        if has_free_slot and state.free_mb(worker) >= model.adapter_size_mb:
            return LoadAction(worker.instance, key.model, key.adapter)
        eviction = self._least_used_adapter(worker)
        if eviction is None:
            return None
        return LoadAction(worker.instance, key.model, key.adapter, (eviction,))

    def _least_used_adapter(self, worker: PlannerWorker) -> Eviction | None:
        loaded = [
            Eviction(model, adapter)
            for model, adapters in worker.loaded_models.items()
            for adapter in adapters
        ]

        def usage(eviction: Eviction) -> tuple[int, float, Eviction]:
            key = DemandKey(self.state.inputs.service, eviction.model, eviction.adapter)
            return self.demand.in_flight(key), self.demand.rate(key), eviction

        return min(loaded, key=usage, default=None)
