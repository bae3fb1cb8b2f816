"""Arrivals and clients' habits at made-up times: counts and laws from fixed seeds."""

import os
import random
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from finchladder.lab import schedule
from finchladder.lab.experiment import Experiment, Fault, JobClass, Keys, Load, Phase, Retries
from finchladder.lab.models import rude
from finchladder.lab.models.clients import CLIENTS, GATEWAYS, Client, ClientModel, Wish, population
from finchladder.lab.records import End
from finchladder.lab.schedule import HOT, NO_KEY, ONCE, Schedule, Zipf, draw_faults, ids, key_text

CLASSES = [
    JobClass("view", share=0.7, work_s=0.3, work_sigma=0.8, slots=[0.5, 0.25, 0.0, 0.25]),
    JobClass("confirm", "fragile", share=0.3, work_s=0.1, work_law="exponential"),
]
FAULTS = [
    Fault("burst", count=2, within_s=(2.0, 20.0), for_s=(1.0, 3.0), size=(1.5, 3.0)),
    Fault("scan", at_s=5.0, for_s=5.0, size=0.5),
    Fault("hot_key", at_s=15.0, for_s=5.0, size=0.25),
]


def experiment(*phases: Phase, **more: Any) -> Experiment:
    more = {"job_class": CLASSES, "zones": ["a", "b"], **more}
    return Experiment("t", Load(list(phases), processes=2, rude=5.0, impatient=0.1), **more)


EVERYTHING = experiment(
    Phase("ramp", 10.0, 200.0, 600.0, keys=Keys(100_000_000, 1.0, 0.1, 0.05)),
    Phase("wave", 10.0, 400.0, law="wave", wave_s=5.0, keys=Keys(50, 0.0)),
    Phase("even", 5.0, 333.0, law="even", classes={"confirm": 1.0}),
    Phase("closed", 5.0, in_flight=5),
    fault=FAULTS,
)


def join(blocks: Iterable[schedule.Block]) -> schedule.Block:
    return schedule.Block(*(np.concatenate(columns) for columns in zip(*blocks, strict=True)))


def test_two_processes_make_the_same_bytes() -> None:
    code = (
        "import hashlib, itertools as i, msgspec\n"
        "from tests.lab.test_schedule import EVERYTHING as e, Schedule, draw_faults, ids, population, rude\n"
        "h = hashlib.sha256(msgspec.json.encode(draw_faults(e, 3)))\n"
        "for part in 0, 1:\n"
        "    s = Schedule(e, 3, part, 2)\n"
        "    for block in [*s.open(), *i.islice(s.closed(3), 3)]: h.update(block.tobytes())\n"
        "    h.update(repr([*s.rude(), *i.islice(ids(3, part), 99), *population(e, 3, part)]).encode())\n"
        "    for _, seed in s.rude(): h.update(repr(rude.draw(seed, ['a', 'b'])).encode())\n"
        "print(h.hexdigest())"
    )
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            cwd=Path(__file__).parents[2],
            stdout=subprocess.PIPE,
        )
        for seed in ("1", "2")
    ]
    digests = {process.communicate()[0] for process in processes}
    assert len(digests) == 1
    assert len(digests.pop()) == 65


def test_another_seed_or_part_makes_other_bytes() -> None:
    made = [
        join(Schedule(EVERYTHING, *which).open()).tobytes() for which in ((1, 0, 2), (2, 0, 2), (1, 1, 2))
    ]
    assert len(set(made)) == 3


@pytest.mark.parametrize("exponent", [0.0, 0.9, 1.0, 2.5])
def test_zipf_ranks_have_their_law(exponent: float) -> None:
    ranks = Zipf(20, exponent).draw(np.random.Generator(np.random.PCG64(1)), 200_000)
    law = np.arange(1, 21) ** -exponent
    counts = np.bincount(ranks, minlength=21)[1:]
    assert ranks.min() == 1
    assert ranks.max() == 20
    expected = 200_000 * law / law.sum()
    assert ((counts - expected) ** 2 / expected).sum() < 43.8  # chi squared, 19 degrees, 0.1 %


def test_a_hundred_million_keys_take_no_table() -> None:
    ranks = Zipf(100_000_000, 1.0).draw(np.random.Generator(np.random.PCG64(1)), 100_000)
    assert (ranks == 1).mean() == pytest.approx(1 / 18.998, rel=0.05)  # the harmonic number of 1e8
    assert 90_000_000 < ranks.max() <= 100_000_000


@pytest.mark.parametrize(
    ("phase", "expected"),
    [
        (Phase("p", 20.0, 500.0), [2500, 2500, 2500, 2500]),
        (Phase("p", 20.0, 0.0, 1000.0), [625, 1875, 3125, 4375]),
        (Phase("p", 20.0, 500.0, law="wave", wave_s=10.0, wave_depth=1.0), [4091.5, 908.5, 4091.5, 908.5]),
    ],
)
@pytest.mark.parametrize("burst", [1.0, 3.0])
def test_poisson_counts_follow_the_rate(phase: Phase, expected: list[float], burst: float) -> None:
    e = experiment(phase, fault=[Fault("burst", at_s=5.0, for_s=10.0, size=burst)])
    due = np.sort(np.concatenate([join(Schedule(e, 1, part, 2).open()).due for part in (0, 1)]))
    counts = np.histogram(due, bins=4, range=(0, 20))[0]
    for count, mean in zip(counts, np.array(expected) * [1, burst, burst, 1], strict=True):
        assert abs(count - mean) < 4 * mean**0.5
    if phase.law == "poisson" and not phase.to_rate and burst == 1:
        gaps = np.diff(due)
        assert gaps.std() / gaps.mean() == pytest.approx(1, abs=0.03)  # exponential gaps


def test_even_arrivals_are_dealt_out_to_the_parts() -> None:
    e = experiment(Phase("p", 10.0, 100.0, law="even"))
    parts = [join(Schedule(e, 1, part, 3).open()).due for part in range(3)]
    assert np.sort(np.concatenate(parts)) == pytest.approx((np.arange(1000) + 0.5) / 100)
    assert [len(part) for part in parts] == [334, 333, 333]


def test_jobs_follow_their_class_and_its_phase() -> None:
    blocks = join(Schedule(EVERYTHING, 1).open())
    early, even = blocks.due < 20, blocks.due >= 20
    assert (blocks.job_class[early] == 1).mean() == pytest.approx(0.3, abs=0.02)
    assert (blocks.job_class[even] == 1).all()
    assert even.sum() >= 1665
    for i, job_class in enumerate(CLASSES):
        assert blocks.work[blocks.job_class == i].mean() == pytest.approx(job_class.work_s, rel=0.05)
    slots = blocks.slots[blocks.job_class == 0]
    assert [(slots == n).mean() for n in (1, 2, 4, 8)] == pytest.approx([0.5, 0.25, 0, 0.25], abs=0.02)
    assert blocks.client.min() >= 0
    assert blocks.client.max() < CLIENTS


def test_keys_wanted_once_hot_ones_and_faults() -> None:
    parts = [join(Schedule(EVERYTHING, 1, part, 2).open()) for part in (0, 1)]
    due, key = (np.concatenate([getattr(part, name) for part in parts]) for name in ("due", "key"))
    once = key[key >= ONCE]
    assert len(set(once.tolist())) == len(once)

    def share(which: Any, low: float, high: float) -> float:
        return float(which[(due >= low) & (due < high)].mean())

    assert share(key >= ONCE, 0, 5) == pytest.approx(0.1, abs=0.02)
    assert share(key == HOT, 0, 5) == pytest.approx(0.05, abs=0.02)
    assert share(key >= ONCE, 5, 10) == pytest.approx(0.55, abs=0.03)
    hot = key[(due >= 15) & (due < 20) & (key >= HOT)]
    assert len(set(hot.tolist())) == 1
    assert hot[0] != HOT
    assert share(key >= HOT, 15, 20) == pytest.approx(0.25, abs=0.03)
    assert share(key == NO_KEY, 20, 25) == 1.0
    assert [key_text(k) for k in (NO_KEY, 0, 255, HOT + 1, ONCE + 16)] == ["", "k0", "kff", "hot1", "once10"]


def test_drawn_faults_stay_as_drawn() -> None:
    drawn = draw_faults(EVERYTHING, 1)
    assert [f.kind for f in drawn].count("burst") == 2
    assert drawn != draw_faults(EVERYTHING, 2)
    assert [f.at_s for f in drawn] == sorted(f.at_s or 0.0 for f in drawn)
    for fault in (f for f in drawn if f.kind == "burst"):
        assert fault.at_s is not None
        assert 2 <= fault.at_s <= 20
        assert fault.count == 1
        assert fault.within_s is None
        assert isinstance(fault.for_s, float)
        assert 1 <= fault.for_s <= 3
    assert draw_faults(experiment(fault=drawn), 99) == drawn


def test_a_trace_is_played_as_it_stands(tmp_path: Path) -> None:
    trace = tmp_path / "trace"
    trace.write_text("0 view 7\n0.1 confirm\n0.1 view 8\n3.5 view 9\n9 view 1\n")
    e = experiment(Phase("wait", 2.0), Phase("p", 5.0, law="trace", trace=str(trace)))
    parts = [join(Schedule(e, 1, part, 2).open()) for part in (0, 1)]
    assert [p.due.tolist() for p in parts] == [[2.0, 2.1], [2.1, 5.5]]
    assert [p.key.tolist() for p in parts] == [[7, 8], [NO_KEY, 9]]
    assert [p.job_class.tolist() for p in parts] == [[0, 0], [1, 0]]


@pytest.mark.parametrize("line", ["1 view 0", "x view", "5 nobody", "5", "5 view -2", "inf view", "nan view"])
def test_an_unusable_trace_names_its_line(tmp_path: Path, line: str) -> None:
    trace = tmp_path / "trace"
    trace.write_text(f"2 view 1\n{line}\n")
    with pytest.raises(ValueError, match="line 2"):
        Schedule(experiment(Phase("p", 9.0, law="trace", trace=str(trace))), 1).check()


def test_more_arrivals_than_memory_is_meant_for_are_refused() -> None:
    e = experiment(Phase("p", 1.0, 1e6), fault=[Fault("burst", at_s=0.0, for_s=1.0, size=5.0)])
    with pytest.raises(ValueError, match="phase p"):
        next(Schedule(e, 1).open())


def test_closed_loops_and_rude_clients_are_shared_out() -> None:
    parts = [Schedule(EVERYTHING, 1, part, 2) for part in (0, 1)]
    assert [s.in_flight(3) for s in parts] == [3, 2]
    times = [at for s in parts for at, _ in s.rude()]
    assert len(times) == pytest.approx(150, abs=50)
    assert max(times) < 30


def test_ids_are_the_runs_own() -> None:
    made = [next_id for part in (0, 1) for next_id, _ in zip(ids(5, part), range(50_000), strict=False)]
    assert {i[:2] for i in made} == {"00", "01"}  # whatever their seeds
    assert len(set(made)) == 100_000
    assert all(len(i) == 18 and i.isalnum() for i in made[:99])


def test_jobs_take_memory_where_their_class_does() -> None:
    classes = [JobClass("a", share=0.5), JobClass("b", share=0.5, memory=0.7, memory_sigma=0.4)]
    blocks = join(Schedule(experiment(Phase("p", 10.0, 800.0), job_class=classes), 1).open())
    mine = blocks.memory[blocks.job_class == 1]
    assert not blocks.memory[blocks.job_class == 0].any()
    assert mine.mean() == pytest.approx(0.7, rel=0.05)
    assert np.log(mine).std() == pytest.approx(0.4, rel=0.05)


def test_habits_of_a_population() -> None:
    e = experiment()
    e.load.retries.honour = 0.25
    clients = population(e, 1, 0)
    assert sum(c.honours for c in clients) == 1024
    assert sum(c.impatient for c in clients) == 410
    assert sum(c.zone == "a" for c in clients) == 2048
    assert {c.gateway for c in clients} == set(range(GATEWAYS))
    e.load.zone_shares = [0.25, 0.75]
    assert sum(c.zone == "a" for c in population(e, 1, 1)) == 1024


VIEW, FRAGILE = JobClass("view", deadline_s=5.0), JobClass("confirm", "fragile", deadline_s=5.0)
AFTER = Retries(wait_s=(0.1, 0.2), tries=4)
ONCE_MORE = Retries("at_once")


@pytest.mark.parametrize(
    ("retries", "job_class", "tries", "now", "ending", "wait"),
    [
        (AFTER, VIEW, 1, 1.0, ("answer", 200), None),
        (AFTER, VIEW, 1, 1.0, ("answer", 503), (0.1, 0.2)),
        (AFTER, VIEW, 2, 1.0, ("answer", 429), (0.2, 0.4)),
        (AFTER, VIEW, 3, 1.0, ("answer", 502), (0.4, 0.8)),
        (AFTER, VIEW, 4, 1.0, ("answer", 503), None),  # no tries left
        (AFTER, VIEW, 1, 1.0, ("answer", 404), None),  # the request is at fault
        (Retries(wait_s=0.3, doubles=False), VIEW, 2, 1.0, ("silent",), (0.3, 0.3)),
        (AFTER, VIEW, 1, 4.95, ("answer", 503), None),  # beyond the deadline
        (AFTER, VIEW, 1, 1.0, ("answer", 503, 2.0), (2.0, 2.0)),  # honours Retry-After
        (AFTER, VIEW, 1, 1.0, ("answer", 503, 4.5), None),  # which may be beyond the deadline
        (ONCE_MORE, VIEW, 1, 1.0, ("reset",), (0.0, 0.0)),
        (ONCE_MORE, VIEW, 1, 1.0, ("left",), None),
        (Retries("none"), VIEW, 1, 1.0, ("answer", 503), None),
        (ONCE_MORE, FRAGILE, 1, 1.0, ("answer", 503), (0.0, 0.0)),  # refused: it has not run
        (ONCE_MORE, FRAGILE, 1, 1.0, ("unconnected",), (0.0, 0.0)),
        (ONCE_MORE, FRAGILE, 1, 1.0, ("answer", 502), None),  # it may have
        (ONCE_MORE, FRAGILE, 1, 1.0, ("closed",), None),
        (ONCE_MORE, FRAGILE, 1, 1.0, ("silent",), None),
        (Retries("at_once", fragile_too=True), FRAGILE, 1, 1.0, ("closed",), (0.0, 0.0)),
        (Retries("at_once", after_failure=False), VIEW, 1, 1.0, ("closed",), None),
        (Retries("at_once", after_failure=False), VIEW, 1, 1.0, ("answer", 503), (0.0, 0.0)),
    ],
)
def test_what_a_client_does_after_an_ending(
    retries: Retries,
    job_class: JobClass,
    tries: int,
    now: float,
    ending: tuple[End, int, float],
    wait: tuple[float, float] | None,
) -> None:
    wish = Wish(job_class, Client("c", 0, "a", True, False), 0.0, tries)
    dues = [ClientModel(retries, random.Random(seed)).ended(wish, now, *ending) for seed in range(20)]
    if wait is None:
        assert dues == [None] * 20
    else:
        assert all(due is not None and now + wait[0] <= due <= now + wait[1] + 1e-9 for due in dues)
        assert (len(set(dues)) > 1) == (wait[0] < wait[1])  # jitter
    if len(ending) == 3:
        wish.client = wish.client._replace(honours=False)
        assert (ClientModel(retries, random.Random(1)).ended(wish, now, *ending) or 9) <= now + 0.2


@pytest.mark.parametrize(
    ("patience_s", "impatient", "now", "expected"),
    [
        (0.0, False, 0.0, (5.0, 5.0, False)),
        (0.0, False, 2.0, (3.0, 3.0, False)),
        (1.0, False, 2.0, (1.0, 1.0, False)),
        (1.0, False, 4.5, (0.5, 0.5, False)),
        (1.0, True, 0.0, (1.0, 0.1, False)),
        (0.0, False, 4.995, None),
    ],
)
def test_patience_is_taken_out_of_the_deadline(
    patience_s: float, impatient: bool, now: float, expected: tuple[float, float, bool] | None
) -> None:
    model = ClientModel(AFTER, random.Random(1))
    wish = Wish(
        JobClass("view", deadline_s=5.0, patience_s=patience_s), Client("c", 0, "a", True, impatient), 0.0
    )
    assert model.send(wish, now) == expected
    assert wish.tries == (expected is not None)
    again = model.send(wish, now)
    assert again is None or again.repeat


def test_rude_clients_are_bounded_and_judged() -> None:
    made = [rude.draw(seed, ["view"]) for seed in range(600)]
    assert {r.kind for r in made} == set(rude.KINDS)
    assert max(sum(len(s.data) for s in r.steps) for r in made) <= rude.MOST_BYTES
    for r in made:  # what might be run as a job can be told by its id
        data = b"".join(step.data for step in r.steps)
        assert (
            b"POST" not in data or b": rude" in data or r.kind in ("no_id", "slow_loris", "half_head", "nul")
        )
        assert rude.wrong(r, []) == ""
        assert rude.wrong(r, [502]) == "answered 502"
        assert rude.wrong(r, [min(r.statuses)] * (r.answers + 1))
        if b"/_health" not in data and r.kind != "long_target":
            assert rude.wrong(r, [200]) == "answered 200"
