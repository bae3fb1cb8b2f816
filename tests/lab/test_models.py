"""Tables of cases for the models: what was done to one, and what it did when."""

import json
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from finchladder.lab import records
from finchladder.lab.experiment import Discovery, Front, Pool
from finchladder.lab.models.discovery import LOG, DiscoveryModel, Line, Member
from finchladder.lab.models.front import FrontModel
from finchladder.lab.models.kernel import Kernel
from finchladder.lab.models.realserver import Fell, JobIn, RealServerModel, Told
from finchladder.lab.models.store import MOST_SAVED, StoreModel
from finchladder.lab.models.virtual import Deployment

Step = tuple[float, Callable[[RealServerModel, float], object]]
Run = tuple[float | None, float | None, str]  # began, ended, how


def job(
    name: str, work: float = 1.0, key: str = "", **rest: Any
) -> Callable[[RealServerModel, float], object]:
    return lambda m, now: m.submit(now, JobIn(name, "view", key, work, **rest))


def do(method: str, *args: object) -> Callable[[RealServerModel, float], object]:
    return lambda m, now: getattr(m, method)(now, *args)


def server(
    store: StoreModel | None = None, cold: bool = False, seed: int = 1, **pool: Any
) -> RealServerModel:
    settings = {"cores": 1, "queue": 2, "progress_s": 0.0, "reports": False, "tells_start": False}
    model = RealServerModel("w1", "a", Pool(**(settings | pool)), Random(seed), store)
    model.start(0.0, cold)
    return model


def play(model: RealServerModel, *steps: Step, until: float = 100.0) -> tuple[list[object], list[Any]]:
    """What the steps returned, and all actions."""
    returned, actions = [], []
    for at, step in steps:
        returned.append(step(model, at))
        actions += model.advance(at)
    while (due := model.next_due()) is not None and due <= until:
        actions += model.advance(due)
    return returned, actions


def runs(actions: list[Any]) -> dict[str, Run]:
    out: dict[str, Run] = {}
    for a in actions:
        if isinstance(a, records.Began):
            assert a.id not in out or out[a.id][2] in ("killed", "cancelled"), "a second begin"
            out[a.id] = (round(a.at, 6), None, "")
        elif isinstance(a, records.Ended):
            out[a.id] = (out.get(a.id, (None,))[0], round(a.at, 6), a.how)
    return out


CASES: dict[str, tuple[dict[str, Any], list[Step], dict[str, Run]]] = {
    "speed": ({"speed": 4.0}, [(0, job("a"))], {"a": (0, 0.25, "done")}),
    "more slots than cores: they share": (
        {"slots": 2},
        [(0, job("a", 1)), (0, job("b", 2))],
        {"a": (0, 2, "done"), "b": (0, 3, "done")},
    ),
    "two cores, three in work, one of two slots": (
        {"cores": 2, "slots": 4},
        [(0, job("a", 1, slots=2)), (0, job("b", 1)), (1, job("c", 1))],
        {"a": (0, 1.666667, "done"), "b": (0, 1.666667, "done"), "c": (1, 2.333333, "done")},
    ),
    "a queue beyond its bound is full": (
        {"queue": 1},
        [(0, job("a")), (0, job("b")), (0, job("c"))],
        {"a": (0, 1, "done"), "b": (1, 2, "done")},
    ),
    "a job larger than it is full": ({"memory": 4}, [(0, job("a", slots=2)), (0, job("b", memory=5))], {}),
    "less than a slot counts as one": (
        {},
        [(0, job("a", slots=0)), (0, job("b", slots=0.1))],
        {"a": (0, 1, "done"), "b": (1, 2, "done")},
    ),
    "slots are no whole numbers": (
        {"cores": 4},
        [(0, job(str(s), s, slots=s)) for s in (1.1, 1.3, 1.2)],
        {str(s): (0, s, "done") for s in (1.1, 1.3, 1.2)},
    ),
    "fifo: the head waits until it fits": (
        {"cores": 2},
        [(0, job("a", 2)), (0, job("b", 1, slots=2)), (0, job("c", 1))],
        {"a": (0, 2, "done"), "b": (2, 3, "done"), "c": (3, 4, "done")},
    ),
    "backfill: whatever fits first": (
        {"cores": 2, "order": "backfill"},
        [(0, job("a", 2)), (0, job("b", 1, slots=2)), (0, job("c", 1))],
        {"a": (0, 2, "done"), "b": (2, 3, "done"), "c": (0, 1, "done")},
    ),
    "priority, of one priority by arrival": (
        {"order": "priority", "queue": 3},
        [(0, job("a")), (0, job("b")), (0.1, job("c", priority=1)), (0.2, job("d", priority=1))],
        {"a": (0, 1, "done"), "c": (1, 2, "done"), "d": (2, 3, "done"), "b": (3, 4, "done")},
    ),
    "suspend: goes on with what it has done": (
        {"order": "priority", "preempt": "suspend"},
        [(0, job("a", 3)), (1, job("b", 1, priority=1))],
        {"a": (0, 4, "done"), "b": (1, 2, "done")},
    ),
    "suspend needs a place in the queue": (
        {"order": "priority", "preempt": "suspend", "queue": 0},
        [(0, job("a", 3)), (1, job("b", 1, priority=1))],
        {"a": (0, 3, "done")},
    ),
    "kill: the last begun of the least important, and no more than needed": (
        {"cores": 3, "order": "priority", "preempt": "kill", "queue": 0},
        [(0, job("a", 3)), (0, job("b", 3, priority=1)), (0.5, job("c", 3)), (1, job("d", 1, priority=2))],
        {"a": (0, 3, "done"), "b": (0, 3, "done"), "c": (0.5, 1, "killed"), "d": (1, 2, "done")},
    ),
    "what must not run twice is not pushed out": (
        {"order": "priority", "preempt": "kill"},
        [(0, job("a", 3, repeatable=False)), (1, job("b", 1, priority=1))],
        {"a": (0, 3, "done"), "b": (3, 4, "done")},
    ),
    "memory is a bound of its own": (
        {"cores": 4, "memory": 10},
        [(0, job("a", 1, memory=6)), (0, job("b", 1, memory=6))],
        {"a": (0, 1, "done"), "b": (1, 2, "done")},
    ),
    "a fetch holds the slot; the key is kept": (
        {"keys_kept": 1, "fetch_s": 0.5},
        [(0, job("a", 1, "k")), (0, job("b", 1, "k"))],
        {"a": (0, 1.5, "done"), "b": (1.5, 2.5, "done")},
    ),
    "one fetch for two jobs; a fetching job uses no core": (
        {"slots": 3, "keys_kept": 1, "fetch_s": 1.0},
        [(0, job("a", 1, "k")), (0.5, job("b", 1, "k")), (0, job("c", 1))],
        {"a": (0, 3, "done"), "b": (0.5, 3, "done"), "c": (0, 1, "done")},
    ),
    "the key used longest ago goes first": (
        {"keys_kept": 2, "fetch_s": 1.0},
        [
            (0, job("a", 1, "k")),
            (2, job("b", 1, "l")),
            (4, job("c", 1, "k")),
            (5, job("d", 1, "m")),
            (7, job("e", 1, "k")),
            (8, job("f", 1, "l")),
        ],
        {
            "a": (0, 2, "done"),
            "b": (2, 4, "done"),
            "c": (4, 5, "done"),
            "d": (5, 7, "done"),
            "e": (7, 8, "done"),
            "f": (8, 10, "done"),
        },
    ),
    "crowded: half the capacity gone when slots and queue are full": (
        {"queue": 1, "crowd": 0.5},
        [(0, job("a", 1)), (0, job("b", 0.75))],
        {"a": (0, 2, "done"), "b": (2, 3, "done")},
    ),
    "slow, then standing still, then as before": (
        {},
        [(0, job("a", 2)), (0, do("set_speed", 0.5)), (1, do("set_speed", 0.0)), (5, do("set_speed", 1.0))],
        {"a": (0, 6.5, "done")},
    ),
    "a pause stops everything": (
        {"slots": 2, "keys_kept": 1, "fetch_s": 1.0},
        [(0, job("a", 2)), (0.5, job("b", 1, "k")), (1, do("pause")), (4, do("resume"))],
        {"a": (0, 6, "done"), "b": (0.5, 6, "done")},
    ),
    "drain hands back what has not begun": (
        {},
        [(0, job("a", 2)), (0, job("b")), (1, do("drain")), (1, job("c"))],
        {"a": (0, 2, "done"), "b": (None, 1, "returned")},
    ),
    "drain that hands nothing back": (
        {"drain_returns": False},
        [(0, job("a", 2)), (0, job("b")), (1, do("drain")), (1, job("c"))],
        {"a": (0, 2, "done"), "b": (2, 3, "done")},
    ),
    "drain keeps what was suspended": (
        {"order": "priority", "preempt": "suspend"},
        [(0, job("a", 2)), (1, job("b", 1, priority=1)), (1.5, do("drain"))],
        {"a": (0, 3, "done"), "b": (1, 2, "done")},
    ),
    "cancel frees the slot": (
        {},
        [(0, job("a", 5)), (0, job("b")), (1, do("cancel", "a"))],
        {"a": (0, 1, "cancelled"), "b": (1, 2, "done")},
    ),
    "cancel that stops nothing but what waits": (
        {"cancel_stops": False},
        [(0, job("a", 5)), (0, job("b")), (0, job("c")), (1, do("cancel", "a")), (1, do("cancel", "b"))],
        {"a": (0, 1, "cancelled"), "b": (None, 1, "cancelled"), "c": (5, 6, "done")},
    ),
    "cancel that stops nothing at all": (
        {"cancel_stops": False, "cancel_unqueues": False},
        [(0, job("a", 2)), (0, job("b")), (0, job("c")), (1, do("cancel", "b"))],
        {"a": (0, 2, "done"), "b": (2, None, ""), "c": (3, 4, "done")},
    ),
    "kill loses all": (
        {},
        [(0, job("a", 5)), (0, job("b")), (1, do("kill")), (2, job("c"))],
        {"a": (0, 1, "killed"), "b": (None, 1, "killed")},
    ),
    "a handshake takes a core": (
        {"handshake_s": 1.0},
        [(0, job("a", 2)), (0, do("connection"))],
        {"a": (0, 3, "done")},
    ),
    "at once": (
        {"answers_at_once": True},
        [(0, job(n, 9)) for n in "abcd"],
        {n: (0, 0, "done") for n in "abcd"},
    ),
    "errors": ({"error_rate": 1.0}, [(0, job("a"))], {"a": (0, 1, "failed")}),
    "an id that it holds": ({}, [(0, job("a")), (0, job("a"))], {"a": (0, 1, "done")}),
}


@pytest.mark.parametrize("case", CASES)
def test_real_server(case: str) -> None:
    pool, steps, expected = CASES[case]
    model = server(**pool)
    assert runs(play(model, *sorted(steps, key=lambda s: s[0]))[1]) == expected
    assert model.idle
    assert not model._held
    assert not model._waits
    assert model._slots_used == model._busy == model._progress == 0.0, "rounding errors are carried on"


@pytest.mark.parametrize("case", CASES)
def test_a_late_poll_changes_nothing(case: str) -> None:
    """What is due is played at its own time, also where nobody asked then."""
    pool, steps, expected = CASES[case]
    model, actions = server(**pool), []
    for at, step in sorted(steps, key=lambda s: s[0]):
        step(model, at)
        model.load(at)
    for _ in range(3):
        actions += model.advance(100.0)
    assert runs(actions) == expected


def test_verdicts() -> None:
    model = server(queue=1)
    steps: list[Step] = [*[(0, job(n)) for n in "aabc"], (0, do("cancel", "x")), (0, do("cancel", "b"))]
    steps += [(0, job("d")), (3, do("drain")), (3, job("e")), (4, do("kill")), (4, job("f"))]
    verdicts = ["accepted", "error", "accepted", "full", False, True, "accepted", None, "full", None, "error"]
    assert play(model, *steps)[0] == verdicts


def test_what_is_told() -> None:
    model = server(tells_start=True, progress_s=1.0, queue=3, error_rate=0.0, reports=True, slots=2, cores=2)
    steps: list[Step] = [(0, job("a", 2.5)), (0, job("b", 0.5, slots=2)), (0.5, job("c", 9))]
    steps += [
        (1.5, do("set_speed", 0.0)),
        (2.5, do("set_speed", 1.0)),
        (3, do("drain")),
        (3.2, do("cancel", "a")),
    ]
    told = [(t.at, t.id, t.state, round(t.share, 3)) for t in play(model, *steps)[1] if isinstance(t, Told)]
    assert told == [
        (0, "a", "started", 0),
        (1, "a", "running", 0.4),
        (3, "a", "running", 0.8),
        (3, "b", "returned", 0),
        (3, "c", "returned", 0),
    ]
    done = [a for a in play(server(reports=True), (0, job("a")))[1] if isinstance(a, Told)]
    assert done[0].result.startswith("w1/1/a/")
    assert done[0].load is not None
    assert [a for a in play(server(), (0, job("a")))[1] if isinstance(a, Told)][0].load is None


def test_a_suspended_or_unseen_job_tells_nothing() -> None:
    model = server(order="priority", preempt="suspend", progress_s=1.0)
    actions = play(model, (0, job("a", 2)), (0.5, job("b", 2, priority=1)))[1]
    running = [(t.at, t.id) for t in actions if isinstance(t, Told) and t.state == "running"]
    assert running == [(1.5, "b"), (3, "a")]
    model = server(cancel_stops=False, progress_s=1.0)
    actions = play(model, (0, job("a", 3)), (0.5, do("cancel", "a")))[1]
    assert not [a for a in actions if isinstance(a, Told)]
    assert model.idle
    model = server(cancel_stops=False, cancel_unqueues=False, tells_start=True)
    actions = play(model, (0, job("a")), (0, job("b")), (0.5, do("cancel", "b")))[1]
    assert [(t.id, t.state) for t in actions if isinstance(t, Told)] == [("a", "started"), ("a", "done")]


def test_nothing_is_due_or_told_while_paused_and_once_what_was_due_after_it() -> None:
    model = server(progress_s=1.0)
    assert len(play(model, (0, job("a", 5)), (0.5, do("pause")), until=0.5)[1]) == 1
    assert model.next_due() is None
    assert model.advance(3.0) == []
    actions = play(model, (3.25, do("resume")), until=4.5)[1]
    assert [(t.at, round(t.share, 3)) for t in actions] == [(3.25, 0.1), (4.25, 0.3)]


def test_pushed_out_by_kill_is_told_as_lost_and_a_dead_process_tells_nothing() -> None:
    pushed = server(order="priority", preempt="kill")
    actions = play(pushed, (0, job("a", 3)), (1, job("b", 1, priority=1)))[1]
    assert [(t.id, t.state) for t in actions if isinstance(t, Told)] == [("a", "lost"), ("b", "done")]
    model = server()
    model.submit(0.0, JobIn("a", "view", "", 1.0))
    model.kill(5.0)  # it was done at 1, but nobody had called back
    assert [type(a).__name__ for a in model.advance(5.0)] == ["Began", "Ended"]
    assert (model.start(6.0, cold=False).epoch, model.up, model.idle) == (2, True, True)


# cold_from 0.5 over 4 s, capacity 1: the work done by then is t/2 + t^2/16, 3 in all
@pytest.mark.parametrize(
    ("pool", "works", "ends"),
    [
        ({}, [1.25], [2.0]),
        ({}, [3.0, 1.0], [4.0, 5.0]),
        ({}, [4.0], [5.0]),
        ({"cold_for_s": 0.0}, [1.0], [1.0]),
        ({"warm_by_work": True}, [0.5625, 0.34375], [1.0, 1.5]),  # of 1.5 that warm it: then 0.6875
        ({"warm_by_work": True}, [1.25, 0.25, 1.0], [2.0, 2 + 3 / 11, 3 + 3 / 11]),  # 1.5 done: warm
    ],
)
def test_cold_start(pool: dict[str, Any], works: list[float], ends: list[float]) -> None:
    model = server(cold=True, **({"cold_from": 0.5, "cold_for_s": 4.0, "queue": 9} | pool))
    ended = runs(play(model, *[(0.0, job(str(i), w)) for i, w in enumerate(works)])[1])
    assert [r[1] for r in ended.values()] == pytest.approx(ends, abs=1e-6)


@pytest.mark.parametrize(
    ("works", "at", "falls"),
    [  # capacity 1, cold_from 0.5 over 4 s: the budget at 0 is 3 x 0.5 x 2, and twice the root of the squares
        ([1.0] * 8, [0.0] * 8, False),  # 8 <= 3 + 2 x sqrt(8)
        ([1.0] * 9, [0.0] * 9, False),  # 9 = 3 + 2 x sqrt(9)
        ([1.0] * 8 + [1.1], [0.0] * 9, True),  # 9.1 > 3 + 2 x sqrt(8 + 1.21)
        ([1.0] * 16, [0.0] * 8 + [2.0] * 8, False),  # another window
        ([1.0] * 16, [0.0] * 8 + [1.9] * 8, True),
        ([2.0] * 3 + [1.0] * 12, [0.0] * 3 + [2.0] * 12, True),  # nor are the squares of another window kept
        ([1.0] * 30, [4.0] * 30, False),  # warm
    ],
)
def test_falls_over_when_overdriven_while_cold(works: list[float], at: list[float], falls: bool) -> None:
    model = server(cold=True, cold_from=0.5, cold_for_s=4.0, queue=99)
    actions = play(model, *[(t, job(str(i), w)) for i, (t, w) in enumerate(zip(at, works, strict=True))])[1]
    assert any(isinstance(a, Fell) for a in actions) is falls
    assert model.up is not falls
    if falls:
        ended = runs(actions)
        assert len(ended) < len(works)
        assert {how for _, _, how in ended.values()} <= {"killed", "done"}
        assert isinstance(actions[-1], Fell)
        assert model.next_due() is None


@pytest.mark.parametrize(("slots", "falls"), [(1, False), (4, True)])
def test_work_sent_counts_for_each_of_its_slots_also_where_it_is_turned_away(slots: int, falls: bool) -> None:
    model = server(cold=True, cores=4, cold_from=0.5, cold_for_s=4.0, queue=0)  # 12 + 2 x sqrt(16 x slots^2)
    play(model, *[(0.0, job(str(i), slots=slots)) for i in range(16)])
    assert model.up is not falls


def test_warmed_by_work_it_does_not_fall_over() -> None:
    model = server(cold=True, cold_from=0.5, cold_for_s=4.0, warm_by_work=True, queue=99)
    play(model, (0.0, job("a", 1.5)), *[(2.5, job(str(i))) for i in range(30)])
    assert model.up
    model.kill(200.0)
    assert model.start(201.0, cold=True).warm_work == 1.5  # the judge must know what warms it
    by_time = server(cold_from=0.5, cold_for_s=4.0)
    by_time.kill(1.0)
    assert by_time.start(2.0, cold=True).warm_work == 0.0


def test_saved_state_is_found_on_any_server() -> None:
    store = StoreModel()
    first, second = (server(store, checkpoint_s=1.0, cores=n, keys_kept=1, fetch_s=9.0) for n in (3, 1))
    play(
        first, (0, job("a", 4)), (0, job("b", 4, repeatable=False)), (0, job("c", 4, "k")), (2.5, do("kill"))
    )
    assert store.saved("c") == 0.0, "it was still fetching"
    resumed = runs(play(second, (3, job("a", 4)), (5, job("b", 4)))[1])
    assert resumed == {"a": (3, 5, "done"), "b": (5, 9, "done")}, "of b nothing was saved"
    assert runs(play(second, (9, job("a", 4)))[1]) == {"a": (9, 13, "done")}, "an ended job begins anew"


def test_the_store_fetches_so_many_at_once_and_forgets_the_oldest_state() -> None:
    store = StoreModel(2)
    for i in range(MOST_SAVED + 1):
        store.save(str(i), 1.0)
    assert (store.saved("0"), store.saved("1")) == (0.0, 1.0)
    assert [store.fetch(0.0, 1.0) for _ in range(5)] == [1.0, 1.0, 2.0, 2.0, 3.0]
    assert (store.busy(2.5), store.fetch(2.5, 1.0), store.fetch(9.0, 1.0)) == (1, 3.5, 10.0)


def test_connections_and_their_first_request() -> None:
    model = server(connections=2, handshake_s=0.1, cores=4)
    assert [model.connection(0.0) for _ in range(3)] == [True, True, False]
    model.disconnected(0.0)
    assert model.connection(0.0)
    assert model.handshake(0.0) == pytest.approx(0.1)
    model.set_speed(1.0, 0.5)
    assert model.handshake(1.0) == pytest.approx(0.2)
    model.set_speed(1.0, 0.0)
    assert model.handshake(1.0) == pytest.approx(1.0), "at most ten times as long"
    model.kill(2.0)
    assert not model.connection(2.0)


def test_load_reports_are_late_and_noisy() -> None:
    model = server(report_delay_s=1.0, report_noise=0.0, reports=True, cores=2, queue=9)
    seen = []
    for at, step in [*[(0.5, job(n, 9)) for n in "abc"], (1.5, do("load")), (2.5, do("load"))]:
        step(model, at)
        seen.append(model.load(at)["inflight"])
    assert seen == [0, 0, 0, 0, 2]
    told = model.load(2.6)
    assert told == {"inflight": 2, "queue": 1, "util": 1, "free_slots": 0, "free_memory": 1e9}
    model.submit(2.7, JobIn("d", "view", "", 9.0))
    assert model.load(9.4)["queue"] == 2, "two reports were due meanwhile, and nothing has changed since"
    model.pool.report_noise = 0.1
    noisy = [model.load(9.4)["inflight"] for _ in range(200)]
    assert 0.15 < max(abs(n - 2) for n in noisy) < 1
    assert abs(sum(noisy) / 200 - 2) < 0.05


@pytest.mark.parametrize(
    ("order", "preempt"), [("priority", "suspend"), ("backfill", "none"), ("fifo", "none")]
)
def test_nothing_grows_with_the_jobs_that_came_and_went(order: str, preempt: str) -> None:
    model = server(queue=4, slots=3, order=order, preempt=preempt, progress_s=1.0, keys_kept=3, fetch_s=0.1)
    rng, largest = Random(5), 0
    for i in range(4_000):
        now = i / 10
        model.submit(now, JobIn(str(i), "view", str(rng.randrange(9)), 0.3, priority=rng.randrange(3)))
        if rng.random() < 0.3:
            model.cancel(now, str(i - rng.randrange(4)))
        model.advance(now)
        assert len(model._jobs) <= 7
        assert model._waits <= 4
        largest = max(largest, len(model._waiting), len(model._running), len(model._timers), len(model._keys))
    assert largest < 80
    model = server(slots=2)
    model.submit(0.0, JobIn("first to end", "view", "", 1e5))
    for i in range(500):
        model.submit(1.0 + i, JobIn(str(i), "view", "", 1e6))
        model.cancel(1.0 + i, str(i))
    assert len(model._running) < 80


def test_a_fleet_at_virtual_time_survives_a_death() -> None:
    kernel = Kernel()
    servers = [server(queue=0, seed=i) for i in range(3)]
    servers[0].name, servers[2].name = "w0", "w2"
    first = lambda now, job, all_: next((s for s in all_ if s.up and s.idle), all_[1])  # noqa: E731
    deployment = Deployment(kernel, servers, first)

    def die() -> None:
        servers[0].kill(kernel.now)
        deployment.touch(servers[0])

    kernel.at(0.5, die)
    outcomes = deployment.play((at, JobIn(str(at), "view", "", 1.0)) for at in (0.0, 0.1, 0.2, 0.3, 0.6, 1.2))
    assert [(o.server, o.how) for o in outcomes] == [
        ("w0", "killed"),
        ("w1", "done"),
        ("w2", "done"),
        ("w1", "refused"),
        ("w1", "refused"),
        ("w1", "done"),
    ]
    assert not deployment._open


def test_kernel_runs_in_order_and_forgets_what_was_cancelled() -> None:
    kernel, seen = Kernel(), list[Any]()
    for name, at in [("c", 2.0), ("a", 1.0), ("b", 1.0), ("d", 2.0)]:
        kernel.at(at, lambda name=name: seen.append((name, kernel.now)))  # type: ignore[misc]
    dropped = [kernel.at(3.0, lambda: seen.append("wrong")) for _ in range(100)]
    for event in dropped:
        kernel.cancel(event)
        kernel.cancel(event)
    assert len(kernel) == 4
    assert len(kernel._heap) < 40
    kernel.at(1.0, lambda: kernel.after(0.5, lambda: seen.append("later")))
    assert kernel.run(until=1.6) == 4
    assert kernel.now == 1.6
    assert kernel.run() == 2
    assert kernel.next_due() is None
    assert len(kernel) == 0
    assert seen == [("a", 1.0), ("b", 1.0), "later", ("c", 2.0), ("d", 2.0)]
    with pytest.raises(ValueError, match="an event at"):
        kernel.at(1.0, lambda: None)


# ---- discovery


def registry(names: int = 4, dispatchers: tuple[str, ...] = ("n1",), **config: Any) -> DiscoveryModel:
    model = DiscoveryModel(Discovery(**({"delay_s": 0.1} | config)), dispatchers, Random(3), wall=1000.0)
    model.describe(Member(f"w{i}", "a", "m2", i) for i in range(names))
    model.addresses("", {f"w{i}": f"127.0.0.1:{i}" for i in range(names)})
    model.change(0.0, {f"w{i}": ("ready", 0.0) for i in range(names)})
    return model


def brief(lines: list[Line]) -> list[tuple[float, int, bool, str]]:
    """(time, index, whole, entries) of each line; empty ones as (time, 0, False, "")."""
    out = []
    for line in lines:
        d = json.loads(line.data) if line.data.strip() else {"index": 0, "snapshot": False, "endpoints": []}
        entries = " ".join(f"{e['name']}:{e['status'][0]}" for e in d["endpoints"])
        out.append((round(line.at, 3), d["index"], d["snapshot"], entries))
    return out


ALL = "w0:r w1:r w2:r w3:r"


def test_a_watch_gets_the_whole_list_or_what_changed_since_then_each_change_or_an_empty_line() -> None:
    model = registry()
    model.advance(0.2)
    model.change(1.0, {"w1": ("draining", 0.0)})
    model.advance(2.0)
    fresh, late = model.watch(2.0, "n1", 0), model.watch(2.0, "n1", 1)
    model.ask(2.0, "n1")
    model.change(3.0, {"w1": ("gone", 0.0), "w2": ("ready", 2.5)})
    lines = model.advance(5.5)
    assert brief([x for x in lines if x.watch == fresh]) == [
        (2.0, 2, False, "w0:r w2:r w3:r w1:d"),
        (3.1, 3, False, "w1:g w2:r"),
        (5.1, 0, False, ""),
    ]
    assert brief([x for x in lines if x.watch == late])[0] == (2.0, 2, False, "w1:d")
    assert brief([x for x in lines if x.last]) == [(2.0, 2, True, "w0:r w1:d w2:r w3:r")]
    entry = json.loads([x for x in lines if x.watch == fresh][1].data)["endpoints"][1]
    assert entry == {
        "name": "w2",
        "address": "127.0.0.1:2",
        "zone": "a",
        "type": "m2",
        "group": 2,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 1_002_500,
    }
    told = [[(t.server, t.state, t.born, t.at) for t in x.told] for x in lines if x.watch == fresh]
    assert told[1:] == [[("w1", "gone", 0.0, 3.1), ("w2", "ready", 2.5, 3.1)], []]
    model.unwatch(fresh)
    model.unwatch(late)
    assert model.advance(50.0) == []
    assert model.next_due() is None


def test_a_watch_from_before_the_log_or_from_an_unknown_version_gets_the_whole_list() -> None:
    model = registry()
    for i in range(LOG // 4 + 1):
        model.change(1.0 + i, {f"w{j}": ("ready", 1.0 + i) for j in range(4)})
    model.advance(1e6)
    for position, whole in [(0, True), (1, True), (3, False), (99_999, True)]:
        model.watch(1e6, "n1", position)
        assert brief(model.advance(1e6))[0][2] is whole, position


def test_each_dispatcher_is_told_at_its_own_time_and_in_order() -> None:
    model = registry(dispatchers=("n1", "n2"), delay_s=(0.05, 0.5))
    model.addresses("n2", {"w0": "127.0.0.2:7"})
    model.advance(1.0)
    numbers = {model.watch(1.0, n, 1): n for n in ("n1", "n2")}
    model.behind(1.0, 5.0, ["n2"])
    model.change(1.0, {"w0": ("draining", 0.0)})
    model.behind(1.1, 0.0)
    model.change(1.2, {"w0": ("gone", 0.0)})
    told = [(numbers[x.watch], x.told[0].state, x.at) for x in model.advance(9.0) if x.told]
    assert [t[:2] for t in told] == [("n1", "draining"), ("n1", "gone"), ("n2", "draining"), ("n2", "gone")]
    assert told[1][2] < 1.8
    assert told[3][2] >= told[2][2] > 6.0
    model.change(9.0, {"w0": ("ready", 9.0)})
    addresses = {numbers[x.watch]: b"127.0.0.2:7" in x.data for x in model.advance(12.0) if x.told}
    assert addresses == {"n1": False, "n2": True}


def test_starts_have_a_delay_of_their_own_and_dispatchers_lie_no_further_apart_than_the_spread() -> None:
    names = tuple(f"n{i}" for i in range(20))
    model = registry(dispatchers=names, delay_s=(1.0, 9.0), start_delay_s=30.0, spread_s=0.2)
    model.advance(50.0)
    for name in names:
        model.watch(50.0, name, 1)
    for at, state, least, most in ((100.0, "draining", 1.0, 9.2), (200.0, "ready", 30.0, 30.2)):
        model.change(at, {"w0": (state, at)})  # type: ignore[dict-item]
        late = sorted(x.at - at for x in model.advance(at + 50) if x.told)
        assert len(late) == 20
        assert least <= late[0] < late[-1] <= most
        assert late[-1] - late[0] <= 0.2


def test_silence_ends_with_all_that_came_meanwhile() -> None:
    model = registry()
    model.advance(1.0)
    watch = model.watch(1.0, "n1", 1)
    model.advance(1.0)
    model.silent(1.0, True)
    model.change(2.0, {"w0": ("draining", 0.0)})
    model.change(3.0, {"w0": ("gone", 0.0), "w1": ("draining", 0.0)})
    asked = model.ask(4.0, "n1")
    assert model.advance(20.0) == []
    model.silent(20.0, False)
    lines = model.advance(20.0)
    assert brief(lines) == [(20.0, 3, False, "w0:g w1:d"), (20.0, 3, True, "w1:d w2:r w3:r")]
    assert [x.watch for x in lines] == [watch, asked]


def test_entries_vanish_from_one_whole_list_and_are_back_in_the_next() -> None:
    model = registry()
    model.advance(1.0)
    model.watch(1.0, "n1", -1)
    gone = model.vanish(2.0, 0.5, back_s=1.0)
    model.change(2.5, {n: ("draining", 0.0) for n in sorted(gone)[:1]})
    lines = [x for x in model.advance(4.5) if x.data.strip()]
    left = " ".join(f"w{i}:r" for i in range(4) if f"w{i}" not in gone)
    back = ALL.replace(f"{min(gone)}:r", f"{min(gone)}:d")
    expected = [(1.0, 1, True, ALL), (2.1, 2, True, left), (2.6, 3, False, ""), (3.1, 4, True, back)]
    assert len(gone) == 2
    assert brief(lines) == expected
    assert {t.server for t in lines[1].told if t.state == "gone"} == gone


def test_an_entry_that_is_missing_is_told_as_gone_where_it_was_known() -> None:
    model = registry()
    model.change(0.5, {"w3": ("gone", 0.0)})
    model.advance(1.0)
    model.watch(1.0, "n1", -1)
    model.change(1.5, {"w0": ("gone", 0.0), "w3": ("ready", 1.5)})
    model.vanish(2.0, 1.0)
    assert [t.server for x in model.advance(2.5)[2:] for t in x.told] == ["w1", "w2", "w3"]


def test_weights_are_renewed_for_a_share_of_the_entries() -> None:
    model = registry(names=100, renew_share=0.1, renew_every_s=0.5)
    model.change(0.0, {})
    model.watch(0.2, "n1", 1)
    renewed = [json.loads(x.data) for x in model.advance(3.0) if x.data.strip()][1:]
    assert [len(d["endpoints"]) for d in renewed] == [10] * 5
    assert len({e["weight"] for d in renewed for e in d["endpoints"]}) > 40
    again = registry(names=100, renew_share=0.1, renew_every_s=0.5)
    again.change(0.0, {})
    again.watch(0.2, "n1", 1)
    assert [json.loads(x.data) for x in again.advance(3.0) if x.data.strip()][1:] == renewed


def test_the_front_spreads_and_learns_of_deaths_late() -> None:
    zones = {"n1": "a", "n2": "a", "n3": "b"}
    front, wide = (FrontModel(Front(across_zones=w), zones, Random(1)) for w in (False, True))
    for f in (front, wide):
        assert f.pick(0.0, "a") == "" == f.pick(0.0, "c")
        for name in zones:
            f.healthy(0.0, name)
        assert sorted(f.pick(0.0, "a") for _ in range(4)) == ["n1", "n1", "n2", "n2"]
        f.died(1.0, "n1")
        f.died(1.5, "n1")
        assert {f.pick(1.9, "a") for _ in range(4)} == {"n1", "n2"}, "not noticed yet"
        assert {f.pick(2.0, "a") for _ in range(4)} == {"n2"}
        f.died(3.0, "n2", notices_s=0.2)
        f.died(3.0, "n3")
        f.healthy(3.5, "n3")  # back before anyone noticed
    assert (front.pick(9.0, "a"), front.pick(9.0, "b"), front.admitted(9.0, "a")) == ("", "n3", [])
    assert (wide.pick(9.0, "a"), wide.pick(9.0, "c")) == ("n3", "n3")
    front.healthy(9.0, "n1")
    assert front.pick(9.0, "a") == "n1"
