"""Which models workers have on their local disks, and so load without the weight store; no I/O.

A worker that returns at its address as a new incarnation may have kept its disk or lost it. Until a load of a
model that its predecessor had shows which, its loads count as loads from the store.
"""

from collections.abc import Iterable

from attrs import define, field

MAX_KNOWN_DISKS = 4096  # the first recorded is dropped first
MAX_WARM_LOAD_FRACTION = 0.5  # of the time of a load from the store; a quicker load was from the local disk


@define
class WorkerDisk:
    """Models on the disk of one worker incarnation.

    `unconfirmed_models`: what its predecessor at that address had, until it is known whether the disk is the
    same.
    """

    address: str
    models: set[str] = field(factory=set)
    unconfirmed_models: set[str] = field(factory=set)


@define
class DiskInventory:
    """Disks of all workers that were seen."""

    by_instance: dict[str, WorkerDisk] = field(factory=dict)
    latest_instances: dict[str, str] = field(factory=dict)  # by address

    def record_models(self, instance: str, address: str, models: Iterable[str]) -> None:
        """Records models that a worker has loaded, and so has on its disk from now on."""
        disk = self.by_instance.get(instance)
        if disk is None:
            disk = WorkerDisk(address, unconfirmed_models=self._take_predecessor_models(address))
            self.by_instance[instance] = disk
            self.latest_instances[address] = instance
            self._drop_oldest()
        disk.models.update(models)

    def _take_predecessor_models(self, address: str) -> set[str]:
        """Removes the disk of the last incarnation at that address and returns what may be on it."""
        predecessor = self.by_instance.pop(self.latest_instances.get(address, ""), None)
        return set() if predecessor is None else predecessor.models | predecessor.unconfirmed_models

    def _drop_oldest(self) -> None:
        """Keeps the inventory within its bound; models of a dropped disk count as loaded from the store."""
        if len(self.by_instance) > MAX_KNOWN_DISKS:
            oldest = next(iter(self.by_instance))
            self.latest_instances.pop(self.by_instance.pop(oldest).address, None)

    def models_on(self, instance: str) -> frozenset[str]:
        """Models that are known to be on a worker's disk."""
        disk = self.by_instance.get(instance)
        return frozenset() if disk is None else frozenset(disk.models)

    def has_model(self, instance: str, model: str) -> bool:
        """Whether a model is known to be on a worker's disk."""
        disk = self.by_instance.get(instance)
        return disk is not None and model in disk.models

    def may_have_model(self, instance: str, model: str) -> bool:
        """Whether a model is on a worker's disk if the disk is still its predecessor's."""
        disk = self.by_instance.get(instance)
        return disk is not None and model in disk.unconfirmed_models

    def record_load(self, instance: str, load_duration_s: float, store_load_s: float) -> bool:
        """Infers from the duration of a load of an unconfirmed model whether the disk is its predecessor's.

        Args:
            instance: The worker.
            load_duration_s: What the load took.
            store_load_s: What it takes from the weight store.

        Returns:
            Whether the model was loaded from the worker's own disk.
        """
        disk = self.by_instance[instance]
        is_warm = load_duration_s < MAX_WARM_LOAD_FRACTION * store_load_s
        if is_warm:
            disk.models |= disk.unconfirmed_models
        disk.unconfirmed_models = set()
        return is_warm
