"""Chain replication at one member, as a state machine without I/O and clock.

    on Replicate in view v, sequence s        what the member does
    v is not its view                         rejects it, replies with its view
    full state, older than its own of v       rejects it: the message was delayed
    full state                                stores the state: (v, s)
    operation, state_view = v, s = own + 1    applies it
    state_view = v, s = own                   stores nothing: a confirmation, or a retransmission
    else                                      requests the full state

A member replies only after all its successors have stored the same, so a reply to the head means that all
members have. `state_view` is the view in which the member last stored the state of its predecessor; in a
new view the full state is sent down the chain once.
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
    """The replica has to become durable before the message is forwarded."""

    replica: Replica


@dataclass(frozen=True)
class AlreadyStored:
    """The member holds this state already; the message is forwarded."""


@dataclass(frozen=True)
class Reject:
    """The message belongs to another view, or was delayed."""

    problem: str


@dataclass(frozen=True)
class RequestFullState:
    """The predecessor has to send the full state."""


Outcome = StoreReplica | AlreadyStored | Reject | RequestFullState


def receive(replica: Replica, view: int, request: Replicate) -> Outcome:
    """Decides what a member in that view does with a message from its predecessor."""
    if request.view != view:
        return Reject(f"message of view {request.view} in view {view}")
    if request.state is not None:
        if replica.state_view == view and request.state.sequence < replica.state.sequence:
            return Reject("the state came late")
        return StoreReplica(Replica(view, request.state))
    if replica.state_view != view:
        return RequestFullState()
    if request.sequence == replica.state.sequence:
        return AlreadyStored()
    if request.operation is None or request.sequence != replica.state.sequence + 1:
        return RequestFullState()
    return StoreReplica(Replica(view, apply(replica.state, request.operation)))


def enter_view(replica: Replica, view: int) -> Replica:
    """The replica of a head that starts a new view with its own state."""
    return msgspec.structs.replace(replica, state_view=view)


def newest_replica(replicas: Iterable[Replica]) -> Replica:
    """The replica with the latest view and sequence: it includes the operations of all others."""
    return max(replicas, key=lambda replica: (replica.state_view, replica.state.sequence))


def execute(replica: Replica, operation: Operation) -> Replica:
    """The head's replica after an operation that it has validated."""
    return msgspec.structs.replace(replica, state=apply(replica.state, operation))
