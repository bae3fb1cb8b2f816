"""The deployed program on real sockets, between clients, workers and a discovery that misbehave."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from finchladder.config.platform import read_setup
from tests.peers import (
    ACCEPT,
    HEALTH,
    ROOT,
    SETTINGS,
    Discovery,
    Message,
    RealServer,
    accept_only,
    exchange,
    list_line,
    node,
    read_message,
    request,
    run,
    serve,
)


async def start_only(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="started")


async def early_and_twice(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    """Sends the callback before the 202, twice, and once for an unknown job."""
    for id in (message.id, message.id, "nobody"):
        assert await server.call_back(id, state="done", result=f"{server.name} ran {message.id}") == 204
    writer.write(ACCEPT)


async def abort(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def lose(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="lost")


async def return_job(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(ACCEPT)
    await server.call_back(message.id, state="returned")


async def turn_away(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nfull")


async def fail_without_header(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("behaviour", [serve, early_and_twice])
def test_a_job_is_forwarded_unchanged_and_answered_with_its_result(tmp_path: Path, behaviour: object) -> None:
    async def scenario() -> None:
        server = RealServer("w1", behaviour)  # type: ignore[arg-type]
        async with node(tmp_path, server) as n:
            facts = "X-Facts: slots=1,memory=0.5\r\n"
            sent = request("a1", "/s/deep/k%201?q=1&r", body=b"\0body", more=facts)
            got = await exchange(n.port, sent, pieces=40)
            assert (got.status, got.body) == (200, b"w1 ran a1")
            [seen] = server.got
            assert (seen.start, seen.body) == ("POST /s/deep/k%201?q=1&r HTTP/1.1", b"\0body")
            assert (seen.id, seen.headers["x-facts"]) == ("a1", "slots=1,memory=0.5")
            assert 0 < float(seen.headers["x-time-left"]) <= 4

    run(scenario())


def test_a_result_of_maximum_length_may_be_fully_escaped(tmp_path: Path) -> None:
    async def all_escapes(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(ACCEPT)
        await server.call_back(message.id, state="done", result="\1" * 65536)

    async def scenario() -> None:
        async with node(tmp_path, RealServer("w1", all_escapes)) as n:
            assert (await n.ask("a1")).body == b"\1" * 65536

    run(scenario())


@pytest.mark.parametrize("behaviour", [abort, lose, fail_without_header])
def test_a_job_that_may_have_run_is_never_sent_again(tmp_path: Path, behaviour: object) -> None:
    async def scenario() -> None:
        servers = [RealServer(f"w{i}", behaviour) for i in range(4)]  # type: ignore[arg-type]
        async with node(tmp_path, *servers) as n:
            assert (await n.ask("a1", "/u/k1")).status == 502
            await asyncio.sleep(0.3)
            assert sum(len(s.got) for s in servers) == 1

    run(scenario())


@pytest.mark.parametrize("behaviour", [return_job, turn_away])
def test_a_job_that_did_not_run_is_sent_to_another_worker(tmp_path: Path, behaviour: object) -> None:
    async def scenario() -> None:
        servers = [RealServer(f"w{i}", behaviour) for i in range(2)]  # type: ignore[arg-type]
        async with node(tmp_path, *servers) as n:
            assert (await n.ask("a1", "/u/k1")).status == 503  # no worker accepted it, so it is rejected
            assert [len(s.got) for s in servers] == [1, 1]

    run(scenario())


def test_a_refused_connection_proves_that_a_job_never_ran(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = [RealServer("w1"), RealServer("w2")]
        async with node(tmp_path, *servers) as n:
            servers[0].server.close()
            for i in range(8):
                assert (await n.ask(f"a{i}", f"/u/k{i}")).body == b"w2 ran a%d" % i

    run(scenario())


def test_flows_are_answered_in_time_if_a_worker_is_silent(tmp_path: Path) -> None:
    async def stay_silent(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(30)

    async def scenario() -> None:
        server, mute = RealServer("w1", accept_only), RealServer("w2", stay_silent)
        async with node(tmp_path, server) as n:
            assert (await n.ask("a/1?", "/u/k", left="0.5")).status == 502
            while not server.deleted:
                await asyncio.sleep(0.02)
            assert server.deleted == ["/jobs/a%2F1%3F"]  # after the 202, an attempt is canceled by DELETE
            await mute.open()
            await n.list(server.entry("gone"), mute.entry())
            assert (await n.ask("a2", "/u/k", left="0.5")).status == 502
            assert not mute.deleted  # before the 202, by closing the connection

    run(scenario())


def test_a_job_is_canceled_when_its_client_disconnects(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = RealServer("w1", accept_only)
        async with node(tmp_path, server) as n:
            _, writer = await asyncio.open_connection("127.0.0.1", n.port)
            writer.write(request("a1", "/u/k1", left="300"))
            while not server.got:
                await asyncio.sleep(0.02)
            writer.close()
            while not server.deleted:
                await asyncio.sleep(0.02)
            assert server.deleted == ["/jobs/a1"]

    run(scenario())


def test_a_reset_of_an_idle_connection_shortens_the_idle_timeout(tmp_path: Path) -> None:
    """A network that drops idle connections resets the next request on one of them."""

    class Forgetful(RealServer):
        async def handle(self, message: Message, writer: asyncio.StreamWriter) -> None:
            if writer in used:
                return writer.transport.abort()
            used.add(writer)
            await super().handle(message, writer)

    used = set[asyncio.StreamWriter]()

    async def scenario() -> None:
        async with node(tmp_path, Forgetful("w1")) as n:
            answers = []
            for i in range(8):
                answers.append((await n.ask(f"a{i}", "/u/k")).status)
                await asyncio.sleep(0.2)
            assert answers == [200, 502] + [200] * 6

    run(scenario())


@pytest.mark.parametrize("status", ["draining", "gone"])
def test_draining_or_removed_workers_get_no_new_jobs(tmp_path: Path, status: str) -> None:
    async def scenario() -> None:
        servers = [RealServer("w1"), RealServer("w2")]
        async with node(tmp_path, *servers) as n:
            await n.list(servers[0].entry(status))
            for i in range(8):
                assert (await n.ask(f"a{i}", f"/s/k{i}")).status == 200
            assert (len(servers[0].got), len(servers[1].got)) == (0, 8)

    run(scenario())


def test_the_last_list_stays_in_use_after_a_bad_line_or_silence(tmp_path: Path) -> None:
    async def scenario() -> None:
        server, late = RealServer("w1"), RealServer("w2")
        await late.open()
        async with node(tmp_path, server) as n:
            late.node = n.port
            n.discovery.push(b'{"index":"two"}')
            while len(n.discovery.asked) < 2:  # the watch is reopened after the bad line
                await asyncio.sleep(0.02)
            assert (await n.ask("a1")).body == b"w1 ran a1"
            n.discovery.first = list_line(7, [late.entry()], True)
            while len(n.discovery.asked) < 3:  # without heartbeats, the silent watch is reopened
                await asyncio.sleep(0.02)
            assert n.discovery.asked == ["/catalog/members?stream=1&index=1"] * 3
            while (await n.ask(f"a{time.monotonic()}")).body.startswith(b"w1"):
                await asyncio.sleep(0.02)
            assert (await n.ask("a2")).body == b"w2 ran a2"

    run(scenario())


@pytest.mark.parametrize(("ago", "sent"), [(0, False), (3600, True), (None, True)])
def test_start_times_in_the_list_are_compared_with_the_wall_clock(
    tmp_path: Path, ago: int | None, sent: bool
) -> None:
    """A cold worker gets a limited amount of work, and the work rate of warm ones is still unknown."""

    async def scenario() -> None:
        server = RealServer("w1", start_only)
        async with node(tmp_path) as n:
            await server.open()
            server.node = n.port
            assert (await exchange(n.port, HEALTH)).status == 503  # listening, but without a list
            await n.list(server.entry(since_ms=0 if ago is None else int((time.time() - ago) * 1000)))
            assert (await exchange(n.port, HEALTH)).status == 200
            await n.ask("a1", left="0.4")
            assert bool(server.got) is sent

    run(scenario())


BAD = [
    (b"hello\r\n\r\n", 400),
    (b"POST /s/k HTTP/1.1\r\nno colon\r\n\r\n", 400),
    (b"POST /s/k HTTP/1.1\r\nX: " + b"x" * 20000, 431),
    (request(body=b"x" * 65537), 413),
    (request(body=b"x" * 3) + request("2"), 400),  # the second request may be smuggled in a body
    (request(more="Transfer-Encoding: chunked\r\n", body=b"0\r\n\r\n" + request("2")), 400),
    (b"POST /s/k HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", 408),
    (request(path="/nosuch/k"), 404),
    (request(method="GET"), 405),
    (request(left="soon"), 400),
    (request(left="0"), 400),
    (request(left="nan"), 400),
    (request(id=""), 400),
    (request(more="X-Correlation-Id: 2\r\n"), 400),
    (request(more="X-Facts: slots=many\r\n"), 400),
    (b"POST /v1/job-events HTTP/1.1\r\nContent-Length: 4\r\n\r\n{}{}", 400),
]


def test_bad_input_is_answered_without_a_crash(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server) as n:
            for data, status in BAD:
                assert (await exchange(n.port, data)).status == status, data[:60]
            assert not server.got
            assert (await n.ask("a1")).status == 200
            assert (await n.ask("a1")).status == 400  # a repeated id
            assert len(server.got) == 1
            log = (tmp_path / "log").read_text()
            assert " died" not in log
            assert "internal error" not in log

    run(scenario())


def test_idle_connections_do_not_exhaust_the_descriptors(tmp_path: Path) -> None:
    """Hundreds of clients that are silent, idle, or send half a body must not use up the descriptors."""

    async def scenario() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server, limits={"sockets": 128, "memory_mb": 32}) as n:
            readers = []
            for i in range(300):
                reader, writer = await asyncio.open_connection("127.0.0.1", n.port)
                writer.write([b"", HEALTH, request(f"b{i}", body=b"x" * 60000)[:-9]][i % 3])
                readers.append((reader, writer))
                if i % 50 == 49:
                    assert (await n.ask(f"a{i}")).status == 200
                    assert len(os.listdir(f"/proc/{n.process.pid}/fd")) < 0.9 * 128
            for reader, _ in readers[::3]:
                assert await asyncio.wait_for(reader.read(), 5) == b""
            assert (await n.ask("c1")).status == 200
            for _, writer in readers:
                writer.close()

    run(scenario())


def test_sigterm_answers_accepted_and_late_jobs(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = RealServer("w1", start_only)
        async with node(tmp_path, server) as n:
            reader, writer = await asyncio.open_connection("127.0.0.1", n.port)
            kept, use = await asyncio.open_connection("127.0.0.1", n.port)
            use.write(HEALTH)
            assert (await read_message(kept)).status == 200
            writer.write(request("a1", "/u/k1", left="20"))
            while not server.got:
                await asyncio.sleep(0.02)
            n.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            # the load balancer in front has not noticed yet
            later = asyncio.create_task(n.ask("a2", "/u/k1", left="20"))
            await asyncio.sleep(0.9)
            use.write(request("a3", "/u/k1", left="60"))  # an idle connection still accepts a request
            assert (await asyncio.wait_for(read_message(kept), 20)).status in (502, 503)  # after SIGTERM
            assert len(server.got) == 3
            assert n.process.returncode is None
            for id in ("a1", "a2"):
                assert await server.call_back(id, state="done", result=id) == 204
            first = await read_message(reader)
            assert (first.body, first.headers["connection"]) == (b"a1", "close")
            assert (await later).body == b"a2"
            assert await n.process.wait() == 0

    run(scenario())


def test_sighup_changes_the_discovery_address_and_keeps_open_flows(tmp_path: Path) -> None:
    async def scenario() -> None:
        server, late = RealServer("w1", accept_only), RealServer("w2")
        await late.open()
        async with node(tmp_path, server) as n:
            late.node = n.port
            flow = asyncio.create_task(n.ask("a1", left="20"))
            while not server.got:
                await asyncio.sleep(0.02)
            file, new = json.loads(n.config.read_text()), Discovery()
            await new.open()
            new.first = list_line(7, [late.entry()], True)
            # unusable: the old address stays in use
            for text in ("{", json.dumps(file | {"discovery": "nowhere"})):
                n.config.write_text(text)
                n.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
            await n.list(server.entry(), index=5)
            assert not new.asked
            n.config.write_text(json.dumps(file | {"discovery": f"127.0.0.1:{new.port}"}))
            n.process.send_signal(signal.SIGHUP)
            while not new.asked:
                await asyncio.sleep(0.02)
            assert new.asked == ["/catalog/members?stream=1&index=5"]  # from the version last applied
            assert (await n.ask("a2")).body == b"w2 ran a2"
            assert await server.call_back("a1", state="done", result="a1") == 204
            assert (await flow).body == b"a1"
            n.discovery.watches[-1].write(b"0\r\n\r\n")  # the old watch is no longer read
            await asyncio.sleep(0.2)
            assert (n.process.returncode, len(new.asked)) == (None, 1)

    run(scenario())


def test_the_example_configuration_is_valid() -> None:
    config = str(ROOT / "examples" / "config.json")
    listen = {"NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "[::1]:2", "NODE_CONFIG": config}
    setup = read_setup(listen)
    assert (setup.caps.connect_timeout_s, setup.settings.classes[1].value) == (0.12, 10.0)
    assert (setup.listen, setup.discovery) == (("127.0.0.1", 1), ("::1", 2))


@pytest.mark.parametrize(
    "text", ["", "{", "{}", '{"settings":{}}', json.dumps({"settings": SETTINGS, "known": {"index": 1}})]
)
def test_an_invalid_configuration_ends_with_one_line(tmp_path: Path, text: str) -> None:
    config = tmp_path / "c.json"
    config.write_text(text)
    env = {"NODE_LISTEN": "127.0.0.1:1", "NODE_DISCOVERY": "127.0.0.1:1", "NODE_CONFIG": str(config)}
    command = [sys.executable, "-m", "finchladder"]
    done = subprocess.run(command, env=env, capture_output=True, text=True, cwd=ROOT, check=False)
    assert (done.returncode, done.stderr.count("\n"), done.stderr[:13]) == (2, 1, "finchladder: ")
