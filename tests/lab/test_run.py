"""Whole runs on loopback, small ones: verdicts count, and never time. Wrong dispatchers must be seen."""

import asyncio
import os
import signal
import subprocess
import sys
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import cast

import msgspec
import pytest

from finchladder.cli.front import main
from finchladder.lab import judge, ledger, sweep
from finchladder.lab.check import place_servers
from finchladder.lab.control import Order, Plan, ServerPlan, Word
from finchladder.lab.dispatchers import OPEN_S, Dispatcher
from finchladder.lab.experiment import Experiment, Part
from finchladder.lab.guard import follow
from finchladder.lab.processes import Child, Player
from finchladder.lab.records import Any, Asked, Born, Mark, Sample, Struck, Told, read_all
from finchladder.lab.run import Run
from finchladder.lab.show import Show
from tests.lab.play import played

ROOT = Path(__file__).resolve().parents[2]
CHILDREN = 5  # of a small run: guard, fleet, registry, load, dispatcher
SMALL = """
name = "small"
settle_s = 20.0
slack_s = 2.0

[[pool]]
count = 3
cores = 2
cold_for_s = 20.0
drain_returns = false

[[class]]
name = "view"
share = 0.5
work_s = 0.01
deadline_s = 2.0

[[class]]
name = "confirm"
share = 0.5
work_s = 0.01
effect = "fragile"
deadline_s = 2.0

[callbacks]
early = 0.0
twice = 0.0

[load]
retries = { kind = "none" }
late_s = 5.0

[[load.phase]]
name = "day"
for_s = 1.0
rate = 120.0
law = "even"
"""
DIES = """
import os, sys
from finchladder.lab import stubs

class Dies(stubs.Forwarder):
    def request(self, id, message):
        if self.its_turn():
            os._exit(7)
        super().request(id, message)

stubs.STUBS["dies"] = Dies
sys.argv = ["", "dies", "40"]
stubs.main()
"""


def small(folder: Path, *sets: str) -> Path:
    return played(folder, SMALL, *sets)


def stub(name: str, every: int) -> str:
    return f"program.command=['python', '-m', 'finchladder.lab.stubs', '{name}', '{every}']"


@pytest.mark.parametrize(
    ("name", "every", "sets", "rule", "kind", "least", "most"),
    [
        ("forwards", 1, [], "", "", 0, 0),
        ("answers_itself", 10, [], "answer", "invented", 12, 12),
        ("answers_twice", 10, [], "answer", "twice answered", 12, 12),
        ("runs_twice", 10, [], "once", "twice sent", 1, 12),
        (
            "loses",
            1000,
            [
                "load.phase.0.rate=500.0",
                "load.phase.0.for_s=2.0",
                "class.0.deadline_s=1.0",
                "class.1.deadline_s=1.0",
            ],
            "answer",
            "unanswered",
            1,
            1,
        ),
        (
            "sends_to_drained",
            1,
            ["slack_s=0.05", "load.phase.0.for_s=2.0", "fault=[{kind='drain', at_s=0.3, target='w0001'}]"],
            "drain",
            "drain",
            1,
            240,
        ),
        (
            "floods_cold",
            1,
            [
                "class.0.work_s=0.05",
                "class.1.work_s=0.05",
                "pool.0.queue=1000",
                "pool.0.cores=4",
                "callbacks.lost=1.0",
                "load.phase.0.rate=240.0",
                "load.phase.0.for_s=2.0",
                "fault=[{kind='crash', at_s=0.1, target='w0001', for_s=0.2}]",
            ],
            "cold",
            "flood",
            1,
            1,
        ),
    ],
)
def test_the_judge_sees_what_a_dispatcher_does_wrong(
    tmp_path: Path, name: str, every: int, sets: list[str], rule: str, kind: str, least: int, most: int
) -> None:
    """Of 120, 240 or 1,000 jobs every so many."""
    verdict = judge.judge(ledger.load(small(tmp_path, stub(name, every), *sets)))
    assert {r for r, count in verdict.rules.items() if count} <= {rule}, verdict.findings[:3]
    assert least <= verdict.kinds.get(kind, 0) <= most, (verdict.kinds, verdict.undecided)


def test_the_program_plays_a_small_run_and_keeps_the_rules(tmp_path: Path) -> None:
    """Two dispatchers; one is killed and comes back, the other is restarted; a real server dies."""
    faults = [
        "{kind='kill', at_s=0.2, target='n1', for_s=0.2}",
        "{kind='restart', at_s=0.3, target='n2'}",
        "{kind='crash', at_s=0.5, target='w0003', for_s=0.3}",
    ]
    cold = ["pool.0.starts_cold=true", "pool.0.cold_from=0.9", "pool.0.group=3"]
    out = small(tmp_path, "dispatchers=2", "load.retries.kind=after", *cold, f"fault=[{', '.join(faults)}]")
    found = ledger.load(out)
    verdict = judge.judge(found)
    assert verdict.rules == {"answer": 0, "once": 0, "drain": 0, "cold": 0}, verdict.findings[:3]
    assert len(found.jobs) == 120
    records: list[Any] = read_all(out / "ledger")
    assert {r.server for r in records if isinstance(r, Told) and r.born} == {"w0001", "w0002", "w0003"}
    assert {r.group for r in records if isinstance(r, Born)} == {3}
    struck = [(r.kind, r.target, r.detail) for r in records if isinstance(r, Struck)]
    for kind, target in (("kill", "n1"), ("restart", "n2"), ("crash", "w0003")):
        assert (kind, target, "") in struck
        assert (kind, target, "end") in struck
    assert [s for s in struck if s[0] == "started"].count(("started", "n1", "")) == 2
    assert not any(kind == "died" for kind, _, _ in struck)
    marks = [r.name for r in records if isinstance(r, Mark)]
    assert marks == ["run:start", "day", "run:arrivals_end", "run:end"]
    assert {"n1", "n2", "fleet0", "load0", "registry"} <= {
        r.process for r in records if isinstance(r, Sample)
    }


def test_a_dispatcher_that_dies_by_itself_is_written_down_and_the_run_goes_on(tmp_path: Path) -> None:
    script = tmp_path / "dies.py"
    script.write_text(DIES)
    longer = ["load.phase.0.for_s=2.0", "program.back_after_s=0.1"]
    out = small(tmp_path, f"program.command=['python', '{script}']", *longer)
    records: list[Any] = read_all(out / "ledger")
    struck = [(r.kind, r.target) for r in records if isinstance(r, Struck)]
    assert ("died", "n1") in struck
    assert struck.count(("started", "n1")) > 1
    assert sum(isinstance(r, Asked) for r in records) >= 240


def test_the_front_is_told_of_a_planned_end_while_it_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    events: list[object] = []

    class Leaving:
        running = True

        async def end(self, number: int, patience_s: float) -> bool:
            events.append((number, patience_s))
            while len(events) < 3:  # until the front has been told
                await nothing(0)
            return True

    async def sleep(delay: float) -> None:
        events.append(delay)
        await nothing(0)

    async def again() -> None:
        events.append("started")

    async def restart(name: str) -> list[object]:
        events.clear()
        task = asyncio.get_running_loop().create_task
        told = lambda what, name, planned: events.append((what, name, planned))  # noqa: E731
        run = SimpleNamespace(e=small, struck=lambda *_: None, spawn=task, tell_front=told)
        dispatcher = Dispatcher(cast(Run, run), int(name[1:]) - 1, "127.0.0.1")
        dispatcher.child = cast(Child, Leaving())
        monkeypatch.setattr(dispatcher, "_again", again)
        await dispatcher.restart("restart", 1.5)
        return list(events)

    nothing, small = asyncio.sleep, msgspec.convert(tomllib.loads(SMALL), Experiment)
    monkeypatch.setattr(asyncio, "sleep", sleep)
    drawn = []
    for name in ("n1", "n2"):
        term, delay, *rest = asyncio.run(restart(name))
        assert term == (signal.SIGTERM, 3.7)
        assert isinstance(delay, float)
        assert 0.2 <= delay <= 0.4
        assert rest == [("down", name, True), 1.5, "started"]
        drawn.append(delay)
    assert drawn[0] != drawn[1]


def test_who_takes_more_memory_than_the_limit_is_killed_once_and_it_is_written_down(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    struck: list[tuple[str, ...]] = []
    small = msgspec.convert(tomllib.loads(SMALL) | {"program": {"memory_mb": 64}}, Experiment)
    run = SimpleNamespace(e=small, struck=lambda *what: struck.append(what))
    dispatcher = Dispatcher(cast(Run, run), 0, "127.0.0.1")
    dispatcher.hold_to_memory()  # it was never started
    own = cast(asyncio.subprocess.Process, SimpleNamespace(pid=os.getpid(), returncode=None))
    child = dispatcher.child = Child("n1", own, tmp_path / "log")
    sample = child.sample(0.0)
    assert sample
    assert sample.rss <= child.peak() < 1 << 40
    signals: list[int] = []
    monkeypatch.setattr(child, "signal", signals.append)
    monkeypatch.setattr(child, "peak", lambda: 64 << 20)
    dispatcher.hold_to_memory()
    assert not struck
    monkeypatch.setattr(child, "peak", lambda: 65 << 20)
    dispatcher.hold_to_memory()
    dispatcher.hold_to_memory()  # its death is not seen yet
    assert struck == [("memory", "n1", "65 MB of 64")]
    assert signals == [signal.SIGKILL]
    assert not child.expected  # so that its end is a death, no excuse and no planned one


def test_states_that_come_early_wait_for_the_addresses(tmp_path: Path) -> None:
    """The first part of the fleet tells of its real servers while the second is not there yet."""

    class Fake:
        def __init__(self, run: Run, plan: Plan) -> None:
            self.run, self.plan, self.name = run, plan, plan.name
            self.orders: list[Order] = []
            self.order = self.orders.append

        async def opened(self, patience_s: float) -> dict[str, str]:
            if self.plan.role == "registry":
                return {"n1": "127.0.0.1:1"}
            own = {server.name: f"127.0.0.1:{n}" for n, server in enumerate(self.plan.servers, 2)}
            self.run.heard(cast(Player, self), Word("states", data=dict.fromkeys(own, ["ready", 0.0])))
            return own

    async def begin() -> list[Order]:
        small = msgspec.convert(tomllib.loads(SMALL) | {"fleet_processes": 2}, Experiment)
        run = Run(small, tmp_path, tmp_path, Show(quiet=True))

        async def part(plan: Plan) -> Player:
            run.plans[plan.name] = plan
            run.players[plan.name] = cast(Player, Fake(run, plan))
            return run.players[plan.name]

        run._begin = part  # type: ignore[method-assign]
        servers = [ServerPlan(s.name, s.pool, s.zone) for s in place_servers(small)]
        try:
            await run._begin_world(servers, {"n1": "127.0.0.1:8081"}, {"n1": "127.0.0.1:8081"})
            run.heard(run.players["fleet0"], Word("states", data={"w0001": ["gone", 0.0]}))
        finally:
            run.ledger.close()
        return cast(Fake, run.players["registry"]).orders

    orders = asyncio.run(begin())
    assert [o.what for o in orders] == ["addresses", "states", "states", "states"]
    assert set(orders[0].data[""]) == {"w0001", "w0002", "w0003"}
    assert [sorted(o.data) for o in orders[1:]] == [["w0001", "w0003"], ["w0002"], ["w0001"]]


def children(pid: int) -> dict[int, str]:
    """Its children, each with the time of its start, which tells it from a later process of that number."""
    found = {}
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found[int(stat.parent.name)] = fields[19]
    return found


def there(pid: int, start: str) -> bool:
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return False
    return fields[19] == start and fields[0] != "Z"


def said(folder: Path) -> str:
    """The last lines of each log of a run."""
    logs = sorted((folder / "logs").glob("*.log"))
    return "\n".join(f"{log.name}: {log.read_text().splitlines()[-3:]}" for log in logs)


@pytest.fixture
def running(tmp_path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """A long run, once its dispatcher is asked. The run itself gives a party up after OPEN_S, so a start that
    takes longer than all of them together hangs.
    """
    (tmp_path / "small.toml").write_text(SMALL)
    command = [sys.executable, "-m", "finchladder", "lab", "run", str(tmp_path / "small.toml"), "--quiet"]
    command += ["--set", "load.phase.0.for_s=60.0", "--out", str(tmp_path / "out")]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE)
    log = tmp_path / "out/logs/n1.log"
    try:
        end = time.monotonic() + (CHILDREN + 1) * OPEN_S
        while not log.exists() or b"serving" not in log.read_bytes():
            assert process.poll() is None, said(tmp_path / "out")
            assert time.monotonic() < end, said(tmp_path / "out")
            time.sleep(0.02)
        yield process
    finally:
        process.kill()
        process.communicate()


@pytest.mark.parametrize(
    ("number", "status"),
    [(signal.SIGTERM, 128 + 15), (signal.SIGINT, 128 + 2), (signal.SIGKILL, -9)],
)
def test_nothing_is_left_of_a_run_that_is_ended(
    running: subprocess.Popen[bytes], number: signal.Signals, status: int
) -> None:
    before = children(running.pid)
    assert len(before) == CHILDREN
    os.kill(running.pid, number)
    assert running.wait(30) == status
    end = time.monotonic() + 30
    while any(there(*child) for child in before.items()):
        assert time.monotonic() < end, "a process stays behind"
        time.sleep(0.02)


def test_the_guard_leaves_alone_what_has_ended_and_what_it_could_not_read() -> None:
    assert follow(["+11\n", "+12\n", "-11\n", "nonsense\n", "+\n", "*14\n", "+13"]) == {12}


@pytest.mark.parametrize(
    ("command", "text"),
    [
        (["run", "nix.toml"], "nix.toml: No such file or directory"),
        (["run", "small.toml", "--set", "nix=1"], "small.toml: top: unknown key nix"),
        (["run", "small.toml", "--out", "."], "the folder isn't empty"),
        (["run", "small.toml", "--repeats", "0"], "--repeats: at least 1"),
        (["compare", "small.toml"], "A and B are the same"),
        (["compare", "small.toml", "--set-a", "seed=2", "--pairs", "2"], "--pairs: at least 3"),
        (["judge", "nix"], "nix: "),
        (["report", "nix"], "nix: "),
    ],
)
def test_what_cannot_be_used_is_one_line_and_status_2(
    tmp_path: Path,
    command: list[str],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    (tmp_path / "small.toml").write_text(SMALL)
    monkeypatch.chdir(tmp_path)
    with pytest.raises(SystemExit) as ended:
        main(["lab", *command])
    said = capsys.readouterr()
    assert (ended.value.code, said.out) == (2, "")
    assert text in said.err
    assert said.err.count("\n") == 1


def summary(served: float, valid: bool = True) -> dict[str, object]:
    return {
        "name": "x",
        "valid": valid,
        "offered": 200,
        "served_per_s": served,
        "refused": 10,
        "failed": 0,
        "latency": {"a": {"p50_ms": 1.0, "p99_ms": 5.0}, "b": {"p50_ms": 2.0, "p99_ms": 4.0}},
        "dispatchers": {"n1": {"cpu": 0.5, "rss_mb": 30.0}, "n2": {"cpu": 0.25, "rss_mb": 31.0}},
        "rules": {"once": 2},
    }


def test_a_sweep_shows_the_spread_of_valid_runs(tmp_path: Path) -> None:
    runs = [
        ("a", 16, 900.0, True),
        ("b", 16, 1100.0, True),
        ("c", 16, 1000.0, True),
        ("d", 16, 7.0, False),
        ("e", 64, 8.0, False),
        ("f", 64, 0.0, True),
    ]
    sweep.note(tmp_path, [sweep.Played(name, {"x.n": n, "y": []}, 0) for name, n, *_ in runs])
    for name, _, served, valid in runs[:-1]:  # the last was never played
        (tmp_path / name).mkdir()
        (tmp_path / name / "summary.json").write_bytes(msgspec.json.encode(summary(served, valid)))
    _, first, second = sweep.write(tmp_path).splitlines()
    assert first.split()[:10] == [
        "16",
        "default",
        "4,",
        "1",
        "not",
        "valid",
        "1000",
        "[900,",
        "1100]",
        "5.00",
    ]
    assert first.split()[10:] == ["0.00", "2.00", "5.00", "0.75", "61.0", "2.00"]
    assert second.split() == ["64", "default", "1,", "1", "not", "valid", *"--------"]
    page = (tmp_path / "sweep.html").read_bytes()
    assert b"<td>1000 [900, 1100]</td>" in page
    assert b"svg+xml" in page
    sweep.write(tmp_path)
    assert (tmp_path / "sweep.html").read_bytes() == page  # the same folder gives the same bytes


def test_serving_imports_nothing_of_the_lab() -> None:
    code = (
        "import sys; from finchladder.cli import serve, front; "
        "lab = {'httptools', 'uvloop', 'hdrh', 'numpy', 'matplotlib', 'jinja2', 'rich', 'finchladder.lab'}; "
        "sys.exit(', '.join(lab & set(sys.modules)) or 0)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr


def test_the_page_names_every_setting() -> None:
    page = (ROOT / "docs/LAB.md").read_text()
    for part in Part.__subclasses__():
        missing = [f.encode_name for f in msgspec.structs.fields(part) if f"`{f.encode_name}`" not in page]
        assert not missing, (part.__name__, missing)
