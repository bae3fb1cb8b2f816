"""Dispatchers and workers of the control world: dispatchers pull as they do on machines; workers keep
sessions, drain, leave, crash and come back at their old addresses as others.
"""

import asyncio
from random import Random
from typing import TYPE_CHECKING

from attrs import define, field

from finchladder.cluster.configuration.compression import decompress
from finchladder.cluster.process.core_sessions import CoreSessions
from finchladder.cluster.process.quota_client import QuotaClient
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.process.update_sources import UpdateSources
from finchladder.cluster.process.worker_sessions import DRAINING_STATE
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.types.messages import Update
from finchladder.cluster.types.worker_api import Heartbeat
from finchladder.cluster.types.workers import SessionPhase
from finchladder.lab.cluster.contact import Process
from finchladder.lab.cluster.network import SimulatedPeers
from finchladder.lab.cluster.operators import number_in
from finchladder.lab.cluster.virtual import running_loop

if TYPE_CHECKING:
    from finchladder.lab.cluster.machine import Machine
    from finchladder.lab.cluster.world import World

HEARTBEAT_S = 1.2
ANSWER_S = 1.0  # a worker calls the next control process after so long
READY = "ready"
SERVE_ON_S = (2.0, 3.0)  # after the acknowledgement of a drain
LEAVE_TRIES = 3
DRAIN_SHARE = 0.04  # of heartbeats after which a worker drains
CRASH_SHARE = 0.01
REUSE_S = (2.0, 4.0)


@define
class Dispatcher:
    """One dispatcher; `puller` is None while its process does not run. `version` and `number`: of the
    configuration in force at it, and of the change that made that one. `quotas`: None in worlds without.
    """

    name: str
    address: str
    lives: int = 0
    puller: UpdatePuller | None = None
    version: int = 0
    number: int = 0
    quotas: QuotaClient | None = None

    def seen(self) -> Process:
        """What is to be seen of it from outside."""
        loop = running_loop()
        life = self.lives if self.puller is not None else 0
        return Process(self.address, life, loop.wakes_at(self.name) > loop.time())

    def start(self, world: "World", seeds: SeedList) -> None:
        """Starts its process, which knows nothing but the seeds."""
        self.lives += 1
        self.version = self.number = 0
        random, tasks = Random(world.random.getrandbits(64)), Tasks()

        def take(delta: Update, _: list[str]) -> None:
            if delta.document and delta.version > self.version:
                self.version, self.number = delta.version, number_in(decompress(delta.document))

        sources = UpdateSources(
            name=self.name,
            is_dispatcher=True,
            own_address=self.address,
            zone="zone",
            seeds=seeds,
            timeouts=world.timeouts,
        )
        self.puller = UpdatePuller(
            tables=ReplicatedTables(f"{self.name}/{random.getrandbits(32):x}"),
            peers=SimulatedPeers(world.network, self.address),
            tasks=tasks,
            random=random,
            sources=sources,
            configuration_version=lambda: self.version,
            on_update=take,
        )
        if world.quotas:
            self.quotas = self._quota_client(world, self.puller)
        running_loop().spawn(self.name, self._keep(self.puller))
        world.note(f"{self.name} starts, life {self.lives}")

    async def _keep(self, puller: UpdatePuller) -> None:
        puller.tasks.repeat(puller.run, "sources")
        if self.quotas is not None:
            puller.tasks.repeat(self.quotas.run, "quota")

    def _quota_client(self, world: "World", puller: UpdatePuller) -> QuotaClient:
        return QuotaClient(self.name, SimulatedPeers(world.network, self.address), lambda: puller.placer)

    def kill(self, world: "World") -> None:
        """Ends its process."""
        world.note(f"{self.name} is killed")
        running_loop().end_process(self.name)
        self.puller = self.quotas = None

    def ready_workers(self) -> set[str]:
        """Instances to which it would send requests."""
        if self.puller is None:
            return set()
        workers = self.puller.tables.workers.values()
        return {w.record.instance for w in workers if w.record.phase is SessionPhase.READY}


@define
class Worker:
    """One address at which workers run, one incarnation after the other."""

    world: "World"
    address: str
    random: Random
    instance: str = ""
    incarnations: int = 0
    sequence: int = 0
    state: str = READY
    ready_since: float | None = None  # when control first acknowledged the present incarnation

    async def work(self) -> None:
        """Runs for ever."""
        while True:
            self.incarnations += 1
            self.instance = f"{self.address}#{self.incarnations}"
            self.sequence, self.state, self.ready_since = 0, READY, None
            await self._live()
            self.instance, self.ready_since = "", None
            await asyncio.sleep(self.random.uniform(*REUSE_S))

    async def _live(self) -> None:
        while True:
            acknowledged = await self._call_until_heard()
            if acknowledged and self.ready_since is None:
                self.ready_since = running_loop().time()
            await asyncio.sleep(HEARTBEAT_S * self.world.scale * self.random.uniform(0.9, 1.1))
            lot = self.random.random()
            if lot < CRASH_SHARE:
                return
            if lot < CRASH_SHARE + DRAIN_SHARE and self.world.drains:
                await self._drain()
                return

    async def _drain(self) -> None:
        self.state, self.ready_since = DRAINING_STATE, None
        if await self._call_until_heard():
            self._note_drained()
        until = running_loop().time() + self.random.uniform(*SERVE_ON_S)
        while running_loop().time() < until:
            await asyncio.sleep(HEARTBEAT_S * self.world.scale * self.random.uniform(0.9, 1.1))
            await self._call_until_heard()
        for _ in range(LEAVE_TRIES):
            machine = self._control_process()
            if machine is not None and machine.sessions is not None:
                leaving = machine.sessions.sessions.on_deregister(self.instance)
                if await self.world.call(machine, leaving, ANSWER_S):
                    self._note_drained()
                    return

    def _note_drained(self) -> None:
        self.world.note(f"{self.instance} drains, acknowledged")
        self.world.fleet.drained(self.instance, running_loop().time())

    async def _call_until_heard(self) -> bool:
        """One heartbeat, at one control process after the other; False if none acknowledges it."""
        for _ in range(len(self.world.machines)):
            machine = self._control_process()
            if machine is None or machine.sessions is None:
                continue
            self.sequence += 1
            heartbeat = Heartbeat("service", self.address, "zone", 4, self.state, self.sequence)
            work = machine.sessions.sessions.on_heartbeat(self.instance, heartbeat)
            if await self.world.call(machine, work, ANSWER_S):
                return True
        return False

    def _control_process(self) -> "Machine | None":
        running = self.world.running()
        return self.random.choice(running) if running else None

    async def is_there(self, instance: str) -> bool:
        """Its answer to a control process that asks whether that incarnation runs."""
        return self.instance == instance


def start_sessions(world: "World", machine: "Machine") -> CoreSessions:
    """The sessions of a core process, as part of it; its control state must have been built."""
    assert machine.plane is not None
    random = Random(world.random.getrandbits(64))

    async def is_running(address: str, instance: str) -> bool:
        return any([await worker.is_there(instance) for worker in world.workers if worker.address == address])

    return CoreSessions.build(
        machine.plane,
        heartbeat_s=HEARTBEAT_S * world.scale,
        timeouts=world.timeouts,
        peers=SimulatedPeers(world.network, machine.address),
        tasks=Tasks(),
        random=random,
        is_running=is_running,
    )


@define
class FleetOracle:
    """What dispatchers in touch must know, and when. `apply_s`, `drain_s`: after an acknowledgement."""

    apply_s: float
    drain_s: float
    drained_at: dict[str, float] = field(factory=dict)

    def drained(self, instance: str, now: float) -> None:
        """A drain or an end was acknowledged."""
        self.drained_at.setdefault(instance, now)

    def must_be_unused(self, now: float) -> set[str]:
        """Workers to which no dispatcher in touch may send a request any more."""
        return {instance for instance, at in self.drained_at.items() if now > at + self.drain_s}
