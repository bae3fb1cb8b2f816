"""KNOWN-RED.txt in the root folder: tests that fail because of a known fault which isn't fixed yet.

Each line is `tests/file.py::test_name | command and seed | what was seen | issue`. Failures of exactly these
tests don't fail the run and are printed. The run fails if a line can't be parsed or its test doesn't exist.
"""

import ast
from collections.abc import Collection
from pathlib import Path
from typing import NamedTuple

FIELD_COUNT = 4


class Red(NamedTuple):
    test: str
    command: str
    seen: str
    issue: str


def read(text: str) -> list[Red]:
    """Parses the file.

    Raises:
        ValueError: A line can't be parsed.
    """
    reds = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != FIELD_COUNT or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"KNOWN-RED.txt:{number}: a line is `test | command and seed | seen | issue`")
        reds.append(Red(*parts))
    return reds


def undefined(reds: Collection[Red], root: Path) -> list[str]:
    """Returns the tests that their files under `root` don't define, without collecting tests."""
    absent = []
    for red in reds:
        file, _, name = red.test.partition("[")[0].partition("::")
        path = root / file
        tree = ast.parse(path.read_text()) if path.is_file() else ast.Module([], [])
        functions = (ast.FunctionDef, ast.AsyncFunctionDef)
        defined = {node.name for node in ast.walk(tree) if isinstance(node, functions)}
        if name.rpartition("::")[2] not in defined:
            absent.append(red.test)
    return absent


def missing(reds: Collection[Red], collected: Collection[str]) -> list[str]:
    """Returns the tests that weren't collected; a name without brackets stands for all cases of a test."""
    names = {name.partition("[")[0] for name in collected} | set(collected)
    return [red.test for red in reds if red.test not in names]


def reason(reds: Collection[Red], name: str) -> str | None:
    """Returns why a test may fail, or None if it isn't listed."""
    for red in reds:
        if red.test in (name, name.partition("[")[0]):
            return f"{red.seen} ({red.issue})"
    return None
