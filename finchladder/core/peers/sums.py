"""What all dispatchers have in flight at each real server, in O(log n) datagrams a round from each of them.

Dissemination by doubling (Hensgen, Finkel, Manber 1988), as a sum in place of a barrier. Members stand in a
ring by name. A(k) of one is the sum of its own counts and those of the 2^k - 1 before it:

    A(0) = own counts             A(k + 1) = own A(k) + A(k) of the one 2^k places before

so each tells A(k) to the one 2^k places after it. n is a sum of powers of two: the highest is one's own A,
each lower one is told as a `tail` by the one that stands so far before. A round is a wave: what comes in at
a level sends the next level out at once, so a sum is as old as the round and the way, not as all rounds.

| what goes wrong | what follows |
| --- | --- |
| a datagram is lost | the part of the round before is used, its age with it; after STALE_S none |
| one is gone, and not known to be | sums that go through it lack its part: `members` says of how many |
| rings differ, as not all have heard of a member | some are in a sum twice or not at all, for as long |
| a split | each part's ring closes, and its sums are its own |
| one comes late or twice | it counts if it is of a later wave than the one held |

No rule rests on a count: it ages, and decays to what one knows oneself (loads.py). Memory: log2 n parts, each
of MOST_SERVERS counts. Costs: a wave O(log n x real servers with anything in flight).
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from finchladder.core.peers.messages import PartialSum

MAX_PART_AGE_S = 1.5
MAX_WORKERS_PER_PART = 160  # in one part, the busiest: it must fit into one datagram
TAIL_LEVEL_OFFSET = 32  # levels from here on are tails, of A(level - TAIL)
MIN_MEMBER_SHARE = 0.5  # of the members in a sum, for it to be used

Counts = Mapping[int, float]


class Total(NamedTuple):
    counts: dict[int, float]  # of all members, oneself among them, as far as they are in it
    members: int
    age_s: float


class FleetSums:
    def __init__(self, name: str) -> None:
        self.name = name
        self.ring: list[str] = [name]
        self.position = 0
        self.own_counts: Counts = {}
        self.wave = 0
        self.wave_began_at = 0.0
        self.parts: dict[int, tuple[PartialSum, float]] = {}  # by level, as heard: and when
        self.last_received_wave: dict[tuple[str, int], int] = {}
        self.last_sent_wave: dict[int, int] = {}  # by level: in which wave

    @property
    def top_level(self) -> int:
        return len(self.ring).bit_length() - 1

    def tails(self) -> list[tuple[int, int]]:
        """(power of two, how far before oneself) of each part of the sum beside the highest."""
        found, n, offset = [], len(self.ring), 1 << self.top_level
        for k in range(self.top_level - 1, -1, -1):
            if n >> k & 1:
                found.append((k, offset))
                offset += 1 << k
        return found

    def begin_wave(self, now: float, members: Iterable[str], counts: Counts) -> list[tuple[str, PartialSum]]:
        """A wave. `members`: those held alive; `counts`: own slots in flight by real server's number."""
        ring = sorted({*members, self.name})
        if ring != self.ring:
            self.ring, self.position = ring, ring.index(self.name)
            held = set(ring)
            self.last_received_wave = {k: v for k, v in self.last_received_wave.items() if k[0] in held}
            levels = {*range(self.top_level), *(TAIL_LEVEL_OFFSET + k for k, _ in self.tails())}
            self.parts = {n: p for n, p in self.parts.items() if n in levels}
        self.own_counts, self.wave_began_at = counts, now
        self.wave += 1
        told = self._parts_to_send(now, 0)
        # what did not come in the wave before is not waited for
        for level in range(1, self.top_level):
            if self.last_sent_wave.get(level, -1) < self.wave - 1:
                told += self._parts_to_send(now, level)
        for k, _ in self.tails():
            if k and self.last_sent_wave.get(TAIL_LEVEL_OFFSET + k, -1) < self.wave - 1:
                told += self._parts_to_send(now, TAIL_LEVEL_OFFSET + k)
        return told

    def receive(self, now: float, sender: str, part: PartialSum) -> list[tuple[str, PartialSum]]:
        """A part for this one's place in the ring, as the sender sees it; its next level goes on at once."""
        level = part.level
        if level not in range(self.top_level) and level - TAIL_LEVEL_OFFSET not in [
            k for k, _ in self.tails()
        ]:
            return []
        if self.last_received_wave.get((sender, level), -1) >= part.wave:
            return []
        if len(self.last_received_wave) < 4 * 64:
            self.last_received_wave[sender, level] = part.wave
        self.parts[level] = part, now
        if level >= TAIL_LEVEL_OFFSET:
            return []
        told: list[tuple[str, PartialSum]] = []
        if level + 1 < self.top_level and self.last_sent_wave.get(level + 1, -1) < self.wave:
            told += self._parts_to_send(now, level + 1)
        if (
            level + 1 in [k for k, _ in self.tails()]
            and self.last_sent_wave.get(TAIL_LEVEL_OFFSET + level + 1, -1) < self.wave
        ):
            told += self._parts_to_send(now, TAIL_LEVEL_OFFSET + level + 1)
        return told

    def total(self, now: float) -> Total | None:
        """None: too few of the members are in it."""
        whole = self._sum(now, self.top_level)
        members, counts, ages = whole.members, dict(whole.counts), whole.age_s * whole.members
        for k, _ in self.tails():
            if (part := self._current_part(now, TAIL_LEVEL_OFFSET + k)) is not None:
                members += part.members
                ages += part.age_s * part.members
                for n, count in part.counts:
                    counts[n] = counts.get(n, 0.0) + count
        if members < 2 or members < MIN_MEMBER_SHARE * len(self.ring):
            return None
        return Total(counts, members, ages / members)

    def _current_part(self, now: float, level: int) -> PartialSum | None:
        found = self.parts.get(level)
        if found is None or now - found[1] + found[0].age_s > MAX_PART_AGE_S:
            return None
        part, came = found
        return part._replace(age_s=part.age_s + now - came)

    def _sum(self, now: float, level: int) -> PartialSum:
        """A(level) as of now, of what is held."""
        counts, members, ages = dict(self.own_counts), 1, now - self.wave_began_at
        for k in range(level):
            if (part := self._current_part(now, k)) is not None:
                members += part.members
                ages += part.age_s * part.members
                for n, count in part.counts:
                    counts[n] = counts.get(n, 0.0) + count
        most = sorted(counts.items(), key=lambda c: -c[1])[:MAX_WORKERS_PER_PART]
        return PartialSum(level, self.wave, members, ages / members, tuple(most))

    def _parts_to_send(self, now: float, level: int) -> list[tuple[str, PartialSum]]:
        n = len(self.ring)
        if n < 2:
            return []
        self.last_sent_wave[level] = self.wave
        told: list[tuple[str, PartialSum]] = []
        k = level - TAIL_LEVEL_OFFSET if level >= TAIL_LEVEL_OFFSET else level
        if level < TAIL_LEVEL_OFFSET and k < self.top_level:
            told.append((self.ring[(self.position + (1 << k)) % n], self._sum(now, k)._replace(level=k)))
        if level >= TAIL_LEVEL_OFFSET or k == 0:  # a tail of one is known at once
            for power, offset in self.tails():
                if power == k:
                    told.append(
                        (
                            self.ring[(self.position + offset) % n],
                            self._sum(now, k)._replace(level=TAIL_LEVEL_OFFSET + k),
                        )
                    )
                    self.last_sent_wave[TAIL_LEVEL_OFFSET + k] = self.wave
        return told
