"""Updates a dispatcher's pools from the worker and placement records that it pulls."""

from attrs import define, field

from finchladder.cluster.routing.pools import ExpectedReplica, PoolKey, Pools, pool_member
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady


@define
class PoolUpdater:
    """Builds pools from the replicated tables. `expected_replicas`: keyed by worker instance."""

    tables: ReplicatedTables
    expected_replicas: dict[str, ExpectedReplica] = field(factory=dict)

    def updated_pools(self, pools: Pools, changed_instances: list[str]) -> Pools:
        """Returns the pools after the records of these workers changed. O(changed instances + pool keys)."""
        self._update_expected_replicas(changed_instances)
        changes = {}
        for instance in changed_instances:
            worker = self.tables.workers.get(instance)
            placement = self.tables.placements.get(instance)
            changes[instance] = pool_member(
                None if worker is None else worker.record,
                None if placement is None else placement.record,
                pools.members.get(instance),
            )
        return pools.with_changes(changes, self.expected_replicas.values())

    def _update_expected_replicas(self, changed_instances: list[str]) -> None:
        """Converts the remaining time of each load to a time of the local clock."""
        now = steady()
        for instance in changed_instances:
            worker = self.tables.workers.get(instance)
            placement = self.tables.placements.get(instance)
            if placement is None or worker is None or placement.record.pending_load is None:
                self.expected_replicas.pop(instance, None)
                continue
            pending = placement.record.pending_load
            key = PoolKey(worker.record.service, pending.model, pending.adapter)
            self.expected_replicas[instance] = ExpectedReplica(key, now + pending.remaining_ms / 1000)
