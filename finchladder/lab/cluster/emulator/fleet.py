"""A fleet at virtual time: emulated engines, dispatchers that choose as real ones do, the real placer."""

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from attrs import define, field, frozen

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot, Engine, Model, Service
from finchladder.cluster.process.attempt import NotExecuted
from finchladder.cluster.process.demand_reporter import REPORT_BATCH_DELAY_S, REPORT_INTERVAL_S
from finchladder.cluster.process.in_flight import InFlightRequest
from finchladder.cluster.process.placer import Placer
from finchladder.cluster.process.router import CLIENT_RETRY_GRACE_S
from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.process.update_server import BATCH_INTERVAL_PER_DISPATCHER_S, MAX_BATCH_INTERVAL_S
from finchladder.cluster.process.worker_backoff import record_failure
from finchladder.cluster.process.worker_orders import WorkerOrders
from finchladder.cluster.process.worker_selection import RequestQueue
from finchladder.cluster.replication.lease import HeldLease
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import ExpectedReplica, PoolKey, pool_member
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.selection import AFFINITY_SLOT_FRACTION, WorkerSelector
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import DemandReport
from finchladder.cluster.types.operations import ControlState
from finchladder.cluster.types.workers import LoadedModel, SessionPhase, WorkerRecord
from finchladder.lab.cluster.emulator.demand import Arrival, DayPlan, arrivals
from finchladder.lab.cluster.emulator.engines import EngineSpeed, EngineWorker, LoadTime
from finchladder.lab.cluster.model_workers import StandInClient
from finchladder.lab.cluster.virtual import run

SERVICE = "llm"
CALL_S = 0.003  # one way
LEAD_S = 10.0  # before traffic
NEVER_S = 1e9
CLIENT_TRIES = 2
PATIENCE_SHARE = 1 / 3  # of the time that is left: so long a refused client waits at most
LEAST_SILENCE_S = 2.0
SILENT_AIMS = 4.0
STORE_WINDOW_S, STORE_OVERAGE = 5.0, 1.1


@frozen
class ModelShape:
    """What a model takes and how fast it is."""

    weights_mb: float
    store_s: float
    disk_s: float
    pace: float


@frozen
class FleetPlan:
    """What there is. `models` by name; `zones`: workers and dispatchers are dealt out over them."""

    workers: int
    dispatchers: int
    models: Mapping[str, ModelShape]
    zones: int = 4
    memory_mb: float = 200_000.0
    lora_slots: int = 8
    adapter_mb: float = 50.0
    load_rate_s: float = 11.4
    speed: EngineSpeed = EngineSpeed()
    all_held: bool = False  # every worker holds every model: no placement could do better


@define
class Outcome:
    """What became of a request. Times in seconds from its arrival; `worth`: earned."""

    arrival: Arrival
    first_s: float | None = None
    end_s: float | None = None
    copies: int = 0  # when it was sent
    waited_s: float = 0.0
    refusals: int = 0
    worker: str = ""

    @property
    def in_time(self) -> bool:
        """Whether it earned its whole worth."""
        first_s = self.first_s
        return self.end_s is not None and first_s is not None and first_s <= self.arrival.kind.aim_s

    @property
    def worth(self) -> float:
        """What it earned."""
        kind = self.arrival.kind
        if self.end_s is None:
            return 0.0
        return kind.worth if self.in_time else kind.late_worth


@define
class Dispatcher:
    """One that chooses workers for what clients send to it."""

    name: str
    zone: str
    fleet: "Fleet"
    demand: DemandCounter
    queue: RequestQueue
    waited_for: Signal = field(factory=Signal)

    @classmethod
    def make(cls, number: int, fleet: "Fleet") -> "Dispatcher":
        """The dispatcher with that number."""
        name, zone = f"edge-{number}", f"z{number % fleet.plan.zones}"
        demand = DemandCounter()
        selector = WorkerSelector(name, zone, AFFINITY_SLOT_FRACTION)
        made = cls(name, zone, fleet, demand, RequestQueue(selector, lambda: fleet.plan.dispatchers, demand))
        demand.on_queued = made.waited_for.fire
        return made

    async def report(self) -> None:
        """Tells the placer what is asked for; for ever."""
        interval = REPORT_INTERVAL_S
        while True:
            await self.waited_for.wait(interval)
            await asyncio.sleep(REPORT_BATCH_DELAY_S)
            now, demand = steady(), self.demand
            loads = self.queue.pools.own_loads()
            paces = demand.prefill_s_per_token()
            report = DemandReport(self.name, interval, demand.collect(now), loads, demand.model_uses(), paces)
            await asyncio.sleep(CALL_S)
            reply = self.fleet.placer.on_demand(report)
            await asyncio.sleep(CALL_S)
            interval = reply.interval_ms / 1000
            self.queue.pools.set_peer_loads(steady(), reply.peer_loads)

    async def serve(self, outcome: Outcome, arrived: float) -> float | None:
        """One try of a client; returns what it is told to wait, if it is refused."""
        kind, work = outcome.arrival.kind, outcome.arrival.work
        now = steady()
        until = arrived + kind.deadline_s
        patience_s = min(until - now, max(LEAST_SILENCE_S, SILENT_AIMS * kind.aim_s))
        key = PoolKey(SERVICE, work.model, work.adapter)
        classified = ClassifiedRequest("", key, now, until, work.prompt, kind.aim_s, patience_s)
        self.demand.record_request(classified)
        attempted: frozenset[str] = frozenset()
        worker = await self.queue.select_worker(classified, attempted)
        if worker is None:
            return self._refuse(classified)
        outcome.copies, outcome.worker = len(self.queue.pools.pool(key).workers), worker.instance
        outcome.waited_s = steady() - arrived
        with InFlightRequest(self.demand, classified, worker) as running:
            await asyncio.sleep(CALL_S)
            request = self.fleet.workers[worker.instance].submit(work, until)
            if request is None or not await request.first:
                if request is not None and request.was_run:
                    return None
                is_misdirected = request is None
                status = HTTPStatus.MISDIRECTED_REQUEST if is_misdirected else HTTPStatus.SERVICE_UNAVAILABLE
                record_failure(worker, classified, NotExecuted(status, 0.0))
                return self._refuse(classified)
            await asyncio.sleep(CALL_S)
            outcome.first_s = steady() - arrived
            running.record_first_token()
            if await request.end:
                outcome.end_s = steady() - arrived
        return None

    def _refuse(self, classified: ClassifiedRequest) -> float:
        retry_after_s = self.queue.retry_after_s(classified)
        if not self.queue.pools.pool(classified.key).workers:
            self.demand.expect_client_retry(classified.key, steady() + retry_after_s + CLIENT_RETRY_GRACE_S)
        return retry_after_s


@define
class Fleet:
    """One emulated day."""

    plan: FleetPlan
    day: DayPlan
    seed: int
    workers: dict[str, EngineWorker] = field(factory=dict)
    dispatchers: list[Dispatcher] = field(factory=list)
    tables: ReplicatedTables = field(factory=lambda: ReplicatedTables("core-1/1"))
    changed: Signal = field(factory=Signal)
    placer: Placer = field(init=False)
    tasks: Tasks = field(factory=Tasks)
    loads: int = 0
    began: float = 0.0
    outcomes: list[Outcome] = field(factory=list)

    async def play(self) -> list[Outcome]:
        """What became of all requests of the day."""
        self._build()
        self.tasks.repeat(self.placer.run, "placer")
        self.tasks.repeat(self._tell, "news")
        for worker in self.workers.values():
            self.tasks.repeat(worker.serve, "engine")
        for dispatcher in self.dispatchers:
            self.tasks.repeat(dispatcher.report, "demand")
        await asyncio.sleep(LEAD_S)
        self.began = steady()
        random, clients = Random(f"{self.seed} clients"), []
        for arrival in arrivals(self.day, self.seed):
            await asyncio.sleep(max(0.0, self.began + arrival.at - steady()))
            clients.append(asyncio.ensure_future(self._client(arrival, random)))
        outcomes = await asyncio.gather(*clients)
        await self.tasks.stop()
        return outcomes

    async def _client(self, arrival: Arrival, random: Random) -> Outcome:
        outcome, arrived = Outcome(arrival), steady()
        for _ in range(CLIENT_TRIES):
            retry_after_s = await random.choice(self.dispatchers).serve(outcome, arrived)
            if retry_after_s is None:
                break
            outcome.refusals += 1
            left_s = arrived + arrival.kind.deadline_s - steady()
            if left_s <= 0:
                break
            await asyncio.sleep(min(retry_after_s, PATIENCE_SHARE * left_s))
        return outcome

    # --- what there is ------------------------------------------------------------------------------------

    def _build(self) -> None:
        plan = self.plan
        models = {
            name: Model(name, shape.weights_mb, shape.store_s, self.day.catalogue.adapters, plan.adapter_mb)
            for name, shape in plan.models.items()
        }
        engine = Engine(
            plan.speed.batch,
            plan.speed.memory_tokens,
            plan.memory_mb,
            plan.lora_slots,
            plan.load_rate_s,
            models,
        )
        service = Service(SERVICE, 700, "/healthz", engine)
        snapshot = ConfigurationSnapshot(1, {}, {SERVICE: service}, 15.0, 1 << 20, 1 << 14)
        self._make_workers()
        self._make_placer(snapshot)
        self.dispatchers = [Dispatcher.make(number, self) for number in range(plan.dispatchers)]
        self._update(list(self.workers))

    def _make_workers(self) -> None:
        plan, paces = self.plan, {name: shape.pace for name, shape in self.plan.models.items()}
        times = {name: LoadTime(shape.store_s, shape.disk_s) for name, shape in plan.models.items()}
        held = initial_placement(plan, self.day)
        for number, models in enumerate(held):
            worker = EngineWorker(set(models), speed=plan.speed, paces=paces, load_times=times)
            worker.on_disk = set(models)
            if plan.all_held:
                worker.adapters = {
                    m: {f"a{n + 1}" for n in range(self.day.catalogue.adapters)} for m in models
                }
            self.workers[f"w{number:03}"] = worker
        for number, (name, worker) in enumerate(self.workers.items()):
            holdings = tuple(
                LoadedModel(m, tuple(sorted(worker.adapters.get(m, ())))) for m in sorted(worker.models)
            )
            zone = f"z{number % plan.zones}"
            record = WorkerRecord(
                name,
                SERVICE,
                f"{name}:1",
                zone,
                plan.speed.batch,
                SessionPhase.READY,
                1,
                "core-1/1",
                holdings,
            )
            self.tables.put_worker(record)

    def _make_placer(self, snapshot: ConfigurationSnapshot) -> None:
        updates = SimpleNamespace(
            tables=self.tables,
            changed=self.changed,
            dispatcher_count=lambda: self.plan.dispatchers,
            batch_interval_s=self._batch_interval_s,
            state=lambda: ControlState(),
            started_at=-NEVER_S,
        )
        lease = HeldLease(NEVER_S, token=1, expires_at=NEVER_S)
        me = Member("core-1", "d", "z", "core-1:1", "core-1:2")
        role = SimpleNamespace(lease=lease, me=me, reacquired=False, last_order_at=0.0, is_held=lambda: True)
        client = CountingClient({f"{name}:1": worker for name, worker in self.workers.items()}, self)
        orders = WorkerOrders(cast(Any, role), cast(Any, client))
        self.placer = Placer(
            cast(Any, role), cast(Any, updates), orders, self.tasks, STORE_WINDOW_S, STORE_OVERAGE, 3.0
        )
        self.placer.snapshot = snapshot

    def _batch_interval_s(self) -> float:
        return min(MAX_BATCH_INTERVAL_S, BATCH_INTERVAL_PER_DISPATCHER_S * self.plan.dispatchers)

    # --- news ---------------------------------------------------------------------------------------------

    async def _tell(self) -> None:
        """Brings what the placer tells to the dispatchers; for ever."""
        told: dict[str, int] = {}
        while True:
            await self.changed.wait(NEVER_S)
            await asyncio.sleep(self._batch_interval_s() / 2 + 2 * CALL_S)
            serials = {name: placed.record.serial for name, placed in self.tables.placements.items()}
            news = [name for name, serial in serials.items() if told.get(name) != serial]
            told = serials
            self._update(news)

    def _update(self, instances: list[str]) -> None:
        now, tables = steady(), self.tables
        loads = [
            ExpectedReplica(
                PoolKey(SERVICE, pending.model, pending.adapter), now + pending.remaining_ms / 1000
            )
            for placed in tables.placements.values()
            if (pending := placed.record.pending_load) is not None
        ]
        for dispatcher in self.dispatchers:
            pools = dispatcher.queue.pools
            news = {}
            for name in instances:
                placed = tables.placements.get(name)
                record = None if placed is None else placed.record
                news[name] = pool_member(tables.workers[name].record, record, pools.members.get(name))
            dispatcher.queue.pools = pools.with_changes(news, loads)
            dispatcher.queue.pools_changed.fire()


@define
class CountingClient(StandInClient):
    """Counts the loads that begin."""

    fleet: Fleet

    async def order(self, address: str, instance: str, body: Any, timeout_s: float) -> int:
        """As of `WorkerClient`."""
        taken_before = self.workers[address].sequence
        status = await StandInClient.order(self, address, instance, body, timeout_s)
        is_new = self.workers[address].sequence > taken_before
        self.fleet.loads += is_new and body.operation == "load" and body.adapter is None
        return status


def initial_placement(plan: FleetPlan, day: DayPlan) -> list[list[str]]:
    """Models of each worker at the start: those in demand on many, others on one while there is room."""
    names = list(plan.models)
    if plan.all_held:
        return [list(names) for _ in range(plan.workers)]
    held: list[list[str]] = [[] for _ in range(plan.workers)]
    room = [plan.memory_mb] * plan.workers
    shares = day.shares(0.0)

    def put(model: str) -> bool:
        size = plan.models[model].weights_mb
        able = [n for n in range(plan.workers) if room[n] >= size and model not in held[n]]
        if not able:
            return False
        chosen = max(able, key=lambda n: (room[n], -n))
        held[chosen].append(model)
        room[chosen] -= size
        return True

    for model, share in sorted(shares.items(), key=lambda item: -item[1]):
        for _ in range(max(1, round(share * plan.workers))):
            put(model)
    others = [name for name in names if name not in shares]
    Random(day.length_s).shuffle(others)
    for model in others:
        put(model)
    return held


def play(plan: FleetPlan, day: DayPlan, seed: int) -> Fleet:
    """Plays a day and returns the fleet after it, with its outcomes."""
    fleet = Fleet(plan, day, seed)

    async def main() -> None:
        fleet.outcomes = await fleet.play()

    run(main())
    return fleet
