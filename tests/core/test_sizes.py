"""Ties among many dispatchers, and the homes of hot keys: what is drawn, and what it must leave as it is."""

import random
from collections import Counter
from math import inf, nan

import pytest

from finchladder import api
from finchladder.config.options import Options
from finchladder.core.dispatch.key_frequency import KeyFrequency
from finchladder.core.dispatch.records import Worker
from finchladder.core.dispatch.worker_capacity import MAX_KINDS, MIN_SPEED, WorkerCapacity
from finchladder.core.dispatch.worker_index import PoolIndex, Ring, ring_points
from finchladder.features import snapshot
from finchladder.features.request_admission import Arrivals
from tests.helpers import Bench, entry, settings, workers
from tests.test_mechanism import key_with_pair, pair_of

MANY = 200


def bench(seed: int, weights: dict[int, float], dispatchers: int = MANY, n: int = 8) -> Bench:
    listed = [entry(w, weight=weights.get(i, 1.0)) for i, w in enumerate(workers(n))]
    return Bench(listed, seed=seed, dispatchers=dispatchers)


def wins(weight: float, dispatchers: int = MANY, draws: int = 200, load: int = 0) -> float:
    """How often the second of a key's pair gets a job that neither has, its weight being as said."""
    first = bench(0, {})
    key = key_with_pair(first, 2)
    second = pair_of(first, key)[1]
    got = 0
    for seed in range(draws):
        b = bench(seed, {workers(8).index(second): weight}, dispatchers)
        b.d.worker_index.add_load(b.d.workers[second], load)
        got += b.ask(key=key)[1][0].worker == second
    return got / draws


@pytest.mark.parametrize(
    ("weight", "dispatchers", "least", "most"),
    [
        (1.0, MANY, 0.3, 0.7),
        (0.4, MANY, 0.05, 0.3),
        (3.0, MANY, 0.75, 0.97),
        (0.4, 3, 1.0, 1.0),  # a few dispatchers: a tie goes to the second
        (0.4, 8, 1.0, 1.0),
    ],
)
def test_a_tie_of_a_pair_is_drawn_by_size_among_many(
    weight: float, dispatchers: int, least: float, most: float
) -> None:
    assert least <= wins(weight, dispatchers) <= most


def test_a_lower_own_load_wins_whatever_the_sizes() -> None:
    assert wins(10.0, draws=20, load=1) == 0.0


@pytest.mark.parametrize("weight", [nan, inf, 0.0, -1.0, 1e300, 17.0])
def test_an_unusable_weight_counts_as_one_and_harms_no_other(weight: float) -> None:
    b = bench(1, {0: weight})
    sizes = b.d.worker_load.learned_capacity
    assert [sizes.capacity_of(b.d.workers[w]) for w in workers(8)] == [1.0] * 8


def test_an_absurd_live_weight_leaves_the_others_as_they_are() -> None:
    b = Bench(workers(8), weights_report_load=True, dispatchers=MANY)
    b.patch(*(entry(w, weight=4.0) for w in workers(8)))
    b.patch(entry("w3", weight=1e12))
    b.patch(*(entry(w, weight=4.0) for w in workers(8) if w != "w3"))
    finish = {w: b.d.workers[w].expected_finish for w in workers(8)}
    assert len(set(finish.values())) == 1
    assert b.d.workers["w3"].weight == 0.0


@pytest.mark.parametrize("live", [True, False])
def test_a_first_list_of_an_overloaded_fleet_condemns_no_later_weight(live: bool) -> None:
    """A dispatcher that starts while each core holds 99 requests, and the list of the time after it."""
    b = Bench([entry(w, weight=0.04) for w in workers(30)], weights_report_load=live, dispatchers=MANY)
    for _ in range(6):
        b.patch(*(entry(w, weight=4.0) for w in workers(30)))
    w = b.d.workers["w7"]
    assert w.weight == 4.0 if live else w.nominal_capacity == 4.0


def test_kinds_whose_speed_is_learned_are_bounded() -> None:
    sizes = WorkerCapacity(settings(dispatchers=MANY))
    for n in range(1000):
        sizes.record_run(Worker(entry(f"w{n}", kind=f"k{n}"), 2.0), SAFE, 0.2)
    assert len(sizes.samples_by_kind) == MAX_KINDS


SAFE = api.JobClass("safe", api.Effect.SAFE, latency_target_s=1.0, deadline_s=5.0)


def learned(slow: dict[str, float], jobs: int, kinds: dict[str, str]) -> dict[str, float]:
    """Sizes after so many jobs at each worker; `slow`: how long a job takes there, 0.2 elsewhere."""
    sizes = WorkerCapacity(settings(dispatchers=MANY))
    found = {name: Worker(entry(name, kind=kind), 2.0) for name, kind in kinds.items()}
    for name in list(found)[::-1][:5]:  # so that a usual run time is known
        sizes.record_run(found[name], SAFE, slow.get(name, 0.2))
    for _ in range(jobs):
        for name, w in found.items():
            sizes.record_run(w, SAFE, slow.get(name, 0.2))
    return {name: sizes.capacity_of(w) for name, w in found.items()}


TEN = {f"w{n}": "" for n in range(10)}


def test_one_that_crawls_is_told_by_its_run_times_and_one_job_proves_little() -> None:
    one, some = learned({"w0": 1.2}, 1, TEN), learned({"w0": 1.2}, 12, TEN)
    assert 0.3 < one["w0"] / one["w5"] < 0.8
    assert some["w0"] / some["w5"] < 0.4
    assert all(0.7 < size < 1.3 for name, size in some.items() if name != "w0")


def test_a_kind_that_is_slow_is_told_by_its_kind_though_each_one_was_hardly_met() -> None:
    kinds = {f"w{n}": "slow" if n < 100 else "fast" for n in range(200)}
    sizes = learned({f"w{n}": 0.4 for n in range(100)}, 1, kinds)
    assert sizes["w0"] / sizes["w150"] < 0.85


def test_a_factor_is_bounded_and_a_restart_forgets_it() -> None:
    sizes = learned({"w0": 1e9}, 50, TEN)
    assert sizes["w0"] >= MIN_SPEED**2
    w = Worker(entry("w0"), 2.0)
    known = WorkerCapacity(settings(dispatchers=MANY))
    other = Worker(entry("w1"), 2.0)
    for _ in range(20):
        known.record_run(other, SAFE, 0.2)
        known.record_run(w, SAFE, 2.0)
    slow = known.capacity_of(w)
    w.restart(5.0, 2.0, 0.0)
    assert known.capacity_of(w) > 1.5 * slow


# --- homes of hot keys


def counts(seed: int, index: int = 0) -> KeyFrequency:
    return KeyFrequency(settings(dispatchers=MANY, index=index), seed)


def ask(c: KeyFrequency, rng: random.Random, n: int, share: float, hot: int = 7) -> list[tuple[int, int]]:
    """The homes of each request for the hot key among n, the others being for keys of their own."""
    found = []
    for i in range(n):
        key = hot if rng.random() < share else 1000 + rng.randrange(10**9)
        c.add(key)
        if key == hot:
            found.append(c.next_pair(key, 60))
        else:
            assert c.next_pair(key, 60) == (1, 0)  # seen once: no hot key
        if i % 5 == 0:
            c.decay()
    return found


def test_a_dispatcher_that_sees_little_finds_a_hot_key_soon_and_for_good() -> None:
    found = ask(counts(3), random.Random(1), 300, 0.08)
    assert found[3][0] >= 3  # some 40 requests, at 2.4 a second 17 s
    assert 15 <= found[-1][0] <= 60


def test_two_hundred_dispatchers_fill_the_homes_of_a_hot_key_evenly() -> None:
    """Counts come to rest at one figure everywhere: homes taken by the count would all be the same one."""
    got: Counter[int] = Counter()
    for index in range(MANY):
        found = ask(counts(index, index), random.Random(index), 120, 0.3)
        got.update(first for homes, first in found if homes == 30)
    mean = sum(got.values()) / 30
    assert len(got) == 30
    assert max(got.values()) < 1.5 * mean
    assert min(got.values()) > 0.5 * mean


def test_a_key_that_would_need_all_is_not_left_to_its_first_pair() -> None:
    """Of 60 workers a key has some 45 pairs: who begins past the last begins with the first, as all would."""
    pool, got = PoolIndex(), Counter[str]()
    for name in workers(60):
        w = Worker(entry(name), 2.0)
        pool.update_rings(w, True, (ring_points(name, 0), ring_points(name, 1)))
    for seed in range(60):
        for homes, first in ask(counts(seed), random.Random(seed), 120, 0.5):
            pair = next(iter(pool.walk_pairs(7, homes, first)))
            got.update({w.address: 2 // len(pair) for w in pair})
    assert max(got.values()) < 4 * sum(got.values()) / 60, got.most_common(3)


@pytest.mark.parametrize("index", [0, -1])
def test_equal_or_absent_numbers_still_fill_them(index: int) -> None:
    got: Counter[int] = Counter()
    for seed in range(MANY):
        found = ask(counts(seed, index), random.Random(seed), 150, 0.3)
        got.update(first for homes, first in found if homes == 30)
    mean = sum(got.values()) / 30
    assert len(got) == 30
    assert max(got.values()) < 2.0 * mean


def test_when_another_key_becomes_the_hot_one_the_first_is_let_go() -> None:
    c, rng = counts(1), random.Random(2)
    ask(c, rng, 600, 0.1, hot=1)
    ask(c, rng, 2500, 0.1, hot=2)
    assert c.next_pair(1, 60) == (1, 0)
    assert c.next_pair(2, 60)[0] > 20


# --- what of the ring is whose


@pytest.mark.parametrize("asked", [0, 50])
def test_portions_are_those_of_a_ring_made_anew_whoever_comes_and_goes(asked: int) -> None:
    """`asked`: from which step on anyone wants to know."""
    rng = random.Random(3)
    ring: Ring[Worker] = Ring()
    there: dict[str, Worker] = {}
    for step in range(120):
        name = f"w{rng.randrange(12)}"
        if name in there:
            ring.remove(there.pop(name), ring_points(name, 0))
        else:
            there[name] = Worker(entry(name), 2.0)
            ring.add(there[name], ring_points(name, 0))
        if step >= asked and step % 10 == 0 and there:
            marks = sorted((p, name) for name in there for p in ring_points(name, 0))
            want: Counter[str] = Counter()
            for i, (p, name) in enumerate(marks):
                want[name] += (p - marks[i - 1][0]) % 2**64 if len(marks) > 1 else 2**64
            for name, w in there.items():
                assert ring.key_share(w) == pytest.approx(want[name] / 2**64 * len(there))
    assert ring.key_share(Worker(entry("other"), 2.0)) == 1.0


def test_a_state_taken_up_goes_by_the_settings_of_now() -> None:
    before = Bench(workers(8), dispatchers=MANY, zone="a").d
    few = Bench([], dispatchers=3, zone="b").d
    snapshot.restore(snapshot.take(before, Arrivals(Options(), 1)), few, Arrivals(Options(), 1))
    assert not few.worker_load.draws_ties
    assert not few.state.key_frequency.is_large_fleet
    assert few.worker_load.learned_capacity.settings.zone == "b"
