"""An incident: after a configuration that could not be applied, no change of a worker was applied either."""

import asyncio
import json
from typing import Any

import pytest

from finchladder.cluster.configuration.changes import InvalidChange, ValidChange, validate_change
from finchladder.cluster.configuration.compression import DocumentCompressor
from finchladder.cluster.process import configuration_reading, dispatcher_node
from finchladder.cluster.process.configuration_refresher import MIN_PULL_INTERVAL_S
from finchladder.cluster.process.dispatcher_node import DispatcherNode
from finchladder.cluster.tenancy.tenant_lookup import TenantLookup
from finchladder.cluster.types.messages import Update
from finchladder.cluster.types.workers import SessionPhase, Stamp, StampedWorker, WorkerRecord
from tests.cluster.dispatcher_scene import Primary, refresh, run_with_dispatcher

ORIGIN = "core-1/1"
ROUTE = {"name": "r", "host": "a", "path_prefix": "/", "service": "s"}
TOO_DEEP = b'{"version": 3, "more":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
UNUSABLE_DOCUMENTS = {
    "not compressed": b"{}",
    "not JSON": DocumentCompressor().compress(b"{"),
    "not an object": DocumentCompressor().compress(b"[]"),
    "nested too deeply": DocumentCompressor().compress(TOO_DEEP),
}


def document(version: int) -> bytes:
    value = {"version": version, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": []}
    return DocumentCompressor().compress(json.dumps(value).encode())


def worker(instance: str, counter: int, phase: SessionPhase = SessionPhase.READY) -> StampedWorker:
    record = WorkerRecord(instance, "s", f"{instance}:1", "z", 6, phase, counter, ORIGIN)
    return StampedWorker(Stamp(ORIGIN, counter), record)


def update(version: int, compressed: bytes, *workers: StampedWorker) -> Update:
    return Update(ORIGIN, {ORIGIN: 9}, None, workers, (), version, compressed, False, False, "", 1, True)


Events = list[tuple[str, dict[str, Any]]]


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> Events:
    logged: Events = []
    for module in (configuration_reading, dispatcher_node):
        monkeypatch.setattr(module, "event", lambda kind, **fields: logged.append((kind, fields)))
    return logged


async def pull(node: DispatcherNode, reply: Update) -> bool:
    """Pulls an update; returns whether the dispatcher's configuration is confirmed by it."""
    await asyncio.sleep(MIN_PULL_INTERVAL_S)
    return await refresh(node, Primary(reply))


@pytest.mark.parametrize("kind", UNUSABLE_DOCUMENTS)
def test_workers_change_and_the_dispatcher_stays_ready_after_a_document_that_cannot_be_applied(
    kind: str, events: Events
) -> None:
    # A drain that arrived with or after such a document was lost: the dispatcher sent requests for good.
    async def scenario(node: DispatcherNode) -> None:
        assert await pull(node, update(2, document(2), worker("a", 1), worker("b", 2)))
        assert node.is_ready()
        draining = worker("a", 3, SessionPhase.DRAINING)
        assert not await pull(node, update(3, UNUSABLE_DOCUMENTS[kind], draining))
        assert list(node.router.pools.members) == ["b"]
        assert node.router.snapshot.version == 2
        assert node.is_ready()
        await pull(node, update(3, b"", worker("c", 4)))
        assert sorted(node.router.pools.members) == ["b", "c"]
        assert await pull(node, update(4, document(4)))
        assert node.router.snapshot.version == 4

    run_with_dispatcher(scenario)
    failed = [fields for kind, fields in events if kind == "configuration.activation_failed"]
    assert [fields["version"] for fields in failed] == [3]


def test_a_document_that_cannot_be_applied_is_not_requested_again(events: Events) -> None:
    # Each pull was answered at once with the same document, and failed at once.
    async def scenario(node: DispatcherNode) -> None:
        reply = update(3, UNUSABLE_DOCUMENTS["not JSON"], worker("a", 1))
        await pull(node, reply)
        await pull(node, reply)
        assert isinstance(node.puller.peers, Primary)
        assert node.puller.peers.last_pull is not None
        assert node.puller.peers.last_pull.version == 3

    run_with_dispatcher(scenario)
    assert [kind for kind, _ in events] == ["configuration.activation_failed"]


def test_a_dispatcher_without_the_newest_configuration_does_not_call_it_confirmed() -> None:
    # An unknown API key would get 401, although the configuration that could not be applied may contain it.
    async def scenario(node: DispatcherNode) -> None:
        assert await pull(node, update(2, document(2), worker("a", 1)))
        assert not await pull(node, update(3, b""))
        assert not await pull(node, update(3, UNUSABLE_DOCUMENTS["not JSON"]))
        assert not await pull(node, update(3, b""))
        assert await pull(node, update(4, document(4)))

    run_with_dispatcher(scenario)


def test_the_changes_of_an_update_that_failed_are_passed_on_with_the_next_one() -> None:
    # Merged records are not sent again, so changes that were not passed on were lost.
    async def scenario(node: DispatcherNode) -> None:
        received: list[list[str]] = []

        def fail_once(update: Update, changed: list[str]) -> None:
            received.append(changed)
            if len(received) == 1:
                raise ArithmeticError

        node.puller.on_update = fail_once
        with pytest.raises(ArithmeticError):
            await pull(node, update(2, b"", worker("a", 1)))
        await pull(node, update(2, b"", worker("b", 2)))
        await pull(node, update(2, b""))
        assert received == [["a"], ["a", "b"], []]

    run_with_dispatcher(scenario)


# --- the quota account, whose silence makes dispatchers unready, and the operator


@pytest.mark.parametrize("unreadable", [b"{", b"[]", TOO_DEEP], ids=["not JSON", "not an object", "too deep"])
def test_the_account_goes_on_with_the_former_tenants_after_a_document_that_cannot_be_read(
    unreadable: bytes,
) -> None:
    # Each reservation ended with an exception, so dispatchers called the account unreachable.
    readable = json.dumps({"version": 2, "tenants": [{"name": "north", "api_keys": []}]}).encode()
    lookup = TenantLookup()
    north = lookup.tenant(readable, "north")
    assert north is not None
    assert lookup.tenant(unreadable, "north") == north
    assert lookup.tenant(unreadable, "south") is None
    assert lookup.tenant(b'{"version": 4}', "north") is None


@pytest.mark.parametrize("unreadable", [b"{", TOO_DEEP], ids=["not JSON", "too deep"])
def test_a_patch_of_a_document_that_cannot_be_read_is_rejected_and_a_full_one_replaces_it(
    unreadable: bytes,
) -> None:
    assert isinstance(validate_change(unreadable, 3, True, b'{"version": 4}'), InvalidChange)
    full = b'{"version": 4, "routes": [], "services": []}'
    assert isinstance(validate_change(unreadable, 3, False, full), ValidChange)
