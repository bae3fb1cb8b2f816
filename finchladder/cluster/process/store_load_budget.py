"""Number of loads from the weight store that the placer may begin for each service.

The operators' rule limits the loads within a sliding window, no matter which process ordered them. Each load
becomes slower if there are too many concurrent ones.
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
    """Budget of all services, with one rate limiter for each service in the current term.

    `takeover_delay_s`: minimum age of the predecessor's last order when another process gets the lease.
    """

    window_s: float
    allowed_overage: float
    takeover_delay_s: float
    disks: DiskInventory
    limiters: dict[str, LoadRateLimiter] = field(factory=dict)  # keyed by service
    _predecessor_active_until: float | None = None

    def begin_term(self, token: int, now: float, is_reelected: bool) -> None:
        """Resets the limiters; `is_reelected`: whether this process was also the last holder."""
        self.limiters = {}
        has_predecessor = token > 1
        delay_s = 0.0 if is_reelected else self.takeover_delay_s
        self._predecessor_active_until = now - delay_s if has_predecessor else None

    def limiter(self, service: str, engine: Engine) -> LoadRateLimiter:
        """Returns the limiter of a service; a new one assumes that a predecessor used its full limit."""
        limiter = self.limiters.get(service)
        if limiter is None:
            limiter = LoadRateLimiter(engine.max_loads_per_s, self.window_s, self.allowed_overage)
            self.limiters[service] = limiter
            if self._predecessor_active_until is not None:
                limiter.assume_exhausted(self._predecessor_active_until)
        return limiter

    def restore(self, service: str, engine: Engine, load_times: Iterable[float]) -> None:
        """Replaces the assumption about the predecessor's loads by their known start times."""
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

        Loads that wait for an eviction do not use the store yet. Therefore the loads that are in progress or
        wait for an eviction may be up to twice the maximum number of concurrent loads.
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

    The load is counted at the time at which its order is sent, and is withdrawn if the worker rejects the
    order. If an evicted model is still in use, this may be long after the load was planned.
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
        """Withdraws the load, since the worker rejected its order."""
        self.rate_limiter.withdraw(self.acquired_at)
        self.worker.is_loading_from_store = False
