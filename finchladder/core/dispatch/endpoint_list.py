"""Endpoint list updates: workers that join, drain, restart and leave, and the list subscription."""

from finchladder.core.api import ListKind, Subscribe, WorkerEntry, WorkerList, WorkerStatus
from finchladder.core.dispatch.records import Worker
from finchladder.core.dispatch.state import DispatcherState
from finchladder.core.dispatch.work_estimates import WorkEstimates
from finchladder.core.dispatch.worker_load import FETCH_COST_RUNS
from finchladder.core.membership.subscription import ListSubscription

INITIAL_LOAD_THRESHOLD = 2.0  # slots, for a worker without any observations


class EndpointList:
    """Applies updates of the endpoint list to the worker records."""

    def __init__(self, state: DispatcherState, estimates: WorkEstimates) -> None:
        self.state = state
        self.estimates = estimates
        self.subscription = ListSubscription(not state.settings.must_subscribe)

    def apply(self, event: WorkerList) -> None:
        """Applies a full list or a patch, or records that the subscription was lost."""
        state = self.state
        if event.kind is ListKind.BROKEN:
            max_wait_s = state.settings.subscribe_timeout_s / 4
            self.subscription.record_loss(state.now, state.shortest_target_s, max_wait_s, state.random)
            return
        if event.kind is not ListKind.STALE:
            self.subscription.record_list()
        if event.kind is not ListKind.PATCH:
            self._remove_missing(event)
        joined = [worker for worker in map(self._update_worker, event.entries) if worker is not None]
        state.random.shuffle(joined)  # dispatchers must not all try the workers in the same order
        state.worker_index.add_to_levels(joined)
        state.worker_load.update_weights(state.workers, event.entries)
        if state.settings.weights_report_load:
            state.worker_load.sample_fleet(state.now, state.workers, self._is_ready_and_warm)
        state.worker_index.remove_departed()
        self.subscribe_if_due()

    def subscribe_if_due(self) -> None:
        """Subscribes to the list if a subscription is required and due."""
        if self.subscription.take_due(self.state.now):
            self.state.actions.append(Subscribe())

    def _is_ready_and_warm(self, worker: Worker) -> bool:
        return worker.is_ready and not self.state.worker_index.is_slow_starting(worker, self.state.now)

    def _remove_missing(self, event: WorkerList) -> None:
        listed = {entry.worker for entry in event.entries}
        workers = self.state.workers.values()
        missing = [w for w in workers if w.is_ready and w.address not in listed]
        for worker in missing:
            self._update_worker(
                WorkerEntry(
                    worker.address,
                    WorkerStatus.REMOVED,
                    worker.zone,
                    worker.kind,
                    worker.cell,
                    worker.started_at,
                )
            )

    def _update_worker(self, entry: WorkerEntry) -> Worker | None:
        """Updates a worker's record and index entries, and returns the worker if it joins.

        An entry that equals the record, or differs from it only in weight, changes nothing.
        """
        state = self.state
        worker = state.workers.get(entry.worker)
        is_ready = entry.state is WorkerStatus.READY
        if worker is None:
            if not is_ready:
                return None
            worker = state.workers[entry.worker] = Worker(entry, INITIAL_LOAD_THRESHOLD)
            worker.slow_start_credit = self._initial_credit_s(entry)
        elif entry.started_at > worker.started_at:
            worker.restart(entry.started_at, INITIAL_LOAD_THRESHOLD, self._initial_credit_s(entry))
            state.health.forget(worker)
        elif _is_unchanged(worker, entry):
            return None
        known_since = state.now if entry.started_at > 0 else 0.0
        worker.credit_updated_at = max(worker.credit_updated_at, known_since)
        if not is_ready:
            state.health.forget(worker)
        return worker if state.worker_index.update(worker, entry) else None

    def _initial_credit_s(self, entry: WorkerEntry) -> float:
        state = self.state
        max_cost_s = self.estimates.mean_run_time_s() * (1 + FETCH_COST_RUNS)
        return state.slow_start.initial_credit_s(entry.worker, entry.started_at, max_cost_s, state.random)


def _is_unchanged(worker: Worker, entry: WorkerEntry) -> bool:
    is_ready = entry.state is WorkerStatus.READY
    known = (worker.zone, worker.kind, worker.cell, worker.is_ready)
    return known == (entry.zone, entry.kind, entry.cell, is_ready)
