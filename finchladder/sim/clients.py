"""The clients of a simulation run, and the front layer that sends them to healthy dispatchers."""

from typing import TYPE_CHECKING

from finchladder.lab import records
from finchladder.lab.experiment import JobClass
from finchladder.lab.models import rude
from finchladder.lab.models.clients import Client, ClientModel, Wish
from finchladder.lab.models.front import FrontModel
from finchladder.lab.records import Answered, Asked, End
from finchladder.lab.wire import Message
from finchladder.sim.draws import stream
from finchladder.sim.http_connection import HttpConnection
from finchladder.sim.plan import Job

if TYPE_CHECKING:
    from finchladder.sim.run import Run

HOST = "clients"
ANSWER_GRACE_S = 0.008  # added to patience and slack; the settings count an answer within it as in time
HEALTH_CHECK_INTERVAL_S = 0.1  # interval of health checks of a dispatcher that is not admitted
NOTICED_S = (0.2, 0.4)  # range of the time after SIGTERM in which new connections still come


class ClientRequest:
    """One attempt of a client at a job, from its first byte to its answer or failure."""

    def __init__(
        self, id: str, job: Job, job_class: JobClass, wish: Wish, model: ClientModel, until: float
    ) -> None:
        self.id, self.job, self.job_class, self.wish, self.model = id, job, job_class, wish, model
        self.until = until  # when the patience ends if the last byte is sent at once
        self.limit = until  # when the client gives up
        self.patience = self.sent = 0.0
        self.disconnects = job.leaves_s > 0
        self.node = ""
        self.connection: ClientConnection | None = None
        self.digest = 0
        self.done = False


class ClientConnection(HttpConnection):
    """A client's connection to a dispatcher; it carries one request at a time."""

    def __init__(self, clients: "Clients", number: int, node: str) -> None:
        super().__init__(clients.run.net, responses=True)
        self.clients, self.number, self.node = clients, number, node
        self.current: ClientRequest | None = None
        self.last_id = ""
        self.used = 0
        self.start = 0  # bytes sent before the current request

    def ask(self, t: ClientRequest) -> None:
        self.current, t.connection, t.node = t, self, self.node
        if self.end is not None and self.end.up:
            self._write(t)

    def on_connected(self) -> None:
        if self.current is not None:
            self._write(self.current)

    def _write(self, t: ClientRequest) -> None:
        assert self.end is not None
        self.start = self.end.sent
        t.patience = max(0.001, t.until - self.clients.run.kernel.now)
        self.write(self.clients.bytes_of(t, self.node))
        self._sent(t)

    def space_available(self, end: object) -> None:
        super().space_available(end)  # type: ignore[arg-type]
        if self.current is not None:
            self._sent(self.current)

    def _sent(self, t: ClientRequest) -> None:
        """Starts the patience of a request once its last byte is written."""
        run = self.clients.run
        if not t.sent and not self.out:
            t.sent = run.kernel.now
            if not t.disconnects:
                t.limit = t.sent + t.patience + self.clients.slack
                run.kernel.at(t.limit, lambda: self.clients.give_up(t))
            run.put(self.clients.asked(t))
            run.moment("asked", end=self.end, node=self.node, id=t.id)

    def on_message(self, m: Message) -> None:
        t, self.current = self.current, None
        self.used += 1
        self.clients.run.moment("answer", end=self.end, node=self.node, id=t.id if t is not None else "")
        if t is None:
            if self.last_id:
                self.clients.answer(self.last_id, m)
            return
        self.last_id = t.id
        if m.keeps:
            self.clients.idle[self.number].append(self)
        else:
            self.close()
        self.clients.answered(t, m)

    def on_lost(self, how: str) -> None:
        clients = self.clients
        t, self.current = self.current, None
        if self in clients.idle[self.number]:
            clients.idle[self.number].remove(self)
        if t is None or t.done:
            return
        end = self.end
        assert end is not None
        if how == "refused" or not end.up:
            clients.finish(t, "unconnected")
        elif end.struck:
            clients.finish(t, "left")  # an injected fault broke the connection
        elif self.used and end.peer.taken <= self.start and not self.parser.begun:
            # the dispatcher closed before it read any byte of the request, so the request is sent again
            t.sent = 0.0
            clients.run.trace_event("crossed", id=t.id, node=self.node)
            clients.connect(t)
        else:
            clients.finish(t, "reset" if how == "reset" else "closed")


class HealthCheck(HttpConnection):
    """A health check of a dispatcher by the front layer."""

    def __init__(self, clients: "Clients", node: str, start: int) -> None:
        super().__init__(clients.run.net, responses=True)
        self.clients, self.node, self.start = clients, node, start

    def on_connected(self) -> None:
        self.write(b"GET /_health HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")

    def on_message(self, m: Message) -> None:
        run = self.clients.run
        process = run.processes[self.node]
        if m.status == 200 and process.starts == self.start and process.state == "up":
            run.trace_event("admitted", node=self.node)
            self.clients.admitted[self.node] = self.start
            self.clients.front.healthy(run.kernel.now, self.node)
        self.close()


class MisbehavingConnection(HttpConnection):
    """A connection of a client that violates HTTP or the API."""

    def __init__(self, clients: "Clients", drawn: rude.Rude) -> None:
        super().__init__(clients.run.net, responses=True)
        self.clients, self.drawn = clients, drawn
        self.statuses: list[int] = []

    def on_connected(self) -> None:
        self._step(0)

    def _step(self, number: int) -> None:
        if self.is_closed:
            return
        kernel = self.clients.run.kernel
        if number < len(self.drawn.steps):
            step = self.drawn.steps[number]

            def write() -> None:
                if not self.is_closed:
                    self.write(step.data)
                    self._step(number + 1)

            kernel.after(step.wait_s, write)
        else:
            kernel.after(self.drawn.listens_s, self.reset if self.drawn.resets else self.close)

    def on_message(self, m: Message) -> None:
        if m.status >= 200:
            self.statuses.append(m.status)
            if what := rude.wrong(self.drawn, self.statuses):
                self.clients.run.report_violation("rude", f"{self.drawn.kind}: {what}", node=self.node)

    node = ""


class Clients:
    def __init__(self, run: "Run") -> None:
        self.run = run
        e = run.plan.experiment
        self.classes = {c.name: c for c in e.job_class}
        zone_of = {name: p.zone for name, p in run.processes.items()}
        self.front: FrontModel = FrontModel(e.front, zone_of, stream(run.plan.seed, "front"))
        self.admitted: dict[
            str, int
        ] = {}  # the number of the start at which each dispatcher was last found healthy
        self.idle: list[list[ClientConnection]] = [[] for _ in range(run.plan.world.clients)]
        self.requests_by_id: dict[str, ClientRequest] = {}  # every attempt ever made, by id
        self.open: dict[str, ClientRequest] = {}
        self.slack: float = e.slack_s + ANSWER_GRACE_S
        self.open_jobs = 0  # jobs that have not finished

    def begin(self) -> None:
        for job in self.run.plan.jobs:
            self.submit(job)

    def submit(self, job: Job) -> None:
        e = self.run.plan.experiment
        zone = e.zones[job.client % len(e.zones)]
        who = Client(f"c{job.client}", job.client, zone, True, job.leaves_s > 0)
        wish = Wish(self.classes[job.job_class], who, self.run.begin + job.at)
        model = ClientModel(e.load.retries, stream(self.run.plan.seed, "client", job.number))
        self.open_jobs += 1
        self.run.kernel.at(wish.due, lambda: self.start(job, wish, model))

    # --- attempts

    def start(self, job: Job, wish: Wish, model: ClientModel) -> None:
        run, now = self.run, self.run.kernel.now
        run.step("wish", f"{job.number}")
        send = model.send(wish, now)
        if send is None:
            self._done(job, "no time left")
            return
        until = now + send.patience
        t = ClientRequest(f"j{job.number}t{wish.tries}", job, self.classes[job.job_class], wish, model, until)
        t.digest = records.digest("POST", self.target(job), self.body(job))
        self.requests_by_id[t.id] = self.open[t.id] = t
        if job.leaves_s:
            t.limit = now + job.leaves_s
        run.kernel.at(t.limit, lambda: self.give_up(t))
        idle = self.idle[job.client]
        while idle:
            connection = idle.pop()
            if not connection.is_closed:
                connection.ask(t)
                return
        self.connect(t)

    def connect(self, t: ClientRequest) -> None:
        run = self.run
        node = self.front.pick(run.kernel.now, t.wish.client.zone)
        if not node:
            self.finish(t, "unconnected")
            return
        connection = ClientConnection(self, t.job.client, node)
        connection.connect(HOST, f"10.3.0.{t.job.client + 1}", run.address_of(node))
        connection.ask(t)

    def target(self, job: Job) -> str:
        return f"/{job.job_class}/{job.key}" if job.key else f"/{job.job_class}"

    def body(self, job: Job) -> bytes:
        return (b"%d " % job.number * job.body)[: job.body]

    def bytes_of(self, t: ClientRequest, node: str) -> bytes:
        body = self.body(t.job)
        repeat = "X-Repeat: 1\r\n" if t.wish.tries > 1 else ""
        return (
            f"POST {self.target(t.job)} HTTP/1.1\r\nHost: {node}\r\nX-Correlation-Id: {t.id}\r\n"
            f"X-Time-Left: {t.patience:.3f}\r\nX-Facts: slots={t.job.slots}\r\n{repeat}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def asked(self, t: ClientRequest) -> Asked:
        job, wish = t.job, t.wish
        first = f"j{job.number}t1"
        return Asked(
            t.id,
            first,
            wish.tries - 1,
            wish.client.name,
            t.node,
            job.job_class,
            job.key,
            wish.due,
            t.sent,
            t.patience,
            job.work_s,
            job.slots,
            0.0,
            t.digest,
        )

    def answer(self, id: str, m: Message) -> None:
        body = m.body.decode(errors="replace") if m.status == 200 else ""
        self.run.put(Answered(id, self.run.kernel.now, "answer", m.status, body))

    def answered(self, t: ClientRequest, m: Message) -> None:
        try:
            retry_after = max(0.0, float(m.headers.get("retry-after", 0.0)))
        except ValueError:
            retry_after = 0.0
        body = m.body.decode(errors="replace") if m.status == 200 else ""
        self.finish(t, "answer", m.status, body, retry_after)

    def give_up(self, t: ClientRequest) -> None:
        if t.done or self.run.kernel.now < t.limit:
            return
        connection = t.connection
        left: End = "left" if t.disconnects else "silent"
        if connection is not None and connection.current is t:
            if connection.end is not None and connection.end.struck:
                left = "left"
            connection.current = None
            connection.is_closed = True
            if connection.end is not None:
                connection.end.close()
        self.finish(t, left if t.sent else "unconnected")

    def finish(
        self, t: ClientRequest, end: End, status: int = 0, body: str = "", retry_after: float = 0.0
    ) -> None:
        """Records the outcome of an attempt and schedules a retry if the client makes one."""
        run, now = self.run, self.run.kernel.now
        t.done = True
        del self.open[t.id]
        if (
            not t.sent and end != "answer"
        ):  # its last byte was never sent, so no dispatcher can have accepted it
            end, t.node = "unconnected", ""
        t.sent = t.sent or now
        if t.id not in run.rules.ledger.tries:
            run.put(self.asked(t))
        run.put(Answered(t.id, now, end, status, body, retry_after))
        due = t.model.ended(t.wish, now, end, status, retry_after)
        if due is None:
            self._done(t.job, f"answered {status}" if status else end, t)
        else:
            run.kernel.at(max(now, due), lambda: self.start(t.job, t.wish, t.model))

    def _done(self, job: Job, how: str, last: ClientRequest | None = None) -> None:
        self.open_jobs -= 1
        self.run.job_done(job, how, last)

    # --- the front

    def watch(self, node: str, start: int) -> None:
        """Repeats health checks of a dispatcher until it is admitted."""
        run = self.run
        process = run.processes[node]
        if process.starts != start or process.state != "up" or self.admitted.get(node) == start:
            return
        run.kernel.after(HEALTH_CHECK_INTERVAL_S, lambda: self.watch(node, start))
        HealthCheck(self, node, start).connect("front", "10.3.1.1", run.address_of(node))

    # --- faults

    def leave(self, id: str) -> bool:
        """Disconnects the client of this attempt; returns False if the attempt is not in progress."""
        t = self.open.get(id)
        if t is None or t.connection is None or t.connection.current is not t:
            return False
        t.disconnects, t.limit = True, self.run.kernel.now
        self.give_up(t)
        return True

    def rude(self, number: int, node: str) -> None:
        drawn = rude.draw(number, list(self.classes))
        connection = MisbehavingConnection(self, drawn)
        connection.node = node
        self.run.trace_event("rude", kind=drawn.kind, node=node)
        connection.connect("rude", "10.3.2.1", self.run.address_of(node))
