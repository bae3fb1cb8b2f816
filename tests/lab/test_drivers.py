"""The lab's processes on loopback sockets. Verdicts are by what was said and counted, never by time."""

import asyncio
import json
import random
import re
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, cast

import msgspec
import pytest
import uvloop

from finchladder.lab import records, wire
from finchladder.lab.control import Order, Plan, ServerPlan
from finchladder.lab.drivers import callbacks, fleet, registry, relay
from finchladder.lab.drivers.base import Process, Role
from finchladder.lab.drivers.sockets import split
from finchladder.lab.experiment import Experiment

ID = "0123456789abcdef"
QUIET: dict[str, Any] = {"early": 0.0, "twice": 0.0, "lost": 1.0}
PLAIN: dict[str, Any] = {
    "name": "t",
    "load": {"phase": [{"name": "p", "for_s": 1.0}]},
    "class": [{"name": "view"}, {"name": "book", "effect": "fragile"}],
    "pool": [{"count": 2, "answers_at_once": True, "reports": False}],
    "callbacks": QUIET,
    "discovery": {"delay_s": 0.0, "empty_line_s": 60.0},
}


class Party:
    """A role in this process: what it says, and its ledger."""

    def __init__(self, make: Callable[[Process], Role], tmp: Path, more: dict[str, Any], **plan: Any) -> None:
        experiment = msgspec.convert(PLAIN | more, Experiment)
        servers = [ServerPlan("s1", 0, "a"), ServerPlan("s2", 0, "a")]
        fields: dict[str, Any] = {
            "role": "fleet",
            "name": "p",
            "out": str(tmp),
            "zero": 0.0,
            "wall": 0.0,
            "seed": 1,
        } | plan
        self.plan = Plan(experiment=experiment, servers=servers, **fields)
        self.said: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.process = Process(
            self.plan, asyncio.get_running_loop(), lambda line: self.said.put_nowait(json.loads(line))
        )
        self.role = make(self.process)
        self.log = tmp / "ledger" / "p.log"

    async def open(self) -> dict[str, str]:
        opened: dict[str, str] = await self.role.open()
        return opened

    def order(self, what: Any, data: Any = None) -> None:
        self.role.order(Order(what, data=data))

    def fault(self, kind: str, *targets: str, end: bool = False, **more: Any) -> None:
        self.order("fault", {"kind": kind, "targets": targets, "end": end} | more)

    async def word(self, what: str) -> Any:
        while (word := await asyncio.wait_for(self.said.get(), 20))["what"] != what:
            pass
        return word.get("data")

    def records(self, kind: type) -> list[Any]:
        self.process.ledger.flush()
        return [r for r in records.read(self.log) if isinstance(r, kind)]


class Node:
    """A dispatcher as its peers see it: hears call-backs, answers them by a script, then 204."""

    def __init__(self, *script: int) -> None:
        self.script, self.heard = list(script), asyncio.Queue[dict[str, Any]]()
        self.all: list[tuple[str, str]] = []

    async def open(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = wire.Parser(responses=False)
        while data := await reader.read(65536):
            for m in parser.feed(data):
                told = json.loads(m.body)
                self.all.append((told["id"], told["state"]))
                status = self.script.pop(0) if self.script else 204
                if status < 0:
                    continue  # never answered
                if not status:
                    writer.transport.abort()
                    return
                writer.write(wire.write_response(status))
                if status == 204:
                    self.heard.put_nowait(told)
        writer.close()

    async def hear(self) -> dict[str, Any]:
        return await asyncio.wait_for(self.heard.get(), 20)


class Client:
    def __init__(self, responses: bool = True) -> None:
        self.parser = wire.Parser(responses)
        self.got: list[wire.Message] = []
        self.rest = b""

    async def open(self, address: str) -> "Client":
        self.reader, self.writer = await asyncio.open_connection(*split(address))
        return self

    def send(
        self, id: str | None = ID, target: str = "/view/k1", method: str = "POST", node: str = "n1"
    ) -> None:
        headers = {"Host": "x", "X-Lab-Work": "0.01", "X-Facts": "slots=1"}
        if id is not None:
            headers["X-Correlation-Id"] = id
        if node:
            headers["X-Lab-Node"] = node
        self.writer.write(wire.write_request(method, target, headers, b"body"))

    async def answer(self) -> wire.Message | None:
        """None: the connection ended; ConnectionResetError: by a reset."""
        while not self.got:
            if not (data := await asyncio.wait_for(self.reader.read(65536), 20)):
                return None
            self.got = self.parser.feed(data)
        return self.got.pop(0)

    async def status(self) -> int:
        answer = await self.answer()
        return answer.status if answer else 0


async def ended(client: Client) -> str:
    """How a connection ended, without an answer."""
    try:
        return "closed" if await client.answer() is None else "answer"
    except ConnectionResetError:
        return "reset"


async def until(true: Callable[[], Any]) -> None:
    async with asyncio.timeout(20):
        while not true():
            await asyncio.sleep(0.005)


def play(work: Callable[[], Awaitable[None]]) -> None:
    """On the loop that the processes use; what escapes from a callback fails the test."""

    async def bounded() -> None:
        task, errors = asyncio.ensure_future(work()), list[Any]()

        def escaped(_: object, context: dict[str, Any]) -> None:
            errors.append(context.get("exception") or context["message"])
            task.cancel()

        asyncio.get_running_loop().set_exception_handler(escaped)
        await asyncio.wait([task], timeout=30)
        assert not errors, errors
        assert task.done()
        task.result()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(bounded())


async def a_fleet(
    tmp: Path, node: Node, more: dict[str, Any] | None = None, pool: dict[str, Any] | None = None
) -> tuple[Party, dict[str, str]]:
    told = {"pool": [PLAIN["pool"][0] | (pool or {})]} | (more or {})
    party = Party(fleet.Fleet, tmp, told, dispatchers={"n1": await node.open()})
    return party, await party.open()


# ---- the fleet


def test_a_job_is_answered_called_back_in_order_and_noted(tmp_path: Path) -> None:
    async def work() -> None:
        node = Node()
        party, opened = await a_fleet(tmp_path, node)
        assert (await party.word("states")) == {"s1": ["ready", 0.0], "s2": ["ready", 0.0]}
        client = await Client().open(opened["s1"])
        ids = [f"{n:016x}" for n in range(50)]
        for id in ids:
            client.send(id)
            assert await client.status() == 202
        told = [await node.hear() for _ in range(100)]
        for id in ids:
            assert [t["state"] for t in told if t["id"] == id] == ["started", "done"]
        results = {t["id"]: t["result"] for t in told if t["state"] == "done"}
        assert all(t["from"] == "s1" for t in told)
        assert {e.id: e.result for e in party.records(records.Ended)} == results
        taken = party.records(records.Taken)
        assert [t.id for t in taken] == ids
        assert {t.verdict for t in taken} == {"accepted"}
        assert {t.digest for t in taken} == {records.digest("POST", "/view/k1", b"body")}
        assert all(t.first <= t.last for t in taken)
        assert len(party.records(records.Began)) == 50
        assert await party.role.finish() == {"up": 2, "taken": 50, "told": 100, "untold": 0, "waiting": 0}
        party.role.close()

    play(work)


def test_each_attempt_takes_its_own_time(tmp_path: Path) -> None:
    async def work() -> None:
        classes = [{"name": "view", "share": 0.5, "attempt_sigma": 0.3}, {"name": "book", "share": 0.5}]
        party = Party(fleet.Fleet, tmp_path, {"class": classes})
        read = cast(fleet.Fleet, party.role).read
        headers = {"x-correlation-id": ID, "x-lab-work": "0.1", "x-facts": "slots=2,memory=0.7"}
        views = [read(wire.Message(headers, b"", True, "POST", "/view/k1")) for _ in range(2000)]
        works = [job.work for job in views if job]
        assert len(set(works)) == 2000
        assert sum(works) / 2000 == pytest.approx(0.1, rel=0.03)
        assert views[0]
        assert (views[0].slots, views[0].memory) == (2.0, 0.7)
        booked = read(wire.Message(headers, b"", True, "POST", "/book/k1"))
        assert booked
        assert booked.work == 0.1

    play(work)


@pytest.mark.parametrize(
    ("status", "how"),
    [
        (404, {"id": None}),
        (400, {"id": "short"}),
        (400, {"id": "0123456789abcde!"}),
        (400, {"node": ""}),
        (400, {"node": "n9"}),
        (400, {"target": "/unheard-of/k"}),
    ],
)
def test_what_no_client_sent_is_refused_and_noted(tmp_path: Path, status: int, how: dict[str, Any]) -> None:
    async def work() -> None:
        nodes = {"n1": await Node().open(), "n2": await Node().open()}
        party = Party(fleet.Fleet, tmp_path, {}, dispatchers=nodes)
        client = await Client().open((await party.open())["s1"])
        client.send(**how)
        assert await client.status() == status
        assert [(t.id, t.verdict) for t in party.records(records.Taken)] == [
            (how.get("id", ID) or "", "unknown")
        ]
        party.role.close()

    play(work)


def test_a_call_back_is_tried_until_it_is_answered(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(callbacks, "WAITS_S", (0.001,) * 9)
    monkeypatch.setattr(callbacks, "ANSWER_S", 0.05)

    async def work() -> None:
        node = Node(500, 503, 0, 404, -1, 204, *[500] * 10)
        party, opened = await a_fleet(tmp_path, node)
        client = await Client().open(opened["s1"])
        client.send()
        await until(lambda: len(node.all) == 16)  # `done` is given up after ten tries
        client.send("f" * 16)
        assert [(await node.hear())["state"] for _ in range(3)] == ["started", "started", "done"]
        states = [s for id, s in node.all if id == ID]
        assert states == ["started"] * 6 + ["done"] * 10
        party.role.close()

    play(work)


def test_call_backs_come_before_the_202_and_twice_and_for_unknown_jobs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fleet, "EARLY_S", 60.0)

    async def work() -> None:
        node = Node()
        habits = {"callbacks": {"early": 1.0, "twice": 1.0, "unknown_per_s": 1000.0}}
        party, opened = await a_fleet(tmp_path, node, habits)
        client = await Client().open(opened["s1"])
        node.script = [500]  # the 202 waits until the first call-back was answered, not only tried
        client.send()
        await until(lambda: node.all)
        assert await client.status() == 202
        assert node.heard.qsize() >= 1
        assert [(await node.hear())["state"] for _ in range(4)] == ["started"] * 2 + ["done"] * 2
        party.order("go")
        assert (await node.hear())["id"] not in (ID, "")
        party.role.close()

    play(work)


SLOW: dict[str, Any] = {"answers_at_once": False, "speed": 1e-3}  # jobs never end by themselves


def test_kill_resets_tells_lost_and_it_comes_back_cold(tmp_path: Path) -> None:
    async def work() -> None:
        node = Node()
        party, opened = await a_fleet(tmp_path, node, pool=SLOW)
        await party.word("states")
        client = await Client().open(opened["s1"])
        client.send()
        assert await client.status() == 202
        assert (await node.hear())["state"] == "started"
        party.fault("kill", "s1", "of another process")
        assert await ended(client) == "reset"
        assert await node.hear() == {"id": ID, "from": "s1", "state": "lost"}
        assert (await party.word("states"))["s1"][0] == "gone"
        with pytest.raises(ConnectionRefusedError):
            await Client().open(opened["s1"])
        assert [(e.id, e.how) for e in party.records(records.Ended)] == [(ID, "killed")]
        assert [(d.server, d.why) for d in party.records(records.Died)] == [("s1", "killed")]
        party.fault("kill", "s1", end=True)
        state, born = (await party.word("states"))["s1"]
        last = party.records(records.Born)[-1]
        assert (state, born) == ("ready", last.at)
        assert (last.epoch, last.cold) == (2, True)
        again = await Client().open(opened["s1"])
        again.send("f" * 16)
        assert await again.status() == 202
        party.role.close()

    play(work)


def test_the_dead_tell_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(callbacks, "WAITS_S", (0.05,) * 9)

    async def work() -> None:
        node = Node(500)
        party, opened = await a_fleet(tmp_path, node, pool=SLOW)
        client = await Client().open(opened["s1"])
        client.send()
        await until(lambda: node.all)  # `started` waits for its next try
        party.fault("swallow", "s1")
        client.send("f" * 16)
        await until(lambda: len(party.records(records.Taken)) == 2)
        party.fault("kill", "s1")
        assert (await node.hear())["state"] == "lost"
        await asyncio.sleep(0.1)
        assert [s for _, s in node.all] == ["started", "lost"]
        assert {(e.id, e.how) for e in party.records(records.Ended)} == {(ID, "killed"), ("f" * 16, "killed")}
        party.role.close()

    play(work)


def test_cold_from_the_run_s_begin_overdriven_it_falls_and_stays_down(tmp_path: Path) -> None:
    async def work() -> None:
        pool = {"answers_at_once": False, "starts_cold": True, "cold_from": 0.1, "cold_for_s": 3600.0}
        rule = {"cold_multiple": 0.02, "cold_window_s": 60.0}
        party, opened = await a_fleet(tmp_path, Node(), rule, pool | {"queue": 1000})
        party.order("go")
        while (first := (await party.word("states"))["s1"])[1] < party.records(records.Born)[-2].at:
            pass
        assert [(b.epoch, b.cold) for b in party.records(records.Born) if b.server == "s1"] == [
            (1, True),
            (2, True),
        ]
        assert first[0] == "ready"
        client = await Client().open(opened["s1"])
        with pytest.raises(ConnectionResetError):
            for n in range(1000):
                client.send(f"{n:016x}")
                assert await client.status() == 202
        assert [d.why for d in party.records(records.Died)] == ["fell"]
        taken = party.records(records.Taken)
        assert taken[-1].verdict == "reset"
        assert {t.verdict for t in taken[:-1]} == {"accepted"}
        party.fault("crash", "s1", end=True)
        with pytest.raises(ConnectionRefusedError):
            await Client().open(opened["s1"])
        party.role.close()

    play(work)


def test_given_up_by_delete_or_before_the_202(tmp_path: Path) -> None:
    async def work() -> None:
        node = Node()
        party, opened = await a_fleet(tmp_path, node, pool=SLOW)
        client = await Client().open(opened["s1"])
        client.send()
        assert await client.status() == 202
        for target, status in ((f"/jobs/{ID}", 204), (f"/jobs/{ID}", 404)):
            client.send(target=target, method="DELETE")
            assert await client.status() == status
        party.fault("swallow", "s1")
        client.send("f" * 16)
        await until(lambda: len(party.records(records.Taken)) == 2)
        client.writer.close()
        await until(lambda: len(party.records(records.Ended)) == 2)
        assert [t.verdict for t in party.records(records.Taken)] == ["accepted", "silent"]
        assert [(e.id, e.how) for e in party.records(records.Ended)] == [
            (ID, "cancelled"),
            ("f" * 16, "cancelled"),
        ]
        party.role.close()

    play(work)


def test_connections_idle_too_long_are_closed_and_too_many_unread(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fleet, "SWEEP_S", 0.01)

    async def work() -> None:
        party, opened = await a_fleet(tmp_path, Node(), pool={"idle_s": 0.05, "connections": 2})
        model = party.role.servers["s1"].model  # type: ignore[attr-defined]
        party.fault("swallow", "s1")
        busy, idle = await Client().open(opened["s1"]), await Client().open(opened["s1"])
        busy.send()
        await until(lambda: model.connections == 2)
        refused = await Client().open(opened["s1"])
        refused.send("f" * 16)
        assert await ended(refused) != "answer"
        assert await ended(idle) == "closed"
        assert model.connections == 1
        assert not busy.reader.at_eof()
        assert [t.id for t in party.records(records.Taken)] == [ID]
        party.role.close()

    play(work)


def test_a_paused_server_is_silent_and_its_connections_stand(tmp_path: Path) -> None:
    async def work() -> None:
        node = Node()
        party, opened = await a_fleet(tmp_path, node, pool=SLOW)
        before = await Client().open(opened["s1"])
        before.send("e" * 16)
        assert await before.status() == 202
        party.fault("pause", "s1")
        client, leaver = await Client().open(opened["s1"]), await Client().open(opened["s1"])
        client.send()
        leaver.send("f" * 16)
        before.send(target="/jobs/" + "e" * 16, method="DELETE")
        await until(lambda: len(party.records(records.Ended)) == 1)  # given up when it came, though unread
        edges = party.role.servers["s1"].edges  # type: ignore[attr-defined]
        await until(lambda: sum(len(e.unserved) for e in edges) == 3)
        leaver.writer.close()
        await until(lambda: len(party.records(records.Ended)) == 2)
        assert [t.verdict for t in party.records(records.Taken)] == ["accepted", "silent"]
        party.fault("pause", "s1", end=True)
        assert await client.status() == 202
        assert await before.status() == 404
        died, taken = party.records(records.Died), party.records(records.Taken)
        assert [d.why for d in died] == ["paused", "resumed"]
        assert taken[-1].id == ID
        assert died[0].at < taken[-1].last < died[1].at
        party.role.close()

    play(work)


def test_drain_is_told_the_server_leaves_when_idle_and_returns(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(fleet, "STAYS_S", 0.05)

    async def work() -> None:
        node = Node()
        party, opened = await a_fleet(tmp_path, node, pool=SLOW)
        client = await Client().open(opened["s1"])
        client.send()
        assert await client.status() == 202
        await party.word("states")
        party.fault("drain", "s1")
        assert (await party.word("states"))["s1"][0] == "draining"
        client.send("f" * 16)
        answer = await client.answer()
        assert answer
        assert (answer.status, answer.headers["x-unprocessed"]) == (503, "1")
        party.fault("drain", "s1", end=True)  # its time is over while a job keeps it: it returns at once
        await asyncio.sleep(0.1)
        assert not party.records(records.Died)
        client.send(target=f"/jobs/{ID}", method="DELETE")
        assert await client.status() == 204
        assert (await party.word("states"))["s1"][0] == "ready"
        assert [(d.why, d.epoch) for d in party.records(records.Died)] == [("left", 1)]
        assert [(b.epoch, b.cold) for b in party.records(records.Born) if b.server == "s1"] == [
            (1, False),
            (2, True),
        ]
        party.role.close()

    play(work)


# ---- discovery


async def a_line(client: Client) -> Any:
    """The next line of a watch that is no empty one."""
    while not (found := re.search(rb"\{.*\}\n", client.rest)):
        data = await asyncio.wait_for(client.reader.read(65536), 20)
        assert data, "the watch has ended"
        client.rest += data
    client.rest = client.rest[found.end() :]
    return json.loads(found.group())


def states(line: Any) -> dict[str, str]:
    return {e["name"]: e["status"] for e in line["endpoints"]}


def test_each_dispatcher_is_told_and_its_telling_noted(tmp_path: Path) -> None:
    async def work() -> None:
        nodes = {"n1": "h:1", "n2": "h:2", "a>n1": "h:3"}
        party = Party(registry.Registry, tmp_path, {"pool": [{"count": 2, "weight": 2.5}]}, dispatchers=nodes)
        opened = await party.open()
        assert set(opened) == {"n1", "n2"}
        party.order(
            "addresses", {"": {"s1": "127.0.0.9:1", "s2": "127.0.0.9:2"}, "n2": {"s1": "127.0.0.9:3"}}
        )
        party.order("states", {"s1": ["ready", 0.0], "s2": ["ready", 12.5]})
        watches = {}
        for name in ("n1", "n2"):
            client = watches[name] = await Client().open(opened[name])
            client.send(None, "/catalog/members?stream=1&index=0", "GET")
            line = await a_line(client)
            assert states(line) == {"s1": "ready", "s2": "ready"}
            assert [(e["since_ms"], e["weight"]) for e in line["endpoints"]] == [(0, 2.5), (12500, 2.5)]
            assert line["endpoints"][0]["address"] == {"n1": "127.0.0.9:1", "n2": "127.0.0.9:3"}[name]
        party.order("states", {"s1": ["draining", 0.0]})
        for client in watches.values():
            assert states(await a_line(client)) == {"s1": "draining"}
        once = await Client().open(opened["n1"])
        once.send(None, "/catalog/members", "GET")
        answer = await once.answer()
        assert answer
        assert states(json.loads(answer.body)) == {"s1": "draining", "s2": "ready"}

        def told() -> list[tuple[str, str, str]]:
            return [(t.dispatcher, t.server, t.state) for t in party.records(records.Told)]

        assert told().count(("n1", "s1", "draining")) == 2
        assert told().count(("n2", "s1", "draining")) == 1
        party.fault("discovery_down", "n1")
        party.order("states", {"s2": ["gone", 12.5]})
        assert states(await a_line(watches["n2"])) == {"s2": "gone"}
        assert ("n1", "s2", "gone") not in told()
        party.fault("discovery_down", "n1", end=True)
        assert states(await a_line(watches["n1"])) == {"s2": "gone"}
        assert told()[-1] == ("n1", "s2", "gone")
        party.fault("discovery_move", "n1")
        moved = (await party.word("moved"))["n1"]
        with pytest.raises(ConnectionRefusedError):
            await Client().open(opened["n1"])
        party.order("states", {"s2": ["ready", 20.0]})
        after = await Client().open(moved)
        after.send(None, "/catalog/members?stream=1&index=1", "GET")
        assert states(await a_line(after)) == {"s1": "draining", "s2": "ready"}
        with pytest.raises(TimeoutError):  # the old watch stands, and hears nothing of it
            await asyncio.wait_for(watches["n1"].reader.read(1), 0.1)
        party.role.close()

    play(work)


# ---- the network


class Peer:
    """Whom a link leads to: keeps what came, answers each whole request, and can die."""

    def __init__(self, answers: bool = True) -> None:
        self.answers, self.got, self.resets = answers, b"", 0
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def open(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        parser = wire.Parser(responses=False)
        try:
            while data := await reader.read(65536):
                self.got += data
                for m in parser.feed(data):
                    if self.answers:
                        writer.write(wire.write_response(200, m.body))
        except ConnectionResetError:
            self.resets += 1
        writer.close()

    def has(self, data: bytes) -> bool:
        return self.got == data

    def die(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


async def a_link(
    tmp: Path, peer: Peer, seed: int = 1, name: str = "n1>s1", **network: Any
) -> tuple[Party, str]:
    more = {"network": {"on": True, "same_zone_s": 0.0, "cross_zone_s": 0.0} | network}
    party = Party(relay.Relay, tmp, more, seed=seed)
    await party.open()
    link = {"name": name, "from": "a", "to": "b", "address": await peer.open()}
    party.order("links", [link])
    return party, (await party.word("ready"))[name]


REQUEST = wire.write_request("POST", "/view/k1", {"X-Correlation-Id": ID}, b"body")


def strikes(party: Party) -> list[str]:
    return [s.detail for s in party.records(records.Struck) if s.detail.startswith("connection")]


@pytest.mark.parametrize(("kind", "seen"), [("reset_before", REQUEST[:-1]), ("reset_after", REQUEST)])
@pytest.mark.parametrize("for_s", [0.0, 5.0])
def test_a_reset_before_or_after_the_last_byte(tmp_path: Path, kind: str, seen: bytes, for_s: float) -> None:
    async def work() -> None:
        peer = Peer()
        party, address = await a_link(tmp_path, peer)
        client = await Client().open(address)
        client.send()
        assert await client.status() == 200  # nothing is struck yet, on a connection that will be
        peer.got = b""
        party.fault(kind, for_s=for_s)
        client.writer.write(REQUEST)
        assert await ended(client) == "reset"
        await until(lambda: peer.resets)
        assert peer.got == seen
        assert len(strikes(party)) == 1
        after = await Client().open(address)
        after.writer.write(REQUEST)
        assert await ended(after) == ("answer" if for_s == 0 else "reset")
        if for_s:
            party.fault(kind, for_s=for_s, end=True)
            last = await Client().open(address)
            last.send()
            assert await last.status() == 200
            assert [s.detail for s in party.records(records.Struck)][:: len(strikes(party)) + 1] == [
                "",
                "end",
            ]
        party.role.close()

    play(work)


def test_reset_after_strikes_also_where_no_answer_comes(tmp_path: Path) -> None:
    async def work() -> None:
        peer = Peer(answers=False)
        party, address = await a_link(tmp_path, peer)
        party.fault("reset_after", for_s=5.0)
        client = await Client().open(address)
        client.writer.write(REQUEST)
        assert await ended(client) == "reset"
        assert peer.got == REQUEST
        party.role.close()

    play(work)


@pytest.mark.parametrize(("seed", "goes_on"), [(2, True), (1, False)])
def test_a_cut_holds_all_bytes_then_goes_on_or_resets(tmp_path: Path, seed: int, goes_on: bool) -> None:
    async def work() -> None:
        peer = Peer()
        party, address = await a_link(tmp_path / str(seed), peer, seed)
        client = await Client().open(address)
        client.send()
        assert await client.status() == 200
        peer.got = b""
        party.fault("cut", for_s=5.0, between=("a", "c"))  # between others
        client.writer.write(REQUEST)
        assert await client.status() == 200
        party.fault("cut", for_s=5.0, between=("b", "a"))
        client.writer.write(REQUEST)
        with pytest.raises(TimeoutError):  # the connection does not come up at all
            await asyncio.wait_for(Client().open(address), 0.3)
        assert peer.got == REQUEST
        party.fault("cut", for_s=5.0, between=("b", "a"), end=True)
        if goes_on:
            assert await client.status() == 200
            assert peer.got == 2 * REQUEST
        else:
            assert await ended(client) == "reset"
            assert peer.got == REQUEST
        after = await Client().open(address)
        after.send()
        assert await after.status() == 200
        party.role.close()

    play(work)


@pytest.mark.parametrize(("kind", "reaches"), [("black_hole", {False}), ("half_open", {True, False})])
def test_silence_of_both_ways_or_of_one(tmp_path: Path, kind: str, reaches: set[bool]) -> None:
    async def work() -> None:
        came = set()
        for seed in range(8):
            peer = Peer()
            party, address = await a_link(tmp_path / str(seed), peer, seed)
            client = await Client().open(address)
            client.send()
            assert await client.status() == 200
            peer.got = b""
            party.fault(kind, for_s=5.0)
            client.writer.write(REQUEST)
            [strike] = strikes(party)
            if strike.endswith("down"):
                await until(partial(peer.has, REQUEST))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.reader.read(1), 0.1)
            came.add(bool(peer.got))
            party.fault(kind, for_s=5.0, end=True)  # bytes were lost: it can't go on
            assert await ended(client) == "reset"
            party.role.close()
        assert came == reaches

    play(work)


def test_a_link_refuses_by_a_fault_and_while_its_upstream_is_dead(tmp_path: Path) -> None:
    async def work() -> None:
        peer = Peer()
        party, address = await a_link(tmp_path, peer)
        client = await Client().open(address)
        client.send()
        assert await client.status() == 200
        party.fault("refuse", "n1>s1", for_s=5.0)
        with pytest.raises(ConnectionRefusedError):
            await Client().open(address)
        client.send()
        assert await client.status() == 200  # what stands is not struck
        party.fault("refuse", "n1>s1", for_s=5.0, end=True)
        second = await Client().open(address)
        peer.die()
        assert await ended(client) != "answer"
        assert await ended(second) != "answer"

        async def opens() -> bool:
            try:
                return bool(await Client().open(address))
            except ConnectionRefusedError:
                return False

        while await opens():
            await asyncio.sleep(0.01)
        await peer.open()
        while not await opens():
            await asyncio.sleep(0.01)
        party.role.close()

    play(work)


def test_latency_jitter_and_segments_keep_every_byte_in_order(tmp_path: Path) -> None:
    async def work() -> None:
        peer = Peer()
        party, address = await a_link(tmp_path, peer, cross_zone_s=0.002, jitter=1.0, segment=1000)
        body = random.Random(1).randbytes(600_000)  # more than a way holds
        clients = [await Client().open(address) for _ in range(3)]
        for client in clients:
            client.writer.write(wire.write_request("POST", "/x", {"Host": "x"}, body))
        for client in clients:
            answer = await client.answer()
            assert answer
            assert answer.body == body
        link = party.role.links["n1>s1"]  # type: ignore[attr-defined]
        sides = [side for pair in link.pairs for side in (pair.up.source, pair.down.source)]
        for client in clients:
            client.writer.write_eof()
            assert await client.answer() is None  # the end passes as well
        await until(lambda: not link.pairs and not any(side.transport for side in sides))
        party.role.close()

    play(work)


@pytest.mark.parametrize(
    ("name", "network"), [("n1>s1", {"cross_zone_s": 0.03}), ("clients>n1", {"client_s": 0.03})]
)
def test_latency_counts_for_each_way_and_for_the_handshake(
    tmp_path: Path, name: str, network: dict[str, Any]
) -> None:
    async def work() -> None:
        party, address = await a_link(tmp_path, Peer(), name=name, jitter=0.0, **network)
        client, loop = Client(), asyncio.get_running_loop()
        for ways in (4, 2):  # a busy machine can only add to it
            begin = loop.time()
            if ways == 4:
                await client.open(address)
            client.send()
            assert await client.status() == 200
            assert loop.time() - begin >= ways * 0.03 - 0.005  # the loop counts in milliseconds
        party.role.close()

    play(work)


def test_an_end_passes_as_an_end_and_what_crosses_it_is_reset(tmp_path: Path) -> None:
    async def work() -> None:
        peer = Peer()
        party, address = await a_link(tmp_path, peer)
        client = await Client().open(address)
        client.send()
        assert await client.status() == 200
        peer.writers[0].close()
        assert await ended(client) == "closed"
        client.send()
        own = client.writer.get_extra_info("socket")
        await until(lambda: own.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        party.role.close()

    play(work)


# ---- processes


@pytest.mark.parametrize(
    ("end", "status", "word"),
    [
        ("input ends", 1, None),
        ("stop", 0, "done"),
        ("SIGTERM", 0, None),
        ("SIGINT, then stop", 0, "done"),
        ("unknown order", 1, "failed"),
        ("unknown fault", 1, "failed"),
    ],
)
def test_a_process_ends_with_its_parent_or_by_order(
    tmp_path: Path, end: str, status: int, word: str | None
) -> None:
    experiment = msgspec.convert(PLAIN, Experiment)
    servers = [ServerPlan("s1", 0, "a")]
    plan = Plan("fleet", "fleet0", str(tmp_path), experiment, 0, 0, 1, "127.0.0.7", servers=servers)
    command, pipe = [sys.executable, "-m", "finchladder.lab.drivers", "fleet"], subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, stderr=subprocess.DEVNULL) as p:
        assert p.stdin
        assert p.stdout

        def say(line: bytes) -> None:
            assert p.stdin
            p.stdin.write(line + b"\n")
            p.stdin.flush()

        say(msgspec.json.encode(plan))
        ready = json.loads(p.stdout.readline())
        assert ready["what"] == "ready"
        assert ready["data"]["s1"].startswith("127.0.0.7:")
        if end == "input ends":
            p.stdin.close()
        elif end == "SIGTERM":
            p.send_signal(signal.SIGTERM)
        elif end == "unknown order":
            say(b'{"what": "dance"}')
        elif end == "unknown fault":
            say(b'{"what": "fault", "data": {"kind": "cut", "targets": ["s1"]}}')
        else:
            if "SIGINT" in end:
                p.send_signal(signal.SIGINT)
            say(b'{"what": "stop"}')
        words = [json.loads(line)["what"] for line in p.stdout]
        assert p.wait(20) == status
        assert word is None or words[-1] == word
        assert word is not None or not {"done", "failed"} & set(words)
    log = list(records.read(tmp_path / "ledger" / "fleet0.log"))
    assert isinstance(log[0], records.Born)
    assert isinstance(log[-1], records.Lateness)
