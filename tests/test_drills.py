"""Fault injection: random draws with given times; the control call, the command and effects on sockets."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import msgspec
import pytest

from finchladder import Dispatcher
from finchladder.config.options import OFF, DrillOptions, Options
from finchladder.core.connections.graceful_shutdown import GracefulShutdown
from finchladder.features.fault_injection import FaultInjector, FaultOrder, InjectedFault
from finchladder.features.request_admission import RequestAdmission
from finchladder.net.control import ControlEndpoints
from finchladder.net.decision_actor import Clock, DecisionActor
from finchladder.net.flows import Answer, Flow, FlowTable
from finchladder.net.http1 import Head, Headers, MalformedMessageError
from finchladder.net.job_intake import JobIntake
from finchladder.net.messages import HttpMessage
from finchladder.net.timers import Timers
from tests.helpers import settings
from tests.peers import ROOT, Node, RealServer, exchange, node, request, run

KEY = "s3 cret%"
INI = f"[drill]\nkey = {KEY}\n[status]\n"


def injector_with(**order: float) -> FaultInjector:
    injector = FaultInjector(1)
    injector.start(0.0, msgspec.convert({"class": "u", "for_s": 10} | order, FaultOrder))
    return injector


@pytest.mark.parametrize(
    ("order", "aborted", "held"),
    [
        ({"share": 0.1, "delay_ms": 2000, "abort_share": 0.02}, 0.02, 0.1),
        ({"share": 1.0, "delay_ms": 2000, "abort_share": 0.3}, 0.3, 0.7),
        ({"share": 0.4}, 0.4, 0.0),  # without a delay, `share` is aborted
        ({"share": 0.4, "abort_share": 0.1}, 0.1, 0.0),
        ({"share": 0.4, "delay_ms": 2000}, 0.0, 0.4),
        ({"share": 0.0}, 0.0, 0.0),
    ],
)
def test_both_shares_are_of_all_requests_of_the_class(
    order: dict[str, float], aborted: float, held: float
) -> None:
    injector = injector_with(**order)
    got = [injector.apply(1.0, "u", 5.0) for _ in range(4000)]
    assert got.count(InjectedFault(abort=True)) / 4000 == pytest.approx(aborted, abs=0.03)
    assert got.count(InjectedFault(delay_s=2.0)) / 4000 == pytest.approx(held, abs=0.03)
    assert injector.applied == {"u": 4000 - got.count(None)}
    assert injector.apply(1.0, "s", 5.0) is None
    again = injector_with(**order)
    assert got == [again.apply(1.0, "u", 5.0) for _ in range(4000)]  # the seed decides the draws


def test_an_injection_ends_at_its_time_and_a_second_one_replaces_the_first() -> None:
    injector = injector_with(share=1.0)
    assert injector.apply(9.9, "u", 5.0)
    assert not injector.apply(10.0, "u", 5.0)
    assert not injector.active
    injector = injector_with(share=1.0)
    injector.start(5.0, FaultOrder("u", 1.0, 2.0, delay_ms=100))
    assert injector.apply(6.9, "u", 5.0) == InjectedFault(delay_s=0.1)
    assert injector.apply(7.0, "u", 5.0) is None
    injector.stop()  # as at a graceful shutdown: no injection starts any more
    injector.start(8.0, FaultOrder("u", 1.0, 2.0))
    assert injector.apply(8.1, "u", 5.0) is None


@pytest.mark.parametrize(("patience", "hold"), [(2.04, 1.99), (1.0, 0.95), (0.02, 0.01)])
def test_a_delay_ends_before_the_clients_timeout(patience: float, hold: float) -> None:
    effect = injector_with(share=1.0, delay_ms=2000).apply(0.0, "u", patience)
    assert effect is not None
    assert effect.abort
    assert effect.delay_s == pytest.approx(hold)


def post(body: dict[str, object], key: str = KEY, **more: str) -> bytes:
    return request(path="/_drill", body=json.dumps(body).encode(), more=f"X-Drill-Key: {key}\r\n", **more)


GOOD: dict[str, object] = {"class": "u", "share": 1.0, "for_s": 600}


@pytest.mark.parametrize(("ini", "status"), [("", 404), ("[drill]\n", 200)])
def test_without_a_key_fault_injection_is_rejected(tmp_path: Path, ini: str, status: int) -> None:
    """Without the sections the other calls of these features don't exist either."""

    async def scenario() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server, ini=ini) as n:
            assert (await exchange(n.port, post(GOOD, ""))).status == 403
            assert (await exchange(n.port, request(path="/_drill"))).status == 403
            assert (await exchange(n.port, request(path="/_metrics", method="GET"))).status == status
            for path in ("/_drill", "/_status/1", "/_capture"):
                answer = await exchange(n.port, request(path=path, method="GET"))
                assert (answer.status, answer.body) == (404, b"no such class\n")
            assert (await n.ask("a1", "/u/k")).status == 200

    run(scenario())


async def command(n: Node, *args: str, key: str = KEY) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "finchladder", "drill", *args),
        cwd=ROOT,
        env=os.environ | {"NODE_LISTEN": f"127.0.0.1:{n.port}", "NODE_DRILL_KEY": key},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    return process.returncode or 0, out.decode(), err.decode()


def test_an_injection_from_the_command_line_aborts_logs_counts_and_ends(tmp_path: Path) -> None:
    """Runs the operators' check of fault injection."""

    async def scenario() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server, ini=INI) as n:
            drill = ("--class", "u", "--share", "1.0", "--for-s")
            code, out, err = await command(n, *drill, "600")
            assert (code, json.loads(out)["abort_share"], err) == (0, 1.0, "")
            assert [(await n.ask(f"a{i}", "/u/k")).status for i in range(3)] == [503] * 3
            assert (await n.ask("s1", "/s/k")).status == 200
            assert len(server.got) == 1
            answer = await exchange(n.port, b"GET /_metrics HTTP/1.1\r\n\r\n")
            assert answer.headers["content-type"].startswith("text/plain; version=0.0.4")
            assert 'drill_applied_total{class="u"} 3\n' in answer.body.decode()
            assert (tmp_path / "log").read_text().count("drill=abort class=u") == 3
            shown = await exchange(n.port, b"GET /_status/a1 HTTP/1.1\r\n\r\n")
            assert json.loads(shown.body)["state"] == "returned"
            for args, key, said in (
                ((*drill, "601"), KEY, "600"),
                ((*drill, "600"), "wrong", "403: no drill without the key"),
                ((*drill, "600"), "", "403: no drill without the key; NODE_DRILL_KEY is not set"),
                ((*drill, "9"), "s3\ncret", "not visible ASCII"),
                ((*drill, "9", "--class", "x"), KEY, "no such class"),
            ):
                code, out, err = await command(n, *args, key=key)
                assert code
                assert not out
                assert err.count("\n") == 1
                assert said in err
            assert (await command(n, *drill, "0.1"))[0] == 0  # replaces the first
            tries = 0
            while (answer := await n.ask(f"b{tries}", "/u/k")).status == 503:
                tries += 1
                await asyncio.sleep(0.02)
            assert answer.body.startswith(b"w1 ran b")

    run(scenario())


def test_a_delayed_job_is_dispatched_after_the_delay_or_released_with_its_client(tmp_path: Path) -> None:
    async def scenario() -> None:
        server = RealServer("w1")
        async with node(tmp_path, server, ini=INI) as n:

            async def status(id: str) -> str:
                m = await exchange(n.port, f"GET /_status/{id} HTTP/1.1\r\n\r\n".encode())
                return str(json.loads(m.body)["state"]) if m.status == 200 else ""

            async def wait_for(id: str, state: str) -> None:
                while await status(id) != state:
                    await asyncio.sleep(0.01)

            assert (await exchange(n.port, post(GOOD | {"delay_ms": 300}))).status == 200
            assert (await n.ask("a1", "/u/k")).body == b"w1 ran a1"
            assert (await exchange(n.port, post(GOOD | {"delay_ms": 600_000}))).status == 200
            assert (await n.ask("a2", "/u/k", left="0.4")).status == 503
            assert len(server.got) == 1
            _, writer = await asyncio.open_connection("127.0.0.1", n.port)
            writer.write(request("a3", "/u/k", left="600"))
            await wait_for("a3", "waiting")
            writer.close()
            await wait_for("a3", "timed_out")
            late = asyncio.create_task(n.ask("a4", "/u/k", left="600"))
            await wait_for("a4", "waiting")
            n.process.send_signal(signal.SIGTERM)  # a graceful shutdown ends all delays
            assert (await late).body == b"w1 ran a4"
            assert await n.process.wait() == 0
            assert [m.id for m in server.got] == ["a1", "a4"]
            assert (tmp_path / "log").read_text().count("drill=delay class=u") == 4

    run(scenario())


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b'{"class":"u"}']
    + [
        json.dumps(GOOD | bad).encode()
        for bad in (
            {"for_s": 601},
            {"for_s": 0},
            {"share": 1.1},
            {"share": -1},
            {"share": "1"},
            {"delay_ms": -1},
            {"abort_share": 2},
            {"class": "nosuch"},
            {"more": 1},
        )
    ],
)
def test_an_invalid_order_is_rejected(body: bytes) -> None:
    options = Options(drill=DrillOptions(KEY))
    arrivals = RequestAdmission(options, 1)
    controls = ControlEndpoints(Clock(), {"u"}, options, None, arrivals, None)
    with pytest.raises(MalformedMessageError) as e:
        controls.answer(Head(1, Headers([("X-Drill-Key", KEY)]), "POST", "/_drill"), body)
    assert arrivals.fault_injector is not None
    assert (e.value.status, arrivals.fault_injector.active) == (400, {})


def test_a_delayed_flow_is_released_when_its_client_disconnects() -> None:
    async def scenario() -> None:
        flows = FlowTable()
        module, seen = DecisionActor(Dispatcher(settings(), 1), flows, Clock()), list[object]()
        module.submit = seen.append  # type: ignore[assignment]
        intake = JobIntake(
            {"u"}, flows, module, Timers(Clock()), RequestAdmission(OFF, 1), GracefulShutdown(3.0), 128
        )
        message = HttpMessage("POST", "/u", Headers([]), b"")
        flow = Flow("a", "u", None, {}, message, Clock()() + 900, lambda answer: None)
        intake.open_flow(flow, InjectedFault(600.0))
        assert intake.delayed_flows
        assert not seen
        flows.finish(flow, Answer("left"))
        assert not intake.delayed_flows
        assert not flows.by_id

    run(scenario())
