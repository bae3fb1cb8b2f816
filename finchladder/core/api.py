"""What goes into a Dispatcher and what comes out of it: settings, events and actions.

Times are seconds on the caller's own monotonic clock. Workers, requests, classes, tenants, zones and kinds
are opaque strings: nothing is read out of a name.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from finchladder.core.health.detection.reports import Witness


class Effect(Enum):
    SAFE = "safe"  # may run any number of times
    KEYED = "keyed"  # repeats are dropped by one group of workers, for a while
    UNSAFE = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """The workers that drop each other's repeats of a KEYED job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    PATCH = "patch"  # changed entries only
    FULL = "whole"  # all entries; a worker that is missing is gone
    STALE = "stale"  # all entries as last held, possibly out of date
    BROKEN = "broken"  # a call failed or the subscription ended; no entries


class WorkerStatus(Enum):
    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Ending(Enum):
    """How an attempt ended; NEVER_RAN below holds those that prove that the job did not run."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    VOID = "void"
    UNKNOWN = "unknown"  # a code this version does not know: it may have run


NEVER_RAN = frozenset({Ending.OVERLOADED, Ending.UNREACHABLE, Ending.VOID})


@dataclass(slots=True, frozen=True)
class JobClass:
    name: str
    effect: Effect
    latency_target_s: float  # answered within this (plus stretch x its own running time) earns full worth
    deadline_s: float  # the client's patience over all tries
    value: float = 1.0
    late_value_share: float = 0.0  # part of the worth that a late answer still earns
    run_time_allowance: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_s: float = (
        0.0  # KEYED: how long repeats are remembered, from the first send that may have run
    )
    priority: int = 0
    kind: str | None = None  # the one machine kind that runs it, None for any
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    name: str
    quota_rps: float  # requests per second over all dispatchers that count as within its share


@dataclass(slots=True, frozen=True)
class Settings:
    """Start-up settings of one dispatcher."""

    classes: tuple[JobClass, ...]
    zones: tuple[str, ...] = ("",)
    zone: str = ""
    kinds: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    index: int = 0
    dispatchers: int = 1
    max_attempts: int = 3
    may_cancel: bool = False
    may_health_check: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False  # two attempts of one request at the same time
    must_subscribe: bool = False  # the worker list comes only when subscribed or fetched
    reports_start: bool = False
    weights_report_load: bool = False  # a weight in the list tells how full a worker is
    progress_interval_s: float = 0.0  # 0: workers tell no progress
    max_retry_after_s: float = 0.0
    over_quota_value: float = 1.0
    value_per_work: bool = False
    peer_price: float = 0.0  # points for one full message a request
    message_bytes: int = 256
    clock_tick_s: float = 0.001
    drain_grace_s: float = 1.0
    subscribe_timeout_s: float = 10.0
    slow_start_initial_share: float = 0.1
    slow_start_s: float = 20.0
    overload_multiple: float = 3.0
    overload_window_s: float = 1.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for c in self.classes:
            if c.latency_target_s <= 0 or c.deadline_s <= 0:
                raise ValueError(f"classes: {c.name}: aim and deadline must be above 0")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        for name in (
            "clock_tick_s",
            "drain_grace_s",
            "subscribe_timeout_s",
            "slow_start_s",
            "overload_multiple",
            "overload_window_s",
        ):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")
        if not 0 < self.slow_start_initial_share <= 1:
            raise ValueError("slow_start_initial_share: must be above 0 and at most 1")


@dataclass(slots=True, frozen=True)
class WorkerPool:
    """The workers that some jobs may go to; an empty set: those of any kind, or in any zone."""

    kinds: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()

    def contains(self, kind: str, zone: str) -> bool:
        return (not self.kinds or kind in self.kinds) and (not self.zones or zone in self.zones)


class WorkerEntry(NamedTuple):
    worker: str
    state: WorkerStatus
    zone: str = ""
    kind: str = ""
    cell: int = 0
    started_at: float = 0.0  # 0: long ago
    weight: float = 1.0


class WorkerList(NamedTuple):
    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


class RequestLimits(NamedTuple):
    """Limits of one job's own, beside the settings: they only narrow what those allow."""

    max_sends: int  # in all, the first included
    priority: int = 0  # of the jobs that find no room, those of the highest go first
    pool: WorkerPool | None = None  # None: all workers of the class's kind


class Request(NamedTuple):
    id: str
    job_class: str
    timeout_s: float  # seconds until the client gives this try up
    slots: float = 1.0
    key: int | None = None
    tenant: str | None = None
    memory: float = 0.0
    work_hint: float | None = None
    route: str | None = None  # for guarded.py: whose limits it comes under
    is_client_retry: bool = False  # for guarded.py: its client has asked for the same before
    limits: RequestLimits | None = None


class LimitUpdate(NamedTuple):
    """What an open job's own limits allow from now on: so many sends in all.

    `waits`, told while its last attempt is still out: once that has ended, it is not to be sent before the
    next Limit. `copy`: the next one may be sent at once, though another is out.
    """

    request: str
    max_sends: int
    must_wait: bool = False
    may_hedge: bool = False


class Started(NamedTuple):
    request: str
    attempt: int


class Progress(NamedTuple):
    request: str
    attempt: int
    done_share: float


class Streaming(NamedTuple):
    request: str
    attempt: int


class Ended(NamedTuple):
    request: str
    attempt: int
    ending: Ending
    finished: bool
    duration_s: float
    report: dict[str, float] | None = None


class ClientDisconnected(NamedTuple):
    request: str


class Timer(NamedTuple):
    token: int


class LoopStall(NamedTuple):
    """For so many seconds before now nobody looked at what came: that is no worker's delay."""

    duration_s: float


class HealthChecked(NamedTuple):
    worker: str
    ending: Ending
    duration_s: float
    report: dict[str, float] | None = None


class PeerMessage(NamedTuple):
    sender: int
    data: bytes


class PeerLoads(NamedTuple):
    """For peers/loads.py: slots in flight of all other dispatchers, by real server's number there."""

    slots_in_flight: dict[int, float]
    age_s: float


class PeerReports(NamedTuple):
    """For judging.py: the words of other dispatchers, of real servers, that have changed since the last one.

    `ended`, `bad`: endings lately, as told by all others, and bad ones of them. `alive`: how many dispatchers
    there are, oneself among them. `unwell`: this one is in doubt about itself.
    """

    witnesses: "tuple[Witness, ...]"
    attempts: float
    bad_attempts: float
    dispatchers: int
    is_degraded: bool


class OperatorOverrides(NamedTuple):
    """For judging.py: all words of the operator's that hold, by server: out (else in), seconds left, why."""

    overrides: "dict[str, tuple[bool, float, str]]"


Event = (
    WorkerList
    | Request
    | LimitUpdate
    | Started
    | Progress
    | Streaming
    | Ended
    | ClientDisconnected
    | Timer
    | LoopStall
    | HealthChecked
    | PeerMessage
    | PeerLoads
    | PeerReports
    | OperatorOverrides
)


class Send(NamedTuple):
    """Start the request's next attempt; attempts count 0, 1, 2 in the order of their sends."""

    request: str
    worker: str
    timeout_s: float = 0.0  # 0: until the client gives up
    start_within_s: float = 0.0  # its first byte must go so soon, or never; 0: as long as it is wanted


class Cancel(NamedTuple):
    request: str
    attempt: int


class Reject(NamedTuple):
    """Final answer: trying again is harmless."""

    request: str
    retry_after_s: float = 0.0


class Fail(NamedTuple):
    """Final answer that promises nothing."""

    request: str


class SetTimer(NamedTuple):
    delay_s: float
    token: int


class Subscribe(NamedTuple):
    on: bool = True


class Broadcast(NamedTuple):
    data: bytes  # to every peer


class Log(NamedTuple):
    text: str


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | Broadcast | Log
