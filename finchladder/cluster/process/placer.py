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
from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.announced_loads import AnnouncedLoadLog
from finchladder.cluster.placement.capacity import (
    PREFETCH_RESERVED_WORKERS_FACTOR,
    RESERVED_WORKERS_FACTOR,
    max_concurrent_store_loads,
    used_mb,
)
from finchladder.cluster.placement.cold_starts import ColdStartOccupancy
from finchladder.cluster.placement.demand import DemandKey, DemandTracker
from finchladder.cluster.placement.disk_inventory import DiskInventory
from finchladder.cluster.placement.load_durations import EVICTION_S, LoadDurations
from finchladder.cluster.placement.load_rate_limiter import LoadRateLimiter
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import ManagedWorker, StoreLoadPermit
from finchladder.cluster.process.placer_lease import RoleService
from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_orders import WORKER_RETRY_DELAY_S, WorkerOrders
from finchladder.cluster.routing.pools import effective_holdings
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.messages import DemandReply, DemandReport
from finchladder.cluster.types.worker_api import WorkerReport
from finchladder.cluster.types.workers import PendingLoad, SessionPhase, WorkerRecord

PLANNING_INTERVAL_S = 0.1
EVICTION_NOTICE_S = 0.05  # from telling the dispatchers that a model goes until the order goes out
MAX_IDLE_REQUESTS = 0.02  # expected within that time: what is asked for less is evicted at once
MIN_REPORT_INTERVAL_MS = 400
MAX_REPORTS_PER_S = 150  # that the placer is ready to read


@define
class Placer:
    """Its knowledge begins anew with each term of the role."""

    role: RoleService
    updates: UpdateServer
    orders: WorkerOrders
    tasks: Tasks
    load_window_s: float
    allowed_load_overage: float
    takeover_delay_s: (
        float  # the last holder's orders are at least so old when the role is granted to another one
    )
    demand: DemandTracker = field(factory=DemandTracker)
    workers: dict[str, ManagedWorker] = field(factory=dict)
    rate_limiters: dict[str, LoadRateLimiter] = field(factory=dict)
    load_durations: dict[str, LoadDurations] = field(factory=dict)
    cold_starts: dict[str, ColdStartOccupancy] = field(factory=dict)  # by service
    disks: DiskInventory = field(factory=DiskInventory)
    announced_loads: AnnouncedLoadLog = field(init=False)
    demand_queued: Signal = field(factory=Signal)
    queued_since: dict[DemandKey, float] = field(factory=dict)  # what is waited for that nobody holds
    snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT
    term: int = 0
    is_reelected: bool = False  # the holder before was a former life of this process
    term_started_at: float = 0.0
    survey: asyncio.Task[None] | None = None

    def __attrs_post_init__(self) -> None:
        self.announced_loads = AnnouncedLoadLog(self.load_window_s)

    def on_demand(self, report: DemandReport) -> DemandReply:
        """A dispatcher's report."""
        self.demand.add_report(steady(), report)
        if any(d.queued for d in report.demands):
            self._track_queued()
            self.demand_queued.fire()
        edges = max(1, self.updates.dispatcher_count())
        interval = max(MIN_REPORT_INTERVAL_MS, 1000 * edges // MAX_REPORTS_PER_S)
        return DemandReply(interval, self.role.holds(), self.demand.peer_loads(report.sender))

    def _track_queued(self) -> None:
        """Keeps since when each item is waited for, as long as it is."""
        now, items = steady(), self.demand.queued_keys()
        self.queued_since = {item: self.queued_since.get(item, now) for item in items}

    async def run(self) -> None:
        """Plans again and again while it holds the role."""
        while True:
            self._observe()
            if self.role.holds():
                self._begin_term()
                self._plan_all_services()
            elif self.term and self.role.lease.is_dropped:
                self._end_term()
            await self.demand_queued.wait(PLANNING_INTERVAL_S)

    def _observe(self) -> None:
        """What whoever may become placer has to know: which models workers have held, as these are on their
        disks, and which loads began lately.
        """
        now, tables = steady(), self.updates.tables
        if not self.term:
            for record in tables.live_workers():
                self.disks.record_models(
                    record.instance, record.address, (h.model for h in record.loaded_models)
                )
        self.announced_loads.record(now, (p.record for p in tables.placements.values()))
        self.announced_loads.expire(now)

    def _begin_term(self) -> None:
        token = self.role.lease.token
        if token == self.term:
            return
        self._end_term()
        self.term, self.term_started_at = token, steady()
        self.is_reelected = self.role.was_own
        self.rate_limiters = {}
        self._follow_workers()
        if token > 1:
            self.survey = self.tasks.spawn(self._survey_workers(token), "survey of the workers")

    async def _survey_workers(self, term: int) -> None:
        """Asks all workers what they hold, and so learns how many loads the last placer may have begun. One
        that was not there to see what was announced does not know.
        """
        await asyncio.gather(*(self._survey_worker(managed) for managed in self.workers.values()))
        now = steady()
        if self.term != term or now - self.updates.started_at < self.load_window_s:
            return
        self._observe()
        for name, service in self.snapshot.services.items():
            if service.engine is not None:
                self._restore_load_history(now, name, service.engine)

    async def _survey_worker(self, managed: ManagedWorker) -> None:
        with suppress(PeerUnreachableError):
            report = await self.orders.fetch_report(managed)
            if managed.last_report is None and managed.orders_taken_before_term is None:
                managed.orders_taken_before_term = report.sequence
                if managed.task is None and not report.busy:
                    self._accept_report(managed, report)

    async def _refresh_worker(self, managed: ManagedWorker) -> None:
        """Learns what a worker holds, once what it is doing has ended, and tells the dispatchers: what they
        were told last may be of a placer that was lost in the middle of an action.
        """
        try:
            self._accept_report(managed, await self.orders.fetch_idle_report(managed))
        except PeerUnreachableError as error:
            managed.retry_at = steady() + WORKER_RETRY_DELAY_S
            event("placer.worker_unheard", problem=str(error))
        finally:
            managed.task = None

    def _restore_load_history(self, now: float, service: str, engine: Engine) -> None:
        """Counts the loads that were announced, and each order that was not as a load of this moment."""
        workers = [m for m in self.workers.values() if m.state.service == service]
        began = self.announced_loads.recent_loads(now, (m.state.instance for m in workers))
        unknown = sum(managed.unannounced_orders() for managed in workers)
        self._rate_limiter(service, engine).restore([*began, *[now] * unknown])
        event("placer.taken_over", service=service, loads_lately=len(began), orders_unheard=unknown)

    def _end_term(self) -> None:
        for managed in self.workers.values():
            if managed.task is not None:
                managed.task.cancel()
        self.workers.clear()
        self.term = 0

    # --- planning -----------------------------------------------------------------------------------------

    def _plan_all_services(self) -> None:
        now = steady()
        state = self.updates.state()
        if state.version != self.snapshot.version and state.document:
            self.snapshot = build_snapshot(state.document)
        self.demand.decay(now)
        self._follow_workers()
        for name, service in self.snapshot.services.items():
            if service.engine is not None:
                self._plan_service(now, name, service.engine)

    def _follow_workers(self) -> None:
        live = {r.instance: r for r in self.updates.tables.live_workers()}
        for instance in set(self.workers) - set(live):
            gone = self.workers.pop(instance)
            if gone.task is not None:
                gone.task.cancel()
        for instance, record in live.items():
            service = self.snapshot.services.get(record.service)
            if service is None or service.engine is None:
                continue
            managed = self.workers.get(instance)
            if managed is None:
                managed = self.workers[instance] = self._new_worker(record)
            managed.state.is_draining = record.phase is not SessionPhase.READY

    def _new_worker(self, record: WorkerRecord) -> ManagedWorker:
        models = {h.model: set(h.adapters) for h in record.loaded_models}
        self.disks.record_models(record.instance, record.address, models)
        state = PlannerWorker(
            record.instance, record.service, record.address, record.zone, False, False, models
        )
        placement = self.updates.tables.placements.get(record.instance)
        if placement is None:
            return ManagedWorker(state, self.term)
        told = placement.record
        serial = told.serial if told.token == self.term else 0  # it may have been lost, and be back
        return ManagedWorker(state, self.term, serial=serial, orders_announced_before_term=told.orders_taken)

    def _plan_service(self, now: float, service: str, engine: Engine) -> None:
        workers = [m for m in self.workers.values() if m.state.service == service]
        ledger = self._rate_limiter(service, engine)
        loading: dict[str, int] = {}
        for managed in workers:
            if managed.last_report is None and managed.task is None and now >= managed.retry_at:
                managed.task = self.tasks.spawn(self._refresh_worker(managed), "getting to know a worker")
            managed.state.is_busy = managed.task is not None or now < managed.retry_at
            managed.state.models_on_disk = self.disks.models_on(managed.state.instance)
            managed.state.loading_model = ""
            if managed.action is not None and not managed.action.adapter:
                managed.state.loading_model = managed.action.model
                loading[managed.action.model] = loading.get(managed.action.model, 0) + 1
        left = self._store_loads_left(now, workers, engine, ledger, RESERVED_WORKERS_FACTOR)
        has_demand = any(
            self.demand.rate(item) for item in self.demand.tracked_keys() if item.service == service
        )
        kept_free = PREFETCH_RESERVED_WORKERS_FACTOR if has_demand else RESERVED_WORKERS_FACTOR
        preparing = self._store_loads_left(now, workers, engine, ledger, kept_free)
        durations = self.load_durations.setdefault(service, LoadDurations())
        first_copies = self.cold_starts.setdefault(service, ColdStartOccupancy())
        plan = PlanningInput(
            service,
            engine,
            [m.state for m in workers],
            self.demand,
            left,
            preparing,
            durations.warm_fraction,
            first_copies.occupied_slots(now),
        )
        held = {model for m in workers for model in m.state.loaded_models} | set(loading)
        for action in PlanningPass(plan, loading).actions():
            if not action.adapter and action.model not in held:
                first_copies.record_cold_start(
                    now, durations.expected_s(engine.models[action.model].load_s, False, False)
                )
            managed = self.workers[action.instance]
            managed.action = action
            work = self._execute(managed, action, engine, ledger)
            managed.task = self.tasks.spawn(work, f"order {action}")

    def _store_loads_left(
        self,
        now: float,
        workers: list[ManagedWorker],
        engine: Engine,
        ledger: LoadRateLimiter,
        kept_free: float,
    ) -> int:
        """How many more loads from the store may be begun. Those that still wait for an eviction take nothing
        of what the store can do at once, but each of them will.
        """
        at_once = max_concurrent_store_loads(engine, len(workers), kept_free)
        loading = sum(managed.is_loading_from_store for managed in workers)
        waiting = sum(self._will_load_from_store(managed) for managed in workers)
        return min(ledger.remaining(now) - waiting, at_once - loading, 2 * at_once - loading - waiting)

    def _will_load_from_store(self, managed: ManagedWorker) -> bool:
        """Whether it will load from the store once there is room."""
        action = managed.action
        if action is None or action.adapter or managed.is_loading_from_store:
            return False
        return not self._has_on_disk(managed, action.model)

    def _rate_limiter(self, service: str, engine: Engine) -> LoadRateLimiter:
        ledger = self.rate_limiters.get(service)
        if ledger is None:
            ledger = self.rate_limiters[service] = LoadRateLimiter(
                engine.max_loads_per_s, self.load_window_s, self.allowed_load_overage
            )
            if self.term > 1:
                ledger.assume_exhausted(
                    self.term_started_at - (0.0 if self.is_reelected else self.takeover_delay_s)
                )
        return ledger

    # --- orders -------------------------------------------------------------------------------------------

    async def _execute(
        self, managed: ManagedWorker, action: LoadAction, engine: Engine, ledger: LoadRateLimiter
    ) -> None:
        try:
            if await self._evict_models(managed, action) and self._still_fits(managed, action, engine):
                await self._load(managed, action, engine, ledger)
        except PeerUnreachableError as error:
            managed.retry_at = steady() + WORKER_RETRY_DELAY_S
            managed.last_report = None
            event("placer.worker_unheard", problem=str(error))
        finally:
            managed.task, managed.action, managed.pending_load = None, None, None
            managed.announced_orders, managed.is_loading_from_store = 0, False
            managed.evicting.clear()
            if managed.last_report is not None and managed.state.instance in self.workers:
                self._publish(managed)

    def _accept_report(self, managed: ManagedWorker, report: WorkerReport) -> None:
        managed.last_report, managed.orders_taken = report, report.sequence
        if managed.orders_taken_before_term is None:
            managed.orders_taken_before_term = report.sequence
        managed.state.loaded_models = {m.name: set(m.adapters) for m in report.models}
        self.disks.record_models(managed.state.instance, managed.state.address, managed.state.loaded_models)
        if self._is_announcement_stale(managed):
            self._publish(managed)

    def _is_announcement_stale(self, managed: ManagedWorker) -> bool:
        """Whether dispatchers go by something else than what the worker holds."""
        tables, instance = self.updates.tables, managed.state.instance
        worker, placement = tables.workers.get(instance), tables.placements.get(instance)
        if worker is None:
            return False
        told = effective_holdings(worker.record, None if placement is None else placement.record)
        is_loading = placement is not None and placement.record.pending_load is not None
        return is_loading or told != managed.placement_record(steady(), self.load_window_s).usable_models

    def _publish(self, managed: ManagedWorker) -> None:
        """Tells the dispatchers what may be used at the worker and what is being loaded; changes only."""
        record = managed.placement_record(steady(), self.load_window_s)
        if record == managed.announced_record:
            return
        managed.serial += 1
        record = managed.announced_record = msgspec.structs.replace(record, serial=managed.serial)
        if not self.updates.tables.put_placement(record):
            event("placer.outranked", instance=record.instance, token=record.token, serial=record.serial)
        self.updates.changed.fire()

    def _has_on_disk(self, managed: ManagedWorker, model: str) -> bool:
        return self.disks.has_model(managed.state.instance, model)

    def _expected_load_s(self, managed: ManagedWorker, action: LoadAction, engine: Engine) -> float:
        model = engine.models[action.model]
        durations = self.load_durations.setdefault(managed.state.service, LoadDurations())
        instance = managed.state.instance
        warm = self.disks.has_model(instance, action.model) or self.disks.may_have_model(
            instance, action.model
        )
        return durations.expected_s(model.load_s, bool(action.adapter), warm)

    async def _evict_models(self, managed: ManagedWorker, action: LoadAction) -> bool:
        """Evicts what has to give way; the dispatchers are told first, so that nothing more is sent to it."""
        if not action.evictions:
            return True
        service = self.snapshot.services.get(managed.state.service)
        if service is None or service.engine is None or action.model not in service.engine.models:
            return False
        managed.evicting.update(action.evictions)
        managed.announced_orders = len(action.evictions) + 1
        is_idle = all(self._is_unused(managed.state.service, victim) for victim in action.evictions)
        hide_s = 0.0 if is_idle else EVICTION_NOTICE_S + self.updates.batch_interval_s()
        evictions_s = EVICTION_S * len(action.evictions)
        expected_s = self._expected_load_s(managed, action, service.engine) + evictions_s + hide_s
        managed.pending_load = PendingLoad(action.model, action.adapter, int(1000 * expected_s))
        self._publish(managed)
        await asyncio.sleep(hide_s)
        for victim in action.evictions:
            if not await self.orders.submit(managed, "evict", victim.model, victim.adapter):
                return False
            _remove(managed.state, victim)
            await asyncio.sleep(EVICTION_S)
        return True

    def _is_unused(self, service: str, victim: Eviction) -> bool:
        """Whether nobody uses it, and hardly anybody will while the dispatchers learn that it goes."""
        demand = self.demand
        items = [
            item for item in demand.tracked_keys() if (item.service, item.model) == (service, victim.model)
        ]
        if victim.adapter:
            items = [item for item in items if item.adapter == victim.adapter]
        in_use = any(demand.queued(item) or demand.running_now(item) for item in items)
        return not in_use and sum(map(demand.rate, items)) * EVICTION_NOTICE_S < MAX_IDLE_REQUESTS

    def _still_fits(self, managed: ManagedWorker, action: LoadAction, engine: Engine) -> bool:
        """Checks a load against what the worker says it holds: too much would end it."""
        state = managed.state
        model, adapters = engine.models.get(action.model), state.loaded_models.get(action.model)
        if model is None:
            return False
        if action.adapter:
            fits = state.adapter_count() < engine.lora_slots
            needed = adapters is not None and action.adapter not in adapters and fits
        else:
            needed = adapters is None
        need_mb = model.adapter_size_mb if action.adapter else model.weights_mb
        return needed and used_mb(engine, state.loaded_models) + need_mb <= engine.weights_mb

    async def _load(
        self, managed: ManagedWorker, action: LoadAction, engine: Engine, ledger: LoadRateLimiter
    ) -> None:
        warm = self._has_on_disk(managed, action.model)
        from_store = None if action.adapter or warm else StoreLoadPermit(ledger, managed)
        expected_s = self._expected_load_s(managed, action, engine)
        managed.pending_load = PendingLoad(action.model, action.adapter, int(1000 * expected_s))
        managed.announced_orders = 1
        if from_store is not None:
            managed.store_load_times.append(steady())
        self._publish(managed)
        taken = await self.orders.submit(managed, "load", action.model, action.adapter, from_store)
        began = steady()
        if from_store is not None:
            managed.store_load_times[-1:] = [began] if taken else []
            self._publish(managed)
        if taken and await self.orders.wait_until_loaded(managed, action.model, action.adapter, expected_s):
            _add(managed.state, action.model, action.adapter)
            self._record_load_duration(managed, action, engine, warm, steady() - began)

    def _record_load_duration(
        self, managed: ManagedWorker, action: LoadAction, engine: Engine, warm: bool, took_s: float
    ) -> None:
        load_s, durations = engine.models[action.model].load_s, self.load_durations[managed.state.service]
        if not action.adapter and self.disks.may_have_model(managed.state.instance, action.model):
            store_s = durations.expected_s(load_s, is_adapter=False, is_warm=False)
            warm = self.disks.record_load(managed.state.instance, took_s, store_s)
        durations.record(load_s, bool(action.adapter), warm, took_s)
        now, item = steady(), DemandKey(managed.state.service, action.model, action.adapter)
        event(
            "placer.loaded",
            model=action.model,
            adapter=action.adapter,
            warm=warm,
            took_s=round(took_s, 2),
            waited_s=round(now - self.queued_since.get(item, now), 2),
        )


def _add(state: PlannerWorker, model: str, adapter: str) -> None:
    """Adds a model or an adapter to what a worker is known to hold."""
    held = state.loaded_models.setdefault(model, set())
    if adapter:
        held.add(adapter)


def _remove(state: PlannerWorker, victim: Eviction) -> None:
    """Takes a model or an adapter out of what a worker is known to hold."""
    if victim.adapter:
        state.loaded_models.get(victim.model, set()).discard(victim.adapter)
    else:
        state.loaded_models.pop(victim.model, None)
