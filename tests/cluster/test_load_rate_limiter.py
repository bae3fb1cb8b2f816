"""The rate limit of loads from the weight store."""

from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.placement.load_rate_limiter import RULE_EXTRA_LOADS, LoadRateLimiter


@given(st.lists(st.floats(0.0, 3.0), max_size=80), st.booleans())
def test_no_window_holds_more_loads_than_the_rule_allows(gaps: list[float], took_over: bool) -> None:
    limiter = LoadRateLimiter(max_loads_per_s=2.1, window_s=5.0, allowed_overage=1.1)
    begun: list[float] = []
    if took_over:
        begun = [-0.5] * limiter.max_loads  # the holder before began all that it might
        limiter.assume_exhausted(-0.5)
    now = 0.0
    for gap in gaps:
        now += gap
        while limiter.allows(now):
            limiter.record(now)
            begun.append(now)
    for start in begun:
        assert sum(start <= at < start + 5.0 for at in begun) <= 2.1 * 5.0 * 1.1 + RULE_EXTRA_LOADS
