"""The interface of durable storage."""

from typing import Protocol

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica


class DurableStore(Protocol):
    """A disk; `save` returns once the values would survive a power failure."""

    @property
    def last_write_failed(self) -> bool:
        """Whether the last write failed."""
        ...

    def pending_write_age_s(self) -> float:
        """Age of the oldest pending write in seconds; 0 without one."""
        ...

    async def save(self, *, acceptor: Acceptor | None = None, replica: Replica | None = None) -> None:
        """Makes the values durable; StorageError if the disk rejects the write."""
        ...

    async def probe(self) -> None:
        """Writes a few bytes; StorageError if the disk rejects the write."""
        ...
