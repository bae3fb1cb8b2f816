"""Consistent-hash rings: the two hashes of a key, and the points of the owners on each ring.

Used by the dispatcher's worker index and by the cluster router's pools of model workers.
"""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Hashable, Iterator
from hashlib import blake2b
from sys import byteorder
from typing import Generic, TypeAlias, TypeVar

POINTS_PER_OWNER = 32  # virtual nodes per owner and ring; more of them make the owned lengths more equal
ARC_BITS = 8  # binary logarithm of the number of arcs; each arc has its own sorted array of points
ARC_SHIFT = 64 - ARC_BITS
RING_SIZE = 1 << 64  # number of positions on a ring

Owner = TypeVar("Owner", bound=Hashable)
Points: TypeAlias = "array[int]"  # 64-bit positions on a ring


def key_hashes(key: int) -> tuple[int, int]:
    digest = blake2b(b"%d" % key, digest_size=16).digest()
    return int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big")


def ring_points(address: str, ring: int) -> "array[int]":
    """Returns a worker's points on a ring; each is 64 bits of a hash in big-endian order."""
    points = array("Q")
    for n in range(POINTS_PER_OWNER // 8):
        points.frombytes(blake2b(f"{address}/{ring}/{n}".encode()).digest())
    if byteorder == "little":
        points.byteswap()
    return points


class Ring(Generic[Owner]):
    """A consistent-hash ring. With `hash % owners` instead, a join or leave would move nearly every key.

    The same owners form the same ring in any order of addition, except that equal points stay in order of
    addition: at 10,000 owners, one ring in 400 million has two equal points.
    """

    __slots__ = ("arcs", "size", "owned_lengths")

    def __init__(self) -> None:
        # number of positions of the ring owned by each owner; None until the first call of `key_share`
        self.owned_lengths: dict[Owner, int] | None = None
        self.arcs: list[tuple[array[int], list[Owner]]] = [(array("Q"), []) for _ in range(1 << ARC_BITS)]
        self.size = 0

    def add(self, owner: Owner, points: "array[int]") -> None:
        for point in points:
            arc_points, owners = self.arcs[point >> ARC_SHIFT]
            index = bisect_left(arc_points, point)
            if self.owned_lengths is not None:
                length = RING_SIZE
                if self.size:  # the positions are taken from the owner of the next point
                    length = (point - self._point_before(point >> ARC_SHIFT, index)) % RING_SIZE
                    self.owned_lengths[
                        owners[index] if index < len(owners) else next(self.owners_after(point))
                    ] -= length
                self.owned_lengths[owner] = self.owned_lengths.get(owner, 0) + length
            arc_points.insert(index, point)
            owners.insert(index, owner)
            self.size += 1

    def remove(self, owner: Owner, points: "array[int]") -> None:
        for point in points:
            arc_points, owners = self.arcs[point >> ARC_SHIFT]
            index = bisect_left(arc_points, point)
            while owners[index] is not owner:  # another owner has an equal point
                index += 1
            length = (
                (point - self._point_before(point >> ARC_SHIFT, index)) % RING_SIZE
                if self.owned_lengths is not None
                else 0
            )
            del arc_points[index], owners[index]
            self.size -= 1
            if self.owned_lengths is not None and self.size:
                self.owned_lengths[
                    owners[index] if index < len(owners) else next(self.owners_after(point))
                ] += length
        if self.owned_lengths is not None:
            self.owned_lengths.pop(owner, None)

    def _point_before(self, arc: int, index: int) -> int:
        """Returns the point before the one at `index` of the arc; the last point precedes the first one."""
        points = self.arcs[arc][0]
        while not index:
            arc -= 1
            points = self.arcs[arc][0]
            index = len(points)
        return points[index - 1]

    def key_share(self, owner: Owner) -> float:
        """Returns the owner's share of the keys relative to an equal share; 1 if it is not on the ring.

        The first call takes O(points).
        """
        if self.owned_lengths is None:
            self.owned_lengths = {}
            all_points = [item for points, owners in self.arcs for item in zip(points, owners, strict=True)]
            previous = all_points[-1][0] - RING_SIZE if all_points else 0
            for point, point_owner in all_points:
                self.owned_lengths[point_owner] = self.owned_lengths.get(point_owner, 0) + point - previous
                previous = point
        return (
            self.owned_lengths[owner] / RING_SIZE * len(self.owned_lengths)
            if owner in self.owned_lengths
            else 1.0
        )

    def owner(self, point: int) -> Owner:
        """Returns the owner of the first point after this one; the ring must not be empty."""
        points, owners = self.arcs[point >> ARC_SHIFT]
        index = bisect_right(points, point)
        return owners[index] if index < len(owners) else next(self.owners_after(point))

    def owners_after(self, point: int, skip: int = 0) -> Iterator[Owner]:
        """Yields the owners of the points after this one, without the first `skip`; cycles endlessly."""
        arc = point >> ARC_SHIFT
        points, owners = self.arcs[arc]
        index = bisect_right(points, point) + skip
        while self.size:
            while index < len(owners):
                yield owners[index]
                index += 1
            index -= len(owners)
            arc = (arc + 1) % len(self.arcs)
            owners = self.arcs[arc][1]
