"""Quota incident: dispatchers that counted separately served a tenant more than its limit.

The tests use real sockets and several dispatchers with one worker. `quota_oracle` checks the requests that
the worker receives; it gets the tenant and cost of a request from the request id, not from the dispatchers.
"""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any, NamedTuple

import aiohttp
import pytest
from aiohttp import web

from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.process.quota_client import QuotaClient
from finchladder.cluster.process.router import Router
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import PoolMember, Pools
from finchladder.cluster.routing.retry_budget import RetryBudget
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.transport.http_client import make_session
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import steady
from finchladder.lab.cluster.quota_oracle import QuotaOracle
from tests.cluster.quota_scene import AccountHolder
from tests.cluster.test_router import (
    DOCUMENT,
    REQUEST_ID_HEADER,
    RouterHarness,
    StandInWorker,
    run_with_timeout,
    worker_response,
)

TENANT = "t1"
KEY = "key-of-t1"
CLIENTS = 8
CLIENT_PAUSE_S = 0.02  # time between a response and the next request of a client

WINDOW_S = 1.0
OVERAGE = 0.1
SLACK = 0.0
FLOOD_S = 1.2
MIN_SERVED_S = 0.4  # a flood of `FLOOD_S` gets at least the rate of this time, even from an empty account

TOKEN_COUNT = {"X-Finchladder-Token-Count": "300,100"}
TOKENS = 400
LIMITED: dict[str, Any] = {"unit": "token_count", "rate_per_s": 1000, "burst": 1000}


class Answer(NamedTuple):
    """Status and `Retry-After` header of a response."""

    status: int
    retry_after: str | None


class Scene:
    """Dispatchers, and the oracle that checks the requests at their worker."""

    def __init__(self, dispatchers: list[RouterHarness], oracle: QuotaOracle) -> None:
        self.dispatchers, self.oracle = dispatchers, oracle

    async def flood(
        self, for_s: float, headers: dict[str, str], dispatchers_used: int | None = None
    ) -> list[Answer]:
        """Floods the first `dispatchers_used` dispatchers with the tenant's requests; returns all answers."""
        dispatchers = self.dispatchers[:dispatchers_used]
        answers: list[Answer] = []
        ends_at = steady() + for_s

        async def send_requests(number: int) -> None:
            dispatcher = dispatchers[number % len(dispatchers)]
            while steady() < ends_at:
                sent = {REQUEST_ID_HEADER: f"{TENANT}-{number}", "Authorization": f"Token {KEY}", **headers}
                async with dispatcher.send("/once/x", b"{}", **sent) as response:
                    answers.append(Answer(response.status, response.headers.get("Retry-After")))
                await asyncio.sleep(CLIENT_PAUSE_S)

        await asyncio.gather(*(send_requests(number) for number in range(CLIENTS)))
        return answers

    def excess(self, rate: float, burst: float) -> float:
        return self.oracle.worst_excess(
            TENANT, window_s=WINDOW_S, rate=rate, burst=burst, overage=OVERAGE, slack=SLACK
        )


def make_router(session: aiohttp.ClientSession, dispatcher_count: int, quotas: QuotaClient) -> Router:
    """Creates the router of a dispatcher."""
    return Router(
        session,
        WorkerSelector("edge", "z", 0.5),
        lambda: RetryBudget(0.2, 50, 10),
        lambda: dispatcher_count,
        DemandCounter(),
        quotas=quotas,
    )


@asynccontextmanager
async def scene_of(cost: int, *, dispatcher_count: int = 2, **tenant: Any) -> AsyncIterator[Scene]:
    """Runs dispatchers with one worker and one tenant. `cost`: cost of each request by the rule."""
    oracle = QuotaOracle()

    async def respond(request: web.BaseRequest) -> web.StreamResponse:
        oracle.record(steady(), request.headers[REQUEST_ID_HEADER].partition("-")[0], cost)
        return worker_response(request)

    document = {**DOCUMENT, "tenants": [{"name": TENANT, "api_keys": [KEY], **tenant}]}
    snapshot = build_snapshot(json.dumps(document).encode())
    async with AsyncExitStack() as stack:
        worker = Listener(StandInWorker(respond).handle, "127.0.0.1:0")
        await worker.start()
        stack.push_async_callback(worker.stop)
        client = await stack.enter_async_context(aiohttp.ClientSession())
        holder = AccountHolder.of(QuotaRule(WINDOW_S, OVERAGE, SLACK), document)
        tasks = Tasks()
        stack.push_async_callback(tasks.stop)
        dispatchers = []
        for _ in range(dispatcher_count):
            session = make_session(keepalive_s=5)
            stack.push_async_callback(session.close)
            quotas = QuotaClient("edge", holder, lambda: "core-1:1")
            tasks.repeat(quotas.run, "quota")
            router = make_router(session, dispatcher_count, quotas)
            router.snapshot = snapshot
            member = PoolMember(Worker("i-0", "s", worker.bound_address, "z", 64, 0.0))
            router.pools = Pools().with_changes({"i-0": member})
            frontend = Listener(router.handle, "127.0.0.1:0", cancel_on_disconnect=True)
            await frontend.start()
            stack.push_async_callback(frontend.stop)
            dispatchers.append(RouterHarness(router, frontend, client))
        yield Scene(dispatchers, oracle)


def assert_limit_is_kept_and_used(
    cost: int,
    rate: float,
    burst: float,
    headers: dict[str, str],
    dispatcher_count: int = 2,
    dispatchers_used: int | None = None,
    **tenant: Any,
) -> None:
    """Checks that no window exceeds the limit, and that a minimum of requests is served."""

    async def work() -> None:
        limits = {"rate_per_s": rate, "burst": burst, **tenant}
        async with scene_of(cost, dispatcher_count=dispatcher_count, **limits) as scene:
            await scene.flood(FLOOD_S, headers, dispatchers_used)
            assert scene.oracle.total(TENANT) >= MIN_SERVED_S * rate
            assert scene.excess(rate, burst) <= 0

    run_with_timeout(work)


@pytest.mark.parametrize("dispatcher_count", [2, 8])
def test_dispatchers_together_serve_no_more_than_a_tenants_limit(dispatcher_count: int) -> None:
    """With 8 dispatchers, separate counts exceed the limit even if each of them starts with no quota."""
    assert_limit_is_kept_and_used(
        TOKENS, 1000, 1000, TOKEN_COUNT, dispatcher_count=dispatcher_count, unit="token_count"
    )


def test_a_tenant_that_uses_one_dispatcher_of_many_gets_its_whole_limit() -> None:
    assert_limit_is_kept_and_used(
        TOKENS, 1000, 1000, TOKEN_COUNT, dispatcher_count=8, dispatchers_used=1, unit="token_count"
    )


@pytest.mark.parametrize("counts", ["10,390", "390,10"])
def test_both_numbers_of_a_token_count_count(counts: str) -> None:
    headers = {"X-Finchladder-Token-Count": counts}
    assert_limit_is_kept_and_used(TOKENS, 1000, 1000, headers, unit="token_count")


def test_a_request_over_the_limit_gets_429_with_retry_after_and_not_503() -> None:
    async def work() -> None:
        async with scene_of(TOKENS, **LIMITED) as scene:
            answers = await scene.flood(0.5, TOKEN_COUNT)
        statuses = Counter(answer.status for answer in answers)
        assert statuses.keys() <= {200, 429}
        assert statuses[429] > 0
        for answer in answers:
            if answer.status == 429:
                assert answer.retry_after is not None
                assert float(answer.retry_after) > 0

    run_with_timeout(work)


def test_a_request_without_token_count_counts_raw_tokens() -> None:
    assert_limit_is_kept_and_used(100, 1000, 1000, {}, unit="token_count", raw_tokens=100)


@pytest.mark.parametrize("unit", [{"unit": "requests"}, {"unit": "other"}, {}])
def test_a_unit_other_than_token_count_counts_requests(unit: dict[str, Any]) -> None:
    assert_limit_is_kept_and_used(1, 10, 10, TOKEN_COUNT, **unit)


@pytest.mark.parametrize("rate", [{"rate_per_s": 0, "burst": 0}, {}])
def test_a_tenant_without_rate_is_not_limited(rate: dict[str, int]) -> None:
    async def work() -> None:
        async with scene_of(TOKENS, unit="token_count", **rate) as scene:
            answers = await scene.flood(0.5, TOKEN_COUNT)
        assert {answer.status for answer in answers} == {200}
        assert scene.excess(1000, 1000) > 0

    run_with_timeout(work)
