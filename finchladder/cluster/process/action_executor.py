"""Executes the planner's actions at workers, and measures how long their loads take."""

import asyncio

from attrs import define, field

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.capacity import used_mb
from finchladder.cluster.placement.demand import DemandKey
from finchladder.cluster.placement.disk_inventory import DiskInventory
from finchladder.cluster.placement.load_durations import EXPECTED_EVICTION_S, LoadDurations
from finchladder.cluster.process.demand_intake import DemandIntake
from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import ManagedWorker
from finchladder.cluster.process.managed_workers import ManagedWorkers
from finchladder.cluster.process.store_load_budget import StoreLoadBudget, StoreLoadPermit
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_orders import EVICT, LOAD, WORKER_RETRY_DELAY_S, WorkerOrders
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.workers import PendingLoad

EVICTION_NOTICE_S = 0.05  # minimum time between the announcement of evictions and the first order
MAX_UNNOTIFIED_REQUESTS = (
    0.02  # requests expected within EVICTION_NOTICE_S; below that, models are evicted without notice
)


@define
class ActionExecutor:
    """Executes load actions, and stores the measured durations of loads."""

    updates: UpdateServer
    orders: WorkerOrders
    workers: ManagedWorkers
    budget: StoreLoadBudget
    disks: DiskInventory
    demand: DemandIntake
    _durations: dict[str, LoadDurations] = field(factory=dict)  # keyed by service

    def durations(self, service: str) -> LoadDurations:
        """Returns the load durations that were measured at the workers of a service."""
        return self._durations.setdefault(service, LoadDurations())

    async def execute(self, worker: ManagedWorker, action: LoadAction, engine: Engine) -> None:
        """Executes an action's evictions, then its load; after a failure the worker's state is unknown."""
        try:
            if await self._evict(worker, action, engine) and _still_fits(worker, action, engine):
                await self._load(worker, action, engine)
        except PeerUnreachableError as error:
            worker.retry_at = steady() + WORKER_RETRY_DELAY_S
            worker.last_report = None
            event("placer.worker_unreachable", problem=str(error))
        finally:
            worker.finish_action()
            if worker.last_report is not None and worker.state.instance in self.workers.by_instance:
                self.workers.announce(worker)

    async def _evict(self, worker: ManagedWorker, action: LoadAction, engine: Engine) -> bool:
        """Announces the evictions to the dispatchers, then orders them; returns whether all were accepted."""
        if not action.evictions:
            return True
        notice_s = self._eviction_notice_s(worker.state.service, action)
        evictions_s = EXPECTED_EVICTION_S * len(action.evictions)
        expected_s = self._expected_load_s(worker, action, engine) + evictions_s + notice_s
        worker.evicting.update(action.evictions)
        worker.announced_orders = len(action.evictions) + 1
        worker.pending_load = _pending_load(action, expected_s)
        self.workers.announce(worker)
        await asyncio.sleep(notice_s)
        for eviction in action.evictions:
            if not await self.orders.submit(worker, EVICT, eviction.model, eviction.adapter):
                return False
            worker.remove_evicted(eviction)
            await asyncio.sleep(EXPECTED_EVICTION_S)
        return True

    def _eviction_notice_s(self, service: str, action: LoadAction) -> float:
        if all(self._is_hardly_used(service, eviction) for eviction in action.evictions):
            return 0.0
        return EVICTION_NOTICE_S + self.updates.batch_interval_s()

    def _is_hardly_used(self, service: str, eviction: Eviction) -> bool:
        """Returns whether no request is queued or running for the model or adapter, and few are expected.

        Requests that arrive within EVICTION_NOTICE_S may still be sent to the worker.
        """
        tracker = self.demand.tracker
        keys = [
            key
            for key in tracker.tracked_keys()
            if (key.service, key.model) == (service, eviction.model)
            and (not eviction.adapter or key.adapter == eviction.adapter)
        ]
        is_in_use = any(tracker.queued(key) or tracker.in_flight(key) for key in keys)
        expected_requests = sum(map(tracker.rate, keys)) * EVICTION_NOTICE_S
        return not is_in_use and expected_requests < MAX_UNNOTIFIED_REQUESTS

    async def _load(self, worker: ManagedWorker, action: LoadAction, engine: Engine) -> None:
        is_warm = self.disks.has_model(worker.state.instance, action.model)
        permit = None
        if not action.adapter and not is_warm:
            limiter = self.budget.limiter(worker.state.service, engine)
            permit = StoreLoadPermit(limiter, worker)
            worker.store_load_times.append(steady())
        expected_s = self._expected_load_s(worker, action, engine)
        worker.pending_load = _pending_load(action, expected_s)
        worker.announced_orders = 1
        self.workers.announce(worker)
        is_accepted = await self.orders.submit(worker, LOAD, action.model, action.adapter, permit)
        accepted_at = steady()
        if permit is not None:
            worker.store_load_times[-1:] = [accepted_at] if is_accepted else []
            self.workers.announce(worker)
        if not is_accepted:
            return
        if await self.orders.wait_until_loaded(worker, action.model, action.adapter, expected_s):
            worker.add_loaded(action.model, action.adapter)
            self._record_load(worker, action, engine, is_warm, steady() - accepted_at)

    def _expected_load_s(self, worker: ManagedWorker, action: LoadAction, engine: Engine) -> float:
        instance = worker.state.instance
        may_be_warm = self.disks.has_model(instance, action.model) or self.disks.may_have_model(
            instance, action.model
        )
        configured_load_s = engine.models[action.model].load_s
        durations = self.durations(worker.state.service)
        return durations.expected_s(configured_load_s, bool(action.adapter), may_be_warm)

    def _record_load(
        self,
        worker: ManagedWorker,
        action: LoadAction,
        engine: Engine,
        is_warm: bool,
        load_duration_s: float,
    ) -> None:
        """Records the duration of a load.

        If the worker restarted at its address, the duration also shows whether it kept its disk.
        """
        configured_load_s = engine.models[action.model].load_s
        durations = self.durations(worker.state.service)
        instance = worker.state.instance
        if not action.adapter and self.disks.may_have_model(instance, action.model):
            store_load_s = durations.expected_s(configured_load_s, is_adapter=False, is_warm=False)
            is_warm = self.disks.record_load(instance, load_duration_s, store_load_s)
        durations.record(configured_load_s, bool(action.adapter), is_warm, load_duration_s)
        key = DemandKey(worker.state.service, action.model, action.adapter)
        event(
            "placer.loaded",
            model=action.model,
            adapter=action.adapter,
            warm=is_warm,
            took_s=round(load_duration_s, 2),
            waited_s=round(self.demand.queued_for_s(key, steady()), 2),
        )


def _pending_load(action: LoadAction, expected_s: float) -> PendingLoad:
    return PendingLoad(action.model, action.adapter, int(1000 * expected_s))


def _still_fits(worker: ManagedWorker, action: LoadAction, engine: Engine) -> bool:
    """Returns whether a load is still needed and fits the worker's memory with its current models.

    A load that exceeds the memory would terminate the worker.
    """
    state = worker.state
    model = engine.models.get(action.model)
    if model is None:
        return False
    adapters = state.loaded_models.get(action.model)
    if action.adapter:
        has_free_slot = state.adapter_count() < engine.lora_slots
        is_needed = adapters is not None and action.adapter not in adapters and has_free_slot
        needed_mb = model.adapter_size_mb
    else:
        is_needed = adapters is None
        needed_mb = model.weights_mb
    return is_needed and used_mb(engine, state.loaded_models) + needed_mb <= engine.weights_mb
