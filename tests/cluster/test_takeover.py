"""Knowledge of a new placer about the loads that its predecessor began."""

import asyncio

import pytest

from finchladder.cluster.placement.announced_loads import AnnouncedLoadLog
from finchladder.cluster.placement.load_rate_limiter import LoadRateLimiter
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.worker_api import OrderRequest
from finchladder.cluster.types.workers import LoadedModel, PendingLoad, PlacementRecord
from finchladder.lab.cluster.model_workers import TAKEN, StandInWorker
from finchladder.lab.cluster.virtual import run
from tests.cluster.placer_scene import ENGINE, Scene

WINDOW_S = 5.0
MAX_LOADS = int(ENGINE.max_loads_per_s * WINDOW_S)


def record(instance: str, serial: int, *ages_ms: int, token: int = 1, orders: int = 0) -> PlacementRecord:
    return PlacementRecord(instance, token, serial, (), None, orders, ages_ms)


def test_loads_count_from_the_first_receipt_of_their_record_at_the_latest() -> None:
    observed = AnnouncedLoadLog(WINDOW_S)
    observed.record(10.0, [record("w1", 1, 400, 1500)])
    observed.record(12.0, [record("w1", 1, 400, 1500)])
    assert sorted(observed.recent_loads(12.0, ["w1"])) == pytest.approx([8.5, 9.6])
    observed.record(12.0, [record("w1", 2, 100, 2300)])
    assert sorted(observed.recent_loads(12.0, ["w1"])) == pytest.approx([9.7, 11.9])


def test_loads_of_several_placers_at_one_worker_are_all_counted() -> None:
    observed = AnnouncedLoadLog(WINDOW_S)
    observed.record(10.0, [record("w1", 3, 100)])
    observed.record(10.5, [record("w1", 1, 0, token=2)])
    assert sorted(observed.recent_loads(11.0, ["w1"])) == pytest.approx([9.9, 10.5])
    assert observed.recent_loads(11.0, ["w2"]) == []


def test_loads_before_the_window_are_dropped() -> None:
    observed = AnnouncedLoadLog(WINDOW_S)
    observed.record(10.0, [record("w1", 1, 100), record("w2", 1, 4000)])
    observed.expire(12.0)
    assert list(observed.by_record) == [("w1", 1)]
    assert observed.recent_loads(15.5, ["w1"]) == []


def test_a_limiter_restored_with_fewer_loads_than_the_maximum_allows_the_rest() -> None:
    limiter = LoadRateLimiter(2.1, WINDOW_S, 1.1)
    limiter.assume_exhausted(10.0)
    limiter.restore([9.0, 8.0, 9.5])
    assert limiter.remaining(10.0) == MAX_LOADS - 3


def test_a_limiter_restored_with_more_loads_than_one_placer_begins_allows_up_to_the_hard_limit() -> None:
    limiter = LoadRateLimiter(2.1, WINDOW_S, 1.1)
    limiter.assume_exhausted(10.0)
    limiter.restore([10.0] * 40)
    assert limiter.remaining(10.0) == limiter.hard_max_loads - MAX_LOADS


def left_after_takeover(scene: Scene) -> int:
    """Returns the number of loads that a new placer allows after it has queried the workers."""

    async def work() -> int:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(1.0)
        limiter = scene.placer.budget.limiters["llm"]
        await scene.tasks.stop()
        return limiter.remaining(steady())

    return run(work())


def test_announced_loads_and_orders_that_were_not_announced_are_counted() -> None:
    scene = Scene(token=2, w1=StandInWorker({"m0"}, sequence=4), w2=StandInWorker({"m1"}, sequence=6))
    scene.tables.put_placement(record("w1", 5, 200, 1500, orders=4))
    scene.tables.put_placement(record("w2", 5, 700, orders=3))
    assert left_after_takeover(scene) == MAX_LOADS - 3 - 3


def test_an_unreachable_worker_counts_as_one_order() -> None:
    scene = Scene(token=2, w1=StandInWorker({"m0"}), w2=StandInWorker({"m1"}, dark=True))
    assert left_after_takeover(scene) == MAX_LOADS - 1


def test_a_process_that_has_just_started_keeps_its_assumptions() -> None:
    scene = Scene(token=2, w1=StandInWorker({"m0"}))
    scene.updates.started_at = 0.0
    hard_limit = LoadRateLimiter(ENGINE.max_loads_per_s, WINDOW_S, 1.1).hard_max_loads
    assert left_after_takeover(scene) == hard_limit - MAX_LOADS


def test_a_lease_that_expires_and_is_renewed_keeps_known_loads_and_the_current_one() -> None:
    """This happens in a view change: earlier loads still count, and the current load is announced."""
    scene = Scene(w1=StandInWorker({"m0"}))

    async def work() -> tuple[int, float]:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        scene.report_demand("m1")
        await asyncio.sleep(0.3)
        scene.lease.expires_at = steady()
        await asyncio.sleep(1.0)
        scene.lease.expires_at = 1e9
        announced_s = await scene.until_usable("m1")
        remaining_loads = scene.placer.budget.limiters["llm"].remaining(steady())
        await scene.tasks.stop()
        return remaining_loads, announced_s

    remaining_loads, announced_s = run(work())
    assert remaining_loads == MAX_LOADS - 1
    assert announced_s <= 0.2


def usable_after_takeover(
    scene: Scene, worker: StandInWorker, last_order: OrderRequest | None = None
) -> list[str]:
    """Returns the usable models at `w1` after a new placer has queried it; `last_order`: its last order."""

    async def work() -> list[str]:
        assert last_order is None or worker.take(last_order) == TAKEN
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.5)
        await scene.tasks.stop()
        return scene.usable_at("w1")

    return run(work())


def test_the_last_announcement_of_a_lost_placer_is_corrected_by_the_next_one() -> None:
    """It had hidden a model and announced a load that ended after its loss; both models are loaded."""
    worker = StandInWorker({"m0", "m1"})
    scene = Scene(token=2, w1=worker)
    pending = PendingLoad("m0", "", 800)
    scene.tables.put_placement(PlacementRecord("w1", 1, 7, (LoadedModel("m3"),), pending, 2))
    assert usable_after_takeover(scene, worker) == ["m0", "m1"]


def test_a_worker_with_an_order_in_progress_is_announced_at_its_end() -> None:
    worker = StandInWorker({"m1"}, load_s=0.2, report_lag_s=0.02)
    scene = Scene(token=2, w1=worker)
    scene.tables.put_placement(
        PlacementRecord("w1", 1, 7, (LoadedModel("m1"),), PendingLoad("m0", "", 200), 1)
    )
    last_order = OrderRequest("load", "m0", "core-2", 1)
    assert usable_after_takeover(scene, worker, last_order) == ["m0", "m1"]


def test_a_new_placer_announces_no_workers_whose_state_dispatchers_already_have() -> None:
    worker = StandInWorker({"m0", "m1"})
    scene = Scene(token=2, w1=worker)
    record_before = PlacementRecord("w1", 1, 7, (LoadedModel("m0"), LoadedModel("m1")), None, 2)
    scene.tables.put_placement(record_before)
    assert usable_after_takeover(scene, worker) == ["m0", "m1"]
    assert scene.tables.placements["w1"].record is record_before


def test_a_worker_that_was_lost_for_a_moment_is_announced_again() -> None:
    """Within one term, records from before the loss must not supersede those from after it."""
    scene = Scene(1, w1=StandInWorker({"m0"}))

    async def work() -> None:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        for model in ("m1", "m2", "m3"):
            scene.report_demand(model)
            await scene.until_usable(model)
        scene.mark_lost("w1")
        await asyncio.sleep(0.5)
        scene.mark_ready("w1")
        scene.report_demand("m4")
        assert await scene.until_usable("m4") < 2.0
        await scene.tasks.stop()

    run(work())
