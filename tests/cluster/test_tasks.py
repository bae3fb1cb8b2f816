"""Background tasks: signals and cancellation."""

import asyncio

from finchladder.cluster.process.tasks import Signal
from finchladder.lab.cluster.virtual import run


def test_a_cancellation_together_with_the_signal_is_not_lost() -> None:
    async def work() -> None:
        signal = Signal()

        async def loop() -> None:
            while True:
                await signal.wait(1.0)

        task = asyncio.create_task(loop())
        await asyncio.sleep(0.1)
        signal.fire()
        task.cancel()
        await asyncio.sleep(3.0)
        assert task.cancelled()

    run(work())
