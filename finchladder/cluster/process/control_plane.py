"""The part of a core process that agrees, stores and decides: views, chain, changes, the placer's role.

Its disk and its peers are handed in: the same code runs on machines and in `finchladder.lab.cluster`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from attrs import define

from finchladder.cluster.process.chain_service import ChainService
from finchladder.cluster.process.configuration_changes import ConfigurationChanges
from finchladder.cluster.process.log import event
from finchladder.cluster.process.placer_lease import PlacerLeaseService
from finchladder.cluster.process.view_agreement import PING_INTERVAL_S, ViewAgreement
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

LEASE_FRACTION = 0.25  # of the bound within which two holders must not both act
DISK_PROBE_INTERVAL_S = 1.0


@define
class RecoveredState:
    """What the own disk held at the start."""

    founder: bool
    acceptor: Acceptor
    replica: Replica


@define
class ControlPlane:
    """One core process's control state."""

    agreement: ViewAgreement
    chain: ChainService
    changes: ConfigurationChanges
    retirements: RetirementRecorder
    placer_lease: PlacerLeaseService

    @classmethod
    def build(
        cls,
        me: Member,
        store: DurableStore,
        peers: Peers,
        recovered: RecoveredState,
        *,
        tolerated_losses: int,
        seeds: tuple[str, ...],
        exclusion_window_s: float,
        fenced: bool,
        random: Random,
    ) -> "ControlPlane":
        """`seeds`: peer addresses; `turn_s`: no two holders of the role may both act within so long;
        `fenced`: whether workers refuse orders of former holders.
        """
        agreement = ViewAgreement(
            me,
            store,
            peers,
            ReplicationLimits(tolerated_losses),
            seeds,
            recovered.founder,
            recovered.acceptor,
            recovered.replica,
            random,
        )
        lease_s = exclusion_window_s * LEASE_FRACTION
        chain = ChainService(agreement, GrantedLease(lease_s, exclusion_window_s, fenced=fenced))
        return cls(
            agreement,
            chain,
            ConfigurationChanges(chain),
            RetirementRecorder(chain),
            PlacerLeaseService(chain, HeldLease(lease_s)),
        )

    async def handle(self, request: Request) -> Reply:
        """The part of the internal protocol that concerns the control state."""
        match request:
            case Ping():
                return await self.agreement.on_ping(request)
            case Prepare():
                return await self.agreement.on_prepare(request)
            case Accept():
                return await self.agreement.on_accept(request)
            case Learn():
                return await self.agreement.on_learn(request)
            case Replicate():
                return await self.chain.on_replicate(request)
            case FetchReplica():
                return await self.chain.on_fetch(request)
            case Submit():
                return await self.changes.on_submit(request)
            case RetireWorker():
                return await self.retirements.on_retire(request)
            case ReadState():
                return await self.chain.on_read(request)
            case RenewLease():
                return await self.placer_lease.on_renew(request)
            case ClaimLease():
                return await self.placer_lease.on_claim(request)
            case ReleaseLease():
                return await self.placer_lease.on_release(request)
        return Failure(type(request).__name__, "not understood")

    def loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """What has to run all the time, by name."""
        return {
            "ping": self.agreement.run_pings,
            "views": self._view_loop,
            "chain": self.chain.run_confirmations,
            "disk": self._disk_loop,
            "role": self.placer_lease.run,
        }

    async def _view_loop(self) -> None:
        while True:
            await self.agreement.propose_if_needed()
            await asyncio.sleep(PING_INTERVAL_S / 2)

    async def _disk_loop(self) -> None:
        """Tries a disk that failed again."""
        while True:
            if self.agreement.store.failed:
                try:
                    await self.agreement.store.probe()
                except StorageError as error:
                    event("storage.failed", problem=str(error))
            await asyncio.sleep(DISK_PROBE_INTERVAL_S)
