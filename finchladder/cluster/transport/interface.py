"""Interface for calls between processes."""

from typing import Protocol

from finchladder.cluster.types.messages import Reply, Request


class Peers(Protocol):
    """Client for requests to other processes."""

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        """Sends a request and returns the reply.

        Raises:
            PeerUnreachableError: No reply was received within the timeout.
            PeerRefusedError: The peer could not execute the request.
        """
        ...
