"""Long lists: which differences are read, and how slices and later updates are applied."""

import asyncio
import json

import pytest

from finchladder.config.endpoint_list import EndpointChange, EndpointTable, read_list
from finchladder.core import api
from finchladder.net import endpoint_watcher, http1
from finchladder.net.endpoint_watcher import EndpointWatcher

R, D, G = api.WorkerStatus.READY, api.WorkerStatus.DRAINING, api.WorkerStatus.REMOVED


def line(entries: dict[str, str], index: int = 1, whole: bool = True, **more: object) -> bytes:
    listed = [{"name": n, "address": "127.0.0.1:80", "status": s} | more for n, s in entries.items()]
    return json.dumps({"index": index, "snapshot": whole, "endpoints": listed}).encode()


def read(
    table: EndpointTable, data: bytes, slice_of: int = 2, whole: bool = False
) -> tuple[int, EndpointChange]:
    reading, pauses = table.read(data, slice_of, whole), 0
    while True:
        try:
            next(reading)
        except StopIteration as over:
            return pauses, over.value
        pauses += 1


@pytest.mark.parametrize(
    ("listed_states", "whole", "changed"),
    [
        ({"a": "ready", "b": "ready", "c": "draining"}, True, {}),
        ({"a": "ready", "b": "ready"}, True, {"c": G}),
        ({"a": "draining"}, False, {"a": D}),
        ({"a": "gone"}, False, {"a": G}),
        ({"d": "ready"}, False, {"d": R}),
        ({}, True, {"a": G, "b": G, "c": G}),
        ({}, False, {}),
    ],
)
def test_only_the_differences_of_a_long_list_are_applied(
    listed_states: dict[str, str], whole: bool, changed: dict[str, api.WorkerStatus]
) -> None:
    table = EndpointTable()
    table.apply(read_list(line({"a": "ready", "b": "ready", "c": "draining"})))
    _, change = read(table, line(listed_states, 7, whole))
    assert (change.version, {e.worker: e.state for e in change.entries}) == (7, changed)
    assert set(change.addresses) == {n for n, s in changed.items() if s is not G}
    # the same list again has no differences
    assert read(table, line(listed_states, 8, whole))[1].entries == []


@pytest.mark.parametrize(
    ("more", "differs"),
    [
        ({"weight": 3.0}, False),
        ({"since_ms": 5.0}, True),
        ({"address": "127.0.0.1:81"}, True),
        ({"zone": "x"}, True),
    ],
)
def test_a_weight_alone_does_not_count_as_a_difference(more: dict[str, object], differs: bool) -> None:
    table = EndpointTable()
    read(table, line({"a": "ready"}))
    assert bool(read(table, line({"a": "ready"}, 2, True, **more))[1].entries) == differs


def test_an_unusable_line_changes_nothing() -> None:
    table = EndpointTable()
    good = {f"w{n}": "ready" for n in range(9)}
    # 4 pauses between slices of 2 of 9 entries, and one after decoding the line
    assert read(table, line(good))[0] == 5
    with pytest.raises(ValueError, match="asleep"):
        read(table, line(good | {"w3": "gone", "w8": "asleep"}))
    assert read(table, line(good))[1].entries == []


class Slices:
    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(endpoint_watcher, "LONG_LIST_BYTES", 0)
        monkeypatch.setattr(endpoint_watcher, "MAX_APPLIED_AT_ONCE", 2)
        self.applied: list[tuple[list[str], set[str]]] = []
        self.retired: list[str] = []
        self.actor = EndpointWatcher(("127.0.0.1", 1), self.apply, self.retired.extend, http1.connect)

    def apply(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        self.applied.append(([e.worker for e in workers.entries], set(addresses)))

    async def settle(self) -> None:
        while self.actor.urgent or self.actor.queued:
            await asyncio.sleep(0)


def test_draining_workers_are_applied_first_and_retired_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        s = Slices(monkeypatch)
        await s.actor.read_line(
            line({"a": "ready", "b": "ready", "c": "ready", "d": "draining", "e": "draining"})
        )
        assert s.retired == ["d", "e"]
        assert s.applied == []
        assert s.actor.up
        await s.settle()
        assert s.applied == [(["d", "e"], {"d", "e"}), (["a", "b"], {"a", "b"}), (["c"], {"c"})]

    asyncio.run(scenario())


def test_later_updates_replace_queued_entries(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        s = Slices(monkeypatch)
        await s.actor.read_line(line({"a": "ready", "b": "ready", "c": "ready"}))
        s.actor.post(read_list(line({"b": "draining"}, 2, whole=False)))
        await s.settle()
        assert s.applied == [(["b"], {"b"}), (["a", "c"], {"a", "c"})]
        assert s.actor.index == 2
        await s.actor.read_line(line({"a": "gone", "c": "draining"}, 3, whole=False))
        s.actor.post(read_list(line({"c": "ready"}, 4)))  # a full list drops all queued entries
        await s.settle()
        assert s.applied[2:] == [(["c"], {"c"})]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("entries", "known", "up"), [({}, True, False), ({}, False, True), ({"a": "ready"}, True, True)]
)
def test_an_empty_saved_list_does_not_count(
    entries: dict[str, str], known: bool, up: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        s = Slices(monkeypatch)
        await s.actor.read_line(line(entries), known)
        assert s.actor.up == up

    asyncio.run(scenario())
