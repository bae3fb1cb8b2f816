"""What must hold inside a dispatcher, looked at from outside: after each turn, and when all is quiet."""

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

WHOLE_EVERY = 32  # turns between two looks at whole tables
GIVES_UP_S = 1.5  # a second for a connection and an answer, and some more
GIVEN_UP = (api.Ending.CANCELLED, api.Ending.TIMED_OUT)
WAITS_MORE_S = 0.15  # a sluggish process is late for its timers
SPIN_S, SPIN_TURNS = 0.2, 6000  # more turns within so long: something stays ready and nobody takes it


class Tap:
    """Between the module's actor and what it tells: each send has one end, no end comes without a send."""

    def __init__(self, inner: "Inner", further: CaptureRecorder | None) -> None:
        self.inner, self.further = inner, further
        self.out: dict[tuple[str, int], str] = {}
        self.sent: dict[str, int] = {}
        self.unwanted: list[tuple[str, int]] = []  # given up in this turn

    def record_event(
        self,
        t: float,
        event: api.Event | NewRoutes,
        actions: Sequence[api.Action],
        error: Exception | None = None,
    ) -> None:
        if self.further is not None:
            self.further.record_event(t, event, actions, error)
        if isinstance(event, api.Ended):
            key = event.request, event.attempt
            if (server := self.out.pop(key, None)) is None:
                self.inner.found("ends", f"the end of {key} was told again, or it was never sent")
            elif event.ending in GIVEN_UP:
                self.inner.given_up(event.request, server)
        for a in actions:
            if isinstance(a, api.Cancel) and (a.request, a.attempt) in self.out:
                self.unwanted.append((a.request, a.attempt))
            if isinstance(a, api.Send):
                number = self.sent.get(a.request, 0)
                self.sent[a.request] = number + 1
                self.out[a.request, number] = a.worker


class Inner:
    """Of one start of one dispatcher."""

    def __init__(self, process: "Process", node: DispatcherNode) -> None:
        self.process, self.node, self.run = process, node, process.run
        further = node.decisions.recorder
        self.tap = Tap(self, further if isinstance(further, CaptureRecorder) else None)
        node.decisions.recorder = self.tap
        self.loaded = node.reloader.loaded if node.reloader is not None else None  # as of the start
        self.sockets = node.setup.limits.sockets
        self.places = node.workers.slots.free
        self.room = node.body_memory.free_bytes
        self.turns = 0
        self.spin_at, self.spin_turns = process.run.kernel.now, 0

    def found(self, kind: str, text: str) -> None:
        self.run.found(kind, text, node=self.process.name)

    def turned(self) -> None:
        self.turns += 1
        node = self.node
        now = self.run.kernel.now
        if now - self.spin_at >= SPIN_S:
            self.spin_at, self.spin_turns = now, 0
        self.spin_turns += 1
        if self.spin_turns > SPIN_TURNS:
            self.found("spins", f"{self.spin_turns} turns of the loop within {SPIN_S} s")
        unwanted, self.tap.unwanted = self.tap.unwanted, []
        for key in unwanted:
            if key in self.tap.out:
                self.found("not given up", f"{key} was given up by the decisions, and is still out")
        if node.decisions.backlog:
            self.found("mailbox", f"{node.decisions.backlog} items wait for the module though it rests")
        if node.flows.open > node.intake.max_open_flows:
            self.found("bounds", f"{node.flows.open} flows are open, {node.intake.max_open_flows} may be")
        if len(node.listener.connections) > node.listener.connections.max_connections:
            self.found("bounds", f"{len(node.listener.connections)} edge connections")
        if not 0 <= node.workers.slots.free <= self.places:
            self.found("bounds", f"{node.workers.slots.free} places of {self.places} are free")
        if len(node.workers.idle_connections.connections) > node.workers.idle_connections.max_connections:
            self.found("bounds", f"{len(node.workers.idle_connections.connections)} kept lines")
        loop = self.process.loop
        if loop is not None and len(loop.sockets) > self.sockets:
            self.found("bounds", f"{len(loop.sockets)} sockets, {self.sockets} may be")
        if self.turns % WHOLE_EVERY == 0:
            self.whole()

    def given_up(self, id: str, name: str) -> None:
        """Its real server must hear of it, if nothing stands in the way."""
        run, since, starts = self.run, self.run.kernel.now, self.process.starts
        server = run.servers[name]
        epoch, tale = server.model.epoch, server.tales.get(id)
        if tale is not None and not tale.final:
            run.kernel.after(GIVES_UP_S, lambda: look())

        def look() -> None:
            process, link = self.process, run.net.link(self.process.name, name)
            disturbed = (
                (server.model.epoch, process.starts, process.state) != (epoch, starts, "up")
                or max(link.struck_at, server.paused_at) >= since
                or not server.model.up
                or run.rules.ledger.stopped(process.name, since, run.kernel.now) > 0
            )
            if not disturbed and tale is not None and server.tales.get(id) is tale and not tale.final:
                text = f"{name} still has {id}, which was given up {GIVES_UP_S} s ago"
                self.found("not given up", text)

    def whole(self) -> None:
        """Tables that have to agree with each other."""
        node = self.node
        open_ = sum(f.answer is None for f in node.flows.by_id.values())
        if open_ != node.flows.open:
            self.found("tables", f"{node.flows.open} flows count as open, {open_} are")
        for flow in node.flows.by_id.values():
            if flow.answer is not None and all(s.ended for s in flow.attempts):
                self.found("tables", f"{flow.id} is over and still in the table")
        for actor in node.workers.actors.values():
            for id, s in actor.attempts.items():
                if isinstance(s.connection, WorkerConnection) and s.connection.has_ended:
                    self.found("tables", f"{actor.name}: {id} waits on a line that is gone")
                if s.stage is Stage.WAITING and not self.run.was_stopped(self.process):
                    waits = node.clock() - s.sent_at
                    if waits > node.setup.caps.connect_timeout_s + WAITS_MORE_S:
                        self.found(
                            "waits", f"{id} waits for a connection to {actor.worker} for {waits:.3f} s"
                        )
                if s.ended or node.flows.by_id.get(id) is not s.flow:
                    self.found("tables", f"{actor.name} holds {id}, which is over")
            if not 0 <= actor.slots.free <= MAX_CONNECTIONS_PER_WORKER:
                self.found("bounds", f"{actor.name}: {actor.slots.free} places are free")

    def quiet(self) -> None:
        """Nothing is asked and nothing is under way: what is still held is held for good."""
        node = self.node
        self.whole()
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
            "bytes for bodies": self.room - node.body_memory.free_bytes,
            "places in use": self.places - node.workers.slots.free,
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
                self.found("left over", f"{what}: {value}")
        self._replay()

    def _replay(self) -> None:
        """What was captured, decided anew, comes out the same."""
        if self.node.capture is None:
            return
        lines = [
            line for block in self.node.capture.dump(self.node.clock()) for line in block.splitlines(True)
        ]
        routes = None
        if (reload := self.node.reloader) is not None:
            routes = self.loaded.routes if self.loaded is not None else None
            if reload.loaded is not self.loaded and self.node.capture.ring.content()[0]:
                return  # what held where it begins is not known
        differ: list[str] = []
        settings = self.node.setup.settings
        replay = Replay(settings, self.run.options, differ.append, lambda text: None, routes)
        replay.run(lines)
        if differ:
            self.found("capture", f"a replay decides otherwise: {differ[0]}")
