"""Tests of evictions and reserved model slots for rarely used models."""

from math import exp

import pytest

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.capacity import reserved_model_slots
from finchladder.cluster.placement.cold_starts import (
    FIRST_USE_S,
    OCCUPANCY_TIME_CONSTANT_S,
    ColdStartOccupancy,
)
from finchladder.cluster.placement.demand import DemandTracker
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.types.messages import Demand, DemandReport, ModelUse

MODELS = {f"m{n}": Model(f"m{n}", 70.0, 0.8, 4, 1.0) for n in range(12)}
ENGINE = Engine(64, 1000, 150.0, 4, 2.1, MODELS)  # memory for two models at each worker


class Fleet:
    """Workers with two model slots each, and the reports of one dispatcher about them."""

    def __init__(self, **loaded: str) -> None:
        self.workers = {
            name: PlannerWorker(name, "llm", name, "z", False, False, {m: set() for m in models.split()})
            for name, models in loaded.items()
        }
        self.demands: dict[tuple[str, str], Demand] = {}
        self.uses: list[ModelUse] = []

    def add_demand(
        self, model: str, rate: float = 0.0, queued: int = 0, running: int = 0, adapter: str = ""
    ) -> None:
        requests = int(4 * rate)
        self.demands[model, adapter] = Demand("llm", model, adapter, requests, queued, running, 0)

    def add_use(self, name: str, model: str, requests: int) -> None:
        self.uses.append(ModelUse(name, model, requests))

    def plan(self, cold_start_slots: float = 0.0) -> list[LoadAction]:
        tracker = DemandTracker()
        for at in (0.0, 4.0, 8.0):  # several reports, because the number of running requests is smoothed
            report = DemandReport("edge", 4.0, tuple(self.demands.values()), {}, tuple(self.uses))
            tracker.add_report(at, report)
        workers = list(self.workers.values())
        return PlanningPass(
            PlanningInput("llm", ENGINE, workers, tracker, 9, 9, 1.0, cold_start_slots), {}
        ).plan_actions()


def test_a_replica_with_requests_in_flight_is_not_evicted() -> None:
    """The replica without requests in flight is evicted, since busy models have several replicas."""
    fleet = Fleet(w1="m0 m1", w2="m0 m1", w3="m0 m1")
    for model in ("m0", "m1"):
        fleet.add_demand(model, rate=4.0, running=4)
    for name, model in (("w1", "m0"), ("w1", "m1"), ("w2", "m0"), ("w3", "m0"), ("w3", "m1")):
        fleet.add_use(name, model, 2)
    fleet.add_demand("m5", queued=1)
    actions = [action for action in fleet.plan() if action.model == "m5"]
    assert [(a.instance, a.evictions) for a in actions] == [("w2", (Eviction("m1"),))]


def test_of_two_rarely_used_models_the_one_without_requests_in_flight_is_evicted() -> None:
    fleet = Fleet(w1="m3 m4")
    fleet.add_demand("m3", rate=0.25, running=1)
    fleet.add_use("w1", "m3", 1)
    fleet.add_demand("m4", rate=0.25)
    fleet.add_demand("m5", queued=1)
    (action,) = fleet.plan()
    assert action.evictions == (Eviction("m4"),)


def test_an_adapter_in_use_is_not_replaced() -> None:
    fleet = Fleet(w1="m0")
    fleet.workers["w1"].loaded_models["m0"] = {"a1", "a2", "a3", "a4"}
    fleet.add_demand("m0", rate=4.0)
    fleet.add_demand("m0", rate=0.25, running=1, adapter="a1")
    for adapter in ("a2", "a3", "a4"):
        fleet.add_demand("m0", rate=1.0, adapter=adapter)
    fleet.add_demand("m0", queued=1, adapter="a9")
    (action,) = [a for a in fleet.plan() if a.adapter]
    assert action.evictions == (Eviction("m0", "a2"),)


@pytest.mark.parametrize(
    ("cold_start_slots", "is_replicated"), [(0.0, True), (0.2, True), (1.0, False), (5.0, False)]
)
def test_a_further_replica_leaves_reserved_slots_free(cold_start_slots: float, is_replicated: bool) -> None:
    """m3 and m4 are idle in two of six slots, the maximum that is reserved; m0 is used at less than half."""
    fleet = Fleet(w1="m0 m1", w2="m0 m3", w3="m2 m4")
    fleet.add_demand("m0", rate=8.0, running=9)
    fleet.add_demand("m1", rate=4.0, running=2)
    fleet.add_demand("m2", rate=4.0, running=2)
    assert any(action.model == "m0" for action in fleet.plan(cold_start_slots)) is is_replicated


def test_an_overloaded_model_gets_a_reserved_slot_for_a_further_replica() -> None:
    fleet = Fleet(w1="m0 m1", w2="m0 m3", w3="m2 m4")
    fleet.add_demand("m0", rate=8.0, running=40)
    fleet.add_demand("m1", rate=4.0, running=2)
    fleet.add_demand("m2", rate=4.0, running=2)
    assert any(action.model == "m0" for action in fleet.plan(5.0))


def test_a_first_replica_may_use_a_reserved_slot() -> None:
    fleet = Fleet(w1="m0 m1", w2="m0 m3", w3="m2 m4")
    fleet.add_demand("m5", queued=1)
    assert [action.model for action in fleet.plan(5.0)] == ["m5"]


def test_a_queued_request_for_a_missing_model_precedes_a_further_replica() -> None:
    fleet = Fleet(w1="m0 m1", w2="m0 m1", w3="m0 m1")
    fleet.add_demand("m0", rate=4.0, running=3)
    fleet.add_demand("m1", rate=4.0, running=3)
    fleet.add_demand("m5", queued=1)
    assert "m5" in {action.model for action in fleet.plan()}


def test_reserved_slots_grow_with_the_slots_of_cold_starts_and_are_limited() -> None:
    assert [reserved_model_slots(occupied, 100) for occupied in (0.0, 0.3, 1.0, 4.0, 9.0)] == [0, 1, 2, 6, 12]
    assert reserved_model_slots(50.0, 10) == 4


def test_the_occupancy_is_the_average_number_of_slots_of_cold_starts() -> None:
    occupancy = ColdStartOccupancy()
    for number in range(100):
        occupancy.record_cold_start(number / 2, load_s=1.0)
    assert occupancy.occupied_slots(49.5) == pytest.approx(2 * (1.0 + FIRST_USE_S), rel=0.05)
    before = occupancy.occupied_slots(49.5)
    assert occupancy.occupied_slots(49.5 + OCCUPANCY_TIME_CONSTANT_S) == pytest.approx(before * exp(-1))


def test_replica_requests_are_summed_over_each_dispatchers_last_report() -> None:
    tracker = DemandTracker()
    tracker.add_report(
        0.0, DemandReport("one", 0.4, (), {}, (ModelUse("w1", "m0", 2), ModelUse("w2", "m0", 1)))
    )
    tracker.add_report(0.0, DemandReport("two", 0.4, (), {}, (ModelUse("w1", "m0", 3),)))
    assert (
        tracker.replica_requests("w1", "m0"),
        tracker.replica_requests("w2", "m0"),
        tracker.replica_requests("w1", "m1"),
    ) == (5, 1, 0)
    tracker.add_report(0.4, DemandReport("one", 0.4, (), {}, ()))
    assert (tracker.replica_requests("w1", "m0"), tracker.replica_requests("w2", "m0")) == (3, 0)
