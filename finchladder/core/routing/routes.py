"""Routes: which limits of its own a job comes under. Facts alone; limits, retries and hedging act on them.

A route only narrows what the dispatcher may do. One whose fields are all at their defaults changes nothing,
and a job that no route matches is dispatched as if there were none.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from finchladder.core.api import NEVER_RAN, Effect, Ending, JobClass, WorkerPool

MAX_ROUTES = 256  # in one file
MAX_PATH_PARTS = 8  # of a path's prefix, the class included
MAX_HEADERS = 4  # of one match

ALL_BUT_OK = frozenset(Ending) - {Ending.OK}
MAY_HAVE_RUN = ALL_BUT_OK - NEVER_RAN


class HeaderFields(Protocol):
    """The header fields of a message; a name is asked for in small letters."""

    def all(self, name: str) -> Sequence[str]: ...


class EmptyHeaderFields:
    """Of a job that came by a protocol without header fields."""

    def all(self, name: str) -> Sequence[str]:
        return ()


EMPTY_HEADER_FIELDS = EmptyHeaderFields()


class QueueOrder(Enum):
    WORTH = "worth"  # of the class, the greatest first; among equals the nearest deadline
    DEADLINE = "deadline"  # the nearest first
    ARRIVAL = "arrival"  # the oldest first


@dataclass(slots=True, frozen=True)
class Match:
    """What a job must be for a route; None or empty: it may be anything."""

    job_class: str | None = None
    path: str | None = None  # whole parts from the left: /a/b stands for /a/b and /a/b/c, not for /a/bc
    method: str | None = None
    # names in small letters; a value must stand in the only field of its name, "*" is any, and any number
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def parts(self) -> tuple[str, ...]:
        """The parts of the path's prefix, the first of them the class: `/view` and class `view` are alike."""
        if self.path is not None:
            return tuple(self.path.split("/")[1:])
        return (self.job_class,) if self.job_class is not None else ()

    @property
    def rank(self) -> tuple[int, bool, int, int]:
        """The greater one is the more specific and wins: parts of the path, method, fields, their values."""
        values = sum(value != "*" for _, value in self.headers)
        return len(self.parts), self.method is not None, len(self.headers), values

    def same_as(self, other: "Match") -> bool:
        own = (self.parts, self.method, self.headers)
        return own == (other.parts, other.method, other.headers)


@dataclass(slots=True, frozen=True)
class Backoff:
    """Resend n (1, 2, ..) waits min(most_s, base_s * 2 ** (n - 1)), less up to `jitter` of it by chance."""

    base_s: float = 0.0
    most_s: float = 0.0
    jitter: float = 0.0  # 0: always the whole wait, 1: evenly drawn from none to the whole

    def wait_s(self, resend: int, draw: float = 0.0) -> float:
        """Seconds before resend 1, 2, ..; `draw` from 0 to 1, at 0 the longest wait."""
        whole = min(self.most_s, self.base_s * 2.0 ** min(resend - 1, 62))
        return whole * (1.0 - self.jitter * draw)

    def max_total_wait_s(self, resends: int) -> float:
        """All waits of so many resends together, at their longest."""
        return sum(self.wait_s(n) for n in range(1, resends + 1))


@dataclass(slots=True, frozen=True)
class Hedge:
    """A second copy while the first is out, after a time or a percentile of the route's own times.

    Exactly one of `after_s` and `percentile` (0 to 100) is set.
    """

    after_s: float | None = None
    percentile: float | None = None
    most: float = 0.05  # share of the route's first sends that may get a second copy


@dataclass(slots=True, frozen=True)
class RetryBudget:
    """How many resends, hedges among them, may be sent within a sliding window of `window_s`."""

    share: float  # of the route's first sends
    least_per_s: float  # allowed however few first sends there are
    window_s: float = 10.0
    repeats: bool = False  # what its client marks as asked for before is a resend, and no first send


@dataclass(slots=True, frozen=True)
class Queue:
    """Jobs that wait for their route's concurrency; `length` 0: none waits, what finds no room is refused."""

    length: int = 0
    order: QueueOrder = QueueOrder.WORTH
    longest_wait_s: float | None = None  # None: as long as its client waits


@dataclass(slots=True, frozen=True)
class Route:
    """The limits for jobs of one class; a route of the file that holds for several is one of these for each.

    None: no limit of the route's own. Seconds throughout.
    """

    name: str
    job_class: str
    match: Match = field(default_factory=Match)
    timeout_s: float | None = None  # from a job's arrival to its answer
    attempt_timeout_s: float | None = None  # of one attempt, from its send
    attempts: int | None = None  # sends in all, the first and hedges included
    backoff: Backoff = Backoff()
    resend_on: frozenset[Ending] = ALL_BUT_OK  # endings of an attempt after which it may be sent again
    hedge: Hedge | None = None
    retry_budget: RetryBudget | None = None
    concurrency: int | None = None  # jobs of the route that are not answered yet, at this dispatcher
    queue: Queue = Queue()  # beside concurrency alone
    priority: int = 0  # where jobs of several routes compete for room, those of the highest go first
    pool: WorkerPool = WorkerPool()

    def effective_timeout_s(self, left_s: float) -> float:
        """How long a job may take whose client waits for `left_s` more."""
        return left_s if self.timeout_s is None else min(left_s, self.timeout_s)


def retryable_endings(cls: JobClass) -> frozenset[Ending]:
    """The endings after which a class ever lets a job be sent again, whatever a route says."""
    return NEVER_RAN if cls.effect is Effect.UNSAFE else ALL_BUT_OK


class _Node:
    __slots__ = ("routes", "children")

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.children: dict[str, _Node] = {}


class Routes:
    """All routes of one file. `find` costs O(parts of the path + routes at the nodes on it)."""

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        """ValueError: routes that can't be told apart, or are of another class; the checker finds both."""
        self.all = tuple(routes)
        self.classes: Mapping[str, _Node] = {}
        self.depth = 0
        nodes: dict[str, _Node] = {}
        for route in sorted(self.all, key=lambda r: (r.match.rank, r.name), reverse=True):
            node = nodes.setdefault(route.job_class, _Node())
            parts = route.match.parts
            if parts and parts[0] != route.job_class:
                raise ValueError(f"route {route.name}: its path does not begin with {route.job_class}")
            for part in parts[1:]:
                node = node.children.setdefault(part, _Node())
            if any(r.match.same_as(route.match) for r in node.routes):
                raise ValueError(f"route {route.name}: another one matches the same jobs")
            node.routes.append(route)
            self.depth = max(self.depth, len(parts))
        self.classes = nodes

    def __bool__(self) -> bool:
        return bool(self.all)

    def find(self, method: str, path: str, headers: HeaderFields, job_class: str) -> Route | None:
        """The most specific route that matches; `path` is a request's target, empty where there is none."""
        node = self.classes.get(job_class)
        if node is None:
            return None
        seen: dict[str, Sequence[str]] = {}
        found = _first_match(node, method, headers, seen)
        parts = path.partition("?")[0].split("/", self.depth + 1)  # "", class, and what the class has below
        for part in parts[2 : self.depth + 1]:
            node = node.children.get(part)
            if node is None:
                break
            found = _first_match(node, method, headers, seen) or found
        return found


def _first_match(
    node: _Node, method: str, headers: HeaderFields, seen: dict[str, Sequence[str]]
) -> Route | None:
    for route in node.routes:
        match = route.match
        if match.method is None or match.method == method:
            for name, value in match.headers:
                given = seen.get(name)
                if given is None:  # a message's fields are gone through once for a name, not once for a route
                    given = seen[name] = headers.all(name)
                # a field that came twice has no one value, else two routes that differ in it could both match
                if not given or (value != "*" and (len(given) > 1 or given[0] != value)):
                    break
            else:
                return route
    return None


NO_ROUTES = Routes()
