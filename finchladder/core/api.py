"""The interface of a Dispatcher: settings, events and actions.

Times are in seconds of the caller's monotonic clock, durations in seconds. Loads are in slots: a request
takes one slot unless it specifies another number. The names of workers, requests, classes, tenants, zones and
kinds are opaque strings.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from finchladder.core.health.detection.reports import PeerReport


class Effect(Enum):
    """How often a job may run; determines whether and to which workers it may be sent again."""

    SAFE = "safe"  # idempotent: the job may run any number of times
    KEYED = "keyed"  # workers drop duplicates, within a scope and for a time, see JobClass
    UNSAFE = "unsafe"  # the job must never run twice


class DeduplicationScope(Enum):
    """The scope within which workers drop duplicates of a KEYED job."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListKind(Enum):
    """How a WorkerList relates to the previous one."""

    PATCH = "patch"  # changed entries only
    FULL = "whole"  # all entries; missing workers are removed
    STALE = "stale"  # all entries as last received, possibly outdated
    BROKEN = "broken"  # no entries: a request for the list failed, or the subscription ended


class WorkerStatus(Enum):
    """The status of a worker in the endpoint list; only READY workers are sent new requests."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


class Ending(Enum):
    """How an attempt ended; NEVER_RAN contains the endings that prove that the job did not run."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    VOID = "void"  # never written to the worker, for example because it was no longer ready
    UNKNOWN = "unknown"  # a code unknown to this version: the job may have run


NEVER_RAN = frozenset({Ending.OVERLOADED, Ending.UNREACHABLE, Ending.VOID})


@dataclass(slots=True, frozen=True)
class JobClass:
    """A class of jobs with the same effect, latency target and value."""

    name: str
    effect: Effect
    latency_target_s: float  # time within which the owner wants the answer
    deadline_s: float  # time until the client gives up, including its own retries
    value: float = (
        1.0  # orders a route's queue if its operator asks for that; no other decision depends on it
    )
    run_time_allowance: float = 0.0  # multiple of the job's run time that is added to the latency target
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    # for KEYED jobs: time for which duplicates are dropped, from the first send that may have run
    deduplication_window_s: float = 0.0
    priority: int = 0  # higher priorities are placed first
    kind: str | None = None  # the machine kind that runs it, None for any
    stream: bool = False  # the answer is streamed


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer whose quota is enforced while the fleet is overloaded."""

    name: str
    quota_rps: float  # requests per second at all dispatchers together


@dataclass(slots=True, frozen=True)
class Settings:
    """Startup settings of a dispatcher."""

    classes: tuple[JobClass, ...]
    zones: tuple[str, ...] = ("",)  # all zones of the fleet
    zone: str = ""  # the zone of this dispatcher
    kinds: tuple[str, ...] = ()  # all machine kinds of the fleet
    tenants: tuple[Tenant, ...] = ()
    index: int = 0  # this dispatcher's number, from 0 to `dispatchers` - 1
    dispatchers: int = 1  # number of dispatchers that share the fleet
    max_attempts: int = 3  # total sends per request
    may_cancel: bool = False  # attempts can be cancelled
    may_health_check: bool = False
    may_message_peers: bool = False
    may_hedge: bool = False  # a request may have two attempts in flight
    must_subscribe: bool = False  # the worker list is only sent to subscribers or on request
    reports_start: bool = False  # workers report when an attempt starts to run
    weights_report_load: bool = False  # the weights in the list depend on the load of the workers
    progress_interval_s: float = 0.0  # 0: workers do not report progress
    max_retry_after_s: float = 0.0  # longest backoff that a rejected client may be asked for
    message_bytes: int = 256  # size of a full message between peers
    clock_tick_s: float = 0.001  # shortest time between two batches of events
    drain_grace_s: float = 1.0  # time after which a worker listed as draining or removed must be sent nothing
    subscribe_timeout_s: float = 10.0  # after this, a dispatcher without a subscription counts as notified
    slow_start_initial_share: float = 0.1  # share of its full capacity that a worker has when it starts
    slow_start_s: float = 20.0  # time from the start until a worker has its full capacity
    # a worker in slow start fails if it is sent overload_multiple times its capacity for overload_window_s
    overload_multiple: float = 3.0
    overload_window_s: float = 1.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for job_class in self.classes:
            if job_class.latency_target_s <= 0 or job_class.deadline_s <= 0:
                raise ValueError(f"classes: {job_class.name}: latency target and deadline must be above 0")
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
    """A filter of the workers that some jobs may be sent to; an empty set includes all kinds or zones."""

    kinds: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()

    def contains(self, kind: str, zone: str) -> bool:
        """Whether a worker of that kind in that zone belongs to the pool."""
        return (not self.kinds or kind in self.kinds) and (not self.zones or zone in self.zones)


class WorkerEntry(NamedTuple):
    """The entry of a worker in the endpoint list."""

    worker: str  # address
    state: WorkerStatus
    zone: str = ""
    kind: str = ""  # machine kind
    cell: int = 0  # group of workers within the zone that drop each other's duplicates
    started_at: float = 0.0  # time of its start by the caller's clock; 0: long ago
    weight: float = 1.0  # relative capacity, or with `weights_report_load` the capacity divided by the load


class WorkerList(NamedTuple):
    """Event: the endpoint list or a change of it was received, or the subscription was lost."""

    kind: ListKind
    entries: tuple[WorkerEntry, ...] = ()


class RequestLimits(NamedTuple):
    """Limits of a single job, which apply in addition to those of the settings."""

    max_sends: int  # total sends, including the first
    priority: int = 0  # queued jobs of higher priorities are placed first
    pool: WorkerPool | None = None  # None: all workers of the class's kind


class Request(NamedTuple):
    """Event: a client's request was received."""

    id: str
    job_class: str  # name of a class of Settings.classes
    timeout_s: float  # seconds until the client stops waiting for the answer
    slots: float = 1.0  # slots that it occupies at its worker
    key: int | None = None  # requests of one key are sent to the same few workers, which cache its data
    tenant: str | None = None
    memory: float = 0.0  # memory units that it occupies at its worker, if the deployment counts them
    work_hint: float | None = None  # run time in seconds as estimated by the client
    route: str | None = None  # route whose limits apply, see core.routing
    is_client_retry: bool = False  # the client has sent the same request before, see core.routing
    limits: RequestLimits | None = None


class LimitUpdate(NamedTuple):
    """Event: the limits of an open job have changed; `max_sends` is the total number of sends allowed.

    `must_wait`: after the attempt that is in flight has ended, the job must not be sent before the next
    LimitUpdate. `may_hedge`: the next attempt may be sent immediately, while another one is in flight.
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
    """Event: an attempt is still running."""

    request: str
    attempt: int
    done_share: float  # 0 to 1


class Streaming(NamedTuple):
    """Event: the answer to an attempt has started to arrive."""

    request: str
    attempt: int


class Ended(NamedTuple):
    """Event: an attempt has ended."""

    request: str
    attempt: int
    ending: Ending
    finished: bool  # the request is finished, by this or an earlier attempt
    duration_s: float
    report: dict[str, float] | None = None  # measurements attached by the worker


class ClientDisconnected(NamedTuple):
    """Event: the client no longer waits for an answer."""

    request: str


class Timer(NamedTuple):
    """Event: a timer set by SetTimer has expired."""

    token: int  # the token of the SetTimer


class LoopStall(NamedTuple):
    """Event: the event loop was stalled for the last `duration_s` seconds; no worker caused this delay."""

    duration_s: float


class HealthChecked(NamedTuple):
    """Event: a health check of a worker has ended."""

    worker: str
    ending: Ending
    duration_s: float
    report: dict[str, float] | None = None


class PeerMessage(NamedTuple):
    """Event: a Broadcast of another dispatcher was received."""

    sender: int  # index of that dispatcher
    data: bytes


class PeerLoads(NamedTuple):
    """Event: slots in flight from all other dispatchers, by the worker numbers of `core.peers.loads`."""

    slots_in_flight: dict[int, float]
    age_s: float  # age of the figures


class PeerReports(NamedTuple):
    """Event for outlier detection: reports of the peers on workers that changed since the last event."""

    reports: "tuple[PeerReport, ...]"
    attempts: float  # recently ended attempts of all peers, as reported
    bad_attempts: float  # failed ones among `attempts`
    dispatchers: int  # live dispatchers, including this one
    is_degraded: bool  # failures observed by this dispatcher may be its own rather than the workers'


class OperatorOverrides(NamedTuple):
    """Event for outlier detection: all active overrides of the operator, by worker.

    An override consists of: whether the worker is ejected (otherwise readmitted), seconds left, reason.
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
    """Action: start the next attempt of a request; attempts are numbered from 0 in order of sending."""

    request: str
    worker: str
    timeout_s: float = 0.0  # 0: until the client's timeout
    start_within_s: float = 0.0  # time limit for sending the first byte; 0: no limit


class Cancel(NamedTuple):
    """Action: cancel an attempt, which may have run; an Ended event still follows."""

    request: str
    attempt: int


class Reject(NamedTuple):
    """Action, a final answer: the request did not run or may run again, so a client retry is harmless."""

    request: str
    retry_after_s: float = 0.0  # backoff that the client is asked for; 0: none


class Fail(NamedTuple):
    """Action, a final answer: the request may or may not have run."""

    request: str


class SetTimer(NamedTuple):
    """Action: deliver a Timer event with this token after `delay_s` seconds."""

    delay_s: float
    token: int


class Subscribe(NamedTuple):
    """Action: subscribe to the endpoint list."""

    on: bool = True  # False: unsubscribe


class Broadcast(NamedTuple):
    """Action: send `data` to every other dispatcher, which receives a PeerMessage event."""

    data: bytes


class Log(NamedTuple):
    """Action: write a line to the log."""

    text: str


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | Broadcast | Log
