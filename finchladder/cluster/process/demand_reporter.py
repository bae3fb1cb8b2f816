"""Reports a dispatcher's demand to the placer, which replies with the load of the other dispatchers."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Pools
from finchladder.cluster.transport.peers import PeerClient, steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import DemandReply, DemandReport

REPORT_INTERVAL_S = 0.4  # initial interval; the placer can request another one
REPORT_TIMEOUT_S = 0.6
REPORT_BATCH_DELAY_S = 0.01  # requests that are queued within this time go into one report
PEER_LOADS_EXPIRY_S = 2.0  # peer loads expire if the next ones are overdue by more than this time


@define
class DemandReporter:
    """Reports at the interval that the placer requests, and when a request begins to wait for a replica.

    Attributes:
        placer_address: Returns the placer's address; empty while it is unknown.
        pools: Returns the current pools.
        demand_queued: Fires when a request begins to wait for a replica.
        peer_loads_received_at: Time at which the placer last sent the peers' loads (monotonic seconds).
    """

    node_name: str
    peers: PeerClient
    placer_address: Callable[[], str]
    demand: DemandCounter
    pools: Callable[[], Pools]
    demand_queued: Signal = field(factory=Signal)
    peer_loads_received_at: float = 0.0

    async def run(self) -> None:
        """Reports until it is cancelled."""
        last_report_at = steady()
        interval_s = REPORT_INTERVAL_S
        while True:
            await self.demand_queued.wait(interval_s)
            await asyncio.sleep(REPORT_BATCH_DELAY_S)
            now = steady()
            self.expire_peer_loads(now, interval_s)
            placer_address = self.placer_address()
            if not placer_address:
                continue
            report = self._make_report(now, now - last_report_at)
            last_report_at = now
            try:
                reply = await self.peers.call(placer_address, report, REPORT_TIMEOUT_S)
            except ClusterError:
                continue
            if isinstance(reply, DemandReply):
                interval_s = reply.interval_ms / 1000
                self.peer_loads_received_at = steady()
                self.pools().set_peer_loads(self.peer_loads_received_at, reply.peer_loads)

    def _make_report(self, now: float, period_s: float) -> DemandReport:
        return DemandReport(
            self.node_name,
            period_s,
            self.demand.collect(now),
            self.pools().own_loads(),
            self.demand.model_uses(),
            self.demand.prefill_s_per_token(),
        )

    def expire_peer_loads(self, now: float, interval_s: float) -> None:
        """Drops the peers' loads if they are outdated, since worker selection would use wrong loads."""
        if now - self.peer_loads_received_at > interval_s + PEER_LOADS_EXPIRY_S:
            self.pools().set_peer_loads(now, {})
