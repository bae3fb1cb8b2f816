"""Simulates the etcd client against the stand-in: bytes travel without sockets, in virtual time."""

import json
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from finchladder.core import api
from finchladder.core.membership.decisions import Report
from finchladder.lab.etcd.cluster import Cluster, Member
from finchladder.lab.etcd.session import Session
from finchladder.lab.etcd.store import Delete, Keys, Put, Refused
from finchladder.lab.wire import Message
from finchladder.net import http1
from finchladder.net.etcd import messages, state
from finchladder.net.etcd.messages import ResponseReader
from finchladder.net.etcd.state import CallFailed as Turned
from finchladder.net.etcd.state import (
    Check,
    CheckResult,
    Close,
    EndpointFailed,
    Failure,
    Follower,
    ListPage,
    Log,
    Open,
    Opened,
    Probe,
    ProbeResult,
    ReadPage,
    ReportList,
    SetTimer,
    StartWatch,
    TimerExpired,
    WatchMessage,
)

PREFIX, HOP_S = "/f", 0.001


def entry(name: str, status: str = "ready", **more: Any) -> bytes:
    return json.dumps({"name": name, "address": "127.0.0.1:80", "status": status} | more).encode()


class Connection:
    """A connection to a member of the stand-in, whose bytes it parses into responses."""

    def __init__(self, simulation: "Simulation", member: Member, lines: bool) -> None:
        self.simulation, self.member = simulation, member
        self.parser = http1.server_parser()
        self.parser.limit = lambda head: 1 << 30
        self.reader, self.lines = ResponseReader(lines), lines
        self.session = Session(member, lambda: simulation.now, self.written, lambda reset: None)
        self.open = True
        self.asks: ReadPage | Probe | Check = Probe()
        self.found: list[messages.Response] = []

    def ask(self, path: str, body: bytes) -> None:
        headers = {"authorization": self.simulation.token}
        message = Message(headers, body, True, method="POST", target=f"/v3/{path}")
        self.simulation.later(HOP_S, lambda: self.session.message(message))

    def written(self, data: bytes) -> None:
        if self.member.stalled:
            self.simulation.held.append((self, data))
        elif self.open:
            self.simulation.later(HOP_S, lambda: self.arrived(data))

    def arrived(self, data: bytes) -> None:
        if not self.open:
            return
        self.parser.feed(data)
        while self.open and (self.parser.head or self.parser.take_head()):
            body = self.parser.body
            self.found += self.reader.feed(self.parser.take_piece())
            over = body is None or body.is_complete
            if over:
                self.parser.head = self.parser.body = None
                if not self.lines:
                    self.found = self.found or [self.reader.end()]
                    self.reader = ResponseReader(False)
            found, self.found = (self.found, []) if over or self.lines else ([], self.found)
            for answer in found:
                if self.open:
                    self.simulation.answered(self, answer)
            if not over:
                return
            if self.lines and self.open:
                self.simulation.happens(EndpointFailed(Failure.LOST, "ended the watch"))


class Simulation:
    def __init__(self, cluster: Cluster, seed: int = 1, user: bool = False) -> None:
        self.cluster, self.now, self.user, self.token = cluster, 0.0, user, ""
        self.follower = Follower(PREFIX, [m.name for m in cluster.members], Random(seed))
        self.agenda: list[tuple[float, int, Any]] = []
        self.counter = count()
        self.calls: Connection | None = None
        self.watch: Connection | None = None
        self.held: list[tuple[Connection, bytes]] = []
        self.timer = self.round = 0
        self.waits: dict[Connection, int] = {}  # the round in which each connection sent its last request
        self.reports: list[Report] = []
        self.log: list[str] = []
        self.workers: dict[str, api.WorkerEntry] = {}
        for member in cluster.members:
            member.changed, member.struck = self._changed, self._struck
        self.happens(TimerExpired())

    # --- time

    def later(self, seconds: float, call: Any) -> None:
        heappush(self.agenda, (self.now + seconds, next(self.counter), call))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.agenda and self.agenda[0][0] <= until:
            due, _, call = heappop(self.agenda)
            self.now = max(self.now, due)
            self.cluster.advance(self.now)
            call()
        self.now = until
        self.cluster.advance(until)

    def _changed(self) -> None:
        for line in self.lines():
            line.session.go_on()

    def _struck(self) -> None:
        for line in self.lines():
            if line.member.cut:
                self.close()
                self.happens(EndpointFailed(Failure.LOST, "reset"))
                break
        held, self.held = self.held, []
        for line, data in held:
            line.written(data)

    def lines(self) -> list[Connection]:
        return [line for line in (self.calls, self.watch) if line is not None and line.open]

    # --- what EtcdActor does in the program

    def happens(self, event: state.Event) -> None:
        self.round += 1
        for action in self.follower.handle(self.now, event):
            self.carry_out(action)

    def close(self, watch_alone: bool = False) -> None:
        for line in [self.watch] if watch_alone else [self.calls, self.watch]:
            if line is not None:
                line.open = False
        self.timer = -1

    def carry_out(self, action: state.Action) -> None:
        member = self.cluster.members[self.follower.current]
        match action:
            case ReportList(report):
                if report.workers.kind is api.ListKind.FULL:
                    self.workers = {}
                elif self.reports:
                    assert report.version > self.reports[-1].version, (
                        "reported a version again, or an older one"
                    )
                self.reports.append(report)
                for e in report.workers.entries:
                    self.workers[e.worker] = e
            case SetTimer(seconds):
                timer = self.timer = self.round
                self.later(seconds, lambda: self.happens(TimerExpired()) if self.timer == timer else None)
            case Log(_, text):
                self.log.append(text)
            case Open():
                self.close()
                self.later(HOP_S, lambda: self.opened(member))
            case Close():
                self.close()
            case ReadPage(after, revision):
                self.close(watch_alone=True)
                self.asked(action, messages.list_page(b"/f/", after, revision, 3))
            case Probe():
                self.asked(action, messages.get(b"/f/"))
            case Check(revision, than):
                self.asked(action, messages.newer_than(b"/f/", revision, than))
            case StartWatch(start):
                self.watch = Connection(self, member, lines=True)
                self.watch.ask("watch", messages.watch(b"/f/", start))
                self.patience(self.watch)

    def opened(self, member: Member) -> None:
        if member.cut:
            return self.happens(EndpointFailed(Failure.LOST, "refused"))
        self.calls = Connection(self, member, lines=False)
        if self.user:
            try:
                self.token = self.cluster.auth.authenticate(self.now, "u", "p")
            except Refused as e:
                return self.happens(EndpointFailed(Failure.REFUSED, str(e)))
        self.happens(Opened())

    def asked(self, action: Any, body: bytes) -> None:
        assert self.calls is not None
        self.calls.asks = action
        self.calls.ask("kv/range", body)
        self.patience(self.calls)

    def patience(self, line: Connection) -> None:
        round = self.round

        def over() -> None:
            if line.open and self.waits.get(line) == round:
                self.close()
                self.happens(EndpointFailed(Failure.SILENT, "no answer"))

        self.waits[line] = round
        pulse = not line.lines and not isinstance(line.asks, ReadPage)
        self.later(state.PROBE_TIMEOUT_S if pulse else state.RESPONSE_TIMEOUT_S, over)

    def answered(self, line: Connection, answer: messages.Response) -> None:
        self.waits.pop(line, None)
        if line.lines:
            return self.happens(WatchMessage(answer))
        if answer.error is not None:
            if answer.error.is_token_error and self.user:
                self.token = self.cluster.auth.authenticate(self.now, "u", "p")
                return self.carry_out(line.asks)
            return self.happens(Turned(answer.error))
        if isinstance(line.asks, ReadPage):
            return self.happens(ListPage(answer))
        self.happens(ProbeResult(answer.header) if isinstance(line.asks, Probe) else CheckResult(answer))

    # --- used by tests

    def put(self, key: str, value: bytes = b"") -> None:
        self.cluster.store.txn(Put(f"{PREFIX}/{key}".encode(), value))
        self.cluster.written()

    def delete(self, key: str) -> None:
        self.cluster.store.txn(Delete(Keys(f"{PREFIX}/{key}".encode())))
        self.cluster.written()

    def states(self) -> dict[str, str]:
        return {n: e.state.value for n, e in self.workers.items() if e.state is not api.WorkerStatus.REMOVED}

    def truth(self) -> dict[str, str]:
        found: dict[str, str] = {}
        for key, past in sorted(self.cluster.store.past.items(), reverse=True):  # members before drains
            _, top, kind, name, *_ = f"{key.decode()}//".split("/")
            if past[-1].version and top == "f":
                found[name] = json.loads(past[-1].value)["status"] if kind == "members" else "draining"
        return found
