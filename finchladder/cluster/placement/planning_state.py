"""State of one planning pass: replicas, idle workers and remaining limits."""

from collections import Counter
from collections.abc import Mapping

from finchladder.cluster.placement.actions import LoadAction
from finchladder.cluster.placement.capacity import reserved_model_slots, used_mb
from finchladder.cluster.placement.model_demand import NO_DEMAND, ModelDemand, demand_by_model
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.placement.utilization import ExpectedLoad, FleetUtilization

QUEUED_REQUEST_VALUE = 1.5  # value that each queued request adds to a model's first replica
UNIFORM_DEMAND_FRACTION = 0.15  # fraction of the demand that is assumed to be equal for all models
# A worker counts as fully utilized at this fraction of its request slots if no prefill time is reported.
FULL_USE_SLOT_FRACTION = 0.15


class PlanningState:
    """State that the planners of one pass share; only `apply` changes it."""

    def __init__(self, inputs: PlanningInput, loading_replicas: Mapping[str, int]) -> None:
        """Counts replicas and slots; `loading_replicas` counts replicas that are being loaded, by model."""
        self.inputs = inputs
        self.engine = inputs.engine
        self.workers = [worker for worker in inputs.workers if not worker.is_draining]
        self.idle_workers = {worker.instance: worker for worker in self.workers if not worker.is_busy}
        self.store_loads_left = inputs.store_loads_allowed
        self.demand = demand_by_model(inputs.demand, inputs.service, inputs.engine)
        total_rate = sum(demand.rate for demand in self.demand.values())
        self.uniform_rate = UNIFORM_DEMAND_FRACTION * total_rate / max(1, len(self.engine.models))
        loaded_models = [model for worker in self.workers for model in worker.loaded_models]
        self.loaded_replicas = Counter(loaded_models)
        self.replicas = self.loaded_replicas + Counter(loading_replicas)
        empty_slots = self._empty_slots()
        self.replaceable_slots = empty_slots + sum(self.is_idle(model) for model in loaded_models)
        self.reserved_slots = reserved_model_slots(inputs.cold_start_slots, empty_slots + len(loaded_models))
        self.utilization = self._fleet_utilization()

    def _empty_slots(self) -> int:
        """Number of further replicas of the largest model that fit into the free memory of all workers."""
        largest_mb = max((model.weights_mb for model in self.engine.models.values()), default=0.0)
        if not largest_mb:
            return 0
        return sum(int(max(0.0, self.free_mb(worker)) // largest_mb) for worker in self.workers)

    def _fleet_utilization(self) -> FleetUtilization:
        models_by_worker = {
            worker.instance: {*worker.loaded_models, *({worker.loading_model} - {""})}
            for worker in self.workers
        }
        expected_loads = {model: self._expected_load(demand) for model, demand in self.demand.items()}
        return FleetUtilization(models_by_worker, expected_loads)

    def _expected_load(self, demand: ModelDemand) -> ExpectedLoad:
        s_per_token = self.inputs.demand.prefill_s_per_token(self.inputs.service)
        utilization = demand.expected_tokens_per_s * s_per_token
        if not s_per_token:
            utilization = demand.smoothed_in_flight / max(1.0, FULL_USE_SLOT_FRACTION * self.engine.slots)
        return ExpectedLoad(utilization, demand.expected_rate)

    @property
    def has_queued_requests(self) -> bool:
        """Whether requests are queued for any model."""
        return any(demand.queued for demand in self.demand.values())

    @property
    def has_only_reserved_slots(self) -> bool:
        """Whether all slots that are empty or contain an idle model are reserved for cold starts."""
        return bool(self.reserved_slots) and self.replaceable_slots <= self.reserved_slots

    def is_idle(self, model: str) -> bool:
        """Whether the model is idle, so that a replica of it may be evicted."""
        return self.demand.get(model, NO_DEMAND).is_idle

    def next_replica_value(self, model: str) -> float:
        """Value of the next replica of a model, which may be the first one."""
        if self.replicas.get(model, 0):
            return self.utilization.late_request_rate_saved_by_replica(model)
        return self.first_replica_value(model)

    def first_replica_value(self, model: str) -> float:
        """Value of the only replica of a model."""
        demand = self.demand.get(model, NO_DEMAND)
        return demand.rate + self.uniform_rate + QUEUED_REQUEST_VALUE * demand.queued

    def request_rate(self, worker: PlannerWorker) -> float:
        """Requests per second that a worker serves if each model's replicas share its requests evenly."""
        return sum(
            self.demand[model].rate / max(1, self.replicas.get(model, 1))
            for model in worker.loaded_models
            if model in self.demand
        )

    def free_mb(self, worker: PlannerWorker) -> float:
        """Free memory for weights at a worker in MB."""
        return self.engine.weights_mb - used_mb(self.engine, worker.loaded_models)

    def apply(self, action: LoadAction) -> None:
        """Applies an action to the state; its worker gets no further action in this pass."""
        worker = self.idle_workers.pop(action.instance)
        if action.adapter:
            return
        self.utilization.add_replica(action.instance, action.model)
        self.replicas[action.model] += 1
        self.replaceable_slots -= not action.evictions
        for eviction in action.evictions:
            self.utilization.remove_replica(action.instance, eviction.model)
            self.replicas[eviction.model] -= 1
            self.loaded_replicas[eviction.model] -= 1
            self.replaceable_slots -= self.is_idle(eviction.model)
        if action.model not in worker.models_on_disk:
            self.store_loads_left -= 1
