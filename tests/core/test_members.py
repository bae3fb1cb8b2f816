"""Filter of the aperture: workers outside are unknown, and jobs of leaving workers complete."""

import asyncio
import json
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from finchladder import Dispatcher, api
from finchladder.config.endpoint_list import read_list
from finchladder.config.ini_file import read_ini
from finchladder.config.options import ApertureOptions
from finchladder.core.api import ListKind, WorkerStatus
from finchladder.core.membership.aperture import Aperture, ApertureSettings
from finchladder.core.membership.subset_filter import SubsetFilter
from finchladder.net import endpoint_watcher, http1
from finchladder.net.endpoint_watcher import EndpointWatcher
from tests.helpers import Bench, entry, settings

TEN = ApertureSettings(server_connections=240, connections_each=24)  # a worker serves ten dispatchers
AT = ("127.0.0.1", 80)
Told = tuple[api.WorkerList, dict[str, tuple[str, int]]]


def told(kind: ListKind, *entries: api.WorkerEntry) -> Told:
    listed = {e.worker: AT for e in entries if e.state is not WorkerStatus.REMOVED}
    return api.WorkerList(kind, entries), listed


def names(n: int) -> list[str]:
    return [f"s-{i}" for i in range(n)]


class Behind:
    """A dispatcher that receives only the filtered lists."""

    def __init__(self, index: int = 7, dispatchers: int = 40, n: int = 200) -> None:
        self.members = SubsetFilter(index, dispatchers, TEN)
        self.bench = Bench()
        self.names = names(n)
        self.take(ListKind.FULL, *(entry(name, zone="ab"[i % 2]) for i, name in enumerate(self.names)))

    def take(self, kind: ListKind, *entries: api.WorkerEntry) -> api.WorkerList:
        out, addresses = self.members.apply(*told(kind, *entries))
        assert set(addresses) == {e.worker for e in out.entries if e.state is not WorkerStatus.REMOVED}
        self.bench.feed(out)
        return out

    @property
    def ready(self) -> set[str]:
        return {w.address for w in self.bench.d.workers.values() if w.is_ready}


def test_both_candidates_of_a_key_are_inside_and_outside_workers_unknown() -> None:
    b = Behind()
    inside = {name for name in b.names if name in b.members.aperture}
    assert b.ready == inside
    assert len(inside) == 50
    pool = b.bench.d.worker_index.pools[None]
    for key in range(300):
        assert {w.address for w in pool.pairs(key, 1)[0]} <= inside
        name, [sent] = b.bench.ask(key=key)
        assert sent.worker in inside
        b.bench.serve(name)


@pytest.mark.parametrize("state", [WorkerStatus.DRAINING, WorkerStatus.REMOVED])
def test_changes_outside_have_no_effect_except_on_subset(state: WorkerStatus) -> None:
    b = Behind()
    outside = next(name for name in b.names if name not in b.members.aperture)
    before, zone = b.ready, b.members.listed[outside].zone
    out = b.take(ListKind.PATCH, entry(outside, state, zone=zone))
    if state is WorkerStatus.DRAINING:
        assert out.entries == ()
        assert b.ready == before
    assert outside not in {e.worker for e in out.entries}
    assert len(b.ready - before) <= 2
    inside = sorted(b.ready)[0]
    zone = b.members.listed[inside].zone
    assert (
        entry(inside, WorkerStatus.DRAINING, zone=zone)
        in b.take(ListKind.PATCH, entry(inside, WorkerStatus.DRAINING, zone=zone)).entries
    )
    assert inside not in b.ready


def test_worker_leaving_subset_gets_no_new_jobs_and_completes_old_ones() -> None:
    b = Behind()
    jobs = {sent.worker: name for name, [sent] in (b.bench.ask() for _ in range(50))}
    assert len(jobs) == 50
    for step in range(200):
        if step % 2:
            name = b.names[step]
            b.take(ListKind.PATCH, entry(name, WorkerStatus.REMOVED))
        else:
            b.take(ListKind.PATCH, entry(f"new-{step}", zone="a"))
    left = set(jobs) - b.ready
    assert left
    assert all(b.bench.d.workers[name].load == 1 for name in left)
    for _ in range(100):
        _, sent = b.bench.ask()
        assert not {s.worker for s in sent} & left
    for name in left:
        b.bench.serve(jobs[name])
    b.take(ListKind.PATCH)
    assert not left & set(b.bench.d.workers)


@examples(max_examples=40, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.integers(0, 39))
def test_incremental_filtering_equals_filtered_full_list(seed: int, index: int) -> None:
    random, b = Random(seed), Behind(index, 40, 60)
    held = {name: entry(name, zone="ab"[i % 2]) for i, name in enumerate(b.names)}
    for _ in range(40):
        some = []
        for _ in range(random.randrange(1, 6)):
            name = f"s-{random.randrange(90)}"
            e = entry(name, random.choice([*WorkerStatus, WorkerStatus.READY]), zone=random.choice("ab"))
            some.append(e)
            held[name] = e
            if e.state is WorkerStatus.REMOVED:
                del held[name]
        if random.random() < 0.1:
            b.take(random.choice([ListKind.FULL, ListKind.STALE]), *held.values())
        else:
            b.take(ListKind.PATCH, *some)
        whole = Aperture(index, 40, TEN)
        whole.replace((e.worker, (e.zone, e.kind)) for e in held.values())
        assert b.ready == {n for n, e in held.items() if n in whole and e.state is WorkerStatus.READY}


def line(entries: list[api.WorkerEntry], whole: bool, index: int) -> bytes:
    listed = [
        {"name": e.worker, "address": "127.0.0.1:80", "status": e.state.value, "zone": e.zone}
        for e in entries
    ]
    return json.dumps({"index": index, "snapshot": whole, "endpoints": listed}).encode()


def test_long_list_is_read_completely_before_use_and_urgent_changes_overtake_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Applied by slices, the list would have other subsets in between, whose workers would join and leave."""

    async def play() -> None:
        monkeypatch.setattr(endpoint_watcher, "LONG_LIST_BYTES", 2000)
        monkeypatch.setattr(endpoint_watcher, "MAX_FILTERED_AT_ONCE", 16)
        applied: list[api.WorkerEntry] = []
        members = SubsetFilter(7, 40, TEN)

        def apply(workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
            applied.extend(workers.entries)

        actor = EndpointWatcher(AT, apply, lambda names: None, http1.connect, members)
        whole = [entry(name) for name in names(200)]
        await actor.read_line(line(whole, True, 1))
        while not members.listed:
            await asyncio.sleep(0)
        actor.post(
            read_list(
                line([entry("s-199", WorkerStatus.DRAINING), entry("s-3", WorkerStatus.REMOVED)], False, 2)
            )
        )
        while actor.unfiltered or actor.urgent or actor.queued:
            await asyncio.sleep(0)
        ready = {name: e.state for e in applied for name in [e.worker]}
        final = Aperture(7, 40, TEN)
        final.replace((e.worker, (e.zone, e.kind)) for e in whole if e.worker != "s-3")
        state = {"s-199": WorkerStatus.DRAINING}
        assert {n for n, s in ready.items() if s is not WorkerStatus.REMOVED} == {
            n for n in names(200) if n in final
        }
        assert all(
            s is state.get(n, WorkerStatus.READY) for n, s in ready.items() if s is not WorkerStatus.REMOVED
        )
        assert len(applied) <= 50 + 16  # the subset, and at most one slice of 16 entries

    asyncio.run(play())


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("[aperture]\nserver_connections = 10\nconnections_each = 11", "connections_each must be 1 to"),
        ("[aperture]\nconnections_each = 25", "<= 24"),
        ("[aperture]\nleast = 1", ">= 2"),
        ("[spill]\nfull_at = 0.5\nback_at = 0.4", "below back_at"),
        ("[spill]\nramp_s = 0", ">= 0.1"),
        ("[spill]\nrefused_at = 0", "> 0"),
    ],
)
def test_invalid_settings_are_rejected(text: str, error: str) -> None:
    with pytest.raises(ValueError, match=error):
        read_ini(text, "a.ini")


def test_index_beyond_number_of_dispatchers_prevents_start() -> None:
    options = read_ini("[aperture]", "a.ini")
    assert options.aperture == ApertureOptions()
    with pytest.raises(ValueError, match="none of 3"):
        options.check([], 192, settings(index=3, dispatchers=3))
    options.check([], 192, settings(index=2, dispatchers=3))
    read_ini("", "a.ini").check([], 192, settings(index=3, dispatchers=3))


def test_disabled_aperture_adds_no_filter_or_zone_split() -> None:
    assert Dispatcher(settings(), 1).worker_index.pools[None].by_zone == {}
    assert EndpointWatcher(AT, lambda *a: None, lambda names: None, http1.connect).subset is None
