"""One core machine of the control world."""

from typing import Protocol

from attrs import define

from finchladder.cluster.process.control_plane import ControlPlane
from finchladder.cluster.process.core_sessions import CoreSessions
from finchladder.cluster.process.placer import Placer
from finchladder.cluster.types.messages import (
    DemandReport,
    PullUpdates,
    QuotaReply,
    Reply,
    Request,
    ReserveQuota,
)
from finchladder.lab.cluster.contact import Process
from finchladder.lab.cluster.disk import Platter, SimulatedDisk
from finchladder.lab.cluster.virtual import running_loop


class QuotaAnswers(Protocol):
    """The quota account of a core process."""

    def on_reserve(self, request: ReserveQuota) -> QuotaReply:
        """As of `QuotaService`."""
        ...


@define
class Machine:
    """One core machine: its disk, and its process while it runs."""

    name: str
    address: str
    platter: Platter
    plane: ControlPlane | None = None
    disk: SimulatedDisk | None = None
    sessions: CoreSessions | None = None
    placer: Placer | None = None
    quotas: QuotaAnswers | None = None
    lives: int = 0
    gone: bool = False

    def seen(self) -> Process:
        """What is to be seen of it from outside."""
        loop = running_loop()
        life = self.lives if self.plane is not None else 0
        disk = self.disk
        trouble = disk is not None and (disk.refuses or disk.factor > 1 or disk.stalled_until > loop.time())
        return Process(self.address, life, loop.wakes_at(self.name) > loop.time(), trouble)

    async def answer(self, request: Request) -> Reply:
        """The internal protocol."""
        assert self.plane is not None
        if isinstance(request, PullUpdates) and self.sessions is not None:
            return await self.sessions.updates.on_pull(request)
        if isinstance(request, DemandReport) and self.placer is not None:
            return self.placer.on_demand(request)
        if isinstance(request, ReserveQuota) and self.quotas is not None:
            return self.quotas.on_reserve(request)
        return await self.plane.handle(request)
