"""Finding a worker for a request: the choice among those that hold what it needs, and waiting for one."""

from collections.abc import Callable
from math import inf

from attrs import define, field

from finchladder.cluster.process.attempt import MISDIRECTED, Broken, NotExecuted, NotSent, TimedOut
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Pools, Worker, WorkerSelector
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.transport.peers import steady

MAX_QUEUE_TIME_SHARE = 0.8  # of the time that a client waits: what needs longer is refused
UNKNOWN_LOAD_QUEUE_TIME_SHARE = (
    0.6  # of that time a request waits for something of which nobody says when it comes
)
LOAD_DELAY_ALLOWANCE_S = 1.5  # by which what is being loaded may come later than was told
AVAILABILITY_POLL_S = 0.03
REJECTION_BACKOFF_S = 0.1
MIN_FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 4.0
MISDIRECTED_BACKOFF_S = 0.4
RETRY_AFTER_BUSY_S = 0.3
RETRY_AFTER_NO_REPLICA_S = 1.0


@define
class RequestQueue:
    """Finds workers by the newest pools, which are swapped whole. `dispatchers`: how many choose at once."""

    selector: WorkerSelector
    dispatcher_count: Callable[[], int]
    demand: DemandCounter
    pools: Pools = field(factory=Pools)
    pools_changed: Signal = field(factory=Signal)
    closes_at: float = inf  # nothing waits for a worker after that moment of the steady clock

    async def select_worker(self, request: ClassifiedRequest, attempted: frozenset[str]) -> Worker | None:
        """A worker for the request; waits while there is none and it can still be in time. `sent`: instances
        that it was already sent to.
        """
        waiting = False
        try:
            while True:
                now = steady()
                pool = self.pools.pool(request.key)
                self.selector.dispatcher_count = self.dispatcher_count()
                backend = pool.select(now, self.selector, attempted, self.demand.request_cost(request))
                if backend is not None:
                    return backend
                hold_until = min(self.closes_at, self._queue_deadline(request, bool(pool.workers)))
                if now >= hold_until or (attempted and not pool.workers):
                    return None
                if not waiting and not pool.workers:
                    waiting = True
                    self.demand.add_queued(request.key, 1)
                wait_s = hold_until - now if not pool.workers else AVAILABILITY_POLL_S
                await self.pools_changed.wait(min(wait_s, hold_until - now))
        finally:
            if waiting:
                self.demand.add_queued(request.key, -1)

    def _queue_deadline(self, request: ClassifiedRequest, has_replicas: bool) -> float:
        """How long a request may wait: longer only if what it needs is known to come in time."""
        limit = request.arrived_at + MAX_QUEUE_TIME_SHARE * min(
            request.client_stall_timeout_s, request.deadline - request.arrived_at
        )
        ready_at = self.pools.ready_at(request.key)
        if not has_replicas and ready_at is not None and ready_at <= limit:
            return min(limit, max(ready_at, steady()) + LOAD_DELAY_ALLOWANCE_S)
        return request.arrived_at + UNKNOWN_LOAD_QUEUE_TIME_SHARE * (limit - request.arrived_at)

    def record_failure(
        self, worker: Worker, request: ClassifiedRequest, outcome: NotSent | NotExecuted | Broken | TimedOut
    ) -> None:
        """What an attempt that brought no answer says of the worker."""
        now = steady()
        if isinstance(outcome, NotExecuted):
            if outcome.status == MISDIRECTED or request.key.model:
                rest_s = MISDIRECTED_BACKOFF_S if outcome.status == MISDIRECTED else REJECTION_BACKOFF_S
                worker.key_backoff_until[request.key.name] = now + rest_s
            else:
                worker.backoff_until = now + max(REJECTION_BACKOFF_S, min(outcome.retry_after_s, 1.0))
            return
        worker.consecutive_failures += 1
        rest_s = min(MAX_FAILURE_BACKOFF_S, MIN_FAILURE_BACKOFF_S * 2 ** (worker.consecutive_failures - 1))
        worker.backoff_until = now + rest_s
        event("attempt.failed", instance=worker.instance, address=worker.address, outcome=repr(outcome))

    def retry_after_s(self, request: ClassifiedRequest) -> float:
        """When a client that is refused should come back."""
        if self.pools.pool(request.key).workers:
            return RETRY_AFTER_BUSY_S
        ready_at = self.pools.ready_at(request.key)
        return RETRY_AFTER_NO_REPLICA_S if ready_at is None else max(RETRY_AFTER_BUSY_S, ready_at - steady())
