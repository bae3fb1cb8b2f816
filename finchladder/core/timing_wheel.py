"""Things by the time at which they must be looked at: a timing wheel without a clock.

As in scheme 6 of Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987): slots of a fixed width,
put and drop in O(1). `due` costs O(what is due) plus O(log slots) for each slot that has passed.
"""

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import islice
from math import floor
from typing import Generic, TypeVar

Item = TypeVar("Item")
MAX_SLOTS_AHEAD = (
    1024  # ahead of the last look: what is due later waits in the last of them and is put off again there
)


class TimingWheel(Generic[Item]):
    """`width_s` is the width of a slot in seconds.

    What was put for a time is handed out by the first `due` at or after it, or before: whoever finds that it
    is too early puts it again. Memory: one entry for each thing held, and SLOTS + 1 slots.
    """

    __slots__ = ("slot_width_s", "slots", "slot_heap", "slot_of", "last_slot")

    def __init__(self, width_s: float) -> None:
        self.slot_width_s = width_s
        self.slots: dict[int, dict[Hashable, Item]] = {}
        self.slot_heap: list[int] = []  # a heap of the numbers in `slots`
        self.slot_of: dict[Hashable, int] = {}
        self.last_slot = 0

    def __len__(self) -> int:
        return len(self.slot_of)

    def put(self, key: Hashable, thing: Item, at: float) -> None:
        """`at` in seconds. A key stands for one thing: put again, it leaves its earlier place."""
        number = floor(min(at / self.slot_width_s, self.last_slot + MAX_SLOTS_AHEAD))
        before = self.slot_of.get(key)
        if before is not None and before != number:
            del self.slots[before][key]
        if (slot := self.slots.get(number)) is None:
            slot = self.slots[number] = {}
            heappush(self.slot_heap, number)
        slot[key] = thing
        self.slot_of[key] = number

    def drop(self, key: Hashable) -> None:
        if (number := self.slot_of.pop(key, None)) is not None:
            del self.slots[number][key]  # a slot that is empty stays until it is due: it may be filled again

    def pop_due(self, now: float) -> list[Item]:
        """Takes out all that may be due at `now` (seconds)."""
        self.last_slot = floor(now / self.slot_width_s)
        found: list[Item] = []
        while self.slot_heap and self.slot_heap[0] <= self.last_slot:
            slot = self.slots.pop(heappop(self.slot_heap))
            for key in slot:
                del self.slot_of[key]
            found += slot.values()
        return found

    def items_from(self, first: int, most: int) -> list[Item]:
        """Those held from the place `first`, in the order in which they came; O(first + most)."""
        return [self.slots[number][key] for key, number in islice(self.slot_of.items(), first, first + most)]
