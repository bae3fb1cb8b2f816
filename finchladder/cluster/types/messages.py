"""The internal protocol: requests and replies between processes, as tagged MessagePack arrays."""

import msgspec

from finchladder.cluster.types.members import NO_BALLOT, Ballot, Member, View
from finchladder.cluster.types.operations import ControlState, Operation, WorkerRetirement
from finchladder.cluster.types.workers import StampedPlacement, StampedWorker


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


# --- requests ---------------------------------------------------------------------------------------------


class Ping(Message, frozen=True, tag=1):
    """Failure detection between core members; also asks to be admitted where the sender is in no view."""

    sender: Member
    view: int  # the newest decided one that the sender knows
    wants_to_join: bool


class Prepare(Message, frozen=True, tag=2):
    """First phase of agreeing on view `instance`."""

    instance: int
    ballot: Ballot


class Accept(Message, frozen=True, tag=3):
    """Second phase of agreeing on a view."""

    ballot: Ballot
    view: View


class Learn(Message, frozen=True, tag=4):
    """A view that was decided."""

    view: View


class Replicate(Message, frozen=True, tag=5):
    """From a member to its successor: an operation, the whole state, or neither to confirm what is stored."""

    view: int
    sequence: int  # after the operation
    operation: Operation | None = None
    state: ControlState | None = None


class Submit(Message, frozen=True, tag=6):
    """A change of the configuration, forwarded to the head. `patch`: PATCH, not PUT."""

    base: int
    patch: bool
    body: bytes
    deadline_ms: int


class ReadState(Message, frozen=True, tag=7):
    """Asks the tail for the newest acknowledged state."""


class PullUpdates(Message, frozen=True, tag=8):
    """Asks for what is missing, by version vector; answered at once or when something changes."""

    sender: str
    vector: dict[str, int]
    version: int  # of the configuration that the sender has
    view: int
    wait_ms: int
    is_dispatcher: bool


class Demand(Message, frozen=True):
    """What one dispatcher was asked for of one model or adapter since its last report."""

    service: str
    model: str
    adapter: str
    requests: int
    queued: int  # requests held because nobody holds it
    in_flight: int
    prompt_tokens: int  # of the prompts asked for


class ModelUse(Message, frozen=True):
    """Requests of one model, its adapters included, that a dispatcher has in flight at one worker."""

    instance: str
    model: str
    requests: int


class DemandReport(Message, frozen=True, tag=9):
    """From a dispatcher to the placer."""

    sender: str
    interval_s: float  # since the report before
    demands: tuple[Demand, ...]
    worker_loads: dict[
        str, int
    ] = {}  # by worker instance, in prompt tokens to be read; in requests without a model
    model_uses: tuple[ModelUse, ...] = ()
    prefill_s_per_token: dict[str, float] = {}  # of reading prompts, by service, where anything is known


class RenewLease(Message, frozen=True, tag=10):
    """Asks the head to keep the placer's lease."""

    holder: str
    token: int


class ClaimLease(Message, frozen=True, tag=11):
    """Asks the head for the vacant placer's role."""

    holder: str
    token: int  # the last one that the sender knows


class ReleaseLease(Message, frozen=True, tag=12):
    """The placer gives its role up; `idle_ms` ago it sent its last order."""

    holder: str
    token: int
    idle_ms: int


class FetchReplica(Message, frozen=True, tag=13):
    """From the head of a view without survivors: asks a member of its chain for the replica that it holds."""

    view: int


class RetireWorker(Message, frozen=True, tag=14):
    """Hands the drain or end of a worker to the head, for the chain to store."""

    retirement: WorkerRetirement


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
)

# --- replies ----------------------------------------------------------------------------------------------


class Pong(Message, frozen=True, tag=51):
    """State of a core member."""

    sender: Member
    view: int
    newer_view: View | None  # where the asker knows an older one
    state_view: int
    sequence: int
    disk_healthy: bool  # its disk answers
    has_accepted: bool  # it has accepted a proposal for the next view
    shutting_down: bool = False  # its process is about to end


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
    """Answer to Replicate: whether it is stored from here to the tail; else what is wrong, and where."""

    stored: bool
    view: View
    needs_state: bool = False
    problem: str = ""


class Submitted(Message, frozen=True, tag=55):
    """Outcome of a change. `status` is that of HTTP: 200, 400, 412 or 503."""

    status: int
    version: int
    problem: str = ""


class StateReply(Message, frozen=True, tag=56):
    """The newest acknowledged state, or why it can't be told."""

    state: ControlState | None
    problem: str = ""


class Update(Message, frozen=True, tag=57):
    """What the puller was missing."""

    origin: str
    vector: dict[str, int]
    view: View | None  # where the puller knows an older one
    workers: tuple[StampedWorker, ...]
    placements: tuple[StampedPlacement, ...]
    version: int
    document: bytes  # the newer configuration, packed; empty: there is none
    knows_all_workers: bool  # the sender has been up for long enough to know all workers
    is_full: bool  # the tables are sent whole, not as changes
    placer: str  # peer address of the placer; empty: unknown
    dispatchers: int  # dispatchers in session with the sender
    chain_confirmed: bool  # the sender's chain answered lately
    quorum_lost: bool = False  # most machines of the core answer the sender, and too few voters


class LeaseReply(Message, frozen=True, tag=58):
    """Answer to RenewPlacer, ClaimRole and Resign."""

    granted: bool
    token: int
    retry_after_ms: int = 0


class DemandReply(Message, frozen=True, tag=59):
    """Answer to DemandReport."""

    interval_ms: int
    is_placer: bool
    peer_loads: dict[str, int] = {}  # of all other dispatchers, by worker instance, as they reported them


class Failure(Message, frozen=True, tag=60):
    """A request that could not be answered."""

    step: str
    problem: str


class ReplicaReply(Message, frozen=True, tag=61):
    """Answer to Fetch. No state: the sender is not a member of that view, but knows `view`."""

    view: View
    state_view: int = 0
    state: ControlState | None = None


class RetireWorkerReply(Message, frozen=True, tag=62):
    """Answer to EndWorker: whether the whole chain has stored it; if not, it may or may not last."""

    stored: bool


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
)

encoder = msgspec.msgpack.Encoder()
request_decoder: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(Request)
reply_decoder: msgspec.msgpack.Decoder[Reply] = msgspec.msgpack.Decoder(Reply)
