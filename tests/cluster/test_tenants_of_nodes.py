"""Tenants and quotas of a control process and a dispatcher as connected by `run`, on real sockets."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web
from attrs import define, field

from finchladder.cluster.process.core_node import CoreNode
from finchladder.cluster.process.dispatcher_node import DispatcherNode
from finchladder.cluster.process.quota_client import MIN_RETRY_AFTER_S
from finchladder.cluster.process.settings import Settings, parse_settings
from finchladder.cluster.tenancy.quota_rule import QuotaRule
from finchladder.cluster.transport.http_server import Listener
from finchladder.cluster.transport.peers import steady
from finchladder.lab.cluster.quota_oracle import QuotaOracle
from tests.cluster.test_router import REQUEST_ID_HEADER, route, run_with_timeout, worker_response
from tests.peers import free_port

TENANT_HEADER = "X-Finchladder-Tenant"
TOKEN_COUNT_HEADER = "X-Finchladder-Token-Count"
POLL_S = 0.02
UNKNOWN_KEY_STATUSES = {401, 503}  # 503 if no source confirms within 0.2 s, as on a busy machine
MAX_WAIT_S = 6.0  # limit for an expected status, so that a failure reports the others
HEARTBEAT_S = 0.2
RATE_PER_S = BURST = 1000
WINDOW_S, OVERAGE, SLACK = 1.0, 0.1, 0.0
REFILL_PER_S = 1200 / 1.9  # units beyond the burst, over a window and the validity of a grant
FLOOD_COST = 100
MAX_RETRY_AFTER_S = max(MIN_RETRY_AFTER_S, FLOOD_COST / REFILL_PER_S)
LIMITED = {"unit": "token_count", "rate_per_s": RATE_PER_S, "burst": BURST}
NORTH = {"name": "north", "api_keys": ["north-1", "north-2"], **LIMITED}
SOUTH = {"name": "south", "api_keys": ["south-1"]}
DOCUMENT = {
    "version": 1,
    "routes": [route("/", kind="non_idempotent", target_latency_ms=2000)],
    "services": [{"name": "s"}],
    "tenants": [NORTH, SOUTH],
}
SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "z"
port_range = [{peer_port}, {peer_port}]
seeds = ["127.0.0.1:{control_port}"]
bootstrap = {bootstrap}
heartbeat_ms = 200
data_dir = "{data_dir}"
[listen]
control_plane = "127.0.0.1:{control_port}"
frontend = "127.0.0.1:{frontend_port}"
readiness = "127.0.0.1:{readiness_port}"
[limits]
disk_mb = 64
[fault_tolerance]
nodes = 0
[bounds]
grace_s = 1
lease_ms = 1000
config_apply_ms = 2000
quota_window_s = {window_s}
quota_overage = {overage}
quota_slack = {slack}
"""


class Answer(NamedTuple):
    """A response; `retry_after`: header value, empty if there is none."""

    status: int
    retry_after: str


@define
class TokenWorker:
    """A stand-in worker that records the headers and the arrival of each request."""

    oracle: QuotaOracle = field(factory=QuotaOracle)
    received: list[dict[str, str]] = field(factory=list)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        counts = request.headers.get(TOKEN_COUNT_HEADER, "1").split(",")
        tenant = request.headers.get(TENANT_HEADER, "")
        self.oracle.record(steady(), tenant, sum(int(count) for count in counts))
        self.received.append(dict(request.headers))
        await request.content.read()
        return worker_response(request)


@define
class Cluster:
    """A running control process, dispatcher and worker."""

    core: CoreNode
    dispatcher: DispatcherNode
    worker: TokenWorker
    client: aiohttp.ClientSession
    stop_core: Callable[[], Awaitable[None]]
    sent: int = 0

    async def send(self, api_key: str, **headers: str) -> Answer:
        """Sends a client's request with that key."""
        self.sent += 1
        all_headers = {
            "Host": "a.example",
            "Authorization": f"Token {api_key}",
            REQUEST_ID_HEADER: f"id-{self.sent}",
            **headers,
        }
        url = f"http://{self.dispatcher.settings.frontend}/"
        async with self.client.post(url, data=b"{}", headers=all_headers) as response:
            await response.read()
            return Answer(response.status, response.headers.get("Retry-After", ""))

    async def send_until(self, status: int, api_key: str) -> list[int]:
        """Repeats a request until it gets the expected status; returns all statuses."""
        statuses: list[int] = []
        deadline = steady() + MAX_WAIT_S
        while status not in statuses:
            assert steady() < deadline, f"only {set(statuses)}"
            statuses.append((await self.send(api_key)).status)
            await asyncio.sleep(POLL_S)
        return statuses

    async def configure(self, method: str, base: int, change: dict[str, Any]) -> int:
        """Sends an operator's configuration change, and returns the status."""
        url = f"http://{self.core.settings.control}/api/config"
        body = json.dumps(change).encode()
        async with self.client.request(method, url, data=body, headers={"If-Match": str(base)}) as response:
            return response.status

    async def set_keys(self, version: int, *api_keys: str) -> None:
        """Replaces the keys of the unlimited tenant."""
        tenant = {**SOUTH, "api_keys": list(api_keys)}
        change = {"version": version, "upsert": {"tenants": [tenant]}}
        assert await self.configure("PATCH", version - 1, change) == 200


def settings_of_both(data_dir: Path) -> tuple[Settings, Settings]:
    """Returns the settings of the control process and of the dispatcher.

    The dispatcher has no separate peer port; its IP address differs from that of its source of updates.
    """
    common: dict[str, Any] = {
        "data_dir": data_dir,
        "peer_port": free_port(),
        "control_port": free_port(),
        "frontend_port": free_port(),
        "readiness_port": free_port(),
        "window_s": WINDOW_S,
        "overage": OVERAGE,
        "slack": SLACK,
    }
    core = SETTINGS.format(name="core-1", ip="127.0.0.1", bootstrap="true", **common)
    dispatcher = SETTINGS.format(name="edge-1", ip="127.0.0.2", bootstrap="false", **common)
    return parse_settings(core, "core"), parse_settings(dispatcher, "dispatcher")


@asynccontextmanager
async def running(node: CoreNode | DispatcherNode) -> AsyncIterator[Callable[[], Awaitable[None]]]:
    """Runs a node; yields a function that stops it and waits for its end."""
    stop = asyncio.Event()
    node_task = asyncio.create_task(node.run(stop))

    async def end() -> None:
        stop.set()
        await node_task

    try:
        yield end
    finally:
        await end()


async def send_heartbeats(client: aiohttp.ClientSession, control: str, address: str) -> None:
    """Sends a worker's heartbeats until it is cancelled; ignores an unreachable control process."""
    heartbeat = {"service": "s", "address": address, "zone": "z", "slots": 32, "sequence": 0}
    while True:
        heartbeat["sequence"] = int(str(heartbeat["sequence"])) + 1
        with suppress(aiohttp.ClientError):
            body = json.dumps(heartbeat).encode()
            async with client.put(f"http://{control}/api/instances/i-0", data=body):
                pass
        await asyncio.sleep(HEARTBEAT_S)


@asynccontextmanager
async def running_worker(client: aiohttp.ClientSession, control: str) -> AsyncIterator[TokenWorker]:
    worker = TokenWorker()
    listener = Listener(worker.handle, "127.0.0.1:0")
    await listener.start()
    heartbeats = asyncio.create_task(send_heartbeats(client, control, listener.bound_address))
    try:
        yield worker
    finally:
        heartbeats.cancel()
        await listener.stop()


@asynccontextmanager
async def running_cluster(data_dir: Path) -> AsyncIterator[Cluster]:
    """Runs a cluster with an active configuration and a ready dispatcher."""
    core_settings, dispatcher_settings = settings_of_both(data_dir)
    core, dispatcher = CoreNode(core_settings), DispatcherNode(dispatcher_settings)
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        stop_core = await stack.enter_async_context(running(core))
        await stack.enter_async_context(running(dispatcher))
        worker = await stack.enter_async_context(running_worker(client, core_settings.control))
        cluster = Cluster(core, dispatcher, worker, client, stop_core)
        await put_configuration(cluster)
        while not dispatcher.is_ready():
            await asyncio.sleep(POLL_S)
        yield cluster


async def put_configuration(cluster: Cluster) -> None:
    """Sends the first configuration, repeatedly until the chain exists."""
    status = 0
    while status != 200:
        await asyncio.sleep(POLL_S)
        with suppress(aiohttp.ClientError):
            status = await cluster.configure("PUT", 0, DOCUMENT)


async def check_identity(cluster: Cluster) -> None:
    """Checks that a key selects the tenant and is not forwarded."""
    assert (await cluster.send("south-1", **{TENANT_HEADER: "north"})).status == 200
    headers = cluster.worker.received[-1]
    assert headers[TENANT_HEADER] == "south"
    assert "Authorization" not in headers and "south-1" not in str(headers)
    assert (await cluster.send("north-2")).status == 200
    assert cluster.worker.received[-1][TENANT_HEADER] == "north"
    served = len(cluster.worker.received)
    assert set(await cluster.send_until(401, "nobody")) <= UNKNOWN_KEY_STATUSES
    assert len(cluster.worker.received) == served


async def check_changed_keys(cluster: Cluster) -> None:
    """Checks that added and removed keys take effect within the bound on changes."""
    config_apply_s = cluster.dispatcher.settings.bounds.config_apply_s
    await cluster.set_keys(2, "south-1", "south-2")
    added_at = steady()
    assert set(await cluster.send_until(200, "south-2")) <= {200, *UNKNOWN_KEY_STATUSES}
    assert steady() - added_at <= config_apply_s
    await cluster.set_keys(3, "south-2")
    removed_at = steady()
    assert set(await cluster.send_until(401, "south-1")) <= {200, *UNKNOWN_KEY_STATUSES}
    assert steady() - removed_at <= config_apply_s
    assert {(await cluster.send("south-1")).status for _ in range(5)} <= UNKNOWN_KEY_STATUSES
    assert (await cluster.send("south-2")).status == 200


async def check_without_core(cluster: Cluster) -> None:
    """Checks that unknown keys and limited tenants get 503, known keys of unlimited tenants 200."""
    await cluster.stop_core()
    unknown = await cluster.send("nobody")
    assert unknown.status == 503 and float(unknown.retry_after) > 0
    assert (await cluster.send("south-2")).status == 200
    limited = await cluster.send("north-1")
    assert limited.status == 503 and float(limited.retry_after) > 0


def test_configured_keys_and_their_changes_take_effect_at_the_dispatcher(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        async with running_cluster(tmp_path) as cluster:
            await cluster.send_until(200, "north-1")  # waits until the account has a holder
            await check_identity(cluster)
            await check_changed_keys(cluster)
            await check_without_core(cluster)

    run_with_timeout(work)


async def flood(cluster: Cluster, until: float) -> list[Answer]:
    """Sends requests of the limited tenant without backoff."""
    answers = []
    while steady() < until:
        answers.append(await cluster.send("north-1", **{TOKEN_COUNT_HEADER: "60,40"}))
        await asyncio.sleep(POLL_S)
    return answers


async def send_unlimited(cluster: Cluster, until: float) -> list[Answer]:
    """Sends requests of the unlimited tenant that exceed the limit of the other tenant."""
    answers = []
    while steady() < until:
        answers.append(await cluster.send("south-1", **{TOKEN_COUNT_HEADER: "600,400"}))
        await asyncio.sleep(POLL_S)
    return answers


def check_flood(cluster: Cluster, answers: list[Answer]) -> None:
    """Checks that requests beyond the limit get 429, and that the served ones keep the rule."""
    statuses = {answer.status for answer in answers}
    assert statuses == {200, 429}
    assert answers[0].status == 200
    waits_s = [float(answer.retry_after) for answer in answers if answer.status == 429]
    assert min(waits_s) >= 0 and 0 < max(waits_s) <= MAX_RETRY_AFTER_S + 0.01, "rounded to 0.01 s"
    excess = cluster.worker.oracle.worst_excess(
        "north", window_s=WINDOW_S, rate=RATE_PER_S, burst=BURST, overage=OVERAGE, slack=SLACK
    )
    bound = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
    assert excess <= 0 < bound + excess
    assert FLOOD_COST * len(answers) > 3 * bound, "the flood is more than the bound allows"


def test_a_flood_is_limited_to_the_configured_quota_and_delays_no_other_tenant(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_cluster(tmp_path) as cluster:
            await cluster.send_until(200, "north-1")
            until = steady() + 3 * WINDOW_S
            clients = [flood(cluster, until) for _ in range(4)]
            *flooded, others = await asyncio.gather(*clients, send_unlimited(cluster, until))
            for answers in flooded:
                assert 429 in {answer.status for answer in answers}
            check_flood(cluster, [answer for answers in flooded for answer in answers])
            assert {answer.status for answer in others} == {200}
            assert cluster.core.quotas.account.rule == QuotaRule(WINDOW_S, OVERAGE, SLACK)

    run_with_timeout(work)
