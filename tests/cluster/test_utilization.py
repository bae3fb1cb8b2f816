"""How much engines read, what copies take off them, and what the planner makes of it."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.actions import LoadAction
from finchladder.cluster.placement.demand import DemandKey, DemandTracker
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.placement.utilization import ExpectedLoad, FleetUtilization, late_fraction
from finchladder.cluster.types.messages import Demand, DemandReport

S_PER_TOKEN = 0.00004  # 25 tokens a millisecond
MODELS = {f"m{n}": Model(f"m{n}", 70.0, 3.0, 0, 1.0) for n in range(9)}
ENGINE = Engine(64, 100_000, 150.0, 4, 5.0, MODELS)  # two models at a worker
ONE, TWO = ExpectedLoad(0.8, 10.0), ExpectedLoad(0.2, 4.0)


def test_the_later_the_more_is_to_be_read_without_a_step() -> None:
    shares = [late_fraction(n / 100) for n in range(300)]
    assert all(before < after for before, after in pairwise(shares))
    slopes = [100 * (after - before) for before, after in pairwise(shares)]
    assert all(before <= after + 1e-9 for before, after in pairwise(slopes)), "it grows ever faster"
    assert late_fraction(0.3) < 0.02
    assert late_fraction(1.0) == pytest.approx(0.4)


def test_a_models_reading_falls_evenly_on_its_copies_and_those_on_their_way_count() -> None:
    utilization = FleetUtilization({"w1": ["m0", "m1"], "w2": ["m0"], "w3": []}, {"m0": ONE, "m1": TWO})
    assert [utilization.utilization_of(w) for w in ("w1", "w2", "w3")] == pytest.approx([0.6, 0.4, 0.0])
    assert utilization.min_utilization("m0") == pytest.approx(0.4)
    utilization.add_replica("w3", "m0")
    assert utilization.utilization_of("w2") == pytest.approx(0.8 / 3)
    utilization.remove_replica("w3", "m0")
    assert utilization.utilization_of("w2") == pytest.approx(0.4)


def test_relief_counts_what_else_the_holders_read() -> None:
    alone = FleetUtilization({"w1": ["m0"]}, {"m0": ONE, "m1": TWO})
    shared = FleetUtilization({"w1": ["m0", "m1"]}, {"m0": ONE, "m1": TWO})
    assert shared.relief("m0") > alone.relief("m0") > 0
    assert alone.relief("m1") == 0.0, "the first copy relieves nobody"


def test_a_busy_worker_is_a_burden_to_a_copy() -> None:
    utilization = FleetUtilization(
        {"w1": ["m0"], "w2": ["m1"], "w3": []}, {"m0": ONE, "m1": ExpectedLoad(0.7, 9.0)}
    )
    assert utilization.burden("w2", "m0") > utilization.burden("w3", "m0") > 0


loads = st.builds(ExpectedLoad, st.floats(0, 3), st.floats(0, 40))
placements = st.lists(st.sets(st.sampled_from("abcd"), max_size=3), min_size=1, max_size=5)


@given(placements, st.fixed_dictionaries({model: loads for model in "abcd"}), st.sampled_from("abcd"))
def test_relief_and_burden_are_the_difference_that_a_copy_makes(
    held: list[set[str]], expected: dict[str, ExpectedLoad], model: str
) -> None:
    """The oracle sums the late requests of all workers before and after."""

    def late(at: list[set[str]]) -> float:
        total = 0.0
        for models in at:
            work = sum(expected[m].prefill_utilization / sum(m in other for other in at) for m in models)
            rate = sum(expected[m].request_rate / sum(m in other for other in at) for m in models)
            total += rate * late_fraction(work)
        return total

    utilization = FleetUtilization({str(n): models for n, models in enumerate(held)}, expected)
    copies = sum(model in models for models in held)
    for number, models in enumerate(held):
        if model in models:
            without = [m - {model} if n == number else m for n, m in enumerate(held)]
            loss = max(0.0, late(without) - late(held)) if copies > 1 else 0.0
            assert utilization.loss(str(number), model) == pytest.approx(loss, abs=1e-6)
        elif copies:
            more = [m | {model} if n == number else m for n, m in enumerate(held)]
            change = utilization.burden(str(number), model) - utilization.relief(model)
            assert change == pytest.approx(late(more) - late(held), abs=1e-6)


# --- in the plan


class Fleet:
    """Workers, and what was asked for in the last seconds, by one dispatcher."""

    def __init__(self, **held: str) -> None:
        self.tracker = DemandTracker()
        self.workers = [
            PlannerWorker(name, "llm", name, "z", False, False, {m: set() for m in models.split()})
            for name, models in held.items()
        ]

    def asked(self, until: float, **rates: float) -> None:
        """Requests a second of 2,000 tokens by model, up to then."""
        for number in range(int(until / 0.4)):
            demands = [
                Demand("llm", model, "", round(rate * 0.4 * 100) // 100 or 1, 0, 1, int(800 * rate))
                for model, rate in rates.items()
            ]
            report = DemandReport("edge", 0.4, tuple(demands), prefill_s_per_token={"llm": S_PER_TOKEN})
            self.tracker.add_report(0.4 * (number + 1), report)

    def plan(self) -> list[LoadAction]:
        return PlanningPass(
            PlanningInput("llm", ENGINE, self.workers, self.tracker, 9, 9, 0.25), {}
        ).actions()


def test_a_copy_comes_before_an_engine_is_full_and_goes_to_the_least_used_worker() -> None:
    fleet = Fleet(w1="m0 m1", w2="m2 m3", w3="m4 m5")
    fleet.asked(12.0, m0=9.0, m1=2.5, m2=5.0)
    (action,) = fleet.plan()
    assert (action.instance, action.model) == ("w3", "m0"), "0.92 of w1 is in use, 0.4 of w2"


def test_no_copy_of_what_engines_read_in_a_part_of_their_time() -> None:
    fleet = Fleet(w1="m0 m1", w2="m2 m3", w3="m4 m5")
    fleet.asked(12.0, m0=2.5, m1=1.25, m2=2.5)
    assert not [action for action in fleet.plan() if action.model in ("m0", "m1", "m2")]


def test_of_two_busy_models_at_one_worker_one_is_copied_elsewhere() -> None:
    fleet = Fleet(w1="m0 m1", w2="m2 m3")
    fleet.asked(12.0, m0=7.5, m1=7.5)
    (action,) = fleet.plan()
    assert action.instance == "w2"
    assert action.model in ("m0", "m1")


def test_demand_that_rises_is_expected_to_rise_on() -> None:
    fleet = Fleet(w1="m0")
    fleet.asked(8.0, m0=2.5)
    calm = fleet.tracker.expected(DemandKey("llm", "m0"))
    for number in range(3):
        demand = Demand("llm", "m0", "", 4, 0, 1, 8000)
        fleet.tracker.add_report(8.0 + 0.4 * (number + 1), DemandReport("edge", 0.4, (demand,)))
    risen = fleet.tracker.expected(DemandKey("llm", "m0"))
    assert risen.rate > 2 * calm.rate
    assert risen.tokens_per_s > 2 * calm.tokens_per_s
    assert risen.rate > fleet.tracker.rate(DemandKey("llm", "m0"))


def test_the_pace_is_the_median_of_what_dispatchers_tell() -> None:
    tracker = DemandTracker()
    assert tracker.prefill_s_per_token("llm") == 0.0
    for name, pace in (("one", 0.00004), ("two", 0.00005), ("three", 0.9)):
        tracker.add_report(1.0, DemandReport(name, 0.4, (), prefill_s_per_token={"llm": pace}))
    assert tracker.prefill_s_per_token("llm") == 0.00005
    assert tracker.prefill_s_per_token("other") == 0.0


def test_a_further_copy_takes_no_place_from_the_last_copy_of_another_model_for_little() -> None:
    """m4 and m5 are nowhere else, and m0 gains less by a copy than either may lose."""
    fleet = Fleet(w1="m0 m1", w2="m4 m5")
    fleet.asked(12.0, m0=3.5, m1=2.0)
    assert not [action for action in fleet.plan() if action.model == "m0"]
    spare = Fleet(w1="m0 m1", w2="m4 m5", w3="m4 m5")
    spare.asked(12.0, m0=3.5, m1=2.0)
    assert [action for action in spare.plan() if action.model == "m0"], "where another copy of m4 is left"
    pressed = Fleet(w1="m0 m1", w2="m4 m5")
    pressed.asked(12.0, m0=9.0, m1=2.5)
    assert [action for action in pressed.plan() if action.model == "m0"]
