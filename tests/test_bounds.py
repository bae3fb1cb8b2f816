"""Graceful shutdown and the memory budget for bodies; the tests pass the times."""

import pytest

from finchladder.core.connections.body_memory import BodyMemory, OutOfBodyMemoryError, Reservation
from finchladder.core.connections.graceful_shutdown import FULL_TIME_S, GracefulShutdown

MB = 1024 * 1024


@pytest.mark.parametrize(
    ("longest", "since", "closing", "deadline", "latest"),
    [
        (7.5, None, False, 99.0, 99.0),  # no shutdown
        (7.5, 0.0, False, 99.0, 99.0),
        (7.5, FULL_TIME_S, False, 99.0, 99.0),
        (7.5, FULL_TIME_S + 0.01, False, 99.0, 3.5),  # SIGKILL may come after 3.7 s, before its deadline
        (7.5, FULL_TIME_S + 0.01, False, 2.0, 2.0),
        (7.5, 1.8, False, 99.0, 3.5),
        (7.5, 1.81, True, 99.0, 3.5),
        (3.0, 1.81, True, 99.0, 3.5),  # a longer deadline counts as 3 s
        (1.0, 0.84, False, 99.0, 1.5),  # with a deadline of 1 s SIGKILL may come after 1.7 s
        (1.0, 0.86, True, 99.0, 1.5),
        (1.0, FULL_TIME_S, False, 99.0, 99.0),
        (0.4, 0.56, True, 99.0, 99.0),
        (0.4, FULL_TIME_S + 0.01, True, 99.0, 0.9),
    ],
)
def test_limits_after_sigterm(
    longest: float, since: float | None, closing: bool, deadline: float, latest: float
) -> None:
    shutdown, term = GracefulShutdown(longest), 1000.0
    if since is not None:
        shutdown.begin(term)
    now = term + (since or 0.0)
    assert shutdown.has_begun == (since is not None)
    assert shutdown.must_close(now) == closing
    assert shutdown.latest_answer_at(now, term + deadline) == pytest.approx(term + latest)


@pytest.mark.parametrize(
    ("memory", "features", "free"),
    [(32 * MB, 0, 8 * MB), (32 * MB, MB, 7 * MB), (32 * MB, 7 * MB, 2 * MB), (32 * MB, 99 * MB, 2 * MB)],
)
def test_features_reduce_body_memory_down_to_a_sixteenth(memory: int, features: int, free: int) -> None:
    assert BodyMemory(memory, features).free_bytes == free


def test_a_reservation_is_counted_once_and_released() -> None:
    memory = BodyMemory(400)
    one, two = Reservation(memory), Reservation(memory)
    one.resize(60)
    one.resize(70)  # replaces the 60 bytes
    two.resize(30)
    with pytest.raises(OutOfBodyMemoryError):
        one.resize(71)
    one.resize(0)
    assert memory.free_bytes == 70
    two.resize(100)
