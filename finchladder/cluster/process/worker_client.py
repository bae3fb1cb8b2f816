"""HTTP client of control processes for workers: orders, reports and health checks."""

import asyncio
from http import HTTPStatus

import aiohttp
import msgspec
from aiohttp import hdrs
from attrs import frozen

from finchladder.cluster.routing.headers import EXPECTED_INSTANCE_HEADER, INSTANCE_ID_HEADER
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.types.errors import DECODE_ERRORS, PeerUnreachableError, error_kind
from finchladder.cluster.types.worker_api import OrderRequest, WorkerReport, report_decoder

HEALTH_PATH = "/healthz"
ORDER_PATH = "/api/order"
REPORT_PATH = "/api/report"
ORDER_CALL = "order"  # name of the call in error messages
REPORT_CALL = "report"
CALL_TIMEOUT_S = 0.8
KEEPALIVE_S = 2.0


@frozen
class WorkerResponse:
    """A worker's complete response."""

    status: int
    body: bytes


class WorkerClient:
    """Calls workers over persistent connections; a control process has one client.

    A response does not identify its request. Orders use separate connections, so that a duplicate response to
    a report request, which has status 200, can't be mistaken for the response to a load order.
    """

    def __init__(self) -> None:
        """Creates the HTTP sessions without opening connections; requires a running event loop."""
        self._session = make_session(keepalive_s=KEEPALIVE_S)
        self._order_session = make_session(keepalive_s=KEEPALIVE_S)

    async def order(self, address: str, instance: str, body: OrderRequest, timeout_s: float) -> int:
        """Sends an order; no byte of it is sent after `timeout_s`.

        Returns:
            The status of the worker's response.

        Raises:
            PeerUnreachableError: There was no response; the worker may have accepted the order.
        """
        headers = {"Content-Type": "application/json", EXPECTED_INSTANCE_HEADER: instance}
        response = await self._call(
            self._order_session,
            ORDER_CALL,
            address,
            hdrs.METH_POST,
            ORDER_PATH,
            headers,
            data=msgspec.json.encode(body),
            timeout_s=min(timeout_s, CALL_TIMEOUT_S),
        )
        return response.status

    async def report(self, address: str, instance: str) -> WorkerReport:
        """Fetches a worker's report of its models, queue and memory.

        Raises:
            PeerUnreachableError: The worker sent no valid report.
        """
        headers = {EXPECTED_INSTANCE_HEADER: instance}
        response = await self._call(self._session, REPORT_CALL, address, hdrs.METH_GET, REPORT_PATH, headers)
        if response.status != HTTPStatus.OK:
            raise PeerUnreachableError(
                REPORT_CALL, address, f"the worker responded with status {response.status}"
            )
        try:
            return report_decoder.decode(response.body)
        except DECODE_ERRORS as error:
            raise PeerUnreachableError(
                REPORT_CALL, address, f"malformed report: {error_kind(error)}"
            ) from None

    async def is_running(self, address: str, instance: str) -> bool:
        """Returns whether the instance responds at the address, healthy or not."""
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._session.get(f"http://{address}{HEALTH_PATH}") as response,
            ):
                return response.headers.get(INSTANCE_ID_HEADER) == instance
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _call(
        self,
        session: aiohttp.ClientSession,
        step: str,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        *,
        data: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> WorkerResponse:
        url = f"http://{address}{path}"
        try:
            async with (
                asyncio.timeout(timeout_s),
                session.request(method, url, data=data, headers=headers) as response,
            ):
                return WorkerResponse(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachableError(step, address, error_kind(error)) from None

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()
        await self._order_session.close()
