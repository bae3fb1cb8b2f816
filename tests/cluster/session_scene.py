"""Worker sessions of a control process without its control state, in virtual time."""

from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen

from finchladder.cluster.process.retirement_propagation import RetirementPropagation
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_expiry import WorkerExpiry
from finchladder.cluster.process.worker_sessions import WorkerSessions
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.types.members import View
from finchladder.cluster.types.messages import PullUpdates
from finchladder.cluster.types.operations import ControlState, WorkerRetirement
from finchladder.cluster.types.worker_api import Heartbeat
from finchladder.cluster.types.workers import (
    SessionPhase,
)
from finchladder.lab.cluster.virtual import run
from tests.cluster.test_agreement import member

HEARTBEAT_S = 1.2


@frozen
class SessionScene:
    """The components of one control process that handle workers."""

    tables: ReplicatedTables
    updates: UpdateServer
    retirements: RetirementPropagation
    sessions: WorkerSessions
    expiry: WorkerExpiry


def session_scene(
    name: str = "core-1",
    *,
    confirmed: bool = True,
    answering: tuple[str, ...] = (),
    voters: tuple[str, ...] = ("core-1",),
    is_stored_by_chain: bool = True,
) -> SessionScene:
    """Creates a control process that has just started.

    Args:
        name: Name of the process.
        confirmed: Whether the chain has recently confirmed the process.
        answering: Instances that respond to a health check.
        voters: Names of the voters.
        is_stored_by_chain: Whether the chain stores retirements.
    """
    members = tuple(member(voter) for voter in voters)
    view = View(1, members, members, len(members))

    async def is_running(address: str, instance: str) -> bool:
        return instance in answering

    async def record(retirement: WorkerRetirement) -> bool:
        return is_stored_by_chain

    tables = ReplicatedTables(f"{name}/1")
    updates = UpdateServer(
        tables=tables,
        heartbeat_s=HEARTBEAT_S,
        state=ControlState,
        view=lambda: view,
        placer_address=lambda: "",
        is_chain_confirmed=lambda: confirmed,
        is_quorum_lost=lambda: False,
    )
    retirements = RetirementPropagation(name, tables, updates, record)
    sessions = WorkerSessions(tables, retirements, updates.changed)
    expiry = WorkerExpiry(
        tables=tables,
        sessions=sessions,
        updates=updates,
        heartbeat_s=HEARTBEAT_S,
        is_running=is_running,
        is_chain_confirmed=lambda: confirmed,
    )
    return SessionScene(tables, updates, retirements, sessions, expiry)


def heartbeat(sequence: int, state: str = "ready") -> Heartbeat:
    return Heartbeat(service="llm", address="10.0.0.9:80", sequence=sequence, state=state)


def pull(vector: dict[str, int], wait_ms: int = 0) -> PullUpdates:
    return PullUpdates("edge-1", vector, 0, 1, wait_ms, True)


def phase_of(scene: SessionScene, instance: str = "i-1") -> SessionPhase:
    return scene.tables.workers[instance].record.phase


def run_virtual(work: Callable[[], Awaitable[Any]]) -> Any:
    async def main() -> Any:
        return await work()

    return run(main())
