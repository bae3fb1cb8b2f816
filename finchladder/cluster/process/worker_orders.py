"""Sends orders to workers under the placer's lease, one at a time to each, and learns when they have ended.

A worker's report is some hundred ms old, but its answer to an order is current. A load that is sent again is
answered with 202 while it is under way and with 200 as soon as it has ended, and counts as no further order.
So the end of a load is learned by sending it again.
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
POLL_INTERVAL_FRACTION = 0.1  # of the time that a load has taken so far
QUICK_EVICTION_S = 0.06  # most evictions end within it
EVICTION_TIMEOUT_S = 10.0
LOAD_OVERDUE_S = 0.5  # after the expected end of a load, from when the worker's report is checked
WORKER_RETRY_DELAY_S = 0.5  # after which an unreachable worker is asked again


@define
class WorkerOrders:
    """Sends orders while the process holds the placer's lease."""

    role: PlacerLeaseService
    client: WorkerClient

    async def fetch_report(self, worker: ManagedWorker) -> WorkerReport:
        """Asks a worker for its state.

        Raises:
            PeerUnreachableError: It does not answer.
        """
        return await self.client.report(worker.state.address, worker.state.instance)

    async def fetch_idle_report(self, worker: ManagedWorker) -> WorkerReport:
        """Asks a worker for its state until no order is under way there.

        Raises:
            PeerUnreachableError: It does not answer.
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
            worker: Where to; its state has to be known.
            operation: `LOAD` or `EVICT`.
            model: The model, or the one that the adapter belongs to.
            adapter: Empty for the model itself.
            store_permit: Acquired before each attempt of a load from the store.

        Returns:
            Whether it was accepted; if not, the worker's state is unknown.

        Raises:
            PeerUnreachableError: The worker does not answer.
        """
        submitted_at = steady()
        while worker.last_report is not None and self._is_in_term(worker) and self.role.is_held():
            if store_permit is not None and not store_permit.acquire(steady()):
                await asyncio.sleep(MIN_POLL_INTERVAL_S)
                continue
            status = await self._send(worker, operation, model, adapter)
            if status == STATUS_ACCEPTED:
                worker.orders_taken += 1
                worker.announced_orders = max(0, worker.announced_orders - 1)
                return True
            if store_permit is not None:
                store_permit.release()
            if status != STATUS_BUSY or not await self._should_resubmit(worker, submitted_at):
                break
        self._invalidate_report(worker)
        return False

    async def wait_until_loaded(
        self, worker: ManagedWorker, model: str, adapter: str, expected_s: float
    ) -> bool:
        """Sends an accepted load again from when it should have ended, until the worker has loaded it.

        Returns:
            Whether it was loaded; if not, the worker's state is unknown.

        Raises:
            PeerUnreachableError: The worker does not answer.
        """
        accepted_at = steady()
        await asyncio.sleep(expected_s)
        while self._is_in_term(worker):
            if not self.role.is_held():
                await asyncio.sleep(MIN_POLL_INTERVAL_S)  # a lease that has run out may be renewed
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
        lease = self.role.lease
        return lease.token == worker.term and not lease.is_dropped

    def _invalidate_report(self, worker: ManagedWorker) -> None:
        """Marks a worker's state as unknown: it has to report before it gets another order."""
        worker.last_report = None
        worker.retry_at = steady() + WORKER_RETRY_DELAY_S

    async def _send(self, worker: ManagedWorker, operation: str, model: str, adapter: str) -> int:
        """Sends an order, at most until the lease ends; the order counts as sent until its call has ended."""
        body = worker.order_request(operation, model, adapter, self.role.me.name)
        address = worker.state.address
        timeout_s = self.role.lease.expires_at - steady()
        self.role.last_order_at = steady()
        try:
            status = await self.client.order(address, worker.state.instance, body, timeout_s)
        finally:
            self.role.last_order_at = steady()
        event("placer.order", body=body, worker=address, status=status)
        if status == STATUS_STALE_FENCE:
            self.role.lease.drop()
        return status

    async def _should_resubmit(self, worker: ManagedWorker, submitted_at: float) -> bool:
        """After a rejection: whether the order before is still under way."""
        if steady() - submitted_at < QUICK_EVICTION_S:
            await asyncio.sleep(QUICK_EVICTION_S / 2)
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
        report = await self.fetch_report(worker)
        return report.sequence <= worker.orders_taken and steady() - submitted_at < EVICTION_TIMEOUT_S

    async def _is_loading(self, worker: ManagedWorker) -> bool:
        """Whether the worker reports that the last order is still under way."""
        report = await self.fetch_report(worker)
        return report.sequence == worker.orders_taken and report.busy


def _poll_interval_s(elapsed_s: float) -> float:
    """Between two attempts to learn whether a load has ended that has taken so long."""
    return min(POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_FRACTION * elapsed_s))
