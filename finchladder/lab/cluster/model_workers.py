"""Model workers at virtual time that take orders as the protocol page says; their reports are old."""

import asyncio
from collections import Counter

from attrs import define, field

from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.worker_api import ModelReport, OrderRequest, WorkerReport

DONE, TAKEN, BUSY, STALE_FENCE = 200, 202, 409, 412


@define
class StandInWorker:
    """One worker. `log`: when each order came, with its answer; `past`: reports by when they were true;
    `in_use`: requests that run, by model: an eviction waits for them.
    """

    models: set[str] = field(factory=set)
    load_s: float = 0.8
    evict_s: float = 0.01
    report_lag_s: float = 0.2
    call_s: float = 0.003
    sequence: int = 0
    fence: int = 0
    busy_until: float = 0.0
    underway: OrderRequest | None = None
    adapters: dict[str, set[str]] = field(factory=dict)
    log: list[tuple[float, OrderRequest, int]] = field(factory=list)
    past: list[tuple[float, WorkerReport]] = field(factory=list)
    dark: bool = False
    in_use: Counter[str] = field(factory=Counter)
    on_disk: set[str] = field(factory=set)  # models that it has held

    def settle(self) -> None:
        """Brings what it holds to the present moment."""
        order = self.underway
        if order is None or steady() < self.busy_until or self._waits_for_requests(order):
            return
        self.underway = None
        self._finish(order)
        self._note(self.busy_until)

    def _waits_for_requests(self, order: OrderRequest) -> bool:
        if order.operation == "load" or not self.in_use[order.model]:
            return False
        self.busy_until = steady()
        return True

    def _finish(self, order: OrderRequest) -> None:
        held = self.adapters.setdefault(order.model, set())
        if order.adapter is not None:
            (held.add if order.operation == "load" else held.discard)(order.adapter)
        elif order.operation == "load":
            self.models.add(order.model)
            self.on_disk.add(order.model)
        else:
            self.models.discard(order.model)
            held.clear()

    def _note(self, at: float) -> None:
        models = [ModelReport(m, 1, sorted(self.adapters.get(m, ()))) for m in sorted(self.models)]
        self.past.append((at, WorkerReport(self.sequence, self.underway is not None, models)))

    def _is_underway(self, order: OrderRequest) -> bool:
        underway = self.underway
        return underway is not None and (underway.operation, underway.model, underway.adapter) == (
            order.operation,
            order.model,
            order.adapter,
        )

    def _holds(self, order: OrderRequest) -> bool:
        if order.adapter is not None:
            return order.adapter in self.adapters.get(order.model, ())
        return order.model in self.models

    def take(self, order: OrderRequest) -> int:
        """The status of the answer to an order."""
        self.settle()
        if order.fence_token < self.fence:
            return STALE_FENCE
        self.fence = order.fence_token
        if self.underway is not None and self._is_underway(order):
            return TAKEN
        if self.underway is not None or order.if_revision not in (None, self.sequence):
            return BUSY
        if self._holds(order) == (order.operation == "load"):
            return DONE
        self.sequence += 1
        self.underway = order
        self.busy_until = steady() + (self.load_s if order.operation == "load" else self.evict_s)
        self._note(steady())
        return TAKEN

    def holds(self, model: str) -> bool:
        """Whether a request for that model would run now."""
        self.settle()
        order = self.underway
        goes = order is not None and order.operation == "evict" and order.model == model
        return model in self.models and not goes

    def reported(self) -> WorkerReport:
        """What it says of itself: as it was some time ago."""
        self.settle()
        if not self.past:
            self._note(-1e9)
        moment = steady() - self.report_lag_s
        seen = [report for at, report in self.past if at <= moment]
        return seen[-1] if seen else self.past[0][1]


@define
class StandInClient:
    """In place of the client that calls workers; `workers` by address."""

    workers: dict[str, StandInWorker]

    async def order(self, address: str, instance: str, body: OrderRequest, timeout_s: float) -> int:
        """As of `WorkerClient`."""
        worker = await self._reach(address, "order", timeout_s)
        status = worker.take(body)
        worker.log.append((steady(), body, status))
        await asyncio.sleep(worker.call_s / 2)
        return status

    async def report(self, address: str, instance: str) -> WorkerReport:
        """As of `WorkerClient`."""
        worker = await self._reach(address, "report", 0.8)
        report = worker.reported()
        await asyncio.sleep(worker.call_s / 2)
        return report

    async def _reach(self, address: str, step: str, timeout_s: float) -> StandInWorker:
        worker = self.workers[address]
        await asyncio.sleep(timeout_s if worker.dark else worker.call_s / 2)
        if worker.dark:
            raise PeerUnreachableError(step, address, "no answer")
        return worker
