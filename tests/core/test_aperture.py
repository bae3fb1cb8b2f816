"""Aperture subsets are balanced and stable; zone spillover does not flap."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from finchladder.core.dispatch.zone_spillover import (
    TRANSITIONS,
    SpilloverEvent,
    SpilloverSettings,
    SpilloverState,
    ZoneLoad,
    ZoneSpillover,
)
from finchladder.core.membership.aperture import (
    Aperture,
    ApertureSettings,
    ring_position,
    ring_window,
    subset_width,
)

SETTINGS = ApertureSettings(server_connections=240, connections_each=24)  # a worker serves ten dispatchers
HOME = ("a", "m")
ROUND = (SpilloverState.SPILLING, SpilloverState.RETURNING, SpilloverState.HOME)


def subsets(names: list[str], dispatchers: int) -> list[set[str]]:
    ring = sorted(ring_position(n) for n in names)
    width = subset_width(len(ring), dispatchers, SETTINGS)
    return [set(ring_window(ring, i, dispatchers, width)) for i in range(dispatchers)]


@settings(derandomize=True)
@given(st.integers(1, 400), st.integers(1, 150))
def test_workers_are_in_almost_equal_numbers_of_subsets(n: int, dispatchers: int) -> None:
    names = [f"s-{i}" for i in range(n)]
    found = subsets(names, dispatchers)
    count = Counter(name for subset in found for name in subset)
    appearances = [count[name] for name in names]
    assert max(appearances) - min(appearances) <= 1
    if subset_width(n, dispatchers, SETTINGS) > SETTINGS.least:
        assert max(appearances) <= max(10, dispatchers if dispatchers <= 10 else 0)
    assert all(len(subset) >= min(SETTINGS.least, n) for subset in found)


@settings(max_examples=50, derandomize=True)
@given(st.integers(100, 400), st.integers(11, 120), st.integers(0, 10**6))
def test_join_or_leave_changes_at_most_two_workers_of_each_subset(n: int, dispatchers: int, new: int) -> None:
    names = [f"s-{i}" for i in range(n)]
    joined = subsets([*names, f"new-{new}"], dispatchers)
    for before, after in zip(subsets(names, dispatchers), joined, strict=True):
        assert len(before - after) <= 2
        assert len(after - before) <= 2


@pytest.mark.parametrize(("n", "dispatchers"), [(1000, 50), (10_000, 200)])
def test_additional_dispatcher_changes_a_tenth_of_a_subset(n: int, dispatchers: int) -> None:
    names = [f"s-{i}" for i in range(n)]
    before, after = subsets(names, dispatchers), subsets(names, dispatchers + 1)
    moved = [len(b - a) / len(b) for b, a in zip(before, after[:-1], strict=True)]
    assert max(moved) <= 0.13
    assert sum(moved) / len(moved) <= 0.08


@settings(max_examples=30, derandomize=True, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 39))
def test_incremental_changes_equal_full_list(seed: int, index: int) -> None:
    random, aperture, listed = Random(seed), Aperture(index, 40, SETTINGS), dict[str, tuple[str, str]]()
    inside: set[str] = set()
    for _ in range(60):
        stratum, name = random.choice([HOME, ("b", "m")]), f"s-{random.randrange(90)}"
        if random.random() < 0.3:
            listed.pop(name, None)
            change = aperture.apply_changes([], [name])
        elif random.random() < 0.1:
            listed |= {f"s-{i}": stratum for i in range(0, 90, random.choice((2, 5)))}
            change = aperture.replace(listed.items())
        else:
            listed[name] = stratum
            change = aperture.apply_changes([(name, stratum)])
        assert change.removed <= inside
        assert not change.added & inside
        inside = inside - change.removed | change.added
    whole = Aperture(index, 40, SETTINGS)
    whole.replace(listed.items())
    assert inside == {n for n in listed if n in whole} == {n for n in listed if n in aperture}


@pytest.mark.parametrize(("index", "dispatchers"), [(None, None), (None, 40), (3, None), (3, 10)])
def test_unknown_or_few_dispatchers_use_all_workers(index: int | None, dispatchers: int | None) -> None:
    aperture = Aperture(index, dispatchers, SETTINGS)
    assert len(aperture.apply_changes([(f"s-{i}", HOME) for i in range(50)]).added) == 50


def test_index_beyond_number_of_dispatchers_is_rejected() -> None:
    with pytest.raises(ValueError, match="none of 40"):
        Aperture(40, 40, SETTINGS)


def walk(
    demand_of: list[float], other_free: list[float]
) -> tuple[ZoneSpillover, list[tuple[float, SpilloverState]]]:
    """Observes a home zone of 100 slots every 0.1 s; spilled load frees its slots."""
    spill, seen, now = ZoneSpillover(SpilloverSettings()), [(0.0, SpilloverState.HOME)], 0.0
    for demand, free in zip(demand_of, other_free, strict=True):
        away = demand * spill.spilled_fraction if spill.target else 0.0
        spill.observe(now, ZoneLoad(100, max(0.0, 100 - (demand - away))), {"b": ZoneLoad(100, free)}, away)
        if spill.state is not seen[-1][1]:
            seen.append((now, spill.state))
        now += 0.1
    return spill, seen


@pytest.mark.parametrize(
    ("demand", "free", "states", "part"),
    [
        ([60.0] * 600, 50.0, [SpilloverState.HOME], (0, 0)),
        ([130.0] * 600, 90.0, [SpilloverState.HOME, SpilloverState.SPILLING], (0.2, 0.45)),
        (
            [130.0] * 300 + [105.0] * 300,
            90.0,
            [SpilloverState.HOME, SpilloverState.SPILLING],
            (0.05, 0.26),
        ),  # as much as necessary
        (
            [130.0] * 300 + [85.0] * 300,
            90.0,
            [SpilloverState.HOME, SpilloverState.SPILLING],
            (0, 0.1),
        ),  # home nearly full
        ([130.0] * 600, 10.0, [SpilloverState.HOME], (0, 0)),  # the other zone has no capacity either
        (
            [*([60.0] * 20 + [130.0] * 4) * 25],
            90.0,
            [SpilloverState.HOME],
            (0, 0),
        ),  # bursts shorter than full_s
        ([130.0] * 300 + [60.0] * 300, 90.0, [SpilloverState.HOME, *ROUND], (0, 0)),
    ],
)
def test_zone_spills_and_returns(
    demand: list[float], free: float, states: list[SpilloverState], part: tuple[float, float]
) -> None:
    spill, seen = walk(demand, [free] * len(demand))
    assert [s for _, s in seen] == states
    assert part[0] <= spill.spilled_fraction <= part[1]
    sent = [spill.next_zone() for _ in range(1000)]
    assert sent.count("b") == pytest.approx(1000 * spill.spilled_fraction, abs=1)


@pytest.mark.parametrize("step", [1.0, 5.0, 20.0])
@pytest.mark.parametrize("other_step", [0.0, 20.0])
def test_random_walks_do_not_cause_flapping(step: float, other_step: float) -> None:
    """Ten walks of five minutes around the thresholds; in half of them the other zone varies too."""
    for seed in range(10):
        random, demand, free, demands, frees = Random(seed), 95.0, 30.0, [], []
        for _ in range(3000):
            demand = min(150.0, max(60.0, demand + random.uniform(-step, step)))
            free = min(100.0, max(0.0, free + random.uniform(-other_step, other_step)))
            demands.append(demand)
            frees.append(free)
        _, seen = walk(demands, frees)
        begun = [t for t, s in seen if s is SpilloverState.SPILLING]
        soon = sum(b - a < 4 for a, b in zip(begun, begun[1:], strict=False))
        assert (len(begun), soon) <= ((6, 0) if other_step == 0 else (32, 3))
        assert soon <= 3


def test_rejections_mark_zone_full_and_full_zone_receives_nothing() -> None:
    spill, others = ZoneSpillover(SpilloverSettings()), {"b": ZoneLoad(100, 50), "c": ZoneLoad(100, 80)}
    for i in range(7):
        spill.observe(i / 10, ZoneLoad(100, 50, sent=20, rejected=3), others)
    assert spill.state is SpilloverState.SPILLING
    assert spill.target == "c"
    spill.observe(0.8, ZoneLoad(100, 50, 20, 3), others | {"c": ZoneLoad(100, 60, sent=20, rejected=5)}, 10)
    assert spill.target == "c" or spill.target == "b"
    spill.observe(0.9, ZoneLoad(100, 50, 20, 3), {"b": ZoneLoad(100, 2), "c": ZoneLoad(100, 60, 20, 5)}, 10)
    assert spill.next_zone() != "b"


def test_transition_table_covers_all_spillover_states_and_events() -> None:
    assert {s for s, _ in TRANSITIONS} == set(SpilloverState)
    assert {s for _, s in TRANSITIONS} == set(SpilloverEvent)
    with pytest.raises(ValueError, match="full_at"):
        SpilloverSettings(full_at=0.3, back_at=0.2)
