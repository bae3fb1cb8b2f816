"""What the placer tells dispatchers, and what it does after a refused order; at virtual time."""

import asyncio
from contextlib import suppress
from types import SimpleNamespace
from typing import Any, cast

import pytest

from finchladder.cluster.placement.planning_input import PlannerWorker
from finchladder.cluster.process.managed_worker import ManagedWorker
from finchladder.cluster.process.placer import Placer
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.worker_orders import (
    EVICTION_TIMEOUT_S,
    POLL_INTERVAL_S,
    QUICK_EVICTION_S,
    STATUS_ACCEPTED,
    WorkerOrders,
)
from finchladder.cluster.replication.lease import HeldLease
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import PeerUnreachableError
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import DemandReply, DemandReport
from finchladder.cluster.types.worker_api import OrderRequest, WorkerReport
from finchladder.lab.cluster.virtual import run

REVISION = 4  # orders that the worker has taken, the eviction under way being the last


class Worker:
    """A worker that says something else at each look, the last of it for ever."""

    def __init__(self, *reports: WorkerReport) -> None:
        self.reports = list(reports)
        self.looks = 0

    async def report(self, address: str, instance: str) -> WorkerReport:
        self.looks += 1
        return self.reports[min(self.looks, len(self.reports)) - 1]


def asked_again(worker: Worker, began_before_s: float) -> tuple[bool, float]:
    """Whether the placer gives its order again, and after how long."""
    nothing = cast(Any, SimpleNamespace())
    orders = WorkerOrders(nothing, cast(Any, worker))
    state = PlannerWorker("i-1", "llm", "a:1", "z", False, False)

    async def work() -> tuple[bool, float]:
        before = steady()
        again = await orders._should_resubmit(
            ManagedWorker(state, orders_taken=REVISION), before - began_before_s
        )
        return again, steady() - before

    return run(work())


def test_most_evictions_are_over_soon_so_that_nobody_is_asked() -> None:
    worker = Worker()
    again, waited_s = asked_again(worker, 0.0)
    assert again
    assert waited_s == pytest.approx(QUICK_EVICTION_S / 2)
    assert worker.looks == 0


def test_an_order_is_given_again_soon_while_the_eviction_before_it_goes_on() -> None:
    again, waited_s = asked_again(Worker(WorkerReport(sequence=REVISION, busy=True)), 0.2)
    assert again
    assert waited_s == pytest.approx(POLL_INTERVAL_S)


def test_a_worker_that_took_an_order_of_another_holder_gets_no_more() -> None:
    assert not asked_again(Worker(WorkerReport(sequence=REVISION + 1)), 0.2)[0]


def test_an_eviction_without_an_end_is_given_up() -> None:
    again, _ = asked_again(Worker(WorkerReport(sequence=REVISION, busy=True)), EVICTION_TIMEOUT_S)
    assert not again


def test_a_dispatcher_is_told_what_all_others_have_in_flight() -> None:
    updates = SimpleNamespace(dispatcher_count=lambda: 300)
    placer = Placer(
        cast(Any, SimpleNamespace(is_held=lambda: True)),
        cast(Any, updates),
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
    assert told.peer_loads == {"a": 1, "b": 2}
    assert told.interval_ms == 2000, "300 dispatchers may report 150 times a second together"


class SlowWorker:
    """Takes each order after a while, or never; `limits_s`: how long each call was allowed to last."""

    def __init__(self, takes_s: float) -> None:
        self.takes_s = takes_s
        self.limits_s: list[float] = []

    async def order(self, address: str, instance: str, body: OrderRequest, timeout_s: float) -> int:
        self.limits_s.append(timeout_s)
        await asyncio.sleep(min(self.takes_s, timeout_s))
        if self.takes_s > timeout_s:
            raise PeerUnreachableError("order", address, "no answer in time")
        return STATUS_ACCEPTED


@pytest.mark.parametrize(("takes_s", "ended_s"), [(0.3, 0.3), (5.0, 0.6)])
def test_no_order_lasts_longer_than_the_lease_and_the_role_is_idle_from_its_end(
    takes_s: float, ended_s: float
) -> None:
    """A successor counts the pause between two holders from the last order."""

    async def work() -> tuple[float, float, float]:
        began = steady()
        lease = HeldLease(1.05, token=7, expires_at=began + 0.6)
        me = Member("core-1", "d", "z", "core-1:1", "core-1:2")
        role = SimpleNamespace(
            lease=lease, me=me, last_order_at=began, is_held=lambda: lease.is_valid(steady())
        )
        worker = SlowWorker(takes_s)
        orders = WorkerOrders(cast(Any, role), cast(Any, worker))
        managed = ManagedWorker(
            PlannerWorker("i-1", "llm", "a:1", "z", False, False), 7, last_report=WorkerReport()
        )
        with suppress(PeerUnreachableError):
            await orders.submit(managed, "load", "m", "")
        return worker.limits_s[0], role.last_order_at - began, steady() - began

    limit_s, idle_from_s, lasted_s = run(work())
    assert limit_s == pytest.approx(0.6)
    assert idle_from_s == lasted_s == pytest.approx(ended_s)


def test_a_placer_whose_lease_ends_between_the_choice_and_the_order_gives_none() -> None:
    """As after a freeze: dispatchers were told that a model goes, and the role may be another's by now."""

    async def work() -> tuple[bool, list[float]]:
        began = steady()
        lease = HeldLease(1.05, token=7, expires_at=began + 0.01)
        me = Member("core-1", "d", "z", "core-1:1", "core-1:2")
        role = SimpleNamespace(
            lease=lease, me=me, last_order_at=began, is_held=lambda: lease.is_valid(steady())
        )
        worker = SlowWorker(0.01)
        orders = WorkerOrders(cast(Any, role), cast(Any, worker))
        managed = ManagedWorker(
            PlannerWorker("i-1", "llm", "a:1", "z", False, False), 7, last_report=WorkerReport()
        )
        await asyncio.sleep(0.02)
        return await orders.submit(managed, "evict", "m", ""), worker.limits_s

    assert run(work()) == (False, [])
