"""The placer: decides which worker loads which model while this process holds the placer's lease."""

import secrets

from attrs import define, field

from finchladder.cluster.configuration.snapshot import EMPTY_SNAPSHOT, ConfigurationSnapshot, Engine
from finchladder.cluster.process.action_executor import ActionExecutor
from finchladder.cluster.process.configuration_reading import read_configuration
from finchladder.cluster.process.demand_intake import DemandIntake
from finchladder.cluster.process.fleet_observer import FleetObserver
from finchladder.cluster.process.log import event
from finchladder.cluster.process.managed_workers import ManagedWorkers
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.placer_takeover import PlacerTakeover
from finchladder.cluster.process.service_planner import ServicePlanner
from finchladder.cluster.process.store_load_budget import StoreLoadBudget
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_server import UpdateServer
from finchladder.cluster.process.worker_orders import WorkerOrders
from finchladder.cluster.tenancy.api_keys import KEY_SALT_BYTES
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import error_kind, error_location
from finchladder.cluster.types.messages import DemandReply, DemandReport

PLANNING_INTERVAL_S = 0.1


@define
class Placer:
    """Runs in every control process, but plans only while its process holds the lease; terms start empty.

    Attributes:
        takeover_delay_s: Minimum time between the last order of a lease holder and the grant of the lease to
            another process.
        received_version: Version of the last configuration that was read, even if it could not be read.
    """

    lease_service: PlacerLeaseService
    updates: UpdateServer
    orders: WorkerOrders
    tasks: Tasks
    load_window_s: float
    allowed_load_overage: float
    takeover_delay_s: float
    snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT
    received_version: int = 0
    observer: FleetObserver = field(init=False)
    demand: DemandIntake = field(init=False)
    budget: StoreLoadBudget = field(init=False)
    workers: ManagedWorkers = field(init=False)
    takeover: PlacerTakeover = field(init=False)
    planner: ServicePlanner = field(init=False)
    _failed_services: set[str] = field(factory=set, init=False)  # whose planning failed with this version

    def __attrs_post_init__(self) -> None:
        """Creates the components."""
        self.observer = FleetObserver(self.updates, self.load_window_s)
        disks = self.observer.disks
        self.demand = DemandIntake(self.lease_service, self.updates)
        self.budget = StoreLoadBudget(
            self.load_window_s, self.allowed_load_overage, self.takeover_delay_s, disks
        )
        self.workers = ManagedWorkers(self.updates, self.orders, disks, self.load_window_s)
        self.takeover = PlacerTakeover(
            self.updates, self.orders, self.workers, self.observer, self.budget, lambda: self.snapshot
        )
        executor = ActionExecutor(self.updates, self.orders, self.workers, self.budget, disks, self.demand)
        self.planner = ServicePlanner(
            self.tasks, self.workers, self.budget, executor, disks, self.demand.tracker
        )

    def on_demand(self, report: DemandReport) -> DemandReply:
        """Handles a dispatcher's demand report."""
        return self.demand.on_report(report)

    async def run(self) -> None:
        """Plans periodically, and as soon as requests are queued, while the process holds the lease."""
        while True:
            if not self.workers.term:
                self.observer.record_disks()
            self.observer.record_loads()
            if self.lease_service.is_held():
                self._begin_term()
                self._plan()
            elif self.workers.term and self.lease_service.lease.is_dropped:
                self.workers.end_term()
            await self.demand.demand_queued.wait(PLANNING_INTERVAL_S)

    def _begin_term(self) -> None:
        """Begins a term if the lease has a new token; after a renewal the current term continues."""
        token = self.lease_service.lease.token
        if token == self.workers.term:
            return
        self.workers.begin_term(token)
        self.budget.begin_term(token, steady(), is_reelected=self.lease_service.reacquired)
        self.workers.follow_sessions(self.snapshot)
        if token > 1:
            self.tasks.spawn(self.takeover.run(token), "takeover by the new placer")

    def _plan(self) -> None:
        now = steady()
        self._update_snapshot()
        self.demand.tracker.decay(now)
        self.workers.follow_sessions(self.snapshot)
        for name, service in self.snapshot.services.items():
            if service.engine is not None:
                self._plan_service(now, name, service.engine)

    def _update_snapshot(self) -> None:
        """Reads the configuration once after it has changed; the former one stays in use if this fails."""
        state = self.updates.state()
        if state.version == self.received_version or not state.document:
            return
        self.received_version = state.version
        self._failed_services.clear()
        salt = secrets.token_bytes(KEY_SALT_BYTES)
        newer = read_configuration(state.version, self.snapshot.version, lambda: state.document, salt)
        self.snapshot = newer or self.snapshot

    def _plan_service(self, now: float, name: str, engine: Engine) -> None:
        """Plans one service; an error is logged once for each version and does not affect other services."""
        try:
            self.planner.plan(now, name, engine)
        # catches any error, because the other services must be planned
        except Exception as error:  # noqa: BLE001
            if name not in self._failed_services:
                self._failed_services.add(name)
                event(
                    "placer.planning_failed",
                    service=name,
                    version=self.received_version,
                    error=error_kind(error),
                    place=error_location(error),
                )
