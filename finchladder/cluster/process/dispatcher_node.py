"""A dispatcher on the data plane: pulls what control knows, routes clients' requests, tells what it is asked
for.
"""

import asyncio
from random import Random

from aiohttp import web
from attrs import define, field

from finchladder.cluster.configuration import snapshot
from finchladder.cluster.configuration.compression import decompress
from finchladder.cluster.process.log import event
from finchladder.cluster.process.router import Router
from finchladder.cluster.process.settings import Settings
from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import ExpectedReplica, PoolKey, WorkerSelector, pool_member
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import PeerClient, steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import DemandReply, DemandReport, Update

READY_PATH = "/api/readyz"
AFFINITY_SLOT_SHARE = 0.2  # of a worker's slots in use, above which the least loaded is looked for
REPORT_INTERVAL_S = 0.4
REPORT_TIMEOUT_S = 0.6
PEER_LOADS_EXPIRY_S = 2.0  # after which the loads that others had count no more
REPORT_BATCH_DELAY_S = 0.01  # what is waited for within this time is told at once
WORKER_KEEPALIVE_S = 20.0  # less where the workers say so
UNCONFIRMED_READY_AFTER_S = 4.0
SHUTDOWN_POLL_S = 0.05
READINESS_PROPAGATION_S = 2.5  # after this no new connections come
EXIT_MARGIN_S = 0.6
FINAL_RESPONSES_S = 0.3  # for the answers to what can't be ended in time


@define
class DispatcherNode:
    """Wiring of a dispatcher."""

    settings: Settings
    random: Random = field(factory=Random)
    tasks: Tasks = field(factory=Tasks)
    peers: PeerClient = field(init=False)
    puller: UpdatePuller = field(init=False)
    router: Router = field(init=False)
    demand: DemandCounter = field(factory=DemandCounter)
    demand_queued: Signal = field(factory=Signal)
    started_at: float = field(factory=steady)
    expected_replicas: dict[str, ExpectedReplica] = field(factory=dict)  # by instance
    peer_loads_received_at: float = 0.0  # when the placer last told what the others have in flight
    has_confirmed_state: bool = False
    stopping: bool = False

    def _build_components(self) -> None:
        self.demand.on_queued = self.demand_queued.fire
        settings, bounds = self.settings, self.settings.bounds
        self.peers = PeerClient()
        self.router = Router(
            make_session(keepalive_s=WORKER_KEEPALIVE_S),
            WorkerSelector(settings.node_name, settings.zone, AFFINITY_SLOT_SHARE, self.random),
            lambda: RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s),
            lambda: self.puller.dispatcher_count,
            self.demand,
            lambda: self.puller.has_core_lost_quorum(),
        )
        self.puller = UpdatePuller(
            name=settings.node_name,
            tables=ReplicatedTables(f"{settings.node_name}/{self.random.getrandbits(32):x}"),
            peers=self.peers,
            tasks=self.tasks,
            random=self.random,
            is_dispatcher=True,
            own_address=settings.peer_address,
            zone=settings.zone,
            seeds=tuple(settings.peer_of(seed) for seed in settings.seeds),
            configuration_version=lambda: self.router.snapshot.version,
            on_update=self._apply_update,
        )

    # --- what control tells -------------------------------------------------------------------------------

    def _apply_update(self, update: Update, changed: list[str]) -> None:
        if update.document and update.version > self.router.snapshot.version:
            self.router.snapshot = snapshot.build_snapshot(decompress(update.document))
            event("configuration.in_force", version=update.version)
        if changed:
            self._update_expected_replicas(changed)
            self._update_pools(changed)
        self.has_confirmed_state = self.has_confirmed_state or (update.chain_confirmed and update.version > 0)

    def _update_expected_replicas(self, changed: list[str]) -> None:
        """When what is being loaded will be there, by the own clock from the moment it was told."""
        now, tables = steady(), self.puller.tables
        for instance in changed:
            placement, worker = tables.placements.get(instance), tables.workers.get(instance)
            if placement is None or worker is None or placement.record.pending_load is None:
                self.expected_replicas.pop(instance, None)
                continue
            pending = placement.record.pending_load
            key = PoolKey(worker.record.service, pending.model, pending.adapter)
            self.expected_replicas[instance] = ExpectedReplica(key, now + pending.remaining_ms / 1000)

    def _update_pools(self, changed: list[str]) -> None:
        tables, router = self.puller.tables, self.router
        news = {}
        for instance in changed:
            worker, placement = tables.workers.get(instance), tables.placements.get(instance)
            news[instance] = pool_member(
                None if worker is None else worker.record,
                None if placement is None else placement.record,
                router.pools.members.get(instance),
            )
        router.pools = router.pools.with_changes(news, self.expected_replicas.values())
        router.pools_changed.fire()

    def is_ready(self) -> bool:
        """Whether clients should be sent here."""
        if self.stopping or not self.router.snapshot.version or not self.router.pools.members:
            return False
        if self.puller.has_core_lost_quorum():
            return False
        return self.has_confirmed_state or steady() - self.started_at > UNCONFIRMED_READY_AFTER_S

    async def _handle_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ok = request.path == READY_PATH and self.is_ready()
        return web.Response(status=200 if ok else 503)

    # --- what it is asked for -----------------------------------------------------------------------------

    async def _report_demand(self) -> None:
        told_at, interval = steady(), REPORT_INTERVAL_S
        while True:
            await self.demand_queued.wait(interval)
            await asyncio.sleep(REPORT_BATCH_DELAY_S)
            now = steady()
            self._expire_peer_loads(now, interval)
            if not self.puller.placer:
                continue
            loads = self.router.pools.own_loads()
            demands, uses = self.demand.collect(now), self.demand.model_uses()
            paces = self.demand.prefill_s_per_token()
            report = DemandReport(self.settings.node_name, now - told_at, demands, loads, uses, paces)
            told_at = now
            try:
                reply = await self.peers.call(self.puller.placer, report, REPORT_TIMEOUT_S)
            except ClusterError:
                continue
            if isinstance(reply, DemandReply):
                interval = reply.interval_ms / 1000
                self.peer_loads_received_at = steady()
                self.router.pools.set_peer_loads(self.peer_loads_received_at, reply.peer_loads)

    def _expire_peer_loads(self, now: float, interval_s: float) -> None:
        """Without a placer only the own requests count: those of the others would soon be all wrong."""
        if now - self.peer_loads_received_at > interval_s + PEER_LOADS_EXPIRY_S:
            self.router.pools.set_peer_loads(now, {})

    # --- life ---------------------------------------------------------------------------------------------

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then ends what is open and returns."""
        self._build_components()
        frontend = Listener(self.router.handle, self.settings.frontend, cancels=True)
        readiness = Listener(self._handle_readiness, self.settings.readiness)
        await readiness.start()
        await frontend.start()
        self.tasks.repeat(self.puller.run, "sources")
        self.tasks.repeat(self._report_demand, "demand")
        event("node.started", role="edge", address=self.settings.frontend)
        await stop.wait()
        await self._graceful_shutdown(frontend)
        await frontend.stop()
        await self.tasks.stop()
        await self.router.session.close()
        await self.peers.close()
        await readiness.stop()

    async def _graceful_shutdown(self, frontend: Listener) -> None:
        """Not ready first; when no new connections come, closes idle ones and waits for what is open. What
        still comes until it takes no more connections is answered too.
        """
        began = steady()
        until = began + self.settings.bounds.grace_s - EXIT_MARGIN_S
        last = until - FINAL_RESPONSES_S
        self.stopping = True
        self.router.drain(began + READINESS_PROPAGATION_S, last)
        while steady() < last:
            await asyncio.sleep(SHUTDOWN_POLL_S)
            if steady() - began < READINESS_PROPAGATION_S:
                continue
            frontend.close_idle()
            if not self.router.open_requests:
                break
        await frontend.stop_accepting()
        while frontend.connections and steady() < last:
            await asyncio.sleep(SHUTDOWN_POLL_S)  # what has just been sent is read first
            frontend.close_idle()
        event("node.stopping", open_requests=self.router.open_requests)
        self.router.expire_open_timeouts()
        if frontend.connections:
            await asyncio.sleep(FINAL_RESPONSES_S)
