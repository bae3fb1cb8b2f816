"""The data plane on real sockets: what reaches a worker, what comes back, and what a failure is answered."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from yarl import URL

from finchladder.cluster.configuration.snapshot import build_snapshot
from finchladder.cluster.process.router import RETURN_S, Router
from finchladder.cluster.routing.budget import RetryBudget
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import Backend, Chooser, Holder, Pools
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.workers import LoadedModel

ID = "X-Finchladder-Request-Id"
STAMP = "X-Finchladder-Response-Signature"
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def route(prefix: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": prefix,
        "host": "a.example",
        "path_prefix": prefix,
        "service": "s",
        "timeout_ms": 3000,
        **fields,
    }


DOCUMENT = {
    "version": 1,
    "routes": [
        route("/once/", kind="non_idempotent", retries=2),
        route("/again/", kind="idempotent", retries=2),
        route("/stream/", kind="streaming", target_latency_ms=800),
        route("/resumed/", kind="streaming", target_latency_ms=800, retries=2, resumable=True),
        route("/quick/", kind="non_idempotent", timeout_ms=150),
    ],
    "services": [{"name": "s"}],
    "limits": {"max_body_bytes": 1000},
}


def answer(
    request: web.BaseRequest, body: bytes = b"done", status: int = 200, **headers: str
) -> web.Response:
    stamped = {ID: request.headers[ID], STAMP: "stamp", **headers}
    return web.Response(status=status, body=body, headers=stamped)


class Worker:
    """A stand-in worker; `seen` holds path, headers and body of each request."""

    def __init__(self, *handlers: Handler) -> None:
        self.handlers = list(handlers)
        self.seen: list[tuple[str, dict[str, str], bytes]] = []

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.content.read()
        self.seen.append((request.raw_path, dict(request.headers), body))
        return await self.handlers[min(len(self.seen), len(self.handlers)) - 1](request)


class Bench:
    """A router before stand-in workers."""

    def __init__(self, router: Router, listener: Listener, client: aiohttp.ClientSession) -> None:
        self.router, self.listener, self.client = router, listener, client

    def send(self, path: str | URL, body: bytes | None = b"{}", **headers: str) -> Any:
        sent = {"Host": "a.example", ID: "id-1", "X-Finchladder-Deadline-Ms": "2500", **headers}
        url = URL(f"http://{self.listener.bound_address}{path}", encoded=True)
        return self.client.post(url, data=body, headers=sent)


@asynccontextmanager
async def bench(*workers: Worker, absent: bool = False) -> AsyncIterator[Bench]:
    listeners = [Listener(w.handle, "127.0.0.1:0") for w in workers]
    for listener in listeners:
        await listener.start()
    session = make_session(keepalive_s=5)
    router = Router(
        session, Chooser("edge", "z", 0.5), lambda: RetryBudget(0.2, 50, 10), lambda: 1, DemandCounter()
    )
    router.snapshot = build_snapshot(json.dumps(DOCUMENT).encode())
    holders = {
        f"i-{n}": Holder(Backend(f"i-{n}", "s", listener.bound_address, "z", 4, float(n)))
        for n, listener in enumerate(listeners)
    }
    if absent:
        await listeners[0].stop()
    router.pools = Pools().changed(holders)
    front = Listener(router.handle, "127.0.0.1:0", cancel_on_disconnect=True)
    await front.start()
    unsent = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
    async with aiohttp.ClientSession(skip_auto_headers=unsent) as client:
        yield Bench(router, front, client)
    await front.stop()
    await session.close()
    for listener in listeners:
        await listener.stop()


def played(work: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        async with asyncio.timeout(20):
            await work()

    asyncio.run(main())


async def plain(request: web.BaseRequest) -> web.StreamResponse:
    return answer(request, b"\x00whole\xff", Other="kept")


def not_executed(status: int) -> Handler:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return answer(request, b"", status, **{"X-Finchladder-Not-Executed": "1", "Retry-After": "0.7"})

    return handle


async def broken(request: web.BaseRequest) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def of_another(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b"not yours", headers={ID: "id-0", STAMP: "stamp"})


async def unsigned(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b"?", headers={ID: request.headers[ID]})


async def silent(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.Event().wait()
    return web.Response()


async def streamed(
    request: web.BaseRequest, first: int, last: int, breaks: bytes | None
) -> web.StreamResponse:
    headers = {ID: request.headers[ID], STAMP: f"stamp-{first}", "Content-Type": "text/event-stream"}
    response = web.StreamResponse(headers=headers)
    response.enable_chunked_encoding()
    await response.prepare(request)
    for number in range(first, last + 1):
        await response.write(b"id: %d\ndata: x\n\n" % number)
    if breaks is not None:
        await response.write(breaks)
        assert request.transport is not None
        request.transport.close()
    return response


async def whole_stream(request: web.BaseRequest) -> web.StreamResponse:
    return await streamed(request, 1, 4, None)


async def broken_stream(request: web.BaseRequest) -> web.StreamResponse:
    return await streamed(request, 1, 2, b"id: 3\nda")


async def rest_of_stream(request: web.BaseRequest) -> web.StreamResponse:
    return await streamed(request, int(request.headers["Last-Event-Id"]) + 1, 4, None)


def test_a_request_goes_on_untouched_and_its_answer_comes_back_whole() -> None:
    async def work() -> None:
        worker = Worker(plain)
        path = URL("/once/a%2Fb?q=%20+&z", encoded=True)
        async with bench(worker) as b, b.send(path, b"\x01body", Own="1", Connection="close") as response:
            assert (response.status, await response.read()) == (200, b"\x00whole\xff")
            assert (response.headers[STAMP], response.headers["Other"]) == ("stamp", "kept")
        ((raw_path, headers, body),) = worker.seen
        assert (raw_path, body) == ("/once/a%2Fb?q=%20+&z", b"\x01body")
        assert (headers["Own"], headers["Host"], headers[ID]) == ("1", "a.example", "id-1")
        assert headers["X-Finchladder-Expected-Instance"] == "i-0"
        assert 0 < int(headers["X-Finchladder-Deadline-Ms"]) <= 2500
        added = {"X-Finchladder-Expected-Instance"}
        assert set(headers) - added == {"Host", "Own", "Content-Length", ID, "X-Finchladder-Deadline-Ms"}

    played(work)


@pytest.mark.parametrize("path", ["/once/a", "/nowhere/"])
def test_who_may_have_an_old_configuration_refuses_all_requests(path: str) -> None:
    async def work() -> None:
        worker = Worker(plain)
        async with bench(worker) as b:
            b.router.is_doubtful = lambda: True
            async with b.send(path, b"body") as response:
                assert response.status == 503
                assert float(response.headers["Retry-After"]) > 0
            b.router.is_doubtful = lambda: False
            async with b.send("/once/a", b"body") as response:
                assert response.status == 200
        assert len(worker.seen) == 1

    played(work)


def test_without_a_route_the_answer_is_404_and_a_large_body_413() -> None:
    async def work() -> None:
        worker = Worker(plain)
        async with bench(worker) as b:
            async with b.send("/nowhere/") as response:
                assert response.status == 404
            async with b.send("/once/", b"x" * 1001) as response:
                assert response.status == 413
        assert worker.seen == []

    played(work)


@pytest.mark.parametrize(
    ("path", "first", "status", "sent"),
    [
        ("/once/", plain, 200, 1),
        ("/once/", not_executed(503), 200, 2),
        ("/once/", not_executed(421), 200, 2),
        ("/once/", broken, 502, 1),
        ("/once/", of_another, 502, 1),
        ("/once/", unsigned, 502, 1),
        ("/quick/", silent, 504, 1),
        ("/quick/", not_executed(503), 503, 1),
        ("/again/", broken, 200, 2),
        ("/again/", of_another, 200, 2),
    ],
)
def test_what_becomes_of_a_request_whose_first_worker_fails(
    path: str, first: Handler, status: int, sent: int
) -> None:
    async def work() -> None:
        one, two = Worker(first), Worker(plain)
        async with bench(one, two) as b, b.send(path) as response:
            assert response.status == status
            assert ("Retry-After" in response.headers) == (status == 503)
        assert len(one.seen) + len(two.seen) == sent

    played(work)


def test_a_refused_client_counts_as_waiting_until_it_may_be_back() -> None:
    """Else what it needs is loaded for nobody, or not at all, and its next try is refused as well."""

    async def work() -> None:
        async with bench(Worker(plain)) as it:
            waiting = {"X-Finchladder-Model": "m9", "X-Finchladder-Deadline-Ms": "100"}
            async with it.send("/once/x", b"{}", **waiting) as response:
                assert response.status == 503
                back_s = float(response.headers["Retry-After"])
            now = steady()
            assert [(d.model, d.queued) for d in it.router.demand.take(now)] == [("m9", 1)]
            assert [(d.model, d.queued) for d in it.router.demand.take(now + back_s)] == [("m9", 1)]
            assert it.router.demand.take(now + back_s + RETURN_S) == ()

    played(work)


def test_what_runs_where_is_told_while_it_runs() -> None:
    async def work() -> None:
        seen: list[tuple[str, int]] = []

        async def looked_at(request: web.BaseRequest) -> web.StreamResponse:
            seen.extend((use.model, use.requests) for use in it.router.demand.uses())
            return answer(request)

        async with bench(Worker(looked_at)) as it:
            holder = next(iter(it.router.pools.holders.values()))
            it.router.pools = Pools().changed({"i-0": Holder(holder.backend, (LoadedModel("m1", ("a1",)),))})
            async with it.send("/once/x", b"{}", **{"X-Finchladder-Model": "m1/a1"}) as response:
                assert response.status == 200
            assert seen == [("m1", 1)]
            assert it.router.demand.uses() == ()

    played(work)


def test_a_worker_that_cannot_be_reached_costs_no_attempt() -> None:
    async def work() -> None:
        one, two = Worker(plain), Worker(plain)
        async with bench(one, two, absent=True) as b, b.send("/quick/") as response:
            assert response.status == 200
        assert (len(one.seen), len(two.seen)) == (0, 1)

    played(work)


def test_a_workers_failure_goes_back_with_its_status() -> None:
    async def failing(request: web.BaseRequest) -> web.StreamResponse:
        return answer(request, b"oops", 500)

    async def work() -> None:
        async with bench(Worker(failing)) as b, b.send("/again/") as response:
            assert (response.status, await response.read()) == (500, b"oops")
            assert response.headers[STAMP] == "stamp"

    played(work)


def test_a_stream_is_passed_on_to_its_end() -> None:
    async def work() -> None:
        async with bench(Worker(whole_stream)) as b, b.send("/stream/") as response:
            assert (await response.read()).count(b"id: ") == 4

    played(work)


def test_a_stream_that_breaks_off_does_not_look_complete() -> None:
    async def work() -> None:
        async with bench(Worker(broken_stream), Worker(whole_stream)) as b, b.send("/stream/") as response:
            assert response.status == 200
            with pytest.raises(aiohttp.ClientError):
                await response.read()

    played(work)


def test_a_resumable_stream_is_taken_up_after_its_last_whole_event() -> None:
    async def work() -> None:
        passed_on = asyncio.Event()

        async def breaks_later(request: web.BaseRequest) -> web.StreamResponse:
            response = await streamed(request, 1, 2, None)
            await response.write(b"id: 3\nda")
            await passed_on.wait()
            return await broken(request)

        one, two = Worker(breaks_later), Worker(rest_of_stream)
        async with bench(one, two) as b, b.send("/resumed/") as response:
            events = [await response.content.readuntil(b"\n\n") for _ in range(2)]
            passed_on.set()
            events.append(await response.content.read())
            assert response.headers[STAMP] == "stamp-1"
        assert b"".join(events) == b"".join(b"id: %d\ndata: x\n\n" % n for n in (1, 2, 3, 4))
        assert two.seen[0][1]["Last-Event-ID"] == "2"

    played(work)


def test_a_leaving_dispatcher_closes_idle_connections_and_answers_the_others() -> None:
    async def work() -> None:
        began = asyncio.Event()

        async def slow(request: web.BaseRequest) -> web.StreamResponse:
            began.set()
            return await silent(request)

        async with bench(Worker(plain, slow)) as b:
            async with b.send("/once/") as response:
                assert response.status == 200
            reader, writer = await asyncio.open_connection(*b.listener.bound_address.split(":"))
            writer.write(b"GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
            assert b" 404 " in await reader.readline()
            pending = asyncio.create_task(b.send("/once/").__aenter__())
            await began.wait()
            now = asyncio.get_running_loop().time()
            b.router.drain(now, now)
            b.listener.close_idle()
            while await reader.readline():
                pass
            writer.close()
            b.router.end_attempts()
            last = await pending
            assert (last.status, last.headers["Connection"]) == (504, "close")

    played(work)


def test_what_waits_for_a_worker_when_the_dispatcher_leaves_is_refused() -> None:
    async def work() -> None:
        async with bench() as b:
            now = asyncio.get_running_loop().time()
            b.router.drain(now, now)
            async with b.send("/once/") as response:
                assert (response.status, "Retry-After" in response.headers) == (503, True)

    played(work)


@pytest.mark.parametrize(
    ("late", "left_s", "path", "status"),
    [(True, 1.0, "/quick/", 200), (True, 1.0, "/stream/", 503), (False, 1.0, "/stream/", 200)],
)
def test_what_comes_late_to_a_leaving_dispatcher_is_taken_only_if_it_ends_in_time(
    late: bool, left_s: float, path: str, status: int
) -> None:
    """A deadline of 150 ms ends before the process does, one of 2.5 s may not."""

    async def work() -> None:
        worker = Worker(plain)
        async with bench(worker) as b:
            now = asyncio.get_running_loop().time()
            b.router.drain(now if late else now + left_s, now + left_s)
            async with b.send(path) as response:
                assert (response.status, "Retry-After" in response.headers) == (status, status == 503)
        assert len(worker.seen) == (status == 200)

    played(work)
