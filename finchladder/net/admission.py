"""The gate in front of the parser: while the loop can't keep up, jobs wait unread until they are let in.

`core/overload` decides; this looks at sockets for it. All edge connections that wait for a message are
watched by an `epoll` of the gate's own, which says once what is new (edge-triggered): no connection enters or
leaves the loop's own for a message. What came is received, and if it is one whole and plain job, it may wait
here. Then it goes to the parser as it is, or is turned away on the raw socket, which costs a small part of
parsing and answering. What is anything else (call-backs end what was sent) is never kept waiting.
"""

import asyncio
import re
import select
import socket
import struct
from collections.abc import Callable, Iterable
from statistics import median
from typing import Protocol

from loguru import logger
from tornado.ioloop import IOLoop

from finchladder.core.api import JobClass
from finchladder.core.connections.body_memory import OutOfBodyMemoryError
from finchladder.core.connections.client_connections import ConnectionValue
from finchladder.core.overload.controller import (
    TICK_INTERVAL_S,
    OverloadController,
    OverloadSettings,
    State,
)
from finchladder.core.overload.loop_lag import LoopLagMeter
from finchladder.net.client_connection import FIRST_MESSAGE_TIMEOUT_S, ClientConnection

LOOK = 4096  # bytes received at once; a message that is longer goes to the parser, never turned away raw
AT_ONCE = 128  # connections looked at, and turns of the control, in one turn of the loop
ROOM_MADE = 16  # connections that are turned away at once so that others can be heard
STARTS = 64  # that are looked at in one tick
OLD_S = 0.005  # a message that lay there for less is as good as new
OLD_MOST_S = 60.0  # clocks are set: an older one is not believed
SAID_AGAIN = 10.0  # seconds between two lines of the log about the same

NEWS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
STAMPS = 35  # SO_TIMESTAMPNS, which the socket module does not name; each received segment carries its time
STAMP = struct.Struct("@ll")
STAMP_SPACE = socket.CMSG_SPACE(STAMP.size)

_FACT = rb"[a-z]{1,9}=[0-9]{1,5}(?:\.[0-9]{0,9})?"
# The head of a job that the parser, and all that looks at a job after it, would take without a word. Anything
# else is theirs to answer. `(?(2)(?!))` fails where a field comes again.
_PLAIN = re.compile(
    rb"POST /(?!_|v1/job-events[ ?])([\w.~:@!$&'()*+,;=-]+)"
    rb"(?:[/?](?:[\w.~:/?@!$&'()*+,;=-]|%[0-9A-Fa-f]{2})*)? HTTP/1\.1\r\n(?:(?:"
    rb"(?(2)(?!))(?i:x-correlation-id):[ \t]*([!-~]{1,128})[ \t]*"
    rb"|(?(3)(?!))(?i:x-time-left):[ \t]*([0-9]{1,6}(?:\.[0-9]{0,9})?)[ \t]*"
    rb"|(?(4)(?!))(?i:content-length):[ \t]*([0-9]{1,5})[ \t]*"
    rb"|(?(5)(?!))(?i:x-facts):[ \t]*(" + _FACT + rb"(?:," + _FACT + rb")*)[ \t]*"
    rb"|(?i:connection):[ \t]*(?i:keep-alive)[ \t]*"
    rb"|(?!(?i:x-correlation-id|x-time-left|content-length|x-facts|connection|transfer-encoding|expect):)"
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~]*"
    rb")\r\n){1,64}\r\n",
    re.ASCII,
)


def plain_job(data: bytes) -> tuple[bytes, bytes, float] | None:
    """Class, id and the seconds that its client will wait; None: not one whole plain job and nothing more."""
    if (head := _PLAIN.match(data)) is None:
        return None
    job_class, id, left, length = head.group(1, 2, 3, 4)
    if id is None or left is None or len(data) != head.end() + int(length or 0):
        return None
    return (job_class, id, float(left)) if float(left) > 0 else None


def refusal_bytes(retry_after_s: float) -> bytes:
    """Returns a complete 503 response; `retry_after_s` in seconds, no Retry-After header at 0."""
    after = b"Retry-After: %.3g\r\n" % retry_after_s if retry_after_s > 0 else b""
    return b"HTTP/1.1 503 Service Unavailable\r\n%bContent-Length: 8\r\n\r\nrefused\n" % after


class Times(Protocol):
    """Clocks of the host, in seconds."""

    def cpu(self) -> float:
        """CPU time that the process has used so far."""

    def idle(self) -> float:
        """Time that the event loop has waited for events so far."""

    def wall(self) -> float:
        """Unix time."""


class Admission:
    """Admission control: reads plain jobs off idle connections and admits, delays or refuses them."""

    def __init__(
        self,
        classes: Iterable[JobClass],
        settings: OverloadSettings,
        seed: int,
        clock: Callable[[], float],
        known: Callable[[str], bool],
        times: Times,
    ) -> None:
        """`known`: the ids that have come already."""
        self.clock, self.known, self.times = clock, known, times
        classes = tuple(classes)
        self.names = {c.name.encode(): c.name for c in classes}
        self.control: OverloadController[ClientConnection] = OverloadController(classes, settings, seed)
        self.meter = LoopLagMeter(clock(), times.cpu(), times.idle(), TICK_INTERVAL_S)
        self.starts: list[float] = []  # seconds that jobs took to start since the last tick
        self.poll = select.epoll()
        self.edges: dict[int, ClientConnection] = {}  # by descriptor
        self.silent: dict[
            ClientConnection, None
        ] = {}  # nothing has come on them yet; the oldest is the first
        # set by their owner: begins to read one, and closes one
        self.opens: Callable[[ClientConnection], None] = lambda connection: None
        self.ends: Callable[[ClientConnection], None] = lambda connection: None
        self.opened = False  # for good: the dispatcher leaves
        self.asks_again = False
        self.late, self.polled_at = True, 0.0
        self.said, self.said_at = False, -SAID_AGAIN
        self.refused = 0  # since that was last said

    def start(self) -> None:
        """Starts polling the connections and measuring the lag of the event loop."""
        asyncio.get_running_loop().add_reader(self.poll.fileno(), self._ready)
        IOLoop.current().call_later(TICK_INTERVAL_S, self._tick)

    def started(self, took_s: float) -> None:
        """Records that a job started `took_s` seconds after it was admitted."""
        if len(self.starts) < STARTS:
            self.starts.append(took_s)

    def judge(self, job_class: str, left_s: float) -> float | None:
        """Of a job that did not wait here, before there is a flow: Retry-After in seconds; None: let in."""
        if self.opened:
            return None
        return self.control.admit(self.clock(), job_class, left_s)

    # --- connections

    def begin(self, connection: ClientConnection) -> None:
        """Registers a new connection; its descriptor is polled from now on."""
        self.edges[connection.descriptor] = connection
        self.silent[connection] = None
        self.poll.register(connection.descriptor, NEWS)

    def wait(self, connection: ClientConnection) -> None:
        """Registers that the connection waits for its next message.

        The message is passed on by `ClientConnection.received`.
        """
        if connection.stirred and connection.is_waiting:
            self._look(connection)

    def drop(self, connection: ClientConnection) -> None:
        """Removes a closed connection; its descriptor may have been reused already."""
        if self.edges.get(connection.descriptor) is connection:
            del self.edges[connection.descriptor]
        self.silent.pop(connection, None)
        self.control.remove(connection)

    def shut_down(self) -> None:
        """Admits all waiting jobs now, while there is time to answer them."""
        self.opened = True
        for connection in list(self.control.unread.positions):
            self.control.remove(connection)
            self._let_in(connection)

    def make_room(self) -> None:
        """Refuses some waiting jobs, as the connection table is full and no new client can be accepted."""
        for _ in range(ROOM_MADE):
            if (connection := self.control.pop_least_valuable()) is None:
                return
            self._turn_away(connection, self.clock())

    # --- what the sockets say

    def _ready(self) -> None:
        began = self.clock()
        self.late = began > self.polled_at + OLD_S  # else nothing can have lain there for long
        for descriptor, what in self.poll.poll(0, AT_ONCE):
            if (connection := self.edges.get(descriptor)) is None or connection.closed:
                continue
            connection.stirred = True
            if connection.is_waiting:
                self._look(connection)
            if what & ENDED and not connection.closed:
                connection.over = connection.stirred = (
                    True  # what came before is still read, unless it is a job
                )
                if connection.flow is not None or connection.message:
                    self.control.remove(connection)
                    self.ends(connection)
        if self.control.unread.positions:
            self._drain()
        self.polled_at = self.clock()
        self.control.record_rejection_time(self.polled_at - began)

    def _look(self, connection: ClientConnection) -> None:
        connection.stirred, age_s = False, 0.0
        try:
            if self.late:
                data, stamps, _, _ = connection.socket.recvmsg(LOOK, STAMP_SPACE, socket.MSG_DONTWAIT)
                age_s = self._age_s(stamps)
            else:
                data = connection.socket.recv(LOOK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            return self.ends(connection)
        connection.stirred = len(data) == LOOK  # there may be more
        now = self.clock()
        connection.came_at = now - age_s
        if not connection.opened:
            self.silent.pop(connection, None)
        if self.opened or not self.control.must_enqueue or not self._keep(connection, data, now):
            self._hand_on(connection, data)

    def _hand_on(self, connection: ClientConnection, data: bytes) -> None:
        """To be read now."""
        if connection.opened:
            return connection.received(data)
        connection.message, connection.first = b"", data
        self.opens(connection)

    def _age_s(self, stamps: list[tuple[int, int, bytes]]) -> float:
        """Since the last of it was there, by the system."""
        if not stamps:
            return 0.0
        seconds, nanoseconds = STAMP.unpack_from(stamps[0][2])
        age = self.times.wall() - seconds - nanoseconds / 1e9
        return age if OLD_S < age < OLD_MOST_S else 0.0

    def _keep(self, connection: ClientConnection, data: bytes, now: float) -> bool:
        """False: it is not to wait here."""
        if (job := plain_job(data)) is None:
            return False
        job_class, id, left_s = job
        if (name := self.names.get(job_class)) is None:
            return False
        try:
            connection.body.resize(len(data))
        except OutOfBodyMemoryError:
            return False
        connection.message, connection.job_class, connection.job_id = data, name, id
        connection.table.mark_busy(connection)
        self.control.enqueue(now, name, left_s - (now - connection.came_at), connection)
        return True

    # --- what the control says

    def _tick(self) -> None:
        now = self.clock()
        sample = self.meter.sample(now, self.times.cpu(), self.times.idle())
        before = self.control.state
        if not sample.is_paused:  # a pause of the process is no load
            self.control.tick(
                now, sample.lag_s, sample.utilization, median(self.starts) if self.starts else 0.0
            )
        self.starts.clear()
        if self.control.state is not before:
            self._say(now, sample.utilization)
        while self.silent and (connection := next(iter(self.silent))).since + FIRST_MESSAGE_TIMEOUT_S <= now:
            self.ends(connection)
        IOLoop.current().call_later(TICK_INTERVAL_S, self._tick)

    def _say(self, now: float, busy: float) -> None:
        """Its begin, and then its end as well. It may come again and again: that is not said each time."""
        shedding = self.control.state is State.SHEDDING
        if shedding:
            self.said = now >= self.said_at + SAID_AGAIN
        if not self.said:
            return
        self.said_at = now
        logger.bind(overload=self.control.state.value).warning(
            "overload: {}; queues are {:.0f} ms old, the loop at work for {:.0%} of its time, {} jobs wait"
            " unread, {} were turned away since this was last said",
            "jobs are turned away" if shedding else "over",
            1000 * self.control.queue_delay_s,
            busy,
            self.control.unread.size,
            self.refused,
        )
        self.refused = 0

    def _drain(self) -> None:
        """What the control names, as much as one turn of the loop may hold. One timer at most asks again."""
        for _ in range(AT_ONCE):
            if (wait_s := self._turn()) is not None:
                break
        if self.control.unread.positions and not self.asks_again:
            self.asks_again = True
            IOLoop.current().call_later(wait_s or 0.0, self._again)

    def _turn(self) -> float | None:
        """Seconds after which to ask again, if nothing is to be done now."""
        now = self.clock()
        action = self.control.next_action(now)
        if action.item is None:
            return action.retry_in_s
        if action.must_reject:
            self._turn_away(action.item, now)
        else:
            self.control.record_admitted(action.item.job_class)
            self._let_in(action.item)
        return None

    def _again(self) -> None:
        self.asks_again = False
        began = self.clock()
        self._drain()
        self.control.record_rejection_time(self.clock() - began)

    def _let_in(self, connection: ClientConnection) -> None:
        connection.passed = True
        self._hand_on(connection, connection.message)

    def _turn_away(self, connection: ClientConnection, now: float) -> None:
        if self.known(connection.job_id.decode("ascii")):
            return self._hand_on(connection, connection.message)  # the parser's answer to it is no refusal
        self.refused += 1
        connection.message = b""
        connection.body.resize(0)
        if connection.worth is ConnectionValue.NEW:
            connection.worth = ConnectionValue.QUERIED
        connection.table.mark_idle(now, connection, connection.worth)
        answer = refusal_bytes(self.control.reject(now))
        try:
            whole = connection.socket.send(answer) == len(answer)
        except OSError:
            whole = False
        if not whole:
            return self.ends(connection)  # a client that reads nothing, or has left
        if connection.stirred:  # not now: each of many might bring about the next one's turn
            asyncio.get_running_loop().call_soon(self.wait, connection)
