"""Memory budget for the bodies of requests and answers, reserved before they are read. Sizes in bytes."""

MEMORY_SHARE = 0.25  # of the process's memory limit
MIN_MEMORY_SHARE = 0.0625  # at least this much, whatever the optional features use


class OutOfBodyMemoryError(Exception):
    """A reservation exceeds the budget. It remains counted until its owner releases it."""


class BodyMemory:
    """Budget that all reservations of a process share."""

    def __init__(self, memory: int, features: int = 0) -> None:
        # memory of the features is deducted, so that the total stays the same with and without them
        self.free_bytes = max(int(MEMORY_SHARE * memory) - features, int(MIN_MEMORY_SHARE * memory))


class Reservation:
    """One owner's part of the body memory."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory, self.size_bytes = memory, 0

    def resize(self, size: int) -> None:
        """Changes the reservation to `size` bytes; 0 releases it.

        Raises:
            OutOfBodyMemoryError: All reservations together exceed the budget.
        """
        self.memory.free_bytes += self.size_bytes - size
        self.size_bytes = size
        if self.memory.free_bytes < 0:
            raise OutOfBodyMemoryError
