"""Backoff of a worker after a failed attempt."""

from http import HTTPStatus

from finchladder.cluster.process.attempt import FailedAttempt, NotExecuted
from finchladder.cluster.process.log import event
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.workers import Worker
from finchladder.cluster.transport.peers import steady

REJECTION_BACKOFF_S = 0.1
MAX_REJECTION_BACKOFF_S = 1.0  # limit for the backoff that a worker requests by `Retry-After`
MISDIRECTED_BACKOFF_S = 0.4  # backoff for one model or adapter that the worker has not loaded
MIN_FAILURE_BACKOFF_S = 0.5
MAX_FAILURE_BACKOFF_S = 4.0
MAX_BACKOFF_DOUBLINGS = 10  # enough for the maximum; a float can't be doubled without limit


def record_failure(worker: Worker, request: ClassifiedRequest, failure: FailedAttempt) -> None:
    """Starts a backoff of the worker, which is exponential unless the worker rejected the request.

    After a rejection of a request for a model, only the model or adapter of the request is affected.
    """
    now = steady()
    if isinstance(failure, NotExecuted):
        _back_off_after_rejection(worker, request, failure, now)
        return
    worker.consecutive_failures += 1
    doublings = min(worker.consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
    worker.backoff_until = now + min(MAX_FAILURE_BACKOFF_S, MIN_FAILURE_BACKOFF_S * 2**doublings)
    event("attempt.failed", instance=worker.instance, address=worker.address, outcome=repr(failure))


def _back_off_after_rejection(
    worker: Worker, request: ClassifiedRequest, rejection: NotExecuted, now: float
) -> None:
    if rejection.status == HTTPStatus.MISDIRECTED_REQUEST:
        worker.key_backoff_until[request.key.name] = now + MISDIRECTED_BACKOFF_S
    elif request.key.model:
        worker.key_backoff_until[request.key.name] = now + REJECTION_BACKOFF_S
    else:
        requested_s = min(rejection.retry_after_s, MAX_REJECTION_BACKOFF_S)
        worker.backoff_until = now + max(REJECTION_BACKOFF_S, requested_s)
