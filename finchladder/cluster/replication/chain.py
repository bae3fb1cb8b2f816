"""Chain replication at one member, as a state machine without I/O and clock.

    Replicate in view v with sequence s         action of the member
    v is not its view                           rejects the message and replies with its view
    full state older than its own state of v    rejects the message, which was delayed
    full state                                  stores the state as (v, s)
    operation, state_view = v, s = own + 1      applies the operation
    state_view = v, s = own                     stores nothing: it is a confirmation or a retransmission
    otherwise                                   requests the full state

A member replies only after all its successors have stored the same state, so a reply to the head means that
all members have stored it. `state_view` is the number of the view in which the member last stored the state
of its predecessor. In a new view the full state is sent from each member to its successor once.
Source: van Renesse, Schneider, "Chain Replication" (OSDI 2004).
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from finchladder.cluster.types.messages import Replicate
from finchladder.cluster.types.operations import ControlState, Operation, apply


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of one member of the chain."""

    state_view: int = 0
    state: ControlState = ControlState()


@dataclass(frozen=True)
class StoreReplica:
    """The member must make the replica durable before it forwards the message."""

    replica: Replica


@dataclass(frozen=True)
class AlreadyStored:
    """The member has already stored this state and only forwards the message."""


@dataclass(frozen=True)
class Reject:
    """The member rejects the message because it belongs to another view or was delayed."""

    problem: str


@dataclass(frozen=True)
class RequestFullState:
    """The member requests the full state from its predecessor."""


Outcome = StoreReplica | AlreadyStored | Reject | RequestFullState


def receive(replica: Replica, view: int, request: Replicate) -> Outcome:
    """Decides how a member in view `view` handles a message from its predecessor."""
    if request.view != view:
        return Reject(f"the message belongs to view {request.view}, the member is in view {view}")
    if request.state is not None:
        if replica.state_view == view and request.state.sequence < replica.state.sequence:
            return Reject("the full state is older than the stored state of the same view")
        return StoreReplica(Replica(view, request.state))
    if replica.state_view != view:
        return RequestFullState()
    if request.sequence == replica.state.sequence:
        return AlreadyStored()
    if request.operation is None or request.sequence != replica.state.sequence + 1:
        return RequestFullState()
    return StoreReplica(Replica(view, apply(replica.state, request.operation)))


def enter_view(replica: Replica, view: int) -> Replica:
    """The replica of a head that enters a new view with its own state."""
    return msgspec.structs.replace(replica, state_view=view)


def newest_replica(replicas: Iterable[Replica]) -> Replica:
    """The replica with the latest view and sequence, which includes the operations of all other replicas."""
    return max(replicas, key=lambda replica: (replica.state_view, replica.state.sequence))


def execute(replica: Replica, operation: Operation) -> Replica:
    """The head's replica after an operation that the head has validated."""
    return msgspec.structs.replace(replica, state=apply(replica.state, operation))
