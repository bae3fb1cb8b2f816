"""Injects a plan's faults at their times or moments, and reverts each after its duration or at the end."""

import signal
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from finchladder.lab.wire import Message, write_request
from finchladder.sim.clients import ClientConnection
from finchladder.sim.draws import stream
from finchladder.sim.http_connection import HttpConnection
from finchladder.sim.network import End, Link
from finchladder.sim.plan import (
    OF_DISPATCHERS,
    OF_LINKS,
    OF_LIST,
    OF_SERVERS,
    SETTLE_S,
    Fault,
    Job,
    Moment,
)

if TYPE_CHECKING:
    from finchladder.sim.process import Process
    from finchladder.sim.run import Run
    from finchladder.sim.servers import Server

MAX_TURN_DELAY_S = 0.02  # of a sluggish process; far below the slack that the rules allow
# maximum latency of a delayed link to the clients; the rules count it as time that the dispatcher took
MAX_CLIENT_LATENCY_S = 0.012
MAX_HELD_CONNECTIONS, MAX_BURST_JOBS = 300, 25


class FaultSubject(NamedTuple):
    """The objects that a moment concerns; an empty field is drawn at random."""

    node: str = ""
    server: str = ""
    id: str = ""
    end: End | None = None


class HeldConnection(HttpConnection):
    """A connection that stays open without sending a request."""

    def on_message(self, m: Message) -> None:
        self.close()


class Operator(HttpConnection):
    """Posts an operator's order to a dispatcher."""

    def __init__(self, run: "Run", data: bytes) -> None:
        super().__init__(run.net, responses=True)
        self.data = data

    def on_connected(self) -> None:
        self.write(self.data)

    def on_message(self, m: Message) -> None:
        self.close()


class Faults:
    def __init__(self, run: "Run") -> None:
        self.run = run
        self.limit = run.begin + run.plan.calm_at - SETTLE_S
        self.moment_faults: list[tuple[Fault, list[int]]] = []
        self.reverts: dict[int, Callable[[], None]] = {}
        self.callback_breaks: dict[
            tuple[str, str], tuple[int, float]
        ] = {}  # remaining connections to break, and the delay
        self.term_s = max(3.0, *(c.deadline_s for c in run.plan.experiment.job_class)) + 0.7
        self.struck = 0

    def begin(self) -> None:
        kernel = self.run.kernel
        for fault in self.run.plan.faults:
            at = self.run.begin + fault.at
            if fault.on is not None:
                self.moment_faults.append((fault, [fault.nth]))
            elif at < self.limit:
                kernel.at(at, lambda f=fault: self.inject(f, FaultSubject()))  # type: ignore[misc]
        kernel.at(self.limit, self.stop)

    def moment(self, name: Moment, subject: FaultSubject) -> None:
        now = self.run.kernel.now
        if now >= self.limit:
            return
        for fault, left in self.moment_faults:
            if fault.on == name and self.run.begin + fault.at <= now and left[0] > 0:
                left[0] -= 1
                if not left[0]:
                    self.run.kernel.after(
                        fault.after_s,
                        lambda f=fault: self.inject(f, subject),  # type: ignore[misc]
                    )

    def stop(self) -> None:
        """Ends fault injection and reverts all faults."""
        self.run.trace_event("faults over")
        for number in list(self.reverts):
            self._revert(number)
        self.callback_breaks.clear()
        for server in self.run.servers.values():
            server.model.set_error_rate(0.0)  # the calm jobs must be able to succeed

    def _revert(self, number: int) -> None:
        if (reverts := self.reverts.pop(number, None)) is not None:
            reverts()

    def inject(self, f: Fault, subject: FaultSubject) -> None:
        run = self.run
        if run.kernel.now >= self.limit or f.number in self.reverts:
            return
        random = stream(run.plan.seed, "strike", f.number)
        if f.kind in OF_DISPATCHERS:
            name = f.target or subject.node or random.choice(list(run.processes))
            self._record(f, name)
            reverts = self._dispatcher(f, run.processes[name], random)
        elif f.kind in OF_SERVERS:
            name = f.target or subject.server or random.choice(list(run.servers))
            self._record(f, name)
            reverts = self._server(f, run.servers[name])
        elif f.kind in OF_LIST:
            name = f.target or subject.node or random.choice(list(run.processes))
            self._record(f, name)
            reverts = self._list(f, name)
        elif f.kind in OF_LINKS:
            reverts = self._link(f, subject, random)
        elif f.kind == "blackout":
            self._record(f, "all")
            reverts = self._blackout()
        elif f.kind == "break_calls":
            node = subject.node or random.choice(list(run.processes))
            server = subject.server or random.choice(list(run.servers))
            self._record(f, f"{server}>{node}")
            # the callback is in transit, arrives, has arrived, or its answer is in transit or has arrived
            after = random.choice([0.0, 0.7, 1.7, 1.7, 2.5, 4.0]) * run.plan.world.latency_s
            self.callback_breaks[server, node] = 1 + int(f.size * 10), after
            reverts = None
        else:
            reverts = self._client(f, subject, random)
        if reverts is not None:
            self.reverts[f.number] = reverts
            at = min(self.limit, run.kernel.now + f.for_s)
            run.kernel.at(at, lambda: self._revert(f.number))

    def _record(self, f: Fault, target: str) -> None:
        self.struck += 1
        self.run.step("fault", f.kind)
        self.run.trace_event("fault", kind=f.kind, target=target, number=f.number)
        self.run.coverage.count_fault(f.kind, target)

    # --- dispatchers

    def _dispatcher(self, f: Fault, p: "Process", random: Random) -> Callable[[], None] | None:
        if f.kind == "kill":
            self.kill(p)
            return lambda: self.restart(p)
        if f.kind == "term":
            self.term(p)
        elif f.kind == "pause":
            p.pause()
            return p.go_on
        elif f.kind == "clock":
            p.wall_offset_s = (f.size - 0.5) * 7200

            def restore_clock() -> None:
                p.wall_offset_s = 0.0

            return restore_clock
        elif f.kind == "sluggish":
            pace = self.run.plan.world.pace_s
            p.slowdown = max(1.0, min(MAX_TURN_DELAY_S / pace, 1 + f.size * 400))

            def restore_speed() -> None:
                p.slowdown = 1.0

            return restore_speed
        return None

    def kill(self, p: "Process") -> None:
        run = self.run
        if p.state == "down":
            return
        run.record_fault("kill", p.name)
        run.kernel.after(0.1, lambda: run.record_fault("kill", p.name, "end"))
        p.go_on()
        p.kill()
        run.clients.front.died(run.kernel.now, p.name)

    def restart(self, p: "Process") -> None:
        if p.state == "down" and not self.run.is_ending:
            p.start()
            self.run.clients.watch(p.name, p.starts)

    def term(self, p: "Process") -> None:
        """Sends SIGTERM, then SIGKILL if the process has not ended by its limit, and starts it again."""
        run, start = self.run, p.starts
        if p.state != "up":
            return
        delay = stream(run.plan.seed, "noticed", p.name, start).uniform(0.2, 0.4)
        run.clients.front.died(run.kernel.now, p.name, delay)

        def again() -> None:
            run.kernel.after(0.05, lambda: self.restart(p))

        p.on_exit = again
        run.trace_event("term", node=p.name)
        p.signal(signal.SIGTERM)
        if not p.is_up:  # SIGTERM arrived before the program had installed its handler
            p.on_exit()
            return
        run.moment("term", node=p.name)
        run.kernel.after(self.term_s, lambda: self._overdue(p, start))

    def _overdue(self, p: "Process", start: int) -> None:
        if p.starts == start and p.state == "leaving":
            run = self.run
            if not run.rules.ledger.stopped(p.name, p.sigterm_at, run.kernel.now):
                run.report_violation(
                    "left late", f"{p.name} runs {self.term_s:.1f} s after SIGTERM", node=p.name
                )
            run.record_fault("restart", p.name, "killed")
            self.kill(p)
            self.restart(p)

    def _blackout(self) -> Callable[[], None]:
        run = self.run
        nodes = [p for p in run.processes.values() if p.state != "down"]
        servers = [s for s in run.servers.values() if s.model.up]
        for p in nodes:
            self.kill(p)
        for s in servers:
            s.kill()

        def restart_all() -> None:
            for s in servers:
                if not s.model.up:
                    s.come_back()
            for p in nodes:
                self.restart(p)

        return restart_all

    # --- real servers

    def _server(self, f: Fault, s: "Server") -> Callable[[], None] | None:
        now = self.run.kernel.now
        match f.kind:
            case "crash":
                s.kill()
                return lambda: s.model.up or s.come_back()  # type: ignore[func-returns-value,return-value]
            case "drain":
                s.drain()
                return s.come_back
            case "slow":
                s.model.set_speed(now, max(0.0, f.size - 0.5))  # 0: no progress and no reports
                s.after_model_change()

                def restore_speed() -> None:
                    s.model.set_speed(self.run.kernel.now, 1.0)
                    s.after_model_change()

                return restore_speed
            case "errors":
                s.model.set_error_rate(0.3 + 0.7 * f.size)
                return lambda: s.model.set_error_rate(None)
            case "swallow":
                s.swallow_rate = 0.3 + 0.7 * f.size

                def answer_again() -> None:
                    s.swallow_rate = 0.0

                return answer_again
            case "freeze":
                s.pause()
                return s.go_on
        return None

    # --- the endpoint list

    def _list(self, f: Fault, node: str) -> Callable[[], None] | None:
        run, registry = self.run, self.run.registry
        now = run.kernel.now
        match f.kind:
            case "list_silent":
                registry.model.silent(now, True, [node])

                def resume_updates() -> None:
                    registry.model.silent(run.kernel.now, False, [node])
                    registry.after_model_change()

                return resume_updates
            case "list_late":
                registry.model.behind(now, f.size * 2, [node])
                return lambda: registry.model.behind(run.kernel.now, 0.0, [node])
            case "list_gap":
                registry.model.vanish(now, max(0.3, f.size), min(f.for_s, self.limit - now))
                registry.after_model_change()
            case "list_break":
                registry.break_off(node, reset=f.size < 0.5)
            case "list_move":
                registry.move(node)
                run.kernel.after(0.01 + f.size * 0.2, lambda: run.processes[node].signal(signal.SIGHUP))
        return None

    # --- links and connections

    def _link(self, f: Fault, subject: FaultSubject, random: Random) -> Callable[[], None] | None:
        run = self.run
        if f.target:
            a, _, b = f.target.partition("~")
        else:
            a = subject.node or random.choice(list(run.processes))
            b = subject.server
            if not b and subject.end is not None:
                b = subject.end.peer.host if subject.end.host == a else subject.end.host
            b = b or random.choice([*run.servers, "clients", "registry"])
        link = run.net.link(a, b)
        self._record(f, link.name)
        for struck in [*run.net.links_of(a), *run.net.links_of(b)] if f.kind == "deaf" else [link]:
            struck.struck_at = self.limit  # until then the checks excuse effects of this link
        ends = list(link.ends)
        if not f.target and subject.end is not None and subject.end.pipe.link is link:
            ends = [subject.end]
        match f.kind:
            case "cut" | "half_cut":
                for end in ends:
                    side = end if f.size < 0.5 else end.peer
                    run.net.cut(side, both=f.kind == "cut")
            case "silence":
                return self._silence(f, link, ends)
            case "deaf":
                return self._deaf(b if b not in ("clients", "registry") else a)
            case "refuse":
                link.refuses = True

                def accept() -> None:
                    link.refuses = False

                return accept
            case "delay":
                most = MAX_CLIENT_LATENCY_S / link.settings.latency_s if b == "clients" else 50.0
                link.slow = max(1.0, min(most, 1 + f.size * 200))

                def again() -> None:
                    link.slow = 1.0

                return again
            case "stall":
                return self._stall(f, ends)
        return None

    def _silence(self, f: Fault, link: Link, ends: list[End]) -> Callable[[], None]:
        """Silences one direction, both, or the whole link with new connections; returns the repair."""
        net = self.run.net
        if f.size < 0.4:
            link.silent = True
            for end in link.ends:
                end.struck = end.peer.struck = True

            def heal() -> None:
                for end in link.ends:
                    end.struck = end.peer.struck = True
                net.heal_link(link)

            return heal
        sides = [end if f.size < 0.7 else end.peer for end in ends]
        if f.size > 0.9:
            sides += [side.peer for side in sides]
        for side in sides:
            net.silence(side)

        def open_again() -> None:
            for side in sides:
                net.heal(side)

        return open_again

    def _deaf(self, host: str) -> Callable[[], None]:
        found = [x for x in self.run.net.listeners.values() if x.host == host]
        for listener in found:
            listener.ignores_connects = True

        def answer_connects() -> None:
            for listener in found:
                listener.ignores_connects = False

        return answer_connects

    def _stall(self, f: Fault, ends: list[End]) -> Callable[[], None]:
        """Makes the simulated sides of the connections read slowly."""
        connections = [
            e.handler for end in ends for e in (end, end.peer) if isinstance(e.handler, HttpConnection)
        ]
        for connection in connections:
            if isinstance(connection, ClientConnection) and connection.end is not None:
                connection.end.struck = True
            connection.stall(100 + f.size * 50_000)

        def resume_reading() -> None:
            for connection in connections:
                connection.resume()

        return resume_reading

    def call_back(self, server: str, node: str, end: End | None) -> None:
        """Breaks the connection of a callback, depending on the fault's delay and remaining count."""
        count, after = self.callback_breaks.get((server, node), (0, 0.0))
        if end is None or not count:
            return
        self.callback_breaks[server, node] = count - 1, after
        self.run.kernel.after(after, lambda: self.run.net.cut(end, both=count % 3 > 0))

    # --- clients

    def _client(self, f: Fault, subject: FaultSubject, random: Random) -> Callable[[], None] | None:
        run = self.run
        node = subject.node or random.choice(list(run.processes))
        match f.kind:
            case "leave":
                id = subject.id or (random.choice(list(run.clients.open)) if run.clients.open else "")
                self._record(f, id)
                run.clients.leave(id)
            case "burst":
                self._record(f, "clients")
                self._burst(f, random)
            case "rude":
                self._record(f, node)
                for _ in range(1 + int(f.size * 4)):
                    run.clients.rude(random.getrandbits(32), node)
            case "hold":
                self._record(f, node)
                return self._hold(f, node)
            case "drill":
                self._record(f, node)
                self._drill(f, node, random)
        return None

    def _burst(self, f: Fault, random: Random) -> None:
        run = self.run
        for n in range(5 + int(f.size * MAX_BURST_JOBS)):
            c = random.choice(run.plan.experiment.job_class)
            job = Job(
                number=1000 * (1 + f.number) + n,
                at=run.kernel.now - run.begin + random.uniform(0, 0.02),
                client=random.randrange(run.plan.world.clients),
                job_class=c.name,
                key=random.choice(["", "hot", f"b{n}"]),
                work_s=random.uniform(0.005, 0.05),
            )
            run.clients.submit(job)

    def _hold(self, f: Fault, node: str) -> Callable[[], None]:
        run = self.run
        held = [
            HeldConnection(run.net, responses=True) for _ in range(10 + int(f.size * MAX_HELD_CONNECTIONS))
        ]
        for connection in held:
            connection.connect("holder", "10.3.3.1", run.address_of(node))

        def close() -> None:
            for connection in held:
                connection.close()

        return close

    def _drill(self, f: Fault, node: str, random: Random) -> None:
        run = self.run
        left = max(0.02, min(f.for_s, self.limit - run.kernel.now))
        order = {
            "class": random.choice(run.plan.experiment.job_class).name,
            "share": round(f.size, 2),
            "for_s": round(left, 3),
            "delay_ms": random.choice([0, 50, 400]),
        }
        headers = {"Host": node, "X-Drill-Key": "k", "Connection": "close"}
        data = write_request("POST", "/_drill", headers, msgspec.json.encode(order))
        Operator(run, data).connect("operator", "10.3.4.1", run.address_of(node))
