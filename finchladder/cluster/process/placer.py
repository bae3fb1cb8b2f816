"""The placer: while it holds the role, it knows what each worker holds and gives orders, one at a time to
each.
"""

import asyncio

from attrs import define, field

from finchladder.cluster.configuration.routing import EMPTY, Engine, Snapshot, build
from finchladder.cluster.placement.demand import DemandBook
from finchladder.cluster.placement.ledger import LoadLedger
from finchladder.cluster.placement.planner import Action, Evict, Load, Plan, Round, WorkerState, used_mb
from finchladder.cluster.process.log import event
from finchladder.cluster.process.role import RoleService
from finchladder.cluster.process.sessions_service import SessionsService
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.worker_client import WorkerClient
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.beats import OrderBody, Report, holdings
from finchladder.cluster.types.errors import PeerUnreachable
from finchladder.cluster.types.messages import DemandReply, DemandReport
from finchladder.cluster.types.workers import Holding, Phase, PlacementRecord, WorkerRecord

TICK_S = 0.1
HIDE_S = 0.15  # from telling the dispatchers that a model goes until the order goes out
POLL_S = 0.15
ADAPTER_POLL_S = 0.12
REPORT_INTERVAL_MS = 250
REPORTS_A_SECOND = 100  # that the placer is ready to read
SETTLE_S = 0.5  # a worker that could not be asked is asked again after this


@define
class Managed:
    """A worker under this placer. `report`: the last one; None: not asked yet."""

    state: WorkerState
    report: Report | None = None
    serial: int = 0
    hidden: set[tuple[str, str]] = field(factory=set)
    task: asyncio.Task[None] | None = None
    retry_at: float = 0.0
    action: Action | None = None


@define
class Placer:
    """Its knowledge begins anew with each term of the role."""

    role: RoleService
    sessions: SessionsService
    client: WorkerClient
    tasks: Tasks
    window_s: float
    demand: DemandBook = field(factory=DemandBook)
    managed: dict[str, Managed] = field(factory=dict)
    ledgers: dict[str, LoadLedger] = field(factory=dict)
    on_disk: dict[str, set[str]] = field(factory=dict)  # by worker address
    snapshot: Snapshot = EMPTY
    term: int = 0
    term_began: float = 0.0

    def on_demand(self, report: DemandReport) -> DemandReply:
        """A dispatcher's report."""
        self.demand.take(steady(), report)
        edges = max(1, self.sessions.edges())
        interval = max(REPORT_INTERVAL_MS, 1000 * edges // REPORTS_A_SECOND)
        return DemandReply(interval, self.role.holds())

    async def run(self) -> None:
        """Plans again and again while it holds the role."""
        while True:
            if self.role.holds():
                self._begin_term()
                self._tick()
            elif self.managed:
                self._end_term()
            await asyncio.sleep(TICK_S)

    def _begin_term(self) -> None:
        token = self.role.lease.token
        if token == self.term:
            return
        self._end_term()
        self.term, self.term_began = token, steady()
        self.ledgers = {}

    def _end_term(self) -> None:
        for managed in self.managed.values():
            if managed.task is not None:
                managed.task.cancel()
        self.managed.clear()
        self.term = 0

    # --- planning -----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = steady()
        state = self.sessions.state()
        if state.version != self.snapshot.version and state.document:
            self.snapshot = build(state.document)
        self.demand.settle(now)
        self._follow_workers()
        for name, service in self.snapshot.services.items():
            if service.engine is not None:
                self._plan(now, name, service.engine)

    def _follow_workers(self) -> None:
        live = {r.instance: r for r in self.sessions.tables.live()}
        for instance in set(self.managed) - set(live):
            gone = self.managed.pop(instance)
            if gone.task is not None:
                gone.task.cancel()
        for instance, record in live.items():
            service = self.snapshot.services.get(record.service)
            if service is None or service.engine is None:
                continue
            managed = self.managed.get(instance)
            if managed is None:
                managed = self.managed[instance] = self._managed(record)
            managed.state.leaving = record.phase is not Phase.READY

    def _managed(self, record: WorkerRecord) -> Managed:
        models = {h.model: set(h.adapters) for h in record.holdings}
        self.on_disk.setdefault(record.address, set()).update(models)
        state = WorkerState(
            record.instance, record.service, record.address, record.zone, False, False, models
        )
        return Managed(state)

    def _plan(self, now: float, service: str, engine: Engine) -> None:
        workers = [m for m in self.managed.values() if m.state.service == service]
        ledger = self._ledger(service, engine)
        loading: dict[str, int] = {}
        for managed in workers:
            managed.state.busy = managed.task is not None or now < managed.retry_at
            managed.state.on_disk = frozenset(self.on_disk.get(managed.state.address, ()))
            if isinstance(managed.action, Load) and not managed.action.adapter:
                loading[managed.action.model] = loading.get(managed.action.model, 0) + 1
        left = ledger.left(now)
        plan = Plan(service, engine, [m.state for m in workers], self.demand, left)
        for action in Round(plan).actions(loading):
            managed = self.managed[action.instance]
            managed.action = action
            work = self._carry_out(managed, action, engine, ledger)
            managed.task = self.tasks.spawn(work, f"order {action}")

    def _ledger(self, service: str, engine: Engine) -> LoadLedger:
        ledger = self.ledgers.get(service)
        if ledger is None:
            ledger = self.ledgers[service] = LoadLedger(engine.load_rate_s, self.window_s)
            if self.term > 1:
                ledger.assume_full(self.term_began)
        return ledger

    # --- orders -------------------------------------------------------------------------------------------

    async def _carry_out(self, managed: Managed, action: Action, engine: Engine, ledger: LoadLedger) -> None:
        try:
            if managed.report is None:
                await self._learn(managed)
            if self._still_fits(managed, action, engine):
                await self._give(managed, action, ledger)
        except PeerUnreachable as error:
            managed.retry_at = steady() + SETTLE_S
            managed.report = None
            event("placer.worker_unheard", problem=str(error))
        finally:
            managed.task, managed.action = None, None

    async def _learn(self, managed: Managed) -> None:
        """Asks the worker what it holds, and waits while an order is under way there."""
        state = managed.state
        while True:
            report = await self.client.report(state.address, state.instance)
            if not report.busy:
                break
            await asyncio.sleep(POLL_S)
        self._know(managed, report)

    def _know(self, managed: Managed, report: Report) -> None:
        managed.report = report
        managed.state.models = {m.name: set(m.adapters) for m in report.models}
        self.on_disk.setdefault(managed.state.address, set()).update(managed.state.models)
        self._publish(managed)

    def _publish(self, managed: Managed) -> None:
        """Tells the dispatchers what may be used at the worker."""
        managed.serial += 1
        usable = []
        for holding in holdings(managed.report.models if managed.report else []):
            if (holding.model, "") in managed.hidden:
                continue
            adapters = tuple(a for a in holding.adapters if (holding.model, a) not in managed.hidden)
            usable.append(Holding(holding.model, adapters))
        record = PlacementRecord(managed.state.instance, self.term, managed.serial, tuple(usable))
        self.sessions.tables.put_placement(record)
        self.sessions.changed.fire()

    def _still_fits(self, managed: Managed, action: Action, engine: Engine) -> bool:
        """Checks an order against what the worker says it holds: too much would end it."""
        state = managed.state
        adapters = state.models.get(action.model)
        held = adapters is not None and (not action.adapter or action.adapter in adapters)
        if isinstance(action, Evict):
            return held
        if held or (action.adapter and action.model not in state.models):
            return False
        model = engine.models.get(action.model)
        if model is None:
            return False
        need = model.adapter_size_mb if action.adapter else model.weights_mb
        if action.adapter and state.adapters() >= engine.lora_slots:
            return False
        return used_mb(engine, state.models) + need <= engine.weights_mb

    async def _give(self, managed: Managed, action: Action, ledger: LoadLedger) -> None:
        state = managed.state
        if isinstance(action, Evict):
            managed.hidden.add((action.model, action.adapter))
            self._publish(managed)
            await asyncio.sleep(HIDE_S)
        elif not action.adapter and action.model not in self.on_disk.get(state.address, ()):
            if not ledger.allows(steady()):
                return
            ledger.note(steady())
        assert managed.report is not None
        if not self.role.holds():
            return
        revision = managed.report.sequence
        body = OrderBody(
            operation="evict" if isinstance(action, Evict) else "load",
            model=action.model,
            adapter=action.adapter or None,
            holder=self.role.me.name,
            fence_token=self.term,
            if_revision=revision,
        )
        self.role.last_order_at = steady()
        status = await self.client.order(state.address, state.instance, body)
        event("placer.order", operation=body.operation, model=action.model, adapter=action.adapter,
              worker=state.address, status=status)  # fmt: skip
        if status == 202:
            await self._await_done(managed, action, revision + 1)
        elif status == 412:
            self.role.lease.drop()
        else:
            managed.report = None
            managed.retry_at = steady() + SETTLE_S
        managed.hidden.discard((action.model, action.adapter))
        if managed.report is not None:
            self._publish(managed)

    async def _await_done(self, managed: Managed, action: Action, revision: int) -> None:
        """Asks until the worker has taken the order and ended it."""
        service = self.snapshot.services.get(managed.state.service)
        model = service.engine.models.get(action.model) if service and service.engine else None
        first_s = POLL_S
        if action.adapter:
            first_s = ADAPTER_POLL_S
        await asyncio.sleep(first_s)
        began = steady()
        while True:
            report = await self.client.report(managed.state.address, managed.state.instance)
            if report.sequence >= revision and not report.busy:
                break
            waited = steady() - began
            longest = model.load_s if model is not None and isinstance(action, Load) else 0.0
            await asyncio.sleep(POLL_S if waited < 1.0 or waited > longest - 0.3 else 0.4)
        self._know(managed, report)
