"""Tests that no interleaving of proposals, lost and late messages decides two views with the same number."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from finchladder.cluster.replication import agreement
from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.types.members import Ballot, Member, View
from finchladder.cluster.types.messages import Accept, Prepare, Promise


def member(name: str, disk: str = "") -> Member:
    return Member(name, disk or name, "zone", f"{name}:1", f"{name}:2")


class Proposals(RuleBasedStateMachine):
    """Runs several proposers whose messages reach voters in any order, are duplicated or are lost."""

    @initialize(count=st.sampled_from([3, 5]))
    def begin(self, count: int) -> None:
        self.voters = tuple(member(f"v{n}") for n in range(count))
        base = View(1, self.voters, self.voters, count)
        self.quorum = base.quorum
        self.acceptors = {v.disk_id: Acceptor(base) for v in self.voters}
        self.promises: dict[Ballot, dict[str, Promise]] = {}
        self.proposed: dict[Ballot, View] = {}
        self.votes: dict[Ballot, set[str]] = {}
        self.decided: set[View] = set()

    @rule(round_=st.integers(1, 6), proposer=st.sampled_from(["v0", "v1", "v2"]))
    def start(self, round_: int, proposer: str) -> None:
        self.promises.setdefault(Ballot(round_, proposer), {})

    @rule(data=st.data())
    def deliver_prepare(self, data: st.DataObject) -> None:
        if not self.promises:
            return
        ballot = data.draw(st.sampled_from(sorted(self.promises)))
        voter = data.draw(st.sampled_from(sorted(self.acceptors)))
        acceptor, reply = agreement.prepare(self.acceptors[voter], True, Prepare(2, ballot))
        self.acceptors[voter] = acceptor
        if reply.granted:
            self.promises[ballot][voter] = reply

    @rule(data=st.data())
    def propose(self, data: st.DataObject) -> None:
        ready = [b for b, p in self.promises.items() if len(p) >= self.quorum and b not in self.proposed]
        if not ready:
            return
        ballot = data.draw(st.sampled_from(sorted(ready)))
        own = View(2, self.voters, (member(f"{ballot.round}{ballot.proposer}"),), 1)
        self.proposed[ballot] = agreement.value_to_propose(self.promises[ballot].values()) or own

    @rule(data=st.data())
    def deliver_accept(self, data: st.DataObject) -> None:
        if not self.proposed:
            return
        ballot = data.draw(st.sampled_from(sorted(self.proposed)))
        voter = data.draw(st.sampled_from(sorted(self.acceptors)))
        request = Accept(ballot, self.proposed[ballot])
        self.acceptors[voter], reply = agreement.accept(self.acceptors[voter], True, request)
        if reply.granted:
            self.votes.setdefault(ballot, set()).add(voter)
        if len(self.votes.get(ballot, ())) >= self.quorum:
            self.decided.add(self.proposed[ballot])

    @invariant()
    def one_view_is_decided(self) -> None:
        assert len(getattr(self, "decided", ())) <= 1


TestProposals = Proposals.TestCase
TestProposals.settings = settings(max_examples=80, stateful_step_count=40, deadline=None)


def test_a_non_voter_promises_and_accepts_nothing() -> None:
    acceptor = Acceptor(View(1, (member("a"),), (member("a"),), 1))
    after, promise = agreement.prepare(acceptor, False, Prepare(2, Ballot(1, "a")))
    assert after == acceptor
    assert not promise.granted
    after, accepted = agreement.accept(acceptor, False, Accept(Ballot(1, "a"), View(2, (), (), 0)))
    assert after == acceptor
    assert not accepted.granted


def test_promises_are_made_only_for_the_next_view() -> None:
    acceptor = Acceptor(View(3, (member("a"),), (member("a"),), 1))
    for instance in (3, 5):
        assert not agreement.prepare(acceptor, True, Prepare(instance, Ballot(1, "a")))[1].granted


def test_an_older_decided_view_is_ignored() -> None:
    acceptor = Acceptor(View(3, (), (), 0), Ballot(4, "a"))
    assert agreement.learn(acceptor, View(2, (), (), 0)) is acceptor
    assert agreement.learn(acceptor, View(4, (), (), 0)) == Acceptor(View(4, (), (), 0))
