"""Discovery's watch on real sockets: how it fails or falls silent, and lists that arrive out of order."""

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from finchladder.core import api
from finchladder.core.membership.watch import (
    LINE_TIMEOUT_S,
    MAX_PROPAGATION_S,
    RENUMBERED_AFTER_S,
    SILENCE_TIMEOUT_S,
    WatchState,
)
from finchladder.net.endpoint_watcher import EndpointWatcher, LineSplitter
from finchladder.net.http1 import connect
from tests.peers import (
    HEALTH,
    ROOT,
    SETTINGS,
    Discovery,
    Message,
    RealServer,
    exchange,
    free_port,
    list_line,
    node,
    request,
    run,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def entry(name: str, status: str = "ready", **more: object) -> dict[str, object]:
    return {"name": name, "address": "127.0.0.1:9", "status": status} | more


class Scripted(Discovery):
    """Answers each watch by the next of `acts`; `silent_since` is when the first of them fell silent."""

    def __init__(self, *acts: Callable[["Scripted", asyncio.StreamWriter], Awaitable[None]]) -> None:
        super().__init__()
        self.acts = list(acts)
        self.silent_since = 0.0

    async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self.asked.append(message.start.split()[1])
        self.watches.append(writer)
        act = self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]
        await act(self, writer)


def sends(*lines: bytes) -> Callable[[Scripted, asyncio.StreamWriter], Awaitable[None]]:
    async def act(d: Scripted, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)
        for line in lines:
            d.push(line)
        d.silent_since = time.monotonic()

    return act


async def no_response(d: Scripted, writer: asyncio.StreamWriter) -> None:
    d.silent_since = time.monotonic()


async def trickles(d: Scripted, writer: asyncio.StreamWriter) -> None:
    """Sends bytes all the time, but never completes a line."""
    writer.write(HEAD)
    d.silent_since = time.monotonic()
    for _ in range(200):
        writer.write(b"1\r\n{\r\n")
        await writer.drain()
        await asyncio.sleep(0.1)


async def reset(d: Scripted, writer: asyncio.StreamWriter) -> None:
    d.silent_since = time.monotonic()
    writer.transport.abort()


async def rejects(d: Scripted, writer: asyncio.StreamWriter) -> None:
    d.silent_since = time.monotonic()
    writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")


class Watched:
    """An EndpointWatcher on a scripted discovery; `states` are the states applied last."""

    def __init__(self, shared: bool = False) -> None:
        self.states: dict[str, api.WorkerStatus] = {}
        self.changed = asyncio.Event()
        self.actor = EndpointWatcher(("127.0.0.1", 0), self.apply, lambda names: None, connect)
        self.actor.watch_state = WatchState(shared)

    def apply(self, workers: api.WorkerList, addresses: dict[str, tuple[str, int]]) -> None:
        if workers.kind is not api.ListKind.PATCH:
            self.states = {}
        self.states |= {e.worker: e.state for e in workers.entries}
        self.started_at = max((e.started_at for e in workers.entries), default=0.0)
        self.changed.set()

    async def until(self, **states: api.WorkerStatus) -> None:
        while self.states != states:
            self.changed.clear()
            await self.changed.wait()

    async def follow(self, d: Discovery) -> None:
        await d.open()
        self.actor.address = ("127.0.0.1", d.port)
        self.actor.start(list_line(1, [entry("w1"), entry("w2")], True))
        await self.until(w1=api.WorkerStatus.READY, w2=api.WorkerStatus.READY)


DRAIN = list_line(3, [entry("w1", "draining")])
GOOD = sends(DRAIN)


@pytest.mark.parametrize("shared", [False, True])
@pytest.mark.parametrize(
    "acts",
    [
        (sends(), GOOD),  # silent from the start
        (sends(b""), GOOD),
        (sends(list_line(2, [entry("w2")])), GOOD),  # silent after an update
        (no_response, GOOD),  # accepts the connection without a response
        (trickles, GOOD),
        (reset, GOOD),
        (rejects, GOOD),
        (sends(), sends(list_line(3, [entry("w1", "draining"), entry("w2")], True))),  # a full list
    ],
)
def test_a_change_arrives_within_the_propagation_time_after_a_watch_fails(
    acts: tuple[Callable[[Scripted, asyncio.StreamWriter], Awaitable[None]], ...], shared: bool
) -> None:
    async def scenario() -> None:
        d, f = Scripted(*acts), Watched(shared)
        await f.follow(d)
        while not d.silent_since:
            await asyncio.sleep(0)
        silent_since = d.silent_since
        await f.until(w1=api.WorkerStatus.DRAINING, w2=api.WorkerStatus.READY)
        assert time.monotonic() - silent_since < MAX_PROPAGATION_S
        f.actor.stop()

    run(scenario())


def test_a_full_list_after_silence_shows_a_restart_and_a_removal() -> None:
    async def scenario() -> None:
        d, f = Scripted(sends(), sends(list_line(3, [entry("w1", since_ms=5000)], True))), Watched()
        await f.follow(d)
        await f.until(w1=api.WorkerStatus.READY)  # and w2 is removed
        assert f.started_at == 5.0
        f.actor.stop()

    run(scenario())


def test_a_change_arrives_in_time_after_a_reset_and_a_hanging_watch() -> None:
    async def scenario() -> None:
        d, f = Scripted(sends(list_line(2, [entry("w2")])), no_response, GOOD), Watched()
        await f.follow(d)
        while not d.silent_since:
            await asyncio.sleep(0)
        silent_since = d.silent_since
        await f.until(w1=api.WorkerStatus.DRAINING, w2=api.WorkerStatus.READY)
        assert time.monotonic() - silent_since < MAX_PROPAGATION_S
        assert len(d.asked) == 3
        f.actor.stop()

    run(scenario())


def test_an_older_version_after_a_newer_one_is_ignored() -> None:
    """On the same watch, as a patch or a full list, and as the first list of the next watch."""
    old = list_line(2, [entry("w1"), entry("w2")], True)

    async def scenario() -> None:
        d = Scripted(sends(DRAIN, old, list_line(2, [entry("w1")]), list_line(4, [entry("w2", "gone")])))
        f = Watched()
        await f.follow(d)
        await f.until(w1=api.WorkerStatus.DRAINING, w2=api.WorkerStatus.REMOVED)
        d.acts = [sends(old, list_line(5, [entry("w3")]))]
        d.watches[-1].transport.abort()
        await f.until(w1=api.WorkerStatus.DRAINING, w2=api.WorkerStatus.REMOVED, w3=api.WorkerStatus.READY)
        assert d.asked[-1].endswith("index=4")
        assert f.actor.index == 5
        f.actor.stop()

    run(scenario())


@pytest.mark.parametrize("indent", [None, 1, 4])
@pytest.mark.parametrize("size", [1, 11, 4096])
def test_an_indented_list_in_pieces_and_empty_lines_are_read(indent: int | None, size: int) -> None:
    text = json.dumps(json.loads(list_line(7, [entry('w"{1'), entry("w2}", zone="}{")], True)), indent=indent)
    data, lines = f"\n{text}\n\n{text}\n".encode(), LineSplitter()
    found = [line for at in range(0, len(data), size) for line in lines.feed(data[at : at + size])]
    assert [json.loads(line) if line else None for line in found] == [None, json.loads(text)] * 2


def test_an_indented_list_is_applied() -> None:
    async def scenario() -> None:
        text = json.dumps(json.loads(DRAIN), indent=2).encode()
        d, f = Scripted(sends(text)), Watched()
        await f.follow(d)
        await f.until(w1=api.WorkerStatus.DRAINING, w2=api.WorkerStatus.READY)
        assert len(d.asked) == 1
        f.actor.stop()

    run(scenario())


T = 100.0
Arrival = tuple[float, int, bool, bool]  # time, version, whether the list is full, whether it is accepted


@pytest.mark.parametrize(
    "arrivals",
    [
        [(T, 1, True, True)],  # independent of the saved list
        [(T, 5, True, True), (T, 5, False, True), (T, 6, False, True)],
        [(T, 5, True, True), (T, 4, False, False), (T, 4, True, False), (T, 5, True, True)],
        [(T, 5, True, True), (T + 99, 4, True, False)],  # the first older version, however late it arrives
        # only older versions for a while: discovery has restarted its numbering
        [(T, 5, True, True), (T + 1, 2, True, False), (T + RENUMBERED_AFTER_S + 0.1, 2, True, True)],
        [(T, 5, True, True), (T + 1, 2, True, False), (T + RENUMBERED_AFTER_S + 0.1, 2, False, False)],
        [(T, 5, True, True), (T + 1, 2, True, False), (T + 2, 6, True, True), (T + 6, 2, True, False)],
    ],
)
def test_accepted_versions(arrivals: list[Arrival]) -> None:
    rules = WatchState(False)
    assert [rules.accept(at, version, whole) for at, version, whole, _ in arrivals] == [
        c[3] for c in arrivals
    ]


@pytest.mark.parametrize(
    ("last_byte", "last_line", "silent"),
    [(T, T, T + SILENCE_TIMEOUT_S), (T + 1, T, T + 1 + SILENCE_TIMEOUT_S), (T + 3, T, T + LINE_TIMEOUT_S)],
)
def test_timeouts_of_an_open_watch(last_byte: float, last_line: float, silent: float) -> None:
    assert WatchState(False).timeout_at(last_byte, last_line) == silent


def test_a_restarted_numbering_is_accepted_after_a_while(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("finchladder.core.membership.watch.RENUMBERED_AFTER_S", 0.3)

    async def scenario() -> None:
        d, f = Scripted(sends(list_line(9, [entry("w1"), entry("w2")], True))), Watched()
        await f.follow(d)
        while f.actor.index != 9:
            await asyncio.sleep(0)
        d.acts = [sends(list_line(2, [entry("w1", "draining"), entry("w2")], True))]
        d.watches[-1].transport.abort()
        while not f.actor.watch_state.has_older:
            await asyncio.sleep(0.02)
        assert f.actor.index == 9
        older_since = asyncio.get_running_loop().time()
        while len(d.asked) < 3:  # any line after that while, even an empty one, reopens the watch
            d.push(b"")
            await asyncio.sleep(0.05)
        assert asyncio.get_running_loop().time() > older_since + 0.2
        await f.until(w1=api.WorkerStatus.DRAINING, w2=api.WorkerStatus.READY)
        assert d.asked[-1].endswith("index=0")
        f.actor.stop()

    run(scenario())


# --- startup


@pytest.mark.parametrize("status", ["draining", "gone"])
def test_a_new_process_uses_no_saved_entry_that_discovery_has_withdrawn(tmp_path: Path, status: str) -> None:
    """Discovery answers only after a client has tried to connect, which must be refused until then."""
    tried = asyncio.Event()

    async def answers(d: Scripted, writer: asyncio.StreamWriter) -> None:
        await tried.wait()
        await sends(list_line(5, [servers[0].entry(status), servers[1].entry()], True))(d, writer)

    servers = [RealServer("w1"), RealServer("w2")]

    async def scenario() -> None:
        d, port = Scripted(answers), free_port()
        for listener in (d, *servers):
            await listener.open()
        for s in servers:
            s.node = port
        known = json.loads(list_line(1, [servers[0].entry()], True))
        process = await start(tmp_path, port, d, known)
        try:
            while not d.asked:
                await asyncio.sleep(0)
            got = None
            while got is None:
                try:
                    got = await exchange(port, request(f"a{time.monotonic()}"))
                except OSError:
                    tried.set()
                tried.set()
            assert got.status == 200
            assert not servers[0].got
        finally:
            process.kill()
            await process.wait()

    run(scenario())


async def start(tmp_path: Path, port: int, d: Discovery, known: object) -> asyncio.subprocess.Process:
    config = tmp_path / "config.json"
    config.write_text(json.dumps({"seed": "5", "known": known, "settings": SETTINGS}))
    env = os.environ | {
        "NODE_NAME": "n1",
        "NODE_LISTEN": f"127.0.0.1:{port}",
        "NODE_DISCOVERY": f"127.0.0.1:{d.port}",
        "NODE_CONFIG": str(config),
    }
    command = [sys.executable, "-m", "finchladder"]
    with (tmp_path / "log").open("wb") as log:
        return await asyncio.create_subprocess_exec(*command, env=env, cwd=ROOT, stderr=log)


def test_a_new_process_starts_despite_a_silent_discovery(tmp_path: Path) -> None:
    async def scenario() -> None:
        d, port, server = Scripted(no_response), free_port(), RealServer("w1")
        for listener in (d, server):
            await listener.open()
        server.node = port
        process = await start(tmp_path, port, d, json.loads(list_line(1, [server.entry()], True)))
        try:
            while not d.asked:
                await asyncio.sleep(0)
            asked, up = time.monotonic(), None
            while up is None:
                try:
                    up = await exchange(port, HEALTH)
                except OSError:
                    await asyncio.sleep(0.01)
            assert up.status == 200
            assert time.monotonic() - asked < 2.0
            assert (await exchange(port, request("a1"))).body == b"w1 ran a1"
        finally:
            process.kill()
            await process.wait()

    run(scenario())


def test_sigterm_during_startup_ends_the_process_cleanly(tmp_path: Path) -> None:
    async def scenario() -> None:
        d, port = Scripted(no_response), free_port()
        await d.open()
        process = await start(tmp_path, port, d, json.loads(list_line(1, [entry("w1")], True)))
        while not d.asked:
            await asyncio.sleep(0)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(scenario())


def test_a_drain_from_the_new_discovery_after_sighup_applies_at_once(tmp_path: Path) -> None:
    """This also holds if the old discovery is silent when the file is changed."""

    async def scenario() -> None:
        servers = [RealServer("w1"), RealServer("w2")]
        async with node(tmp_path, *servers) as n:
            new = Discovery()
            await new.open()
            new.first = list_line(7, [servers[0].entry("draining")])
            file = json.loads(n.config.read_text())
            n.config.write_text(json.dumps(file | {"discovery": f"127.0.0.1:{new.port}"}))
            n.process.send_signal(signal.SIGHUP)
            while not new.asked:
                await asyncio.sleep(0)
            new.push(b"}")  # the bad line reopens the watch, so it was read
            while len(new.asked) < 2:
                await asyncio.sleep(0)
            assert new.asked[-1].endswith("index=7")
            for i in range(6):
                assert (await n.ask(f"a{i}", f"/s/k{i}")).body == b"w2 ran a%d" % i
            assert not servers[0].got

    run(scenario())
