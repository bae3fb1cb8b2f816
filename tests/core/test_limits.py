"""Concurrency limit and queue, retry budget, latency percentile, hedge budget, alarms."""

from math import inf, log
from random import Random

import pytest

from finchladder.core.alarms import Alarms
from finchladder.core.routing.concurrency_limit import ConcurrencyLimiter
from finchladder.core.routing.hedging import (
    DECAY_SAMPLES,
    MAX_HEDGE_TOKENS,
    RELATIVE_ERROR,
    HedgeBudget,
    LatencyPercentile,
)
from finchladder.core.routing.retry_budget import RetryBudgetWindow
from finchladder.core.routing.routes import Queue, QueueOrder, RetryBudget

RANKS = {
    QueueOrder.WORTH: lambda j: (-j[1], j[2], j[3]),
    QueueOrder.DEADLINE: lambda j: (j[2], j[3]),
    QueueOrder.ARRIVAL: lambda j: j[3],
}


@pytest.mark.parametrize("order", list(QueueOrder))
def test_a_queue_dequeues_the_best_job_and_rejects_the_worst(order: QueueOrder) -> None:
    random, limiter = Random(7), ConcurrencyLimiter(3, Queue(4, order))
    waiting: list[tuple[str, float, float, int]] = []
    open_ = full = taken = 0
    for serial in range(3000):
        choice = random.random()
        if choice < 0.5:
            job = (f"j{serial}", random.choice((1.0, 10.0)), random.choice((5.0, 6.0)), serial)
            if limiter.try_acquire():
                assert open_ < 3
                assert not waiting
                open_ += 1
                continue
            assert open_ == 3 or waiting
            waiting.append(job)
            waiting.sort(key=RANKS[order])
            displaced = limiter.enqueue(*job)
            assert (displaced is None) is (len(waiting) <= 4)
            if displaced is not None:
                assert displaced == waiting.pop()[0]
                limiter.remove(displaced)
                full += 1
        elif choice < 0.6 and waiting:
            limiter.remove(waiting.pop(random.randrange(len(waiting)))[0])
        elif open_:
            limiter.release()
            open_ -= 1
            while (id := limiter.dequeue()) is not None:
                assert id == waiting.pop(0)[0]
                open_, taken = open_ + 1, taken + 1
            assert open_ == 3 or not waiting
        limiter.remove("nobody")
    assert full > 100
    assert taken > 300
    assert len(limiter.waiting) == len(limiter.rank_by_id) == len(waiting)


@pytest.mark.parametrize(("share", "floor", "window"), [(0.2, 1.0, 10.0), (0.0, 2.0, 3.0), (1.0, 0.0, 10.0)])
def test_retries_of_any_window_stay_within_share_and_floor(share: float, floor: float, window: float) -> None:
    random, budget = Random(3), RetryBudgetWindow(RetryBudget(share, floor, window))
    now, firsts, retries, denied = 1e9, list[float](), list[float](), 0
    for step in range(10_000):
        now += random.expovariate(40.0) * (50 if step % 4000 == 0 else 1)
        if random.random() < (0.3 if step % 3000 < 1500 else 0.95):
            budget.record_first_send(now)
            firsts.append(now)
        elif budget.try_spend(now):
            retries.append(now)
            in_window = sum(t > now - 0.9 * window for t in retries)
            assert in_window <= share * sum(t > now - window for t in firsts) + floor * 0.9 * window + 1e-6
        else:
            denied += 1  # a retry is denied only if the budget is used up
            in_window = sum(t > now - window for t in retries)
            allowed = share * sum(t > now - 0.9 * window for t in firsts) + floor * 0.9 * window
            assert in_window + 1 > allowed - 1e-6
            assert not budget.may_retry(now)
        assert len(budget.slices) <= 10
    assert denied > 1000
    assert len(retries) > 100


@pytest.mark.parametrize("percentile", [50.0, 95.0, 99.0])
def test_the_estimated_percentile_is_within_its_error_and_follows_a_change(percentile: float) -> None:
    random, times = Random(5), LatencyPercentile(percentile)
    drawn = list[float]()
    for scale in (0.1, 1.0):
        for _ in range(6000):
            drawn.append(scale * random.lognormvariate(0.0, 0.5))
            times.add(drawn[-1])
            assert (times.value_s is None) is (len(drawn) < max(32, round(times.min_samples)))
        last = sorted(drawn[-int(max(DECAY_SAMPLES, 2 * times.min_samples)) :])
        near = [last[int(len(last) * min(1, max(0, percentile / 100 + d)))] for d in (-0.015, 0.008)]
        assert times.value_s is not None
        assert near[0] * (1 - RELATIVE_ERROR) <= times.value_s <= near[1] * (1 + RELATIVE_ERROR)
        assert len(times.buckets) < 378
        assert times.total <= max(DECAY_SAMPLES, 2 * times.min_samples)


def test_latencies_are_clamped_and_cut_off_attempts_are_lower_bounds() -> None:
    times = LatencyPercentile(50.0)
    for took in (0.0, 1e9, -1.0) * 40:
        times.add(took)
    assert times.value_s == pytest.approx(1e-3, rel=0.05)
    assert max(times.buckets) <= 378
    times.add_longer_than(0.5e-3)  # below the estimate: such a lower bound is ignored
    assert times.total == 120
    times.add_longer_than(0.1)
    assert times.total == 121
    assert log(0.1 / 1e-3) > 0
    known = times.value_s
    for _ in range(31 - times.new_count):  # the estimate is updated every 32 samples
        times.add(50.0)
        assert times.value_s == known
    unknown = LatencyPercentile(95.0)
    unknown.add_longer_than(100.0)
    assert unknown.total == 0


@pytest.mark.parametrize("share", [0.05, 0.3, 1.0])
def test_hedges_never_exceed_their_share_of_the_first_sends(share: float) -> None:
    random, budget = Random(1), HedgeBudget(share)
    sent = hedges = 0
    for step in range(20_000):
        if random.random() < 0.8:
            budget.record_first_send()
            sent += 1
        if step % 5000 > 1000 and budget.has_token():
            budget.take_token()
            hedges += 1
        assert hedges <= share * sent
    assert hedges > share * sent * 0.7
    for _ in range(10_000):
        budget.record_first_send()
    assert budget.tokens == MAX_HEDGE_TOKENS  # a quiet hour must not allow a burst of hedges


def test_alarms_are_due_in_order_and_dropped_ones_use_little_memory() -> None:
    random, alarms, expected = Random(2), Alarms(), dict[str, float]()
    now = 0.0
    for _ in range(20_000):
        key = f"k{random.randrange(50)}"
        if random.random() < 0.6:
            expected[key] = now + random.random()
            alarms.put(key, expected[key])
        elif random.random() < 0.7:
            expected.pop(key, None)
            alarms.drop(key)
        else:
            now += random.random() / 10
            while (due := alarms.pop_due(now)) is not None:
                assert expected.pop(due) <= now
            assert all(at > now for at in expected.values())
        assert alarms.next_due_at() == min(expected.values(), default=inf)
        assert alarms.due_at == expected
        assert len(alarms.heap) <= 2 * len(expected) + 17
