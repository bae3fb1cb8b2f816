"""What the control state needs of the network."""

from typing import Protocol

from finchladder.cluster.types.messages import Reply, Request


class Peers(Protocol):
    """Calls other processes."""

    async def call(self, address: str, request: Request, timeout_s: float) -> Reply:
        """The peer's reply; PeerUnreachable without one in time, PeerRefused where it could not do it."""
        ...
