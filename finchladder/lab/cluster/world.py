"""A core of several machines with operators and faults, all drawn from a seed."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from attrs import define, field

from finchladder.cluster.process.control_plane import ControlPlane, Recovered
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import Member
from finchladder.lab.cluster.disk import Platter, SimulatedDisk
from finchladder.lab.cluster.network import Host, Network, SimulatedPeers
from finchladder.lab.cluster.oracle import Change, Oracle, Violation
from finchladder.lab.cluster.virtual import VirtualClockLoop

TURN_S = 3.0
CATCH_UP_S = 4.0
ANSWER_S = 0.9
QUIET_S = 8.0  # within it a change must be taken once all is calm
PAUSE_S = (0.1, 0.6)
WATCH_S = 0.02
FREEZE_WEIGHT = 4  # of freezes among the kinds of faults


@define
class Machine:
    """One core machine: its disk, and its process while it runs."""

    name: str
    address: str
    platter: Platter
    plane: ControlPlane | None = None
    disk: SimulatedDisk | None = None
    tasks: dict[asyncio.Task[Any], None] = field(factory=dict)  # in the order in which they began
    lives: int = 0
    gone: bool = False


@define
class World:
    """Runs machines, operators and faults; an oracle looks on. `freezes`: processes stand still at times."""

    seed: int
    count: int = 3
    losses: int = 1
    freezes: bool = False
    random: Random = field(init=False)
    network: Network = field(init=False)
    machines: dict[str, Machine] = field(factory=dict)
    oracle: Oracle = field(factory=Oracle)
    trace: list[str] = field(factory=list)
    violation: Violation | None = None
    numbers: int = 0
    taken: int = 0
    calm: bool = False

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.network = Network(Random(self.random.getrandbits(64)))

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
        disk = SimulatedDisk(machine.platter, Random(self.random.getrandbits(64)))
        acceptor, replica = machine.platter.read()
        me = Member(machine.name, machine.platter.disk_id, "zone", machine.address, f"{machine.name}:2")
        plane = ControlPlane.build(
            me,
            disk,
            SimulatedPeers(self.network, machine.address),
            Recovered(machine.platter.founder, acceptor, replica),
            losses=self.losses,
            seeds=self._seeds(),
            turn_s=TURN_S,
            random=Random(self.random.getrandbits(64)),
        )
        machine.plane, machine.disk = plane, disk
        for name, loop in plane.loops().items():
            self._spawn(machine, self._forever(machine, name, loop))
        self._spawn(machine, self._watch(machine, plane))
        self.network.silent.discard(machine.address)
        self.network.hosts[machine.address] = Host(plane.answer, lambda work: self._spawn(machine, work))
        self.note(f"{machine.name} starts, life {machine.lives}, disk {machine.platter.disk_id}")

    def _seeds(self) -> tuple[str, ...]:
        present = [m.address for m in self.machines.values() if not m.gone]
        return tuple(present[:3])

    def _spawn(self, machine: Machine, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = _loop().spawn(machine.name, work)
        machine.tasks[task] = None
        task.add_done_callback(lambda ended: machine.tasks.pop(ended, None))
        return task

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
        for task in list(machine.tasks):
            task.cancel()
        machine.plane = machine.disk = None

    def wipe(self, machine: Machine) -> None:
        """Its disk is lost; it must not run."""
        machine.platter = Platter(self._disk_id(), False)

    def running(self) -> list[Machine]:
        """Machines whose process runs."""
        return [m for m in self.machines.values() if m.plane is not None]

    async def _watch(self, machine: Machine, plane: ControlPlane) -> None:
        """Shows the oracle what the process lets others see."""
        life = f"{machine.name}/{machine.lives}"
        loop = asyncio.get_running_loop()
        while True:
            state = plane.chain.acknowledged
            self._judge(lambda s=state: self.oracle.show(life, s.version, _number(s.document)))  # type: ignore[misc]
            if plane.role.holds():
                token = plane.role.lease.token
                self._judge(lambda t=token: self.oracle.acts(machine.name, t, loop.time(), TURN_S))  # type: ignore[misc]
            await asyncio.sleep(WATCH_S)

    def _judge(self, check: Callable[[], None]) -> None:
        try:
            check()
        except Violation as violation:
            if self.violation is None:
                self.violation = violation
                self.note(f"VIOLATION {violation}")

    # --- operators ----------------------------------------------------------------------------------------

    def _new_change(self, base: int) -> Change:
        self.numbers += 1
        version = base + self.random.randint(1, 4)
        body = json.dumps({"version": version, "routes": [], "services": [], "number": self.numbers}).encode()
        change = Change(self.numbers, base, version, body)
        self.oracle.changes[self.numbers] = change
        return change

    async def operate(self) -> None:
        """Sends changes for ever, repeats them, and reads; on the version that it believes in."""
        base = 0
        while True:
            change = self._new_change(base)
            base = await self._until_clear(change, base)
            if self.random.random() < 0.3:
                await self._submit(change)
            if self.random.random() < 0.5:
                base = await self._read(base)
            await asyncio.sleep(self.random.uniform(*PAUSE_S))

    async def _until_clear(self, change: Change, base: int) -> int:
        """Sends one change until the answer is clear or its sender gives up; the version then believed in."""
        for _ in range(self.random.randint(2, 12)):
            status, version = await self._submit(change)
            if status == 200:
                self.taken += 1
                return change.version
            if status in (400, 412):
                return version or base
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
        return await self._read(base)

    async def _submit(self, change: Change) -> tuple[int, int]:
        loop = asyncio.get_running_loop()
        machine = self._any_machine()
        if machine is None or machine.plane is None:
            await asyncio.sleep(0.1)
            return 503, 0
        work = self._spawn(machine, machine.plane.changes.submit(change.base, False, change.body, ANSWER_S))
        try:
            outcome = await asyncio.shield(work)
        except asyncio.CancelledError:
            if work.cancelled():
                return 503, 0
            raise
        except ClusterError:
            return 503, 0
        if self.random.random() < 0.1:
            return 503, 0  # the answer is lost
        self.note(f"change {change.number} on {change.base}: {outcome.status} by {machine.name}")
        self._judge(lambda: self.oracle.answered(change, outcome.status, loop.time()))
        return outcome.status, outcome.version

    async def _read(self, base: int) -> int:
        loop = asyncio.get_running_loop()
        machine = self._any_machine()
        if machine is None or machine.plane is None:
            return base
        began = loop.time()
        work = self._spawn(machine, machine.plane.chain.read())
        try:
            state = await asyncio.shield(work)
        except asyncio.CancelledError:
            if work.cancelled():
                return base
            raise
        except ClusterError:
            return base
        number = _number(state.document)
        version: int = state.version
        self._judge(lambda: self.oracle.read(began, loop.time(), version, number))
        return version

    def _any_machine(self) -> Machine | None:
        running = self.running()
        return self.random.choice(running) if running else None

    # --- faults -------------------------------------------------------------------------------------------

    async def _fault(self) -> None:
        faults = [
            self._killed,
            self._without_power,
            self._wiped,
            self._cut_off,
            self._cut_one_way,
            self._stalled,
            self._refusing,
            self._replaced,
            self._all_killed,
            self._late_wipe,
        ]
        if self.freezes:
            faults += [self._frozen] * FREEZE_WEIGHT
        await self.random.choice(faults)()
        await asyncio.sleep(CATCH_UP_S * self.random.uniform(1.0, 1.3))

    def _victim(self) -> Machine:
        return self.random.choice(self.running())

    async def _killed(self) -> None:
        machine = self._victim()
        self.kill(machine, power=False)
        await asyncio.sleep(self.random.choice([0.1, 0.5, 1.0, 3.0]))
        self.start(machine)

    async def _without_power(self) -> None:
        machine = self._victim()
        self.kill(machine, power=True)
        await asyncio.sleep(self.random.uniform(0.3, 5.0))
        self.start(machine)

    async def _wiped(self) -> None:
        machine = self._victim()
        self.kill(machine, power=self.random.random() < 0.5)
        self.wipe(machine)
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        self.start(machine)

    async def _late_wipe(self) -> None:
        """All are killed, and one comes back with an empty disk."""
        machines = self.running()
        for machine in machines:
            self.kill(machine, power=True)
        self.wipe(self.random.choice(machines))
        for machine in self.random.sample(machines, len(machines)):
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
            self.start(machine)

    async def _cut_off(self) -> None:
        await self._cut(self._victim(), both=True)

    async def _cut_one_way(self) -> None:
        await self._cut(self._victim(), both=False)

    async def _cut(self, machine: Machine, both: bool) -> None:
        others = [m for m in self.machines.values() if m is not machine]
        pairs = {(machine.address, o.address) for o in others}
        back = {(o.address, machine.address) for o in others}
        chosen = pairs | back if both else self.random.choice([pairs, back])
        self.note(f"{machine.name} is cut off ({len(chosen)} directions)")
        self.network.cut |= chosen
        await asyncio.sleep(self.random.uniform(0.3, 6.0))
        self.network.cut -= chosen

    async def _stalled(self) -> None:
        machine = self._victim()
        assert machine.disk is not None
        stall_s = self.random.uniform(0.3, 5.0)
        self.note(f"disk of {machine.name} stalls for {stall_s:.2f} s")
        machine.disk.stalled_until = asyncio.get_running_loop().time() + stall_s
        await asyncio.sleep(stall_s)

    async def _frozen(self) -> None:
        machine = self._victim()
        freeze_s = self.random.choice([0.3, 1.0, 2.0, 4.0, 7.0]) * self.random.uniform(0.8, 1.2)
        self.note(f"{machine.name} is frozen for {freeze_s:.2f} s")
        _loop().freeze(machine.name, _loop().time() + freeze_s)
        await asyncio.sleep(freeze_s)

    async def _refusing(self) -> None:
        machine = self._victim()
        assert machine.disk is not None
        machine.disk.refuses = True
        self.note(f"disk of {machine.name} refuses writes")
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        if machine.disk is not None:
            machine.disk.refuses = False

    async def _replaced(self) -> None:
        machine = self._victim()
        planned = self.random.random() < 0.5
        if planned:
            self.start(self.add(False))
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.kill(machine, power=True)
        machine.gone = True
        if not planned:
            await asyncio.sleep(self.random.uniform(0.3, 3.0))
            self.start(self.add(False))

    async def _all_killed(self) -> None:
        machines = self.running()
        power = self.random.random() < 0.5
        for machine in machines:
            self.kill(machine, power=power)
        for machine in self.random.sample(machines, len(machines)):
            await asyncio.sleep(self.random.uniform(0.0, 0.5))
            self.start(machine)

    # --- a run --------------------------------------------------------------------------------------------

    async def play(self, faults: int, operators: int = 2) -> None:
        """Plays so many faults one after the other, then calm; Violation if a rule was broken."""
        for _ in range(self.count):
            self.add(True)
        for machine in list(self.machines.values()):
            self.start(machine)
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
        workers = [asyncio.ensure_future(self.operate()) for _ in range(operators)]
        await self._must_take("at the start")
        self.network.loss = self.random.choice([0.0, 0.0, 0.01, 0.05])
        for _ in range(faults):
            await self._fault()
            if self.violation is not None:
                break
        self.network.loss = 0.0
        self.network.cut.clear()
        if self.violation is None:
            await self._must_take("after the faults")
        for worker in workers:
            worker.cancel()
        if self.violation is not None:
            raise self.violation

    async def _must_take(self, when: str) -> None:
        taken, loop = self.taken, asyncio.get_running_loop()
        until = loop.time() + QUIET_S
        while self.taken <= taken + 1:
            await asyncio.sleep(0.1)
            if loop.time() > until:
                self.violation = self.violation or Violation(f"no change was taken within {QUIET_S} s {when}")
                return


def _loop() -> VirtualClockLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualClockLoop)
    return loop


def _number(document: bytes) -> int:
    return int(json.loads(document)["number"]) if document else 0
