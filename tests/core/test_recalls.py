"""Backoff of calls to discovery by many dispatchers at once."""

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
from finchladder.core.membership.watch_backoff import MAX_BACKOFF_S, MIN_BACKOFF_S, WatchBackoff

SHARED = WatchState(shared=True)


def recalls(dispatchers: int, seed: int = 1) -> WatchBackoff:
    return WatchBackoff(dispatchers, Random(seed), SHARED.reopen_within_s, SHARED.retry_within_s)


def calls(dispatchers: int, seconds: float, one_wait: bool = False) -> list[float]:
    """Returns the times of all calls if all watches are lost at 0 and every call fails at once."""
    made = []
    for n in range(dispatchers):
        own = recalls(dispatchers, n)
        at = own.next_backoff_s(opened=True, has_changed=True)
        while at < seconds:
            made.append(at)
            at += seconds if one_wait else own.next_backoff_s(opened=False, has_changed=False)
    return made


@pytest.mark.parametrize(("dispatchers", "a_second"), [(1, 2), (3, 6), (8, 14), (40, 40)])
def test_failing_discovery_receives_few_calls_per_second(dispatchers: int, a_second: float) -> None:
    late = [at for at in calls(dispatchers, 30.0) if at > 10.0]
    assert (
        len(late) / 20 < a_second
    )  # with eight dispatchers, as in a small fleet, each makes 1.7 calls per second


def test_reopening_after_common_loss_is_spread_over_allowed_time() -> None:
    per_tenth = Counter(int(at * 10) for at in calls(40, 30.0, one_wait=True))
    assert set(per_tenth) == set(range(10))
    assert max(per_tenth.values()) <= 9
    assert SHARED.reopen_within_s == pytest.approx(1.0)


@pytest.mark.parametrize("shared", [True, False])
@pytest.mark.parametrize("dispatchers", [1, 8, 28, 999])
def test_change_is_propagated_in_time_after_any_loss_or_failure(dispatchers: int, shared: bool) -> None:
    rules = WatchState(shared)
    own = WatchBackoff(dispatchers, Random(1), rules.reopen_within_s, rules.retry_within_s)
    call = rules.open_timeout_s
    for news in (True, False):
        for _ in range(300):
            assert (
                SILENCE_TIMEOUT_S + own.next_backoff_s(True, news) + call + MARGIN_S
                <= MAX_PROPAGATION_S + 1e-9
            )
            assert call + own.next_backoff_s(False, news) + call + MARGIN_S <= MAX_PROPAGATION_S + 1e-9
    assert (call == SHARED_OPEN_TIMEOUT_S) == shared


@pytest.mark.parametrize(
    ("dispatchers", "most"),
    [(1, MAX_BACKOFF_S), (8, MAX_BACKOFF_S), (12, MAX_BACKOFF_S + 0.4), (999, SHARED.retry_within_s)],
)
def test_waits_grow_with_number_of_dispatchers_up_to_bound(dispatchers: int, most: float) -> None:
    own = recalls(dispatchers)
    waits = [own.next_backoff_s(opened=False, has_changed=False) for _ in range(200)]
    assert max(waits) <= most
    assert min(waits[20:]) >= most / 2


def test_change_resets_backoff() -> None:
    own = recalls(3)
    for _ in range(10):
        own.next_backoff_s(opened=False, has_changed=False)
    assert own.next_backoff_s(opened=True, has_changed=True) <= 2 * MIN_BACKOFF_S
