"""The data plane's pure parts: budgets, events, pools, the routing snapshot, headers."""

import json
from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.configuration.snapshot import build_snapshot
from finchladder.cluster.routing.event_stream import EventBuffer
from finchladder.cluster.routing.headers import forwarded_headers
from finchladder.cluster.routing.pools import (
    ExpectedReplica,
    Pool,
    PoolKey,
    PoolMember,
    Pools,
    pool_member,
    usable_models,
)
from finchladder.cluster.routing.prefill_time import PrefillTimeEstimator
from finchladder.cluster.routing.requests import classify
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import (
    PEER_LOAD_AGE_S,
    PREFILL_PROGRESS_SHARE,
    RequestCost,
    Worker,
)
from finchladder.cluster.types.workers import LoadedModel, PlacementRecord, SessionPhase, WorkerRecord


def make_worker(name: str, load: float = 0.0) -> Worker:
    return Worker(name, "llm", f"{name}:1", "z", 64, load)


SELECTOR = WorkerSelector("edge", "z", 4 / 64)  # the two candidates are preferred below a load of 4

# --- the choice


def test_of_the_two_candidates_the_one_with_strictly_lower_load_wins_and_a_tie_goes_to_the_second() -> None:
    pool = Pool("m1", [make_worker(f"w{n}") for n in range(6)])
    first, second = pool.candidates()
    assert pool.select(0.0, SELECTOR, frozenset()) is second
    second.load = 1
    assert pool.select(0.0, SELECTOR, frozenset()) is first


def test_load_past_the_threshold_overflows_to_the_least_loaded() -> None:
    pool = Pool("m0", [make_worker(f"w{n}", 3) for n in range(6)])
    other = next(b for b in pool.workers if b not in pool.candidates())
    other.load = 2
    for candidate in pool.candidates():
        candidate.load = 4
    assert pool.select(0.0, SELECTOR, frozenset()) is other


def test_who_rests_or_lacks_the_key_or_had_the_request_is_passed_over() -> None:
    one, two, three = (make_worker(name) for name in "abc")
    one.backoff_until, two.key_backoff_until = 5.0, {"m0": 5.0}
    pool = Pool("m0", [one, two, three])
    assert pool.select(1.0, SELECTOR, frozenset()) is three
    assert pool.select(1.0, SELECTOR, frozenset({"c"})) is None
    assert pool.select(6.0, SELECTOR, frozenset({"c"})) in (one, two)


def record(name: str, phase: SessionPhase = SessionPhase.READY, *holdings: LoadedModel) -> WorkerRecord:
    return WorkerRecord(name, "llm", f"{name}:1", "z", 64, phase, 1, "core", holdings)


def test_draining_lost_and_gone_workers_get_nothing_and_loads_outlive_a_swap() -> None:
    old = {"a": PoolMember(make_worker("a", 3))}
    phases = {
        "a": SessionPhase.READY,
        "b": SessionPhase.DRAINING,
        "c": SessionPhase.LOST,
        "d": SessionPhase.DEREGISTERED,
    }
    holders = {n: pool_member(record(n, phase), None, old.get(n)) for n, phase in phases.items()}
    assert holders["a"] is not None and holders["a"].worker is old["a"].worker
    assert [holders[name] for name in "bcd"] == [None] * 3
    assert pool_member(None, None, old["a"]) is None


def test_the_placers_word_goes_before_the_workers_own() -> None:
    worker = record("a", SessionPhase.READY, LoadedModel("m0"), LoadedModel("m1"))
    assert usable_models(worker, None) == worker.loaded_models
    told = PlacementRecord("a", 1, 1, (LoadedModel("m1"),))
    assert usable_models(worker, told) == (LoadedModel("m1"),)


def test_a_pool_has_who_holds_the_model_and_the_adapter() -> None:
    a, b, c = (make_worker(name) for name in "abc")
    pools = Pools().with_changes(
        {
            "a": PoolMember(a, (LoadedModel("m0", ("a1",)),)),
            "b": PoolMember(b, (LoadedModel("m0"),)),
            "c": PoolMember(c),
        },
        [ExpectedReplica(PoolKey("llm", "m9", ""), 8.0), ExpectedReplica(PoolKey("llm", "m9", ""), 7.0)],
    )
    assert pools.pool(PoolKey("llm", "m0", "")).workers == (a, b)
    assert pools.pool(PoolKey("llm", "m0", "a1")).workers == (a,)
    assert pools.pool(PoolKey("llm", "", "")).workers == (a, b, c)
    assert pools.ready_at(PoolKey("llm", "m9", "a2")) == 7.0


Steps = list[tuple[str, bool, list[tuple[str, bool]]]]


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.booleans(),
            st.lists(
                st.tuples(st.sampled_from(("m0", "m1")), st.booleans()), max_size=2, unique_by=lambda h: h[0]
            ),
        ),
        max_size=12,
    )
)
def test_pools_that_were_changed_step_by_step_equal_those_made_at_once(steps: Steps) -> None:
    """The oracle is a look at all holders; pools of earlier moments stay as they were."""
    pools, holders, earlier = Pools(), dict[str, PoolMember](), []
    for name, is_there, held in steps:
        holder = PoolMember(
            make_worker(name), tuple(LoadedModel(m, ("a1",) if adapter else ()) for m, adapter in held)
        )
        holders.pop(name, None)
        if is_there:
            holders[name] = holder
        pools = pools.with_changes({name: holder if is_there else None})
        for key in (PoolKey("llm", m, a) for m, a in (("", ""), ("m0", ""), ("m0", "a1"), ("m1", ""))):
            wanted = {h.worker for h in holders.values() if key in set(h.pool_keys())}
            assert set(pools.pool(key).workers) == wanted
            earlier.append((pools, key, wanted))
    for before, key, wanted in earlier:
        assert set(before.pool(key).workers) == wanted


def test_a_change_of_others_leaves_a_pool_as_it_is() -> None:
    key = PoolKey("llm", "m0", "")
    pools = Pools().with_changes(
        {"a": PoolMember(make_worker("a"), (LoadedModel("m0"),)), "b": PoolMember(make_worker("b"))}
    )
    pool = pools.pool(key)
    assert (
        pools.with_changes({"b": PoolMember(pools.members["b"].worker, (LoadedModel("m1"),))}).pool(key)
        is pool
    )


# --- many dispatchers


def test_loads_that_others_told_count_with_the_own_ones() -> None:
    one, two = make_worker("a"), make_worker("b")
    pools = Pools().with_changes({"a": PoolMember(one), "b": PoolMember(two)})
    one.add_load(1)
    pools.set_peer_loads(0.0, {"b": 5})
    assert (one.load, two.load, pools.own_loads()) == (1, 5, {"a": 1})
    two.add_load(1)
    one.add_load(-1)
    assert (one.load, two.load, pools.own_loads()) == (0, 6, {"b": 1})
    pools.set_peer_loads(0.0, {})
    assert (one.load, two.load) == (0, 1)


def spread(dispatchers: int, workers: int, requests: int) -> list[int]:
    """Requests by worker when all choose by the same old loads and their own requests."""
    counts = dict.fromkeys(range(workers), 0)
    for number in range(dispatchers):
        chooser = WorkerSelector(f"edge-{number}", "z", 0.2, dispatchers)
        pool = Pool("m0", [make_worker(f"w{n}", 5.0 + n % 3) for n in range(workers)])
        for _ in range(requests):
            chosen = pool.select(0.0, chooser, frozenset())
            assert chosen is not None
            chosen.add_load(1)
            counts[int(chosen.instance[1:])] += 1
    return sorted(counts.values())


def test_many_dispatchers_with_the_same_old_figures_do_not_all_take_the_same_worker() -> None:
    counts = spread(dispatchers=90, workers=30, requests=2)
    assert counts[-1] <= 5 * 90 * 2 / 30, "the busiest against an even share"
    assert counts[len(counts) // 2] >= 1


def test_one_of_many_dispatchers_keeps_to_few_workers_most_of_them_near() -> None:
    workers = [Worker(f"w{n}", "llm", f"w{n}:1", f"z{n % 5}", 64) for n in range(70)]
    chooser = WorkerSelector("edge-1", "z3", 0.2, 90)
    models = [Pool("", workers[first:]) for first in (0, 1, 2)]
    taken: Counter[str] = Counter()
    for number in range(300):
        chosen = models[number % 3].select(0.0, chooser, frozenset())
        assert chosen is not None
        chosen.set_peer_load(0.0, number % 7)
        taken[chosen.instance] += 1
    assert len(taken) <= 15, "13 of 70, and hardly others in pools that hardly differ"
    assert sum(n for name, n in taken.items() if int(name[1:]) % 5 == 3) > 200


def test_each_of_many_dispatchers_has_two_candidates_of_its_own_and_keeps_them() -> None:
    pool = Pool("m0", [make_worker(f"w{n}") for n in range(12)])
    many = [WorkerSelector(f"edge-{number}", "z", 0.2, 90) for number in range(90)]
    seconds = Counter(pool.candidates(chooser.candidate_salt)[-1].instance for chooser in many)
    assert len(seconds) == 12, "no worker is nobody's candidate"
    assert max(seconds.values()) <= 3 * 90 / 12
    assert all(
        pool.candidates(chooser.candidate_salt) is pool.candidates(chooser.candidate_salt) for chooser in many
    )
    few = [WorkerSelector(f"edge-{number}", "z", 0.2, 6) for number in range(6)]
    assert {pool.candidates(chooser.candidate_salt) for chooser in few} == {pool.candidates()}


# --- loads of engines


PROMPT = RequestCost(load=2000.0, prefill_s_per_token=0.00004)  # 80 ms to read


def test_a_candidate_is_preferred_up_to_the_time_that_an_engine_reads_what_it_has() -> None:
    pool = Pool("m1", [make_worker(f"w{n}") for n in range(6)])
    chooser = WorkerSelector("edge", "z", 0.2, affinity_queue_s=0.1)
    first, second = pool.candidates()
    first.add_load(2400.0)
    second.add_load(2450.0)
    assert pool.select(0.0, chooser, frozenset(), PROMPT) is first, "96 ms"
    first.add_load(200.0)
    assert pool.select(0.0, chooser, frozenset(), PROMPT) is second, "98 ms against 104"
    second.add_load(200.0)
    assert pool.select(0.0, chooser, frozenset(), PROMPT) not in (first, second)


def test_what_others_told_is_read_meanwhile_and_the_own_requests_are_not_taken_for_read() -> None:
    one = make_worker("a")
    one.add_load(1000.0)
    one.set_peer_load(5.0, 40_000)
    one.decay_peer_load(5.0, PROMPT.prefill_s_per_token)
    assert one.load == pytest.approx(
        1000 + 40_000 - PREFILL_PROGRESS_SHARE * PEER_LOAD_AGE_S / PROMPT.prefill_s_per_token
    )
    one.decay_peer_load(5.4, PROMPT.prefill_s_per_token)
    assert one.load == pytest.approx(
        1000 + 40_000 - PREFILL_PROGRESS_SHARE * (PEER_LOAD_AGE_S + 0.4) / PROMPT.prefill_s_per_token
    )
    one.decay_peer_load(60.0, PROMPT.prefill_s_per_token)
    assert one.load == 1000.0
    one.set_peer_load(60.0, 40_000)
    one.decay_peer_load(99.0, 0.0)
    assert one.load == 41_000.0, "how fast it reads is not known"


def test_the_pace_is_a_low_quantile_and_follows_a_change() -> None:
    random, pace = Random(1), PrefillTimeEstimator()
    pace.observe(0, 1.0)
    assert not pace.s_per_token, "a prompt of unknown size says nothing"
    for _ in range(400):
        pace.observe(1000, 0.040 if random.random() < 0.5 else 0.5)
    assert pace.s_per_token == pytest.approx(0.00004, rel=0.2)
    for _ in range(400):
        pace.observe(1000, 0.010 if random.random() < 0.5 else 0.5)
    assert pace.s_per_token == pytest.approx(0.00001, rel=0.2)


def test_few_dispatchers_compare_all_workers() -> None:
    pool = Pool("", [make_worker(f"w{n}", 9.0) for n in range(30)])
    pool.workers[17].load = 1.0
    for dispatchers in (1, 16):
        assert (
            pool.select(0.0, WorkerSelector("edge", "z", 0.2, dispatchers), frozenset()) is pool.workers[17]
        )


def test_of_workers_as_busy_as_each_other_one_of_the_own_zone_is_taken() -> None:
    near, far = make_worker("b", 2.0), Worker("a", "llm", "a:1", "far", 64, 2.0)
    pool = Pool("", [near, far])
    assert pool.select(0.0, SELECTOR, frozenset()) is near
    far.load = 1.0
    assert pool.select(0.0, SELECTOR, frozenset()) is far


# --- budgets


@given(st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=120), st.integers(1, 9))
def test_no_window_holds_more_repeats_than_the_share(
    steps: list[tuple[float, bool]], dispatchers: int
) -> None:
    budget = RetryBudget(ratio=0.2, slack=52, window_s=10)
    now, requests, repeats = 0.0, [], []
    for gap, is_request in steps:
        now += gap
        if is_request:
            budget.record_request(now)
            requests.append(now)
        elif budget.try_withdraw(now, dispatchers):
            repeats.append(now)
    for start in repeats:
        spent = sum(start <= at < start + 10 for at in repeats)
        asked = max(sum(s <= at < s + 10 for at in requests) for s in (start, start - 10, start - 5))
        assert spent <= 0.2 * asked + 52 / dispatchers


def test_a_dispatcher_that_knows_of_no_others_spends_little() -> None:
    budget = RetryBudget(ratio=0.2, slack=52, window_s=10)
    assert not budget.try_withdraw(0.0, 0)
    assert budget.try_withdraw(0.0, 2)


# --- events


@given(st.lists(st.integers(1, 40), min_size=1, max_size=12), st.data())
def test_events_come_out_whole_however_the_bytes_come(sizes: list[int], data: st.DataObject) -> None:
    events = [b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n, size in enumerate(sizes, 1)]
    stream = b"".join(events)
    stop = data.draw(st.integers(0, len(stream)))
    cutter, out, at = EventBuffer(), b"", 0
    while at < stop:
        step = data.draw(st.integers(1, 30))
        out += cutter.feed(stream[at : min(at + step, stop)])
        at += step
    whole = [event for n, event in enumerate(events) if sum(map(len, events[: n + 1])) <= stop]
    assert out == b"".join(whole)
    assert cutter.last_event_id == (str(len(whole)) if whole else "")
    assert cutter.has_incomplete == (len(out) < stop)


# --- routes and headers

DOCUMENT = {
    "version": 3,
    "routes": [
        {"name": "r1", "host": "A.example", "path_prefix": "/x/", "service": "api", "kind": "idempotent"},
        {
            "name": "r2",
            "host": "a.example",
            "path_prefix": "/x/y/",
            "service": "llm",
            "kind": "streaming",
            "timeout_ms": 5000,
            "target_latency_ms": 800,
            "gap_aim_ms": 400,
            "retries": 1,
            "resumable": False,
        },
        {
            "name": "r3",
            "host": "b.example",
            "path_prefix": "/",
            "kind": "new-kind",
            "traffic_split": [
                {"service": "api", "weight": 3},
                {"service": "llm", "weight": 1},
                {"service": "x", "weight": 0},
            ],
        },
    ],
    "services": [{"name": "api"}, {"name": "llm"}, {"name": "x"}],
    "limits": {"idle_timeout_ms": 9000},
}


def test_the_longest_prefix_of_the_host_wins() -> None:
    snapshot = build_snapshot(json.dumps(DOCUMENT).encode())
    found = [snapshot.match("a.EXAMPLE", path) for path in ("/x/1", "/x/y/1", "/x", "/z/")]
    assert [route.name if route else None for route in found] == ["r1", "r2", None, None]
    assert snapshot.idle_timeout_s == 9.0


def test_a_split_goes_by_weights_and_a_weight_of_nothing_gets_nothing() -> None:
    route = build_snapshot(json.dumps(DOCUMENT).encode()).match("b.example", "/q")
    assert route is not None
    assert [route.service_at(point) for point in (0.0, 0.74, 0.76, 0.9999999)] == ["api", "api", "llm", "llm"]


def test_a_kind_that_is_not_known_may_run_once() -> None:
    route = build_snapshot(json.dumps(DOCUMENT).encode()).match("b.example", "/q")
    assert route is not None and not route.is_idempotent


@pytest.mark.parametrize(
    ("headers", "model", "adapter", "tokens"),
    [
        ({"X-Finchladder-Model": "m0/a3", "X-Finchladder-Token-Count": "10,5"}, "m0", "a3", 10),
        ({"X-Finchladder-Model": "m0", "X-Finchladder-Token-Count": "x"}, "m0", "", 0),
        ({}, "", "", 0),
    ],
)
def test_what_a_request_names(headers: dict[str, str], model: str, adapter: str, tokens: int) -> None:
    route = build_snapshot(json.dumps(DOCUMENT).encode()).match("a.example", "/x/y/1")
    assert route is not None
    wanted = classify({**headers, "X-Finchladder-Deadline-Ms": "9000"}, route, 100.0)
    assert (wanted.key.model, wanted.key.adapter, wanted.prompt_tokens) == (model, adapter, tokens)
    assert (wanted.deadline, wanted.client_stall_timeout_s) == (105.0, 3.2)


def test_headers_of_one_connection_go_no_further() -> None:
    headers = {"Connection": "close, X-Own", "X-Own": "1", "X-Kept": "2", "Content-Length": "3", "TE": "x"}
    assert forwarded_headers(headers) == [("X-Kept", "2")]
