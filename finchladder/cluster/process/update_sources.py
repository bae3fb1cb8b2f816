"""The control processes that one process pulls updates from, and what they reported last.

A control process long-polls all sources. A dispatcher long-polls only one, its primary. It polls each of the
others at an interval that is proportional to their number, so that the total rate of polls stays the same.
While the primary fails or reports that the chain has not confirmed it, the interval is shorter.
"""

import asyncio
from hashlib import blake2b

from attrs import define, field

from finchladder.cluster.process.contact_timeouts import ContactTimeouts
from finchladder.cluster.process.log import event
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.members import Member, View
from finchladder.cluster.types.messages import Update

MAX_SOURCES = 5  # maximum number of members that are polled while a source is confirmed
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
class UpdateSources:
    """The sources of one process, of which a dispatcher chooses its primary.

    Attributes:
        name: Name of the process that pulls.
        seeds: Read again and also pulled from while no source replies that the chain has confirmed.
        by_address: The sources by peer address.
        primary: Address of the primary source; empty if there is none.
        updated_at: Time of the last update of any source, or of the start.
        contact_lost: Whether the log says that no source replies.
        confirmed_at: Time of the last update whose sender reported `chain_confirmed`.
        quorum_lost_at: Start of the last period in which sources reported a loss of the quorum.
    """

    name: str
    is_dispatcher: bool
    own_address: str
    zone: str
    seeds: SeedList
    timeouts: ContactTimeouts
    by_address: dict[str, UpdateSource] = field(factory=dict)
    primary: str = ""
    updated_at: float = field(factory=steady)
    contact_lost: bool = False
    confirmed_at: float = NEVER
    quorum_lost_at: float = NEVER

    # --- which sources ------------------------------------------------------------------------------------

    def wanted_addresses(self, view: View) -> set[str]:
        """Returns some members of the view; all of them and the seeds while no confirmed source replies.

        All members of the view may have been replaced while this process was out of contact.
        """
        addresses = [member.peer_address for member in view.members()]
        if self._has_confirmed_source():
            return set(addresses[:MAX_SOURCES]) - {self.own_address}
        self.seeds.refresh_if_due()
        return {*addresses, *self.seeds.addresses} - {self.own_address}

    def update_primary(self, view: View) -> bool:
        """Chooses the primary among the members of the view; returns whether it has changed."""
        primary = self._choose_primary(view.members())
        if primary == self.primary:
            return False
        self.primary = primary
        self._log_primary(view)
        return True

    def _choose_primary(self, members: tuple[Member, ...]) -> str:
        """Chooses a live member by rendezvous hash, preferring confirmed members and then the same zone."""
        live = [m for m in members if m.peer_address in self.by_address and self._is_live(m.peer_address)]
        confirmed = [m for m in live if self.by_address[m.peer_address].is_confirmed()] or live
        candidates = [m for m in confirmed if m.zone == self.zone] or confirmed
        if not candidates:
            return ""
        chosen = max(candidates, key=lambda m: blake2b(f"{self.name} {m.disk_id}".encode()).digest())
        return chosen.peer_address

    def _is_live(self, address: str) -> bool:
        """Returns whether the last update is recent enough for the interval at which the source is polled."""
        polling_delay_s = 0.0 if self.is_long_polled(address) else self.poll_interval_s()
        received_at = self.by_address[address].received_at
        return steady() - received_at < self.timeouts.source_timeout_s + polling_delay_s

    # --- how often ----------------------------------------------------------------------------------------

    def is_long_polled(self, address: str) -> bool:
        """Returns whether the source is long-polled; a dispatcher without a primary long-polls all."""
        return not self.is_dispatcher or address == self.primary or not self.primary

    def poll_interval_s(self) -> float:
        """Returns the seconds between two polls of the same source."""
        primary = self.by_address.get(self.primary)
        if primary is None or not primary.is_confirmed():
            return self.timeouts.poll_interval_s
        return self.timeouts.poll_interval_s * max(1, len(self.by_address) - 1)

    # --- what they reported -------------------------------------------------------------------------------

    def record_failure(self, source: UpdateSource) -> bool:
        """Records a failed call; returns whether the primary is no longer confirmed."""
        was_confirmed = source.is_confirmed()
        source.last_call_failed = True
        return was_confirmed and source.address == self.primary

    def record_update(self, source: UpdateSource, update: Update) -> bool:
        """Records the status in an update; returns whether the primary is no longer confirmed."""
        was_confirmed = source.is_confirmed()
        self._log_restored_contact(source)
        self.updated_at = source.received_at = steady()
        source.origin = update.origin
        source.knows_all_workers = update.knows_all_workers
        source.chain_confirmed = update.chain_confirmed
        if update.quorum_lost and not self._is_quorum_loss_reported():
            self.quorum_lost_at = steady()
        source.quorum_lost = update.quorum_lost
        if update.chain_confirmed:
            self.confirmed_at = steady()
        return was_confirmed and source.address == self.primary and not source.is_confirmed()

    def has_core_lost_quorum(self) -> bool:
        """Returns whether control processes report a lost quorum, and none was confirmed recently.

        The processes that do not reply may then have acknowledged a newer configuration or the drain of a
        worker that no replying process has stored. A dispatcher that cannot reach most control processes gets
        no such report and continues with its current state.
        """
        since = max(self.confirmed_at, self.quorum_lost_at)
        return self._is_quorum_loss_reported() and steady() - since > self.timeouts.unconfirmed_timeout_s

    def _has_confirmed_source(self) -> bool:
        return steady() - self.confirmed_at < self.timeouts.contact_s

    def _is_quorum_loss_reported(self) -> bool:
        now = steady()
        validity_s = self.timeouts.status_validity_s
        return any(s.quorum_lost and now - s.received_at < validity_s for s in self.by_address.values())

    # --- logs ---------------------------------------------------------------------------------------------

    def log_lost_contact(self, view: View) -> None:
        """Logs once if no source has replied for as long as a process counts as connected."""
        if not self.contact_lost and steady() - self.updated_at > self.timeouts.contact_s:
            self.contact_lost = True
            event("updates.contact_lost", view=view.number, sources=sorted(self.by_address))

    def _log_restored_contact(self, source: UpdateSource) -> None:
        if self.contact_lost:
            self.contact_lost = False
            silent_s = round(steady() - self.updated_at, 2)
            event("updates.contact_restored", source=source.address, silent_s=silent_s)

    def _log_primary(self, view: View) -> None:
        if self.is_dispatcher:
            primary = self.by_address.get(self.primary)
            confirmed = primary is not None and primary.is_confirmed()
            event("updates.primary_changed", primary=self.primary, confirmed=confirmed, view=view.number)
