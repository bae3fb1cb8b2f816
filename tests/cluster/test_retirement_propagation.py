"""Acknowledgement of worker retirements, in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from finchladder.cluster.types.messages import PullUpdates, Update
from tests.cluster.session_scene import SessionScene, heartbeat, pull, run_virtual, session_scene


def test_a_drain_is_acknowledged_once_a_subscriber_has_it_and_not_without() -> None:
    async def work() -> tuple[bool, bool]:
        without_subscribers = session_scene()
        without = await without_subscribers.sessions.on_heartbeat("i-1", heartbeat(1, "draining"))
        scene = session_scene()
        await scene.sessions.on_heartbeat("i-1", heartbeat(1))

        async def subscriber() -> None:
            vector: dict[str, int] = {}
            while True:
                update: Update = await scene.updates.on_pull(pull(vector, 1000))
                vector = dict(update.vector)

        task = asyncio.create_task(subscriber())
        await asyncio.sleep(0.01)
        with_subscriber = await scene.sessions.on_heartbeat("i-1", heartbeat(2, "draining"))
        task.cancel()
        return without, with_subscriber

    assert run_virtual(work) == (False, True)


async def subscribe(scene: SessionScene, name: str, is_dispatcher: bool) -> None:
    """Long-polls as a subscriber until it is cancelled."""
    vector: dict[str, int] = {}
    while True:
        update = await scene.updates.on_pull(PullUpdates(name, vector, 0, 1, 1000, is_dispatcher))
        vector = dict(update.vector)


def results_of_calls(
    subscribers: dict[str, bool],
    calls: Callable[[SessionScene], Awaitable[list[bool]]],
    *,
    is_stored_by_chain: bool = True,
) -> list[bool]:
    """Returns the results of calls at one of three voters.

    Args:
        subscribers: Whether each subscriber is a dispatcher, keyed by name.
        calls: Makes the calls of a worker.
        is_stored_by_chain: Whether the chain stores retirements.
    """

    async def work() -> list[bool]:
        scene = session_scene(voters=("core-1", "core-2", "core-3"), is_stored_by_chain=is_stored_by_chain)
        tasks = [
            asyncio.create_task(subscribe(scene, name, is_dispatcher))
            for name, is_dispatcher in subscribers.items()
        ]
        await asyncio.sleep(0.01)
        answers = await calls(scene)
        for task in tasks:
            task.cancel()
        return answers

    answers: list[bool] = run_virtual(work)
    return answers


async def drain_three_times(scene: SessionScene) -> list[bool]:
    return [await scene.sessions.on_heartbeat("i-1", heartbeat(number, "draining")) for number in (1, 2, 3)]


async def deregister_three_times(scene: SessionScene) -> list[bool]:
    return [await scene.sessions.on_deregister("i-1") for _ in range(3)]


@pytest.mark.parametrize("calls", [drain_three_times, deregister_three_times])
@pytest.mark.parametrize(
    ("subscribers", "answer"),
    [
        ({}, False),
        ({"edge-1": True, "edge-2": True}, False),
        ({"edge-1": True, "core-9": False}, False),
        ({"core-2": False}, True),
        ({"edge-1": True, "core-3": False}, True),
    ],
)
def test_a_retirement_is_acknowledged_only_once_most_voters_have_it(
    calls: Callable[[SessionScene], Awaitable[list[bool]]], subscribers: dict[str, bool], answer: bool
) -> None:
    """A control process cut off with some dispatchers must not acknowledge: others would still send."""
    assert results_of_calls(subscribers, calls) == [answer] * 3


@pytest.mark.parametrize("calls", [drain_three_times, deregister_three_times])
def test_a_retirement_that_the_chain_does_not_store_is_not_acknowledged(
    calls: Callable[[SessionScene], Awaitable[list[bool]]],
) -> None:
    """All control processes may lose power, and with it their tables, right after the acknowledgement."""
    subscribers = {"core-2": False, "core-3": False, "edge-1": True}
    assert results_of_calls(subscribers, calls, is_stored_by_chain=False) == [False] * 3


def test_a_late_heartbeat_of_an_unreplicated_drain_is_not_acknowledged() -> None:
    async def calls(scene: SessionScene) -> list[bool]:
        return [
            await scene.sessions.on_heartbeat("i-1", heartbeat(5, "draining")),
            await scene.sessions.on_heartbeat("i-1", heartbeat(4, "draining")),
        ]

    assert results_of_calls({}, calls) == [False, False]


def test_a_voter_that_has_not_pulled_recently_does_not_count_towards_the_majority() -> None:
    """Such a voter may have ended and lost its tables."""

    async def work() -> bool:
        scene = session_scene(voters=("core-1", "core-2", "core-3"))
        await scene.sessions.on_deregister("i-1")
        vector = dict(scene.tables.vector)
        await scene.updates.on_pull(PullUpdates("core-2", vector, 0, 1, 0, False))
        await asyncio.sleep(5.0)
        await scene.updates.on_pull(PullUpdates("edge-1", vector, 0, 1, 1, True))
        return await scene.sessions.on_deregister("i-1")

    assert not run_virtual(work)
