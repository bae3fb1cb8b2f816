"""Queries the workers at the beginning of a term about the loads that the previous placer began."""

import asyncio
from collections.abc import Callable
from contextlib import suppress

from attrs import define

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot, Engine
from finchladder.cluster.process.fleet_observer import FleetObserver
from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import ManagedWorker
from finchladder.cluster.process.managed_workers import ManagedWorkers
from finchladder.cluster.process.store_load_budget import StoreLoadBudget
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_orders import WorkerOrders
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError


@define
class PlacerTakeover:
    """Restores the rate limiters of loads from the workers' reports at the beginning of a term."""

    updates: UpdateServer
    orders: WorkerOrders
    workers: ManagedWorkers
    observer: FleetObserver
    budget: StoreLoadBudget
    snapshot: Callable[[], ConfigurationSnapshot]

    async def run(self, term: int) -> None:
        """Fetches the reports of all workers, and restores the rate limiters from them.

        A process that started less than `load_window_s` ago may not have received all announcements of that
        time. Its rate limiters continue to assume that the previous placer used its full limit.
        """
        await asyncio.gather(*(self._query_worker(worker) for worker in self.workers))
        now = steady()
        has_full_window = now - self.updates.started_at >= self.observer.load_window_s
        if self.workers.term != term or not has_full_window:
            return
        self.observer.record_loads()
        for name, service in self.snapshot().services.items():
            if service.engine is not None:
                self._restore_loads(now, name, service.engine)

    async def _query_worker(self, worker: ManagedWorker) -> None:
        # for a worker that does not respond, one unannounced order is assumed
        with suppress(PeerUnreachableError):
            report = await self.orders.fetch_report(worker)
            if worker.last_report is None and worker.orders_taken_before_term is None:
                worker.orders_taken_before_term = report.sequence
                if worker.task is None and not report.busy:
                    self.workers.accept_report(worker, report)

    def _restore_loads(self, now: float, service: str, engine: Engine) -> None:
        """Counts the announced loads, and counts each unannounced order as a load that begins now."""
        workers = self.workers.of_service(service)
        instances = (worker.state.instance for worker in workers)
        recent_loads = self.observer.announced_loads.recent_loads(now, instances)
        unannounced_orders = sum(worker.unannounced_orders() for worker in workers)
        self.budget.restore(service, engine, [*recent_loads, *[now] * unannounced_orders])
        event(
            "placer.taken_over",
            service=service,
            recent_loads=len(recent_loads),
            unannounced_orders=unannounced_orders,
        )
