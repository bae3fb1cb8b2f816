"""Selection of a worker for each request, and the queue of requests without an available worker."""

from collections.abc import Callable
from math import inf

from attrs import define, field

from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Pools
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import steady

MAX_QUEUE_TIME_FRACTION = 0.8  # maximum queue time as a fraction of the time that the client waits
# Fraction of the maximum queue time for which a request is queued if it does not wait for a replica that is
# being loaded.
UNKNOWN_LOAD_QUEUE_TIME_FRACTION = 0.6
LOAD_DELAY_ALLOWANCE_S = 1.5  # a replica may become usable this much later than announced
AVAILABILITY_POLL_INTERVAL_S = 0.03  # polling is needed since the end of a backoff fires no signal
RETRY_AFTER_BUSY_S = 0.3
RETRY_AFTER_NO_REPLICA_S = 1.0


@define
class RequestQueue:
    """Selects workers for requests, and queues requests while none is available.

    Attributes:
        dispatcher_count: Returns the number of dispatchers that select workers at the same time.
        pools: The current pools, replaced as one object.
        pools_changed: Fires after `pools` was replaced.
        closes_at: No request is queued after this time (monotonic seconds).
    """

    selector: WorkerSelector
    dispatcher_count: Callable[[], int]
    demand: DemandCounter
    pools: Pools = field(factory=Pools)
    pools_changed: Signal = field(factory=Signal)
    closes_at: float = inf

    async def select_worker(self, request: ClassifiedRequest, attempted: frozenset[str]) -> Worker | None:
        """Selects a worker; waits while none is available and the request can still finish in time.

        Args:
            request: The request.
            attempted: Instances to which the request was already sent.

        Returns:
            The worker, or None if none became available in time.
        """
        is_queued = False
        try:
            while True:
                now = steady()
                pool = self.pools.pool(request.key)
                self.selector.dispatcher_count = self.dispatcher_count()
                worker = pool.select(now, self.selector, attempted, self.demand.request_cost(request))
                if worker is not None:
                    return worker
                has_replicas = bool(pool.workers)
                queue_deadline = min(self.closes_at, self._queue_deadline(request, has_replicas))
                if now >= queue_deadline or (attempted and not has_replicas):
                    return None
                if not is_queued and not has_replicas:
                    is_queued = True
                    self.demand.add_queued(request.key, 1)
                remaining_s = queue_deadline - now
                await self.pools_changed.wait(
                    min(AVAILABILITY_POLL_INTERVAL_S, remaining_s) if has_replicas else remaining_s
                )
        finally:
            if is_queued:
                self.demand.add_queued(request.key, -1)

    def _queue_deadline(self, request: ClassifiedRequest, has_replicas: bool) -> float:
        """Returns the time until which a request may be queued; it is later if a replica is being loaded.

        If a load is already overdue when the request arrives, LOAD_DELAY_ALLOWANCE_S begins at the arrival.
        """
        client_s = min(request.client_stall_timeout_s, request.deadline - request.arrived_at)
        latest_deadline = request.arrived_at + MAX_QUEUE_TIME_FRACTION * client_s
        deadline_without_load = request.arrived_at + UNKNOWN_LOAD_QUEUE_TIME_FRACTION * (
            latest_deadline - request.arrived_at
        )
        ready_at = self.pools.ready_at(request.key)
        if has_replicas or ready_at is None or ready_at > latest_deadline:
            return deadline_without_load
        expected_by = max(ready_at, request.arrived_at) + LOAD_DELAY_ALLOWANCE_S
        return max(deadline_without_load, min(latest_deadline, expected_by))

    def retry_after_s(self, request: ClassifiedRequest) -> float:
        """Returns the seconds after which a rejected client should retry."""
        if self.pools.pool(request.key).workers:
            return RETRY_AFTER_BUSY_S
        ready_at = self.pools.ready_at(request.key)
        if ready_at is None:
            return RETRY_AFTER_NO_REPLICA_S
        return max(RETRY_AFTER_BUSY_S, ready_at - steady())
