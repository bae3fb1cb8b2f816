"""A disk at virtual time: it takes time, stalls, refuses, loses what was not durable, and can be wiped."""

import asyncio
from random import Random

from attrs import define, field

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.storage.lmdb_store import decode_record, encode_record
from finchladder.cluster.types.errors import StorageError

SYNC_S = (0.001, 0.008)
SHORTEST_S = 0.001  # of a sleep: what is less than the clock can show would never end


@define
class Platter:
    """What outlives a process: sealed values by name."""

    disk_id: str
    founder: bool
    acceptor: bytes = field(factory=lambda: encode_record(Acceptor()))
    replica: bytes = field(factory=lambda: encode_record(Replica()))

    def read(self) -> tuple[Acceptor, Replica]:
        """The values as a process reads them at its start."""
        return decode_record(self.acceptor, Acceptor), decode_record(self.replica, Replica)


@define
class SimulatedDisk:
    """The disk as one life of a process uses it; implements `DurableStore`."""

    platter: Platter
    random: Random
    stalled_until: float = 0.0
    refuses: bool = False
    last_write_failed: bool = False
    pending: dict[int, float] = field(factory=dict)
    serial: int = 0
    powered: bool = True
    factor: float = 1.0  # by which it is slower than usual
    keeps_unsynced: bool = False  # a write that a loss of power interrupts may be there all the same

    def pending_write_age_s(self) -> float:
        """How long the oldest unfinished write has waited."""
        now = asyncio.get_running_loop().time()
        return now - min(self.pending.values()) if self.pending else 0.0

    async def save(self, *, acceptor: Acceptor | None = None, replica: Replica | None = None) -> None:
        """One write and its sync; a loss of power in between keeps or loses it."""
        try:
            await self._wait()
        except asyncio.CancelledError:
            if self.keeps_unsynced and not self.powered and self.random.random() < 0.5:
                self._put(acceptor, replica)
            raise
        self._put(acceptor, replica)

    def _put(self, acceptor: Acceptor | None, replica: Replica | None) -> None:
        if acceptor is not None:
            self.platter.acceptor = encode_record(acceptor)
        if replica is not None:
            self.platter.replica = encode_record(replica)

    async def probe(self) -> None:
        """A write without content."""
        await self._wait()

    async def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        self.serial += 1
        serial = self.serial
        self.pending[serial] = loop.time()
        try:
            await asyncio.sleep(self.factor * self.random.uniform(*SYNC_S))
            while loop.time() < self.stalled_until:
                await asyncio.sleep(max(SHORTEST_S, self.stalled_until - loop.time()))
            if not self.powered:
                await asyncio.Event().wait()
            self.last_write_failed = self.refuses
            if self.refuses:
                raise StorageError("store", "disk", "no space is left")
        finally:
            del self.pending[serial]
