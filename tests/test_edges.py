"""Eviction of client connections, and the adaptive idle timeout; the tests pass the times."""

import pytest

from finchladder.core.connections.client_connections import MIN_IDLE_S, ClientConnectionTable, ConnectionValue
from finchladder.core.connections.idle_timeout import RELEARN_S, AdaptiveIdleTimeout

NEW, QUERIED, SERVED = ConnectionValue
OLD, NOW = 0.0, 10.0
Step = tuple[
    str, float, ConnectionValue
]  # connection, time since when it is idle (negative: it is busy), value


def table(*steps: Step) -> ClientConnectionTable[str]:
    connections: ClientConnectionTable[str] = ClientConnectionTable(9)
    for name, since, value in steps:
        connections.add(abs(since), name)
        connections.mark_idle(abs(since), name, value)
        if since < 0:
            connections.mark_busy(name)
    return connections


@pytest.mark.parametrize(
    ("steps", "unread", "closed"),
    [
        ([], "", None),
        ([("a", 1.0, NEW), ("b", 2.0, NEW)], "", "a"),  # idle longest
        ([("b", 1.0, SERVED), ("c", 2.0, QUERIED), ("a", 3.0, NEW)], "", "a"),  # lowest value first
        ([("b", 1.0, SERVED), ("a", 2.0, QUERIED)], "", "a"),
        ([("a", 1.0, NEW), ("b", 2.0, NEW)], "a", "b"),  # unread data may be a job
        ([("a", 1.0, NEW), ("b", 2.0, SERVED)], "a", "b"),
        ([("a", 1.0, NEW)], "a", None),
        ([("a", NOW - MIN_IDLE_S / 2, NEW), ("b", 1.0, SERVED)], "", "b"),  # may be about to send
        ([("a", NOW - MIN_IDLE_S, NEW), ("b", 1.0, SERVED)], "", "a"),
        (
            [("b", NOW - MIN_IDLE_S / 2, QUERIED), ("a", NOW - MIN_IDLE_S / 3, NEW)],
            "",
            "a",
        ),  # all recently active: by value
        ([("a", -1.0, NEW), ("b", 2.0, SERVED)], "", "b"),  # a busy connection is never closed
        ([("a", -1.0, NEW)], "", None),
    ],
)
def test_which_connection_is_evicted(steps: list[Step], unread: str, closed: str | None) -> None:
    connections = table(*steps)
    assert connections.evict(NOW, lambda e: e not in unread) == closed
    assert {*connections} == {name for name, _, _ in steps} - {closed}


def test_a_connection_that_becomes_idle_again_is_last_of_its_value() -> None:
    connections = table(("a", 1.0, QUERIED), ("b", 2.0, QUERIED))
    connections.mark_idle(3.0, "a", QUERIED)
    assert [connections.evict(NOW, lambda e: True) for _ in range(3)] == ["b", "a", None]
    connections.mark_idle(4.0, "a", SERVED)  # its task still runs for a moment after the eviction
    connections.mark_closable("a", NEW)
    assert not connections
    assert "a" not in connections
    assert connections.evict(NOW, lambda e: True) is None


def test_the_table_is_full_at_its_bound_and_compares_ages() -> None:
    connections: ClientConnectionTable[int] = ClientConnectionTable(2)
    connections.add(1.0, 1)
    assert not connections.is_full
    assert connections.is_older(1.3, 1, 0.25)
    assert not connections.is_older(1.25, 1, 0.25)
    connections.add(2.0, 2)
    assert connections.is_full
    assert len(connections) == 2
    connections.remove(1)
    assert not connections.is_full


RELEARNED = 1.0 + RELEARN_S + 0.1


@pytest.mark.parametrize(
    ("resets", "times", "limits"),
    [
        ([], [0.0, 99.0], [18.0, 18.0]),
        ([(1.0, 12.0)], [1.0], [6.0]),  # half of the idle time that was too long
        ([(1.0, 12.0), (2.0, 16.0)], [2.0], [6.0]),  # a reset never raises the limit
        ([(1.0, 12.0), (2.0, 4.0)], [2.0], [2.0]),
        ([(1.0, 12.0)], [1.0 + RELEARN_S, RELEARNED, RELEARNED], [6.0, 12.0, 12.0]),  # doubles once
        ([(1.0, 12.0)], [RELEARNED, 2 * RELEARNED], [12.0, 18.0]),  # never above the maximum
        ([(1.0, 0.0)], [1.0, RELEARNED], [0.0, 0.1]),  # also from 0
    ],
)
def test_adaptive_idle_timeout(
    resets: list[tuple[float, float]], times: list[float], limits: list[float]
) -> None:
    timeout = AdaptiveIdleTimeout(0.0, 18.0)
    for now, idle in resets:
        timeout.record_reset(now, idle)
    assert [timeout.limit_s(now) for now in times] == limits
