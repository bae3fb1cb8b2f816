"""The life of a request on the data plane: find a worker, send, pass the answer on, answer once."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from http import HTTPStatus
from math import inf

import aiohttp
from aiohttp import web
from attrs import define, field

from finchladder.cluster.configuration.snapshot import (
    EMPTY_SNAPSHOT,
    ConfigurationSnapshot,
    RequestKind,
    Route,
)
from finchladder.cluster.process.attempt import (
    Broken,
    NotExecuted,
    NotSent,
    Outcome,
    OutgoingRequest,
    Responded,
    TimedOut,
    send,
)
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.process.worker_selection import (
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_NO_REPLICA_S,
    RequestQueue,
)
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.event_stream import EventBuffer
from finchladder.cluster.routing.pools import DECODE_LOAD_SHARE, Pools, Worker, WorkerSelector
from finchladder.cluster.routing.requests import (
    HOP_BY_HOP_HEADERS,
    LAST_EVENT_ID_HEADER,
    ClassifiedRequest,
    classify,
    forwarded_headers,
)
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.transport.peers import steady

CLIENT_RETRY_GRACE_S = 0.5  # after the time that a refused client is told to wait, it is back or has given up
SEND_AFTER_CLOSE_S = 0.05
DOUBTFUL, ENDING, ABSENT, FULL = "doubtful", "ending", "absent", "full"  # why a request is refused
MAX_CONNECT_FAILURES = 4
CHUNK_HEADERS = HOP_BY_HOP_HEADERS | {"content-length"}


class ClientDisconnectedError(Exception):
    """The client's connection is lost; there is nobody to answer."""


@define
class Router:
    """Routes requests by the newest snapshot and pools, which are swapped whole."""

    session: aiohttp.ClientSession
    selector: WorkerSelector
    make_retry_budget: Callable[[], RetryBudget]
    dispatcher_count: Callable[[], int]
    demand: DemandCounter
    is_configuration_stale: Callable[[], bool] = (
        lambda: False
    )  # whether a newer configuration may be in force
    snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT
    queue: RequestQueue = field(init=False)
    draining: bool = False
    reject_unfinishable_from: float = inf  # what comes later is taken only if it ends before `holds_end`
    open_timeouts: set[asyncio.Timeout] = field(factory=set)
    open_requests: int = 0
    retry_budgets: dict[str, RetryBudget] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.queue = RequestQueue(self.selector, self.dispatcher_count, self.demand)

    @property
    def pools(self) -> Pools:
        """The workers by what they hold."""
        return self.queue.pools

    @pools.setter
    def pools(self, pools: Pools) -> None:
        self.queue.pools = pools

    @property
    def pools_changed(self) -> Signal:
        """Fires when there are other pools."""
        return self.queue.pools_changed

    def drain(self, reject_unfinishable_from: float, queue_closes_at: float) -> None:
        """Connections end with their next answer; nothing waits for a worker after `holds_end`. What comes
        after `whole_only_from` and may last longer is refused: it would be cut off by the end of the process.
        """
        self.draining, self.reject_unfinishable_from, self.queue.closes_at = (
            True,
            reject_unfinishable_from,
            queue_closes_at,
        )

    def expire_open_timeouts(self) -> None:
        """The process ends: what still runs gets its last answer now."""
        now = asyncio.get_running_loop().time()
        for attempt in self.open_timeouts:
            attempt.reschedule(now)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One request of a client."""
        self.open_requests += 1
        try:
            response = await self._answer(request)
        except (ClientDisconnectedError, ConnectionError):
            _abort(request)
            return web.Response(status=502)
        finally:
            self.open_requests -= 1
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.snapshot.version or self.is_configuration_stale():
            return self._refuse(RETRY_AFTER_NO_REPLICA_S, DOUBTFUL)
        host = request.headers.get("Host", "").partition(":")[0]
        route = self.snapshot.match(host, request.raw_path.partition("?")[0])
        if route is None:
            await request.content.read()
            return self._plain(404, "no route")
        wanted = classify(request.headers, route, steady())
        body = await self._body(request)
        if body is None:
            return self._plain(413, "the body is too large")
        if wanted.arrived_at >= self.reject_unfinishable_from and wanted.deadline > self.queue.closes_at:
            return self._refuse(RETRY_AFTER_BUSY_S, ENDING, wanted)
        return await self._serve(request, route, wanted, body)

    async def _body(self, request: web.BaseRequest) -> bytes | None:
        parts, size, most = [], 0, self.snapshot.max_body_bytes
        try:
            async for part in request.content.iter_any():
                size += len(part)
                if size > most:
                    return None
                parts.append(part)
        except (web.RequestPayloadError, aiohttp.ClientError) as error:
            raise ClientDisconnectedError from error
        return b"".join(parts)

    # --- finding a worker and sending ---------------------------------------------------------------------

    async def _serve(
        self, request: web.BaseRequest, route: Route, wanted: ClassifiedRequest, body: bytes
    ) -> web.StreamResponse:
        service = self.snapshot.services.get(wanted.key.service)
        priority = route.priority if service is not None and service.engine is not None else None
        sending = OutgoingRequest(request, body, wanted.request_id, priority, wanted.deadline)
        budget = self._budget(wanted.key.service)
        budget.record_request(steady())
        self.demand.record_request(wanted)
        sent: frozenset[str] = frozenset()
        connect_failures = 0
        while True:
            backend = await self.queue.select_worker(wanted, sent)
            if backend is None:
                return self._refuse_unplaced(wanted)
            if sent and not budget.try_withdraw(steady(), self.dispatcher_count()):
                return self._refuse(RETRY_AFTER_BUSY_S, FULL, wanted)
            with InFlightRequest(self.demand, wanted, backend) as running:
                outcome = await self._send(sending, backend)
                if isinstance(outcome, Responded):
                    if outcome.response.status == HTTPStatus.OK:
                        running.record_first_token()
                    backend.consecutive_failures = 0
                    return await self._pass_on(route, wanted, sending, backend, outcome.response)
            self.queue.record_failure(backend, wanted, outcome)
            if isinstance(outcome, NotSent):
                connect_failures += 1
                if connect_failures >= MAX_CONNECT_FAILURES or steady() >= wanted.deadline:
                    return self._refuse(RETRY_AFTER_BUSY_S, FULL, wanted)
                continue
            sent |= {backend.instance}
            if isinstance(outcome, NotExecuted):
                if len(sent) >= route.max_attempts:
                    return self._refuse(max(outcome.retry_after_s, RETRY_AFTER_BUSY_S), FULL, wanted)
                continue
            if isinstance(outcome, Broken) and route.is_idempotent and len(sent) < route.max_attempts:
                continue
            return self._plain(504 if isinstance(outcome, TimedOut) else 502, "the worker gave no answer")

    @asynccontextmanager
    async def _limit(self, until: float) -> AsyncIterator[None]:
        """TimeoutError at `until`, or when the process ends."""
        async with asyncio.timeout(max(0.0, until - steady())) as timeout:
            self.open_timeouts.add(timeout)
            try:
                yield
            finally:
                self.open_timeouts.discard(timeout)

    async def _send(self, sending: OutgoingRequest, backend: Worker, last_event_id: str = "") -> Outcome:
        if steady() >= min(sending.deadline, self.queue.closes_at + SEND_AFTER_CLOSE_S):
            return NotSent("its time is over")
        try:
            async with self._limit(sending.deadline):
                return await send(self.session, sending, backend, last_event_id)
        except TimeoutError:
            return TimedOut()

    def _budget(self, service: str) -> RetryBudget:
        found = self.retry_budgets.get(service)
        if found is None:
            found = self.retry_budgets[service] = self.make_retry_budget()
        return found

    # --- answers ------------------------------------------------------------------------------------------

    async def _pass_on(
        self,
        route: Route,
        wanted: ClassifiedRequest,
        sending: OutgoingRequest,
        backend: Worker,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        try:
            if route.kind is RequestKind.STREAMING and response.status == 200:
                return await self._stream(route, wanted, sending, backend, response)
            return await self._whole(wanted, response)
        finally:
            response.close()

    async def _whole(self, wanted: ClassifiedRequest, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """Reads the whole answer first, so that one that breaks off never looks complete."""
        try:
            async with self._limit(wanted.deadline):
                body = await response.read()
        except TimeoutError:
            return self._plain(504, "the answer did not end in time")
        except (aiohttp.ClientError, OSError):
            return self._plain(502, "the answer broke off")
        headers = forwarded_headers(response.headers)
        answer = web.Response(status=response.status, reason=response.reason, headers=headers, body=body)
        return self._finished(answer)

    async def _stream(
        self,
        route: Route,
        wanted: ClassifiedRequest,
        sending: OutgoingRequest,
        backend: Worker,
        response: aiohttp.ClientResponse,
    ) -> web.StreamResponse:
        """Passes events on as they come; a resumable stream that breaks off is taken up at another worker."""
        request = sending.client_request
        answer = web.StreamResponse(
            status=response.status, reason=response.reason, headers=forwarded_headers(response.headers)
        )
        length = response.headers.get("Content-Length")
        if length is not None and not route.resumable:
            answer.content_length = int(length)
        else:
            answer.enable_chunked_encoding()
        self._finished(answer)
        await answer.prepare(request)
        cutter = EventBuffer() if route.resumable else None
        cutter_id = request.headers.get(LAST_EVENT_ID_HEADER, "")
        sent = frozenset({backend.instance})
        while not await self._copy(response, answer, wanted, cutter):
            again = None
            if cutter is not None and len(sent) < route.max_attempts:
                cutter.discard_incomplete()
                again = await self._take_up(wanted, sending, sent, cutter.last_event_id or cutter_id)
            if again is None:
                _abort(request)
                return answer
            response.close()
            backend, response = again
            sent |= {backend.instance}
        response.close()
        await answer.write_eof()
        return answer

    async def _copy(
        self,
        response: aiohttp.ClientResponse,
        answer: web.StreamResponse,
        wanted: ClassifiedRequest,
        cutter: EventBuffer | None,
    ) -> bool:
        """Copies until the end; False if the worker broke off or its time is over."""
        try:
            async with self._limit(wanted.deadline):
                async for part in response.content.iter_any():
                    data = part if cutter is None else cutter.feed(part)
                    if data:
                        await self._write(answer, data)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return cutter is None or not cutter.has_incomplete

    async def _write(self, answer: web.StreamResponse, data: bytes) -> None:
        try:
            await answer.write(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise ClientDisconnectedError from error

    async def _take_up(
        self, wanted: ClassifiedRequest, sending: OutgoingRequest, sent: frozenset[str], last_event_id: str
    ) -> tuple[Worker, aiohttp.ClientResponse] | None:
        """Another worker that goes on with the stream after that event."""
        backend = await self.queue.select_worker(wanted, sent)
        if backend is None or not self._budget(wanted.key.service).try_withdraw(
            steady(), self.dispatcher_count()
        ):
            return None
        outcome = await self._send(sending, backend, last_event_id)
        if not isinstance(outcome, Responded) or outcome.response.status != 200:
            if isinstance(outcome, Responded):
                outcome.response.close()
            return None
        return backend, outcome.response

    def _refuse_unplaced(self, wanted: ClassifiedRequest) -> web.StreamResponse:
        """No worker could take it in time. Where nobody holds what it needs, it counts as waiting until the
        client may be back: else that would be loaded for nobody, or not at all.
        """
        retry_after_s = self.queue.retry_after_s(wanted)
        if self.pools.pool(wanted.key).workers:
            return self._refuse(retry_after_s, FULL, wanted)
        self.demand.expect_client_retry(wanted.key, steady() + retry_after_s + CLIENT_RETRY_GRACE_S)
        return self._refuse(retry_after_s, ABSENT, wanted)

    def _refuse(
        self, retry_after_s: float, reason: str, wanted: ClassifiedRequest | None = None
    ) -> web.StreamResponse:
        """Not run: the client may come again."""
        waited_s = 0.0 if wanted is None else round(steady() - wanted.arrived_at, 2)
        event(
            "request.refused", reason=reason, key="" if wanted is None else wanted.key.name, waited_s=waited_s
        )
        response = web.Response(status=503, text="no worker can take it now\n")
        response.headers["Retry-After"] = f"{retry_after_s:.2f}"
        return self._finished(response)

    def _plain(self, status: int, text: str) -> web.StreamResponse:
        return self._finished(web.Response(status=status, text=text + "\n"))

    def _finished(self, response: web.StreamResponse) -> web.StreamResponse:
        if self.draining:
            response.force_close()
        return response


class InFlightRequest:
    """Counts a request at a worker while an attempt runs."""

    def __init__(self, demand: DemandCounter, request: ClassifiedRequest, worker: Worker) -> None:
        self._demand, self._request, self._worker = demand, request, worker
        self._load = demand.request_cost(request).load

    def __enter__(self) -> "InFlightRequest":
        self._was_idle, self._started_at = self._worker.load <= 0, steady()
        self._worker.add_load(self._load)
        self._demand.add_in_flight(self._request.key, self._worker.instance, 1)
        return self

    def record_first_token(self) -> None:
        """Its prompt has been read: the head of a model's answer comes with the first token."""
        if not self._request.key.model:
            return
        if self._was_idle:
            self._demand.record_time_to_first_token(self._request, steady() - self._started_at)
        left = DECODE_LOAD_SHARE * self._load
        self._worker.add_load(left - self._load)
        self._load = left

    def __exit__(self, *_: object) -> None:
        self._worker.add_load(-self._load)
        self._demand.add_in_flight(self._request.key, self._worker.instance, -1)


def _abort(request: web.BaseRequest) -> None:
    """Closes the connection so that nobody takes what was sent for a whole answer."""
    if request.transport is not None:
        request.transport.abort()
