"""Sum of the slots in flight per worker over all dispatchers, with O(log n) datagrams per wave and sender.

Dissemination by doubling (Hensgen, Finkel, Manber 1988), used for a sum instead of a barrier. The members
form a ring in the order of their names. A(k) of a member is the sum of its own counts and those of its
2^k - 1 predecessors:

    A(0) = own counts             A(k + 1) = own A(k) + A(k) of the member 2^k positions before

so each member sends A(k) to the member 2^k positions after it. n is a sum of powers of two: the highest one
is covered by the own A; each lower one arrives as a `tail` from the member at the corresponding distance.
Levels are pipelined within a wave: a received part immediately triggers the next level, so the age of a sum
is one wave interval and the transit times, not one interval per level.

| fault | effect |
| --- | --- |
| a datagram is lost | the part of the previous wave is used, with its age; after MAX_PARTIAL_SUM_AGE_S none |
| a member has failed undetected | sums through it lack its parts; `members` counts the included ones |
| rings differ, as a change of members is not known to all | members may be counted twice or not at all |
| a network partition | each side forms its own ring, with its own sums |
| a datagram is late or duplicated | it counts if its wave is later than that of the stored part |

No rule depends on the counts being exact: they age, and their effect decays (loads.py). Memory: log2 n parts
of MAX_WORKERS_PER_PARTIAL_SUM counts each. Cost: O(log n x workers with slots in flight) per wave.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from finchladder.core.peers.messages import PartialSum

MAX_PARTIAL_SUM_AGE_S = 1.5
MAX_WORKERS_PER_PARTIAL_SUM = 160  # the busiest are kept: a part must fit into one datagram
TAIL_LEVEL_OFFSET = 32  # levels from here on are tails, with A(level - TAIL_LEVEL_OFFSET)
MIN_MEMBER_FRACTION = 0.5  # a total that includes a smaller fraction of the members is not used

Counts = Mapping[int, float]


class Total(NamedTuple):
    """Slots in flight of all included members, by worker number."""

    counts: dict[int, float]  # includes this dispatcher's own
    members: int  # number of included members
    age_s: float


class FleetSums:
    """Partial sums of the slots in flight that were sent and received in the current waves."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ring: list[str] = [name]
        self.position = 0
        self.own_counts: Counts = {}
        self.wave = 0
        self.wave_began_at = 0.0
        self.partial_sums: dict[int, tuple[PartialSum, float]] = {}  # by level, with the time of receipt
        self.last_received_wave: dict[tuple[str, int], int] = {}
        self.last_sent_wave: dict[int, int] = {}  # by level

    @property
    def top_level(self) -> int:
        return len(self.ring).bit_length() - 1

    def tails(self) -> list[tuple[int, int]]:
        """Returns (exponent, distance to the sender) of each lower power of two in the number of members."""
        found, n, offset = [], len(self.ring), 1 << self.top_level
        for k in range(self.top_level - 1, -1, -1):
            if n >> k & 1:
                found.append((k, offset))
                offset += 1 << k
        return found

    def begin_wave(self, now: float, members: Iterable[str], counts: Counts) -> list[tuple[str, PartialSum]]:
        """Starts a wave.

        Args:
            now: Current time, in seconds.
            members: Members that are considered alive.
            counts: Own slots in flight by worker number.

        Returns:
            The parts to send, with the names of their receivers.
        """
        ring = sorted({*members, self.name})
        if ring != self.ring:
            self.ring, self.position = ring, ring.index(self.name)
            ring_names = set(ring)
            self.last_received_wave = {k: v for k, v in self.last_received_wave.items() if k[0] in ring_names}
            levels = {*range(self.top_level), *(TAIL_LEVEL_OFFSET + k for k, _ in self.tails())}
            self.partial_sums = {n: p for n, p in self.partial_sums.items() if n in levels}
        self.own_counts, self.wave_began_at = counts, now
        self.wave += 1
        partial_sums = self._sums_to_send(now, 0)
        # levels that the previous wave did not send, as their input was missing, are sent without it
        for level in range(1, self.top_level):
            if self.last_sent_wave.get(level, -1) < self.wave - 1:
                partial_sums += self._sums_to_send(now, level)
        for k, _ in self.tails():
            if k and self.last_sent_wave.get(TAIL_LEVEL_OFFSET + k, -1) < self.wave - 1:
                partial_sums += self._sums_to_send(now, TAIL_LEVEL_OFFSET + k)
        return partial_sums

    def receive(self, now: float, sender: str, partial_sum: PartialSum) -> list[tuple[str, PartialSum]]:
        """Stores a received part, and returns the parts of the next level that it triggers."""
        level = partial_sum.level
        if level not in range(self.top_level) and level - TAIL_LEVEL_OFFSET not in [
            k for k, _ in self.tails()
        ]:
            return []
        if self.last_received_wave.get((sender, level), -1) >= partial_sum.wave:
            return []
        if len(self.last_received_wave) < 4 * 64:
            self.last_received_wave[sender, level] = partial_sum.wave
        self.partial_sums[level] = partial_sum, now
        if level >= TAIL_LEVEL_OFFSET:
            return []
        partial_sums: list[tuple[str, PartialSum]] = []
        if level + 1 < self.top_level and self.last_sent_wave.get(level + 1, -1) < self.wave:
            partial_sums += self._sums_to_send(now, level + 1)
        if (
            level + 1 in [k for k, _ in self.tails()]
            and self.last_sent_wave.get(TAIL_LEVEL_OFFSET + level + 1, -1) < self.wave
        ):
            partial_sums += self._sums_to_send(now, TAIL_LEVEL_OFFSET + level + 1)
        return partial_sums

    def total(self, now: float) -> Total | None:
        """Returns the total over all members, or None if it includes too few of them."""
        own_sum = self._sum(now, self.top_level)
        members, counts, ages = own_sum.members, dict(own_sum.counts), own_sum.age_s * own_sum.members
        for k, _ in self.tails():
            if (partial_sum := self._current_partial_sum(now, TAIL_LEVEL_OFFSET + k)) is not None:
                members += partial_sum.members
                ages += partial_sum.age_s * partial_sum.members
                for n, count in partial_sum.counts:
                    counts[n] = counts.get(n, 0.0) + count
        if members < 2 or members < MIN_MEMBER_FRACTION * len(self.ring):
            return None
        return Total(counts, members, ages / members)

    def _current_partial_sum(self, now: float, level: int) -> PartialSum | None:
        found = self.partial_sums.get(level)
        if found is None or now - found[1] + found[0].age_s > MAX_PARTIAL_SUM_AGE_S:
            return None
        partial_sum, received_at = found
        return partial_sum._replace(age_s=partial_sum.age_s + now - received_at)

    def _sum(self, now: float, level: int) -> PartialSum:
        """Returns A(level) at `now` from the stored parts."""
        counts, members, ages = dict(self.own_counts), 1, now - self.wave_began_at
        for k in range(level):
            if (partial_sum := self._current_partial_sum(now, k)) is not None:
                members += partial_sum.members
                ages += partial_sum.age_s * partial_sum.members
                for n, count in partial_sum.counts:
                    counts[n] = counts.get(n, 0.0) + count
        busiest = sorted(counts.items(), key=lambda c: -c[1])[:MAX_WORKERS_PER_PARTIAL_SUM]
        return PartialSum(level, self.wave, members, ages / members, tuple(busiest))

    def _sums_to_send(self, now: float, level: int) -> list[tuple[str, PartialSum]]:
        n = len(self.ring)
        if n < 2:
            return []
        self.last_sent_wave[level] = self.wave
        partial_sums: list[tuple[str, PartialSum]] = []
        k = level - TAIL_LEVEL_OFFSET if level >= TAIL_LEVEL_OFFSET else level
        if level < TAIL_LEVEL_OFFSET and k < self.top_level:
            partial_sums.append(
                (self.ring[(self.position + (1 << k)) % n], self._sum(now, k)._replace(level=k))
            )
        if level >= TAIL_LEVEL_OFFSET or k == 0:  # the tail of level 0 depends on no received part
            for power, offset in self.tails():
                if power == k:
                    partial_sums.append(
                        (
                            self.ring[(self.position + offset) % n],
                            self._sum(now, k)._replace(level=TAIL_LEVEL_OFFSET + k),
                        )
                    )
                    self.last_sent_wave[TAIL_LEVEL_OFFSET + k] = self.wave
        return partial_sums
