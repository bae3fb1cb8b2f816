"""Queueing of requests for a model, in virtual time."""

import asyncio

import pytest

from finchladder.cluster.process.worker_selection import (
    AVAILABILITY_POLL_INTERVAL_S,
    LOAD_DELAY_ALLOWANCE_S,
    MAX_QUEUE_TIME_FRACTION,
    RETRY_AFTER_BUSY_S,
    RETRY_AFTER_NO_REPLICA_S,
    UNKNOWN_LOAD_QUEUE_TIME_FRACTION,
    RequestQueue,
)
from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.pools import ExpectedReplica, PoolKey, PoolMember, Pools
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.selection import WorkerSelector
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.workers import LoadedModel
from finchladder.lab.cluster.virtual import run
from tests.cluster.routing_workers import make_worker

KEY = PoolKey("llm", "m1", "")
TIMEOUT_S = 10.0


def make_queue() -> RequestQueue:
    return RequestQueue(WorkerSelector("edge", "z", 0.2), lambda: 1, DemandCounter())


def make_request(timeout_s: float = TIMEOUT_S) -> ClassifiedRequest:
    now = steady()
    return ClassifiedRequest("id-1", KEY, now, now + timeout_s, 0, 1.0, timeout_s)


def pools_with(worker: Worker) -> Pools:
    return Pools().with_changes({worker.instance: PoolMember(worker, (LoadedModel("m1"),))})


async def queue_time_s(queue: RequestQueue, attempted: frozenset[str] = frozenset()) -> float:
    """Returns how long a request without a worker is queued."""
    began_at = steady()
    assert await queue.select_worker(make_request(), attempted) is None
    return steady() - began_at


def test_a_request_waits_a_fraction_of_its_time_for_a_replica_that_is_not_loading() -> None:
    expected_s = UNKNOWN_LOAD_QUEUE_TIME_FRACTION * MAX_QUEUE_TIME_FRACTION * TIMEOUT_S
    assert run(queue_time_s(make_queue())) == pytest.approx(expected_s)


def test_a_request_waits_longer_for_a_replica_that_is_expected_in_time() -> None:
    async def work() -> float:
        queue = make_queue()
        queue.pools = Pools().with_changes({}, [ExpectedReplica(KEY, steady() + 6.0)])
        return await queue_time_s(queue)

    assert run(work()) == pytest.approx(6.0 + LOAD_DELAY_ALLOWANCE_S)


def test_the_allowance_for_a_late_load_begins_no_later_than_the_request() -> None:
    """The expected end of a load that is long overdue must not move with the current time."""

    async def work() -> float:
        queue = make_queue()
        queue.pools = Pools().with_changes({}, [ExpectedReplica(KEY, steady())])
        await asyncio.sleep(3.0)
        began_at = steady()
        selection = queue.select_worker(make_request(timeout_s=2.0), frozenset())
        assert await selection is None
        return steady() - began_at

    assert run(work()) == pytest.approx(LOAD_DELAY_ALLOWANCE_S)


def test_a_request_with_an_overdue_load_waits_as_long_as_one_without_any() -> None:
    async def work() -> float:
        queue = make_queue()
        queue.pools = Pools().with_changes({}, [ExpectedReplica(KEY, steady())])
        return await queue_time_s(queue)

    assert run(work()) == pytest.approx(
        UNKNOWN_LOAD_QUEUE_TIME_FRACTION * MAX_QUEUE_TIME_FRACTION * TIMEOUT_S
    )


def test_a_closed_queue_lets_no_request_wait() -> None:
    async def work() -> float:
        queue = make_queue()
        queue.closes_at = steady() + 1.0
        return await queue_time_s(queue)

    assert run(work()) == pytest.approx(1.0)


def test_a_retry_does_not_wait_for_a_replica() -> None:
    assert run(queue_time_s(make_queue(), frozenset({"a"}))) == 0.0


def test_a_queued_request_gets_a_worker_as_soon_as_it_has_the_model_and_counts_until_then() -> None:
    async def work() -> None:
        queue = make_queue()
        selection = asyncio.create_task(queue.select_worker(make_request(), frozenset()))
        await asyncio.sleep(1.0)
        assert [demand.queued for demand in queue.demand.collect(steady())] == [1]
        worker = make_worker("a")
        queue.pools = pools_with(worker)
        queue.pools_changed.fire()
        assert await selection is worker
        assert [demand.queued for demand in queue.demand.collect(steady())] == [0]

    run(work())


def test_a_request_gets_a_worker_after_its_backoff() -> None:
    async def work() -> float:
        queue = make_queue()
        worker = make_worker("a")
        queue.pools = pools_with(worker)
        began_at = steady()
        worker.backoff_until = began_at + 0.5
        assert await queue.select_worker(make_request(), frozenset()) is worker
        return steady() - began_at

    assert 0.5 <= run(work()) <= 0.5 + AVAILABILITY_POLL_INTERVAL_S


def test_a_rejected_client_should_retry_when_a_replica_is_usable() -> None:
    async def work() -> tuple[float, float, float]:
        queue = make_queue()
        unknown_s = queue.retry_after_s(make_request())
        queue.pools = Pools().with_changes({}, [ExpectedReplica(KEY, steady() + 4.0)])
        loading_s = queue.retry_after_s(make_request())
        queue.pools = pools_with(make_worker("a"))
        return unknown_s, loading_s, queue.retry_after_s(make_request())

    assert run(work()) == pytest.approx((RETRY_AFTER_NO_REPLICA_S, 4.0, RETRY_AFTER_BUSY_S))
