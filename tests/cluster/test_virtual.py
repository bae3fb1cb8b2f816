"""The virtual clock, and processes that stand still on it."""

import asyncio

from finchladder.lab.cluster.virtual import VirtualClockLoop, run


def loop() -> VirtualClockLoop:
    running = asyncio.get_running_loop()
    assert isinstance(running, VirtualClockLoop)
    return running


def test_a_frozen_process_does_nothing_and_goes_on_when_it_wakes() -> None:
    async def work() -> tuple[list[float], list[float]]:
        seen: dict[str, list[float]] = {"a": [], "b": []}

        async def tick(name: str) -> None:
            for _ in range(6):
                await asyncio.sleep(1.0)
                seen[name].append(round(loop().time(), 3))

        tasks = [loop().spawn(name, tick(name)) for name in seen]
        await asyncio.sleep(1.5)
        loop().freeze("a", loop().time() + 3.0)
        await asyncio.gather(*tasks)
        return seen["a"], seen["b"]

    frozen, other = run(work())
    assert other == [1, 2, 3, 4, 5, 6]
    assert frozen == [1, 4.5, 5.5, 6.5, 7.5, 8.5]


def test_an_answer_that_came_during_a_freeze_goes_before_a_time_limit_that_ran_out_after_it() -> None:
    async def waits(answer: asyncio.Future[str], limit_s: float) -> str:
        try:
            async with asyncio.timeout(limit_s):
                return await answer
        except TimeoutError:
            return "too late"

    async def work(limit_s: float) -> str:
        answer: asyncio.Future[str] = loop().create_future()
        task = loop().spawn("a", waits(answer, limit_s))
        await asyncio.sleep(0.1)
        loop().freeze("a", 5.0)
        await asyncio.sleep(1.0)
        answer.set_result("in time")
        return await task

    assert run(work(2.0)) == "in time"
    assert run(work(0.5)) == "too late"
