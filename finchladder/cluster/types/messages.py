"""Messages of the internal protocol between processes, encoded as tagged MessagePack arrays."""

import msgspec

from finchladder.cluster.types.members import NO_BALLOT, Ballot, Member, View
from finchladder.cluster.types.operations import ControlState, Operation, WorkerRetirement
from finchladder.cluster.types.workers import StampedPlacement, StampedWorker


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


# --- requests ---------------------------------------------------------------------------------------------


class Ping(Message, frozen=True, tag=1):
    """Heartbeat between members for failure detection; a sender outside of the view may request to join."""

    sender: Member
    view: int  # number of the newest decided view that the sender knows
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
    """Sends an operation or the full state to the successor; without either it requests a confirmation."""

    view: int
    sequence: int  # sequence number of the state after the operation
    operation: Operation | None = None
    state: ControlState | None = None


class Submit(Message, frozen=True, tag=6):
    """Forwards a change of the configuration to the head; `patch` is true for PATCH and false for PUT."""

    base: int
    patch: bool
    body: bytes
    deadline_ms: int


class ReadState(Message, frozen=True, tag=7):
    """Requests the newest acknowledged state from the tail."""


class PullUpdates(Message, frozen=True, tag=8):
    """Requests the changes after a version vector; a long poll if `wait_ms` is positive."""

    sender: str
    vector: dict[str, int]
    version: int  # version of the configuration that the sender has
    view: int
    wait_ms: int
    is_dispatcher: bool
    placer_term: int = 0  # fencing token of the placer that the sender knows; 0 if it knows none


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
    """Requests in flight of one dispatcher at one worker for one model, including its adapters."""

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
    prefill_s_per_token: dict[str, float] = {}  # known prefill times by service


class RenewLease(Message, frozen=True, tag=10):
    """Requests the renewal of the placer's lease from the head."""

    holder: str
    token: int


class ClaimLease(Message, frozen=True, tag=11):
    """Requests the vacant lease of the placer from the head."""

    holder: str
    token: int  # latest fencing token that the sender knows


class ReleaseLease(Message, frozen=True, tag=12):
    """Releases the placer's lease; the holder sent its last order `idle_ms` ago."""

    holder: str
    token: int
    idle_ms: int


class FetchReplica(Message, frozen=True, tag=13):
    """Requests the replica of a member of the chain, for the head of a view without survivors."""

    view: int


class RetireWorker(Message, frozen=True, tag=14):
    """Forwards the retirement of a worker to the head, which stores it in the chain."""

    retirement: WorkerRetirement


class QuotaDemand(Message, frozen=True):
    """Costs of one tenant's requests that wait for quota at one dispatcher, in order of arrival."""

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
    """Answer to Ping with the state of a control process."""

    sender: Member
    view: int
    newer_view: View | None  # set if the sender of the ping has an older view
    state_view: int
    sequence: int
    disk_healthy: bool  # whether its disk completes writes
    has_accepted: bool  # whether it has accepted a proposal for the next view
    shutting_down: bool = False  # whether it is shutting down gracefully


class Promise(Message, frozen=True, tag=52):
    """Answer to Prepare; `view` is the newest decided view that the voter knows."""

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
    """Answer to Replicate: whether all members down to the tail stored it; otherwise problem and member."""

    stored: bool
    view: View
    needs_state: bool = False
    problem: str = ""


class Submitted(Message, frozen=True, tag=55):
    """Answer to Submit; `status` is the HTTP status 200, 400, 412 or 503."""

    status: int
    version: int
    problem: str = ""


class StateReply(Message, frozen=True, tag=56):
    """Answer to ReadState with the newest acknowledged state, or the reason why it is unknown."""

    state: ControlState | None
    problem: str = ""


class Update(Message, frozen=True, tag=57):
    """Answer to PullUpdates with the requested changes and the status of the sender."""

    origin: str
    vector: dict[str, int]
    view: View | None  # set if the subscriber has an older view
    workers: tuple[StampedWorker, ...]
    placements: tuple[StampedPlacement, ...]
    version: int
    document: bytes  # compressed newer configuration; empty if there is none
    knows_all_workers: bool  # whether the sender has run for long enough to know all workers
    is_full: bool  # whether the tables are complete instead of changes only
    placer: str  # peer address of the placer; empty if unknown
    dispatchers: int  # number of dispatchers that pull from the sender
    chain_confirmed: bool  # whether the chain has confirmed the sender recently
    quorum_lost: bool = False  # most control processes answer the sender, but too few voters do
    placer_term: int = 0  # fencing token of `placer`; 0 if unknown


class LeaseReply(Message, frozen=True, tag=58):
    """Answer to RenewLease, ClaimLease and ReleaseLease."""

    granted: bool
    token: int
    retry_after_ms: int = 0
    vacant_ms: int = 0  # time before a grant for which certainly no process held the lease


class DemandReply(Message, frozen=True, tag=59):
    """Answer to DemandReport."""

    interval_ms: int
    is_placer: bool
    peer_loads: dict[str, int] = {}  # last reported load of all other dispatchers by worker instance


class Failure(Message, frozen=True, tag=60):
    """Answer to a request that failed."""

    step: str
    problem: str


class ReplicaReply(Message, frozen=True, tag=61):
    """Answer to FetchReplica with the newest known view; no state if it is not the requested view."""

    view: View
    state_view: int = 0
    state: ControlState | None = None


class RetireWorkerReply(Message, frozen=True, tag=62):
    """Answer to RetireWorker: whether the whole chain has stored it; otherwise the outcome is unknown."""

    stored: bool


class QuotaGrant(Message, frozen=True):
    """Answer to one `QuotaDemand`, with a flag for each of its costs that tells whether it is granted."""

    tenant: str
    granted: tuple[bool, ...]
    retry_after_ms: int = 0  # time until the first rejected cost can be granted
    is_exhausted: bool = False  # whether no request can be granted now, regardless of its cost


class QuotaReply(Message, frozen=True, tag=63):
    """Answer to ReserveQuota with grants in the order of the demands; none unless sent by the holder."""

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
