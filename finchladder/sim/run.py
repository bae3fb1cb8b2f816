"""One simulation run: executes a plan to its end or to the first violation.

| until | what happens |
| --- | --- |
| BOOT_S | dispatchers start, receive the endpoint list, and are admitted |
| calm_at - SETTLE_S | jobs arrive and faults are injected; then all faults are reverted |
| calm_at + CALM_S | after SETTLE_S without faults, jobs arrive that must all be served |
| the end | dispatchers are checked, get SIGTERM, and must exit in time without leaks |
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
from finchladder.sim.clients import ClientRequest, Clients
from finchladder.sim.coverage import Coverage
from finchladder.sim.faults import Faults, FaultSubject
from finchladder.sim.invariants import InvariantChecks
from finchladder.sim.loop import VirtualLoop
from finchladder.sim.network import End, LinkSettings, Network
from finchladder.sim.plan import CALM_S, END_S, Job, Moment, Plan
from finchladder.sim.process import Process
from finchladder.sim.registry import Registry
from finchladder.sim.rules import Rules
from finchladder.sim.servers import CallbackConnection, Server, ServerConnection

BEGIN = 1000.0  # the kernel's time at the start of a run
QUIET_S = 1.5  # idle time after the last calm job before the final checks
MAX_SHUTDOWN_S = (
    4.2  # after SIGTERM without open requests: idle client connections plus callbacks may delay it
)
MAX_STEPS = 2_000_000
COLLECTION_INTERVAL_STEPS = 50_000  # steps between two garbage collections
EXPECTED_ERRORS = (
    "SIGHUP: ",
    "all ",
    "capture: no file",
)  # logged errors that faults outside the program cause
OVERDUE = "the dispatcher core did not answer a job"
AFTER_STOP_S = 5.0  # overdue flows of a paused process are excused for this time after it resumes
LEVELS = {"DEBUG": 10, "INFO": 20, "SUCCESS": 25, "WARNING": 30, "ERROR": 40, "CRITICAL": 50}


class Violation(msgspec.Struct):
    """The first violation of a rule. `at`: seconds from the start of the run; `step`: counted from 1."""

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
    """How a run ended. `digest` hashes all its steps, so equal runs have equal digests."""

    seed: int
    violation: Violation | None
    steps: int
    virtual_s: float
    digest: str
    answers: dict[str, int] = {}
    faults: int = 0
    coverage: dict[str, int] = {}


class Seen(NamedTuple):
    """A line of the trace. Its repr goes into the digest, so renaming it or a field changes all digests."""

    at: float
    what: str
    fields: dict[str, Any]


class Run:
    """One run; `play` may be called once. `on_seen` receives each line of the trace."""

    def __init__(self, plan: Plan, on_seen: Callable[[Seen], None] | None = None) -> None:
        self.plan, self.on_seen = plan, on_seen
        self.kernel = Kernel(BEGIN)
        self.begin = BEGIN
        self.steps = 0
        self.hash = blake2b(digest_size=16)
        self.violation: Violation | None = None
        self.answers: Counter[str] = Counter()
        self.is_ending = self.is_over = False
        self.before_turn: Callable[[Process], None] | None = None  # hooks for tools that observe a run
        self.on_turn: Callable[[Process], None] | None = None
        self.options = read_ini(plan.world.options, "options") if plan.world.options else Options()
        self.net = Network(self.kernel, plan.seed, self._link_settings, self._delivered)
        self.net.on_close = self._closed
        self.rules = Rules(plan.experiment, BEGIN, self._broken)
        self.coverage = Coverage(self)
        self.processes = {p.name: p for p in (Process(self, i) for i in range(plan.experiment.dispatchers))}
        self.checks: dict[str, InvariantChecks] = {}
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
        self.changed_states: dict[str, tuple[Any, float]] = {}
        self.collected_at_step = 0

    def _link_settings(self, a: str, b: str) -> LinkSettings:
        w = self.plan.world
        return LinkSettings(w.latency_s, w.jitter, w.cut, w.buffer, w.reset_drops)

    def _closed(self, end: End) -> None:
        connection = end.peer.handler
        if end.host in self.processes and isinstance(connection, ServerConnection):
            connection.given_up(end.taken)

    # --- used by the parts of the run

    def address_of(self, node: str) -> tuple[str, int]:
        return self.processes[node].address

    def step(self, kind: str, who: str) -> None:
        """Counts a delivery: bytes, a timer or a fault. Turns of an event loop are not steps."""
        self.steps += 1
        self.hash.update(f"{self.kernel.now:.9f} {kind} {who}\n".encode())

    def _delivered(self, kind: str, end: End, size: int) -> None:
        self.step(kind, f"{end!r} {size}")

    def trace_event(self, what: str, **fields: Any) -> None:
        """Writes a line of the trace."""
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
                    self.trace_event("asked", id=r.id, node=r.dispatcher, patience=round(r.patience, 4))
            case records.Answered():
                self.trace_event("answered", id=r.id, end=r.end, **({"status": r.status} if r.status else {}))
            case records.Taken():
                self.trace_event("taken", id=r.id, server=r.server, verdict=r.verdict)
            case records.Began():
                self.trace_event("began", id=r.id, server=r.server)
            case records.Ended():
                self.trace_event("ended", id=r.id, server=r.server, how=r.how)
            case records.Born():
                if r.at > self.begin:
                    self.trace_event("born", server=r.server, cold=r.cold)
            case records.Died():
                self.trace_event("died", server=r.server, why=r.why)
            case _:
                pass

    def record_fault(self, kind: str, target: str, detail: str = "") -> None:
        self.put(records.Struck(self.kernel.now, kind, target, detail))

    def moment(
        self, name: Moment, node: str = "", server: str = "", id: str = "", end: End | None = None
    ) -> None:
        if name == "result" and end is not None and isinstance(end.handler, CallbackConnection):
            self.faults.call_back(server, node, end)
        self.faults.moment(name, FaultSubject(node, server, id, end))

    def changed(self, server: Server) -> None:
        """Publishes a real server's state; changes at the same virtual time are published together."""
        if not self.changed_states:
            self.kernel.at(self.kernel.now, self._publish_changes)
        self.changed_states[server.name] = server.state, server.born

    def _publish_changes(self) -> None:
        changed_states, self.changed_states = self.changed_states, {}
        if changed_states:
            self.registry.change(changed_states)

    # --- violations

    def report_violation(
        self, kind: str, text: str, node: str = "", server: str = "", id: str = "", rule: str = "inner"
    ) -> None:
        if self.violation is None:
            at = round(self.kernel.now - self.begin, 6)
            self.violation = Violation(rule, kind, text, at, self.steps, node, server, id)
            self.trace_event("violation", rule=rule, kind=kind, text=text)

    def _broken(self, f: Finding) -> None:
        self.report_violation(f.kind, f.text, f.dispatcher, f.server, f.id, f.rule)

    def logged(self, process: Process | None, level: str, message: str, error: BaseException | None) -> None:
        name = process.name if process is not None else ""
        if LEVELS.get(level, 0) >= 30:
            self.trace_event("log", node=name, level=level, text=message)
        if LEVELS.get(level, 0) < 40 or message.startswith(EXPECTED_ERRORS):
            return
        if process is not None and OVERDUE in message and self.was_stopped(process):
            return
        text = f"{message}: {type(error).__name__}: {error}" if error is not None else message
        self.report_violation("logged", text, node=name)

    def was_stopped(self, process: Process) -> bool:
        now = self.kernel.now
        return self.rules.ledger.stopped(process.name, now - AFTER_STOP_S, now) > 0

    # --- ends of jobs and processes

    def job_done(self, job: Job, how: str, last: ClientRequest | None) -> None:
        self.answers[how.removeprefix("answered ")] += 1
        if job.calm and how != "answered 200":
            text = f"{how}, {self.kernel.now - self.faults.limit:.1f} s after the last fault"
            id, node = (last.id, last.node) if last is not None else ("", "")
            self.report_violation("not served", text, node=node, id=id, rule="liveness")

    def turned(self, process: Process) -> None:
        if self.on_turn is not None:
            self.on_turn(process)
        if process.loop is not None and not process.loop.dead:
            if (checks := self.checks.get(process.name)) is not None:
                checks.turned()
            if process.main is not None and process.main.done():
                self._exited(process)

    def _exited(self, process: Process) -> None:
        main = process.main
        assert main is not None
        error = None if main.cancelled() else main.exception()
        self.trace_event("exit", node=process.name)
        if process.state != "leaving" or error is not None:
            text = f"{process.name} ended by itself: {type(error).__name__}: {error}"
            self.report_violation("died", text, node=process.name)
        process.exited()

    def node_created(self, process: Process, node: DispatcherNode) -> None:
        self.checks[process.name] = InvariantChecks(process, node)

    # --- the run

    def play(self) -> Outcome:
        gc.collect()
        gc.disable()  # finalizers that a collection runs must not depend on earlier runs
        LOG.begin(self)
        try:
            self._play()
        finally:
            self._close_loops()
            LOG.end()
            gc.enable()
        return self.outcome()

    def _play(self) -> None:
        kernel, plan = self.kernel, self.plan
        for server in self.servers.values():
            server.start(cold=False, is_announced=False)
        for n, p in enumerate(self.processes.values()):
            p.on_node_created = lambda node, p=p: self.node_created(p, node)  # type: ignore[misc]
            kernel.after(0.01 + 0.005 * n, lambda p=p: self.faults.restart(p))  # type: ignore[misc]
        self.clients.begin()
        self.faults.begin()
        self._unknown_calls()
        kernel.at(self.begin + plan.calm_at + CALM_S + QUIET_S, self._quiet)
        while self.violation is None and not self.is_over and self.steps < MAX_STEPS:
            if not kernel.step():
                break
            if self.steps - self.collected_at_step >= COLLECTION_INTERVAL_STEPS:
                self.collected_at_step = self.steps
                gc.collect()
        if self.violation is None and not self.is_over:
            self.report_violation("endless", f"{self.steps} steps, and no end")
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
            server.send_unknown()
            self.kernel.after(1 / rate, lambda: self._unknown(server, rate))

    def _quiet(self) -> None:
        """Runs the final checks once no job is open or END_S has passed, then sends SIGTERM."""
        last = self.begin + self.plan.calm_at + CALM_S + QUIET_S + END_S
        if (
            self.clients.open_jobs or any(s.events_by_job for s in self.servers.values())
        ) and self.kernel.now < last:
            self.kernel.after(0.5, self._quiet)
            return
        for name, p in self.processes.items():
            if p.state != "up":
                self.report_violation("not up", f"{name} is {p.state} long after the last fault", node=name)
            elif name in self.checks:
                self.checks[name].check_idle()
        if not self.plan.ends:
            self.is_over = True
            return
        self.is_ending = True
        for p in self.processes.values():
            p.on_exit = lambda: None
            p.signal(signal.SIGTERM)
        self.kernel.after(MAX_SHUTDOWN_S, self._left)

    def _left(self) -> None:
        for name, p in self.processes.items():
            if p.state != "down":
                text = f"{name} runs {MAX_SHUTDOWN_S} s after SIGTERM, with nothing to do"
                self.report_violation("left late", text, node=name)
        self.is_over = True

    def _judge(self) -> None:
        """Judges the whole ledger; it must find nothing that the checks of single steps missed."""
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

    def _close_loops(self) -> None:
        for p in self.processes.values():
            loops: list[VirtualLoop] = [*p.dead_loops, *([p.loop] if p.loop is not None else [])]
            for loop in loops:
                loop.close_tasks()

    def running_process(self) -> Process | None:
        """Returns the process whose event loop is running now, or None."""
        return next((p for p in self.processes.values() if p.loop is not None and p.loop.running), None)


class LogCapture:
    """Redirects the program's log to the current run only.

    Creating a sink takes 10 ms, so a process that executes many runs keeps one (`keep`).
    """

    def __init__(self) -> None:
        self.run: Run | None = None
        self.is_kept = False
        self.number = 0
        self.root = logging.getLogger()
        self.before: list[logging.Handler] = []

    def keep(self) -> None:
        if not self.is_kept:
            self._open()
            self.is_kept = True

    def _open(self) -> None:
        logger.remove()
        self.number = logger.add(
            self._sink, level="WARNING", format="{message}", backtrace=False, diagnose=False
        )
        self.before, self.root.handlers[:] = self.root.handlers[:], [_Handler(self)]

    def begin(self, run: Run) -> None:
        if not self.is_kept:
            self._open()
        self.run = run

    def end(self) -> None:
        self.run = None
        if not self.is_kept:
            logger.remove(self.number)
            self.root.handlers[:] = self.before

    def _sink(self, message: Any) -> None:
        record = message.record
        error = record["exception"].value if record["exception"] is not None else None
        self.forward(record["level"].name, record["message"], error)

    def forward(self, level: str, text: str, error: BaseException | None) -> None:
        if self.run is not None:
            self.run.logged(self.run.running_process(), level, text, error)


class _Handler(logging.Handler):
    """Forwards Tornado's log records."""

    def __init__(self, log: LogCapture) -> None:
        super().__init__(logging.WARNING)
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        self.log.forward(record.levelname, record.getMessage(), error)


LOG = LogCapture()
