"""Pools of ready workers by service, model and adapter."""

from collections.abc import Iterable, Mapping
from math import inf

from attrs import define, field, frozen

from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import UNIT_COST, RequestCost, Worker
from finchladder.cluster.types.workers import LoadedModel, PlacementRecord, SessionPhase, WorkerRecord
from finchladder.core.dispatch.choice import choose_from_pair, first_accepting
from finchladder.core.dispatch.hash_ring import Ring, key_hashes, ring_points


@define(frozen=True)
class PoolKey:
    """What a request requires of a worker; `model` is empty for services without models."""

    service: str
    model: str
    adapter: str

    @property
    def name(self) -> str:
        """Model name, followed by `/` and the adapter name if there is one; empty without a model."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class Pool:
    """Ready workers that can serve a pool key; immutable except for the state of the workers."""

    def __init__(self, name: str, workers: Iterable[Worker]) -> None:
        """Sorts the workers by instance; `name` is the name of the pool key."""
        self.name = name
        self.workers = tuple(sorted(workers, key=lambda worker: worker.instance))
        self._candidates_by_salt: dict[str, tuple[Worker, ...]] = {}

    def candidates(self, salt: str = "") -> tuple[Worker, ...]:
        """The two workers that hashing prefers for the key; fewer in small pools, none without a model."""
        candidates = self._candidates_by_salt.get(salt)
        if candidates is None:
            candidates = self._hash_candidates(salt) if self.name and self.workers else ()
            self._candidates_by_salt[salt] = candidates
        return candidates

    def _hash_candidates(self, salt: str) -> tuple[Worker, ...]:
        key = int.from_bytes((salt + self.name).encode(), "big")
        owners: list[Worker] = []
        for ring_index, point in enumerate(key_hashes(key)):
            ring: Ring[Worker] = Ring()
            for worker in self.workers:
                ring.add(worker, ring_points(worker.instance, ring_index))
            owner = ring.owner(point)
            if owner not in owners:
                owners.append(owner)
        return tuple(owners)

    def available_at(self, excluded: frozenset[str] = frozenset()) -> float:
        """Time at which the first worker that is not excluded is available; infinite without any."""
        return min(
            (worker.available_at(self.name) for worker in self.workers if worker.instance not in excluded),
            default=inf,
        )

    def select(
        self, now: float, selector: WorkerSelector, excluded: frozenset[str], cost: RequestCost = UNIT_COST
    ) -> Worker | None:
        """Selects the worker for a request; None if no worker is available. O(workers of the pool).

        Args:
            now: Current monotonic time in seconds.
            selector: Selection policy of the dispatcher.
            excluded: Instances to which the request was already sent.
            cost: Load that the request adds.
        """
        for worker in self.workers:
            worker.decay_peer_load(now, cost.prefill_s_per_token)

        def is_eligible(worker: Worker) -> bool:
            return worker.is_available(now, self.name) and worker.instance not in excluded

        def is_below_affinity_limit(worker: Worker) -> bool:
            return worker.load < selector.affinity_load_limit(worker, cost) and is_eligible(worker)

        selected = choose_from_pair(self.candidates(selector.candidate_salt), is_below_affinity_limit)
        if selected is None:
            eligible = [worker for worker in self.workers if is_eligible(worker)]
            selected, _ = first_accepting(selector.subset_by_load(eligible, cost), is_eligible)
        return selected


@define(frozen=True)
class PoolMember:
    """A ready worker with the models and adapters that requests may use at it."""

    worker: Worker
    usable_models: tuple[LoadedModel, ...] = ()

    def pool_keys(self) -> Iterable[PoolKey]:
        """Keys of all pools to which the worker belongs."""
        service = self.worker.service
        yield PoolKey(service, "", "")
        for loaded in self.usable_models:
            for adapter in ("", *loaded.adapters):
                yield PoolKey(service, loaded.model, adapter)


@frozen
class ExpectedReplica:
    """A model or adapter that is being loaded, and the expected end of the load (monotonic seconds)."""

    key: PoolKey
    ready_at: float


@frozen
class Pools:
    """Immutable set of all pools.

    A change creates a new object that shares all unchanged pools. A pool is built at its first use.

    Attributes:
        members: Ready workers by instance.
        replica_ready_at: Expected end of the load in progress that ends first, by key (monotonic seconds).
    """

    members: Mapping[str, PoolMember] = field(factory=dict)
    replica_ready_at: Mapping[PoolKey, float] = field(factory=dict)
    _workers_by_key: dict[PoolKey, dict[str, Worker]] = field(factory=dict)
    _pools: dict[PoolKey, Pool] = field(factory=dict)

    def with_changes(
        self, changes: Mapping[str, PoolMember | None], expected_replicas: Iterable[ExpectedReplica] = ()
    ) -> "Pools":
        """Returns the pools after workers were added, changed or removed (None). O(changes + keys)."""
        members = dict(self.members)
        workers_by_key = dict(self._workers_by_key)
        pools = dict(self._pools)
        for instance, member in changes.items():
            previous = members.pop(instance, None)
            if member is not None:
                members[instance] = member
            old_keys = _pool_keys(previous)
            new_keys = _pool_keys(member)
            is_same_worker = _worker_of(previous) is _worker_of(member)
            for key in old_keys ^ new_keys if is_same_worker else old_keys | new_keys:
                workers = {i: worker for i, worker in workers_by_key.get(key, {}).items() if i != instance}
                if member is not None and key in new_keys:
                    workers[instance] = member.worker
                workers_by_key[key] = workers
                pools.pop(key, None)
        return Pools(members, _earliest_ready_at(expected_replicas), workers_by_key, pools)

    def set_peer_loads(self, now: float, peer_loads: Mapping[str, int]) -> None:
        """Records the load of other dispatchers' requests by instance; it is 0 for instances not listed."""
        for instance, member in self.members.items():
            member.worker.set_peer_load(now, peer_loads.get(instance, 0))

    def own_loads(self) -> dict[str, int]:
        """Load of this dispatcher's requests by instance, without workers whose load is below 1."""
        workers = (member.worker for member in self.members.values())
        return {worker.instance: round(worker.own_load) for worker in workers if worker.own_load >= 1}

    def ready_at(self, key: PoolKey) -> float | None:
        """Time at which a replica that is being loaded is expected to be usable; None if there is none.

        An adapter for which no load is in progress gets the time of its base model.
        """
        ready_at = self.replica_ready_at.get(key)
        if ready_at is None and key.adapter:
            ready_at = self.replica_ready_at.get(PoolKey(key.service, key.model, ""))
        return ready_at

    def pool(self, key: PoolKey) -> Pool:
        """The pool of workers that can serve the key; without a model all workers of the service."""
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(key.name, self._workers_by_key.get(key, {}).values())
        return pool


def _pool_keys(member: PoolMember | None) -> set[PoolKey]:
    return set() if member is None else set(member.pool_keys())


def _worker_of(member: PoolMember | None) -> Worker | None:
    return None if member is None else member.worker


def _earliest_ready_at(expected_replicas: Iterable[ExpectedReplica]) -> dict[PoolKey, float]:
    earliest: dict[PoolKey, float] = {}
    for replica in expected_replicas:
        earliest[replica.key] = min(replica.ready_at, earliest.get(replica.key, replica.ready_at))
    return earliest


def usable_models(worker: WorkerRecord, placement: PlacementRecord | None) -> tuple[LoadedModel, ...]:
    """Models that requests may use at a worker: by the placer's record, or without one by its heartbeat."""
    return worker.loaded_models if placement is None else placement.usable_models


def pool_member(
    record: WorkerRecord | None, placement: PlacementRecord | None, known_member: PoolMember | None
) -> PoolMember | None:
    """The pool member for a worker; None unless it is ready. A known member keeps its load and backoff."""
    if record is None or record.phase is not SessionPhase.READY:
        return None
    if known_member is not None:
        worker = known_member.worker
    else:
        worker = Worker(record.instance, record.service, record.address, record.zone, record.slots)
    return PoolMember(worker, usable_models(record, placement))
