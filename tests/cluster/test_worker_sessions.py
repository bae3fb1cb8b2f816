"""Heartbeats, draining and deregistration of workers, in virtual time."""

import pytest

from finchladder.cluster.types.operations import WorkerRetirement
from finchladder.cluster.types.workers import (
    SessionPhase,
    WorkerRecord,
)
from tests.cluster.session_scene import heartbeat, phase_of, run_virtual, session_scene


def test_a_heartbeat_without_changes_is_not_replicated() -> None:
    async def work() -> tuple[int, int]:
        scene = session_scene()
        await scene.sessions.on_heartbeat("i-1", heartbeat(1))
        first = scene.tables.counter
        await scene.sessions.on_heartbeat("i-1", heartbeat(2))
        return first, scene.tables.counter

    assert run_virtual(work) == (1, 1)


def test_a_late_heartbeat_does_not_undo_a_drain() -> None:
    async def work() -> SessionPhase:
        scene = session_scene()
        await scene.sessions.on_heartbeat("i-1", heartbeat(5, "draining"))
        assert await scene.sessions.on_heartbeat("i-1", heartbeat(4))
        return phase_of(scene)

    assert run_virtual(work) is SessionPhase.DRAINING


@pytest.mark.parametrize(
    ("known", "end", "expected"),
    [
        (None, WorkerRetirement("i-1", 7, False), SessionPhase.DEREGISTERED),
        (None, WorkerRetirement("i-1", 7, True), SessionPhase.DEREGISTERED),
        (SessionPhase.READY, WorkerRetirement("i-1", 7, False), SessionPhase.DRAINING),
        (SessionPhase.READY, WorkerRetirement("i-1", 4, False), SessionPhase.READY),
        (SessionPhase.READY, WorkerRetirement("i-1", 4, True), SessionPhase.DEREGISTERED),
        (SessionPhase.DRAINING, WorkerRetirement("i-1", 7, True), SessionPhase.DEREGISTERED),
        (SessionPhase.LOST, WorkerRetirement("i-1", 7, False), SessionPhase.LOST),
        (SessionPhase.DEREGISTERED, WorkerRetirement("i-1", 7, False), SessionPhase.DEREGISTERED),
    ],
)
def test_a_stored_retirement_takes_a_worker_out_of_use(
    known: SessionPhase | None, end: WorkerRetirement, expected: SessionPhase
) -> None:
    scene = session_scene()
    if known is not None:
        scene.tables.put_worker(WorkerRecord("i-1", "s", "a:1", "z", 1, known, 5, "other"))
    scene.sessions.apply_retirements((end,))
    assert phase_of(scene) is expected


def test_a_stored_retirement_is_applied_once() -> None:
    scene = session_scene()
    scene.sessions.apply_retirements((WorkerRetirement("i-1", 7, True),))
    scene.tables.remove("i-1")
    scene.sessions.apply_retirements((WorkerRetirement("i-1", 7, True), WorkerRetirement("i-2", 1, False)))
    assert set(scene.tables.workers) == {"i-2"}


def test_the_deregistration_of_an_unknown_worker_is_replicated() -> None:
    async def work() -> SessionPhase:
        cut_off, other = session_scene("core-1"), session_scene("core-2")
        await other.sessions.on_heartbeat("i-1", heartbeat(7))
        await cut_off.sessions.on_deregister("i-1")
        other.tables.merge(*cut_off.tables.records_after({}))
        return phase_of(other)

    assert run_virtual(work) is SessionPhase.DEREGISTERED


def test_a_deregistered_worker_stays_deregistered() -> None:
    async def work() -> SessionPhase:
        scene = session_scene()
        await scene.sessions.on_heartbeat("i-1", heartbeat(1))
        await scene.sessions.on_deregister("i-1")
        await scene.sessions.on_heartbeat("i-1", heartbeat(2))
        return phase_of(scene)

    assert run_virtual(work) is SessionPhase.DEREGISTERED
