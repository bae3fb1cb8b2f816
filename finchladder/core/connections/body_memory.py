"""Memory budget for the bodies of requests and answers, reserved before they are read. Sizes in bytes."""

MEMORY_SHARE = 0.25  # share of the process's memory limit
MIN_MEMORY_SHARE = 0.0625  # lower bound of the share, whatever memory the optional features use


class OutOfBodyMemoryError(Exception):
    """A reservation exceeds the budget. It remains counted until its owner releases it."""


class BodyMemory:
    """Budget that all reservations of a process share."""

    def __init__(self, memory_bytes: int, feature_bytes: int = 0) -> None:
        # the memory of the features is deducted, so that the total is the same with and without them
        self.free_bytes = max(
            int(MEMORY_SHARE * memory_bytes) - feature_bytes, int(MIN_MEMORY_SHARE * memory_bytes)
        )


class Reservation:
    """One owner's part of the body memory."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory, self.size_bytes = memory, 0

    def resize(self, size_bytes: int) -> None:
        """Changes the reservation to `size_bytes`; 0 releases it.

        Raises:
            OutOfBodyMemoryError: All reservations together exceed the budget.
        """
        self.memory.free_bytes += self.size_bytes - size_bytes
        self.size_bytes = size_bytes
        if self.memory.free_bytes < 0:
            raise OutOfBodyMemoryError
