"""Retry budgets limit the load on a failing fleet whose clients retry at once, in virtual time."""

import pytest

from benchmarks.retry_storms import CALM_S, CASES, CORES, FAULTS, SERVERS, WORK_S, World

FAILS_S = 8.0
SHARE, FLOOR = 0.1, 1.0  # share and minimum rate of the retry budgets in CASES
# Retries allowed beyond the share of requests: the minimum rate during the fault, 9 s of it at once, and the
# share of the requests before the fault.
SPARE = FLOOR * (9 + FAILS_S) + SHARE * 0.25 * CALM_S * SERVERS * CORES / WORK_S


@pytest.mark.parametrize("fault", ["half fail", "all fail", "half turned away"])
def test_sends_to_a_failing_fleet_stay_within_requests_plus_budget(fault: str) -> None:
    counts = {}
    for case, routes in CASES.items():
        world = World(routes, FAULTS[fault], 0.25, 1, FAILS_S)
        figures = world.play()
        counts[case] = world.counts()
        assert figures.back_s <= 2  # the fleet recovers by itself in all cases
    sends, tries, _ = counts["budget 0.1"]
    assert sends <= (1 + SHARE) * tries + SPARE
    sends, _, firsts = counts["budget 0.1, clients' repeats count"]
    assert 1.05 * firsts < sends <= (1 + SHARE) * firsts + SPARE
    sends, _, firsts = counts["3 attempts"]
    assert sends > 1.5 * firsts  # without a budget retries multiply the load
