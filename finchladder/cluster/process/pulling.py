"""The reader's side of distribution: one long poll at each control process, for what is missing."""

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from random import Random

from attrs import define, field

from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.sessions.table import Tables
from finchladder.cluster.transport.peers import PeerClient, steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import GENESIS, Member, View
from finchladder.cluster.types.messages import Delta, Pull

WAIT_MS = 1000
TIMEOUT_S = 1.8
RETRY_S = 0.2
MOST_SOURCES = 5  # control processes that one reader polls
FRESH_S = 3.0
SILENT_S = 2.0  # after which another source is waited at
LOOK_S = 0.5  # how often an edge looks at sources that it does not wait at


@define
class Source:
    """One control process that is polled."""

    address: str
    task: asyncio.Task[None]
    origin: str = ""
    heard_at: float = -1e9
    complete: bool = False
    confirmed: bool = False


@define
class Puller:
    """Keeps `tables` and the configuration as new as any control process that can be reached.

    `take`: called with each delta after its records were merged, and the instances that changed.
    """

    name: str
    tables: Tables
    peers: PeerClient
    tasks: Tasks
    random: Random
    is_edge: bool
    own_address: str
    zone: str
    seeds: tuple[str, ...]
    version: Callable[[], int]
    take: Callable[[Delta, list[str]], None]
    view: View = GENESIS
    sources: dict[str, Source] = field(factory=dict)
    primary: str = ""
    placer: str = ""
    edges: int = 0

    def follow(self) -> None:
        """Polls those that the view names, and the seeds while there is none."""
        members = self.view.members()
        addresses = [m.peer_address for m in members]
        unheard = not any(steady() - s.heard_at < FRESH_S for s in self.sources.values())
        if unheard:
            addresses += [a for a in self.seeds if a not in addresses]
        self.primary = self._choose_primary(members)
        wanted = set(addresses[:MOST_SOURCES]) - {self.own_address}
        for address in wanted - set(self.sources):
            task = self.tasks.repeat(lambda a=address: self._poll(a), f"pull {address}")  # type: ignore[misc]
            self.sources[address] = Source(address, task)
        for address in set(self.sources) - wanted:
            self.sources.pop(address).task.cancel()

    def _choose_primary(self, members: tuple[Member, ...]) -> str:
        """The one whose changes are waited for: live, in the own zone if there is one, drawn by name."""
        now = steady()
        live = [m for m in members if m.peer_address in self.sources]
        live = [m for m in live if now - self.sources[m.peer_address].heard_at < SILENT_S]
        near = [m for m in live if m.zone == self.zone] or live
        if not near:
            return ""
        return max(near, key=lambda m: blake2b(f"{self.name} {m.disk_id}".encode()).digest()).peer_address

    def _waits_at(self, address: str) -> bool:
        """Core processes wait for all others, edges for one; while it is silent, for all."""
        return not self.is_edge or address == self.primary or not self.primary

    async def run(self) -> None:
        """Keeps the set of sources up to date."""
        while True:
            self.follow()
            await asyncio.sleep(RETRY_S)

    async def _poll(self, address: str) -> None:
        while True:
            source = self.sources[address]
            waits = self._waits_at(address)
            wait_ms = WAIT_MS if waits else 0
            pull = Pull(
                self.name, dict(self.tables.vector), self.version(), self.view.number, wait_ms, self.is_edge
            )
            try:
                reply = await self.peers.call(address, pull, TIMEOUT_S)
            except ClusterError:
                await asyncio.sleep(RETRY_S * self.random.uniform(0.5, 1.5))
                continue
            if isinstance(reply, Delta):
                await self._receive(source, reply)
            if not waits:
                await asyncio.sleep(LOOK_S * self.random.uniform(0.9, 1.1))

    async def _receive(self, source: Source, delta: Delta) -> None:
        newly_complete = delta.complete and (source.origin != delta.origin or not source.complete)
        source.origin, source.heard_at = delta.origin, steady()
        source.complete, source.confirmed = delta.complete, delta.confirmed
        self._merge(delta)
        if newly_complete and self.is_edge:
            await self._compare_whole(source)

    def _merge(self, delta: Delta) -> None:
        changed = self.tables.merge(delta.workers, delta.placements)
        self.tables.advance(delta.vector)
        if delta.view is not None and delta.view.number > self.view.number:
            self.view = delta.view
        self.placer = delta.placer or self.placer
        self.edges = delta.edges or self.edges
        self.take(delta, changed)

    async def _compare_whole(self, source: Source) -> None:
        """Drops what a control process that must know all workers does not know."""
        pull = Pull(self.name, {}, self.version(), self.view.number, 0, self.is_edge)
        try:
            reply = await self.peers.call(source.address, pull, TIMEOUT_S)
        except ClusterError:
            source.complete = False
            return
        if isinstance(reply, Delta) and reply.whole and reply.complete:
            self._merge(reply)
            dropped = self.tables.keep_only({w.record.instance for w in reply.workers})
            if dropped:
                self.take(reply, dropped)

    def fresh_sources(self) -> list[Source]:
        """Control processes that answered lately."""
        now = steady()
        return [s for s in self.sources.values() if now - s.heard_at < FRESH_S]
