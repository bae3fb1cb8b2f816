"""Emulated engines and days: what they are trusted for when decisions are compared by them."""

import asyncio
from typing import Any

import pytest

from finchladder.cluster.process import tasks
from finchladder.cluster.types.worker_api import OrderRequest
from finchladder.lab.cluster.emulator import days
from finchladder.lab.cluster.emulator.demand import arrivals
from finchladder.lab.cluster.emulator.engines import EngineSpeed, EngineWorker, LoadTime, Work
from finchladder.lab.cluster.virtual import run

SPEED = EngineSpeed(batch=4, tokens_per_s=20_000.0, chunk=2000, step_s=0.01, step_s_per_request=0.0)
TINY = days.Size(workers=4, rate=12.0, busy=14, rare=6)


def work(prompt: int, output: int = 1, model: str = "m0", priority: int = 1, part: str = "") -> Work:
    return Work(model, "", prompt, output, priority, ((part, prompt // 2),) if part else ())


def worker(*models: str) -> EngineWorker:
    return EngineWorker(set(models), speed=SPEED, load_times={m: LoadTime(3.0, 0.5) for m in ("m0", "m1")})


async def first_after(engine: EngineWorker, *works: Work) -> list[float]:
    """Seconds until the first token of each, all sent at once."""
    loop = asyncio.get_running_loop()
    serving, began = asyncio.create_task(engine.serve()), loop.time()

    async def one(asked: Work) -> float:
        request = engine.submit(asked, began + 60)
        assert request is not None
        assert await request.first
        return loop.time() - began

    found = await asyncio.gather(*map(one, works))
    serving.cancel()
    return found


def test_prompts_are_read_one_after_the_other_in_pieces_the_urgent_first() -> None:
    times = run(first_after(worker("m0"), work(2000), work(2000), work(2000, priority=0)))
    assert times[2] < times[0] < times[1]
    assert times[1] == pytest.approx(3 * 0.11 + 0.01, abs=0.02), "three pieces of 0.1 s, and the steps"


def test_a_kept_part_is_not_read_again() -> None:
    engine = worker("m0")

    async def twice() -> tuple[float, float]:
        (cold,) = await first_after(engine, work(4000, part="p"))
        (warm,) = await first_after(engine, work(4000, part="p"))
        return cold, warm

    cold, warm = run(twice())
    assert cold - warm == pytest.approx(0.1, abs=0.02), "2,000 tokens less"


def test_what_is_not_there_is_refused_and_what_waits_for_a_model_that_goes() -> None:
    async def play() -> tuple[bool, bool, bool]:
        engine = worker("m0")
        absent = engine.submit(work(100, model="m1"), 60.0) is None
        waiting = engine.submit(work(100), 60.0)
        assert waiting is not None
        assert engine.take(OrderRequest("evict", "m0", "h", 1)) == 202
        return absent, waiting.first.done(), waiting.was_run

    assert run(play()) == (True, True, False)


def test_the_same_seed_gives_the_same_requests_and_demand_moves_on() -> None:
    _, day = days.draw_day(3, TINY)
    assert arrivals(day, 3) == arrivals(day, 3) != arrivals(day, 4)
    early, late = day.shares(0.0), day.shares(33.0)
    assert max(early, key=lambda m: early[m]) != max(late, key=lambda m: late[m])
    for at in (0.0, 5.0, 17.0, 33.0):
        assert sum(day.shares(at).values()) == pytest.approx(1.0)


def test_a_day_repeats_and_no_placement_does_better_than_all_models_everywhere() -> None:
    once, again = (days.play_one(TINY, 2, all_held=False) for _ in range(2))
    assert once == again
    bound = days.play_one(TINY, 2, all_held=True)
    assert bound.loads == 0
    assert 0.3 < once.credit[""] <= bound.credit[""] + 0.02


def test_no_task_of_an_emulated_day_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed task is logged and the day goes on, with fewer loads: its figures alone would not show it."""
    failures: list[dict[str, Any]] = []
    monkeypatch.setattr(tasks, "event", lambda kind, **fields: failures.append({"kind": kind, **fields}))
    days.play_one(TINY, 2, all_held=False)
    assert failures == []
