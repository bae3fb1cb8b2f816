"""The list of tests that may fail: its format, and its effect on a run."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.peers import ROOT

RED = "tests/test_a.py::test_red | pytest -k test_red, no seed | it loses a job | 33"


@pytest.mark.parametrize(
    ("text", "tests", "wrong"),
    [
        ("", [], None),
        (f"# why\n\n{RED}\n", ["tests/test_a.py::test_red"], None),
        ("\n".join([RED] * 3), ["tests/test_a.py::test_red"] * 3, None),
        ("\n".join([RED] * 4), ["tests/test_a.py::test_red"] * 4, None),
        (RED.rpartition(" | ")[0], [], "KNOWN-RED.txt:1"),
        ("test_red | command | seen | 33", [], "KNOWN-RED.txt:1"),
        ("tests/test_a.py::test_red | seen | 33", [], "KNOWN-RED.txt:1"),
        ("tests/test_a.py::test_red | | seen | 33", [], "KNOWN-RED.txt:1"),
    ],
)
def test_lines_are_parsed_or_rejected(text: str, tests: list[str], wrong: str | None) -> None:
    if wrong is None:
        assert [red.test for red in known_red.read(text)] == tests
    else:
        with pytest.raises(ValueError, match=wrong):
            known_red.read(text)


def test_names_are_compared_with_the_collected_tests() -> None:
    reds = known_red.read(RED)
    assert known_red.missing(reds, ["tests/test_a.py::test_red[1]"]) == []
    assert known_red.missing(reds, ["tests/test_a.py::test_red_too"]) == ["tests/test_a.py::test_red"]
    assert known_red.reason(reds, "tests/test_a.py::test_red[1]") == "it loses a job (33)"
    assert known_red.reason(reds, "tests/test_a.py::test_green") is None


@pytest.mark.parametrize("processes", [(), ("-n", "2")])
@pytest.mark.parametrize(
    ("reds", "status", "message"),
    [
        ("", 1, "1 failed, 1 passed"),
        (
            RED,
            0,
            "known red: tests/test_a.py::test_red: it loses a job (33); reproduce with: pytest -k test_red",
        ),
        ("tests/test_a.py::test_gone | c | s | 1", 4, "don't exist: tests/test_a.py::test_gone"),
        ("tests/test_a.py::test_red | s | 1", 4, "a line is `test | command and seed | seen | issue`"),
    ],
)
def test_only_failures_of_listed_tests_are_ignored_and_printed(
    tmp_path: Path, reds: str, status: int, message: str, processes: tuple[str, ...]
) -> None:
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests")
    (tmp_path / "tests" / "test_a.py").write_text(
        "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"
    )
    (tmp_path / "KNOWN-RED.txt").write_text(reds)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *processes]
    command += ["--rootdir", str(tmp_path)]
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, check=False)
    assert done.returncode == status
    assert message in done.stdout + done.stderr
