"""Job status: the table with given times, and the call on real sockets."""

import asyncio
import json
from pathlib import Path

import pytest

from finchladder.config.options import StatusOptions
from finchladder.core.api import Ending as E
from finchladder.features.status import JobStatus, StatusReply
from tests.peers import ACCEPT, Message, RealServer, exchange, node, request, run

FIRST = [("add", 0.0, "a", "u")]
SENT = [*FIRST, ("record_attempt", "a", "w1")]
RUNS = [
    *SENT,
    ("record_report", 1.0, "a", "w1", "started", 0.0),
    ("record_report", 1.0, "a", "w1", "running", 0.4),
]
CASES = [  # the steps of one job, and the status after them: state, server, share
    (FIRST, ("waiting", None, 0.0)),
    (SENT, ("waiting", "w1", 0.0)),
    (RUNS[:3], ("started", "w1", 0.0)),
    (RUNS, ("running", "w1", 0.4)),
    (
        [*RUNS, ("record_report", 1.0, "a", "w1", "started", 0.0)],
        ("running", "w1", 0.4),
    ),  # callbacks may arrive out of order
    ([*RUNS, ("record_report", 1.0, "a", "w2", "running", 0.9)], ("running", "w1", 0.4)),
    ([*RUNS, ("record_attempt_end", "a", "w1", E.BROKEN)], ("waiting", None, 0.0)),  # a retry may follow
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.BROKEN), ("record_attempt", "a", "w2")],
        ("waiting", "w2", 0.0),
    ),
    (
        [*RUNS, ("record_attempt", "a", "w2"), ("record_attempt_end", "a", "w1", E.CANCELLED)],
        ("waiting", "w2", 0.0),
    ),
    (
        [*RUNS, ("record_attempt", "a", "w2"), ("record_attempt_end", "a", "w1", E.OK)],
        ("done", "w1", 1.0),
    ),  # the first copy won
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.OK), ("record_answer", 2.0, "a", "served")],
        ("done", "w1", 1.0),
    ),
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.ERROR), ("record_answer", 2.0, "a", "failed")],
        ("failed", "w1", 0.4),
    ),
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.BROKEN), ("record_answer", 2.0, "a", "refused")],
        ("lost", "w1", 0.4),
    ),
    (
        [*SENT, ("record_attempt_end", "a", "w1", E.OVERLOADED), ("record_answer", 2.0, "a", "refused")],
        ("returned", "w1", 0.0),
    ),
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.TIMED_OUT), ("record_answer", 2.0, "a", "failed")],
        ("timed_out", "w1", 0.4),
    ),
    # a disconnected client doesn't end an attempt: its outcome is shown
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.OK), ("record_answer", 2.0, "a", "left")],
        ("done", "w1", 1.0),
    ),
    (
        [*RUNS, ("record_attempt_end", "a", "w1", E.CANCELLED), ("record_answer", 2.0, "a", "left")],
        ("timed_out", "w1", 0.4),
    ),
    ([*FIRST, ("record_answer", 2.0, "a", "left")], ("timed_out", None, 0.0)),
    # an answer before any attempt: a rejected job is shown as returned
    ([*FIRST, ("record_answer", 2.0, "a", "refused")], ("returned", None, 0.0)),
    ([*FIRST, ("record_answer", 2.0, "a", "failed")], ("failed", None, 0.0)),
]


def played(steps: list[tuple[object, ...]], **options: float) -> JobStatus:
    table = JobStatus(StatusOptions(**options))  # type: ignore[arg-type]
    for name, *args in steps:
        getattr(table, str(name))(*args)
    return table


@pytest.mark.parametrize(("steps", "shown"), CASES)
def test_the_status_follows_the_job(
    steps: list[tuple[object, ...]], shown: tuple[str, str | None, float]
) -> None:
    assert played(steps).get(2.0, "a") == StatusReply(*shown, job_class="u")


@pytest.mark.parametrize("state", ["done", "failed", "lost"])
def test_an_abandoned_job_shows_the_end_that_its_worker_reports_later(state: str) -> None:
    given_up = [*RUNS, ("record_attempt_end", "a", "w1", E.CANCELLED), ("record_answer", 2.0, "a", "left")]
    table = played([*given_up, ("record_report", 3.0, "a", "w2", state, 0.0)])
    assert table.get(3.0, "a") == StatusReply("timed_out", "w1", 0.4, "u")  # a report of another worker
    table.record_report(3.0, "a", "w1", state, 0.0)
    shown = table.get(62.9, "a")
    assert shown is not None
    assert shown.state == state
    assert table.get(63.0, "a") is None


def test_the_retention_time_starts_at_the_end_of_the_job() -> None:
    table = played([*FIRST, ("record_answer", 500.0, "a", "refused")], retain_ms=1000)
    assert table.get(500.9, "a")
    assert not table.get(501.0, "a")
    assert not table.finished


def test_the_oldest_finished_entries_are_evicted_and_unfinished_ones_never() -> None:
    table = JobStatus(StatusOptions(max_entries=3))
    for id in "abc":
        table.add(0.0, id, "u")
    table.add(0.0, "d", "u")  # not tracked: all are unfinished
    table.record_attempt("d", "w1")
    table.record_answer(0.0, "d", "served")
    for id in "ba":
        table.record_answer(1.0, id, "served")
    table.add(2.0, "e", "u")
    assert [bool(table.get(2.0, id)) for id in "abcde"] == [True, False, True, False, True]


def test_a_jobs_status_is_shown_from_waiting_to_done_and_then_expires(tmp_path: Path) -> None:
    """Runs the operators' check on real sockets; the status never includes the body of the result."""

    async def accept(server: RealServer, message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(ACCEPT)

    async def scenario() -> None:
        server = RealServer("w1", accept)
        async with node(tmp_path, server, ini="[status]\nretain_ms = 1500\n") as n:

            async def look(id: str = "a%2F1") -> Message:
                return await exchange(n.port, f"GET /_status/{id} HTTP/1.1\r\n\r\n".encode())

            async def until(state: str) -> dict[str, object]:
                while True:
                    if (m := await look()).status == 200 and json.loads(m.body)["state"] == state:
                        return dict(json.loads(m.body))
                    await asyncio.sleep(0.01)

            assert (await look()).status == 404
            flow = asyncio.create_task(n.ask("a/1", "/u/k"))
            while not server.got:
                await asyncio.sleep(0.01)
            assert await until("waiting") == {"state": "waiting", "server": "w1", "share": 0.0, "class": "u"}
            for state, share in (("started", 0.0), ("running", 0.4)):
                await server.call_back("a/1", state=state, share=share)
                assert await until(state) == {"state": state, "server": "w1", "share": share, "class": "u"}
            await server.call_back("a/1", state="done", result="the roster")
            done = await until("done")
            assert done == {"state": "done", "server": "w1", "share": 1.0, "class": "u"}
            assert (await flow).body == b"the roster"
            while (await look()).status != 404:
                await asyncio.sleep(0.02)
            assert (await exchange(n.port, request(path="/_status/a"))).status == 405
            # after its client disconnects: abandoned, then done
            _, writer = await asyncio.open_connection("127.0.0.1", n.port)
            writer.write(request("a/1x", "/u/k"))
            while len(server.got) < 2:
                await asyncio.sleep(0.01)
            writer.close()
            while (m := await look("a%2F1x")).status != 200 or b"timed_out" not in m.body:
                await asyncio.sleep(0.01)
            await server.call_back("a/1x", state="done", result="late")
            while b'"done"' not in (await look("a%2F1x")).body:
                await asyncio.sleep(0.01)

    run(scenario())
