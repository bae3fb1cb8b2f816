"""A control process: replicated state, worker sessions, the public control API, and the placer."""

import asyncio
from contextlib import suppress
from random import Random, SystemRandom

from attrs import Factory, define, field

from finchladder.cluster.process.control_api import ControlApi
from finchladder.cluster.process.control_plane import ControlPlane, RecoveredState
from finchladder.cluster.process.core_sessions import CoreSessions
from finchladder.cluster.process.log import event
from finchladder.cluster.process.placer import Placer
from finchladder.cluster.process.process_monitor import ProcessMonitor
from finchladder.cluster.process.quota_service import QuotaService
from finchladder.cluster.process.request_failures import log_request_failure
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.worker_client import WorkerClient
from finchladder.cluster.process.worker_orders import WorkerOrders
from finchladder.cluster.storage.lmdb_store import DiskIdentity, LmdbStore
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import PeerClient, peer_handler
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import DemandReport, PullUpdates, Reply, Request, ReserveQuota

SHUTDOWN_LINGER_S = 0.3  # time before the listeners close, in which peers can still fetch updates
LEAVE_CHAIN_TIMEOUT_S = 1.5  # time for the other members to adopt a view without this process


@define
class CoreNode:
    """Creates, runs and shuts down the services of a control process."""

    settings: Settings
    seeds: SeedList = field(
        default=Factory(lambda self: SeedList(self.settings.seed_peer_addresses), takes_self=True)
    )
    random: Random = field(factory=Random)
    tasks: Tasks = field(factory=Tasks)
    peers: PeerClient = field(init=False)
    control: ControlPlane = field(init=False)
    core_sessions: CoreSessions = field(init=False)
    placer: Placer = field(init=False)
    quotas: QuotaService = field(init=False)
    workers: WorkerClient = field(init=False)

    def _build(self) -> None:
        settings = self.settings
        bounds = settings.bounds
        self.peers = PeerClient()
        self.workers = WorkerClient()
        self.control = self._build_control_plane()
        self.core_sessions = CoreSessions.build(
            self.control,
            heartbeat_s=settings.heartbeat_s,
            timeouts=settings.bounds.contact_timeouts,
            peers=self.peers,
            tasks=self.tasks,
            random=self.random,
            is_running=self.workers.is_running,
        )
        self.placer = Placer(
            self.control.placer_lease,
            self.core_sessions.updates,
            WorkerOrders(self.control.placer_lease, self.workers),
            self.tasks,
            bounds.ceiling_window_s,
            bounds.ceiling_overage,
            0.0 if bounds.fencing else bounds.lease_s,
        )
        self.quotas = QuotaService.build(self.control.placer_lease, bounds.quota)

    def _build_control_plane(self) -> ControlPlane:
        """Opens the disk and creates the control plane from the stored state."""
        settings = self.settings
        store = LmdbStore(settings.data_dir, settings.disk_bytes)
        founder = settings.bootstrap and store.was_empty and settings.control in settings.seeds
        disk_id = f"{SystemRandom().getrandbits(64):016x}"
        identity, acceptor, replica = store.load(lambda: DiskIdentity(disk_id, founder))
        if store.moved_aside:
            event("storage.corrupted", moved_to=store.moved_aside)
        me = Member(
            settings.node_name, identity.disk_id, settings.zone, settings.peer_address, settings.control
        )
        return ControlPlane.build(
            me,
            store,
            self.peers,
            RecoveredState(identity.founder, acceptor, replica),
            tolerated_losses=settings.tolerated_losses,
            seeds=self.seeds,
            exclusion_window_s=settings.bounds.lease_s,
            fenced=settings.bounds.fencing,
            confirm_interval_s=settings.bounds.contact_timeouts.confirm_interval_s,
            random=self.random,
        )

    async def handle(self, request: Request) -> Reply:
        """Returns the reply to a request of the internal protocol."""
        match request:
            case PullUpdates():
                return await self.core_sessions.updates.on_pull(request)
            case DemandReport():
                return self.placer.on_demand(request)
            case ReserveQuota():
                return self.quotas.on_reserve(request)
        return await self.control.handle(request)

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set."""
        self._build()
        control = ControlApi(
            self.control.changes, self.control.chain, self.core_sessions.sessions, self.settings.control
        )
        listeners = [
            Listener(
                peer_handler(self.handle), self.settings.peer_address, report_failure=log_request_failure
            ),
            Listener(control.handle, self.settings.control, report_failure=log_request_failure),
        ]
        for listener in listeners:
            await listener.start()
        loops = {
            **self.control.loops(),
            **self.core_sessions.loops(),
            "placer": self.placer.run,
            "monitor": ProcessMonitor(self.settings.memory_bytes).run,
        }
        for name, loop in loops.items():
            self.tasks.repeat(loop, name)
        disk_id = self.control.agreement.me.disk_id
        event("node.started", role="core", address=self.settings.control, disk=disk_id)
        await stop.wait()
        await self._shut_down(listeners)

    async def _shut_down(self, listeners: list[Listener]) -> None:
        event("node.stopping")
        with suppress(ClusterError):
            await self.control.placer_lease.release()
        await self.control.agreement.leave_chain(LEAVE_CHAIN_TIMEOUT_S)
        await asyncio.sleep(SHUTDOWN_LINGER_S)
        await self.tasks.stop()
        for listener in listeners:
            await listener.stop()
        await self.peers.close()
        await self.workers.close()
