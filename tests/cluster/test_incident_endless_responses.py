"""A worker whose responses never end ends no process and delays no other client."""

import asyncio
from pathlib import Path

import pytest

from tests.cluster.endless_scene import Measurement, play
from tests.cluster.endless_worker import Form, Part
from tests.cluster.node_processes import MEMORY_MB

PLAY_S = 2.0
TIMEOUT_S = 60.0
TARGET_LATENCY_S = 0.4  # of the other clients' route
DEADLINE_MARGIN_S = 0.5  # time after a route's `timeout_ms` within which each call has ended
CALL_DEADLINE_S = 3.0
ROUTES = [(200, "idempotent"), (200, "resumable"), (500, "stream")]


def _measure(folder: Path, form: Form, status: int, part: Part, kind: str) -> Measurement:
    async def bounded() -> Measurement:
        async with asyncio.timeout(TIMEOUT_S):
            return await play(folder, form, status, part, kind, PLAY_S)

    return asyncio.run(bounded())


def _assert_harmless(measurement: Measurement) -> None:
    assert not measurement.killed, f"over {MEMORY_MB} MB: {measurement.peak_mb}"
    assert measurement.served_fraction == 1.0, measurement.probe_statuses
    assert measurement.quantile_s(0.99) <= TARGET_LATENCY_S
    assert not any(call.is_complete and call.status < 500 for call in measurement.calls)
    assert max(call.duration_s for call in measurement.calls) <= CALL_DEADLINE_S + DEADLINE_MARGIN_S


@pytest.mark.parametrize(("status", "kind"), ROUTES)
@pytest.mark.parametrize("form", Form)
def test_a_response_without_end_to_a_request_harms_no_other_client(
    tmp_path: Path, form: Form, status: int, kind: str
) -> None:
    _assert_harmless(_measure(tmp_path, form, status, Part.REQUEST, kind))


@pytest.mark.parametrize("form", [Form.ONE_CHUNK, Form.NO_LENGTH, Form.ONE_BYTE_CHUNKS, Form.INTERIM_HEADS])
@pytest.mark.parametrize("part", [Part.REPORT, Part.ORDER, Part.HEALTH])
def test_a_response_without_end_to_a_control_process_harms_no_client(
    tmp_path: Path, form: Form, part: Part
) -> None:
    measurement = _measure(tmp_path, form, 200, part, "idempotent")
    assert not measurement.killed, f"over {MEMORY_MB} MB: {measurement.peak_mb}"
    assert measurement.served_fraction == 1.0, measurement.probe_statuses
