"""Worker sessions of a control process, and the exchange of replicated tables with other processes.

The control state and the peers are injected, so that the same code runs in production and in the simulation
`finchladder.lab.cluster`.
"""

from collections.abc import Awaitable, Callable
from random import Random

from attrs import define

from finchladder.cluster.configuration.schema import MAX_VERSION
from finchladder.cluster.process.confirmation_monitor import ConfirmationMonitor
from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.process.control_plane import ControlPlane
from finchladder.cluster.process.retirement_propagation import RetirementPropagation
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.update_sources import UpdateSources
from finchladder.cluster.process.worker_expiry import WorkerExpiry
from finchladder.cluster.process.worker_sessions import WorkerSessions
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.types.messages import Update

ANNOUNCE_INTERVAL_S = 1.0  # maximum time between two notifications of the subscribers
ANY_VERSION = MAX_VERSION + 1  # above all versions: a control process gets its configuration from the chain

IsRunning = Callable[[str, str], Awaitable[bool]]


@define
class CoreSessions:
    """Sessions with workers, and the exchange of tables with peers and dispatchers."""

    control: ControlPlane
    updates: UpdateServer
    sessions: WorkerSessions
    expiry: WorkerExpiry
    puller: UpdatePuller
    confirmation: ConfirmationMonitor

    @classmethod
    def build(
        cls,
        control: ControlPlane,
        *,
        heartbeat_s: float,
        timeouts: ContactTimeouts,
        peers: Peers,
        tasks: Tasks,
        random: Random,
        is_running: IsRunning,
    ) -> "CoreSessions":
        """Creates and connects the components.

        Args:
            control: The control state of this process.
            heartbeat_s: Seconds between two heartbeats of a worker.
            timeouts: Timeouts for detecting a loss of contact.
            peers: Sends requests to other processes.
            tasks: Owns the background tasks.
            random: Random source for the name of this incarnation and for the jitter of pulls.
            is_running: Returns whether a worker incarnation, given by address and instance, is running.
        """
        me = control.agreement.me
        tables = ReplicatedTables(f"{me.name}/{random.getrandbits(32):x}")
        confirmation = ConfirmationMonitor(control.chain, timeouts.confirmation_validity_s)
        updates = UpdateServer(
            tables=tables,
            heartbeat_s=heartbeat_s,
            state=lambda: control.chain.acknowledged,
            view=lambda: control.agreement.view,
            placer_address=lambda: placer_address(control),
            is_chain_confirmed=confirmation.is_confirmed,
            is_quorum_lost=control.failure_detector.is_quorum_lost,
        )
        retirements = RetirementPropagation(me.name, tables, updates, control.retirements.record)
        sessions = WorkerSessions(tables, retirements, updates.changed)
        expiry = WorkerExpiry(
            tables=tables,
            sessions=sessions,
            updates=updates,
            heartbeat_s=heartbeat_s,
            is_running=is_running,
            is_chain_confirmed=confirmation.is_confirmed,
        )

        def on_update(update: Update, changed: list[str]) -> None:
            expiry.record_owner_update(update.origin)
            puller.view = control.agreement.view
            if changed:
                updates.changed.fire()

        sources = UpdateSources(
            name=me.name,
            is_dispatcher=False,
            own_address=me.peer_address,
            zone=me.zone,
            seeds=control.failure_detector.seeds,
            timeouts=timeouts,
        )
        puller = UpdatePuller(
            tables=tables,
            peers=peers,
            tasks=tasks,
            random=random,
            sources=sources,
            configuration_version=lambda: ANY_VERSION,
            on_update=on_update,
        )
        return cls(control, updates, sessions, expiry, puller, confirmation)

    def loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the background loops, keyed by task name."""
        return {
            "expiry": self.expiry.run,
            "announce": self._announce_state,
            "announce views": self._announce_views,
            "sources": self.puller.run,
            "confirmation": self.confirmation.run,
        }

    async def _announce_state(self) -> None:
        """Applies retirements and notifies the subscribers whenever the chain has acknowledged a state."""
        while True:
            self.sessions.apply_retirements(self.control.chain.acknowledged.retirements)
            await self.control.chain.changed.wait(ANNOUNCE_INTERVAL_S)
            self.updates.changed.fire()

    async def _announce_views(self) -> None:
        while True:
            await self.control.agreement.changed.wait(ANNOUNCE_INTERVAL_S)
            self.puller.view = self.control.agreement.view
            self.updates.changed.fire()


def placer_address(control: ControlPlane) -> str:
    """Returns the peer address of the placer; empty if there is no placer or it has left the view."""
    name = control.chain.acknowledged.placer
    for member in control.agreement.view.members():
        if member.name == name:
            return member.peer_address
    return ""
