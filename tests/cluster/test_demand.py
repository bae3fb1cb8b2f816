"""Demand summed over the dispatchers' reports."""

from finchladder.cluster.placement.demand import DemandKey, DemandTracker
from finchladder.cluster.types.messages import Demand, DemandReport
from tests.cluster.planning_scene import asked


def test_demand_decays_and_silent_dispatchers_are_forgotten() -> None:
    tracker = DemandTracker()
    asked(tracker, "m0", 8, waiting=2)
    item = DemandKey("llm", "m0")
    before = tracker.rate(item)
    tracker.decay(4.0)
    assert 0 < tracker.rate(item) < before / 2
    assert tracker.queued(item) == 0
    tracker.decay(400.0)
    assert tracker.tracked_keys() == set()


def test_the_sums_of_reports_follow_each_dispatchers_last_word() -> None:
    tracker, item = DemandTracker(), DemandKey("llm", "m0")

    def tell(at: float, sender: str, waiting: int, running: int, **loads: int) -> None:
        told = Demand("llm", "m0", "", 1, waiting, running, 10)
        tracker.add_report(at, DemandReport(sender, 0.4, (told,), loads))

    tell(0.0, "one", 2, 3, a=1, b=2)
    tell(0.0, "two", 1, 0, b=5)
    assert (tracker.queued(item), tracker.peer_loads("one")) == (3, {"b": 5})
    tell(1.0, "one", 0, 0, a=4)
    assert (tracker.queued(item), tracker.peer_loads("two"), tracker.peer_loads("")) == (
        1,
        {"a": 4},
        {"a": 4, "b": 5},
    )
    tracker.decay(3.5)
    assert (tracker.queued(item), tracker.peer_loads("")) == (0, {"a": 4}), "the silent one counts no more"
