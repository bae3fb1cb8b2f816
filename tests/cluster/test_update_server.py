"""Batching of updates to dispatchers, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from finchladder.cluster.types.messages import Update
from finchladder.cluster.types.workers import (
    SessionPhase,
    WorkerRecord,
)
from tests.cluster.session_scene import SessionScene, heartbeat, pull, run_virtual, session_scene


async def update_count(scene: SessionScene, dispatchers: int, write: Callable[[int], Awaitable[Any]]) -> int:
    """Returns the number of updates that one dispatcher gets during 100 changes in 2 s."""
    for number in range(dispatchers - 1):
        await scene.updates.on_pull(msgspec.structs.replace(pull({}), sender=f"other-{number}"))
    answers = 0

    async def subscriber() -> None:
        nonlocal answers
        vector: dict[str, int] = {}
        while True:
            update: Update = await scene.updates.on_pull(pull(vector, 1000))
            answers += bool(update.workers)
            vector = dict(update.vector)

    task = asyncio.create_task(subscriber())
    for number in range(100):
        await write(number)
        await asyncio.sleep(0.02)
    task.cancel()
    return answers


def test_changes_are_batched_for_many_dispatchers_and_sent_at_once_to_few() -> None:
    async def times(dispatchers: int) -> int:
        scene = session_scene()
        return await update_count(
            scene, dispatchers, lambda n: scene.sessions.on_heartbeat(f"i-{n}", heartbeat(1))
        )

    few, many = run_virtual(lambda: times(6)), run_virtual(lambda: times(200))
    assert few == 100
    assert 2.0 / 0.2 <= many <= 2.0 / 0.2 + 2


def test_a_drain_is_sent_at_once_to_many_dispatchers() -> None:
    async def put_draining(scene: SessionScene, number: int) -> None:
        scene.tables.put_worker(
            WorkerRecord(f"i-{number}", "s", "a:1", "z", 1, SessionPhase.DRAINING, 1, "core-1/1")
        )
        scene.updates.changed.fire()

    async def work() -> int:
        scene = session_scene()
        return await update_count(scene, 200, lambda n: put_draining(scene, n))

    assert run_virtual(work) == 100


def test_a_poll_during_a_long_poll_leaves_its_subscriber_long_polling() -> None:
    """The acknowledgement of a drain waits for long-polling subscribers."""

    async def work() -> list[bool]:
        scene = session_scene()
        seen = []
        task = asyncio.create_task(scene.updates.on_pull(pull({}, 1000)))
        await asyncio.sleep(0.1)
        for _ in range(2):
            await scene.updates.on_pull(pull({}))
            seen.append(scene.updates.subscribers["edge-1"].long_polls)
            await task
        return seen

    assert run_virtual(work) == [True, False]
