"""Discovery on sockets: one listener for each dispatcher, so that it is known whom it told what, and when."""

import asyncio
import time
from typing import Any, cast
from urllib.parse import parse_qs

import msgspec

from finchladder.lab.control import Order, Word
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.drivers.sockets import Alarm, Listener, reset
from finchladder.lab.experiment import Fault, Span
from finchladder.lab.models.discovery import DiscoveryModel, Line, Member
from finchladder.lab.wire import CHUNKED_HEAD, Parser, WireError, write_chunk, write_response

MOST_UNREAD = 16 << 20  # bytes that a dispatcher has not read; beyond it its connection is reset
PATH = "/catalog/members"


class Watcher(asyncio.Protocol):
    """A connection of a dispatcher: it asks for the whole list, or watches from then on."""

    def __init__(self, registry: "Registry", dispatcher: str) -> None:
        self.registry, self.dispatcher = registry, dispatcher
        self.transport: asyncio.Transport | None = None
        self.parser = Parser(responses=False)
        self.asked: set[int] = set()  # what the model knows it by
        self.streams = self.headed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.registry.watchers.add(self)

    def data_received(self, data: bytes) -> None:
        try:
            whole = self.parser.feed(data)
        except WireError:
            self.close()
            return
        for message in whole:
            path, _, query = message.target.partition("?")
            if message.method != "GET" or path != PATH or self.streams:
                self.write(write_response(404))
                continue
            wish = parse_qs(query)
            model, now = self.registry.model, time.monotonic()
            if wish.get("stream") == ["1"]:
                index = wish.get("index", ["-1"])[0]
                self.streams = True
                asked = model.watch(now, self.dispatcher, int(index) if index.isdecimal() else -1)
            else:
                asked = model.ask(now, self.dispatcher)
            self.asked.add(asked)
            self.registry.asked[asked] = self
        self.registry.played(time.monotonic())

    def line(self, line: Line) -> None:
        """What is written here counts as told from now on."""
        if self.transport is None or self.transport.is_closing():
            return
        if line.last:
            self.write(write_response(200, line.data, {"Content-Type": "application/json"}))
        else:
            self.write((b"" if self.headed else CHUNKED_HEAD) + write_chunk(line.data))
            self.headed = True
        now = time.monotonic()
        for told in line.told:
            told.at = now
            self.registry.process.put(told)
        self.registry.process.count(max(1, len(line.told)))
        if self.transport.get_write_buffer_size() > MOST_UNREAD:
            reset(self.transport)

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def forget(self) -> None:
        """Nothing more is written here, though the connection may stand."""
        for asked in self.asked:
            self.registry.model.unwatch(asked)
            self.registry.asked.pop(asked, None)
        self.asked.clear()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.forget()
        self.registry.watchers.discard(self)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class Registry(Role):
    """Orders: `addresses`, `states`, and `fault` for the kinds that strike the list.

    Targets of a fault are names of dispatchers; none: all. discovery_stale: what is told from now on comes
    `size` seconds later. vanish: the entries are back after `for_s`, or a second where that is 0.
    discovery_move: new listeners, told by the word `moved`; the old ones refuse, their connections stand.
    """

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        plan = process.plan
        names = [name for name in plan.dispatchers if ">" not in name]
        self.model = DiscoveryModel(plan.experiment.discovery, names, process.rng, plan.wall)
        pools = plan.experiment.pool
        self.model.describe(
            Member(
                s.name,
                s.zone,
                pools[s.pool].kind,
                s.group,
                weight=1.0 if plan.experiment.discovery.weights == "off" else pools[s.pool].weight,
            )
            for s in plan.servers
        )
        self.alarm = Alarm(process.loop)
        self.due = float("inf")
        self.watchers: set[Watcher] = set()
        self.asked: dict[int, Watcher] = {}
        self.listeners = {name: self._listener(name) for name in names}

    def _listener(self, name: str) -> Listener:
        return Listener(self.process.loop, self.process.plan.host, lambda: Watcher(self, name))

    async def open(self) -> dict[str, str]:
        for listener in self.listeners.values():
            listener.open()
        return {name: listener.address for name, listener in self.listeners.items()}

    def order(self, order: Order) -> None:
        now = time.monotonic()
        if order.what == "addresses":
            for dispatcher, addresses in order.data.items():
                self.model.addresses(dispatcher, addresses)
        elif order.what == "states":
            self.model.change(now, {name: (state, born) for name, (state, born) in order.data.items()})
        elif order.what == "loads":
            self.model.weigh(now, order.data)
        elif order.what == "fault":
            self._fault(now, order.data)
        self.played(now)

    def _fault(self, now: float, data: dict[str, Any]) -> None:
        fault = msgspec.convert({k: v for k, v in data.items() if k not in ("targets", "end")}, Fault)
        names, end = data.get("targets") or None, bool(data.get("end"))
        match fault.kind:
            case "discovery_down":
                self.model.silent(now, not end, names)
            case "discovery_stale":
                self.model.behind(now, 0.0 if end else self._drawn(fault.size), names)
            case "vanish" if not end:
                share = self._drawn(fault.share) or 1 / max(1, len(self.model.members))
                self.model.vanish(now, share, self._drawn(fault.for_s) or 1.0)
            case "discovery_move" if not end:
                self._move(names or list(self.listeners))
            case "vanish" | "discovery_move":
                pass  # over by themselves
            case _:
                raise ValueError(f"no fault of the list: {fault.kind}")

    def _drawn(self, span: Span) -> float:
        return span if isinstance(span, float | int) else self.process.rng.uniform(*span)

    def _move(self, names: list[str]) -> None:
        for name in names:
            old, new = self.listeners[name], self._listener(name)
            new.open()
            old.close()
            self.listeners[name] = new
        for watcher in list(self.watchers):
            if watcher.dispatcher in names:
                watcher.forget()
        self.process.say(Word("moved", data={name: self.listeners[name].address for name in names}))

    def ring(self, now: float) -> None:
        if now >= self.due:
            self.due = float("inf")
            self.played(now)

    def played(self, now: float) -> None:
        """Writes what the model has to say; to be called after every call of it."""
        for line in self.model.advance(now):
            if (watcher := self.asked.get(line.watch)) is not None:
                watcher.line(line)
                if line.last:
                    del self.asked[line.watch]
                    watcher.asked.discard(line.watch)
        if (due := self.model.next_due()) is not None and due < self.due:
            self.due = due
            self.alarm.at(due, self.ring)

    def close(self) -> None:
        self.alarm.close()
        for listener in self.listeners.values():
            listener.close()
        for watcher in list(self.watchers):
            watcher.close()
