"""Random tie-breaking in large fleets, learned capacities, and the pairs of hot keys."""

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
from finchladder.features.request_admission import RequestAdmission
from tests.helpers import Bench, entry, settings, workers
from tests.test_mechanism import key_with_pair, pair_of

MANY = 200  # dispatchers


def bench(seed: int, weights: dict[int, float], dispatchers: int = MANY, n: int = 8) -> Bench:
    entries = [entry(w, weight=weights.get(i, 1.0)) for i, w in enumerate(workers(n))]
    return Bench(entries, seed=seed, dispatchers=dispatchers)


def win_share(weight: float, dispatchers: int = MANY, draws: int = 200, load: int = 0) -> float:
    """Returns how often the second candidate of a key's pair, with this weight and load, gets a job."""
    first = bench(0, {})
    key = key_with_pair(first, 2)
    second = pair_of(first, key)[1]
    win_count = 0
    for seed in range(draws):
        b = bench(seed, {workers(8).index(second): weight}, dispatchers)
        b.d.worker_index.add_load(b.d.workers[second], load)
        win_count += b.ask(key=key)[1][0].worker == second
    return win_count / draws


@pytest.mark.parametrize(
    ("weight", "dispatchers", "minimum", "maximum"),
    [
        (1.0, MANY, 0.3, 0.7),
        (0.4, MANY, 0.05, 0.3),
        (3.0, MANY, 0.75, 0.97),
        (0.4, 3, 1.0, 1.0),  # small fleet: a tie goes to the second candidate
        (0.4, 8, 1.0, 1.0),
    ],
)
def test_a_tie_of_a_pair_is_drawn_by_capacity_in_a_large_fleet(
    weight: float, dispatchers: int, minimum: float, maximum: float
) -> None:
    assert minimum <= win_share(weight, dispatchers) <= maximum


def test_a_lower_local_load_wins_whatever_the_capacities() -> None:
    assert win_share(10.0, draws=20, load=1) == 0.0


@pytest.mark.parametrize("weight", [nan, inf, 0.0, -1.0, 1e300, 17.0])
def test_an_implausible_weight_counts_as_1_and_affects_no_other_worker(weight: float) -> None:
    b = bench(1, {0: weight})
    capacity = b.d.worker_load.learned_capacity
    assert [capacity.capacity_of(b.d.workers[w]) for w in workers(8)] == [1.0] * 8


def test_an_implausible_live_weight_affects_no_other_worker() -> None:
    b = Bench(workers(8), weights_report_load=True, dispatchers=MANY)
    b.patch(*(entry(w, weight=4.0) for w in workers(8)))
    b.patch(entry("w3", weight=1e12))
    b.patch(*(entry(w, weight=4.0) for w in workers(8) if w != "w3"))
    finish = {w: b.d.workers[w].expected_finish for w in workers(8)}
    assert len(set(finish.values())) == 1
    assert b.d.workers["w3"].weight == 0.0


@pytest.mark.parametrize("live", [True, False])
def test_after_a_first_list_of_an_overloaded_fleet_later_weights_are_plausible(live: bool) -> None:
    """The dispatcher starts while each core has 99 requests; the later lists are of the idle fleet."""
    b = Bench([entry(w, weight=0.04) for w in workers(30)], weights_report_load=live, dispatchers=MANY)
    for _ in range(6):
        b.patch(*(entry(w, weight=4.0) for w in workers(30)))
    w = b.d.workers["w7"]
    assert w.weight == 4.0 if live else w.nominal_capacity == 4.0


def test_kinds_whose_speed_is_learned_are_bounded() -> None:
    capacity = WorkerCapacity(settings(dispatchers=MANY))
    for n in range(1000):
        capacity.record_run(Worker(entry(f"w{n}", kind=f"k{n}"), 2.0), SAFE, 0.2)
    assert len(capacity.samples_by_kind) == MAX_KINDS


SAFE = api.JobClass("safe", api.Effect.SAFE, latency_target_s=1.0, deadline_s=5.0)


def learned_capacities(slow: dict[str, float], jobs: int, kinds: dict[str, str]) -> dict[str, float]:
    """Returns the capacities after so many jobs per worker. `slow`: run times in seconds; 0.2 elsewhere."""
    capacity = WorkerCapacity(settings(dispatchers=MANY))
    by_name = {name: Worker(entry(name, kind=kind), 2.0) for name, kind in kinds.items()}
    for name in list(by_name)[::-1][:5]:  # initializes the mean run time
        capacity.record_run(by_name[name], SAFE, slow.get(name, 0.2))
    for _ in range(jobs):
        for name, w in by_name.items():
            capacity.record_run(w, SAFE, slow.get(name, 0.2))
    return {name: capacity.capacity_of(w) for name, w in by_name.items()}


TEN_WORKERS = {f"w{n}": "" for n in range(10)}


def test_a_slow_worker_is_detected_by_its_run_times_and_a_single_run_has_little_effect() -> None:
    after_1, after_12 = (
        learned_capacities({"w0": 1.2}, 1, TEN_WORKERS),
        learned_capacities({"w0": 1.2}, 12, TEN_WORKERS),
    )
    assert 0.3 < after_1["w0"] / after_1["w5"] < 0.8
    assert after_12["w0"] / after_12["w5"] < 0.4
    assert all(0.7 < capacity < 1.3 for name, capacity in after_12.items() if name != "w0")


def test_a_slow_kind_is_detected_although_each_worker_ran_few_jobs() -> None:
    kinds = {f"w{n}": "slow" if n < 100 else "fast" for n in range(200)}
    capacities = learned_capacities({f"w{n}": 0.4 for n in range(100)}, 1, kinds)
    assert capacities["w0"] / capacities["w150"] < 0.85


def test_a_learned_speed_is_bounded_and_reset_by_a_restart() -> None:
    capacities = learned_capacities({"w0": 1e9}, 50, TEN_WORKERS)
    assert capacities["w0"] >= MIN_SPEED**2
    w = Worker(entry("w0"), 2.0)
    capacity = WorkerCapacity(settings(dispatchers=MANY))
    other = Worker(entry("w1"), 2.0)
    for _ in range(20):
        capacity.record_run(other, SAFE, 0.2)
        capacity.record_run(w, SAFE, 2.0)
    slow = capacity.capacity_of(w)
    w.restart(5.0, 2.0, 0.0)
    assert capacity.capacity_of(w) > 1.5 * slow


# --- pairs of hot keys


def key_frequency(seed: int, index: int = 0) -> KeyFrequency:
    return KeyFrequency(settings(dispatchers=MANY, index=index), seed)


def request_keys(
    c: KeyFrequency, rng: random.Random, n: int, share: float, hot: int = 7
) -> list[tuple[int, int]]:
    """Counts n requests, of which `share` are for the hot key, each other for another key.

    Returns the number of pairs and the pair index for each request for the hot key.
    """
    pairs = []
    for i in range(n):
        key = hot if rng.random() < share else 1000 + rng.randrange(10**9)
        c.add(key)
        if key == hot:
            pairs.append(c.next_pair(key, 60))
        else:
            assert c.next_pair(key, 60) == (1, 0)  # a key with a single request is not hot
        if i % 5 == 0:
            c.decay()
    return pairs


def test_a_dispatcher_with_few_requests_detects_a_hot_key_soon() -> None:
    pairs = request_keys(key_frequency(3), random.Random(1), 300, 0.08)
    assert pairs[3][0] >= 3  # after about 40 requests, which take 17 s at 2.4 per second
    assert 15 <= pairs[-1][0] <= 60


def test_two_hundred_dispatchers_use_the_pairs_of_a_hot_key_evenly() -> None:
    """The counts of all dispatchers converge to one value, so pairs chosen by count would be the same."""
    uses: Counter[int] = Counter()
    for index in range(MANY):
        pairs = request_keys(key_frequency(index, index), random.Random(index), 120, 0.3)
        uses.update(first for count, first in pairs if count == 30)
    mean = sum(uses.values()) / 30
    assert len(uses) == 30
    assert max(uses.values()) < 1.5 * mean
    assert min(uses.values()) > 0.5 * mean


def test_a_key_that_needs_all_workers_does_not_overload_its_first_pair() -> None:
    """With 60 workers a key has about 45 pairs; an index past the last pair would select the first one."""
    pool, uses = PoolIndex(), Counter[str]()
    for name in workers(60):
        w = Worker(entry(name), 2.0)
        pool.update_rings(w, True, (ring_points(name, 0), ring_points(name, 1)))
    for seed in range(60):
        for count, first in request_keys(key_frequency(seed), random.Random(seed), 120, 0.5):
            pair = next(iter(pool.walk_pairs(7, count, first)))
            uses.update({w.address: 2 // len(pair) for w in pair})
    assert max(uses.values()) < 4 * sum(uses.values()) / 60, uses.most_common(3)


@pytest.mark.parametrize("index", [0, -1])
def test_pairs_are_used_evenly_if_all_dispatchers_have_the_same_index(index: int) -> None:
    uses: Counter[int] = Counter()
    for seed in range(MANY):
        pairs = request_keys(key_frequency(seed, index), random.Random(seed), 150, 0.3)
        uses.update(first for count, first in pairs if count == 30)
    mean = sum(uses.values()) / 30
    assert len(uses) == 30
    assert max(uses.values()) < 2.0 * mean


def test_a_key_is_no_longer_hot_after_another_key_becomes_hot() -> None:
    c, rng = key_frequency(1), random.Random(2)
    request_keys(c, rng, 600, 0.1, hot=1)
    request_keys(c, rng, 2500, 0.1, hot=2)
    assert c.next_pair(1, 60) == (1, 0)
    assert c.next_pair(2, 60)[0] > 20


# --- key shares on the ring


@pytest.mark.parametrize("first_query_step", [0, 50])
def test_key_shares_equal_those_of_a_rebuilt_ring_after_joins_and_leaves(first_query_step: int) -> None:
    rng = random.Random(3)
    ring: Ring[Worker] = Ring()
    members: dict[str, Worker] = {}
    for step in range(120):
        name = f"w{rng.randrange(12)}"
        if name in members:
            ring.remove(members.pop(name), ring_points(name, 0))
        else:
            members[name] = Worker(entry(name), 2.0)
            ring.add(members[name], ring_points(name, 0))
        if step >= first_query_step and step % 10 == 0 and members:
            points = sorted((p, name) for name in members for p in ring_points(name, 0))
            expected: Counter[str] = Counter()
            for i, (p, name) in enumerate(points):
                expected[name] += (p - points[i - 1][0]) % 2**64 if len(points) > 1 else 2**64
            for name, w in members.items():
                assert ring.key_share(w) == pytest.approx(expected[name] / 2**64 * len(members))
    assert ring.key_share(Worker(entry("other"), 2.0)) == 1.0


def test_a_restored_state_follows_the_current_settings() -> None:
    old = Bench(workers(8), dispatchers=MANY, zone="a").d
    restored = Bench([], dispatchers=3, zone="b").d
    snapshot.restore(
        snapshot.take(old, RequestAdmission(Options(), 1)), restored, RequestAdmission(Options(), 1)
    )
    assert not restored.worker_load.breaks_ties_at_random
    assert not restored.state.key_frequency.is_large_fleet
    assert restored.worker_load.learned_capacity.settings.zone == "b"
