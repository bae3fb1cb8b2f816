"""Sends attempts within the requests' deadlines; resumed streams also count against the retry budgets."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager
from http import HTTPStatus

import aiohttp
from attrs import define, field

from finchladder.cluster.process.attempt import (
    DEADLINE_PASSED,
    AdmittedRequest,
    Outcome,
    OutgoingRequest,
    Responded,
    TimedOut,
    send,
)
from finchladder.cluster.process.in_flight import InFlightRequest
from finchladder.cluster.process.worker_backoff import record_failure
from finchladder.cluster.process.worker_selection import RequestQueue
from finchladder.cluster.process.worker_stream import WorkerStream
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.retry_budget import RetryBudgets
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import steady

SEND_AFTER_QUEUE_CLOSED_S = 0.05  # time for sending requests that got a worker before the queue closed


@define
class AttemptSender:
    """Sends the attempts of all requests, and times them out.

    `may_send`: returns whether a request may still be sent under the newest configuration.
    """

    session: aiohttp.ClientSession
    queue: RequestQueue
    retry_budgets: RetryBudgets
    demand: DemandCounter
    may_send: Callable[[AdmittedRequest], bool]
    _open_timeouts: set[asyncio.Timeout] = field(factory=set)

    async def send(self, outgoing: OutgoingRequest, worker: Worker, last_event_id: str = "") -> Outcome:
        """Sends the request and waits for the head of the response until the deadline."""
        if steady() >= min(outgoing.deadline, self.queue.closes_at + SEND_AFTER_QUEUE_CLOSED_S):
            return DEADLINE_PASSED
        try:
            async with self.timeout_at(outgoing.deadline):
                return await send(self.session, outgoing, worker, last_event_id)
        except TimeoutError:
            return TimedOut()

    async def resume(
        self, request: AdmittedRequest, attempted: frozenset[str], last_event_id: str
    ) -> WorkerStream | None:
        """Resumes a stream at another worker after the event `last_event_id`; None if that is not possible.

        The caller closes the stream.
        """
        silent_since = steady()
        request.quota.reserve_by = self.queue.latest_start(request.classified, silent_since)
        if await request.quota.reserve() is not None:
            return None
        worker = await self.queue.select_worker(request.classified, attempted, silent_since)
        if worker is None or not self.may_send(request) or not request.quota.is_reserved():
            return None
        if not self.retry_budgets.try_withdraw(request.classified.key.service, steady()):
            return None
        request.quota.spend()
        with ExitStack() as attempt:
            in_flight = attempt.enter_context(InFlightRequest(self.demand, request.classified, worker))
            outcome = await self.send(request.outgoing, worker, last_event_id)
            if not isinstance(outcome, Responded):
                record_failure(worker, request.classified, outcome)
                return None
            if outcome.response.status != HTTPStatus.OK:
                outcome.response.close()
                return None
            in_flight.record_first_token()
            attempt.pop_all()  # the attempt ends when the caller closes the stream, not with this block
            return WorkerStream(worker, outcome.response, in_flight)

    @asynccontextmanager
    async def timeout_at(self, deadline: float) -> AsyncIterator[None]:
        """Raises TimeoutError at the deadline, or when `expire_open_timeouts` is called."""
        async with asyncio.timeout(max(0.0, deadline - steady())) as timeout:
            self._open_timeouts.add(timeout)
            try:
                yield
            finally:
                self._open_timeouts.discard(timeout)

    def expire_open_timeouts(self) -> None:
        """Times out all running attempts, so that each request gets a response before the process ends."""
        now = asyncio.get_running_loop().time()
        for timeout in self._open_timeouts:
            timeout.reschedule(now)
