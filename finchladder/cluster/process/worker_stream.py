"""The response of a worker while it is relayed to the client."""

import aiohttp
from attrs import define

from finchladder.cluster.process.in_flight import InFlightRequest
from finchladder.cluster.routing.workers import Worker


@define
class WorkerStream:
    """A worker's response, whose body is still being received, and the context of its attempt."""

    worker: Worker
    response: aiohttp.ClientResponse
    in_flight: InFlightRequest

    def close(self) -> None:
        """Ends the attempt; the connection to the worker is closed unless the body is complete."""
        self.response.close()
        self.in_flight.end()
