"""Leaving and the room for bodies: what may still be kept, taken and reserved, with times handed in."""

import pytest

from finchladder.core.bodies import BodyRoom, NoRoom, Reservation
from finchladder.core.leaving import AT_EASE, GONE_BY, IDLE_STAYS, Leaving

MB = 1024 * 1024


@pytest.mark.parametrize(
    ("since", "closing", "deadline", "latest"),
    [
        (None, False, 99.0, 99.0),  # nobody leaves
        (0.0, False, 99.0, 99.0),
        (AT_EASE, False, 99.0, 99.0),
        (AT_EASE + 0.01, False, 99.0, GONE_BY),  # SIGKILL may come before its time is up
        (AT_EASE + 0.01, False, 2.0, 2.0),
        (IDLE_STAYS, False, 99.0, GONE_BY),
        (IDLE_STAYS + 0.01, True, 99.0, GONE_BY),
    ],
)
def test_after_sigterm(since: float | None, closing: bool, deadline: float, latest: float) -> None:
    leaving, term = Leaving(), 1000.0
    if since is not None:
        leaving.begin(term)
    now = term + (since or 0.0)
    assert leaving.begun == (since is not None) and leaving.closing(now) == closing
    assert leaving.latest(now, term + deadline) == term + latest


@pytest.mark.parametrize(
    ("memory", "features", "free"),
    [(32 * MB, 0, 8 * MB), (32 * MB, MB, 7 * MB), (32 * MB, 7 * MB, 2 * MB), (32 * MB, 99 * MB, 2 * MB)],
)
def test_features_take_from_the_room_for_bodies_down_to_a_sixteenth(
    memory: int, features: int, free: int
) -> None:
    assert BodyRoom(memory, features).free == free


def test_what_is_held_is_counted_once_and_given_back() -> None:
    room = BodyRoom(400)
    one, two = Reservation(room), Reservation(room)
    one.hold(60)
    one.hold(70)  # in place of the 60
    two.hold(30)
    with pytest.raises(NoRoom):
        one.hold(71)
    one.hold(0)
    assert room.free == 70
    two.hold(100)
