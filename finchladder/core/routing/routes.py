"""Routes: match jobs to limits. This module holds the data; limited_dispatcher.py applies the limits.

A route only restricts what the dispatcher may do. A route with default fields changes nothing, and a job that
no route matches is dispatched without further limits.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from finchladder.core.api import NEVER_RAN, Effect, Ending, JobClass, WorkerPool

MAX_ROUTES = 256  # maximum number of routes in one file
MAX_PATH_PARTS = 8  # maximum number of segments of a path prefix, the class included
MAX_HEADERS = 4  # maximum number of header fields in one match

ALL_BUT_OK = frozenset(Ending) - {Ending.OK}
MAY_HAVE_RUN = ALL_BUT_OK - NEVER_RAN


class HeaderFields(Protocol):
    """Header fields of a message; names are passed in lower case."""

    def all(self, name: str) -> Sequence[str]:
        """Returns the values of all fields of that name, in their order."""
        ...


class EmptyHeaderFields:
    """Header fields of a job that arrived by a protocol without header fields."""

    def all(self, name: str) -> Sequence[str]:
        """Returns no values."""
        return ()


EMPTY_HEADER_FIELDS = EmptyHeaderFields()


class QueueOrder(Enum):
    """Order in which a route's queued jobs are dispatched."""

    WORTH = "worth"  # highest value of the job's class first; at equal values, earliest deadline first
    DEADLINE = "deadline"  # earliest deadline first
    ARRIVAL = "arrival"  # oldest job first


@dataclass(slots=True, frozen=True)
class Match:
    """Conditions of a route on a job; a field that is None or empty matches any job."""

    job_class: str | None = None
    path: str | None = None  # prefix of complete segments: /a/b matches /a/b and /a/b/c, not /a/bc
    method: str | None = None
    # (name in lower case, value): the job must have exactly one field of that name, with that value; for the
    # value "*", at least one field of any value
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def parts(self) -> tuple[str, ...]:
        """Segments of the path prefix, the class first: path `/view` and job class `view` are equivalent."""
        if self.path is not None:
            return tuple(self.path.split("/")[1:])
        return (self.job_class,) if self.job_class is not None else ()

    @property
    def rank(self) -> tuple[int, bool, int, int]:
        """Specificity; of the routes that match a job, the one with the highest rank applies.

        Numbers of path segments, methods, header fields and header values, compared in this order.
        """
        values = sum(value != "*" for _, value in self.headers)
        return len(self.parts), self.method is not None, len(self.headers), values

    def same_as(self, other: "Match") -> bool:
        """Whether both match the same jobs."""
        own = (self.parts, self.method, self.headers)
        return own == (other.parts, other.method, other.headers)


@dataclass(slots=True, frozen=True)
class Backoff:
    """Exponential backoff.

    The wait before retry n is min(most_s, base_s * 2 ** (n - 1)), minus a random share of up to `jitter`.
    """

    base_s: float = 0.0
    most_s: float = 0.0
    jitter: float = 0.0  # 0: always the full wait; 1: uniform between 0 and the full wait

    def wait_s(self, retry: int, draw: float = 0.0) -> float:
        """Returns the wait in seconds before retry `retry` (1, 2, ..).

        `draw` is a random number from 0 (longest wait) to 1 (shortest).
        """
        full_s = min(self.most_s, self.base_s * 2.0 ** min(retry - 1, 62))
        return full_s * (1.0 - self.jitter * draw)

    def max_total_wait_s(self, retries: int) -> float:
        """Returns the longest total wait of `retries` retries, in seconds."""
        return sum(self.wait_s(n) for n in range(1, retries + 1))


@dataclass(slots=True, frozen=True)
class Hedge:
    """When a second attempt of a job (hedge) is sent: after a fixed time, or a percentile of the latencies.

    Exactly one of `after_s` and `percentile` (0 to 100) is set.
    """

    after_s: float | None = None
    percentile: float | None = None
    most: float = 0.05  # maximum share of the route's jobs that are hedged


@dataclass(slots=True, frozen=True)
class RetryBudget:
    """Limits the retries, hedges included, in a sliding window of `window_s` seconds."""

    share: float  # maximum number of retries as a share of the route's first sends
    least_per_s: float  # retries per second that are allowed in addition
    window_s: float = 10.0
    repeats: bool = False  # whether a job that its client marks as a retry counts as one


@dataclass(slots=True, frozen=True)
class Queue:
    """Queue of jobs that exceed their route's concurrency; with `length` 0 they are rejected at once."""

    length: int = 0
    order: QueueOrder = QueueOrder.WORTH
    longest_wait_s: float | None = None  # maximum time in the queue; None: until the job's deadline


@dataclass(slots=True, frozen=True)
class Route:
    """Limits for jobs of one class; a route of the file for several classes becomes one Route per class.

    A field that is None sets no limit. Times are in seconds.
    """

    name: str
    job_class: str
    match: Match = field(default_factory=Match)
    timeout_s: float | None = None  # timeout of a job, from its arrival to its answer
    attempt_timeout_s: float | None = None  # timeout of one attempt, from its send
    attempts: int | None = None  # maximum number of sends, the first one and hedges included
    backoff: Backoff = Backoff()
    resend_on: frozenset[Ending] = ALL_BUT_OK  # endings after which an attempt may be retried
    hedge: Hedge | None = None
    retry_budget: RetryBudget | None = None
    concurrency: int | None = None  # maximum number of unanswered jobs of the route at this dispatcher
    queue: Queue = Queue()  # applies only with `concurrency`
    priority: int = 0  # waiting jobs of the route with the highest priority are dispatched first
    pool: WorkerPool = WorkerPool()

    def effective_timeout_s(self, left_s: float) -> float:
        """Returns the timeout of a job whose client waits `left_s` seconds more."""
        return left_s if self.timeout_s is None else min(left_s, self.timeout_s)


def retryable_endings(job_class: JobClass) -> frozenset[Ending]:
    """Returns the endings after which jobs of the class may be retried under any route."""
    return NEVER_RAN if job_class.effect is Effect.UNSAFE else ALL_BUT_OK


class _Node:
    __slots__ = ("routes", "children")

    def __init__(self) -> None:
        self.routes: list[Route] = []
        self.children: dict[str, _Node] = {}


class Routes:
    """Prefix tree of all routes of one file, by path segments.

    `find` costs O(path segments + routes at the nodes on the path).
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        """Builds the tree.

        Raises:
            ValueError: Two routes match the same jobs, or a path does not begin with its class. The
                check of the routes file (config/route_checks.py) reports both beforehand.
        """
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
        """Returns the most specific route that matches.

        Args:
            method: Method of the request.
            path: Target of the request; empty if the protocol has none.
            headers: Header fields of the request.
            job_class: Name of the job's class.
        """
        node = self.classes.get(job_class)
        if node is None:
            return None
        fields: dict[str, Sequence[str]] = {}
        found = _first_match(node, method, headers, fields)
        parts = path.partition("?")[0].split("/", self.depth + 1)  # empty string, class, other segments
        for part in parts[2 : self.depth + 1]:
            node = node.children.get(part)
            if node is None:
                break
            found = _first_match(node, method, headers, fields) or found
        return found


def _first_match(
    node: _Node, method: str, headers: HeaderFields, fields: dict[str, Sequence[str]]
) -> Route | None:
    for route in node.routes:
        match = route.match
        if match.method is None or match.method == method:
            for name, value in match.headers:
                given = fields.get(name)
                if given is None:  # each name is read only once, not for each route
                    given = fields[name] = headers.all(name)
                # a repeated field matches no value: otherwise routes for two of its values could both match
                if not given or (value != "*" and (len(given) > 1 or given[0] != value)):
                    break
            else:
                return route
    return None


NO_ROUTES = Routes()
