"""Handles client requests: classifies and admits them, selects a worker, sends, retries and responds."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from math import inf

import aiohttp
from aiohttp import web
from attrs import define, field

from finchladder.cluster.configuration.snapshot import (
    EMPTY_SNAPSHOT,
    ConfigurationSnapshot,
    RequestKind,
)
from finchladder.cluster.process.attempt import (
    AdmittedRequest,
    Broken,
    FailedAttempt,
    NotExecuted,
    NotSent,
    OutgoingRequest,
    Responded,
    TimedOut,
)
from finchladder.cluster.process.attempt_sender import AttemptSender
from finchladder.cluster.process.client_responses import (
    ClientDisconnectedError,
    ClientResponses,
    RejectReason,
    abort_connection,
)
from finchladder.cluster.process.in_flight import InFlightRequest
from finchladder.cluster.process.request_quota import NoAccount, QuotaSource, RequestQuota
from finchladder.cluster.process.stream_relay import StreamRelay
from finchladder.cluster.process.tasks import Signal
from finchladder.cluster.process.worker_backoff import record_failure
from finchladder.cluster.process.worker_selection import (
    RequestQueue,
)
from finchladder.cluster.process.worker_stream import WorkerStream
from finchladder.cluster.routing.authorization import (
    AuthorizationDecision,
    Authorized,
    NoRoute,
    Unauthorized,
    UnauthorizedReason,
    authorize,
    is_still_authorized,
)
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.headers import AUTHORIZATION_HEADER, HOST_HEADER, forwarded_headers
from finchladder.cluster.routing.pools import Pools
from finchladder.cluster.routing.requests import ClassifiedRequest, classify
from finchladder.cluster.routing.retry_budget import RetryBudget, RetryBudgets
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.tenancy.reservations import QuotaExhausted, QuotaRefusal, QuotaUnavailable
from finchladder.cluster.transport.peers import steady

CLIENT_RETRY_GRACE_S = 0.5  # time after `Retry-After` within which a rejected client retries or gives up
MAX_CONNECT_FAILURES = 4  # maximum number of failed connections for one request
RETRY_AFTER_CONFIGURATION_S = 1.0  # time in which a newer configuration is pulled, or confirmed
RETRY_AT_ONCE_S = 0.0  # another try has a prospect right away
RETRY_AFTER_NO_ACCOUNT_S = 1.5  # time for the election of a new holder; clients retry only once or twice
NO_RESPONSE = "the worker sent no usable response"


@define
class AttemptHistory:
    """Failed attempts of one request.

    `attempted`: instances that may have received the request; `may_have_run`: whether one of these instances
    may have run it.
    """

    attempted: frozenset[str] = frozenset()
    connect_failures: int = 0
    may_have_run: bool = False

    def record(self, worker: Worker, failure: FailedAttempt) -> None:
        """Records a failed attempt."""
        if isinstance(failure, NotSent):
            self.connect_failures += 1
        else:
            self.attempted |= {worker.instance}
            self.may_have_run |= not isinstance(failure, NotExecuted)


async def _confirm_configuration() -> bool:
    """Returns True; default for a router that has no process to refresh its configuration from."""
    return True


def _authorize(client_request: web.BaseRequest, snapshot: ConfigurationSnapshot) -> AuthorizationDecision:
    """Returns whether a configuration allows a request, and by which route and tenant."""
    headers = client_request.headers
    host = headers.get(HOST_HEADER, "").partition(":")[0]
    path = client_request.raw_path.partition("?")[0]
    return authorize(snapshot, host, path, headers.getall(AUTHORIZATION_HEADER, []))


@define
class Router:
    """Routes requests by the current snapshot and pools, each replaced as one object.

    Attributes:
        make_retry_budget: Creates the retry budget of a service.
        dispatcher_count: Returns the number of dispatchers; 0 if unknown.
        is_configuration_stale: Returns whether an unknown, newer configuration may be in force.
        refresh_configuration: Replaces `snapshot` if a newer configuration is available at once; returns
            whether the chain has recently confirmed the source of the configuration.
        quotas: Grants quota to tenants that have a limit.
        reject_unfinishable_from: Requests that arrive after this time (monotonic seconds) are rejected if the
            process may end before they do.
        open_requests: Number of requests that are being handled.
    """

    session: aiohttp.ClientSession
    selector: WorkerSelector
    make_retry_budget: Callable[[], RetryBudget]
    dispatcher_count: Callable[[], int]
    demand: DemandCounter
    is_configuration_stale: Callable[[], bool] = lambda: False
    refresh_configuration: Callable[[], Awaitable[bool]] = _confirm_configuration
    quotas: QuotaSource = field(factory=NoAccount)
    snapshot: ConfigurationSnapshot = EMPTY_SNAPSHOT
    queue: RequestQueue = field(init=False)
    retry_budgets: RetryBudgets = field(init=False)
    sender: AttemptSender = field(init=False)
    responses: ClientResponses = field(factory=ClientResponses)
    reject_unfinishable_from: float = inf
    open_requests: int = 0

    def __attrs_post_init__(self) -> None:
        """Creates the components that share the dependencies of this router."""
        self.queue = RequestQueue(self.selector, self.dispatcher_count, self.demand)
        self.retry_budgets = RetryBudgets(self.make_retry_budget, self.dispatcher_count)
        self.sender = AttemptSender(self.session, self.queue, self.retry_budgets, self.demand, self._may_send)

    @property
    def pools(self) -> Pools:
        """The ready workers by service, model and adapter."""
        return self.queue.pools

    @pools.setter
    def pools(self, pools: Pools) -> None:
        self.queue.pools = pools

    @property
    def pools_changed(self) -> Signal:
        """Signal that fires after `pools` was replaced."""
        return self.queue.pools_changed

    def drain(self, reject_unfinishable_from: float, queue_closes_at: float) -> None:
        """Begins a graceful shutdown: connections close after their next response.

        Args:
            reject_unfinishable_from: Requests that arrive after this time (monotonic seconds) are rejected if
                their deadline is after `queue_closes_at`, since the end of the process could interrupt them.
            queue_closes_at: No request is queued after this time (monotonic seconds).
        """
        self.responses.draining = True
        self.reject_unfinishable_from = reject_unfinishable_from
        self.queue.closes_at = queue_closes_at

    def expire_open_timeouts(self) -> None:
        """Times out all running requests, so that they get a response before the process ends."""
        self.sender.expire_open_timeouts()

    # --- classify and admit -------------------------------------------------------------------------------

    async def handle(self, client_request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request of a client."""
        self.open_requests += 1
        try:
            return await self._process(client_request)
        except (ClientDisconnectedError, ConnectionError):
            abort_connection(client_request)
            return web.Response(status=HTTPStatus.BAD_GATEWAY)
        finally:
            self.open_requests -= 1

    async def _process(self, client_request: web.BaseRequest) -> web.StreamResponse:
        """Classifies, admits and serves a request, or returns the response that rejects it."""
        if not self.snapshot.version or self.is_configuration_stale():
            return self.responses.reject(RETRY_AFTER_CONFIGURATION_S, RejectReason.CONFIGURATION_STALE)
        arrived_at = steady()
        snapshot = self.snapshot  # used for the whole request, except for the check in `_may_send`
        decision = _authorize(client_request, snapshot)
        is_confirmed = True
        if not isinstance(decision, Authorized):
            is_confirmed = await self.refresh_configuration()
            snapshot = self.snapshot
            decision = _authorize(client_request, snapshot)
        match decision:
            case NoRoute():
                await client_request.content.read()
                return self._reject(decision, is_confirmed)
            case Unauthorized():
                await self._read_body(client_request, snapshot.max_body_bytes)
                return self._reject(decision, is_confirmed)
            case Authorized():
                return await self._admit_and_serve(client_request, snapshot, decision, arrived_at)

    def _reject(self, decision: NoRoute | Unauthorized, is_confirmed: bool) -> web.StreamResponse:
        """Responds with 404 or 401 only if the configuration is confirmed.

        A client treats these as final, and a newer configuration may contain the route or the key.
        """
        if not is_confirmed:
            return self.responses.reject(RETRY_AFTER_CONFIGURATION_S, RejectReason.CONFIGURATION_UNCONFIRMED)
        if isinstance(decision, Unauthorized):
            return self.responses.unauthorized(decision.reason)
        return self.responses.error(HTTPStatus.NOT_FOUND, "no route matches the request")

    async def _admit_and_serve(
        self,
        client_request: web.BaseRequest,
        snapshot: ConfigurationSnapshot,
        authorized: Authorized,
        arrived_at: float,
    ) -> web.StreamResponse:
        """Serves an authorized request unless it is too large, has no quota, or may outlast the process."""
        classified = classify(client_request.headers, authorized.route, arrived_at)
        body = await self._read_body(client_request, snapshot.max_body_bytes)
        if body is None:
            return self.responses.error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request body is too large")
        if self._may_outlast_process(classified):
            return self.responses.reject(
                RETRY_AT_ONCE_S, RejectReason.SHUTTING_DOWN, classified, authorized.tenant_name
            )
        quota = self._quota(authorized, classified)
        try:
            refusal = await quota.reserve()
            if refusal is not None:
                return self._reject_without_quota(refusal, classified, authorized.tenant_name)
            return await self._serve(
                self._admit(client_request, snapshot, authorized, classified, body, quota)
            )
        finally:
            quota.release()

    def _quota(self, authorized: Authorized, classified: ClassifiedRequest) -> RequestQuota:
        """Creates the quota of the request with its cost and time limit, without reserving anything yet."""
        tenant = authorized.tenant
        cost = 0 if tenant is None else tenant.cost(classified.total_tokens)
        reserve_by = min(self.queue.latest_start(classified), self.queue.closes_at)
        return RequestQuota(self.quotas, tenant, cost, reserve_by)

    def _reject_without_quota(
        self, refusal: QuotaRefusal, classified: ClassifiedRequest, tenant_name: str | None
    ) -> web.StreamResponse:
        """Returns the response to a request that got no quota and was certainly not run by any worker."""
        match refusal:
            case QuotaExhausted(retry_after_s):
                return self.responses.over_quota(retry_after_s)
            case QuotaUnavailable():
                return self.responses.reject(
                    RETRY_AFTER_NO_ACCOUNT_S, RejectReason.QUOTA_UNAVAILABLE, classified, tenant_name
                )

    async def _read_body(self, client_request: web.BaseRequest, max_bytes: int) -> bytes | None:
        """Returns the body; None if it is larger than `max_bytes`."""
        chunks = []
        size = 0
        try:
            async for chunk in client_request.content.iter_any():
                size += len(chunk)
                if size > max_bytes:
                    return None
                chunks.append(chunk)
        except (web.RequestPayloadError, aiohttp.ClientError) as error:
            raise ClientDisconnectedError from error
        return b"".join(chunks)

    def _may_outlast_process(self, classified: ClassifiedRequest) -> bool:
        arrived_during_shutdown = classified.arrived_at >= self.reject_unfinishable_from
        return arrived_during_shutdown and classified.deadline > self.queue.closes_at

    def _admit(
        self,
        client_request: web.BaseRequest,
        snapshot: ConfigurationSnapshot,
        authorized: Authorized,
        classified: ClassifiedRequest,
        body: bytes,
        quota: RequestQuota,
    ) -> AdmittedRequest:
        service = snapshot.services.get(classified.key.service)
        has_engine = service is not None and service.engine is not None
        outgoing = OutgoingRequest(
            client_request=client_request,
            body=body,
            request_id=classified.request_id,
            priority=authorized.priority if has_engine else None,
            deadline=classified.deadline,
            hides_identity=authorized.has_tenants,
            tenant_name=authorized.tenant_name,
        )
        self.retry_budgets.record_request(classified.key.service, steady())
        self.demand.record_request(classified)
        return AdmittedRequest(authorized, classified, outgoing, quota)

    # --- select, attempt, retry ---------------------------------------------------------------------------

    async def _serve(self, request: AdmittedRequest) -> web.StreamResponse:
        """Sends the request to one worker after another until a response can be returned."""
        history = AttemptHistory()
        while True:
            worker = await self._next_worker(request, history)
            if not isinstance(worker, Worker):
                return worker
            request.quota.spend()
            with InFlightRequest(self.demand, request.classified, worker) as in_flight:
                outcome = await self.sender.send(request.outgoing, worker)
                if isinstance(outcome, Responded):
                    if outcome.response.status == HTTPStatus.OK:
                        in_flight.record_first_token()
                    worker.consecutive_failures = 0
                    return await self._relay(request, WorkerStream(worker, outcome.response, in_flight))
            if isinstance(outcome, NotSent | NotExecuted):
                request.quota.restore()
            record_failure(worker, request.classified, outcome)
            history.record(worker, outcome)
            response = self._response_unless_retried(request, history, outcome)
            if response is not None:
                return response

    async def _next_worker(
        self, request: AdmittedRequest, history: AttemptHistory
    ) -> Worker | web.StreamResponse:
        """Returns the worker for the next attempt, or the response to the client if there is no worker."""
        while True:
            worker = await self.queue.select_worker(request.classified, history.attempted)
            if worker is None:
                return self._reject_without_worker(request)
            if not self._may_send(request):
                return self._reject_changed(request, history)
            if request.quota.is_reserved():
                break
            refusal = await request.quota.reserve()
            if refusal is not None and history.may_have_run:
                return self.responses.error(HTTPStatus.BAD_GATEWAY, NO_RESPONSE)
            if refusal is not None:
                return self._reject_without_quota(refusal, request.classified, request.authorized.tenant_name)
        if history.attempted and not self._withdraw_retry(request):
            return self._reject_no_capacity(request)
        return worker

    def _may_send(self, request: AdmittedRequest) -> bool:
        """Returns whether the newest configuration still assigns the request's key to the same tenant."""
        return is_still_authorized(request.authorized, self.snapshot)

    def _reject_changed(self, request: AdmittedRequest, history: AttemptHistory) -> web.StreamResponse:
        """Returns the response to a request whose authorization has changed since its arrival.

        Clients do not retry after a 401, so this status is used only for requests that the newest
        configuration does not allow. A request that the configuration allows for another tenant gets a 503,
        and is authorized again when the client retries.
        """
        if history.may_have_run:
            return self.responses.error(HTTPStatus.BAD_GATEWAY, NO_RESPONSE)
        if isinstance(_authorize(request.outgoing.client_request, self.snapshot), Unauthorized):
            return self.responses.unauthorized(UnauthorizedReason.REVOKED)
        return self.responses.reject(
            RETRY_AT_ONCE_S,
            RejectReason.TENANT_CHANGED,
            request.classified,
            request.authorized.tenant_name,
        )

    def _withdraw_retry(self, request: AdmittedRequest) -> bool:
        """Withdraws a retry from the retry budget of the request's service; returns whether one was left."""
        return self.retry_budgets.try_withdraw(request.classified.key.service, steady())

    def _response_unless_retried(
        self, request: AdmittedRequest, history: AttemptHistory, failure: FailedAttempt
    ) -> web.StreamResponse | None:
        """Returns the response after a failed attempt; None if the request may be sent to another worker."""
        may_retry = len(history.attempted) < request.route.max_attempts
        match failure:
            case NotSent():
                is_out_of_attempts = history.connect_failures >= MAX_CONNECT_FAILURES
                if is_out_of_attempts or steady() >= request.classified.deadline:
                    return self._reject_no_capacity(request)
                return None
            case NotExecuted():
                return None if may_retry else self._reject_no_capacity(request, failure.retry_after_s)
            case Broken():
                if may_retry and request.route.is_idempotent:
                    return None
                return self.responses.error(HTTPStatus.BAD_GATEWAY, NO_RESPONSE)
            case TimedOut():
                return self.responses.error(HTTPStatus.GATEWAY_TIMEOUT, NO_RESPONSE)

    # --- respond ------------------------------------------------------------------------------------------

    async def _relay(self, request: AdmittedRequest, stream: WorkerStream) -> web.StreamResponse:
        """Forwards a worker's response to the client."""
        try:
            if request.route.kind is RequestKind.STREAMING and stream.response.status == HTTPStatus.OK:
                return await StreamRelay(request, self.sender, self.responses).relay(stream)
            return await self._relay_complete(request, stream.response)
        finally:
            stream.close()

    async def _relay_complete(
        self, request: AdmittedRequest, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Reads the complete response before forwarding it, so that a truncated one never looks complete."""
        try:
            async with self.sender.timeout_at(request.classified.deadline):
                body = await response.read()
        except TimeoutError:
            return self.responses.error(
                HTTPStatus.GATEWAY_TIMEOUT, "the worker's response was incomplete at the deadline"
            )
        except (aiohttp.ClientError, OSError):
            return self.responses.error(HTTPStatus.BAD_GATEWAY, "the worker's response was interrupted")
        return self.responses.finish(
            web.Response(
                status=response.status,
                reason=response.reason,
                headers=forwarded_headers(response.headers),
                body=body,
            )
        )

    def _reject_no_capacity(self, request: AdmittedRequest, retry_after_s: float = 0.0) -> web.StreamResponse:
        return self.responses.reject(
            max(retry_after_s, self.queue.retry_after_s(request.classified)),
            RejectReason.NO_CAPACITY,
            request.classified,
            request.authorized.tenant_name,
        )

    def _reject_without_worker(self, request: AdmittedRequest) -> web.StreamResponse:
        """Rejects a request that found no worker in time.

        If the model has no replica, the request counts as queued until its client may have retried. Otherwise
        the placer would load the model only after its clients have given up, or not at all.
        """
        classified, tenant_name = request.classified, request.authorized.tenant_name
        retry_after_s = self.queue.retry_after_s(classified)
        if self.pools.pool(classified.key).workers:
            return self.responses.reject(retry_after_s, RejectReason.NO_CAPACITY, classified, tenant_name)
        self.demand.expect_client_retry(classified.key, steady() + retry_after_s + CLIENT_RETRY_GRACE_S)
        return self.responses.reject(retry_after_s, RejectReason.NO_REPLICA, classified, tenant_name)
