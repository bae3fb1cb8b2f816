"""Strikes what a plan says, at its time or its moment, and takes it back: in its time, or at the end."""

import signal
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from finchladder.lab.wire import Message, write_request
from finchladder.sim.clients import ClientTalk
from finchladder.sim.draws import stream
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
from finchladder.sim.talk import Talk

if TYPE_CHECKING:
    from finchladder.sim.process import Process
    from finchladder.sim.run import Run
    from finchladder.sim.servers import Server

SLOWEST_TURN_S = 0.02  # of a sluggish process: far below the slack that the rules leave
MOST_DELAY_S = 0.012  # latency of a delayed link to the clients: it counts as the dispatcher's own time
MOST_HELD, MOST_BURST = 300, 25


class Who(NamedTuple):
    """Whom a moment is about; what is empty is drawn."""

    node: str = ""
    server: str = ""
    id: str = ""
    end: End | None = None


class Held(Talk):
    """A connection that is opened and kept, and on which nothing comes."""

    def message(self, m: Message) -> None:
        self.close()


class Operator(Talk):
    """Posts an order to a dispatcher."""

    def __init__(self, run: "Run", data: bytes) -> None:
        super().__init__(run.net, responses=True)
        self.data = data

    def made(self) -> None:
        self.say(self.data)

    def message(self, m: Message) -> None:
        self.close()


class Faults:
    def __init__(self, run: "Run") -> None:
        self.run = run
        self.limit = run.begin + run.plan.calm_at - SETTLE_S
        self.aimed: list[tuple[Fault, list[int]]] = []
        self.undo: dict[int, Callable[[], None]] = {}
        self.breaks: dict[tuple[str, str], tuple[int, float]] = {}  # how many, and how long after
        self.term_s = max(3.0, *(c.deadline_s for c in run.plan.experiment.job_class)) + 0.7
        self.struck = 0

    def begin(self) -> None:
        kernel = self.run.kernel
        for fault in self.run.plan.faults:
            at = self.run.begin + fault.at
            if fault.on is not None:
                self.aimed.append((fault, [fault.nth]))
            elif at < self.limit:
                kernel.at(at, lambda f=fault: self.strike(f, Who()))  # type: ignore[misc]
        kernel.at(self.limit, self.stop)

    def moment(self, name: Moment, who: Who) -> None:
        now = self.run.kernel.now
        if now >= self.limit:
            return
        for fault, left in self.aimed:
            if fault.on == name and self.run.begin + fault.at <= now and left[0] > 0:
                left[0] -= 1
                if not left[0]:
                    self.run.kernel.after(
                        fault.after_s,
                        lambda f=fault: self.strike(f, who),  # type: ignore[misc]
                    )

    def stop(self) -> None:
        """Faults are over: all that is broken is mended."""
        self.run.see("faults over")
        for number in list(self.undo):
            self._end(number)
        self.breaks.clear()
        for server in self.run.servers.values():
            server.model.set_error_rate(0.0)  # what the calm jobs ask for must be possible

    def _end(self, number: int) -> None:
        if (undo := self.undo.pop(number, None)) is not None:
            undo()

    def strike(self, f: Fault, who: Who) -> None:
        run = self.run
        if run.kernel.now >= self.limit or f.number in self.undo:
            return
        random = stream(run.plan.seed, "strike", f.number)
        if f.kind in OF_DISPATCHERS:
            name = f.target or who.node or random.choice(list(run.processes))
            self._tell(f, name)
            undo = self._dispatcher(f, run.processes[name], random)
        elif f.kind in OF_SERVERS:
            name = f.target or who.server or random.choice(list(run.servers))
            self._tell(f, name)
            undo = self._server(f, run.servers[name])
        elif f.kind in OF_LIST:
            name = f.target or who.node or random.choice(list(run.processes))
            self._tell(f, name)
            undo = self._list(f, name)
        elif f.kind in OF_LINKS:
            undo = self._link(f, who, random)
        elif f.kind == "blackout":
            self._tell(f, "all")
            undo = self._blackout()
        elif f.kind == "break_calls":
            node = who.node or random.choice(list(run.processes))
            server = who.server or random.choice(list(run.servers))
            self._tell(f, f"{server}>{node}")
            # before it arrives, on its arrival, after it, and with its answer under way or already there
            after = random.choice([0.0, 0.7, 1.7, 1.7, 2.5, 4.0]) * run.plan.world.latency_s
            self.breaks[server, node] = 1 + int(f.size * 10), after
            undo = None
        else:
            undo = self._client(f, who, random)
        if undo is not None:
            self.undo[f.number] = undo
            at = min(self.limit, run.kernel.now + f.for_s)
            run.kernel.at(at, lambda: self._end(f.number))

    def _tell(self, f: Fault, target: str) -> None:
        self.struck += 1
        self.run.step("fault", f.kind)
        self.run.see("fault", kind=f.kind, target=target, number=f.number)
        self.run.coverage.met(f.kind, target)

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
            p.wall_off = (f.size - 0.5) * 7200

            def right() -> None:
                p.wall_off = 0.0

            return right
        elif f.kind == "sluggish":
            pace = self.run.plan.world.pace_s
            p.sluggish = max(1.0, min(SLOWEST_TURN_S / pace, 1 + f.size * 400))

            def quick() -> None:
                p.sluggish = 1.0

            return quick
        return None

    def kill(self, p: "Process") -> None:
        run = self.run
        if p.state == "down":
            return
        run.struck("kill", p.name)
        run.kernel.after(0.1, lambda: run.struck("kill", p.name, "end"))
        p.go_on()
        p.kill()
        run.clients.front.died(run.kernel.now, p.name)

    def restart(self, p: "Process") -> None:
        if p.state == "down" and not self.run.ending:
            p.start()
            self.run.clients.watch(p.name, p.starts)

    def term(self, p: "Process") -> None:
        """SIGTERM, SIGKILL should it not have ended by then, and a new start once it has."""
        run, start = self.run, p.starts
        if p.state != "up":
            return
        delay = stream(run.plan.seed, "noticed", p.name, start).uniform(0.2, 0.4)
        run.clients.front.died(run.kernel.now, p.name, delay)

        def again() -> None:
            run.kernel.after(0.05, lambda: self.restart(p))

        p.on_exit = again
        run.see("term", node=p.name)
        p.signal(signal.SIGTERM)
        if not p.is_up:  # it came before the program could handle it
            p.on_exit()
            return
        run.moment("term", node=p.name)
        run.kernel.after(self.term_s, lambda: self._overdue(p, start))

    def _overdue(self, p: "Process", start: int) -> None:
        if p.starts == start and p.state == "leaving":
            run = self.run
            if not run.rules.ledger.stopped(p.name, p.left_at, run.kernel.now):
                run.found("left late", f"{p.name} runs {self.term_s:.1f} s after SIGTERM", node=p.name)
            run.struck("restart", p.name, "killed")
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

        def back() -> None:
            for s in servers:
                if not s.model.up:
                    s.come_back()
            for p in nodes:
                self.restart(p)

        return back

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
                s.model.set_speed(now, max(0.0, f.size - 0.5))  # 0: it stands still, and tells nothing
                s.played()

                def fast() -> None:
                    s.model.set_speed(self.run.kernel.now, 1.0)
                    s.played()

                return fast
            case "errors":
                s.model.set_error_rate(0.3 + 0.7 * f.size)
                return lambda: s.model.set_error_rate(None)
            case "swallow":
                s.swallow = 0.3 + 0.7 * f.size

                def answer() -> None:
                    s.swallow = 0.0

                return answer
            case "freeze":
                s.pause()
                return s.go_on
        return None

    # --- the list

    def _list(self, f: Fault, node: str) -> Callable[[], None] | None:
        run, registry = self.run, self.run.registry
        now = run.kernel.now
        match f.kind:
            case "list_silent":
                registry.model.silent(now, True, [node])

                def speak() -> None:
                    registry.model.silent(run.kernel.now, False, [node])
                    registry.played()

                return speak
            case "list_late":
                registry.model.behind(now, f.size * 2, [node])
                return lambda: registry.model.behind(run.kernel.now, 0.0, [node])
            case "list_gap":
                registry.model.vanish(now, max(0.3, f.size), min(f.for_s, self.limit - now))
                registry.played()
            case "list_break":
                registry.break_off(node, reset=f.size < 0.5)
            case "list_move":
                registry.move(node)
                run.kernel.after(0.01 + f.size * 0.2, lambda: run.processes[node].signal(signal.SIGHUP))
        return None

    # --- links and connections

    def _link(self, f: Fault, who: Who, random: Random) -> Callable[[], None] | None:
        run = self.run
        if f.target:
            a, _, b = f.target.partition("~")
        else:
            a = who.node or random.choice(list(run.processes))
            b = who.server
            if not b and who.end is not None:
                b = who.end.peer.host if who.end.host == a else who.end.host
            b = b or random.choice([*run.servers, "clients", "registry"])
        link = run.net.link(a, b)
        self._tell(f, link.name)
        for struck in [*run.net.links_of(a), *run.net.links_of(b)] if f.kind == "deaf" else [link]:
            struck.struck_at = self.limit  # until then it may not do what it should
        ends = list(link.ends)
        if not f.target and who.end is not None and who.end.pipe.link is link:
            ends = [who.end]
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
                most = MOST_DELAY_S / link.manners.latency_s if b == "clients" else 50.0
                link.slow = max(1.0, min(most, 1 + f.size * 200))

                def again() -> None:
                    link.slow = 1.0

                return again
            case "stall":
                return self._stall(f, ends)
        return None

    def _silence(self, f: Fault, link: Link, ends: list[End]) -> Callable[[], None]:
        """One way, both ways, or all of the link, connects included; it heals when it ends."""
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
            listener.deaf = True

        def hear() -> None:
            for listener in found:
                listener.deaf = False

        return hear

    def _stall(self, f: Fault, ends: list[End]) -> Callable[[], None]:
        """Peers read slowly."""
        talks = [e.handler for end in ends for e in (end, end.peer) if isinstance(e.handler, Talk)]
        for talk in talks:
            if isinstance(talk, ClientTalk) and talk.end is not None:
                talk.end.struck = True
            talk.stall(100 + f.size * 50_000)

        def read() -> None:
            for talk in talks:
                talk.resume()

        return read

    def call_back(self, server: str, node: str, end: End | None) -> None:
        """A call-back was written: its connection may break before it, after it, or after its answer."""
        count, after = self.breaks.get((server, node), (0, 0.0))
        if end is None or not count:
            return
        self.breaks[server, node] = count - 1, after
        self.run.kernel.after(after, lambda: self.run.net.cut(end, both=count % 3 > 0))

    # --- clients

    def _client(self, f: Fault, who: Who, random: Random) -> Callable[[], None] | None:
        run = self.run
        node = who.node or random.choice(list(run.processes))
        match f.kind:
            case "leave":
                id = who.id or (random.choice(list(run.clients.open)) if run.clients.open else "")
                self._tell(f, id)
                run.clients.leave(id)
            case "burst":
                self._tell(f, "clients")
                self._burst(f, random)
            case "rude":
                self._tell(f, node)
                for _ in range(1 + int(f.size * 4)):
                    run.clients.rude(random.getrandbits(32), node)
            case "hold":
                self._tell(f, node)
                return self._hold(f, node)
            case "drill":
                self._tell(f, node)
                self._drill(f, node, random)
        return None

    def _burst(self, f: Fault, random: Random) -> None:
        run = self.run
        for n in range(5 + int(f.size * MOST_BURST)):
            c = random.choice(run.plan.experiment.job_class)
            job = Job(
                number=1000 * (1 + f.number) + n,
                at=run.kernel.now - run.begin + random.uniform(0, 0.02),
                client=random.randrange(run.plan.world.clients),
                job_class=c.name,
                key=random.choice(["", "hot", f"b{n}"]),
                work_s=random.uniform(0.005, 0.05),
            )
            run.clients.wish(job)

    def _hold(self, f: Fault, node: str) -> Callable[[], None]:
        run = self.run
        held = [Held(run.net, responses=True) for _ in range(10 + int(f.size * MOST_HELD))]
        for talk in held:
            talk.connect("holder", "10.3.3.1", run.address_of(node))

        def close() -> None:
            for talk in held:
                talk.close()

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
