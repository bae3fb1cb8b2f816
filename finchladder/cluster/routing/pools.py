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
from finchladder.core.dispatch.choice import choose_of_pair, first_accepting
from finchladder.core.dispatch.hash_ring import Ring, key_hashes, ring_points

FULL_VIEW = 16  # so many dispatchers may all compare all workers of a pool
LEAST_COMPARED = 3
KEYED_WAIT_S = 0.1
FAR_COMPARED = 1  # at least so many of them are of another zone
MOST_RANKS = 4096  # kept, of workers that there were
ZONE_LOAD = 0.5  # requests by which a worker of another zone counts as more loaded: decides between equals
RUNNING_LOAD = 0.02  # of a request's load that remains once its prompt is read: decides between equals
TOLD_AGE_S = 0.2  # so old is what the others have in flight when a dispatcher is told of it
WORKED_OFF = 0.7  # of what an engine can read in a time it gets on with so much: new prompts come meanwhile


@define(eq=False)
class Backend:
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
    own: float = 0.0
    others: float = 0.0
    heard_at: float = 0.0
    rests_until: float = 0.0
    failures: int = 0
    absent: dict[str, float] = field(factory=dict)  # until when a model or adapter is known not to be there

    def add(self, load: float) -> None:
        """So much has been sent to it, or is over, where it is negative."""
        self.own += load
        self.load += load

    def hear(self, now: float, others: float) -> None:
        """The other dispatchers have so much in flight there."""
        self.others, self.heard_at = others, now
        self.load = self.own + others

    def work_off(self, now: float, read_s: float) -> None:
        """Takes off what an engine has read since the others told of it; `read_s`: of a token, 0: unknown."""
        if read_s and self.others:
            age_s = now - self.heard_at + TOLD_AGE_S
            self.load = self.own + max(0.0, self.others - WORKED_OFF * age_s / read_s)

    def usable(self, now: float, key: str) -> bool:
        """Whether it may get requests of that key at all."""
        return now >= self.rests_until and now >= self.absent.get(key, 0.0)


@define
class Chooser:
    """How this dispatcher, `name`, chooses. `keyed_share`: of a worker's slots, up to which a key's two
    candidates are preferred; `keyed_wait_s`: the same at engines, as the time that they read; `dispatchers`:
    how many choose at once.
    """

    name: str
    zone: str
    keyed_share: float
    random: Random = field(factory=Random, eq=False)
    dispatchers: int = 1
    keyed_wait_s: float = KEYED_WAIT_S
    _ranks: dict[str, bytes] = field(factory=dict)  # by worker instance

    @property
    def salt(self) -> str:
        """What makes the two candidates of a key this dispatcher's own, where there are many."""
        return self.name if self.dispatchers > FULL_VIEW else ""

    def limit(self, backend: Backend, request: "Sized") -> float:
        """The load from which a candidate gets no more of its key's requests."""
        if not request.read_s:
            return self.keyed_share * backend.slots * request.load
        return self.keyed_wait_s / request.read_s

    def compared(self, able: Sequence[Backend], request: "Sized") -> list[Backend]:
        """Those of which the least loaded is taken, in the order of their loads."""
        far = ZONE_LOAD * request.load
        return sorted(self._subset(able), key=lambda b: b.load + (far if b.zone != self.zone else 0.0))

    def _subset(self, able: Sequence[Backend]) -> Sequence[Backend]:
        count = max(LEAST_COMPARED, ceil(len(able) * FULL_VIEW / max(1, self.dispatchers)))
        if count >= len(able):
            return able
        ranked = sorted(able, key=self._rank)
        near = [b for b in ranked if b.zone == self.zone][: count - FAR_COMPARED]
        far = [b for b in ranked if b.zone != self.zone]
        return near + far[: count - len(near)]

    def _rank(self, backend: Backend) -> bytes:
        rank = self._ranks.get(backend.instance)
        if rank is None:
            if len(self._ranks) >= MOST_RANKS:
                self._ranks.clear()
            rank = blake2b(f"{self.name} {backend.instance}".encode(), digest_size=8).digest()
            self._ranks[backend.instance] = rank
        return rank


@frozen
class Sized:
    """What a request adds to a worker's load, and how long an engine reads at a token; 0: not known, or there
    is no engine.
    """

    load: float = 1.0
    read_s: float = 0.0


ONE_REQUEST = Sized()


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
        self._pairs: dict[str, tuple[Backend, ...]] = {}

    def pair(self, salt: str = "") -> tuple[Backend, ...]:
        """The key's two candidates, for dispatchers with that salt; fewer where there are no two."""
        found = self._pairs.get(salt)
        if found is None:
            found = self._pairs[salt] = self._owners(salt) if self.name and self.backends else ()
        return found

    def _owners(self, salt: str) -> tuple[Backend, ...]:
        key = int.from_bytes((salt + self.name).encode(), "big")
        owners: list[Backend] = []
        for number, point in enumerate(key_hashes(key)):
            ring: Ring[Backend] = Ring()
            for backend in self.backends:
                ring.add(backend, ring_points(backend.instance, number))
            owner = ring.owner(point)
            if owner not in owners:
                owners.append(owner)
        return tuple(owners)

    def choose(
        self, now: float, chooser: Chooser, avoid: frozenset[str], request: Sized = ONE_REQUEST
    ) -> Backend | None:
        """The worker for the next request; `avoid`: instances that it was already sent to."""
        for backend in self.backends:
            backend.work_off(now, request.read_s)

        def able(backend: Backend) -> bool:
            return backend.usable(now, self.name) and backend.instance not in avoid

        def takes(backend: Backend) -> bool:
            return backend.load < chooser.limit(backend, request) and able(backend)

        chosen = choose_of_pair(self.pair(chooser.salt), takes)
        if chosen is None:
            chosen, _ = first_accepting(
                chooser.compared([b for b in self.backends if able(b)], request), able
            )
        return chosen


@define(frozen=True)
class Holder:
    """A worker that may be sent to, and what may be used there."""

    backend: Backend
    holdings: tuple[LoadedModel, ...] = ()

    def keys(self) -> Iterable[PoolKey]:
        """Of the pools that it is in."""
        service = self.backend.service
        yield PoolKey(service, "", "")
        for holding in self.holdings:
            for adapter in ("", *holding.adapters):
                yield PoolKey(service, holding.model, adapter)


@frozen
class LoadUnderWay:
    """What is being loaded, and when it will be there: seconds of the steady clock."""

    key: PoolKey
    ready_at: float


@frozen
class Pools:
    """All pools of one moment. A change makes another one, which shares what has not changed; a pool is built
    when it is first asked for. `pending_loads`: what is being loaded, and when it will be there in seconds of
    the steady clock.
    """

    holders: Mapping[str, Holder] = field(factory=dict)  # by instance
    pending_loads: Mapping[PoolKey, float] = field(factory=dict)
    _members: dict[PoolKey, dict[str, Backend]] = field(factory=dict)
    _pools: dict[PoolKey, Pool] = field(factory=dict)

    def changed(
        self, news: Mapping[str, Holder | None], pending_loads: Iterable[LoadUnderWay] = ()
    ) -> "Pools":
        """With the workers that have come, changed or gone (None). O(what changed and the number of keys)."""
        holders, members, pools = dict(self.holders), dict(self._members), dict(self._pools)
        for instance, holder in news.items():
            before = holders.pop(instance, None)
            if holder is not None:
                holders[instance] = holder
            old = set(before.keys()) if before is not None else set()
            new = set(holder.keys()) if holder is not None else set()
            for key in old | new if _backend_of(before) is not _backend_of(holder) else old ^ new:
                others = {i: b for i, b in members.get(key, {}).items() if i != instance}
                members[key] = (
                    others if holder is None or key not in new else others | {instance: holder.backend}
                )
                pools.pop(key, None)
        earliest: dict[PoolKey, float] = {}
        for load in pending_loads:
            earliest[load.key] = min(load.ready_at, earliest.get(load.key, load.ready_at))
        return Pools(holders, earliest, members, pools)

    def hear_loads(self, now: float, others: Mapping[str, int]) -> None:
        """What the other dispatchers have in flight at each worker; 0 where nothing is said."""
        for instance, holder in self.holders.items():
            holder.backend.hear(now, others.get(instance, 0))

    def own_loads(self) -> dict[str, int]:
        """What the own requests add to workers' loads by instance, where there are any."""
        backends = (holder.backend for holder in self.holders.values())
        return {b.instance: round(b.own) for b in backends if b.own >= 1}

    def ready_at(self, key: PoolKey) -> float | None:
        """When somebody will hold what the key needs; None if nobody loads it."""
        found = self.pending_loads.get(key)
        if found is None and key.adapter:
            found = self.pending_loads.get(PoolKey(key.service, key.model, ""))
        return found

    def pool(self, key: PoolKey) -> Pool:
        """Those that hold what the key needs; without a model all of the service."""
        found = self._pools.get(key)
        if found is None:
            found = self._pools[key] = Pool(key.name, self._members.get(key, {}).values())
        return found


def effective_holdings(worker: WorkerRecord, placement: PlacementRecord | None) -> tuple[LoadedModel, ...]:
    """What may be used at a worker: as the placer says; without its word, as the worker says itself."""
    return worker.loaded_models if placement is None else placement.usable_models


def holder_of(
    worker: WorkerRecord | None, placement: PlacementRecord | None, known: Holder | None
) -> Holder | None:
    """What the tables say of a worker; None unless it is ready. Known ones keep their loads."""
    if worker is None or worker.phase is not SessionPhase.READY:
        return None
    if known is not None:
        backend = known.backend
    else:
        backend = Backend(worker.instance, worker.service, worker.address, worker.zone, worker.slots)
    return Holder(backend, effective_holdings(worker, placement))


def _backend_of(holder: Holder | None) -> Backend | None:
    return None if holder is None else holder.backend
