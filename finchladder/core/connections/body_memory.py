"""The memory for bodies of what is being read or is open, reserved before they are read. Sizes in bytes."""

PART = 0.25  # of all memory
LEAST = 0.0625  # and with the features on, whatever they hold


class OutOfBodyMemoryError(Exception):
    """What was reserved is more than there is. It stays reserved until its holder gives it back."""


class BodyMemory:
    def __init__(self, memory: int, features: int = 0) -> None:
        # what the features may hold comes off the room for bodies: all together stay as they were without
        self.free = max(int(PART * memory) - features, int(LEAST * memory))


class Reservation:
    """One holder's part of the room."""

    def __init__(self, room: BodyMemory) -> None:
        self.room, self.size = room, 0

    def hold(self, size: int) -> None:
        """In place of what was held; 0 gives it back. Many at once must not pass the memory limit."""
        self.room.free += self.size - size
        self.size = size
        if self.room.free < 0:
            raise OutOfBodyMemoryError
