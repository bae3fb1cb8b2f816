"""A whole fleet's decisions at a cold real server: never more than the rule allows, and work all the same."""

from random import Random

import pytest

from finchladder import Dispatcher, api
from finchladder.core.dispatch.dispatcher import SWEEP_TIMER
from finchladder.core.dispatch.worker_load import FETCH_COST_RUNS
from finchladder.core.health.slow_start import ALLOWANCE_SHARE, van_der_corput
from finchladder.core.membership.watch_backoff import SMALL_FLEET
from tests.helpers import entry, settings, workers

FLEET, WARM, RUN_S, JOBS_S = 200, 20, 0.1, 300.0  # jobs a second of all; each warm one is busy with 1.5
RULE = {
    "slow_start_initial_share": 0.3,
    "slow_start_s": 8.5,
    "overload_multiple": 3.0,
    "overload_window_s": 2.0,
}
CAPACITY = JOBS_S * RUN_S / WARM  # work a second that a warm one does here
BORN = 12.0  # seconds into the play, once all have learned what a warm one does

JOB = api.JobClass(
    "safe",
    api.Effect.SAFE,
    latency_target_s=0.3,
    deadline_s=10.0,
    late_value_share=0.2,
    run_time_allowance=2.0,
)
FULL, CALM = 4.0 / 5, 4.0  # live weights: four requests held a core, and none
Sends = list[tuple[float, float, Dispatcher]]  # when, the work it brings in seconds, and who sent it


class Play:
    """Dispatchers on one clock: jobs by a schedule drawn from a seed, an end RUN_S after each start."""

    def __init__(self, nodes: int, keys: int, refuses: bool) -> None:
        self.nodes, self.keys, self.refuses = nodes, keys, refuses
        self.random = Random(7)
        self.fleet = [self.made(i) for i in range(nodes)]
        self.cold: Sends = []
        self.ends: list[tuple[float, Dispatcher, str, int]] = []
        self.serial = 0

    def made(self, index: int, born: float = 0.0, now: float = 0.0) -> Dispatcher:
        rule = settings(index=index, dispatchers=self.nodes, weights_report_load=True, classes=(JOB,), **RULE)
        d = Dispatcher(rule, self.random.getrandbits(32))
        d.handle(now, api.WorkerList(api.ListKind.STALE, self.told(born)))
        return d

    def told(self, born: float) -> tuple[api.WorkerEntry, ...]:
        """Once there is a cold one, three in four others are full: the jobs at home there look elsewhere."""
        warm = [entry(w, weight=FULL if born and n % 4 else CALM) for n, w in enumerate(workers(WARM))]
        return (*warm, entry("cold", started_at=born, weight=CALM)) if born else tuple(warm)

    def feed(self, now: float, d: Dispatcher, event: api.Event) -> None:
        for a in d.handle(now, event):
            if isinstance(a, api.Send):
                job = d.jobs[a.request]
                n = len(job.attempts) - 1
                if a.worker == "cold":
                    self.cold.append((now, RUN_S * (1 + FETCH_COST_RUNS), d))
                    if self.refuses:
                        self.ends.append((now + 0.01, d, a.request, -1 - n))
                        continue
                self.feed(now, d, api.Started(a.request, n))
                self.ends.append((now + RUN_S, d, a.request, n))

    def until(self, start: float, end: float, rates: list[float]) -> None:
        """`rates`: what part of the jobs each dispatcher gets, in any unit."""
        now, step = start, 0.1
        while now < end:
            for _ in range(round(JOBS_S * step)):
                d = self.random.choices(self.fleet, rates)[0]
                self.serial += 1
                key = self.random.randrange(self.keys)
                self.feed(now, d, api.Request(f"r{self.serial}", "safe", 10.0, key=key))
            due, self.ends = [e for e in self.ends if e[0] <= now], [e for e in self.ends if e[0] > now]
            for _, d, name, n in due:
                ending = api.Ending.OK if n >= 0 else api.Ending.OVERLOADED
                self.feed(now, d, api.Ended(name, n if n >= 0 else -1 - n, ending, n >= 0, RUN_S))
            if round(now / step) % 5 == 0:
                for d in self.fleet:
                    self.feed(now, d, api.Timer(SWEEP_TIMER))
            now += step

    def joins(self, now: float) -> None:
        for d in self.fleet:
            self.feed(now, d, api.WorkerList(api.ListKind.PATCH, self.told(now)))


def worst(sends: Sends, born: float) -> float:
    """The most in any window, as a part of what the rule leaves to it."""
    parts = [0.0]
    for at, _, _ in sends:
        part = RULE["slow_start_initial_share"] + (1 - RULE["slow_start_initial_share"]) * min(
            1.0, (at - born) / RULE["slow_start_s"]
        )
        allowed = RULE["overload_multiple"] * part * CAPACITY * RULE["overload_window_s"]
        parts.append(sum(w for t, w, _ in sends if at <= t < at + RULE["overload_window_s"]) / allowed)
    return max(parts)


@pytest.mark.parametrize(
    ("skew", "keys", "refuses", "restarted"),
    [
        (1.0, 40, False, 0),
        (6.0, 100_000, False, 0),  # nearly every job fetches
        (6.0, 40, True, 0),  # what it turns away is work as well
        (6.0, 40, False, 140),  # who starts anew knows of nothing that was sent
    ],
)
def test_a_fleet_gives_a_cold_one_its_work_and_never_more(
    skew: float, keys: int, refuses: bool, restarted: int
) -> None:
    play = Play(FLEET, keys, refuses)
    rates = [skew if i < 40 else 1.0 for i in range(FLEET)]  # those of a zone stand together
    play.until(0.0, BORN, rates)
    play.joins(BORN)
    play.until(BORN, BORN + 2.0, rates)
    for i in range(restarted):
        play.fleet[i] = play.made(i, BORN, BORN + 2.0)
    play.until(BORN + 2.0, BORN + RULE["slow_start_s"], rates)
    assert worst(play.cold, BORN) <= 1.0
    assert len({id(d) for _, _, d in play.cold}) == len(play.cold)  # none has a second turn while it is cold
    share = (
        0.5 * RULE["slow_start_initial_share"] * CAPACITY * RULE["slow_start_s"]
    )  # half of what the coldest could do
    assert restarted or sum(w for _, w, _ in play.cold) >= share


def over(sends: Sends, born: float) -> float:
    """By how many requests of mean work the rule is passed, in the worst window: chance may give a few."""
    most = 0.0
    for at, _, _ in sends:
        part = RULE["slow_start_initial_share"] + (1 - RULE["slow_start_initial_share"]) * min(
            1.0, (at - born) / RULE["slow_start_s"]
        )
        n = RULE["overload_multiple"] * part * CAPACITY * RULE["overload_window_s"] / RUN_S
        got = sum(w for t, w, _ in sends if at <= t < at + RULE["overload_window_s"]) / RUN_S
        most = max(most, got - (n + 2 * n**0.5 + 2))
    return most


@pytest.mark.parametrize("nodes", [3, 8, 9, 20, 30])
@pytest.mark.parametrize("restarts", [(), (2.0,), (1.0, 2.0, 3.0, 4.0)])
def test_the_sum_of_some_dozen_processes_holds_also_over_restarts(
    nodes: int, restarts: tuple[float, ...]
) -> None:
    """All of them start anew each time, and know nothing of what was sent."""
    play = Play(nodes, 40, False)
    rates, now = [1.0] * nodes, BORN
    play.until(0.0, BORN, rates)
    play.joins(BORN)
    for after in restarts:
        play.until(now, BORN + after, rates)
        now = BORN + after
        play.fleet = [play.made(i, BORN, now) for i in range(nodes)]
    play.until(now, BORN + RULE["slow_start_s"], rates)
    assert over(play.cold, BORN) == 0.0
    assert restarts or play.cold


@pytest.mark.parametrize("first", [0, 37, 128])
@pytest.mark.parametrize("run", [8, 40])
def test_any_run_of_numbers_is_spread_evenly_over_a_job(first: int, run: int) -> None:
    places = sorted(van_der_corput(i) for i in range(first, first + run))
    gaps = [b - a for a, b in zip([places[-1] - 1, *places], places, strict=False)]
    assert max(gaps) <= 3 / run


@pytest.mark.parametrize(("dispatchers", "slow_gets"), [(8, 1.0), (9, 2 / 3)])
def test_among_many_a_cold_one_s_part_goes_by_its_size(dispatchers: int, slow_gets: float) -> None:
    rule = settings(dispatchers=dispatchers, weights_report_load=True, kinds=("fast", "slow"), **RULE)
    d = Dispatcher(rule, 1)
    sizes = {"fast": 4.0, "slow": 2.0}
    warm = [entry(f"{kind}{n}", kind=kind, weight=size) for kind, size in sizes.items() for n in range(4)]
    cold = [entry(f"cold-{kind}", kind=kind, weight=size, started_at=100.0) for kind, size in sizes.items()]
    d.handle(100.0, api.WorkerList(api.ListKind.FULL, (*warm, *cold)))
    d.estimates.warm_rate = 0.01
    d.handle(101.0, api.Request("r", "safe", 10.0))
    gained = {}
    for kind in sizes:
        w = d.workers[f"cold-{kind}"]
        w.slow_start_credit, w.credit_updated_at = -1.0, 101.0
        d.state.now = 102.0
        assert not d.rules.slow_start_allows(d.jobs["r"], w)
        gained[kind] = w.slow_start_credit + 1.0
    mean = (
        rule.overload_multiple
        * ALLOWANCE_SHARE
        * 0.01
        * (0.3 + 0.7 * (1.5 if dispatchers > SMALL_FLEET else 1.0) / 8.5)
    )
    assert gained["slow"] == pytest.approx(slow_gets * mean)
    assert gained["fast"] == pytest.approx((2 - slow_gets) * mean)
