"""What a route's limits do to its jobs, step by step."""

from typing import Any

import pytest

from finchladder import api
from finchladder.core.api import Ending as E
from finchladder.core.api import WorkerPool
from finchladder.core.routes import Backoff, Hedge, Queue, QueueOrder, RetryBudget, Route, Routes
from tests.core.routes import RouteBench
from tests.helpers import KEYED, SAFE, UNSAFE, Bench, entry, workers

HEDGE = Hedge(after_s=0.3, most=1.0)


def bench(fleet: int = 6, changes: dict[str, Any] | None = None, **limits: Any) -> RouteBench:
    return RouteBench(Routes([Route("safe", "safe", **limits)]), workers(fleet), **(changes or {}))


def kinds(b: Bench, name: str) -> list[str]:
    said = [a for _, a in b.log if isinstance(a, api.Send | api.Cancel | api.Refuse | api.Fail)]
    return [type(a).__name__ for a in said if a.request == name]


def sent_at(b: Bench, name: str) -> list[float]:
    return [round(t - 100, 3) for t, a in b.log if isinstance(a, api.Send) and a.request == name]


# --- time-outs, attempts, backoff ---------------------------------------------------------------------------


def test_an_attempt_has_its_time_out_and_a_job_its_whole_one() -> None:
    route = Route("safe", "safe", attempt_timeout_s=0.4, timeout_s=2.0)
    assert (route.patience_s(10.0), route.patience_s(1.0), Route("s", "s").patience_s(9.0)) == (2.0, 1.0, 9.0)
    b = RouteBench(Routes([route]), workers(3))
    name, [send] = b.ask()
    assert send.timeout == 0.4
    b.end(name, E.TIMED_OUT)
    assert [s.timeout for s in b.sends(name)] == [0.4, 0.4]


@pytest.mark.parametrize(("jitter", "whole"), [(0.0, True), (1.0, False)])
def test_resends_wait_longer_each_time_and_the_worker_is_free_meanwhile(jitter: float, whole: bool) -> None:
    b = bench(backoff=Backoff(0.1, 0.25, jitter), attempts=4)
    name, _ = b.ask(patience=20.0)
    for n in range(4):
        b.end(name, E.ERROR, n)
        assert not any(w.load for w in b.g.inner.workers.values())
        b.run_until(b.now + 0.3)
    at = sent_at(b, name)
    if whole:  # 0.1, 0.2, 0.25 after their ends
        assert at == [0.0, 0.1, 0.5, 0.85]
    else:
        assert at[1] < 0.1 and 0.3 <= at[2] < 0.5 and at != [0.0, 0.0, 0.3, 0.6]
    assert kinds(b, name)[-1] == "Refuse" and b.quiet()


def test_a_job_that_waits_is_not_given_up_for_its_aim_but_for_its_deadline() -> None:
    b = bench(backoff=Backoff(4.0, 4.0))
    b.run_until(101.0)
    name, _ = b.ask(patience=20.0)  # hopeless after 2 s were it held for want of room
    b.end(name, E.ERROR)
    b.run_until(106.0)
    assert sent_at(b, name) == [1.0, 5.0]
    late, _ = b.ask(patience=4.0)
    b.end(late, E.ERROR)  # the wait would outlast the client: it is told at once
    assert kinds(b, late) == ["Send", "Refuse"]


def test_a_route_that_says_nothing_lets_a_job_be_sent_again_until_its_very_end() -> None:
    b = bench()
    name, _ = b.ask(patience=0.2)
    b.now += 0.16
    b.end(name, E.ERROR)
    assert len(b.sends(name)) == 2


def test_a_job_in_its_backoff_is_not_held_after_its_state_was_restored() -> None:
    b = bench(backoff=Backoff(1.0, 1.0))
    name, _ = b.ask()
    b.end(name, E.ERROR)
    b.g.inner.reindex()
    assert not any(len(wheel) for wheel in b.g.inner.agenda.waiting.values())
    b.run_until(101.5)
    assert sent_at(b, name) == [0.0, 1.0]


def test_a_job_in_its_backoff_holds_up_nobody() -> None:
    b = bench(1, backoff=Backoff(1.0, 1.0))
    first, _ = b.ask()
    b.end(first, E.OVERLOADED)
    b.g.inner.workers["w0"].rest_until = 0.0
    other, sent = b.ask()
    assert sent and len(b.sends(first)) == 1


# --- retry budget -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("cls", "ending", "answer"), [
    (SAFE, E.ERROR, "Refuse"), (UNSAFE, E.OVERLOADED, "Refuse"), (KEYED, E.BROKEN, "Fail"),
])  # fmt: skip
def test_without_budget_a_job_is_answered_as_its_class_demands(
    cls: api.JobClass, ending: E, answer: str
) -> None:
    budget = RetryBudget(0.2, 0.0)
    b = RouteBench(Routes([Route(cls.name, cls.name, retry_budget=budget)]), workers(30))
    names = [b.ask(cls.name)[0] for _ in range(10)]
    for name in names:
        b.end(name, ending)
    b.run_until(100.2)
    assert [kinds(b, name) for name in names] == [["Send", "Send"]] * 2 + [["Send", answer]] * 8


def test_a_resend_that_was_allowed_is_taken_out_though_no_worker_has_room_for_it() -> None:
    """Else as many as fail while the fleet is full would all be sent once it is not."""
    b = bench(3, retry_budget=RetryBudget(0.3, 0.0))
    names = [b.ask()[0] for _ in range(4)]
    for w in b.g.inner.workers.values():
        w.t = 0.0
    for name in names:
        b.end(name, E.OVERLOADED)
    b.run_until(100.1)
    for w in b.g.inner.workers.values():
        w.t, w.rest_until = 100.0, 0.0
    b.run_until(100.3)
    assert sum(len(b.sends(name)) for name in names) == 5


def test_nothing_is_taken_out_of_the_budget_for_what_cant_be_sent_again() -> None:
    once = bench(attempts=1, retry_budget=RetryBudget(1.0, 0.0))
    once.end(once.ask()[0], E.ERROR)
    both = bench(attempts=3, retry_budget=RetryBudget(1.0, 1.0), hedge=HEDGE, backoff=Backoff(0.5, 5.0))
    name, _ = both.ask()
    both.run_until(100.5)
    both.end(name, E.ERROR, 0)  # its copy is out, which was paid for
    assert not both.g.alarms.at
    spent = [scope.budget.spent for b in (once, both) for scope in b.g.scopes.values() if scope.budget]
    assert spent == [0, 1]
    both.end(name, E.ERROR, 1)
    both.run_until(102.0)
    assert sent_at(both, name) == [0.0, 0.3, 1.0]  # the first resend's wait, though two were sent


def test_clients_own_resends_count_where_the_route_says_so() -> None:
    for counted in (True, False):
        b = bench(30, retry_budget=RetryBudget(0.2, 0.0, repeats=counted))
        for _ in range(10):
            b.serve(b.ask()[0])
        answered = [kinds(b, b.ask(repeat=True)[0]) for _ in range(4)]
        assert answered == ([["Send"]] * 2 + [["Refuse"]] * 2 if counted else [["Send"]] * 4)
        [scope] = b.g.scopes.values()
        assert scope.budget is not None and scope.budget.firsts == (10 if counted else 14)
    assert bench().ask(repeat=True)[1]  # where there is no budget


@pytest.mark.parametrize(("limits", "cancelled"), [
    ({}, True), ({"resend_on": frozenset({E.ERROR})}, False), ({"attempts": 1}, False),
    ({"retry_budget": RetryBudget(0.0, 0.0)}, False), ({"retry_budget": RetryBudget(1.0, 0.0)}, True),
])  # fmt: skip
def test_a_silent_workers_job_is_taken_elsewhere_only_if_it_can_be_sent_there(
    limits: dict[str, Any], cancelled: bool
) -> None:
    b = bench(3, **limits)
    (name, [send]), (plain, _) = b.ask(), b.ask(route=None)
    actions = b.run_until(103.5)
    assert (api.Cancel(name, 0) in actions) is cancelled and api.Cancel(plain, 0) in actions
    if cancelled:
        b.end(name, E.CANCELLED)
        assert len(b.sends(name)) == 2
        b.end(name, E.ERROR, 1)
        assert len(b.sends(name)) == (2 if limits else 3)  # the budget has one resend
    else:  # and goes on where it is
        b.serve(name)
        assert not b.answers(name)
    assert b.g.inner.workers[send.worker].load == 0


# --- hedges -------------------------------------------------------------------------------------------------


def test_a_copy_goes_to_another_worker_and_the_first_that_answers_ends_the_other() -> None:
    for winner, loser in ((0, 1), (1, 0)):
        b = bench(hedge=HEDGE)
        name, _ = b.ask()
        b.run_until(101.0)
        assert sent_at(b, name) == [0.0, 0.3] and len({s.worker for s in b.sends(name)}) == 2
        assert api.Cancel(name, loser) in b.end(name, E.OK, winner)
        b.feed(api.Ended(name, loser, E.CANCELLED, True, 0.7))
        assert b.quiet() and not any(w.load for w in b.g.inner.workers.values())


def test_a_worker_that_a_later_copy_overtook_is_a_suspect_and_one_that_kept_its_lead_is_not() -> None:
    """What may not be repeated must not go there, though its own jobs still end well."""
    for winner in (0, 1):
        b = bench(hedge=HEDGE)
        name, [send] = b.ask()
        b.run_until(101.0)
        b.end(name, E.OK, winner)
        suspects = [w.address for w in b.g.inner.fleet.suspects]
        assert suspects == ([send.worker] if winner else [])
        assert all(s.worker not in suspects for _ in range(5) for s in b.ask("unsafe")[1])


def test_of_two_copies_each_is_judged_by_what_is_told_of_it() -> None:
    b = bench(hedge=HEDGE)
    name, [first] = b.ask()
    b.run_until(100.5)
    b.start(name, 1)
    for second in range(1, 5):
        b.run_until(100.5 + second)
        b.feed(api.Progress(name, 1, 0.1 * second))
    silent, told = (b.g.inner.workers[s.worker] for s in b.sends(name))
    assert kinds(b, name) == ["Send", "Send", "Cancel"] and api.Cancel(name, 0) in [a for _, a in b.log]
    assert (silent.load, told.load) == (0, 1) and silent.sick and not told.sick
    b.end(name, E.ERROR, 1)  # no copy is out that anything is expected of, and the slots stay freed
    b.run_until(109.4)
    assert told.load == 0 and silent.load == 0


def test_a_job_that_failed_before_is_not_held_against_its_worker_again() -> None:
    b = bench()
    name, [send] = b.ask()
    b.now += 0.1
    b.end(name, E.ERROR)
    sick = b.g.inner.workers[send.worker].sick
    b.now += 0.1
    b.end(name, E.OK, 1)
    assert sick == b.g.inner.workers[send.worker].sick > 0


def test_the_loser_is_cancelled_whatever_lets_a_job_be_sent_again() -> None:
    b = bench(hedge=HEDGE, resend_on=frozenset({E.ERROR}))
    name, _ = b.ask()
    b.run_until(101.0)
    assert api.Cancel(name, 0) in b.end(name, E.OK, 1)


def test_copies_keep_to_their_share_and_are_paid_for() -> None:
    b = bench(40, hedge=Hedge(after_s=0.3, most=0.5), retry_budget=RetryBudget(1.0, 0.0))
    names = [b.ask()[0] for _ in range(8)]
    b.run_until(101.0)
    [scope] = b.g.scopes.values()
    assert sum(len(b.sends(name)) for name in names) == 12 and scope.budget and scope.budget.spent == 4


def test_what_is_told_twice_of_an_attempt_counts_once() -> None:
    b = bench(attempts=2)
    name, _ = b.ask()
    for _ in range(2):
        b.end(name, E.ERROR)
    assert kinds(b, name) == ["Send", "Send"]
    b.end(name, E.ERROR, 1)
    assert b.quiet()


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


def test_one_copy_ending_badly_leaves_the_other_to_go_on() -> None:
    b = bench(hedge=HEDGE, attempts=2)
    name, _ = b.ask()
    b.run_until(100.5)
    b.end(name, E.ERROR, 1)
    b.run_until(101.0)
    assert kinds(b, name) == ["Send", "Send"]
    b.end(name, E.ERROR, 0)
    assert kinds(b, name) == ["Send", "Send", "Refuse"] and b.quiet()


def test_the_first_copy_ends_in_the_turn_in_which_the_second_is_due() -> None:
    for ends_first in (True, False):
        b = bench(hedge=HEDGE)
        name, _ = b.ask()
        b.now += 0.3
        events: list[api.Event] = [api.Timer(2), api.Ended(name, 0, E.OK, True, 0.3)]
        for event in reversed(events) if ends_first else events:
            b.feed(event)
        assert kinds(b, name) == (["Send"] if ends_first else ["Send", "Send", "Cancel"])
        if not ends_first:
            b.feed(api.Ended(name, 1, E.CANCELLED, True, 0.0))
        b.run_until(102.0)
        assert b.quiet() and not any(w.load for w in b.g.inner.workers.values())


def test_a_client_that_leaves_between_two_copies_ends_both_or_sees_none_sent() -> None:
    b = bench(hedge=HEDGE)
    early, _ = b.ask()
    b.feed(api.ClientGone(early))
    b.end(early, E.CANCELLED)
    late, _ = b.ask()
    b.run_until(101.0)
    b.feed(api.ClientGone(late))
    for n in range(2):
        b.feed(api.Ended(late, n, E.CANCELLED, True, 1.0))
    assert kinds(b, early) == ["Send", "Cancel"] and kinds(b, late) == ["Send", "Send", "Cancel", "Cancel"]
    assert b.quiet()


@pytest.mark.parametrize(("limits", "changes"), [
    ({"hedge": Hedge(after_s=0.3, most=0.0)}, {}), ({"retry_budget": RetryBudget(0.0, 0.0)}, {}),
    ({"attempts": 1}, {}), ({}, {"may_copy": False}), ({}, {"may_cancel": False}), ({}, {"max_attempts": 1}),
])  # fmt: skip
def test_no_copy_beyond_share_budget_attempts_and_the_platforms_word(
    limits: dict[str, Any], changes: dict[str, Any]
) -> None:
    b = bench(changes=changes, **({"hedge": HEDGE} | limits))
    name, _ = b.ask()
    b.run_until(102.0)
    assert len(b.sends(name)) == 1


def test_the_dispatcher_may_find_no_worker_for_a_copy_and_nothing_is_taken_for_it() -> None:
    b = bench(1, hedge=HEDGE, retry_budget=RetryBudget(1.0, 0.0))
    b.ask()
    b.run_until(102.0)
    [scope] = b.g.scopes.values()
    assert scope.hedges and scope.budget and (scope.hedges.saved, scope.budget.spent) == (1.0, 0)


def test_a_percentile_is_learned_from_what_ends_well_or_was_cut_off_beyond_it() -> None:
    b = bench(20, hedge=Hedge(percentile=90.0, most=0.5))
    for n in range(200):
        name, _ = b.ask()
        b.now += 0.1 if n % 20 else 0.5
        b.end(name, E.OK, 0, 0.1 if n % 20 else 0.5)
        assert len(b.sends(name)) == 1
    [scope] = b.g.scopes.values()
    assert scope.times and scope.times.value_s == pytest.approx(0.1, rel=0.03)
    total = scope.times.total
    name, _ = b.ask()
    start = b.now
    b.run_until(start + 0.2)
    assert len(b.sends(name)) == 2 and b.log[-1][0] < start + 0.2
    b.end(name, E.OK, 1, 0.1)
    b.feed(api.Ended(name, 0, E.CANCELLED, True, 0.2))  # the loser had taken longer than most do
    assert scope.times.total == total + 2
    for ending, took in ((E.ERROR, 5.0), (E.CANCELLED, 0.05), (E.BROKEN, 5.0)):
        name, _ = b.ask()
        b.feed(api.Ended(name, 0, ending, True, took))
    assert scope.times.total == total + 2


# --- concurrency and queue ----------------------------------------------------------------------------------


def queued(order: QueueOrder = QueueOrder.WORTH, **limits: Any) -> RouteBench:
    """Two places and two that wait, shared by the classes."""
    dear = api.JobClass("dear", api.Effect.UNSAFE, aim=1.0, deadline=10.0, worth=10.0)
    limits = {"concurrency": 2, "queue": Queue(2, order, limits.pop("longest", None)), **limits}
    routes = [Route("all", c.name, **limits) for c in (SAFE, dear)]
    return RouteBench(Routes(routes), workers(9), classes=(SAFE, dear))


def test_places_then_the_queue_then_a_refusal_and_the_best_goes_first() -> None:
    b = queued()
    jobs = [b.ask(cls, patience, route="all")[0] for cls, patience in (
        ("safe", 9.0), ("safe", 9.0), ("safe", 9.0), ("safe", 8.0), ("safe", 9.5), ("dear", 9.0),
    )]  # fmt: skip
    # the fifth finds no room; the sixth is worth more than the third, who would come after the fourth
    assert [kinds(b, name) for name in jobs] == [["Send"], ["Send"], ["Refuse"], [], ["Refuse"], []]
    b.serve(jobs[0])
    assert kinds(b, jobs[5]) == ["Send"] and not kinds(b, jobs[3])
    b.feed(api.ClientGone(jobs[1]))
    assert kinds(b, jobs[3]) == ["Send"]
    b.feed(api.Ended(jobs[1], 0, E.CANCELLED, True, 0.0))
    for n in (3, 5):
        b.serve(jobs[n])
    assert b.quiet()


@pytest.mark.parametrize(("order", "first"), [(QueueOrder.DEADLINE, 2), (QueueOrder.ARRIVAL, 1)])
def test_other_orders_of_a_queue(order: QueueOrder, first: int) -> None:
    b = queued(order, concurrency=1)
    b.serial = 7  # r10 must not go before r9
    jobs = [b.ask("safe", patience, route="all")[0] for patience in (9.0, 8.0, 7.0)]
    b.serve(jobs[0])
    assert [len(b.sends(name)) for name in jobs] == [1, first == 1, first == 2]


def test_a_wait_ends_with_a_refusal_at_its_longest_or_while_the_client_still_listens() -> None:
    b = queued(longest=0.5)
    for _ in range(2):
        b.ask("dear", route="all")
    slow, _ = b.ask("safe", route="all")
    soon, _ = b.ask("safe", 0.2, route="all")
    never, _ = b.ask("safe", 0.01, route="all")
    assert kinds(b, never) == ["Refuse"]  # too near to wait at all
    b.run_until(103.0)
    at = {name: round(t - 100, 3) for name in (slow, soon) for t, _ in b.answers(name)}
    assert at == {slow: 0.5, soon: 0.148}  # its 0.2 s less a sweep and two ticks
    gone, _ = b.ask("safe", route="all")
    b.feed(api.ClientGone(gone))
    b.run_until(104.0)
    assert not kinds(b, gone) and len(b.g.runs) == 2


def test_the_end_of_a_wait_is_no_hedge() -> None:
    b = queued(concurrency=1, longest=1.0, hedge=Hedge(percentile=90.0, most=1.0))
    first, second = b.ask("safe", route="all")[0], b.ask("safe", route="all")[0]
    b.serve(first)
    b.run_until(103.0)
    assert len(b.sends(second)) == 1


def test_a_job_that_found_no_worker_again_has_no_alarm() -> None:
    b = bench(1, hedge=HEDGE)
    name, _ = b.ask()
    b.end(name, E.OVERLOADED)
    assert not b.g.alarms.at and not b.answers(name)


def test_what_waited_is_handed_on_with_the_patience_that_is_left() -> None:
    b = queued(concurrency=1)
    first, _ = b.ask("dear", route="all")
    second, _ = b.ask("safe", 2.0, route="all")
    b.run_until(101.0)
    b.end(first, E.OK)
    b.start(second)
    b.run_until(104.0)
    [(at, _)] = b.answers(second)
    assert 101.5 < at < 102.0 and b.g.inner.jobs


def test_a_place_is_free_again_though_the_decisions_broke_on_its_job(monkeypatch: pytest.MonkeyPatch) -> None:
    b = queued(concurrency=1)
    monkeypatch.setattr(b.g.inner, "classes", {})
    with pytest.raises(KeyError):
        b.g.handle(b.now, api.Request("x", "safe", 5.0, route="all"))
    assert b.g.scopes["all", "dear"].limiter is not None and not b.g.scopes["all", "dear"].limiter.open
    assert not b.g.runs


# --- pool and priority --------------------------------------------------------------------------------------


@pytest.mark.parametrize(("pool", "held"), [
    (WorkerPool(zones=frozenset({"a"})), {"w0", "w2"}), (WorkerPool(frozenset({"slow"})), {"w2", "w3"}),
])  # fmt: skip
def test_a_pool_may_go_by_zones_or_kinds_alone_and_outlasts_a_reload(
    pool: WorkerPool, held: set[str]
) -> None:
    routes = Routes([Route("safe", "safe", pool=pool)])
    fleet = [entry(f"w{n}", zone="ab"[n % 2], kind=("fast", "slow")[n // 2]) for n in range(4)]
    b = RouteBench(routes, fleet)
    made = b.g.inner.fleet.pools[pool]  # before the first job, as its making takes long
    assert {s.worker for _ in range(4) for s in b.ask()[1]} == held
    b.renew(routes)
    assert b.g.inner.fleet.pools[pool] is made


def test_a_pool_holds_whom_it_names_however_they_change() -> None:
    pool = WorkerPool(frozenset({"fast"}), frozenset({"a"}))
    b = RouteBench(Routes([Route("safe", "safe", pool=pool)]), [
        entry(f"w{n}", zone="ab"[n % 2], kind=("fast", "slow")[n // 20]) for n in range(40)
    ])  # fmt: skip
    for key in (None, *range(20)):
        name, [send] = b.ask(key=key)
        assert int(send.worker[1:]) % 2 == 0 and int(send.worker[1:]) < 20
        b.serve(name)
    b.patch(*(entry(f"w{n}", zone="b", kind="fast") for n in range(0, 20, 2)))
    name, sent = b.ask()
    assert not sent
    b.patch(entry("w39", zone="a", kind="fast"))
    b.run_until(100.1)
    assert [s.worker for s in b.sends(name)] == ["w39"]
    assert b.ask(route=None)[1]  # the others have all the workers
    assert b.ask("unsafe")[1]
    b.renew(Routes())
    assert pool in b.g.inner.fleet.pools  # a job under way still needs it
    b.serve(name)
    b.renew(Routes())
    assert pool not in b.g.inner.fleet.pools and all(len(w.pools) == 1 for w in b.g.inner.workers.values())


def test_of_held_jobs_the_highest_priority_goes_first_whatever_it_is_worth() -> None:
    routes = [Route("low", "safe", priority=-1), Route("high", "unsafe", priority=2)]
    b = RouteBench(Routes(routes), ["w"])
    b.g.inner.workers["w"].t = 1.0
    running, _ = b.ask()
    held = [b.ask("safe", route="low")[0], b.ask("safe")[0], b.ask("unsafe", route="high")[0]]
    b.run_until(100.6)
    for n in (2, 1, 0):
        b.g.inner.workers["w"].t = 1.0
        b.end(running, E.OK)
        running = held[n]
        assert [len(b.sends(name)) for name in held] == [int(m >= n) for m in range(3)]


# --- reload -------------------------------------------------------------------------------------------------


def test_new_routes_hold_for_what_comes_and_a_job_keeps_those_it_began_with() -> None:
    b = bench(attempts=2)
    old, _ = b.ask()
    b.renew(Routes([Route("safe", "safe", attempts=1, attempt_timeout_s=0.5)]))
    new, [send] = b.ask()
    assert send.timeout == 0.5
    for name in (old, new):
        b.end(name, E.ERROR)
    assert kinds(b, old) == ["Send", "Send"] and b.sends(old)[1].timeout == 0
    assert kinds(b, new) == ["Send", "Refuse"]
    b.renew(Routes())
    assert b.ask()[1][0].timeout == 0


def test_open_and_waiting_jobs_count_under_the_new_limits() -> None:
    b = queued()
    jobs = [b.ask("safe", 10.0 - n, route="all")[0] for n in range(4)]

    def limit(most: int | None, length: int = 2) -> None:
        queue = Queue(length, QueueOrder.DEADLINE)
        b.renew(Routes([Route("all", "safe", concurrency=most, queue=queue)]))

    limit(1, 0)  # two are open and two wait, who were promised that
    assert not kinds(b, jobs[3])
    b.serve(jobs[0])
    assert not kinds(b, jobs[3])
    assert kinds(b, b.ask("safe", route="all")[0]) == ["Refuse"]
    limit(2)
    assert kinds(b, jobs[3]) == ["Send"] and not kinds(b, jobs[2])
    limit(None)  # whoever waits is let in as those before it leave
    assert b.ask("safe", route="all")[1]
    b.serve(jobs[1])
    assert kinds(b, jobs[2]) == ["Send"]
    limit(5)
    for name in jobs[2:]:
        b.serve(name)
    limit(5)
    [scope] = b.g.scopes.values()
    assert scope.limiter is not None and scope.limiter.open == 1 and len(b.g.runs) == 1


def test_counts_go_on_under_new_routes_and_are_shared_where_the_setting_is() -> None:
    def routes(share: float, most: float, percentile: float = 90.0) -> Routes:
        own = [RetryBudget(share, 0.0), RetryBudget(share, 0.0), RetryBudget(0.9, 0.0)]
        hedge = Hedge(percentile=percentile, most=most)
        classes = zip(("safe", "keyed", "unsafe"), own, strict=True)
        return Routes([Route("all", c, retry_budget=budget, hedge=hedge) for c, budget in classes])

    b = RouteBench(routes(0.5, 0.1), workers(20))
    scopes = b.g.scopes
    assert scopes["all", "safe"].budget is scopes["all", "keyed"].budget is not scopes["all", "unsafe"].budget
    assert scopes["all", "unsafe"].hedges is None and b.ask("unsafe", route="all")[1]
    for _ in range(50):
        b.serve(b.ask(route="all")[0])
    before = scopes["all", "safe"]
    b.renew(routes(0.1, 0.2))
    after = b.g.scopes["all", "safe"]
    assert after.budget is not None and after.hedges is not None and after is not before
    assert (after.budget.firsts, after.budget.share, after.hedges.share) == (50, 0.1, 0.2)
    assert after.times is before.times and b.g.scopes["all", "unsafe"].budget is not after.budget
    b.renew(routes(0.1, 0.2, 99.0))
    assert b.g.scopes["all", "safe"].times is not before.times
    b.renew(Routes(Route("all", c, retry_budget=RetryBudget(0.1, 0.0, window)) for c, window in (
        ("keyed", 20.0), ("safe", 10.0),
    )))  # fmt: skip
    kept, other = (b.g.scopes["all", c].budget for c in ("safe", "keyed"))
    assert kept is after.budget and other is not None and (other.firsts, other.window_s) == (0, 20.0)
    b.renew(routes(0.1, 0.2))
    b.renew(Routes([
        Route("all", "safe", retry_budget=RetryBudget(0.3, 0.0), hedge=Hedge(after_s=1.0, most=0.1)),
        Route("all", "keyed", retry_budget=RetryBudget(0.4, 0.0), hedge=Hedge(after_s=1.0, most=0.3)),
    ]))  # fmt: skip
    one, two = (b.g.scopes["all", c] for c in ("safe", "keyed"))  # what was one is no more
    assert one.budget is not two.budget and one.hedges is not two.hedges
    assert one.hedges and two.hedges and (one.hedges.share, two.hedges.share) == (0.1, 0.3)


def test_a_job_keeps_its_hedge_or_has_none_as_it_began() -> None:
    b = bench(hedge=Hedge(after_s=0.3, most=1.0))
    hedged, _ = b.ask()
    b.renew(Routes([Route("safe", "safe")]))
    plain, _ = b.ask()
    b.run_until(101.0)
    assert [len(b.sends(name)) for name in (hedged, plain)] == [1, 1]  # nothing counts copies now
    b.end(hedged, E.OK)
    b.renew(Routes([Route("safe", "safe", hedge=Hedge(after_s=0.3, most=1.0))]))
    hedged, _ = b.ask()
    b.renew(Routes([Route("safe", "safe", hedge=Hedge(percentile=90.0, most=1.0))]))
    for name in (hedged, plain):
        b.end(name, E.ERROR)
    b.run_until(102.0)
    assert [len(b.sends(name)) for name in (hedged, plain)] == [3, 2]


def test_a_class_whose_part_of_a_route_goes_leaves_its_places_to_the_others() -> None:
    b = queued()
    jobs = [b.ask(cls, route="all")[0] for cls in ("safe", "safe", "dear", "safe")]
    b.feed(api.ClientGone(jobs[1]))  # its attempt has not ended
    assert kinds(b, jobs[2]) == ["Send"] and not kinds(b, jobs[3])
    waiting, _ = b.ask("dear", route="all")
    b.renew(Routes([Route("all", "safe", concurrency=1, queue=Queue(2))]))
    assert kinds(b, waiting) == ["Send"] and not kinds(b, jobs[3])
    [scope] = b.g.scopes.values()
    assert scope.limiter is not None and (scope.limiter.open, len(scope.limiter.order)) == (1, 1)
    b.feed(api.Ended(jobs[1], 0, E.CANCELLED, True, 0.1))
    for n in (0, 3, 2):
        b.serve(jobs[n])
    b.serve(waiting)
    assert [len(b.sends(name)) for name in jobs] == [1, 1, 1, 1] and b.quiet()
