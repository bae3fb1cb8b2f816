"""Pulls the replicated tables, the configuration and the view from control processes, called sources.

A control process long-polls all sources. A dispatcher long-polls only one, its primary. It polls each of the
others at an interval that is proportional to their number, so that the total rate of polls stays the same.
While the primary fails or reports that the chain has not confirmed it, the interval is shorter.
"""

import asyncio
from collections.abc import Callable
from hashlib import blake2b
from random import Random

from attrs import define, field

from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.process.log import event
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import GENESIS, Member, View
from finchladder.cluster.types.messages import PullUpdates, Update

MAX_SOURCES = 5  # maximum number of control processes that one puller polls
EXPIRY_INTERVAL_S = 5.0
NEVER = -1e9


@define
class UpdateSource:
    """A control process from which updates are pulled."""

    address: str
    task: asyncio.Task[None]
    origin: str = ""
    received_at: float = NEVER  # arrival time of the last update
    knows_all_workers: bool = False
    chain_confirmed: bool = False
    quorum_lost: bool = False
    last_call_failed: bool = False

    def is_confirmed(self) -> bool:
        """Returns whether the source replies and the chain has recently confirmed it."""
        return self.chain_confirmed and not self.last_call_failed


@define
class UpdatePuller:
    """Merges the updates of all sources into `tables`, and passes them on to `on_update`.

    `on_update`: called with each update after its records were merged, and with the instances that changed.
    If it fails, the next call contains these instances, too, because no source sends merged records again.
    `seeds`: read again and also pulled from while no source replies that the chain has confirmed.
    """

    name: str
    tables: ReplicatedTables
    peers: Peers
    tasks: Tasks
    random: Random
    is_dispatcher: bool
    own_address: str
    zone: str
    seeds: SeedList
    configuration_version: Callable[[], int]
    on_update: Callable[[Update, list[str]], None]
    timeouts: ContactTimeouts
    view: View = GENESIS
    sources: dict[str, UpdateSource] = field(factory=dict)  # keyed by peer address
    primary: str = ""  # address of the dispatcher's primary source; empty if there is none
    placer: str = ""  # peer address of the placer; empty: unknown
    placer_term: int = 0  # fencing token of the placer
    dispatcher_count: int = 0
    updated_at: float = field(factory=steady)  # time of the last update of any source, or of the start
    contact_lost: bool = False  # whether the log says that no source replies
    confirmed_at: float = NEVER  # time of the last update whose sender reported `chain_confirmed`
    quorum_lost_at: float = NEVER  # start of the last period in which sources reported a loss of the quorum
    expired_at: float = field(factory=steady)  # time of the last cleanup of the tables
    poll_now: Signal = field(factory=Signal)  # fires when the primary changes or is no longer confirmed
    _changed_instances: dict[str, None] = field(factory=dict, init=False)  # not passed to `on_update` yet

    async def run(self) -> None:
        """Keeps the set of sources up to date."""
        while True:
            self.update_sources()
            self._log_lost_contact()
            self._expire_tables()
            await asyncio.sleep(self.timeouts.source_update_interval_s)

    def update_sources(self) -> None:
        """Starts and stops pulls from the sources that are wanted now, and chooses the primary."""
        members = self.view.members()
        primary = self._choose_primary(members)
        if primary != self.primary:
            self.primary = primary
            self.poll_now.fire()
            self._log_primary()
        wanted = self._wanted_addresses(members)
        for address in sorted(wanted - set(self.sources)):
            task = self.tasks.repeat(lambda a=address: self._poll(a), f"pull {address}")  # type: ignore[misc]
            self.sources[address] = UpdateSource(address, task)
        for address in sorted(set(self.sources) - wanted):
            self.sources.pop(address).task.cancel()

    def _wanted_addresses(self, members: tuple[Member, ...]) -> set[str]:
        """Returns some members of the view; all of them and the seeds while no confirmed source replies.

        All members of the view may have been replaced while this process was out of contact.
        """
        addresses = [member.peer_address for member in members]
        if self._has_confirmed_source():
            return set(addresses[:MAX_SOURCES]) - {self.own_address}
        self.seeds.refresh_if_due()
        return {*addresses, *self.seeds.addresses} - {self.own_address}

    def has_core_lost_quorum(self) -> bool:
        """Returns whether control processes report a lost quorum, and none was confirmed recently.

        The processes that do not reply may then have acknowledged a newer configuration or the drain of a
        worker that no replying process has stored. A dispatcher that cannot reach most control processes gets
        no such report and continues with its current state.
        """
        since = max(self.confirmed_at, self.quorum_lost_at)
        return self._is_quorum_loss_reported() and steady() - since > self.timeouts.unconfirmed_timeout_s

    def poll_interval_s(self) -> float:
        """Returns the seconds between two polls of the same source."""
        primary = self.sources.get(self.primary)
        if primary is None or not primary.is_confirmed():
            return self.timeouts.poll_interval_s
        return self.timeouts.poll_interval_s * max(1, len(self.sources) - 1)

    def _choose_primary(self, members: tuple[Member, ...]) -> str:
        """Chooses a live member by rendezvous hash, preferring confirmed members and then the same zone."""
        live = [m for m in members if m.peer_address in self.sources and self._is_live(m.peer_address)]
        confirmed = [m for m in live if self.sources[m.peer_address].is_confirmed()] or live
        candidates = [m for m in confirmed if m.zone == self.zone] or confirmed
        if not candidates:
            return ""
        chosen = max(candidates, key=lambda m: blake2b(f"{self.name} {m.disk_id}".encode()).digest())
        return chosen.peer_address

    def _is_live(self, address: str) -> bool:
        """Returns whether the last update is recent enough for the interval at which the source is polled."""
        polling_delay_s = 0.0 if self._long_polls(address) else self.poll_interval_s()
        return steady() - self.sources[address].received_at < self.timeouts.source_timeout_s + polling_delay_s

    def _has_confirmed_source(self) -> bool:
        return steady() - self.confirmed_at < self.timeouts.contact_s

    def _is_quorum_loss_reported(self) -> bool:
        now = steady()
        validity_s = self.timeouts.status_validity_s
        return any(s.quorum_lost and now - s.received_at < validity_s for s in self.sources.values())

    def _long_polls(self, address: str) -> bool:
        """Returns whether the source is long-polled; a dispatcher without a primary long-polls all."""
        return not self.is_dispatcher or address == self.primary or not self.primary

    def _log_primary(self) -> None:
        if self.is_dispatcher:
            primary = self.sources.get(self.primary)
            confirmed = primary is not None and primary.is_confirmed()
            event("updates.primary_changed", primary=self.primary, confirmed=confirmed, view=self.view.number)

    def _log_lost_contact(self) -> None:
        silent_s = steady() - self.updated_at
        if not self.contact_lost and silent_s > self.timeouts.contact_s:
            self.contact_lost = True
            event("updates.contact_lost", view=self.view.number, sources=sorted(self.sources))

    def _log_restored_contact(self, source: UpdateSource) -> None:
        if self.contact_lost:
            self.contact_lost = False
            silent_s = round(steady() - self.updated_at, 2)
            event("updates.contact_restored", source=source.address, silent_s=silent_s)

    def _expire_tables(self) -> None:
        """Removes expired entries of a dispatcher's tables; `WorkerExpiry` does it in control processes."""
        now = steady()
        if self.is_dispatcher and now - self.expired_at > EXPIRY_INTERVAL_S:
            self.expired_at = now
            self.tables.expire_ended_workers(now)
            self.tables.expire_origins(now)

    async def _poll(self, address: str) -> None:
        while True:
            source = self.sources[address]
            is_long_poll = self._long_polls(address)
            wait_ms = int(1000 * self.timeouts.long_poll_s) if is_long_poll else 0
            pull = self._pull_message(dict(self.tables.vector), wait_ms)
            try:
                reply = await self.peers.call(address, pull, self.timeouts.pull_timeout_s)
            except ClusterError:
                self._on_call_failed(source)
                await asyncio.sleep(self.timeouts.retry_interval_s * self.random.uniform(0.5, 1.5))
                continue
            source.last_call_failed = False
            if isinstance(reply, Update):
                await self._receive(source, reply)
            if not is_long_poll:
                await self.poll_now.wait(self.poll_interval_s() * self.random.uniform(0.9, 1.1))

    async def pull_once(self, timeout_s: float) -> bool:
        """Pulls from the primary; returns whether it replied in time and the chain has recently confirmed it.

        This does not change the status of the source. Otherwise the regular pulls would not detect that a
        resynchronization is needed, and exceeding this shorter timeout would mark the source as failed.
        """
        if not self.primary:
            return False
        pull = self._pull_message(dict(self.tables.vector), 0)
        try:
            reply = await self.peers.call(self.primary, pull, timeout_s)
        except ClusterError:
            return False
        if not isinstance(reply, Update):
            return False
        self._merge(reply)
        return reply.chain_confirmed

    def _pull_message(self, vector: dict[str, int], wait_ms: int) -> PullUpdates:
        return PullUpdates(
            sender=self.name,
            vector=vector,
            version=self.configuration_version(),
            view=self.view.number,
            wait_ms=wait_ms,
            is_dispatcher=self.is_dispatcher,
            placer_term=self.placer_term if self.is_dispatcher else 0,
        )

    def _on_call_failed(self, source: UpdateSource) -> None:
        was_confirmed = source.is_confirmed()
        source.last_call_failed = True
        self._poll_others_if_primary_unconfirmed(source, was_confirmed)

    def _poll_others_if_primary_unconfirmed(self, source: UpdateSource, was_confirmed: bool) -> None:
        """Polls all other sources at once if the primary is no longer confirmed."""
        if source.address == self.primary and was_confirmed and not source.is_confirmed():
            self.poll_now.fire()

    async def _receive(self, source: UpdateSource, update: Update) -> None:
        must_resynchronize = update.knows_all_workers and (
            source.origin != update.origin or not source.knows_all_workers
        )
        self._record_status(source, update)
        self._merge(update)
        if must_resynchronize and self.is_dispatcher:
            await self._resynchronize(source)

    def _record_status(self, source: UpdateSource, update: Update) -> None:
        was_confirmed = source.is_confirmed()
        self._log_restored_contact(source)
        self.updated_at = steady()
        source.origin = update.origin
        source.received_at = self.updated_at
        source.knows_all_workers = update.knows_all_workers
        source.chain_confirmed = update.chain_confirmed
        if update.quorum_lost and not self._is_quorum_loss_reported():
            self.quorum_lost_at = steady()
        source.quorum_lost = update.quorum_lost
        if update.chain_confirmed:
            self.confirmed_at = steady()
        self._poll_others_if_primary_unconfirmed(source, was_confirmed)

    def _merge(self, update: Update) -> None:
        self._changed_instances.update(dict.fromkeys(self.tables.merge(update.workers, update.placements)))
        self.tables.advance_vector(update.vector)
        if update.view is not None and update.view.number > self.view.number:
            self.view = update.view
        self._record_placer(update)
        self.dispatcher_count = update.dispatchers or self.dispatcher_count
        self._notify(update)

    def _notify(self, update: Update) -> None:
        self.on_update(update, list(self._changed_instances))
        self._changed_instances.clear()

    def _record_placer(self, update: Update) -> None:
        """Adopts the placer in the update, unless a placer with a higher fencing token is already known."""
        if update.placer and update.placer_term >= self.placer_term:
            self.placer = update.placer
            self.placer_term = update.placer_term

    async def _resynchronize(self, source: UpdateSource) -> None:
        """Pulls the complete tables of a source that knows all workers, and drops workers missing in them."""
        try:
            reply = await self.peers.call(
                source.address, self._pull_message({}, 0), self.timeouts.pull_timeout_s
            )
        except ClusterError:
            source.knows_all_workers = False
            return
        if isinstance(reply, Update) and reply.is_full and reply.knows_all_workers:
            self._merge(reply)
            dropped = self.tables.retain_workers({worker.record.instance for worker in reply.workers})
            if dropped:
                self._changed_instances.update(dict.fromkeys(dropped))
                self._notify(reply)
