"""Real servers of a run: the lab's model behind a listener, and the call-backs that tell of its jobs."""

from collections import deque
from math import inf
from typing import TYPE_CHECKING, Any, Literal

import msgspec

from finchladder.lab import records
from finchladder.lab.models.realserver import Fell, JobIn, RealServerModel, Told
from finchladder.lab.wire import Message, write_request, write_response
from finchladder.sim.draws import stream
from finchladder.sim.network import End, Handler, Listener
from finchladder.sim.talk import Talk

if TYPE_CHECKING:
    from finchladder.sim.run import Run

TRIES = 10  # of one call-back
WAITS_S = (0.01, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.0, 1.0)  # before the second try, the third, ...
ANSWER_S = 2.0  # a call-back that is not answered by then is tried again on another connection
EARLY_S = 0.05  # a 202 that waits for its job's first call-back waits no longer
STAYS_S = 2.0  # a draining server stays at least so long, so that a send too late is seen and not refused
MOST_WAITING = 4  # call-backs of one job; a job that has so many tells of no progress
PORT = 8081
FINAL = frozenset(("done", "failed", "returned", "lost"))
_encode = msgspec.json.Encoder().encode


class Tale:
    """What is to be told of one job, in order."""

    def __init__(self, id: str, teller: "Teller") -> None:
        self.id, self.teller = id, teller
        self.queue: deque[dict[str, Any]] = deque()
        self.tries = 0
        self.moving = self.final = self.dead = False
        self.release: Any = None  # called once something has been told

    def tell(self, what: dict[str, Any], times: int = 1) -> None:
        if what["state"] == "running" and len(self.queue) >= MOST_WAITING:
            return
        self.queue.extend([what] * times)
        if not self.moving:
            self.teller.push(self)

    def finish(self) -> None:
        self.final = True
        if not self.queue:
            self.teller.over(self)


class CallBacks(Talk):
    """A kept connection of a real server to a dispatcher."""

    def __init__(self, teller: "Teller") -> None:
        super().__init__(teller.server.run.net, responses=True)
        self.teller = teller
        self.tale: Tale | None = None
        self.serial = 0

    def made(self) -> None:
        if self.tale is not None:
            self.send(self.tale)

    def send(self, tale: Tale) -> None:
        run, what = self.teller.server.run, tale.queue[0]
        self.tale, self.serial = tale, self.serial + 1
        serial, body = self.serial, _encode(what)
        run.kernel.after(ANSWER_S, lambda: self.late(serial))
        self.say(write_request("POST", "/v1/job-events", {"Host": self.teller.node}, body))
        run.see(
            "told",
            id=tale.id,
            server=self.teller.server.name,
            node=self.teller.node,
            state=what["state"],
            **({"try": tale.tries} if tale.tries > 1 else {}),
        )
        who = {"server": self.teller.server.name, "node": self.teller.node, "id": tale.id}
        if what["state"] in FINAL:
            run.moment("result", end=self.end, **who)
        elif what["state"] == "started":
            run.moment("started", end=self.end, **who)

    def late(self, serial: int) -> None:
        """No answer in time; `serial` 0: no connection."""
        if self.serial == serial and not self.over and (self.tale is not None or not serial):
            self.reset()
            self.lost("late")

    def message(self, m: Message) -> None:
        tale, self.tale = self.tale, None
        if tale is None:
            self.reset()
            self.teller.gone(self)
            return
        if m.keeps:
            self.teller.idle.append(self)
        else:
            self.close()
            self.teller.gone(self)
        self.teller.tried(tale, m.status in (200, 204))

    def lost(self, how: str) -> None:
        self.teller.gone(self)
        tale, self.tale = self.tale, None
        if tale is not None:
            self.teller.tried(tale, False)


class Teller:
    """All call-backs of one real server's process to one dispatcher."""

    def __init__(self, server: "Server", node: str) -> None:
        self.server, self.node = server, node
        self.idle: list[CallBacks] = []
        self.all: dict[CallBacks, None] = {}

    def push(self, tale: Tale) -> None:
        tale.moving = True
        if tale.dead:
            return
        tale.tries += 1
        while self.idle:
            line = self.idle.pop()
            if not line.over:
                line.send(tale)
                return
        line = CallBacks(self)
        self.all[line] = None
        line.tale = tale
        line.connect(self.server.host, self.server.ip, self.server.run.address_of(self.node))
        self.server.run.kernel.after(ANSWER_S, lambda: line.late(0))

    def gone(self, line: CallBacks) -> None:
        self.all.pop(line, None)
        if line in self.idle:
            self.idle.remove(line)

    def tried(self, tale: Tale, answered: bool) -> None:
        if tale.dead:
            return
        run = self.server.run
        if not answered and tale.tries < TRIES:
            run.kernel.after(WAITS_S[tale.tries - 1], lambda: self.push(tale))
            return
        if not answered:
            run.see("untold", id=tale.id, server=self.server.name, state=tale.queue[0]["state"])
        tale.tries = 0
        tale.queue.popleft()
        if tale.release is not None:
            tale.release()
        if tale.queue:
            self.push(tale)
            return
        tale.moving = False
        if tale.final:
            self.over(tale)

    def over(self, tale: Tale) -> None:
        self.server.told_all(tale)

    def close(self) -> None:
        for line in list(self.all):
            line.reset()
        self.all.clear()
        self.idle.clear()


class Edge(Talk):
    """A connection to a real server. Requests wait while it is stopped or shakes hands."""

    def __init__(self, server: "Server", end: End) -> None:
        super().__init__(server.run.net, responses=False)
        self.server, self.end, self.node = server, end, end.peer.host
        end.peer.writes = deque()
        self.unserved: deque[tuple[float, float, Message]] = deque()
        self.first = self.used = server.run.kernel.now
        self.gate = 0.0
        self.admitted = False
        self.swallowed: records.Taken | None = None
        self.pending: Tale | None = None  # accepted, but the 202 waits for its first call-back
        self.said = 0  # bytes
        self.accepted, self.accepted_by = "", 0  # the last job with a 202, and what was said up to its end

    def begun(self, place: int) -> None:
        """A send's time runs from the writing of its first byte."""
        assert self.end is not None
        self.first = self.end.peer.written_at(place)

    def message(self, m: Message) -> None:
        now = self.server.run.kernel.now
        self.unserved.append((self.first, now, m))
        if self.server.model.paused and m.method == "DELETE":
            self.server.give_up_later(now, m.target)
        self.serve()

    def serve(self) -> None:
        server = self.server
        now = server.run.kernel.now
        while self.unserved and self.admitted and self.pending is None and self.swallowed is None:
            if server.model.paused or self.over:
                return
            if now < self.gate:
                server.run.kernel.at(self.gate, self.serve)
                return
            first, last, message = self.unserved.popleft()
            self.used = now
            server.request(self, now, first, last, message)

    @property
    def rests(self) -> bool:
        return not (self.unserved or self.parser.begun or self.pending or self.swallowed)

    def answer(self, data: bytes, keeps: bool = True) -> None:
        self.said += len(data)
        self.say(data)
        if not keeps:
            self.close()
            self.server.edges.pop(self, None)

    def accept(self, id: str, keeps: bool) -> None:
        self.accepted, self.accepted_by = id, self.said + len(ACCEPTED)
        self.answer(ACCEPTED, keeps)

    def lost(self, how: str) -> None:
        server, now = self.server, self.server.run.kernel.now
        if server.edges.pop(self, 0) == 0:
            return
        if self.admitted:
            server.model.disconnected(now)
        self.settle(now, "cancelled")
        if self.pending is not None:  # given up before the 202
            server.model.cancel(now, self.pending.id)
            self.pending = None
            server.played()

    def given_up(self, taken: int) -> None:
        """The dispatcher has closed, having read so much: its job is given up though nobody here hears."""
        now, server = self.server.run.kernel.now, self.server
        if self.swallowed is not None:
            server.run.put(server.ended(self.swallowed.id, now, "cancelled"))
            self.swallowed = None
        id = self.accepted if taken < self.accepted_by else ""
        if self.pending is not None:
            id = self.pending.id
        if id:
            server.run.put(server.ended(id, now, "cancelled"))

    def settle(self, now: float, how: Literal["cancelled", "killed"]) -> None:
        """Requests that came and were never answered: given up, or gone with their process."""
        server, put = self.server, self.server.run.put
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


class Server:
    """One real server over all its starts."""

    def __init__(self, run: "Run", name: str, zone: str, pool: int, number: int) -> None:
        e = run.plan.experiment
        self.run, self.name, self.host, self.pool, self.group = run, name, name, e.pool[pool], number % 2
        self.ip = f"10.1.0.{number + 1}"
        run.net.hosts[self.ip] = name
        self.random = stream(run.plan.seed, "server", name)
        limits = e.cold_multiple, e.cold_window_s
        drawn = stream(run.plan.seed, "model", name)
        self.model = RealServerModel(name, zone, self.pool, drawn, None, *limits)
        self.listener: Listener | None = None
        self.edges: dict[Edge, None] = {}
        self.tellers: dict[str, Teller] = {}
        self.tales: dict[str, Tale] = {}
        self.state: Literal["ready", "draining", "gone"] = "gone"
        self.born, self.due = 0.0, inf
        self.given_up: list[str] = []
        self.paused_at = -1.0
        self.swallow = 0.0
        self.leaves = inf
        self.returns = self.fell = False
        self.sweeping = False

    @property
    def address(self) -> str:
        return f"{self.ip}:{PORT}"

    # --- its process

    def start(self, cold: bool, told: bool = True) -> None:
        now = self.run.kernel.now
        born = self.model.start(now, cold)
        born.group = self.group
        self.run.put(born)
        self.state, self.born = "ready", now if told else 0.0
        self.leaves, self.returns, self.fell = inf, False, False
        self.listener = self.run.net.listen(self.host, (self.ip, PORT), self)
        self.run.changed(self)
        if not self.sweeping:
            self.sweeping = True
            self.run.kernel.after(self.pool.idle_s / 2, self._sweep)

    def connected(self, end: End) -> Handler | None:
        edge = Edge(self, end)
        self.edges[edge] = None
        if not self.model.paused and not self.admit(edge):
            del self.edges[edge]
            return None
        return edge

    def admit(self, edge: Edge) -> bool:
        now = self.run.kernel.now
        if not self.model.connection(now):
            return False
        edge.admitted = True
        if self.pool.handshake_s > 0:
            edge.gate = now + self.model.handshake(now)
        self.played()
        return True

    def gone(self, why: Any) -> None:
        now = self.run.kernel.now
        self.run.put(records.Died(self.name, self.model.epoch, now, why))
        if self.listener is not None:
            self.run.net.unlisten(self.listener)
            self.listener = None
        edges, self.edges = self.edges, {}
        for edge in edges:
            edge.settle(now, "killed")
            edge.pending = None
            if why == "left":
                edge.close()
            else:
                edge.reset()
        tales, self.tales = self.tales, {}
        for tale in tales.values():
            tale.dead = True
            self._orphaned(tale)
        for teller in self.tellers.values():
            teller.close()
        self.tellers.clear()
        self.given_up.clear()
        self.state, self.swallow, self.leaves, self.fell = "gone", 0.0, inf, why == "fell"
        self.run.changed(self)

    def _orphaned(self, tale: Tale) -> None:
        """The machine's agent tells later of most jobs that died with their process."""
        if self.random.random() < self.run.plan.experiment.callbacks.lost:
            what = {"id": tale.id, "from": self.name, "state": "lost"}
            told = Tale(tale.id, Teller(self, tale.teller.node))
            told.final = True
            self.run.kernel.after(self.random.uniform(0.02, 0.3), lambda: told.tell(what))

    def kill(self) -> None:
        if self.model.up:
            now = self.run.kernel.now
            if self.model.paused:
                self.run.put(records.Died(self.name, self.model.epoch, now, "resumed"))
            self.model.kill(now)
            self._act()
            self.gone("killed")

    def drain(self) -> None:
        if self.model.up and self.state == "ready":
            now = self.run.kernel.now
            self.state, self.leaves = "draining", now + STAYS_S
            self.run.changed(self)
            self.model.drain(now)
            self.played()
            self.run.kernel.at(self.leaves, self.leave)

    def leave(self) -> None:
        now = self.run.kernel.now
        if now >= self.leaves and self.model.up and self.model.idle and not self.tales:
            self.model.kill(now)
            self._act()
            self.gone("left")
            if self.returns:
                self.start(True)

    def come_back(self) -> None:
        if self.model.up:
            self.returns = self.state == "draining"
        else:
            self.start(True)

    def pause(self) -> None:
        if self.model.up and not self.model.paused:
            now = self.run.kernel.now
            self.model.pause(now)
            self.paused_at = now
            self.run.put(records.Died(self.name, self.model.epoch, now, "paused"))

    def go_on(self) -> None:
        if self.model.up and self.model.paused:
            now = self.run.kernel.now
            self.run.put(records.Died(self.name, self.model.epoch, now, "resumed"))
            self.model.resume(now)
            self.played()
            for target in self.given_up:
                self.give_up(now, target)
            self.given_up.clear()
            for edge in list(self.edges):
                if not edge.admitted and not self.admit(edge):
                    self.edges.pop(edge, None)
                    edge.reset()
                edge.serve()

    # --- its model

    def _ring(self) -> None:
        if self.run.kernel.now >= self.due:
            self.due = inf
            self.run.step("model", self.name)
            self.played()

    def played(self) -> None:
        """To be called after every call of the model."""
        self._act()
        now = self.run.kernel.now
        if self.leaves <= now:
            self.run.kernel.at(now, self.leave)  # not before what is being answered is written
        if (due := self.model.next_due()) is not None and due < self.due:
            self.due = max(due, now)
            self.run.kernel.at(self.due, self._ring)

    def _act(self) -> None:
        for action in self.model.advance(self.run.kernel.now):
            if isinstance(action, Told):
                self._tell(action)
            elif isinstance(action, Fell):
                self.gone("fell")
            else:
                self.run.put(action)
                given_up = isinstance(action, records.Ended) and action.how == "cancelled"
                if given_up and (tale := self.tales.pop(action.id, None)) is not None:
                    tale.finish()

    def _tell(self, told: Told) -> None:
        if (tale := self.tales.get(told.id)) is None:
            return
        what: dict[str, Any] = {"id": told.id, "from": self.name, "state": told.state}
        if told.state == "running":
            what["share"] = round(told.share, 4)
        if told.state == "done":
            what["result"] = told.result
        if told.load is not None:
            what["load"] = told.load
        tale.tell(what, 2 if self.random.random() < self.run.plan.experiment.callbacks.twice else 1)
        if told.state in FINAL:
            tale.finish()

    def told_all(self, tale: Tale) -> None:
        if self.tales.get(tale.id) is tale:
            del self.tales[tale.id]
        if self.leaves < inf:
            self.run.kernel.at(self.run.kernel.now, self.leave)

    def unknown(self) -> None:
        """A call-back for a job that nobody knows."""
        nodes = list(self.run.processes)
        if self.model.up:
            id = f"nobody{self.random.getrandbits(32):08x}"
            tale = Tale(id, self.teller(self.random.choice(nodes)))
            tale.tell({"id": id, "from": self.name, "state": "done", "result": f"{self.name}/0/{id}/none"})
            tale.final = True

    def teller(self, node: str) -> Teller:
        if (teller := self.tellers.get(node)) is None:
            teller = self.tellers[node] = Teller(self, node)
        return teller

    def _sweep(self) -> None:
        """Closes connections that nobody has used for idle_s."""
        now = self.run.kernel.now
        if not self.model.paused:
            for edge in [e for e in self.edges if e.used + self.pool.idle_s <= now]:
                if edge.rests:
                    del self.edges[edge]
                    self.model.disconnected(now)
                    edge.close()
                else:
                    edge.used = now
        self.run.kernel.after(max(0.1, self.pool.idle_s / 2), self._sweep)

    # --- requests

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
        else:
            edge.answer(write_response(404), m.keeps)

    def give_up(self, now: float, target: str) -> bool:
        known = target.startswith("/jobs/") and self.model.cancel(now, target[6:])
        self.run.see("given up", id=target[6:], server=self.name, known=known)
        self.played()
        return known

    def give_up_later(self, now: float, target: str) -> None:
        """A DELETE has come while it is stopped: the job counts as given up, whenever this is read."""
        if target[6:] in self.tales:
            self.given_up.append(target)
            self.run.put(self.ended(target[6:], now, "cancelled"))

    def _job(self, edge: Edge, now: float, first: float, last: float, m: Message) -> None:
        run, put = self.run, self.run.put
        known = run.clients.known.get(m.headers.get("x-correlation-id", ""))
        if known is None:
            put(self.taken(m, first, last, "unknown"))
            edge.answer(write_response(400 if "x-correlation-id" in m.headers else 404), m.keeps)
            return
        who = {"server": self.name, "node": edge.node, "id": known.id}
        if self.swallow and self.random.random() < self.swallow:
            edge.swallowed = self.taken(m, first, last, "silent")
            put(edge.swallowed)
            run.moment("taken", end=edge.end, **who)
            return
        job = known.job
        repeatable = known.job_class.effect != "fragile"
        wish = JobIn(known.id, job.job_class, job.key, job.work_s, job.slots, 0.0, 0, repeatable)
        verdict = self.model.submit(now, wish)
        put(self.taken(m, first, last, verdict if self.model.up else "reset"))
        if not self.model.up:  # this one has felled it
            self.played()
            return
        if verdict != "accepted":
            headers = {"X-Unprocessed": "1"} if verdict == "full" else {}
            edge.answer(write_response(503 if verdict == "full" else 500, b"", headers), m.keeps)
            self.played()
            run.moment("taken", end=edge.end, **who)
            return
        tale = self.tales[known.id] = Tale(known.id, self.teller(edge.node))
        if self.random.random() < run.plan.experiment.callbacks.early:
            self._accept_late(edge, tale, m.keeps)
        else:
            edge.accept(known.id, m.keeps)
            run.moment("accepted", end=edge.end, **who)
        run.moment("taken", end=edge.end, **who)
        self.played()

    def _accept_late(self, edge: Edge, tale: Tale, keeps: bool) -> None:
        def accept() -> None:
            tale.release = None
            if edge.pending is tale:
                edge.pending = None
                edge.accept(tale.id, keeps)
                who = {"server": self.name, "node": edge.node, "id": tale.id}
                self.run.moment("accepted", end=edge.end, **who)
                edge.serve()

        edge.pending, tale.release = tale, accept
        self.run.kernel.after(EARLY_S, accept)


ACCEPTED = write_response(202)
