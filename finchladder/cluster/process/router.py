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
    Answered,
    Broken,
    NotExecuted,
    NotSent,
    Outcome,
    Sending,
    TimedOut,
    send,
)
from finchladder.cluster.process.log import event
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.process.worker_selection import (
    RETRY_AFTER_ABSENT_S,
    RETRY_AFTER_FULL_S,
    WorkerFinder,
)
from finchladder.cluster.routing.budget import RetryBudget
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.events import EventCutter
from finchladder.cluster.routing.pools import RUNNING_LOAD, Backend, Chooser, Pools
from finchladder.cluster.routing.requests import HOP_BY_HOP, LAST_EVENT_ID, Need, need, onward_headers
from finchladder.cluster.transport.peers import steady

RETURN_S = 0.5  # after the time that a refused client is told to wait, it is back or has given up
LAST_SEND_S = 0.05
DOUBTFUL, ENDING, ABSENT, FULL = "doubtful", "ending", "absent", "full"  # why a request is refused
MOST_CONNECT_FAILURES = 4
CHUNK_HEADERS = HOP_BY_HOP | {"content-length"}


class ClientGone(Exception):
    """The client's connection is lost; there is nobody to answer."""


@define
class Router:
    """Routes requests by the newest snapshot and pools, which are swapped whole."""

    session: aiohttp.ClientSession
    chooser: Chooser
    budget: Callable[[], RetryBudget]
    dispatchers: Callable[[], int]
    demand: DemandCounter
    is_doubtful: Callable[[], bool] = lambda: False  # whether a newer configuration may be in force
    snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT
    finder: WorkerFinder = field(init=False)
    draining: bool = False
    whole_only_from: float = inf  # what comes later is taken only if it ends before `holds_end`
    attempts: set[asyncio.Timeout] = field(factory=set)
    open_requests: int = 0
    budgets: dict[str, RetryBudget] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.finder = WorkerFinder(self.chooser, self.dispatchers, self.demand)

    @property
    def pools(self) -> Pools:
        """The workers by what they hold."""
        return self.finder.pools

    @pools.setter
    def pools(self, pools: Pools) -> None:
        self.finder.pools = pools

    @property
    def changed(self) -> Signal:
        """Fires when there are other pools."""
        return self.finder.changed

    def drain(self, whole_only_from: float, holds_end: float) -> None:
        """Connections end with their next answer; nothing waits for a worker after `holds_end`. What comes
        after `whole_only_from` and may last longer is refused: it would be cut off by the end of the process.
        """
        self.draining, self.whole_only_from, self.finder.holds_end = True, whole_only_from, holds_end

    def end_attempts(self) -> None:
        """The process ends: what still runs gets its last answer now."""
        now = asyncio.get_running_loop().time()
        for attempt in self.attempts:
            attempt.reschedule(now)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One request of a client."""
        self.open_requests += 1
        try:
            response = await self._answer(request)
        except (ClientGone, ConnectionError):
            _abort(request)
            return web.Response(status=502)
        finally:
            self.open_requests -= 1
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.snapshot.version or self.is_doubtful():
            return self._refuse(RETRY_AFTER_ABSENT_S, DOUBTFUL)
        host = request.headers.get("Host", "").partition(":")[0]
        route = self.snapshot.match(host, request.raw_path.partition("?")[0])
        if route is None:
            await request.content.read()
            return self._plain(404, "no route")
        wanted = need(request.headers, route, steady())
        body = await self._body(request)
        if body is None:
            return self._plain(413, "the body is too large")
        if wanted.arrived >= self.whole_only_from and wanted.until > self.finder.holds_end:
            return self._refuse(RETRY_AFTER_FULL_S, ENDING, wanted)
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
            raise ClientGone from error
        return b"".join(parts)

    # --- finding a worker and sending ---------------------------------------------------------------------

    async def _serve(
        self, request: web.BaseRequest, route: Route, wanted: Need, body: bytes
    ) -> web.StreamResponse:
        service = self.snapshot.services.get(wanted.key.service)
        priority = route.priority if service is not None and service.engine is not None else None
        sending = Sending(request, body, wanted.request_id, priority, wanted.until)
        budget = self._budget(wanted.key.service)
        budget.arrived(steady())
        self.demand.asked(wanted)
        sent: frozenset[str] = frozenset()
        connect_failures = 0
        while True:
            backend = await self.finder.find(wanted, sent)
            if backend is None:
                return self._refuse_unplaced(wanted)
            if sent and not budget.spend(steady(), self.dispatchers()):
                return self._refuse(RETRY_AFTER_FULL_S, FULL, wanted)
            with Running(self.demand, wanted, backend) as running:
                outcome = await self._send(sending, backend)
                if isinstance(outcome, Answered):
                    if outcome.response.status == HTTPStatus.OK:
                        running.has_begun()
                    backend.failures = 0
                    return await self._pass_on(route, wanted, sending, backend, outcome.response)
            self.finder.note(backend, wanted, outcome)
            if isinstance(outcome, NotSent):
                connect_failures += 1
                if connect_failures >= MOST_CONNECT_FAILURES or steady() >= wanted.until:
                    return self._refuse(RETRY_AFTER_FULL_S, FULL, wanted)
                continue
            sent |= {backend.instance}
            if isinstance(outcome, NotExecuted):
                if len(sent) >= route.max_attempts:
                    return self._refuse(max(outcome.retry_after_s, RETRY_AFTER_FULL_S), FULL, wanted)
                continue
            if isinstance(outcome, Broken) and route.is_idempotent and len(sent) < route.max_attempts:
                continue
            return self._plain(504 if isinstance(outcome, TimedOut) else 502, "the worker gave no answer")

    @asynccontextmanager
    async def _limit(self, until: float) -> AsyncIterator[None]:
        """TimeoutError at `until`, or when the process ends."""
        async with asyncio.timeout(max(0.0, until - steady())) as timeout:
            self.attempts.add(timeout)
            try:
                yield
            finally:
                self.attempts.discard(timeout)

    async def _send(self, sending: Sending, backend: Backend, last_event_id: str = "") -> Outcome:
        if steady() >= min(sending.until, self.finder.holds_end + LAST_SEND_S):
            return NotSent("its time is over")
        try:
            async with self._limit(sending.until):
                return await send(self.session, sending, backend, last_event_id)
        except TimeoutError:
            return TimedOut()

    def _budget(self, service: str) -> RetryBudget:
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = self.budget()
        return found

    # --- answers ------------------------------------------------------------------------------------------

    async def _pass_on(
        self, route: Route, wanted: Need, sending: Sending, backend: Backend, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        try:
            if route.kind is RequestKind.STREAMING and response.status == 200:
                return await self._stream(route, wanted, sending, backend, response)
            return await self._whole(wanted, response)
        finally:
            response.close()

    async def _whole(self, wanted: Need, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """Reads the whole answer first, so that one that breaks off never looks complete."""
        try:
            async with self._limit(wanted.until):
                body = await response.read()
        except TimeoutError:
            return self._plain(504, "the answer did not end in time")
        except (aiohttp.ClientError, OSError):
            return self._plain(502, "the answer broke off")
        headers = onward_headers(response.headers)
        answer = web.Response(status=response.status, reason=response.reason, headers=headers, body=body)
        return self._finished(answer)

    async def _stream(
        self, route: Route, wanted: Need, sending: Sending, backend: Backend, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Passes events on as they come; a resumable stream that breaks off is taken up at another worker."""
        request = sending.request
        answer = web.StreamResponse(
            status=response.status, reason=response.reason, headers=onward_headers(response.headers)
        )
        length = response.headers.get("Content-Length")
        if length is not None and not route.resumable:
            answer.content_length = int(length)
        else:
            answer.enable_chunked_encoding()
        self._finished(answer)
        await answer.prepare(request)
        cutter = EventCutter() if route.resumable else None
        cutter_id = request.headers.get(LAST_EVENT_ID, "")
        sent = frozenset({backend.instance})
        while not await self._copy(response, answer, wanted, cutter):
            again = None
            if cutter is not None and len(sent) < route.max_attempts:
                cutter.drop_rest()
                again = await self._take_up(wanted, sending, sent, cutter.last_id or cutter_id)
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
        wanted: Need,
        cutter: EventCutter | None,
    ) -> bool:
        """Copies until the end; False if the worker broke off or its time is over."""
        try:
            async with self._limit(wanted.until):
                async for part in response.content.iter_any():
                    data = part if cutter is None else cutter.feed(part)
                    if data:
                        await self._write(answer, data)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return cutter is None or not cutter.unfinished

    async def _write(self, answer: web.StreamResponse, data: bytes) -> None:
        try:
            await answer.write(data)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise ClientGone from error

    async def _take_up(
        self, wanted: Need, sending: Sending, sent: frozenset[str], last_event_id: str
    ) -> tuple[Backend, aiohttp.ClientResponse] | None:
        """Another worker that goes on with the stream after that event."""
        backend = await self.finder.find(wanted, sent)
        if backend is None or not self._budget(wanted.key.service).spend(steady(), self.dispatchers()):
            return None
        outcome = await self._send(sending, backend, last_event_id)
        if not isinstance(outcome, Answered) or outcome.response.status != 200:
            if isinstance(outcome, Answered):
                outcome.response.close()
            return None
        return backend, outcome.response

    def _refuse_unplaced(self, wanted: Need) -> web.StreamResponse:
        """No worker could take it in time. Where nobody holds what it needs, it counts as waiting until the
        client may be back: else that would be loaded for nobody, or not at all.
        """
        retry_after_s = self.finder.retry_after_s(wanted)
        if self.pools.pool(wanted.key).backends:
            return self._refuse(retry_after_s, FULL, wanted)
        self.demand.comes_back(wanted.key, steady() + retry_after_s + RETURN_S)
        return self._refuse(retry_after_s, ABSENT, wanted)

    def _refuse(self, retry_after_s: float, reason: str, wanted: Need | None = None) -> web.StreamResponse:
        """Not run: the client may come again."""
        waited_s = 0.0 if wanted is None else round(steady() - wanted.arrived, 2)
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


class Running:
    """Counts a request at a worker while an attempt runs."""

    def __init__(self, demand: DemandCounter, wanted: Need, backend: Backend) -> None:
        self._demand, self._wanted, self._backend = demand, wanted, backend
        self._load = demand.sized(wanted).load

    def __enter__(self) -> "Running":
        self._is_alone, self._began = self._backend.load <= 0, steady()
        self._backend.add(self._load)
        self._demand.runs(self._wanted.key, self._backend.instance, 1)
        return self

    def has_begun(self) -> None:
        """Its prompt has been read: the head of a model's answer comes with the first token."""
        if not self._wanted.key.model:
            return
        if self._is_alone:
            self._demand.began(self._wanted, steady() - self._began)
        left = RUNNING_LOAD * self._load
        self._backend.add(left - self._load)
        self._load = left

    def __exit__(self, *_: object) -> None:
        self._backend.add(-self._load)
        self._demand.runs(self._wanted.key, self._backend.instance, -1)


def _abort(request: web.BaseRequest) -> None:
    """Closes the connection so that nobody takes what was sent for a whole answer."""
    if request.transport is not None:
        request.transport.abort()
