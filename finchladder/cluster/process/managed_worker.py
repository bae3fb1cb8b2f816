"""A worker as the placer of one term keeps it, and a load from the store that it is about to begin."""

import asyncio

from attrs import define, field

from finchladder.cluster.placement.ledger import LoadLedger
from finchladder.cluster.placement.plan import Load, Victim, WorkerState
from finchladder.cluster.types.worker_api import OrderRequest, WorkerReport
from finchladder.cluster.types.workers import LoadedModel, PendingLoad, PlacementRecord


@define
class Managed:
    """A worker under the placer of one term. `report`: the last one; None: not asked yet."""

    state: WorkerState
    term: int = 0
    report: WorkerReport | None = None
    revision: int = 0  # orders that the worker has taken
    announced: int = 0  # orders of the action under way that it has not taken yet
    serial: int = 0
    hidden: set[Victim] = field(factory=set)  # what dispatchers may not use any more
    task: asyncio.Task[None] | None = None
    retry_at: float = 0.0
    action: Load | None = None
    pending_load: PendingLoad | None = None
    told: PlacementRecord | None = None
    loads_from_store: bool = False  # now
    announced_before: int = 0  # orders that placers had announced when this term began
    taken_before: int | None = None  # those that the worker had taken then; None: not known
    store_loads: list[float] = field(factory=list)  # when loads from the store began here, in this term

    def placement(self, now: float, window_s: float) -> PlacementRecord:
        """What dispatchers may use at the worker, what is being loaded, and what a successor has to know."""
        usable = tuple(
            LoadedModel(model, tuple(a for a in sorted(adapters) if Victim(model, a) not in self.hidden))
            for model, adapters in sorted(self.state.models.items())
            if Victim(model) not in self.hidden
        )
        orders, ages_ms = self.revision + self.announced, self.load_ages_ms(now, window_s)
        instance = self.state.instance
        return PlacementRecord(instance, self.term, self.serial, usable, self.pending_load, orders, ages_ms)

    def load_ages_ms(self, now: float, window_s: float) -> tuple[int, ...]:
        """Of the loads from the store that began here within the window."""
        self.store_loads = [at for at in self.store_loads if at > now - window_s]
        return tuple(int(1000 * (now - at)) for at in self.store_loads)

    def orders_unheard(self) -> int:
        """Orders that the worker took before this term and no placement record announced; one where it does
        not say.
        """
        return 1 if self.taken_before is None else max(0, self.taken_before - self.announced_before)

    def order(self, operation: str, model: str, adapter: str, holder: str) -> OrderRequest:
        """An order that the worker takes only if it has taken all before it and no other, and has ended them:
        so what it holds then is what the placer counts with.
        """
        return OrderRequest(operation, model, holder, self.term, adapter or None, self.revision)


@define
class StoreLoad:
    """A load from the store that a worker is about to begin. It counts from when its order is sent, unless
    the worker refuses it: that may be long after it was planned, if what gives way is still in use.
    """

    ledger: LoadLedger
    managed: Managed
    at: float = 0.0

    def begins(self, now: float) -> bool:
        """Counts the load, if the store's rate allows it."""
        if not self.ledger.allows(now):
            return False
        self.ledger.note(now)
        self.at, self.managed.loads_from_store = now, True
        return True

    def was_refused(self) -> None:
        """It has not begun."""
        self.ledger.withdraw(self.at)
        self.managed.loads_from_store = False
