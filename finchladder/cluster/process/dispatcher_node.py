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
from finchladder.cluster.routing.budget import RetryBudget
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Chooser, LoadUnderWay, PoolKey, holder_of
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import PeerClient, steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import DemandReply, DemandReport, Update

READY_PATH = "/api/readyz"
KEYED_SHARE = 0.2  # of a worker's slots in use, above which the least loaded is looked for
REPORT_S = 0.4
REPORT_TIMEOUT_S = 0.6
LOADS_FORGOTTEN_S = 2.0  # after which the loads that others had count no more
TOGETHER_S = 0.01  # what is waited for within this time is told at once
WORKER_KEEPALIVE_S = 20.0  # less where the workers say so
START_WITHOUT_CONFIRMATION_S = 4.0
WIND_UP_STEP_S = 0.05
UNREADY_S = 2.5  # after this no new connections come
EXIT_MARGIN_S = 0.6
LAST_ANSWERS_S = 0.3  # for the answers to what can't be ended in time


@define
class EdgeNode:
    """Wiring of a dispatcher."""

    settings: Settings
    random: Random = field(factory=Random)
    tasks: Tasks = field(factory=Tasks)
    peers: PeerClient = field(init=False)
    puller: UpdatePuller = field(init=False)
    router: Router = field(init=False)
    demand: DemandCounter = field(factory=DemandCounter)
    waited_for: Signal = field(factory=Signal)
    started_at: float = field(factory=steady)
    pending_loads: dict[str, LoadUnderWay] = field(factory=dict)  # by instance
    loads_heard_at: float = 0.0  # when the placer last told what the others have in flight
    fresh: bool = False
    stopping: bool = False

    def _wire(self) -> None:
        self.demand.on_wait = self.waited_for.fire
        settings, bounds = self.settings, self.settings.bounds
        self.peers = PeerClient()
        self.router = Router(
            make_session(keepalive_s=WORKER_KEEPALIVE_S),
            Chooser(settings.node_name, settings.zone, KEYED_SHARE, self.random),
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
            seeds=tuple(settings.peer_address_of(seed) for seed in settings.seeds),
            configuration_version=lambda: self.router.snapshot.version,
            on_update=self._take,
        )

    # --- what control tells -------------------------------------------------------------------------------

    def _take(self, delta: Update, changed: list[str]) -> None:
        if delta.document and delta.version > self.router.snapshot.version:
            self.router.snapshot = snapshot.build_snapshot(decompress(delta.document))
            event("configuration.in_force", version=delta.version)
        if changed:
            self._note_pending_loads(changed)
            self._update_pools(changed)
        self.fresh = self.fresh or (delta.chain_confirmed and delta.version > 0)

    def _note_pending_loads(self, changed: list[str]) -> None:
        """When what is being loaded will be there, by the own clock from the moment it was told."""
        now, tables = steady(), self.puller.tables
        for instance in changed:
            placement, worker = tables.placements.get(instance), tables.workers.get(instance)
            if placement is None or worker is None or placement.record.pending_load is None:
                self.pending_loads.pop(instance, None)
                continue
            pending = placement.record.pending_load
            key = PoolKey(worker.record.service, pending.model, pending.adapter)
            self.pending_loads[instance] = LoadUnderWay(key, now + pending.remaining_ms / 1000)

    def _update_pools(self, changed: list[str]) -> None:
        tables, router = self.puller.tables, self.router
        news = {}
        for instance in changed:
            worker, placement = tables.workers.get(instance), tables.placements.get(instance)
            news[instance] = holder_of(
                None if worker is None else worker.record,
                None if placement is None else placement.record,
                router.pools.holders.get(instance),
            )
        router.pools = router.pools.changed(news, self.pending_loads.values())
        router.changed.fire()

    def ready(self) -> bool:
        """Whether clients should be sent here."""
        if self.stopping or not self.router.snapshot.version or not self.router.pools.holders:
            return False
        if self.puller.has_core_lost_quorum():
            return False
        return self.fresh or steady() - self.started_at > START_WITHOUT_CONFIRMATION_S

    async def _on_readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        ok = request.path == READY_PATH and self.ready()
        return web.Response(status=200 if ok else 503)

    # --- what it is asked for -----------------------------------------------------------------------------

    async def _report(self) -> None:
        told_at, interval = steady(), REPORT_S
        while True:
            await self.waited_for.wait(interval)
            await asyncio.sleep(TOGETHER_S)
            now = steady()
            self._forget_old_loads(now, interval)
            if not self.puller.placer:
                continue
            loads = self.router.pools.own_loads()
            demands, uses = self.demand.take(now), self.demand.uses()
            paces = self.demand.seconds_per_token()
            report = DemandReport(self.settings.node_name, now - told_at, demands, loads, uses, paces)
            told_at = now
            try:
                reply = await self.peers.call(self.puller.placer, report, REPORT_TIMEOUT_S)
            except ClusterError:
                continue
            if isinstance(reply, DemandReply):
                interval = reply.interval_ms / 1000
                self.loads_heard_at = steady()
                self.router.pools.hear_loads(self.loads_heard_at, reply.peer_loads)

    def _forget_old_loads(self, now: float, interval_s: float) -> None:
        """Without a placer only the own requests count: those of the others would soon be all wrong."""
        if now - self.loads_heard_at > interval_s + LOADS_FORGOTTEN_S:
            self.router.pools.hear_loads(now, {})

    # --- life ---------------------------------------------------------------------------------------------

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set, then ends what is open and returns."""
        self._wire()
        frontend = Listener(self.router.handle, self.settings.frontend, cancel_on_disconnect=True)
        readiness = Listener(self._on_readiness, self.settings.readiness)
        await readiness.start()
        await frontend.start()
        self.tasks.repeat(self.puller.run, "sources")
        self.tasks.repeat(self._report, "demand")
        event("node.started", role="edge", address=self.settings.frontend)
        await stop.wait()
        await self._wind_up(frontend)
        await frontend.stop()
        await self.tasks.stop()
        await self.router.session.close()
        await self.peers.close()
        await readiness.stop()

    async def _wind_up(self, frontend: Listener) -> None:
        """Not ready first; when no new connections come, closes idle ones and waits for what is open. What
        still comes until it takes no more connections is answered too.
        """
        began = steady()
        until = began + self.settings.bounds.grace_s - EXIT_MARGIN_S
        last = until - LAST_ANSWERS_S
        self.stopping = True
        self.router.drain(began + UNREADY_S, last)
        while steady() < last:
            await asyncio.sleep(WIND_UP_STEP_S)
            if steady() - began < UNREADY_S:
                continue
            frontend.close_idle()
            if not self.router.open_requests:
                break
        await frontend.stop_accepting()
        while frontend.connection_count and steady() < last:
            await asyncio.sleep(WIND_UP_STEP_S)  # what has just been sent is read first
            frontend.close_idle()
        event("node.stopping", open_requests=self.router.open_requests)
        self.router.end_attempts()
        if frontend.connection_count:
            await asyncio.sleep(LAST_ANSWERS_S)
