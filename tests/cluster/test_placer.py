"""What the placer tells dispatchers, and what it does after a refused order; at virtual time."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from finchladder.cluster.placement.planner import WorkerState
from finchladder.cluster.process.placer import LONGEST_EVICT_S, POLL_S, QUICK_S, Managed, Placer
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.beats import Report
from finchladder.cluster.types.messages import DemandReply, DemandReport
from finchladder.lab.cluster.virtual import run

REVISION = 4  # orders that the worker has taken, the eviction under way being the last


class Worker:
    """A worker that says something else at each look, the last of it for ever."""

    def __init__(self, *reports: Report) -> None:
        self.reports = list(reports)
        self.looks = 0

    async def report(self, address: str, instance: str) -> Report:
        self.looks += 1
        return self.reports[min(self.looks, len(self.reports)) - 1]


def asked_again(worker: Worker, began_before_s: float) -> tuple[bool, float]:
    """Whether the placer gives its order again, and after how long."""
    nothing = cast(Any, SimpleNamespace())
    placer = Placer(nothing, nothing, cast(Any, worker), Tasks(), 5.0, 1.1, 3.0)
    state = WorkerState("i-1", "llm", "a:1", "z", False, False)

    async def work() -> tuple[bool, float]:
        before = steady()
        again = await placer._still_busy(Managed(state, revision=REVISION), before - began_before_s)
        return again, steady() - before

    return run(work())


def test_most_evictions_are_over_soon_so_that_nobody_is_asked() -> None:
    worker = Worker()
    again, waited_s = asked_again(worker, 0.0)
    assert again
    assert waited_s == pytest.approx(QUICK_S / 2)
    assert worker.looks == 0


def test_an_order_is_given_again_soon_while_the_eviction_before_it_goes_on() -> None:
    again, waited_s = asked_again(Worker(Report(sequence=REVISION, busy=True)), 0.2)
    assert again
    assert waited_s == pytest.approx(POLL_S)


def test_a_worker_that_took_an_order_of_another_holder_gets_no_more() -> None:
    assert not asked_again(Worker(Report(sequence=REVISION + 1)), 0.2)[0]


def test_an_eviction_without_an_end_is_given_up() -> None:
    again, _ = asked_again(Worker(Report(sequence=REVISION, busy=True)), LONGEST_EVICT_S)
    assert not again


def test_a_dispatcher_is_told_what_all_others_have_in_flight() -> None:
    sessions = SimpleNamespace(edges=lambda: 300)
    placer = Placer(
        cast(Any, SimpleNamespace(holds=lambda: True)),
        cast(Any, sessions),
        cast(Any, None),
        Tasks(),
        5.0,
        1.1,
        3.0,
    )

    async def work() -> DemandReply:
        placer.on_demand(DemandReport("one", 0.4, (), {"a": 1, "b": 2}))
        return placer.on_demand(DemandReport("two", 0.4, (), {"a": 4}))

    told = run(work())
    assert told.loads == {"a": 1, "b": 2}
    assert told.interval_ms == 2000, "300 dispatchers may report 150 times a second together"
