"""What a route's limits do to its jobs, step by step."""

from typing import Any

import pytest

from finchladder import api
from finchladder.core.api import Ending as E
from finchladder.core.api import WorkerPool
from finchladder.core.routing.limited_dispatcher import RouteLimits
from finchladder.core.routing.routes import Backoff, Hedge, Queue, QueueOrder, RetryBudget, Route, Routes
from tests.core.routes import RouteBench
from tests.helpers import KEYED, SAFE, UNSAFE, Bench, entry, workers

HEDGE = Hedge(after_s=0.3, most=1.0)
NONE, ALL = RetryBudget(0.0, 0.0), RetryBudget(1.0, 0.0)
START = 101.0


def bench(fleet: int = 6, changes: dict[str, Any] | None = None, **limits: Any) -> RouteBench:
    b = RouteBench(Routes([Route("safe", "safe", **limits)]), workers(fleet), **(changes or {}))
    b.run_until(START)
    return b


def scope(b: RouteBench, route: str = "safe", cls: str = "safe") -> RouteLimits:
    return b.g.scopes[route, cls]


def done(b: Bench, name: str) -> str:
    """`send 0.3`: at 0.3 s. `cancel 1`: its attempt 1."""
    words = []
    for t, a in b.log:
        if isinstance(a, api.Send | api.Cancel | api.Reject | api.Fail) and a.request == name:
            more = f" {t - START:.3g}" if isinstance(a, api.Send) else ""
            words.append(type(a).__name__.lower() + (f" {a.attempt}" if isinstance(a, api.Cancel) else more))
    return ", ".join(words)


def loads(b: RouteBench) -> float:
    return sum(w.load for w in b.g.inner.workers.values())


BAD, BADS = frozenset({E.ERROR}), {"resend_on": frozenset({E.ERROR})}
JOBS: list[tuple[str, dict[str, Any], dict[str, Any], float, list[Any], str]] = [
    # what, its route's limits, the platform's, patience, steps (a time, an ending, ..), what was done
    (
        "waits double",
        {"backoff": Backoff(0.1, 0.25), "attempts": 4},
        {},
        20,
        [(E.ERROR, 0), 0.3, (E.ERROR, 1), 0.6, (E.ERROR, 2), 0.9, (E.ERROR, 3)],
        "send 0, send 0.1, send 0.5, send 0.85, reject",
    ),
    ("a wait past its aim", {"backoff": Backoff(4.0, 4.0)}, {}, 20, [(E.ERROR, 0), 5], "send 0, send 4"),
    ("a wait past its client", {"backoff": Backoff(4.0, 4.0)}, {}, 4, [(E.ERROR, 0)], "send 0, reject"),
    ("no limit to its very end", {}, {}, 0.2, [("now", 0.16), (E.ERROR, 0)], "send 0, send 0.16"),
    (
        "an ending told twice",
        {"attempts": 2},
        {},
        9,
        [(E.ERROR, 0), (E.ERROR, 0), (E.ERROR, 1)],
        "send 0, send 0, reject",
    ),
    ("another ending", BADS, {}, 9, [(E.BROKEN, 0)], "send 0, reject"),
    ("the first copy wins", {"hedge": HEDGE}, {}, 9, [1, (E.OK, 0)], "send 0, send 0.3, cancel 1"),
    ("the second wins", {"hedge": HEDGE}, {}, 9, [1, (E.OK, 1)], "send 0, send 0.3, cancel 0"),
    ("a loser is no resend", {"hedge": HEDGE, **BADS}, {}, 9, [1, (E.OK, 1)], "send 0, send 0.3, cancel 0"),
    (
        "a copy ends badly",
        {"hedge": HEDGE, "attempts": 2},
        {},
        9,
        [0.5, (E.ERROR, 1), 1, (E.ERROR, 0)],
        "send 0, send 0.3, reject",
    ),
    ("a turn: end, timer", {"hedge": HEDGE}, {}, 9, [("now", 0.3), (E.OK, 0), "timer", 2], "send 0"),
    (
        "a turn: timer, end",
        {"hedge": HEDGE},
        {},
        9,
        [("now", 0.3), "timer", (E.OK, 0), 2],
        "send 0, send 0.3, cancel 1",
    ),
    ("gone before the copy", {"hedge": HEDGE}, {}, 9, ["gone", 1], "send 0, cancel 0"),
    (
        "gone between copies",
        {"hedge": HEDGE},
        {},
        9,
        [1, "gone", (E.CANCELLED, 0), (E.CANCELLED, 1)],
        "send 0, send 0.3, cancel 0, cancel 1",
    ),
    ("no share", {"hedge": Hedge(after_s=0.3, most=0.0)}, {}, 9, [2], "send 0"),
    ("no budget", {"hedge": HEDGE, "retry_budget": NONE}, {}, 9, [2], "send 0"),
    ("no second attempt", {"hedge": HEDGE, "attempts": 1}, {}, 9, [2], "send 0"),
    *(
        (what, {"hedge": HEDGE}, {what: value}, 9, [2], "send 0")
        for what, value in (("may_hedge", False), ("may_cancel", False), ("max_attempts", 1))
    ),
]


@pytest.mark.parametrize(
    ("limits", "changes", "patience", "steps", "expected"), [c[1:] for c in JOBS], ids=[c[0] for c in JOBS]
)
def test_a_jobs_way(
    limits: dict[str, Any], changes: dict[str, Any], patience: float, steps: list[Any], expected: str
) -> None:
    b = bench(changes=changes, **limits)
    name, _ = b.ask(timeout_s=patience)
    over = False
    for step in steps:
        if step == "gone":
            over = True
            b.feed(api.ClientDisconnected(name))
        elif step == "timer":
            b.feed(api.Timer(2))
        elif isinstance(step, int | float):
            b.run_until(START + step)
        elif step[0] == "now":
            b.now = START + step[1]
        else:
            over = over or step[0] is E.OK
            b.feed(api.Ended(name, step[1], step[0], over, 0.1))
    assert done(b, name) == expected
    b.feed(api.ClientDisconnected(name))
    for n in range(len(b.sends(name))):
        b.feed(api.Ended(name, n, E.CANCELLED, True, 0.1))
    assert b.quiet()
    assert not loads(b)


def test_an_attempt_has_its_time_out_and_a_job_its_whole_one() -> None:
    route = Route("safe", "safe", attempt_timeout_s=0.4, timeout_s=2.0)
    assert (
        route.effective_timeout_s(10.0),
        route.effective_timeout_s(1.0),
        Route("s", "s").effective_timeout_s(9.0),
    ) == (2.0, 1.0, 9.0)
    b = bench(attempt_timeout_s=0.4)
    name, _ = b.ask()
    b.end(name, E.TIMED_OUT)
    assert [s.timeout_s for s in b.sends(name)] == [0.4, 0.4]


def test_a_wait_is_drawn_and_its_job_holds_no_slot_nor_others_up() -> None:
    b = bench(1, backoff=Backoff(1.0, 1.0, 1.0))
    name, _ = b.ask()
    b.end(name, E.OVERLOADED)
    b.g.inner.workers["w0"].backoff_until = 0.0
    assert not loads(b)
    assert 0 < b.g.alarms.next_due_at() - START < 1
    assert b.ask()[1]
    b.g.inner.reindex()  # as after a state was restored
    assert not any(len(wheel) for wheel in b.g.inner.state.job_schedule.queued_by_class.values())


# --- retry budget -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("cls", "ending", "answer"),
    [
        (SAFE, E.ERROR, "reject"),
        (UNSAFE, E.OVERLOADED, "reject"),
        (KEYED, E.BROKEN, "fail"),
    ],
)
def test_without_budget_a_job_is_answered_as_its_class_demands(
    cls: api.JobClass, ending: E, answer: str
) -> None:
    b = RouteBench(Routes([Route(cls.name, cls.name, retry_budget=RetryBudget(0.2, 0.0))]), workers(30))
    b.run_until(START)
    names = [b.ask(cls.name)[0] for _ in range(10)]
    for name in names:
        b.end(name, ending)
    b.run_until(START + 0.2)
    assert [done(b, name) for name in names] == ["send 0, send 0"] * 2 + [f"send 0, {answer}"] * 8


def test_a_resend_that_was_allowed_is_taken_out_though_no_worker_has_room_for_it() -> None:
    """Else as many as fail while the fleet is full would all be sent once it is not."""
    b = bench(3, retry_budget=RetryBudget(0.3, 0.0))
    names = [b.ask()[0] for _ in range(4)]
    for w in b.g.inner.workers.values():
        w.load_threshold = 0.0
    for name in names:
        b.end(name, E.OVERLOADED)
    b.run_until(START + 0.1)
    for w in b.g.inner.workers.values():
        w.load_threshold, w.backoff_until = 100.0, 0.0
    b.run_until(START + 0.3)
    assert sum(len(b.sends(name)) for name in names) == 5


def test_what_is_taken_out_of_the_budget() -> None:
    once = bench(attempts=1, retry_budget=ALL)
    once.end(once.ask()[0], E.ERROR)  # can't be sent again
    assert once.quiet()
    both = bench(attempts=3, retry_budget=RetryBudget(1.0, 1.0), hedge=HEDGE, backoff=Backoff(0.5, 5.0))
    name, _ = both.ask()
    both.run_until(START + 0.5)
    both.end(name, E.ERROR, 0)  # its copy is out, which was paid for
    assert not both.g.alarms.due_at
    assert [s.retries for s in (scope(once).budget, scope(both).budget) if s] == [0, 1]
    both.end(name, E.ERROR, 1)
    both.run_until(START + 2)
    assert done(both, name) == "send 0, send 0.3, send 1"  # the first resend's wait, though two were sent
    share = bench(40, hedge=Hedge(after_s=0.3, most=0.5), retry_budget=ALL)
    names = [share.ask()[0] for _ in range(8)]
    share.run_until(START + 1)
    assert sum(len(share.sends(name)) for name in names) == 12
    full = bench(1, hedge=HEDGE, retry_budget=ALL)  # no worker for a copy
    full.ask()
    full.run_until(START + 1)
    counts = [
        (s.hedge_budget.tokens, s.budget.retries)
        for s in map(scope, (share, full))
        if s.hedge_budget and s.budget
    ]
    assert counts == [(0.0, 4), (1.0, 0)]


@pytest.mark.parametrize("counted", [True, False])
def test_clients_own_resends_count_where_the_route_says_so(counted: bool) -> None:
    b = bench(30, retry_budget=RetryBudget(0.2, 0.0, repeats=counted))
    for _ in range(10):
        b.serve(b.ask()[0])
    answered = [done(b, b.ask(is_client_retry=True)[0]) for _ in range(4)]
    assert answered == (["send 0"] * 2 + ["reject"] * 2 if counted else ["send 0"] * 4)
    budget = scope(b).budget
    assert budget is not None
    assert budget.first_sends == (10 if counted else 14)
    assert bench().ask(is_client_retry=True)[1]  # where there is no budget


@pytest.mark.parametrize(
    ("limits", "sends"),
    [
        ({}, 3),
        (BADS, 0),
        ({"attempts": 1}, 0),
        ({"retry_budget": NONE}, 0),
        ({"retry_budget": ALL}, 2),
    ],
)
def test_a_silent_workers_job_is_taken_elsewhere_only_if_it_can_be_sent_there(
    limits: dict[str, Any], sends: int
) -> None:
    b = bench(3, **limits)
    (name, [send]), (plain, _) = b.ask(), b.ask(route=None)
    actions = b.run_until(START + 3.5)
    assert (api.Cancel(name, 0) in actions) is (sends > 0)
    assert api.Cancel(plain, 0) in actions
    if sends:
        b.end(name, E.CANCELLED)
        b.end(name, E.ERROR, 1)
        assert len(b.sends(name)) == sends
    else:  # and goes on where it is
        b.serve(name)
        assert not b.answers(name)
    assert b.g.inner.workers[send.worker].load == 0


# --- hedges -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("winner", [0, 1])
def test_a_worker_that_a_later_copy_overtook_is_a_suspect_and_one_that_kept_its_lead_is_not(
    winner: int,
) -> None:
    """What may not be repeated must not go there, though its own jobs still end well."""
    b = bench(hedge=HEDGE)
    name, [send] = b.ask()
    b.run_until(START + 1)
    b.end(name, E.OK, winner)
    suspects = [w.address for w in b.g.inner.worker_index.suspects]
    assert suspects == ([send.worker] if winner else [])
    assert all(s.worker not in suspects for _ in range(5) for s in b.ask("unsafe")[1])
    name, [send] = b.ask()
    b.now += 0.1
    b.end(name, E.ERROR)
    sick = b.g.inner.workers[send.worker].failure_share
    b.now += 0.1
    b.end(name, E.OK, 1)  # a resend overtook nobody
    assert b.g.inner.workers[send.worker].failure_share == sick


def test_of_two_copies_each_is_judged_by_what_is_told_of_it() -> None:
    b = bench(hedge=HEDGE)
    name, _ = b.ask()
    b.run_until(START + 0.5)
    b.start(name, 1)
    for second in range(1, 5):
        b.run_until(START + 0.5 + second)
        b.feed(api.Progress(name, 1, 0.1 * second))
    silent, told = (b.g.inner.workers[s.worker] for s in b.sends(name))
    assert done(b, name) == "send 0, send 0.3, cancel 0"
    assert (silent.load, told.load) == (0, 1)
    assert silent.failure_share
    assert not told.failure_share
    b.end(name, E.ERROR, 1)  # no copy is out that anything is expected of, and the slots stay freed
    b.run_until(START + 9.4)
    assert told.load == 0
    assert silent.load == 0


def test_timers_are_asked_for_as_often_as_alarms_are_set() -> None:
    after = {"safe": 0.5, "keyed": 0.1}
    routes = [Route(cls, cls, hedge=Hedge(after_s=s, most=0.0)) for cls, s in after.items()]
    b = RouteBench(Routes(routes), workers(400))
    for n in range(400):
        b.ask(("safe", "keyed")[n % 2])
        b.run_until(b.now + 0.01)
    asked = [a for _, a in b.log if isinstance(a, api.SetTimer) and a.token == 2]
    assert 100 < len(asked) <= 400


def test_whatever_event_brings_it_what_is_sent_is_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    """No event but those that Guarded handles makes the Dispatcher of today send anything."""
    b = bench(attempt_timeout_s=0.5)
    name, _ = b.ask()
    monkeypatch.setattr(b.g.inner, "handle", lambda now, event: [api.Send(name, "w9")])
    assert b.g.handle(b.now, api.Progress(name, 0, 0.5)) == [api.Send(name, "w9", 0.5)]


def test_a_percentile_is_learned_from_what_ends_well_or_was_cut_off_beyond_it() -> None:
    b = bench(20, hedge=Hedge(percentile=90.0, most=0.5))
    for n in range(200):
        name, _ = b.ask()
        b.now += 0.1 if n % 20 else 0.5
        b.end(name, E.OK, 0, 0.1 if n % 20 else 0.5)
        assert len(b.sends(name)) == 1
    times = scope(b).latency
    assert times
    assert times.value_s == pytest.approx(0.1, rel=0.03)
    total = times.total
    name, _ = b.ask()
    start = b.now
    b.run_until(start + 0.2)
    assert len(b.sends(name)) == 2
    assert b.log[-1][0] < start + 0.2
    b.end(name, E.OK, 1, 0.1)
    b.feed(api.Ended(name, 0, E.CANCELLED, True, 0.2))  # the loser had taken longer than most do
    assert times.total == total + 2
    for ending, took in ((E.ERROR, 5.0), (E.CANCELLED, 0.05), (E.BROKEN, 5.0)):
        name, _ = b.ask()
        b.feed(api.Ended(name, 0, ending, True, took))
    assert times.total == total + 2


# --- concurrency and queue ----------------------------------------------------------------------------------


def queued(order: QueueOrder = QueueOrder.WORTH, longest: float | None = None, **limits: Any) -> RouteBench:
    """Two places and two that wait, shared by the classes."""
    dear = api.JobClass("dear", api.Effect.UNSAFE, latency_target_s=1.0, deadline_s=10.0, value=10.0)
    limits = {"concurrency": 2, "queue": Queue(2, order, longest), **limits}
    routes = Routes(Route("all", c.name, **limits) for c in (SAFE, dear))
    b = RouteBench(routes, workers(9), classes=(SAFE, dear))
    b.run_until(START)
    return b


def asked(b: RouteBench, *jobs: tuple[str, float]) -> list[str]:
    return [b.ask(cls, patience, route="all")[0] for cls, patience in jobs]


def test_places_then_the_queue_then_a_refusal_and_the_best_goes_first() -> None:
    b = queued()
    jobs = asked(b, *[("safe", patience) for patience in (9.0, 9.0, 9.0, 8.0, 9.5)], ("dear", 9.0))
    # the fifth finds no room; the sixth is worth more than the third, who would come after the fourth
    assert [done(b, name) for name in jobs] == ["send 0", "send 0", "reject", "", "reject", ""]
    b.serve(jobs[0])
    assert done(b, jobs[5]) == "send 0"
    assert not done(b, jobs[3])
    b.feed(api.ClientDisconnected(jobs[1]))
    assert done(b, jobs[3]) == "send 0"
    b.feed(api.Ended(jobs[1], 0, E.CANCELLED, True, 0.0))
    for n in (3, 5):
        b.serve(jobs[n])
    assert b.quiet()


@pytest.mark.parametrize(("order", "first"), [(QueueOrder.DEADLINE, 2), (QueueOrder.ARRIVAL, 1)])
def test_other_orders_of_a_queue(order: QueueOrder, first: int) -> None:
    b = queued(order, concurrency=1)
    b.serial = 7  # r10 must not go before r9
    jobs = asked(b, ("safe", 9.0), ("safe", 8.0), ("safe", 7.0))
    b.serve(jobs[0])
    assert [len(b.sends(name)) for name in jobs] == [1, first == 1, first == 2]


def test_a_wait_ends_with_a_refusal_at_its_longest_or_while_the_client_still_listens() -> None:
    b = queued(longest=0.5)
    asked(b, ("dear", 9.0), ("dear", 9.0))
    slow, soon, never = asked(b, ("safe", 9.0), ("safe", 0.2), ("safe", 0.01))
    assert done(b, never) == "reject"  # too near to wait at all
    b.run_until(START + 3)
    at = {name: round(t - START, 3) for name in (slow, soon) for t, _ in b.answers(name)}
    assert at == {slow: 0.5, soon: 0.148}  # its 0.2 s less a sweep and two ticks
    [gone] = asked(b, ("safe", 9.0))
    b.feed(api.ClientDisconnected(gone))
    b.run_until(START + 4)
    assert not done(b, gone)
    assert len(b.g.runs) == 2


def test_what_waited_is_handed_on_with_the_patience_that_is_left_and_without_its_alarm() -> None:
    b = queued(concurrency=1, longest=3.0, hedge=Hedge(percentile=90.0, most=1.0))
    first, second = asked(b, ("dear", 9.0), ("safe", 4.0))
    b.run_until(START + 1)
    b.end(first, E.OK)
    b.start(second)
    b.run_until(START + 6)
    [(at, _)] = b.answers(second)
    assert 3.5 < at - START < 4.0
    assert len(b.sends(second)) == 1


def test_what_found_no_worker_again_has_no_alarm_and_what_was_not_decided_has_no_place(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    b = bench(1, hedge=HEDGE)
    name, _ = b.ask()
    b.end(name, E.OVERLOADED)
    assert not b.g.alarms.due_at
    assert not b.answers(name)
    b = queued(concurrency=1)
    monkeypatch.setattr(b.g.inner.state, "classes", {})
    with pytest.raises(KeyError):
        b.g.handle(b.now, api.Request("x", "safe", 5.0, route="all"))
    limiter = scope(b, "all", "dear").limiter
    assert limiter is not None
    assert not limiter.open_count
    assert not b.g.runs


# --- pool and priority --------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("pool", "held"),
    [
        (WorkerPool(zones=frozenset({"a"})), {"w0", "w2"}),
        (WorkerPool(frozenset({"slow"})), {"w2", "w3"}),
        (WorkerPool(frozenset({"slow"}), frozenset({"a"})), {"w2"}),
    ],
)
def test_a_pool_holds_whom_it_names_however_they_change(pool: WorkerPool, held: set[str]) -> None:
    routes = Routes([Route("safe", "safe", pool=pool)])
    fleet = [entry(f"w{n}", zone="ab"[n % 2], kind=("fast", "slow")[n // 2]) for n in range(4)]
    b = RouteBench(routes, fleet)
    made = b.g.inner.worker_index.pools[pool]  # before the first job, as its making takes long
    for key in (None, *range(9)):
        name, [send] = b.ask(key=key)
        assert send.worker in held
        b.serve(name)
    zones, kinds = ("cc", ("fast", "slow")) if pool.zones else ("ab", ("odd", "odd"))
    b.patch(*(entry(f"w{n}", zone=zones[n % 2], kind=kinds[n // 2]) for n in range(4)))
    name, sent = b.ask()
    assert not sent
    assert b.ask(route=None)[1]
    assert b.ask("unsafe")[1]
    b.patch(entry("w1", zone="a", kind="slow"))
    b.run_until(100.1)
    assert [s.worker for s in b.sends(name)] == ["w1"]
    b.renew(routes)
    assert b.g.inner.worker_index.pools[pool] is made
    b.renew(Routes())
    assert pool in b.g.inner.worker_index.pools  # a job under way still needs it
    b.serve(name)
    b.renew(Routes())
    assert pool not in b.g.inner.worker_index.pools
    assert all(len(w.pools) == 1 for w in b.g.inner.workers.values())


def test_of_held_jobs_the_highest_priority_goes_first_whatever_it_is_worth() -> None:
    routes = [Route("low", "safe", priority=-1), Route("high", "unsafe", priority=2)]
    b = RouteBench(Routes(routes), ["w"])
    b.g.inner.workers["w"].load_threshold = 1.0
    running, _ = b.ask()
    held = [b.ask("safe", route="low")[0], b.ask("safe")[0], b.ask("unsafe", route="high")[0]]
    b.run_until(100.6)
    for n in (2, 1, 0):
        b.g.inner.workers["w"].load_threshold = 1.0
        b.end(running, E.OK)
        running = held[n]
        assert [len(b.sends(name)) for name in held] == [int(m >= n) for m in range(3)]


# --- reload -------------------------------------------------------------------------------------------------


def test_new_routes_hold_for_what_comes_and_a_job_keeps_those_it_began_with() -> None:
    b = bench(attempts=2)
    old, _ = b.ask()
    b.renew(Routes([Route("safe", "safe", attempts=1, attempt_timeout_s=0.5)]))
    new, [send] = b.ask()
    assert send.timeout_s == 0.5
    for name in (old, new):
        b.end(name, E.ERROR)
    assert done(b, old) == "send 0, send 0"
    assert b.sends(old)[1].timeout_s == 0
    assert done(b, new) == "send 0, reject"
    b.renew(Routes())
    assert b.ask()[1][0].timeout_s == 0


def test_open_and_waiting_jobs_count_under_the_new_limits() -> None:
    b = queued()
    jobs = asked(b, *[("safe", patience) for patience in (10.0, 9.0, 8.0, 7.0)])

    def limit(most: int | None, length: int = 2) -> None:
        queue = Queue(length, QueueOrder.DEADLINE)
        b.renew(Routes([Route("all", "safe", concurrency=most, queue=queue)]))

    limit(1, 0)  # two are open and two wait, who were promised that
    b.serve(jobs[0])
    assert not done(b, jobs[3])
    assert done(b, asked(b, ("safe", 9.0))[0]) == "reject"
    limit(2)
    assert done(b, jobs[3]) == "send 0"
    assert not done(b, jobs[2])
    limit(None)  # whoever waits is let in as those before it leave
    assert b.ask("safe", route="all")[1]
    b.serve(jobs[1])
    assert done(b, jobs[2]) == "send 0"
    limit(5)
    for name in jobs[2:]:
        b.serve(name)
    limit(5)
    limiter = scope(b, "all").limiter
    assert limiter is not None
    assert limiter.open_count == 1
    assert len(b.g.runs) == 1


def test_a_class_whose_part_of_a_route_goes_leaves_its_places_to_the_others() -> None:
    b = queued()
    jobs = asked(b, ("safe", 9.0), ("safe", 9.0), ("dear", 9.0), ("safe", 9.0))
    b.feed(api.ClientDisconnected(jobs[1]))  # its attempt has not ended
    jobs += asked(b, ("dear", 9.0))
    assert [done(b, name) for name in jobs[2:]] == ["send 0", "", ""]
    b.renew(Routes([Route("all", "safe", concurrency=1, queue=Queue(2))]))
    assert done(b, jobs[4]) == "send 0"
    assert not done(b, jobs[3])
    limiter = scope(b, "all").limiter
    assert limiter is not None
    assert (limiter.open_count, len(limiter.waiting)) == (1, 1)
    b.feed(api.Ended(jobs[1], 0, E.CANCELLED, True, 0.1))
    for n in (0, 3, 2, 4):
        b.serve(jobs[n])
    assert [len(b.sends(name)) for name in jobs] == [1] * 5
    assert b.quiet()


def test_counts_go_on_under_new_routes_and_are_shared_where_the_setting_is() -> None:
    def routes(*shares: float, most: float = 0.1, windows: tuple[float, ...] = (10.0,) * 3) -> Routes:
        parts = zip(("keyed", "safe", "unsafe"), shares, windows, strict=True)
        return Routes(
            Route(
                "all",
                c,
                retry_budget=RetryBudget(share, 0.0, window),
                hedge=Hedge(percentile=90.0, most=most if c == "safe" else 0.1),
            )
            for c, share, window in parts
        )

    b = RouteBench(routes(0.5, 0.5, 0.9), workers(20))
    safe, keyed, unsafe = (scope(b, "all", c) for c in ("safe", "keyed", "unsafe"))
    assert safe.budget is keyed.budget is not unsafe.budget
    assert safe.hedge_budget is keyed.hedge_budget
    assert unsafe.hedge_budget is None
    assert b.ask("unsafe", route="all")[1]
    for _ in range(50):
        b.serve(b.ask(route="all")[0])
    b.renew(routes(0.1, 0.1, 0.1))
    new = scope(b, "all")
    assert new.budget
    assert new.hedge_budget
    assert new is not safe
    assert new.latency is safe.latency
    assert (new.budget.first_sends, new.budget.share) == (50, 0.1)
    assert scope(b, "all", "unsafe").budget is new.budget
    b.renew(routes(0.1, 0.1, 0.1, windows=(20.0, 10.0, 10.0)))
    other = scope(b, "all", "keyed").budget
    assert scope(b, "all").budget is new.budget
    assert other
    assert (other.first_sends, other.window_s) == (0, 20.0)
    b.renew(routes(0.1, 0.1, 0.1))
    b.renew(routes(0.4, 0.3, 0.2, most=0.3))  # what was one is no more
    safe, keyed = scope(b, "all"), scope(b, "all", "keyed")
    assert safe.budget is not keyed.budget
    assert safe.hedge_budget is not keyed.hedge_budget
    assert safe.hedge_budget
    assert keyed.hedge_budget
    assert (safe.hedge_budget.share, keyed.hedge_budget.share) == (0.3, 0.1)
    b.renew(Routes([Route("all", "safe", hedge=Hedge(percentile=99.0))]))
    last = scope(b, "all")
    assert last.latency is not new.latency
    assert last.hedge_budget is safe.hedge_budget
    assert safe.hedge_budget.share == 0.05


def test_a_job_keeps_its_hedge_or_has_none_as_it_began() -> None:
    b = bench(hedge=HEDGE)
    hedged, _ = b.ask()
    b.renew(Routes([Route("safe", "safe")]))
    plain, _ = b.ask()
    b.run_until(START + 1)
    assert [len(b.sends(name)) for name in (hedged, plain)] == [1, 1]  # nothing counts copies now
    b.end(hedged, E.OK)
    b.renew(Routes([Route("safe", "safe", hedge=HEDGE)]))
    hedged, _ = b.ask()
    b.renew(Routes([Route("safe", "safe", hedge=Hedge(percentile=90.0, most=1.0))]))
    for name in (hedged, plain):
        b.end(name, E.ERROR)
    b.run_until(START + 2)
    assert [len(b.sends(name)) for name in (hedged, plain)] == [3, 2]
