"""Agreement on the next view by single-decree Paxos, with one instance for each view; without I/O and clock.

The acceptors of instance n + 1 are the voters of view n. A voter takes part only in the instance that follows
the newest decided view that it has learned. Its replies include that view, so that a proposer learns newer
views first.

    acceptor                 on Prepare(b)              on Accept(b, v)            on Learn(v), v newer
    promised p               b > p: promise, p = b      b >= p: accept v, p = b    view = v, rest is reset
    promised p, accepted v   b > p: promise, reply v    b >= p: accept, p = b      view = v, rest is reset
    not a voter              reject                     reject                     view = v, rest is reset

A voter makes its promises and accepted values durable before it replies; `Acceptor` is this durable state.
Source: L. Lamport, "Paxos Made Simple" (2001); views as in "Vertical Paxos" (Lamport, Malkhi, Zhou 2009).
"""

from collections.abc import Iterable

import msgspec

from finchladder.cluster.types.members import GENESIS, NO_BALLOT, Ballot, View
from finchladder.cluster.types.messages import Accept, Accepted, Prepare, Promise


class Acceptor(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of one voter."""

    view: View = GENESIS
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    accepted: View | None = None


def prepare(acceptor: Acceptor, may_vote: bool, request: Prepare) -> tuple[Acceptor, Promise]:
    """Handles the first phase; the returned acceptor must be durable before the reply is sent."""
    follows = request.instance == acceptor.view.number + 1
    granted = may_vote and follows and request.ballot > acceptor.promised
    if granted:
        acceptor = msgspec.structs.replace(acceptor, promised=request.ballot)
    reply = Promise(granted, acceptor.promised, acceptor.view, acceptor.accepted_ballot, acceptor.accepted)
    return acceptor, reply


def accept(acceptor: Acceptor, may_vote: bool, request: Accept) -> tuple[Acceptor, Accepted]:
    """Handles the second phase; the returned acceptor must be durable before the reply is sent."""
    follows = request.view.number == acceptor.view.number + 1
    granted = may_vote and follows and request.ballot >= acceptor.promised
    if granted:
        acceptor = Acceptor(acceptor.view, request.ballot, request.ballot, request.view)
    return acceptor, Accepted(granted, acceptor.promised, acceptor.view)


def learn(acceptor: Acceptor, view: View) -> Acceptor:
    """Adopts a decided view if it is newer, and discards the promises and votes of older instances."""
    return Acceptor(view) if view.number > acceptor.view.number else acceptor


def value_to_propose(promises: Iterable[Promise]) -> View | None:
    """The view accepted under the highest ballot, which the proposer must propose; None if there is none."""
    accepted = [promise for promise in promises if promise.accepted is not None]
    if not accepted:
        return None
    return max(accepted, key=lambda promise: promise.accepted_ballot).accepted
