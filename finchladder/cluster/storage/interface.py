"""The interface of durable storage."""

from typing import Protocol

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica


class DurableStore(Protocol):
    """Durable storage on a disk; after `save` has returned, the values survive a power failure."""

    @property
    def last_write_failed(self) -> bool:
        """Whether the last write failed."""
        ...

    def pending_write_age_s(self) -> float:
        """Age of the oldest pending write in seconds; 0 if no write is pending."""
        ...

    async def save(self, *, acceptor: Acceptor | None = None, replica: Replica | None = None) -> None:
        """Makes the values durable; raises StorageError if the disk rejects the write."""
        ...

    async def probe(self) -> None:
        """Writes a few bytes as a test; raises StorageError if the disk rejects the write."""
        ...
