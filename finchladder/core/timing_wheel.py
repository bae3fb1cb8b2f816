"""A timing wheel: items by due time. Callers pass the current time.

Scheme 6 of Varghese and Lauck, "Hashed and hierarchical timing wheels" (1987): slots of a fixed width, `put`
and `drop` in O(1). `pop_due` takes O(due items) plus O(log slots) for each slot that has passed.
"""

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import islice
from math import floor
from typing import Generic, TypeVar

Item = TypeVar("Item")
# Maximum number of slots after the slot of the last `pop_due`. Items due later are put into the last of them
# and returned early.
MAX_SLOTS_AHEAD = 1024


class TimingWheel(Generic[Item]):
    """Items with a key and a due time in slots of `width_s` seconds.

    An item is returned by the first `pop_due` at or after its due time, or earlier: the caller must then put
    it again. Memory: one entry per item, and at most MAX_SLOTS_AHEAD + 1 slots.
    """

    __slots__ = ("slot_width_s", "slots", "slot_heap", "slot_of", "last_slot")

    def __init__(self, width_s: float) -> None:
        self.slot_width_s = width_s
        self.slots: dict[int, dict[Hashable, Item]] = {}
        self.slot_heap: list[int] = []  # heap of the slot numbers in `slots`
        self.slot_of: dict[Hashable, int] = {}
        self.last_slot = 0

    def __len__(self) -> int:
        return len(self.slot_of)

    def put(self, key: Hashable, item: Item, at: float) -> None:
        """Adds an item that is due at `at` seconds, or moves the item of this key."""
        number = floor(min(at / self.slot_width_s, self.last_slot + MAX_SLOTS_AHEAD))
        old_number = self.slot_of.get(key)
        if old_number is not None and old_number != number:
            del self.slots[old_number][key]
        if (slot := self.slots.get(number)) is None:
            slot = self.slots[number] = {}
            heappush(self.slot_heap, number)
        slot[key] = item
        self.slot_of[key] = number

    def drop(self, key: Hashable) -> None:
        if (number := self.slot_of.pop(key, None)) is not None:
            del self.slots[number][key]  # an empty slot is kept until it is due, as it may be filled again

    def pop_due(self, now: float) -> list[Item]:
        """Removes and returns all items that may be due at `now` (seconds)."""
        self.last_slot = floor(now / self.slot_width_s)
        found: list[Item] = []
        while self.slot_heap and self.slot_heap[0] <= self.last_slot:
            slot = self.slots.pop(heappop(self.slot_heap))
            for key in slot:
                del self.slot_of[key]
            found += slot.values()
        return found

    def items_from(self, first: int, count: int) -> list[Item]:
        """Returns up to `count` items from index `first` on, in order of insertion. O(first + count)."""
        return [self.slots[number][key] for key, number in islice(self.slot_of.items(), first, first + count)]
