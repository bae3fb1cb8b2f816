"""The memory for bodies of what is being read or is open, reserved before they are read. Sizes in bytes."""

MEMORY_SHARE = 0.25  # of all memory
MIN_MEMORY_SHARE = 0.0625  # and with the features on, whatever they hold


class OutOfBodyMemoryError(Exception):
    """What was reserved is more than there is. It stays reserved until its holder gives it back."""


class BodyMemory:
    def __init__(self, memory: int, features: int = 0) -> None:
        # what the features may hold comes off the room for bodies: all together stay as they were without
        self.free_bytes = max(int(MEMORY_SHARE * memory) - features, int(MIN_MEMORY_SHARE * memory))


class Reservation:
    """One holder's part of the room."""

    def __init__(self, room: BodyMemory) -> None:
        self.memory, self.size_bytes = room, 0

    def resize(self, size: int) -> None:
        """In place of what was held; 0 gives it back. Many at once must not pass the memory limit."""
        self.memory.free_bytes += self.size_bytes - size
        self.size_bytes = size
        if self.memory.free_bytes < 0:
            raise OutOfBodyMemoryError
