"""Plays one run: starts its parties, lets load and faults happen by time, measures, and ends all of it.

The folder of a run holds `experiment.json` (all drawn), `ledger/`, `logs/`, `config/` (what each dispatcher
was told), and, once it is judged, `summary.json` and `report.html`.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Any

import msgspec

from finchladder.lab import faults
from finchladder.lab.check import REPOSITORY, place_servers
from finchladder.lab.control import Order, Plan, ServerPlan, Word
from finchladder.lab.dispatchers import Dispatcher, ask, check_out, free_block
from finchladder.lab.experiment import Experiment
from finchladder.lab.guard import Guard
from finchladder.lab.processes import Child, LabError, Player, clock
from finchladder.lab.records import Lateness, Mark, Struck, Writer
from finchladder.lab.show import Show

OPEN_S = 30.0  # a process of the lab is ready by then
GO_S = 0.5  # from the order to the first arrival, so that all processes have read it
SAMPLE_S = 1.0
END_S = 3.0  # a dispatcher may take so long after the run's end
STOP_S = 15.0  # a process of the lab may take so long to flush
# last of the address
FIRST_HOST = {"fleet": 1, "load": 101, "registry": 201, "relay": 202, "etcd": 203, "peers": 204}


class Run:
    """One experiment, drawn and played once."""

    def __init__(self, e: Experiment, folder: Path, out: Path, show: Show, fixed: str | None = None) -> None:
        self.e, self.folder, self.out, self.show = faults.draw(e), folder, out, show
        self.tree = out / "tree" if e.program.revision else REPOSITORY
        self.program_folder = folder if e.program.command else self.tree
        self.children: list[Child] = []
        self.players: dict[str, Player] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.over = self.went = self.listed = False
        self.early: list[Order] = []
        self.live: dict[str, dict[str, float]] = {}
        for name in ("ledger", "logs", "config"):
            (out / name).mkdir(parents=True, exist_ok=True)
        shown = msgspec.json.format(msgspec.json.encode(self.e), indent=1)
        (out / "experiment.json").write_bytes(shown + b"\n")
        self.ledger = Writer(out / "ledger" / "run.log")
        self.dispatchers = [Dispatcher(self, i, h) for i, h in enumerate(free_block(self.e, fixed))]
        self.by_name = {d.name: d for d in self.dispatchers}
        self.host = self.dispatchers[0].host.rpartition(".")[0].rpartition(".")[0] + ".250.1"
        self.plans: dict[str, Plan] = {}
        self.zero, self.wall = clock()
        self.phase = "start"
        self.affinity = os.sched_getaffinity(0)
        self.guard = Guard()
        self.starting = 0  # dispatchers that are asked whether they are healthy yet
        self.peers: Path | None = None  # the file with the addresses that stand for dispatchers at the others

    # --- small things

    def struck(self, kind: str, target: str, detail: str = "") -> None:
        self.ledger.put(Struck(time.monotonic(), kind, target, detail))

    def command(self, config: str = "") -> list[str]:
        """`config`: the operator's file, where it is another one than the experiment names."""
        p = self.e.program
        added = ["--config", config] if config else []
        if p.null:
            return [sys.executable, "-m", "finchladder.lab.null"]
        if p.command:
            return [sys.executable if p.command[0] == "python" else p.command[0], *p.command[1:], *added]
        return [sys.executable, "-m", "finchladder", *(added or (["--config", p.config] if p.config else []))]

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._spawned)
        return task

    def _spawned(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None and not self.failed.done():
            self.failed.set_exception(error)  # a bug of the lab must not look like a result

    def players_of(self, role: str) -> list[Player]:
        return [p for p in self.players.values() if self.plans[p.name].role == role]

    def tell_front(self, what: Any, name: str, planned: bool = False) -> None:
        for player in self.players_of("load") + self.players_of("registry"):
            player.order(Order(what, time.monotonic(), {"name": name, "planned": planned}))

    def heard(self, player: Player, word: Word) -> None:
        if word.what == "failed" and not self.over and not self.failed.done():
            self.failed.set_exception(LabError(player.failed or word.text))
        elif word.what == "states":
            self._pass_on(Order("states", data=word.data))
        elif word.what == "loads":
            for player in self.players_of("registry"):
                player.order(Order("loads", data=word.data))
        elif word.what == "live" and isinstance(word.data, dict):
            self.live[player.name] = word.data
        elif word.what == "moved":
            self.spawn(self._moved(word.data))

    def _pass_on(self, states: Order) -> None:
        """To the registry, once it knows the real servers' addresses."""
        if not self.listed:
            self.early.append(states)
            return
        for player in self.players_of("registry") + self.players_of("etcd"):
            player.order(states)

    async def _moved(self, addresses: dict[str, str]) -> None:
        """Discovery has a new address: the files say so, and SIGHUP has them read."""
        self._asked(addresses)
        if self.e.network.on:
            addresses = {
                link.partition(">")[0]: address
                for link, address in (await self._link("discovery", addresses)).items()
            }
        for name, address in addresses.items():
            d = self.by_name[name]
            d.discovery = address
            d.write_config()
            if self.e.discovery.moves_with_sighup and d.child is not None:
                d.child.signal(signal.SIGHUP)

    def _asked(self, addresses: dict[str, str]) -> None:
        for name, address in addresses.items():
            self.by_name[name].asked = address

    # --- start

    def _plan(self, role: Any, part: int = 0, parts: int = 1, **more: Any) -> Plan:
        name = f"{role}{part}" if role in ("fleet", "load") else role
        seed = random.Random(f"{self.e.seed}/{name}").getrandbits(62)
        a, b, *_ = self.host.split(".")
        host = f"{a}.{b}.250.{FIRST_HOST[role] + part}"
        return Plan(
            role,
            name,
            str(self.out),
            self.e,
            self.zero,
            self.wall,
            seed,
            host,
            part,
            parts,
            zone_of={d.name: d.zone for d in self.dispatchers},
            **more,
        )

    async def _begin(self, plan: Plan) -> Player:
        self.plans[plan.name] = plan
        player = await Player.begin(plan, self.out / "logs" / f"{plan.name}.log", self.heard, self.guard)
        self.players[plan.name] = player
        self.children.append(player.child)
        return player

    async def _link(self, after: str, addresses: dict[str, str]) -> dict[str, str]:
        """Opens the links whose names end, behind ">", as said; `addresses` by what stands at the open end.

        `after` "discovery": each dispatcher has its own; else it is the key itself.
        """
        wanted = []
        for link in faults.links(self.e):
            before, end = link.ends
            to = addresses.get(before if after == "discovery" else end)
            if to and (end == after or (after != "discovery" and end in addresses)):
                wanted.append({"name": link.name, "from": link.from_zone, "to": link.to_zone, "address": to})
        relay = self.players["relay"]
        relay.order(Order("links", data=wanted))
        opened: dict[str, str] = await relay.opened(OPEN_S)
        return {w["name"]: opened[w["name"]] for w in wanted}

    async def begin(self, load: bool) -> None:
        """All parties up, the dispatchers healthy. LabError: one of them is not to be had."""
        e = self.e
        if rest := self.affinity - set(e.program.cpus):
            os.sched_setaffinity(0, rest)  # and for all that it starts, but for the dispatchers
        if e.program.revision:
            check_out(e.program.revision, self.tree)
        direct = {d.name: d.address for d in self.dispatchers}
        for_clients, for_servers = dict(direct), dict(direct)
        if e.network.on:
            relay = await self._begin(self._plan("relay", dispatchers=direct))
            await relay.opened(OPEN_S)
            for name, address in (await self._link("", direct)).items():
                before, _, dispatcher = name.partition(">")
                if before == "clients":
                    for_clients[dispatcher] = address
                else:
                    for_servers[name] = address
        if e.network.peers:
            stand = await (await self._begin(self._plan("peers", dispatchers=direct))).opened(OPEN_S)
            self.peers = self.out / "config" / "peers.json"
            self.peers.write_bytes(msgspec.json.encode(stand))
        elif e.program.peers is not None:
            self.peers = self.out / "config" / "peers.json"
            self.peers.write_bytes(msgspec.json.encode(direct))
        placed = [ServerPlan(s.name, s.pool, s.zone, e.pool[s.pool].group) for s in place_servers(e)]
        if placed and not e.program.null:
            await self._begin_world(placed, direct, for_servers)
        if load:
            n = e.load.processes
            players = [await self._begin(self._plan("load", i, n, dispatchers=for_clients)) for i in range(n)]
            for player in players:
                await player.opened(OPEN_S)
        starting = [asyncio.ensure_future(d.start()) for d in self.dispatchers]
        try:
            await asyncio.gather(*starting)
        except BaseException:
            for task in starting:
                task.cancel()
            raise

    async def _begin_world(
        self, placed: list[ServerPlan], direct: dict[str, str], for_servers: dict[str, str]
    ) -> None:
        parts = self.e.fleet_processes
        plan = self._plan("registry", servers=placed, dispatchers=direct)
        registry = await self._begin(plan)
        registries: dict[str, str] = await registry.opened(OPEN_S)
        fleet = [
            await self._begin(
                self._plan("fleet", i, parts, servers=placed[i::parts], dispatchers=for_servers)
            )
            for i in range(parts)
        ]
        addresses: dict[str, str] = {}
        for player in fleet:
            addresses |= await player.opened(OPEN_S)
        if self.e.etcd.members:
            etcd = await self._begin(self._plan("etcd", servers=placed, dispatchers=direct))
            for name, urls in (await etcd.opened(OPEN_S)).items():
                self.by_name[name].etcd = urls if self.e.etcd.followed else []
        self._asked(registries)
        by_dispatcher = {"": addresses}
        if self.e.network.on:
            by_dispatcher = {d.name: {} for d in self.dispatchers}
            for name, address in (await self._link("", addresses)).items():
                before, _, server = name.partition(">")
                by_dispatcher[before][server] = address
            linked = await self._link("discovery", registries)
            registries = {name.partition(">")[0]: address for name, address in linked.items()}
        for name, address in registries.items():
            self.by_name[name].discovery = address
        for player in [registry, *self.players_of("etcd")]:
            player.order(Order("addresses", data=by_dispatcher))
        self.listed = True
        early, self.early = self.early, []
        for order in early:
            self._pass_on(order)

    # --- while it runs

    async def _sample(self) -> None:
        due = time.monotonic()
        while True:
            for child in self.children:
                if child.running and (sample := child.sample(time.monotonic())) is not None:
                    self.ledger.put(sample)
            for d in self.dispatchers:
                d.hold_to_memory()
            # this process strikes the faults and starts dispatchers: late, the run is not what its file says
            self.ledger.put(Lateness("run", time.monotonic(), max(0.0, time.monotonic() - due), 0))
            self.ledger.flush()
            due = max(due + SAMPLE_S, time.monotonic())
            await asyncio.sleep(due - time.monotonic())

    async def _look_at_peers(self, begin: float) -> None:
        """What each dispatcher says that it knows of the others, to `peers.jsonl`: no verdict rests on it."""
        every, at_once = self.e.program.peers_every_s, asyncio.Semaphore(16)
        due = begin

        async def look(d: Dispatcher) -> bytes:
            async with at_once:
                at = time.monotonic() - begin
                try:
                    status, body = await ask(d.address, "/_peers", every)
                    told = json.loads(body) if status == 200 else None
                except (OSError, TimeoutError, ValueError):
                    told = None  # it is down
            return msgspec.json.encode({"at": round(at, 3), "node": d.name, "told": told}) + b"\n"

        with open(self.out / "peers.jsonl", "ab", buffering=0) as file:
            while True:
                await self._at(due)
                file.write(b"".join(await asyncio.gather(*map(look, self.dispatchers))))
                due = max(due + every, time.monotonic())

    async def _at(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def _phases(self, begin: float) -> None:
        at = begin
        await self._at(at)
        self.ledger.put(Mark(at, "run:start"))
        for phase in self.e.load.phase:
            await self._at(at)
            self.phase = phase.name
            self.ledger.put(Mark(at, phase.name))
            at += phase.for_s
        await self._at(at)
        self.phase = "settling"
        self.ledger.put(Mark(at, "run:arrivals_end"))

    async def _strike(self, strike: faults.Strike, begin: float) -> None:
        await self._at(begin + strike.at)
        fault, targets = strike.fault, strike.targets
        shown = ", ".join(targets[:4]) + (f" and {len(targets) - 4} more" if len(targets) > 4 else "")
        self.show.line(f"{strike.at:6.1f} s  {fault.kind} {shown or strike.of}")
        if strike.of == "dispatchers":
            await self._strike_dispatchers(strike)
            return
        # the relay writes down itself what became of which link
        names = [] if strike.of == "links" else targets or [strike.of]
        for name in names:
            self.struck(fault.kind, name)
        self._order(strike, False)
        if strike.for_s:  # without a length it is an event that is over at once, or a state that stays
            await asyncio.sleep(strike.for_s)
            self._order(strike, True)
            for name in names:
                self.struck(fault.kind, name, "end")

    def _order(self, strike: faults.Strike, end: bool) -> None:
        """To those who carry it out; each fleet process hears of its own real servers alone."""
        roles = {
            "servers": "fleet",
            "discovery": "registry",
            "links": "relay",
            "etcd": "etcd",
            "peers": "peers",
        }
        if strike.of not in roles:
            return  # the load has it in its schedule
        for player in self.players_of(roles[strike.of]):
            targets = strike.targets
            if strike.of == "servers":
                own = {s.name for s in self.plans[player.name].servers}
                targets = [t for t in targets if t in own]
                if not targets:
                    continue
            data = msgspec.to_builtins(strike.fault) | {"targets": targets, "end": end}
            player.order(Order("fault", time.monotonic(), data))

    async def _strike_dispatchers(self, strike: faults.Strike) -> None:
        fault, struck = strike.fault, [self.by_name[n] for n in strike.targets]
        if fault.kind == "kill":
            await asyncio.gather(*(d.kill(strike.for_s) for d in struck))
        elif fault.kind == "pause":
            await asyncio.gather(*(d.pause(strike.for_s) for d in struck))
        elif fault.kind == "restart":
            await asyncio.gather(*(d.restart("restart", strike.for_s) for d in struck))
        else:
            size = max(1, round(fault.batch * len(self.dispatchers)))
            for i in range(0, len(struck), size):
                await asyncio.gather(*(d.restart("roll", strike.for_s) for d in struck[i : i + size]))

    async def _tell_progress(self, begin: float, whole: float) -> None:
        while True:
            sums: dict[str, float] = {}
            for data in self.live.values():
                for name, value in data.items():
                    if isinstance(value, int | float):
                        sums[name] = sums.get(name, 0) + value
            self.show.progress(time.monotonic() - begin, whole, self.phase, sums)
            await asyncio.sleep(0.5)

    async def play(self) -> None:
        """The whole of it. LabError: it could not be played, and its folder holds no result."""
        self.show.line(f"starting {self._parties()}")
        await self._guarded(self.begin(load=True))
        whole = sum(p.for_s for p in self.e.load.phase)
        begin = time.monotonic() + GO_S
        self.went = True
        for player in self.players.values():
            player.order(Order("go", begin))
        running = [self._phases(begin), self._sample(), self._tell_progress(begin, whole)]
        if self.e.program.peers is not None and self.e.program.peers_every_s:
            running.append(self._look_at_peers(begin))
        tasks = [self.spawn(work) for work in running]
        strikes = [(s.of, self.spawn(self._strike(s, begin))) for s in faults.strikes(self.e)]
        tasks += [task for _, task in strikes]
        answered = [p.done.wait() for p in self.players_of("load")]
        back = [task for of, task in strikes if of == "dispatchers"]
        with contextlib.suppress(TimeoutError):  # what is still open then counts as it is
            async with asyncio.timeout(GO_S + whole + self.e.settle_s):
                await self._guarded(self._all(tasks[0], *back, *answered))
        await self._guarded(self._at(begin + whole))
        self.ledger.put(Mark(time.monotonic(), "run:end"))
        self.over = True
        for task in tasks:
            task.cancel()
        await self._finish()

    async def _all(self, *waits: Any) -> None:
        await asyncio.gather(*waits)

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        """Waits for it, unless a process of the lab fails before."""
        task = asyncio.ensure_future(work)
        try:
            await asyncio.wait({task, self.failed}, return_when=asyncio.FIRST_COMPLETED)
            if self.failed.done():
                self.failed.result()
            await task
        finally:
            task.cancel()

    def _parties(self) -> str:
        e = self.e
        target = "null target" if e.program.null else f"{sum(p.count for p in e.pool)} real servers"
        return f"{e.name}: {e.dispatchers} dispatchers, {target}, seed {e.seed}"

    # --- end

    async def _finish(self) -> None:
        """In order: the load first, the dispatchers as on a planned end, then whom they talk to."""
        await self._stop(self.players_of("load"))
        living = [d.child for d in self.dispatchers if d.child is not None and d.child.running]
        await asyncio.gather(*(c.end(signal.SIGTERM, END_S) for c in living))
        await self._stop([p for p in self.players.values() if p.child.running])
        self.ledger.close()

    async def _stop(self, players: Iterable[Player]) -> None:
        players = list(players)
        for player, clean in zip(
            players, await asyncio.gather(*(p.stop(STOP_S) for p in players)), strict=True
        ):
            if not clean:
                raise LabError(f"{player.name} ended badly, its ledger may be torn: {player.child.tail()}")

    async def close(self) -> None:
        """On every way out, whatever happened: nothing of the run is left."""
        self.over = True
        os.sched_setaffinity(0, self.affinity)
        for task in list(self.tasks):
            task.cancel()
        for child in self.children:
            child.expected = True
            child.signal(signal.SIGKILL)
        for child in self.children:
            await child.process.wait()
            self.guard.ended(child.pid)
        for player in self.players.values():
            await player.reader
        self.guard.close()
        if not self.failed.done():
            self.failed.cancel()
        elif not self.failed.cancelled():
            self.failed.exception()  # it was raised, or came after the end
        if not self.ledger.file.closed:
            self.ledger.close()


async def _interruptible(work: Coroutine[Any, Any, None]) -> int:
    """Runs it; SIGINT, SIGTERM and SIGHUP cancel it. The signal that did, or 0."""
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(work)
    caught: list[int] = []

    def cancel(number: int) -> None:
        caught.append(number)
        task.cancel()

    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, cancel, number)
    try:
        await task
    except asyncio.CancelledError:
        if not caught:
            raise
    return caught[0] if caught else 0


class Interrupted(Exception):
    """By a signal; everything of the run has ended."""

    def __init__(self, number: int) -> None:
        super().__init__(signal.Signals(number).name)
        self.number = number


def play(e: Experiment, folder: Path, out: Path, show: Show) -> None:
    """Plays a run into `out`, an empty or new folder. LabError, Interrupted: there is no result."""

    async def whole() -> None:
        # no thread for each child, which the default one has before Python 3.12
        watcher = asyncio.PidfdChildWatcher()
        watcher.attach_loop(asyncio.get_running_loop())
        asyncio.get_event_loop_policy().set_child_watcher(watcher)
        run = Run(e, folder, out, show)
        try:
            await run.play()
        finally:
            await run.close()

    if number := asyncio.run(_interruptible(whole())):
        raise Interrupted(number)


def serve(e: Experiment, folder: Path, out: Path, show: Show) -> None:
    """The deployment without load or faults, at 127.0.0.1 and on, until a signal comes. LabError."""

    async def whole() -> None:
        run = Run(e, folder, out, show, "127.0.0.1")
        try:
            await run._guarded(run.begin(load=False))
            for player in run.players.values():
                player.order(Order("go", time.monotonic()))
            for d in run.dispatchers:
                show.line(f"{d.name} in zone {d.zone}: {d.address}, discovery {d.discovery}")
            job = f"http://{run.dispatchers[0].address}/{e.job_class[0].name}/1"
            headers = "-H 'X-Lab-Node: n1' -H 'X-Time-Left: 4' -H \"X-Correlation-Id: $(date +%s%N)\""
            show.line(f"try: curl -s -X POST {headers} -d '{{}}' {job}")
            show.line(f"{len(place_servers(e))} real servers; logs in {out / 'logs'}; Ctrl-C ends all of it")
            await run._guarded(asyncio.Event().wait())  # type: ignore[arg-type]
        finally:
            await run.close()

    asyncio.run(_interruptible(whole()))
