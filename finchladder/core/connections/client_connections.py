"""Which edge connections there are, which of them wait, and which one is closed to make room for another."""

from collections.abc import Callable, Hashable, Iterator
from enum import IntEnum
from typing import Generic, TypeVar

YOUNG = 0.25  # seconds: whoever has connected or come back since may be about to send

E = TypeVar("E", bound=Hashable)


class Worth(IntEnum):
    """What an edge connection has carried yet; the least is closed first."""

    NEW = 0  # nothing
    ASKED = 1  # a question
    OF_USE = 2  # a job that was served, or a call-back


class EdgeTable(Generic[E]):
    """At most `most` edge connections, each either waiting (for a message or its rest) or at work.

    Only one that waits may be closed: of the least worth the one that has waited longest, unless it is young;
    a young one only where no other is found. One on which something has come that was not yet read
    is never closed: that may be a job or a call-back. Times are in seconds of the caller's clock.

    All but `make_room` is O(1); that one looks at each waiting connection once at most, and mostly at one.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self._since: dict[E, float] = {}  # when it was begun, or was last through with a message
        self._waits_as: dict[E, Worth] = {}
        # by worth; in each the one waiting longest is first
        self._waiting: dict[Worth, dict[E, None]] = {worth: {} for worth in Worth}

    def __len__(self) -> int:
        return len(self._since)

    def __contains__(self, edge: object) -> bool:
        return edge in self._since

    def __iter__(self) -> Iterator[E]:
        return iter(self._since)

    @property
    def full(self) -> bool:
        return len(self._since) >= self.most

    def begin(self, now: float, edge: E) -> None:
        self._since[edge] = now
        self.wait(edge, Worth.NEW)

    def idle(self, now: float, edge: E, worth: Worth) -> None:
        """It is through with a message, and nothing of the next has come."""
        if edge in self._since:
            self._since[edge] = now
            self.wait(edge, worth)

    def wait(self, edge: E, worth: Worth) -> None:
        """It may be closed from now on, as the last of its worth."""
        if edge in self._since:  # else it was closed already
            self.work(edge)
            self._waits_as[edge] = worth
            self._waiting[worth][edge] = None

    def work(self, edge: E) -> None:
        """A whole message of it has come: it may not be closed until that is answered."""
        if (worth := self._waits_as.pop(edge, None)) is not None:
            del self._waiting[worth][edge]

    def drop(self, edge: E) -> None:
        self.work(edge)
        self._since.pop(edge, None)

    def older(self, now: float, edge: E, age: float) -> bool:
        """Whether it was begun or last at work longer ago than that."""
        return now > self._since[edge] + age

    def make_room(self, now: float, quiet: Callable[[E], bool]) -> E | None:
        """Drops the one to be closed, and returns it; None: none may be. `quiet`: nothing of it is unread."""
        for edges in self._waiting.values():
            for edge in edges:
                if now < self._since[edge] + YOUNG:
                    break  # the rest came later still
                if quiet(edge):
                    self.drop(edge)
                    return edge
        for edge in (e for edges in self._waiting.values() for e in edges):
            if quiet(edge):
                self.drop(edge)
                return edge
        return None
