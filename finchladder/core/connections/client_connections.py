"""Table of client connections; selects the connection that is closed when the table is full."""

from collections.abc import Callable, Hashable, Iterator
from enum import IntEnum
from typing import Generic, TypeVar

MIN_IDLE_S = 0.25  # a client that connected or was answered more recently may be about to send a request

E = TypeVar("E", bound=Hashable)


class ConnectionValue(IntEnum):
    """Value of a client connection by the messages that it has carried; the lowest is closed first."""

    NEW = 0  # no complete message
    QUERIED = 1  # at least one query, e.g. of a job's status
    SERVED = 2  # at least one answered job or worker's callback


class ClientConnectionTable(Generic[E]):
    """Table of at most `max_connections` connections, each either closable or busy.

    A connection is closable while it waits for a message or the rest of one, and busy from a complete message
    until the answer.


    Only a closable connection may be evicted: among those of the lowest value the one idle longest. One that
    was active within MIN_IDLE_S is evicted only if there is no other. A connection with unread data is never
    evicted, as the data may be a job or a callback. Times are in seconds of the caller's clock.

    All methods cost O(1), except `evict`: it visits each closable connection at most twice, and usually only
    one connection.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._active_at: dict[E, float] = {}  # time of opening or of the last complete message
        self._closable_as: dict[E, ConnectionValue] = {}
        # closable connections by value, the one idle longest first
        self._closable: dict[ConnectionValue, dict[E, None]] = {value: {} for value in ConnectionValue}

    def __len__(self) -> int:
        return len(self._active_at)

    def __contains__(self, connection: object) -> bool:
        return connection in self._active_at

    def __iter__(self) -> Iterator[E]:
        return iter(self._active_at)

    @property
    def is_full(self) -> bool:
        """Whether an eviction is needed before a connection can be added."""
        return len(self._active_at) >= self.max_connections

    def add(self, now: float, connection: E) -> None:
        """Adds a new connection, closable until its first message is complete."""
        self._active_at[connection] = now
        self.mark_closable(connection, ConnectionValue.NEW)

    def mark_idle(self, now: float, connection: E, value: ConnectionValue) -> None:
        """Marks a connection as idle: its last message was answered, and no part of the next has arrived."""
        if connection in self._active_at:
            self._active_at[connection] = now
            self.mark_closable(connection, value)

    def mark_closable(self, connection: E, value: ConnectionValue) -> None:
        """Marks a connection as closable, evicted after the other ones of that value."""
        if connection in self._active_at:  # otherwise it has been closed
            self.mark_busy(connection)
            self._closable_as[connection] = value
            self._closable[value][connection] = None

    def mark_busy(self, connection: E) -> None:
        """Marks a connection that received a complete message as not closable until the answer."""
        if (value := self._closable_as.pop(connection, None)) is not None:
            del self._closable[value][connection]

    def remove(self, connection: E) -> None:
        """Removes a connection, if it is in the table."""
        self.mark_busy(connection)
        self._active_at.pop(connection, None)

    def is_older(self, now: float, connection: E, age_s: float) -> bool:
        """Whether the connection was opened or last active more than `age_s` seconds ago."""
        return now > self._active_at[connection] + age_s

    def evict(self, now: float, is_drained: Callable[[E], bool]) -> E | None:
        """Selects the connection to be closed and removes it from the table.

        Args:
            now: Current time, in seconds of the caller's clock.
            is_drained: Returns whether a connection has no unread data.

        Returns:
            The connection, or None if none may be closed.
        """
        for connections in self._closable.values():
            for connection in connections:
                if now < self._active_at[connection] + MIN_IDLE_S:
                    break  # the following connections were active later
                if is_drained(connection):
                    self.remove(connection)
                    return connection
        for connection in (c for connections in self._closable.values() for c in connections):
            if is_drained(connection):
                self.remove(connection)
                return connection
        return None
