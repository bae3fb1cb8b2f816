"""Pulls the replicated tables, the configuration and the view from control processes, called sources."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field

from finchladder.cluster.process.tasks import Signal, Tasks
from finchladder.cluster.process.update_sources import UpdateSource, UpdateSources
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.errors import ClusterError
from finchladder.cluster.types.members import GENESIS, View
from finchladder.cluster.types.messages import PullUpdates, Update

EXPIRY_INTERVAL_S = 5.0


@define
class UpdatePuller:
    """Merges the updates of all sources into `tables`, and passes them on to `on_update`.

    `on_update`: called with each update after its records were merged, and with the instances that changed.
    If it fails, the next call contains these instances, too, because no source sends merged records again.
    """

    tables: ReplicatedTables
    peers: Peers
    tasks: Tasks
    random: Random
    sources: UpdateSources
    configuration_version: Callable[[], int]
    on_update: Callable[[Update, list[str]], None]
    view: View = GENESIS
    placer: str = ""  # peer address of the placer; empty: unknown
    placer_term: int = 0  # fencing token of the placer
    dispatcher_count: int = 0
    expired_at: float = field(factory=steady)  # time of the last cleanup of the tables
    poll_now: Signal = field(factory=Signal)  # fires when the primary changes or is no longer confirmed
    _changed_instances: dict[str, None] = field(factory=dict, init=False)  # not passed to `on_update` yet

    async def run(self) -> None:
        """Keeps the set of sources up to date."""
        while True:
            self.update_sources()
            self.sources.log_lost_contact(self.view)
            self._expire_tables()
            await asyncio.sleep(self.sources.timeouts.source_update_interval_s)

    def update_sources(self) -> None:
        """Starts and stops pulls from the sources that are wanted now, and chooses the primary."""
        if self.sources.update_primary(self.view):
            self.poll_now.fire()
        wanted = self.sources.wanted_addresses(self.view)
        by_address = self.sources.by_address
        for address in sorted(wanted - set(by_address)):
            task = self.tasks.repeat(lambda a=address: self._poll(a), f"pull {address}")  # type: ignore[misc]
            by_address[address] = UpdateSource(address, task)
        for address in sorted(set(by_address) - wanted):
            by_address.pop(address).task.cancel()

    def _expire_tables(self) -> None:
        """Removes expired entries of a dispatcher's tables; `WorkerExpiry` does it in control processes."""
        now = steady()
        if self.sources.is_dispatcher and now - self.expired_at > EXPIRY_INTERVAL_S:
            self.expired_at = now
            self.tables.expire_ended_workers(now)
            self.tables.expire_origins(now)

    async def _poll(self, address: str) -> None:
        timeouts = self.sources.timeouts
        while True:
            source = self.sources.by_address[address]
            is_long_poll = self.sources.is_long_polled(address)
            wait_ms = int(1000 * timeouts.long_poll_s) if is_long_poll else 0
            pull = self._pull_message(dict(self.tables.vector), wait_ms)
            try:
                reply = await self.peers.call(address, pull, timeouts.pull_timeout_s)
            except ClusterError:
                self._poll_others_if(self.sources.record_failure(source))
                await asyncio.sleep(timeouts.retry_interval_s * self.random.uniform(0.5, 1.5))
                continue
            source.last_call_failed = False
            if isinstance(reply, Update):
                await self._receive(source, reply)
            if not is_long_poll:
                await self.poll_now.wait(self.sources.poll_interval_s() * self.random.uniform(0.9, 1.1))

    async def pull_once(self, timeout_s: float) -> bool:
        """Pulls from the primary; returns whether it replied in time and the chain has recently confirmed it.

        This does not change the status of the source. Otherwise the regular pulls would not detect that a
        resynchronization is needed, and exceeding this shorter timeout would mark the source as failed.
        """
        if not self.sources.primary:
            return False
        pull = self._pull_message(dict(self.tables.vector), 0)
        try:
            reply = await self.peers.call(self.sources.primary, pull, timeout_s)
        except ClusterError:
            return False
        if not isinstance(reply, Update):
            return False
        self._merge(reply)
        return reply.chain_confirmed

    def _pull_message(self, vector: dict[str, int], wait_ms: int) -> PullUpdates:
        return PullUpdates(
            sender=self.sources.name,
            vector=vector,
            version=self.configuration_version(),
            view=self.view.number,
            wait_ms=wait_ms,
            is_dispatcher=self.sources.is_dispatcher,
            placer_term=self.placer_term if self.sources.is_dispatcher else 0,
        )

    def _poll_others_if(self, primary_is_unconfirmed: bool) -> None:
        """Polls all other sources at once if the primary is no longer confirmed."""
        if primary_is_unconfirmed:
            self.poll_now.fire()

    async def _receive(self, source: UpdateSource, update: Update) -> None:
        must_resynchronize = update.knows_all_workers and (
            source.origin != update.origin or not source.knows_all_workers
        )
        self._poll_others_if(self.sources.record_update(source, update))
        self._merge(update)
        if must_resynchronize and self.sources.is_dispatcher:
            await self._resynchronize(source)

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
                source.address, self._pull_message({}, 0), self.sources.timeouts.pull_timeout_s
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
