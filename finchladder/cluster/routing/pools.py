"""Pools of workers by what they hold, as the data plane sees them, and the choice of one of them.

The choice is the one of `finchladder.core`: of the key's two candidates the one with lower own load, under
the threshold; else the least loaded of the pool. Whoever rests (it was full, or can't be reached) is passed
over.
"""

from collections.abc import Iterable, Mapping, Sequence

from attrs import define, field

from finchladder.cluster.types.workers import Holding, Phase, PlacementRecord, WorkerRecord
from finchladder.core.choice import overflow, winner
from finchladder.core.rings import Ring, key_hashes, ring_points


@define(eq=False)
class Backend:
    """One worker incarnation at this dispatcher; only its load and rest change. `load`: own requests in
    flight.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    load: float = 0.0
    rests_until: float = 0.0
    failures: int = 0
    absent: dict[str, float] = field(factory=dict)  # until when a model or adapter is known not to be there

    def takes(self, now: float, key: str, threshold: float) -> bool:
        """Whether a request of that key may go there now."""
        return self.load < threshold and self.usable(now, key)

    def usable(self, now: float, key: str) -> bool:
        """Whether it may get requests of that key at all."""
        return now >= self.rests_until and now >= self.absent.get(key, 0.0)


@define(frozen=True)
class PoolKey:
    """What a request needs. `model` is empty for services without models."""

    service: str
    model: str
    adapter: str

    @property
    def name(self) -> str:
        """The one key of a request: its model, or its adapter of that model."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class Pool:
    """The ready workers that hold what a key needs. Immutable but for the loads of its workers."""

    def __init__(self, name: str, backends: Iterable[Backend]) -> None:
        self.name = name
        self.backends = tuple(sorted(backends, key=lambda b: b.instance))
        self.pair: tuple[Backend, ...] = self._owners() if name and self.backends else ()

    def _owners(self) -> tuple[Backend, ...]:
        key = int.from_bytes(self.name.encode(), "big")
        owners: list[Backend] = []
        for number, point in enumerate(key_hashes(key)):
            ring: Ring[Backend] = Ring()
            for backend in self.backends:
                ring.add(backend, ring_points(backend.instance, number))
            owner = ring.owner(point)
            if owner not in owners:
                owners.append(owner)
        return tuple(owners)

    def choose(self, now: float, zone: str, threshold: float, avoid: frozenset[str]) -> Backend | None:
        """The worker for the next request; `avoid`: instances that it was already sent to."""

        def takes(backend: Backend) -> bool:
            return backend.takes(now, self.name, threshold) and backend.instance not in avoid

        chosen = winner(self.pair, takes)
        if chosen is not None:
            return chosen
        by_load = sorted(self.backends, key=lambda b: (b.load, b.zone != zone))
        found, _ = overflow(by_load, lambda b: b.usable(now, self.name) and b.instance not in avoid)
        return found


class Pools:
    """All pools of one moment, made whole from the tables; built for a key when it is first asked for."""

    def __init__(
        self,
        backends: Mapping[str, Backend],
        holdings: Mapping[str, tuple[Holding, ...]],
        coming: Sequence[tuple[PoolKey, float]] = (),
    ) -> None:
        """`coming`: what is being loaded, and when it will be there in seconds of the steady clock."""
        self.backends = backends
        self._coming: dict[PoolKey, float] = {}
        for key, ready_at in coming:
            self._coming[key] = min(ready_at, self._coming.get(key, ready_at))
        self._by_service: dict[str, list[Backend]] = {}
        self._holders: dict[PoolKey, list[Backend]] = {}
        self._pools: dict[PoolKey, Pool] = {}
        for instance, backend in backends.items():
            self._by_service.setdefault(backend.service, []).append(backend)
            for holding in holdings.get(instance, ()):
                self._hold(backend, holding)

    def _hold(self, backend: Backend, holding: Holding) -> None:
        for adapter in ("", *holding.adapters):
            key = PoolKey(backend.service, holding.model, adapter)
            self._holders.setdefault(key, []).append(backend)

    def ready_at(self, key: PoolKey) -> float | None:
        """When somebody will hold what the key needs; None if nobody loads it."""
        found = self._coming.get(key)
        if found is None and key.adapter:
            found = self._coming.get(PoolKey(key.service, key.model, ""))
        return found

    def pool(self, key: PoolKey) -> Pool:
        """Those that hold what the key needs; without a model all of the service."""
        found = self._pools.get(key)
        if found is None:
            members = self._holders.get(key, []) if key.model else self._by_service.get(key.service, [])
            found = self._pools[key] = Pool(key.name, members)
        return found


def effective_holdings(worker: WorkerRecord, placement: PlacementRecord | None) -> tuple[Holding, ...]:
    """What may be used at a worker: as the placer says; without its word, as the worker says itself."""
    return worker.holdings if placement is None else placement.holdings


def refreshed(old: Mapping[str, Backend], workers: Iterable[WorkerRecord]) -> dict[str, Backend]:
    """Backends of the workers that are ready; those known before keep their loads."""
    backends: dict[str, Backend] = {}
    for worker in workers:
        if worker.phase is not Phase.READY:
            continue
        known = old.get(worker.instance)
        backends[worker.instance] = known or Backend(
            worker.instance, worker.service, worker.address, worker.zone, worker.slots
        )
    return backends
