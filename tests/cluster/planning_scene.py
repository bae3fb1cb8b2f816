"""Workers, demand and planning passes for tests of the placement package."""

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.actions import LoadAction
from finchladder.cluster.placement.demand import DemandTracker
from finchladder.cluster.placement.planner import PlanningPass
from finchladder.cluster.placement.planning_input import PlannerWorker, PlanningInput
from finchladder.cluster.types.messages import Demand, DemandReport

MODELS = {f"m{n}": Model(f"m{n}", 70.0, 5.0, 4, 1.0) for n in range(8)}
ENGINE = Engine(
    slots=64, kv_cache_tokens=1000, weights_mb=220.0, lora_slots=2, max_loads_per_s=2.0, models=MODELS
)


def worker(name: str, *models: str, busy: bool = False, disk: tuple[str, ...] = ()) -> PlannerWorker:
    loaded: dict[str, set[str]] = {model: set() for model in models}
    return PlannerWorker(name, "llm", name, "z", busy, False, loaded, frozenset((*models, *disk)))


def report_demand(
    tracker: DemandTracker, model: str, requests: int, *, adapter: str = "", queued: int = 0
) -> None:
    """Reports demand from one dispatcher per key, since a report replaces the sender's previous one."""
    demand = Demand("llm", model, adapter, requests, queued, 0, 0)
    tracker.add_report(0.0, DemandReport(f"edge {model} {adapter}", 1.0, (demand,)))


def plan(
    tracker: DemandTracker, *workers: PlannerWorker, loads: int = 9, loading: dict[str, int] | None = None
) -> list[LoadAction]:
    return PlanningPass(
        PlanningInput("llm", ENGINE, workers, tracker, loads, loads, 0.2), loading or {}
    ).plan_actions()
