"""A fleet that fails under clients that retry at once, in virtual time."""

import pytest

from benchmarks.retry_storms import CASES, FAULTS, World

FAILS_S = 8.0
SHARE, FLOOR = 0.1, 1.0  # of the budgets in CASES; a window of 10 s may spend its floor of 9 s at once
SPARE = 9 * FLOOR + FAILS_S * FLOOR


@pytest.mark.parametrize("fault", ["half fail", "all fail", "half turned away"])
def test_what_reaches_a_failing_fleet_stays_within_one_and_the_budget(fault: str) -> None:
    found = {}
    for case, routes in CASES.items():
        world = World(routes, FAULTS[fault], 0.25, 1, FAILS_S)
        figures = world.play()
        found[case] = world.counts()
        assert figures.back_s <= 2  # also then it comes back by itself
    sends, tries, _ = found["budget 0.1"]
    assert sends <= (1 + SHARE) * tries + SPARE
    sends, _, firsts = found["budget 0.1, clients' repeats count"]
    assert 1.05 * firsts < sends <= (1 + SHARE) * firsts + SPARE
    sends, _, firsts = found["3 attempts"]
    assert sends > 1.5 * firsts  # which it is for
