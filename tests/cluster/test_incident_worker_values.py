"""An incident: a number in a heartbeat was accepted, and no other process got an update any more."""

import json
from typing import Any

import pytest

from finchladder.cluster.process.control_api import ControlApi
from finchladder.cluster.types.errors import DECODE_ERRORS
from finchladder.cluster.types.messages import encoder, reply_decoder
from finchladder.cluster.types.worker_api import heartbeat_decoder, report_decoder
from finchladder.lab.cluster.virtual import run
from tests.cluster.session_scene import pull, session_scene
from tests.cluster.test_silence import HOST, exchange

HEARTBEAT: dict[str, Any] = {"service": "llm", "address": "10.0.0.9:80", "slots": 64, "sequence": 4}
TOO_LARGE = [1 << 63, 1 << 64, -(1 << 64), 10**30]


@pytest.mark.parametrize("number", TOO_LARGE)
@pytest.mark.parametrize("name", ["slots", "sequence"])
def test_a_heartbeat_with_a_number_beyond_64_bits_gets_400(name: str, number: int) -> None:
    # It was acknowledged, and no process got an update from this one any more.
    body = json.dumps({**HEARTBEAT, name: number}).encode()
    head = b"PUT /api/instances/i-0 HTTP/1.1\r\n" + HOST + b"Connection: close\r\nContent-Length: %d\r\n\r\n"
    none: Any = None  # a malformed heartbeat reaches no other part
    response = exchange(ControlApi(none, none, none, "").handle, head % len(body) + body)
    assert response.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize("remaining_ms", [0, 1500.5, -1.0, 1e30, 1.7e308])
def test_the_record_of_any_accepted_remaining_time_can_be_sent(remaining_ms: float) -> None:
    async def work() -> None:
        scene = session_scene()
        body = json.dumps({**HEARTBEAT, "remaining_ms": remaining_ms}).encode()
        assert await scene.sessions.on_heartbeat("i-0", heartbeat_decoder.decode(body))
        update = await scene.updates.on_pull(pull({}))
        assert reply_decoder.decode(encoder.encode(update)) == update
        record = update.workers[0].record
        assert record.remaining_ms is not None and record.remaining_ms >= 0

    run(work())


@pytest.mark.parametrize("number", TOO_LARGE)
def test_a_report_with_a_number_of_orders_beyond_64_bits_is_malformed(number: int) -> None:
    # The placer announces this number to all processes.
    with pytest.raises(DECODE_ERRORS):
        report_decoder.decode(b'{"sequence": %d}' % number)
