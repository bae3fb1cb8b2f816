"""Replies of the placer to dispatchers, and its handling of rejected orders, in virtual time."""

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

ORDERS_TAKEN = 4  # number of orders the worker has taken, including the current eviction


class Worker:
    """A worker that returns the given reports in order, and then repeats the last one."""

    def __init__(self, *reports: WorkerReport) -> None:
        self.reports = list(reports)
        self.report_count = 0

    async def report(self, address: str, instance: str) -> WorkerReport:
        self.report_count += 1
        return self.reports[min(self.report_count, len(self.reports)) - 1]


def resubmission(worker: Worker, began_before_s: float) -> tuple[bool, float]:
    """Returns whether the placer sends its order again, and the seconds until its decision."""
    nothing = cast(Any, SimpleNamespace())
    orders = WorkerOrders(nothing, cast(Any, worker))
    state = PlannerWorker("i-1", "llm", "a:1", "z", False, False)

    async def work() -> tuple[bool, float]:
        before = steady()
        again = await orders._should_resubmit(
            ManagedWorker(state, orders_taken=ORDERS_TAKEN), before - began_before_s
        )
        return again, steady() - before

    return run(work())


def test_an_order_is_sent_again_without_a_report_soon_after_an_eviction() -> None:
    worker = Worker()
    again, waited_s = resubmission(worker, 0.0)
    assert again
    assert waited_s == pytest.approx(QUICK_EVICTION_S / 2)
    assert worker.report_count == 0


def test_an_order_is_sent_again_while_the_previous_eviction_is_in_progress() -> None:
    again, waited_s = resubmission(Worker(WorkerReport(sequence=ORDERS_TAKEN, busy=True)), 0.2)
    assert again
    assert waited_s == pytest.approx(POLL_INTERVAL_S)


def test_a_worker_that_took_an_order_of_another_holder_gets_no_more_orders() -> None:
    assert not resubmission(Worker(WorkerReport(sequence=ORDERS_TAKEN + 1)), 0.2)[0]


def test_an_endless_eviction_times_out() -> None:
    again, _ = resubmission(Worker(WorkerReport(sequence=ORDERS_TAKEN, busy=True)), EVICTION_TIMEOUT_S)
    assert not again


def test_a_dispatcher_receives_the_loads_of_all_others() -> None:
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

    reply = run(work())
    assert reply.peer_loads == {"a": 1, "b": 2}
    assert reply.interval_ms == 2000, "300 dispatchers may report 150 times a second together"


class SlowWorker:
    """Accepts each order after a delay, or times out; `limits_s`: the timeout of each call."""

    def __init__(self, duration_s: float) -> None:
        self.duration_s = duration_s
        self.limits_s: list[float] = []

    async def order(self, address: str, instance: str, body: OrderRequest, timeout_s: float) -> int:
        self.limits_s.append(timeout_s)
        await asyncio.sleep(min(self.duration_s, timeout_s))
        if self.duration_s > timeout_s:
            raise PeerUnreachableError("order", address, "no answer in time")
        return STATUS_ACCEPTED


@pytest.mark.parametrize(("duration_s", "ended_s"), [(0.3, 0.3), (5.0, 0.6)])
def test_an_order_ends_with_the_lease_at_the_latest_and_its_end_is_the_last_order_time(
    duration_s: float, ended_s: float
) -> None:
    """A successor measures the pause between two holders from the last order."""

    async def work() -> tuple[float, float, float]:
        began = steady()
        lease = HeldLease(1.05, token=7, expires_at=began + 0.6)
        me = Member("core-1", "d", "z", "core-1:1", "core-1:2")
        role = SimpleNamespace(
            lease=lease, me=me, last_order_at=began, is_held=lambda: lease.is_valid(steady())
        )
        worker = SlowWorker(duration_s)
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


def test_a_placer_whose_lease_ends_between_plan_and_order_sends_no_order() -> None:
    """After a freeze an eviction may be announced already, but another process may hold the lease."""

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
