"""The agreement on one view as a model for exhaustive search: the functions that run in a core process, with
proposers whose messages reach any voter in any order, more than once or never.
"""

from collections.abc import Iterable, Iterator
from itertools import combinations

from attrs import evolve, frozen

from finchladder.cluster.replication import agreement
from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.types.members import Ballot, Member, View
from finchladder.cluster.types.messages import Accept, Prepare, Promise


@frozen
class Proposal:
    """What one ballot has brought so far. `value`: what it proposes, once it has a quorum of promises."""

    ballot: Ballot
    promises: frozenset[tuple[int, Promise]] = frozenset()  # by the voter's place
    value: View | None = None
    votes: frozenset[int] = frozenset()


@frozen
class Round:
    """A state: the voters' durable states and the proposals."""

    acceptors: tuple[Acceptor, ...]
    proposals: tuple[Proposal, ...]

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.acceptors) // 2 + 1

    def decided(self) -> set[View]:
        """Views that a quorum has voted for under one ballot."""
        return {p.value for p in self.proposals if p.value is not None and len(p.votes) >= self.quorum}


def start(voters: int, ballots: int) -> Round:
    """Nobody has sent anything; each ballot is of another proposer."""
    members = tuple(Member(f"v{n}", f"v{n}", "z", f"v{n}:1", f"v{n}:2") for n in range(voters))
    base = View(1, members, members, voters)
    proposals = tuple(Proposal(Ballot(n + 1, f"p{n}")) for n in range(ballots))
    return Round((Acceptor(base),) * voters, proposals)


def steps(state: Round) -> Iterator[tuple[str, Round]]:
    """All that may happen next."""
    for place, proposal in enumerate(state.proposals):
        for name, acceptors, changed in _of(state, proposal):
            proposals = (*state.proposals[:place], changed, *state.proposals[place + 1 :])
            yield f"{proposal.ballot.proposer}: {name}", Round(acceptors, proposals)


def _of(state: Round, proposal: Proposal) -> Iterator[tuple[str, tuple[Acceptor, ...], Proposal]]:
    if proposal.value is None:
        yield from _prepares(state, proposal)
        for value in set(_values(state, proposal)):
            yield f"proposes {value.chain[0].name}", state.acceptors, evolve(proposal, value=value)
    else:
        yield from _accepts(state, proposal, proposal.value)


def _prepares(state: Round, proposal: Proposal) -> Iterator[tuple[str, tuple[Acceptor, ...], Proposal]]:
    for voter, acceptor in enumerate(state.acceptors):
        after, promise = agreement.prepare(acceptor, True, Prepare(2, proposal.ballot))
        if promise.granted:
            promises = proposal.promises | {(voter, promise)}
            yield f"v{voter} promises", _with(state, voter, after), evolve(proposal, promises=promises)


def _accepts(
    state: Round, proposal: Proposal, value: View
) -> Iterator[tuple[str, tuple[Acceptor, ...], Proposal]]:
    for voter, acceptor in enumerate(state.acceptors):
        after, reply = agreement.accept(acceptor, True, Accept(proposal.ballot, value))
        if reply.granted and voter not in proposal.votes:
            yield (
                f"v{voter} accepts",
                _with(state, voter, after),
                evolve(proposal, votes=proposal.votes | {voter}),
            )


def _values(state: Round, proposal: Proposal) -> Iterable[View]:
    """What it may propose: by any quorum of the promises that it has."""
    base = state.acceptors[0].view
    own = View(2, base.voters, (base.voters[0],), int(proposal.ballot.round))
    for quorum in combinations(proposal.promises, state.quorum):
        yield agreement.value_to_propose(promise for _, promise in quorum) or own


def _with(state: Round, voter: int, acceptor: Acceptor) -> tuple[Acceptor, ...]:
    return (*state.acceptors[:voter], acceptor, *state.acceptors[voter + 1 :])


def one_view_is_decided(state: Round) -> bool:
    """The rule: no two views are decided for one number."""
    return len(state.decided()) <= 1
