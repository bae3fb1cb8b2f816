"""Which models workers have on their own disks, from which they load faster and without the store; no I/O.

A worker that returns at its address as a new instance may have kept its disk or not: until a load of a model
that the instance before it had shows which, such loads count as loads from the store.
"""

from collections.abc import Iterable

from attrs import define, field

MAX_KNOWN_DISKS = 4096  # of which something is known; who was seen first is forgotten first
MAX_WARM_LOAD_FRACTION = (
    0.5  # of the time of a load from the store: whoever needs less had it on its own disk
)


@define
class WorkerDisk:
    """Of one instance. `former`: what the instance before it at that address had, while that is open."""

    address: str
    models: set[str] = field(factory=set)
    unconfirmed_models: set[str] = field(factory=set)


@define
class DiskInventory:
    """Of all workers that were seen."""

    by_instance: dict[str, WorkerDisk] = field(factory=dict)
    latest_instances: dict[str, str] = field(factory=dict)  # instance by address

    def record_models(self, instance: str, address: str, models: Iterable[str]) -> None:
        """That instance holds these models, and keeps them on its disk from now on."""
        disk = self.by_instance.get(instance)
        if disk is None:
            disk = self.by_instance[instance] = WorkerDisk(
                address, unconfirmed_models=self._take_predecessor_models(address)
            )
            self.latest_instances[address] = instance
            self._drop_oldest()
        disk.models.update(models)

    def _take_predecessor_models(self, address: str) -> set[str]:
        before = self.by_instance.pop(self.latest_instances.get(address, ""), None)
        return set() if before is None else before.models | before.unconfirmed_models

    def _drop_oldest(self) -> None:
        """What is forgotten counts as not known: its models are loaded as from the store."""
        if len(self.by_instance) > MAX_KNOWN_DISKS:
            first = next(iter(self.by_instance))
            self.latest_instances.pop(self.by_instance.pop(first).address, None)

    def models_on(self, instance: str) -> frozenset[str]:
        """Models that are known to be on its disk."""
        disk = self.by_instance.get(instance)
        return frozenset() if disk is None else frozenset(disk.models)

    def has_model(self, instance: str, model: str) -> bool:
        """Whether it is known to have that model on its disk."""
        disk = self.by_instance.get(instance)
        return disk is not None and model in disk.models

    def may_have_model(self, instance: str, model: str) -> bool:
        """Whether it has that model on its disk if it has kept what the instance before it had."""
        disk = self.by_instance.get(instance)
        return disk is not None and model in disk.unconfirmed_models

    def record_load(self, instance: str, load_duration_s: float, store_load_s: float) -> bool:
        """A load of a model that it may have took so long; `store_s`: what it takes from the store. Returns
        whether the disk was kept.
        """
        disk = self.by_instance[instance]
        kept = load_duration_s < MAX_WARM_LOAD_FRACTION * store_load_s
        if kept:
            disk.models |= disk.unconfirmed_models
        disk.unconfirmed_models = set()
        return kept
