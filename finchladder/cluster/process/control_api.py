"""The public control API: the operator's configuration and the workers' heartbeats."""

from collections.abc import Awaitable

import msgspec
from aiohttp import web

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.configuration_changes import CONFLICT, INVALID, TAKEN, Changes
from finchladder.cluster.process.log import event
from finchladder.cluster.process.worker_sessions import WorkerSessions
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.worker_api import heartbeat_decoder

CONFIG = "/api/config"
INSTANCES = "/api/instances/"
ANSWER_S = 0.9  # callers move on after a second of silence
BYTES_A_SECOND = 1_000_000  # so much longer for large bodies
MOST_BODY_BYTES = 64 << 20


def _json(status: int, value: object) -> web.Response:
    return web.Response(status=status, body=msgspec.json.encode(value), content_type="application/json")


class Problem(msgspec.Struct):
    """Body of an answer that refuses."""

    problem: str
    version: int = 0


class Acknowledged(msgspec.Struct):
    """Body of an answer that takes a configuration."""

    version: int


class HeartbeatAnswer(msgspec.Struct):
    """Body of an answer to a heartbeat."""

    heartbeat_url: str


class ControlApi:
    """Handlers of the public control address."""

    def __init__(self, changes: Changes, chain: ChainService, sessions: WorkerSessions, address: str) -> None:
        self._changes, self._chain, self._sessions = changes, chain, sessions
        self._address = address

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """One call."""
        path, method = request.path, request.method
        if path == CONFIG and method in ("PUT", "PATCH"):
            return await self._change(request)
        if path == CONFIG and method == "GET":
            return await self._read()
        if path.startswith(INSTANCES) and method in ("PUT", "DELETE"):
            return await self._instance(request, path[len(INSTANCES) :])
        return _json(404, Problem("no such call"))

    async def _change(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            base = int(request.headers.get("If-Match", "0").strip('" '))
        except ValueError:
            return _json(400, Problem("If-Match is not a number"))
        body = await _whole_body(request)
        if body is None:
            return _json(400, Problem("the body broke off"))
        deadline_s = ANSWER_S + len(body) / BYTES_A_SECOND
        outcome = await self._changes.submit(base, request.method == "PATCH", body, deadline_s)
        if outcome.status == TAKEN:
            return _json(TAKEN, Acknowledged(outcome.version))
        if outcome.status not in (INVALID, CONFLICT):
            event("configuration.unclear", problem=outcome.problem)
        return _json(outcome.status, Problem(outcome.problem, outcome.version))

    async def _read(self) -> web.StreamResponse:
        try:
            state = await self._chain.read()
        except ClusterError as error:
            return _json(503, Problem(str(error)))
        if not state.version:
            return _json(404, Problem("there is no configuration yet"))
        return web.Response(body=state.document, content_type="application/json")

    async def _instance(self, request: web.BaseRequest, instance: str) -> web.StreamResponse:
        body = await _whole_body(request)
        if body is None:
            return _json(400, Problem("the body broke off"))
        if request.method == "DELETE":
            return await self._acknowledged(self._sessions.on_deregister(instance))
        try:
            heartbeat = heartbeat_decoder.decode(body)
        except msgspec.DecodeError as error:
            return _json(400, Problem(str(error)))
        return await self._acknowledged(self._sessions.on_heartbeat(instance, heartbeat))

    async def _acknowledged(self, work: Awaitable[bool]) -> web.StreamResponse:
        if not await work:
            return _json(503, Problem("nobody else was told in time"))
        return _json(200, HeartbeatAnswer(self._address))


async def _whole_body(request: web.BaseRequest) -> bytes | None:
    """The body; None if it broke off or is too large."""
    parts, size = [], 0
    try:
        async for part in request.content.iter_any():
            size += len(part)
            if size > MOST_BODY_BYTES:
                return None
            parts.append(part)
    except (web.RequestPayloadError, ConnectionError):
        return None
    return b"".join(parts)
