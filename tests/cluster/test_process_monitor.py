"""Log events for stalls of the event loop and for high memory, in virtual time."""

import asyncio
from typing import Any

import pytest

from finchladder.cluster.process import process_monitor
from finchladder.cluster.process.process_monitor import CHECK_INTERVAL_S, ProcessMonitor, resident_bytes
from finchladder.lab.cluster.virtual import run

LIMIT_BYTES = 100_000_000


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, Any]]]:
    logged: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(process_monitor, "event", lambda kind, **fields: logged.append((kind, fields)))
    return logged


def test_high_memory_is_logged_once_until_it_was_low_again(events: list[tuple[str, dict[str, Any]]]) -> None:
    samples_mb = [50, 70, 80, 50, 61]

    async def work() -> None:
        samples = iter(samples_mb)
        monitor = ProcessMonitor(LIMIT_BYTES, lambda: next(samples) * 10**6)
        task = asyncio.create_task(monitor.run())
        await asyncio.sleep((len(samples_mb) + 0.5) * CHECK_INTERVAL_S)
        task.cancel()

    run(work())
    assert [fields["resident_mb"] for kind, fields in events if kind == "process.memory_high"] == [70, 61]


def test_memory_without_a_known_limit_is_never_high(events: list[tuple[str, dict[str, Any]]]) -> None:
    ProcessMonitor(0, lambda: 10**12)._check_memory()
    assert not events


def test_a_stall_is_logged_with_its_duration(events: list[tuple[str, dict[str, Any]]]) -> None:
    monitor = ProcessMonitor(0)
    monitor._check_stall(0.1)
    monitor._check_stall(1.5)
    assert events == [("process.stalled", {"stalled_s": 1.5})]


def test_the_resident_memory_of_a_process_is_known() -> None:
    assert resident_bytes() > 1_000_000
