"""Which order a worker should get next; no I/O and no clock.

A copy of a model is worth its rate, less for each further copy, and more while requests wait for it. A copy
is loaded where it is worth more than what has to give way, by a margin that keeps models from being exchanged
to and fro.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from attrs import define, field, frozen

from finchladder.cluster.configuration.routing import Engine
from finchladder.cluster.placement.demand import DemandBook, Item

COPY_WORTH = (1.0, 0.22, 0.12, 0.07, 0.05)  # of the first copy, the second, ...; the last for further ones
WAITING_WORTH = 0.5  # of each request that waits for a model that nobody holds
MARGIN = 1.5  # by which a new copy must be worth more than what gives way
LEAST_WORTH = 0.02  # a copy that is worth less is not loaded


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
    """Load a model, or an adapter of one that is there."""

    instance: str
    model: str
    adapter: str = ""


@dataclass(frozen=True)
class Evict:
    """Take a model, or an adapter, out of a worker's memory; `to_load` is what it makes room for."""

    instance: str
    model: str
    adapter: str = ""


Action = Load | Evict


@frozen
class Plan:
    """Inputs of one round of planning for one service."""

    service: str
    engine: Engine
    workers: Sequence[WorkerState]
    demand: DemandBook
    loads_allowed: int  # from the store


def used_mb(engine: Engine, models: Mapping[str, Iterable[str]]) -> float:
    """Memory that models and their adapters take."""
    total = 0.0
    for name, adapters in models.items():
        model = engine.models.get(name)
        if model is None:
            return float("inf")
        total += model.weights_mb + model.adapter_size_mb * len(list(adapters))
    return total


def model_rate(demand: DemandBook, service: str, engine: Engine) -> dict[str, float]:
    """Requests a second by model, those for its adapters included."""
    rates: dict[str, float] = {}
    for item in demand.items():
        if item.service == service and item.model in engine.models:
            rates[item.model] = rates.get(item.model, 0.0) + demand.rate(item)
    return rates


def model_waiting(demand: DemandBook, service: str) -> dict[str, int]:
    """Waiting requests by model, those for its adapters included."""
    waiting: dict[str, int] = {}
    for item in demand.items():
        if item.service == service:
            waiting[item.model] = waiting.get(item.model, 0) + demand.waiting(item)
    return waiting


class Round:
    """One round: at most one action for each worker that is free."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.engine = plan, plan.engine
        self.rates = model_rate(plan.demand, plan.service, plan.engine)
        self.waiting = model_waiting(plan.demand, plan.service)
        self.workers = [w for w in plan.workers if not w.leaving]
        self.free = {w.instance: w for w in self.workers if not w.busy}
        self.loads_left = plan.loads_allowed
        self.copies: dict[str, int] = {}
        for worker in self.workers:
            for model in worker.models:
                self.copies[model] = self.copies.get(model, 0) + 1

    def copy_worth(self, model: str, copies: int) -> float:
        """What the copy with that number, 1 for the first, is worth."""
        share = COPY_WORTH[min(copies, len(COPY_WORTH)) - 1]
        worth = self.rates.get(model, 0.0) * share
        if copies == 1:
            worth += WAITING_WORTH * self.waiting.get(model, 0)
        return worth

    def actions(self, loading: Mapping[str, int]) -> list[Action]:
        """What to order now. `loading`: copies by model that are on their way."""
        for model, count in loading.items():
            self.copies[model] = self.copies.get(model, 0) + count
        found = self._adapter_actions()
        for model in self._candidates():
            if not self.free:
                break
            action = self._place(model)
            if action is not None:
                found.append(action)
                self.free.pop(action.instance, None)
        return found

    def _candidates(self) -> list[str]:
        """Models by what their next copy is worth."""
        models = set(self.rates) | {m for m, count in self.waiting.items() if count}
        known = [m for m in models if m in self.engine.models]
        return sorted(known, key=lambda m: (-self.copy_worth(m, self.copies.get(m, 0) + 1), m))

    def _place(self, model: str) -> Action | None:
        copies = self.copies.get(model, 0)
        worth = self.copy_worth(model, copies + 1)
        if worth < LEAST_WORTH:
            return None
        best: tuple[float, str, WorkerState, str | None] | None = None
        for worker in self.free.values():
            if model in worker.models:
                continue
            if model not in worker.on_disk and self.loads_left <= 0:
                continue
            cost, victim = self._room(worker, model)
            if cost is None or worth < MARGIN * cost:
                continue
            rank = cost + self._busyness(worker) * 0.1 - (0.3 * worth if model in worker.on_disk else 0.0)
            if best is None or (rank, worker.instance) < best[:2]:
                best = rank, worker.instance, worker, victim
        if best is None:
            return None
        _, _, worker, victim = best
        self.copies[model] = copies + 1
        if victim is not None:
            self.copies[victim] -= 1
            return Evict(worker.instance, victim)
        if model not in worker.on_disk:
            self.loads_left -= 1
        return Load(worker.instance, model)

    def _room(self, worker: WorkerState, model: str) -> tuple[float | None, str | None]:
        """What has to be given up for the model, and the first model to go; None: it can't be had."""
        need = self.engine.models[model].weights_mb
        room = self.engine.weights_mb - used_mb(self.engine, worker.models)
        if room >= need:
            return 0.0, None
        cost, first = 0.0, None
        for held in sorted(worker.models, key=lambda m: (self.copy_worth(m, self.copies.get(m, 1)), m)):
            cost += self.copy_worth(held, self.copies.get(held, 1))
            first = first or held
            room += used_mb(self.engine, {held: worker.models[held]})
            if room >= need:
                return cost, first
        return None, None

    def _busyness(self, worker: WorkerState) -> float:
        """Requests a second that fall to a worker, if copies share evenly."""
        return sum(self.rates.get(m, 0.0) / max(1, self.copies.get(m, 1)) for m in worker.models)

    # --- adapters -----------------------------------------------------------------------------------------

    def _adapter_actions(self) -> list[Action]:
        demand, service = self.plan.demand, self.plan.service
        wanted = [i for i in demand.items() if i.service == service and i.adapter and demand.waiting(i)]
        found: list[Action] = []
        for item in sorted(wanted, key=lambda i: (-demand.waiting(i), i.model, i.adapter)):
            action = self._place_adapter(item)
            if action is not None:
                found.append(action)
                self.free.pop(action.instance, None)
        return found

    def _place_adapter(self, item: Item) -> Action | None:
        if any(item.adapter in w.models.get(item.model, ()) for w in self.workers):
            return None
        holders = [w for w in self.free.values() if item.model in w.models]
        if not holders:
            return None
        worker = min(holders, key=lambda w: (w.adapters(), self._busyness(w), w.instance))
        model = self.engine.models.get(item.model)
        if model is None:
            return None
        room = self.engine.weights_mb - used_mb(self.engine, worker.models)
        if worker.adapters() < self.engine.lora_slots and room >= model.adapter_size_mb:
            return Load(worker.instance, item.model, item.adapter)
        victim = self._idlest_adapter(worker)
        return None if victim is None else Evict(worker.instance, *victim)

    def _idlest_adapter(self, worker: WorkerState) -> tuple[str, str] | None:
        held = [(model, adapter) for model, adapters in worker.models.items() for adapter in adapters]
        if not held:
            return None

        def rate(pair: tuple[str, str]) -> float:
            return self.plan.demand.rate(Item(self.plan.service, *pair))

        return min(held, key=lambda pair: (rate(pair), pair))
