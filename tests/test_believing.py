"""Membership outside its core: the last good list on disk, the actor, and the whole program."""

import asyncio
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from finchladder.config.endpoint_list import EndpointUpdate, read_list, read_list_in_slices, write_list
from finchladder.config.options import MembershipOptions
from finchladder.config.toml_schema import field_types
from finchladder.config.value_checks import outermost_meta
from finchladder.core import api
from finchladder.core.membership.decisions import MembershipSettings, Report, Source
from finchladder.lab.etcd.server import Etcd
from finchladder.lab.etcd.store import Put
from finchladder.net.membership_actor import Found, MembershipActor, last_good_file
from finchladder.store import last_good_list
from finchladder.store.last_good_list import LastGood, LastGoodFile
from tests.peers import HEALTH, ROOT, RealServer, exchange, list_line, node, run

R, D, G = api.WorkerStatus.READY, api.WorkerStatus.DRAINING, api.WorkerStatus.REMOVED
Entries = list[tuple[api.WorkerEntry, tuple[str, int]]]
LISTED: Entries = [
    (api.WorkerEntry("a", R, "z", "k", 3, 1796122054.884, 2.0), ("127.0.0.1", 80)),
    (api.WorkerEntry("b", D), ("::1", 81)),
]
GOOD = LastGood("etcd", 7, 1796122054.5, write_list(7, LISTED))


def test_written_list_round_trips() -> None:
    news = read_list(GOOD.body)
    assert news.workers == api.WorkerList(api.ListKind.FULL, tuple(e for e, _ in LISTED))
    assert news.addresses == {e.worker: address for e, address in LISTED}
    assert list(read_list_in_slices(GOOD.body, 1)) == [None] * 3
    with pytest.raises(ValueError, match="asleep"):
        list(read_list_in_slices(GOOD.body.replace(b"draining", b"asleep"), 1))


def log_of(work: Callable[[], Any]) -> tuple[Any, str]:
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    try:
        return work(), "".join(lines)
    finally:
        logger.remove(sink)


def read(path: Path) -> tuple[Found | None, str]:
    """Reads the file as the thread does, and returns the log as well."""
    found: tuple[Found | None, str] = log_of(last_good_file(str(path))._read)
    return found


def test_list_file_is_written_atomically_and_read_back(tmp_path: Path) -> None:
    path = tmp_path / "new" / "last"
    assert read(path) == (None, "")
    last_good_list.write(path, GOOD)
    last_good_list.write(path, GOOD._replace(version=8))
    found, said = read(path)
    assert found is not None
    assert (found[0].version, said) == (8, "")
    assert len(found[1].workers.entries) == 2
    assert found[1].workers.kind is api.ListKind.STALE
    assert os.listdir(path.parent) == ["last"]


WHOLE = last_good_list.encode(GOOD)
HEAD, _, BODY = WHOLE.partition(b"\n")


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"", "it is not a last good list written by finchladder"),
        (b"127.0.0.1 localhost\n", "it is not a last good list written by finchladder"),
        (
            HEAD.replace(b'"format":1', b'"format":2') + b"\n" + BODY,
            "it is not a last good list written by finchladder",
        ),
        (b"\xff" + WHOLE, "it is not a last good list written by finchladder"),
        (HEAD, "0 bytes of a list of"),
        (WHOLE[:-9], "bytes of a list of"),
        (WHOLE + b"{}", "bytes of a list of"),
        (WHOLE.replace(b'"a"', b'"c"'), "checksum is wrong"),
        (last_good_list.encode(GOOD._replace(body=b'{"index":1}')), "missing required field"),
        (b" " * (last_good_list.MAX_BYTES + 2000), "larger than"),
    ],
    ids=range(10),
)
def test_corrupt_or_foreign_file_is_logged_and_set_aside(data: bytes, why: str, tmp_path: Path) -> None:
    path = tmp_path / "last"
    path.write_bytes(data)
    found, said = read(path)
    assert found is None
    assert why in said
    assert f"{path}: " in said
    assert f"it is now {path}.set-aside" in said
    assert os.listdir(tmp_path) == ["last.set-aside"]
    assert (tmp_path / "last.set-aside").read_bytes() == data


def test_disk_failure_is_logged_once_and_keeps_file(tmp_path: Path) -> None:
    path = tmp_path / "last"
    file: LastGoodFile[EndpointUpdate] = last_good_file(str(path))
    file._write(lambda: GOOD)
    (tmp_path / "last.new").mkdir()  # the temporary file can't be created
    said = log_of(lambda: file._write(lambda: GOOD._replace(version=9)))[1]
    said += log_of(lambda: file._write(lambda: GOOD._replace(version=9)))[1]
    assert said.count("can't be written") == 1
    assert last_good_list.decode(path.read_bytes()).version == 7
    (tmp_path / "last.new").rmdir()
    too_large = GOOD._replace(body=b" " * (last_good_list.MAX_BYTES + 1))
    said = log_of(lambda: file._write(lambda: GOOD))[1] + log_of(lambda: file._write(lambda: too_large))[1]
    assert "can be written again" in said
    assert "16777216 is the most" in said
    assert last_good_list.decode(path.read_bytes()).version == 7


def test_thread_reads_first_and_writes_newest_list_before_it_ends(tmp_path: Path) -> None:
    path, found = tmp_path / "last", list[Found | None]()
    file = last_good_file(str(path))
    for n in range(5):
        file.put(lambda n=n: GOOD._replace(version=n))  # type: ignore[misc]
    file.begin(found.append)
    file.close()
    assert found == [None]
    assert last_good_list.decode(path.read_bytes()).version == 4


def test_page_lists_current_settings() -> None:
    page = (ROOT / "docs" / "MEMBERSHIP.md").read_text().partition("## When")[0]
    lines = [[cell.strip(" `") for cell in line.split("|")] for line in page.splitlines()]
    rows = {line[1]: line[3:5] for line in lines if len(line) == 6}
    del rows["setting in `[membership]"], rows["---"]
    assert rows.keys() == field_types(MembershipOptions).keys()
    for name, kind in field_types(MembershipOptions).items():
        default, meta = getattr(MembershipOptions(), name), outermost_meta(kind)
        told = default if isinstance(default, str) else f"{default:g}" if default else "none"
        least = "" if meta.ge is None else f"{meta.ge:g} to {meta.le}"
        assert (rows[name][0].removesuffix(" s"), rows[name][1]) == (least, told), name
    rules = {f: getattr(MembershipOptions().settings(), f) for f in MembershipSettings.__dataclass_fields__}
    assert rules == {
        f: getattr(MembershipSettings(), f) for f in rules
    }  # defaults of settings that the file omits


# --- the actor ----------------------------------------------------------------------------------------------


class Applied:
    def __init__(self) -> None:
        self.calls: list[tuple[str, int]] = []
        self.states: dict[str, api.WorkerStatus] = {}

    def apply(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        self._keep("tell", workers.entries)

    def apply_in_slices(self, entries: Any, addresses: dict[str, tuple[str, int]]) -> None:
        self._keep("change", entries)

    def _keep(self, how: str, entries: Any) -> None:
        self.calls.append((how, len(entries)))
        self.states |= {e.worker: e.state for e in entries}


class Disk:
    """Stores one list; with `answers` False it never completes a read."""

    def __init__(self, good: LastGood | None, answers: bool = True) -> None:
        self.good, self.answers = good, answers

    def begin(self, found: Callable[[Found | None], None]) -> None:
        if self.answers:
            found((self.good, read_list(self.good.body, api.ListKind.STALE)) if self.good else None)

    def put(self, made: Callable[[], LastGood]) -> None:
        self.good = made()

    def close(self) -> None:
        pass


def whole(names: dict[str, api.WorkerStatus], version: int = 5) -> Report:
    entries = tuple(api.WorkerEntry(name, state) for name, state in names.items())
    workers = api.WorkerList(api.ListKind.FULL, entries)
    return Report("discovery", version, workers, dict.fromkeys(names, ("127.0.0.1", 80)))


def test_long_list_is_applied_in_slices_and_timeouts_are_checked() -> None:
    async def play() -> None:
        applied, now = Applied(), [100.0]
        sources = [Source("discovery", 0.0), Source("etcd", 60.0)]
        actor = MembershipActor(sources, MembershipSettings(), lambda: now[0], applied, 16)
        actor.source_is_alive("etcd")
        actor.report(whole({f"w{n}": D if n < 9 else R for n in range(600)}))
        assert actor.up
        assert applied.calls == [("change", 9 + 256)]
        while len(applied.states) < 600:
            await asyncio.sleep(0.001)
        assert not actor.membership.source_states[0].is_live  # its silence timeout of 0 s has passed
        actor.report(whole({"w0": R}, 6))
        assert applied.calls[-1] == ("tell", 9)
        assert applied.states["w0"] is R
        actor.close()

    asyncio.run(play())


@pytest.mark.parametrize(
    ("source", "version", "age", "known", "answers", "used"),
    [
        ("discovery", 7, 60.0, 6, True, True),
        ("discovery", 7, 60.0, 8, True, False),  # the list of the configuration is newer
        ("etcd", 7, 60.0, 8, True, True),  # versions of etcd and of discovery are not comparable
        ("etcd", 7, 7200.0, 8, True, False),
        ("etcd", 7, 60.0, None, False, False),  # the disk hangs
    ],
)
def test_list_used_at_start(
    source: str,
    version: int,
    age: float,
    known: int | None,
    answers: bool,
    used: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("finchladder.net.membership_actor.READ_TIMEOUT_S", 0.02)

    async def play() -> None:
        good = LastGood(source, version, 1000.0 - age, GOOD.body)
        applied, disk = Applied(), Disk(good, answers)
        rules = MembershipSettings()
        actor = MembershipActor([Source("discovery")], rules, lambda: 1000.0, applied, 16, disk)
        line = list_line(known, [], True) if known is not None else b""
        assert await actor.load_last_good(line) == (b"" if used else line)
        assert applied.states == ({"a": R, "b": D} if used else {})
        actor.close()
        assert disk.good == good  # the old list is not written again with the current time
        actor.report(whole({"a": R, "c": D}))
        actor.close()
        assert disk.good is not None
        assert (disk.good.source, disk.good.time_s) == ("discovery", 1000.0)
        assert {e.worker: e.state for e in read_list(disk.good.body).workers.entries} == {"a": R, "c": D}

    asyncio.run(play())


def test_log_lines_of_one_kind_are_limited_to_one_per_second() -> None:
    async def play() -> None:
        now = [100.0]
        actor = MembershipActor([Source("discovery")], MembershipSettings(), lambda: now[0], Applied(), 16)
        for n in range(30):
            actor.report(whole({"a": R}, 10 - 10 * (n % 2)))
            now[0] += 0.5 + 1.5 * (n % 2)
        actor.close()

    _, said = log_of(lambda: asyncio.run(play()))
    assert said.count("older than its last") == 15
    _, said = log_of(lambda: asyncio.run(many()))
    assert said.count("does not follow") == 2
    assert "(and 8 such lines)" in said


async def many() -> None:
    now = [100.0]
    actor = MembershipActor([Source("discovery")], MembershipSettings(), lambda: now[0], Applied(), 16)
    patch = api.WorkerList(api.ListKind.PATCH, (api.WorkerEntry("a", D),))
    for n in range(10):
        actor.report(whole({"a": R, f"b{n}": R}, 10 + n))
        now[0] += 1.0 * (n == 9)
        actor.report(Report("discovery", 1, patch, {}))
    actor.close()


# --- the program --------------------------------------------------------------------------------------------


def test_dispatcher_stores_its_list_and_starts_with_it(tmp_path: Path) -> None:
    ini = f"[membership]\nlast_good = {tmp_path / 'last'}\n"

    async def play() -> None:
        one, two = RealServer("w1"), RealServer("w2")
        async with node(tmp_path, one, two, ini=ini) as n:
            n.discovery.push(list_line(4, [two.entry("draining")]))
            while (await n.ask(os.urandom(8).hex())).body.startswith(b"w2"):
                await asyncio.sleep(0.02)
            n.discovery.push(list_line(5, [], True))  # an empty list, a mass removal, is not applied
            await asyncio.sleep(0.2)
            assert [(await n.ask(f"a{i}", f"/s/k{i}")).body for i in range(4)] == [
                f"w1 ran a{i}".encode() for i in range(4)
            ]
            n.process.send_signal(signal.SIGTERM)
            assert await n.process.wait() == 0
        log = (tmp_path / "log").read_text()
        assert "membership: 1 entries vanished within 10 s (w1); they are kept" in log
        assert last_good_list.decode((tmp_path / "last").read_bytes())[:2] == ("discovery", 5)
        async with node(tmp_path, one, ini=ini, known=None) as n:  # only the file has a list
            assert (await exchange(n.port, HEALTH)).status == 200
            assert (await n.ask("b1")).body == b"w1 ran b1"
        assert "started with the last good list, of discovery, 1 entries" in (tmp_path / "log").read_text()

    run(play())


def test_drain_in_etcd_applies_with_discovery_and_after_etcd_is_lost(tmp_path: Path) -> None:
    async def play() -> None:
        one, two = RealServer("w1"), RealServer("w2")
        etcd = Etcd()
        urls = await etcd.open()
        ini = f"[etcd]\nendpoints = {urls[0]}\n[membership]\nlead = etcd\n"

        async def runs_at(id: str) -> bytes:
            return (await n.ask(id)).body[:2]

        async with node(tmp_path, one, two, ini=ini) as n:
            n.discovery.push(
                list_line(2, [], False)
            )  # discovery is live; etcd is empty and becomes the leader
            etcd.cluster.store.txn(Put(b"/finchladder/drain/w1", b""))
            etcd.cluster.written()
            while await runs_at(os.urandom(8).hex()) != b"w2":
                await asyncio.sleep(0.01)
            for i in range(12):
                assert await runs_at(f"a{i}") == b"w2"
            etcd.close()
            n.discovery.push(list_line(3, [one.entry("ready")], False))
            for i in range(12):
                assert await runs_at(f"b{i}") == b"w2"  # the notice applies although etcd is unreachable
        log = (tmp_path / "log").read_text()
        assert "membership: discovery leads, with 2 entries" in log
        assert "Traceback" not in log

    run(play())
