"""Selects a worker from a pool by affinity, load and zone.

The algorithm is that of `finchladder.core.dispatch.choice`: it selects the less loaded of a key's two hash
candidates if the load is below the affinity limit, and otherwise the least loaded worker.

If many dispatchers compared all workers by the same load reports, they would select the same one. Therefore
each dispatcher compares fewer workers the more dispatchers there are (deterministic subsetting; source: Beyer
and others, "Site Reliability Engineering", chapter 20). If there are many dispatchers, each one also has its
own two hash candidates for a key. A subset consists of the workers with the lowest hashes of the dispatcher's
and the worker's name, mostly from the dispatcher's own zone. The hashes are the same for all requests and
models, so that connections are reused.
"""

from collections.abc import Sequence
from hashlib import blake2b
from math import ceil

from attrs import define, field

from finchladder.cluster.routing.workers import RequestCost, Worker

MAX_DISPATCHERS_COMPARING_ALL = 16  # with more dispatchers, each one compares a subset of a pool
MIN_SUBSET_SIZE = 3
MIN_REMOTE_ZONE_WORKERS = 1  # minimum number of workers of other zones in a subset
AFFINITY_SLOT_FRACTION = 0.2  # a candidate is preferred while a smaller fraction of its slots is in use
AFFINITY_QUEUE_S = 0.1  # a candidate is preferred while less prefill time is queued at it
REMOTE_ZONE_PENALTY = 0.5  # number of requests added to a load in another zone, to break ties
MAX_CACHED_RANKS = 4096


@define
class WorkerSelector:
    """Selection policy of one dispatcher.

    Attributes:
        name: Name of this dispatcher.
        affinity_slot_fraction: A key's hash candidate is preferred while a smaller fraction of its slots is
            in use; applies while prefill times are unknown.
        dispatcher_count: Number of dispatchers that select workers concurrently.
        affinity_queue_s: A key's hash candidate is preferred while less prefill time is queued at it.
    """

    name: str
    zone: str
    affinity_slot_fraction: float
    dispatcher_count: int = 1
    affinity_queue_s: float = AFFINITY_QUEUE_S
    _ranks: dict[str, bytes] = field(factory=dict)  # cached ranks by worker instance

    @property
    def candidate_salt(self) -> str:
        """Salt of the hash that selects candidates; differs between dispatchers only if there are many."""
        return self.name if self.dispatcher_count > MAX_DISPATCHERS_COMPARING_ALL else ""

    def affinity_load_limit(self, worker: Worker, cost: RequestCost) -> float:
        """Load from which on a hash candidate is no longer preferred to the least loaded worker."""
        if not cost.prefill_s_per_token:
            return self.affinity_slot_fraction * worker.slots * cost.load
        return self.affinity_queue_s / cost.prefill_s_per_token

    def subset_by_load(self, available: Sequence[Worker], cost: RequestCost) -> list[Worker]:
        """The workers that this dispatcher compares, in ascending order of load."""
        penalty = REMOTE_ZONE_PENALTY * cost.load

        def zone_weighted_load(worker: Worker) -> float:
            return worker.load + (penalty if worker.zone != self.zone else 0.0)

        return sorted(self._subset(available), key=zone_weighted_load)

    def _subset(self, available: Sequence[Worker]) -> Sequence[Worker]:
        proportional_size = len(available) * MAX_DISPATCHERS_COMPARING_ALL / max(1, self.dispatcher_count)
        size = max(MIN_SUBSET_SIZE, ceil(proportional_size))
        if size >= len(available):
            return available
        ranked = sorted(available, key=self._rank)
        local = [worker for worker in ranked if worker.zone == self.zone][: size - MIN_REMOTE_ZONE_WORKERS]
        remote = [worker for worker in ranked if worker.zone != self.zone]
        return local + remote[: size - len(local)]

    def _rank(self, worker: Worker) -> bytes:
        rank = self._ranks.get(worker.instance)
        if rank is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            rank = blake2b(f"{self.name} {worker.instance}".encode(), digest_size=8).digest()
            self._ranks[worker.instance] = rank
        return rank
