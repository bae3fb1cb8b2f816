"""Which model or adapter a worker should load next, and what has to give way; no I/O and no clock.

The first copy of a model is worth its rate, and more while requests wait for it. A further copy is worth a
little for balance, and more once the running requests of a copy pass a share of its slots, but no more than
it takes off the other copies, which falls with the square of their number. A copy is loaded
where it is worth more than what gives way, by a margin that keeps models from being exchanged to and fro; a
worker that has the model on its own disk is preferred by the time that this saves. Further copies that are
not overloaded leave places to what is asked for rarely: as many as first copies lately took at once, or each
of these would push out a copy of a busy model, wait for its requests, and be pushed out again. Where loads
from the store are slow, workers with nothing to do load models that nobody has on disk yet, in place of idle
ones.
"""

from collections import Counter
from collections.abc import Mapping

from attrs import frozen

from finchladder.cluster.placement.demand import DemandKey
from finchladder.cluster.placement.model_demand import NO_DEMAND, ModelDemand, demand_by_model
from finchladder.cluster.placement.plan import (
    LONG_LOAD_S,
    Eviction,
    LoadAction,
    PlannerWorker,
    PlanningInput,
    reserved_model_slots,
    used_mb,
)
from finchladder.cluster.placement.utilization import ExpectedLoad, FleetUtilization

FULL_USE_SLOT_FRACTION = (
    0.15  # of a worker's slots: so many running requests are its full use, where no pace is known
)
QUEUED_REQUEST_VALUE = 1.5  # of each request that waits for a model that nobody holds
RUNNING_REQUEST_COST = (
    0.5  # of each request that runs at a copy: who evicts it waits, and does nothing else meanwhile
)
REPLACEMENT_MARGIN = 1.5  # by which a new copy must be worth more than what gives way
LAST_REPLICA_COST = 0.5  # more, where the last copy of a model would give way to a further one of another
MIN_FIRST_REPLICA_VALUE = 0.02  # a first copy that is worth less is not loaded
MIN_REPLICA_VALUE = 0.2  # the same for a further one
OVERLOAD_UTILIZATION = 0.5  # utilization of each copy of a model whose next copy may take a kept place
UNIFORM_DEMAND_FRACTION = 0.15  # of the demand is expected to fall evenly on all models
VALUE_HORIZON_S = (
    10.0  # for which a copy is wanted: a load that takes a tenth of it longer is worth a tenth less
)
REQUEST_RATE_COST = 0.05


@frozen
class EvictionPlan:
    """The models that a worker has to give up for another one, and what they are worth together."""

    cost: float
    evicted_models: tuple[str, ...]


class PlanningPass:
    """One round: at most one action for each worker that is free."""

    def __init__(self, inputs: PlanningInput, loading_replicas: Mapping[str, int]) -> None:
        """`loading`: copies by model that are on their way."""
        self.inputs, self.engine = inputs, inputs.engine
        self.demand = demand_by_model(inputs.demand, inputs.service, inputs.engine)
        total = sum(d.rate for d in self.demand.values())
        self.uniform_rate = UNIFORM_DEMAND_FRACTION * total / max(1, len(inputs.engine.models))
        self.workers = [w for w in inputs.workers if not w.is_draining]
        self.idle_workers = {w.instance: w for w in self.workers if not w.is_busy}
        self.store_loads_left = inputs.store_loads_allowed
        self._eviction_plans: dict[tuple[str, float], EvictionPlan | None] = {}
        self.configured_order = {name: place for place, name in enumerate(inputs.engine.models)}
        self.loaded_replicas = Counter(model for worker in self.workers for model in worker.loaded_models)
        self.replicas = self.loaded_replicas + Counter(loading_replicas)
        held = [model for worker in self.workers for model in worker.loaded_models]
        largest_mb = max((model.weights_mb for model in self.engine.models.values()), default=0.0)
        empty = sum(self._empty_slots(worker, largest_mb) for worker in self.workers)
        self.replaceable_slots = empty + sum(self._is_idle(model) for model in held)
        self.reserved_slots = reserved_model_slots(inputs.cold_start_slots, empty + len(held))
        on_the_way = {w.instance: {w.loading_model} - {""} for w in self.workers}
        there = {w.instance: {*w.loaded_models, *on_the_way[w.instance]} for w in self.workers}
        self.utilization = FleetUtilization(
            there, {m: self._expected_load(d) for m, d in self.demand.items()}
        )

    def _empty_slots(self, worker: PlannerWorker, largest_mb: float) -> int:
        """So many of the largest model would still fit."""
        room = self.engine.weights_mb - used_mb(self.engine, worker.loaded_models)
        return int(max(0.0, room) // largest_mb) if largest_mb else 0

    def _expected_load(self, demand: ModelDemand) -> ExpectedLoad:
        s_per_token = self.inputs.demand.prefill_s_per_token(self.inputs.service)
        work = demand.expected_tokens_per_s * s_per_token
        if not s_per_token:
            work = demand.running / max(1.0, FULL_USE_SLOT_FRACTION * self.engine.slots)
        return ExpectedLoad(work, demand.expected_rate)

    def next_replica_value(self, model: str) -> float:
        """What another copy is worth, the first one included."""
        return (
            self.utilization.relief(model) if self.replicas.get(model, 0) else self.first_replica_value(model)
        )

    def first_replica_value(self, model: str) -> float:
        """What the only copy is worth."""
        demand = self.demand.get(model, NO_DEMAND)
        return demand.rate + self.uniform_rate + QUEUED_REQUEST_VALUE * demand.queued

    def actions(self) -> list[LoadAction]:
        """What to order now."""
        found = self._plan_adapters()
        for model in self._models_by_urgency():
            action = self._plan_replica(model)
            if action is not None:
                found.append(action)
        if not found and not any(d.queued for d in self.demand.values()):
            found += self._plan_prefetches()
        return found

    def _apply(self, action: LoadAction) -> LoadAction:
        """Counts an action as done."""
        worker = self.idle_workers.pop(action.instance)
        if not action.adapter:
            self.utilization.add_replica(action.instance, action.model)
            self.replicas[action.model] += 1
            self.replaceable_slots -= not action.evictions
            for victim in action.evictions:
                self.utilization.remove_replica(action.instance, victim.model)
                self.replicas[victim.model] -= 1
                self.loaded_replicas[victim.model] -= 1
                self.replaceable_slots -= self._is_idle(victim.model)
            if action.model not in worker.models_on_disk:
                self.store_loads_left -= 1
        return action

    def _models_by_urgency(self) -> list[str]:
        """Models that are waited for and nowhere, then all by what their next copy is worth."""
        worths = {model: self.next_replica_value(model) for model in self.demand}

        def urgency(model: str) -> tuple[bool, float, str]:
            is_missed = self.replicas.get(model, 0) == 0 and self.demand[model].queued > 0
            return not is_missed, -worths[model], model

        return sorted(worths, key=urgency)

    def _plan_replica(self, model: str) -> LoadAction | None:
        copies = self.replicas.get(model, 0)
        worth = self.next_replica_value(model)
        least = MIN_REPLICA_VALUE if copies else MIN_FIRST_REPLICA_VALUE
        if worth < least:
            return None
        is_kept = self.reserved_slots and self.replaceable_slots <= self.reserved_slots
        if copies and is_kept and not self._is_overloaded(model):
            return None
        choices: list[tuple[float, str, tuple[str, ...]]] = []
        for worker in self.idle_workers.values():
            if model in worker.loaded_models or (
                model not in worker.models_on_disk and self.store_loads_left <= 0
            ):
                continue
            room = self._eviction_plan(worker, model)
            if room is None:
                continue
            burden = self.utilization.burden(worker.instance, model) if copies else 0.0
            if worth - burden < max(least, REPLACEMENT_MARGIN * self._replacement_cost(copies, room)):
                continue
            delay = worth * self._relative_load_s(worker, model) / VALUE_HORIZON_S
            rank = room.cost + burden + delay + REQUEST_RATE_COST * self._request_rate(worker)
            choices.append((rank, worker.instance, room.evicted_models))
        if not choices:
            return None
        _, instance, victims = min(choices)
        return self._apply(LoadAction(instance, model, "", tuple(map(Eviction, victims))))

    def _replacement_cost(self, copies: int, room: EvictionPlan) -> float:
        """What the room costs a model with so many copies: models that would be nowhere count more."""
        only = sum(self.loaded_replicas[victim] <= 1 for victim in room.evicted_models) if copies else 0
        return room.cost + LAST_REPLICA_COST * only

    def _is_overloaded(self, model: str) -> bool:
        """Whether its copies are all busy, those on their way included."""
        return self.utilization.min_utilization(model) > OVERLOAD_UTILIZATION

    def _relative_load_s(self, worker: PlannerWorker, model: str) -> float:
        share = self.inputs.warm_fraction if model in worker.models_on_disk else 1.0
        return share * self.engine.models[model].load_s

    def _eviction_plan(self, worker: PlannerWorker, model: str) -> EvictionPlan | None:
        """What is given up for the model, and the models that go; None: it can't be had. What is still being
        loaded elsewhere does not stand in for a copy that goes.

        Kept for the round by the room that is needed: what copies are worth changes little within it.
        """
        need = self.engine.models[model].weights_mb
        key = worker.instance, need
        if key not in self._eviction_plans:
            self._eviction_plans[key] = self._plan_evictions(worker, need)
        return self._eviction_plans[key]

    def _plan_evictions(self, worker: PlannerWorker, need: float) -> EvictionPlan | None:
        room = self.engine.weights_mb - used_mb(self.engine, worker.loaded_models)
        cost, victims = 0.0, []
        for held in sorted(worker.loaded_models, key=lambda model: self._eviction_order(worker, model)):
            if room >= need:
                break
            cost += self._eviction_cost(worker, held)
            victims.append(held)
            room += used_mb(self.engine, {held: worker.loaded_models[held]})
        return EvictionPlan(cost, tuple(victims)) if room >= need else None

    def _eviction_order(self, worker: PlannerWorker, model: str) -> tuple[float, int]:
        """Who goes first: the least worth, among equals the last of the configuration's list."""
        return self._eviction_cost(worker, model), -self.configured_order.get(model, 0)

    def _eviction_cost(self, worker: PlannerWorker, model: str) -> float:
        """What is lost with a copy that is evicted, and by waiting for what runs there."""
        uses = self.inputs.demand.replica_requests(worker.instance, model)
        is_only = self.loaded_replicas[model] <= 1
        worth = self.first_replica_value(model) if is_only else self.utilization.loss(worker.instance, model)
        return worth + RUNNING_REQUEST_COST * uses

    def _request_rate(self, worker: PlannerWorker) -> float:
        """Requests a second that fall to a worker, if copies share evenly."""
        return sum(
            self.demand[m].rate / max(1, self.replicas.get(m, 1))
            for m in worker.loaded_models
            if m in self.demand
        )

    # --- preparing ----------------------------------------------------------------------------------------

    def _plan_prefetches(self) -> list[LoadAction]:
        """Models that nobody has on disk, in place of idle ones that will be there again quickly."""
        known = {
            model for worker in self.workers for model in worker.models_on_disk | set(worker.loaded_models)
        }
        missing = [
            model
            for model in self.engine.models.values()
            if model.name not in known and self.replicas.get(model.name, 0) == 0
        ]
        found: list[LoadAction] = []
        for model in missing:
            if (
                model.load_s < LONG_LOAD_S
                or min(self.store_loads_left, self.inputs.prefetches_allowed - len(found)) <= 0
            ):
                continue
            action = self._plan_prefetch(model.name)
            if action is None:  # nor is there room for the next one
                break
            found.append(action)
        return found

    def _plan_prefetch(self, model: str) -> LoadAction | None:
        for worker in sorted(self.idle_workers.values(), key=lambda w: (len(w.models_on_disk), w.instance)):
            room = self._eviction_plan(worker, model)
            if room is not None and all(self._is_unused(victim) for victim in room.evicted_models):
                return self._apply(
                    LoadAction(worker.instance, model, "", tuple(map(Eviction, room.evicted_models)))
                )
        return None

    def _is_unused(self, model: str) -> bool:
        demand = self.demand.get(model, NO_DEMAND)
        return demand.is_idle and demand.rate < MIN_FIRST_REPLICA_VALUE

    def _is_idle(self, model: str) -> bool:
        return self.demand.get(model, NO_DEMAND).is_idle

    # --- adapters -----------------------------------------------------------------------------------------

    def _plan_adapters(self) -> list[LoadAction]:
        demand, service = self.inputs.demand, self.inputs.service
        wanted = [i for i in demand.tracked_keys() if i.service == service and i.adapter and demand.queued(i)]
        found: list[LoadAction] = []
        for item in sorted(wanted, key=lambda i: (-demand.queued(i), i.model, i.adapter)):
            action = self._plan_adapter(item)
            if action is not None:
                found.append(self._apply(action))
        return found

    def _plan_adapter(self, item: DemandKey) -> LoadAction | None:
        if any(item.adapter in w.loaded_models.get(item.model, ()) for w in self.workers):
            return None
        holders = [w for w in self.idle_workers.values() if item.model in w.loaded_models]
        model = self.engine.models.get(item.model)
        if not holders or model is None:
            return None
        worker = min(holders, key=lambda w: (w.adapter_count(), self._request_rate(w), w.instance))
        room = self.engine.weights_mb - used_mb(self.engine, worker.loaded_models)
        if worker.adapter_count() < self.engine.lora_slots and room >= model.adapter_size_mb:
            return LoadAction(worker.instance, item.model, item.adapter)
        victim = self._least_used_adapter(worker)
        return None if victim is None else LoadAction(worker.instance, item.model, item.adapter, (victim,))

    def _least_used_adapter(self, worker: PlannerWorker) -> Eviction | None:
        held = [
            Eviction(model, adapter)
            for model, adapters in worker.loaded_models.items()
            for adapter in adapters
        ]

        def use(victim: Eviction) -> tuple[int, float, Eviction]:
            item = DemandKey(self.inputs.service, victim.model, victim.adapter)
            return self.inputs.demand.running_now(item), self.inputs.demand.rate(item), victim

        return min(held, key=use, default=None)
