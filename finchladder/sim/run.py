"""One run: a plan played to its end, or to the first thing that must not be.

| until | what happens |
| --- | --- |
| BOOT_S | dispatchers start, hear of the real servers, and are admitted |
| calm_at - SETTLE_S | jobs come, faults strike; then all faults are taken back |
| calm_at + CALM_S | after SETTLE_S of peace jobs come that must all be served |
| the end | dispatchers are looked at, told to leave, and must be gone in time with nothing left |
"""

import gc
import logging
import signal
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec
from loguru import logger

from finchladder.config.ini_file import read_ini
from finchladder.config.options import Options
from finchladder.lab import records
from finchladder.lab.judge import Finding
from finchladder.lab.models.kernel import Kernel
from finchladder.net.node import DispatcherNode
from finchladder.sim.clients import Clients, Try
from finchladder.sim.coverage import Coverage
from finchladder.sim.faults import Faults, Who
from finchladder.sim.inner import Inner
from finchladder.sim.loop import VirtualLoop
from finchladder.sim.network import End, Manners, Network
from finchladder.sim.plan import CALM_S, END_S, Job, Moment, Plan
from finchladder.sim.process import Process
from finchladder.sim.registry import Registry
from finchladder.sim.rules import Rules
from finchladder.sim.servers import CallBacks, Edge, Server

BEGIN = 1000.0  # the kernel's time at a run's begin
QUIET_S = 1.5  # after the last calm job's time
LEAVES_S = 4.2  # after SIGTERM, with nothing to be answered: IDLE_STAYS and what call-backs may hold open
MOST_STEPS = 2_000_000
SWEEP_STEPS = 50_000  # between two collections of garbage
EXPECTED_ERRORS = ("SIGHUP: ", "all ", "capture: no file")  # errors that are somebody else's, and are told
OVERDUE = "a flow was overdue"
AFTER_STOP_S = 5.0  # so long after it went on, what a stopped process does late is not its own fault
LEVELS = {"DEBUG": 10, "INFO": 20, "SUCCESS": 25, "WARNING": 30, "ERROR": 40, "CRITICAL": 50}


class Violation(msgspec.Struct):
    """The first thing that must not be. `at`: seconds from the run's begin; `step`: counted from 1."""

    rule: str
    kind: str
    text: str
    at: float
    step: int
    node: str = ""
    server: str = ""
    id: str = ""

    @property
    def name(self) -> str:
        return f"{self.rule}: {self.kind}"


class Outcome(msgspec.Struct):
    """How a run ended. `digest` stands for all its steps: two runs alike have the same."""

    seed: int
    violation: Violation | None
    steps: int
    virtual_s: float
    digest: str
    answers: dict[str, int] = {}
    faults: int = 0
    coverage: dict[str, int] = {}


class Seen(NamedTuple):
    """A line of the trace."""

    at: float
    what: str
    fields: dict[str, Any]


class Run:
    """`play` once. `on_seen` gets each line of the trace as it is written."""

    def __init__(self, plan: Plan, on_seen: Callable[[Seen], None] | None = None) -> None:
        self.plan, self.on_seen = plan, on_seen
        self.kernel = Kernel(BEGIN)
        self.begin = BEGIN
        self.steps = 0
        self.hash = blake2b(digest_size=16)
        self.violation: Violation | None = None
        self.answers: Counter[str] = Counter()
        self.ending = self.over = False
        self.before_turn: Callable[[Process], None] | None = None  # for whoever watches a run
        self.on_turn: Callable[[Process], None] | None = None
        self.options = read_ini(plan.world.options, "options") if plan.world.options else Options()
        self.net = Network(self.kernel, plan.seed, self._manners, self._delivered)
        self.net.on_close = self._closed
        self.rules = Rules(plan.experiment, BEGIN, self._broken)
        self.coverage = Coverage(self)
        self.processes = {p.name: p for p in (Process(self, i) for i in range(plan.experiment.dispatchers))}
        self.inner: dict[str, Inner] = {}
        self.servers: dict[str, Server] = {}
        number = 0
        for index, pool in enumerate(plan.experiment.pool):
            zones = pool.zones or plan.experiment.zones
            for _ in range(pool.count):
                name = f"w{number + 1}"
                self.servers[name] = Server(self, name, zones[number % len(zones)], index, number)
                number += 1
        self.registry = Registry(self)
        self.registry.describe(list(self.servers.values()))
        self.clients = Clients(self)
        self.faults = Faults(self)
        self.states: dict[str, tuple[Any, float]] = {}
        self.swept = 0

    def _manners(self, a: str, b: str) -> Manners:
        w = self.plan.world
        return Manners(w.latency_s, w.jitter, w.cut, w.buffer, w.reset_drops)

    def _closed(self, end: End) -> None:
        edge = end.peer.handler
        if end.host in self.processes and isinstance(edge, Edge):
            edge.given_up(end.taken)

    # --- what the parts of the run use

    def address_of(self, node: str) -> tuple[str, int]:
        return self.processes[node].address

    def step(self, kind: str, who: str) -> None:
        """Something was delivered: bytes, a timer of the world, a fault. Turns of a program are no steps."""
        self.steps += 1
        self.hash.update(f"{self.kernel.now:.9f} {kind} {who}\n".encode())

    def _delivered(self, kind: str, end: End, size: int) -> None:
        self.step(kind, f"{end!r} {size}")

    def see(self, what: str, **fields: Any) -> None:
        """Something worth telling: a line of the trace."""
        seen = Seen(round(self.kernel.now - self.begin, 6), what, fields)
        self.hash.update(f"{seen}\n".encode())
        if self.on_seen is not None:
            self.on_seen(seen)

    def put(self, record: records.Any) -> None:
        self._show(record)
        self.rules.put(record)

    def _show(self, r: records.Any) -> None:
        match r:
            case records.Asked():
                if r.dispatcher:
                    self.see("asked", id=r.id, node=r.dispatcher, patience=round(r.patience, 4))
            case records.Answered():
                self.see("answered", id=r.id, end=r.end, **({"status": r.status} if r.status else {}))
            case records.Taken():
                self.see("taken", id=r.id, server=r.server, verdict=r.verdict)
            case records.Began():
                self.see("began", id=r.id, server=r.server)
            case records.Ended():
                self.see("ended", id=r.id, server=r.server, how=r.how)
            case records.Born():
                if r.at > self.begin:
                    self.see("born", server=r.server, cold=r.cold)
            case records.Died():
                self.see("died", server=r.server, why=r.why)
            case _:
                pass

    def struck(self, kind: str, target: str, detail: str = "") -> None:
        self.put(records.Struck(self.kernel.now, kind, target, detail))

    def moment(
        self, name: Moment, node: str = "", server: str = "", id: str = "", end: End | None = None
    ) -> None:
        if name == "result" and end is not None and isinstance(end.handler, CallBacks):
            self.faults.call_back(server, node, end)
        self.faults.moment(name, Who(node, server, id, end))

    def changed(self, server: Server) -> None:
        """What became of a real server: told by discovery, all changes of one moment together."""
        if not self.states:
            self.kernel.at(self.kernel.now, self._say_changes)
        self.states[server.name] = server.state, server.born

    def _say_changes(self) -> None:
        states, self.states = self.states, {}
        if states:
            self.registry.change(states)

    # --- what must not be

    def found(
        self, kind: str, text: str, node: str = "", server: str = "", id: str = "", rule: str = "inner"
    ) -> None:
        if self.violation is None:
            at = round(self.kernel.now - self.begin, 6)
            self.violation = Violation(rule, kind, text, at, self.steps, node, server, id)
            self.see("violation", rule=rule, kind=kind, text=text)

    def _broken(self, f: Finding) -> None:
        self.found(f.kind, f.text, f.dispatcher, f.server, f.id, f.rule)

    def logged(self, process: Process | None, level: str, message: str, error: BaseException | None) -> None:
        name = process.name if process is not None else ""
        if LEVELS.get(level, 0) >= 30:
            self.see("log", node=name, level=level, text=message)
        if LEVELS.get(level, 0) < 40 or message.startswith(EXPECTED_ERRORS):
            return
        if process is not None and OVERDUE in message and self.was_stopped(process):
            return
        text = f"{message}: {type(error).__name__}: {error}" if error is not None else message
        self.found("logged", text, node=name)

    def was_stopped(self, process: Process) -> bool:
        now = self.kernel.now
        return self.rules.ledger.stopped(process.name, now - AFTER_STOP_S, now) > 0

    # --- what happens to a wish, and to a process

    def wish_over(self, job: Job, how: str, last: Try | None) -> None:
        self.answers[how.removeprefix("answered ")] += 1
        if job.calm and how != "answered 200":
            text = f"{how}, {self.kernel.now - self.faults.limit:.1f} s after the last fault"
            id, node = (last.id, last.node) if last is not None else ("", "")
            self.found("not served", text, node=node, id=id, rule="liveness")

    def turned(self, process: Process) -> None:
        if self.on_turn is not None:
            self.on_turn(process)
        if process.loop is not None and not process.loop.dead:
            if (inner := self.inner.get(process.name)) is not None:
                inner.turned()
            if process.main is not None and process.main.done():
                self._exited(process)

    def _exited(self, process: Process) -> None:
        main = process.main
        assert main is not None
        error = None if main.cancelled() else main.exception()
        self.see("exit", node=process.name)
        if process.state != "leaving" or error is not None:
            text = f"{process.name} ended by itself: {type(error).__name__}: {error}"
            self.found("died", text, node=process.name)
        process.exited()

    def made(self, process: Process, node: DispatcherNode) -> None:
        self.inner[process.name] = Inner(process, node)

    # --- the run

    def play(self) -> Outcome:
        gc.collect()
        gc.disable()  # what a collection runs must not depend on what was played before
        LOG.begin(self)
        try:
            self._play()
        finally:
            self._bury()
            LOG.end()
            gc.enable()
        return self.outcome()

    def _play(self) -> None:
        kernel, plan = self.kernel, self.plan
        for server in self.servers.values():
            server.start(cold=False, told=False)
        for n, p in enumerate(self.processes.values()):
            p.made = lambda node, p=p: self.made(p, node)  # type: ignore[misc]
            kernel.after(0.01 + 0.005 * n, lambda p=p: self.faults.restart(p))  # type: ignore[misc]
        self.clients.begin()
        self.faults.begin()
        self._unknown_calls()
        kernel.at(self.begin + plan.calm_at + CALM_S + QUIET_S, self._quiet)
        while self.violation is None and not self.over and self.steps < MOST_STEPS:
            if not kernel.step():
                break
            if self.steps - self.swept >= SWEEP_STEPS:
                self.swept = self.steps
                gc.collect()
        if self.violation is None and not self.over:
            self.found("endless", f"{self.steps} steps, and no end")
        if self.violation is None:
            self._judge()

    def _unknown_calls(self) -> None:
        rate = self.plan.experiment.callbacks.unknown_per_s
        if rate:
            for n, server in enumerate(self.servers.values()):
                first = 0.7 + n * 0.11 + 1 / rate
                self.kernel.after(first, lambda s=server: self._unknown(s, rate))  # type: ignore[misc]

    def _unknown(self, server: Server, rate: float) -> None:
        if self.kernel.now < self.faults.limit:
            server.unknown()
            self.kernel.after(1 / rate, lambda: self._unknown(server, rate))

    def _quiet(self) -> None:
        """All is answered, or a job is still under way, which then ends first."""
        last = self.begin + self.plan.calm_at + CALM_S + QUIET_S + END_S
        if (self.clients.wishes or any(s.tales for s in self.servers.values())) and self.kernel.now < last:
            self.kernel.after(0.5, self._quiet)
            return
        for name, p in self.processes.items():
            if p.state != "up":
                self.found("not up", f"{name} is {p.state} long after the last fault", node=name)
            elif name in self.inner:
                self.inner[name].quiet()
        if not self.plan.ends:
            self.over = True
            return
        self.ending = True
        for p in self.processes.values():
            p.on_exit = lambda: None
            p.signal(signal.SIGTERM)
        self.kernel.after(LEAVES_S, self._left)

    def _left(self) -> None:
        for name, p in self.processes.items():
            if p.state != "down":
                text = f"{name} runs {LEAVES_S} s after SIGTERM, with nothing to do"
                self.found("left late", text, node=name)
        self.over = True

    def _judge(self) -> None:
        """The lab's judge on the whole ledger: it must see nothing that was not seen at its step."""
        self.put(records.Mark(self.begin, "run:start"))
        self.put(records.Mark(self.kernel.now, "run:end"))
        verdict = self.rules.whole()
        for f in verdict.findings[:1]:
            self._broken(f)

    def outcome(self) -> Outcome:
        coverage = {f"{kind}/{stage}": n for (kind, stage), n in sorted(self.coverage.counts.items())}
        return Outcome(
            self.plan.seed,
            self.violation,
            self.steps,
            round(self.kernel.now - self.begin, 6),
            self.hash.hexdigest(),
            dict(sorted(self.answers.items())),
            self.faults.struck,
            coverage,
        )

    def _bury(self) -> None:
        for p in self.processes.values():
            loops: list[VirtualLoop] = [*p.buried, *([p.loop] if p.loop is not None else [])]
            for loop in loops:
                loop.bury()

    def whose(self) -> Process | None:
        """The process whose turn it is."""
        return next((p for p in self.processes.values() if p.loop is not None and p.loop.running), None)


class Log:
    """While a run plays, the program's log goes to it, and to nobody else. Making a sink takes 10 ms, so who
    plays many runs keeps one (`keep`)."""

    def __init__(self) -> None:
        self.run: Run | None = None
        self.kept = False
        self.number = 0
        self.root = logging.getLogger()
        self.before: list[logging.Handler] = []

    def keep(self) -> None:
        if not self.kept:
            self._open()
            self.kept = True

    def _open(self) -> None:
        logger.remove()
        self.number = logger.add(
            self._sink, level="WARNING", format="{message}", backtrace=False, diagnose=False
        )
        self.before, self.root.handlers[:] = self.root.handlers[:], [_Handler(self)]

    def begin(self, run: Run) -> None:
        if not self.kept:
            self._open()
        self.run = run

    def end(self) -> None:
        self.run = None
        if not self.kept:
            logger.remove(self.number)
            self.root.handlers[:] = self.before

    def _sink(self, message: Any) -> None:
        record = message.record
        error = record["exception"].value if record["exception"] is not None else None
        self.told(record["level"].name, record["message"], error)

    def told(self, level: str, text: str, error: BaseException | None) -> None:
        if self.run is not None:
            self.run.logged(self.run.whose(), level, text, error)


class _Handler(logging.Handler):
    """What Tornado logs."""

    def __init__(self, log: Log) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        self.log.told(record.levelname, record.getMessage(), error)


LOG = Log()
