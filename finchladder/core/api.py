"""What goes into a Dispatcher and what comes out of it: settings, events and actions.

Times are seconds on the caller's own monotonic clock, durations are seconds. Loads are slots: a request
takes one, or as many as it says. Workers, requests, classes, tenants, zones and kinds are opaque strings:
nothing is read out of a name.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from finchladder.core.health.detection.reports import PeerReport


class Effect(Enum):
    """How often a job may run; it decides whether and where it may be sent again."""

    SAFE = "safe"  # idempotent: may run any number of times
    KEYED = "keyed"  # repeats are dropped by the workers of one scope, for a window
    UNSAFE = "unsafe"  # must never run twice


class DeduplicationScope(Enum):
    """The workers that drop each other's repeats of a KEYED job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    """What a WorkerList is against the one before."""

    PATCH = "patch"  # changed entries only
    FULL = "whole"  # all entries; a worker that is missing is removed
    STALE = "stale"  # all entries as last known, possibly out of date
    BROKEN = "broken"  # a call failed or the subscription ended; no entries


class WorkerStatus(Enum):
    """What the endpoint list says of a worker; only a READY one is sent new requests."""

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
    """Jobs that are alike in effect, latency target and value."""

    name: str
    effect: Effect
    latency_target_s: float  # an answer within it earns the full value
    deadline_s: float  # the client's timeout over all its tries
    value: float = 1.0  # of an answer in time, in points
    late_value_share: float = 0.0  # share of the value that a late answer still earns, 0 to 1
    run_time_allowance: float = 0.0  # added to the latency target, times the job's own run time
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    # KEYED: how long repeats are dropped, from the first send that may have run
    deduplication_window_s: float = 0.0
    priority: int = 0  # higher goes first
    kind: str | None = None  # the one machine kind that runs it, None for any
    stream: bool = False  # answered piece by piece


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer whose requests are held to a quota while the fleet is full."""

    name: str
    quota_rps: float  # requests per second over all dispatchers


@dataclass(slots=True, frozen=True)
class Settings:
    """Start-up settings of one dispatcher."""

    classes: tuple[JobClass, ...]
    zones: tuple[str, ...] = ("",)  # of the fleet
    zone: str = ""  # this dispatcher's own
    kinds: tuple[str, ...] = ()  # machine kinds of the fleet
    tenants: tuple[Tenant, ...] = ()
    index: int = 0  # this dispatcher's number, 0 to dispatchers - 1
    dispatchers: int = 1  # that share the fleet
    max_attempts: int = 3  # sends of a request in all
    may_cancel: bool = False  # an attempt can be taken back
    may_health_check: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False  # two attempts of one request at the same time
    must_subscribe: bool = False  # the worker list comes only when subscribed or fetched
    reports_start: bool = False  # workers report when an attempt starts to run
    weights_report_load: bool = False  # a weight in the list says how full a worker is
    progress_interval_s: float = 0.0  # 0: workers report no progress
    max_retry_after_s: float = 0.0  # the longest pause that a rejected client may be asked for
    over_quota_value: float = 1.0  # of a request beyond its tenant's quota, as a share of its value
    value_per_work: bool = False  # values are per second of work, not per request
    peer_price: float = 0.0  # points for one full message a request
    message_bytes: int = 256  # of a full message between peers
    clock_tick_s: float = 0.001  # shortest time between two batches of events
    drain_grace_s: float = 1.0  # after it was listed as draining or removed, no worker may be sent more
    subscribe_timeout_s: float = 10.0  # who has not subscribed by then counts as notified all the same
    slow_start_initial_share: float = 0.1  # of its full capacity that a worker has at its start
    slow_start_s: float = 20.0  # until it surely has all of it
    # a worker in slow start fails if it is sent more than this many times its capacity, for so long
    overload_multiple: float = 3.0
    overload_window_s: float = 1.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for job_class in self.classes:
            if job_class.latency_target_s <= 0 or job_class.deadline_s <= 0:
                raise ValueError(f"classes: {job_class.name}: aim and deadline must be above 0")
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
    """A filter of the workers that some jobs may go to; an empty set: those of any kind, or in any zone."""

    kinds: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()

    def contains(self, kind: str, zone: str) -> bool:
        """Whether a worker of that kind in that zone is one of them."""
        return (not self.kinds or kind in self.kinds) and (not self.zones or zone in self.zones)


class WorkerEntry(NamedTuple):
    """What the endpoint list says of one worker."""

    worker: str  # its address
    state: WorkerStatus
    zone: str = ""
    kind: str = ""  # of machine
    cell: int = 0  # the group within its zone that drops repeats together
    started_at: float = 0.0  # seconds on the caller's clock; 0: long ago
    weight: float = 1.0  # unitless: its size, or with `weights_report_load` its size over its load


class WorkerList(NamedTuple):
    """Event: the endpoint list, or a change of it, has come or was lost."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


class RequestLimits(NamedTuple):
    """Limits of one job's own, beside the settings: they only narrow what those allow."""

    max_sends: int  # in all, the first included
    priority: int = 0  # of the jobs that wait for a worker, those of the highest go first
    pool: WorkerPool | None = None  # None: all workers of the class's kind


class Request(NamedTuple):
    """Event: a client's request has come."""

    id: str
    job_class: str  # a name of Settings.classes
    timeout_s: float  # seconds until the client gives this try up
    slots: float = 1.0  # that it takes at its worker
    key: int | None = None  # requests of one key go to the same few workers, which cache what it needs
    tenant: str | None = None
    memory: float = 0.0  # units that it takes at its worker, where the deployment counts them
    work_hint: float | None = None  # seconds that it runs, as the client says
    route: str | None = None  # whose limits it comes under, see core.routing
    is_client_retry: bool = False  # its client has asked for the same before, see core.routing
    limits: RequestLimits | None = None


class LimitUpdate(NamedTuple):
    """Event: what an open job's own limits allow from now on, `max_sends` sends in all.

    `must_wait`, given while its last attempt is still in flight: once that has ended, the job is not to be
    sent before the next LimitUpdate. `may_hedge`: the next attempt may be sent at once, beside the one in
    flight.
    """

    request: str
    max_sends: int
    must_wait: bool = False
    may_hedge: bool = False


class Started(NamedTuple):
    """Event: an attempt has started to run at its worker."""

    request: str
    attempt: int


class Progress(NamedTuple):
    """Event: an attempt still runs."""

    request: str
    attempt: int
    done_share: float  # 0 to 1


class Streaming(NamedTuple):
    """Event: an attempt has begun to answer."""

    request: str
    attempt: int


class Ended(NamedTuple):
    """Event: an attempt has ended."""

    request: str
    attempt: int
    ending: Ending
    finished: bool  # the request has ended, by this attempt or earlier
    duration_s: float
    report: dict[str, float] | None = None  # figures that the worker adds


class ClientDisconnected(NamedTuple):
    """Event: the client waits for no answer any more."""

    request: str


class Timer(NamedTuple):
    """Event: a timer of SetTimer is due."""

    token: int  # as SetTimer gave it


class LoopStall(NamedTuple):
    """Event: for so many seconds before now no event could be taken in; that is no worker's delay."""

    duration_s: float


class HealthChecked(NamedTuple):
    """Event: a health check of a worker has ended."""

    worker: str
    ending: Ending
    duration_s: float
    report: dict[str, float] | None = None


class PeerMessage(NamedTuple):
    """Event: a Broadcast of another dispatcher has come."""

    sender: int  # its index
    data: bytes


class PeerLoads(NamedTuple):
    """Event: slots in flight of all other dispatchers, by the workers' numbers of `core.peers.loads`."""

    slots_in_flight: dict[int, float]
    age_s: float  # of the figures


class PeerReports(NamedTuple):
    """Event, for outlier detection: the peers' reports on workers that changed since the last one."""

    reports: "tuple[PeerReport, ...]"
    attempts: float  # that ended lately, as reported by all others
    bad_attempts: float  # of these
    dispatchers: int  # alive, oneself among them
    is_degraded: bool  # this dispatcher may see faults of its own in place of the workers'


class OperatorOverrides(NamedTuple):
    """Event, for outlier detection: all overrides of the operator that hold, by worker.

    Each is: ejected (else readmitted), seconds left, reason.
    """

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
    """Action: start the request's next attempt; attempts count 0, 1, 2 in the order of their sends."""

    request: str
    worker: str
    timeout_s: float = 0.0  # 0: until the client gives up
    start_within_s: float = 0.0  # its first byte must be sent so soon, or never; 0: no limit


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt, which may have run; its Ended still comes."""

    request: str
    attempt: int


class Reject(NamedTuple):
    """Action, a final answer: the request did not run, or may run again; a client's retry is harmless."""

    request: str
    retry_after_s: float = 0.0  # pause that the client is asked for; 0: none


class Fail(NamedTuple):
    """Action, a final answer: the request may or may not have run."""

    request: str


class SetTimer(NamedTuple):
    """Action: bring a Timer with this token after `delay_s` seconds."""

    delay_s: float
    token: int


class Subscribe(NamedTuple):
    """Action: subscribe to the endpoint list."""

    on: bool = True  # False: end the subscription


class Broadcast(NamedTuple):
    """Action: send this to every other dispatcher, as a PeerMessage."""

    data: bytes


class Log(NamedTuple):
    """Action: write a line to the log."""

    text: str


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | Broadcast | Log
