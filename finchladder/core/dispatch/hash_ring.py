"""Consistent-hash rings: the two hashes of a key, and the marks of those that may own it.

Used by the dispatcher's fleet index and by the system's pools of model workers.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Hashable, Iterator
from hashlib import blake2b
from sys import byteorder
from typing import Generic, TypeAlias, TypeVar

POINTS_PER_OWNER = 32  # ring marks a worker and hash: evens out the arcs of neighbours
ARC_BITS = 8  # a ring is cut into so many arcs (as a power of 2), each a sorted row of its own
ARC_SHIFT = 64 - ARC_BITS
RING_SIZE = 1 << 64  # a ring, all round

Owner = TypeVar("Owner", bound=Hashable)
Points: TypeAlias = "array[int]"  # 64-bit marks


def key_hashes(key: int) -> tuple[int, int]:
    digest = blake2b(b"%d" % key, digest_size=16).digest()
    return int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big")


def ring_points(address: str, ring: int) -> "array[int]":
    """Each point is 64 bits of a hash, the first byte highest."""
    points = array("Q")
    for n in range(POINTS_PER_OWNER // 8):
        points.frombytes(blake2b(f"{address}/{ring}/{n}".encode()).digest())
    if byteorder == "little":
        points.byteswap()
    return points


class Ring(Generic[Owner]):
    """One consistent-hash ring: in place of '% |W|', where a join or leave would move nearly every key.

    The same workers make the same ring, in whatever order they came. (But for two marks at one point, which
    stand as they came: at 10,000 workers one ring in 400 million has such a pair.)
    """

    __slots__ = ("arcs", "size", "owned_lengths")

    def __init__(self) -> None:
        # how much of the ring is each one's, in 2**-64 of it; kept from when it is first asked for
        self.owned_lengths: dict[Owner, int] | None = None
        self.arcs: list[tuple[array[int], list[Owner]]] = [(array("Q"), []) for _ in range(1 << ARC_BITS)]
        self.size = 0

    def add(self, w: Owner, points: "array[int]") -> None:
        for p in points:
            marks, owners = self.arcs[p >> ARC_SHIFT]
            at = bisect_left(marks, p)
            if self.owned_lengths is not None:
                part = RING_SIZE
                if self.size:  # it takes a part of what was the next one's
                    part = (p - self._point_before(p >> ARC_SHIFT, at)) % RING_SIZE
                    self.owned_lengths[owners[at] if at < len(owners) else next(self.owners_after(p))] -= part
                self.owned_lengths[w] = self.owned_lengths.get(w, 0) + part
            marks.insert(at, p)
            owners.insert(at, w)
            self.size += 1

    def remove(self, w: Owner, points: "array[int]") -> None:
        for p in points:
            marks, owners = self.arcs[p >> ARC_SHIFT]
            at = bisect_left(marks, p)
            while owners[at] is not w:  # two marks at one point
                at += 1
            part = (
                (p - self._point_before(p >> ARC_SHIFT, at)) % RING_SIZE
                if self.owned_lengths is not None
                else 0
            )
            del marks[at], owners[at]
            self.size -= 1
            if self.owned_lengths is not None and self.size:
                self.owned_lengths[owners[at] if at < len(owners) else next(self.owners_after(p))] += part
        if self.owned_lengths is not None:
            self.owned_lengths.pop(w, None)

    def _point_before(self, arc: int, at: int) -> int:
        """The mark that stands before place `at` of that arc; round the ring."""
        marks = self.arcs[arc][0]
        while not at:
            arc -= 1
            marks = self.arcs[arc][0]
            at = len(marks)
        return marks[at - 1]

    def key_share(self, w: Owner) -> float:
        """Its part of the keys over an even part; 1 where it is not on the ring. The first call O(marks)."""
        if self.owned_lengths is None:
            self.owned_lengths = {}
            marks = [mark for points, owners in self.arcs for mark in zip(points, owners, strict=True)]
            last = marks[-1][0] - RING_SIZE if marks else 0
            for p, owner in marks:
                self.owned_lengths[owner] = self.owned_lengths.get(owner, 0) + p - last
                last = p
        return self.owned_lengths[w] / RING_SIZE * len(self.owned_lengths) if w in self.owned_lengths else 1.0

    def owner(self, point: int) -> Owner:
        """Of the first mark past the point; the ring must not be empty."""
        marks, owners = self.arcs[point >> ARC_SHIFT]
        at = bisect_right(marks, point)
        return owners[at] if at < len(owners) else next(self.owners_after(point))

    def owners_after(self, point: int, skip: int = 0) -> Iterator[Owner]:
        """The owners of the marks past the point, but for the first `skip`; round and round."""
        arc = point >> ARC_SHIFT
        marks, owners = self.arcs[arc]
        at = bisect_right(marks, point) + skip
        while self.size:
            while at < len(owners):
                yield owners[at]
                at += 1
            at -= len(owners)
            arc = (arc + 1) % len(self.arcs)
            owners = self.arcs[arc][1]
