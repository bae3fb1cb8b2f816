"""Messages of the internal protocol between processes, encoded as tagged MessagePack arrays."""

import msgspec

from finchladder.cluster.types.members import NO_BALLOT, Ballot, Member, View
from finchladder.cluster.types.operations import ControlState, Operation, WorkerRetirement
from finchladder.cluster.types.workers import StampedPlacement, StampedWorker


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


# --- requests ---------------------------------------------------------------------------------------------


class Ping(Message, frozen=True, tag=1):
    """Checks whether a member is alive; a sender that is not in the chain may request to join."""

    sender: Member
    view: int  # number of the newest decided view that the sender has learned
    wants_to_join: bool


class Prepare(Message, frozen=True, tag=2):
    """First phase of the agreement on the view with the number `instance`."""

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
    """Sends an operation or the full state to the successor; without both it requests a confirmation."""

    view: int
    sequence: int  # sequence number of the state after the operation
    operation: Operation | None = None
    state: ControlState | None = None


class Submit(Message, frozen=True, tag=6):
    """Forwards a change of the configuration to the head; `patch` is true for PATCH and false for PUT."""

    base: int  # version that the change is based on
    patch: bool
    body: bytes
    deadline_ms: int  # time after receipt within which the sender needs the outcome


class ReadState(Message, frozen=True, tag=7):
    """Requests the newest acknowledged state from the tail."""


class PullUpdates(Message, frozen=True, tag=8):
    """Requests the changes after a version vector; if `wait_ms` is positive, this is a long poll."""

    sender: str
    vector: dict[str, int]
    version: int  # version of the configuration that the sender has
    view: int
    wait_ms: int
    is_dispatcher: bool
    placer_term: int = 0  # fencing token of the newest placer known to the sender; 0 if none


class Demand(Message, frozen=True):
    """Demand for one model or adapter at one dispatcher since its last report."""

    service: str
    model: str
    adapter: str
    requests: int
    queued: int  # requests that wait because no worker has loaded the model or adapter
    in_flight: int
    prompt_tokens: int  # total prompt tokens of `requests`


class ModelUse(Message, frozen=True):
    """Number of requests in flight from one dispatcher to one worker for one model and its adapters."""

    instance: str
    model: str
    requests: int


class DemandReport(Message, frozen=True, tag=9):
    """Reports the demand and load of a dispatcher to the placer."""

    sender: str
    interval_s: float  # time since the previous report
    demands: tuple[Demand, ...]
    # Load by worker instance, in prompt tokens to prefill, or in requests for services without models.
    worker_loads: dict[str, int] = {}
    model_uses: tuple[ModelUse, ...] = ()
    prefill_s_per_token: dict[str, float] = {}  # estimated prefill time of a prompt token by service


class RenewLease(Message, frozen=True, tag=10):
    """Requests the renewal of the placer's lease from the head."""

    holder: str
    token: int


class ClaimLease(Message, frozen=True, tag=11):
    """Requests the vacant lease of the placer from the head."""

    holder: str
    token: int  # latest fencing token known to the sender


class ReleaseLease(Message, frozen=True, tag=12):
    """Releases the placer's lease; the holder sent its last order `idle_ms` ago."""

    holder: str
    token: int
    idle_ms: int


class FetchReplica(Message, frozen=True, tag=13):
    """Requests the replica of a member of the chain; sent by the head of a view without survivors."""

    view: int


class RetireWorker(Message, frozen=True, tag=14):
    """Forwards the retirement of a worker to the head, which stores it in the chain."""

    retirement: WorkerRetirement


class QuotaDemand(Message, frozen=True):
    """Costs of requests of one tenant that wait for quota at one dispatcher, in order of arrival."""

    tenant: str
    costs: tuple[int, ...]


class QuotaReturn(Message, frozen=True):
    """Units of one tenant that were granted and will not be spent."""

    tenant: str
    units: int


class ReserveQuota(Message, frozen=True, tag=15):
    """Requests quota from the holder of the quota account and returns unspent units of earlier grants."""

    sender: str
    demands: tuple[QuotaDemand, ...]
    returns: tuple[QuotaReturn, ...] = ()
    returned_term: int = 0  # term of the account that granted the returned units


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
    """Reply to Ping with the status of a control process."""

    sender: Member
    view: int
    newer_view: View | None  # set if the sender of the ping has an older view
    state_view: int  # number of the view in which the sender last stored the state
    sequence: int
    disk_healthy: bool  # whether the sender's disk completes writes
    has_accepted: bool  # whether the sender has accepted a proposal for the next view
    shutting_down: bool = False  # whether the sender is shutting down gracefully


class Promise(Message, frozen=True, tag=52):
    """Reply to Prepare; `view` is the newest decided view that the voter has learned."""

    granted: bool
    promised: Ballot
    view: View
    accepted_ballot: Ballot = NO_BALLOT
    accepted: View | None = None


class Accepted(Message, frozen=True, tag=53):
    """Reply to Accept."""

    granted: bool
    promised: Ballot
    view: View


class Replicated(Message, frozen=True, tag=54):
    """Reply to Replicate: whether the receiver and all its successors have stored the state.

    Otherwise either `needs_state` requests the full state, or `problem` names the member and the cause.
    """

    stored: bool
    view: View
    needs_state: bool = False
    problem: str = ""


class Submitted(Message, frozen=True, tag=55):
    """Reply to Submit; `status` is the HTTP status 200, 400, 412 or 503."""

    status: int
    version: int
    problem: str = ""


class StateReply(Message, frozen=True, tag=56):
    """Reply to ReadState with the newest acknowledged state, or the reason why the state is unknown."""

    state: ControlState | None
    problem: str = ""


class Update(Message, frozen=True, tag=57):
    """Reply to PullUpdates with the requested changes and the status of the replying process."""

    origin: str
    vector: dict[str, int]
    view: View | None  # None unless the subscriber has an older view
    workers: tuple[StampedWorker, ...]
    placements: tuple[StampedPlacement, ...]
    version: int
    document: bytes  # compressed newer configuration; empty if there is none
    knows_all_workers: bool  # whether the sender has run long enough to have records of all live workers
    is_full: bool  # whether all records are included instead of changed ones only
    placer: str  # peer address of the placer; empty if unknown
    dispatchers: int  # number of dispatchers that pull from the sender
    chain_confirmed: bool  # whether the chain was confirmed recently at the sender
    quorum_lost: bool = False  # whether most control processes, but too few voters, reply to the sender
    placer_term: int = 0  # fencing token of `placer`; 0 if unknown


class LeaseReply(Message, frozen=True, tag=58):
    """Reply to RenewLease, ClaimLease and ReleaseLease."""

    granted: bool
    token: int
    retry_after_ms: int = 0
    vacant_ms: int = 0  # time directly before a grant in which certainly no process held the lease


class DemandReply(Message, frozen=True, tag=59):
    """Reply to DemandReport."""

    interval_ms: int  # requested time between two reports
    is_placer: bool
    peer_loads: dict[str, int] = {}  # load that the other dispatchers last reported, by worker instance


class Failure(Message, frozen=True, tag=60):
    """Reply to a request that failed."""

    step: str
    problem: str


class ReplicaReply(Message, frozen=True, tag=61):
    """Reply to FetchReplica with the sender's newest view, and if that is the requested one, its replica."""

    view: View
    state_view: int = 0
    state: ControlState | None = None


class RetireWorkerReply(Message, frozen=True, tag=62):
    """Reply to RetireWorker: whether the whole chain has stored it; otherwise the outcome is unknown."""

    stored: bool


class QuotaGrant(Message, frozen=True):
    """Reply to one `QuotaDemand`; `granted` contains for each of its costs whether it is granted."""

    tenant: str
    granted: tuple[bool, ...]
    retry_after_ms: int = 0  # time until the lowest rejected cost can be granted
    is_exhausted: bool = False  # whether no request can be granted now, regardless of its cost


class QuotaReply(Message, frozen=True, tag=63):
    """Reply to ReserveQuota with grants in the order of the demands; empty unless sent by the holder."""

    is_holder: bool
    term: int = 0  # term of the account
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
