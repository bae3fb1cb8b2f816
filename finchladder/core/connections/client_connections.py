"""Table of client connections: which are idle, and which one is closed when the table is full."""

from collections.abc import Callable, Hashable, Iterator
from enum import IntEnum
from typing import Generic, TypeVar

MIN_IDLE_S = 0.25  # seconds; a client that connected or was answered since may be about to send

E = TypeVar("E", bound=Hashable)


class ConnectionValue(IntEnum):
    """What a client connection has carried so far; the lowest value is closed first."""

    NEW = 0  # nothing
    QUERIED = 1  # a query
    SERVED = 2  # an answered job, or a callback


class ClientConnectionTable(Generic[E]):
    """At most `max_connections` connections, each closable (awaits a message or its remainder) or busy.

    Only a closable connection may be evicted: among those of the lowest value the one idle longest, and one
    active within MIN_IDLE_S only if there is no other. A connection with unread data is never evicted, as
    that may be a job or a callback. Times are in seconds of the caller's clock.

    All methods are O(1) but `evict`, which visits each closable connection at most twice and usually one.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._active_at: dict[E, float] = {}  # when it was opened or completed its last message
        self._closable_as: dict[E, ConnectionValue] = {}
        # by value; the one idle longest is first in each
        self._closable: dict[ConnectionValue, dict[E, None]] = {value: {} for value in ConnectionValue}

    def __len__(self) -> int:
        return len(self._active_at)

    def __contains__(self, edge: object) -> bool:
        return edge in self._active_at

    def __iter__(self) -> Iterator[E]:
        return iter(self._active_at)

    @property
    def is_full(self) -> bool:
        """Whether a further connection needs an eviction."""
        return len(self._active_at) >= self.max_connections

    def add(self, now: float, edge: E) -> None:
        """Adds a new connection, closable until its first message is complete."""
        self._active_at[edge] = now
        self.mark_closable(edge, ConnectionValue.NEW)

    def mark_idle(self, now: float, edge: E, value: ConnectionValue) -> None:
        """Marks a connection that completed a message and has received nothing of the next."""
        if edge in self._active_at:
            self._active_at[edge] = now
            self.mark_closable(edge, value)

    def mark_closable(self, edge: E, value: ConnectionValue) -> None:
        """Makes a connection closable, after all others of that value."""
        if edge in self._active_at:  # otherwise it has been closed
            self.mark_busy(edge)
            self._closable_as[edge] = value
            self._closable[value][edge] = None

    def mark_busy(self, edge: E) -> None:
        """Marks a connection that received a complete message: not closable until that is answered."""
        if (value := self._closable_as.pop(edge, None)) is not None:
            del self._closable[value][edge]

    def remove(self, edge: E) -> None:
        """Removes a connection, if it is in the table."""
        self.mark_busy(edge)
        self._active_at.pop(edge, None)

    def is_older(self, now: float, edge: E, age: float) -> bool:
        """Whether it was opened or last active more than `age` seconds ago."""
        return now > self._active_at[edge] + age

    def evict(self, now: float, quiet: Callable[[E], bool]) -> E | None:
        """Removes the connection to be closed.

        Args:
            now: Current time, in seconds of the caller's clock.
            quiet: Whether a connection has no unread data.

        Returns:
            The connection, or None if none may be closed.
        """
        for edges in self._closable.values():
            for edge in edges:
                if now < self._active_at[edge] + MIN_IDLE_S:
                    break  # the remaining ones were active later
                if quiet(edge):
                    self.remove(edge)
                    return edge
        for edge in (e for edges in self._closable.values() for e in edges):
            if quiet(edge):
                self.remove(edge)
                return edge
        return None
