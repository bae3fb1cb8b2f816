"""Sends orders to workers under the placer's lease, one at a time to each worker, and detects their end.

A worker's report is a few hundred milliseconds old, but its response to an order is current. A worker
responds to a repeated load order with 202 while the load is in progress and with 200 as soon as it has ended,
and does not count the repetition as another order. So the placer detects the end of a load by sending its
order again.
"""

import asyncio
from http import HTTPStatus

from attrs import define

from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import ManagedWorker
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.store_load_budget import StoreLoadPermit
from finchladder.cluster.process.worker_client import WorkerClient
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.worker_api import WorkerReport

LOAD = "load"
EVICT = "evict"

STATUS_DONE = HTTPStatus.OK
STATUS_ACCEPTED = HTTPStatus.ACCEPTED
STATUS_BUSY = HTTPStatus.CONFLICT
STATUS_STALE_FENCE = HTTPStatus.PRECONDITION_FAILED

POLL_INTERVAL_S = 0.1
MIN_POLL_INTERVAL_S = 0.02
POLL_INTERVAL_FRACTION = 0.1  # interval between checks as a fraction of the time since a load began
QUICK_EVICTION_S = 0.06  # time from the first attempt within which most evictions end
EVICTION_TIMEOUT_S = 10.0
LOAD_OVERDUE_S = 0.5  # a load that exceeds its expected duration by more is checked by a report
WORKER_RETRY_DELAY_S = 0.5  # delay before an unreachable worker is queried again


@define
class WorkerOrders:
    """Sends orders while the process holds the placer's lease."""

    lease_service: PlacerLeaseService
    client: WorkerClient

    async def fetch_report(self, worker: ManagedWorker) -> WorkerReport:
        """Fetches a worker's report.

        Raises:
            PeerUnreachableError: The worker does not respond.
        """
        return await self.client.report(worker.state.address, worker.state.instance)

    async def fetch_idle_report(self, worker: ManagedWorker) -> WorkerReport:
        """Fetches a worker's report, repeatedly until no order is in progress there.

        Raises:
            PeerUnreachableError: The worker does not respond.
        """
        while True:
            report = await self.fetch_report(worker)
            if not report.busy:
                return report
            await asyncio.sleep(POLL_INTERVAL_S)

    async def submit(
        self,
        worker: ManagedWorker,
        operation: str,
        model: str,
        adapter: str,
        store_permit: StoreLoadPermit | None = None,
    ) -> bool:
        """Sends one order until it is accepted.

        Args:
            worker: Worker that receives the order; it gets none while its state is unknown.
            operation: `LOAD` or `EVICT`.
            model: Name of the model, for an adapter that of its base model.
            adapter: Name of the adapter; empty for an order on the model itself.
            store_permit: Permit for a load from the weight store, acquired for each attempt; None for other
                orders.

        Returns:
            Whether the order was accepted; if not, the worker's state is unknown.

        Raises:
            PeerUnreachableError: The worker does not respond.
        """
        submitted_at = steady()
        while worker.last_report is not None and self._is_in_term(worker) and self.lease_service.is_held():
            if store_permit is not None and not store_permit.acquire(steady()):
                await asyncio.sleep(MIN_POLL_INTERVAL_S)
                continue
            status = await self._send(worker, operation, model, adapter)
            if status == STATUS_ACCEPTED:
                worker.orders_taken += 1
                worker.announced_orders = max(0, worker.announced_orders - 1)
                return True
            if store_permit is not None:
                store_permit.withdraw()
            if status != STATUS_BUSY or not await self._should_resubmit(worker, submitted_at):
                break
        self._invalidate_report(worker)
        return False

    async def wait_until_loaded(
        self, worker: ManagedWorker, model: str, adapter: str, expected_s: float
    ) -> bool:
        """Waits until a worker has loaded a model or adapter, by sending the accepted load order again.

        Returns:
            Whether the load has succeeded; if not, the worker's state is unknown.

        Raises:
            PeerUnreachableError: The worker does not respond.
        """
        accepted_at = steady()
        await asyncio.sleep(expected_s)
        while self._is_in_term(worker):
            if not self.lease_service.is_held():
                await asyncio.sleep(MIN_POLL_INTERVAL_S)  # an expired lease may be renewed
                continue
            status = await self._send(worker, LOAD, model, adapter)
            if status == STATUS_DONE:
                return True
            if status not in (STATUS_ACCEPTED, STATUS_BUSY):
                break
            elapsed_s = steady() - accepted_at
            if elapsed_s > expected_s + LOAD_OVERDUE_S and not await self._is_loading(worker):
                break
            await asyncio.sleep(_poll_interval_s(elapsed_s))
        self._invalidate_report(worker)
        return False

    def _is_in_term(self, worker: ManagedWorker) -> bool:
        lease = self.lease_service.lease
        return lease.token == worker.term and not lease.is_dropped

    def _invalidate_report(self, worker: ManagedWorker) -> None:
        """Marks a worker's state as unknown, so that it gets no order until its report was fetched."""
        worker.last_report = None
        worker.retry_at = steady() + WORKER_RETRY_DELAY_S

    async def _send(self, worker: ManagedWorker, operation: str, model: str, adapter: str) -> int:
        """Sends an order before the lease ends.

        `last_order_at` is also updated after the call, since the worker may receive the order at any time
        during the call.
        """
        body = worker.order_request(operation, model, adapter, self.lease_service.me.name)
        address = worker.state.address
        timeout_s = self.lease_service.lease.expires_at - steady()
        self.lease_service.last_order_at = steady()
        try:
            status = await self.client.order(address, worker.state.instance, body, timeout_s)
        finally:
            self.lease_service.last_order_at = steady()
        event("placer.order", body=body, worker=address, status=status)
        if status == STATUS_STALE_FENCE:
            self.lease_service.lease.drop()
        return status

    async def _should_resubmit(self, worker: ManagedWorker, submitted_at: float) -> bool:
        """Returns, after a delay, whether to send an order again that a worker rejected as busy."""
        if steady() - submitted_at < QUICK_EVICTION_S:
            await asyncio.sleep(QUICK_EVICTION_S / 2)
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
        report = await self.fetch_report(worker)
        return report.sequence <= worker.orders_taken and steady() - submitted_at < EVICTION_TIMEOUT_S

    async def _is_loading(self, worker: ManagedWorker) -> bool:
        """Returns whether the worker reports that its last order is still in progress."""
        report = await self.fetch_report(worker)
        return report.sequence == worker.orders_taken and report.busy


def _poll_interval_s(elapsed_s: float) -> float:
    """Returns the interval between two checks of a load that has taken `elapsed_s` so far."""
    return min(POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_FRACTION * elapsed_s))
