"""Places for models that are asked for rarely: who gives way, and how many are kept for them."""

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
ENGINE = Engine(64, 1000, 150.0, 4, 2.1, MODELS)  # two models at each worker


class Fleet:
    """Workers with two places each, and what one dispatcher tells of them."""

    def __init__(self, **held: str) -> None:
        self.workers = {
            name: PlannerWorker(name, "llm", name, "z", False, False, {m: set() for m in models.split()})
            for name, models in held.items()
        }
        self.demands: dict[tuple[str, str], Demand] = {}
        self.uses: list[ModelUse] = []

    def asked(
        self, model: str, rate: float = 0.0, waiting: int = 0, running: int = 0, adapter: str = ""
    ) -> None:
        times = int(4 * rate)
        self.demands[model, adapter] = Demand("llm", model, adapter, times, waiting, running, 0)

    def used(self, name: str, model: str, requests: int) -> None:
        self.uses.append(ModelUse(name, model, requests))

    def plan(self, first_copies: float = 0.0) -> list[LoadAction]:
        tracker = DemandTracker()
        for at in (0.0, 4.0, 8.0):  # what runs is smoothed
            report = DemandReport("edge", 4.0, tuple(self.demands.values()), {}, tuple(self.uses))
            tracker.add_report(at, report)
        workers = list(self.workers.values())
        return PlanningPass(
            PlanningInput("llm", ENGINE, workers, tracker, 9, 9, 1.0, first_copies), {}
        ).actions()


def test_a_copy_whose_requests_would_be_waited_for_does_not_give_way() -> None:
    """One copy more or less of a busy model: the one that nobody uses at this moment goes."""
    fleet = Fleet(w1="m0 m1", w2="m0 m1", w3="m0 m1")
    for model in ("m0", "m1"):
        fleet.asked(model, rate=4.0, running=4)
    for name, model in (("w1", "m0"), ("w1", "m1"), ("w2", "m0"), ("w3", "m0"), ("w3", "m1")):
        fleet.used(name, model, 2)
    fleet.asked("m5", waiting=1)
    actions = [action for action in fleet.plan() if action.model == "m5"]
    assert [(a.instance, a.evictions) for a in actions] == [("w2", (Eviction("m1"),))]


def test_of_two_idle_models_the_one_that_still_runs_somewhere_stays() -> None:
    fleet = Fleet(w1="m3 m4")
    fleet.asked("m3", rate=0.25, running=1)
    fleet.used("w1", "m3", 1)
    fleet.asked("m4", rate=0.25)
    fleet.asked("m5", waiting=1)
    (action,) = fleet.plan()
    assert action.evictions == (Eviction("m4"),)


def test_an_adapter_in_use_does_not_give_way_to_another() -> None:
    fleet = Fleet(w1="m0")
    fleet.workers["w1"].loaded_models["m0"] = {"a1", "a2", "a3", "a4"}
    fleet.asked("m0", rate=4.0)
    fleet.asked("m0", rate=0.25, running=1, adapter="a1")
    for adapter in ("a2", "a3", "a4"):
        fleet.asked("m0", rate=1.0, adapter=adapter)
    fleet.asked("m0", waiting=1, adapter="a9")
    (action,) = [a for a in fleet.plan() if a.adapter]
    assert action.evictions == (Eviction("m0", "a2"),)


@pytest.mark.parametrize(("first_copies", "copied"), [(0.0, True), (0.2, True), (1.0, False), (5.0, False)])
def test_a_further_copy_leaves_places_to_first_copies(first_copies: float, copied: bool) -> None:
    """m3 and m4 are idle: two of six places, the share that may be kept. m0 is used at less than half."""
    fleet = Fleet(w1="m0 m1", w2="m0 m3", w3="m2 m4")
    fleet.asked("m0", rate=8.0, running=9)
    fleet.asked("m1", rate=4.0, running=2)
    fleet.asked("m2", rate=4.0, running=2)
    assert any(action.model == "m0" for action in fleet.plan(first_copies)) is copied


def test_a_model_whose_copies_are_all_busy_is_copied_all_the_same() -> None:
    fleet = Fleet(w1="m0 m1", w2="m0 m3", w3="m2 m4")
    fleet.asked("m0", rate=8.0, running=40)
    fleet.asked("m1", rate=4.0, running=2)
    fleet.asked("m2", rate=4.0, running=2)
    assert any(action.model == "m0" for action in fleet.plan(5.0))


def test_a_first_copy_needs_no_place_that_is_kept() -> None:
    fleet = Fleet(w1="m0 m1", w2="m0 m3", w3="m2 m4")
    fleet.asked("m5", waiting=1)
    assert [action.model for action in fleet.plan(5.0)] == ["m5"]


def test_a_single_request_for_what_is_nowhere_is_worth_more_than_a_copy_for_balance() -> None:
    fleet = Fleet(w1="m0 m1", w2="m0 m1", w3="m0 m1")
    fleet.asked("m0", rate=4.0, running=3)
    fleet.asked("m1", rate=4.0, running=3)
    fleet.asked("m5", waiting=1)
    assert "m5" in {action.model for action in fleet.plan()}


def test_the_places_kept_grow_with_what_first_copies_take_and_are_bounded() -> None:
    assert [reserved_model_slots(taken, 100) for taken in (0.0, 0.3, 1.0, 4.0, 9.0)] == [0, 1, 2, 6, 12]
    assert reserved_model_slots(50.0, 10) == 4


def test_first_copies_are_averaged_over_the_time_that_they_take_a_place() -> None:
    taken = ColdStartOccupancy()
    for number in range(100):
        taken.record_cold_start(number / 2, load_s=1.0)
    assert taken.occupied_slots(49.5) == pytest.approx(2 * (1.0 + FIRST_USE_S), rel=0.05)
    before = taken.occupied_slots(49.5)
    assert taken.occupied_slots(49.5 + OCCUPANCY_TIME_CONSTANT_S) == pytest.approx(before * exp(-1))


def test_uses_follow_each_dispatchers_last_report() -> None:
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
