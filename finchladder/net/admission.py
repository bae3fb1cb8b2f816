"""Admission control in front of the parser: under overload, jobs wait unparsed until they are admitted.

`core/overload` decides; this module reads the sockets for it. A separate, edge-triggered `epoll` watches all
client connections that wait for a message, so that no connection has to be registered with the event loop
for each message. If the received bytes are one complete, plain job, the job may wait here. It is then passed
to the parser unchanged, or rejected on the raw socket, which costs a small part of parsing and answering it.
All other messages are passed on at once, such as callbacks, which end running jobs.
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

MAX_RECEIVED_BYTES = 4096  # received at once; a longer message always goes to the parser
MAX_HANDLED_AT_ONCE = 128  # connections polled, and admission decisions made, in one loop iteration
REJECTED_FOR_ROOM = 16  # waiting jobs rejected at once to make room for new connections
MAX_START_SAMPLES = 64  # maximum number of start times used in one tick
MIN_AGE_S = 0.005  # a message that waited in the socket for less counts as new
MAX_AGE_S = 60.0  # a higher age is ignored, as it must come from a change of the system clock
LOG_INTERVAL_S = 10.0  # seconds between two log lines that shedding has begun

POLLED_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
CLOSE_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
SO_TIMESTAMPNS = 35  # not in the socket module; adds its time of arrival to each received segment
TIMESPEC = struct.Struct("@ll")
TIMESPEC_SPACE = socket.CMSG_SPACE(TIMESPEC.size)

_FACT = rb"[a-z]{1,9}=[0-9]{1,5}(?:\.[0-9]{0,9})?"
# The head of a job that the parser and all later checks would accept. Every other message goes to the parser,
# which answers it. `(?(2)(?!))` makes the match fail if a field is repeated.
_PLAIN_JOB = re.compile(
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


def parse_plain_job(data: bytes) -> tuple[bytes, bytes, float] | None:
    """Returns class, id and client timeout in seconds, or None unless the data is exactly one plain job."""
    if (head := _PLAIN_JOB.match(data)) is None:
        return None
    job_class, id, left, length = head.group(1, 2, 3, 4)
    if id is None or left is None or len(data) != head.end() + int(length or 0):
        return None
    return (job_class, id, float(left)) if float(left) > 0 else None


def rejection_bytes(retry_after_s: float) -> bytes:
    """Returns a complete 503 response; `retry_after_s` in seconds, no Retry-After header at 0."""
    after = b"Retry-After: %.3g\r\n" % retry_after_s if retry_after_s > 0 else b""
    return b"HTTP/1.1 503 Service Unavailable\r\n%bContent-Length: 8\r\n\r\nrefused\n" % after


class Clocks(Protocol):
    """Clocks of the host, in seconds."""

    def cpu(self) -> float:
        """CPU time that the process has used so far."""

    def idle(self) -> float:
        """Time that the event loop has spent waiting for events so far."""

    def wall(self) -> float:
        """Unix time."""


class Admission:
    """Receives plain jobs from idle connections and admits, delays or rejects them.

    A plain job is one whole request with a head that matches `_PLAIN_JOB`; all other data goes to the parser.
    """

    def __init__(
        self,
        classes: Iterable[JobClass],
        settings: OverloadSettings,
        seed: int,
        clock: Callable[[], float],
        is_known: Callable[[str], bool],
        clocks: Clocks,
        expected_run_time_s: Callable[[str], float] = lambda job_class: 0.0,
    ) -> None:
        """Creates the admission control; `start` must be called before the first connection.

        Args:
            classes: All job classes.
            settings: Settings of the overload controller.
            seed: Seeds its random draws.
            clock: The clock of the process, in seconds.
            is_known: Whether a request with this id was received before.
            clocks: Clocks of the host.
            expected_run_time_s: Returns how long a job of a class is expected to run; 0: unknown.
        """
        self.clock, self.is_known, self.clocks = clock, is_known, clocks
        classes = tuple(classes)
        self.class_names = {c.name.encode(): c.name for c in classes}
        self.controller: OverloadController[ClientConnection] = OverloadController(
            classes, settings, seed, expected_run_time_s
        )
        self.meter = LoopLagMeter(clock(), clocks.cpu(), clocks.idle(), TICK_INTERVAL_S)
        self.start_times_s: list[float] = []  # seconds that jobs took to start, recorded since the last tick
        self.epoll = select.epoll()
        self.connections: dict[int, ClientConnection] = {}  # by file descriptor
        # connections that have received nothing yet, oldest first
        self.silent_connections: dict[ClientConnection, None] = {}
        # set by the listener: called with a connection whose data goes to the parser
        self.on_open: Callable[[ClientConnection], None] = lambda connection: None
        # set by the listener: called with a connection to close
        self.on_close: Callable[[ClientConnection], None] = lambda connection: None
        self.admits_all = False  # set at shutdown: nothing is delayed or rejected any more
        self.is_retry_scheduled = False
        self.may_be_late, self.polled_at = True, 0.0
        self.is_begin_logged, self.logged_at = False, -LOG_INTERVAL_S
        self.rejected_count = 0  # since the last log line

    def start(self) -> None:
        """Starts polling the connections and measuring the lag of the event loop."""
        asyncio.get_running_loop().add_reader(self.epoll.fileno(), self._poll_connections)
        IOLoop.current().call_later(TICK_INTERVAL_S, self._tick)

    def record_start(self, took_s: float) -> None:
        """Records that a job started `took_s` seconds after it was admitted."""
        if len(self.start_times_s) < MAX_START_SAMPLES:
            self.start_times_s.append(took_s)

    def check(self, job_class: str, left_s: float) -> float | None:
        """Checks a parsed job that did not wait here; returns Retry-After in seconds, or None if admitted."""
        if self.admits_all:
            return None
        return self.controller.admit(self.clock(), job_class, left_s)

    # --- connections

    def add(self, connection: ClientConnection) -> None:
        """Registers a new connection; its descriptor is polled from now on."""
        self.connections[connection.descriptor] = connection
        self.silent_connections[connection] = None
        self.epoll.register(connection.descriptor, POLLED_EVENTS)

    def wait_for_message(self, connection: ClientConnection) -> None:
        """Registers that the connection waits for its next message.

        The message is passed on by `ClientConnection.receive`.
        """
        if connection.may_have_data and connection.is_waiting:
            self._receive(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Removes a closed connection; its descriptor may have been reused already."""
        if self.connections.get(connection.descriptor) is connection:
            del self.connections[connection.descriptor]
        self.silent_connections.pop(connection, None)
        self.controller.remove(connection)

    def shut_down(self) -> None:
        """Admits all waiting jobs now, while there is time to answer them."""
        self.admits_all = True
        for connection in list(self.controller.unread.positions):
            self.controller.remove(connection)
            self._admit(connection)

    def make_room(self) -> None:
        """Rejects some waiting jobs, as the connection table is full and no new client can be accepted."""
        for _ in range(REJECTED_FOR_ROOM):
            if (connection := self.controller.pop_last()) is None:
                return
            self._reject(connection, self.clock())

    # --- sockets

    def _poll_connections(self) -> None:
        began = self.clock()
        self.may_be_late = began > self.polled_at + MIN_AGE_S  # otherwise no message can have waited for long
        for descriptor, events in self.epoll.poll(0, MAX_HANDLED_AT_ONCE):
            if (connection := self.connections.get(descriptor)) is None or connection.is_closed:
                continue
            connection.may_have_data = True
            if connection.is_waiting:
                self._receive(connection)
            if events & CLOSE_EVENTS and not connection.is_closed:
                # bytes that arrived before the close are still read, unless they are a job
                connection.client_has_closed = connection.may_have_data = True
                if connection.flow is not None or connection.queued_message:
                    self.controller.remove(connection)
                    self.on_close(connection)
        if self.controller.unread.positions:
            self._drain()
        self.polled_at = self.clock()
        self.controller.record_rejection_time(self.polled_at - began)

    def _receive(self, connection: ClientConnection) -> None:
        connection.may_have_data, age_s = False, 0.0
        try:
            if self.may_be_late:
                data, stamps, _, _ = connection.socket.recvmsg(
                    MAX_RECEIVED_BYTES, TIMESPEC_SPACE, socket.MSG_DONTWAIT
                )
                age_s = self._age_s(stamps)
            else:
                data = connection.socket.recv(MAX_RECEIVED_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            return self.on_close(connection)
        connection.may_have_data = len(data) == MAX_RECEIVED_BYTES  # the socket may hold more
        now = self.clock()
        connection.received_at = now - age_s
        if not connection.has_stream:
            self.silent_connections.pop(connection, None)
        if self.admits_all or not self.controller.must_enqueue or not self._enqueue(connection, data, now):
            self._pass_to_parser(connection, data)

    def _pass_to_parser(self, connection: ClientConnection, data: bytes) -> None:
        """Passes received bytes to the parser."""
        if connection.has_stream:
            return connection.receive(data)
        connection.queued_message, connection.first_bytes = b"", data
        self.on_open(connection)

    def _age_s(self, stamps: list[tuple[int, int, bytes]]) -> float:
        """Returns the seconds since the last segment arrived, or 0 if that is unknown or negligible."""
        if not stamps:
            return 0.0
        seconds, nanoseconds = TIMESPEC.unpack_from(stamps[0][2])
        age = self.clocks.wall() - seconds - nanoseconds / 1e9
        return age if MIN_AGE_S < age < MAX_AGE_S else 0.0

    def _enqueue(self, connection: ClientConnection, data: bytes, now: float) -> bool:
        """Queues data that is a plain job of a known class; returns False if it must go to the parser now."""
        if (job := parse_plain_job(data)) is None:
            return False
        job_class, id, left_s = job
        if (name := self.class_names.get(job_class)) is None:
            return False
        try:
            connection.reservation.resize(len(data))
        except OutOfBodyMemoryError:
            return False
        connection.queued_message, connection.job_class, connection.job_id = data, name, id
        connection.table.mark_busy(connection)
        connection.answer_by = connection.received_at + left_s
        self.controller.enqueue(now, name, connection.answer_by - now, connection)
        return True

    # --- decisions

    def _tick(self) -> None:
        now = self.clock()
        sample = self.meter.sample(now, self.clocks.cpu(), self.clocks.idle())
        before = self.controller.state
        if not sample.is_paused:  # a pause of the process is not overload
            self.controller.tick(
                now,
                sample.lag_s,
                sample.utilization,
                median(self.start_times_s) if self.start_times_s else 0.0,
            )
        self.start_times_s.clear()
        if self.controller.state is not before:
            self._log_state(now, sample.utilization)
        while (
            self.silent_connections
            and (connection := next(iter(self.silent_connections))).accepted_at + FIRST_MESSAGE_TIMEOUT_S
            <= now
        ):
            self.on_close(connection)
        IOLoop.current().call_later(TICK_INTERVAL_S, self._tick)

    def _log_state(self, now: float, utilization: float) -> None:
        """Logs the begin of shedding at most every LOG_INTERVAL_S, and the end if its begin was logged."""
        shedding = self.controller.state is State.SHEDDING
        if shedding:
            self.is_begin_logged = now >= self.logged_at + LOG_INTERVAL_S
        if not self.is_begin_logged:
            return
        self.logged_at = now
        logger.bind(overload=self.controller.state.value).warning(
            "overload: {}; queues are {:.0f} ms old, the loop at work for {:.0%} of its time, {} jobs wait"
            " unread, {} were turned away since this was last said",
            "jobs are turned away" if shedding else "over",
            1000 * self.controller.queue_delay_s,
            utilization,
            self.controller.unread.size,
            self.rejected_count,
        )
        self.rejected_count = 0

    def _drain(self) -> None:
        """Carries out the due decisions, at most MAX_HANDLED_AT_ONCE, and schedules a retry for the rest."""
        for _ in range(MAX_HANDLED_AT_ONCE):
            if (wait_s := self._handle_next()) is not None:
                break
        if self.controller.unread.positions and not self.is_retry_scheduled:
            self.is_retry_scheduled = True
            IOLoop.current().call_later(wait_s or 0.0, self._retry)

    def _handle_next(self) -> float | None:
        """Carries out one decision; returns the seconds to the next if none is due now."""
        now = self.clock()
        action = self.controller.next_action(now)
        if action.item is None:
            return action.retry_in_s
        if action.must_reject:
            self._reject(action.item, now)
        else:
            self.controller.record_admitted(action.item.job_class)
            self._admit(action.item)
        return None

    def _retry(self) -> None:
        self.is_retry_scheduled = False
        began = self.clock()
        self._drain()
        self.controller.record_rejection_time(self.clock() - began)

    def _admit(self, connection: ClientConnection) -> None:
        connection.is_admitted = True
        self._pass_to_parser(connection, connection.queued_message)

    def _reject(self, connection: ClientConnection, now: float) -> None:
        if self.is_known(connection.job_id.decode("ascii")):
            # the answer to a repeated id is an error, not a rejection
            return self._pass_to_parser(connection, connection.queued_message)
        self.rejected_count += 1
        connection.queued_message = b""
        connection.reservation.resize(0)
        if connection.value is ConnectionValue.NEW:
            connection.value = ConnectionValue.QUERIED
        connection.table.mark_idle(now, connection, connection.value)
        remaining_s = connection.answer_by - now
        answer = rejection_bytes(self.controller.reject(now, connection.job_class, remaining_s))
        try:
            is_sent = connection.socket.send(answer) == len(answer)
        except OSError:
            is_sent = False
        if not is_sent:
            return self.on_close(connection)  # the client does not read, or has disconnected
        if connection.may_have_data:  # deferred: many connections could otherwise recurse into each other
            asyncio.get_running_loop().call_soon(self.wait_for_message, connection)
