"""State of the workers that every control process records, because it may become the placer."""

from attrs import define, field

from finchladder.cluster.placement.announced_loads import AnnouncedLoadLog
from finchladder.cluster.placement.disk_inventory import DiskInventory
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.transport.peers import steady


@define
class FleetObserver:
    """Records the models on the workers' disks, and the loads that placement records announce."""

    updates: UpdateServer
    load_window_s: float
    disks: DiskInventory = field(factory=DiskInventory)
    announced_loads: AnnouncedLoadLog = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the log with its window."""
        self.announced_loads = AnnouncedLoadLog(self.load_window_s)

    def record_disks(self) -> None:
        """Records the models that workers report as loaded, which are on their disks, too. O(workers)."""
        for record in self.updates.tables.live_workers():
            models = (loaded.model for loaded in record.loaded_models)
            self.disks.record_models(record.instance, record.address, models)

    def record_loads(self) -> None:
        """Records the loads that placement records announce. O(placement records)."""
        now = steady()
        placements = self.updates.tables.placements.values()
        self.announced_loads.record(now, (placement.record for placement in placements))
        self.announced_loads.expire(now)
