"""Tests of worker selection by affinity, load, subset and zone."""

from collections import Counter

from finchladder.cluster.routing.pools import Pool
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import RequestCost, Worker
from tests.cluster.routing_workers import make_worker

SELECTOR = WorkerSelector("edge", "z", 4 / 64)  # candidates are preferred below a load of 4


PROMPT = RequestCost(load=2000.0, prefill_s_per_token=0.00004)  # 80 ms of prefill


def test_the_candidate_with_strictly_lower_load_is_selected_and_a_tie_goes_to_the_second() -> None:
    pool = Pool("m1", [make_worker(f"w{n}") for n in range(6)])
    first, second = pool.candidates()
    assert pool.select(0.0, SELECTOR, frozenset()) is second
    second.load = 1
    assert pool.select(0.0, SELECTOR, frozenset()) is first


def test_load_above_the_affinity_limit_overflows_to_the_least_loaded() -> None:
    pool = Pool("m0", [make_worker(f"w{n}", 3) for n in range(6)])
    other = next(worker for worker in pool.workers if worker not in pool.candidates())
    other.load = 2
    for candidate in pool.candidates():
        candidate.load = 4
    assert pool.select(0.0, SELECTOR, frozenset()) is other


def test_workers_in_backoff_or_already_attempted_are_not_selected() -> None:
    first, second, third = (make_worker(name) for name in "abc")
    first.backoff_until, second.key_backoff_until = 5.0, {"m0": 5.0}
    pool = Pool("m0", [first, second, third])
    assert pool.select(1.0, SELECTOR, frozenset()) is third
    assert pool.select(1.0, SELECTOR, frozenset({"c"})) is None
    assert pool.select(6.0, SELECTOR, frozenset({"c"})) in (first, second)


def test_a_candidate_is_preferred_up_to_the_queued_prefill_time() -> None:
    pool = Pool("m1", [make_worker(f"w{n}") for n in range(6)])
    selector = WorkerSelector("edge", "z", 0.2, affinity_queue_s=0.1)
    first, second = pool.candidates()
    first.add_load(2400.0)
    second.add_load(2450.0)
    assert pool.select(0.0, selector, frozenset(), PROMPT) is first, "96 ms"
    first.add_load(200.0)
    assert pool.select(0.0, selector, frozenset(), PROMPT) is second, "98 ms against 104"
    second.add_load(200.0)
    assert pool.select(0.0, selector, frozenset(), PROMPT) not in (first, second)


def requests_per_worker(dispatchers: int, workers: int, requests: int) -> list[int]:
    """Sorted request counts of workers if all dispatchers select by the same stale peer loads."""
    counts = dict.fromkeys(range(workers), 0)
    for number in range(dispatchers):
        selector = WorkerSelector(f"edge-{number}", "z", 0.2, dispatchers)
        pool = Pool("m0", [make_worker(f"w{n}", 5.0 + n % 3) for n in range(workers)])
        for _ in range(requests):
            selected = pool.select(0.0, selector, frozenset())
            assert selected is not None
            selected.add_load(1)
            counts[int(selected.instance[1:])] += 1
    return sorted(counts.values())


def test_many_dispatchers_with_the_same_stale_loads_do_not_select_the_same_worker() -> None:
    counts = requests_per_worker(dispatchers=90, workers=30, requests=2)
    assert counts[-1] <= 5 * 90 * 2 / 30, "the busiest worker got more than 5 times its even share"
    assert counts[len(counts) // 2] >= 1


def test_one_of_many_dispatchers_selects_from_a_small_subset_mostly_in_its_zone() -> None:
    workers = [Worker(f"w{n}", "llm", f"w{n}:1", f"z{n % 5}", 64) for n in range(70)]
    selector = WorkerSelector("edge-1", "z3", 0.2, 90)
    models = [Pool("", workers[first:]) for first in (0, 1, 2)]
    selected_count: Counter[str] = Counter()
    for number in range(300):
        selected = models[number % 3].select(0.0, selector, frozenset())
        assert selected is not None
        selected.set_peer_load(0.0, number % 7)
        selected_count[selected.instance] += 1
    assert len(selected_count) <= 15, "a subset has 13 of 70 workers and is almost the same for similar pools"
    assert sum(n for name, n in selected_count.items() if int(name[1:]) % 5 == 3) > 200


def test_each_of_many_dispatchers_has_two_stable_candidates_of_its_own() -> None:
    pool = Pool("m0", [make_worker(f"w{n}") for n in range(12)])
    many = [WorkerSelector(f"edge-{number}", "z", 0.2, 90) for number in range(90)]
    second_candidates = Counter(pool.candidates(selector.candidate_salt)[-1].instance for selector in many)
    assert len(second_candidates) == 12, "some worker is never a candidate"
    assert max(second_candidates.values()) <= 3 * 90 / 12
    assert all(
        pool.candidates(selector.candidate_salt) is pool.candidates(selector.candidate_salt)
        for selector in many
    )
    few = [WorkerSelector(f"edge-{number}", "z", 0.2, 6) for number in range(6)]
    assert {pool.candidates(selector.candidate_salt) for selector in few} == {pool.candidates()}


def test_few_dispatchers_compare_all_workers() -> None:
    pool = Pool("", [make_worker(f"w{n}", 9.0) for n in range(30)])
    pool.workers[17].load = 1.0
    for dispatchers in (1, 16):
        assert (
            pool.select(0.0, WorkerSelector("edge", "z", 0.2, dispatchers), frozenset()) is pool.workers[17]
        )


def test_of_equally_loaded_workers_one_of_the_own_zone_is_selected() -> None:
    local, remote = make_worker("b", 2.0), Worker("a", "llm", "a:1", "far", 64, 2.0)
    pool = Pool("", [local, remote])
    assert pool.select(0.0, SELECTOR, frozenset()) is local
    remote.load = 1.0
    assert pool.select(0.0, SELECTOR, frozenset()) is remote
