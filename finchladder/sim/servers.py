"""The "real servers" of a run, which run jobs but are simulated themselves.

Each is the lab's server model behind a listener, with callbacks that report job events.
"""

from collections import deque
from math import inf
from typing import TYPE_CHECKING, Any, Literal

import msgspec

from finchladder.lab import records
from finchladder.lab.models.realserver import Fell, JobIn, RealServerModel, Told
from finchladder.lab.wire import Message, write_request, write_response
from finchladder.sim.draws import stream
from finchladder.sim.http_connection import HttpConnection
from finchladder.sim.network import End, Handler, Listener

if TYPE_CHECKING:
    from finchladder.sim.run import Run

MAX_CALLBACK_ATTEMPTS = 10  # for one event
CALLBACK_RETRY_DELAYS_S = (
    0.01,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.0,
    1.0,
    1.0,
)  # before the second attempt, the third, ...
CALLBACK_TIMEOUT_S = 2.0  # a callback not answered by then is sent again on another connection
MAX_ACCEPT_DELAY_S = 0.05  # longest delay of a 202 that waits for its job's first callback
MIN_DRAIN_S = (
    2.0  # a draining server stays up at least this long, so that a late send is recorded and not refused
)
MAX_QUEUED_EVENTS = 4  # queued callbacks of one job above which progress events are dropped
PORT = 8081
FINAL = frozenset(("done", "failed", "returned", "lost"))
_encode = msgspec.json.Encoder().encode


class JobEvents:
    """The events of one job that are still to be reported, in order."""

    def __init__(self, id: str, sender: "EventSender") -> None:
        self.id, self.sender = id, sender
        self.queue: deque[dict[str, Any]] = deque()
        self.attempts = 0
        self.is_sending = self.final = self.is_dead = False
        self.release: Any = None  # called after an event was delivered or dropped

    def add(self, what: dict[str, Any], times: int = 1) -> None:
        if what["state"] == "running" and len(self.queue) >= MAX_QUEUED_EVENTS:
            return
        self.queue.extend([what] * times)
        if not self.is_sending:
            self.sender.push(self)

    def finish(self) -> None:
        self.final = True
        if not self.queue:
            self.sender.finished(self)


class CallbackConnection(HttpConnection):
    """A persistent callback connection of a real server to a dispatcher."""

    def __init__(self, sender: "EventSender") -> None:
        super().__init__(sender.server.run.net, responses=True)
        self.sender = sender
        self.job_events: JobEvents | None = None
        self.serial = 0

    def on_connected(self) -> None:
        if self.job_events is not None:
            self.send(self.job_events)

    def send(self, job_events: JobEvents) -> None:
        run, what = self.sender.server.run, job_events.queue[0]
        self.job_events, self.serial = job_events, self.serial + 1
        serial, body = self.serial, _encode(what)
        run.kernel.after(CALLBACK_TIMEOUT_S, lambda: self.timed_out(serial))
        self.write(write_request("POST", "/v1/job-events", {"Host": self.sender.node}, body))
        run.trace_event(
            "told",
            id=job_events.id,
            server=self.sender.server.name,
            node=self.sender.node,
            state=what["state"],
            **({"try": job_events.attempts} if job_events.attempts > 1 else {}),
        )
        who = {"server": self.sender.server.name, "node": self.sender.node, "id": job_events.id}
        if what["state"] in FINAL:
            run.moment("result", end=self.end, **who)
        elif what["state"] == "started":
            run.moment("started", end=self.end, **who)

    def timed_out(self, serial: int) -> None:
        """Handles a timeout: no answer to request `serial`, or no connection if it is 0."""
        if self.serial == serial and not self.is_closed and (self.job_events is not None or not serial):
            self.reset()
            self.on_lost("late")

    def on_message(self, m: Message) -> None:
        job_events, self.job_events = self.job_events, None
        if job_events is None:
            self.reset()
            self.sender.remove(self)
            return
        if m.keeps:
            self.sender.idle.append(self)
        else:
            self.close()
            self.sender.remove(self)
        self.sender.attempt_done(job_events, m.status in (200, 204))

    def on_lost(self, how: str) -> None:
        self.sender.remove(self)
        job_events, self.job_events = self.job_events, None
        if job_events is not None:
            self.sender.attempt_done(job_events, False)


class EventSender:
    """Sends all callbacks of one real server process to one dispatcher."""

    def __init__(self, server: "Server", node: str) -> None:
        self.server, self.node = server, node
        self.idle: list[CallbackConnection] = []
        self.all: dict[CallbackConnection, None] = {}

    def push(self, job_events: JobEvents) -> None:
        job_events.is_sending = True
        if job_events.is_dead:
            return
        job_events.attempts += 1
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_closed:
                connection.send(job_events)
                return
        connection = CallbackConnection(self)
        self.all[connection] = None
        connection.job_events = job_events
        connection.connect(self.server.host, self.server.ip, self.server.run.address_of(self.node))
        self.server.run.kernel.after(CALLBACK_TIMEOUT_S, lambda: connection.timed_out(0))

    def remove(self, connection: CallbackConnection) -> None:
        self.all.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def attempt_done(self, job_events: JobEvents, answered: bool) -> None:
        if job_events.is_dead:
            return
        run = self.server.run
        if not answered and job_events.attempts < MAX_CALLBACK_ATTEMPTS:
            run.kernel.after(CALLBACK_RETRY_DELAYS_S[job_events.attempts - 1], lambda: self.push(job_events))
            return
        if not answered:
            run.trace_event(
                "untold", id=job_events.id, server=self.server.name, state=job_events.queue[0]["state"]
            )
        job_events.attempts = 0
        job_events.queue.popleft()
        if job_events.release is not None:
            job_events.release()
        if job_events.queue:
            self.push(job_events)
            return
        job_events.is_sending = False
        if job_events.final:
            self.finished(job_events)

    def finished(self, job_events: JobEvents) -> None:
        self.server.all_delivered(job_events)

    def close(self) -> None:
        for connection in list(self.all):
            connection.reset()
        self.all.clear()
        self.idle.clear()


class ServerConnection(HttpConnection):
    """A dispatcher's connection to a real server. Requests wait while it is paused or in its handshake."""

    def __init__(self, server: "Server", end: End) -> None:
        super().__init__(server.run.net, responses=False)
        self.server, self.end, self.node = server, end, end.peer.host
        end.peer.writes = deque()
        self.unserved: deque[tuple[float, float, Message]] = deque()
        self.first = self.used = server.run.kernel.now
        self.ready_at = 0.0
        self.admitted = False
        self.swallowed: records.Taken | None = None
        self.pending: JobEvents | None = None  # accepted job whose 202 waits for its first callback
        self.written_bytes = 0  # bytes written
        self.accepted, self.accepted_by = (
            "",
            0,
        )  # the last job answered with a 202, and the offset of the end of that answer

    def on_message_begun(self, offset: int) -> None:
        """Records when the dispatcher wrote the first byte of the request."""
        assert self.end is not None
        self.first = self.end.peer.written_at(offset)

    def on_message(self, m: Message) -> None:
        now = self.server.run.kernel.now
        self.unserved.append((self.first, now, m))
        if self.server.model.paused and m.method == "DELETE":
            self.server.give_up_later(now, m.target)
        self.serve()

    def serve(self) -> None:
        server = self.server
        now = server.run.kernel.now
        while self.unserved and self.admitted and self.pending is None and self.swallowed is None:
            if server.model.paused or self.is_closed:
                return
            if now < self.ready_at:
                server.run.kernel.at(self.ready_at, self.serve)
                return
            first, last, message = self.unserved.popleft()
            self.used = now
            server.request(self, now, first, last, message)

    @property
    def is_idle(self) -> bool:
        return not (self.unserved or self.parser.begun or self.pending or self.swallowed)

    def answer(self, data: bytes, keeps: bool = True) -> None:
        self.written_bytes += len(data)
        self.write(data)
        if not keeps:
            self.close()
            self.server.connections.pop(self, None)

    def accept(self, id: str, keeps: bool) -> None:
        self.accepted, self.accepted_by = id, self.written_bytes + len(ACCEPTED)
        self.answer(ACCEPTED, keeps)

    def on_lost(self, how: str) -> None:
        server, now = self.server, self.server.run.kernel.now
        if server.connections.pop(self, 0) == 0:
            return
        if self.admitted:
            server.model.disconnected(now)
        self.end_unanswered(now, "cancelled")
        if self.pending is not None:  # the accepted job's 202 was not sent yet
            server.model.cancel(now, self.pending.id)
            self.pending = None
            server.after_model_change()

    def given_up(self, taken: int) -> None:
        """Records jobs as cancelled when the dispatcher closes after reading `taken` bytes.

        The real server itself does not learn of the close at this moment.
        """
        now, server = self.server.run.kernel.now, self.server
        if self.swallowed is not None:
            server.run.put(server.ended(self.swallowed.id, now, "cancelled"))
            self.swallowed = None
        id = self.accepted if taken < self.accepted_by else ""
        if self.pending is not None:
            id = self.pending.id
        if id:
            server.run.put(server.ended(id, now, "cancelled"))

    def end_unanswered(self, now: float, how: Literal["cancelled", "killed"]) -> None:
        """Records the end of requests that were never answered: cancelled, or lost with their process."""
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
        self.connections: dict[ServerConnection, None] = {}
        self.senders: dict[str, EventSender] = {}
        self.events_by_job: dict[str, JobEvents] = {}
        self.state: Literal["ready", "draining", "gone"] = "gone"
        self.born, self.due = 0.0, inf
        self.given_up: list[str] = []
        self.paused_at = -1.0
        self.swallow_rate = 0.0
        self.leaves_at = inf
        self.is_returning = self.fell = False
        self.closes_idle = False

    @property
    def address(self) -> str:
        return f"{self.ip}:{PORT}"

    # --- its process

    def start(self, cold: bool, is_announced: bool = True) -> None:
        now = self.run.kernel.now
        born = self.model.start(now, cold)
        born.group = self.group
        self.run.put(born)
        self.state, self.born = "ready", now if is_announced else 0.0
        self.leaves_at, self.is_returning, self.fell = inf, False, False
        self.listener = self.run.net.listen(self.host, (self.ip, PORT), self)
        self.run.changed(self)
        if not self.closes_idle:
            self.closes_idle = True
            self.run.kernel.after(self.pool.idle_s / 2, self._close_idle)

    def connected(self, end: End) -> Handler | None:
        connection = ServerConnection(self, end)
        self.connections[connection] = None
        if not self.model.paused and not self.admit(connection):
            del self.connections[connection]
            return None
        return connection

    def admit(self, connection: ServerConnection) -> bool:
        now = self.run.kernel.now
        if not self.model.connection(now):
            return False
        connection.admitted = True
        if self.pool.handshake_s > 0:
            connection.ready_at = now + self.model.handshake(now)
        self.after_model_change()
        return True

    def process_ended(self, why: Any) -> None:
        now = self.run.kernel.now
        self.run.put(records.Died(self.name, self.model.epoch, now, why))
        if self.listener is not None:
            self.run.net.unlisten(self.listener)
            self.listener = None
        connections, self.connections = self.connections, {}
        for connection in connections:
            connection.end_unanswered(now, "killed")
            connection.pending = None
            if why == "left":
                connection.close()
            else:
                connection.reset()
        events_by_job, self.events_by_job = self.events_by_job, {}
        for job_events in events_by_job.values():
            job_events.is_dead = True
            self._orphaned(job_events)
        for sender in self.senders.values():
            sender.close()
        self.senders.clear()
        self.given_up.clear()
        self.state, self.swallow_rate, self.leaves_at, self.fell = "gone", 0.0, inf, why == "fell"
        self.run.changed(self)

    def _orphaned(self, job_events: JobEvents) -> None:
        """Lets the machine's agent report a job as lost, with a configured chance, after its process died."""
        if self.random.random() < self.run.plan.experiment.callbacks.lost:
            what = {"id": job_events.id, "from": self.name, "state": "lost"}
            orphan = JobEvents(job_events.id, EventSender(self, job_events.sender.node))
            orphan.final = True
            self.run.kernel.after(self.random.uniform(0.02, 0.3), lambda: orphan.add(what))

    def kill(self) -> None:
        if self.model.up:
            now = self.run.kernel.now
            if self.model.paused:
                self.run.put(records.Died(self.name, self.model.epoch, now, "resumed"))
            self.model.kill(now)
            self._act()
            self.process_ended("killed")

    def drain(self) -> None:
        if self.model.up and self.state == "ready":
            now = self.run.kernel.now
            self.state, self.leaves_at = "draining", now + MIN_DRAIN_S
            self.run.changed(self)
            self.model.drain(now)
            self.after_model_change()
            self.run.kernel.at(self.leaves_at, self.leave)

    def leave(self) -> None:
        now = self.run.kernel.now
        if now >= self.leaves_at and self.model.up and self.model.idle and not self.events_by_job:
            self.model.kill(now)
            self._act()
            self.process_ended("left")
            if self.is_returning:
                self.start(True)

    def come_back(self) -> None:
        if self.model.up:
            self.is_returning = self.state == "draining"
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
            self.after_model_change()
            for target in self.given_up:
                self.give_up(now, target)
            self.given_up.clear()
            for connection in list(self.connections):
                if not connection.admitted and not self.admit(connection):
                    self.connections.pop(connection, None)
                    connection.reset()
                connection.serve()

    # --- its model

    def _advance_model(self) -> None:
        if self.run.kernel.now >= self.due:
            self.due = inf
            self.run.step("model", self.name)
            self.after_model_change()

    def after_model_change(self) -> None:
        """Handles the model's actions and schedules its next event; needed after every call of the model."""
        self._act()
        now = self.run.kernel.now
        if self.leaves_at <= now:
            self.run.kernel.at(now, self.leave)  # leaves after the current answer is written
        if (due := self.model.next_due()) is not None and due < self.due:
            self.due = max(due, now)
            self.run.kernel.at(self.due, self._advance_model)

    def _act(self) -> None:
        for action in self.model.advance(self.run.kernel.now):
            if isinstance(action, Told):
                self._report(action)
            elif isinstance(action, Fell):
                self.process_ended("fell")
            else:
                self.run.put(action)
                given_up = isinstance(action, records.Ended) and action.how == "cancelled"
                if given_up and (job_events := self.events_by_job.pop(action.id, None)) is not None:
                    job_events.finish()

    def _report(self, told: Told) -> None:
        if (job_events := self.events_by_job.get(told.id)) is None:
            return
        what: dict[str, Any] = {"id": told.id, "from": self.name, "state": told.state}
        if told.state == "running":
            what["share"] = round(told.share, 4)
        if told.state == "done":
            what["result"] = told.result
        if told.load is not None:
            what["load"] = told.load
        job_events.add(what, 2 if self.random.random() < self.run.plan.experiment.callbacks.twice else 1)
        if told.state in FINAL:
            job_events.finish()

    def all_delivered(self, job_events: JobEvents) -> None:
        if self.events_by_job.get(job_events.id) is job_events:
            del self.events_by_job[job_events.id]
        if self.leaves_at < inf:
            self.run.kernel.at(self.run.kernel.now, self.leave)

    def send_unknown(self) -> None:
        """Sends a callback for a job that no dispatcher sent."""
        nodes = list(self.run.processes)
        if self.model.up:
            id = f"nobody{self.random.getrandbits(32):08x}"
            job_events = JobEvents(id, self.sender(self.random.choice(nodes)))
            job_events.add(
                {"id": id, "from": self.name, "state": "done", "result": f"{self.name}/0/{id}/none"}
            )
            job_events.final = True

    def sender(self, node: str) -> EventSender:
        if (sender := self.senders.get(node)) is None:
            sender = self.senders[node] = EventSender(self, node)
        return sender

    def _close_idle(self) -> None:
        """Closes connections without a request for idle_s."""
        now = self.run.kernel.now
        if not self.model.paused:
            for connection in [e for e in self.connections if e.used + self.pool.idle_s <= now]:
                if connection.is_idle:
                    del self.connections[connection]
                    self.model.disconnected(now)
                    connection.close()
                else:
                    connection.used = now
        self.run.kernel.after(max(0.1, self.pool.idle_s / 2), self._close_idle)

    # --- requests

    def taken(self, m: Message, first: float, last: float, verdict: Any) -> records.Taken:
        digest = records.digest(m.method, m.target, m.body)
        id = m.headers.get("x-correlation-id", "")
        return records.Taken(id, self.name, self.model.epoch, first, last, verdict, digest)

    def ended(self, id: str, now: float, how: Any) -> records.Ended:
        return records.Ended(id, self.name, self.model.epoch, now, how)

    def request(
        self, connection: ServerConnection, now: float, first: float, last: float, m: Message
    ) -> None:
        if m.method == "POST":
            self._job(connection, now, first, last, m)
        elif m.method == "DELETE":
            connection.answer(write_response(204 if self.give_up(now, m.target) else 404), m.keeps)
        else:
            connection.answer(write_response(404), m.keeps)

    def give_up(self, now: float, target: str) -> bool:
        known = target.startswith("/jobs/") and self.model.cancel(now, target[6:])
        self.run.trace_event("given up", id=target[6:], server=self.name, known=known)
        self.after_model_change()
        return known

    def give_up_later(self, now: float, target: str) -> None:
        """Records a job as cancelled whose DELETE arrives while the server is paused."""
        if target[6:] in self.events_by_job:
            self.given_up.append(target)
            self.run.put(self.ended(target[6:], now, "cancelled"))

    def _job(self, connection: ServerConnection, now: float, first: float, last: float, m: Message) -> None:
        run, put = self.run, self.run.put
        known = run.clients.requests_by_id.get(m.headers.get("x-correlation-id", ""))
        if known is None:
            put(self.taken(m, first, last, "unknown"))
            connection.answer(write_response(400 if "x-correlation-id" in m.headers else 404), m.keeps)
            return
        who = {"server": self.name, "node": connection.node, "id": known.id}
        if self.swallow_rate and self.random.random() < self.swallow_rate:
            connection.swallowed = self.taken(m, first, last, "silent")
            put(connection.swallowed)
            run.moment("taken", end=connection.end, **who)
            return
        job = known.job
        repeatable = known.job_class.effect != "fragile"
        wish = JobIn(known.id, job.job_class, job.key, job.work_s, job.slots, 0.0, 0, repeatable)
        verdict = self.model.submit(now, wish)
        put(self.taken(m, first, last, verdict if self.model.up else "reset"))
        if not self.model.up:  # this job overloaded the server and ended it
            self.after_model_change()
            return
        if verdict != "accepted":
            headers = {"X-Unprocessed": "1"} if verdict == "full" else {}
            connection.answer(write_response(503 if verdict == "full" else 500, b"", headers), m.keeps)
            self.after_model_change()
            run.moment("taken", end=connection.end, **who)
            return
        job_events = self.events_by_job[known.id] = JobEvents(known.id, self.sender(connection.node))
        if self.random.random() < run.plan.experiment.callbacks.early:
            self._accept_late(connection, job_events, m.keeps)
        else:
            connection.accept(known.id, m.keeps)
            run.moment("accepted", end=connection.end, **who)
        run.moment("taken", end=connection.end, **who)
        self.after_model_change()

    def _accept_late(self, connection: ServerConnection, job_events: JobEvents, keeps: bool) -> None:
        def accept() -> None:
            job_events.release = None
            if connection.pending is job_events:
                connection.pending = None
                connection.accept(job_events.id, keeps)
                who = {"server": self.name, "node": connection.node, "id": job_events.id}
                self.run.moment("accepted", end=connection.end, **who)
                connection.serve()

        connection.pending, job_events.release = job_events, accept
        self.run.kernel.after(MAX_ACCEPT_DELAY_S, accept)


ACCEPTED = write_response(202)
