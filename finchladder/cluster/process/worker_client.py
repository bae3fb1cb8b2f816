"""Calls of core processes to workers: orders, reports, whether they are there."""

import asyncio

import aiohttp
import msgspec

from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.worker_api import OrderRequest, WorkerReport, report_decoder

HEALTH_PATH = "/healthz"
INSTANCE_ID_HEADER = "X-Finchladder-Instance-Id"
CALL_TIMEOUT_S = 0.8
KEEPALIVE_S = 2.0


class WorkerClient:
    """One for each core process."""

    def __init__(self) -> None:
        self._session = make_session(keepalive_s=KEEPALIVE_S)

    async def order(self, address: str, instance: str, body: OrderRequest, timeout_s: float) -> int:
        """The status of the answer; PeerUnreachable without one: the order may have been taken. After
        `timeout_s` no byte of it leaves any more.
        """
        headers = {"Content-Type": "application/json", "X-Finchladder-Expected-Instance": instance}
        data = msgspec.json.encode(body)
        url = f"http://{address}/api/order"
        status, _ = await self._call(
            "POST", url, "order", address, data, headers, min(timeout_s, CALL_TIMEOUT_S)
        )
        return status

    async def report(self, address: str, instance: str) -> WorkerReport:
        """What the worker holds; PeerUnreachable where it does not say."""
        headers = {"X-Finchladder-Expected-Instance": instance}
        status, body = await self._call(
            "GET", f"http://{address}/api/report", "report", address, None, headers
        )
        if status != 200:
            raise PeerUnreachableError("report", address, f"status {status}")
        try:
            return report_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise PeerUnreachableError("report", address, f"unreadable: {error}") from None

    async def is_running(self, address: str, instance: str) -> bool:
        """Whether that very instance answers, whatever it says of its health."""
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
        method: str,
        url: str,
        step: str,
        address: str,
        data: bytes | None,
        headers: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, url, data=data, headers=headers) as response,
            ):
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerUnreachableError(step, address, repr(error)) from None

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()
