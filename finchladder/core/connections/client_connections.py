"""Which edge connections there are, which of them wait, and which one is closed to make room for another."""

from collections.abc import Callable, Hashable, Iterator
from enum import IntEnum
from typing import Generic, TypeVar

MIN_IDLE_S = 0.25  # seconds: whoever has connected or come back since may be about to send

E = TypeVar("E", bound=Hashable)


class ConnectionValue(IntEnum):
    """What an edge connection has carried yet; the least is closed first."""

    NEW = 0  # nothing
    QUERIED = 1  # a question
    SERVED = 2  # a job that was served, or a call-back


class ClientConnectionTable(Generic[E]):
    """At most `most` edge connections, each either waiting (for a message or its rest) or at work.

    Only one that waits may be closed: of the least worth the one that has waited longest, unless it is young;
    a young one only where no other is found. One on which something has come that was not yet read
    is never closed: that may be a job or a call-back. Times are in seconds of the caller's clock.

    All but `make_room` is O(1); that one looks at each waiting connection once at most, and mostly at one.
    """

    def __init__(self, most: int) -> None:
        self.max_connections = most
        self._active_at: dict[E, float] = {}  # when it was begun, or was last through with a message
        self._closable_as: dict[E, ConnectionValue] = {}
        # by worth; in each the one waiting longest is first
        self._closable: dict[ConnectionValue, dict[E, None]] = {worth: {} for worth in ConnectionValue}

    def __len__(self) -> int:
        return len(self._active_at)

    def __contains__(self, edge: object) -> bool:
        return edge in self._active_at

    def __iter__(self) -> Iterator[E]:
        return iter(self._active_at)

    @property
    def is_full(self) -> bool:
        return len(self._active_at) >= self.max_connections

    def add(self, now: float, edge: E) -> None:
        self._active_at[edge] = now
        self.mark_closable(edge, ConnectionValue.NEW)

    def mark_idle(self, now: float, edge: E, worth: ConnectionValue) -> None:
        """It is through with a message, and nothing of the next has come."""
        if edge in self._active_at:
            self._active_at[edge] = now
            self.mark_closable(edge, worth)

    def mark_closable(self, edge: E, worth: ConnectionValue) -> None:
        """It may be closed from now on, as the last of its worth."""
        if edge in self._active_at:  # else it was closed already
            self.mark_busy(edge)
            self._closable_as[edge] = worth
            self._closable[worth][edge] = None

    def mark_busy(self, edge: E) -> None:
        """A whole message of it has come: it may not be closed until that is answered."""
        if (worth := self._closable_as.pop(edge, None)) is not None:
            del self._closable[worth][edge]

    def remove(self, edge: E) -> None:
        self.mark_busy(edge)
        self._active_at.pop(edge, None)

    def is_older(self, now: float, edge: E, age: float) -> bool:
        """Whether it was begun or last at work longer ago than that."""
        return now > self._active_at[edge] + age

    def evict(self, now: float, quiet: Callable[[E], bool]) -> E | None:
        """Drops the one to be closed, and returns it; None: none may be. `quiet`: nothing of it is unread."""
        for edges in self._closable.values():
            for edge in edges:
                if now < self._active_at[edge] + MIN_IDLE_S:
                    break  # the rest came later still
                if quiet(edge):
                    self.remove(edge)
                    return edge
        for edge in (e for edges in self._closable.values() for e in edges):
            if quiet(edge):
                self.remove(edge)
                return edge
        return None
