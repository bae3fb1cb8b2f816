"""Backoff of workers after each kind of failed attempt, in virtual time."""

import pytest

from finchladder.cluster.process.attempt import Broken, FailedAttempt, NotExecuted, NotSent, TimedOut
from finchladder.cluster.process.worker_backoff import (
    MAX_FAILURE_BACKOFF_S,
    MAX_REJECTION_BACKOFF_S,
    MIN_FAILURE_BACKOFF_S,
    MISDIRECTED_BACKOFF_S,
    REJECTION_BACKOFF_S,
    record_failure,
)
from finchladder.cluster.routing.pools import PoolKey
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import steady
from finchladder.lab.cluster.virtual import run
from tests.cluster.routing_workers import make_worker


def make_request(model: str = "") -> ClassifiedRequest:
    return ClassifiedRequest("id-1", PoolKey("llm", model, ""), 0.0, 5.0, 0, 1.0, 5.0)


def backoffs_s(worker: Worker, request: ClassifiedRequest, failure: FailedAttempt) -> tuple[float, float]:
    """Returns the backoff after a failure, of the worker and of the request's key, in seconds."""

    async def work() -> tuple[float, float]:
        record_failure(worker, request, failure)
        now = steady()
        key_backoff_until = worker.key_backoff_until.get(request.key.name, now)
        return max(0.0, worker.backoff_until - now), key_backoff_until - now

    return run(work())


@pytest.mark.parametrize(
    ("model", "failure", "worker_s", "key_s"),
    [
        ("m1", NotExecuted(503, 9.0), 0.0, REJECTION_BACKOFF_S),
        ("m1", NotExecuted(421, 9.0), 0.0, MISDIRECTED_BACKOFF_S),
        ("", NotExecuted(421, 9.0), 0.0, MISDIRECTED_BACKOFF_S),
        ("", NotExecuted(503, 0.0), REJECTION_BACKOFF_S, 0.0),
        ("", NotExecuted(503, 0.7), 0.7, 0.0),
        ("", NotExecuted(503, 9.0), MAX_REJECTION_BACKOFF_S, 0.0),
        ("m1", NotSent("refused"), MIN_FAILURE_BACKOFF_S, 0.0),
        ("m1", Broken("reset"), MIN_FAILURE_BACKOFF_S, 0.0),
        ("", TimedOut(), MIN_FAILURE_BACKOFF_S, 0.0),
    ],
)
def test_the_backoff_follows_from_the_failure(
    model: str, failure: FailedAttempt, worker_s: float, key_s: float
) -> None:
    found = backoffs_s(make_worker("a"), make_request(model), failure)
    assert found == pytest.approx((worker_s, key_s))


def test_the_backoff_doubles_with_each_failure_up_to_its_maximum() -> None:
    worker = make_worker("a")
    found = [backoffs_s(worker, make_request(), TimedOut())[0] for _ in range(5)]
    assert found == pytest.approx([0.5, 1.0, 2.0, 4.0, MAX_FAILURE_BACKOFF_S])


@pytest.mark.parametrize("failures", [1024, 1025, 1026, 100_000])
def test_the_backoff_of_a_worker_that_keeps_failing_stays_at_the_maximum(failures: int) -> None:
    # From the 1025th failure in a row on, 2 ** 1024 exceeded the range of a float, and requests got 500.
    worker = make_worker("w1")
    worker.consecutive_failures = failures
    assert backoffs_s(worker, make_request(), TimedOut())[0] == pytest.approx(MAX_FAILURE_BACKOFF_S)
