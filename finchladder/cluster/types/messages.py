"""The internal protocol: requests and replies between processes, as tagged MessagePack arrays."""

import msgspec

from finchladder.cluster.types.members import NO_BALLOT, Ballot, Member, View
from finchladder.cluster.types.operations import ControlState, Operation, WorkerRetirement
from finchladder.cluster.types.workers import StampedPlacement, StampedWorker


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


# --- requests ---------------------------------------------------------------------------------------------


class Ping(Message, frozen=True, tag=1):
    """Failure detection between members; also requests to join where the sender is in no view."""

    sender: Member
    view: int  # number of the newest decided one that the sender knows
    wants_to_join: bool


class Prepare(Message, frozen=True, tag=2):
    """First phase of the agreement on view `instance`."""

    instance: int
    ballot: Ballot


class Accept(Message, frozen=True, tag=3):
    """Second phase of the agreement on a view."""

    ballot: Ballot
    view: View


class Learn(Message, frozen=True, tag=4):
    """Announces a decided view."""

    view: View


class Replicate(Message, frozen=True, tag=5):
    """From a member to its successor: an operation, the full state, or neither to confirm what is stored."""

    view: int
    sequence: int  # after the operation
    operation: Operation | None = None
    state: ControlState | None = None


class Submit(Message, frozen=True, tag=6):
    """A change of the configuration, forwarded to the head. `patch`: a PATCH, not a PUT."""

    base: int
    patch: bool
    body: bytes
    deadline_ms: int


class ReadState(Message, frozen=True, tag=7):
    """Requests the newest acknowledged state from the tail."""


class PullUpdates(Message, frozen=True, tag=8):
    """Requests what the sender lacks, by version vector; a long poll where `wait_ms` is positive."""

    sender: str
    vector: dict[str, int]
    version: int  # of the configuration that the sender has
    view: int
    wait_ms: int
    is_dispatcher: bool
    placer_term: int = 0  # fencing token of the placer that the sender knows; 0: it knows none


class Demand(Message, frozen=True):
    """Requests for one model or adapter that one dispatcher received since its last report."""

    service: str
    model: str
    adapter: str
    requests: int
    queued: int  # requests that wait because no worker has it loaded
    in_flight: int
    prompt_tokens: int  # of the prompts of these requests


class ModelUse(Message, frozen=True):
    """Requests of one model, its adapters included, that a dispatcher has in flight at one worker."""

    instance: str
    model: str
    requests: int


class DemandReport(Message, frozen=True, tag=9):
    """From a dispatcher to the placer: demand and load."""

    sender: str
    interval_s: float  # since the previous report
    demands: tuple[Demand, ...]
    # by worker instance: prompt tokens to prefill; requests where there is no model
    worker_loads: dict[str, int] = {}
    model_uses: tuple[ModelUse, ...] = ()
    prefill_s_per_token: dict[str, float] = {}  # by service, where it is known


class RenewLease(Message, frozen=True, tag=10):
    """Requests from the head that the placer's lease be renewed."""

    holder: str
    token: int


class ClaimLease(Message, frozen=True, tag=11):
    """Requests the vacant lease of the placer from the head."""

    holder: str
    token: int  # last fencing token that the sender knows


class ReleaseLease(Message, frozen=True, tag=12):
    """Releases the placer's lease; the last order was sent `idle_ms` ago."""

    holder: str
    token: int
    idle_ms: int


class FetchReplica(Message, frozen=True, tag=13):
    """From the head of a view without survivors: requests the replica of a member of its chain."""

    view: int


class RetireWorker(Message, frozen=True, tag=14):
    """Forwards the retirement of a worker to the head, for the chain to store."""

    retirement: WorkerRetirement


class QuotaDemand(Message, frozen=True):
    """Requests of one tenant that wait for quota at one dispatcher: their costs, in order of arrival."""

    tenant: str
    costs: tuple[int, ...]


class QuotaReturn(Message, frozen=True):
    """Quota of one tenant that was granted and neither spent nor will be."""

    tenant: str
    units: int


class ReserveQuota(Message, frozen=True, tag=15):
    """From a dispatcher to the holder of the quota account: needs, and what it returns of earlier grants."""

    sender: str
    demands: tuple[QuotaDemand, ...]
    returns: tuple[QuotaReturn, ...] = ()
    returned_term: int = 0  # of the account that granted what is returned


Request = (
    Ping
    | Prepare
    | Accept
    | Learn
    | Replicate
    | Submit
    | ReadState
    | PullUpdates
    | DemandReport
    | RenewLease
    | ClaimLease
    | ReleaseLease
    | FetchReplica
    | RetireWorker
    | ReserveQuota
)

# --- replies ----------------------------------------------------------------------------------------------


class Pong(Message, frozen=True, tag=51):
    """State of a core member."""

    sender: Member
    view: int
    newer_view: View | None  # set where the sender of the ping knows an older one
    state_view: int
    sequence: int
    disk_healthy: bool  # its disk completes writes
    has_accepted: bool  # it has accepted a proposal for the next view
    shutting_down: bool = False  # it is shutting down gracefully


class Promise(Message, frozen=True, tag=52):
    """Answer to Prepare. `view`: the newest decided one that the voter knows."""

    granted: bool
    promised: Ballot
    view: View
    accepted_ballot: Ballot = NO_BALLOT
    accepted: View | None = None


class Accepted(Message, frozen=True, tag=53):
    """Answer to Accept."""

    granted: bool
    promised: Ballot
    view: View


class Replicated(Message, frozen=True, tag=54):
    """Answer to Replicate: whether it is stored from here to the tail; else the problem and its member."""

    stored: bool
    view: View
    needs_state: bool = False
    problem: str = ""


class Submitted(Message, frozen=True, tag=55):
    """Outcome of a change. `status`: as in HTTP, 200, 400, 412 or 503."""

    status: int
    version: int
    problem: str = ""


class StateReply(Message, frozen=True, tag=56):
    """The newest acknowledged state, or the reason why it is not known."""

    state: ControlState | None
    problem: str = ""


class Update(Message, frozen=True, tag=57):
    """What the puller lacked, with the status of the sender."""

    origin: str
    vector: dict[str, int]
    view: View | None  # set where the puller knows an older one
    workers: tuple[StampedWorker, ...]
    placements: tuple[StampedPlacement, ...]
    version: int
    document: bytes  # the newer configuration, compressed; empty: there is none
    knows_all_workers: bool  # the sender has run for long enough to know all workers
    is_full: bool  # full tables, not a delta
    placer: str  # peer address of the placer; empty: unknown
    dispatchers: int  # number of those that pull from the sender
    chain_confirmed: bool  # the chain has confirmed the sender lately
    quorum_lost: bool = False  # most control processes answer the sender, and too few voters
    placer_term: int = 0  # fencing token of `placer`; 0: unknown


class LeaseReply(Message, frozen=True, tag=58):
    """Answer to RenewLease, ClaimLease and ReleaseLease."""

    granted: bool
    token: int
    retry_after_ms: int = 0
    vacant_ms: int = 0  # for which certainly nobody had held a lease that is granted


class DemandReply(Message, frozen=True, tag=59):
    """Answer to DemandReport."""

    interval_ms: int
    is_placer: bool
    peer_loads: dict[str, int] = {}  # of all other dispatchers, by worker instance, as last reported


class Failure(Message, frozen=True, tag=60):
    """Answer to a request that could not be handled."""

    step: str
    problem: str


class ReplicaReply(Message, frozen=True, tag=61):
    """Answer to FetchReplica. No state: the sender is not a member of that view, but knows `view`."""

    view: View
    state_view: int = 0
    state: ControlState | None = None


class RetireWorkerReply(Message, frozen=True, tag=62):
    """Answer to RetireWorker: whether the full chain has stored it; if not, it may or may not last."""

    stored: bool


class QuotaGrant(Message, frozen=True):
    """Answer to one `QuotaDemand`: for each of its costs whether it is granted."""

    tenant: str
    granted: tuple[bool, ...]
    retry_after_ms: int = 0  # until the first cost that was not granted could be
    is_exhausted: bool = False  # nothing is left, whatever a request costs


class QuotaReply(Message, frozen=True, tag=63):
    """Answer to ReserveQuota: grants in the order of the needs; none where the sender is not the holder."""

    is_holder: bool
    term: int = 0  # of the account
    grants: tuple[QuotaGrant, ...] = ()


Reply = (
    Pong
    | Promise
    | Accepted
    | Replicated
    | Submitted
    | StateReply
    | Update
    | LeaseReply
    | DemandReply
    | Learn
    | Failure
    | ReplicaReply
    | RetireWorkerReply
    | QuotaReply
)

encoder = msgspec.msgpack.Encoder()
request_decoder: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(Request)
reply_decoder: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)
