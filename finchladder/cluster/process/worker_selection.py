"""Selection of a worker for each request, and the queue of requests without an available worker."""

from collections.abc import Callable
from math import inf

from attrs import define, field

from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Pool, Pools
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.unplaced_models import UnplacedModels
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import steady

RESPONSE_MARGIN_S = 0.05  # part of the client's time for passing on the request and its response
LOAD_DELAY_ALLOWANCE_S = 1.5  # a replica may become usable this much later than announced
AVAILABILITY_POLL_INTERVAL_S = 0.03  # polling is needed since the end of a backoff fires no signal
RETRY_AFTER_BUSY_S = 0.3  # time for a running request to end; clients make only a few tries
MAX_RETRY_AFTER_FRACTION = 1 / 3  # of the time that a client has left; source: the project's protocol page


@define
class RequestQueue:
    """Selects workers for requests, and queues requests while one is expected that can serve them in time.

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
    unplaced_models: UnplacedModels = field(factory=UnplacedModels)

    async def select_worker(
        self, request: ClassifiedRequest, attempted: frozenset[str], silent_since: float | None = None
    ) -> Worker | None:
        """Selects a worker; waits while one is expected to be available before the request is too late.

        Args:
            request: The request.
            attempted: Instances to which the request was already sent.
            silent_since: When the client last received data of a stream; None: it has received none.

        Returns:
            The worker, or None as soon as none is expected in time.
        """
        is_queued = False
        latest_start = self.latest_start(request, silent_since)
        try:
            while True:
                now = steady()
                pool = self.pools.pool(request.key)
                self.selector.dispatcher_count = self.dispatcher_count()
                worker = pool.select(now, self.selector, attempted, self.demand.request_cost(request))
                if worker is not None:
                    return worker
                has_replicas = bool(pool.workers)
                wait_until = min(
                    self.closes_at, self._wait_until(request, pool, attempted, now, latest_start)
                )
                if now >= wait_until:
                    return None
                if not is_queued and not has_replicas:
                    is_queued = True
                    self.demand.add_queued(request.key, 1)
                remaining_s = wait_until - now
                await self.pools_changed.wait(
                    min(AVAILABILITY_POLL_INTERVAL_S, remaining_s) if has_replicas else remaining_s
                )
        finally:
            if is_queued:
                self.demand.add_queued(request.key, -1)

    def latest_start(self, request: ClassifiedRequest, silent_since: float | None = None) -> float:
        """Returns the time from which a worker could no longer respond before the client gives up.

        `silent_since`: when the client last received data of a stream; None: it has received none.
        """
        waits_since = request.arrived_at if silent_since is None else silent_since
        gives_up_at = min(request.deadline, waits_since + request.client_stall_timeout_s)
        cost = self.demand.request_cost(request)
        prefill_s = cost.load * cost.prefill_s_per_token
        return gives_up_at - prefill_s - RESPONSE_MARGIN_S

    def _wait_until(
        self,
        request: ClassifiedRequest,
        pool: Pool,
        attempted: frozenset[str],
        now: float,
        latest_start: float,
    ) -> float:
        """Returns the time until which a request may be queued; `now` if no worker is expected in time.

        A worker is expected at the end of a backoff, or at the announced end of a load. If no load is
        announced, the placer gets the time to decide on one. If a load is already overdue when the request
        arrives, LOAD_DELAY_ALLOWANCE_S begins at the arrival.
        """
        if pool.available_at(attempted) <= latest_start:
            return latest_start
        ready_at = self.pools.ready_at(request.key)
        if pool.workers or ready_at is not None:
            self.unplaced_models.forget(request.key)
        if ready_at is not None:
            expected_by = max(ready_at, request.arrived_at) + LOAD_DELAY_ALLOWANCE_S
            return min(latest_start, expected_by) if ready_at <= latest_start else now
        if pool.workers or attempted:
            return now
        return min(latest_start, self.unplaced_models.decision_due_at(request.key, now))

    def retry_after_s(self, request: ClassifiedRequest) -> float:
        """Returns the seconds after which a rejected client should retry.

        This is the time until a worker is expected. If it is unknown whether the model will be loaded, the
        few tries that a client makes are spread over its remaining time.
        """
        now = steady()
        longest_s = MAX_RETRY_AFTER_FRACTION * max(0.0, request.deadline - now)
        busy_s = min(RETRY_AFTER_BUSY_S, longest_s)
        pool = self.pools.pool(request.key)
        if pool.workers:
            return max(busy_s, pool.available_at() - now)
        ready_at = self.pools.ready_at(request.key)
        if ready_at is None:
            return longest_s
        return max(busy_s, ready_at - now)
