"""Tools for failing runs: traces, replay, minimization and explanation; and the mutation tests."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from finchladder.core.api import Ending
from finchladder.net import workers
from finchladder.sim import mutants, trace
from finchladder.sim.explain import explain
from finchladder.sim.plan import KINDS, MOMENTS, Plan, draw
from finchladder.sim.run import Run
from finchladder.sim.search import Tally, results
from finchladder.sim.shrink import Shrinker

ROOT = Path(__file__).resolve().parents[2]
MUTANTS = Path(__file__).parent / "mutants"
BROKEN = "once: twice sent"


@pytest.fixture
def failing(monkeypatch: pytest.MonkeyPatch) -> Plan:
    """Treats a failed job as one that never ran, so unsafe jobs are rejected or sent again."""
    monkeypatch.setitem(workers.CALLBACK_ENDINGS, "failed", Ending.OVERLOADED)
    for seed in range(1, 100):
        if (v := Run(draw(seed)).play().violation) is not None:
            assert v.name in (BROKEN, "once: refused")
            if v.name == BROKEN:
                return draw(seed)
    raise AssertionError("not found in 100 seeds")


def test_a_failing_run_becomes_a_short_trace_and_an_explanation(failing: Plan, tmp_path: Path) -> None:
    lines, outcome = trace.record(failing)
    path = tmp_path / "t.jsonl"
    trace.write(path, lines)
    plan, read = trace.read(path)
    assert read == lines
    assert plan == failing
    end = trace.end_in(lines)
    assert end is not None
    assert end.violation == outcome.violation
    assert end.digest == outcome.digest

    small = Shrinker(plan, BROKEN).run()
    short, outcome = trace.record(small)
    assert outcome.violation is not None
    assert outcome.violation.name == BROKEN
    assert len(short) < 30
    assert len(small.jobs) == 1
    assert len(small.faults) <= 2
    assert trace.first_difference(short, trace.record(small)[0]) is None

    told = list(explain(small))
    story = "\n".join(told)
    job = f"j{small.jobs[0].number}t1"
    assert f"{job}: failed" in story
    assert story.count(f"gets {job}: accepted") == 2
    assert "VIOLATION once" in story
    code = [line for line in told if line.startswith("  finchladder/")]
    assert any(
        "workers.py" in line and "WorkerConnection.send_request" in line for line in code
    )  # the second send


def test_an_invalid_trace_file_raises_an_error_with_its_path(tmp_path: Path) -> None:
    path = tmp_path / "t.jsonl"
    for text in ("", "{}\n", '{"trace":99}\n', "no json\n"):
        path.write_text(text)
        with pytest.raises(trace.TraceError, match=str(path)):
            trace.read(path)


def test_a_difference_is_found_at_its_line() -> None:
    before = [b"head", b"a", b"b"]
    assert (
        trace.first_difference(before, [b"another head", b"a", b"b"]) is None
    )  # the header with the code's digest may differ
    assert trace.first_difference(before, [b"head", b"a", b"c"]) == (3, b"b", b"c")
    assert trace.first_difference(before, [b"head", b"a"]) == (3, b"b", b"")


def test_every_kind_of_fault_and_every_moment_occurs() -> None:
    tally = Tally()
    for r in results(range(1, 61), jobs=1):
        tally.add(r)
    assert {kind for kind, _ in tally.coverage} == set(KINDS)
    aimed = {f.on for seed in range(1, 61) for f in draw(seed).faults}
    assert aimed == {None, *MOMENTS}


def test_a_plan_is_unchanged_by_encoding_and_decoding() -> None:
    for seed in range(20):
        plan = draw(seed)
        assert msgspec.json.decode(msgspec.json.encode(plan), type=Plan) == plan == draw(seed)


@pytest.mark.parametrize(
    ("words", "status", "said"),
    [
        (["run", "--seed", "12"], 0, "digest"),
        (["search", "--seeds", "12..13", "--jobs", "1"], 0, "2 seeds"),
        (["search", "--seeds", "x"], 2, "is not like 1..100"),
        (["search", "--seeds", "1", "--for", "8"], 2, "is not like 90s"),
        (["replay", "no-such-file"], 2, "no-such-file"),
        (["mutants", "no-such-mutant"], 2, "no such mutants"),
    ],
)
def test_commands(words: list[str], status: int, said: str, tmp_path: Path) -> None:
    command = [sys.executable, "-m", "finchladder", "sim", *words]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == status
    assert said in done.stdout + done.stderr


# --- mutants


def test_all_mutants_apply_to_the_program_and_cover_many_parts(tmp_path: Path) -> None:
    found = mutants.load(MUTANTS)
    assert len(found) >= 25
    assert len({m.part for m in found}) >= 12
    mutants.copy(tmp_path)
    before = {h.file: (tmp_path / h.file).read_text() for m in found for h in m.hunks}
    for m in found:
        mutants.apply(m, tmp_path)
        changed = {h.file for h in m.hunks}
        for file in changed:
            compile((tmp_path / file).read_text(), file, "exec")
            (tmp_path / file).write_text(before[file])


@pytest.mark.parametrize(
    "name", ["end-is-no-answer", "deadline-timer-kept", "forgotten-while-out", "half-a-write"]
)
def test_a_mutant_is_found_in_a_copy_without_changing_the_program(name: str) -> None:
    """Four mutants that a few seeds find; the command `sim mutants` covers the rest."""
    mutant = mutants.read(MUTANTS / f"{name}.patch")
    before = [(ROOT / h.file).read_bytes() for h in mutant.hunks]
    found = mutants.hunt_one(mutant, 12, None)
    assert 1 <= found.seeds <= 12
    assert ": " in found.violation
    assert before == [(ROOT / h.file).read_bytes() for h in mutant.hunks]


@pytest.mark.parametrize("text", ["# part: x\n", "# part: x\n# takes out: y\nnonsense\n"])
def test_an_invalid_patch_raises_an_error_with_its_path(text: str, tmp_path: Path) -> None:
    path = tmp_path / "m.patch"
    path.write_text(text)
    with pytest.raises(ValueError, match="m.patch"):
        mutants.read(path)


def test_a_patch_that_no_longer_applies_raises_an_error(tmp_path: Path) -> None:
    (tmp_path / "a.py").write_text("x = 1\nx = 1\n")
    for before in ("y = 1\n", "x = 1\n"):
        with pytest.raises(ValueError, match="times in a.py"):
            mutants.apply(mutants.Mutant("m", "", "", [mutants.Hunk("a.py", before, "")]), tmp_path)
