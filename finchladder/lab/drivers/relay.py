"""The network between the parties: each link is a listener whose connections are passed on to one address.

A connection has two ways, up (from whom connected) and down. What comes in on a way waits there for its
latency, in order, then leaves by segments. A way can be held (bytes wait) or swallow what comes. Latencies
below half a millisecond are passed on at once: the relay's own hop costs about as much.

A connection through a relay is accepted before the address behind it is asked, so one that is refused there
would look like a reset. Hence an upstream that has refused is remembered: its links are closed, so that they
refuse too, and it is tried again until it accepts.
"""

import asyncio
import random
import socket
import time
from collections import deque
from typing import Any, cast

import httptools
import msgspec

from finchladder.lab.control import Order, Word
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.drivers.sockets import ROUND_S, Alarm, Listener, reset, split
from finchladder.lab.experiment import Fault, Network
from finchladder.lab.records import Struck

MOST_HELD = 256 * 1024  # bytes that wait on one way; beyond it its source is not read
ANSWER_WAIT_S = 0.2  # reset_after strikes when the answer begins, at the latest after this
TRY_AGAIN_S = 0.1  # after an upstream has refused; doubled up to:
TRY_AGAIN_MOST_S = 0.5
ONCE_S = 1.0  # a fault that strikes once is over so long after its strike: by then who was struck knows
CROSSED_S = 0.002  # until the reset has come that answers bytes to a closed connection
CONNECT_S = 10.0  # an upstream that does not come up within this is reset
LINK_FAULTS = ("cut", "reset_before", "reset_after", "black_hole", "half_open", "refuse")
_EOF, _RESET = b"eof", b"reset"  # known by identity: the ends of a way, in order behind its bytes


class LinkPlan(msgspec.Struct, rename={"source": "from", "sink": "to"}):
    """A link to open: `source` and `sink` are zones, `address` is host:port of whom it leads to."""

    name: str
    source: str
    sink: str
    address: str


class _Requests:
    """Counts whole requests in a stream of bytes, without reading them."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.whole, self.usable = 0, True

    def on_message_complete(self) -> None:
        self.whole += 1

    def feed(self, data: bytes) -> bool:
        """Whether a request ends in `data`. A stream that is no HTTP is never looked at again."""
        if not self.usable:
            return False
        before = self.whole
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.usable = False
        return self.whole > before


class Way:
    """One direction of a connection: what has come from `source` and has not left at `sink`."""

    def __init__(self, pair: "Pair") -> None:
        self.pair = pair
        self.source = Side(self)
        self.sink: Side  # set by the pair: the other way's source
        self.queue: deque[tuple[float, bytes]] = deque()
        self.size = 0
        self.opened = 0.0  # what comes earlier had to wait for the handshake
        self.last = 0.0  # nothing leaves before
        self.held = self.swallows = self.pumping = self.full = False
        self.passed = False  # its end has left, too

    def come(self, data: bytes) -> None:
        if self.swallows:
            return
        now = time.monotonic()
        self.last = max(self.last, max(now, self.opened) + self.pair.link.latency())
        self.queue.append((self.last, data))
        self.size += len(data)
        if self.size > MOST_HELD and not self.full:
            self.full = True
            self.source.pause()
        if len(self.queue) == 1:
            self.pump(now)

    def pump(self, now: float) -> None:
        """Lets leave what is due. Called when something came, is due, or may go on."""
        if self.pumping:
            return
        while self.queue and not self.held and self.sink.ready:
            due, data = self.queue[0]
            if due > now + ROUND_S:
                self.pumping = True
                self.pair.relay.alarm.at(due, self._again)
                return
            if data is _EOF:
                self.queue.popleft()
                self.passed = True
                self.pair.pass_end(self)
                continue
            if data is _RESET:
                self.pair.reset()
                return
            segment = self.pair.relay.network.segment
            if 0 < segment < len(data):
                self.queue[0] = (due, data[segment:])
                data = data[:segment]
            else:
                self.queue.popleft()
            self.size -= len(data)
            self.sink.write(data)
            if segment and self.queue:
                self.pumping = True
                self.pair.relay.process.loop.call_soon(self._again, now)  # a segment a turn of the loop
                return
        if self.full and self.size <= MOST_HELD // 2:
            self.full = False
            self.source.resume()

    def _again(self, now: float) -> None:
        self.pumping = False
        self.pump(now)


class Side(asyncio.Protocol):
    """One of the two sockets of a connection."""

    def __init__(self, way: Way) -> None:
        self.way = way  # the one that it feeds
        self.transport: asyncio.Transport | None = None
        self.ready = False  # it can be written to
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, self.ready = cast(asyncio.Transport, transport), True
        self.way.pair.made(self)

    def data_received(self, data: bytes) -> None:
        self.way.pair.came(self.way, data)

    def eof_received(self) -> bool:
        self.ended = True
        self.way.pair.ended(self.way)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.transport, self.ready = None, False
        self.way.pair.lost(self, error)

    def pause_writing(self) -> None:
        self.ready = False

    def resume_writing(self) -> None:
        self.ready = True
        self.way.pair.other(self.way).pump(time.monotonic())

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)
            if self.ended:
                self.way.pair.relay.alarm.at(time.monotonic() + CROSSED_S, self._crossed)

    def _crossed(self, now: float) -> None:
        """Bytes went to a side that had ended. Where it had closed they are reset, which nobody reads."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.way.come(_RESET)

    def end(self) -> None:
        """The other side has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def pause(self) -> None:
        if self.transport is not None:
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None:
            self.transport.resume_reading()


class Pair:
    """A connection through a link."""

    def __init__(self, link: "Link") -> None:
        self.link, self.relay = link, link.relay
        self.relay.number += 1
        self.number = self.relay.number
        self.up, self.down = Way(self), Way(self)
        self.up.sink, self.down.sink = self.down.source, self.up.source
        self.requests = _Requests()
        self.doomed = False  # the answer must not pass: reset_after
        self.over = False
        link.pairs.add(self)

    def other(self, way: Way) -> Way:
        return self.down if way is self.up else self.up

    def made(self, side: Side) -> None:
        if side is self.up.source:
            # its peer took it for open at once: the handshake's way and back is caught up for here
            self.up.opened = time.monotonic() + 2 * self.link.latency()
            for fault in self.link.faults:
                fault.begin_pair(self)
            self.relay.process.spawn(self.link.upstream.connect(self))
        else:
            self.up.pump(time.monotonic())

    def came(self, way: Way, data: bytes) -> None:
        self.relay.process.count()
        if way is self.down:
            if self.doomed:
                self.strike("reset_after", "as the answer began")
                self.reset()
            else:
                way.come(data)
            return
        if not self.requests.feed(data):
            way.come(data)
        elif self.link.struck("reset_before"):
            self.strike("reset_before", f"request {self.requests.whole} without its last byte")
            if len(data) > 1:
                way.come(data[:-1])
            way.come(_RESET)
        else:
            way.come(data)
            if self.link.struck("reset_after"):
                self.doomed = True
                self.relay.alarm.at(time.monotonic() + ANSWER_WAIT_S, self._no_answer)

    def _no_answer(self, now: float) -> None:
        if not self.over:
            self.strike("reset_after", "while no answer came")
            self.reset()

    def ended(self, way: Way) -> None:
        if way is self.down and not self.up.source.ended:
            self.link.upstream.suspect()
        way.come(_EOF)

    def pass_end(self, way: Way) -> None:
        way.sink.end()
        if self.up.passed and self.down.passed:
            self.finish()
            self.up.source.close()
            self.down.source.close()

    def lost(self, side: Side, error: Exception | None) -> None:
        if self.over:
            return
        if self.up.source.transport is None and self.down.source.transport is None:
            self.finish()
            return
        if side is self.down.source and error is not None:
            self.link.upstream.suspect()
        if not side.way.swallows:  # else whoever waits at the other end hears nothing of it
            side.way.come(_RESET)

    def strike(self, kind: str, detail: str) -> None:
        text = f"connection {self.number}: {detail}"
        self.relay.process.put(Struck(time.monotonic(), kind, self.link.plan.name, text))

    def reset(self) -> None:
        self.finish()
        reset(self.up.source.transport)
        reset(self.down.source.transport)

    def finish(self) -> None:
        self.over = True
        self.link.pairs.discard(self)
        for way in (self.up, self.down):
            way.queue.clear()


class LinkFault:
    """A fault that holds on some links from its begin to its end. `size` is the share that it strikes."""

    def __init__(self, fault: Fault, rng: random.Random) -> None:
        self.fault, self.kind, self.rng = fault, fault.kind, rng
        size = fault.size if isinstance(fault.size, float | int) else rng.uniform(*fault.size)
        self.share = min(1.0, size)
        self.once = self.kind in ("reset_before", "reset_after") and fault.for_s in (0, (0, 0))
        self.strikes = 0

    def hits(self) -> bool:
        """Draws for one request or connection. Resets without a duration strike the first of a link."""
        if (self.once and self.strikes) or self.rng.random() >= self.share:
            return False
        self.strikes += 1
        return True

    def begin_pair(self, pair: Pair) -> None:
        """Of each connection that is there when it begins, and of each that comes later."""
        if self.kind == "cut":
            ways = [pair.up, pair.down]
        elif self.kind not in ("black_hole", "half_open") or not self.hits():
            return
        elif self.kind == "black_hole":
            ways = [pair.up, pair.down]
        else:
            ways = [self.rng.choice((pair.up, pair.down))]
        for way in ways:
            way.held = self.kind == "cut"
            way.swallows = self.kind != "cut"
        silent = "both ways" if len(ways) == 2 else "up" if ways[0] is pair.up else "down"
        pair.strike(self.kind, silent)

    def end_pair(self, pair: Pair) -> None:
        """Held bytes go on or the connection is reset, as drawn; where bytes were lost it is always reset."""
        struck = [way for way in (pair.up, pair.down) if way.held or way.swallows]
        if not struck or self.kind not in ("cut", "black_hole", "half_open"):
            return
        if struck[0].swallows or self.rng.random() < 0.5:
            pair.strike(self.kind, "ended by reset")
            pair.reset()
            return
        pair.strike(self.kind, "goes on")
        for way in struck:
            way.held = False
            way.pump(time.monotonic())


class Upstream:
    """An address that links lead to, and whether it accepted when last tried."""

    def __init__(self, relay: "Relay", address: str) -> None:
        self.relay, self.address = relay, address
        self.links: set[Link] = set()
        self.refuses = self.trying = False

    async def connect(self, pair: Pair) -> None:
        try:
            loop = self.relay.process.loop
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: pair.down.source, *split(self.address))
        except ConnectionRefusedError:
            self.refused()
            pair.reset()
        except OSError:
            pair.reset()
        if pair.over:  # struck while it was made
            reset(pair.down.source.transport)

    def suspect(self) -> None:
        """A connection to it has broken: its process may have died."""
        if not self.trying:
            self.trying = True
            self.relay.process.spawn(self._try())

    def refused(self) -> None:
        if not self.refuses:
            self.refuses = True
            for link in self.links:
                link.set_open()
        self.suspect()

    async def _try(self) -> None:
        wait_s = TRY_AGAIN_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_S):
                    probe, _ = await self.relay.process.loop.create_connection(
                        asyncio.Protocol, *split(self.address)
                    )
                probe.close()
                break
            except ConnectionRefusedError:
                self.refuses = True
                for link in self.links:
                    link.set_open()
            except OSError:
                break
            await asyncio.sleep(wait_s)
            wait_s = min(TRY_AGAIN_MOST_S, 2 * wait_s)
        self.trying = self.refuses = False
        for link in self.links:
            link.set_open()


class Link:
    def __init__(self, relay: "Relay", plan: LinkPlan) -> None:
        self.relay, self.plan = relay, plan
        network = relay.network
        self.mean = network.same_zone_s if plan.source == plan.sink else network.cross_zone_s
        if plan.name.startswith("clients>") and network.client_s is not None:
            self.mean = network.client_s
        self.pairs: set[Pair] = set()
        self.faults: list[LinkFault] = []
        self.listener = Listener(relay.process.loop, relay.process.plan.host, lambda: Pair(self).up.source)
        self.lead_to(plan)
        self.listener.open()

    def lead_to(self, plan: LinkPlan) -> None:
        self.plan = plan
        self.upstream = self.relay.upstream(plan.address)
        self.upstream.links.add(self)

    def latency(self) -> float:
        """Seconds, drawn for one piece of one way; 0 where it is less than the relay's own hop."""
        if self.mean < ROUND_S:
            return 0.0
        return self.mean * (1 + self.relay.network.jitter * (2 * self.relay.rng.random() - 1))

    def struck(self, kind: str) -> bool:
        """Whether a request that passes now is struck."""
        for fault in self.faults:
            if fault.kind == kind and fault.hits():
                if fault.once:
                    self._over_soon(fault)
                return True
        return False

    def _over_soon(self, fault: LinkFault) -> None:
        self.relay.alarm.at(time.monotonic() + ONCE_S, lambda _: self.end(fault))

    def begin(self, fault: LinkFault) -> None:
        self.faults.append(fault)
        self.relay.process.put(Struck(time.monotonic(), fault.kind, self.plan.name))
        for pair in list(self.pairs):
            fault.begin_pair(pair)
        self.set_open()

    def end(self, fault: LinkFault) -> None:
        if fault in self.faults:
            self.faults.remove(fault)
            self.relay.process.put(Struck(time.monotonic(), fault.kind, self.plan.name, "end"))
            for pair in list(self.pairs):
                fault.end_pair(pair)
            self.set_open()

    def set_open(self) -> None:
        """Refuses, stays deaf or hears, by its faults and its upstream."""
        kinds = {f.kind for f in self.faults}
        if "refuse" in kinds or self.upstream.refuses:
            self.listener.close()
            return
        self.listener.open()
        if "cut" in kinds or any(f.kind == "black_hole" and f.share >= 1.0 for f in self.faults):
            self.listener.deafen()
        else:
            self.listener.hear()

    def close(self) -> None:
        self.listener.close()
        for pair in list(self.pairs):
            pair.reset()


class Relay(Role):
    """Orders: `links`, and `fault` for the kinds that strike links."""

    def __init__(self, process: Process) -> None:
        super().__init__(process)
        self.network: Network = process.plan.experiment.network
        self.rng = process.rng
        self.alarm = Alarm(process.loop)
        self.links: dict[str, Link] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.faults: dict[bytes, list[tuple[Link, LinkFault]]] = {}  # that hold, by their order's data
        self.number = 0

    async def open(self) -> dict[str, str]:
        return {}

    def upstream(self, address: str) -> Upstream:
        return self.upstreams.setdefault(address, Upstream(self, address))

    def order(self, order: Order) -> None:
        if order.what == "links":
            plans = msgspec.convert(order.data, list[LinkPlan])
            for plan in plans:
                if plan.name in self.links:
                    self.links[plan.name].lead_to(plan)
                else:
                    self.links[plan.name] = Link(self, plan)
            opened = {plan.name: self.links[plan.name].listener.address for plan in plans}
            self.process.say(Word("ready", data=opened))
        elif order.what == "fault":
            self.fault(order.data)

    def fault(self, data: dict[str, Any]) -> None:
        fault = msgspec.convert({k: v for k, v in data.items() if k not in ("targets", "end")}, Fault)
        if fault.kind not in LINK_FAULTS:
            raise ValueError(f"no fault of a link: {fault.kind}")
        targets = set(data.get("targets") or ())
        key = msgspec.json.encode((fault, sorted(targets)))
        if data.get("end"):
            for link, begun in self.faults.pop(key, ()):
                if not begun.once:
                    link.end(begun)
            return
        struck = [link for link in self.links.values() if self._meant(link, fault, targets)]
        self.faults[key] = [(link, LinkFault(fault, self.rng)) for link in struck]
        for link, begun in self.faults[key]:
            link.begin(begun)

    @staticmethod
    def _meant(link: Link, fault: Fault, targets: set[str]) -> bool:
        if fault.between is not None:
            return {link.plan.source, link.plan.sink} == set(fault.between)
        return not targets or link.plan.name in targets

    def close(self) -> None:
        self.alarm.close()
        for link in self.links.values():
            link.close()
