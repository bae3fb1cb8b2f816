"""Counts a request in the load of the worker that runs it, and in the demand."""

from finchladder.cluster.routing.demand import DemandCounter
from finchladder.cluster.routing.requests import ClassifiedRequest
from finchladder.cluster.routing.workers import DECODE_LOAD_FRACTION, Worker
from finchladder.cluster.transport.peers import steady


class InFlightRequest:
    """Context manager that adds a request to a worker's load and to the demand while an attempt runs.

    An attempt may end before its context is left: an interrupted stream continues at another worker.
    """

    def __init__(self, demand: DemandCounter, request: ClassifiedRequest, worker: Worker) -> None:
        """Creates the context manager; nothing is counted before it is entered."""
        self._demand = demand
        self._request = request
        self._worker = worker
        self._load = demand.request_cost(request).load
        self._is_running = False

    def __enter__(self) -> "InFlightRequest":
        """Adds the request to the worker's load and to the demand."""
        self._was_idle = self._worker.load <= 0
        self._started_at = steady()
        self._is_running = True
        self._worker.add_load(self._load)
        self._demand.add_in_flight(self._request.key, self._worker.instance, 1)
        return self

    def record_first_token(self) -> None:
        """Reduces the load to that of decoding.

        The caller has received the head of the response, which a model sends with the first token.
        """
        if not self._request.key.model:
            return
        if self._was_idle:
            self._demand.record_time_to_first_token(self._request, steady() - self._started_at)
        decode_load = DECODE_LOAD_FRACTION * self._load
        self._worker.add_load(decode_load - self._load)
        self._load = decode_load

    def __exit__(self, *_: object) -> None:
        """Ends the attempt."""
        self.end()

    def end(self) -> None:
        """Removes the remaining load of the request; does nothing if the attempt has already ended."""
        if not self._is_running:
            return
        self._is_running = False
        self._worker.add_load(-self._load)
        self._demand.add_in_flight(self._request.key, self._worker.instance, -1)
