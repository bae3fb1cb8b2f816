"""Orders to one worker at a time: given under the placer's lease, until the worker says that they are done.

A worker's report is some hundred ms old, its answer to an order is not: it answers a load that it is given
again with 202 while it carries it out and with 200 as soon as it holds what is to be loaded, and counts
neither as another order. So that is how the end of a load is learned.
"""

import asyncio

from attrs import define

from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import ManagedWorker, StoreLoadPermit
from finchladder.cluster.process.placer_lease import RoleService
from finchladder.cluster.process.worker_client import WorkerClient
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.worker_api import WorkerReport

STATUS_DONE, STATUS_ACCEPTED, STATUS_BUSY, STATUS_STALE_FENCE = 200, 202, 409, 412
POLL_INTERVAL_S = 0.1
MIN_POLL_INTERVAL_S = 0.02
POLL_INTERVAL_FRACTION = (
    0.1  # of the time that a load has taken so far, between two looks at whether it is done
)
QUICK_EVICTION_S = 0.06  # most evictions end within it
EVICTION_TIMEOUT_S = 10.0
LOAD_OVERDUE_S = 0.5  # by which a load is late before the worker's report is looked at
WORKER_RETRY_DELAY_S = 0.5  # a worker that could not be asked is asked again after this


@define
class WorkerOrders:
    """Gives orders while the process holds the role."""

    role: RoleService
    client: WorkerClient

    async def fetch_report(self, managed: ManagedWorker) -> WorkerReport:
        """What a worker says of itself now."""
        return await self.client.report(managed.state.address, managed.state.instance)

    async def fetch_idle_report(self, managed: ManagedWorker) -> WorkerReport:
        """What a worker holds, once no order is under way there."""
        while True:
            report = await self.fetch_report(managed)
            if not report.busy:
                return report
            await asyncio.sleep(POLL_INTERVAL_S)

    async def submit(
        self,
        managed: ManagedWorker,
        operation: str,
        model: str,
        adapter: str,
        store_permit: StoreLoadPermit | None = None,
    ) -> bool:
        """Gives one order; False if it was not taken. `store_load`: what a load from the store counts as."""
        began = steady()
        while managed.last_report is not None and self._is_in_term(managed) and self.role.holds():
            if store_permit is not None and not store_permit.acquire(steady()):
                await asyncio.sleep(MIN_POLL_INTERVAL_S)
                continue
            status = await self._send(managed, operation, model, adapter)
            if status == STATUS_ACCEPTED:
                managed.orders_taken += 1
                managed.announced_orders = max(0, managed.announced_orders - 1)
                return True
            if store_permit is not None:
                store_permit.release()
            if status != STATUS_BUSY or not await self._should_resubmit(managed, began):
                break
        self._invalidate_report(managed)
        return False

    async def wait_until_loaded(
        self, managed: ManagedWorker, model: str, adapter: str, expected_s: float
    ) -> bool:
        """Gives a load that was taken again from when it should be done, until the worker has it; False if it
        has not, or nothing is known of it.
        """
        began = steady()
        await asyncio.sleep(expected_s)
        while self._is_in_term(managed):
            if not self.role.holds():
                await asyncio.sleep(MIN_POLL_INTERVAL_S)  # a lease that has run out may go on
                continue
            status = await self._send(managed, "load", model, adapter)
            if status == STATUS_DONE:
                return True
            took_s = steady() - began
            if status not in (STATUS_ACCEPTED, STATUS_BUSY) or (
                took_s > expected_s + LOAD_OVERDUE_S and not await self._is_loading(managed)
            ):
                break
            await asyncio.sleep(
                min(POLL_INTERVAL_S, max(MIN_POLL_INTERVAL_S, POLL_INTERVAL_FRACTION * took_s))
            )
        self._invalidate_report(managed)
        return False

    def _is_in_term(self, managed: ManagedWorker) -> bool:
        lease = self.role.lease
        return lease.token == managed.term and not lease.is_dropped

    def _invalidate_report(self, managed: ManagedWorker) -> None:
        """The worker is to be asked what it holds before it gets another order."""
        managed.last_report = None
        managed.retry_at = steady() + WORKER_RETRY_DELAY_S

    async def _send(self, managed: ManagedWorker, operation: str, model: str, adapter: str) -> int:
        """Sends an order as long as the lease lasts; it counts as given until its call has ended."""
        body = managed.order_request(operation, model, adapter, self.role.me.name)
        state, left_s = managed.state, self.role.lease.until - steady()
        self.role.last_order_at = steady()
        try:
            status = await self.client.order(state.address, state.instance, body, left_s)
        finally:
            self.role.last_order_at = steady()
        event("placer.order", body=body, worker=state.address, status=status)
        if status == STATUS_STALE_FENCE:
            self.role.lease.drop()
        return status

    async def _should_resubmit(self, managed: ManagedWorker, submitted_at: float) -> bool:
        """After a refusal: whether the order before is still being carried out."""
        if steady() - submitted_at < QUICK_EVICTION_S:
            await asyncio.sleep(QUICK_EVICTION_S / 2)
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
        report = await self.fetch_report(managed)
        return report.sequence <= managed.orders_taken and steady() - submitted_at < EVICTION_TIMEOUT_S

    async def _is_loading(self, managed: ManagedWorker) -> bool:
        """Whether the worker's report says that the last order is still being carried out."""
        report = await self.fetch_report(managed)
        return report.sequence == managed.orders_taken and report.busy
