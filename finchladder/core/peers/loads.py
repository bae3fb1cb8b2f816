"""Breaks ties between workers of equal own load by the slots in flight of all dispatchers.

The counts of all dispatchers only break ties: a lower own load still wins, and the limits and rules of the
dispatcher still apply. Counts decay: with age the probabilities return to those drawn by capacity, and after
MAX_COUNTS_AGE_S the counts have no effect.

| known | weight of a worker among those with equal own loads |
| --- | --- |
| counts of age age_s | (capacity / (1 + in flight)) ^ (LOAD_EXPONENT x (1 - age_s / MAX_COUNTS_AGE_S)) |
| no counts, or older ones | as without peers (worker_capacity.py) |

In flight is the sum of the peers' reported counts and the own current load. If only some of the members
reported, the load of the others is assumed to be distributed alike. An update costs O(reported workers), a
look-up O(1).
"""

from collections.abc import Iterable, Sequence
from random import Random
from zlib import crc32

from finchladder.core.api import PeerLoads
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.core.dispatch.records import Worker
from finchladder.core.dispatch.worker_capacity import KeyShares, WorkerCapacity, weighted_choice

LOAD_EXPONENT = 8.0
MAX_COUNTS_AGE_S = 3.0
CROSS_ZONE_FACTOR = 1.5  # a worker in another zone counts as this multiple of its load


def worker_number(worker: str) -> int:
    """Returns the 32-bit number that represents a worker in datagrams; it is equal at all dispatchers."""
    return crc32(worker.encode())


def own_slots_in_flight(workers: Iterable[Worker]) -> dict[int, float]:
    """Returns the own slots in flight by worker number; workers whose numbers collide are added up."""
    counts: dict[int, float] = {}
    for w in workers:
        if w.load > 0:
            n = worker_number(w.address)
            counts[n] = counts.get(n, 0.0) + w.load
    return counts


class PeerLoadCapacity(WorkerCapacity):
    """Worker capacities that also break ties by the load of the whole fleet."""

    __slots__ = ("peer_counts", "counted_at", "now", "number_cache")

    def __init__(self, before: WorkerCapacity) -> None:
        super().__init__(before.settings)
        self.peer_counts: dict[int, float] = {}
        self.counted_at = -MAX_COUNTS_AGE_S  # when the counts were valid, on the dispatcher's clock
        self.now = 0.0
        self.number_cache: dict[str, int] = {}

    @property
    def breaks_ties_at_random(self) -> bool:
        return (
            not self.settings.weights_report_load
        )  # also with few dispatchers, as each receives the counts of all

    def update_counts(self, now: float, e: PeerLoads) -> None:
        self.peer_counts, self.counted_at, self.now = e.slots_in_flight, now - e.age_s, now

    def draw(self, able: Sequence[Worker], random: Random, homes: KeyShares | None = None) -> Worker:
        fresh = 1 - (self.now - self.counted_at) / MAX_COUNTS_AGE_S
        if fresh <= 0 or len(able) == 1:
            return super().draw(able, random, homes)
        chances = []
        for w in able:
            load = 1.0 + w.load + self.peer_counts.get(self._number(w.address), 0.0)
            if w.zone != self.settings.zone:
                load *= CROSS_ZONE_FACTOR
            chances.append((self.capacity_of(w) / load) ** (LOAD_EXPONENT * fresh))
        return weighted_choice(able, chances, random)

    def _number(self, worker: str) -> int:
        found = self.number_cache.get(worker)
        if found is None:
            if len(self.number_cache) > 1 << 16:
                self.number_cache.clear()
            found = self.number_cache[worker] = worker_number(worker)
        return found


def attach(d: Dispatcher) -> PeerLoadCapacity:
    """Makes a dispatcher use the counts of `PeerLoads` events; without this call it ignores them."""
    loads = PeerLoadCapacity(d.worker_load.learned_capacity)
    d.worker_load.learned_capacity = loads
    handlers = d.handlers

    def record_counts(e: PeerLoads) -> None:
        loads.update_counts(d.now, e)

    handlers[PeerLoads] = record_counts
    return loads
