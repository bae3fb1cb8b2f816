"""Pools of workers by what they hold, as the data plane sees them, and the choice of one of them.

The choice is the one of `finchladder.core`: of the key's two candidates the one with lower load, under the
threshold; else the least loaded of the pool. Whoever rests (it was full, or can't be reached) is passed over.

An engine reads one prompt after the other, so its load is what lies ahead of a new request there: the prompt
tokens that it has yet to read; elsewhere it is the requests in flight. Both are the own ones and those that
the other dispatchers last told of. As these are some hundred ms old, an engine has read on since: what it
reads in that time is taken off. Many dispatchers that all took the least loaded worker would take the same
one: so the more there are, the fewer workers each compares (deterministic subsetting; source: Beyer and
others, "Site Reliability Engineering", chapter 20), and each has two candidates of its own for a key. A
dispatcher's subset is ranked by a hash of both names, those of its own zone first, so that it stays the same
from request to request and over all models, and connections are used again.
"""

from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from math import ceil
from random import Random

from attrs import define, field, frozen

from finchladder.cluster.types.workers import LoadedModel, PlacementRecord, SessionPhase, WorkerRecord
from finchladder.core.dispatch.choice import overflow, winner
from finchladder.core.dispatch.hash_ring import Ring, key_hashes, ring_points

MAX_DISPATCHERS_COMPARING_ALL = 16  # so many dispatchers may all compare all workers of a pool
MIN_SUBSET_SIZE = 3
AFFINITY_QUEUE_S = 0.1
MIN_REMOTE_ZONE_WORKERS = 1  # at least so many of them are of another zone
MAX_CACHED_RANKS = 4096  # kept, of workers that there were
REMOTE_ZONE_PENALTY = (
    0.5  # requests by which a worker of another zone counts as more loaded: decides between equals
)
DECODE_LOAD_SHARE = 0.02  # of a request's load that remains once its prompt is read: decides between equals
PEER_LOAD_AGE_S = 0.2  # so old is what the others have in flight when a dispatcher is told of it
PREFILL_PROGRESS_SHARE = (
    0.7  # of what an engine can read in a time it gets on with so much: new prompts come meanwhile
)


@define(eq=False)
class Worker:
    """One worker incarnation at this dispatcher; only its loads and rests change. `load`: what lies ahead of
    a new request, of all dispatchers as far as known; `own`: that of this one, `others`: that of the others
    when they were heard of. In prompt tokens where a model is asked for, else in requests.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    load: float = 0.0
    own_load: float = 0.0
    peer_load: float = 0.0
    peer_load_received_at: float = 0.0
    backoff_until: float = 0.0
    consecutive_failures: int = 0
    key_backoff_until: dict[str, float] = field(
        factory=dict
    )  # until when a model or adapter is known not to be there

    def add_load(self, load: float) -> None:
        """So much has been sent to it, or is over, where it is negative."""
        self.own_load += load
        self.load += load

    def set_peer_load(self, now: float, peer_load: float) -> None:
        """The other dispatchers have so much in flight there."""
        self.peer_load, self.peer_load_received_at = peer_load, now
        self.load = self.own_load + peer_load

    def decay_peer_load(self, now: float, prefill_s_per_token: float) -> None:
        """Takes off what an engine has read since the others told of it; `read_s`: of a token, 0: unknown."""
        if prefill_s_per_token and self.peer_load:
            age_s = now - self.peer_load_received_at + PEER_LOAD_AGE_S
            self.load = self.own_load + max(
                0.0, self.peer_load - PREFILL_PROGRESS_SHARE * age_s / prefill_s_per_token
            )

    def is_available(self, now: float, key: str) -> bool:
        """Whether it may get requests of that key at all."""
        return now >= self.backoff_until and now >= self.key_backoff_until.get(key, 0.0)


@define
class WorkerSelector:
    """How this dispatcher, `name`, chooses. `keyed_share`: of a worker's slots, up to which a key's two
    candidates are preferred; `keyed_wait_s`: the same at engines, as the time that they read; `dispatchers`:
    how many choose at once.
    """

    name: str
    zone: str
    affinity_slot_share: float
    random: Random = field(factory=Random, eq=False)
    dispatcher_count: int = 1
    affinity_queue_s: float = AFFINITY_QUEUE_S
    _ranks: dict[str, bytes] = field(factory=dict)  # by worker instance

    @property
    def candidate_salt(self) -> str:
        """What makes the two candidates of a key this dispatcher's own, where there are many."""
        return self.name if self.dispatcher_count > MAX_DISPATCHERS_COMPARING_ALL else ""

    def affinity_load_limit(self, worker: Worker, cost: "RequestCost") -> float:
        """The load from which a candidate gets no more of its key's requests."""
        if not cost.prefill_s_per_token:
            return self.affinity_slot_share * worker.slots * cost.load
        return self.affinity_queue_s / cost.prefill_s_per_token

    def subset_by_load(self, available: Sequence[Worker], cost: "RequestCost") -> list[Worker]:
        """Those of which the least loaded is taken, in the order of their loads."""
        far = REMOTE_ZONE_PENALTY * cost.load
        return sorted(self._subset(available), key=lambda b: b.load + (far if b.zone != self.zone else 0.0))

    def _subset(self, available: Sequence[Worker]) -> Sequence[Worker]:
        count = max(
            MIN_SUBSET_SIZE,
            ceil(len(available) * MAX_DISPATCHERS_COMPARING_ALL / max(1, self.dispatcher_count)),
        )
        if count >= len(available):
            return available
        ranked = sorted(available, key=self._rank)
        near = [b for b in ranked if b.zone == self.zone][: count - MIN_REMOTE_ZONE_WORKERS]
        far = [b for b in ranked if b.zone != self.zone]
        return near + far[: count - len(near)]

    def _rank(self, worker: Worker) -> bytes:
        rank = self._ranks.get(worker.instance)
        if rank is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            rank = blake2b(f"{self.name} {worker.instance}".encode(), digest_size=8).digest()
            self._ranks[worker.instance] = rank
        return rank


@frozen
class RequestCost:
    """What a request adds to a worker's load, and how long an engine reads at a token; 0: not known, or there
    is no engine.
    """

    load: float = 1.0
    prefill_s_per_token: float = 0.0


UNIT_COST = RequestCost()


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

    def __init__(self, name: str, workers: Iterable[Worker]) -> None:
        self.name = name
        self.workers = tuple(sorted(workers, key=lambda b: b.instance))
        self._candidates_by_salt: dict[str, tuple[Worker, ...]] = {}

    def candidates(self, salt: str = "") -> tuple[Worker, ...]:
        """The key's two candidates, for dispatchers with that salt; fewer where there are no two."""
        found = self._candidates_by_salt.get(salt)
        if found is None:
            found = self._candidates_by_salt[salt] = (
                self._hash_candidates(salt) if self.name and self.workers else ()
            )
        return found

    def _hash_candidates(self, salt: str) -> tuple[Worker, ...]:
        key = int.from_bytes((salt + self.name).encode(), "big")
        owners: list[Worker] = []
        for number, point in enumerate(key_hashes(key)):
            ring: Ring[Worker] = Ring()
            for backend in self.workers:
                ring.add(backend, ring_points(backend.instance, number))
            owner = ring.owner(point)
            if owner not in owners:
                owners.append(owner)
        return tuple(owners)

    def select(
        self, now: float, selector: WorkerSelector, excluded: frozenset[str], cost: RequestCost = UNIT_COST
    ) -> Worker | None:
        """The worker for the next request; `avoid`: instances that it was already sent to."""
        for backend in self.workers:
            backend.decay_peer_load(now, cost.prefill_s_per_token)

        def able(backend: Worker) -> bool:
            return backend.is_available(now, self.name) and backend.instance not in excluded

        def takes(backend: Worker) -> bool:
            return backend.load < selector.affinity_load_limit(backend, cost) and able(backend)

        chosen = winner(self.candidates(selector.candidate_salt), takes)
        if chosen is None:
            chosen, _ = overflow(selector.subset_by_load([b for b in self.workers if able(b)], cost), able)
        return chosen


@define(frozen=True)
class PoolMember:
    """A worker that may be sent to, and what may be used there."""

    worker: Worker
    usable_models: tuple[LoadedModel, ...] = ()

    def pool_keys(self) -> Iterable[PoolKey]:
        """Of the pools that it is in."""
        service = self.worker.service
        yield PoolKey(service, "", "")
        for holding in self.usable_models:
            for adapter in ("", *holding.adapters):
                yield PoolKey(service, holding.model, adapter)


@frozen
class ExpectedReplica:
    """What is being loaded, and when it will be there: seconds of the steady clock."""

    key: PoolKey
    ready_at: float


@frozen
class Pools:
    """All pools of one moment. A change makes another one, which shares what has not changed; a pool is built
    when it is first asked for. `pending_loads`: what is being loaded, and when it will be there in seconds of
    the steady clock.
    """

    members: Mapping[str, PoolMember] = field(factory=dict)  # by instance
    replica_ready_at: Mapping[PoolKey, float] = field(factory=dict)
    _workers_by_key: dict[PoolKey, dict[str, Worker]] = field(factory=dict)
    _pools: dict[PoolKey, Pool] = field(factory=dict)

    def with_changes(
        self, changes: Mapping[str, PoolMember | None], expected_replicas: Iterable[ExpectedReplica] = ()
    ) -> "Pools":
        """With the workers that have come, changed or gone (None). O(what changed and the number of keys)."""
        holders, members, pools = dict(self.members), dict(self._workers_by_key), dict(self._pools)
        for instance, holder in changes.items():
            before = holders.pop(instance, None)
            if holder is not None:
                holders[instance] = holder
            old = set(before.pool_keys()) if before is not None else set()
            new = set(holder.pool_keys()) if holder is not None else set()
            for key in old | new if _worker_of(before) is not _worker_of(holder) else old ^ new:
                others = {i: b for i, b in members.get(key, {}).items() if i != instance}
                members[key] = (
                    others if holder is None or key not in new else others | {instance: holder.worker}
                )
                pools.pop(key, None)
        earliest: dict[PoolKey, float] = {}
        for load in expected_replicas:
            earliest[load.key] = min(load.ready_at, earliest.get(load.key, load.ready_at))
        return Pools(holders, earliest, members, pools)

    def set_peer_loads(self, now: float, peer_loads: Mapping[str, int]) -> None:
        """What the other dispatchers have in flight at each worker; 0 where nothing is said."""
        for instance, holder in self.members.items():
            holder.worker.set_peer_load(now, peer_loads.get(instance, 0))

    def own_loads(self) -> dict[str, int]:
        """What the own requests add to workers' loads by instance, where there are any."""
        backends = (holder.worker for holder in self.members.values())
        return {b.instance: round(b.own_load) for b in backends if b.own_load >= 1}

    def ready_at(self, key: PoolKey) -> float | None:
        """When somebody will hold what the key needs; None if nobody loads it."""
        found = self.replica_ready_at.get(key)
        if found is None and key.adapter:
            found = self.replica_ready_at.get(PoolKey(key.service, key.model, ""))
        return found

    def pool(self, key: PoolKey) -> Pool:
        """Those that hold what the key needs; without a model all of the service."""
        found = self._pools.get(key)
        if found is None:
            found = self._pools[key] = Pool(key.name, self._workers_by_key.get(key, {}).values())
        return found


def usable_models(worker: WorkerRecord, placement: PlacementRecord | None) -> tuple[LoadedModel, ...]:
    """What may be used at a worker: as the placer says; without its word, as the worker says itself."""
    return worker.loaded_models if placement is None else placement.usable_models


def pool_member(
    record: WorkerRecord | None, placement: PlacementRecord | None, known_member: PoolMember | None
) -> PoolMember | None:
    """What the tables say of a worker; None unless it is ready. Known ones keep their loads."""
    if record is None or record.phase is not SessionPhase.READY:
        return None
    if known_member is not None:
        backend = known_member.worker
    else:
        backend = Worker(record.instance, record.service, record.address, record.zone, record.slots)
    return PoolMember(backend, usable_models(record, placement))


def _worker_of(member: PoolMember | None) -> Worker | None:
    return None if member is None else member.worker
