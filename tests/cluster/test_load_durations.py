"""Tests of expected load durations."""

from finchladder.cluster.placement.load_durations import LoadDurations


def test_expected_durations_follow_recorded_durations() -> None:
    durations = LoadDurations()
    for _ in range(30):
        durations.record(5.0, is_adapter=False, is_warm=True, load_duration_s=1.0)
        durations.record(5.0, is_adapter=False, is_warm=False, load_duration_s=6.0)
    assert abs(durations.expected_s(5.0, is_adapter=False, is_warm=True) - 1.0) < 0.05
    assert abs(durations.expected_s(5.0, is_adapter=False, is_warm=False) - 6.0) < 0.1
