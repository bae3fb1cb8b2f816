"""Tracks the models on the local disks of workers, which can be loaded without the weight store; without I/O.

A worker that restarts as a new incarnation at its address may have kept its disk or lost it. Until this is
known, its loads count as loads from the store. The first load of a model that its former incarnation had on
disk shows by its duration which is the case.
"""

from collections.abc import Iterable

from attrs import define, field

MAX_KNOWN_DISKS = 4096  # beyond this number, the oldest entry is removed
# A load is from the local disk if it takes less than this fraction of the expected time of a load from the
# store.
MAX_WARM_LOAD_FRACTION = 0.5


@define
class WorkerDisk:
    """Models on the disk of one worker incarnation.

    `unconfirmed_models`: models that the former incarnation had on its disk, until it is known whether the
    worker kept the disk.
    """

    address: str
    models: set[str] = field(factory=set)
    unconfirmed_models: set[str] = field(factory=set)


@define
class DiskInventory:
    """Disks of the workers that reported models."""

    by_instance: dict[str, WorkerDisk] = field(factory=dict)
    latest_instances: dict[str, str] = field(factory=dict)  # instance of the latest incarnation, by address

    def record_models(self, instance: str, address: str, models: Iterable[str]) -> None:
        """Records models that a worker has loaded, since a load stores the model on the worker's disk."""
        disk = self.by_instance.get(instance)
        if disk is None:
            disk = WorkerDisk(address, unconfirmed_models=self._take_predecessor_models(address))
            self.by_instance[instance] = disk
            self.latest_instances[address] = instance
            self._drop_oldest()
        disk.models.update(models)

    def _take_predecessor_models(self, address: str) -> set[str]:
        """Removes the previous incarnation at an address; returns the models that may be on its disk."""
        predecessor = self.by_instance.pop(self.latest_instances.get(address, ""), None)
        return set() if predecessor is None else predecessor.models | predecessor.unconfirmed_models

    def _drop_oldest(self) -> None:
        """Limits the inventory size; loads at a worker without an entry count as loads from the store."""
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
        """Whether a model is on a worker's disk if the worker kept the disk of its former incarnation."""
        disk = self.by_instance.get(instance)
        return disk is not None and model in disk.unconfirmed_models

    def record_load(self, instance: str, load_duration_s: float, store_load_s: float) -> bool:
        """Infers from the duration of a load of an unconfirmed model whether the worker kept its disk.

        Args:
            instance: Instance name of the worker.
            load_duration_s: Measured duration of the load.
            store_load_s: Expected duration of a load from the weight store.

        Returns:
            Whether the model was loaded from the worker's local disk.
        """
        disk = self.by_instance[instance]
        is_warm = load_duration_s < MAX_WARM_LOAD_FRACTION * store_load_s
        if is_warm:
            disk.models |= disk.unconfirmed_models
        disk.unconfirmed_models = set()
        return is_warm
