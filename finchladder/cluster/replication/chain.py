"""A member's part in chain replication: what it stores, and when that is acknowledged; no I/O and no clock.

    on Replicate in view v, sequence s        what the member does
    v is not its view                         refuses, tells its view
    state with it, older than its own of v    refuses: it came late
    state with it                             takes the state: (v, s)
    operation, state_view = v, s = own + 1    applies it
    state_view = v, s = own                   nothing to store: a confirmation, or a repeat
    else                                      asks for the state

It answers only after all members behind it have stored the same, so what the head hears is stored everywhere.
`state_view` is the view in which the member last stored the state as its predecessor had it; in a new view
the whole state goes down the chain once. Source: van Renesse, Schneider, "Chain Replication" (OSDI 2004).
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
    """The replica is to be made durable, then the message goes on."""

    replica: Replica


@dataclass(frozen=True)
class AlreadyStored:
    """Nothing to be stored; the message goes on."""


@dataclass(frozen=True)
class Reject:
    """The message belongs to another view."""

    problem: str


@dataclass(frozen=True)
class RequestFullState:
    """The predecessor has to send the whole state."""


Outcome = StoreReplica | AlreadyStored | Reject | RequestFullState


def receive(replica: Replica, view: int, request: Replicate) -> Outcome:
    """What a member in view `view` does with a message from its predecessor."""
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


def adopt(replica: Replica, view: int) -> Replica:
    """The head of a new view begins with the state that it has."""
    return msgspec.structs.replace(replica, state_view=view)


def newest(replicas: Iterable[Replica]) -> Replica:
    """The one stored in the latest view and there after the most operations: it has all that others have."""
    return max(replicas, key=lambda replica: (replica.state_view, replica.state.sequence))


def execute(replica: Replica, operation: Operation) -> Replica:
    """The head applies an operation that it has checked."""
    return msgspec.structs.replace(replica, state=apply(replica.state, operation))
