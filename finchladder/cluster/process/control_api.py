"""The public HTTP API of a control process: the operator's configuration and the workers' heartbeats."""

from collections.abc import Awaitable

import msgspec
from aiohttp import web

from finchladder.cluster.configuration.schema import MAX_VERSION
from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.configuration_changes import (
    ACCEPTED,
    CONFLICT,
    INVALID,
    ConfigurationChanges,
)
from finchladder.cluster.process.log import event
from finchladder.cluster.process.worker_sessions import WorkerSessions
from finchladder.cluster.types.errors import DECODE_ERRORS, ClusterError, error_kind
from finchladder.cluster.types.worker_api import heartbeat_decoder

CONFIG_PATH = "/api/config"
INSTANCES_PREFIX = "/api/instances/"
RESPONSE_DEADLINE_S = 0.9  # callers send the request to another process after 1 s without a response
MIN_BYTES_PER_S = 1_000_000  # minimum transfer rate; size / rate is added to the deadline
MAX_BODY_BYTES = 64 << 20
NO_VERSION = -1  # below all versions, including 0, which stands for no configuration


def _json(status: int, value: object) -> web.Response:
    return web.Response(status=status, body=msgspec.json.encode(value), content_type="application/json")


class ProblemResponse(msgspec.Struct):
    """Body of the response to a rejected request."""

    problem: str
    version: int = 0


class ConfigurationAccepted(msgspec.Struct):
    """Body of the response to an accepted configuration."""

    version: int


class HeartbeatResponse(msgspec.Struct):
    """Body of the response to a heartbeat."""

    heartbeat_url: str


def parse_base_version(text: str) -> int | None:
    """Parses the `If-Match` header of a change; returns None if it is not a number.

    A number that no configuration can have is replaced by another one, so that messages can contain it.
    """
    try:
        return max(NO_VERSION, min(int(text.strip('" ')), MAX_VERSION + 1))
    except ValueError:
        return None


class ControlApi:
    """HTTP handlers of the public control address."""

    def __init__(
        self, changes: ConfigurationChanges, chain: ChainService, sessions: WorkerSessions, address: str
    ) -> None:
        """Creates the handlers; `address` is the control address that workers send heartbeats to."""
        self._changes = changes
        self._chain = chain
        self._sessions = sessions
        self._address = address

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Routes one request by its method and path."""
        path, method = request.path, request.method
        if path == CONFIG_PATH and method in ("PUT", "PATCH"):
            return await self._put_configuration(request)
        if path == CONFIG_PATH and method == "GET":
            return await self._get_configuration()
        if path.startswith(INSTANCES_PREFIX) and method in ("PUT", "DELETE"):
            return await self._handle_instance(request, path[len(INSTANCES_PREFIX) :])
        return _json(404, ProblemResponse("unknown method or path"))

    async def _put_configuration(self, request: web.BaseRequest) -> web.StreamResponse:
        base = parse_base_version(request.headers.get("If-Match", "0"))
        if base is None:
            return _json(400, ProblemResponse("the If-Match header must be a version number"))
        body = await _read_body(request)
        if body is None:
            return _json(400, ProblemResponse("the request body is incomplete or too large"))
        deadline_s = RESPONSE_DEADLINE_S + len(body) / MIN_BYTES_PER_S
        outcome = await self._changes.submit(base, request.method == "PATCH", body, deadline_s)
        if outcome.status == ACCEPTED:
            return _json(ACCEPTED, ConfigurationAccepted(outcome.version))
        if outcome.status not in (INVALID, CONFLICT):
            event("configuration.outcome_unknown", problem=outcome.problem)
        return _json(outcome.status, ProblemResponse(outcome.problem, outcome.version))

    async def _get_configuration(self) -> web.StreamResponse:
        try:
            state = await self._chain.read()
        except ClusterError as error:
            return _json(503, ProblemResponse(str(error)))
        if not state.version:
            return _json(404, ProblemResponse("no configuration has been accepted yet"))
        return web.Response(body=state.document, content_type="application/json")

    async def _handle_instance(self, request: web.BaseRequest, instance: str) -> web.StreamResponse:
        body = await _read_body(request)
        if body is None:
            return _json(400, ProblemResponse("the request body is incomplete or too large"))
        if request.method == "DELETE":
            return await self._acknowledge_call(self._sessions.on_deregister(instance))
        try:
            heartbeat = heartbeat_decoder.decode(body)
        except DECODE_ERRORS as error:
            return _json(400, ProblemResponse(f"malformed heartbeat: {error_kind(error)}"))
        return await self._acknowledge_call(self._sessions.on_heartbeat(instance, heartbeat))

    async def _acknowledge_call(self, work: Awaitable[bool]) -> web.StreamResponse:
        if not await work:
            return _json(
                503, ProblemResponse("the drain or deregistration was not stored and replicated in time")
            )
        return _json(200, HeartbeatResponse(self._address))


async def _read_body(request: web.BaseRequest) -> bytes | None:
    """Returns the complete body; None if the connection was lost or the body is too large."""
    chunks: list[bytes] = []
    size = 0
    try:
        async for chunk in request.content.iter_any():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                return None
            chunks.append(chunk)
    except (web.RequestPayloadError, ConnectionError):
        return None
    return b"".join(chunks)
