"""Client process that calls one route of a dispatcher again and again, and reads whatever it gets.

Usage: python -m tests.cluster.endless_callers ADDRESS HOST PATH COUNT SECONDS DEADLINE_MS [MODEL]

It prints one line for each call as JSON: status (0: none), whether the response was complete, size of its
body and duration in seconds.
"""

import asyncio
import json
import sys
from itertools import count

import aiohttp
from attrs import asdict, frozen

from finchladder.cluster.transport.peers import steady

PAUSE_S = 0.02
CALL_MARGIN_S = 3.0  # time beyond the deadline after which a client gives up


@frozen
class CallOutcome:
    """The outcome of one call; `status`: 0 if there was no response."""

    status: int
    is_complete: bool
    body_bytes: int
    duration_s: float


async def call(session: aiohttp.ClientSession, url: str, headers: dict[str, str]) -> CallOutcome:
    """Makes one call and reads the response until its end."""
    began_at = steady()
    status = size = 0
    is_complete = False
    timeout = aiohttp.ClientTimeout(total=int(headers["X-Finchladder-Deadline-Ms"]) / 1000 + CALL_MARGIN_S)
    try:
        async with session.post(url, data=b"{}", headers=headers, timeout=timeout) as response:
            status = response.status
            async for piece in response.content.iter_any():
                size += len(piece)
            is_complete = True
    except (aiohttp.ClientError, OSError, TimeoutError):
        pass
    return CallOutcome(status, is_complete, size, steady() - began_at)


async def main(
    address: str, host: str, path: str, callers: str, seconds: str, deadline_ms: str, model: str = ""
) -> None:
    """Makes calls for some seconds, several at a time."""
    ends_at = steady() + float(seconds)
    ids = count(1)

    async def repeat(session: aiohttp.ClientSession) -> None:
        while steady() < ends_at:
            request_id = f"endless-{next(ids)}"
            headers = {
                "Host": host,
                "X-Finchladder-Request-Id": request_id,
                "X-Finchladder-Deadline-Ms": deadline_ms,
                **({"X-Finchladder-Model": model, "X-Finchladder-Token-Count": "10,10"} if model else {}),
            }
            outcome = await call(session, f"http://{address}{path}", headers)
            print(json.dumps(asdict(outcome)), flush=True)
            await asyncio.sleep(PAUSE_S)

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        await asyncio.gather(*(repeat(session) for _ in range(int(callers))))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
