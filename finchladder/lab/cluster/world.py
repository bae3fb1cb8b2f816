"""A core of several machines with operators and faults, all drawn from a seed."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any, TypeVar

from attrs import define, field

from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.process.control_plane import ControlPlane, RecoveredState
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import GENESIS, Member
from finchladder.lab.cluster.contact import Contact, Snapshot
from finchladder.lab.cluster.dataplane import Dispatcher, FleetOracle, Worker, start_sessions
from finchladder.lab.cluster.disk import Platter, SimulatedDisk
from finchladder.lab.cluster.machine import Machine
from finchladder.lab.cluster.network import Host, Network, SimulatedPeers
from finchladder.lab.cluster.oracle import Oracle, Violation
from finchladder.lab.cluster.placement import PlacementPlay
from finchladder.lab.cluster.quota_play import QuotaPlay
from finchladder.lab.cluster.virtual import running_loop
from finchladder.lab.cluster.watching import TURN_S, watch_core, watch_dispatchers

CONTACT_S, APPLY_S, DRAIN_S = 3.0, 2.0, 2.0  # bounds: in touch, configuration in force, drained worker unused

T = TypeVar("T")


@define
class World:
    """Runs machines, operators and faults; an oracle looks on. `freezes`: processes stand still at times;
    `overlaps`: faults come together, and as many disks are lost at once as may be, whatever else is wrong.
    `edges`: dispatchers that pull; with them there are workers, too. `fenced`: workers check fencing tokens.
    `places`: there are model workers, and core processes place models; needs dispatchers. `scale`: factor of
    all bounds of the rules. `quotas`: dispatchers reserve quota for requests; needs dispatchers, too.
    `stalls`: at times workers take no requests, which wait with what they have reserved.
    `turnovers`: at times all machines are replaced while a dispatcher is cut off; needs dispatchers.
    """

    seed: int
    count: int = 3
    losses: int = 1
    freezes: bool = False
    overlaps: bool = False
    edges: int = 0
    fenced: bool = False
    places: bool = False
    scale: float = 1.0
    quotas: bool = False
    stalls: bool = False
    turnovers: bool = False
    random: Random = field(init=False)
    network: Network = field(init=False)
    machines: dict[str, Machine] = field(factory=dict)
    oracle: Oracle = field(factory=Oracle)
    dispatchers: list[Dispatcher] = field(factory=list)
    workers: list[Worker] = field(factory=list)
    drains: bool = True  # workers drain from time to time
    fleet: FleetOracle = field(init=False)
    contact: Contact = field(init=False)
    core_contact: Contact = field(init=False)  # watched from the first start on
    trace: list[str] = field(factory=list)
    violation: Violation | None = None
    placement: PlacementPlay | None = None
    quota_play: QuotaPlay | None = None
    numbers: int = 0
    taken: int = 0
    sent_at: float = 0.0  # when the last change was sent
    starts: int = 0  # of processes
    disks_lost: set[str] = field(factory=set)  # names of machines, since the last time when all was whole
    drivers: list[asyncio.Task[None]] = field(factory=list)  # operators, workers and who watches

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.fleet = FleetOracle(APPLY_S * self.scale, DRAIN_S * self.scale)
        self.contact = Contact(CONTACT_S * self.scale)
        self.core_contact = Contact(CONTACT_S * self.scale)
        self.network = Network(Random(self.random.getrandbits(64)))
        if self.places:
            self.placement = PlacementPlay(self, Random(self.random.getrandbits(64)))
        if self.quotas:
            self.quota_play = QuotaPlay(self, Random(self.random.getrandbits(64)), self.stalls)

    @property
    def timeouts(self) -> ContactTimeouts:
        """How soon processes notice a loss of contact."""
        return ContactTimeouts(CONTACT_S * self.scale)

    @property
    def turn_s(self) -> float:
        """No two holders of the placer's role may both act within it."""
        return TURN_S * self.scale

    # --- machines -----------------------------------------------------------------------------------------

    def note(self, text: str) -> None:
        """Adds a line to the trace."""
        self.trace.append(f"{asyncio.get_running_loop().time():9.3f} {text}")

    def _disk_id(self) -> str:
        return f"{self.random.getrandbits(48):012x}"

    def add(self, founder: bool) -> Machine:
        """A new machine with an empty disk; it does not run yet."""
        name = f"core-{len(self.machines) + 1}"
        machine = Machine(name, f"{name}:1", Platter(self._disk_id(), founder))
        self.machines[name] = machine
        return machine

    def start(self, machine: Machine) -> None:
        """Starts its process with what is on its disk."""
        machine.lives += 1
        self.starts += 1
        disk = SimulatedDisk(
            machine.platter, Random(self.random.getrandbits(64)), keeps_unsynced=self.overlaps
        )
        acceptor, replica = machine.platter.read()
        me = Member(machine.name, machine.platter.disk_id, "zone", machine.address, f"{machine.name}:2")
        plane = ControlPlane.build(
            me,
            disk,
            SimulatedPeers(self.network, machine.address),
            RecoveredState(machine.platter.founder, acceptor, replica),
            tolerated_losses=self.losses,
            seeds=self.seed_list(),
            exclusion_window_s=self.turn_s,
            fenced=self.fenced,
            confirm_interval_s=self.timeouts.confirm_interval_s,
            random=Random(self.random.getrandbits(64)),
        )
        machine.plane, machine.disk = plane, disk
        loops = plane.loops()
        if self.edges:
            machine.sessions = start_sessions(self, machine)
            loops |= machine.sessions.loops()
        if self.placement is not None:
            loops |= self.placement.start(machine)
        if self.quota_play is not None:
            self.quota_play.start(machine)
        for name, loop in loops.items():
            self._spawn(machine, self._forever(machine, name, loop))
        self._spawn(machine, watch_core(self, machine, plane))
        self.network.silent.discard(machine.address)
        self.network.hosts[machine.address] = Host(machine.answer, lambda work: self._spawn(machine, work))
        self.note(f"{machine.name} starts, life {machine.lives}, disk {machine.platter.disk_id}")

    def seed_list(self) -> SeedList:
        """The seeds of a process that starts now, in a settings file that the platform keeps up to date."""
        return SeedList(self.seed_addresses(), self.seed_addresses)

    def seed_addresses(self) -> tuple[str, ...]:
        """The peer addresses of the seeds in the settings files now."""
        present = [m.address for m in self.machines.values() if not m.gone]
        return tuple(present[:3])

    def _spawn(self, machine: Machine, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        return running_loop().spawn(machine.name, work)

    async def _forever(self, machine: Machine, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await loop()
            except ClusterError as error:
                self.note(f"{machine.name} {name}: {error}")
            await asyncio.sleep(0.1)

    def kill(self, machine: Machine, *, power: bool) -> None:
        """Ends its process; without power it does not even refuse connections."""
        self.note(f"{machine.name} {'loses power' if power else 'is killed'}")
        self.network.hosts.pop(machine.address, None)
        if power:
            self.network.silent.add(machine.address)
        if machine.disk is not None:
            machine.disk.powered = False
        running_loop().end_process(machine.name)
        machine.plane = machine.disk = machine.sessions = machine.placer = machine.quotas = None

    def wipe(self, machine: Machine) -> None:
        """Its disk is lost; it must not run."""
        self.note(f"{machine.name} loses its disk")
        self.disks_lost.add(machine.name)
        machine.platter = Platter(self._disk_id(), False)

    def remove(self, machine: Machine) -> None:
        """It does not come back, nor does its disk."""
        self.note(f"{machine.name} is gone")
        if not self.is_dispensable(machine):
            self.disks_lost.add(machine.name)
        machine.gone = True

    def restart(self, machine: Machine) -> None:
        """Starts its process, unless another fault has done so or took the machine out."""
        if machine.plane is None and not machine.gone:
            self.start(machine)

    def may_lose_disk(self, machine: Machine) -> bool:
        """Whether its disk may be lost now: never more than `losses` before the system is whole again."""
        if not self.overlaps:
            return True
        if self._is_whole():
            self.disks_lost.clear()
        return machine.name in self.disks_lost or len(self.disks_lost) < self.losses

    def is_dispensable(self, machine: Machine) -> bool:
        """Whether the others have gone on without it, as members of the chain and as voters: in the newest
        view that any disk holds which may come back, also that of a machine that does not run.
        """
        others = [m for m in self.machines.values() if m is not machine and not m.gone]
        views = [m.platter.read()[0].view for m in others]
        view = max(views, key=lambda v: v.number, default=GENESIS)
        return view.number > 0 and all(member.name != machine.name for member in view.members())

    def _is_whole(self) -> bool:
        """Whether every machine runs and stores the state in the newest view, whose voters are all there."""
        present = [m for m in self.machines.values() if not m.gone]
        planes = [m.plane for m in present if m.plane is not None]
        if len(planes) < len(present):
            return False
        view = max((plane.agreement.view for plane in planes), key=lambda v: v.number)
        disks = {m.platter.disk_id for m in present}
        stored = all(p.agreement.replica.state_view == view.number for p in planes)
        voters = {v.disk_id for v in view.voters}
        enough = len(voters) >= min(len(present), 2 * self.losses + 1)
        return stored and {m.disk_id for m in view.chain} == disks and voters <= disks and enough

    async def within(self, machine: Machine, work: Coroutine[Any, Any, Any]) -> None:
        """Runs something as part of its process and waits for its end, or the process's."""
        await asyncio.wait({self._spawn(machine, work)})

    async def call(self, machine: Machine, work: Coroutine[Any, Any, T], patience_s: float) -> T | None:
        """Runs something in its process; None if it fails, the process ends first, or it takes too long: then
        it goes on, and what it brings reaches nobody.
        """
        task = self._spawn(machine, work)
        task.add_done_callback(_note_outcome)
        await asyncio.wait({task}, timeout=patience_s)
        if not task.done() or task.cancelled():
            return None
        try:
            result: T = task.result()
        except ClusterError:
            return None
        return result

    def any_machine(self) -> Machine | None:
        """One whose process runs, by lot."""
        running = self.running()
        return self.random.choice(running) if running else None

    def running(self) -> list[Machine]:
        """Machines whose process runs."""
        return [m for m in self.machines.values() if m.plane is not None]

    # --- dispatchers and workers --------------------------------------------------------------------------

    def begin_dataplane(self, *, with_workers: bool = True) -> None:
        """Starts all dispatchers, and workers beside them."""
        for number in range(1, self.edges + 1):
            dispatcher = Dispatcher(f"edge-{number}", f"edge-{number}:1")
            self.dispatchers.append(dispatcher)
            dispatcher.start(self, self.seed_list())
            if with_workers:
                worker = Worker(self, f"worker-{number}:1", Random(self.random.getrandbits(64)))
                self.workers.append(worker)
                self.drivers.append(asyncio.ensure_future(worker.work()))
        if self.edges:
            self.drivers.append(asyncio.ensure_future(watch_dispatchers(self)))

    def restart_dispatcher(self, dispatcher: Dispatcher) -> None:
        """Starts its process, unless another fault has done so."""
        if dispatcher.puller is None:
            dispatcher.start(self, self.seed_list())

    def snapshot(self) -> Snapshot:
        """What is to be seen of all machines and links now."""
        core = tuple(m.seen() for m in self.machines.values() if not m.gone)
        edges = tuple(d.seen() for d in self.dispatchers)
        return Snapshot(core, edges, frozenset(self.network.cut), self.network.loss)

    # --- what is found broken -----------------------------------------------------------------------------

    def judge(self, check: Callable[[], None]) -> None:
        """Notes what the oracle finds broken; the play ends with the first."""
        try:
            check()
        except Violation as violation:
            self.break_off(str(violation))

    def break_off(self, problem: str) -> None:
        """A rule is broken."""
        if self.violation is None:
            self.violation = Violation(problem)
            self.note(f"VIOLATION {problem}")


def _note_outcome(task: asyncio.Task[Any]) -> None:
    """The error of a call that nobody waits for any more is no surprise."""
    if not task.cancelled():
        task.exception()
