"""Tests of expected prefill utilization, its change by replicas, and the resulting plans."""

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

S_PER_TOKEN = 0.00004  # 25 tokens per millisecond
MODELS = {f"m{n}": Model(f"m{n}", 70.0, 3.0, 0, 1.0) for n in range(9)}
ENGINE = Engine(64, 100_000, 150.0, 4, 5.0, MODELS)  # memory for two models at each worker
HIGH_LOAD, LOW_LOAD = ExpectedLoad(0.8, 10.0), ExpectedLoad(0.2, 4.0)


def test_the_late_fraction_increases_with_the_utilization_and_is_convex() -> None:
    fractions = [late_fraction(n / 100) for n in range(300)]
    assert all(before < after for before, after in pairwise(fractions))
    slopes = [100 * (after - before) for before, after in pairwise(fractions)]
    assert all(before <= after + 1e-9 for before, after in pairwise(slopes)), "the slope decreases"
    assert late_fraction(0.3) < 0.02
    assert late_fraction(1.0) == pytest.approx(0.4)


def test_a_models_load_is_divided_evenly_between_its_replicas_including_loading_ones() -> None:
    utilization = FleetUtilization(
        {"w1": ["m0", "m1"], "w2": ["m0"], "w3": []}, {"m0": HIGH_LOAD, "m1": LOW_LOAD}
    )
    assert [utilization.utilization_of(w) for w in ("w1", "w2", "w3")] == pytest.approx([0.6, 0.4, 0.0])
    assert utilization.min_utilization("m0") == pytest.approx(0.4)
    utilization.add_replica("w3", "m0")
    assert utilization.utilization_of("w2") == pytest.approx(0.8 / 3)
    utilization.remove_replica("w3", "m0")
    assert utilization.utilization_of("w2") == pytest.approx(0.4)


def test_a_replica_saves_more_late_requests_if_its_workers_serve_other_models() -> None:
    alone = FleetUtilization({"w1": ["m0"]}, {"m0": HIGH_LOAD, "m1": LOW_LOAD})
    shared = FleetUtilization({"w1": ["m0", "m1"]}, {"m0": HIGH_LOAD, "m1": LOW_LOAD})
    assert (
        shared.late_request_rate_saved_by_replica("m0") > alone.late_request_rate_saved_by_replica("m0") > 0
    )
    assert alone.late_request_rate_saved_by_replica("m1") == 0.0, "a first replica saves no late requests"


def test_a_replica_causes_more_late_requests_at_a_busy_worker() -> None:
    utilization = FleetUtilization(
        {"w1": ["m0"], "w2": ["m1"], "w3": []}, {"m0": HIGH_LOAD, "m1": ExpectedLoad(0.7, 9.0)}
    )
    assert (
        utilization.late_request_rate_added_by_replica("w2", "m0")
        > utilization.late_request_rate_added_by_replica("w3", "m0")
        > 0
    )


loads = st.builds(ExpectedLoad, st.floats(0, 3), st.floats(0, 40))
placements = st.lists(st.sets(st.sampled_from("abcd"), max_size=3), min_size=1, max_size=5)


@given(placements, st.fixed_dictionaries({model: loads for model in "abcd"}), st.sampled_from("abcd"))
def test_late_rate_changes_equal_the_difference_of_sums_over_all_workers(
    loaded: list[set[str]], expected: dict[str, ExpectedLoad], model: str
) -> None:
    """Compares each change with the late requests of all workers before and after it."""

    def late_rate(placement: list[set[str]]) -> float:
        total = 0.0
        for models in placement:
            work = sum(
                expected[m].prefill_utilization / sum(m in other for other in placement) for m in models
            )
            rate = sum(expected[m].request_rate / sum(m in other for other in placement) for m in models)
            total += rate * late_fraction(work)
        return total

    utilization = FleetUtilization({str(n): models for n, models in enumerate(loaded)}, expected)
    replicas = sum(model in models for models in loaded)
    for number, models in enumerate(loaded):
        if model in models:
            without = [m - {model} if n == number else m for n, m in enumerate(loaded)]
            loss = max(0.0, late_rate(without) - late_rate(loaded)) if replicas > 1 else 0.0
            assert utilization.late_request_rate_added_by_eviction(str(number), model) == pytest.approx(
                loss, abs=1e-6
            )
        elif replicas:
            more = [m | {model} if n == number else m for n, m in enumerate(loaded)]
            change = utilization.late_request_rate_added_by_replica(
                str(number), model
            ) - utilization.late_request_rate_saved_by_replica(model)
            assert change == pytest.approx(late_rate(more) - late_rate(loaded), abs=1e-6)


# --- plans


class Fleet:
    """Workers, and the recent demand at one dispatcher."""

    def __init__(self, **loaded: str) -> None:
        self.tracker = DemandTracker()
        self.workers = [
            PlannerWorker(name, "llm", name, "z", False, False, {m: set() for m in models.split()})
            for name, models in loaded.items()
        ]

    def add_demand(self, duration_s: float, **rates: float) -> None:
        """Reports requests with 2,000 tokens at a rate per second for each model, for the given duration."""
        for number in range(int(duration_s / 0.4)):
            demands = [
                Demand("llm", model, "", round(rate * 0.4 * 100) // 100 or 1, 0, 1, int(800 * rate))
                for model, rate in rates.items()
            ]
            report = DemandReport("edge", 0.4, tuple(demands), prefill_s_per_token={"llm": S_PER_TOKEN})
            self.tracker.add_report(0.4 * (number + 1), report)

    def plan(self) -> list[LoadAction]:
        return PlanningPass(
            PlanningInput("llm", ENGINE, self.workers, self.tracker, 9, 9, 0.25), {}
        ).plan_actions()


def test_a_replica_is_added_before_an_engine_is_overloaded_at_the_least_utilized_worker() -> None:
    fleet = Fleet(w1="m0 m1", w2="m2 m3", w3="m4 m5")
    fleet.add_demand(12.0, m0=9.0, m1=2.5, m2=5.0)
    (action,) = fleet.plan()
    assert (action.instance, action.model) == ("w3", "m0"), "the utilization of w1 is 0.92, that of w2 0.4"


def test_no_replica_is_added_at_low_utilization() -> None:
    fleet = Fleet(w1="m0 m1", w2="m2 m3", w3="m4 m5")
    fleet.add_demand(12.0, m0=2.5, m1=1.25, m2=2.5)
    assert not [action for action in fleet.plan() if action.model in ("m0", "m1", "m2")]


def test_one_of_two_busy_models_at_a_worker_gets_a_replica_at_another_worker() -> None:
    fleet = Fleet(w1="m0 m1", w2="m2 m3")
    fleet.add_demand(12.0, m0=7.5, m1=7.5)
    (action,) = fleet.plan()
    assert action.instance == "w2"
    assert action.model in ("m0", "m1")


def test_increasing_demand_is_expected_to_increase_further() -> None:
    fleet = Fleet(w1="m0")
    fleet.add_demand(8.0, m0=2.5)
    initial = fleet.tracker.expected(DemandKey("llm", "m0"))
    for number in range(3):
        demand = Demand("llm", "m0", "", 4, 0, 1, 8000)
        fleet.tracker.add_report(8.0 + 0.4 * (number + 1), DemandReport("edge", 0.4, (demand,)))
    increased = fleet.tracker.expected(DemandKey("llm", "m0"))
    assert increased.rate > 2 * initial.rate
    assert increased.tokens_per_s > 2 * initial.tokens_per_s
    assert increased.rate > fleet.tracker.rate(DemandKey("llm", "m0"))


def test_the_prefill_time_is_the_median_of_the_reports() -> None:
    tracker = DemandTracker()
    assert tracker.prefill_s_per_token("llm") == 0.0
    for name, s_per_token in (("one", 0.00004), ("two", 0.00005), ("three", 0.9)):
        tracker.add_report(1.0, DemandReport(name, 0.4, (), prefill_s_per_token={"llm": s_per_token}))
    assert tracker.prefill_s_per_token("llm") == 0.00005
    assert tracker.prefill_s_per_token("other") == 0.0


def test_a_further_replica_of_low_value_does_not_evict_the_last_replica_of_another_model() -> None:
    """m4 and m5 have no other replica, and a replica of m0 is worth less than their eviction costs."""
    fleet = Fleet(w1="m0 m1", w2="m4 m5")
    fleet.add_demand(12.0, m0=3.5, m1=2.0)
    assert not [action for action in fleet.plan() if action.model == "m0"]
    spare = Fleet(w1="m0 m1", w2="m4 m5", w3="m4 m5")
    spare.add_demand(12.0, m0=3.5, m1=2.0)
    assert [action for action in spare.plan() if action.model == "m0"], "another replica of m4 remains"
    overloaded = Fleet(w1="m0 m1", w2="m4 m5")
    overloaded.add_demand(12.0, m0=9.0, m1=2.5)
    assert [action for action in overloaded.plan() if action.model == "m0"]
