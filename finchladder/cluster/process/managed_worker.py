"""State of a worker that the placer manages during one term."""

import asyncio

from attrs import define, field

from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.types.worker_api import OrderRequest, WorkerReport
from finchladder.cluster.types.workers import LoadedModel, PendingLoad, PlacementRecord


@define
class ManagedWorker:
    """A worker, its current action, and the state that was announced to dispatchers.

    `last_report` is None while the worker's state is unknown; the placer sends no order to the worker until
    it has received another report.
    """

    state: PlannerWorker
    term: int = 0
    last_report: WorkerReport | None = None
    orders_taken: int = 0  # number of orders that the worker has accepted from any placer
    announced_orders: int = 0  # number of announced orders that the worker has not accepted yet
    serial: int = 0  # serial number of the last placement record
    evicting: set[Eviction] = field(factory=set)  # ordered evictions, no longer announced as usable
    task: asyncio.Task[None] | None = None
    retry_at: float = 0.0
    action: LoadAction | None = None
    pending_load: PendingLoad | None = None
    announced_record: PlacementRecord | None = None
    is_loading_from_store: bool = False
    orders_announced_before_term: int = 0
    orders_taken_before_term: int | None = None  # None until the worker has reported in this term
    store_load_times: list[float] = field(factory=list)  # start times of loads from the weight store

    def placement_record(self, now: float, window_s: float) -> PlacementRecord:
        """Returns the record of usable models and the pending load.

        It also contains the data that a successor placer needs to limit loads: accepted orders and load ages.
        """
        usable_models = tuple(
            LoadedModel(model, self._usable_adapters(model, adapters))
            for model, adapters in sorted(self.state.loaded_models.items())
            if Eviction(model) not in self.evicting
        )
        return PlacementRecord(
            self.state.instance,
            self.term,
            self.serial,
            usable_models,
            self.pending_load,
            orders_taken=self.orders_taken + self.announced_orders,
            load_ages_ms=self._recent_load_ages_ms(now, window_s),
        )

    def _usable_adapters(self, model: str, adapters: set[str]) -> tuple[str, ...]:
        return tuple(adapter for adapter in sorted(adapters) if Eviction(model, adapter) not in self.evicting)

    def _recent_load_ages_ms(self, now: float, window_s: float) -> tuple[int, ...]:
        """Returns the ages of loads from the store that began within the window, and drops older loads."""
        self.store_load_times = [at for at in self.store_load_times if at > now - window_s]
        return tuple(int(1000 * (now - at)) for at in self.store_load_times)

    def unannounced_orders(self) -> int:
        """Returns the number of unannounced orders that were accepted before this term; 1 if unknown."""
        if self.orders_taken_before_term is None:
            return 1
        return max(0, self.orders_taken_before_term - self.orders_announced_before_term)

    def order_request(self, operation: str, model: str, adapter: str, lease_holder: str) -> OrderRequest:
        """Returns an order that the worker rejects if it has accepted other orders or one is in progress.

        Therefore the models in the worker's memory when it accepts the order are those that the placer
        assumes.
        """
        return OrderRequest(operation, model, lease_holder, self.term, adapter or None, self.orders_taken)

    def finish_action(self) -> None:
        """Clears the state of the current action after its end or failure."""
        self.task = None
        self.action = None
        self.pending_load = None
        self.announced_orders = 0
        self.is_loading_from_store = False
        self.evicting.clear()

    def add_loaded(self, model: str, adapter: str) -> None:
        """Records a model, or an adapter of one, as loaded."""
        adapters = self.state.loaded_models.setdefault(model, set())
        if adapter:
            adapters.add(adapter)

    def remove_evicted(self, eviction: Eviction) -> None:
        """Records a model, or an adapter of one, as evicted."""
        if eviction.adapter:
            self.state.loaded_models.get(eviction.model, set()).discard(eviction.adapter)
        else:
            self.state.loaded_models.pop(eviction.model, None)
