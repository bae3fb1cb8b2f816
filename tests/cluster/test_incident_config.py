"""Incident with tenants and keys: rejection of invalid tenants, and activation of changed keys."""

import asyncio
import json
from typing import Any

import pytest

from finchladder.cluster.configuration.changes import InvalidChange, ValidChange, validate_change
from finchladder.cluster.configuration.snapshot_builder import build_snapshot
from finchladder.cluster.routing.pools import PoolMember, Pools
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.workers import LoadedModel
from tests.cluster.test_router import (
    RouterHarness,
    StandInWorker,
    respond,
    route,
    router_harness,
    run_with_timeout,
)

TENANT_HEADER = "X-Finchladder-Tenant"
KEY = "k-huka-1"
OTHER_KEY = "k-nozi-1"
Document = dict[str, Any]


def tenant(name: str, *keys: str, **fields: Any) -> Document:
    return {
        "name": name,
        "api_keys": list(keys),
        "priority": 1,
        "unit": "token_count",
        "raw_tokens": 200,
        "rate_per_s": 0,
        "burst": 0,
        **fields,
    }


def without(item: Document, field: str) -> Document:
    return {name: value for name, value in item.items() if name != field}


HUKA = tenant("huka270", KEY)
NOZI = tenant("nozi35", OTHER_KEY)
SHARES_THE_KEY = tenant("nozi35", OTHER_KEY, KEY)
MALFORMED = [
    pytest.param(without(HUKA, "name"), id="no-name"),
    pytest.param(tenant("huka270", api_keys=KEY), id="keys-in-one-string"),
    pytest.param(tenant("huka270", api_keys=[KEY, 7]), id="key-is-a-number"),
    pytest.param(tenant("huka270", KEY, rate_per_s=-1), id="negative-rate"),
]


def document(version: int, *tenants: Document) -> Document:
    routes = [route("/once/", kind="non_idempotent", retries=2, public=False)]
    return {"version": version, "routes": routes, "services": [{"name": "s"}], "tenants": list(tenants)}


def put(value: Document) -> ValidChange | InvalidChange:
    return validate_change(b"", 0, False, json.dumps(value).encode())


def patch(current: Document, **change: Any) -> ValidChange | InvalidChange:
    version = current["version"]
    body = json.dumps({"version": version + 2, **change}).encode()
    return validate_change(json.dumps(current).encode(), version, True, body)


def patched(current: Document, **change: Any) -> Document:
    outcome = patch(current, **change)
    assert isinstance(outcome, ValidChange), outcome
    value: Document = json.loads(outcome.document)
    return value


# --- invalid configurations


def test_a_configuration_in_which_two_tenants_share_a_key_is_invalid() -> None:
    assert isinstance(put(document(1, HUKA, SHARES_THE_KEY)), InvalidChange)


def test_a_patch_that_gives_a_tenant_the_key_of_another_is_invalid() -> None:
    assert isinstance(patch(document(1, HUKA, NOZI), upsert={"tenants": [SHARES_THE_KEY]}), InvalidChange)


def test_the_problem_of_a_shared_key_names_both_tenants_and_not_the_key() -> None:
    for outcome in (
        put(document(1, HUKA, SHARES_THE_KEY)),
        patch(document(1, HUKA, NOZI), upsert={"tenants": [SHARES_THE_KEY]}),
    ):
        assert isinstance(outcome, InvalidChange)
        assert "huka270" in outcome.problem
        assert "nozi35" in outcome.problem
        assert KEY not in outcome.problem
        assert OTHER_KEY not in outcome.problem


@pytest.mark.parametrize("malformed", MALFORMED)
def test_a_configuration_with_a_malformed_tenant_is_invalid(malformed: Document) -> None:
    outcome = put(document(1, malformed))
    assert isinstance(outcome, InvalidChange)
    assert KEY not in outcome.problem


@pytest.mark.parametrize("malformed", MALFORMED)
def test_a_patch_with_a_malformed_tenant_is_invalid(malformed: Document) -> None:
    outcome = patch(document(1, NOZI), upsert={"tenants": [malformed]})
    assert isinstance(outcome, InvalidChange)
    assert KEY not in outcome.problem


# --- keys in force


def activate(harness: RouterHarness, value: Document) -> None:
    harness.router.snapshot = build_snapshot(json.dumps(value).encode())


async def status_of(harness: RouterHarness, key: str, model: str = "") -> int:
    headers = {"Authorization": f"Token {key}", **({"X-Finchladder-Model": model} if model else {})}
    async with harness.send("/once/a", b"{}", **headers) as response:
        await response.read()
        status: int = response.status
        return status


def tenants_seen(worker: StandInWorker) -> list[str | None]:
    return [headers.get(TENANT_HEADER) for _, headers, _ in worker.requests]


def test_a_key_that_a_newer_snapshot_dropped_gets_401_and_reaches_no_worker() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with router_harness(worker) as harness:
            activate(harness, document(1, HUKA, NOZI))
            assert await status_of(harness, KEY) == 200
            activate(harness, document(3, tenant("huka270", "k-huka-2"), NOZI))
            assert [await status_of(harness, key) for key in (KEY, "k-huka-2")] == [401, 200]
        assert len(worker.requests) == 2

    run_with_timeout(work)


async def status_after_change_while_waiting(worker: StandInWorker, newer: Document) -> int:
    """Queues a request without a replica of its model, activates `newer`, then adds the replica."""
    async with router_harness(worker) as harness:
        activate(harness, document(1, HUKA, NOZI))
        (member,) = harness.router.pools.members.values()
        waiting = asyncio.create_task(status_of(harness, KEY, "m1"))
        while not any(demand.queued for demand in harness.router.demand.collect(steady())):
            assert not waiting.done(), waiting
            await asyncio.sleep(0.01)
        activate(harness, newer)
        loaded = PoolMember(member.worker, (LoadedModel("m1", ()),))
        harness.router.pools = Pools().with_changes({"i-0": loaded})
        harness.router.pools_changed.fire()
        return await waiting


def test_a_queued_request_whose_key_is_removed_is_not_sent() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        assert await status_after_change_while_waiting(worker, document(3, NOZI)) == 401
        assert worker.requests == []

    run_with_timeout(work)


def test_a_queued_request_whose_key_moves_to_another_tenant_is_not_sent() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        newer = document(3, tenant("huka270", "k-huka-2"), SHARES_THE_KEY)
        assert await status_after_change_while_waiting(worker, newer) == 503
        assert worker.requests == []

    run_with_timeout(work)


def test_a_queued_request_whose_key_stays_is_sent_for_its_tenant() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        assert await status_after_change_while_waiting(worker, document(3, HUKA)) == 200
        assert tenants_seen(worker) == ["huka270"]

    run_with_timeout(work)


def test_a_key_that_a_newer_snapshot_added_works_at_once() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        async with router_harness(worker) as harness:
            activate(harness, document(1, NOZI))
            assert await status_of(harness, KEY) == 401
            activate(harness, document(3, HUKA, NOZI))
            assert await status_of(harness, KEY) == 200
        assert tenants_seen(worker) == ["huka270"]

    run_with_timeout(work)


def test_a_tenant_that_is_removed_and_added_again_by_patch_works() -> None:
    async def work() -> None:
        worker = StandInWorker(respond)
        first = document(1, HUKA, NOZI)
        removed = patched(first, remove={"tenants": ["huka270"]})
        put_back = patched(removed, upsert={"tenants": [HUKA]})
        statuses = []
        async with router_harness(worker) as harness:
            for value in (first, removed, put_back):
                activate(harness, value)
                statuses.append(await status_of(harness, KEY))
        assert statuses == [200, 401, 200]
        assert tenants_seen(worker) == ["huka270", "huka270"]

    run_with_timeout(work)
