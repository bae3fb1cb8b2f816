"""Model workers, the placer and what dispatchers ask for, in the control world: who loads what by when.

Each core process runs the placer beside its control state; each dispatcher tells it what clients wait for and
what runs. Most requests go to a few models and some to many that do not fit at once. The oracle looks at what
workers were told to do: no more loads from the store than its rate allows in any window, whoever gave the
orders, none that does not fit; and in calm, nobody waits for long.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any

from attrs import define, field

from finchladder.cluster.process.placer import Placer
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.worker_orders import WorkerOrders
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import PoolKey, usable_models
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.messages import DemandReport
from finchladder.cluster.types.worker_api import Heartbeat, ModelReport, OrderRequest
from finchladder.cluster.types.workers import SessionPhase
from finchladder.lab.cluster.dataplane import ANSWER_S, HEARTBEAT_S, Dispatcher
from finchladder.lab.cluster.engine import BUSY, LOAD_S, MEMORY_MB, RARE, RATE_S, SERVICE, WEIGHTS_MB
from finchladder.lab.cluster.model_workers import TAKEN, StandInClient, StandInWorker
from finchladder.lab.cluster.network import SimulatedPeers

if TYPE_CHECKING:
    from finchladder.lab.cluster.machine import Machine
    from finchladder.lab.cluster.world import World

WINDOW_S, OVERAGE, SLACK = 5.0, 1.1, 3  # of loads from the store, as the rules count them
WARM_S = 1.3  # a load from the own disk
PLACES = 2  # models at one worker
WORKERS = 5
BUSY_RATE_S, RARE_RATE_S = 5.0, 0.9  # requests a second of all dispatchers
RUN_S = (0.2, 1.2)
TICK_S, REPORT_S, REPORT_TIMEOUT_S = 0.05, 0.4, 0.6
PATIENCE_S = 8.0  # of a client, which then gives up
CALM_WAIT_S = 6.0  # so long nobody waits who came in calm


@define
class Waiting:
    """A request that no worker has yet."""

    model: str
    since: float


@define
class Clients:
    """Those of one dispatcher. `waits`: how long each rare request waited, in the end."""

    play: "PlacementPlay"
    dispatcher: Dispatcher
    random: Random
    demand: DemandCounter = field(factory=DemandCounter)
    waiting: list[Waiting] = field(factory=list)
    reported_at: float = 0.0

    async def work(self) -> None:
        """Runs for ever."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            self._come(now)
            for request in list(self.waiting):
                self._serve(request, now)
            if now - self.reported_at >= REPORT_S:
                self.reported_at = now
                self.play.spawn(self._report(now))
            await asyncio.sleep(TICK_S)

    def _come(self, now: float) -> None:
        share = TICK_S / len(self.play.world.dispatchers)
        if self.random.random() < RARE_RATE_S * share:
            self._arrive(self.random.choice(RARE), now)
        if self.random.random() < BUSY_RATE_S * share:
            self._arrive(self.random.choice(BUSY), now)

    def _arrive(self, model: str, now: float) -> None:
        self.demand.record_request(_request(model, now))
        self.demand.add_queued(_key(model), 1)
        self.waiting.append(Waiting(model, now))

    def _serve(self, request: Waiting, now: float) -> None:
        name = self._holder(request.model)
        waited_s = now - request.since
        if name is None and waited_s < PATIENCE_S:
            self.play.judge_wait(self.dispatcher, request, now)
            return
        self.waiting.remove(request)
        self.demand.add_queued(_key(request.model), -1)
        if request.model in RARE:
            self.play.waits.append(waited_s)
        if name is not None:
            self.play.spawn(self._run(request.model, name))

    def _holder(self, model: str) -> str | None:
        """A worker that has the model and that the dispatcher may send to."""
        puller = self.dispatcher.puller
        if puller is None:
            return None
        for name, worker in self.play.workers.items():
            record, placement = puller.tables.workers.get(name), puller.tables.placements.get(name)
            if record is None or record.record.phase is not SessionPhase.READY or not worker.holds(model):
                continue
            told = usable_models(record.record, None if placement is None else placement.record)
            if any(holding.model == model for holding in told):
                return name
        return None

    async def _run(self, model: str, name: str) -> None:
        self.demand.add_in_flight(_key(model), name, 1)
        self.play.workers[name].in_use[model] += 1
        await asyncio.sleep(self.random.uniform(*RUN_S))
        self.play.workers[name].in_use[model] -= 1
        self.demand.add_in_flight(_key(model), name, -1)

    async def _report(self, now: float) -> None:
        puller = self.dispatcher.puller
        if puller is None or not puller.placer:
            return
        name, demand = self.dispatcher.name, self.demand
        report = DemandReport(name, REPORT_S, demand.collect(now), {}, demand.model_uses())
        peers = SimulatedPeers(self.play.world.network, self.dispatcher.address)
        try:
            await peers.call(puller.placer, report, REPORT_TIMEOUT_S)
        except ClusterError:
            return  # the next one tells what waits and runs again


@define
class PlacementPlay:
    """Workers, clients and placers of one world. `loads`: when loads from the store began."""

    world: "World"
    random: Random
    workers: dict[str, StandInWorker] = field(factory=dict)
    loads: list[float] = field(factory=list)
    waits: list[float] = field(factory=list)
    tasks: set[asyncio.Task[None]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        models = [*BUSY, *RARE]
        for number in range(WORKERS):
            held = set(models[PLACES * number : PLACES * (number + 1)])
            worker = StandInWorker(held, LOAD_S, on_disk=set(held))
            self.workers[f"w{number}"] = worker

    def spawn(self, work: Any) -> None:
        """Runs something outside all processes until it ends."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def begin(self) -> None:
        """Workers call, clients come; the world's dispatchers must be there."""
        for name in self.workers:
            self.spawn(self._call(name))
        for dispatcher in self.world.dispatchers:
            clients = Clients(self, dispatcher, Random(self.random.getrandbits(64)))
            self.spawn(clients.work())

    def end(self) -> None:
        """Stops all of it."""
        for task in list(self.tasks):
            task.cancel()

    async def _call(self, name: str) -> None:
        """A worker's heartbeats, each at any control process."""
        sequence, worker = 0, self.workers[name]
        while True:
            running = self.world.running()
            machine = self.random.choice(running) if running else None
            if machine is not None and machine.sessions is not None:
                sequence += 1
                worker.settle()
                models = [ModelReport(model) for model in sorted(worker.models)]
                heartbeat = Heartbeat(SERVICE, f"{name}:1", "z", 64, "ready", sequence, models)
                called = machine.sessions.sessions.on_heartbeat(name, heartbeat)
                await self.world.call(machine, called, ANSWER_S)
            await asyncio.sleep(HEARTBEAT_S * self.random.uniform(0.3, 1.0))

    def start(self, machine: "Machine") -> Mapping[str, Callable[[], Awaitable[None]]]:
        """The placer of a core process that starts; its control state and sessions are there."""
        assert machine.plane is not None and machine.sessions is not None
        client = WatchedClient({f"{name}:1": worker for name, worker in self.workers.items()}, self)
        machine.placer = Placer(
            machine.plane.placer_lease,
            machine.sessions.updates,
            WorkerOrders(machine.plane.placer_lease, client),  # type: ignore[arg-type]
            Tasks(),
            WINDOW_S,
            OVERAGE,
            0.0 if self.world.fenced else self.world.turn_s,
        )
        return {"placer": machine.placer.run}

    # --- what must hold -----------------------------------------------------------------------------------

    def judge_wait(self, dispatcher: Dispatcher, request: Waiting, now: float) -> None:
        """In calm a model that is waited for is soon loaded."""
        waited_s = now - request.since
        if waited_s > CALM_WAIT_S and request.since >= self._in_touch_since(dispatcher, now):
            self.world.break_off(f"{request.model} was waited for {waited_s:.2f} s in calm")

    def _in_touch_since(self, dispatcher: Dispatcher, now: float) -> float:
        """Since when that dispatcher has been in touch without a break and there is a quorum, or infinite."""
        contact, snapshot = self.world.contact, self.world.snapshot()
        if dispatcher.puller is None or dispatcher.puller.sources.has_core_lost_quorum():
            return inf
        contact.watch(now, snapshot)
        return contact.in_touch(now, snapshot).get(dispatcher.address, inf) + contact.contact_s

    def judge_load(self, name: str, model: str, now: float) -> None:
        """A worker has begun to load a model."""
        worker = self.workers[name]
        if (len(worker.models) + 1) * WEIGHTS_MB > MEMORY_MB:
            self.world.break_off(f"{name} is to load {model} beside {sorted(worker.models)}")
        if model in worker.on_disk:
            return
        self.loads = [at for at in self.loads if at > now - WINDOW_S]
        self.loads.append(now)
        if len(self.loads) > RATE_S * WINDOW_S * OVERAGE + SLACK:
            self.world.break_off(f"{len(self.loads)} loads from the store within {WINDOW_S} s")


@define
class WatchedClient(StandInClient):
    """Shows the play each load that a worker begins."""

    play: PlacementPlay

    async def order(self, address: str, instance: str, body: OrderRequest, timeout_s: float) -> int:
        """As of `WorkerClient`."""
        worker = self.workers[address]
        taken_before, loop = worker.sequence, asyncio.get_running_loop()
        worker.load_s = WARM_S if body.model in worker.on_disk else LOAD_S
        status = await StandInClient.order(self, address, instance, body, timeout_s)
        is_new = worker.sequence > taken_before
        if status == TAKEN and is_new and body.operation == "load" and body.adapter is None:
            self.play.judge_load(instance, body.model, loop.time())
        return status


def _request(model: str, now: float) -> ClassifiedRequest:
    return ClassifiedRequest("", _key(model), now, now + PATIENCE_S, 100, 1.0, PATIENCE_S)


def _key(model: str) -> PoolKey:
    return PoolKey(SERVICE, model, "")
