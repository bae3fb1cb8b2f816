"""A placer with stand-in workers, in virtual time."""

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from finchladder.cluster.configuration.snapshot import ConfigurationSnapshot, Engine, Model, Service
from finchladder.cluster.process.placer import Placer
from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.process.worker_orders import WorkerOrders
from finchladder.cluster.replication.lease import HeldLease
from finchladder.cluster.routing.pools import usable_models
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import Demand, DemandReport
from finchladder.cluster.types.operations import ControlState
from finchladder.cluster.types.workers import LoadedModel, SessionPhase, WorkerRecord
from finchladder.lab.cluster.model_workers import StandInClient, StandInWorker

LOAD_S = 0.8
MODELS = {f"m{n}": Model(f"m{n}", 70.0, LOAD_S, 4, 1.0) for n in range(9)}
ENGINE = Engine(64, 1000, 200.0, 4, 2.1, MODELS)
SNAPSHOT = ConfigurationSnapshot(
    1, {}, {"llm": Service("llm", 10, "/healthz", ENGINE)}, 15.0, 1 << 20, 1 << 14
)


class Scene:
    """A placer that holds the lease with that fencing token, and stand-in workers of one service."""

    def __init__(self, token: int = 1, **workers: StandInWorker) -> None:
        self.tables = ReplicatedTables("core-1/1")
        for name, worker in workers.items():
            loaded_models = tuple(LoadedModel(m, ()) for m in sorted(worker.models))
            record = WorkerRecord(
                name, "llm", f"{name}:1", "z", 64, SessionPhase.READY, 1, "core-1/1", loaded_models
            )
            self.tables.put_worker(record)
        updates = SimpleNamespace(
            tables=self.tables,
            changed=Signal(),
            dispatcher_count=lambda: 1,
            batch_interval_s=lambda: 0.001,
            state=lambda: ControlState(),
            started_at=-1e9,
        )
        self.updates = updates
        self.lease = lease = HeldLease(1e9, token=token, expires_at=1e9)
        me = Member("core-1", "d", "z", "core-1:1", "core-1:2")
        role = SimpleNamespace(
            lease=lease, me=me, reacquired=False, last_order_at=0.0, is_held=lambda: lease.is_valid(steady())
        )
        self.tasks = Tasks()
        client = StandInClient({f"{name}:1": worker for name, worker in workers.items()})
        self.placer = Placer(
            cast(Any, role),
            cast(Any, updates),
            WorkerOrders(cast(Any, role), cast(Any, client)),
            self.tasks,
            5.0,
            1.1,
            3.0,
        )
        self.placer.snapshot = SNAPSHOT

    def report_demand(self, model: str, adapter: str = "", queued: int = 1, running: int = 0) -> None:
        """Reports a dispatcher's queued or running requests for a model."""
        demand = Demand("llm", model, adapter, queued, queued, running, 10)
        self.placer.on_demand(DemandReport(f"edge {model} {adapter}", 0.1, (demand,)))

    async def until_usable(self, model: str, adapter: str = "") -> float:
        """Returns the seconds until dispatchers may use the model at some worker."""
        began = steady()
        async with asyncio.timeout(20.0):
            while not self.is_usable(model, adapter):
                await asyncio.sleep(0.001)
        return steady() - began

    async def until_hidden(self, *models: str) -> float:
        """Returns the seconds until one of the models is announced as unusable at all workers."""
        began = steady()
        async with asyncio.timeout(20.0):
            while not self.tables.placements or all(self.is_usable(model, "") for model in models):
                await asyncio.sleep(0.001)
        return steady() - began

    def mark_lost(self, name: str) -> None:
        """Marks a worker as lost, as after missing heartbeats."""
        self._put(name, SessionPhase.LOST)

    def mark_ready(self, name: str) -> None:
        """Marks a lost worker as ready again, as the same instance."""
        self._put(name, SessionPhase.READY)

    def _put(self, name: str, phase: SessionPhase) -> None:
        record = self.tables.workers[name].record
        changed = msgspec.structs.replace(record, phase=phase, sequence=record.sequence + 1)
        assert self.tables.put_worker(changed)

    def usable_at(self, name: str) -> list[str]:
        """Returns the models that dispatchers may use at that worker."""
        worker, placement = self.tables.workers[name], self.tables.placements.get(name)
        usable = usable_models(worker.record, None if placement is None else placement.record)
        return [loaded.model for loaded in usable]

    def is_usable(self, model: str, adapter: str) -> bool:
        placements = [p.record for p in self.tables.placements.values()]
        usable = [h for record in placements for h in record.usable_models if h.model == model]
        return any(not adapter or adapter in h.adapters for h in usable)
