"""The discovery service of a run: the lab's model, with a separate address for each dispatcher."""

from math import inf
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import msgspec

from finchladder.lab.models.discovery import DiscoveryModel, Line, Member
from finchladder.lab.records import Told
from finchladder.lab.wire import CHUNKED_HEAD, Message, write_chunk, write_response
from finchladder.sim.draws import stream
from finchladder.sim.http_connection import HttpConnection
from finchladder.sim.network import End, Handler, Listener

if TYPE_CHECKING:
    from finchladder.sim.run import Run
    from finchladder.sim.servers import Server

HOST = "registry"
PATH = "/catalog/members"
MAX_DELIVERY_DELAY_S = 6.0  # a list update that does not arrive counts as received after this time
DELIVERY_POLL_S = 0.005


class Watcher(HttpConnection):
    def __init__(self, registry: "Registry", node: str, end: End) -> None:
        super().__init__(registry.run.net, responses=False)
        self.registry, self.node, self.end = registry, node, end
        self.start = registry.run.processes[node].starts
        self.asked: dict[int, None] = {}
        self.headed = False
        self.written_bytes = 0

    def on_message(self, m: Message) -> None:
        path, _, query = m.target.partition("?")
        wish = parse_qs(query)
        if m.method != "GET" or path != PATH or wish.get("stream") != ["1"] or self.asked:
            self.write(write_response(404))
            return
        index = wish.get("index", ["-1"])[0]
        registry = self.registry
        number = registry.model.watch(
            registry.run.kernel.now, self.node, int(index) if index.isdecimal() else -1
        )
        self.asked[number] = None
        registry.watchers[number] = self
        registry.run.trace_event("watch", node=self.node, index=index)
        registry.after_model_change()

    def line(self, line: Line) -> None:
        """Writes a line of the list; its states count as received now, or once they arrive."""
        run = self.registry.run
        data = (b"" if self.headed else CHUNKED_HEAD) + write_chunk(line.data)
        self.written_bytes += len(data)
        self.write(data)
        self.headed = True
        if line.data != b"\n":
            run.step("list", self.node)
            self.registry.remember(self.node, line.data)
            known = [told for told in line.told if told.server in run.servers]
            run.trace_event("listed", node=self.node, **{told.server: told.state for told in known})
            if self.passes:
                self.record_received(known)
            else:
                self.record_when_delivered(known, self.written_bytes, run.kernel.now)
            run.moment("list", end=self.end, node=self.node)

    @property
    def passes(self) -> bool:
        """Whether written data arrives without a fault's delay; valid only when an update is written."""
        if self.is_closed or self.end is None:
            return False
        pipe = self.end.pipe
        return not (pipe.silent or pipe.dropped or pipe.link.silent or self.out)

    def record_received(self, known: list[Told]) -> None:
        for told in known:
            told.at = self.registry.run.kernel.now
            self.registry.run.rules.put(told)

    def record_when_delivered(self, known: list[Told], end_offset: int, since: float) -> None:
        """Records states as received once they arrive, or late ones after a limit unless newer ones came."""
        run, end = self.registry.run, self.end
        assert end is not None
        if run.processes[self.node].starts != self.start:
            return
        over = self.is_closed or end.pipe.dropped or end.error != 0
        if not over and end.sent - end.pipe.under_way >= end_offset:
            self.record_received(known)
        elif run.kernel.now < since + MAX_DELIVERY_DELAY_S:
            run.kernel.after(DELIVERY_POLL_S, lambda: self.record_when_delivered(known, end_offset, since))
        else:
            told = run.rules.ledger.told
            self.record_received(
                [t for t in known if not any(x.at > since for x in told.get((self.node, t.server), ()))]
            )

    def on_lost(self, how: str) -> None:
        for number in self.asked:
            self.registry.model.unwatch(number)
            self.registry.watchers.pop(number, None)
        self.asked.clear()
        self.registry.open.pop(self, None)


class Registry:
    def __init__(self, run: "Run") -> None:
        self.run = run
        nodes = list(run.processes)
        self.model: DiscoveryModel = DiscoveryModel(
            run.plan.experiment.discovery, nodes, stream(run.plan.seed, "registry"), run.plan.world.wall
        )
        self.watchers: dict[int, Watcher] = {}
        self.open: dict[Watcher, None] = {}
        self.known: dict[str, dict[str, Any]] = {
            node: {} for node in nodes
        }  # entries as last sent, by dispatcher
        self.index = dict.fromkeys(nodes, 0)
        self.ports = dict.fromkeys(nodes, 9000)
        self.listeners: dict[str, Listener] = {}
        self.due = inf
        for node in nodes:
            self._listen(node)

    def describe(self, servers: "list[Server]") -> None:
        self.model.describe(Member(s.name, s.model.zone, s.pool.kind, s.group) for s in servers)
        self.model.addresses("", {s.name: s.address for s in servers})
        ghosts = [f"ghost{n:04d}" for n in range(self.run.plan.world.ghosts)]
        zone = self.run.plan.experiment.zones[0]
        self.model.describe(Member(name, zone, "ghost") for name in ghosts)
        for n, name in enumerate(ghosts):
            ip = f"10.9.{n // 250}.{n % 250}"
            self.run.net.hosts[ip] = name
            self.model.addresses("", {name: f"{ip}:1"})
        if ghosts:
            self.model.change(self.run.kernel.now, {name: ("draining", 0.0) for name in ghosts})

    def address(self, node: str) -> str:
        return f"10.2.0.{node[1:]}:{self.ports[node]}"

    def _listen(self, node: str) -> None:
        ip, _, port = self.address(node).partition(":")
        self.run.net.hosts[ip] = HOST
        self.listeners[node] = self.run.net.listen(HOST, (ip, int(port)), RegistryListener(self, node))

    def change(self, states: dict[str, tuple[Any, float]]) -> None:
        self.model.change(self.run.kernel.now, states)
        self.after_model_change()

    def remember(self, node: str, data: bytes) -> None:
        line = msgspec.json.decode(data)
        if line["snapshot"]:
            self.known[node].clear()
        for entry in line["endpoints"]:
            if entry["status"] == "gone":
                self.known[node].pop(entry["name"], None)
            else:
                self.known[node][entry["name"]] = entry
        self.index[node] = line["index"]

    def last_list(self, node: str) -> dict[str, Any]:
        endpoints = list(self.known[node].values())
        return {"index": self.index[node], "snapshot": True, "endpoints": endpoints}

    def move(self, node: str) -> None:
        """Moves to a new address. Open connections fall silent; the old address refuses new ones."""
        self.run.net.unlisten(self.listeners[node])
        self.ports[node] += 1
        self._listen(node)
        for watcher in [w for w in self.open if w.node == node]:
            for number in watcher.asked:
                self.model.unwatch(number)
                self.watchers.pop(number, None)
            watcher.asked.clear()

    def break_off(self, node: str, reset: bool) -> None:
        for watcher in [w for w in self.open if w.node == node]:
            watcher.on_lost("")
            if reset:
                watcher.reset()
            else:
                watcher.close()

    def after_model_change(self) -> None:
        for line in self.model.advance(self.run.kernel.now):
            if (watcher := self.watchers.get(line.watch)) is not None:
                watcher.line(line)
        if (due := self.model.next_due()) is not None and due < self.due:
            self.due = max(due, self.run.kernel.now)
            self.run.kernel.at(self.due, self._advance_model)

    def _advance_model(self) -> None:
        if self.run.kernel.now >= self.due:
            self.due = inf
            self.after_model_change()


class RegistryListener:
    def __init__(self, registry: Registry, node: str) -> None:
        self.registry, self.node = registry, node

    def connected(self, end: End) -> Handler | None:
        watcher = Watcher(self.registry, self.node, end)
        self.registry.open[watcher] = None
        return watcher
