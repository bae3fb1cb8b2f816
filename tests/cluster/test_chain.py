"""Tests of how a member of the chain handles a message."""

from finchladder.cluster.replication.chain import (
    AlreadyStored,
    Reject,
    Replica,
    RequestFullState,
    StoreReplica,
    receive,
)
from finchladder.cluster.types.messages import Replicate
from finchladder.cluster.types.operations import (
    MAX_REVISIONS,
    ClaimPlacer,
    ControlState,
    SetConfiguration,
    apply,
)

STATE = ControlState(sequence=7, version=3, document=b"{}")
OWN = Replica(5, STATE)
CHANGE = SetConfiguration(3, 4, b"digest", b'{"version":4}')


def test_the_next_operation_is_applied() -> None:
    outcome = receive(OWN, 5, Replicate(5, 8, CHANGE))
    assert outcome == StoreReplica(Replica(5, apply(STATE, CHANGE)))


def test_a_message_of_another_view_is_rejected() -> None:
    for view in (4, 6):
        assert isinstance(receive(OWN, 5, Replicate(view, 8, CHANGE)), Reject)


def test_a_retransmission_is_confirmed_and_not_applied_again() -> None:
    assert receive(OWN, 5, Replicate(5, 7, CHANGE)) == AlreadyStored()


def test_a_gap_in_the_sequence_requests_the_full_state() -> None:
    assert receive(OWN, 5, Replicate(5, 9, CHANGE)) == RequestFullState()


def test_a_new_view_requires_the_full_state_first() -> None:
    assert receive(Replica(4, STATE), 5, Replicate(5, 8, CHANGE)) == RequestFullState()
    assert receive(Replica(4, STATE), 5, Replicate(5, 7)) == RequestFullState()


def test_the_state_of_a_new_view_replaces_unacknowledged_operations() -> None:
    longer = Replica(4, ControlState(sequence=8, version=9))
    assert receive(longer, 5, Replicate(5, 7, None, STATE)) == StoreReplica(Replica(5, STATE))


def test_a_delayed_state_is_rejected() -> None:
    older = ControlState(sequence=6)
    assert isinstance(receive(OWN, 5, Replicate(5, 6, None, older)), Reject)


def test_a_claim_raises_the_token_and_a_change_does_not() -> None:
    claimed = apply(STATE, ClaimPlacer("a", STATE.fence_token))
    assert (claimed.fence_token, claimed.placer) == (1, "a")
    assert apply(claimed, CHANGE).fence_token == 1


def test_the_number_of_stored_revisions_is_limited() -> None:
    state = ControlState()
    for number in range(MAX_REVISIONS + 3):
        state = apply(state, SetConfiguration(number, number + 1, b"%d" % number, b""))
    assert len(state.accepted_revisions) == MAX_REVISIONS
    assert state.accepted_revisions[-1].version == MAX_REVISIONS + 3
