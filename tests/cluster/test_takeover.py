"""What a placer that takes the role over knows of the loads that the one before began."""

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
MOST = int(ENGINE.max_loads_per_s * WINDOW_S)


def record(instance: str, serial: int, *ages_ms: int, token: int = 1, orders: int = 0) -> PlacementRecord:
    return PlacementRecord(instance, token, serial, (), None, orders, ages_ms)


def test_loads_count_from_when_their_record_is_first_seen_at_the_latest() -> None:
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


def test_what_lies_before_the_window_is_forgotten() -> None:
    observed = AnnouncedLoadLog(WINDOW_S)
    observed.record(10.0, [record("w1", 1, 100), record("w2", 1, 4000)])
    observed.expire(12.0)
    assert list(observed.by_record) == [("w1", 1)]
    assert observed.recent_loads(15.5, ["w1"]) == []


def test_a_limiter_that_knows_of_fewer_loads_than_may_be_allows_the_rest() -> None:
    limiter = LoadRateLimiter(2.1, WINDOW_S, 1.1)
    limiter.assume_exhausted(10.0)
    limiter.restore([9.0, 8.0, 9.5])
    assert limiter.remaining(10.0) == MOST - 3


def test_a_limiter_that_knows_of_more_loads_than_one_placer_begins_allows_what_the_rule_leaves() -> None:
    limiter = LoadRateLimiter(2.1, WINDOW_S, 1.1)
    limiter.assume_exhausted(10.0)
    limiter.restore([10.0] * 40)
    assert limiter.remaining(10.0) == limiter.hard_max_loads - MOST


def left_after_takeover(scene: Scene) -> int:
    """How many loads a new placer allows once it has asked the workers."""

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
    assert left_after_takeover(scene) == MOST - 3 - 3


def test_a_worker_that_says_nothing_may_have_taken_one_order() -> None:
    scene = Scene(token=2, w1=StandInWorker({"m0"}), w2=StandInWorker({"m1"}, dark=True))
    assert left_after_takeover(scene) == MOST - 1


def test_a_process_that_has_just_started_knows_nothing() -> None:
    scene = Scene(token=2, w1=StandInWorker({"m0"}))
    scene.updates.started_at = 0.0
    hard_most = LoadRateLimiter(ENGINE.max_loads_per_s, WINDOW_S, 1.1).hard_max_loads
    assert left_after_takeover(scene) == hard_most - MOST


def test_a_lease_that_runs_out_and_goes_on_leaves_what_is_known_and_under_way() -> None:
    """As during a change of view: the loads begun before still count, and the one under way is told."""
    scene = Scene(w1=StandInWorker({"m0"}))

    async def work() -> tuple[int, float]:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        scene.ask("m1")
        await asyncio.sleep(0.3)
        scene.lease.expires_at = steady()
        await asyncio.sleep(1.0)
        scene.lease.expires_at = 1e9
        told_s = await scene.until_usable("m1")
        left = scene.placer.budget.limiters["llm"].remaining(steady())
        await scene.tasks.stop()
        return left, told_s

    left, told_s = run(work())
    assert left == MOST - 1
    assert told_s <= 0.2


def told_after_takeover(
    scene: Scene, worker: StandInWorker, underway: OrderRequest | None = None
) -> list[str]:
    """Models that dispatchers may use at `w1` once a new placer has asked it; `underway`: its last order."""

    async def work() -> list[str]:
        assert underway is None or worker.take(underway) == TAKEN
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.5)
        await scene.tasks.stop()
        return scene.usable_at("w1")

    return run(work())


def test_what_a_lost_placer_told_last_is_put_right_by_the_next_one() -> None:
    """It had hidden a model and announced a load that ended after its loss: both are there, nobody knew."""
    worker = StandInWorker({"m0", "m1"})
    scene = Scene(token=2, w1=worker)
    pending = PendingLoad("m0", "", 800)
    scene.tables.put_placement(PlacementRecord("w1", 1, 7, (LoadedModel("m3"),), pending, 2))
    assert told_after_takeover(scene, worker) == ["m0", "m1"]


def test_a_worker_whose_last_order_goes_on_is_told_of_when_it_has_ended() -> None:
    worker = StandInWorker({"m1"}, load_s=0.2, report_lag_s=0.02)
    scene = Scene(token=2, w1=worker)
    scene.tables.put_placement(
        PlacementRecord("w1", 1, 7, (LoadedModel("m1"),), PendingLoad("m0", "", 200), 1)
    )
    underway = OrderRequest("load", "m0", "core-2", 1)
    assert told_after_takeover(scene, worker, underway) == ["m0", "m1"]


def test_a_new_placer_says_nothing_of_workers_that_hold_what_dispatchers_know() -> None:
    worker = StandInWorker({"m0", "m1"})
    scene = Scene(token=2, w1=worker)
    record_before = PlacementRecord("w1", 1, 7, (LoadedModel("m0"), LoadedModel("m1")), None, 2)
    scene.tables.put_placement(record_before)
    assert told_after_takeover(scene, worker) == ["m0", "m1"]
    assert scene.tables.placements["w1"].record is record_before


def test_a_worker_that_was_lost_for_a_moment_is_told_of_again() -> None:
    """Within one term, where records of before its loss must not outrank those of after it."""
    scene = Scene(1, w1=StandInWorker({"m0"}))

    async def work() -> None:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        for model in ("m1", "m2", "m3"):
            scene.ask(model)
            await scene.until_usable(model)
        scene.lose("w1")
        await asyncio.sleep(0.5)
        scene.bring_back("w1")
        scene.ask("m4")
        assert await scene.until_usable("m4") < 2.0
        await scene.tasks.stop()

    run(work())
