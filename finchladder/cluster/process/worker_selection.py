"""Finding a worker for a request: the choice among those that hold what it needs, and waiting for one."""

from collections.abc import Callable
from math import inf

from attrs import define, field

from finchladder.cluster.process.attempt import MISDIRECTED, Broken, NotExecuted, NotSent, TimedOut
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Backend, Chooser, Pools
from finchladder.cluster.routing.requests import Need
from finchladder.cluster.transport.peers import steady

HOLD_SHARE = 0.8  # of the time that a client waits: what needs longer is refused
UNKNOWN_SHARE = 0.6  # of that time a request waits for something of which nobody says when it comes
LATE_S = 1.5  # by which what is being loaded may come later than was told
LOOK_AGAIN_S = 0.03
REST_FULL_S = 0.1
REST_UNREACHABLE_S = 0.5
LONGEST_REST_S = 4.0
ABSENT_S = 0.4
RETRY_AFTER_FULL_S = 0.3
RETRY_AFTER_ABSENT_S = 1.0


@define
class WorkerFinder:
    """Finds workers by the newest pools, which are swapped whole. `dispatchers`: how many choose at once."""

    chooser: Chooser
    dispatchers: Callable[[], int]
    demand: DemandCounter
    pools: Pools = field(factory=Pools)
    changed: Signal = field(factory=Signal)
    holds_end: float = inf  # nothing waits for a worker after that moment of the steady clock

    async def find(self, wanted: Need, sent: frozenset[str]) -> Backend | None:
        """A worker for the request; waits while there is none and it can still be in time. `sent`: instances
        that it was already sent to.
        """
        waiting = False
        try:
            while True:
                now = steady()
                pool = self.pools.pool(wanted.key)
                self.chooser.dispatchers = self.dispatchers()
                backend = pool.choose(now, self.chooser, sent, self.demand.sized(wanted))
                if backend is not None:
                    return backend
                hold_until = min(self.holds_end, self._hold_until(wanted, bool(pool.backends)))
                if now >= hold_until or (sent and not pool.backends):
                    return None
                if not waiting and not pool.backends:
                    waiting = True
                    self.demand.waits(wanted.key, 1)
                wait_s = hold_until - now if not pool.backends else LOOK_AGAIN_S
                await self.changed.wait(min(wait_s, hold_until - now))
        finally:
            if waiting:
                self.demand.waits(wanted.key, -1)

    def _hold_until(self, wanted: Need, has_holders: bool) -> float:
        """How long a request may wait: longer only if what it needs is known to come in time."""
        limit = wanted.arrived + HOLD_SHARE * min(wanted.patience_s, wanted.until - wanted.arrived)
        ready_at = self.pools.ready_at(wanted.key)
        if not has_holders and ready_at is not None and ready_at <= limit:
            return min(limit, max(ready_at, steady()) + LATE_S)
        return wanted.arrived + UNKNOWN_SHARE * (limit - wanted.arrived)

    def note(
        self, backend: Backend, wanted: Need, outcome: NotSent | NotExecuted | Broken | TimedOut
    ) -> None:
        """What an attempt that brought no answer says of the worker."""
        now = steady()
        if isinstance(outcome, NotExecuted):
            if outcome.status == MISDIRECTED or wanted.key.model:
                rest_s = ABSENT_S if outcome.status == MISDIRECTED else REST_FULL_S
                backend.absent[wanted.key.name] = now + rest_s
            else:
                backend.rests_until = now + max(REST_FULL_S, min(outcome.retry_after_s, 1.0))
            return
        backend.failures += 1
        rest_s = min(LONGEST_REST_S, REST_UNREACHABLE_S * 2 ** (backend.failures - 1))
        backend.rests_until = now + rest_s
        event("attempt.failed", instance=backend.instance, address=backend.address, outcome=repr(outcome))

    def retry_after_s(self, wanted: Need) -> float:
        """When a client that is refused should come back."""
        if self.pools.pool(wanted.key).backends:
            return RETRY_AFTER_FULL_S
        ready_at = self.pools.ready_at(wanted.key)
        return RETRY_AFTER_ABSENT_S if ready_at is None else max(RETRY_AFTER_FULL_S, ready_at - steady())
