"""Budget for loads from the weight store that the placer may begin, per service.

The store limits loads over a sliding window, whichever process orders them, and is efficient only up to a
limited number of concurrent loads.
"""

from collections.abc import Iterable, Sequence

from attrs import define, field

from finchladder.cluster.configuration.snapshot import Engine
from finchladder.cluster.placement.capacity import max_concurrent_store_loads
from finchladder.cluster.placement.disk_inventory import DiskInventory
from finchladder.cluster.placement.load_rate_limiter import LoadRateLimiter
from finchladder.cluster.process.managed_worker import ManagedWorker


@define
class StoreLoadBudget:
    """Owns the rate limiters of one term.

    `takeover_delay_s`: minimum age of a predecessor's last order when another process gets the lease.
    """

    window_s: float
    allowed_overage: float
    takeover_delay_s: float
    disks: DiskInventory
    limiters: dict[str, LoadRateLimiter] = field(factory=dict)  # keyed by service
    _predecessor_active_until: float | None = None

    def begin_term(self, token: int, now: float, is_reelected: bool) -> None:
        """Resets the limiters; `is_reelected`: a former incarnation of this process held the lease."""
        self.limiters = {}
        has_predecessor = token > 1
        delay_s = 0.0 if is_reelected else self.takeover_delay_s
        self._predecessor_active_until = now - delay_s if has_predecessor else None

    def limiter(self, service: str, engine: Engine) -> LoadRateLimiter:
        """Returns the limiter of a service; a new one assumes that a predecessor used its full budget."""
        limiter = self.limiters.get(service)
        if limiter is None:
            limiter = LoadRateLimiter(engine.max_loads_per_s, self.window_s, self.allowed_overage)
            self.limiters[service] = limiter
            if self._predecessor_active_until is not None:
                limiter.assume_exhausted(self._predecessor_active_until)
        return limiter

    def restore(self, service: str, engine: Engine, load_times: Iterable[float]) -> None:
        """Replaces the assumption about a predecessor by the loads that it is known to have begun."""
        self.limiter(service, engine).restore(load_times)

    def remaining(
        self,
        now: float,
        service: str,
        engine: Engine,
        workers: Sequence[ManagedWorker],
        reserved_workers_factor: float,
    ) -> int:
        """Returns how many more loads from the store may be planned.

        Loads that wait for an eviction do not occupy the store yet, but each of them will.
        """
        max_concurrent = max_concurrent_store_loads(engine, len(workers), reserved_workers_factor)
        loading = sum(worker.is_loading_from_store for worker in workers)
        planned = sum(self._will_load_from_store(worker) for worker in workers)
        return min(
            self.limiter(service, engine).remaining(now) - planned,
            max_concurrent - loading,
            2 * max_concurrent - loading - planned,
        )

    def _will_load_from_store(self, worker: ManagedWorker) -> bool:
        """Returns whether the worker will load from the store once its evictions have ended."""
        action = worker.action
        if action is None or action.adapter or worker.is_loading_from_store:
            return False
        return not self.disks.has_model(worker.state.instance, action.model)


@define
class StoreLoadPermit:
    """Permit for one load from the store.

    The load counts from the time at which its order is sent, unless the worker rejects the order. That time
    may be long after the load was planned if an evicted model is still in use.
    """

    rate_limiter: LoadRateLimiter
    worker: ManagedWorker
    acquired_at: float = 0.0

    def acquire(self, now: float) -> bool:
        """Counts the load if the rate limit allows it; returns whether it does."""
        if not self.rate_limiter.allows(now):
            return False
        self.rate_limiter.record(now)
        self.acquired_at = now
        self.worker.is_loading_from_store = True
        return True

    def withdraw(self) -> None:
        """Withdraws the load, which was rejected."""
        self.rate_limiter.withdraw(self.acquired_at)
        self.worker.is_loading_from_store = False
