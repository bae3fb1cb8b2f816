"""Which edge connection is closed to make room, and how long a kept one is trusted, with times handed in."""

import pytest

from finchladder.core.connections.client_connections import MIN_IDLE_S, ClientConnectionTable, ConnectionValue
from finchladder.core.connections.idle_timeout import RELEARN_S, AdaptiveIdleTimeout

NEW, ASKED, OF_USE = ConnectionValue
OLD, NOW = 0.0, 10.0
Step = tuple[
    str, float, ConnectionValue
]  # the edge connection, since when it waits, its worth; at work: below 0


def table(*steps: Step) -> ClientConnectionTable[str]:
    edges: ClientConnectionTable[str] = ClientConnectionTable(9)
    for name, since, worth in steps:
        edges.add(abs(since), name)
        edges.mark_idle(abs(since), name, worth)
        if since < 0:
            edges.mark_busy(name)
    return edges


@pytest.mark.parametrize(
    ("steps", "unread", "closed"),
    [
        ([], "", None),
        ([("a", 1.0, NEW), ("b", 2.0, NEW)], "", "a"),  # the one that waits longest
        ([("b", 1.0, OF_USE), ("c", 2.0, ASKED), ("a", 3.0, NEW)], "", "a"),  # whatever others wait for
        ([("b", 1.0, OF_USE), ("a", 2.0, ASKED)], "", "a"),
        ([("a", 1.0, NEW), ("b", 2.0, NEW)], "a", "b"),  # what was sent may be a job
        ([("a", 1.0, NEW), ("b", 2.0, OF_USE)], "a", "b"),
        ([("a", 1.0, NEW)], "a", None),
        ([("a", NOW - MIN_IDLE_S / 2, NEW), ("b", 1.0, OF_USE)], "", "b"),  # a young one may be about to send
        ([("a", NOW - MIN_IDLE_S, NEW), ("b", 1.0, OF_USE)], "", "a"),
        (
            [("b", NOW - MIN_IDLE_S / 2, ASKED), ("a", NOW - MIN_IDLE_S / 3, NEW)],
            "",
            "a",
        ),  # all young: as ever
        ([("a", -1.0, NEW), ("b", 2.0, OF_USE)], "", "b"),  # one at work is never closed
        ([("a", -1.0, NEW)], "", None),
    ],
)
def test_whose_place_is_taken(steps: list[Step], unread: str, closed: str | None) -> None:
    edges = table(*steps)
    assert edges.evict(NOW, lambda e: e not in unread) == closed
    assert {*edges} == {name for name, _, _ in steps} - {closed}


def test_one_that_comes_back_to_waiting_is_last_of_its_worth() -> None:
    edges = table(("a", 1.0, ASKED), ("b", 2.0, ASKED))
    edges.mark_idle(3.0, "a", ASKED)
    assert [edges.evict(NOW, lambda e: True) for _ in range(3)] == ["b", "a", None]
    edges.mark_idle(4.0, "a", OF_USE)  # its own task goes on a moment after it was closed
    edges.mark_closable("a", NEW)
    assert not edges
    assert "a" not in edges
    assert edges.evict(NOW, lambda e: True) is None


def test_the_table_is_full_at_its_bound_and_knows_ages() -> None:
    edges: ClientConnectionTable[int] = ClientConnectionTable(2)
    edges.add(1.0, 1)
    assert not edges.is_full
    assert edges.is_older(1.3, 1, 0.25)
    assert not edges.is_older(1.25, 1, 0.25)
    edges.add(2.0, 2)
    assert edges.is_full
    assert len(edges) == 2
    edges.remove(1)
    assert not edges.is_full


LEARNED = 1.0 + RELEARN_S + 0.1


@pytest.mark.parametrize(
    ("lost", "asked", "limits"),
    [
        ([], [0.0, 99.0], [18.0, 18.0]),
        ([(1.0, 12.0)], [1.0], [6.0]),  # half of what was too long
        ([(1.0, 12.0), (2.0, 16.0)], [2.0], [6.0]),  # never up by a loss
        ([(1.0, 12.0), (2.0, 4.0)], [2.0], [2.0]),
        ([(1.0, 12.0)], [1.0 + RELEARN_S, LEARNED, LEARNED], [6.0, 12.0, 12.0]),  # one doubling each time
        ([(1.0, 12.0)], [LEARNED, 2 * LEARNED], [12.0, 18.0]),  # and never above the most
        ([(1.0, 0.0)], [1.0, LEARNED], [0.0, 0.1]),  # from nothing, too
    ],
)
def test_trust(lost: list[tuple[float, float]], asked: list[float], limits: list[float]) -> None:
    trust = AdaptiveIdleTimeout(0.0, 18.0)
    for now, idle in lost:
        trust.record_reset(now, idle)
    assert [trust.limit_s(now) for now in asked] == limits
