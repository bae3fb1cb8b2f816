"""The life of a request on the data plane: classify, admit, select a worker, attempt, retry, respond."""

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
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_NO_REPLICA_S,
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

CLIENT_RETRY_GRACE_S = 0.5  # after its `Retry-After` a rejected client has retried or given up
MAX_CONNECT_FAILURES = 4  # of one request
QUOTA_WAIT_SHARE = 0.25  # of the latency target, after which a refusal costs its value
MIN_QUOTA_WAIT_S = 0.05
RETRY_AFTER_NO_ACCOUNT_S = 1.5  # a new holder is there by then; clients retry once or twice
NO_ANSWER = "the worker gave no answer"


@define
class AttemptHistory:
    """Attempts of one request.

    `attempted`: instances that may have received it; `may_have_run`: whether one of them may have run it.
    """

    attempted: frozenset[str] = frozenset()
    connect_failures: int = 0
    may_have_run: bool = False

    def record(self, worker: Worker, failure: FailedAttempt) -> None:
        """Adds an attempt that failed."""
        if isinstance(failure, NotSent):
            self.connect_failures += 1
        else:
            self.attempted |= {worker.instance}
            self.may_have_run |= not isinstance(failure, NotExecuted)


async def _confirm_configuration() -> bool:
    """For a router whose configuration has no source to pull from."""
    return True


def _authorize(client_request: web.BaseRequest, snapshot: ConfigurationSnapshot) -> AuthorizationDecision:
    """What one configuration says of a request."""
    headers = client_request.headers
    host = headers.get(HOST_HEADER, "").partition(":")[0]
    path = client_request.raw_path.partition("?")[0]
    return authorize(snapshot, host, path, headers.getall(AUTHORIZATION_HEADER, []))


@define
class Router:
    """Routes requests by the current snapshot and pools, each replaced as one object.

    Attributes:
        make_retry_budget: Makes the retry budget of a service.
        dispatcher_count: How many dispatchers there are; 0: unknown.
        is_configuration_stale: Whether a newer configuration may be in force.
        refresh_configuration: Replaces `snapshot` if a newer configuration can be had at once; whether the
            chain has confirmed its source lately.
        quotas: Grants the quota of tenants that have a limit.
        reject_unfinishable_from: Requests that arrive later are rejected if they may outlast the process.
        open_requests: Requests without a complete response.
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
        """Makes the parts that share what this router was given."""
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
        """Fired after `pools` was replaced."""
        return self.queue.pools_changed

    def drain(self, reject_unfinishable_from: float, queue_closes_at: float) -> None:
        """Begins a graceful shutdown: connections close after their next response.

        Args:
            reject_unfinishable_from: Requests that arrive later (monotonic seconds) and may last until
                `queue_closes_at` are rejected, since the end of the process would cut them off.
            queue_closes_at: No request waits for a worker after this time.
        """
        self.responses.draining = True
        self.reject_unfinishable_from = reject_unfinishable_from
        self.queue.closes_at = queue_closes_at

    def expire_open_timeouts(self) -> None:
        """Times out all requests that still run, so that they get a response before the process ends."""
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
        """Classifies and admits a request, and serves it; the response to one that is not admitted."""
        if not self.snapshot.version or self.is_configuration_stale():
            return self.responses.reject(RETRY_AFTER_NO_REPLICA_S, RejectReason.CONFIGURATION_STALE)
        arrived_at = steady()
        snapshot = self.snapshot  # for the request's whole life, but for `_may_send`
        decision = _authorize(client_request, snapshot)
        is_confirmed = True
        if isinstance(decision, Unauthorized):
            is_confirmed = await self.refresh_configuration()
            snapshot = self.snapshot
            decision = _authorize(client_request, snapshot)
        match decision:
            case NoRoute():
                await client_request.content.read()
                return self.responses.error(HTTPStatus.NOT_FOUND, "no route")
            case Unauthorized(reason):
                await self._read_body(client_request, snapshot.max_body_bytes)
                return self._reject_unauthorized(reason, is_confirmed)
            case Authorized():
                return await self._admit_and_serve(client_request, snapshot, decision, arrived_at)

    def _reject_unauthorized(self, reason: UnauthorizedReason, is_confirmed: bool) -> web.StreamResponse:
        """A 401 claims that no configuration in force has the key: only a confirmed one allows that."""
        if is_confirmed:
            return self.responses.unauthorized(reason)
        return self.responses.reject(RETRY_AFTER_NO_REPLICA_S, RejectReason.CONFIGURATION_UNCONFIRMED)

    async def _admit_and_serve(
        self,
        client_request: web.BaseRequest,
        snapshot: ConfigurationSnapshot,
        authorized: Authorized,
        arrived_at: float,
    ) -> web.StreamResponse:
        """Serves a request that the snapshot allows, if it can still be served."""
        classified = classify(client_request.headers, authorized.route, arrived_at)
        body = await self._read_body(client_request, snapshot.max_body_bytes)
        if body is None:
            return self.responses.error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")
        if self._may_outlast_process(classified):
            return self.responses.reject(
                RETRY_AFTER_BUSY_S, RejectReason.SHUTTING_DOWN, classified, authorized.tenant_name
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
        """What the request costs of its tenant's quota; nothing is reserved yet."""
        tenant = authorized.tenant
        cost = 0 if tenant is None else tenant.cost(classified.total_tokens)
        max_wait_s = max(MIN_QUOTA_WAIT_S, QUOTA_WAIT_SHARE * classified.latency_target_s)
        return RequestQuota(self.quotas, tenant, cost, max_wait_s)

    def _reject_without_quota(
        self, refusal: QuotaRefusal, classified: ClassifiedRequest, tenant_name: str | None
    ) -> web.StreamResponse:
        """The response to a request that no worker may have run."""
        match refusal:
            case QuotaExhausted(retry_after_s):
                return self.responses.over_quota(retry_after_s)
            case QuotaUnavailable():
                return self.responses.reject(
                    RETRY_AFTER_NO_ACCOUNT_S, RejectReason.QUOTA_UNAVAILABLE, classified, tenant_name
                )

    async def _read_body(self, client_request: web.BaseRequest, max_bytes: int) -> bytes | None:
        """The body; None if it exceeds the limit."""
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
        is_late = classified.arrived_at >= self.reject_unfinishable_from
        return is_late and classified.deadline > self.queue.closes_at

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
        """Attempts the request at one worker after the other until there is a response."""
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
        """The worker that the next attempt may be sent to now, or the response if there is none."""
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
                return self.responses.error(HTTPStatus.BAD_GATEWAY, NO_ANSWER)
            if refusal is not None:
                return self._reject_without_quota(refusal, request.classified, request.authorized.tenant_name)
        if history.attempted and not self._withdraw_retry(request):
            return self._reject_no_capacity(request)
        return worker

    def _may_send(self, request: AdmittedRequest) -> bool:
        """Whether the newest configuration still has the request's key, at the same tenant."""
        return is_still_authorized(request.authorized, self.snapshot)

    def _reject_changed(self, request: AdmittedRequest, history: AttemptHistory) -> web.StreamResponse:
        """The response to a request that may no longer be sent as it was judged at its arrival.

        Clients don't retry after 401: it is for what the newest configuration does not allow. What it allows,
        as another tenant's request, is judged anew when the client retries.
        """
        if history.may_have_run:
            return self.responses.error(HTTPStatus.BAD_GATEWAY, NO_ANSWER)
        if isinstance(_authorize(request.outgoing.client_request, self.snapshot), Unauthorized):
            return self.responses.unauthorized(UnauthorizedReason.REVOKED)
        return self.responses.reject(
            RETRY_AFTER_BUSY_S,
            RejectReason.TENANT_CHANGED,
            request.classified,
            request.authorized.tenant_name,
        )

    def _withdraw_retry(self, request: AdmittedRequest) -> bool:
        """Withdraws a retry from the budget of the request's service."""
        return self.retry_budgets.try_withdraw(request.classified.key.service, steady())

    def _response_unless_retried(
        self, request: AdmittedRequest, history: AttemptHistory, failure: FailedAttempt
    ) -> web.StreamResponse | None:
        """The response after a failed attempt; None if the request may be sent to another worker."""
        may_retry = len(history.attempted) < request.route.max_attempts
        match failure:
            case NotSent():
                has_failed = history.connect_failures >= MAX_CONNECT_FAILURES
                if has_failed or steady() >= request.classified.deadline:
                    return self._reject_no_capacity(request)
                return None
            case NotExecuted():
                return None if may_retry else self._reject_no_capacity(request, failure.retry_after_s)
            case Broken():
                if may_retry and request.route.is_idempotent:
                    return None
                return self.responses.error(HTTPStatus.BAD_GATEWAY, NO_ANSWER)
            case TimedOut():
                return self.responses.error(HTTPStatus.GATEWAY_TIMEOUT, NO_ANSWER)

    # --- respond ------------------------------------------------------------------------------------------

    async def _relay(self, request: AdmittedRequest, stream: WorkerStream) -> web.StreamResponse:
        """Passes a worker's response on."""
        try:
            if request.route.kind is RequestKind.STREAMING and stream.response.status == HTTPStatus.OK:
                return await StreamRelay(request, self.sender, self.responses).relay(stream)
            return await self._relay_complete(request, stream.response)
        finally:
            stream.close()

    async def _relay_complete(
        self, request: AdmittedRequest, response: aiohttp.ClientResponse
    ) -> web.StreamResponse:
        """Reads the complete response first, so that one that is cut off never looks complete."""
        try:
            async with self.sender.timeout_at(request.classified.deadline):
                body = await response.read()
        except TimeoutError:
            return self.responses.error(HTTPStatus.GATEWAY_TIMEOUT, "the answer did not end in time")
        except (aiohttp.ClientError, OSError):
            return self.responses.error(HTTPStatus.BAD_GATEWAY, "the answer broke off")
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
            max(retry_after_s, RETRY_AFTER_BUSY_S),
            RejectReason.NO_CAPACITY,
            request.classified,
            request.authorized.tenant_name,
        )

    def _reject_without_worker(self, request: AdmittedRequest) -> web.StreamResponse:
        """Rejects a request that found no worker in time.

        Without a replica it counts as queued until its client may have retried: else the placer would load
        the model for nobody, or not at all.
        """
        classified, tenant_name = request.classified, request.authorized.tenant_name
        retry_after_s = self.queue.retry_after_s(classified)
        if self.pools.pool(classified.key).workers:
            return self.responses.reject(retry_after_s, RejectReason.NO_CAPACITY, classified, tenant_name)
        self.demand.expect_client_retry(classified.key, steady() + retry_after_s + CLIENT_RETRY_GRACE_S)
        return self.responses.reject(retry_after_s, RejectReason.NO_REPLICA, classified, tenant_name)
