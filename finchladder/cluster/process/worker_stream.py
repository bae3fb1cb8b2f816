"""A worker's response that is being relayed to the client."""

import aiohttp
from attrs import define

from finchladder.cluster.process.in_flight import InFlightRequest
from finchladder.cluster.routing.workers import Worker


@define
class WorkerStream:
    """A response whose body is still being received, and the accounting of the attempt that it belongs to."""

    worker: Worker
    response: aiohttp.ClientResponse
    in_flight: InFlightRequest

    def close(self) -> None:
        """Ends the attempt; the connection to the worker is closed unless the body is complete."""
        self.response.close()
        self.in_flight.end()
