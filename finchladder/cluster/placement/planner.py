"""Plans which models and adapters the idle workers of a service load next; without I/O and clock."""

from collections.abc import Mapping

from finchladder.cluster.placement.actions import LoadAction
from finchladder.cluster.placement.adapter_planner import AdapterPlanner
from finchladder.cluster.placement.eviction_planner import EvictionPlanner
from finchladder.cluster.placement.planning_input import PlanningInput
from finchladder.cluster.placement.planning_state import PlanningState
from finchladder.cluster.placement.prefetch_planner import PrefetchPlanner
from finchladder.cluster.placement.replica_planner import ReplicaPlanner


class PlanningPass:
    """One planning pass over a service, with at most one action for each idle worker."""

    def __init__(self, inputs: PlanningInput, loading_replicas: Mapping[str, int]) -> None:
        """Prepares the pass; `loading_replicas` counts the replicas that are being loaded, by model."""
        self.state = PlanningState(inputs, loading_replicas)
        eviction_planner = EvictionPlanner(self.state)
        self.adapter_planner = AdapterPlanner(self.state)
        self.replica_planner = ReplicaPlanner(self.state, eviction_planner)
        self.prefetch_planner = PrefetchPlanner(self.state, eviction_planner)

    def plan_actions(self) -> list[LoadAction]:
        """Plans loads of adapters, which are short, then of models by urgency.

        Prefetches are planned only if there is no other action and no request is queued.
        """
        planned = self.adapter_planner.plan_actions()
        planned += self.replica_planner.plan_actions()
        if not planned and not self.state.has_queued_requests:
            planned += self.prefetch_planner.plan_actions()
        return planned
