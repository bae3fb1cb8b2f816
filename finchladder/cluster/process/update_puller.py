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
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import GENESIS, Member, View
from finchladder.cluster.types.messages import PullUpdates, Update

LONG_POLL_MS = 1000
PULL_TIMEOUT_S = 1.8
RETRY_INTERVAL_S = 0.2
MAX_SOURCES = 5  # control processes that one reader polls
STATUS_VALIDITY_S = 3.0
SOURCE_TIMEOUT_S = 2.0  # after which another source is waited at
EXPIRY_INTERVAL_S = 5.0  # between two looks at origins that say nothing any more
UNCONFIRMED_TIMEOUT_S = 1.0  # without a confirmation, while the core has lost its quorum
POLL_INTERVAL_S = 0.5  # between two looks of a dispatcher at sources that it does not wait at


@define
class UpdateSource:
    """One control process that is polled."""

    address: str
    task: asyncio.Task[None]
    origin: str = ""
    received_at: float = -1e9
    knows_all_workers: bool = False
    chain_confirmed: bool = False
    quorum_lost: bool = False
    last_call_failed: bool = False  # the last call was not answered

    def is_confirmed(self) -> bool:
        """Whether it answers, and the chain has confirmed it lately."""
        return self.chain_confirmed and not self.last_call_failed


@define
class UpdatePuller:
    """Keeps `tables` and the configuration as new as any control process that can be reached.

    `take`: called with each delta after its records were merged, and the instances that changed.
    """

    name: str
    tables: ReplicatedTables
    peers: Peers
    tasks: Tasks
    random: Random
    is_dispatcher: bool
    own_address: str
    zone: str
    seeds: tuple[str, ...]
    configuration_version: Callable[[], int]
    on_update: Callable[[Update, list[str]], None]
    view: View = GENESIS
    sources: dict[str, UpdateSource] = field(factory=dict)
    primary: str = ""
    placer: str = ""
    dispatcher_count: int = 0
    confirmed_at: float = -1e9  # when a source last said that the chain had confirmed it
    quorum_lost_at: float = -1e9  # when a source first said so, after none did
    expired_at: float = field(factory=steady)  # when former lives were last looked at
    poll_now: Signal = field(factory=Signal)  # the primary is another, or has ceased to be trusted

    def update_sources(self) -> None:
        """Polls those that the view names, and the seeds while there is none."""
        members = self.view.members()
        addresses = [m.peer_address for m in members]
        unheard = not any(steady() - s.received_at < STATUS_VALIDITY_S for s in self.sources.values())
        if unheard:
            addresses += [a for a in self.seeds if a not in addresses]
        primary = self._choose_primary(members)
        if primary != self.primary:
            self.primary = primary
            self.poll_now.fire()
        wanted = set(addresses[:MAX_SOURCES]) - {self.own_address}
        for address in sorted(wanted - set(self.sources)):
            task = self.tasks.repeat(lambda a=address: self._poll(a), f"pull {address}")  # type: ignore[misc]
            self.sources[address] = UpdateSource(address, task)
        for address in sorted(set(self.sources) - wanted):
            self.sources.pop(address).task.cancel()

    def _choose_primary(self, members: tuple[Member, ...]) -> str:
        """The one whose changes are waited for: live, trusted, in the own zone if possible, drawn by name."""
        live = [m for m in members if m.peer_address in self.sources and self._is_live(m.peer_address)]
        trusted = [m for m in live if self.sources[m.peer_address].is_confirmed()] or live
        near = [m for m in trusted if m.zone == self.zone] or trusted
        if not near:
            return ""
        return max(near, key=lambda m: blake2b(f"{self.name} {m.disk_id}".encode()).digest()).peer_address

    def _is_live(self, address: str) -> bool:
        """Whether it was heard since the last call that was due, with SILENT_S for that call itself."""
        since_due = 0.0 if self._long_polls(address) else self.poll_interval_s()
        return steady() - self.sources[address].received_at < SOURCE_TIMEOUT_S + since_due

    def has_core_lost_quorum(self) -> bool:
        """Whether most of the core runs without a quorum: a newer configuration, or the drain of a worker,
        may have been acknowledged than any process that answers knows. Who is cut off from most of the core
        is not in doubt: it goes on with what it has.
        """
        since = max(self.confirmed_at, self.quorum_lost_at)
        return self._is_quorum_loss_reported() and steady() - since > UNCONFIRMED_TIMEOUT_S

    def _is_quorum_loss_reported(self) -> bool:
        now = steady()
        return any(s.quorum_lost and now - s.received_at < STATUS_VALIDITY_S for s in self.sources.values())

    def poll_interval_s(self) -> float:
        """Seconds between two looks at the same source."""
        primary = self.sources.get(self.primary)
        others = max(1, len(self.sources) - 1)
        return POLL_INTERVAL_S * others if primary is not None and primary.is_confirmed() else POLL_INTERVAL_S

    def _long_polls(self, address: str) -> bool:
        """Core processes wait for all others, edges for one; while it is silent, for all."""
        return not self.is_dispatcher or address == self.primary or not self.primary

    async def run(self) -> None:
        """Keeps the set of sources up to date."""
        while True:
            self.update_sources()
            self._expire_tables()
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _expire_tables(self) -> None:
        """A core process's own tables are looked at with its sessions."""
        now = steady()
        if self.is_dispatcher and now - self.expired_at > EXPIRY_INTERVAL_S:
            self.expired_at = now
            self.tables.expire_ended_workers(now)
            self.tables.expire_origins(now)

    async def _poll(self, address: str) -> None:
        while True:
            source = self.sources[address]
            waits = self._long_polls(address)
            wait_ms = LONG_POLL_MS if waits else 0
            pull = PullUpdates(
                self.name,
                dict(self.tables.vector),
                self.configuration_version(),
                self.view.number,
                wait_ms,
                self.is_dispatcher,
            )
            try:
                reply = await self.peers.call(address, pull, PULL_TIMEOUT_S)
            except ClusterError:
                self._on_call_failed(source)
                await asyncio.sleep(RETRY_INTERVAL_S * self.random.uniform(0.5, 1.5))
                continue
            source.last_call_failed = False
            if isinstance(reply, Update):
                await self._receive(source, reply)
            if not waits:
                await self.poll_now.wait(self.poll_interval_s() * self.random.uniform(0.9, 1.1))

    def _on_call_failed(self, source: UpdateSource) -> None:
        was_trusted, source.last_call_failed = source.is_confirmed(), True
        self._poll_others_if_primary_unconfirmed(source, was_trusted)

    def _poll_others_if_primary_unconfirmed(self, source: UpdateSource, was_trusted: bool) -> None:
        """Others are looked at at once when the primary ceases to be trusted."""
        if source.address == self.primary and was_trusted and not source.is_confirmed():
            self.poll_now.fire()

    async def _receive(self, source: UpdateSource, update: Update) -> None:
        newly_complete = update.knows_all_workers and (
            source.origin != update.origin or not source.knows_all_workers
        )
        was_trusted = source.is_confirmed()
        source.origin, source.received_at = update.origin, steady()
        source.knows_all_workers, source.chain_confirmed = update.knows_all_workers, update.chain_confirmed
        if update.quorum_lost and not self._is_quorum_loss_reported():
            self.quorum_lost_at = steady()
        source.quorum_lost = update.quorum_lost
        if update.chain_confirmed:
            self.confirmed_at = steady()
        self._poll_others_if_primary_unconfirmed(source, was_trusted)
        self._merge(update)
        if newly_complete and self.is_dispatcher:
            await self._resynchronize(source)

    def _merge(self, update: Update) -> None:
        changed = self.tables.merge(update.workers, update.placements)
        self.tables.advance_vector(update.vector)
        if update.view is not None and update.view.number > self.view.number:
            self.view = update.view
        self.placer = update.placer or self.placer
        self.dispatcher_count = update.dispatchers or self.dispatcher_count
        self.on_update(update, changed)

    async def _resynchronize(self, source: UpdateSource) -> None:
        """Drops what a control process that must know all workers does not know."""
        pull = PullUpdates(
            self.name, {}, self.configuration_version(), self.view.number, 0, self.is_dispatcher
        )
        try:
            reply = await self.peers.call(source.address, pull, PULL_TIMEOUT_S)
        except ClusterError:
            source.knows_all_workers = False
            return
        if isinstance(reply, Update) and reply.is_full and reply.knows_all_workers:
            self._merge(reply)
            dropped = self.tables.retain_workers({w.record.instance for w in reply.workers})
            if dropped:
                self.on_update(reply, dropped)
