"""The interface of calls between processes."""

from typing import Protocol

from finchladder.cluster.types.messages import Reply, Request


class Peers(Protocol):
    """Calls other processes."""

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        """Sends a request and returns the reply.

        Raises:
            PeerUnreachableError: No reply within the timeout.
            PeerRefusedError: The peer could not carry out the request.
        """
        ...
