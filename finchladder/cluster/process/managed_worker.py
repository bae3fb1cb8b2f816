"""A worker as the placer of one term keeps it, and a load from the store that it is about to begin."""

import asyncio

from attrs import define, field

from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.load_rate_limiter import LoadRateLimiter
from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.types.worker_api import OrderRequest, WorkerReport
from finchladder.cluster.types.workers import LoadedModel, PendingLoad, PlacementRecord


@define
class ManagedWorker:
    """A worker under the placer of one term. `report`: the last one; None: not asked yet."""

    state: PlannerWorker
    term: int = 0
    last_report: WorkerReport | None = None
    orders_taken: int = 0  # orders that the worker has taken
    announced_orders: int = 0  # orders of the action under way that it has not taken yet
    serial: int = 0
    evicting: set[Eviction] = field(factory=set)  # what dispatchers may not use any more
    task: asyncio.Task[None] | None = None
    retry_at: float = 0.0
    action: LoadAction | None = None
    pending_load: PendingLoad | None = None
    announced_record: PlacementRecord | None = None
    is_loading_from_store: bool = False  # now
    orders_announced_before_term: int = 0  # orders that placers had announced when this term began
    orders_taken_before_term: int | None = None  # those that the worker had taken then; None: not known
    store_load_times: list[float] = field(factory=list)  # when loads from the store began here, in this term

    def placement_record(self, now: float, window_s: float) -> PlacementRecord:
        """What dispatchers may use at the worker, what is being loaded, and what a successor has to know."""
        usable = tuple(
            LoadedModel(model, tuple(a for a in sorted(adapters) if Eviction(model, a) not in self.evicting))
            for model, adapters in sorted(self.state.loaded_models.items())
            if Eviction(model) not in self.evicting
        )
        orders, ages_ms = self.orders_taken + self.announced_orders, self.load_ages_ms(now, window_s)
        instance = self.state.instance
        return PlacementRecord(instance, self.term, self.serial, usable, self.pending_load, orders, ages_ms)

    def load_ages_ms(self, now: float, window_s: float) -> tuple[int, ...]:
        """Of the loads from the store that began here within the window."""
        self.store_load_times = [at for at in self.store_load_times if at > now - window_s]
        return tuple(int(1000 * (now - at)) for at in self.store_load_times)

    def unannounced_orders(self) -> int:
        """Orders that the worker took before this term and no placement record announced; one where it does
        not say.
        """
        return (
            1
            if self.orders_taken_before_term is None
            else max(0, self.orders_taken_before_term - self.orders_announced_before_term)
        )

    def order_request(self, operation: str, model: str, adapter: str, holder: str) -> OrderRequest:
        """An order that the worker takes only if it has taken all before it and no other, and has ended them:
        so what it holds then is what the placer counts with.
        """
        return OrderRequest(operation, model, holder, self.term, adapter or None, self.orders_taken)


@define
class StoreLoadPermit:
    """A load from the store that a worker is about to begin. It counts from when its order is sent, unless
    the worker refuses it: that may be long after it was planned, if what gives way is still in use.
    """

    rate_limiter: LoadRateLimiter
    managed: ManagedWorker
    acquired_at: float = 0.0

    def acquire(self, now: float) -> bool:
        """Counts the load, if the store's rate allows it."""
        if not self.rate_limiter.allows(now):
            return False
        self.rate_limiter.record(now)
        self.acquired_at, self.managed.is_loading_from_store = now, True
        return True

    def release(self) -> None:
        """It has not begun."""
        self.rate_limiter.withdraw(self.acquired_at)
        self.managed.is_loading_from_store = False
