"""The replicated control state of a control process: views, chain, configuration and the placer's lease.

The disk and the peers are injected, so that the same code runs in production and in the simulation
`finchladder.lab.cluster`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from attrs import define, field, frozen

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.configuration_changes import ConfigurationChanges
from finchladder.cluster.process.failure_detection import FailureDetector
from finchladder.cluster.process.log import event
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.seed_list import SeedList
from finchladder.cluster.process.view_agreement import ViewAgreement
from finchladder.cluster.process.view_proposer import ViewProposer
from finchladder.cluster.process.worker_retirement import RetirementRecorder
from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.replication.lease import GrantedLease, HeldLease
from finchladder.cluster.replication.membership import ReplicationLimits
from finchladder.cluster.storage.interface import DurableStore
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.types.errors import StorageError
from finchladder.cluster.types.members import Member
from finchladder.cluster.types.messages import (
    Accept,
    ClaimLease,
    Failure,
    FetchReplica,
    Learn,
    Ping,
    Prepare,
    ReadState,
    ReleaseLease,
    RenewLease,
    Replicate,
    Reply,
    Request,
    RetireWorker,
    Submit,
)

LEASE_FRACTION = 0.25  # duration of the lease as a fraction of the exclusion window
DISK_PROBE_INTERVAL_S = 1.0

Handler = Callable[[Any], Awaitable[Reply]]


@frozen
class RecoveredState:
    """The durable state that was read from the local disk at startup.

    `founder`: whether the disk was empty when the system was bootstrapped.
    """

    founder: bool
    acceptor: Acceptor
    replica: Replica


@define
class ControlPlane:
    """The services of one control process, and the dispatch of requests to them."""

    agreement: ViewAgreement
    failure_detector: FailureDetector
    proposer: ViewProposer
    chain: ChainService
    changes: ConfigurationChanges
    retirements: RetirementRecorder
    placer_lease: PlacerLeaseService
    _handlers: dict[type, Handler] = field(init=False)

    @classmethod
    def build(
        cls,
        me: Member,
        store: DurableStore,
        peers: Peers,
        recovered: RecoveredState,
        *,
        tolerated_losses: int,
        seeds: SeedList,
        exclusion_window_s: float,
        fenced: bool,
        confirm_interval_s: float,
        random: Random,
    ) -> "ControlPlane":
        """Creates the services without starting them.

        Args:
            me: This process as a member.
            store: The local disk.
            peers: Sends requests to other processes.
            recovered: State that was read from the disk.
            tolerated_losses: Number of disks that may be lost at once.
            seeds: The seeds, which form the first view as they are now.
            exclusion_window_s: No two lease holders may both act within this time.
            fenced: Whether workers reject orders of former lease holders.
            confirm_interval_s: Seconds between two confirmations of the chain by its head.
            random: Random source for the backoff of proposers.
        """
        agreement = ViewAgreement(
            me,
            store,
            peers,
            ReplicationLimits(tolerated_losses),
            recovered.founder,
            recovered.acceptor,
            recovered.replica,
        )
        detector = FailureDetector(agreement, peers, seeds)
        proposer = ViewProposer(agreement, detector, peers, random, seeds.addresses)
        agreement.adoption_listeners += [proposer.reset_proposal_delay, detector.forget_former_members]
        lease_s = exclusion_window_s * LEASE_FRACTION
        lease = GrantedLease(lease_s, exclusion_window_s, fenced=fenced)
        chain = ChainService(agreement, lease, confirm_interval_s)
        return cls(
            agreement,
            detector,
            proposer,
            chain,
            ConfigurationChanges(chain),
            RetirementRecorder(chain),
            PlacerLeaseService(chain, HeldLease(lease_s)),
        )

    @_handlers.default
    def _handlers_by_request(self) -> dict[type, Handler]:
        return {
            Ping: self.failure_detector.on_ping,
            Prepare: self.agreement.on_prepare,
            Accept: self.agreement.on_accept,
            Learn: self.agreement.on_learn,
            Replicate: self.chain.on_replicate,
            FetchReplica: self.chain.on_fetch,
            ReadState: self.chain.on_read,
            Submit: self.changes.on_submit,
            RetireWorker: self.retirements.on_retire,
            RenewLease: self.placer_lease.on_renew,
            ClaimLease: self.placer_lease.on_claim,
            ReleaseLease: self.placer_lease.on_release,
        }

    async def handle(self, request: Request) -> Reply:
        """Returns the reply to a request of the internal protocol that concerns the control state."""
        handler = self._handlers.get(type(request))
        if handler is None:
            return Failure(type(request).__name__, "unknown type of request")
        return await handler(request)

    def loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Returns the background loops of the services, keyed by task name."""
        return {
            "ping": self.failure_detector.run_pings,
            "views": self.proposer.run,
            "chain": self.chain.run_confirmations,
            "disk": self._probe_failed_disk,
            "role": self.placer_lease.run,
        }

    async def _probe_failed_disk(self) -> None:
        """Probes a failed disk until it accepts writes again."""
        store = self.agreement.store
        while True:
            if store.last_write_failed:
                try:
                    await store.probe()
                except StorageError as error:
                    event("storage.failed", problem=str(error))
            await asyncio.sleep(DISK_PROBE_INTERVAL_S)
