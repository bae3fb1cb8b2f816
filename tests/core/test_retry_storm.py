"""A fleet that fails under clients that retry at once, in virtual time."""

import pytest

from benchmarks.retry_storms import CALM_S, CASES, CORES, FAULTS, SERVERS, WORK_S, World

FAILS_S = 8.0
SHARE, FLOOR = 0.1, 1.0  # of the budgets in CASES
# the floor of 9 s may be spent at once, and what the calm before has paid in
SPARE = FLOOR * (9 + FAILS_S) + SHARE * 0.25 * CALM_S * SERVERS * CORES / WORK_S


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
