"""Tests listed in KNOWN-RED.txt are run; their failures don't fail the run and are printed."""

from pathlib import Path
from typing import Any

import pytest

from tests import known_red

FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
TESTS = Path(__file__).resolve().parent


def listed() -> list[known_red.Red]:
    try:
        return known_red.read(FILE.read_text()) if FILE.exists() else []
    except ValueError as e:
        raise pytest.UsageError(str(e)) from None


def fail_if_any(absent: list[str]) -> None:
    if absent:
        raise pytest.UsageError(f"KNOWN-RED.txt names tests that don't exist: {', '.join(absent)}")


def pytest_configure() -> None:
    fail_if_any(known_red.undefined(listed(), TESTS.parent))


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    reds = listed()
    is_complete_run = not config.args or any(
        Path(arg).resolve() in (TESTS, TESTS.parent) for arg in config.args
    )
    if is_complete_run:
        fail_if_any(known_red.missing(reds, [item.nodeid for item in items]))
    for item in items:
        if (reason := known_red.reason(reds, item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for red in listed():
        terminalreporter.write_line(
            f"known red: {red.test}: {red.seen} ({red.issue}); reproduce with: {red.command}"
        )
