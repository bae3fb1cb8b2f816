"""Told counts at the choice: ties of own loads go to who has least in flight for all dispatchers together.

It breaks ties and overrules nothing: a lower own load still wins, and t and the rules still bound. What was
told decays: with age the chances go back to those that are drawn by size, and after GONE_S nothing is left.

| what is known | chance of a worker among those whose own loads are alike |
| --- | --- |
| counts of all, told age_s ago | (size / (1 + in flight)) to the power of SHARP x (1 - age_s / GONE_S) |
| none, or older | as without peers (sizes.py) |

In flight is what was told for the others, and what oneself has there now. Of counts of a part of the members
the others' are taken to be alike. O(real servers that are told of) for each telling, O(1) for each look.
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
CROSS_ZONE_FACTOR = 1.5  # a crossing between zones counts as so many times the load


def worker_number(worker: str) -> int:
    """What stands for a real server in a datagram: 32 bits, the same at all."""
    return crc32(worker.encode())


def own_slots_in_flight(workers: Iterable[Worker]) -> dict[int, float]:
    """What oneself has in flight; two real servers of one number are counted together."""
    counts: dict[int, float] = {}
    for w in workers:
        if w.load > 0:
            n = worker_number(w.address)
            counts[n] = counts.get(n, 0.0) + w.load
    return counts


class PeerLoadCapacity(WorkerCapacity):
    """Takes the place of the decisions' Sizes."""

    __slots__ = ("peer_counts", "counted_at", "now", "number_cache")

    def __init__(self, before: WorkerCapacity) -> None:
        super().__init__(before.settings)
        self.peer_counts: dict[int, float] = {}
        self.counted_at = -MAX_COUNTS_AGE_S  # as of when the counts are, by the decisions' clock
        self.now = 0.0
        self.number_cache: dict[str, int] = {}

    @property
    def draws_ties(self) -> bool:
        return not self.settings.weights_report_load  # few dispatchers too: they hear of all

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
    """Has these decisions heed Held; without it they are as ever."""
    loads = PeerLoadCapacity(d.worker_load.learned_capacity)
    d.worker_load.learned_capacity = loads
    handle = d.handlers

    def heard(e: PeerLoads) -> None:
        loads.update_counts(d.now, e)

    handle[PeerLoads] = heard
    return loads
