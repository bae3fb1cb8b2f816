"""The workers that the placer manages during one term, and the announcement of placement records."""

from collections.abc import Iterator

import msgspec
from attrs import define, field

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot
from finchladder.cluster.placement.disk_inventory import DiskInventory
from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_worker import ManagedWorker
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_orders import WORKER_RETRY_DELAY_S, WorkerOrders
from finchladder.cluster.routing.pools import usable_models
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.worker_api import WorkerReport
from finchladder.cluster.types.workers import SessionPhase, WorkerRecord

NO_TERM = 0


@define
class ManagedWorkers:
    """Tracks the workers of one term. `term`: its fencing token; `NO_TERM` outside of a term."""

    updates: UpdateServer
    orders: WorkerOrders
    disks: DiskInventory
    load_window_s: float
    term: int = NO_TERM
    by_instance: dict[str, ManagedWorker] = field(factory=dict)

    def begin_term(self, token: int) -> None:
        """Ends the previous term, if there is one, and begins a term without workers."""
        self.end_term()
        self.term = token

    def end_term(self) -> None:
        """Cancels the tasks of all workers and drops the workers."""
        for worker in self.by_instance.values():
            _cancel_task(worker)
        self.by_instance.clear()
        self.term = NO_TERM

    def of_service(self, service: str) -> list[ManagedWorker]:
        """Returns the workers of one service."""
        return [worker for worker in self.by_instance.values() if worker.state.service == service]

    def __iter__(self) -> Iterator[ManagedWorker]:
        """Iterates over all workers."""
        return iter(self.by_instance.values())

    def follow_sessions(self, snapshot: ConfigurationSnapshot) -> None:
        """Adds and removes workers as their sessions begin and end. O(workers)."""
        live = {record.instance: record for record in self.updates.tables.live_workers()}
        for instance in set(self.by_instance) - set(live):
            _cancel_task(self.by_instance.pop(instance))
        for instance, record in live.items():
            service = snapshot.services.get(record.service)
            if service is None or service.engine is None:
                continue
            worker = self.by_instance.get(instance)
            if worker is None:
                worker = self.by_instance[instance] = self._new_worker(record)
            worker.state.is_draining = record.phase is not SessionPhase.READY

    def _new_worker(self, record: WorkerRecord) -> ManagedWorker:
        loaded_models = {loaded.model: set(loaded.adapters) for loaded in record.loaded_models}
        self.disks.record_models(record.instance, record.address, loaded_models)
        state = PlannerWorker(
            record.instance,
            record.service,
            record.address,
            record.zone,
            is_busy=False,
            is_draining=False,
            loaded_models=loaded_models,
        )
        placement = self.updates.tables.placements.get(record.instance)
        if placement is None:
            return ManagedWorker(state, self.term)
        announced = placement.record
        # A worker that was lost and became ready again within the term already has records of this term.
        serial = announced.serial if announced.token == self.term else 0
        return ManagedWorker(
            state, self.term, serial=serial, orders_announced_before_term=announced.orders_taken
        )

    async def refresh(self, worker: ManagedWorker) -> None:
        """Fetches a worker's report once no order is in progress there, and announces a changed state.

        The announced state may be outdated because a placer was lost in the middle of an action.
        """
        try:
            self.accept_report(worker, await self.orders.fetch_idle_report(worker))
        except PeerUnreachableError as error:
            worker.retry_at = steady() + WORKER_RETRY_DELAY_S
            event("placer.worker_unreachable", problem=str(error))
        finally:
            worker.task = None

    def accept_report(self, worker: ManagedWorker, report: WorkerReport) -> None:
        """Adopts a worker's report as its state; no order may be in progress there."""
        state = worker.state
        worker.last_report = report
        worker.orders_taken = report.sequence
        if worker.orders_taken_before_term is None:
            worker.orders_taken_before_term = report.sequence
        state.loaded_models = {model.name: set(model.adapters) for model in report.models}
        self.disks.record_models(state.instance, state.address, state.loaded_models)
        if self._is_announcement_stale(worker):
            self.announce(worker)

    def _is_announcement_stale(self, worker: ManagedWorker) -> bool:
        """Returns whether the announced models differ from those that the worker has loaded."""
        tables = self.updates.tables
        session = tables.workers.get(worker.state.instance)
        if session is None:
            return False
        stamped = tables.placements.get(worker.state.instance)
        placement = None if stamped is None else stamped.record
        if placement is not None and placement.pending_load is not None:
            return True
        record = worker.placement_record(steady(), self.load_window_s)
        return usable_models(session.record, placement) != record.usable_models

    def announce(self, worker: ManagedWorker) -> None:
        """Sends the worker's placement record to the dispatchers if it has changed."""
        record = worker.placement_record(steady(), self.load_window_s)
        if record == worker.announced_record:
            return
        worker.serial += 1
        record = msgspec.structs.replace(record, serial=worker.serial)
        worker.announced_record = record
        if not self.updates.tables.put_placement(record):
            event(
                "placer.record_superseded",
                instance=record.instance,
                token=record.token,
                serial=record.serial,
            )
        self.updates.changed.fire()


def _cancel_task(worker: ManagedWorker) -> None:
    if worker.task is not None:
        worker.task.cancel()
