"""What live weights change, and what they must leave as it is."""

from collections import Counter
from typing import Any

import pytest

from finchladder import api
from tests.helpers import Bench, entry, workers
from tests.test_mechanism import key_with_pair, pair_of

FULL = 4 / 4.5  # 3.5 requests held per core
CALM = 4.0


def told(b: Bench, weights: dict[str, float]) -> None:
    b.now += 1.0
    b.patch(*(entry(w, weight=weights.get(w, CALM)) for w in workers(8)))


@pytest.mark.parametrize(
    ("live", "full", "gets"),
    [
        (True, 0, 1),
        (True, 1, 0),
        (False, 0, 1),  # a tie goes to the second, whatever the weights
        (False, 1, 1),
    ],
)
def test_a_pair_s_full_worker_is_passed_over_where_weights_are_live(live: bool, full: int, gets: int) -> None:
    b = Bench(workers(8), weights_report_load=live)
    key = key_with_pair(b, 2)
    pair = pair_of(b, key)
    told(b, {pair[full]: FULL})
    assert b.ask(key=key)[1][0].worker == pair[gets]


@pytest.mark.parametrize(("loads", "gets"), [((1, 0), {1}), ((0, 1), {0}), ((0, 0), {0, 1})])
def test_lower_own_load_wins_and_alike_ones_are_drawn(loads: tuple[int, int], gets: set[int]) -> None:
    got = set()
    for seed in range(12):  # dispatchers that are told the same must not all choose the same
        b = Bench(workers(8), weights_report_load=True, seed=seed)
        pair = pair_of(b, key := key_with_pair(b, 2))
        told(b, {})
        for w, load in zip(pair, loads, strict=True):
            b.d.worker_index.add_load(b.d.workers[w], load)
        got.add(pair.index(b.ask(key=key)[1][0].worker))
    assert got == gets


def test_without_a_key_alike_ones_are_drawn_by_how_soon_each_would_finish() -> None:
    got: Counter[str] = Counter()
    for seed in range(300):
        b = Bench(workers(8), weights_report_load=True, seed=seed)
        told(b, {w: 4 / 2.25 for w in workers(8)[:4]})  # 1.5 runs in place of 1
        got[b.ask()[1][0].worker] += 1
    slower = sum(got[w] for w in workers(8)[:4])
    assert len(got) == 8
    assert 60 < slower < 125


@pytest.mark.parametrize(
    ("held", "waited", "taken"),
    [
        (1.0, 0.0, True),
        (2.5, 0.0, True),  # some 1.75 runs of a second to wait, of 2 that the aim leaves
        (3.5, 0.0, False),
        (2.5, 1.0, False),
    ],
)
def test_a_job_that_would_be_late_at_any_worker_waits_at_the_dispatcher(
    held: float, waited: float, taken: bool
) -> None:
    b = Bench(workers(8), weights_report_load=True)
    b.ask("unsafe")  # one that shows a full size, so that sizes are known
    told(b, {})
    told(b, {w: 4 / (1 + held) for w in workers(8)})
    job = b.d.classes["safe"]
    assert b.d.worker_load.finishes_in_time(b.d.workers["w1"], job, waited, 1.0, 0.0) is taken


@pytest.mark.parametrize(
    ("homes", "mean_run", "sent"),
    [
        ({"weight": FULL / 4}, 0.1, False),  # they will have room again, and keep what it needs
        ({"started_at": 100.5, "state": api.WorkerStatus.DRAINING}, 0.5, True),
        ({"started_at": 100.5}, 0.5, True),  # cold, and nothing may be sent there yet
        ({"started_at": 100.5}, 0.6, False),  # with a fetch of two mean runs its aim of 1.1 s would be over
    ],
)
def test_a_job_goes_to_a_stranger_only_if_no_home_may_have_it_and_a_fetch_leaves_it_in_time(
    homes: dict[str, Any], mean_run: float, sent: bool
) -> None:
    """All dispatchers' overflow would push out what the others' jobs need, until each job fetches."""
    b = Bench(workers(8), weights_report_load=True)
    told(b, {})
    key = key_with_pair(b, 2)
    own = [w.address for pair in b.d.worker_index.pools[None].pairs(key, 2) for w in pair]
    b.d.worker_load.common_run_times_s["safe"], b.d.estimates.mean_run_times_s = (
        0.1,
        dict.fromkeys(b.d.estimates.mean_run_times_s, mean_run),
    )
    b.patch(*(entry(w, **({"weight": CALM} | homes)) for w in own))
    strangers = {a.worker for a in b.ask(key=key)[1]} - set(own)
    assert bool(strangers) is sent
    assert bool(b.d.queues.by_class[0, "safe"]) is not sent


def test_a_fetch_does_not_make_a_job_s_own_time_longer() -> None:
    b = Bench(workers(1), weights_report_load=True)
    told(b, {})
    w, cls = b.d.workers["w1"], b.d.classes["safe"]
    for n in range(400):
        b.d.worker_load.record_run(w, cls, 3.0 if n % 3 == 0 else 0.5)
    assert 0.3 < b.d.worker_load.common_run_times_s["safe"] < 1.0


@pytest.mark.parametrize("weight", [0.0, -1.0])
def test_a_worker_of_a_new_kind_without_a_usable_weight_still_gets_jobs(weight: float) -> None:
    b = Bench(workers(1), weights_report_load=True)
    b.patch(entry("w0", weight=CALM))
    b.patch(entry("w0", kind="new", weight=weight))
    assert b.ask()[1][0].worker == "w0"
