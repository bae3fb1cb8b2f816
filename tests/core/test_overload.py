"""Overload control: what it turns away, when it begins and ends, and whole minutes of it in virtual time."""

from functools import cache

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.overload_curves import CLASSES, CONFIRM, VIEW, Costs, Load, Tally, play, ramp
from finchladder.core.lag import LagMeter
from finchladder.core.overload import STRATA, TICK_S, TRANSITIONS, Overload, OverloadSettings, Sign, State

ROOM = 100


def control(**changed: float) -> Overload[int]:
    return Overload(CLASSES, OverloadSettings(**changed), 1, ROOM)


def ticks(o: Overload[int], start: float, n: int, lag: float, cpu: float, age: float = 0.0) -> float:
    for i in range(n):
        o.tick(start + i * TICK_S, lag, cpu, age)
    return start + n * TICK_S


def shedding() -> tuple[Overload[int], float]:
    """At twice what it can do: views and confirms at a thousand a second each, a millisecond a job."""
    o, now = control(), 0.0
    for _ in range(2):
        for _ in range(100):
            o.judge(now, "view", 5.0)
            o.judge(now, "confirm", 7.5)
        now = ticks(o, now, 4, 0.05, 1.0)
    assert o.state is State.SHED
    return o, now


@pytest.mark.parametrize(
    ("lag", "age", "cpu", "n", "state"),
    [
        (0.0, 0.0, 0.07, 400, State.CALM),  # 70 jobs a second of 1 ms
        (0.0, 0.0, 1.0, 400, State.CALM),  # all CPU used, and nothing waits
        (0.5, 0.5, 0.5, 8, State.CALM),  # a pause of the machine, then a burst
        (0.05, 0.0, 1.0, 8, State.SHED),
        (0.0, 0.05, 1.0, 8, State.SHED),
        (0.05, 0.0, 0.5, 60, State.SHED),  # the CPU that it may use is not what it gets
    ],
)
def test_begins_only_with_a_standing_queue_and_a_used_up_cpu(
    lag: float, age: float, cpu: float, n: int, state: State
) -> None:
    o = control()
    ticks(o, 0.0, n, lag, cpu, age)
    assert o.state is state


def test_one_tick_without_delay_shows_that_no_queue_stands() -> None:
    o, now = control(), 0.0
    for _ in range(50):
        now = ticks(o, now, 3, 0.2, 1.0)
        now = ticks(o, now, 1, 0.0, 1.0)
    assert o.state is State.CALM


def test_every_sign_has_its_place_in_the_table() -> None:
    assert {state for state, _ in TRANSITIONS} == set(State)
    assert {sign for _, sign in TRANSITIONS} == set(Sign)


def test_sheds_views_before_confirms_and_late_ones_before_all_that_can_be_in_time() -> None:
    o, now = shedding()
    kept = {
        (c.name, late): sum(o.judge(now, c.name, c.deadline - late * 1.1 * c.aim) is None for _ in range(100))
        for c in CLASSES
        for late in (0, 1)
    }
    assert kept[VIEW.name, 1] == kept[CONFIRM.name, 1] == 0
    assert kept[VIEW.name, 0] < 20 < kept[CONFIRM.name, 0]


def test_a_job_whose_patience_ends_before_it_is_looked_at_is_turned_away() -> None:
    o, now = shedding()
    now = ticks(o, now, 40, 0.05, 1.0)  # nothing more comes, and the queue stays 0.05 s long
    assert o.state is State.SHED and o.judge(now, "confirm", 0.06) is None
    assert o.judge(now, "confirm", 0.04) is not None


def test_cpu_that_jobs_leave_over_works_off_what_waits_from_worse_times() -> None:
    o, now = shedding()
    busy = o.refusals.rate
    ticks(o, now, 12, 0.01, 0.5)  # nothing more comes; it is not calm yet
    assert busy < 1500 and o.refusals.rate == pytest.approx(0.25 / 5e-5)


def test_reads_the_best_newest_first_and_refuses_the_worst_oldest() -> None:
    o, now = shedding()
    for item, (job_class, left_s) in enumerate(
        [("view", 5.0), ("confirm", 7.5), ("view", 4.9), ("confirm", 7.4), ("confirm", 2.0), ("view", 1.0),
         ("view", 1.1), ("view", 3.0)]
    ):  # fmt: skip
        o.put(now, job_class, left_s, item)
    turns = [o.take(now + 0.05) for _ in range(8)]
    assert [(t.item, t.worst) for t in turns if t.worst] == [(5, True), (6, True), (4, True)]
    assert [t.item for t in turns if not t.worst] == [3, 1, 2, 0, 7]  # the last is late, and has time


def test_what_has_left_is_read_by_nobody_and_a_calm_control_reads_all() -> None:
    o, now = shedding()
    for item in range(ROOM):
        o.put(now, "view", None, item)
    assert o.full and o.gated
    o.drop("view", 7)
    o.drop("view", 7)  # again: no harm
    assert not o.full and o.unread.size == ROOM - 1
    o.state = State.CALM
    assert {o.take(now).item for _ in range(ROOM - 1)} == set(range(ROOM)) - {7}
    assert not o.gated and o.take(now).item is None


@settings(derandomize=True)
@given(st.integers(0, 2**32), st.integers(1, 10), st.floats(0, 2))
def test_the_refused_do_not_come_back_together(seed: int, rounds: int, at: float) -> None:
    o: Overload[int] = Overload(CLASSES, OverloadSettings(), seed, ROOM)
    waits = [o.refuse(0.0).retry_after_s for _ in range(rounds * STRATA)]
    assert min(waits) >= 0.5 and max(waits) <= 2.0
    assert sum(at <= w < at + 0.1 for w in waits) <= 0.094 * len(waits)


def test_clients_that_follow_no_advice_are_held_all_the_same() -> None:
    refusal = control(retry_after_s=0.0, hold_s=1.0).refuse(0.0)
    assert refusal.retry_after_s == 0 and 0.25 <= refusal.hold_s <= 1


@pytest.mark.parametrize("wrong", [{"target_s": 0.0}, {"refuse_share": 0.6}, {"calm_s": 2.0}])
def test_settings_out_of_bounds_are_refused(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=f"overload: {next(iter(wrong))}"):
        OverloadSettings(**wrong)


@cache
def overload(retry: str) -> Tally:
    return play("chosen", Load(ramp(4, 6.0), retry), seed=7)


@pytest.mark.parametrize("retry", ["none", "told", "at once"])
def test_at_four_times_the_load_goodput_stays_and_all_is_normal_within_two_seconds(retry: str) -> None:
    tally, job_s = overload(retry), Costs().job_s
    assert tally.mean(tally.jobs, 7, 11) * job_s >= 0.9
    assert tally.mean(tally.worth, 7, 11) * job_s >= 8  # of 10 if confirms took all CPU and refusals none
    assert tally.normal_at(11, 21) <= 2
    (_, begun), (until, ended) = tally.shed_s  # once each
    assert (begun, ended) == (State.SHED, State.CALM)
    assert until - 11 <= CONFIRM.deadline + 0.5  # when the last that asked then is served or gone


def test_without_control_the_same_load_takes_nearly_all_worth() -> None:
    tally = play("nothing", Load(ramp(4, 6.0)), seed=7)
    assert tally.mean(tally.worth, 7, 11) * Costs().job_s < 1 and tally.normal_at(11, 21) > 2


@pytest.mark.parametrize("clients", [256, 1024])
def test_closed_loop_goodput_is_near_the_peak_and_no_light_load_is_turned_away(clients: int) -> None:
    load = Load(((5, 1), (6, 1)), "told", clients)
    tally, peak = play("chosen", load, seed=7), play("nothing", load, seed=7)
    assert tally.mean(tally.jobs, 8, 11) >= 0.95 * peak.mean(peak.jobs, 8, 11)
    assert clients > 256 or not tally.refusals and not tally.shed_s


def test_lag_tells_a_stopped_process_from_a_busy_one_and_whose_lateness_it_was() -> None:
    meter = LagMeter(0.0, 0.0, 0.025)
    calm = meter.sample(0.025, 0.01)
    assert (calm.lag_s, calm.stopped) == (0, False) and calm.cpu_share == pytest.approx(0.4)
    busy, stopped = meter.sample(0.55, 0.535), meter.sample(2.575, 0.54)
    assert busy.lag_s == pytest.approx(0.5) and not busy.stopped
    assert stopped.lag_s == pytest.approx(2.0) and stopped.stopped
    assert meter.own_s(0.6, 2.575) == pytest.approx(1.975)  # no more than has gone by since
    assert meter.own_s(0.0, 2.7) == pytest.approx(2.6)  # and what is late at this moment
    assert meter.own_s(2.59, 2.6) == 0
    often = LagMeter(0.0, 0.0, 0.0)
    for i in range(3000):
        often.sample(i * 0.006, 0.0)
    assert len(often.late) == 512
    often.sample(100.0, 0.0)
    assert len(often.late) == 1
