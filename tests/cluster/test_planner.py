"""Planning passes: which models and adapters are loaded, and what is evicted for them."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.actions import Eviction, LoadAction
from finchladder.cluster.placement.capacity import (
    used_mb,
)
from finchladder.cluster.placement.demand import DemandTracker
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.types.messages import Demand, DemandReport
from tests.cluster.planning_scene import ENGINE, MODELS, asked, plan, worker


def test_a_model_that_is_waited_for_is_loaded_in_place_of_an_idle_one() -> None:
    tracker = DemandTracker()
    asked(tracker, "m5", 1, waiting=1)
    asked(tracker, "m0", 9)
    (action,) = plan(tracker, worker("a", "m0", "m1", "m2"))
    assert (action.model, action.evictions) == ("m5", (Eviction("m2"),))


def test_what_is_waited_for_and_nowhere_comes_before_another_copy_of_the_busy() -> None:
    tracker = DemandTracker()
    asked(tracker, "m0", 100)
    asked(tracker, "m5", 1, waiting=1)
    (action,) = plan(tracker, worker("a", "m1", "m2", "m3"), worker("b", "m0", busy=True))
    assert action.model == "m5"


def test_what_is_on_its_way_is_not_ordered_again() -> None:
    tracker = DemandTracker()
    asked(tracker, "m5", 1, waiting=1)
    assert plan(tracker, worker("a", "m1"), worker("b", busy=True), loading={"m5": 1}) == []


def test_a_worker_that_has_the_model_on_its_disk_is_preferred() -> None:
    tracker = DemandTracker()
    asked(tracker, "m5", 1, waiting=1)
    (action,) = plan(tracker, worker("a"), worker("b", disk=("m5",)))
    assert action.instance == "b"


def test_without_loads_left_only_disks_of_workers_are_loaded_from() -> None:
    tracker = DemandTracker()
    asked(tracker, "m5", 1, waiting=1)
    asked(tracker, "m6", 1, waiting=1)
    actions = plan(tracker, worker("a"), worker("b", disk=("m6",)), loads=0)
    assert [(a.instance, a.model) for a in actions] == [("b", "m6")]


def test_an_adapter_goes_to_a_holder_of_its_model_and_the_idlest_gives_way() -> None:
    tracker = DemandTracker()
    asked(tracker, "m0", 5, adapter="a1")
    asked(tracker, "m0", 1, adapter="a3", waiting=1)
    holder = worker("a", "m0", "m1")
    holder.loaded_models["m0"] = {"a1", "a2"}
    (action,) = plan(tracker, holder, worker("b", "m2", busy=True))
    assert action == LoadAction("a", "m0", "a3", (Eviction("m0", "a2"),))


def test_workers_with_nothing_to_do_prepare_models_that_nobody_has_on_disk() -> None:
    actions = plan(DemandTracker(), worker("a", "m0", "m1", "m2"))
    assert [(a.model, a.evictions) for a in actions] == [("m3", (Eviction("m2"),))]


@given(
    held=st.lists(st.lists(st.sampled_from(sorted(MODELS)), max_size=3, unique=True), min_size=1, max_size=5),
    rates=st.dictionaries(st.sampled_from(sorted(MODELS)), st.tuples(st.integers(0, 50), st.integers(0, 3))),
    loads=st.integers(0, 5),
)
def test_no_plan_goes_over_a_workers_memory_or_the_loads_left(
    held: list[list[str]], rates: dict[str, tuple[int, int]], loads: int
) -> None:
    tracker = DemandTracker()
    for model, (times, waiting) in rates.items():
        asked(tracker, model, times, waiting=waiting)
    workers = [worker(f"w{n}", *models) for n, models in enumerate(held)]
    actions = plan(tracker, *workers, loads=loads)
    by_name = {w.instance: w for w in workers}
    assert len({a.instance for a in actions}) == len(actions)
    assert sum(a.model not in by_name[a.instance].models_on_disk for a in actions) <= loads
    for action in actions:
        models = {m: set(a) for m, a in by_name[action.instance].loaded_models.items()}
        for victim in (gone.model for gone in action.evictions):
            del models[victim]
        assert action.model not in models
        assert used_mb(ENGINE, {**models, action.model: set()}) <= ENGINE.weights_mb


def test_further_copies_of_the_busiest_model_do_not_crowd_out_the_first_copies_of_others() -> None:
    """40 workers, one model with half of all requests, 60 others that share the rest."""
    tracker = DemandTracker()
    names = ["m0", *(f"r{n}" for n in range(60))]
    models = {name: Model(name, 70.0, 4.0, 0, 1.0) for name in names}
    engine = Engine(64, 120_000, 220.0, 8, 40.0, models)
    for now in (0.0, 4.0, 8.0):
        told = [Demand("llm", "m0", "", 240, 0, 60, 0)]
        told += [Demand("llm", name, "", 4, 0, 1, 0) for name in names[1:]]
        tracker.add_report(now, DemandReport("e", 4.0, tuple(told)))
    workers = [PlannerWorker(f"w{n}", "llm", f"w{n}:1", "z", False, False) for n in range(40)]
    for _ in range(400):
        actions = PlanningPass(PlanningInput("llm", engine, workers, tracker, 99, 99, 0.25), {}).actions()
        for action in actions:
            state = next(w for w in workers if w.instance == action.instance)
            for victim in (gone.model for gone in action.evictions):
                del state.loaded_models[victim]
            state.loaded_models[action.model] = set()
        if not actions:
            break
    copies = Counter(model for w in workers for model in w.loaded_models)
    assert all(copies[name] >= 1 for name in names)
    assert 10 <= copies["m0"] <= 40


def test_a_copy_that_is_still_on_its_way_does_not_stand_in_for_one_that_goes() -> None:
    """The only copy of m0, the busiest, stays while another is being loaded; one that is there frees it."""
    tracker = DemandTracker()
    for model, times in (("m0", 20), ("m6", 8), ("m7", 8)):
        asked(tracker, model, times)
    asked(tracker, "m5", 1, waiting=1)
    full, other = worker("a", "m0", "m6", "m7"), worker("b", busy=True)
    assert plan(tracker, full, other, loading={"m0": 1}) == []
    (action,) = plan(tracker, full, worker("b", "m0", busy=True))
    assert (action.model, action.evictions) == ("m5", (Eviction("m0"),))
