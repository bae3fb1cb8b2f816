"""Things by the time at which they must be looked at: a timing wheel without a clock.

As in scheme 6 of Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987): slots of a fixed width,
put and drop in O(1). `due` costs O(what is due) plus O(log slots) for each slot that has passed.
"""

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import islice
from math import floor
from typing import Generic, TypeVar

T = TypeVar("T")
SLOTS = 1024  # ahead of the last look: what is due later waits in the last of them and is put off again there


class Wheel(Generic[T]):
    """`width_s` is the width of a slot in seconds.

    What was put for a time is handed out by the first `due` at or after it, or before: whoever finds that it
    is too early puts it again. Memory: one entry for each thing held, and SLOTS + 1 slots.
    """

    __slots__ = ("width_s", "slots", "order", "where", "last")

    def __init__(self, width_s: float) -> None:
        self.width_s = width_s
        self.slots: dict[int, dict[Hashable, T]] = {}
        self.order: list[int] = []  # a heap of the numbers in `slots`
        self.where: dict[Hashable, int] = {}
        self.last = 0

    def __len__(self) -> int:
        return len(self.where)

    def put(self, key: Hashable, thing: T, at: float) -> None:
        """`at` in seconds. A key stands for one thing: put again, it leaves its earlier place."""
        number = floor(min(at / self.width_s, self.last + SLOTS))
        before = self.where.get(key)
        if before is not None and before != number:
            del self.slots[before][key]
        if (slot := self.slots.get(number)) is None:
            slot = self.slots[number] = {}
            heappush(self.order, number)
        slot[key] = thing
        self.where[key] = number

    def drop(self, key: Hashable) -> None:
        if (number := self.where.pop(key, None)) is not None:
            del self.slots[number][key]  # a slot that is empty stays until it is due: it may be filled again

    def due(self, now: float) -> list[T]:
        """Takes out all that may be due at `now` (seconds)."""
        self.last = floor(now / self.width_s)
        found: list[T] = []
        while self.order and self.order[0] <= self.last:
            slot = self.slots.pop(heappop(self.order))
            for key in slot:
                del self.where[key]
            found += slot.values()
        return found

    def some(self, first: int, most: int) -> list[T]:
        """Those held from the place `first`, in the order in which they came; O(first + most)."""
        return [self.slots[number][key] for key, number in islice(self.where.items(), first, first + most)]
