"""The part of a core process that knows workers: their sessions here, and what it pulls from the others.

Its control state and its peers are handed in: the same code runs on machines and in
`finchladder.lab.cluster`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from attrs import define

from finchladder.cluster.process.control_plane import ControlPlane
from finchladder.cluster.process.sessions_service import SessionsService
from finchladder.cluster.process.tasks import Tasks
from finchladder.cluster.process.update_puller import UpdatePuller
from finchladder.cluster.sessions.replicated_tables import ReplicatedTables
from finchladder.cluster.transport.interface import Peers
from finchladder.cluster.transport.peers import steady
from finchladder.cluster.types.messages import Update

CONFIRMED_S = 2.0  # so long one confirmation by the chain counts
EXPIRE_S = 0.25
ANNOUNCE_S = 1.0  # readers are looked at again after so long, also without news
ANY_VERSION = 1 << 60  # a core process has its configuration from the chain and pulls none

IsThere = Callable[[str, str], Awaitable[bool]]


@define
class CoreSessions:
    """Sessions with workers, and the tables of the other core processes."""

    control: ControlPlane
    sessions: SessionsService
    puller: UpdatePuller

    @classmethod
    def build(
        cls,
        control: ControlPlane,
        *,
        heartbeat_s: float,
        peers: Peers,
        tasks: Tasks,
        random: Random,
        is_there: IsThere,
    ) -> "CoreSessions":
        """`heartbeat_s`: between two calls of a worker; `is_there(address, instance)` asks the worker."""
        me = control.voting.me
        tables = ReplicatedTables(f"{me.name}/{random.getrandbits(32):x}")
        sessions = SessionsService(
            me.name,
            tables,
            heartbeat_s,
            state=lambda: control.chain.acknowledged,
            view=lambda: control.voting.view,
            placer=lambda: placer_address(control),
            confirmed=lambda: steady() - control.chain.confirmed_at < CONFIRMED_S,
            is_there=is_there,
            record_end=control.retirements.record,
            quorum_lost=control.voting.quorum_is_lost,
        )

        def take(delta: Update, changed: list[str]) -> None:
            sessions.origins[delta.origin] = steady()
            puller.view = control.voting.view
            if changed:
                sessions.changed.fire()

        puller = UpdatePuller(
            name=me.name,
            tables=tables,
            peers=peers,
            tasks=tasks,
            random=random,
            is_dispatcher=False,
            own_address=me.peer_address,
            zone=me.zone,
            seeds=control.voting.seeds,
            configuration_version=lambda: ANY_VERSION,
            on_update=take,
        )
        return cls(control, sessions, puller)

    def loops(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """What has to run all the time, by name."""
        return {
            "expiry": self._expire,
            "announce": self._announce_state,
            "announce views": self._announce_views,
            "sources": self.puller.run,
        }

    async def _expire(self) -> None:
        while True:
            self.sessions.expire()
            await self.sessions.judge_orphans()
            await asyncio.sleep(EXPIRE_S)

    async def _announce_state(self) -> None:
        """Readers learn at once of what the chain has acknowledged."""
        while True:
            self.sessions.take_ended(self.control.chain.acknowledged.retirements)
            await self.control.chain.changed.wait(ANNOUNCE_S)
            self.sessions.changed.fire()

    async def _announce_views(self) -> None:
        while True:
            await self.control.voting.changed.wait(ANNOUNCE_S)
            self.puller.view = self.control.voting.view
            self.sessions.changed.fire()


def placer_address(control: ControlPlane) -> str:
    """Where the placer listens; empty while there is none."""
    name = control.chain.acknowledged.placer
    found = [m.peer_address for m in control.voting.view.members() if m.name == name]
    return found[0] if found else ""
