"""Memory budget for the bodies of requests and answers, which is reserved before they are read."""

MEMORY_SHARE = 0.25  # share of the process's memory that bodies may use, less the memory of features
MIN_MEMORY_SHARE = 0.0625  # lower bound of the share after the deduction for features


class OutOfBodyMemoryError(Exception):
    """The reservations exceed the budget. The last one remains counted until its owner releases it."""


class BodyMemory:
    """Memory budget for the message bodies of a process; all reservations share it."""

    def __init__(self, memory_bytes: int, feature_bytes: int = 0) -> None:
        # `feature_bytes`, the memory of optional features, is deducted: the total is the same without them
        self.free_bytes = max(
            int(MEMORY_SHARE * memory_bytes) - feature_bytes, int(MIN_MEMORY_SHARE * memory_bytes)
        )


class Reservation:
    """Part of the body memory that one owner has reserved, e.g. a connection."""

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
