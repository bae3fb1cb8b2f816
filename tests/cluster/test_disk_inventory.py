"""Tests of the inventory of models on local disks of workers."""

from finchladder.cluster.placement.disk_inventory import MAX_KNOWN_DISKS, DiskInventory


def inventory_after_restart(load_duration_s: float) -> DiskInventory:
    """Restarts a worker as a new incarnation, which loads a model of its predecessor in the given time."""
    disks = DiskInventory()
    disks.record_models("i-1", "a:1", ["m0", "m1"])
    disks.record_models("i-2", "a:1", [])
    assert disks.models_on("i-2") == frozenset(), "the predecessor's models count before they are confirmed"
    assert disks.may_have_model("i-2", "m0")
    assert not disks.may_have_model("i-2", "m2")
    disks.record_models("i-2", "a:1", ["m0"])
    is_warm = disks.record_load("i-2", load_duration_s, store_load_s=5.0)
    assert is_warm == disks.has_model("i-2", "m1")
    assert not disks.may_have_model("i-2", "m1")
    return disks


def test_a_restarted_worker_has_its_former_models_on_disk_if_the_first_load_is_quick() -> None:
    assert inventory_after_restart(load_duration_s=0.8).models_on("i-2") == {"m0", "m1"}
    assert inventory_after_restart(load_duration_s=5.5).models_on("i-2") == {"m0"}


def test_a_worker_at_another_address_has_no_models_of_other_workers() -> None:
    disks = DiskInventory()
    disks.record_models("i-1", "a:1", ["m0"])
    disks.record_models("i-2", "b:1", [])
    assert not disks.may_have_model("i-2", "m0")
    assert not disks.has_model("i-2", "m0")
    assert disks.has_model("i-1", "m0")
    assert not disks.has_model("i-9", "m0")


def test_the_inventory_is_bounded_and_the_oldest_entry_is_evicted_first() -> None:
    disks = DiskInventory()
    for number in range(MAX_KNOWN_DISKS + 10):
        disks.record_models(f"i-{number}", f"a:{number}", ["m0"])
    assert len(disks.by_instance) == len(disks.latest_instances) == MAX_KNOWN_DISKS
    assert not disks.has_model("i-9", "m0")
    assert disks.has_model("i-10", "m0")
    disks.record_models("i-new", "a:9", [])
    assert not disks.may_have_model("i-new", "m0")
