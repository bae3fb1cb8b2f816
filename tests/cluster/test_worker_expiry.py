"""Loss of workers without heartbeats, and expiry of old entries, in virtual time."""

import asyncio
from typing import Any

from finchladder.cluster.process.worker_expiry import CHECK_INTERVAL_S
from finchladder.cluster.types.workers import SessionPhase
from tests.cluster.session_scene import SessionScene, heartbeat, phase_of, pull, run_virtual, session_scene


def test_a_worker_without_heartbeats_is_lost_until_its_next_one() -> None:
    async def work() -> list[SessionPhase]:
        scene = session_scene()
        began_at = asyncio.get_running_loop().time()
        await scene.sessions.on_heartbeat("i-1", heartbeat(1))
        seen = []
        for until_s in (3.0, 4.0):
            while asyncio.get_running_loop().time() < began_at + until_s:
                await asyncio.sleep(CHECK_INTERVAL_S)
                scene.expiry.expire_own_workers()
            seen.append(phase_of(scene))
        await scene.sessions.on_heartbeat("i-1", heartbeat(2))
        seen.append(phase_of(scene))
        return seen

    assert run_virtual(work) == [SessionPhase.READY, SessionPhase.LOST, SessionPhase.READY]


def test_a_control_process_that_resumes_after_a_stall_waits_for_the_next_heartbeats() -> None:
    """No heartbeats can be read during a stall; a worker without later heartbeats is lost."""

    async def work() -> list[SessionPhase]:
        scene = session_scene()
        await scene.sessions.on_heartbeat("i-1", heartbeat(1))
        scene.expiry.expire_own_workers()
        seen = []
        for _ in range(2):
            await asyncio.sleep(5.0)
            scene.expiry.expire_own_workers()
            seen.append(phase_of(scene))
            for _ in range(20):
                await asyncio.sleep(CHECK_INTERVAL_S)
                scene.expiry.expire_own_workers()
            seen.append(phase_of(scene))
            await scene.sessions.on_heartbeat("i-1", heartbeat(2))
        return seen

    assert run_virtual(work) == [SessionPhase.READY, SessionPhase.LOST] * 2


def phases_at_a_peer(after_s: tuple[float, ...], **scene_options: Any) -> list[SessionPhase]:
    """Returns the phases of a worker at a control process that cannot reach its owner."""

    async def work() -> list[SessionPhase]:
        owner, other = session_scene("core-1"), session_scene("core-2", **scene_options)
        await owner.sessions.on_heartbeat("i-1", heartbeat(1))
        other.tables.merge(*owner.tables.records_after({}))
        await other.expiry.expire_orphans()
        seen = []
        for pause in after_s:
            await asyncio.sleep(pause)
            other.expiry.expire_own_workers()
            await other.expiry.expire_orphans()
            seen.append(phase_of(other))
        return seen

    found: list[SessionPhase] = run_virtual(work)
    return found


def test_a_worker_of_an_unreachable_owner_is_lost_only_after_a_timeout() -> None:
    assert phases_at_a_peer((6.0, 2.0)) == [SessionPhase.READY, SessionPhase.LOST]


def test_a_worker_that_responds_stays_ready_while_its_owner_is_cut_off() -> None:
    assert phases_at_a_peer((8.0,) * 5, answering=("i-1",)) == [SessionPhase.READY] * 5
    assert phases_at_a_peer((8.0,) * 2, answering=("i-2",)) == [SessionPhase.LOST] * 2


def test_a_control_process_that_is_cut_off_from_the_chain_marks_no_worker_as_lost() -> None:
    assert phases_at_a_peer((8.0, 8.0), confirmed=False) == [SessionPhase.READY] * 2


def test_retired_workers_and_former_subscribers_expire() -> None:
    async def work() -> SessionScene:
        scene = session_scene()
        await scene.sessions.on_heartbeat("i-1", heartbeat(1))
        await scene.updates.on_pull(pull({}))
        await scene.sessions.on_deregister("i-1")
        await scene.updates.on_pull(pull(dict(scene.tables.vector), 1))
        assert await scene.sessions.on_deregister("i-1")
        assert scene.retirements.acknowledged
        for _ in range(30):
            await asyncio.sleep(5.0)
            scene.expiry.expire_own_workers()
        return scene

    scene = run_virtual(work)
    left = (
        scene.tables.workers,
        scene.sessions.last_heartbeats,
        scene.retirements.acknowledged,
        scene.updates.subscribers,
    )
    assert left == ({}, {}, set(), {})
