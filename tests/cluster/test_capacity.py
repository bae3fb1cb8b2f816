"""Tests of the number of concurrent loads from the weight store."""

from attrs import evolve

from finchladder.cluster.configuration.snapshot import Engine, Model
from finchladder.cluster.placement.capacity import (
    PREFETCH_RESERVED_WORKERS_FACTOR,
    RESERVED_WORKERS_FACTOR,
    max_concurrent_store_loads,
)
from tests.cluster.planning_scene import ENGINE


def test_loads_from_the_store_leave_workers_free() -> None:
    def max_loads(
        engine: Engine, *worker_counts: int, reserved_factor: float = RESERVED_WORKERS_FACTOR
    ) -> list[int]:
        return [max_concurrent_store_loads(engine, count, reserved_factor) for count in worker_counts]

    fast_store = evolve(ENGINE, max_loads_per_s=40.0)
    assert max_loads(ENGINE, 1, 2, 6, 12, 300) == [1, 1, 4, 9, 10]
    assert max_loads(fast_store, 6, 70, 890) == [4, 63, 200]
    assert max_loads(ENGINE, 1, 2, 6, 12, 300, reserved_factor=PREFETCH_RESERVED_WORKERS_FACTOR) == [
        1,
        1,
        2,
        6,
        10,
    ]
    assert max_loads(fast_store, 6, 70, 890, reserved_factor=PREFETCH_RESERVED_WORKERS_FACTOR) == [2, 56, 200]
    short_loads = evolve(ENGINE, models={"m0": Model("m0", 70.0, 0.8, 0, 1.0)}, max_loads_per_s=5.0)
    assert max_concurrent_store_loads(short_loads, 6) == 4, "no workers are reserved for short loads"
