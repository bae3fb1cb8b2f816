"""Invariants of a dispatcher's internal state, checked after each turn and when the run is idle."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from finchladder.core import api
from finchladder.core.dispatch.attempt_stages import Stage
from finchladder.core.routing.limited_dispatcher import NewRoutes, RouteLimitedDispatcher
from finchladder.features.replay import Replay
from finchladder.net.capture_recorder import CaptureRecorder
from finchladder.net.node import DispatcherNode
from finchladder.net.worker_connection import WorkerConnection
from finchladder.net.workers import MAX_CONNECTIONS_PER_WORKER

if TYPE_CHECKING:
    from finchladder.sim.process import Process

TABLE_CHECK_INTERVAL_TURNS = 32  # event loop turns between two calls of `check_tables`
MAX_CANCEL_S = 1.5  # one second for a connection and an answer, plus a margin
CANCELLED_ENDINGS = (api.Ending.CANCELLED, api.Ending.TIMED_OUT)
TIMER_SLACK_S = 0.15  # timers of a sluggish process fire late
SPIN_S, SPIN_TURNS = (
    0.2,
    6000,
)  # more turns in this time mean a busy loop: a descriptor stays ready and is never handled


class Tap:
    """Records the dispatcher's decisions and checks that each send ends exactly once."""

    def __init__(self, checks: "InvariantChecks", next_recorder: CaptureRecorder | None) -> None:
        self.checks, self.next_recorder = checks, next_recorder
        self.out: dict[tuple[str, int], str] = {}
        self.sent: dict[str, int] = {}
        self.unwanted: list[tuple[str, int]] = []  # attempts cancelled in this turn

    def record_event(
        self,
        t: float,
        event: api.Event | NewRoutes,
        actions: Sequence[api.Action],
        error: Exception | None = None,
    ) -> None:
        if self.next_recorder is not None:
            self.next_recorder.record_event(t, event, actions, error)
        if isinstance(event, api.Ended):
            key = event.request, event.attempt
            if (server := self.out.pop(key, None)) is None:
                self.checks.report_violation("ends", f"the end of {key} was told again, or it was never sent")
            elif event.ending in CANCELLED_ENDINGS:
                self.checks.given_up(event.request, server)
        for a in actions:
            if isinstance(a, api.Cancel) and (a.request, a.attempt) in self.out:
                self.unwanted.append((a.request, a.attempt))
            if isinstance(a, api.Send):
                number = self.sent.get(a.request, 0)
                self.sent[a.request] = number + 1
                self.out[a.request, number] = a.worker


class InvariantChecks:
    """The checks of one dispatcher process, from one start to its end."""

    def __init__(self, process: "Process", node: DispatcherNode) -> None:
        self.process, self.node, self.run = process, node, process.run
        next_recorder = node.decisions.recorder
        self.tap = Tap(self, next_recorder if isinstance(next_recorder, CaptureRecorder) else None)
        node.decisions.recorder = self.tap
        self.loaded = (
            node.reloader.loaded if node.reloader is not None else None
        )  # the routes loaded at the start
        self.sockets = node.setup.limits.sockets
        self.slots = node.workers.slots.free
        self.body_memory_bytes = node.body_memory.free_bytes
        self.turns = 0
        self.spin_at, self.spin_turns = process.run.kernel.now, 0

    def report_violation(self, kind: str, text: str) -> None:
        self.run.report_violation(kind, text, node=self.process.name)

    def turned(self) -> None:
        self.turns += 1
        node = self.node
        now = self.run.kernel.now
        if now - self.spin_at >= SPIN_S:
            self.spin_at, self.spin_turns = now, 0
        self.spin_turns += 1
        if self.spin_turns > SPIN_TURNS:
            self.report_violation("spins", f"{self.spin_turns} turns of the loop within {SPIN_S} s")
        unwanted, self.tap.unwanted = self.tap.unwanted, []
        for key in unwanted:
            if key in self.tap.out:
                self.report_violation(
                    "not given up", f"{key} was given up by the decisions, and is still out"
                )
        if node.decisions.backlog:
            self.report_violation(
                "mailbox", f"{node.decisions.backlog} items wait for the module though it rests"
            )
        if node.flows.open > node.intake.max_open_flows:
            self.report_violation(
                "bounds", f"{node.flows.open} flows are open, {node.intake.max_open_flows} may be"
            )
        if len(node.listener.connections) > node.listener.connections.max_connections:
            self.report_violation("bounds", f"{len(node.listener.connections)} edge connections")
        if not 0 <= node.workers.slots.free <= self.slots:
            self.report_violation("bounds", f"{node.workers.slots.free} places of {self.slots} are free")
        if len(node.workers.idle_connections.connections) > node.workers.idle_connections.max_connections:
            self.report_violation("bounds", f"{len(node.workers.idle_connections.connections)} kept lines")
        loop = self.process.loop
        if loop is not None and len(loop.sockets) > self.sockets:
            self.report_violation("bounds", f"{len(loop.sockets)} sockets, {self.sockets} may be")
        if self.turns % TABLE_CHECK_INTERVAL_TURNS == 0:
            self.check_tables()

    def given_up(self, id: str, name: str) -> None:
        """Checks that a real server stops a cancelled job, unless a fault disturbs the cancellation."""
        run, since, starts = self.run, self.run.kernel.now, self.process.starts
        server = run.servers[name]
        epoch, job_events = server.model.epoch, server.events_by_job.get(id)
        if job_events is not None and not job_events.final:
            run.kernel.after(MAX_CANCEL_S, lambda: check())

        def check() -> None:
            process, link = self.process, run.net.link(self.process.name, name)
            disturbed = (
                (server.model.epoch, process.starts, process.state) != (epoch, starts, "up")
                or max(link.struck_at, server.paused_at) >= since
                or not server.model.up
                or run.rules.ledger.stopped(process.name, since, run.kernel.now) > 0
            )
            if (
                not disturbed
                and job_events is not None
                and server.events_by_job.get(id) is job_events
                and not job_events.final
            ):
                text = f"{name} still has {id}, which was given up {MAX_CANCEL_S} s ago"
                self.report_violation("not given up", text)

    def check_tables(self) -> None:
        """Checks that the tables agree with each other."""
        node = self.node
        open_ = sum(f.answer is None for f in node.flows.by_id.values())
        if open_ != node.flows.open:
            self.report_violation("tables", f"{node.flows.open} flows count as open, {open_} are")
        for flow in node.flows.by_id.values():
            if flow.answer is not None and all(s.ended for s in flow.attempts):
                self.report_violation("tables", f"{flow.id} is over and still in the table")
        for actor in node.workers.actors.values():
            for id, s in actor.attempts.items():
                if isinstance(s.connection, WorkerConnection) and s.connection.has_ended:
                    self.report_violation("tables", f"{actor.name}: {id} waits on a line that is gone")
                if s.stage is Stage.WAITING and not self.run.was_stopped(self.process):
                    waits = node.clock() - s.sent_at
                    if waits > node.setup.caps.connect_timeout_s + TIMER_SLACK_S:
                        self.report_violation(
                            "waits", f"{id} waits for a connection to {actor.worker} for {waits:.3f} s"
                        )
                if s.ended or node.flows.by_id.get(id) is not s.flow:
                    self.report_violation("tables", f"{actor.name} holds {id}, which is over")
            if not 0 <= actor.slots.free <= MAX_CONNECTIONS_PER_WORKER:
                self.report_violation("bounds", f"{actor.name}: {actor.slots.free} places are free")

    def check_idle(self) -> None:
        """Checks for leaks: without open requests, no resource may still be held."""
        node = self.node
        self.check_tables()
        module = node.dispatcher
        actors = node.workers.actors.values()
        left = {
            "flows": list(node.flows.by_id),
            "open flows": node.flows.open,
            "drilled flows": len(node.intake.delayed_flows),
            "sends without an end": list(self.tap.out),
            "jobs of the decisions": list(module.jobs),
            "held jobs": [
                j for queue in module.queues.by_class.values() for jobs in queue.values() for j in jobs
            ],
            "timers": len(node.timers.wheel),
            "bytes for bodies": self.body_memory_bytes - node.body_memory.free_bytes,
            "places in use": self.slots - node.workers.slots.free,
            "jobs at real servers": [id for a in actors for id in a.attempts],
            "busy lines": sum(a.busy for a in actors),
            "places of one real server": sum(MAX_CONNECTIONS_PER_WORKER - a.slots.free for a in actors),
            "waiting for a place": len(node.workers.slots.waiters),
            "real servers with load": [w.address for w in module.workers.values() if w.load],
        }
        fading = [name for name, actor in node.workers.leaving.items() if actor.is_idle]
        left["real servers that are gone for long"] = fading
        if isinstance(guarded := node.decisions.dispatcher, RouteLimitedDispatcher):
            left["jobs under routes"] = [*guarded.runs, *guarded.alarms.due_at]
        if node.flows.status is not None:
            left["jobs whose status is open"] = list(node.flows.status.unfinished)
        for what, value in left.items():
            if value:
                self.report_violation("left over", f"{what}: {value}")
        self._replay()

    def _replay(self) -> None:
        """Checks that a replay of the capture makes the same decisions."""
        if self.node.capture is None:
            return
        lines = [
            line for block in self.node.capture.dump(self.node.clock()) for line in block.splitlines(True)
        ]
        routes = None
        if (reload := self.node.reloader) is not None:
            routes = self.loaded.routes if self.loaded is not None else None
            if reload.loaded is not self.loaded and self.node.capture.ring.content()[0]:
                return  # the routes at the start of the capture are unknown
        differ: list[str] = []
        settings = self.node.setup.settings
        replay = Replay(settings, self.run.options, differ.append, lambda text: None, routes)
        replay.run(lines)
        if differ:
            self.report_violation("capture", f"a replay decides otherwise: {differ[0]}")
