"""Which view follows which."""

from finchladder.cluster.replication.membership import MemberStatus, ReplicationLimits, first_view, next_view
from finchladder.cluster.types.members import Member, View
from tests.cluster.test_agreement import member

A, B, C, D = (member(name) for name in "abcd")
ONE = ReplicationLimits(tolerated_losses=1)
VIEW = View(3, (A, B, C), (A, B, C), 3)


def alive(*members: Member, stored: int = 3, sick: tuple[Member, ...] = ()) -> dict[str, MemberStatus]:
    return {m.disk_id: MemberStatus(m, stored, m not in sick) for m in members}


def chain_of(view: View | None) -> tuple[Member, ...]:
    assert view is not None
    return view.chain


def test_nothing_is_proposed_while_all_are_well() -> None:
    assert next_view(VIEW, alive(A, B, C), [], ONE) is None


def test_a_silent_head_is_left_out_and_the_order_of_the_others_kept() -> None:
    assert chain_of(next_view(VIEW, alive(B, C), [], ONE)) == (B, C)


def test_a_member_whose_disk_does_not_answer_is_left_out_and_goes_on_voting() -> None:
    view = next_view(VIEW, alive(A, B, C, sick=(B,)), [], ONE)
    assert chain_of(view) == (A, C)
    assert view is not None
    assert B in view.voters


def test_a_chain_is_never_shorter_than_what_a_loss_of_disks_asks_for() -> None:
    assert next_view(VIEW, alive(C), [], ONE) is None


def test_a_wiped_member_joins_at_the_end_and_takes_its_former_vote() -> None:
    wiped = member("a", "a2")
    view = next_view(VIEW, alive(B, C, wiped), [wiped], ONE)
    assert chain_of(view) == (B, C, wiped)
    assert view is not None
    assert view.survivors == 2
    assert set(view.voters) == {B, C, wiped}


def test_a_joiner_that_is_not_known_to_have_stored_the_state_does_not_survive() -> None:
    view = View(4, (A, B, C), (B, C, A), 1)
    assert next_view(view, alive(A, C, stored=2), [], ONE) is None
    assert chain_of(next_view(view, alive(A, C, stored=4), [], ONE)) == (C, A)


def test_nobody_joins_before_those_that_are_there_have_stored_the_state() -> None:
    view = View(4, (A, B, C), (A, B), 2)
    assert next_view(view, alive(A, B, C, stored=3), [C], ONE) is None
    assert chain_of(next_view(view, alive(A, B, C, stored=4), [C], ONE)) == (A, B, C)
    short = View(4, (A, B, C), (A, B), 1)
    assert chain_of(next_view(short, alive(A, C, stored=3), [C], ONE)) == (A, C)


def test_a_joiner_that_answers_stays_while_it_is_not_known_to_have_stored_the_state() -> None:
    view = View(4, (A, B, C), (B, C, A), 2)
    statuses = {**alive(B, C, stored=4), **alive(A, stored=3)}
    assert next_view(view, statuses, [], ONE) is None


def test_the_machine_that_came_first_takes_the_vote_of_the_one_that_left_later() -> None:
    """A planned replacement: the new one is in the chain while the old one still votes."""
    view = View(5, (A, B, C), (A, B, C, D), 4)
    following = next_view(view, alive(B, C, D, stored=5), [], ONE)
    assert following is not None
    assert set(following.voters) == {B, C, D}


def test_no_view_is_proposed_whose_own_voters_are_mostly_silent() -> None:
    view = View(2, (A, B, C), (C, D), 2)
    assert next_view(view, alive(C, D, stored=2), [], ReplicationLimits(tolerated_losses=0)) is not None
    assert next_view(View(2, (A, B, C), (C,), 1), alive(C, stored=2), [], ONE) is None


def test_the_first_view_needs_as_many_as_a_loss_asks_for() -> None:
    assert first_view([A], ONE) is None
    first = first_view([B, A], ONE)
    assert first is not None
    assert first.chain == (A, B)
    assert first.survivors == 2
