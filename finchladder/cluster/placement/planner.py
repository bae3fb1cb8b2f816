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

from finchladder.cluster.placement.demand import Item
from finchladder.cluster.placement.model_demand import NO_DEMAND, ModelDemand, by_model
from finchladder.cluster.placement.plan import (
    LONG_LOAD_S,
    Load,
    Plan,
    Victim,
    WorkerState,
    places_for_first_copies,
    used_mb,
)
from finchladder.cluster.placement.utilization import ExpectedLoad, Utilization

BUSY_SHARE = 0.15  # of a worker's slots: so many running requests are its full use, where no pace is known
WAITING_WORTH = 1.5  # of each request that waits for a model that nobody holds
USE_COST = 0.5  # of each request that runs at a copy: who evicts it waits, and does nothing else meanwhile
MARGIN = 1.5  # by which a new copy must be worth more than what gives way
LAST_COPY_COST = 0.5  # more, where the last copy of a model would give way to a further one of another
LEAST_WORTH = 0.02  # a first copy that is worth less is not loaded
LEAST_COPY_WORTH = 0.2  # the same for a further one
OVERLOADED = 0.5  # utilization of each copy of a model whose next copy may take a kept place
EVEN_SHARE = 0.15  # of the demand is expected to fall evenly on all models
HORIZON_S = 10.0  # for which a copy is wanted: a load that takes a tenth of it longer is worth a tenth less
BUSYNESS_WORTH = 0.05


@frozen
class Room:
    """The models that a worker has to give up for another one, and what they are worth together."""

    cost: float
    victims: tuple[str, ...]


class Round:
    """One round: at most one action for each worker that is free."""

    def __init__(self, plan: Plan, loading: Mapping[str, int]) -> None:
        """`loading`: copies by model that are on their way."""
        self.plan, self.engine = plan, plan.engine
        self.demand = by_model(plan.demand, plan.service, plan.engine)
        total = sum(d.rate for d in self.demand.values())
        self.even_rate = EVEN_SHARE * total / max(1, len(plan.engine.models))
        self.workers = [w for w in plan.workers if not w.leaving]
        self.free = {w.instance: w for w in self.workers if not w.busy}
        self.loads_left = plan.loads_allowed
        self._rooms: dict[tuple[str, float], Room | None] = {}
        self.order = {name: place for place, name in enumerate(plan.engine.models)}
        self.present = Counter(model for worker in self.workers for model in worker.models)
        self.copies = self.present + Counter(loading)
        held = [model for worker in self.workers for model in worker.models]
        largest_mb = max((model.weights_mb for model in self.engine.models.values()), default=0.0)
        empty = sum(self._empty_places(worker, largest_mb) for worker in self.workers)
        self.replaceable = empty + sum(self._is_idle(model) for model in held)
        self.reserved = places_for_first_copies(plan.first_copies, empty + len(held))
        on_the_way = {w.instance: {w.loading} - {""} for w in self.workers}
        there = {w.instance: {*w.models, *on_the_way[w.instance]} for w in self.workers}
        self.utilization = Utilization(there, {m: self._expected(d) for m, d in self.demand.items()})

    def _empty_places(self, worker: WorkerState, largest_mb: float) -> int:
        """So many of the largest model would still fit."""
        room = self.engine.weights_mb - used_mb(self.engine, worker.models)
        return int(max(0.0, room) // largest_mb) if largest_mb else 0

    def _expected(self, demand: ModelDemand) -> ExpectedLoad:
        s_per_token = self.plan.demand.s_per_token(self.plan.service)
        work = demand.expected_tokens * s_per_token
        if not s_per_token:
            work = demand.running / max(1.0, BUSY_SHARE * self.engine.slots)
        return ExpectedLoad(work, demand.expected_rate)

    def next_copy_worth(self, model: str) -> float:
        """What another copy is worth, the first one included."""
        return self.utilization.relief(model) if self.copies.get(model, 0) else self.first_copy_worth(model)

    def first_copy_worth(self, model: str) -> float:
        """What the only copy is worth."""
        demand = self.demand.get(model, NO_DEMAND)
        return demand.rate + self.even_rate + WAITING_WORTH * demand.waiting

    def actions(self) -> list[Load]:
        """What to order now."""
        found = self._adapter_actions()
        for model in self._candidates():
            action = self._place(model)
            if action is not None:
                found.append(action)
        if not found and not any(d.waiting for d in self.demand.values()):
            found += self._prefetches()
        return found

    def _take(self, action: Load) -> Load:
        """Counts an action as done."""
        worker = self.free.pop(action.instance)
        if not action.adapter:
            self.utilization.add(action.instance, action.model)
            self.copies[action.model] += 1
            self.replaceable -= not action.victims
            for victim in action.victims:
                self.utilization.remove(action.instance, victim.model)
                self.copies[victim.model] -= 1
                self.present[victim.model] -= 1
                self.replaceable -= self._is_idle(victim.model)
            if action.model not in worker.on_disk:
                self.loads_left -= 1
        return action

    def _candidates(self) -> list[str]:
        """Models that are waited for and nowhere, then all by what their next copy is worth."""
        worths = {model: self.next_copy_worth(model) for model in self.demand}

        def urgency(model: str) -> tuple[bool, float, str]:
            is_missed = self.copies.get(model, 0) == 0 and self.demand[model].waiting > 0
            return not is_missed, -worths[model], model

        return sorted(worths, key=urgency)

    def _place(self, model: str) -> Load | None:
        copies = self.copies.get(model, 0)
        worth = self.next_copy_worth(model)
        least = LEAST_COPY_WORTH if copies else LEAST_WORTH
        if worth < least:
            return None
        is_kept = self.reserved and self.replaceable <= self.reserved
        if copies and is_kept and not self._is_overloaded(model):
            return None
        choices: list[tuple[float, str, tuple[str, ...]]] = []
        for worker in self.free.values():
            if model in worker.models or (model not in worker.on_disk and self.loads_left <= 0):
                continue
            room = self._room(worker, model)
            if room is None:
                continue
            burden = self.utilization.burden(worker.instance, model) if copies else 0.0
            if worth - burden < max(least, MARGIN * self._cost_to(copies, room)):
                continue
            delay = worth * self._load_s(worker, model) / HORIZON_S
            rank = room.cost + burden + delay + BUSYNESS_WORTH * self._busyness(worker)
            choices.append((rank, worker.instance, room.victims))
        if not choices:
            return None
        _, instance, victims = min(choices)
        return self._take(Load(instance, model, "", tuple(map(Victim, victims))))

    def _cost_to(self, copies: int, room: Room) -> float:
        """What the room costs a model with so many copies: models that would be nowhere count more."""
        only = sum(self.present[victim] <= 1 for victim in room.victims) if copies else 0
        return room.cost + LAST_COPY_COST * only

    def _is_overloaded(self, model: str) -> bool:
        """Whether its copies are all busy, those on their way included."""
        return self.utilization.least_used(model) > OVERLOADED

    def _load_s(self, worker: WorkerState, model: str) -> float:
        share = self.plan.warm_share if model in worker.on_disk else 1.0
        return share * self.engine.models[model].load_s

    def _room(self, worker: WorkerState, model: str) -> Room | None:
        """What is given up for the model, and the models that go; None: it can't be had. What is still being
        loaded elsewhere does not stand in for a copy that goes.

        Kept for the round by the room that is needed: what copies are worth changes little within it.
        """
        need = self.engine.models[model].weights_mb
        key = worker.instance, need
        if key not in self._rooms:
            self._rooms[key] = self._make_room(worker, need)
        return self._rooms[key]

    def _make_room(self, worker: WorkerState, need: float) -> Room | None:
        room = self.engine.weights_mb - used_mb(self.engine, worker.models)
        cost, victims = 0.0, []
        for held in sorted(worker.models, key=lambda model: self._standing(worker, model)):
            if room >= need:
                break
            cost += self._cost(worker, held)
            victims.append(held)
            room += used_mb(self.engine, {held: worker.models[held]})
        return Room(cost, tuple(victims)) if room >= need else None

    def _standing(self, worker: WorkerState, model: str) -> tuple[float, int]:
        """Who goes first: the least worth, among equals the last of the configuration's list."""
        return self._cost(worker, model), -self.order.get(model, 0)

    def _cost(self, worker: WorkerState, model: str) -> float:
        """What is lost with a copy that is evicted, and by waiting for what runs there."""
        uses = self.plan.demand.uses(worker.instance, model)
        is_only = self.present[model] <= 1
        worth = self.first_copy_worth(model) if is_only else self.utilization.loss(worker.instance, model)
        return worth + USE_COST * uses

    def _busyness(self, worker: WorkerState) -> float:
        """Requests a second that fall to a worker, if copies share evenly."""
        return sum(
            self.demand[m].rate / max(1, self.copies.get(m, 1)) for m in worker.models if m in self.demand
        )

    # --- preparing ----------------------------------------------------------------------------------------

    def _prefetches(self) -> list[Load]:
        """Models that nobody has on disk, in place of idle ones that will be there again quickly."""
        known = {model for worker in self.workers for model in worker.on_disk | set(worker.models)}
        missing = [
            model
            for model in self.engine.models.values()
            if model.name not in known and self.copies.get(model.name, 0) == 0
        ]
        found: list[Load] = []
        for model in missing:
            if (
                model.load_s < LONG_LOAD_S
                or min(self.loads_left, self.plan.preparing_allowed - len(found)) <= 0
            ):
                continue
            action = self._prefetch(model.name)
            if action is None:  # nor is there room for the next one
                break
            found.append(action)
        return found

    def _prefetch(self, model: str) -> Load | None:
        for worker in sorted(self.free.values(), key=lambda w: (len(w.on_disk), w.instance)):
            room = self._room(worker, model)
            if room is not None and all(self._is_unused(victim) for victim in room.victims):
                return self._take(Load(worker.instance, model, "", tuple(map(Victim, room.victims))))
        return None

    def _is_unused(self, model: str) -> bool:
        demand = self.demand.get(model, NO_DEMAND)
        return demand.is_idle and demand.rate < LEAST_WORTH

    def _is_idle(self, model: str) -> bool:
        return self.demand.get(model, NO_DEMAND).is_idle

    # --- adapters -----------------------------------------------------------------------------------------

    def _adapter_actions(self) -> list[Load]:
        demand, service = self.plan.demand, self.plan.service
        wanted = [i for i in demand.items() if i.service == service and i.adapter and demand.waiting(i)]
        found: list[Load] = []
        for item in sorted(wanted, key=lambda i: (-demand.waiting(i), i.model, i.adapter)):
            action = self._place_adapter(item)
            if action is not None:
                found.append(self._take(action))
        return found

    def _place_adapter(self, item: Item) -> Load | None:
        if any(item.adapter in w.models.get(item.model, ()) for w in self.workers):
            return None
        holders = [w for w in self.free.values() if item.model in w.models]
        model = self.engine.models.get(item.model)
        if not holders or model is None:
            return None
        worker = min(holders, key=lambda w: (w.adapters(), self._busyness(w), w.instance))
        room = self.engine.weights_mb - used_mb(self.engine, worker.models)
        if worker.adapters() < self.engine.lora_slots and room >= model.adapter_size_mb:
            return Load(worker.instance, item.model, item.adapter)
        victim = self._idlest_adapter(worker)
        return None if victim is None else Load(worker.instance, item.model, item.adapter, (victim,))

    def _idlest_adapter(self, worker: WorkerState) -> Victim | None:
        held = [Victim(model, adapter) for model, adapters in worker.models.items() for adapter in adapters]

        def use(victim: Victim) -> tuple[int, float, Victim]:
            item = Item(self.plan.service, victim.model, victim.adapter)
            return self.plan.demand.running_now(item), self.plan.demand.rate(item), victim

        return min(held, key=use, default=None)
