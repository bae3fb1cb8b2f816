"""How many loads from the weight store may be under way."""

from attrs import evolve

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.capacity import (
    PREFETCH_RESERVED_WORKERS_FACTOR,
    RESERVED_WORKERS_FACTOR,
    max_concurrent_store_loads,
)
from tests.cluster.planning_scene import ENGINE


def test_loads_from_the_store_leave_workers_free() -> None:
    def at_once(engine: Engine, *workers: int, kept_free: float = RESERVED_WORKERS_FACTOR) -> list[int]:
        return [max_concurrent_store_loads(engine, count, kept_free) for count in workers]

    many = evolve(ENGINE, max_loads_per_s=40.0)
    assert at_once(ENGINE, 1, 2, 6, 12, 300) == [1, 1, 4, 9, 10]
    assert at_once(many, 6, 70, 890) == [4, 63, 200]
    assert at_once(ENGINE, 1, 2, 6, 12, 300, kept_free=PREFETCH_RESERVED_WORKERS_FACTOR) == [1, 1, 2, 6, 10]
    assert at_once(many, 6, 70, 890, kept_free=PREFETCH_RESERVED_WORKERS_FACTOR) == [2, 56, 200]
    quick = evolve(ENGINE, models={"m0": Model("m0", 70.0, 0.8, 0, 1.0)}, max_loads_per_s=5.0)
    assert max_concurrent_store_loads(quick, 6) == 4, "quick ones leave a worker free soon enough"
