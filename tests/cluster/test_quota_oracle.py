"""The oracle of quotas against sums over every window that there is."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from finchladder.lab.cluster.quota_oracle import QuotaOracle

TICK_S = 0.125  # times are whole ticks, so that no sum or difference is rounded
LAST_TICK = 60

ticks = st.integers(0, LAST_TICK)
arrivals = st.lists(st.tuples(ticks, st.sampled_from("ab"), st.integers(0, 50)), max_size=40)
windows = st.integers(0, LAST_TICK)
units = st.integers(0, 40)


def oracle_of(steps: list[tuple[int, str, int]]) -> QuotaOracle:
    oracle = QuotaOracle()
    for tick, tenant, cost in steps:
        oracle.record(tick * TICK_S, tenant, cost)
    return oracle


def excess(
    oracle: QuotaOracle, window: int, rate: int = 0, burst: int = 0, overage: float = 0.0, slack: int = 0
) -> float:
    return oracle.worst_excess(
        "a", window_s=window * TICK_S, rate=rate, burst=burst, overage=overage, slack=slack
    )


@given(arrivals, windows, units, units, st.sampled_from((0.0, 0.125, 0.5)), units)
def test_the_worst_excess_is_the_largest_of_all_windows(
    steps: list[tuple[int, str, int]], window: int, rate: int, burst: int, overage: float, slack: int
) -> None:
    sums = [
        sum(cost for tick, tenant, cost in steps if tenant == "a" and start <= tick <= start + window)
        for start in range(-window, LAST_TICK + 1)
    ]
    bound = (rate * window * TICK_S + burst) * (1 + overage) + slack
    assert excess(oracle_of(steps), window, rate, burst, overage, slack) == max(sums) - bound


@given(arrivals, windows, st.randoms(use_true_random=False), ticks)
def test_neither_the_order_of_arrivals_nor_the_beginning_of_time_matters(
    steps: list[tuple[int, str, int]], window: int, random: Random, later: int
) -> None:
    moved = [(tick + later, tenant, cost) for tick, tenant, cost in steps]
    random.shuffle(moved)
    assert excess(oracle_of(moved), window) == excess(oracle_of(steps), window)


@given(st.lists(st.tuples(ticks, st.integers(1, 50)), max_size=40), windows, units, units)
def test_what_a_token_bucket_of_rate_and_burst_lets_through_has_no_excess(
    asked: list[tuple[int, int]], window: int, rate: int, burst: int
) -> None:
    oracle = QuotaOracle()
    level, at = float(burst), 0
    for tick, cost in sorted(asked):
        level = min(burst, level + rate * (tick - at) * TICK_S)
        at = tick
        if cost <= level:
            level -= cost
            oracle.record(tick * TICK_S, "a", cost)
    assert excess(oracle, window, rate, burst) <= 0


def test_both_ends_belong_to_a_window() -> None:
    oracle = oracle_of([(0, "a", 3), (8, "a", 4), (9, "a", 2)])
    assert (excess(oracle, 7), excess(oracle, 8), excess(oracle, 9)) == (6, 7, 9)
