"""How long it takes from what is waited for until dispatchers are told that a worker holds it."""

import asyncio

import pytest

from finchladder.lab.cluster.virtual import run
from tests.cluster.placer_scene import LOAD_S, Scene
from tests.cluster.stand_in_workers import StandInWorker


def delay(scene: Scene, model: str, adapter: str = "") -> float:
    async def work() -> float:
        scene.tasks.spawn(scene.placer.run(), "placer")
        await asyncio.sleep(0.05)
        scene.ask(model, adapter)
        took_s = await scene.until_usable(model, adapter)
        await scene.tasks.stop()
        return took_s

    return run(work())


@pytest.mark.parametrize("lag_s", [0.0, 0.2, 0.5])
def test_the_end_of_a_load_is_known_at_once_however_old_the_workers_reports_are(lag_s: float) -> None:
    took_s = delay(Scene(w1=StandInWorker({"m0"}, LOAD_S, report_lag_s=lag_s)), "m1")
    assert LOAD_S <= took_s <= LOAD_S + 0.1


@pytest.mark.parametrize("lag_s", [0.0, 0.2, 0.5])
def test_an_adapter_occupies_its_worker_no_longer_than_it_takes(lag_s: float) -> None:
    took_s = delay(Scene(w1=StandInWorker({"m0"}, load_s=0.02, report_lag_s=lag_s)), "m0", "a1")
    assert took_s <= 0.1


@pytest.mark.parametrize("takes_s", [1.0, 1.6, 4.0])
def test_a_load_that_takes_longer_than_expected_is_given_once_and_told_when_it_is_done(
    takes_s: float,
) -> None:
    """As from a worker's own disk where that is slower than the store, or while many loads run."""
    worker = StandInWorker({"m0"}, takes_s)
    took_s = delay(Scene(w1=worker), "m1")
    assert takes_s <= took_s <= takes_s + 0.15
    assert worker.sequence == 1
