"""Real servers on sockets: each is a listener of its own in front of a model that decides everything.

What is written to the ledger is what happened here: a request is `Taken` when its last byte came, whatever
became of it. Servers say what became of them (ready, draining, gone) by the word `states`.
"""

import asyncio
import contextlib
import math
import random
import re
import time
from collections import OrderedDict
from typing import Any, cast

import msgspec

from finchladder.lab import records
from finchladder.lab.control import Order, ServerPlan, Word
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.drivers.callbacks import Job, Outlet
from finchladder.lab.drivers.sockets import Alarm, Listener, reset
from finchladder.lab.experiment import Fault
from finchladder.lab.models.realserver import Fell, JobIn, RealServerModel, Told
from finchladder.lab.models.store import StoreModel
from finchladder.lab.wire import Message, Parser, WireError, write_response

KNOWN_ID = re.compile(r"[0-9A-Za-z]{16,64}", re.ASCII)
EARLY_S = 0.05  # a 202 that waits for its job's first call-back waits no longer
STAYS_S = 2.0  # a draining server stays at least so long, so that a send too late is seen and not refused
LOST_S = (0.02, 0.3)  # the agent tells of a death after a time drawn from this
SWEEP_S = 0.5
LIVE_S = 1.0
MOST_UNSERVED = 16  # whole requests that wait on one connection; more are no use of it that is allowed
FINAL = frozenset(("done", "failed", "returned", "lost"))


class Edge(asyncio.Protocol):
    """A connection to a real server. Requests wait while the server is paused or shakes hands."""

    def __init__(self, server: "Server") -> None:
        self.server, self.fleet = server, server.fleet
        self.transport: asyncio.Transport | None = None
        self.parser = Parser(responses=False)
        self.unserved: list[tuple[float, float, Message]] = []  # first and last byte came, what
        self.first = self.used = 0.0
        self.admitted = False
        self.gate = 0.0  # nothing is served before
        self.swallowed: records.Taken | None = None  # the request that is never answered
        self.pending: Job | None = None  # accepted, but the 202 waits for its first call-back

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.used = cast(asyncio.Transport, transport), time.monotonic()
        if not self.server.up:  # accepted by the kernel before the server died
            reset(transport)
            return
        self.server.edges.add(self)
        if not self.server.model.paused:
            self.admit(self.used)

    def admit(self, now: float) -> None:
        model = self.server.model
        if not model.connection(now):
            self.server.turned_off += 1
            if self.transport is not None:
                self.transport.abort()
            return
        self.admitted = True
        self.server.most_held = max(self.server.most_held, model.connections)
        if self.server.pool.handshake_s > 0:
            self.gate = now + model.handshake(now)
            self.fleet.alarm.at(self.gate, self.serve)
            self.server.played(now)
        self.server.resting[self] = None

    def data_received(self, data: bytes) -> None:
        now = time.monotonic()
        if not self.parser.begun:
            self.first = now
        try:
            whole = self.parser.feed(data)
        except WireError:
            self.close()
            return
        for message in whole:
            self.unserved.append((self.first, now, message))
            self.first = now
            if self.server.model.paused and message.method == "DELETE":
                self.server.give_up_later(now, message.target)
        if len(self.unserved) > MOST_UNSERVED:
            self.close()
        elif self.unserved:
            self.serve(now)

    def serve(self, now: float) -> None:
        server = self.server
        while self.unserved and self.admitted and self.pending is None and self.swallowed is None:
            if server.model.paused or now < self.gate or self.transport is None:
                return
            first, last, message = self.unserved.pop(0)
            self.used = now
            if self in server.resting:
                server.resting.move_to_end(self)
            self.fleet.process.events += 1
            server.request(self, now, first, last, message)

    def answer(self, data: bytes, keeps: bool = True) -> None:
        if self.transport is not None:
            self.transport.write(data)
            if not keeps:
                self.transport.close()

    @property
    def rests(self) -> bool:
        return not (self.unserved or self.parser.begun or self.pending or self.swallowed)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        server, now = self.server, time.monotonic()
        if self not in server.edges:
            return  # the server has closed it, and has seen to what was on it
        self.leave()
        if self.admitted:
            server.model.disconnected(now)
        self.settle(now, "cancelled")
        if self.pending is not None:  # given up before the 202
            server.model.cancel(now, self.pending.id)
            server.played(now)
            self.pending = None

    def settle(self, now: float, how: str) -> None:
        """Requests that came and were never answered: given up, or gone with their process."""
        server, put = self.server, self.fleet.process.put
        for first, last, m in self.unserved:
            if m.method == "POST":
                put(server.taken(m, first, last, "silent" if how == "cancelled" else "reset"))
                put(server.ended(m.headers.get("x-correlation-id", ""), now, how))
            elif m.method == "DELETE" and how == "cancelled" and not server.model.paused:
                server.give_up(now, m.target)
        self.unserved.clear()
        if self.swallowed is not None:
            put(server.ended(self.swallowed.id, now, how))
            self.swallowed = None

    def leave(self) -> None:
        self.server.edges.discard(self)
        self.server.resting.pop(self, None)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Server:
    """One real server: its model, its listener, its connections and the jobs it has to tell of."""

    def __init__(self, fleet: "Fleet", plan: ServerPlan) -> None:
        experiment = fleet.process.plan.experiment
        self.fleet, self.name, self.group = fleet, plan.name, plan.group
        self.pool = experiment.pool[plan.pool]
        rng = random.Random(f"{experiment.seed}/{plan.name}")
        limits = experiment.cold_multiple, experiment.cold_window_s
        self.model = RealServerModel(plan.name, plan.zone, self.pool, rng, fleet.store, *limits)
        self.listener = Listener(fleet.process.loop, fleet.process.plan.host, lambda: Edge(self))
        self.edges: set[Edge] = set()
        self.resting: OrderedDict[Edge, None] = OrderedDict()  # admitted ones, the longest unused first
        self.jobs: dict[str, Job] = {}
        self.state, self.born = "gone", 0.0
        self.due = math.inf
        self.given_up: list[str] = []  # targets of DELETEs that came while it was paused
        self.swallow = 0.0  # share of the requests
        self.leaves = math.inf  # a draining server may leave from then on
        self.returns = False  # the fault is over: it comes back once it has left
        self.fell = False
        self.most_held = self.turned_off = 0  # connections at once, and those there was no place for

    @property
    def up(self) -> bool:
        return self.model.up

    # ---- its process

    def start(self, now: float, cold: bool, told: bool) -> None:
        """`told`: discovery shall name the time of this start; else it has run for long."""
        born = self.model.start(now, cold)
        born.group = self.group
        self.fleet.process.put(born)
        self.state, self.born = "ready", now if told else 0.0
        self.leaves, self.returns, self.fell = math.inf, False, False
        self.listener.open()
        self.fleet.changed(self)

    def restart_cold(self, now: float) -> None:
        """The run begins: its cold time counts from here."""
        if self.up:
            self.model.kill(now)
            self.played(now)
            self.start(now, True, True)

    def gone(self, now: float, why: Any) -> None:
        """The process is no more: killed, fallen over, or left after a drain."""
        self.fleet.process.put(records.Died(self.name, self.model.epoch, now, why))
        self.listener.close()
        edges, self.edges = self.edges, set()
        self.resting.clear()
        self.given_up.clear()
        for edge in edges:
            edge.settle(now, "killed")
            edge.pending = None
            if why == "left":
                edge.close()
            else:
                reset(edge.transport)
        jobs, self.jobs = self.jobs, {}
        for job in jobs.values():
            job.dead = True
            self.fleet.orphaned(self, job, now)
        self.state, self.swallow, self.leaves, self.fell = "gone", 0.0, math.inf, why == "fell"
        self.fleet.changed(self)

    def kill(self, now: float) -> None:
        if self.up:
            paused = self.model.paused
            self.model.kill(now)
            self._act(now)
            if paused:
                self.fleet.process.put(records.Died(self.name, self.model.epoch, now, "resumed"))
            self.gone(now, "killed")

    def drain(self, now: float) -> None:
        if self.up and self.state == "ready":
            self.state, self.leaves = "draining", now + STAYS_S
            self.fleet.changed(self)
            self.model.drain(now)
            self.played(now)
            self.fleet.alarm.at(self.leaves, self.leave)

    def leave(self, now: float) -> None:
        """It ends by itself once it has drained and told everything."""
        if now >= self.leaves and self.up and self.model.idle and not self.jobs:
            self.model.kill(now)
            self._act(now)
            self.gone(now, "left")
            if self.returns:
                self.start(now, True, True)

    def come_back(self, now: float) -> None:
        """The fault that took it away is over. One that fell over stays down."""
        if self.up:
            self.returns = self.state == "draining"
        elif not self.fell:
            self.start(now, True, True)

    def pause(self, now: float) -> None:
        if self.up and not self.model.paused:
            self.model.pause(now)
            self.fleet.process.put(records.Died(self.name, self.model.epoch, now, "paused"))

    def resume(self, now: float) -> None:
        if self.up and self.model.paused:
            self.fleet.process.put(records.Died(self.name, self.model.epoch, now, "resumed"))
            self.model.resume(now)
            self.played(now)
            for target in self.given_up:
                self.give_up(now, target)
            self.given_up.clear()
            for edge in list(self.edges):
                if not edge.admitted:
                    edge.admit(now)
                edge.serve(now)

    # ---- its model

    def ring(self, now: float) -> None:
        if now >= self.due:
            self.due = math.inf
            self.played(now)

    def played(self, now: float) -> None:
        """To be called after every call of the model."""
        self._act(now)
        if self.leaves <= now:
            self.fleet.alarm.at(now, self.leave)  # not before what is being answered is written
        if (due := self.model.next_due()) is not None and due < self.due:
            self.due = due
            self.fleet.alarm.at(due, self.ring)

    def _act(self, now: float) -> None:
        for action in self.model.advance(now):
            if isinstance(action, Told):
                self.tell(action)
            elif isinstance(action, Fell):
                self.gone(now, "fell")
            else:
                self.fleet.process.put(action)
                given_up = isinstance(action, records.Ended) and action.how == "cancelled"
                if given_up and (job := self.jobs.pop(action.id, None)) is not None:
                    job.finish()

    def tell(self, told: Told) -> None:
        if (job := self.jobs.get(told.id)) is None:
            return
        what: dict[str, Any] = {"id": told.id, "from": self.name, "state": told.state}
        if told.state == "running":
            what["share"] = round(told.share, 4)
        if told.state == "done":
            what["result"] = told.result
        if told.load is not None:
            what["load"] = told.load
        fleet = self.fleet
        job.tell(what, 2 if fleet.rng.random() < fleet.habits.twice else 1)
        if told.state in FINAL:
            job.finish()

    def told_all(self, job: Job) -> None:
        if self.jobs.get(job.id) is job:
            del self.jobs[job.id]
        if self.leaves < math.inf:
            self.fleet.alarm.at(time.monotonic(), self.leave)

    # ---- requests

    def taken(self, m: Message, first: float, last: float, verdict: Any) -> records.Taken:
        digest = records.digest(m.method, m.target, m.body)
        id = m.headers.get("x-correlation-id", "")
        return records.Taken(id, self.name, self.model.epoch, first, last, verdict, digest)

    def ended(self, id: str, now: float, how: Any) -> records.Ended:
        return records.Ended(id, self.name, self.model.epoch, now, how)

    def request(self, edge: Edge, now: float, first: float, last: float, m: Message) -> None:
        if m.method == "POST":
            self._job(edge, now, first, last, m)
        elif m.method == "DELETE":
            edge.answer(write_response(204 if self.give_up(now, m.target) else 404), m.keeps)
        elif m.method == "GET" and m.target in ("/ping", "/_load"):
            body = b""
            if m.target == "/_load" and self.pool.reports:
                body = msgspec.json.encode(self.model.load(now))
            edge.answer(write_response(200 if self.state == "ready" else 503, body), m.keeps)
        else:
            edge.answer(write_response(404), m.keeps)

    def give_up(self, now: float, target: str) -> bool:
        """DELETE /jobs/ID. False: it holds no such job."""
        known = target.startswith("/jobs/") and self.model.cancel(now, target[6:])
        self.played(now)
        return known

    def give_up_later(self, now: float, target: str) -> None:
        """A DELETE has come while it is paused: the job counts as given up, whenever this is read."""
        if target[6:] in self.jobs:
            self.given_up.append(target)
            self.fleet.process.put(self.ended(target[6:], now, "cancelled"))

    def _job(self, edge: Edge, now: float, first: float, last: float, m: Message) -> None:
        fleet, put = self.fleet, self.fleet.process.put
        outlet = fleet.outlet(self.model.zone, m.headers.get("x-lab-node", ""))
        job_in = fleet.read(m)
        if job_in is None or outlet is None:
            put(self.taken(m, first, last, "unknown"))
            why = b"no id, class, work or X-Lab-Node that the run knows\n"
            edge.answer(write_response(400 if "x-correlation-id" in m.headers else 404, why), m.keeps)
            return
        fleet.taken += 1
        if self.swallow and fleet.rng.random() < self.swallow:
            edge.swallowed = self.taken(m, first, last, "silent")
            put(edge.swallowed)
            return
        verdict = self.model.submit(now, job_in)
        put(self.taken(m, first, last, verdict if self.up else "reset"))
        if not self.up:  # this one has felled it
            self.played(now)
            return
        if verdict != "accepted":
            headers = self._load_header(now)
            if verdict == "full":
                headers["X-Unprocessed"] = "1"
            edge.answer(write_response(503 if verdict == "full" else 500, b"", headers), m.keeps)
            self.played(now)
            return
        job = self.jobs[job_in.id] = Job(job_in.id, outlet, self.told_all)
        if fleet.rng.random() < fleet.habits.early:
            self._accept_late(edge, job, now, m.keeps)
        else:
            edge.answer(ACCEPTED, m.keeps)
        self.played(now)

    def _accept_late(self, edge: Edge, job: Job, now: float, keeps: bool) -> None:
        def accept(_: float = 0.0) -> None:
            job.release = None
            if edge.pending is job:
                edge.pending = None
                edge.answer(ACCEPTED, keeps)
                edge.serve(time.monotonic())

        edge.pending, job.release = job, accept
        self.fleet.alarm.at(now + EARLY_S, accept)

    def _load_header(self, now: float) -> dict[str, str]:
        if not self.pool.reports or not self.up:
            return {}
        return {"X-Backend-Load": ",".join(f"{k}={v:.4g}" for k, v in self.model.load(now).items())}


ACCEPTED = write_response(202)


class Fleet(Role):
    """The real servers of the plan. Orders: `go`, and `fault` for the kinds that strike real servers."""

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        plan = process.plan
        self.rng, self.habits = process.rng, plan.experiment.callbacks
        self.alarm = Alarm(process.loop)
        self.store = StoreModel(max(1, plan.experiment.store.fetches // plan.parts))
        self.classes = {c.name: c for c in plan.experiment.job_class}
        self.outlets: dict[str, Outlet] = {}  # by address
        self.changes: dict[str, tuple[str, float]] = {}  # states to be said at the end of this turn
        self.taken = 0
        self.servers: dict[str, Server] = {}

    async def open(self) -> dict[str, str]:
        for address in self.process.plan.dispatchers.values():
            if address not in self.outlets:
                self.outlets[address] = Outlet(self.process.loop, self.process.spawn, self.alarm, address)
        now = time.monotonic()
        for plan in self.process.plan.servers:
            server = self.servers[plan.name] = Server(self, plan)
            server.start(now, server.pool.starts_cold, server.pool.starts_cold)
        self.alarm.at(now + SWEEP_S, self._sweep)
        self.alarm.at(now + LIVE_S, self._live)
        if self.process.plan.experiment.discovery.weights == "live":
            self._weigh(now)
        return {s.name: s.listener.address for s in self.servers.values()}

    def order(self, order: Order) -> None:
        if order.what == "go":
            self.alarm.at(order.at, self._go)
        elif order.what == "fault":
            self._fault(order.data)

    def _go(self, now: float) -> None:
        for server in self.servers.values():
            if server.pool.starts_cold:
                server.restart_cold(now)
        if self.habits.unknown_per_s > 0:
            self._unknown(now)

    def _unknown(self, now: float) -> None:
        """A call-back for a job nobody knows."""
        server = self.rng.choice(list(self.servers))
        id = f"{self.rng.getrandbits(64):016x}"
        what = {"id": id, "from": server, "state": "done", "result": f"{server}/0/{id}/none"}
        Job(id, self.rng.choice(list(self.outlets.values()))).tell(what)
        self.alarm.at(now + self.rng.expovariate(self.habits.unknown_per_s), self._unknown)

    def _fault(self, data: dict[str, Any]) -> None:
        fault = msgspec.convert({k: v for k, v in data.items() if k not in ("targets", "end")}, Fault)
        now, end = time.monotonic(), bool(data.get("end"))
        size = fault.size if isinstance(fault.size, float | int) else self.rng.uniform(*fault.size)
        for name in data.get("targets") or ():
            if (server := self.servers.get(name)) is None:
                continue
            match fault.kind:
                case "kill" | "crash":
                    server.come_back(now) if end else server.kill(now)
                case "drain":
                    server.come_back(now) if end else server.drain(now)
                case "pause":
                    server.resume(now) if end else server.pause(now)
                case "slow":
                    server.model.set_speed(now, 1.0 if end else size)
                    server.played(now)
                case "errors":
                    server.model.set_error_rate(None if end else min(1.0, size), fault.job_class)
                case "swallow":
                    server.swallow = 0.0 if end else min(1.0, size)
                case _:
                    raise ValueError(f"no fault of a real server: {fault.kind}")

    # ---- what its servers use

    def outlet(self, zone: str, node: str) -> Outlet | None:
        """Where a job from there is called back. A request by hand need not name the only dispatcher."""
        dispatchers = self.process.plan.dispatchers
        if not node and len(self.outlets) == 1:
            return next(iter(self.outlets.values()))
        address = dispatchers.get(f"{zone}>{node}") or dispatchers.get(node)
        return self.outlets.get(address) if address else None

    def read(self, m: Message) -> JobIn | None:
        """None: no client of the run has sent it in this form."""
        id = m.headers.get("x-correlation-id", "")
        parts = m.target.partition("?")[0].strip("/").split("/")
        if not KNOWN_ID.fullmatch(id) or (known := self.classes.get(parts[0])) is None:
            return None
        facts: dict[str, float] = {}
        for item in filter(None, m.headers.get("x-facts", "").split(",")):
            name, _, value = item.partition("=")
            with contextlib.suppress(ValueError):
                facts[name.strip()] = float(value)
        try:
            work = float(m.headers["x-lab-work"]) if "x-lab-work" in m.headers else known.work_s
        except ValueError:
            return None
        if not 0 <= work < math.inf:
            return None
        key = parts[-1] if len(parts) > 1 else ""
        slots, memory = facts.get("slots", 1.0), facts.get("memory", 0.0)
        if sigma := known.attempt_sigma:
            work *= self.rng.lognormvariate(-sigma * sigma / 2, sigma)
        safe = known.effect != "fragile"
        return JobIn(id, known.name, key, work, slots, memory, known.priority, safe)

    def orphaned(self, server: Server, job: Job, now: float) -> None:
        """Its process has died. The machine's agent tells so, later, of most such jobs."""
        if self.rng.random() >= self.habits.lost:
            return
        what = {"id": job.id, "from": server.name, "state": "lost"}
        told = Job(job.id, job.outlet)
        self.alarm.at(now + self.rng.uniform(*LOST_S), lambda _: told.tell(what))

    def changed(self, server: Server) -> None:
        if not self.changes:
            self.process.loop.call_soon(self._say_changes)
        self.changes[server.name] = (server.state, server.born)

    def _say_changes(self) -> None:
        if self.changes:
            self.process.say(Word("states", data=self.changes))
            self.changes = {}

    def _sweep(self, now: float) -> None:
        """Closes connections that nobody has used for idle_s. A paused server does nothing."""
        for server in self.servers.values():
            if server.model.paused:
                continue
            while server.resting and (edge := next(iter(server.resting))).used + server.pool.idle_s <= now:
                if edge.rests:
                    edge.leave()
                    server.model.disconnected(now)
                    edge.close()
                else:
                    edge.used = now
                    server.resting.move_to_end(edge)
        self.alarm.at(now + SWEEP_S, self._sweep)

    def _live(self, now: float) -> None:
        self.process.say(Word("live", data=self._figures()))
        self.alarm.at(now + LIVE_S, self._live)

    def _weigh(self, now: float) -> None:
        held = {s.name: s.model.held / s.pool.cores for s in self.servers.values() if s.up}
        self.process.say(Word("loads", data=held))
        self.alarm.at(now + self.process.plan.experiment.discovery.renew_every_s, self._weigh)

    def _figures(self) -> dict[str, int]:
        outlets = self.outlets.values()
        return {
            "up": sum(s.up for s in self.servers.values()),
            "taken": self.taken,
            "told": sum(o.told for o in outlets),
            "untold": sum(o.dropped for o in outlets),
            "waiting": sum(len(o.ready) for o in outlets),
        }

    async def finish(self) -> dict[str, int]:
        self._say_changes()
        for server in self.servers.values():
            self.process.put(records.Held(server.name, server.most_held, server.turned_off))
        return self._figures()

    def close(self) -> None:
        self.alarm.close()
        for outlet in self.outlets.values():
            outlet.close()
        for server in self.servers.values():
            server.listener.close()
            for edge in list(server.edges):
                reset(edge.transport)
