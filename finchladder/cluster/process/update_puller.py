"""The reader's side of distribution: long polls at control processes, for what is missing.

A core process waits for changes at all others. A dispatcher waits at one, its primary, and looks at the
others in turn, so that what it costs does not grow with their number; it looks at each of them often while
its primary fails or says that the chain has not confirmed it.
"""

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from random import Random

from attrs import define, field

from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.sessions.table import Tables
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import GENESIS, Member, View
from finchladder.cluster.types.messages import PullUpdates, Update

WAIT_MS = 1000
TIMEOUT_S = 1.8
RETRY_S = 0.2
MOST_SOURCES = 5  # control processes that one reader polls
FRESH_S = 3.0
SILENT_S = 2.0  # after which another source is waited at
FORGET_LOOK_S = 5.0  # between two looks at origins that say nothing any more
DOUBT_S = 1.0  # without a confirmation, while the core has lost its quorum
LOOK_S = 0.5  # between two looks of a dispatcher at sources that it does not wait at


@define
class Source:
    """One control process that is polled."""

    address: str
    task: asyncio.Task[None]
    origin: str = ""
    heard_at: float = -1e9
    complete: bool = False
    confirmed: bool = False
    quorum_lost: bool = False
    failed: bool = False  # the last call was not answered

    def is_trusted(self) -> bool:
        """Whether it answers, and the chain has confirmed it lately."""
        return self.confirmed and not self.failed


@define
class Puller:
    """Keeps `tables` and the configuration as new as any control process that can be reached.

    `take`: called with each delta after its records were merged, and the instances that changed.
    """

    name: str
    tables: Tables
    peers: Peers
    tasks: Tasks
    random: Random
    is_edge: bool
    own_address: str
    zone: str
    seeds: tuple[str, ...]
    version: Callable[[], int]
    take: Callable[[Update, list[str]], None]
    view: View = GENESIS
    sources: dict[str, Source] = field(factory=dict)
    primary: str = ""
    placer: str = ""
    edges: int = 0
    confirmed_at: float = -1e9  # when a source last said that the chain had confirmed it
    quorum_lost_at: float = -1e9  # when a source first said so, after none did
    forgot_at: float = field(factory=steady)  # when former lives were last looked at
    look_now: Signal = field(factory=Signal)  # the primary is another, or has ceased to be trusted

    def follow(self) -> None:
        """Polls those that the view names, and the seeds while there is none."""
        members = self.view.members()
        addresses = [m.peer_address for m in members]
        unheard = not any(steady() - s.heard_at < FRESH_S for s in self.sources.values())
        if unheard:
            addresses += [a for a in self.seeds if a not in addresses]
        primary = self._choose_primary(members)
        if primary != self.primary:
            self.primary = primary
            self.look_now.fire()
        wanted = set(addresses[:MOST_SOURCES]) - {self.own_address}
        for address in sorted(wanted - set(self.sources)):
            task = self.tasks.repeat(lambda a=address: self._poll(a), f"pull {address}")  # type: ignore[misc]
            self.sources[address] = Source(address, task)
        for address in sorted(set(self.sources) - wanted):
            self.sources.pop(address).task.cancel()

    def _choose_primary(self, members: tuple[Member, ...]) -> str:
        """The one whose changes are waited for: live, trusted, in the own zone if possible, drawn by name."""
        live = [m for m in members if m.peer_address in self.sources and self._is_live(m.peer_address)]
        trusted = [m for m in live if self.sources[m.peer_address].is_trusted()] or live
        near = [m for m in trusted if m.zone == self.zone] or trusted
        if not near:
            return ""
        return max(near, key=lambda m: blake2b(f"{self.name} {m.disk_id}".encode()).digest()).peer_address

    def _is_live(self, address: str) -> bool:
        """Whether it was heard since the last call that was due, with SILENT_S for that call itself."""
        since_due = 0.0 if self._waits_at(address) else self.look_interval_s()
        return steady() - self.sources[address].heard_at < SILENT_S + since_due

    def is_doubtful(self) -> bool:
        """Whether most of the core runs without a quorum: a newer configuration, or the drain of a worker,
        may have been acknowledged than any process that answers knows. Who is cut off from most of the core
        is not in doubt: it goes on with what it has.
        """
        since = max(self.confirmed_at, self.quorum_lost_at)
        return self._is_quorum_lost() and steady() - since > DOUBT_S

    def _is_quorum_lost(self) -> bool:
        now = steady()
        return any(s.quorum_lost and now - s.heard_at < FRESH_S for s in self.sources.values())

    def look_interval_s(self) -> float:
        """Seconds between two looks at the same source."""
        primary = self.sources.get(self.primary)
        others = max(1, len(self.sources) - 1)
        return LOOK_S * others if primary is not None and primary.is_trusted() else LOOK_S

    def _waits_at(self, address: str) -> bool:
        """Core processes wait for all others, edges for one; while it is silent, for all."""
        return not self.is_edge or address == self.primary or not self.primary

    async def run(self) -> None:
        """Keeps the set of sources up to date."""
        while True:
            self.follow()
            self._forget_former_lives()
            await asyncio.sleep(RETRY_S)

    def _forget_former_lives(self) -> None:
        """A core process's own tables are looked at with its sessions."""
        now = steady()
        if self.is_edge and now - self.forgot_at > FORGET_LOOK_S:
            self.forgot_at = now
            self.tables.forget_ended(now)
            self.tables.forget_origins(now)

    async def _poll(self, address: str) -> None:
        while True:
            source = self.sources[address]
            waits = self._waits_at(address)
            wait_ms = WAIT_MS if waits else 0
            pull = PullUpdates(
                self.name, dict(self.tables.vector), self.version(), self.view.number, wait_ms, self.is_edge
            )
            try:
                reply = await self.peers.call(address, pull, TIMEOUT_S)
            except ClusterError:
                self._note_failure(source)
                await asyncio.sleep(RETRY_S * self.random.uniform(0.5, 1.5))
                continue
            source.failed = False
            if isinstance(reply, Update):
                await self._receive(source, reply)
            if not waits:
                await self.look_now.wait(self.look_interval_s() * self.random.uniform(0.9, 1.1))

    def _note_failure(self, source: Source) -> None:
        was_trusted, source.failed = source.is_trusted(), True
        self._note_doubt(source, was_trusted)

    def _note_doubt(self, source: Source, was_trusted: bool) -> None:
        """Others are looked at at once when the primary ceases to be trusted."""
        if source.address == self.primary and was_trusted and not source.is_trusted():
            self.look_now.fire()

    async def _receive(self, source: Source, delta: Update) -> None:
        newly_complete = delta.knows_all_workers and (source.origin != delta.origin or not source.complete)
        was_trusted = source.is_trusted()
        source.origin, source.heard_at = delta.origin, steady()
        source.complete, source.confirmed = delta.knows_all_workers, delta.chain_confirmed
        if delta.quorum_lost and not self._is_quorum_lost():
            self.quorum_lost_at = steady()
        source.quorum_lost = delta.quorum_lost
        if delta.chain_confirmed:
            self.confirmed_at = steady()
        self._note_doubt(source, was_trusted)
        self._merge(delta)
        if newly_complete and self.is_edge:
            await self._compare_whole(source)

    def _merge(self, delta: Update) -> None:
        changed = self.tables.merge(delta.workers, delta.placements)
        self.tables.advance(delta.vector)
        if delta.view is not None and delta.view.number > self.view.number:
            self.view = delta.view
        self.placer = delta.placer or self.placer
        self.edges = delta.dispatchers or self.edges
        self.take(delta, changed)

    async def _compare_whole(self, source: Source) -> None:
        """Drops what a control process that must know all workers does not know."""
        pull = PullUpdates(self.name, {}, self.version(), self.view.number, 0, self.is_edge)
        try:
            reply = await self.peers.call(source.address, pull, TIMEOUT_S)
        except ClusterError:
            source.complete = False
            return
        if isinstance(reply, Update) and reply.is_full and reply.knows_all_workers:
            self._merge(reply)
            dropped = self.tables.keep_only({w.record.instance for w in reply.workers})
            if dropped:
                self.take(reply, dropped)
