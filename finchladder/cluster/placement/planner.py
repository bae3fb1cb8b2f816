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
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import ceil, sqrt

from attrs import define, field, frozen

from finchladder.cluster.configuration.routing import Engine
from finchladder.cluster.placement.demand import DemandBook, Item

BALANCE_WORTH = 0.15  # of a further copy, for each request a second
OVERLOAD_WORTH = 0.3  # of a further copy of a model whose copies are all busy, for each request a second
RELIEF_WORTH = 5.0  # of the load that a further copy takes off each other one, for each request a second
BUSY_SHARE = 0.15  # of a worker's slots: so many running requests make a copy busy
WAITING_WORTH = 1.5  # of each request that waits for a model that nobody holds
USE_COST = 0.5  # of each request that runs at a copy: who evicts it waits, and does nothing else meanwhile
IDLE_RATE = 0.5  # requests a second: what is asked for less, and not in use, gives its place to others
MOST_RESERVED = 0.4  # of all places
MARGIN = 1.5  # by which a new copy must be worth more than what gives way
LEAST_WORTH = 0.02  # a first copy that is worth less is not loaded
LEAST_COPY_WORTH = 0.1  # the same for a further one
EVEN_SHARE = 0.15  # of the demand is expected to fall evenly on all models
HORIZON_S = 10.0  # for which a copy is wanted: a load that takes a tenth of it longer is worth a tenth less
BUSYNESS_WORTH = 0.05
LONG_LOAD_S = 2.0  # loads that are quicker need not be prepared, and may go on at all workers at once
KEPT_FREE = 0.8  # times the root of the workers: so many carry out no long load, and take other orders
KEPT_FREE_BY_PREPARING = 1.6  # the same, while there is demand, of loads that nobody waits for


@define
class WorkerState:
    """A worker as the placer knows it. `models`: what is in its memory, with adapters."""

    instance: str
    service: str
    address: str
    zone: str
    busy: bool  # an order is under way
    leaving: bool
    models: dict[str, set[str]] = field(factory=dict)
    on_disk: frozenset[str] = frozenset()  # models that it has held before

    def adapters(self) -> int:
        """Adapters in its memory."""
        return sum(len(adapters) for adapters in self.models.values())


@dataclass(frozen=True)
class Load:
    """Load a model, or an adapter of one that is there, after evicting `victims`: (model, adapter or "")."""

    instance: str
    model: str
    adapter: str = ""
    victims: tuple[tuple[str, str], ...] = ()


@frozen
class Plan:
    """Inputs of one round of planning for one service. `warm_share`: a load from the own disk over one from
    the store, in time.
    """

    service: str
    engine: Engine
    workers: Sequence[WorkerState]
    demand: DemandBook
    loads_allowed: int  # that may begin from the store now
    preparing_allowed: int  # of them, for models that nobody waits for
    warm_share: float
    first_copies: float = 0.0  # on their way or just in use, on average: as many places change hands at once


def used_mb(engine: Engine, models: Mapping[str, Iterable[str]]) -> float:
    """Memory that models and their adapters take; infinite if one of them is unknown."""
    total = 0.0
    for name, adapters in models.items():
        model = engine.models.get(name)
        if model is None:
            return float("inf")
        total += model.weights_mb + model.adapter_size_mb * len(list(adapters))
    return total


def store_loads_at_once(engine: Engine, workers: int, kept_free: float = KEPT_FREE) -> int:
    """As many loads from the store as its rate keeps under way, as more would only make each take longer; and
    where they are long no more than leaves workers free for quicker orders, such as adapters. What has to be
    free for the peaks grows with the root of the fleet (source: Halfin and Whitt, "Heavy-Traffic Limits for
    Queues with Many Exponential Servers").
    """
    longest_s = max((model.load_s for model in engine.models.values()), default=0.0)
    kept_under_way = max(1, ceil(engine.load_rate_s * longest_s))
    if longest_s < LONG_LOAD_S:
        return kept_under_way
    return max(1, min(kept_under_way, workers - ceil(kept_free * sqrt(workers))))


@define
class ModelDemand:
    """What is asked of a model, its adapters included."""

    rate: float = 0.0
    waiting: int = 0
    running: float = 0.0
    running_now: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether a copy may go without anybody waiting for it."""
        return not self.waiting and not self.running_now and self.rate < IDLE_RATE


NO_DEMAND = ModelDemand()


def by_model(demand: DemandBook, service: str, engine: Engine) -> dict[str, ModelDemand]:
    """Demand of each model of the service that is asked for."""
    found: dict[str, ModelDemand] = {}
    for item in demand.items():
        if item.service == service and item.model in engine.models:
            of_model = found.setdefault(item.model, ModelDemand())
            of_model.rate += demand.rate(item)
            of_model.waiting += demand.waiting(item)
            of_model.running += demand.running(item)
            of_model.running_now += demand.running_now(item)
    return found


def places_for_first_copies(at_once: float, places: int) -> int:
    """How many places are kept for models of which there is no copy, where first copies take `at_once` on
    average: what has to be free for the peaks grows with the root (source: Halfin and Whitt).
    """
    return min(int(MOST_RESERVED * places), ceil(at_once + sqrt(at_once)))


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
        empty = sum(self._empty_places(worker) for worker in self.workers)
        self.replaceable = empty + sum(self._is_idle(model) for model in held)
        self.reserved = places_for_first_copies(plan.first_copies, empty + len(held))

    def _empty_places(self, worker: WorkerState) -> int:
        """So many of the largest model would still fit."""
        largest = max((model.weights_mb for model in self.engine.models.values()), default=0.0)
        room = self.engine.weights_mb - used_mb(self.engine, worker.models)
        return int(max(0.0, room) // largest) if largest else 0

    def copy_worth(self, model: str, copies: int) -> float:
        """What the copy with that number, 1 for the first, is worth."""
        demand = self.demand.get(model, NO_DEMAND)
        if copies <= 1:
            return demand.rate + self.even_rate + WAITING_WORTH * demand.waiting
        needed = demand.running / max(1.0, BUSY_SHARE * self.engine.slots)
        busy = needed / (copies - 1)
        balance = BALANCE_WORTH + OVERLOAD_WORTH * min(1.0, max(0.0, busy - 1.0))
        relief = RELIEF_WORTH * needed / (copies * (copies - 1))
        return demand.rate * min(balance, relief)

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
            self.copies[action.model] += 1
            self.replaceable -= not action.victims
            for model, _ in action.victims:
                self.copies[model] -= 1
                self.present[model] -= 1
                self.replaceable -= self._is_idle(model)
            if action.model not in worker.on_disk:
                self.loads_left -= 1
        return action

    def _candidates(self) -> list[str]:
        """Models that are waited for and nowhere, then all by what their next copy is worth."""

        def urgency(model: str) -> tuple[bool, float, str]:
            copies = self.copies.get(model, 0)
            is_missed = copies == 0 and self.demand[model].waiting > 0
            return not is_missed, -self.copy_worth(model, copies + 1), model

        return sorted(self.demand, key=urgency)

    def _place(self, model: str) -> Load | None:
        copies = self.copies.get(model, 0)
        worth = self.copy_worth(model, copies + 1)
        if worth < (LEAST_COPY_WORTH if copies else LEAST_WORTH):
            return None
        is_kept = self.reserved and self.replaceable <= self.reserved
        if copies and is_kept and not self._is_overloaded(model):
            return None
        choices: list[tuple[float, str, tuple[str, ...]]] = []
        for worker in self.free.values():
            if model in worker.models or (model not in worker.on_disk and self.loads_left <= 0):
                continue
            room = self._room(worker, model)
            if room is None or worth < MARGIN * room.cost:
                continue
            delay = worth * self._load_s(worker, model) / HORIZON_S
            rank = room.cost + delay + BUSYNESS_WORTH * self._busyness(worker)
            choices.append((rank, worker.instance, room.victims))
        if not choices:
            return None
        _, instance, victims = min(choices)
        return self._take(Load(instance, model, "", tuple((victim, "") for victim in victims)))

    def _is_overloaded(self, model: str) -> bool:
        """Whether its copies are all busy, those on their way included."""
        busy = BUSY_SHARE * self.engine.slots * self.copies.get(model, 0)
        return self.demand[model].running > max(1.0, busy)

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
        return self.copy_worth(model, self.present[model]) + USE_COST * uses

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
                return self._take(Load(worker.instance, model, "", tuple((v, "") for v in room.victims)))
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

    def _idlest_adapter(self, worker: WorkerState) -> tuple[str, str] | None:
        held = [(model, adapter) for model, adapters in worker.models.items() for adapter in adapters]
        if not held:
            return None

        def use(pair: tuple[str, str]) -> tuple[int, float]:
            item = Item(self.plan.service, *pair)
            return self.plan.demand.running_now(item), self.plan.demand.rate(item)

        return min(held, key=lambda pair: (use(pair), pair))
