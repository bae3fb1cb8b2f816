"""Orders to one worker at a time: given under the placer's lease, until the worker says that they are done.

A worker's report is some hundred ms old, its answer to an order is not: it answers a load that it is given
again with 202 while it carries it out and with 200 as soon as it holds what is to be loaded, and counts
neither as another order. So that is how the end of a load is learned.
"""

import asyncio

from attrs import define

from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import Managed, StoreLoad
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.worker_client import WorkerClient
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.worker_api import WorkerReport

DONE, TAKEN, BUSY, STALE_FENCE = 200, 202, 409, 412
POLL_S = 0.1
LEAST_POLL_S = 0.02
POLL_SHARE = 0.1  # of the time that a load has taken so far, between two looks at whether it is done
QUICK_S = 0.06  # most evictions end within it
LONGEST_EVICT_S = 10.0
OVERDUE_S = 0.5  # by which a load is late before the worker's report is looked at
SETTLE_S = 0.5  # a worker that could not be asked is asked again after this


@define
class WorkerOrders:
    """Gives orders while the process holds the role."""

    role: PlacerLeaseService
    client: WorkerClient

    async def ask(self, managed: Managed) -> WorkerReport:
        """What a worker says of itself now."""
        return await self.client.report(managed.state.address, managed.state.instance)

    async def learn(self, managed: Managed) -> WorkerReport:
        """What a worker holds, once no order is under way there."""
        while True:
            report = await self.ask(managed)
            if not report.busy:
                return report
            await asyncio.sleep(POLL_S)

    async def give(
        self,
        managed: Managed,
        operation: str,
        model: str,
        adapter: str,
        store_load: StoreLoad | None = None,
    ) -> bool:
        """Gives one order; False if it was not taken. `store_load`: what a load from the store counts as."""
        began = steady()
        while managed.report is not None and self._is_in_term(managed) and self.role.is_held():
            if store_load is not None and not store_load.begins(steady()):
                await asyncio.sleep(LEAST_POLL_S)
                continue
            status = await self._send(managed, operation, model, adapter)
            if status == TAKEN:
                managed.revision += 1
                managed.announced = max(0, managed.announced - 1)
                return True
            if store_load is not None:
                store_load.was_refused()
            if status != BUSY or not await self._still_busy(managed, began):
                break
        self._lose_track(managed)
        return False

    async def await_loaded(self, managed: Managed, model: str, adapter: str, expected_s: float) -> bool:
        """Gives a load that was taken again from when it should be done, until the worker has it; False if it
        has not, or nothing is known of it.
        """
        began = steady()
        await asyncio.sleep(expected_s)
        while self._is_in_term(managed):
            if not self.role.is_held():
                await asyncio.sleep(LEAST_POLL_S)  # a lease that has run out may go on
                continue
            status = await self._send(managed, "load", model, adapter)
            if status == DONE:
                return True
            took_s = steady() - began
            if status not in (TAKEN, BUSY) or (
                took_s > expected_s + OVERDUE_S and not await self._is_loading(managed)
            ):
                break
            await asyncio.sleep(min(POLL_S, max(LEAST_POLL_S, POLL_SHARE * took_s)))
        self._lose_track(managed)
        return False

    def _is_in_term(self, managed: Managed) -> bool:
        lease = self.role.lease
        return lease.token == managed.term and not lease.is_dropped

    def _lose_track(self, managed: Managed) -> None:
        """The worker is to be asked what it holds before it gets another order."""
        managed.report = None
        managed.retry_at = steady() + SETTLE_S

    async def _send(self, managed: Managed, operation: str, model: str, adapter: str) -> int:
        """Sends an order as long as the lease lasts; it counts as given until its call has ended."""
        body = managed.order(operation, model, adapter, self.role.me.name)
        state, left_s = managed.state, self.role.lease.expires_at - steady()
        self.role.last_order_at = steady()
        try:
            status = await self.client.order(state.address, state.instance, body, left_s)
        finally:
            self.role.last_order_at = steady()
        event("placer.order", body=body, worker=state.address, status=status)
        if status == STALE_FENCE:
            self.role.lease.drop()
        return status

    async def _still_busy(self, managed: Managed, began: float) -> bool:
        """After a refusal: whether the order before is still being carried out."""
        if steady() - began < QUICK_S:
            await asyncio.sleep(QUICK_S / 2)
            return True
        await asyncio.sleep(POLL_S)
        report = await self.ask(managed)
        return report.sequence <= managed.revision and steady() - began < LONGEST_EVICT_S

    async def _is_loading(self, managed: Managed) -> bool:
        """Whether the worker's report says that the last order is still being carried out."""
        report = await self.ask(managed)
        return report.sequence == managed.revision and report.busy
