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

from finchladder.core.peers.messages import Part

STALE_S = 1.5
MOST_SERVERS = 160  # in one part, the busiest: it must fit into one datagram
TAIL = 32  # levels from here on are tails, of A(level - TAIL)
FEWEST = 0.5  # of the members in a sum, for it to be used

Counts = Mapping[int, float]


class Total(NamedTuple):
    counts: dict[int, float]  # of all members, oneself among them, as far as they are in it
    members: int
    age_s: float


class Sums:
    def __init__(self, own: str) -> None:
        self.own = own
        self.ring: list[str] = [own]
        self.at = 0
        self.mine: Counts = {}
        self.wave = 0
        self.begun = 0.0
        self.parts: dict[int, tuple[Part, float]] = {}  # by level, as heard: and when
        self.heard_wave: dict[tuple[str, int], int] = {}
        self.sent: dict[int, int] = {}  # by level: in which wave

    @property
    def top(self) -> int:
        return len(self.ring).bit_length() - 1

    def tails(self) -> list[tuple[int, int]]:
        """(power of two, how far before oneself) of each part of the sum beside the highest."""
        found, n, offset = [], len(self.ring), 1 << self.top
        for k in range(self.top - 1, -1, -1):
            if n >> k & 1:
                found.append((k, offset))
                offset += 1 << k
        return found

    def begin(self, now: float, members: Iterable[str], counts: Counts) -> list[tuple[str, Part]]:
        """A wave. `members`: those held alive; `counts`: own slots in flight by real server's number."""
        ring = sorted({*members, self.own})
        if ring != self.ring:
            self.ring, self.at = ring, ring.index(self.own)
            held = set(ring)
            self.heard_wave = {k: v for k, v in self.heard_wave.items() if k[0] in held}
            levels = {*range(self.top), *(TAIL + k for k, _ in self.tails())}
            self.parts = {n: p for n, p in self.parts.items() if n in levels}
        self.mine, self.begun = counts, now
        self.wave += 1
        told = self._tell(now, 0)
        # what did not come in the wave before is not waited for
        for level in range(1, self.top):
            if self.sent.get(level, -1) < self.wave - 1:
                told += self._tell(now, level)
        for k, _ in self.tails():
            if k and self.sent.get(TAIL + k, -1) < self.wave - 1:
                told += self._tell(now, TAIL + k)
        return told

    def hear(self, now: float, sender: str, part: Part) -> list[tuple[str, Part]]:
        """A part for this one's place in the ring, as the sender sees it; its next level goes on at once."""
        level = part.level
        if level not in range(self.top) and level - TAIL not in [k for k, _ in self.tails()]:
            return []
        if self.heard_wave.get((sender, level), -1) >= part.wave:
            return []
        if len(self.heard_wave) < 4 * 64:
            self.heard_wave[sender, level] = part.wave
        self.parts[level] = part, now
        if level >= TAIL:
            return []
        told: list[tuple[str, Part]] = []
        if level + 1 < self.top and self.sent.get(level + 1, -1) < self.wave:
            told += self._tell(now, level + 1)
        if level + 1 in [k for k, _ in self.tails()] and self.sent.get(TAIL + level + 1, -1) < self.wave:
            told += self._tell(now, TAIL + level + 1)
        return told

    def total(self, now: float) -> Total | None:
        """None: too few of the members are in it."""
        whole = self._sum(now, self.top)
        members, counts, ages = whole.members, dict(whole.counts), whole.age_s * whole.members
        for k, _ in self.tails():
            if (part := self._held(now, TAIL + k)) is not None:
                members += part.members
                ages += part.age_s * part.members
                for n, count in part.counts:
                    counts[n] = counts.get(n, 0.0) + count
        if members < 2 or members < FEWEST * len(self.ring):
            return None
        return Total(counts, members, ages / members)

    def _held(self, now: float, level: int) -> Part | None:
        found = self.parts.get(level)
        if found is None or now - found[1] + found[0].age_s > STALE_S:
            return None
        part, came = found
        return part._replace(age_s=part.age_s + now - came)

    def _sum(self, now: float, level: int) -> Part:
        """A(level) as of now, of what is held."""
        counts, members, ages = dict(self.mine), 1, now - self.begun
        for k in range(level):
            if (part := self._held(now, k)) is not None:
                members += part.members
                ages += part.age_s * part.members
                for n, count in part.counts:
                    counts[n] = counts.get(n, 0.0) + count
        most = sorted(counts.items(), key=lambda c: -c[1])[:MOST_SERVERS]
        return Part(level, self.wave, members, ages / members, tuple(most))

    def _tell(self, now: float, level: int) -> list[tuple[str, Part]]:
        n = len(self.ring)
        if n < 2:
            return []
        self.sent[level] = self.wave
        told: list[tuple[str, Part]] = []
        k = level - TAIL if level >= TAIL else level
        if level < TAIL and k < self.top:
            told.append((self.ring[(self.at + (1 << k)) % n], self._sum(now, k)._replace(level=k)))
        if level >= TAIL or k == 0:  # a tail of one is known at once
            for power, offset in self.tails():
                if power == k:
                    told.append(
                        (self.ring[(self.at + offset) % n], self._sum(now, k)._replace(level=TAIL + k))
                    )
                    self.sent[TAIL + k] = self.wave
        return told
