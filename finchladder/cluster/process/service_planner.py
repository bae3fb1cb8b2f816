"""Plans the placement for one service at a time, and starts the planned actions."""

from collections import Counter
from collections.abc import Sequence

from attrs import define, field

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.capacity import (
    PREFETCH_RESERVED_WORKERS_FACTOR,
    RESERVED_WORKERS_FACTOR,
)
from finchladder.cluster.placement.cold_starts import ColdStartOccupancy
from finchladder.cluster.placement.demand import DemandTracker
from finchladder.cluster.placement.disk_inventory import DiskInventory
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlanningInput
from finchladder.cluster.process.action_executor import ActionExecutor
from finchladder.cluster.process.managed_worker import ManagedWorker
from finchladder.cluster.process.managed_workers import ManagedWorkers
from finchladder.cluster.process.store_load_budget import StoreLoadBudget
from finchladder.cluster.process.tasks import Tasks


@define
class ServicePlanner:
    """Plans the placement of each service, and tracks how many model slots its cold starts occupy."""

    tasks: Tasks
    workers: ManagedWorkers
    budget: StoreLoadBudget
    executor: ActionExecutor
    disks: DiskInventory
    demand: DemandTracker
    _cold_starts: dict[str, ColdStartOccupancy] = field(factory=dict)  # keyed by service

    def plan(self, now: float, service: str, engine: Engine) -> None:
        """Refreshes workers whose state is unknown, plans, and starts a task for each action. O(workers)."""
        workers = self.workers.of_service(service)
        for worker in workers:
            self._refresh_if_due(worker, now)
            self._update_state(worker, now)
        loading = Counter(worker.state.loading_model for worker in workers if worker.state.loading_model)
        cold_starts = self._cold_starts.setdefault(service, ColdStartOccupancy())
        inputs = self._inputs(now, service, engine, workers, cold_starts)
        available = {model for worker in workers for model in worker.state.loaded_models} | set(loading)
        for action in PlanningPass(inputs, loading).plan_actions():
            if not action.adapter and action.model not in available:
                load_s = self.executor.durations(service).expected_s(
                    engine.models[action.model].load_s, is_adapter=False, is_warm=False
                )
                cold_starts.record_cold_start(now, load_s)
            worker = self.workers.by_instance[action.instance]
            worker.action = action
            worker.task = self.tasks.spawn(self.executor.execute(worker, action, engine), f"order {action}")

    def _refresh_if_due(self, worker: ManagedWorker, now: float) -> None:
        if worker.last_report is None and worker.task is None and now >= worker.retry_at:
            worker.task = self.tasks.spawn(self.workers.refresh(worker), "worker refresh")

    def _update_state(self, worker: ManagedWorker, now: float) -> None:
        """Updates those parts of a worker's state that change without its report."""
        state, action = worker.state, worker.action
        state.is_busy = worker.task is not None or now < worker.retry_at
        state.models_on_disk = self.disks.models_on(state.instance)
        state.loading_model = action.model if action is not None and not action.adapter else ""

    def _inputs(
        self,
        now: float,
        service: str,
        engine: Engine,
        workers: Sequence[ManagedWorker],
        cold_starts: ColdStartOccupancy,
    ) -> PlanningInput:
        prefetch_factor = RESERVED_WORKERS_FACTOR
        if self._has_demand(service):
            prefetch_factor = PREFETCH_RESERVED_WORKERS_FACTOR
        return PlanningInput(
            service,
            engine,
            [worker.state for worker in workers],
            self.demand,
            self.budget.remaining(now, service, engine, workers, RESERVED_WORKERS_FACTOR),
            self.budget.remaining(now, service, engine, workers, prefetch_factor),
            self.executor.durations(service).warm_fraction,
            cold_starts.occupied_slots(now),
        )

    def _has_demand(self, service: str) -> bool:
        return any(self.demand.rate(key) for key in self.demand.tracked_keys() if key.service == service)
