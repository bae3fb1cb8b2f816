"""Workers: one actor for each, which owns its connections and its attempts, and the pool of all actors."""

import asyncio
from contextlib import AsyncExitStack
from functools import partial
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import quote

from tornado.ioloop import IOLoop, PeriodicCallback

from finchladder.core import api
from finchladder.core.api import Ending as E
from finchladder.core.connections.idle_timeout import AdaptiveIdleTimeout
from finchladder.core.dispatch.attempt_stages import STAGE_RULES, AbandonAction, Step
from finchladder.net import http1
from finchladder.net.actor import Actor
from finchladder.net.decision_actor import AttemptEnd, DecisionActor
from finchladder.net.flows import Answer, Attempt, FlowTable
from finchladder.net.http1 import Connect, Head, StreamClosedError
from finchladder.net.messages import Callback
from finchladder.net.slots import Slots
from finchladder.net.timers import Timers
from finchladder.net.worker_connection import IdleConnections, WorkerConnection

if TYPE_CHECKING:
    from loguru import Logger

MAILBOX_SIZE = 8192
# shares of all sockets for busy and for idle connections to all workers together
BUSY_SOCKET_SHARE, IDLE_SOCKET_SHARE = 0.23, 0.11
MAX_CONNECTIONS_PER_WORKER = 24  # an unresponsive worker must not use up the connections of the others
# share of the time after which a worker closes an idle connection: a request must not cross that close
IDLE_TIMEOUT_SHARE = 0.6
# idle connections, and unlisted workers, handled in one iteration of the event loop: some 2 ms
MAX_REAPED_AT_ONCE = 200
DELETE_TIMEOUT_S = 1.0  # timeout of a DELETE, including the wait for a connection
# seconds until a DELETE that could not be sent is tried again; the job's next attempt waits for it
CANCEL_RETRY_INTERVAL_S = 0.25


class Cancellation(NamedTuple):
    """A mailbox item that cancels an attempt."""

    attempt: Attempt


def load_report(head: Head) -> dict[str, float] | None:
    """Returns the name=value pairs of X-Backend-Load; ignores malformed ones, as they are optional."""
    report = {}
    for pair in (head.headers.get("x-backend-load") or "").split(","):
        name, _, value = pair.partition("=")
        try:
            report[name.strip()] = float(value)
        except ValueError:
            continue
    return report or None


def outcome(head: Head) -> E | None:
    """Returns the ending that a response's head means for its attempt, or None if the job was accepted."""
    if head.status == 202:
        return None
    if head.status in (503, 504) and head.headers.get("x-unprocessed") == "1":
        return E.OVERLOADED
    return E.ERROR  # the job may have run, whatever else the response says


CALLBACK_ENDINGS = {"done": E.OK, "failed": E.ERROR, "returned": E.OVERLOADED, "lost": E.BROKEN}


class JobExchange:
    """The request that sends a job to a worker."""

    __slots__ = ("worker", "attempt", "connection")

    def __init__(self, worker: "WorkerActor", attempt: Attempt, connection: WorkerConnection) -> None:
        self.worker, self.attempt, self.connection = worker, attempt, connection

    def handle_response_head(self, head: Head) -> None:
        """Marks the job as accepted, or ends its attempt."""
        attempt = self.attempt
        attempt.connection = None
        ending = outcome(head)
        if ending is None:
            attempt.step(Step.ACCEPT)
            if not self.worker.decisions.dispatcher.settings.reports_start:
                self.worker.record_start(attempt)
        else:
            self.worker.end(attempt, ending, load_report(head))

    def connection_failed(self, written: bool) -> None:
        """Ends the attempt; a job that was not written completely can't have run."""
        attempt = self.attempt
        attempt.connection = None
        if not written:
            attempt.step(Step.BREAK)
        elif self.connection.idle_s and not attempt.ended:  # the worker or the network closed it
            self.worker.idle_timeout.record_reset(self.worker.clock(), self.connection.idle_s)
        self.worker.end_broken(attempt)  # retries are up to the dispatcher core


class CancelExchange:
    """The DELETE of a job at its worker. Its response does not matter."""

    def handle_response_head(self, head: Head) -> None:
        """Ignores the response."""

    def connection_failed(self, written: bool) -> None:
        """Ignores the failure."""


class WorkerActor(Actor[Attempt | Cancellation | Callback]):
    """Owns the attempts at one worker and the connections to it."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        flows: FlowTable,
        decisions: DecisionActor,
        timers: Timers,
        connect_timeout_s: float,
        idle_timeout: AdaptiveIdleTimeout,
        shared_slots: Slots,
        all_idle: IdleConnections,
        connect: Connect,
        max_connections: int,
    ) -> None:
        super().__init__(f"real server {name}", MAILBOX_SIZE)
        self.connect = connect
        self.worker, self.address = name, address
        self.flows, self.decisions, self.clock, self.timers = flows, decisions, decisions.clock, timers
        self.connect_timeout_s, self.idle_timeout, self.all_idle = connect_timeout_s, idle_timeout, all_idle
        self.is_ready = True
        self.attempts: dict[str, Attempt] = {}
        self.idle: list[WorkerConnection] = []  # the most recently used one is last
        self.busy = 0
        self.slots, self.shared_slots = Slots(max_connections), shared_slots

    @property
    def log(self) -> "Logger":
        """The logger, bound to this worker's name."""
        return super().log.bind(server=self.worker)

    @property
    def is_idle(self) -> bool:
        """Whether no attempt, connection, message or task of this worker is left."""
        return not (self.attempts or self.busy or self.backlog or self.tasks)

    # --- mailbox --------------------------------------------------------------------------

    def receive(self, item: Attempt | Cancellation | Callback) -> None:
        """Starts or cancels an attempt, or handles a callback."""
        if isinstance(item, Attempt):
            self._begin(item)
        elif isinstance(item, Cancellation):
            self.end(item.attempt, E.CANCELLED)
        else:
            self._handle_callback(item)

    def failed(self, item: Attempt | Cancellation | Callback) -> None:
        """Ends the attempt of an item whose handling raised an error."""
        if isinstance(item, Callback):
            attempt = self.attempts.get(item.id)
        else:
            attempt = item.attempt if isinstance(item, Cancellation) else item
        if attempt is not None:
            self.end_broken(attempt)

    def _begin(self, attempt: Attempt) -> None:
        if (
            not self.is_ready
            or attempt.flow.id in self.attempts
            or any(other is not attempt and other.worker == attempt.worker for other in attempt.flow.attempts)
        ):
            # a callback names only the job: a late one on the first attempt would count for the second
            return self.end(attempt, E.VOID)
        self.attempts[attempt.flow.id] = attempt
        self.timers.schedule(attempt, attempt.deadline, partial(self.end, attempt, E.TIMED_OUT))
        if (connection := self._acquire_idle_connection()) is not None:
            self._write(attempt, connection)
        else:
            self.spawn(self._send(attempt))

    def _handle_callback(self, call_back: Callback) -> None:
        """Matches a callback by id and sender; it may precede the 202, repeat, or name an unknown job."""
        attempt = self.attempts.get(call_back.id)
        if attempt is not None and not STAGE_RULES[attempt.stage].accepts_callbacks:
            return
        if self.flows.status is not None:  # the status also records callbacks on abandoned attempts
            self.flows.status.record_report(
                self.clock(), call_back.id, self.worker, call_back.state, call_back.share
            )
        if attempt is None:
            return
        if call_back.state == "started":
            self.record_start(attempt)
            self.decisions.submit(api.Started(call_back.id, attempt.number))
        elif call_back.state == "running":
            self.decisions.submit(api.Progress(call_back.id, attempt.number, call_back.share))
        elif call_back.state in CALLBACK_ENDINGS:
            self.end(
                attempt,
                CALLBACK_ENDINGS[call_back.state],
                call_back.load_report(),
                call_back.result.encode("utf-8", "replace"),
            )
        else:
            self.log.bind(id=call_back.id).warning(
                "{}: unknown job state {!r}", self.name, call_back.state[:40]
            )

    def record_start(self, attempt: Attempt) -> None:
        """Records the time until the first sign that a job has started after it was sent."""
        if self.decisions.on_job_started is not None and not attempt.number:
            self.decisions.on_job_started(self.clock() - attempt.flow.received_at)

    # --- attempts -------------------------------------------------------------------------

    async def _send(self, attempt: Attempt) -> None:
        try:
            connection = await self._acquire_connection()
        except (StreamClosedError, OSError, TimeoutError):
            return self.end_broken(attempt)
        try:
            self._write(attempt, connection)
        except Exception:
            self.log.bind(**{"id": attempt.flow.id, "class": attempt.flow.job_class}).exception(
                "{}: internal error while sending an attempt", self.name
            )
            connection.close()
            self.end_broken(attempt)

    def _write(self, attempt: Attempt, connection: WorkerConnection) -> None:
        if attempt.ended:
            return self._connection_freed(connection)
        # checked again right before the write, as waiting for a connection took time
        if not self.is_ready or self.clock() > attempt.start_by:
            self._connection_freed(connection)
            return self.end(attempt, E.VOID)
        request = attempt.flow.message.request(self._host_header(), max(0.0, attempt.deadline - self.clock()))
        attempt.connection = connection
        attempt.step(Step.WRITE)
        connection.send_request(JobExchange(self, attempt, connection), request)

    def end_broken(self, attempt: Attempt) -> None:
        """Ends an attempt whose connection or handling failed, with the ending for its stage."""
        if not attempt.ended:
            self.end(attempt, STAGE_RULES[attempt.stage].ending_if_broken)

    def _host_header(self) -> str:
        host, port = self.address
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def end(
        self, attempt: Attempt, ending: E, report: dict[str, float] | None = None, result: bytes = b""
    ) -> None:
        """Ends an attempt; only the first call for each counts."""
        if attempt.ended:
            return
        on_abandon = STAGE_RULES[attempt.stage].on_abandon
        attempt.step(Step.END)
        if self.flows.status is not None:
            self.flows.status.record_attempt_end(attempt.flow.id, self.worker, ending)
        self.timers.cancel(attempt)
        if self.attempts.get(attempt.flow.id) is attempt:
            del self.attempts[attempt.flow.id]
        if ending is E.OK:
            self.flows.finish(attempt.flow, Answer("served", result))
        end = AttemptEnd(attempt, ending, self.clock() - attempt.sent_at, report)
        if ending in (E.CANCELLED, E.TIMED_OUT):
            if on_abandon is AbandonAction.DELETE:
                if (
                    attempt.flow.answer is None
                    and self._forbids_parallel_attempts()
                    and self.clock() < attempt.flow.deadline
                ):
                    self.spawn(self._submit_end_after_delete(end))
                    return
                self.spawn(self._delete_job(attempt.flow.id))
            elif on_abandon is AbandonAction.CLOSE and attempt.connection is not None:
                attempt.connection.close()
        self._submit_end(end)

    def _forbids_parallel_attempts(self) -> bool:
        """Whether the settings forbid two attempts of one job at the same time."""
        return not self.decisions.dispatcher.settings.may_hedge

    def _submit_end(self, end: AttemptEnd) -> None:
        self.decisions.submit(end)
        self.flows.forget_if_over(end.attempt.flow)

    async def _submit_end_after_delete(self, end: AttemptEnd) -> None:
        """Submits an attempt's end only after the DELETE is written, so that attempts do not overlap.

        The dispatcher core may send the job elsewhere as soon as it has the end. The DELETE is repeated until
        the job's deadline; a worker that stays unreachable until then may still run the job.
        """
        flow = end.attempt.flow
        while not await self._delete_job(flow.id) and flow.answer is None and self.clock() < flow.deadline:
            await asyncio.sleep(CANCEL_RETRY_INTERVAL_S)
        self._submit_end(end)

    async def _delete_job(self, id: str) -> bool:
        """Sends DELETE for a job; returns whether it was written."""
        path = f"/jobs/{quote(id, safe='')}"  # the client chooses the id: it must not alter the path
        try:
            async with asyncio.timeout(DELETE_TIMEOUT_S):
                connection = await self._acquire_connection()
                self.timers.schedule(connection, self.clock() + DELETE_TIMEOUT_S, connection.close)
                connection.send_request(
                    CancelExchange(), http1.write_request("DELETE", path, [("Host", self._host_header())])
                )
                if connection.writing is not None:
                    await connection.writing
        except (StreamClosedError, OSError, TimeoutError):
            return False  # the worker is unreachable, or has no free connection
        return connection.is_request_sent

    # --- connections ----------------------------------------------------------------------------------------

    def _acquire_idle_connection(self) -> WorkerConnection | None:
        """Returns an idle connection; None if there is none, or if no slot is free at once."""
        if (
            not (self.idle and self.slots.is_available and self.shared_slots.is_available)
            or (connection := self._pop_idle_connection()) is None
        ):
            return None
        self.slots.acquire()
        self.shared_slots.acquire()
        return self._mark_held(connection)

    async def _acquire_connection(self) -> WorkerConnection:
        """Returns an idle or new connection, which holds two slots until it is idle again or closed."""
        async with asyncio.timeout(self.connect_timeout_s), AsyncExitStack() as held_slots:
            for slots in (self.slots, self.shared_slots):
                await slots.wait()
                held_slots.callback(slots.release)
            connection = self._pop_idle_connection() or WorkerConnection(
                await self.connect(self.address), self._connection_freed, self._connection_ended
            )
            held_slots.pop_all()
        return self._mark_held(connection)

    def _mark_held(self, connection: WorkerConnection) -> WorkerConnection:
        connection.is_held = True
        self.busy += 1
        return connection

    def _pop_idle_connection(self) -> WorkerConnection | None:
        while self.idle:
            connection = self.idle.pop()
            self.all_idle.drop(connection)
            now = self.clock()
            connection.idle_s = now - connection.idle_since
            if connection.idle_s < self.idle_timeout.limit_s(now) and connection.is_reusable():
                return connection
            connection.close()
        return None

    def _release_slots(self, connection: WorkerConnection) -> None:
        connection.is_held = False
        self.busy -= 1
        self.timers.cancel(connection)
        self.slots.release()
        self.shared_slots.release()

    def _connection_freed(self, connection: WorkerConnection) -> None:
        self._release_slots(connection)
        if self.is_ready:
            self.idle.append(connection)
            self.all_idle.put(connection, self.clock())
        else:
            connection.close()

    def _connection_ended(self, connection: WorkerConnection) -> None:
        if connection.is_held:
            self._release_slots(connection)
        elif connection in self.idle:
            self.idle.remove(connection)
            self.all_idle.drop(connection)

    def drop_idle(self) -> None:
        """Closes all idle connections to this worker."""
        for connection in self.idle:
            connection.close()


class WorkerPool:
    """The actors of all listed workers, and of unlisted ones that still have attempts.

    Updates cost time in proportion to the entries that changed, not to the number of workers.
    """

    def __init__(
        self,
        flows: FlowTable,
        decisions: DecisionActor,
        timers: Timers,
        connect_timeout_s: float,
        worker_idle_timeout_s: float,
        sockets: int,
        connect: Connect,
        max_connections_each: int = MAX_CONNECTIONS_PER_WORKER,
    ) -> None:
        """Creates an empty pool.

        Args:
            flows: The open flows.
            decisions: Receives worker lists and the ends of attempts.
            timers: Timers for the timeouts of attempts.
            connect_timeout_s: Timeout for a connection, including the wait for a slot.
            worker_idle_timeout_s: Time after which workers close idle connections.
            sockets: The maximum number of sockets of the process.
            connect: Opens a connection.
            max_connections_each: The maximum number of connections to one worker.
        """
        self.flows, self.decisions, self.clock, self.timers = flows, decisions, decisions.clock, timers
        self.connect, self.max_connections_each = connect, max_connections_each
        self.connect_timeout_s, self.idle_timeout = (
            connect_timeout_s,
            AdaptiveIdleTimeout(self.clock(), worker_idle_timeout_s * IDLE_TIMEOUT_SHARE),
        )
        self.actors: dict[str, WorkerActor] = {}
        self.started_at: dict[str, float] = {}
        self.leaving: dict[str, WorkerActor] = {}  # not ready; removed once they are idle
        self.slots = Slots(int(BUSY_SOCKET_SHARE * sockets))
        self.idle_connections = IdleConnections(int(IDLE_SOCKET_SHARE * sockets))
        self.reaper = PeriodicCallback(self._reap, 1000)

    def start(self) -> None:
        """Starts the periodic task that closes idle connections and removes unlisted workers."""
        self.reaper.start()

    def update(self, worker_list: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        """Applies readiness and addresses before queued messages, then submits the list to the core."""
        if worker_list.kind is not api.ListKind.PATCH:
            named = {e.worker for e in worker_list.entries}
            for name, actor in self.actors.items():
                if name not in named:
                    self._set_ready(actor, False)
        for e in worker_list.entries:
            if e.worker not in self.actors and e.state is api.WorkerStatus.REMOVED:
                continue
            actor = self.actors.get(e.worker) or self._add(e.worker, addresses[e.worker])
            self._set_ready(actor, e.state is api.WorkerStatus.READY)
            address = addresses.get(e.worker, actor.address)
            if actor.address != address or self.started_at.get(e.worker, e.started_at) != e.started_at:
                actor.drop_idle()  # idle connections lead to the worker's earlier process
            actor.address, self.started_at[e.worker] = address, e.started_at
        self.decisions.submit(worker_list)

    def retire(self, names: list[str]) -> None:
        """Marks workers as not ready at once; the dispatcher core gets their entries later, in slices."""
        for name in names:
            if (actor := self.actors.get(name)) is not None:
                self._set_ready(actor, False)

    def _set_ready(self, actor: WorkerActor, ready: bool) -> None:
        actor.is_ready = ready
        if ready:
            self.leaving.pop(actor.worker, None)
        else:
            self.leaving[actor.worker] = actor

    def _add(self, name: str, address: tuple[str, int]) -> WorkerActor:
        actor = self.actors[name] = WorkerActor(
            name,
            address,
            self.flows,
            self.decisions,
            self.timers,
            self.connect_timeout_s,
            self.idle_timeout,
            self.slots,
            self.idle_connections,
            self.connect,
            self.max_connections_each,
        )
        return actor

    def send(self, attempt: Attempt) -> None:
        """Passes an attempt to its worker's actor, or ends it as VOID if the worker has none."""
        actor = self.actors.get(attempt.worker)
        if actor is not None:
            actor.post(attempt)
        else:
            attempt.step(Step.END)
            if self.flows.status is not None:
                self.flows.status.record_attempt_end(attempt.flow.id, attempt.worker, E.VOID)
            self.decisions.submit(AttemptEnd(attempt, E.VOID, 0.0, None))

    def cancel(self, attempt: Attempt) -> None:
        """Cancels an attempt."""
        if (actor := self.actors.get(attempt.worker)) is not None:
            actor.post(Cancellation(attempt))

    def handle_callback(self, call_back: Callback) -> None:
        """Passes a callback to its worker's actor; that of an unknown worker is ignored."""
        if (actor := self.actors.get(call_back.sender)) is not None:
            actor.post(call_back)

    def _reap(self) -> None:
        now = self.clock()
        self.idle_connections.close_before(now - self.idle_timeout.limit_s(now), MAX_REAPED_AT_ONCE)
        self._remove_leaving(list(self.leaving))

    def _remove_leaving(self, names: list[str]) -> None:
        """Removes unlisted workers in slices, as half of a large fleet may leave at the same time."""
        for name in names[:MAX_REAPED_AT_ONCE]:
            if (actor := self.leaving.get(name)) is not None:
                actor.drop_idle()
                if actor.is_idle:
                    del self.actors[name], self.leaving[name]
                    self.started_at.pop(name, None)
        if remaining := names[MAX_REAPED_AT_ONCE:]:
            IOLoop.current().add_callback(self._remove_leaving, remaining)
