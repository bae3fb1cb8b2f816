"""What is known of the workers' disks."""

from finchladder.cluster.placement.disk_inventory import MAX_KNOWN_DISKS, DiskInventory


def returned(took_s: float) -> DiskInventory:
    """A worker comes back as a new instance, and a load of a model that it had before takes so long."""
    disks = DiskInventory()
    disks.record_models("i-1", "a:1", ["m0", "m1"])
    disks.record_models("i-2", "a:1", [])
    assert disks.models_on("i-2") == frozenset(), "counted as loads from the store until it is known"
    assert disks.may_have_model("i-2", "m0")
    assert not disks.may_have_model("i-2", "m2")
    disks.record_models("i-2", "a:1", ["m0"])
    kept = disks.record_load("i-2", took_s, store_load_s=5.0)
    assert kept == disks.has_model("i-2", "m1")
    assert not disks.may_have_model("i-2", "m1")
    return disks


def test_a_worker_that_returns_has_its_old_models_on_disk_if_the_first_load_is_quick() -> None:
    assert returned(took_s=0.8).models_on("i-2") == {"m0", "m1"}
    assert returned(took_s=5.5).models_on("i-2") == {"m0"}


def test_a_worker_at_another_address_has_nothing_of_others() -> None:
    disks = DiskInventory()
    disks.record_models("i-1", "a:1", ["m0"])
    disks.record_models("i-2", "b:1", [])
    assert not disks.may_have_model("i-2", "m0")
    assert not disks.has_model("i-2", "m0")
    assert disks.has_model("i-1", "m0")
    assert not disks.has_model("i-9", "m0")


def test_what_is_known_of_disks_is_bounded_and_the_first_seen_goes_first() -> None:
    disks = DiskInventory()
    for number in range(MAX_KNOWN_DISKS + 10):
        disks.record_models(f"i-{number}", f"a:{number}", ["m0"])
    assert len(disks.by_instance) == len(disks.latest_instances) == MAX_KNOWN_DISKS
    assert not disks.has_model("i-9", "m0")
    assert disks.has_model("i-10", "m0")
    disks.record_models("i-new", "a:9", [])
    assert not disks.may_have_model("i-new", "m0")
