"""Delay from a request for a model until the model is announced to dispatchers."""

import asyncio

import pytest

from finchladder.cluster.process.action_executor import EVICTION_NOTICE_S
from finchladder.cluster.transport.peers import steady
from finchladder.lab.cluster.model_workers import TAKEN, StandInWorker
from finchladder.lab.cluster.virtual import run
from tests.cluster.placer_scene import LOAD_S, Scene


def delay(scene: Scene, model: str, adapter: str = "") -> float:
    async def work() -> float:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        scene.report_demand(model, adapter)
        elapsed_s = await scene.until_usable(model, adapter)
        await scene.tasks.stop()
        return elapsed_s

    return run(work())


@pytest.mark.parametrize("lag_s", [0.0, 0.2, 0.5])
def test_the_end_of_a_load_is_detected_at_once_however_old_the_workers_reports_are(lag_s: float) -> None:
    elapsed_s = delay(Scene(w1=StandInWorker({"m0"}, LOAD_S, report_lag_s=lag_s)), "m1")
    assert LOAD_S <= elapsed_s <= LOAD_S + 0.1


@pytest.mark.parametrize("lag_s", [0.0, 0.2, 0.5])
def test_an_adapter_occupies_its_worker_no_longer_than_it_takes(lag_s: float) -> None:
    elapsed_s = delay(Scene(w1=StandInWorker({"m0"}, load_s=0.02, report_lag_s=lag_s)), "m0", "a1")
    assert elapsed_s <= 0.1


@pytest.mark.parametrize("takes_s", [1.0, 1.6, 4.0])
def test_a_load_that_takes_longer_than_expected_is_ordered_once_and_announced_at_its_end(
    takes_s: float,
) -> None:
    """A load may be slow because the worker's disk is slower than the store or many loads run."""
    worker = StandInWorker({"m0"}, takes_s)
    elapsed_s = delay(Scene(w1=worker), "m1")
    assert takes_s <= elapsed_s <= takes_s + 0.15
    assert worker.sequence == 1


def test_loads_that_wait_for_an_eviction_do_not_block_other_loads_from_the_store() -> None:
    """The store allows two concurrent loads; two workers wait until the models to evict are unused."""
    workers = {
        "w1": StandInWorker({"m0", "m1"}, evict_s=6.0),
        "w2": StandInWorker({"m2", "m3"}, evict_s=6.0),
        "w3": StandInWorker({"m4", "m5"}),
    }
    scene = Scene(1, **workers)

    async def work() -> float:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        for model in ("m6", "m7", "m8"):
            scene.report_demand(model)
        elapsed_s = await scene.until_usable("m8")
        await scene.tasks.stop()
        return elapsed_s

    assert run(work()) <= LOAD_S + 0.5


def test_a_load_counts_towards_the_stores_rate_from_when_it_begins() -> None:
    """Counting from the planning would be too early: a preceding eviction may outlast the window."""
    worker = StandInWorker({"m0", "m1"}, evict_s=6.0)
    scene = Scene(1, w1=worker)

    async def work() -> list[float]:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        scene.report_demand("m6")
        await scene.until_usable("m6")
        await scene.tasks.stop()
        return list(scene.placer.budget.limiters["llm"].load_times)

    (counted_at,) = run(work())
    (taken_at,) = [at for at, order, status in worker.log if (order.operation, status) == ("load", TAKEN)]
    assert taken_at > 6.0
    assert counted_at == pytest.approx(taken_at, abs=0.01)
    (placement,) = scene.tables.placements.values()
    (age_ms,) = placement.record.load_ages_ms
    assert age_ms == pytest.approx(1000 * LOAD_S, abs=50)


@pytest.mark.parametrize("running", [0, 1])
def test_dispatchers_are_notified_before_the_eviction_of_a_model_in_use(running: int) -> None:
    worker = StandInWorker({"m0", "m1"})
    scene = Scene(1, w1=worker)

    async def work() -> tuple[float, float]:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        for model in ("m0", "m1"):
            scene.report_demand(model, queued=0, running=running)
        scene.report_demand("m5")
        hidden_s = await scene.until_hidden("m0", "m1")
        began = steady() - hidden_s
        await scene.until_usable("m5")
        await scene.tasks.stop()
        return hidden_s, worker.log[0][0] - began

    hidden_s, evicted_s = run(work())
    assert evicted_s - hidden_s >= (EVICTION_NOTICE_S if running else 0.0)
    assert running or evicted_s - hidden_s < EVICTION_NOTICE_S / 2, "an unused model needs no notice"
