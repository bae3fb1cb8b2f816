"""Tests of demand sums over the reports of dispatchers."""

from finchladder.cluster.placement.demand import DemandKey, DemandTracker
from finchladder.cluster.types.messages import Demand, DemandReport
from tests.cluster.planning_scene import report_demand


def test_demand_decays_and_reports_of_silent_dispatchers_expire() -> None:
    tracker = DemandTracker()
    report_demand(tracker, "m0", 8, queued=2)
    key = DemandKey("llm", "m0")
    before = tracker.rate(key)
    tracker.decay(4.0)
    assert 0 < tracker.rate(key) < before / 2
    assert tracker.queued(key) == 0
    tracker.decay(400.0)
    assert tracker.tracked_keys() == set()


def test_totals_contain_the_last_report_of_each_dispatcher() -> None:
    tracker, key = DemandTracker(), DemandKey("llm", "m0")

    def report(at: float, sender: str, queued: int, running: int, **loads: int) -> None:
        demand = Demand("llm", "m0", "", 1, queued, running, 10)
        tracker.add_report(at, DemandReport(sender, 0.4, (demand,), loads))

    report(0.0, "one", 2, 3, a=1, b=2)
    report(0.0, "two", 1, 0, b=5)
    assert (tracker.queued(key), tracker.peer_loads("one")) == (3, {"b": 5})
    report(1.0, "one", 0, 0, a=4)
    assert (tracker.queued(key), tracker.peer_loads("two"), tracker.peer_loads("")) == (
        1,
        {"a": 4},
        {"a": 4, "b": 5},
    )
    tracker.decay(3.5)
    assert (tracker.queued(key), tracker.peer_loads("")) == (0, {"a": 4}), "the expired report still counts"
