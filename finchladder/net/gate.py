"""The gate in front of the parser: while the loop can't keep up, messages wait unread until they are let in.

`core/overload.py` decides; this looks at sockets for it. A connection that waits for its next message is left
out of the loop once something can be read, with its first bytes looked at and left where they are. Then it is
read as usual, or turned away on the raw socket, which costs a tenth of reading, parsing and answering. What
is no job (call-backs end what was sent) is never kept waiting.
"""

import asyncio
import re
import socket
import time
from collections.abc import Callable, Iterable

from loguru import logger
from tornado.ioloop import IOLoop

from finchladder.core.api import JobClass
from finchladder.core.lag import LagMeter
from finchladder.core.overload import TICK_S, Overload, OverloadSettings, Refusal, State
from finchladder.net.edge import EdgeConnection
from finchladder.net.timers import Timers

ROOM = 2 / 3  # part of the edge connections that may wait unread
HELD = 1 / 3  # part of them that is kept unread for a while after a refusal; more are read at once
LOOK = 4096  # bytes looked at; a message that is longer is read, never turned away raw
AT_ONCE = 64  # turns of the gate in one turn of the loop
SAID_AGAIN = 10.0  # seconds between two lines of the log about the same

_JOB = re.compile(rb"POST /([^/? ]*)[/? ]")
_LEFT = re.compile(rb"\r\nx-time-left:[ \t]*([0-9]{1,6}(?:\.[0-9]{0,9})?)[ \t]*\r\n", re.IGNORECASE)
_LENGTH = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,6})[ \t]*\r\n", re.IGNORECASE)
_LENGTHS = re.compile(rb"\r\n(?:content-length|transfer-encoding|expect|connection)[ \t]*:", re.IGNORECASE)


def job_in(seen: bytes) -> tuple[str, float | None] | None:
    """The class, and the seconds that the client will wait where they are said; None: it begins as no job."""
    if (m := _JOB.match(seen)) is None:
        return None
    left = _LEFT.search(seen)
    return m[1].decode("latin-1"), float(left[1]) if left is not None else None


def is_one_job(seen: bytes) -> bool:
    """Whether it is one whole message with a plain frame, and nothing after it: all else is the parser's."""
    end = seen.find(b"\r\n\r\n")
    if end < 0 or len(frames := _LENGTHS.findall(seen, 0, end + 2)) > 1:
        return False
    length = _LENGTH.search(seen, 0, end + 2)
    if frames and length is None:
        return False
    return len(seen) == end + 4 + (int(length[1]) if length is not None else 0)


def refusal_bytes(refusal: Refusal) -> bytes:
    after = b"Retry-After: %.3g\r\n" % refusal.retry_after_s if refusal.retry_after_s > 0 else b""
    return b"HTTP/1.1 503 Service Unavailable\r\n%bContent-Length: 8\r\n\r\nrefused\n" % after


class Gate:
    def __init__(
        self, classes: Iterable[JobClass], settings: OverloadSettings, seed: int, most_edges: int,
        timers: Timers, cores: float, cpu: Callable[[], float] = time.process_time,
    ) -> None:  # fmt: skip
        self.timers, self.clock, self.cpu = timers, timers.clock, cpu
        known = tuple(classes)
        self.names = {c.name for c in known}
        self.control: Overload[EdgeConnection] = Overload(known, settings, seed, int(ROOM * most_edges))
        self.meter = LagMeter(self.clock(), cpu(), TICK_S, cores)
        self.most_held = int(HELD * most_edges)
        self.waits: dict[EdgeConnection, str] = {}  # unread, with their class
        self.held: dict[EdgeConnection, None] = {}  # after a refusal: not looked at for a while
        self.opened = False  # for good: the dispatcher leaves
        self.draining = False
        self.asked_again = False
        self.said_at = 0.0
        # the listening socket is left alone while there is no room: set by whoever owns it
        self.accept: Callable[[bool], None] = lambda on: None
        self.accepts = True

    def start(self) -> None:
        IOLoop.current().call_later(TICK_S, self._tick)

    def judge(self, job_class: str, left_s: float) -> Refusal | None:
        """Of each job whose head was read, before there is a flow. None: it is let in."""
        if self.opened:
            return None
        return self.control.judge(self.clock(), job_class, left_s)

    def hold(self, edge: EdgeConnection, refusal: Refusal) -> None:
        """A client that was refused and asks again at once is not read before its time has come."""
        if self.opened or len(self.held) >= self.most_held or edge.channel.stream.closed():
            return
        self.held[edge] = None
        self.timers.put((self, edge), self.clock() + refusal.hold_s, lambda: self._let_go(edge))

    def passes(self, edge: EdgeConnection) -> bool:
        """Whether what can be read of a connection that waits for a message is to be read now."""
        if edge in self.held:
            return False
        if edge.let_in or self.opened or not self.control.gated or self.control.full:
            return True
        if edge in self.waits:
            return False
        try:
            seen = edge.channel.stream.socket.recv(LOOK, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:
            return True  # nothing is there, or the reader is to find what is wrong
        job = job_in(seen)
        if job is None or job[0] not in self.names:
            return True
        self.waits[edge] = job[0]
        edge.whole_in_time()
        self.control.put(self.clock(), job[0], job[1], edge)
        # the newest is read first, so mostly it is this one, and need not be left out of the loop at all
        self._drain(edge)
        return edge.let_in

    def drop(self, edge: EdgeConnection) -> None:
        """It is closed."""
        if (job_class := self.waits.pop(edge, None)) is not None:
            self.control.drop(job_class, edge)
        if edge in self.held:
            del self.held[edge]
            self.timers.drop((self, edge))

    def leave(self) -> None:
        """What waits is read now, and answered while there is time."""
        self.opened = True
        self._accept(True)
        for edge in [*self.waits, *self.held]:
            self.drop(edge)
            edge.channel.stream.resume()

    def _let_go(self, edge: EdgeConnection) -> None:
        if edge in self.held:
            del self.held[edge]
            edge.channel.stream.resume()

    def _tick(self) -> None:
        now = self.clock()
        sample = self.meter.sample(now, self.cpu())
        before = self.control.state
        if not sample.stopped:  # a pause of the process is no load
            self.control.tick(now, sample.lag_s, sample.cpu_share, 0.0)
        if self.control.state is not before:
            self._say(now, sample.lag_s, sample.cpu_share)
        self._accept(self.opened or not self.control.full)
        self._drain()
        IOLoop.current().call_later(TICK_S, self._tick)

    def _say(self, now: float, lag_s: float, cpu_share: float) -> None:
        if self.control.state is State.CALM and now < self.said_at + SAID_AGAIN:
            return  # it begins and ends again and again: said once
        if now >= self.said_at + SAID_AGAIN or self.control.state is State.CALM:
            self.said_at = now
            logger.bind(overload=self.control.state.value).warning(
                "overload: {}; the loop is {:.0f} ms late at {:.0%} of its CPU, {} messages wait unread",
                "jobs are turned away" if self.control.state is State.SHED else "over",
                1000 * lag_s, cpu_share, self.control.unread.size,
            )  # fmt: skip

    def _accept(self, on: bool) -> None:
        if on is not self.accepts:
            self.accepts = on
            self.accept(on)

    def _soon(self) -> None:
        if not self.draining:
            self.draining = True
            asyncio.get_running_loop().call_soon(self._drain)

    def _drain(self, reading: EdgeConnection | None = None) -> None:
        """`reading`: one that is being asked about, and is not left out of the loop yet."""
        self.draining = False
        away, took_s = 0, 0.0
        for _ in range(AT_ONCE):
            turn = self.control.take(self.clock())
            if turn.item is None:
                if turn.wait_s > 0 and not self.asked_again:
                    self.asked_again = True
                    IOLoop.current().call_later(turn.wait_s, self._ask_again)
                break
            self.waits.pop(turn.item, None)
            if turn.worst:
                began = self.cpu()
                self._turn_away(turn.item)
                took_s += self.cpu() - began
                away += 1
            else:
                turn.item.let_in = True
                if turn.item is not reading:
                    turn.item.channel.stream.resume()
        else:
            self._soon()
        if away:
            self.control.turned_away(away, took_s)

    def _ask_again(self) -> None:
        self.asked_again = False
        self._drain()

    def _turn_away(self, edge: EdgeConnection) -> None:
        stream = edge.channel.stream
        try:
            seen = stream.socket.recv(LOOK, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            if not seen:
                return stream.close()  # its client has left
            if not is_one_job(seen):
                edge.let_in = True
                return stream.resume()
            refusal = self.control.refuse(self.clock())
            stream.socket.recv(len(seen), socket.MSG_DONTWAIT)
            if stream.put(refusal_bytes(refusal)) is not None:
                return stream.close()  # a client that reads nothing
        except OSError:
            return stream.close()
        self.hold(edge, refusal)
        if edge not in self.held:
            stream.resume()
