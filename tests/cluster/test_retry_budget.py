"""Tests of retry budgets."""

from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.routing.retry_budget import RetryBudget


@given(st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=120), st.integers(1, 9))
def test_no_window_has_more_retries_than_the_budget(
    steps: list[tuple[float, bool]], dispatchers: int
) -> None:
    budget = RetryBudget(ratio=0.2, slack=52, window_s=10)
    now, requests, retries = 0.0, [], []
    for gap, is_request in steps:
        now += gap
        if is_request:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_withdraw(now, dispatchers):
            retries.append(now)
    for start in retries:
        sent_retries = sum(start <= at < start + 10 for at in retries)
        max_requests = max(sum(s <= at < s + 10 for at in requests) for s in (start, start - 10, start - 5))
        assert sent_retries <= 0.2 * max_requests + 52 / dispatchers


def test_a_dispatcher_assumes_many_others_while_their_number_is_unknown() -> None:
    budget = RetryBudget(ratio=0.2, slack=52, window_s=10)
    assert not budget.try_withdraw(0.0, 0)
    assert budget.try_withdraw(0.0, 2)
