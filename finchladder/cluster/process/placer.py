"""The placer: while it holds the role, it knows what each worker holds and gives orders, one at a time to
each.
"""

import asyncio
from contextlib import suppress

import msgspec
from attrs import define, field

from finchladder.cluster.configuration.snapshot import (
    EMPTY_SNAPSHOT,
    ConfigurationSnapshot,
    Engine,
    build_snapshot,
)
from finchladder.cluster.placement.demand import DemandBook, Item
from finchladder.cluster.placement.disks import KnownDisks
from finchladder.cluster.placement.durations import EVICT_S, Durations, FirstCopies
from finchladder.cluster.placement.ledger import LoadLedger, ObservedLoads
from finchladder.cluster.placement.plan import (
    KEPT_FREE,
    KEPT_FREE_BY_PREPARING,
    Load,
    Plan,
    Victim,
    WorkerState,
    store_loads_at_once,
    used_mb,
)
from finchladder.cluster.placement.planner import Round
from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import Managed, StoreLoad
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_orders import SETTLE_S, WorkerOrders
from finchladder.cluster.routing.pools import effective_holdings
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.messages import DemandReply, DemandReport
from finchladder.cluster.types.worker_api import WorkerReport
from finchladder.cluster.types.workers import PendingLoad, SessionPhase, WorkerRecord

TICK_S = 0.1
HIDE_S = 0.05  # from telling the dispatchers that a model goes until the order goes out
IDLE_REQUESTS = 0.02  # expected within that time: what is asked for less is evicted at once
REPORT_INTERVAL_MS = 400
REPORTS_A_SECOND = 150  # that the placer is ready to read


@define
class Placer:
    """Its knowledge begins anew with each term of the role."""

    role: PlacerLeaseService
    updates: UpdateServer
    orders: WorkerOrders
    tasks: Tasks
    window_s: float
    overage: float
    idle_s: float  # the last holder's orders are at least so old when the role is granted to another one
    demand: DemandBook = field(factory=DemandBook)
    managed: dict[str, Managed] = field(factory=dict)
    ledgers: dict[str, LoadLedger] = field(factory=dict)
    durations: dict[str, Durations] = field(factory=dict)
    first_copies: dict[str, FirstCopies] = field(factory=dict)  # by service
    disks: KnownDisks = field(factory=KnownDisks)
    observed: ObservedLoads = field(init=False)
    waited_for: Signal = field(factory=Signal)
    waiting_since: dict[Item, float] = field(factory=dict)  # what is waited for that nobody holds
    snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT
    term: int = 0
    was_own: bool = False  # the holder before was a former life of this process
    term_began: float = 0.0
    survey: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        self.observed = ObservedLoads(self.window_s)

    def on_demand(self, report: DemandReport) -> DemandReply:
        """A dispatcher's report."""
        self.demand.take(steady(), report)
        if any(d.queued for d in report.demands):
            self._note_waiting()
            self.waited_for.fire()
        edges = max(1, self.updates.dispatcher_count())
        interval = max(REPORT_INTERVAL_MS, 1000 * edges // REPORTS_A_SECOND)
        return DemandReply(interval, self.role.is_held(), self.demand.loads_of_others(report.sender))

    def _note_waiting(self) -> None:
        """Keeps since when each item is waited for, as long as it is."""
        now, items = steady(), self.demand.waited_for()
        self.waiting_since = {item: self.waiting_since.get(item, now) for item in items}

    async def run(self) -> None:
        """Plans again and again while it holds the role."""
        while True:
            self._observe()
            if self.role.is_held():
                self._begin_term()
                self._tick()
            elif self.term and self.role.lease.is_dropped:
                self._end_term()
            await self.waited_for.wait(TICK_S)

    def _observe(self) -> None:
        """What whoever may become placer has to know: which models workers have held, as these are on their
        disks, and which loads began lately.
        """
        now, tables = steady(), self.updates.tables
        if not self.term:
            for record in tables.live_workers():
                self.disks.note(record.instance, record.address, (h.model for h in record.loaded_models))
        self.observed.note(now, (p.record for p in tables.placements.values()))
        self.observed.forget(now)

    def _begin_term(self) -> None:
        token = self.role.lease.token
        if token == self.term:
            return
        self._end_term()
        self.term, self.term_began = token, steady()
        self.was_own = self.role.reacquired
        self.ledgers = {}
        self._follow_workers()
        if token > 1:
            self.survey = self.tasks.spawn(self._survey(token), "survey of the workers")

    async def _survey(self, term: int) -> None:
        """Asks all workers what they hold, and so learns how many loads the last placer may have begun. One
        that was not there to see what was announced does not know.
        """
        await asyncio.gather(*(self._look_at(managed) for managed in self.managed.values()))
        now = steady()
        if self.term != term or now - self.updates.started_at < self.window_s:
            return
        self._observe()
        for name, service in self.snapshot.services.items():
            if service.engine is not None:
                self._take_over(now, name, service.engine)

    async def _look_at(self, managed: Managed) -> None:
        with suppress(PeerUnreachableError):
            report = await self.orders.ask(managed)
            if managed.report is None and managed.taken_before is None:
                managed.taken_before = report.sequence
                if managed.task is None and not report.busy:
                    self._know(managed, report)

    async def _get_to_know(self, managed: Managed) -> None:
        """Learns what a worker holds, once what it is doing has ended, and tells the dispatchers: what they
        were told last may be of a placer that was lost in the middle of an action.
        """
        try:
            self._know(managed, await self.orders.learn(managed))
        except PeerUnreachableError as error:
            managed.retry_at = steady() + SETTLE_S
            event("placer.worker_unheard", problem=str(error))
        finally:
            managed.task = None

    def _take_over(self, now: float, service: str, engine: Engine) -> None:
        """Counts the loads that were announced, and each order that was not as a load of this moment."""
        workers = [m for m in self.managed.values() if m.state.service == service]
        began = self.observed.within(now, (m.state.instance for m in workers))
        unknown = sum(managed.orders_unheard() for managed in workers)
        self._ledger(service, engine).know([*began, *[now] * unknown])
        event("placer.taken_over", service=service, loads_lately=len(began), orders_unheard=unknown)

    def _end_term(self) -> None:
        for managed in self.managed.values():
            if managed.task is not None:
                managed.task.cancel()
        self.managed.clear()
        self.term = 0

    # --- planning -----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = steady()
        state = self.updates.state()
        if state.version != self.snapshot.version and state.document:
            self.snapshot = build_snapshot(state.document)
        self.demand.settle(now)
        self._follow_workers()
        for name, service in self.snapshot.services.items():
            if service.engine is not None:
                self._plan(now, name, service.engine)

    def _follow_workers(self) -> None:
        live = {r.instance: r for r in self.updates.tables.live_workers()}
        for instance in set(self.managed) - set(live):
            gone = self.managed.pop(instance)
            if gone.task is not None:
                gone.task.cancel()
        for instance, record in live.items():
            service = self.snapshot.services.get(record.service)
            if service is None or service.engine is None:
                continue
            managed = self.managed.get(instance)
            if managed is None:
                managed = self.managed[instance] = self._managed(record)
            managed.state.leaving = record.phase is not SessionPhase.READY

    def _managed(self, record: WorkerRecord) -> Managed:
        models = {h.model: set(h.adapters) for h in record.loaded_models}
        self.disks.note(record.instance, record.address, models)
        state = WorkerState(
            record.instance, record.service, record.address, record.zone, False, False, models
        )
        placement = self.updates.tables.placements.get(record.instance)
        if placement is None:
            return Managed(state, self.term)
        told = placement.record
        serial = told.serial if told.token == self.term else 0  # it may have been lost, and be back
        return Managed(state, self.term, serial=serial, announced_before=told.orders_taken)

    def _plan(self, now: float, service: str, engine: Engine) -> None:
        workers = [m for m in self.managed.values() if m.state.service == service]
        ledger = self._ledger(service, engine)
        loading: dict[str, int] = {}
        for managed in workers:
            if managed.report is None and managed.task is None and now >= managed.retry_at:
                managed.task = self.tasks.spawn(self._get_to_know(managed), "getting to know a worker")
            managed.state.busy = managed.task is not None or now < managed.retry_at
            managed.state.on_disk = self.disks.of(managed.state.instance)
            managed.state.loading = ""
            if managed.action is not None and not managed.action.adapter:
                managed.state.loading = managed.action.model
                loading[managed.action.model] = loading.get(managed.action.model, 0) + 1
        left = self._store_loads_left(now, workers, engine, ledger, KEPT_FREE)
        has_demand = any(self.demand.rate(item) for item in self.demand.items() if item.service == service)
        kept_free = KEPT_FREE_BY_PREPARING if has_demand else KEPT_FREE
        preparing = self._store_loads_left(now, workers, engine, ledger, kept_free)
        durations = self.durations.setdefault(service, Durations())
        first_copies = self.first_copies.setdefault(service, FirstCopies())
        plan = Plan(
            service,
            engine,
            [m.state for m in workers],
            self.demand,
            left,
            preparing,
            durations.warm_share,
            first_copies.at_once(now),
        )
        held = {model for m in workers for model in m.state.models} | set(loading)
        for action in Round(plan, loading).actions():
            if not action.adapter and action.model not in held:
                first_copies.begin(
                    now, durations.expected_s(engine.models[action.model].load_s, False, False)
                )
            managed = self.managed[action.instance]
            managed.action = action
            work = self._carry_out(managed, action, engine, ledger)
            managed.task = self.tasks.spawn(work, f"order {action}")

    def _store_loads_left(
        self, now: float, workers: list[Managed], engine: Engine, ledger: LoadLedger, kept_free: float
    ) -> int:
        """How many more loads from the store may be begun. Those that still wait for an eviction take nothing
        of what the store can do at once, but each of them will.
        """
        at_once = store_loads_at_once(engine, len(workers), kept_free)
        loading = sum(managed.loads_from_store for managed in workers)
        waiting = sum(self._waits_to_load(managed) for managed in workers)
        return min(ledger.left(now) - waiting, at_once - loading, 2 * at_once - loading - waiting)

    def _waits_to_load(self, managed: Managed) -> bool:
        """Whether it will load from the store once there is room."""
        action = managed.action
        if action is None or action.adapter or managed.loads_from_store:
            return False
        return not self._is_warm(managed, action.model)

    def _ledger(self, service: str, engine: Engine) -> LoadLedger:
        ledger = self.ledgers.get(service)
        if ledger is None:
            ledger = self.ledgers[service] = LoadLedger(engine.max_loads_per_s, self.window_s, self.overage)
            if self.term > 1:
                ledger.assume_full(self.term_began - (0.0 if self.was_own else self.idle_s))
        return ledger

    # --- orders -------------------------------------------------------------------------------------------

    async def _carry_out(self, managed: Managed, action: Load, engine: Engine, ledger: LoadLedger) -> None:
        try:
            if await self._make_room(managed, action) and self._still_fits(managed, action, engine):
                await self._load(managed, action, engine, ledger)
        except PeerUnreachableError as error:
            managed.retry_at = steady() + SETTLE_S
            managed.report = None
            event("placer.worker_unheard", problem=str(error))
        finally:
            managed.task, managed.action, managed.pending_load = None, None, None
            managed.announced, managed.loads_from_store = 0, False
            managed.hidden.clear()
            if managed.report is not None and managed.state.instance in self.managed:
                self._publish(managed)

    def _know(self, managed: Managed, report: WorkerReport) -> None:
        managed.report, managed.revision = report, report.sequence
        if managed.taken_before is None:
            managed.taken_before = report.sequence
        managed.state.models = {m.name: set(m.adapters) for m in report.models}
        self.disks.note(managed.state.instance, managed.state.address, managed.state.models)
        if self._is_told_otherwise(managed):
            self._publish(managed)

    def _is_told_otherwise(self, managed: Managed) -> bool:
        """Whether dispatchers go by something else than what the worker holds."""
        tables, instance = self.updates.tables, managed.state.instance
        worker, placement = tables.workers.get(instance), tables.placements.get(instance)
        if worker is None:
            return False
        told = effective_holdings(worker.record, None if placement is None else placement.record)
        is_loading = placement is not None and placement.record.pending_load is not None
        return is_loading or told != managed.placement(steady(), self.window_s).usable_models

    def _publish(self, managed: Managed) -> None:
        """Tells the dispatchers what may be used at the worker and what is being loaded; changes only."""
        record = managed.placement(steady(), self.window_s)
        if record == managed.told:
            return
        managed.serial += 1
        record = managed.told = msgspec.structs.replace(record, serial=managed.serial)
        if not self.updates.tables.put_placement(record):
            event("placer.outranked", instance=record.instance, token=record.token, serial=record.serial)
        self.updates.changed.fire()

    def _is_warm(self, managed: Managed, model: str) -> bool:
        return self.disks.has(managed.state.instance, model)

    def _expected_s(self, managed: Managed, action: Load, engine: Engine) -> float:
        model = engine.models[action.model]
        durations = self.durations.setdefault(managed.state.service, Durations())
        instance = managed.state.instance
        warm = self.disks.has(instance, action.model) or self.disks.may_have(instance, action.model)
        return durations.expected_s(model.load_s, bool(action.adapter), warm)

    async def _make_room(self, managed: Managed, action: Load) -> bool:
        """Evicts what has to give way; the dispatchers are told first, so that nothing more is sent to it."""
        if not action.victims:
            return True
        service = self.snapshot.services.get(managed.state.service)
        if service is None or service.engine is None or action.model not in service.engine.models:
            return False
        managed.hidden.update(action.victims)
        managed.announced = len(action.victims) + 1
        is_idle = all(self._is_idle(managed.state.service, victim) for victim in action.victims)
        hide_s = 0.0 if is_idle else HIDE_S + self.updates.batch_interval_s()
        evictions_s = EVICT_S * len(action.victims)
        expected_s = self._expected_s(managed, action, service.engine) + evictions_s + hide_s
        managed.pending_load = PendingLoad(action.model, action.adapter, int(1000 * expected_s))
        self._publish(managed)
        await asyncio.sleep(hide_s)
        for victim in action.victims:
            if not await self.orders.give(managed, "evict", victim.model, victim.adapter):
                return False
            _remove(managed.state, victim)
            await asyncio.sleep(EVICT_S)
        return True

    def _is_idle(self, service: str, victim: Victim) -> bool:
        """Whether nobody uses it, and hardly anybody will while the dispatchers learn that it goes."""
        demand = self.demand
        items = [item for item in demand.items() if (item.service, item.model) == (service, victim.model)]
        if victim.adapter:
            items = [item for item in items if item.adapter == victim.adapter]
        in_use = any(demand.waiting(item) or demand.running_now(item) for item in items)
        return not in_use and sum(map(demand.rate, items)) * HIDE_S < IDLE_REQUESTS

    def _still_fits(self, managed: Managed, action: Load, engine: Engine) -> bool:
        """Checks a load against what the worker says it holds: too much would end it."""
        state = managed.state
        model, adapters = engine.models.get(action.model), state.models.get(action.model)
        if model is None:
            return False
        if action.adapter:
            fits = state.adapters() < engine.lora_slots
            needed = adapters is not None and action.adapter not in adapters and fits
        else:
            needed = adapters is None
        need_mb = model.adapter_size_mb if action.adapter else model.weights_mb
        return needed and used_mb(engine, state.models) + need_mb <= engine.weights_mb

    async def _load(self, managed: Managed, action: Load, engine: Engine, ledger: LoadLedger) -> None:
        warm = self._is_warm(managed, action.model)
        from_store = None if action.adapter or warm else StoreLoad(ledger, managed)
        expected_s = self._expected_s(managed, action, engine)
        managed.pending_load = PendingLoad(action.model, action.adapter, int(1000 * expected_s))
        managed.announced = 1
        if from_store is not None:
            managed.store_loads.append(steady())
        self._publish(managed)
        taken = await self.orders.give(managed, "load", action.model, action.adapter, from_store)
        began = steady()
        if from_store is not None:
            managed.store_loads[-1:] = [began] if taken else []
            self._publish(managed)
        if taken and await self.orders.await_loaded(managed, action.model, action.adapter, expected_s):
            _add(managed.state, action.model, action.adapter)
            self._learn_duration(managed, action, engine, warm, steady() - began)

    def _learn_duration(
        self, managed: Managed, action: Load, engine: Engine, warm: bool, took_s: float
    ) -> None:
        load_s, durations = engine.models[action.model].load_s, self.durations[managed.state.service]
        if not action.adapter and self.disks.may_have(managed.state.instance, action.model):
            store_s = durations.expected_s(load_s, adapter=False, warm=False)
            warm = self.disks.learn(managed.state.instance, took_s, store_s)
        durations.learn(load_s, bool(action.adapter), warm, took_s)
        now, item = steady(), Item(managed.state.service, action.model, action.adapter)
        event(
            "placer.loaded",
            model=action.model,
            adapter=action.adapter,
            warm=warm,
            took_s=round(took_s, 2),
            waited_s=round(now - self.waiting_since.get(item, now), 2),
        )


def _add(state: WorkerState, model: str, adapter: str) -> None:
    """Adds a model or an adapter to what a worker is known to hold."""
    held = state.models.setdefault(model, set())
    if adapter:
        held.add(adapter)


def _remove(state: WorkerState, victim: Victim) -> None:
    """Takes a model or an adapter out of what a worker is known to hold."""
    if victim.adapter:
        state.models.get(victim.model, set()).discard(victim.adapter)
    else:
        state.models.pop(victim.model, None)
