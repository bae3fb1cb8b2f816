"""The program's decisions at virtual time: a decision module for each dispatcher, without sockets or delays.

Between a floor and a run with processes: what is left of the distance to the floor is what many dispatchers
can't know, what is left of that to the run is the network's. Clients do not try again. The list is told at
the begin, each change by `discovery.delay_s`, to each dispatcher apart. No dispatcher dies.
"""

import random
from functools import partial
from typing import Any

import msgspec

from finchladder.config.settings import read_settings
from finchladder.core import api
from finchladder.core.dispatch.dispatcher import Dispatcher
from finchladder.lab import floor, records, spread
from finchladder.lab.experiment import Experiment
from finchladder.lab.models.kernel import Kernel
from finchladder.lab.models.realserver import Fell, JobIn, RealServerModel, Told, draw
from finchladder.lab.models.store import StoreModel
from finchladder.lab.models.virtual import Wakes
from finchladder.lab.settings import platform_settings

HOP_S = 0.0005  # a message takes so long, each way
ENDS = {
    "done": api.Ending.OK,
    "failed": api.Ending.ERROR,
    "returned": api.Ending.OVERLOADED,
    "lost": api.Ending.BROKEN,
}


class _Node:
    """One dispatcher: its decisions, and where its sends are."""

    def __init__(self, play: "Play", index: int) -> None:
        e = play.e
        settings = read_settings(msgspec.json.encode(platform_settings(e, index)))
        seed = random.Random(f"{e.seed}/n{index + 1}").getrandbits(64)
        self.play, self.d = play, Dispatcher(settings, seed)
        self.open: dict[str, dict[str, int]] = {}  # request: attempt by server
        self.arrived: dict[str, float] = {}

    def tell(self, event: api.Event) -> None:
        play = self.play
        for a in self.d.handle(play.kernel.now, event):
            if isinstance(a, api.SetTimer):
                play.kernel.after(max(a.delay_s, 0.0005), lambda t=a.token: self.tell(api.Timer(t)))  # type: ignore[misc]
            elif isinstance(a, api.Send):
                attempts = self.open.setdefault(a.request, {})
                attempts[a.worker] = len(attempts)
                play.kernel.after(HOP_S, lambda a=a: play.submit(self, a.request, a.worker))  # type: ignore[misc]
            elif isinstance(a, api.Cancel):
                server = next((s for s, n in self.open.get(a.request, {}).items() if n == a.attempt), "")
                play.kernel.after(HOP_S, lambda a=a, s=server: play.cancel(self, a.request, s))  # type: ignore[misc]
            elif isinstance(a, api.Reject | api.Fail):
                self.arrived.pop(a.request, None)
                play.unserved += 1

    def ended(self, request: str, server: str, ending: api.Ending) -> None:
        n = self.open.get(request, {}).get(server)
        if n is None:
            return
        if ending is api.Ending.OK and (arrived := self.arrived.pop(request, None)) is not None:
            self.play.served(request, arrived)
        if ending is not api.Ending.OK:
            self.play.failed.append((self.play.kernel.now, server, ending))
        self.tell(api.Ended(request, n, ending, request not in self.arrived, 0.0))


class Play:
    """All of it. After `run`: `latency` by class, in seconds, of jobs of the phases that count."""

    def __init__(self, e: Experiment) -> None:
        self.e, self.kernel = e, Kernel()
        self.rng = random.Random(f"{e.seed}/decisions")
        self.servers = floor.models(e, StoreModel(e.store.fetches))
        self.nodes = [_Node(self, i) for i in range(e.dispatchers)]
        self.of: dict[str, _Node] = {}
        self.jobs: dict[str, JobIn] = {}
        self.began: dict[tuple[str, str], float] = {}
        self.came: dict[tuple[str, str], float] = {}
        self.stays: list[spread.Stay] = []
        self.full: list[float] = []
        self.lives: list[spread.Life] = []
        self.up: dict[str, float] = {}
        self.latency: dict[str, list[float]] = {}
        self.unserved = 0
        self.sent: list[tuple[float, str, str]] = []  # when, to whom, of which class
        self.failed: list[tuple[float, str, api.Ending]] = []
        self.counted = floor.counted(e)
        self.wakes = Wakes(self.kernel, self.touch)
        self.told_at: dict[tuple[int, str], float] = {}

    def run(self) -> spread.World:
        for s in self.servers.values():
            self._start(s, s.pool.starts_cold, told=False)
        whole = tuple(self._entry(s, api.WorkerStatus.READY) for s in self.servers.values())
        for node in self.nodes:
            node.tell(api.WorkerList(api.ListKind.FULL, whole))
        floor.strike_servers(
            self.e, self.kernel, self.servers, self._kill, lambda s: self._start(s, True), self.touch
        )
        rest = floor.arrivals(self.e)
        by_zone: dict[str, list[_Node]] = {}
        for node in self.nodes:
            by_zone.setdefault(node.d.settings.zone, []).append(node)
        zones, shares = self.e.zones, self.e.load.zone_shares or [1.0] * len(self.e.zones)

        def arrive() -> None:
            for due, job in rest:
                zone = self.rng.choices(zones, shares)[0]
                node = self.rng.choice(by_zone.get(zone) or self.nodes)
                self.kernel.at(max(due, self.kernel.now), lambda n=node, j=job: take(n, j))  # type: ignore[misc]
                return

        def take(node: _Node, job: JobIn) -> None:
            self.of[job.id], self.jobs[job.id], node.arrived[job.id] = node, job, self.kernel.now
            deadline = next(c.deadline_s for c in self.e.job_class if c.name == job.job_class)
            key = floor.key_number(job.key)
            node.tell(api.Request(job.id, job.job_class, deadline, job.slots, key))
            arrive()

        arrive()
        length = sum(p.for_s for p in self.e.load.phase)
        self.kernel.run(length)
        inf = float("inf")
        for (id, server), came in self.came.items():
            self.stays.append(
                spread.Stay(server, came, self.began.get((id, server), inf), inf, self._work(id))
            )
        self.lives += [spread.Life(s, at, inf, self.servers[s].capacity) for s, at in self.up.items()]
        return spread.World(list(self.servers), self.stays, self.full, self.lives, length)

    def _work(self, id: str) -> float:
        return self.jobs[id].work * max(1.0, self.jobs[id].slots)

    def _entry(self, s: RealServerModel, state: api.WorkerStatus, born: float = 0.0) -> api.WorkerEntry:
        return api.WorkerEntry(s.name, state, s.zone, s.pool.kind, 0, born, s.pool.weight)

    # --- what dispatchers do

    def submit(self, node: _Node, id: str, server: str) -> None:
        s, now = self.servers[server], self.kernel.now
        self.sent.append((now, server, self.jobs[id].job_class))
        if not s.up:
            self.kernel.after(HOP_S, lambda: node.ended(id, server, api.Ending.UNREACHABLE))
            return
        verdict = s.submit(now, self.jobs[id])
        if verdict == "accepted":
            self.came[id, server] = now
        elif verdict == "full":
            self.full.append(now)
            self.kernel.after(HOP_S, lambda: node.ended(id, server, api.Ending.OVERLOADED))
        else:
            self.kernel.after(HOP_S, lambda: node.ended(id, server, api.Ending.ERROR))
        self.touch(s)

    def cancel(self, node: _Node, id: str, server: str) -> None:
        if (s := self.servers.get(server)) is not None and s.up:
            s.cancel(self.kernel.now, id)
            self.touch(s)
        node.ended(id, server, api.Ending.CANCELLED)

    def served(self, id: str, arrived: float) -> None:
        if any(a <= arrived < b for a, b in self.counted):
            self.latency.setdefault(self.jobs[id].job_class, []).append(self.kernel.now - arrived)

    # --- what real servers do

    def touch(self, s: RealServerModel) -> None:
        now = self.kernel.now
        for action in s.advance(now):
            if isinstance(action, Told):
                self.kernel.after(HOP_S, lambda a=action: self._news(s.name, a))  # type: ignore[misc]
            elif isinstance(action, Fell):
                self._down(s)
            elif isinstance(action, records.Began):
                self.began[action.id, s.name] = action.at
            elif (came := self.came.pop((action.id, s.name), None)) is not None:
                began = self.began.pop((action.id, s.name), float("inf"))
                self.stays.append(spread.Stay(s.name, came, began, action.at, self._work(action.id)))
        self.wakes.set(s)

    def _news(self, server: str, told: Told) -> None:
        node = self.of.get(told.id)
        n = None if node is None else node.open.get(told.id, {}).get(server)
        if node is None or n is None:
            return
        if told.state == "started":
            node.tell(api.Started(told.id, n))
        elif told.state == "running":
            node.tell(api.Progress(told.id, n, told.share))
        else:
            node.ended(told.id, server, ENDS[told.state])

    def _start(self, s: RealServerModel, cold: bool, told: bool = True) -> None:
        s.start(self.kernel.now, cold)
        self.up[s.name] = self.kernel.now
        if told:
            self._tell_list(self._entry(s, api.WorkerStatus.READY, self.kernel.now))

    def _down(self, s: RealServerModel) -> None:
        if (since := self.up.pop(s.name, None)) is not None:
            self.lives.append(spread.Life(s.name, since, self.kernel.now, s.capacity))
            self._tell_list(self._entry(s, api.WorkerStatus.REMOVED))

    def _tell_list(self, entry: api.WorkerEntry) -> None:
        """Changes of one real server stay in their order at each dispatcher."""
        for n, node in enumerate(self.nodes):
            at = max(
                self.kernel.now + draw(self.e.discovery.delay_s, self.rng),
                self.told_at.get((n, entry.worker), 0.0),
            )
            self.told_at[n, entry.worker] = at
            patch = api.WorkerList(api.ListKind.PATCH, (entry,))
            self.kernel.at(at, lambda node=node, patch=patch: node.tell(patch))  # type: ignore[misc]

    def _kill(self, s: RealServerModel) -> None:
        for id, server in [k for k in self.came if k[1] == s.name]:
            self.kernel.after(HOP_S, partial(self.of[id].ended, id, server, api.Ending.BROKEN))
        s.kill(self.kernel.now)
        self._down(s)


def play(e: Experiment) -> tuple[spread.World, dict[str, list[float]], int]:
    """What the real servers saw, latencies by class, and how many jobs were refused or failed."""
    one = Play(e)
    world = one.run()
    return world, one.latency, one.unserved


def figures(e: Experiment) -> dict[str, Any]:
    """As one row of `floor.floors`, with `unserved`."""
    world, latency, unserved = play(e)
    found = floor.row(e, world, latency)
    found["unserved"] = unserved
    return found
