"""The load generator against scripted dispatchers on loopback. Verdicts count records; none is of speed."""

import asyncio
import errno
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
import uvloop

from finchladder.lab import records
from finchladder.lab.control import Order, Plan, Word
from finchladder.lab.drivers.base import Process
from finchladder.lab.drivers.load import SPREAD, Load, _Connection
from finchladder.lab.drivers.sockets import reset
from finchladder.lab.experiment import Experiment, Fault, Front, JobClass, Keys, Network, Phase, Retries
from finchladder.lab.experiment import Load as LoadPart
from finchladder.lab.models.clients import GATEWAYS
from finchladder.lab.records import Answered, Asked, Mark
from finchladder.lab.wire import Message, Parser, write_response

STUBS: list["Stub"] = []  # of the test that runs
Script = Callable[["Stub", Message], None]
VIEW = JobClass("view", deadline_s=1.0)


class Stub(asyncio.Protocol):
    """A dispatcher's side of one connection: hands each whole request to a script."""

    def __init__(self, script: Script, heard: list[Message]) -> None:
        self.script, self.heard, self.parser, self.count = script, heard, Parser(responses=False), 0
        self.lost = False
        STUBS.append(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True

    def data_received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            self.count += 1
            self.heard.append(message)
            self.script(self, message)


def ok(stub: Stub, message: Message) -> None:
    stub.transport.write(write_response(200, b"result"))


class World:
    """A role `load` in this process, with one dispatcher."""

    def __init__(self, tmp_path: Path, load: LoadPart, **more: Any) -> None:
        self.words: list[Word] = []
        self.heard: list[Message] = []
        more = {"job_class": [VIEW], "slack_s": 0.0, "settle_s": 3.0, **more}
        self.experiment, self.out = Experiment("t", load, **more), tmp_path

    async def start(self, script: Script | None) -> None:
        STUBS.clear()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Stub(script or ok, self.heard), "127.0.0.1", 0)
        self.port: int = server.sockets[0].getsockname()[1]
        if script is None:  # a port at which nobody listens
            server.close()
            await server.wait_closed()
        plan = Plan("load", "load0", str(self.out), self.experiment, 0.0, 0.0, 1)
        plan.dispatchers, plan.zone_of = {"n1": f"127.0.0.1:{self.port}"}, {"n1": "a"}
        self.process = Process(
            plan, loop, lambda data: self.words.append(msgspec.json.decode(data, type=Word))
        )
        loop.set_exception_handler(
            lambda _, context: self.process.fail(context.get("exception") or context["message"])
        )
        self.role = Load(self.process)
        await self.role.open()
        self.role.order(Order("up", data={"name": "n1"}))

    async def until(self, condition: Callable[[], object]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                assert not self.process.ended.done(), self.words[-1].text
                await asyncio.sleep(0.005)

    async def stop(self) -> dict[str, Any]:
        figures: dict[str, Any] = await self.role.finish()
        self.role.close()
        self.process.close()
        await asyncio.sleep(0.01)
        assert not self.process.ended.done(), self.words[-1].text
        return figures

    async def whole(self, script: Script | None, closes: bool = False) -> dict[str, Any]:
        """closes: the client's connections are to end before the process does."""
        await self.start(script)
        self.role.order(Order("go", time.monotonic()))
        await self.until(lambda: self.process.said_done)
        if closes:
            await self.until(lambda: all(stub.lost for stub in STUBS))
        return await self.stop()

    def read(self) -> tuple[list[Asked], list[Answered], list[str]]:
        ledger = records.read_all(self.out / "ledger")
        asked = [r for r in ledger if isinstance(r, Asked)]
        answered = [r for r in ledger if isinstance(r, Answered)]
        return asked, answered, [r.name for r in ledger if isinstance(r, Mark)]


def one(classes: str = "view", **more: Any) -> LoadPart:
    """Exactly one arrival."""
    more = {"retries": Retries("none"), **more}
    return LoadPart([Phase("p", 0.1, 10.0, law="even")], **more)


def test_each_arrival_is_asked_once_and_answered(tmp_path: Path) -> None:
    load = LoadPart([Phase("p", 0.5, 400.0, law="even")])
    world = World(tmp_path, load, keys=Keys(50), job_class=[JobClass("view", slots=[0.0, 1.0], memory=0.5)])
    figures = uvloop.run(world.whole(ok))
    asked, answered, _ = world.read()
    assert figures["offered"] == figures["tries"] == figures["answered"] == 200
    assert [a.id for a in asked] == [a.id for a in answered]
    assert len({a.id for a in asked}) == 200
    assert {(a.end, a.status, a.body) for a in answered} == {("answer", 200, "result")}
    steps = sorted(a.due for a in asked)
    assert [b - a for a, b in zip(steps, steps[1:], strict=False)] == pytest.approx([1 / 400] * 199, abs=1e-6)
    heard = {m.headers["x-correlation-id"]: m for m in world.heard}
    for a, b in zip(asked, answered, strict=True):
        m = heard[a.id]
        assert a.due <= a.begun <= a.sent <= b.at
        assert a.origin == a.id
        assert a.number == 0
        assert (m.target, a.dispatcher, a.slots) == (f"/view/{a.key}", "n1", 2)
        assert a.digest == records.digest(m.method, m.target, m.body)
        assert m.headers["x-lab-node"] == "n1"
        assert m.headers["x-facts"] == "slots=2,memory=0.5"
        assert float(m.headers["x-lab-work"]) == pytest.approx(a.work, abs=1e-6)
        assert float(m.headers["x-time-left"]) == pytest.approx(a.patience, abs=1e-3)
        assert "x-repeat" not in m.headers


def half(stub: Stub, message: Message) -> None:
    stub.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")


def hang_up(stub: Stub, message: Message) -> None:
    stub.transport.close()


def half_hang_up(stub: Stub, message: Message) -> None:
    half(stub, message)
    stub.transport.close()


def until_end(stub: Stub, message: Message) -> None:
    stub.transport.write(b"HTTP/1.1 200 OK\r\n\r\nresult")
    stub.transport.close()


def twice(stub: Stub, message: Message) -> None:
    stub.transport.write(write_response(200, b"result") * 2)


def interim(stub: Stub, message: Message) -> None:
    stub.transport.write(b"HTTP/1.1 103 Early Hints\r\n\r\n")
    stub.transport.write(write_response(503, b"", {"Retry-After": "1.5"}))


def garbage(stub: Stub, message: Message) -> None:
    stub.transport.write(b"no answer at all\r\n\r\n")


def nothing(stub: Stub, message: Message) -> None:
    pass


@pytest.mark.parametrize(
    ("script", "impatient", "expected"),
    [
        (ok, 0.0, [("answer", 200, "result", 0.0)]),
        (interim, 0.0, [("answer", 503, "", 1.5)]),
        (until_end, 0.0, [("answer", 200, "result", 0.0)]),
        (twice, 0.0, [("answer", 200, "result", 0.0)] * 2),
        (hang_up, 0.0, [("closed", 0, "", 0.0)]),
        (half_hang_up, 0.0, [("closed", 0, "", 0.0)]),
        (garbage, 0.0, [("closed", 0, "", 0.0)]),
        (lambda stub, _: reset(stub.transport), 0.0, [("reset", 0, "", 0.0)]),
        (half, 0.0, [("silent", 0, "", 0.0)]),
        (nothing, 0.0, [("silent", 0, "", 0.0)]),
        (nothing, 1.0, [("left", 0, "", 0.0)]),
        (None, 0.0, [("unconnected", 0, "", 0.0)]),
    ],
)
def test_how_a_try_ends(tmp_path: Path, script: Script | None, impatient: float, expected: Any) -> None:
    world = World(tmp_path, one(impatient=impatient))
    uvloop.run(world.whole(script, closes=expected[0][0] != "answer"))
    (asked,), answered, _ = world.read()
    assert [(a.end, a.status, a.body, a.retry_after) for a in answered] == expected
    assert {a.id for a in answered} == {asked.id}
    assert asked.dispatcher == ("n1" if script else "")
    if expected[0][0] == "silent":
        assert answered[0].at >= asked.sent + asked.patience  # whoever answers in time is heard
    if impatient:
        assert answered[0].at < asked.sent + asked.patience


def test_retries_are_tries_of_their_own(tmp_path: Path) -> None:
    def refuse(stub: Stub, message: Message) -> None:
        stub.transport.write(write_response(503))

    world = World(tmp_path, one(retries=Retries("after", tries=3, wait_s=0.01)))
    uvloop.run(world.whole(refuse))
    asked, answered, _ = world.read()
    assert [a.number for a in asked] == [0, 1, 2]
    assert len({a.id for a in asked}) == len(answered) == 3
    assert {a.origin for a in asked} == {asked[0].id}
    assert [m.headers.get("x-repeat") for m in world.heard] == [None, "1", "1"]
    assert [b.due - a.at for a, b in zip(answered, asked[1:], strict=False)] == pytest.approx([0.01, 0.02])
    assert asked[2].patience < asked[0].patience


@pytest.mark.parametrize("crossing", ["unread", "closed before", "read", "reset by the run"])
def test_a_request_that_crosses_a_close_is_sent_once_more(tmp_path: Path, crossing: str) -> None:
    """unread: closed while the request lies unread; closed before: its end was not seen yet when the request
    was written; read: closed after the request was read, which is a loss. What looks the same while the run
    itself resets this link proves nothing, and is none."""
    faults = [Fault("reset_after", at_s=0.0, for_s=9.0, target="clients")]
    struck = crossing == "reset by the run"
    world = World(tmp_path, one(), network=Network(on=struck), fault=faults)

    async def accept() -> tuple[socket.socket, bytes]:
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(listener)
        return connection, await loop.sock_recv(connection, 65536)

    async def play() -> bytes:
        loop = asyncio.get_running_loop()
        await world.start(ok)
        role = world.role
        role.addresses["n1"] = listener.getsockname()
        role.connect(0, None)  # as a held one, with its health question
        kept, _ = await accept()
        await loop.sock_sendall(kept, write_response(200))
        await world.until(lambda: role.pools[0])
        role.zero = time.monotonic()
        job = next(role._rows(role.schedule.open()))
        job.wish.client = job.wish.client._replace(gateway=0)
        if crossing == "closed before":
            kept.close()
        role._start(job, job.wish.due)  # written at once, before the loop looks at any socket
        if crossing == "read":
            kept.recv(65536)
        kept.close()
        if crossing != "read" and not struck:
            again, request = await accept()
            await loop.sock_sendall(again, write_response(200, b"result"))
            await world.until(lambda: not role.tries)
            again.close()
        else:
            request = b""
            await world.until(lambda: not role.tries)
        await world.stop()
        return request

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        request = uvloop.run(play())
    (asked,), (answered,), _ = world.read()
    expected = {"read": ("closed", ""), "reset by the run": ("reset", "")}.get(crossing, ("answer", "result"))
    assert (answered.end, answered.body) == expected
    assert expected[0] != "answer" or f"X-Correlation-Id: {asked.id}\r\n".encode() in request


def test_a_closed_loop_keeps_its_number_in_flight(tmp_path: Path) -> None:
    most = [0, 0]

    def script(stub: Stub, message: Message) -> None:
        most[0] += 1
        most[1] = max(most)

        def answer() -> None:
            most[0] -= 1
            ok(stub, message)

        asyncio.get_running_loop().call_later(0.005, answer)

    world = World(tmp_path, LoadPart([Phase("p", 0.3, in_flight=4)]))
    figures = uvloop.run(world.whole(script))
    asked, answered, _ = world.read()
    assert max(a.due for a in asked) < world.role.zero + 0.3
    assert all(a.sent + a.patience >= a.due + VIEW.deadline_s - 1e-6 for a in asked)  # each its own deadline
    assert most[1] == 4
    assert figures["offered"] == len(asked) == len(answered) > 8


def test_so_many_in_flight_take_as_many_connections_from_all_zones(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    begun: list[int] = []

    def script(stub: Stub, message: Message) -> None:
        asyncio.get_running_loop().call_later(0.005, ok, stub, message)

    def some(role: Load) -> None:
        before = len(role.tries)
        drain(role)
        begun.append(len(role.tries) - before)

    drain = Load._drain
    monkeypatch.setattr(Load, "_drain", some)
    monkeypatch.setattr("finchladder.lab.drivers.load.AT_ONCE", 10)
    load = LoadPart([Phase("p", 0.5, in_flight=GATEWAYS + 1)], zone_shares=[0.25, 0.75])
    world = World(tmp_path, load, zones=["b", "a"], front=Front(across_zones=True))
    uvloop.run(world.whole(script))
    asked = world.read()[0]
    assert len(asked) > 2 * GATEWAYS
    assert len(STUBS) == GATEWAYS + 1
    assert len({a.client for a in asked}) > GATEWAYS + 1  # those of a gateway take turns
    assert max(begun) <= 10 < sum(begun)  # all at once would keep the loop from what comes
    steps = [n * SPREAD % GATEWAYS for n in range(8)]
    assert len(set(n * SPREAD % GATEWAYS for n in range(GATEWAYS))) == GATEWAYS
    assert sum(world.role.zones[gateway] == "b" for gateway in steps) in (2, 3)  # of so few, too


def test_no_try_goes_out_on_a_connection_whose_end_was_seen(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An arrival that is due between the end's being read and the loss's being told takes another one."""

    def script(stub: Stub, message: Message) -> None:
        ok(stub, message)
        if stub is STUBS[0]:
            stub.transport.close()

    def ended(connection: Any) -> bool | None:
        kept = read_end(connection)
        if world.role.row is not None:
            world.role._arrive(world.role.row, time.monotonic())
            world.role.row = next(world.role.rows, None)
        return kept

    read_end = _Connection.eof_received
    monkeypatch.setattr(_Connection, "eof_received", ended)
    monkeypatch.setattr("finchladder.lab.models.clients.GATEWAYS", 1)  # all clients share their connections
    load = LoadPart([Phase("p", 0.4, 10.0, law="even")], retries=Retries("none"))
    world = World(tmp_path, load)
    uvloop.run(world.whole(script))
    assert [a.end for a in world.read()[1]] == ["answer"] * 4
    assert len(STUBS) == 2


def test_more_in_flight_than_allowed_is_marked(tmp_path: Path) -> None:
    load = LoadPart([Phase("p", 0.2, 100.0, law="even")], most_in_flight=5, retries=Retries("none"))
    world = World(tmp_path, load)
    figures = uvloop.run(world.whole(nothing))
    asked, _, marks = world.read()
    assert len(asked) == 5
    assert figures["overflow"] == 15
    assert marks == ["load:overflow"]


def test_what_is_open_at_the_end_has_an_ending(tmp_path: Path) -> None:
    world = World(tmp_path, one(), job_class=[JobClass("view", deadline_s=60.0)], settle_s=0.1)
    uvloop.run(world.whole(nothing))
    (asked,), (answered,), _ = world.read()
    assert answered.id == asked.id
    assert answered.end == "left"


def test_held_connections_are_opened_again(tmp_path: Path) -> None:
    stubs: list[Stub] = []

    def script(stub: Stub, message: Message) -> None:
        stubs.append(stub)
        ok(stub, message)

    async def play() -> None:
        await world.start(script)
        await world.until(lambda: sum(map(len, world.role.pools)) == 70)
        for stub in stubs[:20]:
            stub.transport.close()
        await world.until(lambda: len(stubs) == 90)
        await world.until(lambda: sum(map(len, world.role.pools)) == 70)
        await world.stop()

    world = World(tmp_path, one(connections=70))
    uvloop.run(play())
    assert {m.target for m in world.heard} == {"/_health"}


def test_idle_connections_are_not_kept_for_ever(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("finchladder.lab.drivers.load.KEEP_S", 0.05)
    world = World(tmp_path, one())
    uvloop.run(world.whole(ok, closes=True))
    assert len(world.read()[1]) == 1


@pytest.mark.parametrize(("planned", "end"), [(True, "unconnected"), (False, "answer")])
def test_the_front_notices_a_death_late(tmp_path: Path, planned: bool, end: str) -> None:
    async def play() -> None:
        await world.start(ok)
        world.role.order(Order("down", data={"name": "n1", "planned": planned}))
        world.role.order(Order("go", time.monotonic()))
        await world.until(lambda: world.process.said_done)
        await world.stop()

    world = World(tmp_path, one(), front=Front(notices_death_s=60.0))
    uvloop.run(play())
    assert [a.end for a in world.read()[1]] == [end]


def test_descriptors_that_run_out_end_the_process(tmp_path: Path) -> None:
    """A lab without descriptors must not look like a dispatcher that refuses connections."""

    class Poor:
        def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
            self.loop = loop

        def __getattr__(self, name: str) -> Any:
            return getattr(self.loop, name)

        async def create_connection(self, *arguments: object) -> None:
            raise OSError(errno.EMFILE, "too many open files")

    async def play() -> None:
        await world.start(ok)
        world.process.loop = cast(asyncio.AbstractEventLoop, Poor(world.process.loop))
        world.role.order(Order("go", time.monotonic()))
        async with asyncio.timeout(10):
            assert await world.process.ended == 1
        world.role.close()
        world.process.close()

    world = World(tmp_path, one())
    uvloop.run(play())
    assert world.words[-1].what == "failed"
    assert "too many open files" in world.words[-1].text


def test_rude_clients_find_a_dispatcher_that_takes_anything(tmp_path: Path) -> None:
    class Lax(Stub):
        def data_received(self, data: bytes) -> None:
            ok(self, Message({}, b"", True))

    async def play() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: Lax(ok, []), "127.0.0.1", 0)
        await world.start(ok)
        world.role.addresses["n1"] = server.sockets[0].getsockname()[:2]
        world.role.order(Order("go", time.monotonic()))
        await world.until(lambda: len(world.process.tasks) > 20 or world.process.said_done)
        await world.until(lambda: world.role.counts.rude >= 20)
        await world.stop()

    world = World(tmp_path, LoadPart([Phase("p", 0.5)], rude=60.0))
    uvloop.run(play())
    seen = [r for r in records.read_all(tmp_path / "ledger") if isinstance(r, records.Rude)]
    assert len(seen) >= 20
    assert {r.dispatcher for r in seen} == {"n1"}
    assert {"200"} < {r.ending for r in seen} | {"closed", "silent"}
    assert {r.wrong for r in seen} >= {"", "answered 200"}


def test_a_process_against_the_null_target(tmp_path: Path) -> None:
    """The role as it is started in a run, from its plan to its exit."""
    null = subprocess.Popen(
        [sys.executable, "-m", "finchladder.lab.null"],
        env={**os.environ, "NODE_LISTEN": "127.0.0.1:0"},
        stdout=subprocess.PIPE,
    )
    load = subprocess.Popen(
        [sys.executable, "-m", "finchladder.lab.drivers", "load"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        assert null.stdout
        assert load.stdin
        assert load.stdout
        address = null.stdout.readline().split()[1].decode()
        experiment = Experiment("t", LoadPart([Phase("p", 1.0, 300.0)], connections=10), job_class=[VIEW])
        plan = Plan("load", "load0", str(tmp_path), experiment, 0.0, 0.0, 1, dispatchers={"n1": address})
        plan.zone_of = {"n1": "a"}
        load.stdin.write(msgspec.json.encode(plan) + b"\n")
        load.stdin.flush()
        words = [msgspec.json.decode(load.stdout.readline(), type=Word)]
        for line in [Order("up", data={"name": "n1"}), Order("go", time.monotonic() + 0.3)]:
            load.stdin.write(msgspec.json.encode(line) + b"\n")
        load.stdin.flush()
        while words[-1].what != "done":
            words.append(msgspec.json.decode(load.stdout.readline(), type=Word))
        load.stdin.write(msgspec.json.encode(Order("stop")) + b"\n")
        load.stdin.flush()
        assert load.wait(10) == 0
        null.send_signal(signal.SIGTERM)
        assert null.wait(10) == 0
    finally:
        for process in (null, load):
            process.kill()
            process.wait()
            for pipe in (process.stdin, process.stdout):
                if pipe:
                    pipe.close()
    ledger = records.read_all(tmp_path / "ledger")
    asked = [r.id for r in ledger if isinstance(r, Asked)]
    assert words[0].what == "ready"
    assert words[-1].data["offered"] == len(asked) > 200
    assert [r.id for r in ledger if isinstance(r, Answered) and r.status == 200] == asked
    assert any(isinstance(r, records.Lateness) and r.events for r in ledger)
