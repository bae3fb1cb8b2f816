"""Tests of the computation of the next view."""

from finchladder.cluster.replication.membership import MemberStatus, ReplicationLimits, first_view, next_view
from finchladder.cluster.types.members import Member, View
from tests.cluster.test_agreement import member

A, B, C, D = (member(name) for name in "abcd")
ONE = ReplicationLimits(tolerated_losses=1)
VIEW = View(3, (A, B, C), (A, B, C), 3)


def alive(*members: Member, stored: int = 3, unhealthy: tuple[Member, ...] = ()) -> dict[str, MemberStatus]:
    return {m.disk_id: MemberStatus(m, stored, m not in unhealthy) for m in members}


def chain_of(view: View | None) -> tuple[Member, ...]:
    assert view is not None
    return view.chain


def test_no_view_is_proposed_while_all_members_are_healthy() -> None:
    assert next_view(VIEW, alive(A, B, C), [], ONE) is None


def test_an_unreachable_head_is_removed_and_the_others_keep_their_order() -> None:
    assert chain_of(next_view(VIEW, alive(B, C), [], ONE)) == (B, C)


def test_a_member_with_an_unhealthy_disk_leaves_the_chain_and_remains_a_voter() -> None:
    view = next_view(VIEW, alive(A, B, C, unhealthy=(B,)), [], ONE)
    assert chain_of(view) == (A, C)
    assert view is not None
    assert B in view.voters


def test_a_chain_is_never_shorter_than_the_minimum_length() -> None:
    assert next_view(VIEW, alive(C), [], ONE) is None


def test_a_wiped_member_joins_at_the_tail_and_replaces_its_former_incarnation_as_voter() -> None:
    wiped = member("a", "a2")
    view = next_view(VIEW, alive(B, C, wiped), [wiped], ONE)
    assert chain_of(view) == (B, C, wiped)
    assert view is not None
    assert view.survivors == 2
    assert set(view.voters) == {B, C, wiped}


def test_a_joining_member_that_may_not_have_stored_the_state_is_no_survivor() -> None:
    view = View(4, (A, B, C), (B, C, A), 1)
    assert next_view(view, alive(A, C, stored=2), [], ONE) is None
    assert chain_of(next_view(view, alive(A, C, stored=4), [], ONE)) == (C, A)


def test_no_member_joins_before_the_current_chain_has_stored_the_state() -> None:
    view = View(4, (A, B, C), (A, B), 2)
    assert next_view(view, alive(A, B, C, stored=3), [C], ONE) is None
    assert chain_of(next_view(view, alive(A, B, C, stored=4), [C], ONE)) == (A, B, C)
    short = View(4, (A, B, C), (A, B), 1)
    assert chain_of(next_view(short, alive(A, C, stored=3), [C], ONE)) == (A, C)


def test_a_joining_member_that_answers_stays_until_it_has_stored_the_state() -> None:
    view = View(4, (A, B, C), (B, C, A), 2)
    statuses = {**alive(B, C, stored=4), **alive(A, stored=3)}
    assert next_view(view, statuses, [], ONE) is None


def test_a_member_of_the_chain_replaces_a_voter_that_leaves_later() -> None:
    """Covers a planned replacement: the new member is in the chain while the former one is still a voter."""
    view = View(5, (A, B, C), (A, B, C, D), 4)
    following = next_view(view, alive(B, C, D, stored=5), [], ONE)
    assert following is not None
    assert set(following.voters) == {B, C, D}


def test_no_view_is_proposed_without_a_majority_of_reachable_voters() -> None:
    view = View(2, (A, B, C), (C, D), 2)
    assert next_view(view, alive(C, D, stored=2), [], ReplicationLimits(tolerated_losses=0)) is not None
    assert next_view(View(2, (A, B, C), (C,), 1), alive(C, stored=2), [], ONE) is None


def test_the_first_view_needs_the_minimum_number_of_members() -> None:
    assert first_view([A], ONE) is None
    first = first_view([B, A], ONE)
    assert first is not None
    assert first.chain == (A, B)
    assert first.survivors == 2
