"""A dispatcher process: wiring, configuration and pool updates, readiness, graceful shutdown."""

import asyncio
import secrets
from http import HTTPStatus
from random import Random

from aiohttp import web
from attrs import Factory, define, field

from finchladder.cluster.configuration.compression import decompress
from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot
from finchladder.cluster.process.configuration_reading import read_configuration
from finchladder.cluster.process.configuration_refresher import ConfigurationRefresher
from finchladder.cluster.process.demand_reporter import DemandReporter
from finchladder.cluster.process.log import event
from finchladder.cluster.process.pool_updater import PoolUpdater
from finchladder.cluster.process.process_monitor import ProcessMonitor
from finchladder.cluster.process.quota_client import QuotaClient
from finchladder.cluster.process.request_failures import log_request_failure
from finchladder.cluster.process.router import Router
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.process.update_sources import UpdateSources
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.routing.selection import AFFINITY_SLOT_FRACTION, WorkerSelector
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.tenancy.api_keys import KEY_SALT_BYTES
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import PeerClient, steady
from finchladder.cluster.types.messages import Update

READY_PATH = "/api/readyz"
WORKER_KEEPALIVE_S = 20.0  # idle timeout of worker connections; shortened if a worker announces less
UNCONFIRMED_READY_AFTER_S = 4.0  # time after the start from which readiness needs no confirmed state

MAX_LOGGED_FIELDS = 20

# Phases of a graceful shutdown
READINESS_PROPAGATION_S = 2.5  # time from becoming unready until the platform opens no new connections
MAX_READINESS_GRACE_FRACTION = 0.4  # limits READINESS_PROPAGATION_S to this fraction of the grace period
SHUTDOWN_POLL_S = 0.05
FINAL_RESPONSES_S = 0.3  # time to send the responses to requests that are timed out at the end
EXIT_MARGIN_S = 0.6  # time between the last response and the end of the grace period (SIGKILL)


@define
class DispatcherNode:
    """Components of a dispatcher and their lifecycle from startup to shutdown.

    Attributes:
        has_confirmed_state: Whether an update with a configuration arrived from a control process that the
            chain had recently confirmed.
        newest_version: Highest version of the configuration that a control process has reported.
        received_version: Version of the last configuration that was received, even if its activation failed.
        stopping: Whether a graceful shutdown has begun.
        key_salt: Salt for the digests of API keys in this process.
    """

    settings: Settings
    seeds: SeedList = field(
        default=Factory(lambda self: SeedList(self.settings.seed_peer_addresses), takes_self=True)
    )
    random: Random = field(factory=Random)
    tasks: Tasks = field(factory=Tasks)
    peers: PeerClient = field(init=False)
    puller: UpdatePuller = field(init=False)
    router: Router = field(init=False)
    pool_updater: PoolUpdater = field(init=False)
    demand_reporter: DemandReporter = field(init=False)
    quotas: QuotaClient = field(init=False)
    started_at: float = field(factory=steady)
    has_confirmed_state: bool = False
    newest_version: int = 0
    received_version: int = 0
    stopping: bool = False
    key_salt: bytes = field(factory=lambda: secrets.token_bytes(KEY_SALT_BYTES), repr=False)

    def _build_components(self) -> None:
        settings = self.settings
        demand = DemandCounter()
        self.peers = PeerClient()
        self.router = self._make_router(demand)
        tables = ReplicatedTables(f"{settings.node_name}/{self.random.getrandbits(32):x}")
        sources = UpdateSources(
            name=settings.node_name,
            is_dispatcher=True,
            own_address=settings.peer_address,
            zone=settings.zone,
            seeds=self.seeds,
            timeouts=settings.bounds.contact_timeouts,
        )
        self.puller = UpdatePuller(
            tables=tables,
            peers=self.peers,
            tasks=self.tasks,
            random=self.random,
            sources=sources,
            configuration_version=lambda: self.received_version,
            on_update=self._apply_update,
        )
        self.quotas = QuotaClient(settings.node_name, self.peers, lambda: self.puller.placer)
        self.router.quotas = self.quotas
        self.router.refresh_configuration = ConfigurationRefresher(
            self._pull_configuration, self.tasks
        ).refresh
        self.pool_updater = PoolUpdater(tables)
        self.demand_reporter = DemandReporter(
            node_name=settings.node_name,
            peers=self.peers,
            placer_address=lambda: self.puller.placer,
            demand=demand,
            pools=lambda: self.router.pools,
        )
        demand.on_queued = self.demand_reporter.demand_queued.fire

    def _make_router(self, demand: DemandCounter) -> Router:
        settings = self.settings
        bounds = settings.bounds
        return Router(
            session=make_session(keepalive_s=WORKER_KEEPALIVE_S),
            selector=WorkerSelector(settings.node_name, settings.zone, AFFINITY_SLOT_FRACTION),
            make_retry_budget=lambda: RetryBudget(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            ),
            dispatcher_count=lambda: self.puller.dispatcher_count,
            demand=demand,
            is_configuration_stale=lambda: self.puller.sources.has_core_lost_quorum(),
        )

    # --- updates ------------------------------------------------------------------------------------------

    def _apply_update(self, update: Update, changed_instances: list[str]) -> None:
        """Updates the pools, and activates the configuration of an update if it is newer."""
        if changed_instances:
            self.router.pools = self.pool_updater.updated_pools(self.router.pools, changed_instances)
            self.router.pools_changed.fire()
        self.newest_version = max(self.newest_version, update.version)
        if update.document and update.version > self.received_version:
            self._receive_configuration(update)
        if update.chain_confirmed and update.version > 0:
            self.has_confirmed_state = True

    def _receive_configuration(self, update: Update) -> None:
        """Activates a configuration; if this fails, the previous one stays active until the next arrives."""
        self.received_version = update.version
        newer = read_configuration(
            update.version, self.router.snapshot.version, lambda: decompress(update.document), self.key_salt
        )
        if newer is not None:
            self._activate(newer, update)

    async def _pull_configuration(self, timeout_s: float) -> bool:
        """Pulls once; returns whether the newest known configuration is active and was recently confirmed."""
        is_confirmed = await self.puller.pull_once(timeout_s)
        return is_confirmed and self.router.snapshot.version >= self.newest_version

    def _activate(self, newer: ConfigurationSnapshot, update: Update) -> None:
        """Replaces the configuration by which requests are routed by that of an update."""
        self.router.snapshot = newer
        keys = newer.keys
        event(
            "configuration.activated",
            version=newer.version,
            source=update.origin,
            confirmed=update.chain_confirmed,
            tenants=None if keys is None else len(newer.tenants),
            keys=None if keys is None else keys.key_count,
            public_routes=newer.public_route_count,
        )
        if newer.replaced_fields:
            event(
                "configuration.fields_replaced",
                version=newer.version,
                count=len(newer.replaced_fields),
                fields=newer.replaced_fields[:MAX_LOGGED_FIELDS],
            )

    # --- readiness ----------------------------------------------------------------------------------------

    def is_ready(self) -> bool:
        """Returns whether the platform should send client connections to this process."""
        if self.stopping or not self.router.snapshot.version or not self.router.pools.members:
            return False
        if self.puller.sources.has_core_lost_quorum() or self.quotas.is_unreachable():
            return False
        return self.has_confirmed_state or steady() - self.started_at > UNCONFIRMED_READY_AFTER_S

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        is_ready = request.path == READY_PATH and self.is_ready()
        return web.Response(status=HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE)

    # --- start and shutdown -------------------------------------------------------------------------------

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set; returns after a graceful shutdown."""
        self._build_components()
        frontend = Listener(
            self.router.handle,
            self.settings.frontend,
            cancel_on_disconnect=True,
            report_failure=log_request_failure,
        )
        readiness = Listener(
            self._handle_readiness, self.settings.readiness, report_failure=log_request_failure
        )
        await readiness.start()
        await frontend.start()
        self.tasks.repeat(self.puller.run, "sources")
        self.tasks.repeat(self.demand_reporter.run, "demand")
        self.tasks.repeat(self.quotas.run, "quota")
        self.tasks.repeat(ProcessMonitor(self.settings.memory_bytes).run, "monitor")
        event("node.started", role="edge", address=self.settings.frontend)
        await stop.wait()
        await self._graceful_shutdown(frontend)
        await frontend.stop()
        await self.tasks.stop()
        await self.router.session.close()
        await self.peers.close()
        await readiness.stop()

    async def _graceful_shutdown(self, frontend: Listener) -> None:
        """Becomes unready, waits for open requests, then times out those that remain.

        Requests that arrive before the listening socket closes also get a response.
        """
        began_at = steady()
        grace_s = self.settings.bounds.grace_s
        drain_deadline = began_at + grace_s - EXIT_MARGIN_S - FINAL_RESPONSES_S
        readiness_propagated_at = began_at + min(
            READINESS_PROPAGATION_S, MAX_READINESS_GRACE_FRACTION * grace_s
        )
        self.stopping = True
        self.router.drain(readiness_propagated_at, drain_deadline)
        await self._wait_for_open_requests(frontend, readiness_propagated_at, drain_deadline)
        await frontend.stop_accepting()
        await self._wait_for_connections(frontend, drain_deadline)
        event("node.stopping", open_requests=self.router.open_requests)
        self.router.expire_open_timeouts()
        if frontend.connection_count:
            await asyncio.sleep(FINAL_RESPONSES_S)

    async def _wait_for_open_requests(
        self, frontend: Listener, readiness_propagated_at: float, drain_deadline: float
    ) -> None:
        while steady() < drain_deadline:
            await asyncio.sleep(SHUTDOWN_POLL_S)
            if steady() < readiness_propagated_at:
                continue
            frontend.close_idle()
            if not self.router.open_requests:
                break

    async def _wait_for_connections(self, frontend: Listener, drain_deadline: float) -> None:
        while frontend.connection_count and steady() < drain_deadline:
            await asyncio.sleep(SHUTDOWN_POLL_S)  # lets requests arrive that were sent before
            frontend.close_idle()
