"""Tests of the rate limit of loads from the weight store."""

from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.placement.load_rate_limiter import RULE_EXTRA_LOADS, LoadRateLimiter


@given(st.lists(st.floats(0.0, 3.0), max_size=80), st.booleans())
def test_no_window_contains_more_loads_than_the_rule_allows(gaps: list[float], has_predecessor: bool) -> None:
    limiter = LoadRateLimiter(max_loads_per_s=2.1, window_s=5.0, allowed_overage=1.1)
    load_times: list[float] = []
    if has_predecessor:
        load_times = [-0.5] * limiter.max_loads  # the predecessor used its full limit
        limiter.assume_exhausted(-0.5)
    now = 0.0
    for gap in gaps:
        now += gap
        while limiter.allows(now):
            limiter.record(now)
            load_times.append(now)
    for start in load_times:
        assert sum(start <= at < start + 5.0 for at in load_times) <= 2.1 * 5.0 * 1.1 + RULE_EXTRA_LOADS
