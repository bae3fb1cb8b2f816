"""Event loop measurements: utilization, and pauses of the process."""

import pytest

from finchladder.core.overload.loop_lag import LoopLagMeter


def test_distinguishes_a_paused_process_from_a_busy_loop() -> None:
    meter = LoopLagMeter(0.0, 0.0, 0.0, 0.025)
    idle = meter.sample(0.025, 0.01, 0.015)
    assert (idle.lag_s, idle.is_paused) == (0, False)
    assert idle.utilization == pytest.approx(0.4)
    busy, paused = meter.sample(0.55, 0.535, 0.015), meter.sample(2.575, 0.54, 0.015)
    assert busy.lag_s == pytest.approx(0.5)
    assert busy.utilization == 1
    assert not busy.is_paused
    assert paused.lag_s == pytest.approx(2.0)
    assert paused.is_paused
    throttled = meter.sample(2.6, 0.545, 0.015)  # little CPU time, but no waiting for events
    assert throttled.utilization == 1
    assert not throttled.is_paused
