"""What the control state needs of a disk."""

from typing import Protocol

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica


class DurableStore(Protocol):
    """A disk; `save` returns once the values would survive a loss of power."""

    @property
    def failed(self) -> bool:
        """Whether the last write was refused."""
        ...

    def stalled_s(self) -> float:
        """How long the oldest unfinished write has waited, seconds."""
        ...

    async def save(self, *, acceptor: Acceptor | None = None, replica: Replica | None = None) -> None:
        """Makes the values durable; StorageFailed if the disk refuses them."""
        ...

    async def probe(self) -> None:
        """Writes something small; StorageFailed if the disk refuses it."""
        ...
