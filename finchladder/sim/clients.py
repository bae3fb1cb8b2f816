"""The clients of a run, and the layer in front that knows which dispatchers are up."""

from typing import TYPE_CHECKING

from finchladder.lab import records
from finchladder.lab.experiment import JobClass
from finchladder.lab.models import rude
from finchladder.lab.models.clients import Client, ClientModel, Wish
from finchladder.lab.models.front import FrontModel
from finchladder.lab.records import Answered, Asked, End
from finchladder.lab.wire import Message
from finchladder.sim.draws import stream
from finchladder.sim.plan import Job
from finchladder.sim.talk import Talk

if TYPE_CHECKING:
    from finchladder.sim.run import Run

HOST = "clients"
GRACE_S = 0.008  # beyond patience and slack: an answer in this time is in time by the settings
HEALTH_S = 0.1  # so often the front asks a dispatcher that is not admitted
NOTICED_S = (0.2, 0.4)  # after SIGTERM new connections keep coming for so long


class Try:
    """One request of a client, from its first byte to its end."""

    def __init__(
        self, id: str, job: Job, job_class: JobClass, wish: Wish, model: ClientModel, until: float
    ) -> None:
        self.id, self.job, self.job_class, self.wish, self.model = id, job, job_class, wish, model
        self.until = until  # the client's patience, had it sent its last byte at once
        self.limit = until  # when it gives up
        self.patience = self.sent = 0.0
        self.leaves = job.leaves_s > 0
        self.node = ""
        self.talk: ClientTalk | None = None
        self.digest = 0
        self.done = False


class ClientTalk(Talk):
    """A client's connection to a dispatcher: one request at a time."""

    def __init__(self, clients: "Clients", number: int, node: str) -> None:
        super().__init__(clients.run.net, responses=True)
        self.clients, self.number, self.node = clients, number, node
        self.current: Try | None = None
        self.last = ""
        self.used = 0
        self.start = 0  # how many bytes were sent before the present request

    def ask(self, t: Try) -> None:
        self.current, t.talk, t.node = t, self, self.node
        if self.end is not None and self.end.up:
            self._write(t)

    def made(self) -> None:
        if self.current is not None:
            self._write(self.current)

    def _write(self, t: Try) -> None:
        assert self.end is not None
        self.start = self.end.sent
        t.patience = max(0.001, t.until - self.clients.run.kernel.now)
        self.say(self.clients.bytes_of(t, self.node))
        self._sent(t)

    def room(self, end: object) -> None:
        super().room(end)  # type: ignore[arg-type]
        if self.current is not None:
            self._sent(self.current)

    def _sent(self, t: Try) -> None:
        """Its time counts from its last byte on."""
        run = self.clients.run
        if not t.sent and not self.out:
            t.sent = run.kernel.now
            if not t.leaves:
                t.limit = t.sent + t.patience + self.clients.slack
                run.kernel.at(t.limit, lambda: self.clients.give_up(t))
            run.put(self.clients.asked(t))
            run.moment("asked", end=self.end, node=self.node, id=t.id)

    def message(self, m: Message) -> None:
        t, self.current = self.current, None
        self.used += 1
        self.clients.run.moment("answer", end=self.end, node=self.node, id=t.id if t is not None else "")
        if t is None:
            if self.last:
                self.clients.answer(self.last, m)
            return
        self.last = t.id
        if m.keeps:
            self.clients.idle[self.number].append(self)
        else:
            self.close()
        self.clients.answered(t, m)

    def lost(self, how: str) -> None:
        clients = self.clients
        t, self.current = self.current, None
        if self in clients.idle[self.number]:
            clients.idle[self.number].remove(self)
        if t is None or t.done:
            return
        end = self.end
        assert end is not None
        if how == "refused" or not end.up:
            clients.over(t, "unconnected")
        elif end.struck:
            clients.over(t, "left")  # the run itself did it: nobody can be blamed
        elif self.used and end.peer.taken <= self.start and not self.parser.begun:
            # closed before the dispatcher had read any of it: it is sent once more
            t.sent = 0.0
            clients.run.see("crossed", id=t.id, node=self.node)
            clients.connect(t)
        else:
            clients.over(t, "reset" if how == "reset" else "closed")


class Health(Talk):
    """The front's question whether a dispatcher is up."""

    def __init__(self, clients: "Clients", node: str, start: int) -> None:
        super().__init__(clients.run.net, responses=True)
        self.clients, self.node, self.start = clients, node, start

    def made(self) -> None:
        self.say(b"GET /_health HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")

    def message(self, m: Message) -> None:
        run = self.clients.run
        process = run.processes[self.node]
        if m.status == 200 and process.starts == self.start and process.state == "up":
            run.see("admitted", node=self.node)
            self.clients.admitted[self.node] = self.start
            self.clients.front.healthy(run.kernel.now, self.node)
        self.close()


class RudeTalk(Talk):
    """A client that breaks the rules."""

    def __init__(self, clients: "Clients", drawn: rude.Rude) -> None:
        super().__init__(clients.run.net, responses=True)
        self.clients, self.drawn = clients, drawn
        self.statuses: list[int] = []

    def made(self) -> None:
        self._step(0)

    def _step(self, number: int) -> None:
        if self.over:
            return
        kernel = self.clients.run.kernel
        if number < len(self.drawn.steps):
            step = self.drawn.steps[number]

            def write() -> None:
                if not self.over:
                    self.say(step.data)
                    self._step(number + 1)

            kernel.after(step.wait_s, write)
        else:
            kernel.after(self.drawn.listens_s, self.reset if self.drawn.resets else self.close)

    def message(self, m: Message) -> None:
        if m.status >= 200:
            self.statuses.append(m.status)
            if what := rude.wrong(self.drawn, self.statuses):
                self.clients.run.found("rude", f"{self.drawn.kind}: {what}", node=self.node)

    node = ""


class Clients:
    def __init__(self, run: "Run") -> None:
        self.run = run
        e = run.plan.experiment
        self.classes = {c.name: c for c in e.job_class}
        zone_of = {name: p.zone for name, p in run.processes.items()}
        self.front: FrontModel = FrontModel(e.front, zone_of, stream(run.plan.seed, "front"))
        self.admitted: dict[str, int] = {}  # which start of a dispatcher was found healthy
        self.idle: list[list[ClientTalk]] = [[] for _ in range(run.plan.world.clients)]
        self.known: dict[str, Try] = {}  # all ids that a client has sent
        self.open: dict[str, Try] = {}
        self.slack: float = e.slack_s + GRACE_S
        self.wishes = 0  # that are not over

    def begin(self) -> None:
        for job in self.run.plan.jobs:
            self.wish(job)

    def wish(self, job: Job) -> None:
        e = self.run.plan.experiment
        zone = e.zones[job.client % len(e.zones)]
        who = Client(f"c{job.client}", job.client, zone, True, job.leaves_s > 0)
        wish = Wish(self.classes[job.job_class], who, self.run.begin + job.at)
        model = ClientModel(e.load.retries, stream(self.run.plan.seed, "client", job.number))
        self.wishes += 1
        self.run.kernel.at(wish.due, lambda: self.start(job, wish, model))

    # --- tries

    def start(self, job: Job, wish: Wish, model: ClientModel) -> None:
        run, now = self.run, self.run.kernel.now
        run.step("wish", f"{job.number}")
        send = model.send(wish, now)
        if send is None:
            self._done(job, "no time left")
            return
        until = now + send.patience
        t = Try(f"j{job.number}t{wish.tries}", job, self.classes[job.job_class], wish, model, until)
        t.digest = records.digest("POST", self.target(job), self.body(job))
        self.known[t.id] = self.open[t.id] = t
        if job.leaves_s:
            t.limit = now + job.leaves_s
        run.kernel.at(t.limit, lambda: self.give_up(t))
        idle = self.idle[job.client]
        while idle:
            talk = idle.pop()
            if not talk.over:
                talk.ask(t)
                return
        self.connect(t)

    def connect(self, t: Try) -> None:
        run = self.run
        node = self.front.pick(run.kernel.now, t.wish.client.zone)
        if not node:
            self.over(t, "unconnected")
            return
        talk = ClientTalk(self, t.job.client, node)
        talk.connect(HOST, f"10.3.0.{t.job.client + 1}", run.address_of(node))
        talk.ask(t)

    def target(self, job: Job) -> str:
        return f"/{job.job_class}/{job.key}" if job.key else f"/{job.job_class}"

    def body(self, job: Job) -> bytes:
        return (b"%d " % job.number * job.body)[: job.body]

    def bytes_of(self, t: Try, node: str) -> bytes:
        body = self.body(t.job)
        repeat = "X-Repeat: 1\r\n" if t.wish.tries > 1 else ""
        return (
            f"POST {self.target(t.job)} HTTP/1.1\r\nHost: {node}\r\nX-Correlation-Id: {t.id}\r\n"
            f"X-Time-Left: {t.patience:.3f}\r\nX-Facts: slots={t.job.slots}\r\n{repeat}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def asked(self, t: Try) -> Asked:
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

    def answered(self, t: Try, m: Message) -> None:
        try:
            retry_after = max(0.0, float(m.headers.get("retry-after", 0.0)))
        except ValueError:
            retry_after = 0.0
        body = m.body.decode(errors="replace") if m.status == 200 else ""
        self.over(t, "answer", m.status, body, retry_after)

    def give_up(self, t: Try) -> None:
        if t.done or self.run.kernel.now < t.limit:
            return
        talk = t.talk
        left: End = "left" if t.leaves else "silent"
        if talk is not None and talk.current is t:
            if talk.end is not None and talk.end.struck:
                left = "left"
            talk.current = None
            talk.over = True
            if talk.end is not None:
                talk.end.close()
        self.over(t, left if t.sent else "unconnected")

    def over(self, t: Try, end: End, status: int = 0, body: str = "", retry_after: float = 0.0) -> None:
        """The one end of a try."""
        run, now = self.run, self.run.kernel.now
        t.done = True
        del self.open[t.id]
        if not t.sent and end != "answer":  # its last byte never left, so nobody has taken it
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

    def _done(self, job: Job, how: str, last: Try | None = None) -> None:
        self.wishes -= 1
        self.run.wish_over(job, how, last)

    # --- the front

    def watch(self, node: str, start: int) -> None:
        """Asks for the dispatcher's health until it is good."""
        run = self.run
        process = run.processes[node]
        if process.starts != start or process.state != "up" or self.admitted.get(node) == start:
            return
        run.kernel.after(HEALTH_S, lambda: self.watch(node, start))
        Health(self, node, start).connect("front", "10.3.1.1", run.address_of(node))

    # --- faults

    def leave(self, id: str) -> bool:
        """The client of this try goes away now."""
        t = self.open.get(id)
        if t is None or t.talk is None or t.talk.current is not t:
            return False
        t.leaves, t.limit = True, self.run.kernel.now
        self.give_up(t)
        return True

    def rude(self, number: int, node: str) -> None:
        drawn = rude.draw(number, list(self.classes))
        talk = RudeTalk(self, drawn)
        talk.node = node
        self.run.see("rude", kind=drawn.kind, node=node)
        talk.connect("rude", "10.3.2.1", self.run.address_of(node))
