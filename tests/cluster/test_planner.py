"""Tests of planning passes: which models and adapters are loaded, and which are evicted for them."""

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
from tests.cluster.planning_scene import ENGINE, MODELS, plan, report_demand, worker


def test_a_model_with_queued_requests_replaces_an_idle_one() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m5", 1, queued=1)
    report_demand(tracker, "m0", 9)
    (action,) = plan(tracker, worker("a", "m0", "m1", "m2"))
    assert (action.model, action.evictions) == ("m5", (Eviction("m2"),))


def test_a_first_replica_for_queued_requests_precedes_a_further_replica_of_a_busy_model() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m0", 100)
    report_demand(tracker, "m5", 1, queued=1)
    (action,) = plan(tracker, worker("a", "m1", "m2", "m3"), worker("b", "m0", busy=True))
    assert action.model == "m5"


def test_a_model_that_is_being_loaded_is_not_loaded_again() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m5", 1, queued=1)
    assert plan(tracker, worker("a", "m1"), worker("b", busy=True), loading={"m5": 1}) == []


def test_a_worker_that_has_the_model_on_its_disk_is_preferred() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m5", 1, queued=1)
    (action,) = plan(tracker, worker("a"), worker("b", disk=("m5",)))
    assert action.instance == "b"


def test_without_remaining_store_loads_models_are_loaded_only_from_local_disks() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m5", 1, queued=1)
    report_demand(tracker, "m6", 1, queued=1)
    actions = plan(tracker, worker("a"), worker("b", disk=("m6",)), loads=0)
    assert [(a.instance, a.model) for a in actions] == [("b", "m6")]


def test_an_adapter_is_loaded_at_a_worker_with_its_model_and_replaces_the_least_used_adapter() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m0", 5, adapter="a1")
    report_demand(tracker, "m0", 1, adapter="a3", queued=1)
    loaded = worker("a", "m0", "m1")
    loaded.loaded_models["m0"] = {"a1", "a2"}
    (action,) = plan(tracker, loaded, worker("b", "m2", busy=True))
    assert action == LoadAction("a", "m0", "a3", (Eviction("m0", "a2"),))


def test_idle_workers_prefetch_models_that_are_on_no_disk() -> None:
    actions = plan(DemandTracker(), worker("a", "m0", "m1", "m2"))
    assert [(a.model, a.evictions) for a in actions] == [("m3", (Eviction("m2"),))]


@given(
    loaded=st.lists(
        st.lists(st.sampled_from(sorted(MODELS)), max_size=3, unique=True), min_size=1, max_size=5
    ),
    rates=st.dictionaries(st.sampled_from(sorted(MODELS)), st.tuples(st.integers(0, 50), st.integers(0, 3))),
    loads=st.integers(0, 5),
)
def test_no_plan_exceeds_a_workers_memory_or_the_remaining_store_loads(
    loaded: list[list[str]], rates: dict[str, tuple[int, int]], loads: int
) -> None:
    tracker = DemandTracker()
    for model, (requests, queued) in rates.items():
        report_demand(tracker, model, requests, queued=queued)
    workers = [worker(f"w{n}", *models) for n, models in enumerate(loaded)]
    actions = plan(tracker, *workers, loads=loads)
    by_name = {w.instance: w for w in workers}
    assert len({a.instance for a in actions}) == len(actions)
    assert sum(a.model not in by_name[a.instance].models_on_disk for a in actions) <= loads
    for action in actions:
        models = {m: set(a) for m, a in by_name[action.instance].loaded_models.items()}
        for evicted_model in (eviction.model for eviction in action.evictions):
            del models[evicted_model]
        assert action.model not in models
        assert used_mb(ENGINE, {**models, action.model: set()}) <= ENGINE.weights_mb


def test_further_replicas_of_the_busiest_model_do_not_displace_the_first_replicas_of_others() -> None:
    """Plans for 40 workers, one model with half of all requests and 60 others with the rest."""
    tracker = DemandTracker()
    names = ["m0", *(f"r{n}" for n in range(60))]
    models = {name: Model(name, 70.0, 4.0, 0, 1.0) for name in names}
    engine = Engine(64, 120_000, 220.0, 8, 40.0, models)
    for now in (0.0, 4.0, 8.0):
        demands = [Demand("llm", "m0", "", 240, 0, 60, 0)]
        demands += [Demand("llm", name, "", 4, 0, 1, 0) for name in names[1:]]
        tracker.add_report(now, DemandReport("e", 4.0, tuple(demands)))
    workers = [PlannerWorker(f"w{n}", "llm", f"w{n}:1", "z", False, False) for n in range(40)]
    for _ in range(400):
        actions = PlanningPass(
            PlanningInput("llm", engine, workers, tracker, 99, 99, 0.25), {}
        ).plan_actions()
        for action in actions:
            state = next(w for w in workers if w.instance == action.instance)
            for evicted_model in (eviction.model for eviction in action.evictions):
                del state.loaded_models[evicted_model]
            state.loaded_models[action.model] = set()
        if not actions:
            break
    replicas = Counter(model for w in workers for model in w.loaded_models)
    assert all(replicas[name] >= 1 for name in names)
    assert 10 <= replicas["m0"] <= 40


def test_a_loading_replica_does_not_allow_the_eviction_of_the_only_loaded_one() -> None:
    """The only replica of m0, the busiest model, is kept until another replica of it is loaded."""
    tracker = DemandTracker()
    for model, requests in (("m0", 20), ("m6", 8), ("m7", 8)):
        report_demand(tracker, model, requests)
    report_demand(tracker, "m5", 1, queued=1)
    full, other = worker("a", "m0", "m6", "m7"), worker("b", busy=True)
    assert plan(tracker, full, other, loading={"m0": 1}) == []
    (action,) = plan(tracker, full, worker("b", "m0", busy=True))
    assert (action.model, action.evictions) == ("m5", (Eviction("m0"),))
