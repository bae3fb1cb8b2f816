"""Calls of discovery by many dispatchers at once."""

from collections import Counter
from random import Random

import pytest

from finchladder.core.membership.watch import (
    MARGIN_S,
    MAX_PROPAGATION_S,
    SHARED_OPEN_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    WatchState,
)
from finchladder.core.membership.watch_backoff import MAX_WAIT_S, MIN_WAIT_S, WatchBackoff

SHARED = WatchState(shared=True)


def recalls(dispatchers: int, seed: int = 1) -> WatchBackoff:
    return WatchBackoff(dispatchers, Random(seed), SHARED.reopen_within_s, SHARED.retry_within_s)


def calls(dispatchers: int, seconds: float, one_wait: bool = False) -> list[float]:
    """When all of them call, if all lose their watch at 0 and every call fails at once."""
    made = []
    for n in range(dispatchers):
        own = recalls(dispatchers, n)
        at = own.next_wait_s(opened=True, news=True)
        while at < seconds:
            made.append(at)
            at += seconds if one_wait else own.next_wait_s(opened=False, news=False)
    return made


@pytest.mark.parametrize(("dispatchers", "a_second"), [(1, 2), (3, 6), (8, 14), (40, 40)])
def test_a_discovery_that_fails_gets_few_calls_a_second(dispatchers: int, a_second: float) -> None:
    late = [at for at in calls(dispatchers, 30.0) if at > 10.0]
    assert len(late) / 20 < a_second  # eight dispatchers as before: each 1.7 calls a second


def test_a_watch_that_all_lose_at_once_is_asked_for_spread_over_all_the_time_there_is() -> None:
    per_tenth = Counter(int(at * 10) for at in calls(40, 30.0, one_wait=True))
    assert set(per_tenth) == set(range(10))
    assert max(per_tenth.values()) <= 9
    assert SHARED.reopen_within_s == pytest.approx(1.0)


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize("dispatchers", [1, 8, 28, 999])
def test_whatever_was_lost_or_failed_a_change_is_had_in_the_time_in_which_it_counts_as_told(
    dispatchers: int, shared: bool
) -> None:
    rules = WatchState(shared)
    own = WatchBackoff(dispatchers, Random(1), rules.reopen_within_s, rules.retry_within_s)
    call = rules.open_timeout_s
    for news in (True, False):
        for _ in range(300):
            assert (
                SILENCE_TIMEOUT_S + own.next_wait_s(True, news) + call + MARGIN_S <= MAX_PROPAGATION_S + 1e-9
            )
            assert call + own.next_wait_s(False, news) + call + MARGIN_S <= MAX_PROPAGATION_S + 1e-9
    assert (call == SHARED_OPEN_TIMEOUT_S) == shared


@pytest.mark.parametrize(
    ("dispatchers", "most"),
    [(1, MAX_WAIT_S), (8, MAX_WAIT_S), (12, MAX_WAIT_S + 0.4), (999, SHARED.retry_within_s)],
)
def test_waits_grow_with_the_dispatchers_up_to_a_bound(dispatchers: int, most: float) -> None:
    own = recalls(dispatchers)
    waits = [own.next_wait_s(opened=False, news=False) for _ in range(200)]
    assert max(waits) <= most
    assert min(waits[20:]) >= most / 2


def test_news_ends_a_long_wait() -> None:
    own = recalls(3)
    for _ in range(10):
        own.next_wait_s(opened=False, news=False)
    assert own.next_wait_s(opened=True, news=True) <= 2 * MIN_WAIT_S
